"""Binds the addresses of a process, handles signals and drains it."""

import gc
import signal
import socket

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from bilberryring.core import ErrorCode, SettingsError, drop_handshakes, has_unread
from bilberryring.http import MIN_IDLE_SECONDS, DrainableSite, make_site
from bilberryring.process.early_listener import LISTEN_BACKLOG
from bilberryring.process.early_signals import PROCESS_SIGNALS, ProcessSignals
from bilberryring.process.settings import host_and_port
from bilberryring.telemetry import EventLog, LogEvent

FLUSH_SECONDS = 30.0
"""Seconds that a drained process waits at most for callers to read their responses."""
FLUSH_CHECK_SECONDS = 0.05
HANDSHAKE_SECONDS = 0.02
"""Seconds for which a listener that takes no new connections stays open, so that those
whose handshake is under way can be accepted; above a round trip of a region."""
READ_PASSES = 8
"""Passes of the reactor in which what has arrived is read. Each reads 64 KiB of every
connection; the kernel keeps a few times that of one that is not read."""


class Listeners:
    """The listening ports of a process, by the settings key of their address."""

    def __init__(self, *, reactor, log: EventLog):
        self._reactor = reactor
        self._log = log
        self._ports: dict[str, object] = {}
        self._sites: dict[str, DrainableSite] = {}

    def listen(
        self,
        address: str,
        factory: Factory,
        *,
        key: str,
        opened: socket.socket | None = None,
    ) -> None:
        """Listen on an address; `SettingsError` names the key if it is in use.

        `opened` is a socket that listens there already and is used instead of a new
        one, if its address is still the wanted one.
        """
        host, port = host_and_port(address)
        if opened is not None and opened.getsockname() == (host, port):
            self._ports[key] = self._reactor.adoptStreamPort(
                opened.fileno(), socket.AF_INET, factory
            )
            opened.close()
            return
        if opened is not None:
            opened.close()
        try:
            listening_port = self._reactor.listenTCP(
                port, factory, backlog=LISTEN_BACKLOG, interface=host
            )
        except CannotListenError as error:
            raise SettingsError(
                code=ErrorCode.ADDRESS_IN_USE, key=key, detail=str(error)
            )
        self._ports[key] = listening_port

    def listen_http(self, address: str, resource, *, key: str, **options) -> None:
        """Serve a resource over HTTP on an address.

        `options` are those of `DrainableSite`.
        """
        site = make_site(resource, **options)
        self.listen(address, site, key=key)
        self._sites[key] = site

    def hold(self, key: str) -> None:
        """Accept no connection on an address until `resume`; the kernel keeps them."""
        self._ports[key].stopReading()

    def resume(self, key: str) -> None:
        """Accept connections again. A key that is not open is ignored."""
        listening_port = self._ports.get(key)
        if listening_port is not None:
            listening_port.startReading()

    def has_waiting(self, key: str) -> bool:
        """Whether connections wait to be accepted on an address.

        Timers run before sockets are read, so that callers may have connected, and sent
        requests, while the process was busy.
        """
        listening_port = self._ports.get(key)
        return listening_port is not None and has_unread(listening_port)

    async def read_arrived(self, key: str) -> None:
        """Accept the connections that wait on an address and read what has arrived.

        Signals and timers are handled before sockets are read: after a pause of this
        process, callers may have sent requests before the signal of a stop.
        """
        listening_port = self._ports.get(key)
        if listening_port is not None:
            _accept_waiting(listening_port)
        for _ in range(READ_PASSES):
            await deferLater(self._reactor, 0)

    async def close(self, key: str) -> None:
        """Accept the connections that wait on an address, and none after them.

        It returns once the socket is closed. A key that is not open is ignored.
        """
        listening_port = self._ports.get(key)
        if listening_port is None:
            return
        try:
            drop_handshakes(listening_port.socket)
        except OSError as error:
            # A caller that connects at the last moment may be reset; the rest of the
            # stop does not depend on it.
            self._log.write(LogEvent.LISTENER_UNFILTERED, key=key, detail=str(error))
        await deferLater(self._reactor, HANDSHAKE_SECONDS)
        del self._ports[key]
        # Timers run before sockets are read, so that connections may still wait.
        self._reactor.callLater(0, _accept_waiting, listening_port)
        await maybeDeferred(listening_port.stopListening)

    async def close_http(self, key: str) -> None:
        """Serve what callers have begun to send, and close all their connections.

        Connections that wait to be accepted are accepted first. The wait for requests
        that are half sent, and for callers to read their responses, ends after
        `FLUSH_SECONDS`. A key that is not open is ignored.
        """
        site = self._sites.pop(key, None)
        if site is None:
            return
        accepts_until = self._reactor.seconds() + MIN_IDLE_SECONDS
        while self._reactor.seconds() < accepts_until:
            await deferLater(self._reactor, FLUSH_CHECK_SECONDS)
        await self.close(key)
        deadline = accepts_until + FLUSH_SECONDS
        while site.open_connections and self._reactor.seconds() < deadline:
            site.close_idle()
            await deferLater(self._reactor, FLUSH_CHECK_SECONDS)
        site.close_connections()


def _accept_waiting(listening_port) -> None:
    """Accept the connections that wait; one read accepts only some of them."""
    for _ in range(LISTEN_BACKLOG):
        if not has_unread(listening_port):
            return
        listening_port.doRead()


def start_unless_terminated(
    *, daemon, log: EventLog, signals: ProcessSignals = PROCESS_SIGNALS
) -> bool:
    """Start the daemon and return true, or false if a signal has ended it already.

    A signal that comes while the daemon starts waits for `run_until_drained`.
    """
    if signals.has_termination:
        log.write(LogEvent.START_CANCELLED)
        return False
    daemon.start()
    return True


def run_until_drained(
    *, reactor, daemon, log: EventLog, signals: ProcessSignals = PROCESS_SIGNALS
) -> None:
    """Run the daemon until a signal has drained it.

    Signals that came before are acted on first. A second interrupt from a terminal ends
    it at once; further terminations, which a supervisor may repeat, change nothing. A
    hangup signal reloads the settings if the daemon has a method for that, and changes
    nothing otherwise; several that wait reload them once.
    """
    terminations: list[signal.Signals] = []
    is_stopped = False

    def act_on_signals() -> None:
        taken = signals.take()
        try:
            if signal.SIGHUP in taken:
                reload()
        finally:
            for number in taken:
                if number != signal.SIGHUP:
                    drain_or_stop(number)

    def drain_or_stop(number: signal.Signals) -> None:
        terminations.append(number)
        if number == signal.SIGINT and terminations.count(number) == 2:
            log.write(LogEvent.DRAIN_CUT_SHORT)
            stop()
        elif len(terminations) == 1:
            log.write(LogEvent.DRAIN_STARTED)
            draining = Deferred.fromCoroutine(daemon.drain())
            draining.addBoth(finish)

    def finish(result) -> None:
        if isinstance(result, Failure):
            log.write(LogEvent.INTERNAL_FAULT, detail=repr(result.value))
        log.write(LogEvent.DRAIN_FINISHED)
        stop()

    def stop() -> None:
        nonlocal is_stopped
        if not is_stopped:
            is_stopped = True
            signals.ignore()
            reactor.stop()

    def ignore_hangup() -> None:
        log.write(LogEvent.SETTINGS_KEPT)

    reload = getattr(daemon, "reload", ignore_hangup)
    signals.set_listener(lambda: reactor.callFromThread(act_on_signals))
    reactor.run(installSignalHandlers=False)
    # The interpreter collects garbage once more when it exits; it skips what is frozen.
    gc.freeze()
