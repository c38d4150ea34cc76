"""What a sidecar tells an entry about an attempt."""

from bilberryring.admission import WorkKey
from bilberryring.core import ErrorCode, RunOutcome, to_micros
from bilberryring.sidecar.attempt import PromptAttempt
from bilberryring.sidecar.peer import PeerLink
from bilberryring.wire import Finished, Held, Refused

FINISH_REASON = "length"


def work_key(peer: PeerLink, attempt: int) -> WorkKey:
    """Return the name of an attempt that no other entry's attempt has."""
    return WorkKey(f"{peer.incarnation}/{attempt}")


def outcome_of(attempt: PromptAttempt) -> RunOutcome:
    """Return the truth about an attempt that was handed to the engine."""
    if attempt.tokens_sent:
        return RunOutcome.RAN
    return RunOutcome.UNKNOWN


def send_finished(attempt: PromptAttempt) -> None:
    """Tell that the answer is whole, after its last tokens."""
    attempt.peer.batcher.flush()
    attempt.peer.link.send(
        Finished(
            attempt=attempt.message.attempt,
            token_count=attempt.generation.token_count,
            reason=FINISH_REASON,
        )
    )


def send_held(attempt: PromptAttempt) -> None:
    """Tell the lead of a span that its part is held here."""
    attempt.peer.link.send(Held(attempt=attempt.message.attempt))


def send_refused(
    attempt: PromptAttempt,
    code: ErrorCode,
    outcome: RunOutcome,
    *,
    retry_after: float = 0.0,
) -> None:
    """Tell that the attempt ended without a whole answer."""
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
