"""Entries of services that no configuration names, beside those of endpoints.

Guards against requests that are cut off at a sound endpoint because an entry of another
writer names its address.
"""

import json
import threading
from io import StringIO
from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from bilberryring.fleet import FleetState, PublishedItem, Replica
from bilberryring.platform.names import CONFIGURATION_KEY
from bilberryring.platform.tests.odd_entries import ENTRY
from bilberryring.platform.translation import Translator
from bilberryring.standins.gateway_site import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    make_configuration,
    make_route,
)
from bilberryring.standins.scripted_endpoint import (
    chunk,
    event,
    stream_head,
    whole_answer,
)
from bilberryring.telemetry import EventLog
from bilberryring.testing.processes import pause, wait_until

BORN_MS = 1_700_000_000_000
LATER = {"born": BORN_MS + 5_000}
N_EVENTS = 12
EVENT_SECONDS = 0.1
KNOWN, UNKNOWN = PLAIN_SERVICE, "audit"
ENTRIES = {
    "ready": [LATER],
    "leaving": [LATER | {"state": "draining"}],
    "without a name": [LATER | {"service": ""}],
    "two ids": [LATER, {"born": BORN_MS + 6_000}],
    "removed": [LATER, None],
}
"""What is written for another service at the endpoint's address, by what it is."""


def answer_slowly(request, connection):
    """Answer with a stream, or with a body that takes as long."""
    if not request.target.startswith("/once/"):
        pause(N_EVENTS * EVENT_SECONDS)
        connection.sendall(whole_answer(request.request_id, b"ok"))
        return
    connection.sendall(stream_head(request.request_id))
    for number in range(N_EVENTS):
        pause(EVENT_SECONDS)
        connection.sendall(chunk(event(number + 1)))
    connection.sendall(chunk(b""))


@pytest.mark.parametrize("entries", ENTRIES.values(), ids=ENTRIES)
def test_an_entry_of_an_unknown_service_cuts_off_no_request(site, entries):
    once = make_route("/once/", "streaming", MODEL_SERVICE, stream_resume=False)
    routes = [*make_configuration()["routes"], once]
    site.publish(make_configuration(version=2, routes=routes))
    paths = {"/once/": MODEL_SERVICE, "/charge/": PLAIN_SERVICE}
    endpoints = {
        path: site.add_endpoint(service, answer_slowly, service=service, born=BORN_MS)
        for path, service in paths.items()
    }
    site.start_gateway()
    answers = {}

    def call(path):
        answers[path] = site.call(path, Bilberryring_Deadline_Ms="9000")

    threads = [threading.Thread(target=call, args=(path,)) for path in paths]
    for thread in threads:
        thread.start()
    for endpoint in endpoints.values():
        wait_until(lambda e=endpoint: e.requests, 3.0, "the request")
    for number, changes in enumerate(entries):
        for path, endpoint in endpoints.items():
            name = f"agent{path.strip('/')}"
            if changes is None:
                site.remove(f"servers/{name}-0")
                continue
            entry = {"service": UNKNOWN} | changes
            site.announce(f"{name}-{number}", endpoint.address, **entry)
        pause(0.2)
    for thread in threads:
        thread.join(5.0)
    assert {path: answer.status for path, answer in answers.items()} == {
        "/once/": 200,
        "/charge/": 200,
    }
    assert not any(answer.is_cut for answer in answers.values())
    assert answers["/once/"].body.count(b"data:") == N_EVENTS
    assert all(len(endpoint.requests) == 1 for endpoint in endpoints.values())


