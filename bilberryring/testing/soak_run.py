"""Runs a soak: real gateways, scripted endpoints, callers, and a schedule of faults."""

import json
import threading
import time
from collections.abc import Callable
from dataclasses import replace

from bilberryring.platform import names
from bilberryring.standins.gateway_site import GatewaySite
from bilberryring.testing import soak_faults as faults
from bilberryring.testing.processes import (
    START_TIMEOUT_SECONDS,
    pause,
    wait_until,
)
from bilberryring.testing.relay import RouteMode
from bilberryring.testing.soak_callers import (
    N_CALLERS,
    PLANNED_HABITS,
    CallerHabits,
    SoakCaller,
    SoakSite,
)
from bilberryring.testing.soak_checks import (
    GRACE_SECONDS,
    STORE,
    gateway_name,
    store_link_name,
)
from bilberryring.testing.soak_faults import (
    OddEntryKind,
    ScheduledFault,
    SoakFleet,
    StoreFaultKind,
)
from bilberryring.testing.soak_fleet import EndpointFleet, SoakRelay, fault_seconds
from bilberryring.testing.soak_queue import ActionQueue
from bilberryring.testing.soak_records import (
    LogRecord,
    OutRecord,
    PublishedRecord,
    SoakConfiguration,
    SoakRecords,
)

READY_INTERVAL_SECONDS = 0.5
MISSED_PROBES = 2
RESTART_SECONDS = 0.3
POLL_SECONDS = 0.05
WRITE_AGAIN_SECONDS = 0.7
"""Seconds after which what a restored store has lost is written again."""
MAX_CLOSING_SECONDS = 12.0
NESTING = 100_000
STORE_MODES = {
    StoreFaultKind.REFUSING: {"refusing": True},
    StoreFaultKind.SILENT: {"silent": True},
    StoreFaultKind.SLOW: {"delay_seconds": 0.4},
}


