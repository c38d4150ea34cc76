"""The mechanisms of ends of streams and of stops, for `testing.mechanisms`."""

from bilberryring.testing.mechanism import Mechanism

UNMARKED_ENDS = "bilberryring/platform/tests/test_unmarked_ends.py"
DOUBTED_ENDS = "bilberryring/platform/tests/test_doubted_ends.py"
UNMARKED_CALLS = "bilberryring/scenarios/tests/test_unmarked_calls.py"
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
    Mechanism(
        name="an end at the deadline that was given is doubted",
        module="gateway/answer_ends.py",
        present="            return EndpointFate.TIMED_OUT\n",
        absent="            pass\n",
        test=f"{DOUBTED_ENDS}"
        "::test_a_stream_that_its_endpoint_ends_at_its_deadline_has_no_end_mark",
    ),
    Mechanism(
        name="a begun event refutes a presumed end",
        module="gateway/attempts.py",
        present="if attempt.stream and attempt.stream.place is Place.INSIDE_EVENT:",
        absent="if False:",
        test=f"{DOUBTED_ENDS}"
        "::test_a_stream_of_which_another_endpoint_has_begun_more_has_no_end_mark",
    ),
    Mechanism(
        name="a full queue of connections is asked again",
        module="gateway/connection_pool.py",
        present="N_CHECKS = 3",
        absent="N_CHECKS = 1",
        test="bilberryring/platform/tests/test_ends_of_busy_endpoints.py"
        "::test_a_stream_of_a_busy_endpoint_is_not_cut_at_the_end_of_a_stop",
    ),
    Mechanism(
        name="a call's answer that ends with its connection is whole",
        module="sidecar/service_answers.py",
        present="        if not await client.accepts_connection():\n",
        absent="        if True:\n",
        test=f"{UNMARKED_CALLS}"
        "::test_a_whole_answer_that_ends_with_its_connection_is_not_lost",
    ),
    Mechanism(
        name="a service is asked whether it runs after it ended an answer",
        module="sidecar/service_answers.py",
        present="        if not await client.accepts_connection():\n",
        absent="        if False:\n",
        test=f"{UNMARKED_CALLS}"
        "::test_a_part_of_an_answer_of_a_service_that_ends_is_not_taken_for_whole",
    ),
    Mechanism(
        name="what has arrived at an entry is read before it refuses",
        module="entry/daemon.py",
        present='        await self._listeners.read_arrived("caller_address")\n',
        absent="",
        test="bilberryring/scenarios/tests/test_stops_under_load.py"
        "::test_requests_that_arrived_before_the_signal_and_are_unread_are_served",
    ),
)
