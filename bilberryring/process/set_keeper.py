"""Validates sets and puts them in force; an older set never replaces a newer one."""

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

MAX_FINDINGS_SHOWN = 3
"""Findings that the refusal of an inconsistent set lists at most."""

DecodedPart = tuple[tuple[Kind, PublishedObject], ...]


class SetKeeper:
    """Owns the accepted sets of one process; `on_in_force` gets each new one."""

    def __init__(
        self, *, reactor, log: EventLog, on_in_force: Callable[[SetInForce], None]
    ):
        self._reactor = reactor
        self._log = log
        self._on_in_force = on_in_force
        self._sets = AcceptedSets()
        self._decoded: dict[str, DecodedPart] = {}
        self._is_validating = False
        self._highest_seen = 0

    @property
    def sets(self) -> AcceptedSets:
        """The accepted sets; only the keeper changes them."""
        return self._sets

    @property
    def highest_seen(self) -> int:
        """The highest set number that the platform or a peer has reported."""
        return max(self._highest_seen, self._sets.number)

    def record_number(self, number: int) -> None:
        """Record a set number that the platform or a peer reported."""
        self._highest_seen = max(self._highest_seen, number)

    def consider(self, candidate: Candidate) -> Verdict:
        """Return the verdict on a manifest; each refused digest is logged once."""
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
        """Add a part to the pending set; return `False` if the part is corrupt."""
        if self._sets.add_part(digest, content):
            return True
        self._log.write(LogEvent.SET_PART_CORRUPT, digest=digest)
        return False

    def drop_incomplete(self) -> None:
        """Forget a pending set whose parts are not all known."""
        if self._sets.missing_parts():
            self._sets.drop_pending()

    def refuse_malformed(self, number: int, remedy: str) -> None:
        """Log the refusal of a manifest that is malformed or does not match its key."""
        self._highest_seen = max(self._highest_seen, number)
        self._log.write(
            LogEvent.SET_REFUSED,
            set=number,
            digest="",
            reason=RefusalReason.MALFORMED.value,
            remedy=remedy,
        )

    async def validate(self) -> None:
        """Validate the pending set, once it is complete, and put it in force.

        A set that becomes pending and complete meanwhile is validated next. A call
        while another one is running returns at once.
        """
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
        parts = self._sets.collect_pending_parts()
        try:
            decoded = await self._decode(parts)
        except SetError as error:
            self._refuse(RefusalReason.MALFORMED, str(error))
            return
        objects = build_set(item for part in decoded.values() for item in part)
        results = await collect_in_slices(self._reactor, check_set(objects))
        findings = [finding for finding in results if finding is not None]
        if findings:
            detail = "; ".join(
                finding.text for finding in findings[:MAX_FINDINGS_SHOWN]
            )
            self._refuse(RefusalReason.INCONSISTENT, detail)
            return
        validated = SetInForce(manifest=manifest, parts=parts, objects=objects)
        if self._sets.put_in_force(validated):
            self._decoded = decoded
            self._log.write(
                LogEvent.SET_IN_FORCE, set=manifest.number, digest=manifest.digest
            )
            self._on_in_force(validated)

    async def _decode(self, parts: dict[str, bytes]) -> dict[str, DecodedPart]:
        """Return the decoded parts, reusing those of the set in force."""
        decoded: dict[str, DecodedPart] = {}
        for digest, content in parts.items():
            decoded_part = self._decoded.get(digest)
            if decoded_part is None:
                decoded_part = tuple(
                    await collect_in_slices(self._reactor, decode_part(content))
                )
            decoded[digest] = decoded_part
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
