"""Translation between published items and the messages that copy them."""

import math
from collections.abc import Iterable

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


def encode_positions(
    positions: Iterable[tuple[str, ReplicaPosition]],
) -> list[CopyRevision]:
    """Return the messages with the position of each prefix's replica."""
    return [
        CopyRevision(
            prefix=prefix,
            revision=position.latest.number,
            era=position.latest.era,
            lost_era=position.latest_lost.era or None,
            lost_revision=position.latest_lost.number or None,
        )
        for prefix, position in positions
    ]


def decode_position(message: CopyRevision) -> ReplicaPosition:
    """Return the position that a peer reported; raise `ValueError` if it lacks one."""
    if message.revision is None or message.era is None:
        raise ValueError("a position lacks its revision or its era")
    return ReplicaPosition(
        latest=Revision(era=message.era, number=message.revision),
        latest_lost=_decode_lost(message.lost_era, message.lost_revision),
    )


def make_query(prefix: str, position: ReplicaPosition) -> CopyQuery:
    """Return the request for what a peer has beyond a position."""
    return CopyQuery(
        prefix=prefix, revision=position.latest.number, era=position.latest.era
    )


def answer_query(query: CopyQuery, replica: Replica, *, now: float) -> CopyAnswer:
    """Return the changes since the query's revision, or all items.

    A gateway of an earlier version names no era, and gets the answer that it knows.
    """
    is_same_era = query.era in (None, replica.era)
    changes = replica.changes_since(query.revision or 0) if is_same_era else None
    items = replica.items if changes is None else changes
    position = replica.position
    return CopyAnswer(
        prefix=query.prefix,
        revision=position.latest.number,
        items=[_encode_item(item) for item in items],
        is_delta=changes is not None,
        era=replica.era,
        lost_era=position.latest_lost.era,
        lost_revision=position.latest_lost.number,
        lost_writes=[
            _encode_lost_write(write) for write in replica.lost_writes(now=now)
        ],
    )


def decode_items(answer: CopyAnswer) -> tuple[PublishedItem, ...]:
    """Return the items in an answer."""
    return tuple(_decode_item(item) for item in answer.items or ())


def decode_lost_writes(answer: CopyAnswer) -> tuple[LostWrite, ...]:
    """Return the writes in an answer that the store has lost."""
    return tuple(
        LostWrite(
            key=write.key,
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
    return Revision(era=era or 0, number=number or 0)


def _encode_item(item: PublishedItem) -> CopyItem:
    return CopyItem(key=item.key, revision=item.revision, value=item.value)


def _decode_item(item: CopyItem) -> PublishedItem:
    return PublishedItem(key=item.key, revision=item.revision, value=item.value)


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
