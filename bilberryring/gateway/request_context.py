"""The state of one request in progress and the ways in which an attempt can fail."""

from dataclasses import dataclass, field
from typing import Protocol as Interface

from bilberryring.core import Fingerprint, RequestId
from bilberryring.execution import AnswerEnd
from bilberryring.fleet import EndpointId, Route, Service, Workspace
from bilberryring.gateway.caller_site import CallerExchange
from bilberryring.gateway.event_stream import EventStream
from bilberryring.gateway.messages import (
    AttemptMetadata,
    CallerMetadata,
    CallerRequest,
    HeaderPairs,
    MemoryOrder,
    ResponseBody,
    ResponseHead,
    ResponseMetadata,
)

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


@dataclass(slots=True, kw_only=True)
class RequestContext:
    """The state of one request in progress; times are those of the reactor's clock.

    `stream` is set if the route streams responses. `sends` counts the attempts that
    sent the request, and `unknown_sends` those after which it may have run. `status` is
    that of the response that the caller gets. `failure_response` is the last complete
    error response of an endpoint; the caller gets it if no later attempt succeeds.
    The current attempt was sent at `sent_at`; `answer_began_at` is when it got
    the first data of its answer, and `stated_limit` the requests per second to which
    its endpoint limits all gateways; `answer_end` is how its answer ended, if it did.
    `may_be_complete` is true if the caller has a stream that may be complete.
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
    sends: int = 0
    unknown_sends: int = 0
    tried_endpoints: set[EndpointId] = field(default_factory=set)
    first_response_at: float | None = None
    last_data_at: float | None = None
    answer_began_at: float | None = None
    sent_at: float = 0.0
    stated_limit: float | None = None
    answer_end: AnswerEnd | None = None
    may_be_complete: bool = False
    longest_gap: float = 0.0
    status: int = 0
    failure_response: "RetryableFailure | None" = None

    @property
    def request_id(self) -> RequestId:
        """The id that the caller assigned."""
        return self.metadata.request_id

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have started to process the request."""
        return self.unknown_sends > 0


class NotRun(Exception):
    """The endpoint responded that it did not run the request."""

    def __init__(self, *, metadata: ResponseMetadata):
        self.metadata = metadata
        super().__init__(
            f"not_run: status {metadata.status}. Remedy: retry at another endpoint."
        )


class RetryableFailure(Exception):
    """The endpoint returned an error, and the request may be retried at another one."""

    def __init__(self, *, head: ResponseHead, body: ResponseBody):
        self.head = head
        self.body = body
        super().__init__(
            f"endpoint_error: status {head.status}. Remedy: retry at another endpoint."
        )
