"""The set that a process has in force, and the one whose parts it fetches."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from bilberryring.acceptance.evaluation import Candidate, Verdict, evaluate_candidate
from bilberryring.objects import Digest, Manifest, ObjectSet, compute_digest

MAX_REFUSALS = 16


class RefusalReason(Enum):
    """Why a set was refused for its content, not for its place in the order of sets."""

    MALFORMED = "malformed"
    INCONSISTENT = "inconsistent"


@dataclass(frozen=True, slots=True, kw_only=True)
class RefusedSet:
    """A refused set, shown to operators by `bilberryring status`.

    `reason` is the value of a `Verdict` or of a `RefusalReason`.
    """

    number: int
    digest: Digest
    reason: str
    remedy: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SetInForce:
    """A checked set that is in force: its manifest, parts by digest, and objects."""

    manifest: Manifest
    parts: dict[Digest, bytes]
    objects: ObjectSet


class AcceptedSets:
    """Holds the set in force, and replaces it only with later sets.

    `consider` evaluates a manifest and may make it the pending one, `missing_parts`
    returns what has to be fetched for it, `add_part` adds a fetched part, and
    `put_in_force` replaces the set in force.
    """

    def __init__(self):
        self._in_force: SetInForce | None = None
        self._pending: Manifest | None = None
        self._pending_parts: dict[Digest, bytes] = {}
        self._refused: OrderedDict[Digest, RefusedSet] = OrderedDict()

    @property
    def in_force(self) -> SetInForce | None:
        """The set in force, or `None` before the first one."""
        return self._in_force

    @property
    def number(self) -> int:
        """The number of the set in force; 0 before the first one."""
        return self._in_force.manifest.number if self._in_force else 0

    @property
    def digest(self) -> Digest:
        """The digest of the set in force; empty before the first one."""
        return self._in_force.manifest.digest if self._in_force else Digest("")

    @property
    def pending(self) -> Manifest | None:
        """The manifest whose parts are being fetched, or `None`."""
        return self._pending

    @property
    def refused(self) -> tuple[RefusedSet, ...]:
        """The sets refused most recently, the oldest first."""
        return tuple(self._refused.values())

    def missing_parts(self) -> tuple[Digest, ...]:
        """Return the digests of the pending set's parts that must still be fetched."""
        if self._pending is None:
            return ()
        in_force = self._in_force.parts if self._in_force else {}
        return tuple(
            part.digest
            for part in self._pending.parts
            if part.digest not in in_force and part.digest not in self._pending_parts
        )

    def collect_pending_parts(self) -> dict[Digest, bytes]:
        """Return all parts of the pending set by digest; none may be missing."""
        in_force = self._in_force.parts if self._in_force else {}
        available = {**in_force, **self._pending_parts}
        return {part.digest: available[part.digest] for part in self._pending.parts}

    def consider(self, candidate: Candidate) -> Verdict:
        """Evaluate a manifest, and make it the pending one if it is acceptable.

        A pending set with the same or a higher number stays pending.
        """
        verdict = evaluate_candidate(
            candidate,
            in_force=self._in_force.manifest if self._in_force else None,
            not_first=self._not_first_digests(),
        )
        manifest = candidate.manifest
        if verdict is Verdict.ACCEPTABLE and manifest.digest in self._refused:
            return Verdict.REFUSED_BEFORE
        if verdict.is_refusal:
            self._record_refusal(manifest, verdict.value, verdict.remedy)
        elif verdict is Verdict.ACCEPTABLE and self._is_newer_than_pending(manifest):
            self._pending = manifest
        return verdict

    def add_part(self, digest: Digest, content: bytes) -> bool:
        """Add a part of the pending set; `False` when its content is corrupt."""
        if compute_digest(content) != digest:
            return False
        self._pending_parts[digest] = content
        return True

    def refuse_pending(self, *, reason: RefusalReason, remedy: str) -> None:
        """Refuse the pending set for its content; the set in force stays."""
        if self._pending is not None:
            self._record_refusal(self._pending, reason.value, remedy)
        self.drop_pending()

    def drop_pending(self) -> None:
        """Forget the pending set and the parts fetched for it; it may come again."""
        self._pending = None
        self._pending_parts = {}

    def put_in_force(self, checked: SetInForce) -> bool:
        """Put a checked set in force; `False` when it is no longer acceptable.

        That happens when a later set was put in force in the meantime.
        """
        verdict = evaluate_candidate(
            Candidate(manifest=checked.manifest),
            in_force=self._in_force.manifest if self._in_force else None,
            not_first=self._not_first_digests(),
        )
        if verdict is not Verdict.ACCEPTABLE:
            return False
        self._in_force = checked
        if self._pending is None or self._pending.number <= checked.manifest.number:
            self.drop_pending()
        return True

    def _not_first_digests(self) -> frozenset[Digest]:
        return frozenset(
            refused.digest
            for refused in self._refused.values()
            if refused.reason == Verdict.NOT_FIRST_WRITE.value
        )

    def _is_newer_than_pending(self, manifest: Manifest) -> bool:
        return self._pending is None or manifest.number > self._pending.number

    def _record_refusal(self, manifest: Manifest, reason: str, remedy: str) -> None:
        self._refused[manifest.digest] = RefusedSet(
            number=manifest.number,
            digest=manifest.digest,
            reason=reason,
            remedy=remedy,
        )
        while len(self._refused) > MAX_REFUSALS:
            self._refused.popitem(last=False)
