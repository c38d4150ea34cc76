"""A whole gateway on a paused clock; callers and endpoints are played by a test.

All parts of the gateway are the real ones. Only sockets, and the reading of the store,
are replaced: what operators and endpoints publish is applied at once.
"""

import functools
import json
import random
import socket
import struct
from collections.abc import Callable
from io import StringIO
from types import SimpleNamespace
from unittest import mock

import h11
from twisted.internet.error import ConnectionAborted, ConnectionDone, UserError
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from bilberryring.fleet import PublishedItem
from bilberryring.gateway.daemon import GatewayDaemon
from bilberryring.gateway.settings import GatewaySettings
from bilberryring.platform.adapter import HttpHeaderCodec, PlatformAdapter
from bilberryring.platform.names import (
    CONFIGURATION_KEY,
    ENDPOINT_PREFIX,
    EVACUATION_PREFIX,
    OPERATOR_PREFIX,
    ORDER_PATH,
    REQUEST_ID,
    TOKEN_USAGE,
)
from bilberryring.process.operator_site import ProcessStatus
from bilberryring.standins.gateway_site import (
    API_KEY,
    HOST_NAME,
    MODEL_SERVICE,
    make_configuration,
)
from bilberryring.standins.scripted_endpoint import (
    chunk,
    event,
    stream_head,
    whole_answer,
)
from bilberryring.telemetry import EventLog
from bilberryring.testing.silent_descriptor import silent_descriptor

CALLER_PORT = 80
N_EVENTS = 3
WHOLE_STREAM = b"".join(event(number) for number in range(1, N_EVENTS + 1))
WHOLE_ANSWER = b"done"
LAST_RECORDS = ("request_finished", "request_failed", "caller_left")


class PlayedTransport(StringTransport):
    """A connection that is closed at the next turn of the reactor, as a real one."""

    def __init__(self, *, clock: Clock, on_write: Callable[[bytes], None]):
        super().__init__(lenient=True)
        self._clock = clock
        self._on_write = on_write
        self._undelivered: list[bytes] = []
        self._resets_on_close = False
        self.protocol = None
        self.is_lost = False
        self.is_reset = False

    def open(self, protocol) -> None:
        self.protocol = protocol
        protocol.makeConnection(self)

    def deliver(self, data: bytes) -> None:
        """Let the gateway read bytes, once it reads this connection."""
        self._undelivered.append(data)
        self._flush()

    def write(self, data: bytes) -> None:
        if not self.disconnecting:
            self._on_write(data)

    def writeSequence(self, data) -> None:
        self.write(b"".join(data))

    def loseConnection(self) -> None:
        self._close(ConnectionDone(), is_reset=self._resets_on_close)

    def abortConnection(self) -> None:
        self._close(ConnectionAborted(), is_reset=True)

    def loseWriteConnection(self) -> None:
        self._clock.callLater(0, self.protocol.writeConnectionLost)

    def doWrite(self) -> Exception | None:
        """Return why the connection closes, as all output has been written."""
        return ConnectionDone() if self.disconnecting else None

    def connectionLost(self, reason: Failure) -> None:
        self._lose(reason.value, self._resets_on_close)

    def pauseProducing(self) -> None:
        self.producerState = "paused"

    def resumeProducing(self) -> None:
        self.producerState = "producing"
        self._clock.callLater(0, self._flush)

    def getHandle(self):
        return self

    def setsockopt(self, level: int, option: int, value) -> None:
        if option == socket.SO_LINGER:
            self._resets_on_close = bool(struct.unpack("ii", value)[0])

    def setTcpNoDelay(self, is_on: bool) -> None:
        pass

    def setTcpKeepAlive(self, is_on: bool) -> None:
        pass

    def fileno(self) -> int:
        return silent_descriptor()

    def _flush(self) -> None:
        while self._undelivered and self.producerState == "producing":
            if self.disconnecting:
                return
            self.protocol.dataReceived(self._undelivered.pop(0))

    def _close(self, reason: Exception, *, is_reset: bool) -> None:
        if self.disconnecting:
            return
        self.disconnecting = True
        self._clock.callLater(0, self._lose, reason, is_reset)

    def _lose(self, reason: Exception, is_reset: bool) -> None:
        if not self.is_lost:
            self.is_lost, self.is_reset = True, is_reset
            self.protocol.connectionLost(Failure(reason))


