"""What an entry knows about one tracked endpoint."""

from dataclasses import dataclass

from bilberryring.admission import LENGTH_CLASSES
from bilberryring.core import ReceiverClock, from_micros
from bilberryring.membership import (
    EndpointEvidence,
    SidecarReport,
    SidecarState,
    Standing,
    is_silent,
    standing_of,
)
from bilberryring.routing import EndpointLoad, PromptShape, drained_backlog
from bilberryring.routing.subset import Endpoint
from bilberryring.wire import Beat, Heartbeat

ARRIVAL_MARGIN_SECONDS = 0.05
"""The time after which a prompt that was sent has certainly reached the sidecar.

Reports that the sidecar sends later than this include the prompt.
"""


NUMBER_FIELDS = ("sender_clock", "running", "allowance", "set_number", "prefill_rate")
"""Fields of a report that every sidecar sends."""


class MalformedReportError(Exception):
    """A report lacks a field, or has a figure that no sidecar would send."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _SentPrompt:
    """A prompt that the last report may not include yet.

    `receiver_time` is when it was sent, in seconds of the sidecar's clock.
    """

    receiver_time: float
    length_index: int
    tokens: int


class EndpointRecord:
    """The last report of an endpoint, its clock, and the prompts sent since.

    Times called `now` are in seconds of this process's clock.
    """

    def __init__(self, *, endpoint: Endpoint):
        self._endpoint = endpoint
        self._clock = ReceiverClock()
        self._heartbeat: Heartbeat | None = None
        self._last_message_sent_at = 0.0
        self._incarnation = ""
        self._sent_prompts: list[_SentPrompt] = []
        self._outstanding = 0
        self._is_listed_leaving = False

    @property
    def endpoint(self) -> Endpoint:
        """The published object of the endpoint."""
        return self._endpoint

    @property
    def incarnation(self) -> str:
        """The sidecar's incarnation, or an empty string before its hello."""
        return self._incarnation

    @property
    def outstanding(self) -> int:
        """The number of this entry's attempts at the endpoint that have not ended."""
        return self._outstanding

    @property
    def set_number(self) -> int:
        """The number of the set in the last heartbeat, or 0 without a heartbeat."""
        return self._heartbeat.set_number if self._heartbeat else 0

    def replace_endpoint(self, endpoint: Endpoint) -> None:
        """Replace the published object by a changed one."""
        self._endpoint = endpoint

    def link_opened(self, incarnation: str) -> None:
        """Record the incarnation behind a new link.

        Another incarnation has another clock, so the estimate of the clock and
        the last report are dropped.
        """
        if incarnation != self._incarnation:
            self._clock = ReceiverClock()
            self._heartbeat = None
        self._incarnation = incarnation

    def link_closed(self) -> None:
        """Drop the incarnation and the last report, which is no longer renewed."""
        self._heartbeat = None
        self._incarnation = ""

    def set_listed_leaving(self, is_leaving: bool) -> None:
        """Set whether the platform lists the sidecar as leaving."""
        self._is_listed_leaving = is_leaving

    def apply_heartbeat(self, heartbeat: Heartbeat, *, now: float) -> None:
        """Store a full report.

        Prompts that it certainly includes no longer count as sent since. Raises
        `MalformedReportError` if the load cannot be calculated from it.
        """
        _check_report(heartbeat)
        sent_at = from_micros(heartbeat.sender_clock)
        self._heartbeat = heartbeat
        self._record_message(sent_at, now)
        self._sent_prompts = [
            sent
            for sent in self._sent_prompts
            if sent.receiver_time + ARRIVAL_MARGIN_SECONDS > sent_at
        ]

    def apply_beat(self, beat: Beat, *, now: float) -> None:
        """Record a beat, which says that the last report is still valid."""
        self._record_message(from_micros(beat.sender_clock), now)

    def _record_message(self, sent_at: float, now: float) -> None:
        """Record when a message was sent, converted to this process's clock.

        A message may have waited in a buffer, so the time of its arrival would
        make the sidecar look more recently alive than it is.
        """
        self._clock.add_sample(receiver_time=sent_at, own_time=now)
        age = self._clock.receiver_time(own_time=now) - sent_at
        self._last_message_sent_at = now - age

    def exclude_pause(self, seconds: float, *, now: float) -> None:
        """Do not count a pause of this process as a silence of the sidecar.

        What the sidecar sent meanwhile may not have been read yet.
        """
        self._last_message_sent_at = min(now, self._last_message_sent_at + seconds)

    def receiver_time(self, own_time: float) -> float | None:
        """Return a time of this process on the sidecar's clock, or `None`.

        It is `None` before the first message of the incarnation.
        """
        return self._clock.receiver_time(own_time=own_time)

    def standing(self, *, domain_out: bool, now: float) -> Standing:
        """Return the endpoint's standing, which decides how it is used now."""
        evidence = EndpointEvidence(
            domain_out=domain_out,
            listed_leaving=self._is_listed_leaving,
            report=self._report(),
        )
        return standing_of(evidence, now=now)

    def is_silent(self, *, now: float) -> bool:
        """Whether nothing is heard of the endpoint, whatever its standing."""
        return is_silent(self._report(), now=now)

    def begin_attempt(self, shape: PromptShape | None, *, now: float) -> None:
        """Count an attempt that is sent to the endpoint.

        `shape` is `None` for a call to a service.
        """
        self._outstanding += 1
        receiver_time = self.receiver_time(now)
        if shape is not None and receiver_time is not None:
            self._sent_prompts.append(
                _SentPrompt(
                    receiver_time=receiver_time,
                    length_index=shape.length_class.value,
                    tokens=shape.prompt_tokens,
                )
            )

    def end_attempt(self) -> None:
        """Count an attempt that ended."""
        self._outstanding -= 1

    def load(self, *, now: float, round_trip_seconds: float) -> EndpointLoad:
        """Return the load that placement compares.

        It must not be called before the first heartbeat. The backlog of the last
        report is reduced by what was prefilled since.
        """
        heartbeat = self._heartbeat
        sent = [0] * len(LENGTH_CLASSES)
        for item in self._sent_prompts:
            sent[item.length_index] += item.tokens
        age = max(0.0, now - self._last_message_sent_at)
        return EndpointLoad(
            endpoint=self._endpoint.name,
            backlog_tokens=drained_backlog(
                tuple(heartbeat.backlog_tokens), heartbeat.prefill_rate * age
            ),
            sent_tokens=tuple(sent),
            outstanding=max(heartbeat.running, self._outstanding),
            allowance=heartbeat.allowance,
            free_kv_tokens=heartbeat.free_kv_tokens,
            kv_tokens=heartbeat.kv_tokens,
            prefill_rate=max(heartbeat.prefill_rate, 1.0),
            round_trip_seconds=round_trip_seconds,
            is_cold=heartbeat.state == SidecarState.COLD.value,
        )

    def _report(self) -> SidecarReport | None:
        if self._heartbeat is None:
            return None
        return SidecarReport(
            state=_state_of(self._heartbeat),
            received_at=self._last_message_sent_at,
        )


def _check_report(heartbeat: Heartbeat) -> None:
    for name in NUMBER_FIELDS:
        value = getattr(heartbeat, name)
        if value is None or value < 0:
            raise MalformedReportError(f"{name} is {value}")
    backlog = heartbeat.backlog_tokens
    if backlog is None or len(backlog) not in (0, len(LENGTH_CLASSES)):
        raise MalformedReportError(f"backlog_tokens is {backlog}")
    if any(tokens < 0 for tokens in backlog):
        raise MalformedReportError(f"backlog_tokens is {backlog}")


def _state_of(heartbeat: Heartbeat) -> SidecarState:
    """Return the reported state; one that a newer version has added counts as out."""
    try:
        return SidecarState(heartbeat.state)
    except ValueError:
        return SidecarState.OUT
