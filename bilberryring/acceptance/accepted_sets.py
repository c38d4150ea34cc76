"""The set a process has in force, and the one it is gathering."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from bilberryring.acceptance.judgement import Candidate, Verdict, judge
from bilberryring.objects import Digest, Manifest, ObjectSet, digest_of

REFUSALS_KEPT = 16


class RefusalReason(Enum):
    """Why a set was refused for what it holds, not for its place in the order."""

    MALFORMED = "malformed"
    INCONSISTENT = "inconsistent"


@dataclass(frozen=True, slots=True, kw_only=True)
class RefusedSet:
    """A refused set, told to operators by `bilberryring status`."""

    number: int
    digest: Digest
    reason: str
    remedy: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SetInForce:
    """A manifest, its parts and its objects, checked and in force."""

    manifest: Manifest
    parts: dict[Digest, bytes]
    objects: ObjectSet


class AcceptedSets:
    """Moves forward from set to set and never back.

    `consider` judges a manifest, `missing_parts` names what has to be fetched,
    `add_part` takes it, and `put_in_force` completes the step.
    """

    def __init__(self):
        self._in_force: SetInForce | None = None
        self._pending: Manifest | None = None
        self._pending_parts: dict[Digest, bytes] = {}
        self._refused: OrderedDict[Digest, RefusedSet] = OrderedDict()

    @property
    def in_force(self) -> SetInForce | None:
        """The set in force, or `None` before the first."""
        return self._in_force

    @property
    def number(self) -> int:
        """The number in force; 0 before the first."""
        return self._in_force.manifest.number if self._in_force else 0

    @property
    def digest(self) -> Digest:
        """The digest in force; empty before the first."""
        return self._in_force.manifest.digest if self._in_force else Digest("")

    @property
    def pending(self) -> Manifest | None:
        """The manifest whose parts are being gathered."""
        return self._pending

    @property
    def refused(self) -> tuple[RefusedSet, ...]:
        """The sets refused lately, the oldest first."""
        return tuple(self._refused.values())

    def missing_parts(self) -> tuple[Digest, ...]:
        """Return the digests of the pending set's parts that are not here."""
        if self._pending is None:
            return ()
        held = self._in_force.parts if self._in_force else {}
        return tuple(
            part.digest
            for part in self._pending.parts
            if part.digest not in held and part.digest not in self._pending_parts
        )

    def complete_parts(self) -> dict[Digest, bytes]:
        """Return all parts of the pending set, once none is missing."""
        held = self._in_force.parts if self._in_force else {}
        found = {**held, **self._pending_parts}
        return {part.digest: found[part.digest] for part in self._pending.parts}

    def consider(self, candidate: Candidate) -> Verdict:
        """Judge a manifest; an acceptable one becomes the pending one."""
        verdict = judge(
            candidate,
            in_force=self._in_force.manifest if self._in_force else None,
            losers=self._losers(),
        )
        manifest = candidate.manifest
        if verdict is Verdict.ACCEPTABLE and manifest.digest in self._refused:
            return Verdict.REFUSED_BEFORE
        if verdict.is_refusal:
            self._remember_refusal(manifest, verdict.value, verdict.remedy)
        elif verdict is Verdict.ACCEPTABLE and self._is_better_pending(manifest):
            self._pending = manifest
        return verdict

    def add_part(self, digest: Digest, content: bytes) -> bool:
        """Take a part; `False` when the content is not what the digest says."""
        if digest_of(content) != digest:
            return False
        self._pending_parts[digest] = content
        return True

    def refuse_pending(self, *, reason: RefusalReason, remedy: str) -> None:
        """Refuse the pending set for what it holds; what is in force stays."""
        if self._pending is not None:
            self._remember_refusal(self._pending, reason.value, remedy)
        self._drop_pending()

    def put_in_force(self, found: SetInForce) -> bool:
        """Put a checked set in force; `False` when a later one already is."""
        verdict = judge(
            Candidate(manifest=found.manifest),
            in_force=self._in_force.manifest if self._in_force else None,
            losers=self._losers(),
        )
        if verdict is not Verdict.ACCEPTABLE:
            return False
        self._in_force = found
        if self._pending is None or self._pending.number <= found.manifest.number:
            self._drop_pending()
        return True

    def _losers(self) -> frozenset[Digest]:
        return frozenset(
            refused.digest
            for refused in self._refused.values()
            if refused.reason == Verdict.NOT_FIRST_WRITE.value
        )

    def _is_better_pending(self, manifest: Manifest) -> bool:
        return self._pending is None or manifest.number > self._pending.number

    def _drop_pending(self) -> None:
        self._pending = None
        self._pending_parts = {}

    def _remember_refusal(self, manifest: Manifest, reason: str, remedy: str) -> None:
        self._refused[manifest.digest] = RefusedSet(
            number=manifest.number,
            digest=manifest.digest,
            reason=reason,
            remedy=remedy,
        )
        while len(self._refused) > REFUSALS_KEPT:
            self._refused.popitem(last=False)