class Soak:
    """A run of one schedule; `run` returns what was recorded.

    `rate` is the number of requests per second that all callers send together, and
    `is_planned` whether the schedule has planned work alone.
    """

    def __init__(
        self,
        *,
        schedule: tuple[ScheduledFault, ...],
        seconds: float,
        seed: int,
        fleet: SoakFleet,
        rate: float,
        is_planned: bool = False,
    ):
        self._schedule = schedule
        self._seconds = seconds
        self._seed = seed
        self._fleet = fleet
        self._rate = rate
        self._records = SoakRecords(is_planned=is_planned)
        self._site = GatewaySite(
            gateways=fleet.gateways,
            retry_slack=self._records.retry_slack,
            retry_ratio=self._records.retry_ratio,
            grace=GRACE_SECONDS,
        )
        self._shared = SoakSite(site=self._site)
        self._queue = ActionQueue()
        self._configuration = SoakConfiguration()
        self._relay: SoakRelay | None = None
        self._endpoints: EndpointFleet | None = None
        self._store_addresses: dict[int, str] = {}
        self._busy: set[str] = set()
        self._domains_out: set[str] = set()
        self._skipped: list[int] = []

    @property
    def skipped(self) -> tuple[int, ...]:
        """The numbers of faults whose target was down or already disrupted."""
        return tuple(self._skipped)

    def run(self) -> SoakRecords:
        """Run the schedule and return the records of it."""
        self._site.start()
        try:
            self._start()
            callers = self._start_callers()
            for scheduled in self._schedule:
                inject = lambda s=scheduled: self._inject(s.number, s.fault)
                self._queue.call_later(scheduled.at, inject)
            end_at = time.monotonic() + self._seconds
            self._work_while(lambda: time.monotonic() < end_at, self._seconds)
            self._shared.is_over.set()
            self._work_while(lambda: any(caller.is_alive() for caller in callers))
            names = {gateway_name(number) for number in self._shared.incarnations}
            self._work_while(lambda: self._busy & names)
            self._stop_gateways()
            self._records.runs = self._endpoints.ledger.runs
            return self._records
        finally:
            self._shared.is_over.set()
            if self._endpoints is not None:
                self._endpoints.close()
            self._site.stop()

    def _start(self) -> None:
        relay = self._site.start_process("relay", ["bilberryring.testing.main"])
        self._relay = SoakRelay(address=f"127.0.0.1:{relay.listening_port()}")
        self._endpoints = EndpointFleet(
            site=self._site,
            queue=self._queue,
            records=self._records,
            relay=self._relay,
            seed=self._seed,
        )
        self._publish(self._configuration)
        for plan in self._fleet.endpoints:
            self._endpoints.start(plan, plan.name)
        self._site.save_store()
        numbers = range(1, self._fleet.gateways + 1)
        for number in numbers:
            self._shared.incarnations[number] = 1
            self._store_addresses[number] = self._relay.add(
                store_link_name(number), self._site.store_address
            )
            self._start_gateway(number)
        wait_until(
            lambda: all(self._site.is_ready(number) for number in numbers),
            START_TIMEOUT_SECONDS,
            "the gateways to be ready",
        )
        for number in numbers:
            self._shared.in_rotation.add(number)
            threading.Thread(target=self._probe, args=(number,), daemon=True).start()
        self._endpoints.send_heartbeats()

    def _start_gateway(self, number: int) -> None:
        address = self._store_addresses[number]
        self._site.start_gateway(number, is_awaited=False, store_address=address)

    def _start_callers(self) -> list[SoakCaller]:
        habits = PLANNED_HABITS if self._records.is_planned else CallerHabits()
        callers = [
            SoakCaller(
                shared=self._shared,
                calls=self._records.calls,
                seed=f"{self._seed} {number}",
                interval=N_CALLERS / self._rate,
                habits=habits,
            )
            for number in range(N_CALLERS)
        ]
        for caller in callers:
            caller.start()
        return callers

    def _probe(self, number: int) -> None:
        """Keep a gateway in rotation unless it misses probes, as the platform does."""
        n_missed = 0
        while not self._shared.is_over.is_set():
            n_missed = 0 if self._site.is_ready(number) else n_missed + 1
            if n_missed == 0:
                self._shared.in_rotation.add(number)
            elif n_missed >= MISSED_PROBES:
                self._shared.in_rotation.discard(number)
            pause(READY_INTERVAL_SECONDS)

    def _work_while(
        self,
        condition: Callable[[], object],
        max_seconds: float = MAX_CLOSING_SECONDS,
    ) -> None:
        """Inject what is due for as long as a condition is true."""
        end_at = time.monotonic() + max_seconds
        while condition() and time.monotonic() < end_at:
            self._queue.run_due()
            self._watch_processes()
            pause(POLL_SECONDS)

    def _watch_processes(self) -> None:
        for number in self._shared.incarnations:
            name = gateway_name(number)
            if name in self._busy or self._site.process(name).is_running:
                continue
            now = time.monotonic()
            self._records.own_ends.append((number, now))
            self._busy.add(name)
            self._records.add_fault(0, "own end", name)
            self._restart(number)

    def _inject(self, number: int, fault: faults.Fault) -> None:
        endpoints, records = self._endpoints, self._records
        match fault:
            case faults.EndpointSilence():
                endpoints.silence(number, fault)
            case faults.EndpointFailure():
                endpoints.fail(number, fault)
            case faults.EndpointDeparture():
                self._reserve(number, fault, fault.endpoint, endpoints.leave)
            case faults.EndpointCrash():
                self._reserve(number, fault, fault.endpoint, endpoints.crash)
            case faults.LinkFault():
                name = f"link {fault.endpoint}"
                self._reserve(number, fault, name, endpoints.disrupt_link)
            case faults.GatewayTermination():
                name = gateway_name(fault.gateway)
                self._reserve(number, fault, name, self._terminate)
            case faults.GatewayKill():
                name = gateway_name(fault.gateway)
                self._reserve(number, fault, name, self._kill)
            case faults.GatewayPause():
                name = gateway_name(fault.gateway)
                self._reserve(number, fault, name, self._suspend)
            case faults.GatewayReload() if records.is_planned:
                self._reload_at_any_time(number, fault)
            case faults.GatewayReload():
                name = gateway_name(fault.gateway)
                self._reserve(number, fault, name, self._reload)
            case faults.StoreFault():
                self._reserve(number, fault, STORE, self._disrupt_store)
            case faults.StoreLinkFault():
                name = store_link_name(fault.gateway)
                self._reserve(number, fault, name, self._disrupt_store_link)
            case faults.Evacuation():
                name = f"domain {fault.domain}"
                self._reserve(number, fault, name, self._evacuate)
            case faults.ConfigurationChange():
                records.add_fault(number, fault, is_planned=True)
                for place, kind in enumerate(fault.kinds):
                    change = lambda k=kind: self._publish(
                        self._configuration.changed(k)
                    )
                    self._queue.call_later(place * fault.interval, change)
            case faults.OddEntry():
                records.add_fault(number, fault, seconds=fault.seconds)
                key = f"servers/odd-{number}"
                self._site.put(key, odd_entry(fault.kind))
                self._queue.call_later(fault.seconds, lambda: self._site.remove(key))

    def _reserve(self, number: int, fault: faults.Fault, name: str, inject) -> None:
        """Inject a fault unless its target has one of this kind already."""
        if name in self._busy:
            self._skipped.append(number)
            return
        self._busy.add(name)
        inject(number, fault, lambda: self._busy.discard(name))

    def _terminate(
        self, number: int, fault: faults.GatewayTermination, done: Callable[[], None]
    ) -> None:
        began_at = time.monotonic()
        name = gateway_name(fault.gateway)
        process = self._site.process(name)
        process.terminate()

        def look() -> None:
            if process.is_running and time.monotonic() < began_at + GRACE_SECONDS:
                self._queue.call_later(POLL_SECONDS, look)
                return
            self._record_failed_stop(fault.gateway)
            self._records.add_fault(
                number, fault, name, began_at=began_at, is_planned=True
            )
            self._restart(fault.gateway)

        look()

    def _kill(
        self, number: int, fault: faults.GatewayKill, done: Callable[[], None]
    ) -> None:
        name = gateway_name(fault.gateway)
        self._records.add_fault(number, fault, name, seconds=RESTART_SECONDS)
        self._site.process(name).kill()
        self._restart(fault.gateway)

    def _restart(self, gateway: int) -> None:
        """Keep the log of a gateway that has ended, and start it again."""
        self._keep_log(gateway)
        name = gateway_name(gateway)

        def start() -> None:
            self._shared.incarnations[gateway] += 1
            self._start_gateway(gateway)
            self._records.add_fault(0, "start", name, is_planned=True)
            self._busy.discard(name)

        self._queue.call_later(RESTART_SECONDS, start)

    def _keep_log(self, gateway: int) -> None:
        process = self._site.process(gateway_name(gateway))
        has_exited = not process.is_running and process.exit_status == 0
        if process.is_running:
            process.kill()
        self._records.logs.append(
            LogRecord(
                gateway=gateway,
                incarnation=self._shared.incarnations[gateway],
                has_exited=has_exited,
                lines=self._site.log_lines(gateway),
            )
        )

    def _suspend(
        self, number: int, fault: faults.GatewayPause, done: Callable[[], None]
    ) -> None:
        began_at = time.monotonic()
        name = gateway_name(fault.gateway)
        process = self._site.process(name)
        process.suspend()

        def resume() -> None:
            process.resume()
            self._records.add_fault(number, fault, name, began_at=began_at)
            done()

        self._queue.call_later(fault.seconds, resume)

    def _reload(
        self, number: int, fault: faults.GatewayReload, done: Callable[[], None]
    ) -> None:
        self._records.add_fault(number, fault, is_planned=True)
        self._site.touch_settings(fault.gateway)
        self._site.process(gateway_name(fault.gateway)).send_sighup()
        done()

    def _reload_at_any_time(self, number: int, fault: faults.GatewayReload) -> None:
        """Reload a gateway, also one that is being stopped."""
        if not self._site.process(gateway_name(fault.gateway)).is_running:
            self._skipped.append(number)
            return
        self._reload(number, fault, lambda: None)

    def _stop_gateways(self) -> None:
        """Stop all gateways as planned and keep their logs."""
        numbers = tuple(self._shared.incarnations)
        processes = [self._site.process(gateway_name(number)) for number in numbers]
        for process in processes:
            process.terminate()
        end_at = time.monotonic() + GRACE_SECONDS
        while time.monotonic() < end_at and any(p.is_running for p in processes):
            pause(POLL_SECONDS)
        for number in numbers:
            self._record_failed_stop(number)
            self._keep_log(number)

    def _record_failed_stop(self, gateway: int) -> None:
        """Record it if a gateway that was stopped has ended with an error."""
        process = self._site.process(gateway_name(gateway))
        if not process.is_running and process.exit_status != 0:
            self._records.own_ends.append((gateway, time.monotonic()))

    def _publish(self, configuration: SoakConfiguration) -> None:
        sent_at = time.monotonic()
        self._configuration = configuration
        self._site.publish(configuration.published_form())
        self._shared.idle_limit = configuration.idle_timeout_ms / 1_000.0
        self._records.published.append(
            PublishedRecord(
                configuration=configuration,
                sent_at=sent_at,
                acknowledged_at=time.monotonic(),
            )
        )

    def _disrupt_store(
        self, number: int, fault: faults.StoreFault, done: Callable[[], None]
    ) -> None:
        seconds = max(fault.seconds, WRITE_AGAIN_SECONDS)
        # The store may drop its history at any time, which excuses nothing.
        targets = () if fault.kind is StoreFaultKind.FORGETFUL else (STORE,)
        self._records.add_fault(number, fault, *targets, seconds=seconds)
        match fault.kind:
            case StoreFaultKind.FORGETFUL:
                self._site.drop_history()
            case StoreFaultKind.RESTORED:
                self._site.restore_store()
                self._queue.call_later(WRITE_AGAIN_SECONDS, self._write_again)
            case _:
                self._site.set_store_mode(**STORE_MODES[fault.kind])

        def end() -> None:
            self._site.set_store_mode()
            done()

        self._queue.call_later(seconds, end)

    def _disrupt_store_link(
        self, number: int, fault: faults.StoreLinkFault, done: Callable[[], None]
    ) -> None:
        name = store_link_name(fault.gateway)
        seconds = fault_seconds(fault)
        self._records.add_fault(number, fault, name, seconds=seconds)
        self._relay.disrupt(name, fault.kind)

        def end() -> None:
            self._relay.set_mode(RouteMode(name=name))
            done()

        self._queue.call_later(seconds, end)

    def _write_again(self) -> None:
        """Write all that the store lost, as operators and endpoints do."""
        version = self._configuration.version + 1
        self._publish(replace(self._configuration, version=version))
        self._endpoints.write_again()
        for domain in faults.DOMAINS:
            if domain in self._domains_out:
                self._site.put(f"{names.EVACUATION_PREFIX}{domain}", b"{}")
            else:
                self._site.remove(f"{names.EVACUATION_PREFIX}{domain}")
        self._site.save_store()

    def _evacuate(
        self, number: int, fault: faults.Evacuation, done: Callable[[], None]
    ) -> None:
        key = f"{names.EVACUATION_PREFIX}{fault.domain}"
        self._records.add_fault(number, fault, seconds=fault.seconds, is_planned=True)
        self._site.put(key, b"{}")
        self._domains_out.add(fault.domain)
        now = time.monotonic()
        self._records.evacuations.append(
            OutRecord(
                name=fault.domain, acknowledged_at=now, ended_at=now + fault.seconds
            )
        )

        def end() -> None:
            self._site.remove(key)
            self._domains_out.discard(fault.domain)
            done()

        self._queue.call_later(fault.seconds, end)


def odd_entry(kind: OddEntryKind) -> bytes:
    """Return the value of an odd entry.

    >>> odd_entry(OddEntryKind.BYTES)
    b'\\xff\\xfe{"service'
    """
    entry = {"service": "orders", "address": "127.0.0.1:9", "zone": "north"}
    entry |= {"version": "v1", "slots": 8, "state": "ready", "sequence": 1}
    match kind:
        case OddEntryKind.NESTED:
            return b'{"service":"orders","more":' + b"[" * NESTING + b"]" * NESTING
        case OddEntryKind.NUMBER:
            numbers = {"slots": "NUMBER", "cold_remaining_ms": "NUMBER"}
            return json.dumps(entry | numbers).replace('"NUMBER"', "9" * 400).encode()
        case OddEntryKind.PORT:
            return json.dumps(entry | {"address": "127.0.0.1:99999"}).encode()
        case OddEntryKind.BYTES:
            return b'\xff\xfe{"service'
        case OddEntryKind.TYPES:
            return json.dumps(entry | {"slots": [8], "state": {}, "born": "x"}).encode()
