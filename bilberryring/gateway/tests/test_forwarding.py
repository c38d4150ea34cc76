"""A request's task: what it records, what it spends and when it ends."""

import gc
import tracemalloc

import pytest
from twisted.internet.defer import Deferred, succeed

from bilberryring.admission import PlannedStop
from bilberryring.core import ErrorCode, Fingerprint, RunOutcome, ServingError
from bilberryring.execution import Close
from bilberryring.fleet import RequestKind
from bilberryring.gateway import forwarding
from bilberryring.gateway.crash_record import DEATHS_UNTIL_QUARANTINE
from bilberryring.gateway.event_stream import MAX_EVENT_BYTES
from bilberryring.gateway.forwarding import DEATH_CHECK_SECONDS
from bilberryring.gateway.messages import AttemptError, FailureReason
from bilberryring.gateway.peer_view import EndpointDeath
from bilberryring.routing import PlacedRequest
from bilberryring.testing.played_attempts import LAST_RECORDS, PlayedSite
from bilberryring.testing.prompt_load import FIGURES

COMMENTS = b": wait\n\n" * 8_192
EVENT_1 = b"id: 1\ndata: piece 1\n\n"
EVENT_2 = b"id: 2\ndata: piece 2\n\n"
EVENT_3 = b"id: 3\ndata: piece 3\n\n"
GAP_LIMIT_SECONDS = 1.0
"""The silence after which the endpoint of a stream of a `PlayedSite` is silent."""
LONG_PART_MS = 1_500.0
FINGERPRINT = Fingerprint("f")
"""That of the requests of a `PlayedSite`."""


def advance(site, seconds):
    for _ in range(round(seconds / 0.05)):
        site.clock.advance(0.05)


def record_crashes(site, count):
    for number in range(count):
        death = EndpointDeath(death=f"run-{number}", fingerprints=(FINGERPRINT,))
        site.crashes.record(death)


def start_second_attempt(**options):
    """Return a site whose first endpoint is silent after an event; a second runs."""
    site = PlayedSite(**options)
    site.runs[0].send_head()
    site.runs[0].send(EVENT_1)
    advance(site, GAP_LIMIT_SECONDS + 0.1)
    assert len(site.runs) == 2
    return site


def test_an_answer_that_ends_while_a_crash_is_checked_is_recorded_as_finished():
    site = start_second_attempt(shared_parts=("p",))
    site.pool.death_check = Deferred()
    silent, second = site.runs
    second.send_head()
    silent.fail(FailureReason.CLOSED)
    second.send(EVENT_2)
    second.end()
    site.clock.advance(DEATH_CHECK_SECONDS)
    assert site.answer() == (200, EVENT_1 + EVENT_2, True)
    assert [line["event"] for line in site.events(*LAST_RECORDS)] == [
        "request_finished"
    ]


def test_a_request_is_sent_again_once_it_is_known_whether_its_endpoint_crashed():
    # Guards against a second attempt whose endpoint crashes before the first crash
    # counts, so that a request in quarantine costs one endpoint more.
    site = PlayedSite(kind=RequestKind.IDEMPOTENT)
    site.pool.death_check = Deferred()
    record_crashes(site, DEATHS_UNTIL_QUARANTINE - 1)
    site.runs[0].fail(FailureReason.CLOSED)
    assert len(site.runs) == 1
    site.pool.death_check.callback(FailureReason.REFUSED)
    assert len(site.runs) == 1
    assert site.answer()[0] == 502


def test_a_request_is_sent_again_if_the_check_for_a_crash_takes_long():
    site = PlayedSite(kind=RequestKind.IDEMPOTENT)
    site.pool.death_check = Deferred()
    site.runs[0].fail(FailureReason.CLOSED)
    site.clock.advance(DEATH_CHECK_SECONDS)
    assert len(site.runs) == 2


