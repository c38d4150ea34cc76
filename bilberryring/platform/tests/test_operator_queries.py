"""Queries of the operators' tool, which gateways serve on their metrics address."""

import json
from functools import partial

import pytest
from click.testing import CliRunner

from bilberryring.standins.gateway_site import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    make_configuration,
)
from bilberryring.standins.scripted_endpoint import (
    NOT_EXECUTED_HEADER,
    answer_all,
    chunk,
    event,
    stream_head,
    whole_answer,
)
from bilberryring.testing.processes import pause, wait_until
from bilberryring.tool.main import main


@pytest.fixture
def run(site):
    """A function that runs the operators' tool against the first gateway."""

    def run_tool(command, *arguments):
        argv = [command, "--at", site.operator_address(), "--json", *arguments]
        return CliRunner().invoke(main, argv)

    return run_tool


def test_status_shows_the_configuration_and_what_each_endpoint_gets(site, run):
    site.add_endpoint("a", answer_all)
    site.add_endpoint("b", answer_all, state="draining")
    site.add_endpoint("c", answer_all, service=MODEL_SERVICE, cold_remaining_ms=9_000)
    site.start_gateway()
    result = run("status")
    assert result.exit_code == 0, result.output
    process = json.loads(result.output)["processes"][0]
    assert (process["role"], process["state"]) == ("gateway", "live")
    assert process["set_number"] == 1
    standings = {item["endpoint"]: item["standing"] for item in process["endpoints"]}
    assert standings == {"a": "live", "b": "leaving", "c": "cold"}


def test_status_and_gauges_show_endpoints_that_said_they_rest_or_leave(site, run):
    def refuse_with(statement):
        def refuse(request, connection):
            extra = f"{NOT_EXECUTED_HEADER}\r\n{statement}"
            connection.sendall(
                whole_answer(request.request_id, b"", status="503 Busy", extra=extra)
            )

        return refuse

    resting = site.add_endpoint("a", refuse_with("Retry-After: 60"))
    leaving = site.add_endpoint("b", refuse_with("Server-Leaving: 1"))
    site.add_endpoint("c", answer_all)
    site.start_gateway()
    site.call_until(
        lambda: resting.requests and leaving.requests, "/look/", at_least=12
    )
    process = json.loads(run("status").output)["processes"][0]
    standings = {item["endpoint"]: item["standing"] for item in process["endpoints"]}
    assert standings == {"a": "resting", "b": "leaving", "c": "live"}
    wait_until(
        lambda: (
            'what="resting_endpoints"} 1' in site.metrics()
            and 'what="leaving_endpoints"} 1' in site.metrics()
        ),
        2.0,
        "the gauges to show both",
    )


def send_event(request, connection, *, requests):
    """Send a stream of one event, silent before it for the first of all requests."""
    requests.append(request.request_id)
    if len(requests) == 1:
        pause(2.0)
    connection.sendall(stream_head(request.request_id))
    connection.sendall(chunk(event(1)) + chunk(b""))


def test_status_and_metrics_count_silent_attempts_and_tokens_read_again(site, run):
    requests = []
    for name in "ab":
        script = partial(send_event, requests=requests)
        site.add_endpoint(name, script, service=MODEL_SERVICE)
    site.start_gateway()
    assert site.call("/chat/").body == event(1)
    assert len(requests) == 2
    process = json.loads(run("status").output)["processes"][0]
    assert (process["silent_attempts"], process["reread_tokens"]) == (1, 1_000)
    text = site.metrics()
    assert 'silent_attempts_total{route="r-chat"} 1' in text
    assert 'reread_prompt_tokens_total{route="r-chat"} 1000' in text
    shown = CliRunner().invoke(main, ["status", "--at", site.operator_address()])
    assert "gateway-1 1, prompt tokens read again 1000" in shown.output


def test_a_prompt_that_was_refused_before_does_not_count_as_read_again(site, run):
    requests = []

    def refuse_first(request, connection):
        requests.append(request.request_id)
        if len(requests) > 1:
            answer_all(request, connection)
            return
        extra = NOT_EXECUTED_HEADER
        connection.sendall(
            whole_answer(request.request_id, b"", status="503 Full", extra=extra)
        )

    for name in "ab":
        site.add_endpoint(name, refuse_first)
    site.start_gateway()
    assert site.call("/look/").status == 200
    assert len(requests) == 2
    process = json.loads(run("status").output)["processes"][0]
    assert (process["silent_attempts"], process["reread_tokens"]) == (0, 0)


def test_status_names_a_gateway_that_does_not_respond(site):
    site.add_endpoint("a", answer_all)
    for number in (1, 2):
        site.start_gateway(number)
    site.process("gateway-2").suspend()
    site.publish(make_configuration(2))
    argv = ["status", "--at", site.operator_address(1)]

    def is_in_force():
        result = CliRunner().invoke(main, [*argv, "--json"])
        return json.loads(result.output)["newest_set"] == 2

    wait_until(is_in_force, 3.0, "version 2 in force")
    both = ["status", "--at", f"{site.operator_address(1)},{site.operator_address(2)}"]
    result = CliRunner().invoke(main, both)
    assert result.exit_code == 1
    assert f"unreachable: {site.operator_address(2)}" in result.output


def test_status_shows_a_configuration_that_was_refused(site, run):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    site.put("op/config", b"{not readable")

    def refused():
        return json.loads(run("status").output)["processes"][0]["refused_sets"]

    wait_until(refused, 3.0, "the refusal in the status")
    assert "Remedy" not in refused()[0]["reason"]
    assert refused()[0]["remedy"]
    site.publish(make_configuration(2))
    wait_until(lambda: not refused(), 3.0, "the refusal to be over")


def test_explain_names_the_chosen_endpoint_and_helpers_of_a_long_prompt(site, run):
    for name in ("a", "b", "c"):
        site.add_endpoint(name, answer_all, service=MODEL_SERVICE)
    site.start_gateway()
    result = run("explain", "--service", MODEL_SERVICE, "--prompt-tokens", "150000")
    explanation = json.loads(result.output)
    assert explanation["chosen"] in ("a", "b", "c")
    assert explanation["helpers"]
    assert all(item["is_candidate"] for item in explanation["endpoints"])
    slowest = min(item["first_token_seconds"] for item in explanation["endpoints"])
    assert explanation["first_token_seconds"] < slowest


def test_explain_says_why_nothing_is_chosen(site, run):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    gone = run("explain", "--service", "gone", "--prompt-tokens", "10")
    assert json.loads(gone.output)["detail"] == "no route to 'gone'"
    empty = run("explain", "--service", MODEL_SERVICE, "--prompt-tokens", "10")
    assert json.loads(empty.output)["detail"] == "no endpoint may take it"
    plain = run("explain", "--service", PLAIN_SERVICE, "--prompt-tokens", "10")
    assert json.loads(plain.output)["chosen"] == "a"


def test_an_unreachable_address_is_named_with_a_remedy(site):
    argv = ["explain", "--at", "127.0.0.1:1", "--model", "m", "--prompt-tokens", "1"]
    result = CliRunner().invoke(main, argv)
    assert result.exit_code == 2
    assert "Remedy: name a running entry or gateway." in result.output
