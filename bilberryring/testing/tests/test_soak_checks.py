"""The checks of a soak, over records that are written by hand."""

from dataclasses import replace

import pytest

from bilberryring.standins.gateway_site import API_KEY, PLAIN_SERVICE, CallerAnswer
from bilberryring.testing.soak import report_lines
from bilberryring.testing.soak_answers import answer_body, answer_event, whole_stream
from bilberryring.testing.soak_checks import CHECKS, run_checks
from bilberryring.testing.soak_faults import SECOND_SERVICE, ChangeKind
from bilberryring.testing.soak_records import (
    CHARGE,
    CHAT,
    EXIT,
    LOOKUP,
    SECOND_KEY,
    CallRecord,
    FaultRecord,
    LogRecord,
    OutRecord,
    PublishedRecord,
    RunRecord,
    SoakConfiguration,
    SoakRecords,
)

STAMP = {"bilberryring-response-stamp": "s-1"}
NOTHING = CallerAnswer(status=0, headers={}, body=b"", is_cut=True)
FIRST = SoakConfiguration()
SECOND = FIRST.changed(ChangeKind.MOVE_ROUTE)


def success(body, **changes):
    return CallerAnswer(status=200, headers=STAMP, body=body, **changes)


def failure(status):
    return CallerAnswer(status=status, headers={}, body=b"")


def call(request="a", **changes):
    record = CallRecord(
        request=request,
        path=LOOKUP,
        key=API_KEY,
        gateway=1,
        incarnation=1,
        deadline=4.0,
        sent_at=100.0,
        ended_at=100.5,
        answer=success(answer_body(request)),
    )
    return replace(record, **changes)


def run(request="a", **changes):
    record = RunRecord(
        request=request,
        endpoint="orders-1",
        instance="orders-1",
        service=PLAIN_SERVICE,
        domain="north",
        at=100.1,
        ended_at=100.4,
    )
    return replace(record, **changes)


def publish(configuration, at):
    return PublishedRecord(configuration=configuration, sent_at=at, acknowledged_at=at)


def make_records(calls, runs, **changes):
    published = [publish(FIRST, 0.0)]
    return SoakRecords(
        **{"calls": calls, "runs": runs, "published": published} | changes
    )


def make_fault(target, began_at=99.0, **changes):
    fault = FaultRecord(
        number=1, kind="x", targets=(target,), began_at=began_at, ended_at=began_at + 1
    )
    return replace(fault, **changes)


def make_log(*names):
    lines = ['{"event": "attempt_started", "request": "a"}']
    lines += [f'{{"event": "{name}", "request": "a"}}' for name in names]
    return LogRecord(gateway=1, incarnation=1, has_exited=True, lines=tuple(lines))


def make_planned(calls, runs, last_record="", *, delivered="whole", **changes):
    """Return records of planned work; the gateway's last record is that of `a`."""
    logs = []
    if last_record:
        line = f'{{"event": "{last_record}", "request": "a", '
        line += f'"delivered": "{delivered}"}}'
        logs = [LogRecord(gateway=1, incarnation=1, has_exited=True, lines=(line,))]
    return make_records(calls, runs, logs=logs, is_planned=True, **changes)


def make_retries(count):
    """Return records of requests of which each has reached two endpoints."""
    names = [str(number) for number in range(count)]
    return make_records(
        [call(name) for name in names],
        [run(name, at=at) for name in names for at in (100.1, 100.2)],
    )


