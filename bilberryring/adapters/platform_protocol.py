"""Messages of the platform's key-value service and VM list."""

import msgspec


class ListedVm(msgspec.Struct, frozen=True, kw_only=True):
    """A VM in the platform's list; `state` is `live` or `leaving`."""

    name: str
    role: str
    address: str
    failure_domain: str
    state: str = "live"


class WatchItem(msgspec.Struct, frozen=True, kw_only=True):
    """A key that changed.

    `created` and `modified` are the revisions of its first and its last write.
    """

    key: str
    created: int
    modified: int


class WatchResponse(msgspec.Struct, frozen=True, kw_only=True):
    """The keys that changed after the requested revision.

    `revision` is the newest revision that the answer takes into account.
    """

    revision: int
    items: tuple[WatchItem, ...]
