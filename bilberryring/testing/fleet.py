"""A small fleet of real processes on loopback addresses, for tests and the demo."""

import contextlib
import json
import shutil
from dataclasses import replace

from bilberryring.objects import (
    CanonicalSet,
    DomainState,
    FailureDomain,
    ObjectSet,
    render_set,
)
from bilberryring.standins.loopback import LoopbackNetwork
from bilberryring.testing.caller import Caller
from bilberryring.testing.plan import (
    ENGINE_PREFIX,
    SERVICE_PREFIX,
    FleetPlan,
    build_objects,
    workspace_key,
)
from bilberryring.testing.platform_control import PlatformControl, send_request
from bilberryring.testing.processes import (
    ManagedProcess,
    scratch_directory,
    wait_until,
)

READY_TIMEOUT_SECONDS = 30.0


class Fleet:
    """Starts the processes of a plan, publishes sets of objects and injects failures.

    Addresses are `host:port`. A process keeps its addresses when it is restarted.
    """

    def __init__(self, *, plan: FleetPlan | None = None):
        self._plan = plan or FleetPlan()
        self._directory = scratch_directory()
        self._network = LoopbackNetwork()
        self._processes: dict[str, ManagedProcess] = {}
        self._target_addresses: dict[str, str] = {}
        self._sidecar_addresses: dict[str, str] = {}
        self._published_addresses: dict[str, str] = {}
        self._operator_addresses: dict[str, str] = {}
        self._caller_addresses: dict[str, str] = {}
        self._platform_address = ""
        self._platform_control = PlatformControl(address="")
        self._relay_address = ""
        self._relayed_target_addresses: dict[str, str] = {}
        self._published: CanonicalSet | None = None
        self._objects = ObjectSet()

    @property
    def platform(self) -> PlatformControl:
        """The control client of the platform stand-in."""
        return self._platform_control

    @property
    def plan(self) -> FleetPlan:
        """The plan that this fleet was started with."""
        return self._plan

    @property
    def objects(self) -> ObjectSet:
        """The objects that were published last."""
        return self._objects

    @property
    def published(self) -> CanonicalSet:
        """The set that was published last, or `None` before the first one."""
        return self._published

    @property
    def entries(self) -> tuple[str, ...]:
        """The names of the entries."""
        return tuple(self._caller_addresses)

    @property
    def engines(self) -> tuple[str, ...]:
        """The names of the model endpoints."""
        return tuple(
            name for name in self._target_addresses if name.startswith(ENGINE_PREFIX)
        )

    @property
    def services(self) -> tuple[str, ...]:
        """The names of the service endpoints."""
        return tuple(
            name for name in self._target_addresses if name.startswith(SERVICE_PREFIX)
        )

    @property
    def daemons(self) -> tuple[str, ...]:
        """The names of the entries and sidecars that were started."""
        return tuple(self._operator_addresses)

    def start(self) -> "Fleet":
        """Start all processes, wait until they are ready, and return the fleet."""
        self.start_stand_ins()
        self.publish(self.base_objects())
        self.publish_vms()
        for name in self._target_addresses:
            self.start_sidecar(name)
        for index, domain in enumerate(self._plan.entry_domains):
            self.start_entry(f"entry-{index + 1}", domain)
        self.wait_ready()
        return self

    def stop(self) -> None:
        """Kill every process that this fleet started, and remove its files."""
        for process in self._processes.values():
            if process.is_running:
                process.resume()
                process.kill()
        self._network.close()
        shutil.rmtree(self._directory, ignore_errors=True)

    def process(self, name: str) -> ManagedProcess:
        """Return the process with a name, such as `sidecar-engine-valpo-a-1`."""
        return self._processes[name]

    def start_stand_ins(self) -> None:
        """Start the stand-ins of the platform, the engines and the plain services."""
        self._platform_address = self._start_stand_in("platform", ["platform"])
        self._platform_control = PlatformControl(address=self._platform_address)
        for domain in self._plan.domains:
            for index in range(self._plan.engines_per_domain):
                self.start_engine(f"{ENGINE_PREFIX}{domain}-{index + 1}")
            for index in range(self._plan.services_per_domain):
                self.start_service(f"{SERVICE_PREFIX}{domain}-{index + 1}")
        for name in self._target_addresses:
            self._sidecar_addresses[name] = self._network.allocate()
            self._published_addresses[name] = self._sidecar_addresses[name]
            self._processes[name].listening_port()
        self._processes["platform"].listening_port()
        if self._plan.is_relayed:
            self._start_relay()

    def start_engine(self, name: str) -> None:
        """Start or restart the model engine of an endpoint."""
        plan = self._plan
        fencing = "--honours-fencing" if plan.honours_fencing else "--ignores-fencing"
        self._target_addresses[name] = self._start_stand_in(
            name,
            [
                "engine",
                "--kv-tokens",
                str(plan.kv_tokens),
                "--prefill-rate",
                str(plan.prefill_rate),
                "--cold-completions",
                str(plan.cold_completions),
                "--cold-bears",
                str(plan.cold_bears),
                fencing,
            ],
            address=self._target_addresses.get(name),
        )

    def start_service(self, name: str) -> None:
        """Start or restart the plain service of an endpoint."""
        self._target_addresses[name] = self._start_stand_in(
            name, ["plain"], address=self._target_addresses.get(name)
        )

    def start_sidecar(self, endpoint: str, *, name: str = "") -> str:
        """Start a sidecar for an endpoint and return the name of its process."""
        name = name or f"sidecar-{endpoint}"
        operator = self._operator_addresses.setdefault(name, self._network.allocate())
        settings = {
            "process": name,
            "failure_domain": self.domain_of(endpoint),
            "operator_address": operator,
            "platform_url": f"http://{self._platform_address}",
            "drain_seconds": self._plan.drain_seconds,
            "memory_mb": self._plan.memory_mb,
            "max_descriptors": self._plan.max_descriptors,
            "endpoint": endpoint,
            "link_address": self._sidecar_addresses[endpoint],
            "target_url": f"http://{self._relayed_target_address(endpoint)}",
        }
        self._start_daemon(name, "sidecar", settings)
        return name

    def start_entry(self, name: str, domain: str) -> None:
        """Start or restart an entry in a failure domain."""
        operator = self._operator_addresses.setdefault(name, self._network.allocate())
        caller = self._caller_addresses.setdefault(name, self._network.allocate())
        settings = {
            "process": name,
            "failure_domain": domain,
            "operator_address": operator,
            "caller_address": caller,
            "platform_url": f"http://{self._platform_address}",
            "drain_seconds": self._plan.drain_seconds,
            "memory_mb": self._plan.memory_mb,
            "max_descriptors": self._plan.max_descriptors,
        }
        self._start_daemon(name, "entry", settings)

    def restart(self, name: str) -> None:
        """Restart a process that was killed.

        A restarted platform is empty, so the last set and the VM list are written
        to it again.
        """
        if name == "platform":
            self._start_stand_in(name, ["platform"], address=self._platform_address)
            self._processes[name].listening_port()
            self._platform_control.write_set(self._published)
            self.publish_vms()
        elif name in self._caller_addresses:
            index = int(name.removeprefix("entry-")) - 1
            self.start_entry(name, self._plan.entry_domains[index])
        elif name.startswith("sidecar-"):
            self.start_sidecar(name.removeprefix("sidecar-"))
        elif name.startswith(SERVICE_PREFIX):
            self.start_service(name)
        else:
            self.start_engine(name)

    def use_target(self, endpoint: str, address: str) -> None:
        """Restart the sidecar of an endpoint beside a server of the test."""
        self._target_addresses[endpoint] = address
        self._relayed_target_addresses.pop(endpoint, None)
        self._processes[f"sidecar-{endpoint}"].kill()
        self.start_sidecar(endpoint)
        self.wait_ready()

    def domain_of(self, endpoint: str) -> str:
        """Return the failure domain of an endpoint."""
        return self._plan.domain_of(endpoint)

    def wait_ready(self) -> None:
        """Wait until every daemon is ready and every entry can use all endpoints."""
        for name in self._operator_addresses:
            wait_until(
                lambda name=name: self.is_ready(name),
                READY_TIMEOUT_SECONDS,
                f"{name} ready",
            )
        for name in self._caller_addresses:
            wait_until(
                lambda name=name: self._can_use_all_endpoints(name),
                READY_TIMEOUT_SECONDS,
                f"{name} to see all endpoints live",
            )

    def is_ready(self, name: str) -> bool:
        """Return whether a daemon answers its readiness probe with `ready`."""
        with contextlib.suppress(OSError):
            return (
                send_request("GET", self._operator_addresses[name], "/readyz")
                == b"ready\n"
            )
        return False

    def status(self, name: str) -> dict:
        """Return the decoded status page of a daemon."""
        return json.loads(
            send_request("GET", self._operator_addresses[name], "/status")
        )

    def operator_address(self, name: str) -> str:
        """Return the address on which a daemon serves operators."""
        return self._operator_addresses[name]

    def caller(self, entry: str, workspace: str) -> Caller:
        """Return a client for an entry that uses the API key of a workspace."""
        return Caller(
            address=self._caller_addresses[entry], key=workspace_key(workspace)
        )

    def caller_address(self, entry: str) -> str:
        """Return the address on which an entry serves callers."""
        return self._caller_addresses[entry]

    def target_address(self, endpoint: str) -> str:
        """Return the address of an endpoint, without its sidecar or the relay."""
        return self._target_addresses[endpoint]

    def published_address(self, endpoint: str) -> str:
        """Return the published address of a sidecar, which may be the relay's."""
        return self._published_addresses[endpoint]

    def set_route_mode(self, route: str, **mode: bool) -> None:
        """Change the mode of a relay route; without a mode, let all traffic pass.

        Routes are `link-ENDPOINT`, from the entries to a sidecar, and
        `target-ENDPOINT`, from the sidecar to its endpoint. The modes are the fields
        of `RouteMode`.
        """
        body = json.dumps({"name": route, **mode}).encode()
        send_request("POST", self._relay_address, "/modes", body)

    def replace_sidecar_address(self, endpoint: str) -> str:
        """Allocate a new address for the sidecar of an endpoint and return it.

        The address is published with the next set that `base_objects` gives.
        """
        address = self._network.allocate()
        self._sidecar_addresses[endpoint] = address
        self._published_addresses[endpoint] = address
        return address

    def base_objects(self) -> ObjectSet:
        """Return the objects of the plan, with the addresses published so far."""
        return build_objects(self._plan, self._published_addresses)

    def publish(self, objects: ObjectSet) -> int:
        """Publish objects as the successor of the last set and return its number."""
        predecessor = self._published.manifest if self._published else None
        canonical = render_set(objects, predecessor=predecessor)
        self._platform_control.write_set(canonical)
        self._published = canonical
        self._objects = objects
        return canonical.manifest.number

    def set_published(self, canonical: CanonicalSet) -> None:
        """Make a set that was written without `publish` the last published one.

        The next set that is published becomes its successor.
        """
        self._published = canonical

    def set_domain(self, domain: str, state: DomainState) -> int:
        """Publish a set with a failure domain in another state; return its number."""
        domains = dict(self._objects.failure_domains)
        changed = FailureDomain(name=domain, region=self._plan.region, state=state)
        domains[domain] = changed
        return self.publish(replace(self._objects, failure_domains=domains))

    def publish_vms(self, leaving: tuple[str, ...] = ()) -> None:
        """Write the VM list with all sidecars to the platform.

        The VMs of the endpoints in `leaving` are listed as leaving, all others as
        live.
        """
        vms = [
            {
                "name": name,
                "role": "sidecar",
                "address": address,
                "failure_domain": self.domain_of(name),
                "state": "leaving" if name in leaving else "live",
            }
            for name, address in self._published_addresses.items()
        ]
        self._platform_control.set_vms(vms)

    def effects(self) -> dict[str, int]:
        """Return the number of side effects per reference, summed over all services.

        Services that do not answer are left out.
        """
        effect_counts: dict[str, int] = {}
        for name in self.services:
            with contextlib.suppress(OSError):
                text = send_request(
                    "GET", self._target_addresses[name], "/control/effects"
                )
                for reference, count in json.loads(text).items():
                    effect_counts[reference] = effect_counts.get(reference, 0) + count
        return effect_counts

    def engine_counters(self, name: str) -> dict:
        """Return the internal counters of an engine stand-in; see `EngineFacts`."""
        return json.loads(
            send_request("GET", self._target_addresses[name], "/control/facts")
        )

    def engine_control(self, name: str, action: str, body: object = None) -> None:
        """Send a control action to an engine stand-in.

        `crash` loses all prompts, `cold` takes a number of completions until the
        engine is warm, and `refusing` takes a boolean.
        """
        send_request(
            "POST",
            self._target_addresses[name],
            f"/control/{action}",
            json.dumps(body).encode(),
        )

    def log_events(self, name: str) -> list[dict]:
        """Return the log events of a daemon, including those before a restart.

        Lines that are not JSON are skipped.
        """
        events = []
        for line in self._processes[name].log_text.splitlines():
            with contextlib.suppress(ValueError):
                events.append(json.loads(line))
        return events

    def _can_use_all_endpoints(self, entry: str) -> bool:
        with contextlib.suppress(OSError):
            endpoints = self.status(entry)["endpoints"]
            live = [item for item in endpoints if item["standing"] in ("live", "cold")]
            return len(live) == len(self._target_addresses)
        return False

    def _start_relay(self) -> None:
        """Start the relay and route the traffic of every endpoint through it.

        Entries then reach each sidecar, and each sidecar its endpoint, through the
        relay.
        """
        self._relay_address = self._network.allocate()
        host, port = self._relay_address.rsplit(":", 1)
        arguments = ["bilberryring.testing.main", "--host", host, "--port", port]
        process = ManagedProcess(
            name="relay", arguments=arguments, directory=self._directory
        )
        process.listening_port()
        self._processes["relay"] = process
        for name in self._target_addresses:
            self._published_addresses[name] = self._add_route(
                f"link-{name}", self._sidecar_addresses[name]
            )
            self._relayed_target_addresses[name] = self._add_route(
                f"target-{name}", self._target_addresses[name]
            )

    def _add_route(self, name: str, target: str) -> str:
        listen = self._network.allocate()
        body = json.dumps({"name": name, "listen": listen, "target": target})
        send_request("POST", self._relay_address, "/routes", body.encode())
        return listen

    def _relayed_target_address(self, endpoint: str) -> str:
        return self._relayed_target_addresses.get(
            endpoint, self._target_addresses[endpoint]
        )

    def _start_stand_in(
        self, name: str, arguments: list[str], *, address: str | None = None
    ) -> str:
        address = address or self._network.allocate()
        host, port = address.rsplit(":", 1)
        process = ManagedProcess(
            name=name,
            arguments=[
                "bilberryring.standins.main",
                arguments[0],
                "--host",
                host,
                "--port",
                port,
                *arguments[1:],
            ],
            directory=self._directory,
        )
        self._processes[name] = process
        return address

    def _start_daemon(self, name: str, role: str, settings: dict) -> None:
        path = self._directory / f"{name}.json5"
        path.write_text(
            f"// Settings of {name}.\n" + json.dumps(settings, indent=2), "utf-8"
        )
        self._processes[name] = ManagedProcess(
            name=name,
            arguments=["bilberryring.daemon", role, "--settings", str(path)],
            directory=self._directory,
        )
