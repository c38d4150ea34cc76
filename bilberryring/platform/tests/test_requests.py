"""Requests that are late, refused, retried, or in progress while a process stops."""

import threading
import time

from bilberryring.gateway.crash_record import (
    DEATHS_UNTIL_QUARANTINE as CRASHES_UNTIL_HELD_BACK,
)
from bilberryring.quarantine import QUARANTINE_SECONDS
from bilberryring.standins.gateway_site import (
    MODEL_SERVICE,
    make_configuration,
    make_route,
    read_answer,
    request_headers,
)
from bilberryring.standins.scripted_endpoint import (
    STAMP_HEADER,
    answer_all,
    chunk,
    event,
    reset,
    stream_head,
    whole_answer,
)
from bilberryring.testing.processes import pause, wait_until


def never_respond(request, connection):
    """Receive a request and never respond."""


def reset_connection(request, connection):
    reset(connection)


def respond_after(seconds):
    def script(request, connection):
        pause(seconds)
        answer_all(request, connection)

    return script


def respond_misdirected(request, connection):
    connection.sendall(
        whole_answer(
            request.request_id, b"", status="421 Misdirected Request", extra="X: y"
        )
    )


def test_a_request_fails_at_the_timeout_of_its_route(site):
    routes = [make_route("/charge/", "non_idempotent", "orders", timeout_ms=600)]
    site.publish(make_configuration(2, routes=routes))
    site.add_endpoint("a", never_respond)
    site.start_gateway()
    started = time.monotonic()
    response = site.call("/charge/")
    assert response.status == 504
    assert 0.5 < time.monotonic() - started < 1.1


def test_a_stream_is_cut_at_the_timeout_of_its_route(site):
    routes = [make_route("/chat/", "streaming", MODEL_SERVICE, timeout_ms=700)]
    site.publish(make_configuration(2, routes=routes))

    def endless(request, connection):
        connection.sendall(stream_head(request.request_id))
        for number in range(1, 500):
            connection.sendall(chunk(event(number)))
            pause(0.02)

    site.add_endpoint("a", endless, service=MODEL_SERVICE)
    site.start_gateway()
    started = time.monotonic()
    response = site.call("/chat/")
    assert response.is_cut
    assert time.monotonic() - started < 1.2


def test_a_retry_carries_the_remaining_time(site):
    site.add_endpoint("a", reset_connection)
    second = site.add_endpoint("b", answer_all, zone="south")
    site.start_gateway()
    site.call("/look/", Bilberryring_Deadline_Ms="1500")
    remaining = int(second.requests[0].headers["bilberryring-deadline-ms"])
    assert 1_000 < remaining < 1_500


def test_a_non_idempotent_request_is_sent_once(site):
    faulty = site.add_endpoint("a", reset_connection)
    other = site.add_endpoint("b", answer_all, zone="south")
    site.start_gateway()
    response = site.call("/charge/")
    assert response.status == 502
    assert len(faulty.requests) + len(other.requests) == 1


def test_a_non_idempotent_request_runs_on_when_its_caller_disconnects(site):
    done = threading.Event()

    def charge(request, connection):
        pause(0.5)
        connection.sendall(whole_answer(request.request_id, b"charged"))
        connection.settimeout(0.3)
        try:
            is_open = connection.recv(1) != b""
        except TimeoutError:
            is_open = True
        if is_open:
            done.set()

    site.add_endpoint("a", charge)
    site.start_gateway()
    connection = site.connect()
    connection.request("POST", "/charge/", b"x", request_headers())
    pause(0.1)
    connection.close()
    assert done.wait(2.0)


def test_a_request_goes_to_no_more_endpoints_than_its_route_allows(site):
    endpoints = [
        site.add_endpoint(f"e{number}", reset_connection) for number in range(4)
    ]
    site.start_gateway()
    response = site.call("/look/")
    assert response.status == 502
    assert sum(len(endpoint.requests) for endpoint in endpoints) == 2


