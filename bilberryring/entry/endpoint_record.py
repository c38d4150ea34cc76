"""What an entry holds about one endpoint that it tracks."""

from dataclasses import dataclass

from bilberryring.admission import LENGTH_CLASSES
from bilberryring.core import ReceiverClock, from_micros
from bilberryring.membership import (
    EndpointEvidence,
    SidecarReport,
    SidecarState,
    Standing,
    standing_of,
)
from bilberryring.routing import (
    Endpoint,
    EndpointLoad,
    PromptShape,
    drained_backlog,
)
from bilberryring.wire import Beat, Heartbeat

ARRIVAL_MARGIN_SECONDS = 0.05
"""How long after its sending a prompt is surely part of a report."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Sent:
    receiver_time: float
    length_index: int
    tokens: int


class EndpointRecord:
    """The last report of an endpoint, its clock, and what was sent since."""

    def __init__(self, *, endpoint: Endpoint):
        self._endpoint = endpoint
        self._clock = ReceiverClock()
        self._heartbeat: Heartbeat | None = None
        self._heard_at = 0.0
        self._incarnation = ""
        self._sent: list[_Sent] = []
        self._outstanding = 0
        self._listed_leaving = False

    @property
    def endpoint(self) -> Endpoint:
        """The published object."""
        return self._endpoint

    @property
    def incarnation(self) -> str:
        """The sidecar's incarnation on the open link, or an empty text."""
        return self._incarnation

    @property
    def outstanding(self) -> int:
        """The attempts of this entry that have not ended there."""
        return self._outstanding

    @property
    def set_number(self) -> int:
        """The set that the sidecar last said it has in force."""
        return self._heartbeat.set_number if self._heartbeat else 0

    def replace_endpoint(self, endpoint: Endpoint) -> None:
        """Take a changed object."""
        self._endpoint = endpoint

    def link_opened(self, incarnation: str) -> None:
        """Begin anew with another incarnation."""
        if incarnation != self._incarnation:
            self._clock = ReceiverClock()
            self._heartbeat = None
        self._incarnation = incarnation

    def link_closed(self) -> None:
        """Trust no report once the link is gone."""
        self._heartbeat = None
        self._incarnation = ""

    def set_listed_leaving(self, is_leaving: bool) -> None:
        """Take the word of the platform's list."""
        self._listed_leaving = is_leaving

    def take_heartbeat(self, heartbeat: Heartbeat, *, now: float) -> None:
        """Take a whole report."""
        sent_at = from_micros(heartbeat.sender_clock)
        self._heartbeat = heartbeat
        self._hear(sent_at, now)
        self._sent = [
            sent
            for sent in self._sent
            if sent.receiver_time + ARRIVAL_MARGIN_SECONDS > sent_at
        ]

    def take_beat(self, beat: Beat, *, now: float) -> None:
        """Take a sign of life: the last report still holds."""
        self._hear(from_micros(beat.sender_clock), now)

    def _hear(self, sent_at: float, now: float) -> None:
        """Note a message; one that lay in a buffer counts from its sending."""
        self._clock.add_sample(receiver_time=sent_at, own_time=now)
        age = self._clock.receiver_time(own_time=now) - sent_at
        self._heard_at = now - age

    def receiver_time(self, own_time: float) -> float | None:
        """Return the sidecar's clock at a time of this process."""
        return self._clock.receiver_time(own_time=own_time)

    def standing(self, *, domain_out: bool, now: float) -> Standing:
        """Return how to treat the endpoint now."""
        report = None
        if self._heartbeat is not None:
            report = SidecarReport(
                state=SidecarState(self._heartbeat.state), received_at=self._heard_at
            )
        evidence = EndpointEvidence(
            domain_out=domain_out,
            listed_leaving=self._listed_leaving,
            report=report,
        )
        return standing_of(evidence, now=now)

    def begin_attempt(self, shape: PromptShape | None, *, now: float) -> None:
        """Count an attempt that is sent there."""
        self._outstanding += 1
        receiver_time = self.receiver_time(now)
        if shape is not None and receiver_time is not None:
            self._sent.append(
                _Sent(
                    receiver_time=receiver_time,
                    length_index=shape.length_class.value,
                    tokens=shape.prompt_tokens,
                )
            )

    def end_attempt(self) -> None:
        """Count an attempt that ended."""
        self._outstanding -= 1

    def load(self, *, now: float, distance_seconds: float) -> EndpointLoad:
        """Return the load that placement weighs."""
        heartbeat = self._heartbeat
        sent = [0] * len(LENGTH_CLASSES)
        for item in self._sent:
            sent[item.length_index] += item.tokens
        age = max(0.0, now - self._heard_at)
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
            distance_seconds=distance_seconds,
            is_cold=heartbeat.state == SidecarState.COLD.value,
        )
