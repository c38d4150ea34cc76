"""Memory that is held while an engine pauses and goes on."""

from io import StringIO
from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock, deferLater

from bilberryring.admission import EndpointStatements
from bilberryring.execution import Close, Framing
from bilberryring.fleet import AnnouncedEndpoint, EndpointState
from bilberryring.gateway.connection_pool import CONNECT_TIMEOUT_SECONDS
from bilberryring.gateway.endpoint_connection import EndpointResponse
from bilberryring.gateway.messages import FailureReason, ResponseEnd, ResponseHead
from bilberryring.gateway.reservations import ReservationManager
from bilberryring.gateway.statement_recorder import StatementRecorder
from bilberryring.platform.headers import decode_response_headers
from bilberryring.telemetry import EventLog

STEP_SECONDS = 0.05
PLAY_SECONDS = 9.0


def make_engine(name):
    return AnnouncedEndpoint(
        id=name,
        service="s",
        address=name,
        failure_domain="north",
        slots=8,
        state=EndpointState.READY,
    )


class PausingEngines:
    """Engines of which one is silent for a while; orders that are cut off are lost.

    With `accepts` a silent engine still accepts connections, as its host runs.
    """

    def __init__(self, *, silent, begins, seconds, accepts):
        self.clock = Clock()
        self.held_until = {}
        self.has_expired = False
        self._silent = silent
        self._begins = begins
        self._ends = begins + seconds
        self._accepts = accepts

    def is_silent(self, name):
        now = self.clock.seconds()
        return name == self._silent and self._begins <= now < self._ends

    async def acquire(self, address, *, max_idle, timeout, request_id):
        await deferLater(self.clock, 0)
        return SimpleNamespace(send=lambda **order: self._send(address, order))

    async def connection_failure(self, address, *, lasting=0.0):
        if self.is_silent(address) and not self._accepts:
            await deferLater(self.clock, CONNECT_TIMEOUT_SECONDS)
            return FailureReason.NOT_CONNECTED
        return None

    def _send(self, address, order):
        connection = SimpleNamespace(is_cut=False)

        def cut():
            connection.is_cut = True

        connection.abort = cut
        response = EndpointResponse(connection=connection, reactor=self.clock)
        Deferred.fromCoroutine(self._carry_out(address, order, connection, response))
        return response

    async def _carry_out(self, address, order, connection, response):
        while self.is_silent(address):
            await deferLater(self.clock, STEP_SECONDS)
        if connection.is_cut:
            return
        tokens, seconds = order["body"]
        self.held_until[address] = self.clock.seconds() + seconds
        response.add(ResponseHead(status=200, reason=b"", headers=()))
        response.add(ResponseEnd(framing=Framing.LENGTH, close=Close.AT_END))

    def step(self):
        self.clock.advance(STEP_SECONDS)
        now = self.clock.seconds()
        self.has_expired |= any(until <= now for until in self.held_until.values())


def play(engines):
    log = EventLog(process="g", role="gateway", stream=StringIO())
    manager = ReservationManager(
        reactor=engines.clock,
        pool=engines,
        codec=SimpleNamespace(
            encode_order=lambda order: (b"/", (), (order.tokens, order.hold_seconds)),
            decode_response_headers=decode_response_headers,
        ),
        statements=StatementRecorder(
            clock=engines.clock, statements=EndpointStatements(), chooser=None, log=log
        ),
        log=log,
        owner_id="o",
    )
    holders = (make_engine("holder"), make_engine("other"))
    Deferred.fromCoroutine(
        manager.reserve("prompt", holders, 5, lead=make_engine("lead"))
    )
    while engines.clock.seconds() < PLAY_SECONDS:
        engines.step()
    assert set(engines.held_until) == {"holder", "other"}
    return not engines.has_expired


def phases_that_lose_memory(silent, seconds, *, accepts):
    return [
        begins
        for begins in (number / 10 for number in range(2, 40))
        if not play(
            PausingEngines(
                silent=silent, begins=begins, seconds=seconds, accepts=accepts
            )
        )
    ]


@pytest.mark.parametrize("seconds", [1.2, 1.6, 2.2])
def test_memory_outlives_a_silence_of_its_holder(seconds):
    assert phases_that_lose_memory("holder", seconds, accepts=True) == []


@pytest.mark.parametrize("seconds", [1.2, 1.6, 2.2])
def test_memory_outlives_a_silence_of_the_lead(seconds):
    assert phases_that_lose_memory("lead", seconds, accepts=True) == []


@pytest.mark.parametrize("seconds", [1.2, 1.6, 2.2])
def test_memory_outlives_a_pause_of_the_whole_host_of_the_lead(seconds):
    assert phases_that_lose_memory("lead", seconds, accepts=False) == []
