"""Figures in headers that are out of range spoil no answer."""

import itertools
import math
import socket

import pytest

from bilberryring.platform.headers import (
    decode_request_headers,
    decode_response_headers,
)
from bilberryring.standins.gateway_site import (
    GatewaySite,
    make_configuration,
    request_headers,
)
from bilberryring.standins.scripted_endpoint import (
    NOT_EXECUTED_HEADER,
    STAMP_HEADER,
    answer_all,
    chunk,
    event,
    stream_head,
    whole_answer,
)
from bilberryring.testing.processes import wait_until

LONG = "9" * 5_000
FIGURES = ["9" * 400, LONG, "-1", "1e400", "inf", "nan", "1.5", "", "x", "\u00b2"]
LATE = ("-1", "1.5")
"""Deadlines that are figures, and over when the request arrives."""
CALLER_FIGURES = [
    *(("Bilberryring-Token-Usage", f"{figure},80") for figure in FIGURES),
    *(("Bilberryring-Token-Usage", f"1000,{figure}") for figure in FIGURES),
    *(("Bilberryring-Deadline-Ms", figure) for figure in FIGURES if figure not in LATE),
    *(("Bilberryring-Length-Hint", figure) for figure in FIGURES),
    *(("Bilberryring-Prompt-Prefix", f"5c1e07a2:{figure},b:1") for figure in FIGURES),
    *(("Last-Event-Id", figure) for figure in FIGURES),
    *(("Keep-Alive", f"timeout={figure}") for figure in FIGURES),
]
ENDPOINT_FIGURES = [
    *(f"Keep-Alive: timeout={figure}" for figure in FIGURES),
    *(f"Bilberryring-Server-Load: {figure},0,8" for figure in FIGURES),
    *(f"Bilberryring-Server-Load: 0,0,{figure}" for figure in FIGURES),
    *(f"Server-Limit: {figure}" for figure in (*FIGURES, "1e308") if figure != "1.5"),
    *(f"Retry-After: {figure}" for figure in FIGURES),
    *(f"Bilberryring-Cold-Ms: {figure}" for figure in FIGURES),
]
ODD_LENGTHS = [LONG, "-1", "1e3", "9" * 19, "9" * 400]
PATHS = ("/look/", "/charge/", "/chat/")
LEAST_CALLS = 8


def answer(request, connection):
    if not request.target.startswith("/chat/"):
        answer_all(request, connection)
        return
    connection.sendall(stream_head(request.request_id))
    connection.sendall(chunk(event(1)) + chunk(event(2)) + chunk(b""))


def answer_with(header):
    def script(request, connection):
        extra = f"{STAMP_HEADER}\r\n{header}"
        connection.sendall(whole_answer(request.request_id, b"ok", extra=extra))

    return script


@pytest.fixture(scope="module")
def figure_site():
    site = GatewaySite(retry_slack=100_000).start()
    plain, model = make_configuration()["services"]
    site.publish(make_configuration(services=[plain, model | {"cold_per_s": 0}]))
    site.endpoint = site.add_endpoint("orders", answer)
    site.add_endpoint("model", answer, service="model")
    site.start_gateway()
    yield site
    site.stop()


def add_known_endpoint(site, name, script):
    """Add an endpoint and wait until the gateway knows it."""
    endpoint = site.add_endpoint(name, script)
    wait_until(
        lambda: any(
            line["endpoint"] == name and line["standing"] == "ready"
            for line in site.log_events(event="endpoint_standing_changed")
        ),
        4.0,
        "the endpoint to be known",
    )
    return endpoint


def faults(site):
    return [line["detail"] for line in site.log_events(event="internal_fault")]


def test_a_request_is_served_whatever_figures_its_headers_have(figure_site):
    statuses = {}
    for (name, figure), path in itertools.product(CALLER_FIGURES, PATHS):
        connection = figure_site.connect()
        headers = request_headers() | {name: figure.encode("latin-1")}
        connection.request("POST", path, b"x", headers)
        statuses[name, figure[:9], path] = connection.getresponse().status
        connection.close()
    odd = {key: status for key, status in statuses.items() if status != 200}
    assert odd == {}
    assert faults(figure_site) == []


