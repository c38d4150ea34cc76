"""The messages that a sidecar sends to an entry about an attempt."""

from bilberryring.admission import WorkKey
from bilberryring.core import ErrorCode, RunOutcome, to_micros
from bilberryring.sidecar.attempt import PromptAttempt
from bilberryring.sidecar.peer import PeerLink
from bilberryring.wire import Finished, Held, Refused

FINISH_REASON = "length"
"""The reason of every complete answer."""


def work_key(peer: PeerLink, attempt: int) -> WorkKey:
    """Return the key of an attempt, unique across entries.

    Attempt numbers are unique only within one incarnation of an entry.
    """
    return WorkKey(f"{peer.incarnation}/{attempt}")


def outcome_of(attempt: PromptAttempt) -> RunOutcome:
    """Return whether an attempt that was sent to the engine was executed.

    Without a token from the engine, it is not known whether the prompt ran.
    """
    if attempt.tokens_sent:
        return RunOutcome.RAN
    return RunOutcome.UNKNOWN


def send_finished(attempt: PromptAttempt) -> None:
    """Send the end of a complete answer, after its last tokens."""
    attempt.peer.batcher.flush()
    attempt.peer.link.send(
        Finished(
            attempt=attempt.message.attempt,
            token_count=attempt.generation.token_count,
            reason=FINISH_REASON,
        )
    )


def send_held(attempt: PromptAttempt) -> None:
    """Tell the lead of a span that this endpoint holds its part of the prompt."""
    attempt.peer.link.send(Held(attempt=attempt.message.attempt))


def send_refused(
    attempt: PromptAttempt,
    code: ErrorCode,
    outcome: RunOutcome,
    *,
    retry_after: float = 0.0,
) -> None:
    """Send the end of an attempt without a complete answer, after its last tokens.

    `retry_after` is in seconds.
    """
    attempt.peer.batcher.flush()
    attempt.peer.link.send(
        Refused(
            attempt=attempt.message.attempt,
            code=code.value,
            detail="",
            outcome=outcome.value,
            retry_after=to_micros(retry_after),
        )
    )
