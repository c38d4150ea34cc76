"""A small fleet of real processes on loopback, for scenarios and the demo."""

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
from bilberryring.testing.caller import Caller
from bilberryring.testing.plan import (
    ENGINE_PREFIX,
    SERVICE_PREFIX,
    AddressBook,
    FleetPlan,
    objects_of,
    workspace_key,
)
from bilberryring.testing.platform_control import PlatformControl, call
from bilberryring.testing.processes import (
    ManagedProcess,
    scratch_directory,
    wait_until,
)

READY_SECONDS = 30.0


class Fleet:
    """Starts the processes of a plan, publishes sets, and causes failures."""

    def __init__(self, *, plan: FleetPlan | None = None):
        self._plan = plan or FleetPlan()
        self._directory = scratch_directory()
        self._addresses = AddressBook()
        self._processes: dict[str, ManagedProcess] = {}
        self._targets: dict[str, str] = {}
        self._sidecars: dict[str, str] = {}
        self._published_addresses: dict[str, str] = {}
        self._operators: dict[str, str] = {}
        self._callers: dict[str, str] = {}
        self._platform = ""
        self._control = PlatformControl(address="")
        self._relay = ""
        self._relayed_targets: dict[str, str] = {}
        self._published: CanonicalSet | None = None
        self._objects = ObjectSet()

    @property
    def platform(self) -> PlatformControl:
        """The operators' and the scenarios' way to the platform."""
        return self._control

    @property
    def plan(self) -> FleetPlan:
        """The plan of the fleet."""
        return self._plan

    @property
    def objects(self) -> ObjectSet:
        """The objects published last."""
        return self._objects

    @property
    def published(self) -> CanonicalSet:
        """The set published last."""
        return self._published

    @property
    def entries(self) -> tuple[str, ...]:
        """The names of the entries."""
        return tuple(self._callers)

    @property
    def engines(self) -> tuple[str, ...]:
        """The names of the model endpoints."""
        return tuple(name for name in self._targets if name.startswith(ENGINE_PREFIX))

    @property
    def services(self) -> tuple[str, ...]:
        """The names of the service endpoints."""
        return tuple(name for name in self._targets if name.startswith(SERVICE_PREFIX))

    @property
    def daemons(self) -> tuple[str, ...]:
        """The names of the system's own processes."""
        return tuple(self._operators)

    def start(self) -> "Fleet":
        """Start everything and wait until it is ready."""
        self.start_stand_ins()
        self.publish(self.base_objects())
        self.publish_vms()
        for name in self._targets:
            self.start_sidecar(name)
        for index, domain in enumerate(self._plan.entry_domains):
            self.start_entry(f"entry-{index + 1}", domain)
        self.wait_ready()
        return self

    def stop(self) -> None:
        """End every process that this fleet started, and remove its files."""
        for process in self._processes.values():
            if process.is_running:
                process.thaw()
                process.kill()
        shutil.rmtree(self._directory, ignore_errors=True)

    def process(self, name: str) -> ManagedProcess:
        """Return a process by name, such as `sidecar-engine-valpo-a-1`."""
        return self._processes[name]

    def start_stand_ins(self) -> None:
        """Start the platform, the engines and the plain services."""
        self._platform = self._start_stand_in("platform", ["platform"])
        self._control = PlatformControl(address=self._platform)
        for domain in self._plan.domains:
            for index in range(self._plan.engines_per_domain):
                self.start_engine(f"{ENGINE_PREFIX}{domain}-{index + 1}")
            for index in range(self._plan.services_per_domain):
                self.start_service(f"{SERVICE_PREFIX}{domain}-{index + 1}")
        for name in self._targets:
            self._sidecars[name] = self._addresses.address()
            self._published_addresses[name] = self._sidecars[name]
            self._processes[name].listening_port()
        self._processes["platform"].listening_port()
        if self._plan.is_relayed:
            self._start_relay()

    def start_engine(self, name: str) -> None:
        """Start, or start again, the engine of an endpoint."""
        plan = self._plan
        fencing = "--honours-fencing" if plan.honours_fencing else "--ignores-fencing"
        self._targets[name] = self._start_stand_in(
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
            address=self._targets.get(name),
        )

    def start_service(self, name: str) -> None:
        """Start, or start again, the plain service of an endpoint."""
        self._targets[name] = self._start_stand_in(
            name, ["plain"], address=self._targets.get(name)
        )

    def start_sidecar(self, endpoint: str, *, name: str = "") -> str:
        """Start the sidecar of an endpoint and return the process's name."""
        name = name or f"sidecar-{endpoint}"
        operator = self._operators.setdefault(name, self._addresses.address())
        settings = {
            "process": name,
            "failure_domain": self.domain_of(endpoint),
            "operator_address": operator,
            "platform_url": f"http://{self._platform}",
            "endpoint": endpoint,
            "link_address": self._sidecars[endpoint],
            "target_url": f"http://{self._relayed_target(endpoint)}",
        }
        self._start_daemon(name, "sidecar", settings)
        return name

    def start_entry(self, name: str, domain: str) -> None:
        """Start, or start again, an entry."""
        operator = self._operators.setdefault(name, self._addresses.address())
        caller = self._callers.setdefault(name, self._addresses.address())
        settings = {
            "process": name,
            "failure_domain": domain,
            "operator_address": operator,
            "caller_address": caller,
            "platform_url": f"http://{self._platform}",
        }
        self._start_daemon(name, "entry", settings)

    def restart(self, name: str) -> None:
        """Start a process again that was killed, and the platform's content."""
        if name == "platform":
            self._start_stand_in(name, ["platform"], address=self._platform)
            self._processes[name].listening_port()
            self._control.write_set(self._published)
            self.publish_vms()
        elif name in self._callers:
            index = int(name.removeprefix("entry-")) - 1
            self.start_entry(name, self._plan.entry_domains[index])
        elif name.startswith("sidecar-"):
            self.start_sidecar(name.removeprefix("sidecar-"))
        elif name.startswith(SERVICE_PREFIX):
            self.start_service(name)
        else:
            self.start_engine(name)

    def domain_of(self, endpoint: str) -> str:
        """Return the failure domain of an endpoint."""
        return self._plan.domain_of(endpoint)

    def wait_ready(self) -> None:
        """Wait until every daemon is ready and every endpoint is live."""
        for name in self._operators:
            wait_until(
                lambda name=name: self.is_ready(name), READY_SECONDS, f"{name} ready"
            )
        for name in self._callers:
            wait_until(
                lambda name=name: self._sees_all_live(name),
                READY_SECONDS,
                f"{name} to see all endpoints live",
            )

    def is_ready(self, name: str) -> bool:
        """Whether a daemon says it is ready."""
        with contextlib.suppress(OSError):
            return call("GET", self._operators[name], "/readyz") == b"ready\n"
        return False

    def status(self, name: str) -> dict:
        """Return the status of a daemon."""
        return json.loads(call("GET", self._operators[name], "/status"))

    def operator_address(self, name: str) -> str:
        """Return the operators' address of a daemon."""
        return self._operators[name]

    def caller(self, entry: str, workspace: str) -> Caller:
        """Return a caller of an entry with a workspace's key."""
        return Caller(address=self._callers[entry], key=workspace_key(workspace))

    def caller_address(self, entry: str) -> str:
        """Return the callers' address of an entry."""
        return self._callers[entry]

    def target_address(self, endpoint: str) -> str:
        """Return the address of an endpoint itself."""
        return self._targets[endpoint]

    def published_address(self, endpoint: str) -> str:
        """Return the address of a sidecar as published."""
        return self._published_addresses[endpoint]

    def set_route(self, route: str, **mode: bool) -> None:
        """Cut or hold a route: `link-ENDPOINT` or `target-ENDPOINT`."""
        body = json.dumps({"name": route, **mode}).encode()
        call("POST", self._relay, "/modes", body)

    def replace_sidecar_address(self, endpoint: str) -> str:
        """Give a replaced sidecar a new address from the next set on."""
        address = self._addresses.address()
        self._sidecars[endpoint] = address
        self._published_addresses[endpoint] = address
        return address

    def base_objects(self) -> ObjectSet:
        """Return the objects of the plan."""
        return objects_of(self._plan, self._published_addresses)

    def publish(self, objects: ObjectSet) -> int:
        """Publish a set on top of the last one and return its number."""
        predecessor = self._published.manifest if self._published else None
        canonical = render_set(objects, predecessor=predecessor)
        self._control.write_set(canonical)
        self._published = canonical
        self._objects = objects
        return canonical.manifest.number

    def adopt(self, canonical: CanonicalSet) -> None:
        """Take a set that a scenario published as the last one."""
        self._published = canonical

    def set_domain(self, domain: str, state: DomainState) -> int:
        """Publish a set that takes a failure domain out or back."""
        domains = dict(self._objects.failure_domains)
        changed = FailureDomain(name=domain, region=self._plan.region, state=state)
        domains[domain] = changed
        return self.publish(replace(self._objects, failure_domains=domains))

    def publish_vms(self, leaving: tuple[str, ...] = ()) -> None:
        """Write the VM list with the sidecars of the plan."""
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
        self._control.set_vms(vms)

    def effects(self) -> dict[str, int]:
        """Return how often each reference took effect, over all services."""
        total: dict[str, int] = {}
        for name in self.services:
            with contextlib.suppress(OSError):
                text = call("GET", self._targets[name], "/control/effects")
                for reference, count in json.loads(text).items():
                    total[reference] = total.get(reference, 0) + count
        return total

    def engine_facts(self, name: str) -> dict:
        """Return what the engine stand-in knows of itself."""
        return json.loads(call("GET", self._targets[name], "/control/facts"))

    def engine_control(self, name: str, action: str, body: object = None) -> None:
        """Make an engine crash or turn cold."""
        call(
            "POST",
            self._targets[name],
            f"/control/{action}",
            json.dumps(body).encode(),
        )

    def log_events(self, name: str) -> list[dict]:
        """Return the log events of a daemon, over all its runs."""
        events = []
        for line in self._processes[name].log_text.splitlines():
            with contextlib.suppress(ValueError):
                events.append(json.loads(line))
        return events

    def _sees_all_live(self, entry: str) -> bool:
        with contextlib.suppress(OSError):
            endpoints = self.status(entry)["endpoints"]
            live = [item for item in endpoints if item["standing"] in ("live", "cold")]
            return len(live) == len(self._targets)
        return False

    def _start_relay(self) -> None:
        """Put the relay on every link and before every target."""
        self._relay = self._addresses.address()
        host, port = self._relay.rsplit(":", 1)
        arguments = ["bilberryring.testing.main", "--host", host, "--port", port]
        process = ManagedProcess(
            name="relay", arguments=arguments, directory=self._directory
        )
        process.listening_port()
        self._processes["relay"] = process
        for name in self._targets:
            self._published_addresses[name] = self._add_route(
                f"link-{name}", self._sidecars[name]
            )
            self._relayed_targets[name] = self._add_route(
                f"target-{name}", self._targets[name]
            )

    def _add_route(self, name: str, target: str) -> str:
        listen = self._addresses.address()
        body = json.dumps({"name": name, "listen": listen, "target": target})
        call("POST", self._relay, "/routes", body.encode())
        return listen

    def _relayed_target(self, endpoint: str) -> str:
        return self._relayed_targets.get(endpoint, self._targets[endpoint])

    def _start_stand_in(
        self, name: str, arguments: list[str], *, address: str | None = None
    ) -> str:
        address = address or self._addresses.address()
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
