"""One request on its way, and how an attempt at it can end."""

from dataclasses import dataclass, field
from typing import Protocol as Interface

from bilberryring.core import Fingerprint, RequestId
from bilberryring.fleet import EndpointId, Route, Service, Workspace
from bilberryring.gateway.caller_site import CallerExchange
from bilberryring.gateway.event_stream import EventStream
from bilberryring.gateway.messages import (
    AnswerFacts,
    AnswerHead,
    CallerFacts,
    CallerRequest,
    HeaderPairs,
    MemoryOrder,
    SendFacts,
)

SERVER_ERROR = 500
SUCCESS = range(200, 300)


class HeaderCodec(Interface):
    """Translates headers between the platform and the gateway."""

    def decode_caller(self, headers: HeaderPairs) -> CallerFacts: ...

    def encode_send(self, headers: HeaderPairs, send: SendFacts) -> HeaderPairs: ...

    def decode_answer(self, status: int, headers: HeaderPairs) -> AnswerFacts: ...

    def encode_answer(self, headers: HeaderPairs) -> HeaderPairs: ...

    def encode_order(self, order: MemoryOrder) -> tuple[bytes, HeaderPairs, bytes]: ...


@dataclass(slots=True, kw_only=True)
class RequestRun:
    """One request on its way; `ends_at` is in own seconds.

    `endpoint_failure` is the last whole answer that told of a failure. The caller
    gets it when no other answer follows.
    """

    exchange: CallerExchange
    request: CallerRequest
    facts: CallerFacts
    route: Route
    service: Service
    workspace: Workspace | None
    ends_at: float
    events: EventStream | None
    fingerprint: Fingerprint
    sends: int = 0
    unknown_sends: int = 0
    tried: set[EndpointId] = field(default_factory=set)
    first_answer_at: float | None = None
    last_data_at: float | None = None
    longest_gap: float = 0.0
    status: int = 0
    endpoint_failure: "Repeatable | None" = None

    @property
    def request_id(self) -> RequestId:
        """The id that the caller gave."""
        return self.facts.request_id

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have begun to work on it."""
        return self.unknown_sends > 0


class NotRun(Exception):
    """The endpoint said that it did not run the request."""

    def __init__(self, *, facts: AnswerFacts):
        self.facts = facts
        super().__init__(f"not_run: {facts.status}. Remedy: another endpoint.")


class Repeatable(Exception):
    """The endpoint answered with a failure that another one may not have."""

    def __init__(self, *, head: AnswerHead, body: bytes):
        self.head = head
        self.body = body
        super().__init__(f"endpoint_error: {head.status}. Remedy: another endpoint.")
