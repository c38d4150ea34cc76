"""State that all requests of an entry share."""

from bilberryring.admission import LENGTH_CLASSES
from bilberryring.core import ErrorCode, ServingError
from bilberryring.entry.answer_sinks import AnswerSink
from bilberryring.entry.caller_prompt import AnswerTimes, CallerPrompt
from bilberryring.entry.prompt_placement import PromptPlacement
from bilberryring.entry.prompt_request import PromptRequest
from bilberryring.entry.request_ending import RequestEnding
from bilberryring.entry.service_request import ServiceCall, ServiceRequest
from bilberryring.entry.sidecar_links import SidecarLinks
from bilberryring.execution import RetryBudget
from bilberryring.objects import ObjectSet
from bilberryring.process.configuration import ConfigurationTask
from bilberryring.telemetry import (
    FIRST_TOKEN_BUCKETS,
    TOKEN_GAP_BUCKETS,
    EventLog,
    LogEvent,
    Metrics,
)

MAX_WORKSPACE_SERIES = 1_000
MAX_CLASS_SERIES = 64


class EntryState:
    """Holds the configuration, links, retry budget and metrics of one entry.

    It creates the tasks of requests and counts those in progress.
    """

    def __init__(
        self,
        *,
        reactor,
        log: EventLog,
        metrics: Metrics,
        configuration: ConfigurationTask,
        links: SidecarLinks,
    ):
        self._reactor = reactor
        self._log = log
        self._links = links
        self._configuration = configuration
        self._placement = PromptPlacement(links=links)
        self._budget = RetryBudget()
        self._in_progress = 0
        self._is_draining = False
        self._first_token_by_workspace = metrics.histogram(
            name="bilberryring_first_token_seconds",
            doc="Time to the first token by workspace",
            labels=("workspace",),
            buckets=FIRST_TOKEN_BUCKETS,
            max_series=MAX_WORKSPACE_SERIES,
        )
        self._first_token_by_class = metrics.histogram(
            name="bilberryring_first_token_class_seconds",
            doc="Time to the first token by length class and priority",
            labels=("length_class", "priority"),
            buckets=FIRST_TOKEN_BUCKETS,
            max_series=MAX_CLASS_SERIES * len(LENGTH_CLASSES),
        )
        self._token_gaps = metrics.histogram(
            name="bilberryring_token_gap_seconds",
            doc="Time between tokens by length class",
            labels=("length_class",),
            buckets=TOKEN_GAP_BUCKETS,
            max_series=len(LENGTH_CLASSES),
        )
        self._failures = metrics.counter(
            name="bilberryring_failures_total", doc="Errors told to callers by code"
        )
        self._deliveries = metrics.counter(
            name="bilberryring_deliveries_total",
            doc="Requests by what their callers got, and whether these left",
        )

    @property
    def reactor(self):
        """The reactor of the process."""
        return self._reactor

    @property
    def log(self) -> EventLog:
        """The log of the process."""
        return self._log

    @property
    def links(self) -> SidecarLinks:
        """The links to sidecars."""
        return self._links

    @property
    def objects(self) -> ObjectSet | None:
        """The published objects in force, or `None` before the first set arrives."""
        return self._configuration.objects

    @property
    def is_draining(self) -> bool:
        """Whether the entry refuses new requests."""
        return self._is_draining

    @property
    def in_progress(self) -> int:
        """The number of requests that have not ended."""
        return self._in_progress

    def begin_drain(self) -> None:
        """Refuse new requests from now on."""
        self._is_draining = True

    def request_began(self) -> None:
        """Count a request that arrived."""
        self._in_progress += 1

    def request_ended(self) -> None:
        """Count a request that ended."""
        self._in_progress -= 1

    def record_finished(self, ending: RequestEnding) -> None:
        """Write the last record of a request that was answered, and count it.

        This or `record_failed` is called once for each request.
        """
        event = (
            LogEvent.CALLER_LEFT
            if ending.has_caller_left
            else LogEvent.REQUEST_FINISHED
        )
        self._record_ending(event, ending, **ending.fields)

    def record_failed(self, ending: RequestEnding, error: ServingError) -> None:
        """Write the last record of a request that got an error, and count it."""
        self._failures.inc({"code": error.code.value})
        event = (
            LogEvent.CALLER_LEFT
            if error.code is ErrorCode.CANCELLED or ending.has_caller_left
            else LogEvent.REQUEST_FAILED
        )
        self._record_ending(
            event,
            ending,
            code=error.code.value,
            outcome=error.outcome.value,
            detail=error.detail,
        )

    def log_fault(self, error: BaseException) -> None:
        """Log an unexpected exception of this process."""
        self._log.write(LogEvent.INTERNAL_FAULT, detail=repr(error))

    def create_prompt_request(
        self, prompt: CallerPrompt, sink: AnswerSink
    ) -> PromptRequest:
        """Return a new task that answers a prompt; the caller has to run it."""
        label = (prompt.shape.length_class.label,)
        return PromptRequest(
            reactor=self._reactor,
            prompt=prompt,
            sink=sink,
            links=self._links,
            placement=self._placement,
            budget=self._budget,
            objects=lambda: self._configuration.objects,
            log=self._log,
            on_token_gap=lambda gap: self._token_gaps.observe(label, gap),
        )

    def create_service_request(self, call: ServiceCall) -> ServiceRequest:
        """Return a new task that handles a service call; the caller has to run it."""
        return ServiceRequest(
            reactor=self._reactor,
            call=call,
            links=self._links,
            budget=self._budget,
            objects=lambda: self._configuration.objects,
            log=self._log,
        )

    def observe_answer(
        self, prompt: CallerPrompt, times: AnswerTimes
    ) -> dict[str, object]:
        """Record a complete answer in the histograms.

        Returns the fields that describe it in the last record of its request.
        """
        length = prompt.shape.length_class.label
        first = None
        if times.first_token_at is not None:
            first = times.first_token_at - prompt.received_at
            self._first_token_by_workspace.observe((prompt.workspace.name,), first)
            self._first_token_by_class.observe((length, prompt.priority.name), first)
        return {
            "first_token_seconds": first,
            "seconds": times.ended_at - prompt.received_at,
            "tokens": times.token_count,
        }

    def _record_ending(
        self, event: LogEvent, ending: RequestEnding, **fields: object
    ) -> None:
        delivered = ending.delivery.value
        has_left = str(event is LogEvent.CALLER_LEFT).lower()
        self._deliveries.inc({"delivered": delivered, "caller_left": has_left})
        self._log.write(event, request=ending.request_id, delivered=delivered, **fields)