@pytest.mark.parametrize("sends", [0, 1])
def test_a_request_that_is_quarantined_while_a_connection_opens_is_not_sent(sends):
    # Guards against a crash that becomes known between the choice and the sending.
    site = PlayedSite(kind=RequestKind.IDEMPOTENT)
    site.pool.held = {f"e{number}" for number in range(sends, 4)}
    if sends:
        site.runs[0].fail(FailureReason.CLOSED)
    else:
        site.connect()
    (opening,) = site.pool.opening.values()
    n_runs = len(site.runs)
    record_crashes(site, DEATHS_UNTIL_QUARANTINE)
    opening.callback(None)
    assert len(site.runs) == n_runs
    assert site.answer()[0] == (502 if sends else 503)


def test_an_error_that_arrives_while_a_crash_is_checked_reaches_the_caller():
    site = PlayedSite(kind=RequestKind.IDEMPOTENT, shared_parts=("p",))
    advance(site, 1.2)
    silent, second = site.runs
    site.pool.death_check = Deferred()
    silent.fail(FailureReason.CLOSED)
    second.send_head(500)
    second.end()
    site.clock.advance(DEATH_CHECK_SECONDS)
    assert site.answer()[0] == 500


def test_a_caller_that_leaves_while_a_crash_is_checked_ends_the_other_attempt():
    site = start_second_attempt(shared_parts=("p",))
    site.pool.death_check = Deferred()
    site.runs[0].fail(FailureReason.CLOSED)
    site.leave()
    assert site.runs[1].was_aborted
    assert [line["event"] for line in site.events(*LAST_RECORDS)] == ["caller_left"]


@pytest.mark.parametrize("n_events", [None, 0, 1])
def test_a_request_that_is_cancelled_with_its_caller_there_is_not_left_unanswered(
    n_events,
):
    site = PlayedSite(kind=RequestKind.STREAMING)
    if n_events is not None:
        site.runs[0].send_head()
    if n_events:
        site.runs[0].send(EVENT_1)
    (task,) = site.forwarder._tasks
    task.cancel()
    (record,) = site.events(*LAST_RECORDS)
    assert (record["event"], record["code"]) == ("request_failed", "internal")
    assert len(site.events("internal_fault")) == 1
    assert site.runs[0].was_aborted
    if n_events:
        assert site.transport.disconnecting
        return
    status, _, is_whole = site.answer()
    assert (status, is_whole) == (500, True)


def test_a_caller_that_leaves_while_a_second_connection_opens_gets_no_second_run():
    site = PlayedSite()
    site.pool.held.add("e1")
    advance(site, 1.2)
    assert set(site.pool.opening) == {"e1"}
    site.leave()
    assert [run.endpoint for run in site.runs] == ["e0"]
    assert site.runs[0].was_aborted
    assert not site.tracker.endpoints
    assert not site.events("internal_fault")


def test_a_silent_endpoint_that_goes_on_ends_the_opening_of_a_second_connection():
    site = PlayedSite()
    site.pool.held.add("e1")
    advance(site, 1.2)
    site.runs[0].send_head()
    site.runs[0].send(EVENT_1)
    site.runs[0].end()
    assert site.answer() == (200, EVENT_1, True)
    assert len(site.runs) == 1
    assert not site.tracker.endpoints
    assert not site.events("internal_fault")


def test_a_silence_counts_from_when_a_slow_caller_reads_again():
    site = PlayedSite()
    site.runs[0].send_head()
    site.runs[0].send(EVENT_1)
    site.channel.pauseProducing()
    advance(site, 2.0)
    site.channel.resumeProducing()
    advance(site, GAP_LIMIT_SECONDS - 0.1)
    assert not site.events("attempt_silent")


def start_stream_beside_a_long_prompt(**options):
    """Return a site whose first endpoint has sent an event and prefills a long prompt.

    The prompt's prefill is expected to take 1.5 s.
    """
    site = PlayedSite(engine=FIGURES, **options)
    site.runs[0].send_head()
    site.runs[0].send(EVENT_1)
    prompt = PlacedRequest(lead="e1", helpers=("e0",), part_ms=LONG_PART_MS)
    site.tracker.place(prompt, now=site.clock.seconds())
    return site


