"""The endpoints of a soak with their relays and announcements, and their faults."""

import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from bilberryring.standins.gateway_site import GatewaySite
from bilberryring.standins.loopback import process_network
from bilberryring.testing import soak_faults as faults
from bilberryring.testing.platform_control import send_request
from bilberryring.testing.relay import Route, RouteMode
from bilberryring.testing.soak_endpoints import RunLedger, SoakEndpoint
from bilberryring.testing.soak_faults import EndpointPlan, LinkFaultKind
from bilberryring.testing.soak_queue import ActionQueue
from bilberryring.testing.soak_records import EXIT, OutRecord, SoakRecords

HEARTBEAT_SECONDS = 1.0
SILENT_LINK_SECONDS = 5.0
"""Added to the time for which connections are silent, which then outlasts deadlines."""
LINK_MODES = {
    LinkFaultKind.DELAY: {"hold_to_target": True, "hold_to_caller": True},
    LinkFaultKind.HOLD_REQUESTS: {"hold_to_target": True},
    LinkFaultKind.HOLD_ANSWERS: {"hold_to_caller": True},
    LinkFaultKind.CUT: {"cut": True},
    LinkFaultKind.SILENT: {"silence_open": True},
}


@dataclass(slots=True, kw_only=True)
class _RunningEndpoint:
    """An endpoint with the address and the name of its relay's route."""

    endpoint: SoakEndpoint
    address: str
    route: str
    sequence: int = 1
    state: str = "ready"
    is_announced: bool = True


class SoakRelay:
    """Adds routes to a relay process and disrupts their connections."""

    def __init__(self, *, address: str):
        self._address = address

    def add(self, name: str, target: str) -> str:
        """Add a route to a target and return the address that leads there."""
        address = process_network().allocate()
        route = Route(name=name, listen=address, target=target)
        self._send("/routes", route)
        return address

    def disrupt(self, name: str, kind: LinkFaultKind) -> None:
        """Disrupt the connections of a route until its next mode is set."""
        self.set_mode(RouteMode(name=name, **LINK_MODES[kind]))

    def set_mode(self, mode: RouteMode) -> None:
        """Set the mode of a route; without faults it ends those that it has."""
        self._send("/modes", mode)

    def _send(self, path: str, body: msgspec.Struct) -> None:
        send_request("POST", self._address, path, msgspec.json.encode(body))


def fault_seconds(fault: faults.LinkFault | faults.StoreLinkFault) -> float:
    """Return how long a disruption of connections lasts."""
    is_silent = fault.kind is LinkFaultKind.SILENT
    return fault.seconds + (SILENT_LINK_SECONDS if is_silent else 0.0)


