"""The state of one request in progress and the ways in which an attempt can fail."""

import math
from dataclasses import dataclass, field
from typing import Protocol as Interface

from bilberryring.capacity import PaceWindow
from bilberryring.core import Fingerprint, RequestId
from bilberryring.execution import AnswerEnd, KnownEnd, SilenceDecision
from bilberryring.fleet import EndpointId, Route, Service, Workspace
from bilberryring.gateway.caller_site import CallerExchange
from bilberryring.gateway.endpoint_choice import Choice
from bilberryring.gateway.event_stream import EventStream
from bilberryring.gateway.messages import (
    AttemptMetadata,
    CallerMetadata,
    CallerRequest,
    HeaderPairs,
    MemoryOrder,
    ResponseHead,
    ResponseMetadata,
)
from bilberryring.routing import SilenceCause

SERVER_ERROR = 500
SUCCESS = range(200, 300)


class HeaderCodec(Interface):
    """Translates between the platform's headers and the gateway's types."""

    def decode_request_headers(self, headers: HeaderPairs) -> CallerMetadata: ...

    def encode_request_headers(
        self, headers: HeaderPairs, send: AttemptMetadata
    ) -> HeaderPairs: ...

    def decode_response_headers(
        self, status: int, headers: HeaderPairs
    ) -> ResponseMetadata: ...

    def encode_response_headers(self, headers: HeaderPairs) -> HeaderPairs: ...

    def encode_order(self, order: MemoryOrder) -> tuple[bytes, HeaderPairs, bytes]: ...


@dataclass(frozen=True, slots=True, kw_only=True)
class Silence:
    """For how many seconds a caller got no event, and what is known of the cause.

    `busy_seconds` is for how long the engine was known to prefill at the end of it.
    """

    seconds: float = 0.0
    cause: SilenceCause = SilenceCause.UNKNOWN
    busy_seconds: float = 0.0


NO_SILENCE = Silence()


@dataclass(slots=True, kw_only=True)
class RequestContext:
    """The state of one request in progress; times are those of the reactor's clock.

    `stream` is set if the route streams responses. `sends` counts the attempts that
    sent the request, `unknown_sends` those after which it may have run and
    `not_run_sends` those that the endpoint refused. `status` is that of the response
    that the caller gets. `failure_response` is the last complete error response of an
    endpoint; the caller gets it if no later attempt succeeds. `configuration` is the
    version under which the request was admitted.
    `attempt` is the one whose answer the caller gets. `known_end` is what its attempts
    have told of the end of a stream, and `trailing_bytes` followed its last event,
    unless it goes on. `replaced_endpoint` had the request when another
    one answered; a stream that breaks may return to it once.
    `longest_gap` is between two events, `longest_silence` also before the first one;
    `last_silence` is the one in which the last attempt ended.
    """

    exchange: CallerExchange
    request: CallerRequest
    metadata: CallerMetadata
    route: Route
    service: Service
    workspace: Workspace | None
    deadline: float
    stream: EventStream | None
    fingerprint: Fingerprint
    configuration: int = 0
    sends: int = 0
    unknown_sends: int = 0
    not_run_sends: int = 0
    tried_endpoints: set[EndpointId] = field(default_factory=set)
    first_response_at: float | None = None
    last_data_at: float | None = None
    attempt: "Attempt | None" = None
    known_end: KnownEnd = KnownEnd()
    trailing_bytes: bytes = b""
    replaced_endpoint: EndpointId | None = None
    longest_gap: float = 0.0
    longest_silence: Silence = NO_SILENCE
    last_silence: Silence = NO_SILENCE
    status: int = 0
    failure_response: "RetryableFailure | None" = None

    @property
    def request_id(self) -> RequestId:
        """The id that the caller assigned."""
        return self.metadata.request_id

    @property
    def silent_since(self) -> float:
        """When the caller got its last event, or sent the request."""
        if self.last_data_at is None:
            return self.request.received_at
        return self.last_data_at

    @property
    def leaves_at(self) -> float:
        """When the caller leaves if it gets no event; infinite if it does not."""
        return self.silent_since + self.route.patience_seconds

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have started to process the request."""
        return self.unknown_sends > 0


@dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """One attempt of a request at a chosen endpoint; times are as in `RequestContext`.

    `number` counts the attempts that sent the request, and `was_suspect` tells whether
    an endpoint was known to have crashed under it then. `stream` is what the attempt
    has read of a stream. The request was sent at `sent_at` with `deadline`;
    `answer_began_at` is when the first data of the answer came, and `answer_end` how it
    ended, if it did.
    `stated_limit` is the requests per second to which the endpoint limits all gateways.
    An endpoint that sends nothing for `silence_limit` seconds after `progress_at`,
    until `silent_at`, counts as silent unless its known work takes longer: for
    `busy_seconds` it may send no event, of which it may not begin the prompt for
    `slot_wait_seconds`. `is_silent` is true while it counts as silent, and `is_excused`
    if it does only because its caller leaves before its known work can be done;
    `silence_decision` is what last followed from it. `pace` are the last gaps between
    events of a stream.
    """

    choice: Choice
    stream: EventStream | None
    number: int = 0
    was_suspect: bool = False
    sent_at: float = 0.0
    deadline: float = math.inf
    answer_began_at: float | None = None
    answer_end: AnswerEnd | None = None
    stated_limit: float | None = None
    silence_limit: float = math.inf
    progress_at: float = 0.0
    busy_seconds: float = 0.0
    slot_wait_seconds: float = 0.0
    silent_at: float = math.inf
    is_silent: bool = False
    is_excused: bool = False
    silence_decision: SilenceDecision | None = None
    pace: PaceWindow | None = None

    @property
    def endpoint(self) -> EndpointId:
        """The endpoint that gets the request."""
        return self.choice.endpoint.id


class NotRun(Exception):
    """The endpoint responded that it did not run the request."""

    def __init__(self, *, metadata: ResponseMetadata):
        self.metadata = metadata
        super().__init__(
            f"not_run: status {metadata.status}. Remedy: retry at another endpoint."
        )


class RetryableFailure(Exception):
    """The endpoint returned an error, and the request may be retried at another one."""

    def __init__(self, *, head: ResponseHead, body: bytes):
        self.head = head
        self.body = body
        super().__init__(
            f"endpoint_error: status {head.status}. Remedy: retry at another endpoint."
        )