def test_an_address_that_another_service_now_uses_is_avoided(site):
    site.add_endpoint("a", respond_misdirected)
    healthy = site.add_endpoint("b", answer_all, zone="south")
    site.start_gateway()
    assert [site.call("/look/").status for _ in range(4)] == [200] * 4
    assert len(healthy.requests) == 4


def fail_first(times):
    """Return a script that fails the given number of times and then succeeds."""
    remaining = [times]

    def script(request, connection):
        if remaining[0]:
            remaining[0] -= 1
            body = b"no stock"
            status = "500 Internal Server Error"
            connection.sendall(whole_answer(request.request_id, body, status=status))
        else:
            answer_all(request, connection)

    return script


def test_an_error_response_reaches_the_caller_when_no_retry_is_left(site):
    site.add_endpoint("a", fail_first(9))
    site.start_gateway()
    response = site.call("/look/")
    assert (response.status, response.body) == (500, b"no stock")
    assert "bilberryring-response-stamp" in response.headers


def test_an_error_response_is_kept_when_the_other_endpoint_disconnects(site):
    site.add_endpoint("a", fail_first(9))
    site.start_gateway()
    site.call("/look/")
    site.add_endpoint("b", reset_connection, zone="south")
    pause(0.3)
    assert {site.call("/look/").status for _ in range(4)} == {500}


def test_a_request_is_retried_at_the_only_endpoint_after_a_failure(site):
    only = site.add_endpoint("a", fail_first(1))
    site.start_gateway()
    assert site.call("/look/").status == 200
    assert len(only.requests) == 2


def test_an_endpoint_that_does_not_listen_costs_no_attempt(site):
    site.announce("a", "127.0.0.1:1")
    healthy = site.add_endpoint("b", answer_all, zone="south")
    site.start_gateway()
    assert site.call("/charge/").status == 200
    assert len(healthy.requests) == 1


def test_retries_stay_within_the_budget_when_every_endpoint_fails(site):
    endpoints = [
        site.add_endpoint(f"e{number}", reset_connection) for number in range(3)
    ]
    site.start_gateway()
    count = 200
    for _ in range(count):
        site.call("/look/")
    arrivals = sum(len(endpoint.requests) for endpoint in endpoints)
    assert arrivals - count <= 0.2 * count + 100 / 2


def test_a_silent_stream_is_retried_on_a_resumable_route(site):
    site.add_endpoint("a", never_respond, service=MODEL_SERVICE)

    def stream(request, connection):
        connection.sendall(stream_head(request.request_id))
        connection.sendall(chunk(event(1)) + chunk(b""))

    site.start_gateway()
    site.add_endpoint("b", stream, service=MODEL_SERVICE, zone="south")
    pause(0.3)
    responses = [site.call("/chat/") for _ in range(2)]
    assert [response.body for response in responses] == [event(1)] * 2


def test_a_request_that_crashes_endpoints_is_held_back(site):
    """Each endpoint closes when it receives the request, as if it had crashed.

    Guards against a second attempt that is sent before the crash of the first one is
    known, so that the third crash does not end the attempts.
    """
    endpoints = []

    def crash(request, connection):
        for endpoint in endpoints:
            if connection in endpoint.connections:
                endpoint.close()

    for number in range(6):
        endpoints.append(site.add_endpoint(f"e{number}", crash))
    site.start_gateway()
    responses = []
    for _ in range(4):
        responses.append(site.call("/look/", body=b"poison"))
        pause(0.2)
    seen = sum(len(endpoint.requests) for endpoint in endpoints)
    assert seen == CRASHES_UNTIL_HELD_BACK
    assert b"held_back" in responses[-1].body
    assert responses[-1].status == 503
    retry_after = float(responses[-1].headers["retry-after"])
    assert QUARANTINE_SECONDS - 10.0 < retry_after <= QUARANTINE_SECONDS


