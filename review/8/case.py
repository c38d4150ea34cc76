"""All gateways are killed at once, twice, beside a request that crashes servers."""

import itertools
import os
import pathlib
import sys
import threading
import time
import traceback

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit2"))

import rig as kit  # noqa: E402
from store import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS = 4
SERVERS = 8
HERD_KILLS = 2
CRASHES = 3
STABILITY_S = 3.0
BACK_AFTER_S = 2.0
SILENCE_S = 3.6
MOST_RETRIES = 3
SERVICE = "rutas"
POISON = "/ruta/veneno"


def main(record):
    rig = kit.Rig(record, gateways=GATEWAYS)
    play = Play(rig, record)
    try:
        return play.run()
    finally:
        play.is_over = True
        rig.close()


class Play:
    def __init__(self, rig, record):
        self.rig, self.record = rig, record
        self.store = Store(rig.host(250))
        self.log = rig.folder / "runs.log"
        self.names = itertools.count()
        self.ids = itertools.count()
        self.is_over = False
        self.bookings = {}

    def run(self):
        routes = [
            kit.route("/ruta/", "idempotent", SERVICE, timeout_ms=2000),
            kit.route("/reserva/", "non_idempotent", SERVICE, timeout_ms=2000),
        ]
        services = [{"name": SERVICE, "max_connections": 100}]
        self.store.put("op/config", kit.configuration(3, routes, services))
        for number in range(SERVERS):
            threading.Thread(target=self.supervise, args=(number,), daemon=True).start()
        time.sleep(1.5)
        for number in range(1, GATEWAYS + 1):
            self.rig.start_gateway(number, self.store)
        for number in range(1, GATEWAYS + 1):
            self.rig.wait_ready(number)
        time.sleep(STABILITY_S)
        threading.Thread(target=self.book, daemon=True).start()
        self.send_poison(4)
        self.crashes = self.poisoned_runs()
        if len(self.crashes) < CRASHES:
            raise kit.CannotRun("the request has not crashed three servers")
        third_at = self.crashes[CRASHES - 1][0]
        self.record.write(f"the request has crashed {len(self.crashes)} servers")
        time.sleep(STABILITY_S + 3.0)
        for _ in range(HERD_KILLS):
            if TROUBLE:
                self.kill_all()
            time.sleep(STABILITY_S + 3.0)
            self.send_poison(4)
            time.sleep(6.0)
        return self.judge(third_at + STABILITY_S)

    def supervise(self, number):
        """Run one server; it is back some seconds after a crash, under a new id."""
        while not self.is_over:
            name = f"i-{number}{next(self.names):02d}"
            process, address = self.rig.start_program(
                name, "fragile_server.py", self.rig.host(100 + number), name, self.log
            )
            self.store.put(f"servers/{name}", kit.entry(SERVICE, address))
            process.wait()
            if self.is_over:
                return
            self.record.write(f"server {name} has crashed")
            threading.Timer(SILENCE_S, self.store.remove, [f"servers/{name}"]).start()
            time.sleep(BACK_AFTER_S)

    def kill_all(self):
        for number in range(1, GATEWAYS + 1):
            self.rig.process(f"front-{number}").kill()
        for number in range(1, GATEWAYS + 1):
            self.rig.process(f"front-{number}").wait()
        self.record.write("all gateways are killed at once (SIGKILL)")
        for number in range(1, GATEWAYS + 1):
            self.rig.start_gateway(number, self.store)
        for number in range(1, GATEWAYS + 1):
            self.rig.wait_ready(number)
        self.record.write("all gateways are ready again")

    def send_poison(self, count):
        """The request comes one after the other, each time at the next machine."""
        for number in range(count):
            gateway = number % GATEWAYS + 1
            request_id = f"v{next(self.ids):03d}"
            answer = kit.call(
                self.rig.front(gateway),
                POISON,
                request_id=request_id,
                method="GET",
                body=b"",
                deadline_ms=2000,
            )
            self.record.write(
                f"client sends {request_id} (GET {POISON}) to front-{gateway}: {answer}"
            )
            time.sleep(0.5)

    def book(self):
        """Send bookings all the while, to tell what the crashes cost."""
        for number in itertools.count():
            if self.is_over:
                return
            request_id = f"b{number:05d}"
            threading.Thread(target=self.book_once, args=(request_id, number)).start()
            time.sleep(0.05)

    def book_once(self, request_id, number):
        answer = kit.call(
            self.rig.front(number % GATEWAYS + 1),
            "/reserva/1",
            request_id=request_id,
            deadline_ms=2000,
        )
        self.bookings[request_id] = answer.status

    def poisoned_runs(self):
        lines = self.log.read_text("utf-8").splitlines()
        runs = [line.split() for line in lines if " runs v" in line]
        return [(float(at), name, request_id) for at, name, _, request_id in runs]

    def judge(self, since):
        late = [run for run in self.poisoned_runs() if run[0] > since]
        for _, name, request_id in late:
            self.record.write(f"{name} ran {request_id} after the third crash")
        retries = {request_id for _, _, request_id in late}
        lines = self.log.read_text("utf-8").splitlines()
        runs = [line.split() for line in lines if " runs b" in line]
        ran_late = {request_id for at, _, _, request_id in runs if float(at) > since}
        lost = [
            request_id
            for request_id in sorted(ran_late)
            if self.bookings.get(request_id) == 502
        ]
        for request_id in lost:
            self.record.write(f"booking {request_id} ran later than that and got 502")
        self.record.write(
            f"{len(retries)} retries reached servers later than {STABILITY_S} s after "
            f"the third crash, in {len(late)} runs; {MOST_RETRIES} are allowed. Of "
            f"{len(ran_late)} bookings that ran later than that {len(lost)} got 502"
        )
        return kit.BROKEN if len(retries) > MOST_RETRIES else kit.HELD


if __name__ == "__main__":
    try:
        status = main(kit.Record(FOLDER))
    except Exception:
        traceback.print_exc()
        status = kit.NOT_RUN
    sys.exit(status)
