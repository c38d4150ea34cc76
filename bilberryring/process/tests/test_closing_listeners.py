"""Connections that arrive in the moment in which a listener closes."""

import subprocess
import sys

import pytest

PROGRAM = """
import socket
import sys
import threading
from io import StringIO
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import deferLater
from twisted.internet.threads import deferToThread
from bilberryring.process import running
from bilberryring.process.settings import host_and_port
from bilberryring.process.running import Listeners
from bilberryring.standins.loopback import process_network
from bilberryring.telemetry import EventLog

CONNECT_SECONDS = 5.0
DROPPED_SECONDS = 0.1
WORK_SECONDS = 0.1

class Answers(Protocol):
    def connectionMade(self):
        threading.Event().wait(factory.work_seconds)

    def dataReceived(self, data):
        self.transport.write(b"refused")
        self.transport.loseConnection()

class Caller(threading.Thread):
    def __init__(self):
        super().__init__()
        self.answer = None
        self._is_tried = threading.Event()

    def connect(self, seconds):
        self.start()
        self._is_tried.wait(seconds)

    def run(self):
        try:
            raw = socket.create_connection(host_and_port(address), timeout=5.0)
        except OSError as error:
            self.answer = f"not connected {error}"
            self._is_tried.set()
            return
        try:
            raw.sendall(b"request")
            self._is_tried.set()
            self.answer = raw.recv(100)
        except OSError as error:
            self.answer = error

address = process_network().allocate()
lines = StringIO()
log = EventLog(process="p", role="gateway", stream=lines)
listeners = Listeners(reactor=reactor, log=log)
factory = Factory.forProtocol(Answers)
factory.work_seconds = 0.0
listeners.listen(address, factory, key="caller_address")
listening_port = listeners._ports["caller_address"]
callers = []

def connect(seconds=CONNECT_SECONDS):
    '''Start a caller, and wait until it has sent its request or the time is over.'''
    callers.append(Caller())
    callers[-1].connect(seconds)

async def close_before():
    await deferLater(reactor, 0.05)
    closing = Deferred.fromCoroutine(listeners.close("caller_address"))
    connect(DROPPED_SECONDS)
    await closing

async def close_after():
    # One read of the reactor accepts as many connections as the one before.
    connect()
    await deferToThread(callers[0].join)
    for _ in range(3):
        connect()
    factory.work_seconds = WORK_SECONDS
    await listeners.close("caller_address")

async def close_while():
    close_socket = listening_port.connectionLost

    def connect_and_close(reason):
        connect(DROPPED_SECONDS)
        close_socket(reason)

    listening_port.connectionLost = connect_and_close
    await listeners.close("caller_address")

async def close_while_busy():
    connect()
    # The process does not run for most of the time in which handshakes are dropped.
    reactor.callLater(0, connect, DROPPED_SECONDS)
    await listeners.close("caller_address")

async def close_without_filters():
    def refuse_filter(listener):
        raise OSError("no filters here")

    running.drop_handshakes = refuse_filter
    connect()
    await listeners.close("caller_address")
    connect()
    print("listener_unfiltered" in lines.getvalue())

async def run(close):
    await close()
    for caller in callers:
        await deferToThread(caller.join)
        print(caller.answer)
    reactor.stop()

close = globals()[sys.argv[1]]
reactor.callWhenRunning(lambda: Deferred.fromCoroutine(run(close)))
reactor.run()
"""


def answers_to_callers(close):
    command = [sys.executable, "-c", PROGRAM, close]
    finished = subprocess.run(command, capture_output=True, text=True, timeout=20.0)
    assert finished.stderr == ""
    return finished.stdout.splitlines()


@pytest.mark.parametrize("close", ["close_before", "close_while"])
def test_a_caller_that_connects_while_a_listener_closes_is_answered_or_refused(close):
    (answer,) = answers_to_callers(close)
    assert answer == "b'refused'" or answer.startswith("not connected"), answer


def test_callers_that_connected_before_a_listener_closes_are_answered():
    assert answers_to_callers("close_after") == ["b'refused'"] * 4


def test_a_process_that_is_busy_while_its_listener_closes_answers_who_was_there():
    first, second = answers_to_callers("close_while_busy")
    assert first == "b'refused'" and second.startswith("not connected")


def test_a_listener_closes_where_the_kernel_takes_no_filter():
    is_logged, first, second = answers_to_callers("close_without_filters")
    assert is_logged == "True"
    assert first == "b'refused'" and second.startswith("not connected")
