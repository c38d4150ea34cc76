"""What a drained process still does before it has exited, whatever it holds.

The platform kills a process after its grace, and the drain uses nearly all of it. The
garbage collector of Python would visit all objects once more while the process exits.
"""

import os
import subprocess
import sys

PROGRAM = """
from bilberryring.process.early_signals import PROCESS_SIGNALS
PROCESS_SIGNALS.install()
import os, signal, time
from io import StringIO
from twisted.internet import reactor
from bilberryring.process.running import run_until_drained
from bilberryring.telemetry import EventLog

class Daemon:
    def __init__(self):
        self.state = [{"number": number, "daemon": self} for number in range(400_000)]

    async def drain(self):
        global drained_at
        drained_at = time.process_time()

daemon = Daemon()
reactor.callWhenRunning(os.kill, os.getpid(), signal.SIGTERM)
log = EventLog(process="p", role="gateway", stream=StringIO())
run_until_drained(reactor=reactor, daemon=daemon, log=log)
print(drained_at, flush=True)
"""
MAX_EXIT_SECONDS = 0.1
"""Seconds of processor time from the end of the drain; the gateway leaves 0.35 s."""


def test_a_process_that_holds_much_exits_at_once_when_it_is_drained():
    process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM], stdout=subprocess.PIPE, text=True
    )
    with process.stdout as output:
        drained_at = float(output.read())
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    assert process.returncode == 0
    assert usage.ru_utime + usage.ru_stime - drained_at < MAX_EXIT_SECONDS