CUT_STREAM = success(answer_event("a", 1), is_cut=True)
VIOLATIONS = {
    "own answer": make_records([call(answer=success(answer_body("b")))], [run()]),
    "at most once": make_records([call(path=CHARGE)], [run(), run(at=100.2)]),
    "not run": make_records([call(answer=failure(503))], [run()]),
    "answered": make_records([call(answer=NOTHING)], [run()]),
    "in time": make_records([call(ended_at=104.6)], [run()]),
    "lost": make_records(
        [call(path=CHAT, answer=CUT_STREAM)], [run(service="model", endpoint="model-1")]
    ),
    "planned work": make_planned(
        [call(answer=failure(502))],
        [run()],
        faults=[make_fault("orders-1", 98.0)],
    ),
    "last record says otherwise": make_planned([call()], [run()], "caller_left"),
    "no work to those out": make_records(
        [call()],
        [run()],
        departures=[OutRecord(name="orders-1", acknowledged_at=98.0)],
        faults=[make_fault("orders-1", 98.0, is_planned=True)],
    ),
    "configuration in force": make_records(
        [call()], [run()], published=[publish(FIRST, 0.0), publish(SECOND, 97.9)]
    ),
    "configuration forward": make_records(
        [call(), call("b", sent_at=100.6, ended_at=101.0)],
        [run(service=SECOND_SERVICE), run("b", at=100.7)],
        published=[publish(FIRST, 0.0), publish(SECOND, 99.0)],
    ),
    "retry budget": make_retries(7),
    "last records": make_records([], [], logs=[make_log()]),
    "processes stay": make_records([], [], own_ends=[(1, 100.0)]),
}
EXCUSED = {
    "sound": make_records([call()], [run()]),
    "left early": make_records([call(answer=CUT_STREAM, has_left=True)], [run()]),
    "closed while idle": make_records([call(answer=NOTHING, ended_at=100.1)], []),
    "gateway killed": make_records(
        [call(answer=NOTHING)], [run()], faults=[make_fault("gateway-1")]
    ),
    "endpoint broke off": make_records(
        [call(answer=failure(502))], [run(is_failed=True)]
    ),
    "stream that its endpoint broke off": make_records(
        [call(path=CHAT, answer=NOTHING)], [run(is_failed=True, service="model")]
    ),
    "endpoint crashed": make_records(
        [call(answer=failure(502))], [run()], faults=[make_fault("orders-1")]
    ),
    "at the time limit": make_records(
        [call(answer=failure(504), ended_at=104.1)], [run(ended_at=104.2)]
    ),
    "at work late in a planned stop": make_records(
        [call(answer=failure(502), ended_at=103.0)],
        [run(ended_at=103.1)],
        faults=[make_fault("gateway-1", 98.0, ended_at=104.0, is_planned=True)],
    ),
    "store disrupted": make_records(
        [call()],
        [run()],
        published=[publish(FIRST, 0.0), publish(SECOND, 97.9)],
        faults=[make_fault("store", 97.0)],
    ),
    "left while the store was disrupted": make_records(
        [call()],
        [run()],
        departures=[OutRecord(name="orders-1", acknowledged_at=96.0)],
        faults=[make_fault("store", 95.0)],
    ),
    "retries within the budget": make_retries(6),
    "one last record": make_records([], [], logs=[make_log("request_finished")]),
    "its endpoint exited after it had left": make_planned(
        [call(path=CHAT, answer=CUT_STREAM)],
        [run(service="model")],
        faults=[make_fault("orders-1", 100.4, kind=EXIT)],
    ),
    "kept connection closed before the request": make_planned(
        [call(answer=NOTHING, ended_at=100.1, is_kept=True)], []
    ),
    "closed while a large request was sent": make_planned(
        [call(answer=NOTHING, ended_at=100.9, written_at=100.9)], []
    ),
    "given up after a silence": make_planned(
        [call(path=CHAT, answer=CUT_STREAM, has_left=True, has_given_up=True)],
        [run(service="model")],
    ),
    "at the timeout beside planned work": make_planned(
        [call(answer=failure(504), ended_at=104.0)], [run(ended_at=104.2)]
    ),
    "the last record agrees": make_planned([call()], [run()], "request_finished"),
    "key not valid yet": make_records(
        [call(key=SECOND_KEY, answer=failure(401))],
        [],
        published=[
            publish(FIRST.changed(ChangeKind.KEY), 0.0),
            publish(FIRST.changed(ChangeKind.KEY).changed(ChangeKind.KEY), 98.5),
        ],
    ),
}


@pytest.mark.parametrize("name", VIOLATIONS)
def test_a_violation_is_found_by_its_check_alone(name):
    assert {finding.check for finding in run_checks(VIOLATIONS[name])} == {name}


def test_each_check_has_a_violation():
    assert VIOLATIONS.keys() == CHECKS.keys()


