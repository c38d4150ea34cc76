"""Queries of many processes, some of which give no answer."""

import socket
import time

import msgspec
import pytest

from bilberryring.process.operator_site import ProcessStatus
from bilberryring.tool import queries
from bilberryring.tool.queries import collect_status

SECONDS_FOR_A_FLEET = 2.0


@pytest.fixture
def silent_address():
    """An address that accepts connections and never answers."""
    with socket.create_server(("127.0.0.1", 0), backlog=512) as listener:
        host, port = listener.getsockname()
        yield f"{host}:{port}"


def make_status(number, domain):
    return ProcessStatus(
        process=f"p{number}",
        role="gateway",
        failure_domain=domain,
        state="live" if number % 2 else "leaving",
        incarnation="i",
        set_number=3,
        set_digest="",
        highest_seen=3,
        is_reader=number == 0,
        refused_sets=(),
        in_progress=number,
        links=0,
    )


def test_a_fleet_of_hundreds_is_asked_within_two_seconds(silent_address):
    started_at = time.monotonic()
    report = collect_status([silent_address] * 400)
    assert time.monotonic() - started_at < SECONDS_FOR_A_FLEET
    assert len(report.unreachable) == 400


def test_the_processes_of_a_failure_domain_are_summed(monkeypatch):
    statuses = [make_status(number, f"d{number % 2}") for number in range(4)]
    monkeypatch.setattr(
        queries,
        "fetch_statuses",
        lambda addresses: [statuses[int(address)] for address in addresses],
    )
    report = collect_status(["0", "1", "2", "3"])
    assert [msgspec.structs.astuple(item) for item in report.domains] == [
        ("d0", "gateway", 2, 0, 1, 2),
        ("d1", "gateway", 2, 2, 0, 4),
    ]
