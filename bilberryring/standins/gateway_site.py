"""Gateway processes with a simulated operators' store, for tests on loopback.

Each gateway has its own loopback IP address, so that all can use the same port
numbers, as gateways on separate VMs do, and each site has a network of its own.
"""

import http.client
import json
import os
import shutil
import socket
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import quote

from bilberryring.standins.loopback import LoopbackNetwork
from bilberryring.standins.scripted_endpoint import ScriptedEndpoint
from bilberryring.testing.processes import (
    ManagedProcess,
    scratch_directory,
    wait_until,
)

HOST_NAME = "site.example"
API_KEY = "key-1"
WORKSPACE = "bars"
PEER_PORT = 20_010
CALLER_PORT = 20_080
READY_PORT = 20_081
STORE_HOST_NUMBER = 199
READY_TIMEOUT_SECONDS = 15.0
ANSWER_TIMEOUT_SECONDS = 15.0
IN_FORCE_SECONDS = 2.0
"""Seconds within which a gateway has read a change of the store."""
LOG_END_LINES = 40
"""Lines of the log of each process that are shown when a test has failed."""
MAX_DRAWS = 64
"""Calls within which an endpoint gets one, if two or three alike are drawn at random.

It is missed once in 10**11 times.
"""
MODEL_SERVICE = "model"
PLAIN_SERVICE = "orders"
ENGINE = {
    "slots": 8,
    "kv_tokens": 315_000,
    "stride": 51,
    "step_ms": 0.85,
    "per_seq_ms": 0.0085,
    "context_per_k": 0.00285,
    "read_per_s": 177_000.0,
    "pairs_per_m": 0.184,
    "chunk": 2_048,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerAnswer:
    """An answer as a caller received it, with header names in lower case.

    `is_cut` is true when the connection ended before the answer was complete;
    `status` is 0 when not even its head arrived.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_cut: bool = False


def make_route(prefix: str, kind: str, service: str, **changes) -> dict:
    """Return a route in the form that operators publish.

    `kind` is `idempotent`, `non_idempotent` or `streaming`; `changes` replace fields.
    """
    route = {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST_NAME,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 4_000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "attempts": 2 if kind != "non_idempotent" else 1,
        "allow_anonymous": False,
        "sticky_sessions": kind == "streaming",
        "stream_resume": kind == "streaming",
    }
    if kind == "streaming":
        route["gap_aim_ms"] = 250
    return route | changes


def make_configuration(version: int = 1, **changes) -> dict:
    """Return a configuration with one route of each kind; `changes` replace fields."""
    configuration = {
        "version": version,
        "routes": [
            make_route("/look/", "idempotent", PLAIN_SERVICE),
            make_route("/charge/", "non_idempotent", PLAIN_SERVICE),
            make_route("/chat/", "streaming", MODEL_SERVICE),
        ],
        "services": [
            {"name": PLAIN_SERVICE, "max_connections": 100},
            {
                "name": MODEL_SERVICE,
                "max_connections": 400,
                "cold_start_s": 3.0,
                "cold_per_s": 36.0,
                "engine": ENGINE,
            },
        ],
        "limits": {"idle_timeout_ms": 5_000},
        "tenants": [{"name": WORKSPACE, "api_keys": [API_KEY], "priority": 1}],
    }
    return configuration | changes


class GatewaySite:
    """An operators' store, gateways with numbers from 1, and scripted endpoints.

    `gateways` is the number of gateways that know each other as peers; each one is
    started with `start_gateway`. `retry_slack` is the number of retries that they may
    make in a window in any case, and `retry_ratio` the number for each request.
    `grace` is the seconds that a stop may take. `memory_mb` and `max_fds` are the
    limits of the machine in each gateway's settings, which say nothing without them.
    """

    def __init__(
        self,
        *,
        gateways: int = 1,
        retry_slack: int = 100,
        retry_ratio: float = 0.2,
        grace: float = 6.0,
        memory_mb: float | None = None,
        max_fds: int | None = None,
    ):
        self._directory = scratch_directory()
        self._n_gateways = gateways
        self._retry_slack = retry_slack
        self._retry_ratio = retry_ratio
        self._grace = grace
        self._machine_limits = {"memory_mb": memory_mb, "max_fds": max_fds}
        self._network = LoopbackNetwork()
        self._processes: dict[str, ManagedProcess] = {}
        self._endpoints: list[ScriptedEndpoint] = []
        self._store_address = ""

    @property
    def grace(self) -> float:
        """The seconds that a stop may take."""
        return self._grace

    @property
    def store_address(self) -> str:
        """The `host:port` of the store."""
        return self._store_address

    def start(self) -> "GatewaySite":
        """Start the store, but no gateway, and return the site."""
        store = ManagedProcess(
            name="store",
            arguments=[
                "bilberryring.standins.main",
                "store",
                "--host",
                self.host(STORE_HOST_NUMBER),
            ],
            directory=self._directory,
        )
        self._processes["store"] = store
        self._store_address = f"{self.host(STORE_HOST_NUMBER)}:{store.listening_port()}"
        return self

    def stop(self) -> None:
        """Kill all processes, close all endpoints and remove the files."""
        for process in self._processes.values():
            if process.is_running:
                process.resume()
                process.kill()
        for endpoint in self._endpoints:
            endpoint.close()
        self._network.close()
        shutil.rmtree(self._directory, ignore_errors=True)

    def process(self, name: str) -> ManagedProcess:
        """Return the process with a name, such as `store` or `gateway-1`."""
        return self._processes[name]

    def start_gateway(
        self,
        number: int = 1,
        *,
        is_awaited: bool = True,
        store_address: str = "",
        is_first_start: bool | None = None,
        states_first_start: bool = True,
    ) -> None:
        """Start a gateway and, with `is_awaited`, wait until it is ready.

        `store_address` is where it reads the store, if not from the store itself.
        `is_first_start` is what its settings say of the whole fleet; without it they
        say so at the first start of each gateway, and nothing unless
        `states_first_start`. `RuntimeError` is raised when it exits before it is ready.
        """
        name = f"gateway-{number}"
        if is_first_start is None:
            is_first_start = name not in self._processes
        statement = f"bootstrap = {json.dumps(is_first_start)}\n"
        host = self.host(number)
        seeds = [f"{self.host(other + 1)}:1" for other in range(self._n_gateways)]
        text = (
            f'node = "{name}"\nip = "{host}"\nzone = "north"\nregion = "here"\n'
            f"internal_ports = [{PEER_PORT}, {PEER_PORT + 9}]\n"
            f"seeds = {json.dumps(seeds)}\n"
            f"{statement if states_first_start else ''}"
            f'[zones]\nnorth = "here"\nsouth = "here"\n'
            f'[listen]\nfront = "{host}:{CALLER_PORT}"\n'
            f'ready = "{host}:{READY_PORT}"\n'
            f'[platform]\naddress = "{store_address or self._store_address}"\n'
            f"[bounds]\ngrace_s = {self._grace}\nretry_slack = {self._retry_slack}\n"
            f"budget_ratio = {self._retry_ratio}\n[limits]\n"
        )
        for key, value in self._machine_limits.items():
            text += "" if value is None else f"{key} = {value}\n"
        path = self._directory / f"{name}.toml"
        path.write_text(text, "utf-8")
        os.environ["BILBERRYRING_NODE_FILE"] = str(path)
        try:
            self._processes[name] = ManagedProcess(
                name=name,
                arguments=["bilberryring.platform.process"],
                directory=self._directory,
            )
        finally:
            del os.environ["BILBERRYRING_NODE_FILE"]
        if is_awaited:
            wait_until(
                lambda: self.is_ready(number) or self._raise_if_exited(name),
                READY_TIMEOUT_SECONDS,
                f"{name} to be ready",
            )

    def write_settings(self, content: bytes, number: int = 1) -> None:
        """Replace a gateway's settings file, and send no signal."""
        (self._directory / f"gateway-{number}.toml").write_bytes(content)

    def touch_settings(self, number: int = 1) -> None:
        """Append a comment to a gateway's settings file, and send no signal."""
        path = self._directory / f"gateway-{number}.toml"
        path.write_text(path.read_text("utf-8") + "# again\n", "utf-8")

    def add_endpoint(self, name: str, script, **changes) -> ScriptedEndpoint:
        """Start a scripted endpoint, announce it under a name and return it."""
        endpoint = ScriptedEndpoint(script=script)
        self._endpoints.append(endpoint)
        self.announce(name, endpoint.address, **changes)
        return endpoint

    def add_endpoint_process(self, name: str, **changes) -> None:
        """Start an endpoint that answers at once, also while the test is late."""
        address = self._network.allocate()
        host, port = address.rsplit(":", 1)
        process = ManagedProcess(
            name=f"endpoint-{name}",
            arguments=[
                "bilberryring.standins.main",
                "answers",
                "--host",
                host,
                "--port",
                port,
            ],
            directory=self._directory,
        )
        self._processes[f"endpoint-{name}"] = process
        process.listening_port()
        self.announce(name, address, **changes)

    def announce(self, name: str, address: str, **changes) -> None:
        """Write an endpoint's announcement to the store; `changes` replace fields."""
        entry = {
            "service": PLAIN_SERVICE,
            "address": address,
            "zone": "north",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        self.put(f"servers/{name}", json.dumps(entry | changes).encode())

    def publish(self, configuration: dict) -> None:
        """Write a configuration to the store under the operators' key."""
        self.put("op/config", json.dumps(configuration).encode())

    def put(self, key: str, value: bytes) -> None:
        """Write an item to the store."""
        self._control("put", f"?key={quote(key, safe='')}", value)

    def remove(self, key: str) -> None:
        """Remove an item from the store."""
        self._control("remove", f"?key={quote(key, safe='')}", b"")

    def set_store_mode(self, **mode) -> None:
        """Inject a fault into the store.

        The keywords are the fields of the stand-in's `StoreMode`; those that are left
        out are reset, so a call without keywords ends all faults.
        """
        self._control("mode", "", json.dumps(mode).encode())

    def drop_history(self) -> None:
        """Make the store drop its history, so that older watches fail with 410."""
        self._control("forget", "", b"")

    def save_store(self) -> None:
        """Make the copy from which `restore_store` restores the store."""
        self._control("save", "", b"")

    def restore_store(self) -> None:
        """Let the store return to the copy, without what was written since."""
        self._control("restore", "", b"")

    def is_ready(self, number: int = 1) -> bool:
        """Return whether a gateway answers its readiness probe with status 200."""
        try:
            connection = http.client.HTTPConnection(
                self.host(number), READY_PORT, timeout=1.0
            )
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def connect(self, number: int = 1) -> http.client.HTTPConnection:
        """Return an HTTP connection to the callers' port of a gateway."""
        return http.client.HTTPConnection(
            self.host(number), CALLER_PORT, timeout=ANSWER_TIMEOUT_SECONDS
        )

    def caller_socket(self, number: int = 1) -> socket.socket:
        """Return a connected socket to the callers' port of a gateway."""
        return socket.create_connection(
            (self.host(number), CALLER_PORT), timeout=ANSWER_TIMEOUT_SECONDS
        )

    def call(
        self,
        path: str,
        *,
        method: str = "POST",
        number: int = 1,
        body: bytes = b"x",
        connection: http.client.HTTPConnection | None = None,
        **headers: str,
    ) -> CallerAnswer:
        """Send one request and return its answer.

        `headers` are added to those of `request_headers`, with `_` in their names
        replaced by `-`.
        """
        connection = connection or self.connect(number)
        extra_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        connection.request(method, path, body, request_headers() | extra_headers)
        return read_answer(connection)

    def call_until(
        self, is_drawn: Callable[[], object], path: str, *, at_least: int = 1
    ) -> list[CallerAnswer]:
        """Call at least so often and until `is_drawn()`; return all answers.

        `AssertionError` is raised if it is still false after `MAX_DRAWS` calls.
        """
        answers = []
        while len(answers) < at_least or not is_drawn():
            assert len(answers) < MAX_DRAWS, "the endpoint got no request"
            answers.append(self.call(path))
        return answers

    def metrics(self, number: int = 1) -> str:
        """Return the text of a gateway's metrics page."""
        connection = http.client.HTTPConnection(
            self.host(number), PEER_PORT + 1, timeout=ANSWER_TIMEOUT_SECONDS
        )
        connection.request("GET", "/metrics")
        return connection.getresponse().read().decode()

    def operator_address(self, number: int = 1) -> str:
        """Return the address on which a gateway serves operators."""
        return f"{self.host(number)}:{PEER_PORT + 1}"

    def log_events(self, number: int = 1, event: str | None = None) -> list[dict]:
        """Return the log lines of a gateway, or only those of one event."""
        text = (self._directory / f"gateway-{number}.out").read_text("utf-8")
        complete = text[: text.rfind("\n") + 1]
        lines = [json.loads(line) for line in complete.splitlines()]
        return [line for line in lines if event is None or line["event"] == event]

    def wait_for_domains_out(self, *domains: str, number: int = 1) -> None:
        """Wait until a gateway has read that these failure domains are out."""
        wait_until(
            lambda: (
                (events := self.log_events(number, "domains_out"))
                and events[-1]["domains"] == sorted(domains)
            ),
            IN_FORCE_SECONDS,
            f"failure domains {domains} to be out",
        )

    def wait_for_standing(
        self, endpoint: str, *standings: str, number: int = 1
    ) -> None:
        """Wait until a gateway has read that an endpoint has one of some standings."""
        wait_until(
            lambda: any(
                event["endpoint"] == endpoint and event["standing"] in standings
                for event in self.log_events(number, "endpoint_standing_changed")
            ),
            IN_FORCE_SECONDS,
            f"{endpoint} to be {' or '.join(standings)}",
        )

    def log_lines(self, number: int = 1) -> tuple[str, ...]:
        """Return the log of a gateway's last start as it is; the end may be torn."""
        path = self._directory / f"gateway-{number}.out"
        return tuple(path.read_text("utf-8", "replace").splitlines())

    def log_ends(self) -> list[tuple[str, str]]:
        """Return each process's name and exit status with the end of its log."""
        ends = []
        for name, process in self._processes.items():
            lines = []
            for suffix in ("log", "out"):
                path = self._directory / f"{name}.{suffix}"
                text = path.read_text("utf-8", "replace") if path.exists() else ""
                lines += text.splitlines()[-LOG_END_LINES:]
            ends.append(
                (f"{name}, exit status {process.exit_status}", "\n".join(lines))
            )
        return ends

    def start_process(self, name: str, arguments: list[str]) -> ManagedProcess:
        """Start a further process, which `stop` kills, and return it."""
        process = ManagedProcess(
            name=name, arguments=arguments, directory=self._directory
        )
        self._processes[name] = process
        return process

    def host(self, number: int = 1) -> str:
        """Return the IP address of a gateway."""
        return self._network.host(number)

    def _raise_if_exited(self, name: str) -> None:
        process = self._processes[name]
        if not process.is_running:
            raise RuntimeError(f"{name} exited: {process.log_text[-2000:]}")

    def _control(self, action: str, query: str, body: bytes) -> None:
        connection = http.client.HTTPConnection(
            self._store_address, timeout=ANSWER_TIMEOUT_SECONDS
        )
        connection.request("POST", f"/control/{action}{query}", body)
        connection.getresponse().read()


def request_headers() -> dict[str, str]:
    """Return the headers of a valid request, with a new random request id."""
    return {
        "Host": HOST_NAME,
        "Authorization": f"Bearer {API_KEY}",
        "Bilberryring-Request-Id": os.urandom(8).hex(),
        "Bilberryring-Deadline-Ms": "4000",
        "Bilberryring-Token-Usage": "1000,80",
    }


def read_answer(connection: http.client.HTTPConnection) -> CallerAnswer:
    """Return the answer on a connection, or the part that arrived."""
    try:
        response = connection.getresponse()
    except (OSError, http.client.HTTPException):
        return CallerAnswer(status=0, headers={}, body=b"", is_cut=True)
    headers = {
        name.lower(): ", ".join(response.headers.get_all(name))
        for name in response.headers
    }
    try:
        body, is_cut = response.read(), False
    except http.client.IncompleteRead as error:
        body, is_cut = error.partial, True
    except OSError:
        body, is_cut = b"", True
    return CallerAnswer(
        status=response.status, headers=headers, body=body, is_cut=is_cut
    )
