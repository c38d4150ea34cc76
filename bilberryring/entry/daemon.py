"""The entry daemon, which answers callers.

Each entry decides about its own requests without coordinating with other entries.
"""

from functools import partial

from twisted.internet.task import deferLater

from bilberryring.adapters import PlatformError, PlatformReader
from bilberryring.core import new_incarnation
from bilberryring.entry.caller_channel import CALLER_LIMITS, EntryChannel
from bilberryring.entry.caller_site import CallerSite
from bilberryring.entry.entry_state import EntryState
from bilberryring.entry.explain import explain_prompt
from bilberryring.entry.head_checks import entry_head_check
from bilberryring.entry.sidecar_links import SidecarLinks
from bilberryring.entry.start_wait import StartWait
from bilberryring.http import HttpClient, make_client_budget
from bilberryring.objects import ModelEndpoint, ObjectSet
from bilberryring.process.allocator import return_large_blocks
from bilberryring.process.client_budget_report import (
    UPDATE_SECONDS,
    ClientBudgetReport,
)
from bilberryring.process.configuration import ConfigurationTask
from bilberryring.process.explanations import ExplainQuery
from bilberryring.process.late_reading import read_arrived
from bilberryring.process.loops import make_loop, start_task
from bilberryring.process.operator_site import (
    EndpointStatus,
    ProcessStatus,
    add_health_resources,
    operator_listener,
    operator_resource,
)
from bilberryring.process.refused_sets import refused_statuses
from bilberryring.process.running import Listeners
from bilberryring.process.settings import EntrySettings
from bilberryring.routing.subset import tracked_endpoints
from bilberryring.telemetry import EventLog, LogEvent, Metrics
from bilberryring.wire import Hello

ROLE = "entry"
SIDECAR_ROLE = "sidecar"
DRAIN_CHECK_SECONDS = 0.1
VM_LIST_INTERVAL_SECONDS = 10.0
MAX_STARTUP_PEERS = 5
TRACK_INTERVAL_SECONDS = 30.0


