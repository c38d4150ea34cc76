"""Equal shares of the endpoints for each gateway, on a ring.

Gateways and endpoints are each put in the order of the hashes of their names, and
both orders are laid around the same ring. A gateway uses the `size` endpoints that
follow its own position. So each endpoint is used by nearly the same number of
gateways, and only gateways whose positions are close to each other use the same
endpoints. Two gateways whose lists of names differ a little get positions that
differ a little.

>>> ring = Ring(gateways=("g1", "g2", "g3", "g4"), endpoints=("a", "b", "c", "d"))
>>> len(ring.slice(gateway="g1", size=2)), ring.cover(size=2)
(2, 3)
>>> sorted(ring.slice(gateway="g1", size=9))
['a', 'b', 'c', 'd']
"""

import math
from collections.abc import Iterable

import xxhash

SLICE_SIZE = 32
"""Endpoints of one service that a gateway uses. A prompt may be prefilled by 17 of
them, and as many others remain for the prompts that arrive meanwhile."""

HASH_RANGE = 2**64


def hash_order(names: Iterable[str], *, salt: str = "") -> tuple[str, ...]:
    """Return the names in the order of their hashes, the same in every process.

    Orders with different salts are independent of each other.
    """
    return tuple(sorted(names, key=lambda name: _hash(salt + name)))


def _hash(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


class Ring:
    """The gateways and the endpoints of one service at their positions."""

    def __init__(self, *, gateways: Iterable[str], endpoints: Iterable[str]):
        self._gateways = hash_order(gateways)
        self._endpoints = hash_order(endpoints)

    def slice(self, *, gateway: str, size: int) -> tuple[str, ...]:
        """Return the endpoints that a gateway uses, the one at its position first."""
        rank = self._gateways.index(gateway)
        return self._slice_at(rank / len(self._gateways), size)

    def provisional_slice(self, *, gateway: str, size: int) -> tuple[str, ...]:
        """Return the endpoints of a gateway that does not know the others yet.

        Its position is drawn by its own hash, so that many such gateways, which all
        know the same few others, do not use the same endpoints.
        """
        return self._slice_at(_hash(gateway) / HASH_RANGE, size)

    def _slice_at(self, position: float, size: int) -> tuple[str, ...]:
        count = len(self._endpoints)
        first = int(position * count)
        return tuple(
            self._endpoints[(first + offset) % count]
            for offset in range(min(size, count))
        )

    def users(self, *, endpoint: str, size: int) -> tuple[str, ...]:
        """Return the gateways that use an endpoint, in an order of its own.

        >>> ring = Ring(gateways=("g1", "g2", "g3", "g4"), endpoints=("a", "b"))
        >>> len(ring.users(endpoint="a", size=1)), len(ring.users(endpoint="a", size=2))
        (2, 4)
        """
        count = len(self._endpoints)
        index = self._endpoints.index(endpoint)
        users = (
            gateway
            for rank, gateway in enumerate(self._gateways)
            if (index - int(rank / len(self._gateways) * count)) % count < size
        )
        return hash_order(users, salt=endpoint)

    def cover(self, *, size: int) -> int:
        """Return the most gateways that use one endpoint."""
        return cover(
            gateways=len(self._gateways), endpoints=len(self._endpoints), size=size
        )


def cover(*, gateways: int, endpoints: int, size: int) -> int:
    """Return the most gateways that use one endpoint, with slices of `size`.

    >>> cover(gateways=68, endpoints=172, size=32)
    14
    >>> cover(gateways=4, endpoints=21, size=32)
    4
    """
    if not endpoints or size >= endpoints:
        return gateways
    return min(gateways, math.ceil(gateways * size / endpoints) + 1)


def slice_size(*, gateways: int, endpoints: int, starts_per_second: float) -> int:
    """Return how many endpoints each gateway uses, at least 1.

    `starts_per_second` is the most requests that all gateways together may start on
    one endpoint, infinite without a limit. A gateway needs at least one start a second
    on each endpoint that it uses, so no more gateways may use an endpoint than that.

    >>> slice_size(gateways=68, endpoints=172, starts_per_second=26.0)
    32
    >>> slice_size(gateways=400, endpoints=200, starts_per_second=26.0)
    12
    """
    size = min(SLICE_SIZE, endpoints)
    if cover(gateways=gateways, endpoints=endpoints, size=size) > starts_per_second:
        size = (int(starts_per_second) - 1) * endpoints // gateways
    return max(1, size)


def neighbours(
    gateways: tuple[str, ...], *, gateway: str, distance: int
) -> tuple[str, ...]:
    """Return the gateways at most `distance` places away, nearest first.

    `gateways` is in hash order and contains `gateway`, which is not returned.

    >>> neighbours(("a", "b", "c", "d", "e"), gateway="a", distance=1)
    ('b', 'e')
    >>> neighbours(("a", "b"), gateway="a", distance=3)
    ('b',)
    """
    rank, count = gateways.index(gateway), len(gateways)
    near: dict[str, None] = {}
    for step in range(1, min(distance, count - 1) + 1):
        near[gateways[(rank + step) % count]] = None
        near[gateways[(rank - step) % count]] = None
    near.pop(gateway, None)
    return tuple(near)
