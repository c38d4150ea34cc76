"""Whether anything was replaced or removed in the store before this process started.

Revisions count all writes. If there are as many from the first configuration up to the
first list as items with such revisions, each write is still there: no endpoint has
ended since then, except for some that crashed within the last heartbeats, whose entries
are not removed yet. So it is only asked where the settings say nothing.

>>> from bilberryring.fleet import PublishedItem
>>> from bilberryring.platform.store import Listing
>>> def listing(*revisions, revision, key="servers/{}"):
...     return Listing(
...         items=tuple(
...             PublishedItem(key=key.format(at), revision=at, value=b"")
...             for at in revisions
...         ),
...         revision=revision,
...     )
>>> past = StorePast(prefixes=("op/", "servers/"))
>>> past.record("op/", listing(7, revision=9, key="op/config"))
>>> past.is_known_empty
False
>>> past.record("servers/", listing(5, 8, 9, revision=9))
>>> past.is_known_empty
True
"""

from bilberryring.platform.names import CONFIGURATION_KEY
from bilberryring.platform.store import Listing


class StorePast:
    """What the first list of each prefix tells of earlier writes."""

    def __init__(self, *, prefixes: tuple[str, ...]):
        self._missing = set(prefixes)
        self._listings: list[Listing] = []
        self._is_known_empty = False

    @property
    def is_known_empty(self) -> bool:
        """Whether it is certain that nothing was replaced or removed."""
        return self._is_known_empty

    def record(self, prefix: str, listing: Listing) -> None:
        """Record a list of a prefix, if it is the first one of this process."""
        if prefix not in self._missing:
            return
        self._missing.remove(prefix)
        self._listings.append(listing)
        if not self._missing:
            self._is_known_empty = _are_first_writes(self._listings)
            self._listings.clear()


def _are_first_writes(listings: list[Listing]) -> bool:
    """Whether each write from the first configuration to the first list is listed."""
    if any(listing.n_rewritten for listing in listings):
        return False
    revisions = {
        item.key: item.revision for listing in listings for item in listing.items
    }
    began_at = revisions.get(CONFIGURATION_KEY)
    if began_at is None:
        return False
    ends_at = min(listing.revision for listing in listings)
    n_writes = sum(began_at <= revision <= ends_at for revision in revisions.values())
    return n_writes == 1 + ends_at - began_at
