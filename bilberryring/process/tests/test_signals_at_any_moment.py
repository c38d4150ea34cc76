"""SIGHUP, SIGTERM and SIGINT at moments from the first statement to the last one.

A process stops itself at a moment by a `sitecustomize` of the test, so that it is known
where the signals find it, however slow the machine is. A suspended process also is one
that starts slowly.
"""

import json
import os
import signal
import socket
from pathlib import Path

import pytest

from bilberryring.standins.gateway_site import GatewaySite
from bilberryring.standins.loopback import LoopbackNetwork
from bilberryring.testing.processes import ManagedProcess, wait_until

SITECUSTOMIZE = """
import atexit, os, signal, sys

moment = os.environ["SUSPENDED_AT"]
event, _, place = moment.partition(" ")
n_seen = 0

def suspend(kill=os.kill, own=os.getpid(), number=signal.SIGSTOP):
    kill(own, number)

def watch(name, arguments):
    global n_seen
    if event == "bind":
        if name == "socket.bind":
            n_seen += 1
            if str(n_seen) in place.split(","):
                suspend()
    elif event == name and str(arguments[0]).endswith(place) and not n_seen:
        n_seen += 1
        suspend()

class Last:
    def __del__(self, suspend=suspend):
        suspend()

if event == "atexit":
    atexit.register(suspend)
elif event == "teardown":
    sys.modules[Last.__name__] = Last()
else:
    sys.addaudithook(watch)
"""
FIRST_IMPORT = "import twisted"
EARLY_MOMENTS = {
    "at the first slow import": FIRST_IMPORT,
    "at the import of the daemon": "import bilberryring.{role}.daemon",
    "as the settings are read": "open {settings}",
}
START_MOMENTS = {
    "as the daemon starts": "bind {first}",
    "once the daemon listens on one address": "bind {second}",
}
BOTH_START_MOMENTS = "bind {first},{second}"
"""Places among the calls of `bind`; a gateway binds an address before its imports."""
LATE_MOMENTS = {
    "at the exit of the interpreter": "atexit",
    "as the interpreter frees its modules": "teardown",
}
ROLES = ["gateway", "entry", "sidecar"]
TERM, INT, HUP = signal.SIGTERM, signal.SIGINT, signal.SIGHUP
TERMINATIONS = {
    "SIGTERM": [TERM],
    "SIGINT": [INT],
    "SIGTERM among others": [HUP, TERM, INT, HUP, TERM],
}
START_SECONDS = 20.0
GRACE_SECONDS = 6.0


class Program:
    """A process of one role that stops itself at a moment, and its log."""

    def __init__(self, *, role: str, directory: Path, monkeypatch):
        self._role = role
        self._directory = directory
        self._monkeypatch = monkeypatch
        self._network = LoopbackNetwork()
        self._site: GatewaySite | None = None
        self._caller_address = ""
        self._process: ManagedProcess | None = None
        folder = directory / "python"
        folder.mkdir()
        (folder / "sitecustomize.py").write_text(SITECUSTOMIZE)
        self._folders = [str(folder), *filter(None, [os.environ.get("PYTHONPATH")])]

    @property
    def process(self) -> ManagedProcess:
        """The process that was started last."""
        return self._process

    @property
    def hangup_event(self) -> str:
        """The name of the event that is written for a hangup."""
        return "settings_reloaded" if self._role == "gateway" else "settings_kept"

    @property
    def caller_address(self) -> tuple[str, int]:
        """The host and the port on which it listens to callers."""
        if self._role == "gateway":
            with self._site.caller_socket() as caller:
                return caller.getpeername()
        host, port = self._caller_address.split(":")
        return host, int(port)

    def start(self, moment: str) -> None:
        if self._role == "gateway":
            self._site = self._site or GatewaySite(grace=GRACE_SECONDS).start()
        settings = "gateway-1.toml" if self._role == "gateway" else "daemon.json5"
        first = 2 if self._role == "gateway" else 1
        moment = moment.format(
            role=self._role, settings=settings, first=first, second=first + 1
        )
        self._monkeypatch.setenv("SUSPENDED_AT", moment)
        self._monkeypatch.setenv("PYTHONPATH", os.pathsep.join(self._folders))
        try:
            if self._role == "gateway":
                self._site.start_gateway(is_awaited=False)
                self._process = self._site.process("gateway-1")
            else:
                self._process = self._start_daemon(self._directory / settings)
        finally:
            self._monkeypatch.undo()

    def _start_daemon(self, path: Path) -> ManagedProcess:
        allocate = self._network.allocate
        settings = {
            "process": "daemon",
            "failure_domain": "valpo-a",
            "operator_address": allocate(),
            "platform_url": f"http://{allocate()}",
            "drain_seconds": GRACE_SECONDS,
        }
        if self._role == "entry":
            self._caller_address = allocate()
            settings |= {"caller_address": self._caller_address}
        else:
            settings |= {
                "endpoint": "e-1",
                "link_address": allocate(),
                "target_url": f"http://{allocate()}",
            }
        path.write_text(json.dumps(settings))
        return ManagedProcess(
            name="daemon",
            arguments=["bilberryring.daemon", self._role, "--settings", str(path)],
            directory=self._directory,
        )

    def wait_until_suspended(self, timeout: float = START_SECONDS) -> None:
        path = Path(f"/proc/{self.process.process_id}/stat")

        def is_suspended():
            assert self.process.is_running, (self.process.exit_status, self.log())
            return path.read_text().rpartition(")")[2].split()[0] == "T"

        wait_until(is_suspended, timeout, "the moment")

    def send(self, numbers) -> None:
        for number in numbers:
            os.kill(self.process.process_id, number)

    def log(self) -> list[str]:
        """Return the names of the events so far."""
        if self._role == "gateway":
            return [line["event"] for line in self._site.log_events(1)]
        lines = self.process.log_text.splitlines()
        return [json.loads(line)["event"] for line in lines if line.startswith("{")]

    def wait_for(self, event: str, timeout: float = START_SECONDS) -> None:
        def is_written():
            assert self.process.is_running, (self.process.exit_status, self.log())
            return event in self.log()

        wait_until(is_written, timeout, event)

    def wait_for_exit(self) -> None:
        status = self.process.wait(GRACE_SECONDS)
        assert status == 0, (status, self.log())
        assert "internal_fault" not in self.log()

    def stop(self) -> None:
        if self._process is not None and self._process.is_running:
            self._process.resume()
            self._process.kill()
        if self._site is not None:
            self._site.stop()
        self._network.close()


