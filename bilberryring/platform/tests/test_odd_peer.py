"""Requests beside a peer that reports figures that no gateway would."""

import ipaddress
import itertools
import socket
import threading

import pytest

from bilberryring.standins.gateway_site import make_configuration
from bilberryring.standins.scripted_endpoint import (
    answer_all,
    chunk,
    event,
    stream_head,
)
from bilberryring.testing.processes import pause, wait_until
from bilberryring.wire import (
    CopyRevision,
    GatewayReport,
    Member,
    WorkReport,
    encode_message,
)

GATEWAYS = (1, 2)
PATHS = ("/look/", "/charge/", "/chat/")
CALLS = 5
ODD_HOST = "127.0.1.9"
REPORT_SECONDS = 0.2
MOST = 2**31 - 1
ENDPOINTS = ("orders", "model")


def work_with(**changes):
    fields = {
        "requests": 1,
        "prefill_ms": 1,
        "prefill_elapsed_ms": 0,
        "kv_tokens": 1,
    } | changes
    return {"work": [WorkReport(endpoint=name, **fields) for name in ENDPOINTS]}


def members_of(*hosts):
    return {
        "members": [
            Member(address=ipaddress.ip_address(host).packed, silent_ms=0)
            for host in hosts
        ]
    }


def position_at(revision, era):
    prefixes = ("op/", "servers/")
    return {
        "revisions": [
            CopyRevision(prefix=prefix, revision=revision, era=era)
            for prefix in prefixes
        ]
    }


ODD_REPORTS = {
    "prefill_time": work_with(prefill_ms=MOST),
    "requests": work_with(requests=MOST),
    "memory": work_with(kv_tokens=2**63 - 1),
    "negative": work_with(requests=-1, prefill_ms=-1, kv_tokens=-1),
    "ipv6_members": members_of("::1", "fe80::1", "0.0.0.0", "255.255.255.255"),
    "negative_revision": position_at(-(2**63), 0),
    "last_revision": position_at(2**63 - 1, 0),
    "last_era": position_at(2**63 - 1, 2**63 - 1),
}


def answer(request, connection):
    if not request.target.startswith("/chat/"):
        answer_all(request, connection)
        return
    connection.sendall(stream_head(request.request_id))
    connection.sendall(chunk(event(1)) + chunk(event(2)) + chunk(b""))


class OddPeer:
    """Sends one report again and again to both gateways."""

    def __init__(self, site, fields):
        self._addresses = []
        for number in GATEWAYS:
            host, port = site.operator_address(number).rsplit(":", 1)
            self._addresses.append((host, int(port) - 1))
        self._fields = fields
        self._is_stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *error):
        self._is_stopped.set()
        self._thread.join()

    def _run(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.bind((ODD_HOST, 0))
            for sequence in itertools.count(1):
                report = GatewayReport(
                    incarnation="odd",
                    sequence=sequence,
                    is_complete=True,
                    **self._fields,
                )
                for address in self._addresses:
                    sender.sendto(encode_message(report), address)
                if self._is_stopped.wait(REPORT_SECONDS):
                    return


@pytest.mark.parametrize("case", ODD_REPORTS)
def test_requests_are_served_beside_an_odd_peer(site, case):
    plain, model = make_configuration()["services"]
    services = [plain, model | {"cold_per_s": 0}]
    site.publish(make_configuration(2, services=services))
    site.add_endpoint("orders", answer)
    site.add_endpoint("model", answer, service="model")
    for number in GATEWAYS:
        site.start_gateway(number)
    with OddPeer(site, ODD_REPORTS[case]):
        pause(1.0)
        answers = [
            site.call(path, number=number).status
            for number, path, _ in itertools.product(GATEWAYS, PATHS, range(CALLS))
        ]
        tenants = [{"name": "bars", "api_keys": ["another"], "priority": 1}]
        site.publish(make_configuration(3, tenants=tenants))
        for number in GATEWAYS:
            wait_until(
                lambda number=number: site.call("/look/", number=number).status == 401,
                4.0,
                "the revoked key",
            )
    assert answers == [200] * len(answers)
    for number in GATEWAYS:
        assert not site.log_events(number, event="internal_fault")
        assert len(site.log_events(number, event="peer_report_malformed")) <= 1
        assert site.process(f"gateway-{number}").is_running
