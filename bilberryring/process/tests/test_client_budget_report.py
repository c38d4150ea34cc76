"""Metrics and log lines on refused clients, with a bounded number of lines."""

import io
import json

from twisted.internet.task import Clock

from bilberryring.budget import BudgetLimits
from bilberryring.http import Cause, ClientBudget
from bilberryring.process.client_budget_report import ClientBudgetReport
from bilberryring.telemetry import EventLog, Metrics


class Reported:
    """A report on a budget whose causes the test sets."""

    def __init__(self, *, is_floor=False):
        self.clock = Clock()
        self.output = io.StringIO()
        self.metrics = Metrics()
        limits = BudgetLimits(
            memory_bytes=1_000, max_connections=9, max_sockets=9, is_floor=is_floor
        )
        self.budget = ClientBudget(clock=self.clock, limits=limits)
        self.report = ClientBudgetReport(
            clock=self.clock,
            budget=self.budget,
            metrics=self.metrics,
            log=EventLog(process="p", role="gateway", stream=self.output),
        )

    def refuse(self, number=1):
        self.budget._causes[Cause.MEMORY_SHORT] += number

    def lines(self):
        lines = map(json.loads, self.output.getvalue().splitlines())
        return [line for line in lines if line["event"] != "log_lines_dropped"]


def test_refusals_make_one_line_a_second_with_their_number():
    """A line for each would let a crowd fill the log."""
    reported = Reported()
    for _ in range(40):
        reported.refuse(100)
        reported.report.update()
        reported.clock.advance(0.25)
    lines = reported.lines()
    assert 9 <= len(lines) <= 11
    assert {line["event"] for line in lines} == {"clients_refused"}
    assert 3_600 <= sum(line["memory_short"] for line in lines) <= 4_000


def test_nothing_is_logged_while_nobody_is_refused():
    reported = Reported()
    for _ in range(8):
        reported.report.update()
        reported.clock.advance(1.0)
    assert not reported.lines()


def test_metrics_show_what_is_held_the_limits_and_the_causes():
    reported = Reported()
    account = reported.budget.open(object(), address="a")
    account.hold(77)
    reported.refuse(3)
    reported.budget._connections.clear()
    reported.report.update()
    text = b"".join(reported.metrics.render()).decode()
    assert 'client_memory_bytes{what="held"} 77' in text
    assert 'client_memory_bytes{what="limit"} 1000' in text
    assert 'client_connections{what="open"} 1' in text
    assert 'client_refusals_total{cause="memory_short"} 3' in text


def test_the_floor_is_logged_once():
    reported = Reported(is_floor=True)
    for _ in range(3):
        reported.report.update()
    assert [line["event"] for line in reported.lines()] == ["client_memory_at_floor"]


def test_a_miscount_is_logged():
    reported = Reported()
    account = reported.budget.open(object(), address="a")
    reported.budget._connections.clear()
    reported.budget._budget.count(account, 5)
    reported.report.update()
    (line,) = reported.lines()
    assert line["event"] == "client_memory_miscounted"
    assert line["bytes"] == 5
