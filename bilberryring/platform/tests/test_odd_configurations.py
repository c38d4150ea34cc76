"""A configuration with an impossible figure is refused; the last one stays in force."""

import itertools
import json

import pytest

from bilberryring.platform.configuration import ContentError, decode_configuration
from bilberryring.platform.tests.odd_entries import LEVELS
from bilberryring.standins.gateway_site import GatewaySite, make_configuration
from bilberryring.standins.scripted_endpoint import (
    answer_all,
    chunk,
    event,
    stream_head,
)
from bilberryring.testing.processes import pause, wait_until

GATEWAYS = (1, 2)
PATHS = ("/look/", "/charge/", "/chat/")
CALLS = 3
IN_FORCE_SECONDS = 4.0
PLACEHOLDER = '"@"'
FIELDS = {
    "version": ("version",),
    "timeout": ("routes", 0, "timeout_ms"),
    "objective": ("routes", 2, "target_latency_ms"),
    "gap": ("routes", 2, "gap_aim_ms"),
    "attempts": ("routes", 0, "attempts"),
    "priority": ("routes", 0, "priority"),
    "connections": ("services", 0, "max_connections"),
    "cold_rate": ("services", 1, "cold_per_s"),
    "slots": ("services", 1, "engine", "slots"),
    "memory": ("services", 1, "engine", "kv_tokens"),
    "stride": ("services", 1, "engine", "stride"),
    "step": ("services", 1, "engine", "step_ms"),
    "sequence_step": ("services", 1, "engine", "per_seq_ms"),
    "context_step": ("services", 1, "engine", "context_per_k"),
    "read_rate": ("services", 1, "engine", "read_per_s"),
    "pairs": ("services", 1, "engine", "pairs_per_m"),
    "chunk": ("services", 1, "engine", "chunk"),
    "header_bytes": ("limits", "max_header_bytes"),
    "body_bytes": ("limits", "max_body_bytes"),
    "header_time": ("limits", "header_timeout_ms"),
    "idle_time": ("limits", "idle_timeout_ms"),
    "workspace_priority": ("tenants", 0, "priority"),
}
NUMBERS = {
    "400_digits": "9" * 400,
    "5000_digits": "9" * 5_000,
    "large_power": "1e300",
    "power": "1e400",
    "nan": "NaN",
    "infinite": "Infinity",
    "text": '"1"',
    "nested": "[" * LEVELS + "]" * LEVELS,
}
SIGNED = ("priority", "workspace_priority")


def configuration_with(path, text, version=2):
    """Return a configuration with one value replaced by a JSON text."""
    configuration = json.loads(json.dumps(make_configuration(version)))
    inner = configuration
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = "@"
    return json.dumps(configuration).replace(PLACEHOLDER, text).encode()


def split_between(*weights):
    """Return a configuration whose first route has these weights as JSON texts."""
    shares = ", ".join(f'{{"service": "orders", "weight": {text}}}' for text in weights)
    return configuration_with(("routes", 0, "backends"), f"[{shares}]")


ODD_CONFIGURATIONS: dict[str, bytes] = {
    **{
        f"{field}_{name}": configuration_with(path, text)
        for field, path in FIELDS.items()
        for name, text in NUMBERS.items()
    },
    **{
        f"{field}_negative": configuration_with(path, "-1")
        for field, path in FIELDS.items()
        if field not in SIGNED
    },
    "read_rate_0": configuration_with(FIELDS["read_rate"], "0"),
    "read_rate_tiny": configuration_with(FIELDS["read_rate"], "1e-320"),
    "header_bytes_0": configuration_with(FIELDS["header_bytes"], "0"),
    "header_time_0": configuration_with(FIELDS["header_time"], "0"),
    "idle_time_0": configuration_with(FIELDS["idle_time"], "0"),
    "weights_0": split_between("0", "0"),
    "weights_negative": split_between("2", "-1"),
    "weights_of_infinite_sum": split_between("1e308", "1e308"),
    "kind_unknown": configuration_with(("routes", 0, "kind"), f'"{"k" * 1_000_000}"'),
    "route_name_long": configuration_with(("routes", 0, "name"), f'"{"n" * 100_000}"'),
    "workspace_line_break": configuration_with(("tenants", 0, "name"), r'"a\r\nX: y"'),
    "workspace_lone_surrogate": configuration_with(
        ("tenants", 0, "name"), r'"a\ud800b"'
    ),
    "workspace_nul": configuration_with(("tenants", 0, "name"), r'"a\u0000"'),
    "workspace_spaced": configuration_with(("tenants", 0, "name"), '" a "'),
    "routes_number": configuration_with(("routes",), "7"),
    "no_json": b"\xff\xfe",
    "empty": b"",
}
ODD_KEYS = [
    "op/",
    "op/config/",
    "op/other",
    "op/evacuate/",
    "op/evacuate/\r\nX: y\0",
    "op/evacuate/\u6771",
    "op/evacuate/" + "z" * 180,
]
PLAYED = [
    "timeout_large_power",
    "attempts_400_digits",
    "cold_rate_large_power",
    "slots_400_digits",
    "memory_400_digits",
    "step_large_power",
    "read_rate_0",
    "read_rate_tiny",
    "pairs_large_power",
    "idle_time_large_power",
    "header_time_large_power",
    "weights_0",
    "weights_of_infinite_sum",
    "kind_unknown",
    "workspace_line_break",
    "read_rate_nested",
    "version_400_digits",
]


