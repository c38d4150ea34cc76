"""The task that checks sets and puts them in force, and never steps back."""

from collections.abc import Callable

from bilberryring.acceptance import (
    AcceptedSets,
    Candidate,
    RefusalReason,
    SetInForce,
    Verdict,
)
from bilberryring.objects import (
    Kind,
    PublishedObject,
    SetError,
    build_set,
    check_set,
    decode_part,
)
from bilberryring.process.slices import collect_in_slices
from bilberryring.telemetry import EventLog, LogEvent

FINDINGS_SHOWN = 3

Decoded = tuple[tuple[Kind, PublishedObject], ...]


class SetKeeper:
    """Owns the accepted sets of one process."""

    def __init__(
        self, *, reactor, log: EventLog, on_in_force: Callable[[SetInForce], None]
    ):
        self._reactor = reactor
        self._log = log
        self._on_in_force = on_in_force
        self._sets = AcceptedSets()
        self._decoded: dict[str, Decoded] = {}
        self._is_validating = False
        self._highest_seen = 0

    @property
    def sets(self) -> AcceptedSets:
        """The accepted sets; only the keeper changes them."""
        return self._sets

    @property
    def highest_seen(self) -> int:
        """The highest number that any source named."""
        return max(self._highest_seen, self._sets.number)

    def note_number(self, number: int) -> None:
        """Note a number that some source named."""
        self._highest_seen = max(self._highest_seen, number)

    def consider(self, candidate: Candidate) -> Verdict:
        """Judge a manifest and log a refusal once."""
        manifest = candidate.manifest
        known = {refused.digest for refused in self._sets.refused}
        self._highest_seen = max(self._highest_seen, manifest.number)
        verdict = self._sets.consider(candidate)
        if verdict.is_refusal and manifest.digest not in known:
            self._log.write(
                LogEvent.SET_REFUSED,
                set=manifest.number,
                digest=manifest.digest,
                reason=verdict.value,
                remedy=verdict.remedy,
            )
        return verdict

    def add_part(self, digest: str, content: bytes) -> bool:
        """Take a part of the pending set; `False` when it is corrupt."""
        if self._sets.add_part(digest, content):
            return True
        self._log.write(LogEvent.SET_PART_CORRUPT, digest=digest)
        return False

    def refuse_malformed(self, number: int, remedy: str) -> None:
        """Log a manifest that cannot be read."""
        self._highest_seen = max(self._highest_seen, number)
        self._log.write(
            LogEvent.SET_REFUSED,
            set=number,
            digest="",
            reason=RefusalReason.MALFORMED.value,
            remedy=remedy,
        )

    async def validate(self) -> None:
        """Run the whole check on the pending set and put it in force."""
        if self._is_validating:
            return
        self._is_validating = True
        try:
            while self._sets.pending is not None and not self._sets.missing_parts():
                await self._validate_pending()
        finally:
            self._is_validating = False

    async def _validate_pending(self) -> None:
        manifest = self._sets.pending
        parts = self._sets.complete_parts()
        try:
            decoded = await self._decode(parts)
        except SetError as error:
            self._refuse(RefusalReason.MALFORMED, str(error))
            return
        objects = build_set(item for part in decoded.values() for item in part)
        steps = await collect_in_slices(self._reactor, check_set(objects))
        findings = [finding for finding in steps if finding is not None]
        if findings:
            shown = "; ".join(finding.text for finding in findings[:FINDINGS_SHOWN])
            self._refuse(RefusalReason.INCONSISTENT, shown)
            return
        found = SetInForce(manifest=manifest, parts=parts, objects=objects)
        if self._sets.put_in_force(found):
            self._decoded = decoded
            self._log.write(
                LogEvent.SET_IN_FORCE, set=manifest.number, digest=manifest.digest
            )
            self._on_in_force(found)

    async def _decode(self, parts: dict[str, bytes]) -> dict[str, Decoded]:
        """Decode the parts that are new; the others are decoded already."""
        decoded: dict[str, Decoded] = {}
        for digest, content in parts.items():
            held = self._decoded.get(digest)
            if held is None:
                held = tuple(
                    await collect_in_slices(self._reactor, decode_part(content))
                )
            decoded[digest] = held
        return decoded

    def _refuse(self, reason: RefusalReason, detail: str) -> None:
        pending = self._sets.pending
        if pending is None:
            return
        self._sets.refuse_pending(reason=reason, remedy=detail)
        self._log.write(
            LogEvent.SET_REFUSED,
            set=pending.number,
            digest=pending.digest,
            reason=reason.value,
            remedy=detail,
        )
