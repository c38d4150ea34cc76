"""The canonical encoding of a set: content-addressed parts and a manifest.

A part holds the objects of one kind whose names fall into the same hash bucket.
A change to one object therefore changes one part, and a process that has the
previous set fetches only that part. Parts are stored under their digest and never
change. The manifest lists the set's number, its parts, and the digests of the
preceding sets.
"""

import hashlib
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, NewType

import msgspec

from bilberryring.core import MalformedJsonError, decode_json
from bilberryring.objects.kinds import Kind, PublishedObject
from bilberryring.objects.object_set import ObjectSet

Digest = NewType("Digest", str)
SetNumber = NewType("SetNumber", int)

OBJECTS_PER_PART = 128
"""The hash buckets of a kind are doubled until this average size is not exceeded."""
HISTORY_LENGTH = 64
"""Maximum number of preceding sets whose digests a manifest lists."""
MAX_PART_BYTES = 1_000_000
MAX_DETAIL_CHARS = 200
"""Characters of a decoder's message that an error keeps."""
MAX_SET_NUMBER = 10**18 - 1
"""Highest number of a set. Keys and messages hold no higher ones."""
NO_DIGEST = Digest("")
"""Entry in a manifest's history for a number that was skipped."""


class SetError(Exception):
    """Raised for a manifest or part that cannot be used; the message has a remedy."""


class PartReference(msgspec.Struct, frozen=True, kw_only=True):
    """A manifest's reference to one part; `size` is in bytes."""

    kind: str
    digest: Annotated[Digest, msgspec.Meta(pattern=r"\A[0-9a-f]{64}\Z")]
    size: Annotated[int, msgspec.Meta(ge=0, le=MAX_PART_BYTES)]


class Manifest(msgspec.Struct, frozen=True, kw_only=True):
    """A set's number, its parts, and the digests of its predecessors.

    `history` holds the digests of the sets `number - 1`, `number - 2` and so
    on, the most recent first. A skipped number has `NO_DIGEST`.
    """

    number: Annotated[SetNumber, msgspec.Meta(ge=1, le=MAX_SET_NUMBER)]
    parts: tuple[PartReference, ...]
    history: tuple[Digest, ...] = ()

    @property
    def digest(self) -> Digest:
        """The digest of the encoded manifest, and thus of the parts and the history."""
        return compute_digest(msgspec.json.encode(self))

    def digest_of_predecessor(self, number: SetNumber) -> Digest | None:
        """Return the digest of the preceding set with a number.

        The result is `None` if the history does not reach back to the number.
        """
        distance = self.number - number
        if 1 <= distance <= len(self.history):
            return self.history[distance - 1]
        return None


class _PartContent(msgspec.Struct, frozen=True, kw_only=True):
    kind: str
    objects: tuple[msgspec.Raw, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class CanonicalSet:
    """A manifest, and the encoded parts by their digest."""

    manifest: Manifest
    parts: dict[Digest, bytes]


def compute_digest(content: bytes) -> Digest:
    """Return the SHA-256 digest of `content` in hexadecimal."""
    return Digest(hashlib.sha256(content).hexdigest())


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the JSON encoding under which a manifest is published."""
    return msgspec.json.encode(manifest)


def decode_manifest(content: bytes) -> Manifest:
    """Return the manifest that `content` encodes.

    `SetError` is raised if `content` is not a valid manifest.
    """
    try:
        return decode_json(content, Manifest)
    except MalformedJsonError as error:
        detail = str(error)[:MAX_DETAIL_CHARS]
        raise SetError(
            f"manifest_malformed: {detail}. Remedy: render and publish again"
        )


def render_set(
    objects: ObjectSet,
    *,
    predecessor: Manifest | None,
    number: SetNumber | None = None,
) -> CanonicalSet:
    """Return the canonical set that follows `predecessor`.

    Without a `number` the set gets the next number. A higher `number` skips the
    numbers of sets that were refused; the history has `NO_DIGEST` for them.
    """
    parts: dict[Digest, bytes] = {}
    references: list[PartReference] = []
    for kind in Kind:
        for content in _encode_parts(kind, objects.of_kind(kind)):
            if len(content) > MAX_PART_BYTES:
                raise SetError(
                    f"part_too_large: {kind.value}: {len(content)} bytes. "
                    "Remedy: shorten the objects of this kind"
                )
            digest = compute_digest(content)
            parts[digest] = content
            references.append(
                PartReference(kind=kind.value, digest=digest, size=len(content))
            )
    next_number = SetNumber(1 if predecessor is None else predecessor.number + 1)
    number = max(number or next_number, next_number)
    history: tuple[Digest, ...] = ()
    if predecessor is not None:
        skipped = (NO_DIGEST,) * (number - next_number)
        history = (*skipped, predecessor.digest, *predecessor.history)
        history = history[:HISTORY_LENGTH]
    manifest = Manifest(number=number, parts=tuple(references), history=history)
    return CanonicalSet(manifest=manifest, parts=parts)


def decode_part(content: bytes) -> Iterator[tuple[Kind, PublishedObject]]:
    """Yield the objects of an encoded part.

    `SetError` is raised if the part is malformed.
    """
    try:
        part = decode_json(content, _PartContent)
        kind = Kind(part.kind)
        for raw in part.objects:
            yield kind, decode_json(raw, kind.struct)
    except ValueError as error:
        detail = str(error)[:MAX_DETAIL_CHARS]
        raise SetError(f"part_malformed: {detail}. Remedy: render and publish again")


def _encode_parts(kind: Kind, objects: dict[str, PublishedObject]) -> Iterator[bytes]:
    bucket_count = _bucket_count(len(objects))
    buckets: list[list[PublishedObject]] = [[] for _ in range(bucket_count)]
    for name in sorted(objects):
        buckets[zlib.crc32(name.encode()) % bucket_count].append(objects[name])
    for bucket in buckets:
        if bucket:
            yield msgspec.json.encode({"kind": kind.value, "objects": bucket})


def _bucket_count(object_count: int) -> int:
    """Return the number of buckets for a kind's objects.

    It is a power of two, so that adding an object seldom changes it and moves the
    other objects to other parts.
    """
    count = 1
    while count * OBJECTS_PER_PART < object_count:
        count *= 2
    return count
