"""Whether a process may put a set in force, given the one that it has in force.

Operators write each manifest under a key with its number and digest, and the platform
returns with each key the revision at which it was created. Of several manifests with
the same number, only the one created first is valid. Readers see revisions in order,
so a reader that sees the second one also sees the first. No process can thus accept
the second one, and none ever has to return to an earlier set.
"""

from dataclasses import dataclass
from enum import Enum

from bilberryring.objects import Digest, Manifest


class Verdict(Enum):
    """The result of evaluating a candidate; a refusal has a remedy for operators."""

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
        "another operator published this number first; render again on top of that set",
    )
    CONFLICTING = (
        "conflicting",
        True,
        "another set with this number is in force; render again on top of that set",
    )
    BROKEN_CHAIN = (
        "broken_chain",
        True,
        "its predecessor is not the set in force; render again on top of that set",
    )
    BUILT_ON_REFUSED = (
        "built_on_refused",
        True,
        "its predecessor was refused; render again on top of the set in force",
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A manifest, and whether it was the first one written under its number.

    A manifest from a peer is a first write, since the peer has accepted it.
    """

    manifest: Manifest
    is_first_write: bool = True


def evaluate_candidate(
    candidate: Candidate,
    *,
    in_force: Manifest | None,
    not_first: frozenset[Digest] = frozenset(),
) -> Verdict:
    """Return the verdict on a candidate; only a later set is ever acceptable.

    `not_first` are the digests of manifests known not to be the first under their
    number.

    >>> first = Manifest(number=1, parts=())
    >>> second = Manifest(number=2, parts=(), history=(first.digest,))
    >>> evaluate_candidate(Candidate(manifest=second), in_force=first).value
    'acceptable'
    >>> evaluate_candidate(Candidate(manifest=first), in_force=second).value
    'older'
    """
    manifest = candidate.manifest
    if in_force is not None and manifest.digest == in_force.digest:
        return Verdict.IN_FORCE
    if not candidate.is_first_write or manifest.digest in not_first:
        return Verdict.NOT_FIRST_WRITE
    if any(digest in not_first for digest in manifest.history):
        return Verdict.BUILT_ON_REFUSED
    if in_force is None:
        return Verdict.ACCEPTABLE
    if manifest.number == in_force.number:
        return Verdict.CONFLICTING
    if manifest.number < in_force.number:
        return _evaluate_older(manifest, in_force)
    return _evaluate_newer(manifest, in_force)


def _evaluate_older(manifest: Manifest, in_force: Manifest) -> Verdict:
    expected = in_force.digest_of_predecessor(manifest.number)
    if expected is not None and expected != manifest.digest:
        return Verdict.CONFLICTING
    return Verdict.OLDER


def _evaluate_newer(manifest: Manifest, in_force: Manifest) -> Verdict:
    expected = manifest.digest_of_predecessor(in_force.number)
    if expected is not None and expected != in_force.digest:
        return Verdict.BROKEN_CHAIN
    return Verdict.ACCEPTABLE