def test_a_prompt_is_not_retried_after_its_third_crash(site):
    endpoints = []

    def crash(request, connection):
        for endpoint in endpoints:
            if connection in endpoint.connections:
                endpoint.close()

    for number in range(6):
        endpoint = site.add_endpoint(f"e{number}", crash, service=MODEL_SERVICE)
        endpoints.append(endpoint)
    site.start_gateway()
    header = {"Bilberryring_Prompt_Prefix": "common:40,own:90"}
    statuses = [site.call("/chat/", **header).status for _ in range(3)]
    assert statuses == [502, 502, 503]
    assert sum(len(endpoint.requests) for endpoint in endpoints) == 3


def test_prompts_with_a_part_that_crashes_endpoints_are_held_back(site):
    """No two of the prompts are alike; sound ones share their caller and first part."""
    endpoints = []

    def crash_on_part(request, connection):
        if ",bad:" in request.headers["bilberryring-prompt-prefix"]:
            for endpoint in endpoints:
                if connection in endpoint.connections:
                    endpoint.close()
            return
        connection.sendall(stream_head(request.request_id))
        connection.sendall(chunk(event(1)) + chunk(b""))

    for number in range(12):
        endpoint = site.add_endpoint(f"e{number}", crash_on_part, service=MODEL_SERVICE)
        endpoints.append(endpoint)
    site.start_gateway()
    responses = []
    for number in range(10):
        parts = f"common:40,bad:300,own{number}:90"
        body = b"%d" % number
        header = {"Bilberryring_Prompt_Prefix": parts}
        responses.append(site.call("/chat/", body=body, **header))
        pause(0.1)
    crashing = [
        request
        for endpoint in endpoints
        for request in endpoint.requests
        if ",bad:" in request.headers["bilberryring-prompt-prefix"]
    ]
    assert len(crashing) <= 5
    assert responses[-1].status == 503
    assert b"held_back" in responses[-1].body
    header = {"Bilberryring_Prompt_Prefix": "common:40,other:300,own:90"}
    assert site.call("/chat/", **header).body == event(1)


def test_an_endpoint_gets_no_more_requests_than_the_limit_it_states(site):
    """In any 4 s it may get one and a half times its limit and 5 requests more."""

    def answer_in_need(request, connection):
        extra = f"{STAMP_HEADER}\r\nServer-Limit: 1"
        connection.sendall(whole_answer(request.request_id, b"ok", extra=extra))

    limited = site.add_endpoint("a", answer_in_need)
    other = site.add_endpoint("b", answer_all)
    site.start_gateway()
    for _ in range(60):
        assert site.call("/look/").status == 200
        pause(0.04)
    assert len(limited.requests) <= 1.5 * 4 + 5
    other.set_script(answer_in_need)
    answers = [site.call("/look/") for _ in range(12)]
    refused = [answer for answer in answers if answer.status == 503][-1]
    assert len([answer for answer in answers if answer.status == 200]) <= 1 + 4
    assert b"not_run" in refused.body
    assert 0.0 < float(refused.headers["retry-after"]) <= 4.0


def test_a_drain_completes_requests_in_progress(site):
    site.add_endpoint("a", respond_after(1.0))
    site.start_gateway()
    responses = []

    def call():
        responses.append(site.call("/look/"))

    threads = [threading.Thread(target=call) for _ in range(4)]
    for thread in threads:
        thread.start()
    pause(0.3)
    site.process("gateway-1").terminate()
    for thread in threads:
        thread.join()
    assert [response.status for response in responses] == [200] * 4
    assert site.process("gateway-1").wait(7.0) == 0


