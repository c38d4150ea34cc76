"""One odd entry among those of the endpoints spoils itself alone."""

import itertools
import json

import pytest

from bilberryring.platform.configuration import ContentError, decode_endpoint
from bilberryring.platform.tests.odd_entries import (
    ENTRY,
    ODD_ENTRIES,
    ODD_IDS,
    with_field,
)
from bilberryring.standins.gateway_site import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    GatewaySite,
    make_configuration,
)
from bilberryring.standins.scripted_endpoint import (
    answer_all,
    chunk,
    event,
    stream_head,
)
from bilberryring.testing.processes import pause, wait_until

GATEWAYS = (1, 2)
PATHS = ("/look/", "/charge/", "/chat/")
CALLS = 8
IN_FORCE_SECONDS = 4.0
PLAYED = [
    "slots_400_digits",
    "slots_nested",
    "born_5000_digits",
    "cold_large_power",
    "address_port_65536",
    "address_port_5000_digits",
    "address_superscript_port",
    "address_line_break",
    "no_json",
]


def answer(request, connection):
    if not request.target.startswith("/chat/"):
        answer_all(request, connection)
        return
    connection.sendall(stream_head(request.request_id))
    connection.sendall(chunk(event(1)) + chunk(event(2)) + chunk(b""))


@pytest.fixture(scope="module")
def shared_site():
    site = GatewaySite(gateways=len(GATEWAYS), retry_slack=100_000).start()
    plain, model = make_configuration()["services"]
    unlimited = model | {"cold_per_s": 0}
    elsewhere = {"name": "elsewhere"}
    site.publish(make_configuration(services=[plain, unlimited, elsewhere]))
    site.add_endpoint("good-orders", answer)
    site.add_endpoint("good-model", answer, service=MODEL_SERVICE)
    for number in GATEWAYS:
        site.start_gateway(number)
    yield site
    site.stop()


def statuses(site):
    return [
        site.call(path, number=number).status
        for number, path, _ in itertools.product(GATEWAYS, PATHS, range(CALLS))
    ]


def standing_lines(site, number, endpoint):
    lines = site.log_events(number, event="endpoint_standing_changed")
    return [line for line in lines if line["endpoint"] == endpoint]


def faults(site):
    return [
        line["detail"]
        for number in GATEWAYS
        for line in site.log_events(number, event="internal_fault")
    ]


def is_followed(site, endpoint):
    return all("ready" in standings(site, number, endpoint) for number in GATEWAYS)


def standings(site, number, endpoint):
    return [line["standing"] for line in standing_lines(site, number, endpoint)]


def put_and_call(site, items):
    """Put items, announce an endpoint after them, and call while all stand."""
    marker = f"later-{len(site.log_events(1))}"
    faults_before = len(faults(site))
    for key, value in items.items():
        site.put(key, value)
    later = site.add_endpoint(marker, answer, service="elsewhere")
    wait_until(
        lambda: is_followed(site, marker),
        IN_FORCE_SECONDS,
        "the endpoint that was announced later",
    )
    answers = statuses(site)
    for key in (*items, f"servers/{marker}"):
        site.remove(key)
    later.close()
    assert answers == [200] * len(answers)
    assert faults(site)[faults_before:] == []
    assert all(site.process(f"gateway-{number}").is_running for number in GATEWAYS)


@pytest.mark.parametrize("service", [PLAIN_SERVICE, MODEL_SERVICE])
@pytest.mark.parametrize("case", PLAYED)
def test_requests_are_served_beside_an_odd_entry(shared_site, case, service):
    value = ODD_ENTRIES[case].replace(b'"orders"', f'"{service}"'.encode())
    put_and_call(shared_site, {f"servers/odd-{case}-{service}": value})


def test_requests_are_served_beside_all_odd_entries(shared_site):
    odd = {f"servers/odd-{case}": value for case, value in ODD_ENTRIES.items()}
    put_and_call(shared_site, odd)


@pytest.mark.parametrize("endpoint", ODD_IDS, ids=repr)
def test_requests_are_served_beside_an_entry_of_no_valid_name(shared_site, endpoint):
    listening = shared_site.add_endpoint("listening", answer, service="elsewhere")
    for service in (PLAIN_SERVICE, MODEL_SERVICE):
        changes = {"service": service, "address": listening.address}
        entry = json.dumps(ENTRY | changes).encode()
        put_and_call(shared_site, {f"servers/{endpoint}": entry})


def test_an_odd_entry_that_is_written_again_is_logged_once(shared_site):
    for number in range(6):
        value = with_field("slots", "9" * 400 + str(number))
        shared_site.put("servers/again", value)
        pause(0.3)
    shared_site.remove("servers/again")
    for number in GATEWAYS:
        wait_until(
            lambda number=number: "gone" in standings(shared_site, number, "again"),
            IN_FORCE_SECONDS,
            "the removal",
        )
        lines = standing_lines(shared_site, number, "again")
        assert [line["standing"] for line in lines] == ["unreadable", "gone"]
        assert len(lines[0]["detail"]) < 400


@pytest.mark.parametrize("case", ODD_ENTRIES)
def test_an_odd_entry_names_no_endpoint(case):
    with pytest.raises(ContentError) as caught:
        decode_endpoint("servers/odd", ODD_ENTRIES[case], now=5.0)
    assert len(str(caught.value)) < 400


@pytest.mark.parametrize("endpoint", ODD_IDS, ids=repr)
def test_an_entry_of_no_valid_name_names_no_endpoint(endpoint):
    with pytest.raises(ContentError):
        decode_endpoint(f"servers/{endpoint}", json.dumps(ENTRY).encode(), now=5.0)


def test_an_entry_with_all_fields_names_an_endpoint():
    endpoint = decode_endpoint("servers/i-1", json.dumps(ENTRY).encode(), now=5.0)
    assert (endpoint.id, endpoint.slots, endpoint.cold_until) == ("i-1", 8, 5.0)


def test_the_last_of_duplicate_fields_counts():
    endpoint = decode_endpoint(
        "servers/i-1", with_field("zone", '"a","zone":"b"'), now=0.0
    )
    assert endpoint.failure_domain == "b"