@pytest.mark.parametrize("name", EXCUSED)
def test_what_the_rules_allow_is_no_finding(name):
    assert run_checks(EXCUSED[name]) == []


@pytest.mark.parametrize(
    "target, began_at, is_planned",
    [("gateway-1", 99.0, True), ("gateway-1", 95.0, False), ("orders-2", 99.0, False)],
)
def test_planned_work_and_faults_elsewhere_excuse_no_lost_answer(
    target, began_at, is_planned
):
    fault = make_fault(target, began_at, is_planned=is_planned)
    records = make_records([call(answer=failure(502))], [run()], faults=[fault])
    assert [finding.check for finding in run_checks(records)] == ["lost"]


def test_a_refusal_of_a_second_endpoint_excuses_no_lost_answer():
    runs = [run(), run(endpoint="orders-2", at=100.2, has_run=False)]
    records = make_records([call(answer=failure(502))], runs)
    assert [finding.check for finding in run_checks(records)] == ["lost"]


def test_a_lookup_is_answered_although_its_endpoint_broke_off():
    records = make_records([call(answer=NOTHING)], [run(is_failed=True)])
    assert [finding.check for finding in run_checks(records)] == ["answered"]


@pytest.mark.parametrize("exited_at", [99.0, 100.6])
def test_an_exit_at_another_time_excuses_nothing_beside_planned_work(exited_at):
    fault = make_fault("orders-1", exited_at, kind=EXIT, ended_at=exited_at)
    answer = failure(502)
    records = make_planned([call(answer=answer)], [run()], faults=[fault])
    assert "planned work" in {finding.check for finding in run_checks(records)}


@pytest.mark.parametrize("answer", [CUT_STREAM, NOTHING])
def test_a_last_record_that_tells_more_than_the_caller_saw_is_found(answer):
    calls = [call(path=CHAT, answer=answer)]
    records = make_planned(calls, [run(service="model")], "request_finished")
    checks = {finding.check for finding in run_checks(records)}
    assert checks >= {"planned work", "last record says otherwise"}


@pytest.mark.parametrize(
    ("answer", "is_found"),
    [
        (success(whole_stream("a")), True),
        (CUT_STREAM, False),
        (NOTHING, True),
    ],
    ids=["whole", "cut", "nothing"],
)
def test_an_answer_without_its_end_mark_that_looks_whole_is_found(answer, is_found):
    calls = [call(path=CHAT, answer=answer)]
    records = make_planned(
        calls, [run(service="model")], "request_failed", delivered="unmarked"
    )
    checks = {finding.check for finding in run_checks(records)}
    assert ("last record says otherwise" in checks) == is_found


def test_a_success_without_a_last_record_is_found():
    records = make_planned([call("b"), call()], [run()], "request_finished")
    [finding] = run_checks(records)
    assert (finding.check, finding.request) == ("last record says otherwise", "b")


def test_the_report_tells_closed_connections_from_requests_that_were_read():
    calls = [
        call("a", answer=NOTHING, ended_at=100.1, is_kept=True),
        call("b", answer=NOTHING, ended_at=100.1),
        call("c", answer=NOTHING, is_kept=True),
        call("d", answer=CUT_STREAM, has_left=True, has_given_up=True),
        call("e", answer=NOTHING, has_left=True, has_given_up=True),
    ]
    runs = [run("e", service="model", endpoint="model-1")]
    silence = make_fault("model-1", 100.0, kind="EndpointSilence", is_planned=True)
    [_, line] = report_lines(make_planned(calls, runs, faults=[silence]), [])
    assert line["closed before read"] == {
        "on a kept connection": 1,
        "on a new connection": 1,
    }
    assert line["given up after a silence"] == {
        "in a stream": 1,
        "with nothing, beside a silence": 1,
    }


def test_an_evacuated_domain_gets_no_work_until_it_is_taken_back():
    out = OutRecord(name="north", acknowledged_at=95.0)
    records = make_records([call()], [run()], evacuations=[out])
    assert [f.check for f in run_checks(records)] == ["no work to those out"]
    records.evacuations = [replace(out, ended_at=100.0)]
    assert run_checks(records) == []