class Reader:
    """A translator of published items, and what it called."""

    def __init__(self, on_started=None):
        self.fleet = FleetState()
        self.started = []
        self.removed = []
        self.output = StringIO()
        self._revision = 0
        self._replica = Replica()
        self._translator = Translator(
            reactor=Clock(),
            fleet=self.fleet,
            health=SimpleNamespace(is_recovering=lambda grace: False),
            log=EventLog(process="p", role="gateway", stream=self.output),
            on_endpoint_removed=lambda endpoint: self.removed.append(endpoint.id),
            on_endpoint_started=on_started or self._record_start,
        )

    @property
    def endpoints(self):
        return sorted(endpoint.id for endpoint in self.fleet.endpoints.all)

    def write(self, **entries):
        """Write entries by the id of their endpoint; `None` removes one."""
        self._apply(
            {
                f"servers/{name}": None if entry is None else ENTRY | entry
                for name, entry in entries.items()
            }
        )

    def publish(self, version, *services):
        listed = [{"name": service} for service in services]
        value = {"version": version, "routes": [], "services": listed}
        self._apply({CONFIGURATION_KEY: value})

    def _record_start(self, endpoint):
        self.started.append(endpoint.run)

    def _apply(self, values):
        self._revision += 1
        items = [
            PublishedItem(
                key=key,
                revision=self._revision,
                value=None if value is None else json.dumps(value).encode(),
            )
            for key, value in values.items()
        ]
        self._translator.update_fleet(self._replica, self._replica.apply(items))


def test_an_unknown_service_has_no_endpoints():
    reader = Reader()
    reader.publish(1, KNOWN)
    reader.write(a={"service": KNOWN}, b={"service": UNKNOWN} | LATER)
    reader.write(b={"service": UNKNOWN, "born": BORN_MS + 6_000})
    reader.write(b=None)
    assert (reader.endpoints, reader.started) == (["a"], [f"a/{BORN_MS}"])
    assert reader.removed == []
    assert reader.output.getvalue().count('"standing":"unknown_service"') == 1


def test_an_entry_that_comes_before_its_service_is_an_endpoint_from_then_on():
    reader = Reader()
    reader.write(a={"service": KNOWN}, b={"service": KNOWN}, c={"service": UNKNOWN})
    reader.write(b=None)
    assert (reader.endpoints, reader.started) == ([], [])
    reader.publish(1, KNOWN)
    assert (reader.endpoints, reader.started) == (["a"], [f"a/{BORN_MS}"])
    reader.publish(2, KNOWN, UNKNOWN)
    assert reader.endpoints == ["a", "c"]
    assert len(reader.started) == 2


def test_an_endpoint_stays_when_its_service_is_dropped():
    # Requests run there, and it may leave or start again.
    reader = Reader()
    reader.publish(1, KNOWN, "new")
    reader.write(a={"service": KNOWN})
    reader.publish(2, "new")
    assert reader.endpoints == ["a"]
    reader.write(a={"service": KNOWN, "state": "draining"})
    assert [item.state.name for item in reader.fleet.endpoints.all] == ["LEAVING"]
    reader.write(a={"service": KNOWN} | LATER)
    assert reader.started == [f"a/{BORN_MS}", f"a/{BORN_MS + 5_000}"]
    reader.write(a=None, b={"service": KNOWN})
    assert (reader.endpoints, reader.removed) == ([], ["a"])


def test_an_endpoint_whose_entry_is_overwritten_is_not_used_until_it_writes_again():
    reader = Reader()
    reader.publish(1, KNOWN)
    reader.write(a={"service": KNOWN})
    reader.write(a={"service": UNKNOWN} | LATER)
    assert reader.endpoints == []
    reader.write(a={"service": KNOWN})
    assert reader.endpoints == ["a"]
    assert reader.started == [f"a/{BORN_MS}"] * 2


def test_one_endpoint_of_a_new_service_holds_up_no_other():
    def fail(endpoint):
        raise RuntimeError(f"no {endpoint.id}")

    reader = Reader(on_started=fail)
    reader.write(a={"service": KNOWN}, b={"service": KNOWN})
    reader.publish(1, KNOWN)
    assert reader.endpoints == ["a", "b"]
    assert reader.output.getvalue().count("internal_fault") == 2
