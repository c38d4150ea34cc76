"""The mechanisms of ends of streams and of stops, for `testing.mechanisms`."""

from bilberryring.testing.mechanism import Mechanism

UNMARKED_ENDS = "bilberryring/platform/tests/test_unmarked_ends.py"
STREAM_ENDS = "bilberryring/execution/tests/test_stream_end.py"

STOP_MECHANISMS = (
    Mechanism(
        name="a stream that ended in order is presumed complete",
        module="gateway/forwarding.py",
        present="        if context.known_end.end is StreamEnd.PRESUMED:\n",
        absent="        if False:\n",
        test=f"{UNMARKED_ENDS}"
        "::test_a_stream_that_cannot_be_repeated_is_not_left_without_an_end_mark",
    ),
    Mechanism(
        name="an endpoint is asked whether it runs after it ended a stream",
        module="gateway/answer_ends.py",
        present="failure = await self._pool.connection_failure(endpoint.address)",
        absent="failure = None",
        test=f"{UNMARKED_ENDS}::test_a_stream_whose_endpoint_crashed_has_no_end_mark",
    ),
    Mechanism(
        name="an endpoint that another one refutes is not believed",
        module="execution/stream_end.py",
        present="            return self\n        return KnownEnd(has_broken_off=True)",
        absent="            return self\n        return KnownEnd()",
        test=f"{UNMARKED_ENDS}::test_a_stream_whose_endpoint_is_shown"
        "_to_have_broken_off_has_no_end_mark",
    ),
    Mechanism(
        name="two endpoints that agree complete a stream",
        module="execution/stream_end.py",
        present="is_confirmed = self.end is not StreamEnd.OPEN",
        absent="is_confirmed = False",
        test=f"{STREAM_ENDS}"
        "::test_an_end_without_a_mark_is_believed_as_far_as_the_attempts_allow",
    ),
    Mechanism(
        name="confirmations leave retries for failures",
        module="gateway/repeat_rules.py",
        present="share=CONFIRMATION_SHARE if is_presumed else 1.0",
        absent="share=1.0",
        test=f"{UNMARKED_ENDS}::test_streams_that_only_lack_an_end_mark"
        "_leave_retries_for_those_that_break_off",
    ),
    Mechanism(
        name="a caller waits for a confirmation for a part of its patience",
        module="gateway/forwarding.py",
        present="running.end_confirmation_after(seconds,",
        absent="running.end_confirmation_after(seconds + 60.0,",
        test=f"{UNMARKED_ENDS}"
        "::test_a_caller_does_not_wait_for_a_silent_endpoint_until_it_leaves",
    ),
    Mechanism(
        name="a stream that has begun goes on late in a stop",
        module="gateway/late_requests.py",
        present="RequestKind.STREAMING and not has_begun",
        absent="RequestKind.STREAMING",
        test=f"{UNMARKED_ENDS}"
        "::test_a_stream_that_breaks_off_during_a_stop_goes_on_at_another_endpoint",
    ),
    Mechanism(
        name="last records have a reserve of log lines",
        module="telemetry/event_log.py",
        present="self._reserved_logger if event.is_reserved else self._logger",
        absent="self._logger",
        test="bilberryring/telemetry/tests/test_event_log.py"
        "::test_a_flood_of_other_lines_drops_no_last_record",
    ),
)
