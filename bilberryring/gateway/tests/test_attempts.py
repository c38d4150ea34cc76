"""What an attempt gives back when it cannot be made."""

from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from bilberryring.gateway.attempts import AttemptRunner
from bilberryring.gateway.endpoint_choice import Choice
from bilberryring.gateway.messages import AttemptBroken
from bilberryring.routing import PlacedRequest, WorkBook


class LendingPool:
    """Lends one connection and notes whether it came back."""

    def __init__(self):
        self.connection = object()
        self.given_back = []

    async def acquire(self, address, *, most_idle, timeout):
        return await succeed(self.connection)

    def give_back(self, connection):
        self.given_back.append(connection)


@pytest.fixture
def pool():
    return LendingPool()


@pytest.fixture
def runner(pool):
    gone = SimpleNamespace(is_usable=lambda endpoint_id: False)
    return AttemptRunner(
        reactor=Clock(),
        codec=None,
        fleet=SimpleNamespace(endpoints=gone),
        chooser=None,
        pool=pool,
        book=WorkBook(),
        health=None,
        reservations=None,
        crashes=None,
        rules=None,
        log=None,
        on_work_changed=lambda **urgency: None,
    )


def test_the_connection_to_an_endpoint_that_just_left_is_given_back(runner, pool):
    route = SimpleNamespace(may_repeat=True, kind=None)
    run = SimpleNamespace(tried=set(), route=route, ends_at=5.0)
    choice = Choice(
        endpoint=SimpleNamespace(id="a", address="127.0.0.1:1"),
        helpers=(),
        placed=PlacedRequest(lead="a"),
        predicted_ms=0.0,
    )
    attempt = Deferred.fromCoroutine(runner.attempt(run, choice))
    failures = []
    attempt.addErrback(lambda failure: failures.append(failure.value))
    assert isinstance(failures[0], AttemptBroken)
    assert not failures[0].was_sent
    assert pool.given_back == [pool.connection]
