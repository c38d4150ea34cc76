"""Processes of the project, started for a scenario and ended with it."""

import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import IO

START_SECONDS = 20.0
POLL_SECONDS = 0.02


class ManagedProcess:
    """One process with its log file; it is ended by its own id alone."""

    def __init__(self, *, name: str, arguments: list[str], directory: Path):
        self._name = name
        self._log_path = directory / f"{name}.log"
        self._log: IO[bytes] = self._log_path.open("ab")
        self._output = directory / f"{name}.out"
        self._out: IO[bytes] = self._output.open("wb")
        self._process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=self._out,
            stderr=self._log,
            stdin=subprocess.DEVNULL,
        )

    @property
    def name(self) -> str:
        """The name of the process."""
        return self._name

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """The exit status, or `None` while it runs."""
        return self._process.poll()

    @property
    def process_id(self) -> int:
        """The id that the system gave."""
        return self._process.pid

    @property
    def log_text(self) -> str:
        """The log so far."""
        return self._log_path.read_text("utf-8")

    def listening_port(self) -> int:
        """Wait for the line that names the port and return it."""
        for _ in wait_steps(START_SECONDS, f"{self._name} to listen"):
            text = self._output.read_text("utf-8")
            if text.startswith("listening ") and text.endswith("\n"):
                return int(text.split()[1])
            if not self.is_running:
                raise RuntimeError(f"{self._name} ended: {self.log_text[-2000:]}")
        raise AssertionError

    def kill(self) -> None:
        """End the process at once, as a failing VM would."""
        self._process.kill()
        self._process.wait()
        self._close()

    def freeze(self) -> None:
        """Stop the process where it is."""
        self._process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self._process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to drain."""
        self._process.send_signal(signal.SIGTERM)

    def hang_up(self) -> None:
        """Tell the process that its settings changed."""
        self._process.send_signal(signal.SIGHUP)

    def wait(self, timeout: float) -> int:
        """Wait for the end and return the exit status."""
        status = self._process.wait(timeout)
        self._close()
        return status

    def _close(self) -> None:
        self._log.close()
        self._out.close()


def wait_steps(timeout: float, what: str):
    """Yield until the caller is satisfied; `TimeoutError` when that takes long."""
    until = time.monotonic() + timeout
    while True:
        yield None
        if time.monotonic() > until:
            raise TimeoutError(f"waited {timeout} s for {what}")
        pause()


def wait_until(condition, timeout: float, what: str) -> None:
    """Wait until a condition holds; `TimeoutError` when it does not."""
    for _ in wait_steps(timeout, what):
        if condition():
            return


def pause(seconds: float = POLL_SECONDS) -> None:
    """Let some time pass between two looks."""
    time.sleep(seconds)


def scratch_directory() -> Path:
    """Return a new directory for the files of one scenario."""
    return Path(tempfile.mkdtemp(prefix="bilberryring-"))
