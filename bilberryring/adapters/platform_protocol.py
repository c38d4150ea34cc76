"""The messages of the platform's read-and-watch service and VM list."""

import msgspec


class ListedVm(msgspec.Struct, frozen=True, kw_only=True):
    """A VM in the platform's list; `state` is "live" or "leaving"."""

    name: str
    role: str
    address: str
    failure_domain: str
    state: str = "live"


class WatchItem(msgspec.Struct, frozen=True, kw_only=True):
    """A key that changed, with the revisions of its first and last write."""

    key: str
    created: int
    modified: int


class WatchAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The keys that changed after the asked revision, and the newest one."""

    revision: int
    items: tuple[WatchItem, ...]
