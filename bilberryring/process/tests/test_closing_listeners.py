"""Connections that arrive in the moment in which a listener closes."""

import subprocess
import sys

PROGRAM = """
import socket
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import deferLater
from bilberryring.process.running import Listeners
from bilberryring.standins.gateway_site import free_ports

class Answers(Protocol):
    def dataReceived(self, data):
        self.transport.write(b"refused")
        self.transport.loseConnection()

port = free_ports(1)[0]
factory = Factory.forProtocol(Answers)
listeners = Listeners(reactor=reactor)
listeners.listen(f"127.0.0.1:{port}", factory, key="caller_address")
callers = []

def connect():
    try:
        caller = socket.create_connection(("127.0.0.1", port), timeout=1.0)
        caller.sendall(b"request")
        callers.append(caller)
    except OSError as error:
        print("not connected", error)

async def run():
    await deferLater(reactor, 0.05)
    closing = Deferred.fromCoroutine(listeners.close("caller_address"))
    # Work of the same pass of the reactor, during which a caller connects.
    connect()
    await closing
    await deferLater(reactor, 0.2)
    for caller in callers:
        caller.settimeout(1.0)
        try:
            print(caller.recv(100))
        except OSError as error:
            print(error)
    reactor.stop()

reactor.callWhenRunning(lambda: Deferred.fromCoroutine(run()))
reactor.run()
"""


def test_a_caller_that_connects_in_the_pass_in_which_a_listener_closes_is_answered():
    command = [sys.executable, "-c", PROGRAM]
    finished = subprocess.run(command, capture_output=True, text=True, timeout=20.0)
    assert finished.stderr == ""
    answer = finished.stdout.strip()
    assert answer == "b'refused'" or answer.startswith("not connected"), answer
