"""Translation between reports of gateways and their messages.

A report is sent with figures in range, and one with a figure out of range is refused:
its work would keep other gateways from endpoints that are free.
"""

import functools
import ipaddress
import itertools
import math
from collections.abc import Iterable

from bilberryring.capacity import ReportedSpeed
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
MAX_SLOWDOWN_HUNDREDTHS = 10_000
"""Largest slowdown in a report; a larger one counts as this one."""
MAX_MILLISECONDS = 3_600_000
"""The longest time in a report; a request without an objective has no due time."""
MAX_REQUESTS = 1_000_000
"""Most requests of one gateway on one endpoint."""
MAX_TOKENS = 2**53 - 1
MAX_GAP_MS = MAX_COUNT = 2**31 - 1
"""Largest objective for token gaps, and the largest other figure; messages hold no
larger ones."""
MAX_STREAMS = 1_024
"""Most groups of streams, and most streams in prefill, of one endpoint's work."""
MAX_MEMBERS = 128
"""Most members in one report; others follow in later ones, drawn at random."""
MAX_CACHED_HOSTS = 4_096
"""Hosts whose packed form is kept: each report names up to `MAX_MEMBERS` of them."""
MAX_DETAIL_CHARS = 200
"""Characters of a decoder's message that an error keeps."""


class ReportError(Exception):
    """A report lacks a field or has a value out of range; it is dropped."""

    def __init__(self, detail: str):
        super().__init__(
            f"report_malformed: {detail[:MAX_DETAIL_CHARS]}. "
            "Remedy: compare the versions of the gateways."
        )


def encode_work(
    endpoint: str, work: EndpointWork, speed: ReportedSpeed | None = None
) -> WorkReport:
    """Return the message with the work on one endpoint and its speed, if known."""
    return WorkReport(
        endpoint=endpoint,
        slowdown_hundredths=None if speed is None else _encode_slowdown(speed),
        run_tag=None if speed is None else speed.run_tag,
        requests=_clamp(work.requests, MAX_REQUESTS),
        prefill_ms=_clamp(work.prefill_ms, MAX_MILLISECONDS),
        prefill_elapsed_ms=_clamp(work.prefill_elapsed_ms, MAX_MILLISECONDS),
        kv_tokens=_clamp(work.kv_tokens, MAX_TOKENS),
        decode_groups=[
            DecodeGroupReport(
                gap_ms=_clamp(group.gap_ms, MAX_GAP_MS),
                count=_clamp(group.count, MAX_COUNT),
                value_hundredths=_clamp(group.value * HUNDREDTHS, MAX_COUNT),
            )
            for group in work.decode_groups[:MAX_STREAMS]
        ],
        prefill_streams=[
            PrefillStreamReport(
                gap_ms=_clamp(stream.gap_ms, MAX_GAP_MS),
                value_hundredths=_clamp(stream.value * HUNDREDTHS, MAX_COUNT),
                due_ms=_clamp_milliseconds(stream.due_ms),
            )
            for stream in work.prefill_streams[:MAX_STREAMS]
        ],
    )


def encode_members(members: Iterable[Member]) -> list[MemberMessage]:
    """Return the messages of known gateways."""
    return [
        MemberMessage(
            address=_encode_host(member.host),
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
            were_suspects=item.were_suspects or None,
            sent_before_ms=None
            if math.isinf(item.sent_before)
            else _clamp_milliseconds(item.sent_before * MS_PER_SECOND),
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
            members=_decode_members(message.members or ()),
            deaths=tuple(_decode_death(item) for item in message.deaths or ()),
            parts=tuple(_decode_part(item) for item in message.parts or ()),
            speeds=tuple(
                ReportedSpeed(
                    endpoint=_required(item.endpoint),
                    run_tag=_count(item.run_tag or 0),
                    slowdown=min(item.slowdown_hundredths, MAX_SLOWDOWN_HUNDREDTHS)
                    / HUNDREDTHS,
                )
                for item in message.work or ()
                if item.slowdown_hundredths is not None
            ),
            crash_memory_seconds=float(_count(message.crash_memory_s or 0)),
        )
    except ValueError as error:
        raise ReportError(str(error))


def _decode_members(messages: Iterable[MemberMessage]) -> tuple[Member, ...]:
    """Return the first members to which reports can be sent."""
    usable = (
        Member(
            host=host,
            silent_seconds=max(0, _required(message.silent_ms)) / MS_PER_SECOND,
        )
        for message in messages
        if (host := _decode_host(_required(message.address))) is not None
    )
    return tuple(itertools.islice(usable, MAX_MEMBERS))


@functools.lru_cache(maxsize=MAX_CACHED_HOSTS)
def _encode_host(host: str) -> bytes:
    return ipaddress.ip_address(host).packed


@functools.lru_cache(maxsize=MAX_CACHED_HOSTS)
def _decode_host(packed: bytes) -> str | None:
    """Return the host, or `None` if no gateway can have it: reports use IPv4."""
    address = ipaddress.ip_address(packed)
    is_usable = address.version == 4 and not (
        address.is_multicast or address.is_unspecified or address.is_reserved
    )
    return str(address) if is_usable else None


def _decode_death(message: EngineDeath) -> EndpointDeath:
    return EndpointDeath(
        death=_required(message.death),
        fingerprints=tuple(Fingerprint(item) for item in message.fingerprints or ()),
        parts=tuple(PromptPartId(item) for item in message.parts or ()),
        were_suspects=bool(message.were_suspects),
        age_seconds=_count(message.age_ms or 0) / MS_PER_SECOND,
        sent_before=math.inf
        if message.sent_before_ms is None
        else _count(message.sent_before_ms) / MS_PER_SECOND,
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
    groups, streams = message.decode_groups or (), message.prefill_streams or ()
    if max(len(groups), len(streams)) > MAX_STREAMS:
        raise ValueError(f"the work has more than {MAX_STREAMS} groups or streams")
    return EndpointWork(
        requests=_count(message.requests, MAX_REQUESTS),
        prefill_ms=float(_count(message.prefill_ms, MAX_MILLISECONDS)),
        prefill_elapsed_ms=float(_count(message.prefill_elapsed_ms, MAX_MILLISECONDS)),
        kv_tokens=_count(message.kv_tokens, MAX_TOKENS),
        decode_groups=tuple(
            DecodeGroup(
                gap_ms=_count(item.gap_ms),
                count=_count(item.count),
                value=_count(item.value_hundredths) / HUNDREDTHS,
            )
            for item in groups
        ),
        prefill_streams=tuple(
            PrefillStream(
                gap_ms=_count(item.gap_ms),
                value=_count(item.value_hundredths) / HUNDREDTHS,
                due_ms=float(_required(item.due_ms)),
            )
            for item in streams
        ),
    )


def _encode_slowdown(speed: ReportedSpeed) -> int:
    return max(1, _clamp(speed.slowdown * HUNDREDTHS, MAX_SLOWDOWN_HUNDREDTHS))


def _clamp(figure: float, most: int) -> int:
    """Return the whole number from 0 to `most` that is nearest to a figure."""
    return round(min(max(figure, 0), most))


def _clamp_milliseconds(milliseconds: float) -> int:
    """Return whole milliseconds that fit the message; no due time is infinite."""
    return round(min(max(milliseconds, -MAX_MILLISECONDS), MAX_MILLISECONDS))


def _required(value):
    if value is None:
        raise ValueError("a field is missing")
    return value


def _count(value: int | None, most: int = MAX_COUNT) -> int:
    count = _required(value)
    if not 0 <= count <= most:
        raise ValueError(f"the count {count} is not from 0 to {most}")
    return count