def answer(request, connection):
    if not request.target.startswith("/chat/"):
        answer_all(request, connection)
        return
    connection.sendall(stream_head(request.request_id))
    connection.sendall(chunk(event(1)) + chunk(event(2)) + chunk(b""))


@pytest.fixture(scope="module")
def odd_site():
    site = GatewaySite(gateways=len(GATEWAYS), retry_slack=100_000).start()
    site.publish(make_configuration())
    site.add_endpoint("good-orders", answer)
    site.add_endpoint("good-model", answer, service="model")
    for number in GATEWAYS:
        site.start_gateway(number)
    pause(1.2)
    yield site
    site.stop()


def statuses(site):
    return [
        site.call(path, number=number).status
        for number, path, _ in itertools.product(GATEWAYS, PATHS, range(CALLS))
    ]


def count_lines(site, event):
    return [len(site.log_events(number, event=event)) for number in GATEWAYS]


@pytest.mark.parametrize("case", PLAYED)
def test_requests_are_served_beside_an_odd_configuration(odd_site, case):
    faults_before = count_lines(odd_site, "internal_fault")
    version = b'"version": %d' % (2 + PLAYED.index(case))
    value = ODD_CONFIGURATIONS[case].replace(b'"version": 2', version)
    odd_site.put("op/config", value)
    pause(0.4)
    answers = statuses(odd_site)
    assert answers == [200] * len(answers)
    assert count_lines(odd_site, "internal_fault") == faults_before


@pytest.mark.parametrize("key", ODD_KEYS, ids=lambda key: repr(key[:30]))
def test_requests_are_served_beside_odd_keys_of_operators(odd_site, key):
    faults_before = count_lines(odd_site, "internal_fault")
    for value in (b"", b"\xff\xfe", b"[" * LEVELS):
        odd_site.put(key, value)
    pause(0.4)
    answers = statuses(odd_site)
    odd_site.put("op/evacuate/north", b"")
    for number in GATEWAYS:
        wait_until(
            lambda number=number: odd_site.call("/look/", number=number).status == 503,
            IN_FORCE_SECONDS,
            "the evacuation",
        )
    odd_site.remove(key)
    odd_site.remove("op/evacuate/north")
    for number in GATEWAYS:
        wait_until(
            lambda number=number: odd_site.call("/look/", number=number).status == 200,
            IN_FORCE_SECONDS,
            "the end of the evacuation",
        )
    assert answers == [200] * len(answers)
    assert count_lines(odd_site, "internal_fault") == faults_before


def test_a_configuration_that_is_written_again_is_refused_once(odd_site):
    before = count_lines(odd_site, "set_refused")
    for _ in range(4):
        odd_site.put("op/config", ODD_CONFIGURATIONS["routes_number"])
        pause(0.3)
    assert count_lines(odd_site, "set_refused") == [count + 1 for count in before]
    lines = odd_site.log_events(1, event="set_refused")
    assert all(len(line["detail"]) < 400 for line in lines)


def test_the_next_configuration_is_followed_after_an_odd_one(odd_site):
    odd_site.put("op/config", ODD_CONFIGURATIONS["version_400_digits"])
    tenants = [{"name": "bars", "api_keys": ["another"], "priority": 1}]
    odd_site.publish(make_configuration(99, tenants=tenants))
    for number in GATEWAYS:
        wait_until(
            lambda number=number: odd_site.call("/look/", number=number).status == 401,
            IN_FORCE_SECONDS,
            "the revoked key",
        )


def test_a_gateway_that_starts_with_an_odd_configuration_waits_for_the_next(empty_site):
    empty_site.put("op/config", ODD_CONFIGURATIONS["read_rate_0"])
    empty_site.add_endpoint("a", answer)
    empty_site.start_gateway(is_awaited=False)
    wait_until(
        lambda: empty_site.log_events(event="set_refused"), 10.0, "the refused set"
    )
    assert not empty_site.is_ready()
    empty_site.publish(make_configuration(3))
    wait_until(empty_site.is_ready, IN_FORCE_SECONDS, "the gateway to be ready")


@pytest.mark.parametrize("case", ODD_CONFIGURATIONS)
def test_an_odd_configuration_is_refused(case):
    with pytest.raises(ContentError) as caught:
        decode_configuration(ODD_CONFIGURATIONS[case])
    assert len(str(caught.value)) < 400


@pytest.mark.parametrize("field", ["attempts", "objective", "gap", "timeout"])
def test_a_figure_of_0_is_no_reason_to_refuse_a_configuration(field):
    decode_configuration(configuration_with(FIELDS[field], "0"))