@pytest.fixture(params=ROLES)
def program(request, tmp_path, monkeypatch):
    program = Program(role=request.param, directory=tmp_path, monkeypatch=monkeypatch)
    yield program
    program.stop()


@pytest.mark.parametrize("moment", [*EARLY_MOMENTS, *START_MOMENTS])
def test_hangups_before_the_process_runs_are_acted_on_once(program, moment):
    program.start((EARLY_MOMENTS | START_MOMENTS)[moment])
    program.wait_until_suspended()
    program.send([HUP])
    program.process.resume()
    program.wait_for(program.hangup_event)
    program.send([TERM])
    program.wait_for_exit()
    log = program.log()
    assert log.count(program.hangup_event) == 1
    assert log.index("process_started") < log.index(program.hangup_event)


@pytest.mark.parametrize("series", TERMINATIONS)
@pytest.mark.parametrize("moment", EARLY_MOMENTS)
def test_a_termination_before_the_daemon_starts_opens_no_listener(
    program, moment, series
):
    program.start(EARLY_MOMENTS[moment])
    program.wait_until_suspended()
    program.send(TERMINATIONS[series])
    program.process.resume()
    program.wait_for_exit()
    assert program.log() == ["start_cancelled"]


@pytest.mark.parametrize("series", TERMINATIONS)
@pytest.mark.parametrize("moment", START_MOMENTS)
def test_a_termination_while_the_daemon_starts_drains_it(program, moment, series):
    program.start(START_MOMENTS[moment])
    program.wait_until_suspended()
    program.send(TERMINATIONS[series])
    program.process.resume()
    program.wait_for_exit()
    log = program.log()
    assert log.index("process_started") < log.index("drain_started")
    assert log.count("drain_started") == log.count("drain_finished") == 1


@pytest.mark.parametrize("moment", LATE_MOMENTS)
def test_signals_during_the_exit_change_nothing(program, moment):
    program.start(LATE_MOMENTS[moment])
    program.wait_for("process_started")
    program.send([TERM])
    program.wait_until_suspended(GRACE_SECONDS)
    program.send([HUP, TERM, INT])
    program.process.resume()
    program.wait_for_exit()


def test_two_interrupts_before_the_process_runs_cut_the_drain(program):
    program.start(BOTH_START_MOMENTS)
    for _ in range(2):
        program.wait_until_suspended()
        program.send([INT])
        program.process.resume()
    program.wait_for_exit()
    log = program.log()
    assert log.count("drain_started") == log.count("drain_cut_short") == 1


def test_signals_without_a_pause_from_the_first_statement_to_the_exit(program):
    program.start(FIRST_IMPORT)
    program.wait_until_suspended()
    program.process.resume()

    def hang_up():
        assert program.process.is_running, program.process.exit_status
        program.send([HUP])
        return program.hangup_event in program.log()

    wait_until(hang_up, START_SECONDS, "the daemon to run")
    program.send([TERM])

    def end():
        if program.process.is_running:
            program.send([HUP, TERM])
        return not program.process.is_running

    wait_until(end, GRACE_SECONDS, "the exit")
    program.wait_for_exit()


@pytest.mark.parametrize("program", ["gateway", "entry"], indirect=True)
def test_a_caller_that_connects_as_the_process_starts_gets_an_answer(program):
    program.start(START_MOMENTS["once the daemon listens on one address"])
    program.wait_until_suspended()
    with socket.create_connection(program.caller_address, GRACE_SECONDS) as caller:
        caller.sendall(b"GET /x HTTP/1.1\r\nHost: site.example\r\n\r\n")
        program.send([HUP, TERM])
        program.process.resume()
        answer = b"".join(iter(lambda: caller.recv(65_536), b""))
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 "), answer
    assert f"Content-Length: {len(body)}".encode().lower() in head.lower(), answer
    program.wait_for_exit()


@pytest.mark.parametrize("program", ["entry"], indirect=True)
def test_a_termination_beside_faulty_settings_keeps_their_status(program, tmp_path):
    program.start(FIRST_IMPORT)
    program.wait_until_suspended()
    (tmp_path / "daemon.json5").write_text("{}")
    program.send([TERM])
    program.process.resume()
    assert program.process.wait(START_SECONDS) == 2
