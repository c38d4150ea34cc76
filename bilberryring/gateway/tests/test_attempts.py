"""Attempts that fail before the request is sent."""

from io import StringIO
from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from bilberryring.admission import EndpointStatements, Statement
from bilberryring.gateway.attempts import AttemptRunner
from bilberryring.gateway.endpoint_choice import Choice
from bilberryring.gateway.messages import AttemptError, FailureReason
from bilberryring.gateway.request_context import Attempt
from bilberryring.gateway.statement_recorder import StatementRecorder
from bilberryring.routing import PlacedRequest, WorkTracker
from bilberryring.telemetry import EventLog, LogEvent


class RecordingPool:
    """Hands out one connection and records its release."""

    def __init__(self):
        self.connection = object()
        self.released = []

    async def acquire(self, address, *, max_idle, timeout, request_id):
        return await succeed(self.connection)

    def release(self, connection):
        self.released.append(connection)


@pytest.fixture
def pool():
    return RecordingPool()


@pytest.fixture
def runner(pool):
    return make_runner(pool, is_usable=False)


def make_runner(pool, *, is_usable, statements=None):
    endpoints = SimpleNamespace(is_usable=lambda endpoint_id: is_usable)
    return AttemptRunner(
        reactor=Clock(),
        codec=None,
        fleet=SimpleNamespace(endpoints=endpoints),
        chooser=None,
        pool=pool,
        tracker=WorkTracker(),
        health=None,
        reservations=None,
        crashes=None,
        retry_policy=None,
        statements=statements,
        log=None,
        on_work_changed=lambda **urgency: None,
    )


def make_endpoint(name):
    return SimpleNamespace(id=name, run=f"{name}/1", address="127.0.0.1:1")


def attempt(runner, choice):
    """Make an attempt and return the error with which it ends."""
    context = SimpleNamespace(
        tried_endpoints=set(),
        route=SimpleNamespace(may_repeat=True, kind=None),
        deadline=5.0,
        request_id="r",
    )
    failures = []
    running = Attempt(choice=choice, stream=None)
    Deferred.fromCoroutine(runner.run(context, running, None)).addErrback(
        lambda failure: failures.append(failure.value)
    )
    assert isinstance(failures[0], AttemptError)
    return failures[0]


def test_connection_is_released_if_endpoint_leaves_before_the_send(runner, pool):
    choice = Choice(
        endpoint=make_endpoint("a"),
        helpers=(),
        placed=PlacedRequest(lead="a"),
        predicted_ms=0.0,
    )
    assert not attempt(runner, choice).was_sent
    assert pool.released == [pool.connection]


STATEMENTS = [Statement(rest=3.0), Statement(is_leaving=True)]


@pytest.mark.parametrize("statement", STATEMENTS, ids=str)
@pytest.mark.parametrize("run", ["lead/1", "helper/1"])
def test_nothing_is_written_if_an_endpoint_rests_or_leaves_since_the_choice(
    pool, statement, run
):
    statements = EndpointStatements()
    output = StringIO()
    recorder = StatementRecorder(
        clock=Clock(),
        statements=statements,
        chooser=None,
        log=EventLog(process="g", role="gateway", stream=output),
    )
    runner = make_runner(pool, is_usable=True, statements=recorder)
    choice = Choice(
        endpoint=make_endpoint("lead"),
        helpers=(make_endpoint("helper"),),
        placed=PlacedRequest(lead="lead"),
        predicted_ms=0.0,
    )
    statements.record_answer(run, statement, place=None, sent_at=0.0, now=0.0)
    error = attempt(runner, choice)
    assert (error.reason, error.was_sent) == (FailureReason.WITHDRAWN, False)
    assert pool.released == [pool.connection]
    assert LogEvent.ENDPOINT_WITHDRAWN.name.lower() in output.getvalue()