def test_no_second_attempt_starts_while_an_engine_prefills_a_long_prompt():
    site = start_stream_beside_a_long_prompt()
    advance(site, 1.6)
    assert len(site.runs) == 1
    assert not site.events("attempt_silent")
    site.runs[0].send(EVENT_2)
    site.runs[0].end()
    assert site.answer() == (200, EVENT_1 + EVENT_2, True)


def test_no_second_attempt_starts_for_a_prompt_that_waits_behind_a_long_one():
    site = PlayedSite(engine=FIGURES)
    prompt = PlacedRequest(lead="e1", helpers=("e0",), part_ms=LONG_PART_MS)
    site.tracker.place(prompt, now=site.clock.seconds())
    advance(site, 1.6)
    assert len(site.runs) == 1
    assert not site.events("attempt_silent")


def test_a_second_attempt_starts_when_a_prefill_takes_longer_than_it_can():
    site = start_stream_beside_a_long_prompt()
    advance(site, 2.0)
    assert [run.endpoint for run in site.runs] == ["e0", "e1"]
    (silent,) = site.events("attempt_silent")
    assert silent["busy_ms"] >= LONG_PART_MS


def test_prompts_without_end_leave_half_of_the_time_for_a_second_attempt():
    site = start_stream_beside_a_long_prompt(timeout=6.0)
    for _ in range(20):
        prompt = PlacedRequest(lead="e0", part_ms=LONG_PART_MS)
        site.tracker.place(prompt, now=site.clock.seconds())
    advance(site, 3.1)
    assert [run.endpoint for run in site.runs] == ["e0", "e1"]


def test_a_second_endpoint_is_held_back_by_a_caller_that_reads_slowly():
    site = start_second_attempt()
    second = site.runs[1]
    second.send_head()
    second.send(EVENT_2)
    site.channel.pauseProducing()
    assert second.transport.producerState == "paused"
    site.channel.resumeProducing()
    assert second.transport.producerState == "producing"


def test_a_comment_of_a_second_endpoint_does_not_end_the_first():
    site = start_second_attempt()
    site.runs[1].send_head()
    site.runs[1].send(b": wait\n\n")
    site.runs[0].send(EVENT_2)
    site.runs[0].end()
    assert site.answer() == (200, EVENT_1 + EVENT_2, True)


def start_behind_streams(**options):
    """Return a site whose prompt waits at its endpoint: streams take all the slots."""
    site = PlayedSite(engine=FIGURES, **options)
    streams = [PlacedRequest(lead="e0") for _ in range(FIGURES.slots)]
    for stream in streams:
        site.tracker.place(stream, now=site.clock.seconds())
        site.tracker.mark_prefilled(stream, now=site.clock.seconds())
    return site, streams


def test_no_second_attempt_starts_for_a_prompt_that_waits_for_a_slot():
    site, streams = start_behind_streams()
    advance(site, 1.5)
    site.tracker.remove(streams[0], now=site.clock.seconds())
    advance(site, 0.3)
    assert len(site.runs) == 1
    assert not site.events("attempt_silent")
    site.runs[0].send_head()
    site.runs[0].send(EVENT_1)
    site.runs[0].end()
    assert site.answer() == (200, EVENT_1, True)


def test_a_wait_for_a_slot_counts_that_a_peer_reported_late_and_that_is_over():
    """The prompt has just begun when its silence is looked at."""
    site = PlayedSite(engine=FIGURES)
    advance(site, 0.2)
    streams = [PlacedRequest(lead="e0") for _ in range(FIGURES.slots)]
    for stream in streams:
        site.tracker.place(stream, now=site.clock.seconds())
        site.tracker.mark_prefilled(stream, now=site.clock.seconds())
    advance(site, 0.8)
    site.tracker.remove(streams[0], now=site.clock.seconds())
    advance(site, 0.8)
    assert not site.events("attempt_silent")


def test_a_second_attempt_starts_when_no_slot_becomes_free_in_time():
    site, _ = start_behind_streams()
    advance(site, 3.1)
    assert [run.endpoint for run in site.runs] == ["e0", "e1"]


