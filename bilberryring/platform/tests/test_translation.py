"""Changed keys are applied to the fleet state one by one."""

import json
from io import StringIO
from types import SimpleNamespace

from twisted.internet.task import Clock

from bilberryring.fleet import FleetState, PublishedItem, Replica
from bilberryring.gateway.published_copies import PublishedCopies
from bilberryring.platform import configuration, translation
from bilberryring.platform.names import CONFIGURATION_KEY, OPERATOR_PREFIX
from bilberryring.platform.tests.odd_entries import ENTRY
from bilberryring.platform.translation import Translator
from bilberryring.standins.gateway_site import PLAIN_SERVICE, make_route
from bilberryring.telemetry import EventLog

N_VERSIONS = 8
N_ROUTES = 600


def make_translator(fleet, output, on_endpoint_removed=None):
    return Translator(
        reactor=Clock(),
        fleet=fleet,
        health=SimpleNamespace(is_recovering=lambda grace: False),
        log=EventLog(process="p", role="gateway", stream=output),
        on_endpoint_removed=on_endpoint_removed,
    )


def test_versions_that_are_read_together_are_decoded_once(monkeypatch):
    decoded = []

    def decode(content):
        decoded.append(content)
        return decode_configuration(content)

    decode_configuration = translation.decode_configuration
    monkeypatch.setattr(translation, "decode_configuration", decode)
    fleet = FleetState()
    copies = PublishedCopies(prefixes=(OPERATOR_PREFIX,), clock=Clock())
    copies.add_listener(make_translator(fleet, StringIO()).update_fleet)
    items = [
        PublishedItem(
            key=CONFIGURATION_KEY,
            revision=version,
            value=b'{"version": %d, "routes": [], "services": []}' % version,
        )
        for version in range(1, N_VERSIONS + 1)
    ]
    assert copies.apply(OPERATOR_PREFIX, items, era=0) == 1
    assert fleet.configuration.version == N_VERSIONS
    assert decoded == [items[-1].value]


def test_a_version_with_one_other_route_converts_only_that_one(monkeypatch):
    converted = []

    def convert(route):
        converted.append(route.name)
        return convert_route(route)

    convert_route = configuration._convert_route
    monkeypatch.setattr(configuration, "_convert_route", convert)
    routes = [
        make_route(f"/only-{number}/", "idempotent", PLAIN_SERVICE)
        for number in range(N_ROUTES)
    ]

    def decode(version):
        content = {"version": version, "routes": routes, "services": []}
        return configuration.decode_configuration(json.dumps(content).encode())

    first = decode(1)
    assert len(converted) == N_ROUTES
    routes[7] = make_route("/only-7/", "idempotent", "another")
    second = decode(2)
    assert converted[N_ROUTES:] == ["r-only-7"]
    assert second.routes[7].shares[0].service == "another"
    assert second.routes[:7] + second.routes[8:] == first.routes[:7] + first.routes[8:]


def test_a_key_that_cannot_be_applied_holds_up_no_other():
    fleet, output, replica = FleetState(), StringIO(), Replica()

    def fail(endpoint):
        raise RuntimeError(f"no {endpoint.id}")

    translator = make_translator(fleet, output, on_endpoint_removed=fail)

    def apply(revision, **values):
        items = [
            PublishedItem(key=f"servers/{name}", revision=revision, value=value)
            for name, value in values.items()
        ]
        translator.update_fleet(replica, replica.apply(items))

    listed = {"name": ENTRY["service"]}
    content = {"version": 1, "routes": [], "services": [listed]}
    fleet.put_in_force(configuration.decode_configuration(json.dumps(content).encode()))
    entry = json.dumps(ENTRY).encode()
    apply(20, a=entry, b=entry)
    apply(30, a=None, c=entry)
    assert [endpoint.id for endpoint in fleet.endpoints.all] == ["b", "c"]
    assert output.getvalue().count("internal_fault") == 1
