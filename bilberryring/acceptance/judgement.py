"""Whether a process may put a set in force, given what it has in force.

Operators write each manifest under a key that names its number and digest. The
platform tells with each key the revision that created it. Only the manifest
created first under a number counts. Readers see revisions in order, so whoever
sees the second of two sees the first as well: no process can accept the loser,
and none has to step back.
"""

from dataclasses import dataclass
from enum import Enum

from bilberryring.objects import Digest, Manifest


class Verdict(Enum):
    """What to do with a candidate set; each refusal names its remedy."""

    def __new__(cls, value: str, is_refusal: bool, remedy: str):
        member = object.__new__(cls)
        member._value_ = value
        member.is_refusal = is_refusal
        member.remedy = remedy
        return member

    ACCEPTABLE = ("acceptable", False, "")
    IN_FORCE = ("in_force", False, "")
    OLDER = ("older", False, "")
    REFUSED_BEFORE = ("refused_before", False, "")
    NOT_FIRST_WRITE = (
        "not_first_write",
        True,
        "another operator published this number first; render again on top of it",
    )
    CONFLICTING = (
        "conflicting",
        True,
        "another set has this number in force; render again on top of it",
    )
    BROKEN_CHAIN = (
        "broken_chain",
        True,
        "its predecessor is not the set in force; render again on top of that",
    )
    BUILT_ON_REFUSED = (
        "built_on_refused",
        True,
        "its predecessor was refused; render again on top of the set in force",
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A manifest and whether it was the first one written under its number.

    Sets that come from a peer are first writes, since the peer accepted them.
    """

    manifest: Manifest
    is_first_write: bool = True


def judge(
    candidate: Candidate,
    *,
    in_force: Manifest | None,
    losers: frozenset[Digest] = frozenset(),
) -> Verdict:
    """Return the verdict on a candidate; a set is only ever left for a later one.

    `losers` are the digests known not to be first under their numbers.

    >>> first = Manifest(number=1, parts=())
    >>> second = Manifest(number=2, parts=(), history=(first.digest,))
    >>> judge(Candidate(manifest=second), in_force=first).value
    'acceptable'
    >>> judge(Candidate(manifest=first), in_force=second).value
    'older'
    """
    manifest = candidate.manifest
    if in_force is not None and manifest.digest == in_force.digest:
        return Verdict.IN_FORCE
    if not candidate.is_first_write or manifest.digest in losers:
        return Verdict.NOT_FIRST_WRITE
    if any(digest in losers for digest in manifest.history):
        return Verdict.BUILT_ON_REFUSED
    if in_force is None:
        return Verdict.ACCEPTABLE
    if manifest.number == in_force.number:
        return Verdict.CONFLICTING
    if manifest.number < in_force.number:
        return _judge_older(manifest, in_force)
    return _judge_newer(manifest, in_force)


def _judge_older(manifest: Manifest, in_force: Manifest) -> Verdict:
    expected = in_force.digest_of_predecessor(manifest.number)
    if expected is not None and expected != manifest.digest:
        return Verdict.CONFLICTING
    return Verdict.OLDER


def _judge_newer(manifest: Manifest, in_force: Manifest) -> Verdict:
    expected = manifest.digest_of_predecessor(in_force.number)
    if expected is not None and expected != in_force.digest:
        return Verdict.BROKEN_CHAIN
    return Verdict.ACCEPTABLE
