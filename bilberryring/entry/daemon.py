"""The entry: it answers callers, and decides for their requests alone."""

from functools import partial

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall, deferLater

from bilberryring.adapters import PlatformError, PlatformReader
from bilberryring.core import new_incarnation
from bilberryring.entry.caller_site import CallerSite
from bilberryring.entry.entry_state import EntryState
from bilberryring.entry.explain import explain_prompt
from bilberryring.entry.sidecar_links import SidecarLinks
from bilberryring.http import HttpClient
from bilberryring.objects import ModelEndpoint, ObjectSet
from bilberryring.process.configuration import ConfigurationTask
from bilberryring.process.explanations import ExplainQuery
from bilberryring.process.operator_site import (
    EndpointStatus,
    ProcessStatus,
    health_children,
    operator_resource,
    refused_statuses,
)
from bilberryring.process.running import Listeners
from bilberryring.process.settings import EntrySettings
from bilberryring.routing import tracked_endpoints
from bilberryring.telemetry import EventLog, LogEvent, Metrics
from bilberryring.wire import Hello

ROLE = "entry"
SIDECAR_ROLE = "sidecar"
DRAIN_CHECK_SECONDS = 0.1
LIST_SECONDS = 10.0
FIRST_PEERS = 5
FORGET_CHECK_SECONDS = 30.0


class EntryDaemon:
    """Wires the tasks of one entry together."""

    def __init__(self, *, reactor, settings: EntrySettings, log: EventLog):
        self._reactor = reactor
        self._settings = settings
        self._log = log
        self._incarnation = new_incarnation()
        self._metrics = Metrics()
        self._listeners = Listeners(reactor=reactor)
        self._platform = PlatformReader(
            client=HttpClient(reactor=reactor, base=settings.platform_url),
            reader=settings.process,
        )
        self._configuration = ConfigurationTask(
            reactor=reactor,
            platform=self._platform,
            log=log,
            failure_domain=settings.failure_domain,
            endpoint=None,
            on_change=self._set_changed,
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
        self._state = EntryState(
            reactor=reactor,
            log=log,
            metrics=self._metrics,
            configuration=self._configuration,
            links=self._links,
        )
        self._is_ready_logged = False
        self._is_leaving = False
        self._list_loop = LoopingCall(self._read_list_soon)
        self._list_loop.clock = reactor
        self._track_loop = LoopingCall(self._track)
        self._track_loop.clock = reactor

    def start(self) -> None:
        """Bind the addresses and begin."""
        root = CallerSite(state=self._state).resource()
        health_children(root, is_ready=self._is_ready)
        self._listeners.listen_http(
            self._settings.caller_address, root, key="caller_address"
        )
        operators = operator_resource(
            status=self._status, metrics=self._metrics, is_ready=self._is_ready
        )
        operators.putChild(
            b"explain", ExplainQuery(explain=partial(explain_prompt, self._state))
        )
        self._listeners.listen_http(
            self._settings.operator_address, operators, key="operator_address"
        )
        self._configuration.start()
        self._list_loop.start(LIST_SECONDS)
        self._track_loop.start(FORGET_CHECK_SECONDS, now=False)
        self._log.write(LogEvent.PROCESS_STARTED, incarnation=self._incarnation)

    async def drain(self) -> None:
        """Leave the balancer, then refuse new work and end what runs.

        Readiness fails first, and new requests are still taken for as long as
        the balancer needs to see it.
        """
        self._is_leaving = True
        await deferLater(self._reactor, self._settings.leave_balancer_seconds)
        self._state.begin_drain()
        until = self._reactor.seconds() + self._settings.drain_seconds
        while self._state.in_progress:
            if self._reactor.seconds() >= until:
                self._log.write(LogEvent.DRAIN_TIMED_OUT, left=self._state.in_progress)
                return
            await deferLater(self._reactor, DRAIN_CHECK_SECONDS)
        await self._listeners.close_http("caller_address")

    def _is_ready(self) -> bool:
        objects = self._configuration.objects
        if objects is None or self._is_leaving:
            return False
        return self._has_live_endpoint()

    def _has_live_endpoint(self) -> bool:
        return any(
            self._links.standing(name).takes_new_work for name in self._links.names
        )

    def _set_changed(self, objects: ObjectSet) -> None:
        self._track()
        if not self._is_ready_logged:
            self._is_ready_logged = True
            self._log.write(LogEvent.PROCESS_READY)

    def _track(self) -> None:
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

    def _read_list_soon(self) -> None:
        Deferred.fromCoroutine(self._read_list())

    async def _read_list(self) -> None:
        """Read the VM list: who is leaving, and peers to ask at the start."""
        try:
            vms = await self._platform.vms()
        except PlatformError:
            return
        sidecars = [vm for vm in vms if vm.role == SIDECAR_ROLE]
        self._links.set_listed_leaving(
            frozenset(vm.address for vm in sidecars if vm.state == "leaving")
        )
        if self._configuration.objects is None:
            for vm in sidecars[:FIRST_PEERS]:
                self._links.ensure(vm.name, _candidate(vm.name, vm.address))

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


def _candidate(name: str, address: str) -> ModelEndpoint:
    """Return a stand-in object for a listed sidecar, to ask it for its set."""
    return ModelEndpoint(
        name=name, failure_domain="unknown", sidecar=address, versions=()
    )
