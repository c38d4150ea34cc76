"""The canonical set: content-addressed parts and a manifest that names them.

A part holds objects of one kind whose names share a hash bucket. A change of
one object thus changes one part, and who is behind fetches only that part.
Parts are keyed by their digest and never change. A manifest names the set's
number, its parts, and the digests of the sets before it.
"""

import hashlib
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NewType

import msgspec

from bilberryring.objects.kinds import Kind, PublishedObject
from bilberryring.objects.object_set import ObjectSet

Digest = NewType("Digest", str)
SetNumber = NewType("SetNumber", int)

OBJECTS_PER_PART = 128
HISTORY_LENGTH = 64
MAX_PART_BYTES = 1_000_000
NO_DIGEST = Digest("")


class SetError(Exception):
    """A manifest or part that cannot be used; the message names the remedy."""


class PartReference(msgspec.Struct, frozen=True, kw_only=True):
    """One part of a manifest; `size` is in bytes."""

    kind: str
    digest: Digest
    size: int


class Manifest(msgspec.Struct, frozen=True, kw_only=True):
    """A set's number, its parts, and the digests of its predecessors.

    `history` holds the digests of the sets `number - 1`, `number - 2` and so
    on, the nearest first.
    """

    number: SetNumber
    parts: tuple[PartReference, ...]
    history: tuple[Digest, ...] = ()

    @property
    def digest(self) -> Digest:
        """The digest of the whole set, its history included."""
        return digest_of(msgspec.json.encode(self))

    def digest_of_predecessor(self, number: SetNumber) -> Digest | None:
        """Return the digest the history gives for a number, or `None`."""
        distance = self.number - number
        if 1 <= distance <= len(self.history):
            return self.history[distance - 1]
        return None


class _PartContent(msgspec.Struct, frozen=True, kw_only=True):
    kind: str
    objects: tuple[msgspec.Raw, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class CanonicalSet:
    """A manifest with the bytes of its parts by digest."""

    manifest: Manifest
    parts: dict[Digest, bytes]


def digest_of(content: bytes) -> Digest:
    """Return the SHA-256 digest of some bytes in hexadecimal."""
    return Digest(hashlib.sha256(content).hexdigest())


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the bytes of a manifest as published."""
    return msgspec.json.encode(manifest)


def decode_manifest(content: bytes) -> Manifest:
    """Return a manifest; `SetError` when the bytes are not one."""
    try:
        return msgspec.json.decode(content, type=Manifest)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SetError(f"manifest_malformed: {error}. Remedy: render and publish again")


def render_set(
    objects: ObjectSet,
    *,
    predecessor: Manifest | None,
    number: SetNumber | None = None,
) -> CanonicalSet:
    """Return the canonical set that follows `predecessor`.

    A `number` further on than the next leaves out numbers that were refused;
    the history names no digest for those.
    """
    parts: dict[Digest, bytes] = {}
    references: list[PartReference] = []
    for kind in Kind:
        for content in _parts_of_kind(kind, objects.of_kind(kind)):
            if len(content) > MAX_PART_BYTES:
                raise SetError(
                    f"part_too_large: {kind.value}: {len(content)} bytes. "
                    "Remedy: shorten the objects of this kind"
                )
            digest = digest_of(content)
            parts[digest] = content
            references.append(
                PartReference(kind=kind.value, digest=digest, size=len(content))
            )
    next_number = SetNumber(1 if predecessor is None else predecessor.number + 1)
    number = max(number or next_number, next_number)
    history: tuple[Digest, ...] = ()
    if predecessor is not None:
        left_out = (NO_DIGEST,) * (number - next_number)
        history = (*left_out, predecessor.digest, *predecessor.history)
        history = history[:HISTORY_LENGTH]
    manifest = Manifest(number=number, parts=tuple(references), history=history)
    return CanonicalSet(manifest=manifest, parts=parts)


def decode_part(content: bytes) -> Iterator[tuple[Kind, PublishedObject]]:
    """Iterate over a part's objects; `SetError` for a malformed part."""
    try:
        part = msgspec.json.decode(content, type=_PartContent)
        kind = Kind(part.kind)
        for raw in part.objects:
            yield kind, msgspec.json.decode(raw, type=kind.struct)
    except (msgspec.DecodeError, ValueError) as error:
        raise SetError(f"part_malformed: {error}. Remedy: render and publish again")


def _parts_of_kind(kind: Kind, objects: dict[str, PublishedObject]) -> Iterator[bytes]:
    count = _bucket_count(len(objects))
    buckets: list[list[PublishedObject]] = [[] for _ in range(count)]
    for name in sorted(objects):
        buckets[zlib.crc32(name.encode()) % count].append(objects[name])
    for bucket in buckets:
        if bucket:
            yield msgspec.json.encode({"kind": kind.value, "objects": bucket})


def _bucket_count(objects: int) -> int:
    """Return a power of two, so that one more object seldom moves the others."""
    count = 1
    while count * OBJECTS_PER_PART < objects:
        count *= 2
    return count
