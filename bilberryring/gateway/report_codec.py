"""Translation between reports of gateways and their messages."""

import ipaddress
from collections.abc import Iterable

from bilberryring.core import Fingerprint, PromptPartId
from bilberryring.fleet import MS_PER_SECOND
from bilberryring.gateway.copy_codec import decode_position
from bilberryring.gateway.peer_view import (
    CrashNews,
    EndpointDeath,
    Member,
    PeerReport,
)
from bilberryring.gateway.store_readers import StoreAccess
from bilberryring.quarantine import PartStanding
from bilberryring.routing import DecodeGroup, EndpointWork, PrefillStream
from bilberryring.wire import (
    CrashReport,
    DecodeGroupReport,
    EngineDeath,
    GatewayReport,
    PartReport,
    PrefillStreamReport,
    WorkReport,
)
from bilberryring.wire import Member as MemberMessage

HUNDREDTHS = 100.0
MAX_MILLISECONDS = 3_600_000
"""The longest time in a report; a request without an objective has no due time."""


class ReportError(Exception):
    """A report lacks a field or has a value out of range; it is dropped."""

    def __init__(self, detail: str):
        super().__init__(
            f"report_malformed: {detail}. Remedy: compare the versions of the gateways."
        )


def encode_work(endpoint: str, work: EndpointWork) -> WorkReport:
    """Return the message with the work on one endpoint."""
    return WorkReport(
        endpoint=endpoint,
        requests=work.requests,
        prefill_ms=round(work.prefill_ms),
        prefill_elapsed_ms=round(work.prefill_elapsed_ms),
        kv_tokens=work.kv_tokens,
        decode_groups=[
            DecodeGroupReport(
                gap_ms=group.gap_ms,
                count=group.count,
                value_hundredths=round(group.value * HUNDREDTHS),
            )
            for group in work.decode_groups
        ],
        prefill_streams=[
            PrefillStreamReport(
                gap_ms=stream.gap_ms,
                value_hundredths=round(stream.value * HUNDREDTHS),
                due_ms=_clamp_milliseconds(stream.due_ms),
            )
            for stream in work.prefill_streams
        ],
    )


def encode_members(members: Iterable[Member]) -> list[MemberMessage]:
    """Return the messages of known gateways."""
    return [
        MemberMessage(
            address=ipaddress.ip_address(member.host).packed,
            silent_ms=round(member.silent_seconds * MS_PER_SECOND),
        )
        for member in members
    ]


def encode_deaths(deaths: Iterable[EndpointDeath]) -> list[EngineDeath]:
    """Return the messages of endpoints' crashes."""
    return [
        EngineDeath(
            death=item.death,
            fingerprints=list(item.fingerprints),
            parts=list(item.parts),
            age_ms=round(item.age_seconds * MS_PER_SECOND),
        )
        for item in deaths
    ]


def encode_parts(standings: Iterable[PartStanding]) -> list[PartReport]:
    """Return the messages of what is known of parts of prompts."""
    return [
        PartReport(
            part=item.part,
            crashes=item.crashes,
            crashed_ms=_clamp_milliseconds(item.crashed_ago * MS_PER_SECOND),
            served_ms=None
            if item.served_ago is None
            else _clamp_milliseconds(item.served_ago * MS_PER_SECOND),
        )
        for item in standings
    ]


def decode_crash_report(message: CrashReport) -> CrashNews:
    """Return the news that a peer sent, or raise `ReportError`."""
    try:
        return CrashNews(
            deaths=tuple(_decode_death(item) for item in message.deaths or ()),
            parts=tuple(_decode_part(item) for item in message.parts or ()),
        )
    except ValueError as error:
        raise ReportError(str(error))


def decode_report(message: GatewayReport, *, host: str) -> PeerReport:
    """Return the report that `host` sent, or raise `ReportError`.

    A gateway of an earlier version knows no eras, so its copies are not comparable.
    """
    knows_eras = all(item.era is not None for item in message.revisions or ())
    try:
        return PeerReport(
            incarnation=_required(message.incarnation),
            host=host,
            sequence=_required(message.sequence),
            is_complete=bool(message.is_complete),
            failure_domain=message.failure_domain or "",
            store_access=StoreAccess(message.store_access or 0),
            knows_eras=knows_eras,
            positions=tuple(
                (_required(item.prefix), decode_position(item))
                for item in message.revisions or ()
                if knows_eras
            ),
            work=tuple(
                (_required(item.endpoint), _decode_work(item))
                for item in message.work or ()
            ),
            members=tuple(_decode_member(item) for item in message.members or ()),
            deaths=tuple(_decode_death(item) for item in message.deaths or ()),
            parts=tuple(_decode_part(item) for item in message.parts or ()),
        )
    except ValueError as error:
        raise ReportError(str(error))


def _decode_member(message: MemberMessage) -> Member:
    return Member(
        host=str(ipaddress.ip_address(_required(message.address))),
        silent_seconds=max(0, _required(message.silent_ms)) / MS_PER_SECOND,
    )


def _decode_death(message: EngineDeath) -> EndpointDeath:
    return EndpointDeath(
        death=_required(message.death),
        fingerprints=tuple(Fingerprint(item) for item in message.fingerprints or ()),
        parts=tuple(PromptPartId(item) for item in message.parts or ()),
        age_seconds=_count(message.age_ms or 0) / MS_PER_SECOND,
    )


def _decode_part(message: PartReport) -> PartStanding:
    served_ago = None
    if message.served_ms is not None:
        served_ago = _count(message.served_ms) / MS_PER_SECOND
    return PartStanding(
        part=PromptPartId(_required(message.part)),
        crashes=_count(message.crashes),
        crashed_ago=_count(message.crashed_ms) / MS_PER_SECOND,
        served_ago=served_ago,
    )


def _decode_work(message: WorkReport) -> EndpointWork:
    return EndpointWork(
        requests=_count(message.requests),
        prefill_ms=float(_count(message.prefill_ms)),
        prefill_elapsed_ms=float(_count(message.prefill_elapsed_ms)),
        kv_tokens=_count(message.kv_tokens),
        decode_groups=tuple(
            DecodeGroup(
                gap_ms=_count(item.gap_ms),
                count=_count(item.count),
                value=_count(item.value_hundredths) / HUNDREDTHS,
            )
            for item in message.decode_groups or ()
        ),
        prefill_streams=tuple(
            PrefillStream(
                gap_ms=_count(item.gap_ms),
                value=_count(item.value_hundredths) / HUNDREDTHS,
                due_ms=float(_required(item.due_ms)),
            )
            for item in message.prefill_streams or ()
        ),
    )


def _clamp_milliseconds(milliseconds: float) -> int:
    """Return whole milliseconds that fit the message; no due time is infinite."""
    return round(min(max(milliseconds, -MAX_MILLISECONDS), MAX_MILLISECONDS))


def _required(value):
    if value is None:
        raise ValueError("a field is missing")
    return value


def _count(value: int | None) -> int:
    count = _required(value)
    if count < 0:
        raise ValueError(f"the count {count} is negative")
    return count
