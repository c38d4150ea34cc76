"""Translation between published items and the messages that copy them."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

from bilberryring.core import compress, decompress
from bilberryring.fleet import (
    MS_PER_SECOND,
    LostWrite,
    PublishedItem,
    Replica,
    ReplicaPosition,
    Revision,
)
from bilberryring.wire import CopyAnswer, CopyItem, CopyQuery, CopyRevision
from bilberryring.wire import LostWrite as LostWriteMessage

MIN_COMPRESSED_BYTES = 1_024
"""Size in bytes of the smallest value that is compressed."""
MAX_VALUES_BYTES = 16 * 1024 * 1024
"""Most bytes that the compressed values of one copy may have together."""
CACHED_VALUES = 4
"""Values that are kept compressed: many peers copy the same configuration at once."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Copy:
    """What a peer has under a prefix, up to its latest change `revision`.

    With `is_delta` it is what changed since the revision in the query, otherwise all.
    `latest_lost` is the latest write that the peer knows to be lost.
    """

    prefix: str
    items: tuple[PublishedItem, ...]
    revision: int
    era: int
    is_delta: bool
    lost_writes: tuple[LostWrite, ...]
    latest_lost: Revision


def encode_positions(
    positions: Iterable[tuple[str, ReplicaPosition]], *, has_counts: bool = True
) -> list[CopyRevision]:
    """Return the messages with the position of each prefix's replica.

    The numbers of items are left out unless `has_counts` is set.
    """
    return [
        CopyRevision(
            prefix=prefix,
            revision=position.latest.number,
            era=position.latest.era,
            lost_era=position.latest_lost.era or None,
            lost_revision=position.latest_lost.number or None,
            n_items=position.n_items if has_counts else None,
        )
        for prefix, position in positions
    ]


def decode_position(message: CopyRevision) -> ReplicaPosition:
    """Return the position that a peer reported; raise `ValueError` if it lacks one."""
    return ReplicaPosition(
        latest=Revision(era=_count(message.era), number=_count(message.revision)),
        latest_lost=_decode_lost(message.lost_era, message.lost_revision),
        n_items=None if message.n_items is None else _count(message.n_items),
    )


def make_query(
    prefix: str, position: ReplicaPosition, *, wants_all: bool = False
) -> CopyQuery:
    """Return the request for what a peer has beyond a position, or for all of it."""
    return CopyQuery(
        prefix=prefix,
        revision=0 if wants_all else position.latest.number,
        era=position.latest.era,
        takes_compressed=True,
    )


def answer_query(query: CopyQuery, replica: Replica, *, now: float) -> CopyAnswer:
    """Return the changes since the query's revision, or all items.

    A gateway of an earlier version names no era, and gets the answer that it knows.
    Large values are compressed for those that take that: the links of gateways are
    narrow, and callers' answers share them.
    """
    encode_item = _compress_item if query.takes_compressed else _encode_item
    is_same_era = query.era in (None, replica.era)
    changes = replica.changes_since(query.revision or 0) if is_same_era else None
    items = replica.items if changes is None else changes
    position = replica.position
    return CopyAnswer(
        prefix=query.prefix,
        revision=position.latest.number,
        items=[encode_item(item) for item in items],
        is_delta=changes is not None,
        era=replica.era,
        lost_era=position.latest_lost.era,
        lost_revision=position.latest_lost.number,
        lost_writes=[
            _encode_lost_write(write) for write in replica.lost_writes(now=now)
        ],
    )


def decode_copy(answer: CopyAnswer) -> Copy:
    """Return what a peer answered; raise `ValueError` if a figure is out of range.

    Nothing of an answer may be applied before all of it is decoded: what changed
    without notice would never reach the fleet state.
    """
    items = decode_items(answer)
    if any(not item.key.startswith(answer.prefix) for item in items):
        raise ValueError(f"an item has a key outside of {answer.prefix!r}")
    return Copy(
        prefix=answer.prefix,
        items=items,
        revision=_count(answer.revision),
        era=_count(answer.era),
        is_delta=bool(answer.is_delta),
        lost_writes=decode_lost_writes(answer),
        latest_lost=decode_latest_lost(answer),
    )


def decode_items(answer: CopyAnswer) -> tuple[PublishedItem, ...]:
    """Return the items in an answer."""
    items, bytes_left = [], MAX_VALUES_BYTES
    for message in answer.items or ():
        item = _decode_item(message, most=bytes_left)
        if message.compressed_value is not None:
            bytes_left -= len(item.value)
        items.append(item)
    return tuple(items)


def decode_lost_writes(answer: CopyAnswer) -> tuple[LostWrite, ...]:
    """Return the writes in an answer that the store has lost."""
    return tuple(
        LostWrite(
            key=_text(write.key),
            revision=_decode_lost(write.era, write.revision),
            value=write.value,
            removed=None if write.removed is None else _decode_item(write.removed),
            left_seconds=math.inf
            if write.left_ms is None
            else write.left_ms / MS_PER_SECOND,
        )
        for write in answer.lost_writes or ()
    )


def decode_latest_lost(answer: CopyAnswer) -> Revision:
    """Return the latest write that the peer knows to be lost."""
    return _decode_lost(answer.lost_era, answer.lost_revision)


def _decode_lost(era: int | None, number: int | None) -> Revision:
    return Revision(era=_count(era or 0), number=_count(number or 0))


def _text(value: str | None) -> str:
    if value is None:
        raise ValueError("a copy has an item without a key")
    return value


def _count(value: int | None) -> int:
    if value is None or value < 0:
        raise ValueError(f"{value} is no revision and no era")
    return value


def _encode_item(item: PublishedItem) -> CopyItem:
    return CopyItem(key=item.key, revision=item.revision, value=item.value)


def _compress_item(item: PublishedItem) -> CopyItem:
    if item.value is None or len(item.value) < MIN_COMPRESSED_BYTES:
        return _encode_item(item)
    return CopyItem(
        key=item.key,
        revision=item.revision,
        compressed_value=_compress_value(item.value),
    )


@lru_cache(maxsize=CACHED_VALUES)
def _compress_value(value: bytes) -> bytes:
    return compress(value)


def _decode_item(item: CopyItem, *, most: int = MAX_VALUES_BYTES) -> PublishedItem:
    """Return an item, whose value has at most `most` bytes if it is compressed.

    `ValueError` is raised otherwise, and if a field is missing or malformed.
    """
    value = item.value
    if item.compressed_value is not None:
        value = decompress(item.compressed_value, most=most)
    return PublishedItem(
        key=_text(item.key), revision=_count(item.revision), value=value
    )


def _encode_lost_write(write: LostWrite) -> LostWriteMessage:
    return LostWriteMessage(
        key=write.key,
        era=write.revision.era,
        revision=write.revision.number,
        value=write.value,
        removed=None if write.removed is None else _encode_item(write.removed),
        left_ms=None
        if math.isinf(write.left_seconds)
        else max(0, round(write.left_seconds * MS_PER_SECOND)),
    )
