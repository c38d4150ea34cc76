"""Stand-ins for the scripts of the third review: the store, gateways and clients.

Everything listens on loopback addresses with free ports. Gateways are started with the
command of the deploy file; what they speak is what the operators' pages describe.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
START = time.monotonic()
BORN = int(time.time() * 1000)
HOST = "caller.example"
KEY = "n2ctnfzs989anu6wsjnb"
BOUNDS = """[bounds]
seed_lag_s = 3
reuse_after_s = 2
stability_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
strict_revoke = false
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
retry_slack = 102
cold_overage = 1.5
cold_slack = 5
evacuate_ms = 5000
recover_s = 12
pass_ms = 120
again_s = 0
stall_ms = 1500
hold_max_ms = 20000
free_ms = 4000
idle_max_ms = 9000
"""


def trouble() -> bool:
    """Whether the disruption of the case happens."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file `record.txt` of a case: a line for all that was sent, answered, run."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - START:8.3f}  {text}\n")
        self._file.flush()


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free at all of some loopback addresses."""
    ports: list[int] = []
    while len(ports) < count:
        with contextlib.ExitStack() as stack:
            port = 0
            try:
                for host in hosts:
                    item = stack.enter_context(socket.socket())
                    item.bind((host, port))
                    port = item.getsockname()[1]
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Store:
    """The platform's store: lists, watches, a history, one revision counter."""

    def __init__(self, record: Record):
        self._record = record
        self._items: dict[str, dict] = {}
        self._history: list[dict] = []
        self._revision = 100
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self) -> None:
        """Listen on a loopback address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())

    def put(self, key: str, value: dict | bytes) -> int:
        """Write an item, as the operator or a server does; return its revision."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        known = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(content).decode(),
            "revision": self._revision,
            "create_rev": known["create_rev"] if known else self._revision,
            "lease": 0,
        }
        self._items[key] = item
        self._note(item, f"put {key} {content[:160]!r}")
        return self._revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        self._revision += 1
        self._items.pop(key, None)
        event = {"key": key, "revision": self._revision, "tombstone": True}
        self._note(event, f"removed {key}")

    def _note(self, event: dict, text: str) -> None:
        self._history.append(event)
        self._record.write(f"store     {text} (acknowledged)")
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                status, body = await self._answer(target)
                content = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(content)) + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, target: str) -> tuple[int, dict]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("prefix", "")
        if parts.path == "/v1/kv-range":
            after = query.get("after", "")
            items = [
                self._items[key]
                for key in sorted(self._items)
                if key.startswith(prefix) and key > after
            ]
            page = items[:500]
            more = len(items) > len(page)
            revision = self._revision
            return 200, {"items": page, "has_more": more, "store_revision": revision}
        if parts.path == "/v1/kv-watch":
            return 200, await self._watch(query, prefix)
        item = self._items.get(query.get("key", ""))
        if parts.path == "/v1/kv-key" and item:
            return 200, {**item, "store_revision": self._revision}
        return 404, {"error": "no such key"}

    async def _watch(self, query: dict, prefix: str) -> dict:
        after = int(query.get("after", 0))
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            changed = self._changed
            latest = {
                event["key"]: event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            }
            left = until - time.monotonic()
            if latest or left <= 0:
                events = sorted(latest.values(), key=lambda event: event["revision"])
                return {"events": events, "store_revision": self._revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass


@dataclass
class Gateway:
    """One gateway process of a machine of its own, which is a loopback address."""

    name: str
    ip: str
    ports: list[int]
    settings: Path
    log: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> tuple[str, int]:
        """The address for clients."""
        return self.ip, self.ports[0]


class Fleet:
    """The processes of one case, all of which are ended at its end."""

    def __init__(self, record: Record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(record)
        self.gateways: list[Gateway] = []
        self.processes: list[asyncio.subprocess.Process] = []
        self._net = random.randrange(20, 250)
        self._n_hosts = 0

    def new_address(self) -> str:
        """Return a free address for a server, at a loopback address of its own."""
        ip = self.new_ip()
        return f"{ip}:{free_ports([ip], 1)[0]}"

    def new_ip(self) -> str:
        """Return a loopback address that nothing else of this case uses."""
        self._n_hosts += 1
        return f"127.{self._net}.7.{self._n_hosts}"

    async def start_gateways(self, count: int, *, memory_mb: int = 300) -> None:
        """Start the gateways and wait until all are ready."""
        await self.store.start()
        ips = [self.new_ip() for _ in range(count)]
        ports = free_ports(ips, 5)
        seeds = [f"{ip}:{ports[2]}" for ip in ips[:3]]
        for number, ip in enumerate(ips, 1):
            gateway = Gateway(
                name=f"front-zone-a-{number}",
                ip=ip,
                ports=ports,
                settings=self.folder / f"settings-{number}.toml",
                log=self.folder / f"gateway-{number}.log",
            )
            gateway.settings.write_text(
                f'node = "{gateway.name}"\nrole = "gateway"\nmachine_class = "front"\n'
                f'serves = ["front","control"]\nip = "{ip}"\nzone = "zone-a"\n'
                f'region = "here"\ninternal_ports = [{ports[3]},{ports[4]}]\n'
                f"seeds = {json.dumps(seeds)}\nbootstrap = true\n"
                'counts_as_loss = false\ndiscovery = "platform"\nentry = "vip"\n'
                'heartbeat_ms = 1200\n[zones]\nzone-a = "here"\n[listen]\n'
                f'front = "{ip}:{ports[0]}"\nready = "{ip}:{ports[1]}"\n'
                f'control = "{ip}:{ports[2]}"\n[limits]\ncpu_share = 0.817\n'
                f"cores = 1\nmemory_mb = {memory_mb}\nmax_fds = 4100\n"
                "link_mbps = 1000.0\ndisk_mb = 0\n[fault_tolerance]\nmachines = 2\n"
                f"zones = 1\nregions = 0\n{BOUNDS}[platform]\n"
                f'address = "{self.store.address}"\nform = "read"\n'
                "writes_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n"
                "value_bytes = 1048576\nttl_min_ms = 1000\n"
            )
            self.gateways.append(gateway)
            await self.start_gateway(gateway)
        for gateway in self.gateways:
            await self.wait_ready(gateway)

    async def start_gateway(self, gateway: Gateway) -> None:
        """Start the process of a gateway, with the command of the deploy file."""
        if gateway.process is not None:
            # It is not the whole system that starts for the first time.
            settings = gateway.settings.read_text()
            settings = settings.replace("bootstrap = true", "bootstrap = false")
            gateway.settings.write_text(settings)
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["BILBERRYRING_NODE_FILE"] = str(gateway.settings)
        env["BILBERRYRING_METRICS_PORT"] = str(gateway.ports[4])
        with gateway.log.open("ab") as log:
            gateway.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "bilberryring.platform.process",
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.processes.append(gateway.process)
        self.record.write(f"gateway   {gateway.name} started")

    async def wait_ready(self, gateway: Gateway, seconds: float = 20.0) -> None:
        """Wait until a gateway says that it is ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                address = (gateway.ip, gateway.ports[1])
                answer = await ask(address, "GET", "/v1/ready", {}, seconds=1.0)
                if answer.status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{gateway.name} did not become ready")

    async def start_server(
        self, *arguments: str, program: str = "server.py"
    ) -> asyncio.subprocess.Process:
        """Start a server of a file beside this one, which logs to the same folder."""
        with (self.folder / "servers.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(Path(__file__).with_name(program)),
                *arguments,
                stdout=log,
                stderr=log,
            )
        self.processes.append(process)
        return process

    def server_lines(self) -> list[str]:
        """Return what the servers have logged, each line with its time."""
        path = self.folder / "servers.log"
        return path.read_text().splitlines() if path.exists() else []

    async def end(self) -> None:
        """End all processes; those that still run are killed. Remove the folder."""
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes:
            await process.wait()
        for line in self.server_lines():
            self.record.write(f"server    {line}")
        if not os.environ.get("KEEP_FOLDER"):
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRunError(Exception):
    """The case could not be played."""


@dataclass
class Answer:
    """What a client got. `end` is `whole`, `cut` or `none`."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    end: str = "none"


async def ask(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    *,
    body: bytes = b"",
    seconds: float = 12.0,
) -> Answer:
    """Send one request on a new connection, and read the answer by its framing."""
    answer = Answer()
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            try:
                lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                if body or method == "POST":
                    lines.append(f"Content-Length: {len(body)}")
                head = "\r\n".join([*lines, "", ""]).encode()
                writer.write(head + body)
                await read_answer(reader, answer)
            finally:
                writer.close()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        answer.end = "cut" if answer.status else "none"
    except TimeoutError:
        answer.end = "cut" if answer.status else "none"
    return answer


async def read_answer(reader, answer: Answer) -> None:
    """Read one answer by its framing; what has arrived of it stays in `answer`."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(head[0].split(" ")[1])
    for line in head[1:]:
        if line:
            name, _, value = line.partition(":")
            answer.headers[name.strip().lower()] = value.strip()
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                break
            answer.body += piece[:-2]
    elif "content-length" in answer.headers:
        left = int(answer.headers["content-length"])
        answer.body = await reader.readexactly(left)
    else:
        answer.body = await reader.read()
    answer.end = "whole"


def request_headers(
    request_id: str, deadline_ms: int, *, key: str = KEY
) -> dict[str, str]:
    """Return the headers that each client sends."""
    return {
        "Bilberryring-Request-Id": request_id,
        "Bilberryring-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {key}",
    }


def route(name: str, prefix: str, kind: str, service: str, **more) -> dict:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 10000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "allow_anonymous": False,
        "sticky_sessions": False,
        "stream_resume": False,
        **more,
    }


def configuration(version: int, routes: list[dict], services: list[str]) -> dict:
    """Return a configuration of the operator, with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 100,
                "protocol": "h1",
                "tls": False,
                "cold_start_s": 0.0,
                "cold_per_s": 0.0,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    }


def entry(address: str, service: str, **more) -> dict:
    """Return the entry of a server in the store."""
    return {
        "service": service,
        "address": address,
        "zone": "zone-a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": BORN,
        **more,
    }


def run(case, folder: Path) -> None:
    """Play a case, end its processes, and exit with what it returned.

    `case` gets the fleet and returns the breaches of the rule, as texts.
    """
    record = Record(folder)

    async def play() -> int:
        fleet = Fleet(record)
        try:
            async with asyncio.timeout(105):
                breaches = await case(fleet)
        except Exception as error:
            # Only a case that was played to its end says whether the rule held.
            record.write(f"the case could not run: {error!r}")
            return 2
        finally:
            await fleet.end()
        for breach in breaches:
            record.write(f"BROKEN    {breach}")
        record.write("the rule was broken" if breaches else "the rule held")
        return 1 if breaches else 0

    status = asyncio.run(play())
    print({0: "the rule held", 1: "the rule was broken", 2: "could not run"}[status])
    sys.exit(status)
