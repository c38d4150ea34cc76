"""A small deployment on loopback addresses: gateways by the deploy file, and a store.

The bounds are those of aml-luci-grown, and the other settings those of DEPLOY.md.

Each gateway has an address of its own, with the same ports, as on separate machines.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from review.kit.http_parts import Answer, call
from review.kit.store import Store

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, STORE_PORT = 8227, 8220, 8229, 8223
PEER_PORT, PROXIED_PORT = 7340, 7341
PORTS = (FRONT, READY, CONTROL, PEER_PORT, PROXIED_PORT, 9464)
STABILITY_SECONDS = 4.0
GRACE_SECONDS = 8.0
HEARTBEAT_SECONDS = 1.2
HELD, COULD_NOT_RUN, BROKEN = 0, 2, 10
HOST, KEY, TENANT = "ficu95.example", "n2ctnfzs989anu6wsjnb", "hule930"

SETTINGS = """node = "front-{number}"
role = "gateway"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "nord-ovest"
internal_ports = [{peer_port},7355]
seeds = {seeds}
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream",\
"tenants","places","platform","spans"]
[zones]
sondrio = "nord-ovest"
bormio = "nord-ovest"
[listen]
front = "{ip}:8227"
ready = "{ip}:8220"
control = "{ip}:8229"
[limits]
cpu_share = 0.817
cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stability_window_ms = 4000
ack_ms = 6000
catch_up_s = 6
drain_ms = 3000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_stretch_ms = 6000
strict_revoke = false
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
retry_slack = 120
cold_overage = 1.5
cold_slack = 5
evacuate_ms = 5000
recover_s = 15
pass_ms = 200
again_s = 0
stall_ms = 1500
hold_max_ms = 20000
free_ms = 4000
idle_max_ms = 9000
[platform]
address = "{store}"
form = "read"
writes_per_s = 400
reads_per_s = 6000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class CannotRun(Exception):
    """The case cannot be run here, which says nothing about the rule."""


class Record:
    """Lines with the time since the start, kept in `record.txt`."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def __call__(self, text: str) -> None:
        line = f"{time.monotonic() - self._began_at:8.3f} {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


def free_network() -> str:
    """Return a loopback network whose addresses have the ports of a deployment free."""
    for _ in range(100):
        net = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}"
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for number, port in itertools.product((1, 8, 20), (*PORTS, STORE_PORT)):
                bound = stack.enter_context(socket.socket())
                bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                bound.bind((f"{net}.{number}", port))
            return net
    raise CannotRun("no free loopback network")


class Gateway:
    """One gateway process, started as the deploy file says."""

    def __init__(self, site: "Site", number: int):
        self.number = number
        self.ip = f"{site.net}.{number}"
        self.process: subprocess.Popen | None = None
        self._path = site.folder / f"front-{number}.toml"
        self._log = site.folder / f"front-{number}.log"
        self._seeds = [f"{site.net}.{other}:{CONTROL}" for other in site.numbers]
        self._store = f"{site.net}.20:{STORE_PORT}"
        self.write_settings()

    def write_settings(
        self, *, zone: str = "sondrio", peer_port: int = PEER_PORT
    ) -> None:
        """Write the settings file with which the process starts."""
        text = SETTINGS.format(
            number=self.number,
            ip=self.ip,
            zone=zone,
            peer_port=peer_port,
            seeds=json.dumps(self._seeds[:3]),
            store=self._store,
        )
        self._path.write_text(text, encoding="utf-8")

    def log_events(self, event: str) -> list[dict]:
        """Return the lines of one event of its log."""
        text = self._log.read_text("utf-8", "replace")
        lines = text[: text.rfind("\n") + 1].splitlines()
        found = [json.loads(line) for line in lines if f'"event":"{event}"' in line]
        return found

    def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        role = deploy["roles"]["gateway"]
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment |= role.get("env", {})
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["BILBERRYRING_NODE_FILE"] = str(self._path)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self) -> bool:
        headers = [("Host", "ready")]
        answer = await call((self.ip, READY), "GET", "/v1/ready", headers, seconds=1)
        return answer.status == 200

    async def wait_ready(self, seconds: float = 20.0) -> None:
        until = time.monotonic() + seconds
        while not await self.is_ready():
            if self.process.poll() is not None:
                raise CannotRun(f"gateway exited with {self.process.returncode}")
            if time.monotonic() > until:
                raise CannotRun("a gateway is not ready")
            await asyncio.sleep(0.1)

    async def wait_end(self, seconds: float) -> int | None:
        """Return the exit status, or `None` if the process still runs."""
        until = time.monotonic() + seconds
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return self.process.returncode

    async def stop(self) -> None:
        """Stop it as the platform does: SIGTERM, then SIGKILL after the grace."""
        self.process.send_signal(signal.SIGTERM)
        if await self.wait_end(GRACE_SECONDS) is None:
            self.process.kill()
            self.process.wait()

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Site:
    """The gateways, the store and the operator of one run."""

    def __init__(self, *, gateways: int, record: Record):
        self.record = record
        self.net = free_network()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.numbers = tuple(range(1, gateways + 1))
        self.store = Store()
        self.gateways = [Gateway(self, number) for number in self.numbers]
        self._ids = itertools.count(1)

    async def start(self, configuration: dict) -> None:
        if not (ROOT / "target/deps").is_dir():
            raise CannotRun("run the build command of the deploy file first")
        await self.store.start(f"{self.net}.20", STORE_PORT)
        self.store.put("op/config", configuration)

    async def start_gateways(self) -> None:
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    def close(self) -> None:
        for gateway in self.gateways:
            gateway.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def call(
        self, gateway: Gateway, method: str, path: str, *, deadline_ms: int
    ) -> tuple[str, Answer]:
        """Send a client's request; return its id and answer."""
        request_id = f"{next(self._ids):016x}"
        headers = [
            ("Host", HOST),
            ("Bilberryring-Request-Id", request_id),
            ("Bilberryring-Deadline-Ms", str(deadline_ms)),
            ("Authorization", f"Bearer {KEY}"),
        ]
        if method == "POST":
            headers.append(("Content-Length", "0"))
        answer = await call(
            (gateway.ip, FRONT), method, path, headers, seconds=deadline_ms / 1000 + 2
        )
        return request_id, answer


def run_case(folder: Path, gateways: int, case) -> int:
    """Run `case(site, trouble)`, which returns whether the rule held.

    Returns HELD, BROKEN or COULD_NOT_RUN. BROKEN is no status with which Python itself
    ends a program that fails; `run.sh` turns it into 1.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> bool:
        task, loop = asyncio.current_task(), asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        site = Site(gateways=gateways, record=record)
        try:
            async with asyncio.timeout(110):
                return await case(site, trouble)
        finally:
            site.close()

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record(f"could not run: {error!r}")
        return COULD_NOT_RUN
    record("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN
