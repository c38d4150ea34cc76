"""The owner of a process's signals, which takes them before anything is imported."""

import signal
import subprocess
import sys

import pytest

from bilberryring.process.early_signals import HANDLED_SIGNALS, ProcessSignals

PROGRAMS = ["bilberryring.platform.process", "bilberryring.daemon"]
SLOW_MODULES = {"twisted", "click", "msgspec", "structlog", "aioprometheus", "thrift"}


@pytest.fixture
def signals():
    handlers = {number: signal.getsignal(number) for number in HANDLED_SIGNALS}
    signals = ProcessSignals()
    signals.install()
    yield signals
    for number, handler in handlers.items():
        signal.signal(number, handler)


def test_signals_before_the_listener_are_told_to_it_in_their_order(signals):
    order = [signal.SIGHUP, signal.SIGINT, signal.SIGHUP, signal.SIGTERM, signal.SIGINT]
    for number in order:
        signal.raise_signal(number)
    told = []
    signals.set_listener(lambda: told.extend(signals.take()))
    assert told == order
    signal.raise_signal(signal.SIGTERM)
    assert told == [*order, signal.SIGTERM]


def test_a_listener_is_not_called_without_a_signal(signals):
    calls = []
    signals.set_listener(lambda: calls.append(signals.take()))
    assert not calls


@pytest.mark.parametrize(
    ("number", "ends"),
    [(signal.SIGHUP, False), (signal.SIGTERM, True), (signal.SIGINT, True)],
)
def test_a_hangup_alone_ends_no_process(signals, number, ends):
    assert not signals.has_termination
    signal.raise_signal(number)
    assert signals.has_termination == ends


def test_signals_that_are_ignored_reach_no_listener(signals):
    told = []
    signals.set_listener(lambda: told.extend(signals.take()))
    signals.ignore()
    for number in HANDLED_SIGNALS:
        signal.raise_signal(number)
    assert not told


@pytest.mark.parametrize("program", PROGRAMS)
def test_a_program_imports_nothing_slow_before_it_takes_its_signals(program):
    code = f"import sys, {program}; print(*sys.modules)"
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    modules = completed.stdout.split()
    assert program in modules
    assert not SLOW_MODULES & set(modules)