def test_a_drain_completes_streams_that_end_in_time(site):
    """The stream outlasts the phase in which new callers are still accepted."""

    def stream(request, connection):
        connection.sendall(stream_head(request.request_id))
        for number in range(1, 46):
            connection.sendall(chunk(event(number)))
            pause(0.1)
        connection.sendall(chunk(b""))

    routes = [make_route("/chat/", "streaming", MODEL_SERVICE, timeout_ms=9_000)]
    site.publish(make_configuration(2, routes=routes))
    site.add_endpoint("a", stream, service=MODEL_SERVICE)
    site.start_gateway()
    responses = []

    def call():
        responses.append(site.call("/chat/", Bilberryring_Deadline_Ms="9000"))

    thread = threading.Thread(target=call)
    thread.start()
    pause(0.3)
    site.process("gateway-1").terminate()
    thread.join()
    assert not responses[0].is_cut
    assert responses[0].body.endswith(event(45))


def test_a_body_of_the_largest_size_allowed_arrives_whole(site):
    sizes = []

    def measure(request, connection):
        sizes.append(len(request.body))
        answer_all(request, connection)

    limit = 32 * 1024 * 1024
    site.publish(make_configuration(2, limits={"max_body_bytes": limit}))
    site.add_endpoint("a", measure)
    site.start_gateway()
    site.call("/charge/", body=b"x" * limit)
    assert sizes == [limit]


def test_a_larger_limit_on_bodies_counts_on_open_connections(site):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    connection = site.connect()
    body = b"x" * (5 * 1024 * 1024)
    assert site.call("/look/", connection=connection).status == 200
    site.publish(make_configuration(2, limits={"max_body_bytes": 2 * len(body)}))
    pause(1.0)
    answer = site.call("/look/", connection=connection, body=body)
    assert (answer.status, len(answer.body)) == (200, len(b"ok ") + len(body))


def test_a_draining_process_serves_late_callers_and_closes_their_connections(site):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    connection = site.connect()
    connection.request("POST", "/look/", b"x", request_headers())
    assert read_answer(connection).status == 200
    site.process("gateway-1").terminate()
    wait_until(lambda: not site.is_ready(), 1.0, "the gateway to become unready")
    connection.request("POST", "/look/", b"x", request_headers())
    response = read_answer(connection)
    assert (response.status, response.headers.get("connection")) == (200, "close")
    assert site.call("/look/").status == 200


def test_settings_are_reloaded_on_a_hangup_signal(site):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    site.process("gateway-1").send_sighup()
    wait_until(
        lambda: site.log_events(event="settings_reloaded"),
        2.0,
        "the settings to be reloaded",
    )
    assert site.call("/look/").status == 200


def test_a_changed_settings_file_is_reloaded_without_a_signal(site):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    site.touch_settings()
    wait_until(lambda: site.log_events(event="settings_reloaded"), 2.0, "the settings")


def test_a_process_that_was_paused_reads_the_store_again(site):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    site.process("gateway-1").suspend()
    tenants = [{"name": "bars", "api_keys": ["another"], "priority": 1}]
    site.publish(make_configuration(2, tenants=tenants))
    pause(2.0)
    site.process("gateway-1").resume()
    wait_until(lambda: site.call("/look/").status == 401, 1.0, "the revoked key")
    assert site.log_events(event="process_paused")


def test_a_prompt_predicted_to_be_too_late_is_refused_at_once(site):
    endpoint = site.add_endpoint("a", never_respond, service=MODEL_SERVICE)
    site.start_gateway()
    started = time.monotonic()
    response = site.call("/chat/", Bilberryring_Token_Usage="250000,800")
    assert response.status == 503
    assert b"too_late" in response.body
    assert time.monotonic() - started < 0.3
    assert not endpoint.requests


def test_serving_a_request_logs_no_internal_fault(site):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    pause(0.6)
    assert site.call("/look/").status == 200
    assert site.log_events(event="process_ready")
    assert not site.log_events(event="internal_fault")


def test_counters_and_histograms_are_on_the_metrics_address(site):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    for path in ("/look/", "/look/", "/nowhere/"):
        site.call(path)
    text = site.metrics()
    assert 'requests_total{ending="200",route="r-look"} 2' in text
    assert 'requests_total{ending="path_unknown",route=""} 1' in text
    assert 'first_answer_seconds_count{route="r-look",workspace="bars"} 2' in text
