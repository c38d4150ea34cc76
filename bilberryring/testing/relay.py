"""A TCP relay between processes that can refuse, cut or hold back traffic.

The end of a connection, also a reset, is passed on as an ordinary close, as some load
balancers do. Routes are created and changed over HTTP: `POST /routes` with a `Route`,
and `POST /modes` with a `RouteMode`. Bytes that are held back are sent in order once
the route is no longer held.
"""

import msgspec
from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone
from twisted.web.resource import Resource
from twisted.web.server import Request

from bilberryring.http import AsyncResource, write_json
from bilberryring.process.settings import host_and_port


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A listening address, and the target that its connections are forwarded to."""

    name: str
    listen: str
    target: str


class RouteMode(msgspec.Struct, frozen=True, kw_only=True):
    """What happens to the connections and bytes of a route.

    `refuse` closes the listening port, so that the operating system refuses new
    connections. `cut` aborts open and new connections. The next two buffer the
    bytes of one direction. `silence_open` drops all bytes of the
    connections that are open now, which the next mode aborts; new ones work.
    """

    name: str
    refuse: bool = False
    hold_to_target: bool = False
    hold_to_caller: bool = False
    cut: bool = False
    silence_open: bool = False


class _RelayConnection(Protocol):
    """One of the two TCP connections that make up a relayed connection."""

    def __init__(self, *, route: "_ActiveRoute", is_caller_side: bool):
        self._route = route
        self._is_caller_side = is_caller_side
        self._buffer: list[bytes] = []
        self._peer: _RelayConnection | None = None
        self._is_silenced = False

    def pair_with(self, peer: "_RelayConnection") -> None:
        """Forward bytes to a peer from now on, and send it what is buffered."""
        self._peer = peer
        peer.transport.registerProducer(self.transport, True)
        self.flush()

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        if self._is_caller_side:
            self._route.connect_target(self)

    @property
    def is_silenced(self) -> bool:
        """Whether the bytes that arrive are dropped."""
        return self._is_silenced

    def silence(self) -> None:
        """Drop all bytes that arrive from now on."""
        self._is_silenced = True

    def dataReceived(self, data: bytes) -> None:
        if self._is_silenced:
            return
        self._buffer.append(data)
        self.flush()

    def flush(self) -> None:
        """Send buffered bytes to the peer, unless the route holds this direction."""
        if self._peer is None or self._route.is_held(to_target=self._is_caller_side):
            return
        buffered, self._buffer = self._buffer, []
        for data in buffered:
            self._peer.transport.write(data)

    def connectionLost(self, reason=connectionDone) -> None:
        self._route.remove(self)
        if self._peer is not None and self._peer.transport is not None:
            self._peer.transport.unregisterProducer()
            self._peer.transport.loseConnection()


class _ActiveRoute:
    """A route with its listening port, its mode and its open connections."""

    def __init__(self, *, reactor, route: Route):
        self._reactor = reactor
        self._route = route
        self._mode = RouteMode(name=route.name)
        self._connections: set[_RelayConnection] = set()
        self._listening_port = None
        self._listen()

    def is_held(self, *, to_target: bool) -> bool:
        """Return whether the bytes of one direction are held back now."""
        return self._mode.hold_to_target if to_target else self._mode.hold_to_caller

    def connect_target(self, caller: _RelayConnection) -> None:
        """Connect a new caller to the target; abort the caller when that fails."""
        if self._mode.cut:
            caller.transport.abortConnection()
            return
        target = self._new_connection(is_caller_side=False)
        factory = ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda address: target
        factory.clientConnectionFailed = lambda connector, reason: (
            caller.transport.abortConnection()
        )
        target.connectionMade = lambda: self._connect_pair(caller, target)
        host, port = host_and_port(self._route.target)
        self._reactor.connectTCP(host, port, factory)

    def remove(self, connection: _RelayConnection) -> None:
        """Remove a connection that was closed."""
        self._connections.discard(connection)

    def set_mode(self, mode: RouteMode) -> None:
        """Apply a mode to the listening port and to all open connections."""
        self._mode = mode
        if mode.refuse and self._listening_port is not None:
            self._listening_port.stopListening()
            self._listening_port = None
        elif not mode.refuse and self._listening_port is None:
            self._listen()
        for connection in tuple(self._connections):
            is_aborted = mode.cut or connection.is_silenced
            if mode.silence_open:
                connection.silence()
            elif is_aborted and connection.transport is not None:
                connection.transport.abortConnection()
            else:
                connection.flush()

    def _listen(self) -> None:
        factory = Factory.forProtocol(lambda: self._new_connection(is_caller_side=True))
        factory.noisy = False
        host, port = host_and_port(self._route.listen)
        self._listening_port = self._reactor.listenTCP(port, factory, interface=host)

    def _new_connection(self, *, is_caller_side: bool) -> _RelayConnection:
        connection = _RelayConnection(route=self, is_caller_side=is_caller_side)
        self._connections.add(connection)
        return connection

    def _connect_pair(self, caller: _RelayConnection, target: _RelayConnection) -> None:
        target.transport.setTcpNoDelay(True)
        caller.pair_with(target)
        target.pair_with(caller)


class RelayServer:
    """Holds all routes of a relay process and serves the calls that change them."""

    def __init__(self, *, reactor):
        self._reactor = reactor
        self._routes: dict[str, _ActiveRoute] = {}

    def resource(self) -> Resource:
        """Return the root resource of the control calls."""
        root = Resource()
        for name, handle in (
            (b"routes", self._add_route),
            (b"modes", self._change_mode),
        ):
            leaf = AsyncResource(handle=handle, on_fault=lambda error: None)
            root.putChild(name, leaf)
        return root

    async def _add_route(self, request: Request) -> None:
        route = msgspec.json.decode(request.read_body(), type=Route)
        self._routes[route.name] = _ActiveRoute(reactor=self._reactor, route=route)
        write_json(request, route)

    async def _change_mode(self, request: Request) -> None:
        mode = msgspec.json.decode(request.read_body(), type=RouteMode)
        self._routes[mode.name].set_mode(mode)
        write_json(request, mode)