class PlayedRun:
    """A request or a memory order at an endpoint; `send_next` answers it in parts."""

    def __init__(self, *, connection: "PlayedOpening", data: bytes, now: float):
        head, _, self.body = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        self._connection = connection
        self.address = connection.address
        self.target = lines[0].split()[1]
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        self.request_id = headers.get("bilberryring-request-id", "")
        self.is_order = self.target == ORDER_PATH
        self.progress_at = now
        self._parts = self._answer()

    @property
    def is_over(self) -> bool:
        return not self._parts or self.was_given_up

    @property
    def was_given_up(self) -> bool:
        return bool(self._parts) and self._connection.transport.disconnecting

    def send_next(self, *, now: float) -> None:
        self.progress_at = now
        self._connection.transport.deliver(self._parts.pop(0))

    def _answer(self) -> list[bytes]:
        if self.is_order:
            return [whole_answer("", b'{"free":1}', extra="")]
        if not self.target.startswith("/chat/"):
            answer = whole_answer(self.request_id, WHOLE_ANSWER)
            head_length = len(answer) - len(WHOLE_ANSWER)
            return [answer[:head_length], answer[head_length:]]
        events = [chunk(event(number)) for number in range(1, N_EVENTS + 1)]
        return [stream_head(self.request_id), *events, chunk(b"")]


class PlayedOpening:
    """A connection that the gateway opens to an endpoint; `accept` lets it open."""

    def __init__(self, *, site: "PlayedGateway", address: str, factory):
        self._site = site
        self._factory = factory
        self._is_pending = True
        self.address = address
        self.transport = PlayedTransport(clock=site.clock, on_write=self._read)

    @property
    def is_pending(self) -> bool:
        return self._is_pending

    def accept(self) -> None:
        self._is_pending = False
        self.transport.open(self._factory.buildProtocol(None))

    def time_out(self) -> None:
        if self._is_pending:
            self.disconnect()

    def disconnect(self) -> None:
        if self._is_pending:
            self._is_pending = False
            self._factory.clientConnectionFailed(self, Failure(UserError()))
        else:
            self.transport.abortConnection()

    def _read(self, data: bytes) -> None:
        run = PlayedRun(connection=self, data=data, now=self._site.clock.seconds())
        self._site.runs.append(run)


class PlayedReactor(Clock):
    """A paused clock that records what the gateway opens and where it listens.

    Calls that are made at a turn for the same time wait for the next one, as in a real
    reactor, which reads its sockets in between.
    """

    def __init__(self):
        super().__init__()
        self.factories = {}
        self.on_connect = None

    def advance(self, amount: float) -> None:
        self.rightNow += amount
        due = [call for call in self.calls if call.getTime() <= self.rightNow]
        for call in sorted(due, key=lambda call: call.getTime()):
            if call.active() and call.getTime() <= self.rightNow:
                self.calls.remove(call)
                call.called = 1
                call.func(*call.args, **call.kw)

    def listenTCP(self, port, factory, backlog=50, interface=""):
        self.factories[port] = factory
        return SimpleNamespace(stopReading=lambda: None, startReading=lambda: None)

    def listenUDP(self, port, protocol, interface="", maxPacketSize=8192):
        protocol.transport = self

    def write(self, datagram, address=None):
        """Lose a datagram to another gateway."""

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        opening = self.on_connect(f"{host}:{port}", factory)
        self.callLater(timeout, opening.time_out)
        return opening


class PlayedCall:
    """One request of a caller, and what it got; `status` is 0 without an answer."""

    def __init__(self, *, caller: "PlayedCaller", request_id: str, path: str):
        self.caller = caller
        self.request_id = request_id
        self.path = path
        self.status = 0
        self.body = b""
        self.is_read = False
        self.is_whole = False
        self.is_cut = False

    @property
    def is_over(self) -> bool:
        return self.is_whole or self.is_cut

    @property
    def wanted(self) -> bytes:
        return WHOLE_STREAM if self.path.startswith("/chat/") else WHOLE_ANSWER