def test_an_answer_arrives_whatever_figures_its_headers_have(figure_site):
    statuses = {}
    for header in ENDPOINT_FIGURES:
        figure_site.endpoint.set_script(answer_with(header))
        statuses[header[:40]] = [figure_site.call("/charge/").status for _ in range(2)]
    figure_site.endpoint.set_script(answer)
    odd = {key: status for key, status in statuses.items() if status != [200, 200]}
    assert odd == {}
    assert faults(figure_site) == []


@pytest.mark.parametrize("figure", FIGURES, ids=lambda figure: figure[:9])
def test_a_refusal_is_repeated_elsewhere_whatever_rest_it_asks_for(figure_site, figure):
    extra = f"{NOT_EXECUTED_HEADER}\r\nRetry-After: {figure}"

    def refuse(request, connection):
        refusal = whole_answer(request.request_id, b"", status="503 Busy", extra=extra)
        connection.sendall(refusal)

    name = f"busy-{FIGURES.index(figure)}"
    busy = add_known_endpoint(figure_site, name, refuse)
    answers = figure_site.call_until(
        lambda: busy.requests, "/look/", at_least=LEAST_CALLS
    )
    figure_site.remove(f"servers/{name}")
    assert {answer.status for answer in answers} == {200}
    assert faults(figure_site) == []


@pytest.mark.parametrize("length", ODD_LENGTHS, ids=lambda length: length[:9])
def test_an_answer_of_an_odd_length_ends_its_attempt_alone(figure_site, length):
    def script(request, connection):
        head = f"HTTP/1.1 200 OK\r\nBilberryring-Request-Id: {request.request_id}\r\n"
        head += f"{STAMP_HEADER}\r\nContent-Length: {length}\r\n\r\nok"
        connection.sendall(head.encode())
        connection.shutdown(socket.SHUT_RDWR)

    name = f"odd-{ODD_LENGTHS.index(length)}"
    odd = add_known_endpoint(figure_site, name, script)
    answers = figure_site.call_until(
        lambda: odd.requests, "/look/", at_least=LEAST_CALLS
    )
    assert {answer.status for answer in answers} == {200}
    failed = figure_site.log_events(event="attempt_failed")
    figure_site.remove(f"servers/{name}")
    assert faults(figure_site) == []
    assert {line["reason"] for line in failed if line["endpoint"] == name} <= {
        "malformed",
        "closed",
    }


@pytest.mark.parametrize("figure", ["nan", "NaN", "", "x", "1_000"])
def test_a_deadline_that_is_no_number_counts_as_absent(figure):
    headers = ((b"Bilberryring-Deadline-Ms", figure.encode()),)
    assert decode_request_headers(headers).timeout is None


@pytest.mark.parametrize("figure", FIGURES)
def test_the_figures_of_a_request_are_bounded(figure):
    value = figure.encode("latin-1")
    metadata = decode_request_headers(
        (
            (b"Bilberryring-Token-Usage", value + b"," + value),
            (b"Bilberryring-Deadline-Ms", value),
        )
    )
    assert 0 <= metadata.prompt_tokens < 2**32
    assert 0 <= metadata.max_tokens < 2**32
    assert metadata.timeout is None or metadata.timeout >= 0.0


@pytest.mark.parametrize("figure", FIGURES)
def test_the_figures_of_an_answer_are_bounded(figure):
    value = figure.encode("latin-1")
    metadata = decode_response_headers(
        503,
        (
            (b"Bilberryring-Server-Load", b",".join([value] * 3)),
            (b"Server-Limit", value),
            (b"Retry-After", value),
        ),
    )
    assert metadata.load is None or max(metadata.load) < 2**32
    assert metadata.requests_per_second is None or math.isfinite(
        metadata.requests_per_second
    )
    assert metadata.rest is None or 0.0 <= metadata.rest < math.inf


def test_long_names_of_parts_are_told_apart_by_short_ones():
    names = [b"p" * 5_000 + b"%d" % number for number in range(3)]
    value = b",".join(name + b":100" for name in (*names, names[0], b"own"))
    headers = ((b"Bilberryring-Prompt-Prefix", value),)
    parts = decode_request_headers(headers).shared_parts
    assert parts[0] == parts[3]
    assert len(set(parts)) == 3
    assert all(len(part) <= 32 for part in parts)