class EntryDaemon:
    """Creates and connects the tasks of one entry process."""

    def __init__(self, *, reactor, settings: EntrySettings, log: EventLog):
        self._reactor = reactor
        self._settings = settings
        self._log = log
        self._incarnation = new_incarnation()
        self._metrics = Metrics()
        self._listeners = Listeners(reactor=reactor, log=log)
        self._platform = PlatformReader(
            client=HttpClient(reactor=reactor, base_url=settings.platform_url),
            reader=settings.process,
        )
        self._configuration = ConfigurationTask(
            reactor=reactor,
            platform=self._platform,
            log=log,
            failure_domain=settings.failure_domain,
            endpoint=None,
            on_change=self._on_set_changed,
        )
        self._client_budget = make_client_budget(
            clock=reactor,
            largest_request_bytes=CALLER_LIMITS.max_body_bytes,
            memory_bytes=settings.memory_bytes,
            max_descriptors=settings.max_descriptors,
            connects_to_endpoints=False,
        )
        self._links = SidecarLinks(
            reactor=reactor,
            log=log,
            failure_domain=settings.failure_domain,
            hello=Hello(
                process=settings.process,
                role=ROLE,
                failure_domain=settings.failure_domain,
                incarnation=self._incarnation,
            ),
            configuration=self._configuration,
        )
        self._start_wait = StartWait(reactor=reactor, links=self._links, log=log)
        self._state = EntryState(
            reactor=reactor,
            log=log,
            metrics=self._metrics,
            configuration=self._configuration,
            links=self._links,
        )
        self._caller_site = CallerSite(state=self._state)
        report = ClientBudgetReport(
            clock=reactor, budget=self._client_budget, metrics=self._metrics, log=log
        )
        self._budget_loop = make_loop(reactor=reactor, work=report.update, log=log)
        self._is_ready_logged = False
        self._is_leaving = False
        self._unreadable_vms = 0
        self._vm_list_loop = make_loop(
            reactor=reactor, work=self._start_vm_list_read, log=log
        )
        self._track_loop = make_loop(
            reactor=reactor, work=self._update_tracking, log=log
        )

    def start(self) -> None:
        """Bind the listening addresses and start the periodic tasks."""
        root = self._caller_site.resource()
        add_health_resources(root, is_ready=self._is_ready)
        self._listeners.listen_http(
            self._settings.caller_address,
            root,
            key="caller_address",
            channel=EntryChannel,
            limits=CALLER_LIMITS,
            on_refused=lambda code: self._log.write(
                LogEvent.CALLER_REFUSED, code=code.value
            ),
            check_head=entry_head_check(self._caller_site),
            client_budget=self._client_budget,
        )
        operators = operator_resource(
            status=self._status, metrics=self._metrics, is_ready=self._is_ready
        )
        operators.putChild(
            b"explain", ExplainQuery(explain=partial(explain_prompt, self._state))
        )
        self._listeners.listen_http(
            self._settings.operator_address,
            operators,
            key="operator_address",
            **operator_listener(self._client_budget),
        )
        return_large_blocks()
        self._budget_loop.start(UPDATE_SECONDS)
        self._configuration.start()
        self._vm_list_loop.start(VM_LIST_INTERVAL_SECONDS)
        self._track_loop.start(TRACK_INTERVAL_SECONDS, now=False)
        self._log.write(LogEvent.PROCESS_STARTED, incarnation=self._incarnation)

    async def drain(self) -> None:
        """Stop taking new requests and wait for those in progress.

        Readiness fails first. New requests are still accepted for
        `leave_balancer_seconds`, so that the load balancer can notice it. Those that
        have arrived by then are served, whether they have been read or not. Requests
        that are left when the drain time has passed get an error.
        """
        self._is_leaving = True
        await deferLater(self._reactor, self._settings.leave_balancer_seconds)
        await self._listeners.read_arrived("caller_address")
        self._state.begin_drain()
        until = self._reactor.seconds() + self._settings.drain_seconds
        while self._state.in_progress:
            if self._reactor.seconds() >= until:
                self._log.write(LogEvent.DRAIN_TIMED_OUT, left=self._state.in_progress)
                await read_arrived(
                    self._reactor, lambda: self._links.is_receiving, due_at=until
                )
                self._caller_site.end_all()
                break
            await deferLater(self._reactor, DRAIN_CHECK_SECONDS)
        await self._listeners.close_http("caller_address")

    def _is_ready(self) -> bool:
        objects = self._configuration.objects
        if objects is None or self._is_leaving:
            return False
        return self._has_live_endpoint() and self._start_wait.is_over()

    def _has_live_endpoint(self) -> bool:
        return any(
            self._links.standing(name).takes_new_work for name in self._links.names
        )

    def _on_set_changed(self, objects: ObjectSet) -> None:
        self._update_tracking()
        self._start_wait.begin(objects)
        if not self._is_ready_logged:
            self._is_ready_logged = True
            self._log.write(LogEvent.PROCESS_READY)

    def _update_tracking(self) -> None:
        objects = self._configuration.objects
        if objects is None:
            return
        self._links.track(
            tracked_endpoints(
                objects,
                entry=self._settings.process,
                per_model=self._settings.tracked_endpoints_per_model,
            )
        )

    def _start_vm_list_read(self) -> None:
        start_task(self._read_vm_list(), log=self._log)

    async def _read_vm_list(self) -> None:
        """Read the platform's VM list.

        It names the sidecars that are leaving. Until this process has a set of
        objects, the first `MAX_STARTUP_PEERS` sidecars are also linked, so that
        they can be asked for theirs.
        """
        try:
            listed = await self._platform.list_vms()
        except PlatformError:
            return
        if listed.n_unreadable != self._unreadable_vms:
            self._unreadable_vms = listed.n_unreadable
            self._log.write(LogEvent.VM_UNREADABLE, entries=listed.n_unreadable)
        sidecars = [vm for vm in listed.vms if vm.role == SIDECAR_ROLE]
        self._links.set_listed_leaving(
            frozenset(vm.address for vm in sidecars if vm.state == "leaving")
        )
        if self._configuration.objects is None:
            for vm in sidecars[:MAX_STARTUP_PEERS]:
                self._links.ensure_tracked(
                    vm.name, _temporary_endpoint(vm.name, vm.address)
                )

    def _status(self) -> ProcessStatus:
        sets = self._configuration.sets
        return ProcessStatus(
            process=self._settings.process,
            role=ROLE,
            failure_domain=self._settings.failure_domain,
            state="leaving" if self._is_leaving else "live",
            incarnation=self._incarnation,
            set_number=sets.number,
            set_digest=sets.digest,
            highest_seen=self._configuration.highest_seen,
            is_reader=self._configuration.is_reader,
            refused_sets=refused_statuses(sets.refused),
            in_progress=self._state.in_progress,
            links=len(self._links.names),
            endpoints=tuple(self._endpoint_status(name) for name in self._links.names),
            quarantined=self._links.deaths.quarantined(),
        )

    def _endpoint_status(self, name: str) -> EndpointStatus:
        record = self._links.record(name)
        return EndpointStatus(
            endpoint=name,
            failure_domain=record.endpoint.failure_domain,
            standing=self._links.standing(name).value,
            outstanding=record.outstanding,
            set_number=record.set_number,
        )


def _temporary_endpoint(name: str, address: str) -> ModelEndpoint:
    """Return a placeholder object, with which a listed sidecar can be linked."""
    return ModelEndpoint(
        name=name, failure_domain="unknown", sidecar=address, versions=()
    )
