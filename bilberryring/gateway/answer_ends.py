"""Whether an answer that has ended is complete."""

from twisted.internet.task import deferLater

from bilberryring.execution import (
    AnswerEnd,
    EndpointFate,
    Place,
    Proof,
    StreamEnd,
    proof_of_end,
)
from bilberryring.fleet import EndpointState, FleetState
from bilberryring.gateway.connection_pool import LISTENER_SECONDS, ConnectionPool
from bilberryring.gateway.messages import AttemptError, FailureReason, ResponseEnd
from bilberryring.gateway.request_context import Attempt, RequestContext

DEADLINE_MARGIN_SECONDS = 0.05
"""Seconds before the deadline of an attempt from which its endpoint may have stopped
work, and closed the connection in order, without being done. Endpoints measure the
deadline from when they get the request, in whole milliseconds."""
EXIT_SECONDS = 0.2
"""Seconds within which an endpoint that exits has closed its listener as well."""


class AnswerEndCheck:
    """Decides whether answers are complete, and asks their endpoints where needed."""

    def __init__(self, *, clock, pool: ConnectionPool, fleet: FleetState):
        self._clock = clock
        self._pool = pool
        self._fleet = fleet

    async def check_body(self, attempt: Attempt, ended: ResponseEnd) -> None:
        """Raise `AttemptError` unless a body is complete, as far as can be known."""
        proof = _record_end(attempt, ended, Place.IN_BODY)
        if proof is Proof.BROKEN_OFF:
            raise AttemptError(reason=FailureReason.CLOSED, was_sent=True)
        if proof is Proof.UNKNOWN:
            _check_fate(await self._fate(attempt))

    async def check_stream(
        self, context: RequestContext, attempt: Attempt, ended: ResponseEnd
    ) -> None:
        """Raise `AttemptError` unless a stream is complete.

        If it may be complete, another endpoint is to tell. A stream that must not be
        sent again is complete as far as can be known. `context` gets what is known of
        the end, and the bytes after the last event.
        """
        proof = _record_end(attempt, ended, attempt.stream.place)
        trailing_bytes = attempt.stream.take_partial()
        fate = EndpointFate.RUNS
        if proof is Proof.UNKNOWN:
            fate = await self._fate(attempt)
        if fate is EndpointFate.LEFT and context.route.may_repeat:
            fate = await self._fate_of_leaving(attempt)
        context.known_end = context.known_end.after_end(
            attempt.answer_end, endpoint=fate
        )
        if proof is Proof.BROKEN_OFF:
            raise AttemptError(reason=FailureReason.CLOSED, was_sent=True)
        context.trailing_bytes = context.trailing_bytes or trailing_bytes
        if context.known_end.end is StreamEnd.COMPLETE:
            return
        if fate is EndpointFate.CRASHED or not context.route.may_repeat:
            _check_fate(fate)
            return
        raise AttemptError(reason=FailureReason.END_UNKNOWN, was_sent=True)

    async def _fate(self, attempt: Attempt) -> EndpointFate:
        """Return what became of an endpoint that has ended an answer in order.

        The connections of a process that crashes are closed like those of a sound one,
        but no new one is accepted to stay, or it is announced as another run.
        """
        if self._clock.seconds() >= attempt.deadline - DEADLINE_MARGIN_SECONDS:
            return EndpointFate.TIMED_OUT
        endpoint = attempt.choice.endpoint
        failure = await self._pool.connection_failure(
            endpoint.address, lasting=LISTENER_SECONDS
        )
        announced = self._fleet.endpoints.get(endpoint.id)
        if announced is None or announced.state is EndpointState.LEAVING:
            return EndpointFate.LEFT
        if failure is FailureReason.REFUSED or announced.run != endpoint.run:
            return EndpointFate.CRASHED
        return EndpointFate.RUNS if failure is None else EndpointFate.UNREACHABLE

    async def _fate_of_leaving(self, attempt: Attempt) -> EndpointFate:
        """Return whether a leaving endpoint runs a moment after it ended an answer.

        One that exits may close its streams just before its listener.
        """
        await deferLater(self._clock, EXIT_SECONDS)
        address = attempt.choice.endpoint.address
        failure = await self._pool.connection_failure(address, lasting=LISTENER_SECONDS)
        return EndpointFate.RUNS if failure is None else EndpointFate.LEFT


def _record_end(attempt: Attempt, ended: ResponseEnd, place: Place) -> Proof:
    """Record how an answer ended; return what that proves."""
    attempt.answer_end = AnswerEnd(
        framing=ended.framing,
        close=ended.close,
        place=place,
        is_resumed=place is not Place.IN_BODY and attempt.stream.is_resumed,
    )
    return proof_of_end(attempt.answer_end)


def _check_fate(fate: EndpointFate) -> None:
    """Raise `AttemptError` if an answer that no other attempt can confirm is not whole.

    An endpoint that has left is taken to have exited after its last answer.
    """
    match fate:
        case EndpointFate.RUNS | EndpointFate.LEFT:
            return
        case EndpointFate.TIMED_OUT:
            raise AttemptError(reason=FailureReason.DEADLINE, was_sent=True)
        case EndpointFate.UNREACHABLE | EndpointFate.CRASHED:
            raise AttemptError(reason=FailureReason.CLOSED, was_sent=True)