class EndpointFleet:
    """Starts endpoints and injects faults into them and into their connections.

    Faults that end later take `done`, which is called
    then.
    """

    def __init__(
        self,
        *,
        site: GatewaySite,
        queue: ActionQueue,
        records: SoakRecords,
        relay: SoakRelay,
        seed: int,
    ):
        self._site = site
        self._queue = queue
        self._records = records
        self._relay = relay
        self._seed = seed
        self._ledger = RunLedger()
        self._running: dict[str, _RunningEndpoint] = {}
        self._route_numbers = itertools.count(1)

    @property
    def ledger(self) -> RunLedger:
        """The arrivals at all endpoints."""
        return self._ledger

    def start(self, plan: EndpointPlan, instance: str) -> None:
        """Start an endpoint, with a new relay, and announce it under an id."""
        endpoint = SoakEndpoint(
            plan=plan, instance=instance, ledger=self._ledger, seed=self._seed
        )
        route = f"{instance} {next(self._route_numbers)}"
        address = self._relay.add(route, endpoint.address)
        running = _RunningEndpoint(endpoint=endpoint, address=address, route=route)
        self._running[plan.name] = running
        self._announce(running)

    def close(self) -> None:
        """Stop all endpoints."""
        for running in self._running.values():
            running.endpoint.close()

    def send_heartbeats(self) -> None:
        """Announce all endpoints from now on at each interval."""
        for running in self._running.values():
            running.sequence += 1
            self._announce(running)
        self._queue.call_later(HEARTBEAT_SECONDS, self.send_heartbeats)

    def write_again(self) -> None:
        """Write what a store has lost that was restored from a copy."""
        current = {running.endpoint.instance for running in self._running.values()}
        for running in self._running.values():
            if not running.is_announced:
                self._site.remove(f"servers/{running.endpoint.instance}")
            self._announce(running)
        for out in self._records.departures:
            if out.name not in current:
                self._site.remove(f"servers/{out.name}")

    def silence(self, number: int, fault: faults.EndpointSilence) -> None:
        """Let endpoints fall silent, which is no excuse for a lost answer."""
        for name in fault.endpoints:
            self._running[name].endpoint.fall_silent(fault.place, fault.seconds)
        self._records.add_fault(
            number, fault, *fault.endpoints, seconds=fault.seconds, is_planned=True
        )

    def fail(self, number: int, fault: faults.EndpointFailure) -> None:
        """Let endpoints fail some requests, which excuses no answer to the others."""
        for name in fault.endpoints:
            self._running[name].endpoint.fail(fault.kind, fault.seconds)
        self._records.add_fault(
            number, fault, *fault.endpoints, seconds=fault.seconds, is_planned=True
        )

    def leave(
        self, number: int, fault: faults.EndpointDeparture, done: Callable[[], None]
    ) -> None:
        """Let an endpoint leave and come back under another id."""
        running = self._running[fault.endpoint]
        if fault.is_announced:
            running.state = "draining"
            self._announce(running)
        else:
            self._withdraw(running)
        out = OutRecord(
            name=running.endpoint.instance, acknowledged_at=time.monotonic()
        )
        self._records.departures.append(out)
        self._records.add_fault(number, fault, fault.endpoint, is_planned=True)

        def end() -> None:
            self._withdraw(running)
            began_at = time.monotonic()
            self._end(running)
            self._records.add_fault(number, EXIT, fault.endpoint, began_at=began_at)
            self.start(running.endpoint.plan, f"{fault.endpoint}-{number}")
            done()

        self._queue.call_later(fault.seconds, end)

    def crash(
        self, number: int, fault: faults.EndpointCrash, done: Callable[[], None]
    ) -> None:
        """Let an endpoint crash and start again under its id."""
        running = self._running[fault.endpoint]
        running.is_announced = False
        self._records.add_fault(number, fault, fault.endpoint, seconds=fault.seconds)
        self._end(running)

        def restart() -> None:
            self.start(running.endpoint.plan, running.endpoint.instance)
            done()

        self._queue.call_later(fault.seconds, restart)

    def disrupt_link(
        self, number: int, fault: faults.LinkFault, done: Callable[[], None]
    ) -> None:
        """Disrupt the connections to an endpoint."""
        seconds = fault_seconds(fault)
        self._records.add_fault(number, fault, fault.endpoint, seconds=seconds)
        route = self._running[fault.endpoint].route
        self._relay.disrupt(route, fault.kind)

        def end() -> None:
            self._relay.set_mode(RouteMode(name=route))
            done()

        self._queue.call_later(seconds, end)

    def _announce(self, running: _RunningEndpoint) -> None:
        if not running.is_announced:
            return
        endpoint = running.endpoint
        self._site.announce(
            endpoint.instance,
            running.address,
            service=endpoint.plan.service,
            zone=endpoint.plan.domain,
            state=running.state,
            sequence=running.sequence,
            born=endpoint.born_ms,
        )

    def _withdraw(self, running: _RunningEndpoint) -> None:
        running.is_announced = False
        self._site.remove(f"servers/{running.endpoint.instance}")

    def _end(self, running: _RunningEndpoint) -> None:
        """Close an endpoint and let its address refuse connections."""
        self._relay.set_mode(RouteMode(name=running.route, refuse=True))
        running.endpoint.close()