def test_a_full_engine_does_not_excuse_the_silence_of_a_stream_that_runs():
    site, _ = start_behind_streams()
    site.runs[0].send_head()
    site.runs[0].send(EVENT_1)
    advance(site, GAP_LIMIT_SECONDS + 0.1)
    assert [run.endpoint for run in site.runs] == ["e0", "e1"]


def test_two_silent_endpoints_are_both_awaited_until_one_goes_on():
    site = start_second_attempt()
    advance(site, 2.5)
    assert not any(run.is_over for run in site.runs)
    site.runs[0].send(EVENT_2)
    site.runs[0].end()
    assert site.answer() == (200, EVENT_1 + EVENT_2, True)
    assert site.runs[1].was_aborted


@pytest.mark.parametrize("n_failed", [1, 5])
def test_a_failure_without_another_endpoint_spends_no_retry(n_failed):
    site = PlayedSite(kind=RequestKind.IDEMPOTENT, endpoints=1, retry_slack=3.0)
    for number in range(n_failed):
        if number:
            site.send_request()
        site.runs[-1].fail(FailureReason.CLOSED)
    assert len(site.runs) == n_failed
    assert site.n_retries_spent() == 0


def test_connections_that_do_not_open_spend_no_retry():
    site = PlayedSite(kind=RequestKind.IDEMPOTENT, retry_slack=3.0)
    site.pool.unreachable.update(("e1", "e2", "e3"))
    advance(site, 2.0)
    assert len(site.runs) == 1
    assert site.n_retries_spent() == 0


@pytest.mark.parametrize("failure", [FailureReason.NOT_CONNECTED, None])
def test_hosts_that_are_cut_off_together_quarantine_no_request(failure):
    """One request waits at three hosts whose connections end by keep-alive."""
    site = PlayedSite(kind=RequestKind.IDEMPOTENT, max_endpoints=3)
    advance(site, 2.4)
    assert len(site.runs) == 3
    site.pool.death_check = succeed(failure)
    for run in site.runs:
        run.fail(FailureReason.CLOSED)
    assert not site.crashes.is_quarantined("f")


