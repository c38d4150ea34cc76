"""Connections that are opened, given up, or opened to see whether an endpoint runs."""

from types import SimpleNamespace

import pytest
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from bilberryring.execution import Close, Framing
from bilberryring.gateway.answer_ends import AnswerEndCheck
from bilberryring.gateway.connection_pool import (
    LISTENER_SECONDS,
    N_CHECKS,
    ConnectionPool,
)
from bilberryring.gateway.messages import FailureReason, ResponseEnd


def test_an_opening_that_is_cancelled_is_no_failure_of_the_endpoint():
    reactor = MemoryReactorClock()
    pool = ConnectionPool(reactor=reactor)
    opening = Deferred.fromCoroutine(
        pool.acquire("127.0.0.1:1", max_idle=1.0, timeout=1.0, request_id=None)
    )
    failures = []
    opening.addErrback(failures.append)
    opening.cancel()
    reactor.advance(0)
    assert [failure.type for failure in failures] == [CancelledError]


class OptionlessTransport(StringTransport):
    """A transport without a socket, so that options of one have no effect."""

    def getHandle(self):
        return self

    def setsockopt(self, level, option, value):
        pass

    def setTcpNoDelay(self, enabled):
        pass

    def setTcpKeepAlive(self, enabled):
        pass


class Check:
    """A check of an endpoint, whose handshakes a test answers."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        self.pool = ConnectionPool(reactor=self.reactor)
        self.results = []
        checking = Deferred.fromCoroutine(
            self.pool.connection_failure("127.0.0.1:1", lasting=LISTENER_SECONDS)
        )
        checking.addCallback(self.results.append)

    def accept(self):
        """Accept the latest handshake; return the connection."""
        *_, factory, _, _ = self.reactor.tcpClients[-1]
        connection = factory.buildProtocol(None)
        connection.makeConnection(OptionlessTransport())
        self.reactor.advance(0)
        return connection

    def refuse(self):
        *_, factory, _, _ = self.reactor.tcpClients[-1]
        factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
        self.reactor.advance(0)

    def close(self, connection):
        connection.connectionLost(Failure(ConnectionDone()))
        self.reactor.advance(LISTENER_SECONDS)


def test_an_endpoint_whose_new_connection_stays_open_runs():
    check = Check()
    check.accept()
    assert check.results == []
    check.reactor.advance(LISTENER_SECONDS)
    assert check.results == [None]


@pytest.mark.parametrize("n_closed", [1, N_CHECKS - 1])
def test_a_listener_that_outlives_its_process_for_a_moment_is_no_proof(n_closed):
    # Guards against a crash that is not noticed: the kernel accepts a connection after
    # it has closed the others, and resets it as it closes the listener.
    check = Check()
    for _ in range(n_closed):
        check.close(check.accept())
    check.refuse()
    assert check.results == [FailureReason.REFUSED]


@pytest.mark.parametrize("is_closed_again", [True, False], ids=["crashed", "runs"])
def test_an_answer_that_ends_with_its_connection_needs_an_endpoint_that_runs_on(
    is_closed_again,
):
    # Guards against a part of an answer of a killed endpoint that is taken as whole,
    # since its listener still accepts a connection.
    check = Check()
    endpoint = SimpleNamespace(id="e", run="e/1", address="127.0.0.1:1", state=None)
    ends = AnswerEndCheck(
        clock=check.reactor,
        pool=check.pool,
        fleet=SimpleNamespace(endpoints={"e": endpoint}),
    )
    attempt = SimpleNamespace(
        deadline=9.0, choice=SimpleNamespace(endpoint=endpoint), answer_end=None
    )
    ended = ResponseEnd(framing=Framing.CONNECTION, close=Close.CLEAN)
    results = []
    Deferred.fromCoroutine(ends.check_body(attempt, ended)).addBoth(results.append)
    connection = check.accept()
    if is_closed_again:
        check.close(connection)
        check.refuse()
        (failure,) = results
        assert failure.value.reason is FailureReason.CLOSED
    else:
        check.reactor.advance(LISTENER_SECONDS)
        assert results == [None]


def test_an_endpoint_that_closes_new_connections_and_accepts_more_has_not_crashed():
    """It may have as many connections as it accepts."""
    check = Check()
    for _ in range(N_CHECKS):
        check.close(check.accept())
    assert check.results == [None]