class PlayedCaller:
    """A caller's connection, kept over many requests, one at a time."""

    def __init__(self, *, clock: Clock, factory):
        self._http = h11.Connection(h11.CLIENT)
        self._unsent = b""
        self.call: PlayedCall | None = None
        self.used_at = clock.seconds()
        self._clock = clock
        self._transport = PlayedTransport(clock=clock, on_write=self._receive)
        self._transport.open(factory.buildProtocol(None))

    @property
    def is_closed(self) -> bool:
        return self._transport.disconnecting

    @property
    def is_free(self) -> bool:
        """Whether another request may be sent here; none after `Connection: close`."""
        if self.is_closed or self.call is None:
            return not self.is_closed
        return self._http.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}

    @property
    def has_unsent(self) -> bool:
        """Whether the caller may still send the rest of a request."""
        return bool(self._unsent) and not (self.is_closed or self.call.is_over)

    def send(
        self, path: str, *, request_id: str, n_held: int = 0, tokens: str = "100,10"
    ) -> PlayedCall:
        """Send a request without its last `n_held` bytes, which `send_rest` sends."""
        if self.call is not None:
            self._http.start_next_cycle()
        self.call = PlayedCall(caller=self, request_id=request_id, path=path)
        body = b"x" * 64
        headers = [
            ("Host", HOST_NAME),
            ("Authorization", f"Bearer {API_KEY}"),
            (REQUEST_ID, request_id),
            (TOKEN_USAGE, tokens),
            ("Content-Length", str(len(body))),
        ]
        request = h11.Request(method="POST", target=path, headers=headers)
        data = self._http.send(request) + self._http.send(h11.Data(data=body))
        self._http.send(h11.EndOfMessage())
        n_sent = len(data) - n_held
        self._unsent = data[n_sent:]
        self.used_at = self._clock.seconds()
        if n_sent:
            self._transport.deliver(data[:n_sent])
        self.call.is_read = not self._unsent and not self.is_closed
        return self.call

    def send_rest(self) -> None:
        rest, self._unsent = self._unsent, b""
        self.call.is_read = not self.is_closed
        self._transport.deliver(rest)

    def leave(self) -> None:
        self._transport.loseConnection()

    def check_end(self) -> None:
        """Record what the close of the connection means for the request."""
        if not self._transport.is_lost or self.call is None or self.call.is_over:
            return
        if not self._transport.is_reset:
            self._receive(b"")
        self.call.is_cut = not self.call.is_whole

    def _receive(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError:
            self.call.is_cut = True

    def _read_events(self) -> None:
        while True:
            match self._http.next_event():
                case h11.Response(status_code=status):
                    self.call.status = status
                case h11.Data(data=data):
                    self.call.body += bytes(data)
                case h11.EndOfMessage():
                    self.call.is_whole = True
                    self.used_at = self._clock.seconds()
                    return
                case _:
                    return


class PlayedGateway:
    """A gateway with published endpoints; `seeds` are the peers in its settings.

    With `learns_capacity` it follows the learned speed of endpoints.
    """

    def __init__(self, *, seeds: tuple[str, ...] = (), learns_capacity: bool = True):
        self.clock = PlayedReactor()
        self.clock.on_connect = self._connect
        self.openings: list[PlayedOpening] = []
        self.runs: list[PlayedRun] = []
        self.callers: list[PlayedCaller] = []
        self.calls: list[PlayedCall] = []
        self.seeds = seeds
        self._learns_capacity = learns_capacity
        self.copies = None
        self._revision = 0
        self._output = StringIO()
        # A play that is repeated makes the same choices.
        seeded = functools.partial(random.Random, 1)
        with mock.patch("random.Random", lambda seed=None: seeded()):
            self._daemon = GatewayDaemon(
                reactor=self.clock,
                settings=self._settings(),
                log=EventLog(process="g", role="gateway", stream=self._output),
                codec=HttpHeaderCodec(),
                adapter_class=_played_adapter(self),
                reload_settings=self._settings,
            )
        self._daemon.start()

    @property
    def live_runs(self) -> list[PlayedRun]:
        return [run for run in self.runs if not run.is_over]

    @property
    def pending_openings(self) -> list[PlayedOpening]:
        return [opening for opening in self.openings if opening.is_pending]

    def publish(self, version: int, **changes) -> None:
        """Publish a configuration; `changes` are those of `make_configuration`."""
        self.publish_encoded(
            [json.dumps(make_configuration(version, **changes)).encode()]
        )

    def publish_encoded(self, values: list[bytes]) -> None:
        """Publish versions of the configuration that are read together."""
        items = [
            PublishedItem(
                key=CONFIGURATION_KEY, revision=self._revision + number, value=value
            )
            for number, value in enumerate(values, 1)
        ]
        self._revision += len(values)
        self.copies.apply(OPERATOR_PREFIX, items, era=0)

    def announce(self, name: str, **changes) -> None:
        """Announce an endpoint, or change its announcement."""
        entry = {
            "service": MODEL_SERVICE,
            "address": f"10.0.1.{name[1:]}:80",
            "zone": "north",
            "slots": 8,
            "state": "ready",
            "born": 1,
        }
        value = json.dumps(entry | changes).encode()
        self._apply(ENDPOINT_PREFIX, ENDPOINT_PREFIX + name, value)

    def withdraw(self, name: str) -> None:
        self._apply(ENDPOINT_PREFIX, ENDPOINT_PREFIX + name, None)

    def evacuate(self, zone: str, *, is_out: bool) -> None:
        key = EVACUATION_PREFIX + zone
        self._apply(OPERATOR_PREFIX, key, b"{}" if is_out else None)

    def reload(self, *, seeds: tuple[str, ...]) -> None:
        """Reload the settings with other seeds."""
        self.seeds = seeds
        self._daemon.reload()

    def call(self, path: str, *, caller: PlayedCaller | None = None, **options):
        """Send a request on a kept connection or a new one."""
        if caller is None:
            factory = self.clock.factories[CALLER_PORT]
            caller = PlayedCaller(clock=self.clock, factory=factory)
            self.callers.append(caller)
        call = caller.send(path, request_id=f"r{len(self.calls)}", **options)
        self.calls.append(call)
        return call

    def turn(self, seconds: float = 0.0) -> None:
        """Let the gateway's clock advance, and callers notice closed connections."""
        self.clock.advance(seconds)
        for caller in self.callers:
            caller.check_end()

    def accept_all(self) -> None:
        for opening in self.pending_openings:
            opening.accept()

    def status(self) -> ProcessStatus:
        """Return what the operators' status shows."""
        return self._daemon.status()

    def metrics(self) -> str:
        """Return the metrics as text."""
        return b"".join(self._daemon.metrics.render()).decode()

    def events(self, *names: str) -> list[dict]:
        lines = [json.loads(line) for line in self._output.getvalue().splitlines()]
        return [line for line in lines if not names or line["event"] in names]

    def _apply(self, prefix: str, key: str, value: bytes | None) -> None:
        self._revision += 1
        item = PublishedItem(key=key, revision=self._revision, value=value)
        self.copies.apply(prefix, (item,), era=0)

    def _connect(self, address: str, factory) -> PlayedOpening:
        opening = PlayedOpening(site=self, address=address, factory=factory)
        self.openings.append(opening)
        return opening

    def _settings(self) -> GatewaySettings:
        return GatewaySettings(
            process="g",
            failure_domain="north",
            host="10.0.0.1",
            caller_address=f"10.0.0.1:{CALLER_PORT}",
            ready_address="10.0.0.1:81",
            peer_port=82,
            metrics_port=83,
            platform_address="10.0.0.2:84",
            seed_hosts=self.seeds,
            learns_capacity=self._learns_capacity,
        )


def _played_adapter(site: PlayedGateway):
    """Return an adapter class that applies what the site publishes."""

    class PlayedAdapter(PlatformAdapter):
        def __init__(self, *, copies, **options):
            super().__init__(copies=copies, **options)
            site.copies = copies

        def start(self) -> None:
            pass

        def stop(self) -> None:
            pass

        def refresh(self) -> None:
            pass

    return PlayedAdapter
