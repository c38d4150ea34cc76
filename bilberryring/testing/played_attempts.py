"""A forwarder of one request whose endpoints are played by a test, on a paused clock.

The caller's connection, the event streams, the rules of repeats and the records are
the real ones.
"""

import json
import socket
import struct
from dataclasses import replace
from io import StringIO
from types import SimpleNamespace

from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock, deferLater
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from bilberryring.execution import Close, Framing
from bilberryring.fleet import (
    AnnouncedEndpoint,
    EndpointState,
    RequestKind,
    Route,
    Service,
    ServiceShare,
)
from bilberryring.gateway.attempts import AttemptRunner
from bilberryring.gateway.caller_site import CallerSite
from bilberryring.gateway.counters import GatewayCounters
from bilberryring.gateway.crash_record import CrashRecord
from bilberryring.gateway.endpoint_choice import Choice
from bilberryring.gateway.endpoint_connection import EndpointResponse
from bilberryring.gateway.event_stream import EventStream
from bilberryring.gateway.forwarding import Forwarder
from bilberryring.gateway.messages import (
    AttemptError,
    FailureReason,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from bilberryring.gateway.repeat_rules import RetryPolicy
from bilberryring.gateway.request_context import RequestContext
from bilberryring.gateway.request_log import RequestLog
from bilberryring.gateway.reservations import ReservationManager
from bilberryring.gateway.settings import GatewayBounds
from bilberryring.membership import EndpointHealth
from bilberryring.platform import names
from bilberryring.platform.adapter import HttpHeaderCodec
from bilberryring.routing import PlacedRequest, WorkTracker
from bilberryring.telemetry import EventLog, Metrics
from bilberryring.testing.silent_descriptor import silent_descriptor

REQUEST_ID = "r1"
HOLDER_TOKENS = 1_000
LAST_RECORDS = ("request_finished", "request_failed", "caller_left")


class PlayedRun:
    """One run of the request at an endpoint, which the test answers."""

    def __init__(self, *, endpoint, last_event_id, clock):
        self.endpoint = endpoint
        self.last_event_id = last_event_id
        self.transport = StringTransport()
        self.was_aborted = False
        self.has_head = False
        self.is_over = False
        self.sent_at = clock.seconds()
        self.framing = Framing.CHUNKS
        self.response = EndpointResponse(connection=self, reactor=clock)

    def abort(self):
        self.was_aborted = self.was_aborted or not self.is_over
        self.is_over = True

    def forbid_reuse(self):
        pass

    def send_head(self, status=200, framing=Framing.CHUNKS, *, has_run=True):
        self.has_head = True
        self.framing = framing
        headers = [
            (names.REQUEST_ID, REQUEST_ID.encode()),
            (names.RESPONSE_STAMP, b"s-1"),
        ]
        if not has_run:
            headers.append((names.NOT_EXECUTED, b"1"))
        self.response.add(
            ResponseHead(
                status=status, reason=b"", headers=tuple(headers), framing=framing
            )
        )

    def send(self, data):
        self.response.add(ResponseData(data))

    def end(self, close=Close.AT_END):
        self.is_over = True
        self.response.add(ResponseEnd(framing=self.framing, close=close))

    def fail(self, reason):
        self.is_over = True
        self.response.fail(AttemptError(reason=reason, was_sent=True))


class CallerTransport(StringTransport):
    """A caller's connection, which is reset or ended at its close."""

    protocol = None
    is_reset_on_close = False

    def getHandle(self):
        return self

    def fileno(self) -> int:
        return silent_descriptor()

    def doWrite(self) -> None:
        """Leave what is written to the test, and the close that may follow it."""

    def setsockopt(self, level: int, option: int, value: bytes) -> None:
        if option == socket.SO_LINGER:
            self.is_reset_on_close = bool(struct.unpack("ii", value)[0])

    def loseWriteConnection(self) -> None:
        self.protocol.writeConnectionLost()


class PlayedPool:
    """Connections to played endpoints, which open at once unless a test holds them."""

    def __init__(self, *, clock):
        self._clock = clock
        self.runs = []
        self.opening = {}
        self.held = set()
        self.unreachable = set()
        self.crashed = set()
        self.death_check = None
        self.released = []

    async def acquire(self, address, *, max_idle, timeout, request_id):
        if address in self.unreachable:
            raise AttemptError(reason=FailureReason.REFUSED, was_sent=False)
        if address in self.held:
            self.opening[address] = Deferred()
            await self.opening[address]
        return SimpleNamespace(
            is_reused=False, send=lambda **request: self._send(address, request)
        )

    async def connection_failure(self, address, *, lasting=0.0):
        if address in self.crashed:
            return FailureReason.NOT_CONNECTED
        return await self.death_check if self.death_check is not None else None

    def release(self, connection):
        self.released.append(connection)

    def _send(self, address, request):
        headers = {name.lower(): value for name, value in request["headers"]}
        last_id = headers.get(b"last-event-id", b"").decode()
        run = PlayedRun(endpoint=address, last_event_id=last_id, clock=self._clock)
        self.runs.append(run)
        return run.response


class PlayedOrders:
    """Connections on which memory is ordered; `waiting` are the orders to be answered.

    With `answers` each order is answered at once. `sent` has the engine and the tokens
    of each order, 0 for a release, and `held` the tokens that are kept.
    """

    def __init__(self, *, clock):
        self._clock = clock
        self.answers = False
        self.sent = []
        self.waiting = {}
        self.held = {}
        self.unreachable = set()
        self.crashed = set()

    async def acquire(self, address, *, max_idle, timeout, request_id):
        if address in self.unreachable:
            await deferLater(self._clock, timeout)
            raise AttemptError(reason=FailureReason.NOT_CONNECTED, was_sent=False)
        await succeed(None)
        return SimpleNamespace(send=lambda **order: self._send(address, order))

    async def connection_failure(self, address, *, lasting=0.0):
        return await succeed(None)

    def _send(self, address, order):
        body = json.loads(order["body"])
        run = PlayedRun(endpoint=address, last_event_id="", clock=self._clock)
        run.order = body["id"], body.get("tokens", 0)
        self.sent.append((address, body.get("tokens", 0)))
        if self.answers or body["op"] == "release":
            self._answer(run, 200)
        else:
            self.waiting.setdefault(address, []).append(run)
        return run.response

    def answer(self, address, status=200):
        """Answer the orders that wait at an engine and were not given up."""
        for run in self.waiting.pop(address, ()):
            if not run.was_aborted:
                self._answer(run, status)

    def _answer(self, run, status):
        reservation_id, tokens = run.order
        if tokens and status == 200:
            self.held[reservation_id] = tokens
        elif not tokens:
            self.held.pop(reservation_id, None)
        run.send_head(status, framing=Framing.LENGTH)
        run.end()


class PlayedChooser:
    """Chooses the first endpoint that is not excluded and, if asked to, not avoided.

    `holders` are the engines that hold memory for a prompt at an endpoint; if there are
    any, no other endpoint is chosen. `plan` has further fields of each choice.
    """

    def __init__(self, *, endpoints, health, tracker, holders, plan):
        self._plan = plan
        self._holders = holders
        self._tracker = tracker
        self._endpoints = endpoints
        self._health = health

    def choose(self, *, excluded, now, allows_avoided=True, among=None, **request):
        allowed = [
            item
            for item in self._endpoints
            if item.id not in excluded
            and (among is None or item.id in among)
            and (not self._holders or item.id in self._holders)
        ]
        usable = [
            item
            for item in allowed
            if not any(
                self._health.is_avoided(name, now=now)
                for name in (item.id, *self._holders.get(item.id, ()))
            )
        ]
        if not usable and allows_avoided:
            usable = allowed
        if not usable:
            return None
        names_of_holders = self._holders.get(usable[0].id, ())
        holders = tuple(item for item in self._endpoints if item.id in names_of_holders)
        return Choice(
            endpoint=usable[0],
            helpers=holders,
            holders=holders,
            placed=PlacedRequest(
                lead=usable[0].id,
                helpers=names_of_holders,
                holders=names_of_holders,
                holder_tokens=HOLDER_TOKENS if holders else 0,
            ),
            **self._plan,
        )

    def work(self, endpoint, *, now):
        return self._tracker.work(endpoint, now=now)

    def seconds_until_start(self, **request):
        return None

    def record_choice(self, choice, *, now):
        pass

    def record_start(self, endpoint, *, now):
        pass


class PlayedSite:
    """A request on a caller's connection, and the forwarder that serves it."""

    def __init__(
        self,
        *,
        kind=RequestKind.STREAMING,
        max_endpoints=2,
        endpoints=4,
        retry_slack=100.0,
        timeout=6.0,
        shared_parts=(),
        engine=None,
        holders=None,
        unreachable_holders=(),
        predicted_ms=0.0,
        stopped=(),
        leaving_callers=0,
    ):
        self._plan = {
            "predicted_ms": predicted_ms,
            "stopped": stopped,
            "leaving_callers": leaving_callers,
        }
        self.clock = Clock()
        self.orders = PlayedOrders(clock=self.clock)
        self.orders.unreachable.update(unreachable_holders)
        self._holders = holders or {}
        self.pool = PlayedPool(clock=self.clock)
        self.health = EndpointHealth()
        self.tracker = WorkTracker()
        self._output = StringIO()
        self._route = Route(
            name="r",
            host="h",
            prefix="/",
            kind=kind,
            shares=(ServiceShare(service="s", weight=1.0),),
            timeout=timeout,
            first_answer_objective=0.3,
            gap_objective=0.25,
            max_endpoints=max_endpoints,
            may_resume=True,
            is_anonymous_allowed=True,
            priority=1,
        )
        self._shared_parts = shared_parts
        self._engine = engine
        log = RequestLog(
            clock=self.clock,
            log=EventLog(process="g", role="gateway", stream=self._output),
            counters=GatewayCounters(metrics=Metrics()),
            observe_first_response=lambda *observed: None,
        )
        self.forwarder = self._build(log, endpoints, retry_slack)
        self._site = CallerSite(reactor=self.clock, on_request=self.forwarder.accept)
        self.connect()

    @property
    def runs(self):
        return self.pool.runs

    def connect(self):
        """Send the request on a new connection, which `answer` reads from now on."""
        self.transport = CallerTransport()
        self.channel = self._site.buildProtocol(None)
        self.transport.protocol = self.channel
        self.channel.makeConnection(self.transport)
        self.send_request()

    def send_request(self):
        self.channel.dataReceived(
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
            b"%s: %s\r\n\r\nx" % (names.REQUEST_ID, REQUEST_ID.encode())
        )

    def n_retries_spent(self):
        """Return how many retries the budget of the service has paid for."""
        return len(self.retry_policy._windows["s"]._retries)

    def predict(self, milliseconds):
        """Let choices from now on be predicted to take this long."""
        self._plan["predicted_ms"] = milliseconds

    def leave(self):
        self.channel.connectionLost(Failure(ConnectionDone()))

    def events(self, *events):
        lines = [json.loads(line) for line in self._output.getvalue().splitlines()]
        return [line for line in lines if not events or line["event"] in events]

    def answer(self):
        """Return the status, the body so far and whether it is marked as complete."""
        head, _, rest = self.transport.value().partition(b"\r\n\r\n")
        if not head:
            return 0, b"", False
        status = int(head.split()[1])
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                return status, rest, len(rest) == int(line.split(b":")[1])
        if b"transfer-encoding: chunked" not in head.lower():
            is_ended = self.transport.disconnecting
            return status, rest, is_ended and not self.transport.is_reset_on_close
        body = b""
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            if int(size, 16) == 0:
                assert rest == b"\r\n"
                return status, body, True
            body += rest[: int(size, 16)]
            rest = rest[int(size, 16) + 2 :]
        return status, body, False

    def _build(self, log, endpoints, retry_slack):
        def may_use(endpoint, *, request):
            return True

        statements = SimpleNamespace(
            wants_requests=may_use,
            record_answer=lambda *answer: None,
            record_order_answer=lambda *answer, sent_at: None,
            log_refusal=lambda *refusal: None,
        )
        announced = [
            AnnouncedEndpoint(
                id=f"e{number}",
                service="s",
                address=f"e{number}",
                failure_domain="north",
                slots=8,
                state=EndpointState.READY,
            )
            for number in range(endpoints)
        ]
        fleet = SimpleNamespace(
            endpoints=SimpleNamespace(
                is_usable=lambda endpoint: True,
                get={endpoint.id: endpoint for endpoint in announced}.get,
            ),
            configuration=SimpleNamespace(version=1),
        )
        chooser = PlayedChooser(
            health=self.health,
            tracker=self.tracker,
            holders=self._holders,
            plan=self._plan,
            endpoints=announced,
        )
        self.crashes = CrashRecord(clock=self.clock)
        self.retry_policy = RetryPolicy(
            clock=self.clock,
            bounds=GatewayBounds(retry_slack=retry_slack),
            peers=SimpleNamespace(entry_count=lambda *, now: 1),
        )
        shared = {
            "reactor": self.clock,
            "codec": HttpHeaderCodec(),
            "chooser": chooser,
            "pool": self.pool,
            "health": self.health,
            "crashes": self.crashes,
            "retry_policy": self.retry_policy,
            "statements": statements,
            "log": log,
        }
        attempts = AttemptRunner(
            fleet=fleet,
            tracker=self.tracker,
            reservations=ReservationManager(
                reactor=self.clock,
                pool=self.orders,
                codec=HttpHeaderCodec(),
                statements=statements,
                log=EventLog(process="g", role="gateway", stream=self._output),
                owner_id="o",
            ),
            on_work_changed=lambda **urgency: None,
            **shared,
        )
        return Forwarder(
            gate=SimpleNamespace(admit=self._admit),
            attempts=attempts,
            **shared,
        )

    def _admit(self, exchange, request, metadata):
        is_stream = self._route.kind is RequestKind.STREAMING
        return RequestContext(
            exchange=exchange,
            request=request,
            metadata=replace(metadata, shared_parts=self._shared_parts),
            route=self._route,
            service=Service(
                name="s",
                max_connections=10,
                cold_requests_per_second=100.0,
                engine=self._engine,
            ),
            workspace=None,
            deadline=request.received_at + self._route.timeout,
            stream=EventStream(last_id=metadata.last_event_id) if is_stream else None,
            fingerprint="f",
            configuration=1,
        )
