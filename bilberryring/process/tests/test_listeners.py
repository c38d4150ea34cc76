"""A process that has closed a listener accepts no connection while it exits.

The kernel goes on accepting for a listener that is still open, and callers would wait
for a process that reads nothing any more.
"""

import subprocess
import sys

PROGRAM = """
import os, signal, socket, sys
from io import StringIO
from twisted.internet import reactor
from twisted.internet.protocol import Factory
from twisted.internet.task import deferLater
from bilberryring.process.settings import host_and_port
from bilberryring.process.running import Listeners, run_until_drained
from bilberryring.standins.loopback import process_network
from bilberryring.telemetry import EventLog

address = process_network().allocate()
log = EventLog(process="p", role="gateway", stream=StringIO())
listeners = Listeners(reactor=reactor, log=log)
listeners.listen(address, Factory(), key="caller_address")

class Daemon:
    async def drain(self):
        await deferLater(reactor, 0.01)
        await listeners.close("caller_address")

reactor.callWhenRunning(os.kill, os.getpid(), signal.SIGTERM)
run_until_drained(reactor=reactor, daemon=Daemon(), log=log)
with socket.socket() as caller:
    print(caller.connect_ex(host_and_port(address)))
"""
CONNECTED = "0"


def test_no_connection_is_accepted_after_the_drain():
    command = [sys.executable, "-c", PROGRAM]
    finished = subprocess.run(command, capture_output=True, text=True, timeout=20.0)
    assert finished.stderr == ""
    assert finished.stdout.strip() != CONNECTED
