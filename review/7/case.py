"""Servers leave while a gateway that was stopped and started again reads the list."""

import collections
import os
import pathlib
import random
import socket
import sys
import threading
import time
import traceback

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit2"))

import rig as kit  # noqa: E402
from many_servers import name_of  # noqa: E402
from store import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS = 10
SERVERS = 96
PAGE = 50
LEAVING = 14
GAP_S = 0.001
ROUNDS = 6
DRAIN_S = 3.0
STABILITY_S = 4.0
SERVES_ON_S = 9.0
SERVICE = "rutas"
BOUNDS = {"drain_ms": 3000, "stability_window_ms": 4000, "config_apply_ms": 3000}


def main(record):
    rig = kit.Rig(record, gateways=GATEWAYS)
    try:
        return Play(rig, record).run()
    finally:
        rig.close()


class Play:
    def __init__(self, rig, record):
        self.rig, self.record = rig, record
        self.store = Store(rig.host(250), page=PAGE)
        self.addresses = {}
        self.left_at = {}
        self.not_in_touch = collections.defaultdict(list)
        self.is_over = False
        self.stopping = 0
        self.statuses = collections.Counter()
        self.first_read = threading.Event()
        self.store.on_read = self.note_read

    def note_read(self, caller, path, query):
        if path.endswith("kv-range") and query.get("prefix") == "servers/":
            self.first_read.set()

    def run(self):
        self.log = self.rig.folder / "runs.log"
        host = self.rig.host(100)
        _, port = self.rig.start_program(
            "servers", "many_servers.py", host, SERVERS, "i", self.log
        )
        routes = [kit.route("/ruta/", "idempotent", SERVICE, timeout_ms=2000)]
        services = [{"name": SERVICE, "max_connections": 400}]
        self.store.put("op/config", kit.configuration(3, routes, services))
        for number in range(SERVERS):
            name = name_of("i", number)
            self.addresses[name] = f"{host}:{int(port) + number}"
            self.store.put(f"servers/{name}", kit.entry(SERVICE, self.addresses[name]))
        for number in range(1, GATEWAYS + 1):
            self.rig.start_gateway(number, self.store, bounds=BOUNDS)
        for number in range(1, GATEWAYS + 1):
            self.rig.wait_ready(number)
        time.sleep(STABILITY_S + 1.0)
        clients = [
            threading.Thread(target=self.send, args=(number,), daemon=True)
            for number in range(1, GATEWAYS + 1)
            for _ in range(2)
        ]
        for client in clients:
            client.start()
        for number in range(ROUNDS):
            self.restart_beside_departures(number % GATEWAYS + 1)
        time.sleep(SERVES_ON_S)
        self.is_over = True
        for client in clients:
            client.join(5.0)
        return self.judge()

    def restart_beside_departures(self, number):
        """Stop and start a gateway; servers leave as it reads the list."""
        began_at = time.monotonic()
        process = self.rig.process(f"front-{number}")
        self.stopping = number
        process.terminate()
        self.record.write(f"SIGTERM to front-{number}")
        process.wait(12.0)
        self.first_read.clear()
        self.rig.start_gateway(number, self.store, bounds=BOUNDS)
        self.record.write(f"front-{number} is started again")
        if not TROUBLE:
            self.rig.wait_ready(number)
            time.sleep(0.5)
        elif not self.first_read.wait(10.0):
            raise kit.CannotRun("the gateway has not read the list")
        staying = [name for name in self.addresses if name not in self.left_at]
        for name in random.sample(staying, LEAVING):
            draining = kit.entry(
                SERVICE, self.addresses[name], state="draining", sequence=2
            )
            self.left_at[name] = self.store.put(f"servers/{name}", draining)
            self.record.write(f"store acknowledges that {name} is draining")
            time.sleep(GAP_S)
        self.rig.wait_ready(number)
        self.stopping = 0
        ended_at = time.monotonic() + STABILITY_S
        self.not_in_touch[number].append((began_at, ended_at))
        time.sleep(1.0)

    def send(self, number):
        """Send requests to one gateway, on a kept connection."""
        counter = 0
        while not self.is_over:
            if number == self.stopping:
                time.sleep(0.2)
                continue
            try:
                peer = socket.create_connection(self.rig.front(number), timeout=3.0)
                stream = peer.makefile("rb")
                while not self.is_over and number != self.stopping:
                    counter += 1
                    request_id = f"g{number}-{os.urandom(6).hex()}"
                    peer.sendall(
                        f"GET /ruta/{counter} HTTP/1.1\r\nHost: {kit.HOST}\r\n"
                        f"Authorization: Bearer {kit.KEY}\r\n"
                        f"Bilberryring-Request-Id: {request_id}\r\n"
                        "Bilberryring-Deadline-Ms: 2000\r\n\r\n".encode()
                    )
                    answer = kit.read_answer(stream)
                    self.statuses[answer.status] += 1
                    if not answer.is_complete or "close" in answer.headers.get(
                        "connection", ""
                    ):
                        break
                    time.sleep(0.03)
                peer.close()
            except OSError:
                self.statuses["no connection"] += 1
                time.sleep(0.2)

    def judge(self):
        broken = collections.Counter()
        for line in self.log.read_text("utf-8").splitlines():
            at, name, request_id = line.split()
            at, number = float(at), int(request_id[1 : request_id.index("-")])
            left_at = self.left_at.get(name)
            if left_at is None or at <= left_at + DRAIN_S:
                continue
            if any(began <= at <= end for began, end in self.not_in_touch[number]):
                continue
            broken[number, name] += 1
            if broken[number, name] == 1:
                self.record.write(
                    f"BROKEN: front-{number} sends {request_id} to {name}, which runs "
                    f"it {at - left_at:.2f} s after the store had its `draining`"
                )
        self.record.write(f"answers by status: {dict(self.statuses)}")
        self.record.write(
            f"{sum(broken.values())} requests of {len(broken)} pairs of gateway and "
            "server came too late"
        )
        return kit.BROKEN if broken else kit.HELD


if __name__ == "__main__":
    try:
        status = main(kit.Record(FOLDER))
    except Exception:
        traceback.print_exc()
        status = kit.NOT_RUN
    sys.exit(status)
