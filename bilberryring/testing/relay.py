"""A small relay between processes that cuts, holds and delays.

Routes are made and changed over a control listener: `POST /routes` with a
`Route`, and `POST /modes` with a `RouteMode`. Bytes that are held go out in
order once the route flows again.
"""

import msgspec
from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone
from twisted.web.resource import Resource
from twisted.web.server import Request

from bilberryring.http import AsyncResource, write_json
from bilberryring.process.settings import host_and_port


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A listening address and where its connections go."""

    name: str
    listen: str
    target: str


class RouteMode(msgspec.Struct, frozen=True, kw_only=True):
    """What happens to a route's bytes; cutting closes what is open.

    `refuse` ends listening, so that connections are refused by the system.
    """

    name: str
    refuse: bool = False
    hold_to_target: bool = False
    hold_to_caller: bool = False
    cut: bool = False


class _Side(Protocol):
    """One side of a relayed connection."""

    def __init__(self, *, route: "_RouteState", is_caller: bool):
        self._route = route
        self._is_caller = is_caller
        self._held: list[bytes] = []
        self._peer: _Side | None = None

    def pair_with(self, peer: "_Side") -> None:
        """Join the two sides of a connection."""
        self._peer = peer
        self.flush()

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        if self._is_caller:
            self._route.open_target(self)

    def dataReceived(self, data: bytes) -> None:
        self._held.append(data)
        self.flush()

    def flush(self) -> None:
        """Hand over what is held, unless the route holds this direction."""
        if self._peer is None or self._route.holds(to_target=self._is_caller):
            return
        held, self._held = self._held, []
        for data in held:
            self._peer.transport.write(data)

    def connectionLost(self, reason=connectionDone) -> None:
        self._route.closed(self)
        if self._peer is not None and self._peer.transport is not None:
            self._peer.transport.loseConnection()


class _RouteState:
    """One route, its mode, and its open connections."""

    def __init__(self, *, reactor, route: Route):
        self._reactor = reactor
        self._route = route
        self._mode = RouteMode(name=route.name)
        self._sides: set[_Side] = set()
        self._port = None
        self._listen()

    def holds(self, *, to_target: bool) -> bool:
        """Whether a direction is held now."""
        return self._mode.hold_to_target if to_target else self._mode.hold_to_caller

    def open_target(self, caller: _Side) -> None:
        """Connect a new caller to the target."""
        if self._mode.cut:
            caller.transport.abortConnection()
            return
        target = self._new_side(is_caller=False)
        factory = ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda address: target
        factory.clientConnectionFailed = lambda connector, reason: (
            caller.transport.abortConnection()
        )
        target.connectionMade = lambda: self._joined(caller, target)
        host, port = host_and_port(self._route.target)
        self._reactor.connectTCP(host, port, factory)

    def closed(self, side: _Side) -> None:
        """Forget a side that closed."""
        self._sides.discard(side)

    def set_mode(self, mode: RouteMode) -> None:
        """Change what happens to the route's bytes."""
        self._mode = mode
        if mode.refuse and self._port is not None:
            self._port.stopListening()
            self._port = None
        elif not mode.refuse and self._port is None:
            self._listen()
        for side in tuple(self._sides):
            if mode.cut and side.transport is not None:
                side.transport.abortConnection()
            else:
                side.flush()

    def _listen(self) -> None:
        factory = Factory.forProtocol(lambda: self._new_side(is_caller=True))
        factory.noisy = False
        host, port = host_and_port(self._route.listen)
        self._port = self._reactor.listenTCP(port, factory, interface=host)

    def _new_side(self, *, is_caller: bool) -> _Side:
        side = _Side(route=self, is_caller=is_caller)
        self._sides.add(side)
        return side

    def _joined(self, caller: _Side, target: _Side) -> None:
        target.transport.setTcpNoDelay(True)
        caller.pair_with(target)
        target.pair_with(caller)


class RelayServer:
    """All routes of a scenario, in one process."""

    def __init__(self, *, reactor):
        self._reactor = reactor
        self._routes: dict[str, _RouteState] = {}

    def resource(self) -> Resource:
        """Return the root of the control site."""
        root = Resource()
        for name, handle in ((b"routes", self._add), (b"modes", self._change)):
            leaf = AsyncResource(handle=handle, on_fault=lambda error: None)
            root.putChild(name, leaf)
        return root

    async def _add(self, request: Request) -> None:
        route = msgspec.json.decode(request.read_body(), type=Route)
        self._routes[route.name] = _RouteState(reactor=self._reactor, route=route)
        write_json(request, route)

    async def _change(self, request: Request) -> None:
        mode = msgspec.json.decode(request.read_body(), type=RouteMode)
        self._routes[mode.name].set_mode(mode)
        write_json(request, mode)
