"""Child processes for tests, and helpers that wait for a condition."""

import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import IO

START_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.02


class ManagedProcess:
    """A Python module run as a child process, with its output in files.

    Standard error is appended to the log, which outlives a restart, and standard
    output is truncated at each start. Signals go to this one process only.
    """

    def __init__(self, *, name: str, arguments: list[str], directory: Path):
        self._name = name
        self._log_path = directory / f"{name}.log"
        self._log_file: IO[bytes] = self._log_path.open("ab")
        self._output_path = directory / f"{name}.out"
        self._output_file: IO[bytes] = self._output_path.open("wb")
        self._process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=self._output_file,
            stderr=self._log_file,
            stdin=subprocess.DEVNULL,
        )

    @property
    def name(self) -> str:
        """The name of the process."""
        return self._name

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited yet."""
        return self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """The exit status, or `None` while the process runs."""
        return self._process.poll()

    @property
    def process_id(self) -> int:
        """The process id that the operating system assigned."""
        return self._process.pid

    @property
    def log_text(self) -> str:
        """The content of the log file so far."""
        return self._log_path.read_text("utf-8")

    def listening_port(self) -> int:
        """Return the port from the line `listening PORT`, which the process prints.

        `RuntimeError` is raised when the process exits first, and `TimeoutError`
        after `START_TIMEOUT_SECONDS`.
        """
        for _ in poll_until_timeout(START_TIMEOUT_SECONDS, f"{self._name} to listen"):
            text = self._output_path.read_text("utf-8")
            if text.startswith("listening ") and text.endswith("\n"):
                return int(text.split()[1])
            if not self.is_running:
                raise RuntimeError(
                    f"{self._name} exited before it listened: {self.log_text[-2000:]}"
                )
        raise AssertionError

    def kill(self) -> None:
        """Kill the process without a shutdown, as the failure of its VM would."""
        self._process.kill()
        self._process.wait()
        self._close()

    def suspend(self) -> None:
        """Suspend the process, which keeps its connections open."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self._process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Send `SIGTERM`, on which a daemon drains and exits."""
        self._process.send_signal(signal.SIGTERM)

    def send_sighup(self) -> None:
        """Send `SIGHUP`, on which a daemon reads its settings again."""
        self._process.send_signal(signal.SIGHUP)

    def wait(self, timeout: float) -> int:
        """Wait until the process exits and return its exit status."""
        status = self._process.wait(timeout)
        self._close()
        return status

    def _close(self) -> None:
        self._log_file.close()
        self._output_file.close()


def poll_until_timeout(timeout: float, description: str):
    """Yield at each poll, until the caller leaves the loop.

    `TimeoutError`, which names `description`, is raised after `timeout` seconds.
    """
    deadline = time.monotonic() + timeout
    while True:
        yield None
        if time.monotonic() > deadline:
            raise TimeoutError(f"waited {timeout} s for {description}")
        pause()


def wait_until(condition, timeout: float, description: str) -> None:
    """Wait until `condition()` is true.

    `TimeoutError`, which names `description`, is raised after `timeout` seconds.
    """
    for _ in poll_until_timeout(timeout, description):
        if condition():
            return


def pause(seconds: float = POLL_INTERVAL_SECONDS) -> None:
    """Sleep, by default for the interval between two polls."""
    time.sleep(seconds)


def scratch_directory() -> Path:
    """Create a temporary directory, which the caller removes, and return its path."""
    return Path(tempfile.mkdtemp(prefix="bilberryring-"))
