"""Memory orders: the ends of their answers, and what engines say in them."""

import re
from io import StringIO
from types import SimpleNamespace

import pytest
from twisted.internet.defer import CancelledError, Deferred, succeed
from twisted.internet.task import Clock

from bilberryring.admission import EndpointStatements, Statement
from bilberryring.execution import AnswerEnd, Close, Framing, Place, Proof, proof_of_end
from bilberryring.fleet import AnnouncedEndpoint, EndpointState
from bilberryring.gateway.messages import (
    AttemptError,
    FailureReason,
    MemoryOrder,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from bilberryring.gateway.reservations import (
    RENEWAL_INTERVAL_SECONDS,
    REPEAT_DELAYS_SECONDS,
    ReservationManager,
)
from bilberryring.gateway.statement_recorder import StatementRecorder
from bilberryring.platform.headers import decode_response_headers
from bilberryring.telemetry import EventLog

ENDS = [
    AnswerEnd(framing=framing, close=close, place=Place.IN_BODY)
    for framing in Framing
    for close in Close
]


class AnsweringPool:
    """Hands out one connection, on which each order gets the same answer."""

    def __init__(self, events):
        self._events = list(events)

    async def acquire(self, address, *, max_idle, timeout, request_id):
        return await succeed(SimpleNamespace(send=lambda **request: self))

    async def receive(self, *, timeout):
        return await succeed(self._events.pop(0))

    def abort(self):
        pass


def make_endpoint(name):
    return SimpleNamespace(id=name, run=f"{name}/1", address="127.0.0.1:1")


def make_engine(name):
    return AnnouncedEndpoint(
        id=name,
        service="s",
        address="127.0.0.1:1",
        failure_domain="north",
        slots=8,
        state=EndpointState.READY,
    )


def make_manager(pool, statements, *, output=None):
    clock = Clock()
    log = EventLog(process="g", role="gateway", stream=output or StringIO())
    return ReservationManager(
        reactor=clock,
        pool=pool,
        codec=SimpleNamespace(
            encode_order=lambda order: (b"/", (), b"{}"),
            decode_response_headers=decode_response_headers,
        ),
        statements=StatementRecorder(
            clock=clock, statements=statements, chooser=None, log=log
        ),
        log=log,
        owner_id="o",
    )


@pytest.mark.parametrize("end", ENDS, ids=str)
def test_an_order_counts_as_answered_unless_its_answer_is_broken_off(end):
    events = [
        ResponseHead(status=200, reason=b"", headers=(), framing=end.framing),
        ResponseData(b"{}"),
        ResponseEnd(framing=end.framing, close=end.close),
    ]
    manager = make_manager(AnsweringPool(events), EndpointStatements())
    endpoint = make_endpoint("a")
    order = MemoryOrder(endpoint="a", reservation_id="r", tokens=5)
    statuses = []
    sending = Deferred.fromCoroutine(manager.send_order(endpoint, order))
    sending.addCallback(statuses.append)
    is_broken_off = proof_of_end(end) is Proof.BROKEN_OFF
    assert statuses == [None if is_broken_off else 200]


@pytest.mark.parametrize("statement", [Statement(rest=3.0), Statement(is_leaving=True)])
def test_no_memory_is_ordered_for_a_new_prompt_if_one_engine_rests_or_leaves(statement):
    statements = EndpointStatements()
    statements.record_answer("b/1", statement, place=None, sent_at=0.0, now=0.0)
    manager = make_manager(AnsweringPool([]), statements)
    endpoints = tuple(make_endpoint(name) for name in "ab")
    failures = []
    Deferred.fromCoroutine(
        manager.reserve("prompt", endpoints, 5, lead=make_endpoint("lead"))
    ).addErrback(lambda failure: failures.append(failure.value))
    assert isinstance(failures[0], AttemptError)
    assert failures[0].reason is FailureReason.WITHDRAWN


def test_what_an_engine_says_in_the_answer_to_an_order_counts():
    statements = EndpointStatements()
    ending = ResponseEnd(framing=Framing.LENGTH, close=Close.AT_END)
    busy = ResponseHead(status=503, reason=b"", headers=((b"Retry-After", b"3"),))
    manager = make_manager(AnsweringPool([busy, ending]), statements)
    order = MemoryOrder(endpoint="a", reservation_id="r", tokens=5)
    Deferred.fromCoroutine(manager.send_order(make_endpoint("a"), order))
    assert not statements.wants_requests("a/1", now=2.9)
    assert statements.wants_requests("a/1", now=3.0)


class SilentPool:
    """Accepts orders, of which an engine answers none; `orders` are those sent."""

    def __init__(self, *, is_opening=False):
        self.orders = []
        self._is_opening = is_opening

    async def acquire(self, address, *, max_idle, timeout, request_id):
        if self._is_opening:
            await Deferred()
        return await succeed(SimpleNamespace(send=self._send))

    def _send(self, **request):
        self.orders.append(request["body"])
        return self

    async def receive(self, *, timeout):
        await Deferred()

    def abort(self):
        pass


def test_memory_is_released_if_its_prompt_ends_while_it_is_ordered():
    pool = SilentPool()
    manager = make_manager(pool, EndpointStatements())
    manager._codec.encode_order = lambda order: (b"/", (), b"%d" % order.tokens)
    endpoints = tuple(make_engine(name) for name in "ab")
    failures = []
    ordering = Deferred.fromCoroutine(
        manager.reserve("prompt", endpoints, 5, lead=make_endpoint("lead"))
    ).addErrback(lambda failure: failures.append(failure.type))
    assert pool.orders == [b"5", b"5"]
    ordering.cancel()
    manager.clock.advance(0)
    assert pool.orders[2:] == [b"0", b"0"]
    assert failures == [CancelledError]


class RenewalsUnansweredPool:
    """Answers the first order and releases, and never answers a renewal."""

    def __init__(self):
        self.releases = []
        self._n_reserved = 0

    async def acquire(self, address, *, max_idle, timeout, request_id):
        return await succeed(SimpleNamespace(send=self._send))

    async def connection_failure(self, address, *, lasting=0.0):
        return await succeed(None)

    def _send(self, **request):
        is_release = request["body"] == b"0"
        if is_release:
            self.releases.append(request["body"])
        else:
            self._n_reserved += 1
        is_answered = is_release or self._n_reserved == 1
        return SimpleNamespace(
            receive=self._answer() if is_answered else self._wait, abort=lambda: None
        )

    def _answer(self):
        events = [
            ResponseHead(status=200, reason=b"", headers=()),
            ResponseEnd(framing=Framing.LENGTH, close=Close.AT_END),
        ]

        async def receive(*, timeout):
            return await succeed(events.pop(0))

        return receive

    async def _wait(self, *, timeout):
        await Deferred()


@pytest.mark.parametrize("is_renewal_under_way", [False, True])
def test_memory_stays_released_if_a_renewal_is_carried_out_after_its_release(
    is_renewal_under_way,
):
    pool = RenewalsUnansweredPool()
    manager = make_manager(pool, EndpointStatements())
    manager._codec.encode_order = lambda order: (b"/", (), b"%d" % order.tokens)
    reservations = []
    Deferred.fromCoroutine(
        manager.reserve("prompt", (make_engine("a"),), 5, lead=make_engine("lead"))
    ).addCallback(reservations.append)
    if is_renewal_under_way:
        manager.clock.advance(RENEWAL_INTERVAL_SECONDS)
    reservations[0].release()
    assert len(pool.releases) == 1
    manager.clock.pump(REPEAT_DELAYS_SECONDS)
    n_repeats = len(REPEAT_DELAYS_SECONDS) if is_renewal_under_way else 0
    assert len(pool.releases) == 1 + n_repeats


@pytest.mark.parametrize(
    "request_id",
    ["r1,127.0.0.1:9/t", "r/1", "r 1", "r\t1", "r\xe91", "r" * 8_000, ""],
    ids=lambda text: repr(text[:20]),
)
def test_a_request_id_adds_no_helper_to_the_header_with_reservations(request_id):
    manager = make_manager(AnsweringPool([]), EndpointStatements())
    reservation_id = manager.new_reservation_id(request_id)
    assert re.fullmatch(r"[0-9A-Za-z_-]{1,200}", reservation_id)
    assert manager.new_reservation_id(request_id) != reservation_id


class FaultyPool(RenewalsUnansweredPool):
    """Answers all orders, but raises `fault` for the orders and checks of some kinds.

    `kinds` are of "renewal", "release" and "check"; the first order is the reservation.
    """

    def __init__(self, *, kinds, fault):
        super().__init__()
        self.kinds = set(kinds)
        self.sent = []
        self._fault = fault

    async def connection_failure(self, address, *, lasting=0.0):
        await self._pass("check")
        return None

    def _send(self, **request):
        kind = "release" if request["body"] == b"0" else "renewal"
        if self.sent:
            self.sent.append(kind)
            if kind in self.kinds:
                raise self._fault
        else:
            self.sent.append("reservation")
        return SimpleNamespace(receive=self._answer(), abort=lambda: None)

    async def _pass(self, kind):
        await succeed(None)
        if kind in self.kinds:
            raise self._fault


def reserve_with_faults(*kinds, fault=None):
    """Return a manager, its pool, a reservation and a function that reads its log."""
    pool = FaultyPool(kinds=kinds, fault=fault or ValueError("x" * 100_000))
    output = StringIO()
    manager = make_manager(pool, EndpointStatements(), output=output)
    manager._codec.encode_order = lambda order: (b"/", (), b"%d" % order.tokens)
    reservations = []
    Deferred.fromCoroutine(
        manager.reserve("prompt", (make_engine("a"),), 5, lead=make_engine("lead"))
    ).addCallback(reservations.append)

    def faults():
        lines = output.getvalue().splitlines()
        return [line for line in lines if '"internal_fault"' in line]

    return manager, pool, reservations[0], faults


@pytest.mark.parametrize("kind", ["renewal", "check"])
def test_an_unknown_error_of_a_renewal_is_logged_and_ends_no_other(kind):
    manager, pool, reservation, faults = reserve_with_faults(kind)
    manager.clock.pump([RENEWAL_INTERVAL_SECONDS] * 4)
    (line,) = faults()
    assert len(line) < 2_000
    assert "prompt" in line
    pool.kinds.clear()
    n_sent = len(pool.sent)
    manager.clock.pump([RENEWAL_INTERVAL_SECONDS] * 3)
    assert pool.sent[n_sent:] == ["renewal"] * 3
    reservation.release()
    assert pool.sent[-1] == "release"
    assert len(faults()) == 1


def test_an_unknown_error_of_a_release_is_logged_and_the_release_sent_again():
    manager, pool, reservation, faults = reserve_with_faults("release")
    reservation.release()
    assert pool.sent.count("release") == 1
    assert manager.releases_in_progress == 0
    manager.clock.advance(REPEAT_DELAYS_SECONDS[0])
    assert pool.sent.count("release") == 2
    (line,) = faults()
    assert len(line) < 2_000
    assert "prompt" in line
    pool.kinds.clear()
    manager.clock.pump(REPEAT_DELAYS_SECONDS)
    assert pool.sent.count("release") == 3
    assert len(faults()) == 1
