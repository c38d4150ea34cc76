"""One odd entry among those of a large fleet: what reading it costs, and logs."""

import json
import time
from io import StringIO
from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from bilberryring.fleet import FleetState, PublishedItem
from bilberryring.gateway.copy_codec import answer_query, decode_copy, make_query
from bilberryring.gateway.published_copies import PublishedCopies
from bilberryring.platform.configuration import decode_configuration
from bilberryring.platform.loss_rules import PlatformLossRules
from bilberryring.platform.tests.odd_entries import ENTRY, ODD_ENTRIES
from bilberryring.platform.translation import PREFIXES, Translator
from bilberryring.telemetry import EventLog
from bilberryring.wire import decode_message, encode_message

PREFIX = "servers/"
CONFIGURATION = b'{"version": 1, "routes": [], "services": [{"name": "orders"}]}'
ENDPOINTS = {68: 748, 400: 4_400}
WRITES = 40
CASES = ["slots_400_digits", "nested_elsewhere", "zone_1_mb", "no_json"]
GROWTH = ENDPOINTS[400] / ENDPOINTS[68]
"""How much a cost grows that is linear in the entries; one that is quadratic grows by
the square of this."""
CLOCK_SECONDS = 0.001
"""Allowance for the resolution of the clock, and for what other processes displace."""


class Reader:
    """The part of a gateway that reads the entries, without sockets."""

    def __init__(self):
        self.output = StringIO()
        self.clock = Clock()
        self.fleet = FleetState()
        self.copies = PublishedCopies(
            prefixes=PREFIXES, clock=self.clock, rules=PlatformLossRules()
        )
        translator = Translator(
            reactor=self.clock,
            fleet=self.fleet,
            health=SimpleNamespace(is_recovering=lambda grace: False),
            log=EventLog(process="p", role="gateway", stream=self.output),
            on_endpoint_removed=lambda endpoint: None,
        )
        self.fleet.put_in_force(decode_configuration(CONFIGURATION))
        self.copies.add_listener(translator.update_fleet)
        self.copies.add_era_listener(translator.begin_era)

    def list_all(self, count):
        items = [
            PublishedItem(
                key=f"{PREFIX}i-{number}",
                revision=number + 1,
                value=json.dumps(
                    ENTRY | {"address": f"10.0.{number // 250}.{number % 250}:80"}
                ).encode(),
            )
            for number in range(count)
        ]
        self.copies.replace(PREFIX, items, revision=count, era=0)

    def write(self, key, value, revision):
        item = PublishedItem(key=key, revision=revision, value=value)
        self.copies.apply(PREFIX, [item], era=0)

    def copy_from(self, other):
        query = make_query(PREFIX, self.copies.replica(PREFIX).position)
        answer = answer_query(query, other.copies.replica(PREFIX), now=0.0)
        copy = decode_copy(decode_message(encode_message(answer)))
        take = self.copies.take_changes if copy.is_delta else self.copies.take_copy
        take(PREFIX, copy.items, revision=copy.revision, era=copy.era)

    def count(self, standing):
        return self.output.getvalue().count(f'"standing":"{standing}"')


def seconds_of_writes(count, case):
    """Return the least CPU seconds of a write of an odd entry, of several."""
    reader = Reader()
    reader.list_all(count)
    least = 1e9
    for number in range(WRITES):
        value = ODD_ENTRIES[case] + b" " * number
        started = time.process_time()
        reader.write(f"{PREFIX}odd", value, count + number + 2)
        least = min(least, time.process_time() - started)
    return least


def seconds_of_list(count):
    """Return the least CPU seconds of a list that begins with an odd entry."""
    least = 1e9
    for _ in range(3):
        reader = Reader()
        reader.write(f"{PREFIX}odd", ODD_ENTRIES["no_json"], 1)
        started = time.process_time()
        reader.list_all(count)
        least = min(least, time.process_time() - started)
    return least


@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize("gateways", ENDPOINTS)
def test_an_odd_entry_costs_a_fleet_one_line_a_process(gateways, case):
    count = ENDPOINTS[gateways]
    first, second = Reader(), Reader()
    first.list_all(count)
    for number in range(WRITES):
        value = ODD_ENTRIES[case] + b" " * number
        first.write(f"{PREFIX}odd", value, count + number + 2)
    second.copy_from(first)
    first.write(f"{PREFIX}later", json.dumps(ENTRY).encode(), count + 100)
    second.copy_from(first)
    for reader in (first, second):
        assert len(reader.fleet.endpoints.usable("orders")) == count + 1
        assert reader.count("unreadable") == 1


@pytest.mark.parametrize("case", ["slots_400_digits", "no_json"])
def test_the_cost_of_an_odd_write_is_not_above_linear_in_the_fleet(case):
    small, large = (seconds_of_writes(count, case) for count in ENDPOINTS.values())
    assert large < GROWTH * small + CLOCK_SECONDS


def test_the_cost_of_a_list_with_an_odd_entry_is_far_from_quadratic():
    small, large = (seconds_of_list(count) for count in ENDPOINTS.values())
    assert large < GROWTH**1.5 * small + CLOCK_SECONDS


def test_odd_writes_change_no_list_of_endpoints():
    reader = Reader()
    reader.list_all(ENDPOINTS[400])
    before = reader.fleet.endpoints.usable("orders")
    for number, case in enumerate(ODD_ENTRIES):
        reader.write(f"{PREFIX}odd", ODD_ENTRIES[case], 9_000 + number)
    assert reader.fleet.endpoints.usable("orders") is before


def test_a_full_copy_with_an_odd_entry_can_be_taken():
    first, second = Reader(), Reader()
    first.list_all(ENDPOINTS[400])
    first.write(f"{PREFIX}odd", ODD_ENTRIES["zone_1_mb"], 9_000)
    second.copy_from(first)
    assert len(second.fleet.endpoints.all) == ENDPOINTS[400]
