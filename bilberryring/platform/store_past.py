"""Whether anything was replaced or removed in the store before this process started.

Revisions count all writes. If there are as many from the first configuration up to the
first list as items with such revisions, each write is still there: no endpoint has
ended since then, and no request can have been quarantined.

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
        self._prefixes = prefixes
        self._listings: dict[str, Listing] = {}

    @property
    def is_known_empty(self) -> bool:
        """Whether it is certain that nothing was replaced or removed."""
        if len(self._listings) < len(self._prefixes):
            return False
        if any(listing.n_rewritten for listing in self._listings.values()):
            return False
        items = [item for listing in self._listings.values() for item in listing.items]
        began_at = next(
            (item.revision for item in items if item.key == CONFIGURATION_KEY), None
        )
        if began_at is None:
            return False
        ends_at = min(listing.revision for listing in self._listings.values())
        n_writes = sum(began_at <= item.revision <= ends_at for item in items)
        return n_writes == 1 + ends_at - began_at

    def record(self, prefix: str, listing: Listing) -> None:
        """Record a list of a prefix, if it is the first one of this process."""
        self._listings.setdefault(prefix, listing)