def test_endless_comments_of_a_second_endpoint_are_not_kept():
    site = start_second_attempt()
    second = site.runs[1]
    second.send_head()
    tracemalloc.start()
    for _ in range(2 * MAX_EVENT_BYTES // len(COMMENTS)):
        if not second.is_over:
            second.send(COMMENTS)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    site.leave()
    assert size < MAX_EVENT_BYTES


def test_an_error_of_a_second_endpoint_reaches_the_caller_if_the_first_breaks():
    site = PlayedSite(kind=RequestKind.IDEMPOTENT)
    advance(site, 1.2)
    first, second = site.runs
    second.send_head(500)
    second.end()
    assert site.answer()[0] == 0
    first.fail(FailureReason.CLOSED)
    assert site.answer()[0] == 500


def test_a_silent_request_without_a_retry_left_keeps_its_deadline_in_a_stop():
    site = PlayedSite(kind=RequestKind.IDEMPOTENT, retry_slack=0.0, timeout=20.0)
    site.forwarder.drain(PlannedStop(signalled_at=0.0, grace=6.0))
    advance(site, 1.5)
    (silent,) = site.events("attempt_silent")
    assert silent["decision"] == "no_budget"
    assert silent["left_ms"] > 18_000


@pytest.mark.parametrize("kind", list(RequestKind), ids=str)
def test_a_request_that_was_sent_is_told_at_the_end_of_a_stop_that_it_may_have_run(
    kind,
):
    site = PlayedSite(kind=kind, timeout=20.0)
    site.forwarder.drain(PlannedStop(signalled_at=0.0, grace=6.0))
    site.forwarder.end_all()
    status, body, is_complete = site.answer()
    assert (status, is_complete) == (502, True)
    assert b'"outcome":"unknown"' in body
    (record,) = site.events(*LAST_RECORDS)
    assert record["delivered"] == "whole"


@pytest.mark.parametrize("goes_on", [True, False])
def test_an_unexpected_exception_of_one_attempt_ends_no_other(goes_on):
    site = start_second_attempt()
    silent, second = site.runs
    second.response.fail(ValueError("unexpected"))
    site.clock.advance(0.1)
    assert site.events("internal_fault")
    if goes_on:
        silent.send(EVENT_2)
        silent.end()
        assert site.answer() == (200, EVENT_1 + EVENT_2, True)
    else:
        silent.fail(FailureReason.CLOSED)
        site.clock.advance(DEATH_CHECK_SECONDS)
    (record,) = site.events(*LAST_RECORDS)
    assert record["delivered"] == ("whole" if goes_on else "cut")


def test_a_second_attempt_that_cannot_be_sent_does_not_end_the_first():
    site = start_second_attempt()
    silent, second = site.runs
    second.response.fail(
        ServingError(code=ErrorCode.REQUEST_MALFORMED, outcome=RunOutcome.NOT_RUN)
    )
    site.clock.advance(0.1)
    silent.send(EVENT_2)
    silent.end()
    assert site.answer() == (200, EVENT_1 + EVENT_2, True)


def fail_always(*arguments, **fields):
    raise ValueError("unexpected")


@pytest.mark.parametrize("broken", ["write", "request_failed", "attempt_failed"])
def test_a_record_that_cannot_be_written_takes_no_answer_from_a_caller(
    broken, monkeypatch
):
    site = PlayedSite(kind=RequestKind.IDEMPOTENT, max_endpoints=1)
    monkeypatch.setattr(site.forwarder._log, broken, fail_always)
    site.runs[0].response.fail(
        ValueError("unexpected")
        if broken == "write"
        else AttemptError(reason=FailureReason.CLOSED, was_sent=True)
    )
    status, _, is_whole = site.answer()
    assert (status, is_whole) in [(500, True), (502, True)]
    assert site.forwarder.in_progress == 0


def test_a_connection_ends_if_not_even_the_error_can_be_sent(monkeypatch):
    site = PlayedSite(kind=RequestKind.IDEMPOTENT, max_endpoints=1)
    monkeypatch.setattr(forwarding, "send_error", fail_always)
    site.runs[0].fail(FailureReason.CLOSED)
    assert site.transport.disconnected
    assert site.forwarder.in_progress == 0
    assert site.events("internal_fault")


def test_a_sound_stream_at_nine_tenths_of_its_limit_lives_for_its_whole_time():
    gap = 0.9 * GAP_LIMIT_SECONDS
    n_events = 30
    site = PlayedSite(timeout=(n_events + 1) * gap)
    (run,) = site.runs
    run.send_head()
    sent = b""
    for number in range(1, n_events + 1):
        advance(site, gap)
        event = b"id: %d\ndata: piece %d\n\n" % (number, number)
        run.send(event)
        sent += event
    run.end()
    advance(site, 0.1)
    assert site.answer() == (200, sent, True)
    assert len(site.runs) == 1
    assert not site.events("attempt_silent")


@pytest.mark.parametrize("piece", [b"d", b": wait\n\n"], ids=["byte", "comment"])
def test_pieces_that_complete_no_event_do_not_make_a_stream_sound(piece):
    site = PlayedSite()
    (run,) = site.runs
    run.send_head()
    run.send(EVENT_1)
    for _ in range(round(GAP_LIMIT_SECONDS / 0.2) + 1):
        advance(site, 0.2)
        run.send(piece)
    assert len(site.runs) == 2
    assert site.events("attempt_silent")


def break_after_own_event(site):
    """Let the second attempt of a started stream send an event and break."""
    _, second = site.runs
    second.send_head()
    second.send(EVENT_2)
    assert site.runs[0].was_aborted
    second.end(Close.RESET)
    advance(site, 0.2)


@pytest.mark.parametrize("endpoints", [2, 4])
@pytest.mark.parametrize("max_endpoints", [2, 3])
def test_a_stream_goes_on_though_its_second_endpoint_breaks_after_an_event(
    max_endpoints, endpoints
):
    site = start_second_attempt(max_endpoints=max_endpoints, endpoints=endpoints)
    break_after_own_event(site)
    third = site.runs[-1]
    assert (len(site.runs), third.last_event_id) == (3, "2")
    assert len({run.endpoint for run in site.runs}) <= max_endpoints
    assert site.n_retries_spent() == 2
    third.send_head()
    third.send(EVENT_3)
    third.end()
    assert site.answer() == (200, EVENT_1 + EVENT_2 + EVENT_3, True)


def test_a_stream_goes_on_at_its_second_endpoint_if_the_first_goes_on_and_breaks():
    site = start_second_attempt()
    first, second = site.runs
    first.send(EVENT_2)
    assert second.was_aborted
    first.end(Close.RESET)
    advance(site, 0.2)
    third = site.runs[-1]
    assert (third.endpoint, third.last_event_id) == (second.endpoint, "2")
    third.send_head()
    third.send(EVENT_3)
    third.end()
    assert site.answer() == (200, EVENT_1 + EVENT_2 + EVENT_3, True)


def test_a_stream_returns_once_to_an_endpoint_that_another_one_replaced():
    site = start_second_attempt()
    break_after_own_event(site)
    site.runs[-1].fail(FailureReason.CLOSED)
    advance(site, 0.2)
    assert len(site.runs) == 3
    assert [line["event"] for line in site.events(*LAST_RECORDS)] == ["request_failed"]


def test_a_return_to_a_replaced_endpoint_costs_a_retry():
    site = start_second_attempt(retry_slack=2.0)
    break_after_own_event(site)
    assert len(site.runs) == 2
    assert site.answer() == (200, EVENT_1 + EVENT_2, False)


def test_an_endpoint_that_was_not_reached_is_none_to_return_to():
    site = PlayedSite(max_endpoints=1)
    site.runs[0].send_head()
    site.runs[0].send(EVENT_1)
    site.runs[0].end(Close.RESET)
    advance(site, 0.2)
    assert len(site.runs) == 1
    assert site.answer() == (200, EVENT_1, False)


def test_a_silent_second_endpoint_brings_no_return_to_the_first():
    site = start_second_attempt()
    _, second = site.runs
    second.send_head()
    second.send(EVENT_2)
    advance(site, 2 * GAP_LIMIT_SECONDS)
    assert len(site.runs) == 2
    second.send(EVENT_3)
    second.end()
    assert site.answer() == (200, EVENT_1 + EVENT_2 + EVENT_3, True)


def test_a_stream_without_ids_has_nothing_to_return_with():
    site = PlayedSite()
    advance(site, 1.2)
    _, second = site.runs
    second.send_head()
    second.send(b"data: a\n\n")
    second.end(Close.RESET)
    advance(site, 0.2)
    assert len(site.runs) == 2
    assert site.answer() == (200, b"data: a\n\n", False)


def has_failed(site, endpoint="e0"):
    now = site.clock.seconds()
    avoided = site.health.is_avoided(endpoint, now=now)
    return avoided or site.health.failure_share(endpoint) > 0.0


@pytest.mark.parametrize("kind", list(RequestKind), ids=str)
@pytest.mark.parametrize("has_begun", [False, True])
def test_an_endpoint_that_was_never_silent_has_not_failed_at_a_short_deadline(
    kind, has_begun
):
    site = PlayedSite(kind=kind, timeout=0.8)
    if has_begun:
        site.runs[0].send_head()
    advance(site, 1.0)
    (record,) = site.events("attempt_failed")
    assert record["reason"] == "deadline"
    assert not has_failed(site)
    assert site.runs[0].was_aborted is (kind is not RequestKind.NON_IDEMPOTENT)


def test_an_engine_that_prefills_has_not_failed_at_a_short_deadline():
    site = PlayedSite(engine=FIGURES, timeout=1.3, endpoints=1)
    prompt = PlacedRequest(lead="e1", helpers=("e0",), part_ms=LONG_PART_MS)
    site.tracker.place(prompt, now=site.clock.seconds())
    advance(site, 1.5)
    (record,) = site.events("attempt_failed")
    assert record["reason"] == "deadline"
    assert site.health.failure_share("e0") == 0.0


@pytest.mark.parametrize("kind", list(RequestKind), ids=str)
@pytest.mark.parametrize("has_begun", [False, True])
def test_an_endpoint_that_is_silent_until_a_long_deadline_has_failed(kind, has_begun):
    site = PlayedSite(kind=kind, timeout=6.0, endpoints=1)
    if has_begun:
        site.runs[0].send_head()
    advance(site, 6.3)
    (record,) = site.events("attempt_failed")
    assert record["reason"] == "silent"
    assert has_failed(site)


def test_an_endpoint_has_not_failed_at_a_deadline_if_its_caller_does_not_read():
    site = PlayedSite(timeout=3.0)
    site.runs[0].send_head()
    site.runs[0].send(EVENT_1)
    site.channel.pauseProducing()
    advance(site, 3.3)
    assert site.events(*LAST_RECORDS)
    assert not has_failed(site)


@pytest.mark.parametrize("shared_parts", [(), ("p",)], ids=["apart", "awaited"])
def test_an_unknown_error_of_a_check_for_a_crash_is_logged_and_ends_nothing(
    shared_parts, capfd
):
    # What earlier tests have left may write errors when it is collected.
    gc.collect()
    capfd.readouterr()
    site = PlayedSite(shared_parts=shared_parts)
    site.pool.death_check = Deferred()
    site.runs[0].send_head()
    site.runs[0].send(EVENT_1)
    site.runs[0].end(Close.RESET)
    site.pool.death_check.errback(ValueError("x" * 100_000))
    site.clock.advance(DEATH_CHECK_SECONDS)
    (line,) = site.events("internal_fault")
    assert line["request"] == "r1"
    assert len(line["detail"]) < 1_000
    second = site.runs[1]
    second.send_head()
    second.send(EVENT_2)
    second.end()
    assert site.answer() == (200, EVENT_1 + EVENT_2, True)
    gc.collect()
    assert "Unhandled" not in capfd.readouterr().err


def test_a_caller_that_leaves_beside_a_part_of_a_prompt_is_recorded_with_the_cause():
    site = start_stream_beside_a_long_prompt()
    advance(site, 2.0)
    site.leave()
    (left,) = site.events("caller_left")
    assert left["has_event"]
    assert left["silent_ms"] == left["silence_ms"] == pytest.approx(2_000, abs=60)
    assert left["patience_ms"] == 2_000
    assert left["busy_ms"] == LONG_PART_MS
    assert left["silence_cause"] == "helper_part"


def test_a_caller_that_leaves_a_full_engine_is_recorded_as_waiting_for_a_slot():
    site, _ = start_behind_streams(endpoints=1)
    advance(site, 2.0)
    site.leave()
    (left,) = site.events("caller_left")
    assert not left["has_event"]
    assert left["silence_cause"] == "slot_wait"


def test_the_longest_silence_of_a_finished_stream_is_recorded_with_its_cause():
    site = start_stream_beside_a_long_prompt()
    advance(site, 1.5)
    site.runs[0].send(EVENT_2)
    site.runs[0].end()
    (finished,) = site.events("request_finished")
    assert finished["silence_ms"] == pytest.approx(1_500, abs=60)
    assert finished["silence_cause"] == "helper_part"


def test_a_stream_in_time_is_recorded_without_a_cause():
    site = PlayedSite(engine=FIGURES)
    site.runs[0].send_head()
    site.runs[0].send(EVENT_1)
    site.runs[0].end()
    (finished,) = site.events("request_finished")
    assert finished["silence_cause"] is None


def test_a_prompt_that_lets_callers_leave_is_a_logged_decision():
    site = PlayedSite(engine=FIGURES, stopped=("e0",), leaving_callers=2)
    (stopped,) = site.events("streams_stopped")
    assert stopped["endpoints"] == ["e0"]
    assert stopped["leaving_callers"] == 2


STOPPING_PART_MS = 2_600.0
"""The prefill of a part for which a stream stops for longer than its caller waits."""
PATIENCE_SECONDS = 2.0


def start_behind_a_part(**options):
    """Return a site whose prompt waits for a part that its caller does not outlast."""
    site = PlayedSite(engine=FIGURES, **options)
    place_part(site, "e0")
    return site


def place_part(site, endpoint):
    part = PlacedRequest(lead="e9", helpers=(endpoint,), part_ms=STOPPING_PART_MS)
    site.tracker.place(part, now=site.clock.seconds())


def fill(site, endpoint):
    for _ in range(FIGURES.slots):
        stream = PlacedRequest(lead=endpoint)
        site.tracker.place(stream, now=site.clock.seconds())
        site.tracker.mark_prefilled(stream, now=site.clock.seconds())


def test_a_prompt_behind_a_part_is_answered_elsewhere_before_its_caller_leaves():
    site = start_behind_a_part()
    advance(site, 1.5)
    assert len(site.runs) == 1
    advance(site, 0.4)
    assert [run.endpoint for run in site.runs] == ["e0", "e1"]
    site.runs[1].send_head()
    site.runs[1].send(EVENT_1)
    site.runs[1].end()
    assert site.answer() == (200, EVENT_1, True)
    assert site.clock.seconds() < PATIENCE_SECONDS


def test_an_engine_that_is_only_busy_is_not_avoided_for_an_impatient_caller():
    site = start_behind_a_part()
    advance(site, 1.9)
    site.runs[1].send_head()
    site.runs[1].send(EVENT_1)
    site.runs[1].end()
    assert not site.health.is_avoided("e0", now=site.clock.seconds())
    (failed,) = site.events("attempt_failed")
    assert failed["reason"] == "superseded"


def test_a_stream_beside_a_part_goes_on_elsewhere_before_its_caller_leaves():
    site = PlayedSite(engine=FIGURES)
    site.runs[0].send_head()
    site.runs[0].send(EVENT_1)
    place_part(site, "e0")
    advance(site, 1.9)
    assert [run.endpoint for run in site.runs] == ["e0", "e1"]
    site.runs[1].send_head()
    site.runs[1].send(EVENT_2)
    site.runs[1].end()
    assert site.answer() == (200, EVENT_1 + EVENT_2, True)


def test_a_prompt_that_waits_for_a_slot_goes_elsewhere_before_its_caller_leaves():
    site, _ = start_behind_streams()
    fill(site, "e0")
    advance(site, 1.9)
    assert [run.endpoint for run in site.runs] == ["e0", "e1"]


def test_no_second_attempt_starts_where_the_caller_would_leave_as_well():
    site = start_behind_a_part()
    site.predict(600.0)
    advance(site, 1.9)
    assert len(site.runs) == 1
    assert not site.events("attempt_silent")


def test_no_second_attempt_starts_in_a_burst_in_which_all_engines_are_full():
    site, _ = start_behind_streams()
    for endpoint in ("e0", "e1", "e2", "e3"):
        fill(site, endpoint)
    advance(site, 2.5)
    assert len(site.runs) == 1
    assert not site.events("attempt_silent")


def test_no_second_attempt_of_an_impatient_caller_is_beyond_the_retry_budget():
    site = start_behind_a_part(retry_slack=0.0)
    advance(site, 1.9)
    assert len(site.runs) == 1


def test_a_busy_engine_counts_as_silent_when_its_known_work_should_be_done():
    site = start_behind_a_part(endpoints=1)
    advance(site, 3.0)
    assert not site.events("attempt_silent")
    advance(site, 0.5)
    assert site.health.is_avoided("e0", now=site.clock.seconds())
    assert len(site.events("attempt_silent")) == 1


def test_comments_do_not_put_off_a_second_attempt_for_an_impatient_caller():
    site = PlayedSite(engine=FIGURES)
    site.runs[0].send_head()
    site.runs[0].send(EVENT_1)
    place_part(site, "e0")
    for _ in range(3):
        advance(site, 0.5)
        site.runs[0].send(b": wait\n\n")
    advance(site, 0.4)
    assert [run.endpoint for run in site.runs] == ["e0", "e1"]


def test_a_crash_of_an_engine_that_was_only_busy_tells_of_its_prompt():
    site = start_behind_a_part()
    advance(site, 1.9)
    site.pool.death_check = succeed(FailureReason.NOT_CONNECTED)
    site.runs[0].fail(FailureReason.CLOSED)
    assert len(site.events("prompt_suspected")) == 1
