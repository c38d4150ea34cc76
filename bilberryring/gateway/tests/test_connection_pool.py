"""Connections that are opened, and openings that are given up."""

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.testing import MemoryReactorClock

from bilberryring.gateway.connection_pool import ConnectionPool


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
