"""What the cases share: gateways as in the deploy file, clients and the record."""

import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
KIT = pathlib.Path(__file__).resolve().parent
BROKEN, HELD, NOT_RUN = 1, 0, 2
HOST = "tienda.example"
KEY = "clave1"
TENANT = "bares"
STAMP = "Bilberryring-Response-Stamp"


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to `record.txt` of a case."""

    def __init__(self, folder):
        path = pathlib.Path(folder) / "record.txt"
        self._file = path.open("w", encoding="utf-8")  # noqa: SIM115
        self._began = time.monotonic()

    def write(self, text):
        line = f"{time.monotonic() - self._began:8.3f} s  {text}"
        self._file.write(line + "\n")
        self._file.flush()


class Rig:
    """Loopback addresses, settings, gateways and servers of one case."""

    def __init__(self, record, *, gateways=1, grace_s=8):
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self._net = f"127.{random.randint(40, 200)}.{random.randint(1, 250)}"
        self._ports = _free_ports(self.host(1), 5)
        self._n = gateways
        self._grace_s = grace_s
        self._processes = {}

    def host(self, number):
        return f"{self._net}.{number}"

    def front(self, number):
        return (self.host(number), self._ports[0])

    def start_gateway(self, number, store, *, bounds=None):
        """Start a gateway with the command of the deploy file; it isn't awaited."""
        host, (front, ready, control, inner, metrics) = self.host(number), self._ports
        seeds = [f"{self.host(n + 1)}:{control}" for n in range(min(3, self._n))]
        limits = {
            "stability_window_ms": 3000,
            "drain_ms": 2000,
            "grace_s": self._grace_s,
            "config_apply_ms": 2000,
            "budget_ratio": 0.2,
            "budget_window_s": 10,
            "retry_slack": 102,
            "cold_overage": 1.5,
            "cold_slack": 5,
            "hold_max_ms": 20000,
            "free_ms": 4000,
        } | (bounds or {})
        text = "\n".join(
            [
                f'node = "front-{number}"',
                'role = "gateway"',
                'machine_class = "front"',
                'serves = ["front","control"]',
                f'ip = "{host}"',
                'zone = "norte"',
                'region = "centro"',
                f"internal_ports = [{inner},{inner}]",
                f"seeds = {json.dumps(seeds)}",
                "[zones]",
                'norte = "centro"',
                "[listen]",
                f'front = "{host}:{front}"',
                f'ready = "{host}:{ready}"',
                f'control = "{host}:{control}"',
                "[limits]",
                "memory_mb = 300",
                "max_fds = 4100",
                "[bounds]",
                *(f"{name} = {value}" for name, value in limits.items()),
                "[platform]",
                f'address = "{store.address}"',
                'form = "read"',
                "",
            ]
        )
        path = self.folder / f"front-{number}.toml"
        path.write_text(text, "utf-8")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "JAVA_HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BILBERRYRING_NODE_FILE": str(path),
            "BILBERRYRING_METRICS_PORT": str(metrics),
        }
        with open(self.folder / f"front-{number}.log", "ab") as log:
            process = subprocess.Popen(
                ["python3", "-m", "bilberryring.platform.process"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._processes[f"front-{number}"] = process
        return process

    def wait_ready(self, number, seconds=15.0):
        """Wait until the gateway answers the platform's question with 200."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.is_ready(number):
                return
            time.sleep(0.05)
        raise CannotRun(f"front-{number} was not ready in {seconds} s")

    def is_ready(self, number):
        try:
            with socket.create_connection(
                (self.host(number), self._ports[1]), timeout=1.0
            ) as connection:
                connection.sendall(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def start_program(self, name, *arguments):
        """Start a stand-in of this folder; return it with its first line."""
        process = subprocess.Popen(
            [sys.executable, str(KIT / arguments[0]), *map(str, arguments[1:])],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._processes[name] = process
        line = process.stdout.readline().strip()
        if not line:
            raise CannotRun(f"{name} did not start")
        return process, line

    def process(self, name):
        return self._processes[name]

    def log_of(self, number):
        path = self.folder / f"front-{number}.log"
        return path.read_text("utf-8", "replace") if path.exists() else ""

    def close(self):
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def _free_ports(host, count):
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((host, 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


def route(prefix, kind, service, **changes):
    """Return a route as operators write it."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 10000,
        "target_latency_ms": 1000,
        "priority": 1,
        "service": service,
        "attempts": 1 if kind == "non_idempotent" else 2,
        "allow_anonymous": False,
        "sticky_sessions": False,
        "stream_resume": False,
    } | changes


def configuration(version, routes, services):
    """Return a configuration as operators write it."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


def entry(service, address, *, state="ready", sequence=1, born=0):
    """Return what a server says of itself in the store."""
    return {
        "service": service,
        "address": address,
        "zone": "norte",
        "version": "v1",
        "slots": 8,
        "state": state,
        "cold_remaining_ms": 0,
        "sequence": sequence,
        "born": born,
    }


class Answer:
    """An answer as a client got it; `is_complete` is what its framing says."""

    def __init__(self, status, headers, body, is_complete):
        self.status, self.headers = status, headers
        self.body, self.is_complete = body, is_complete

    def __str__(self):
        end = "complete" if self.is_complete else "not complete"
        return f"{self.status}, {len(self.body)} bytes of body, {end} by its framing"


def call(
    address,
    path,
    *,
    request_id,
    method="POST",
    body=b"x",
    deadline_ms=9000,
    wait_s=None,
):
    """Send a request on a new connection and read its answer to the end."""
    wait_s = wait_s or deadline_ms / 1000 + 2
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Authorization: Bearer {KEY}\r\n"
        f"Bilberryring-Request-Id: {request_id}\r\n"
        f"Bilberryring-Deadline-Ms: {deadline_ms}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    try:
        with socket.create_connection(address, timeout=wait_s) as peer:
            peer.sendall(head.encode() + body)
            return read_answer(peer.makefile("rb"))
    except OSError as error:
        return Answer(0, {}, str(error).encode(), False)


def read_answer(stream):
    """Read one answer by RFC 9112, section 6.3."""
    line = stream.readline().split()
    if len(line) < 2:
        return Answer(0, {}, b"", False)
    headers = {}
    while (field := stream.readline().strip()) != b"":
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    status = int(line[1])
    body, is_complete = b"", False
    try:
        if "chunked" in headers.get("transfer-encoding", "").lower():
            while True:
                size = stream.readline().strip()
                if not size:
                    break
                data = stream.read(int(size, 16) + 2)
                body += data[:-2]
                if int(size, 16) == 0:
                    is_complete = True
                    break
        elif "content-length" in headers:
            length = int(headers["content-length"])
            body = stream.read(length)
            is_complete = len(body) == length
        else:
            body = stream.read()
            is_complete = True
    except OSError:
        is_complete = False
    return Answer(status, headers, body, is_complete)
