"""Requests that are late, refused, repeated, or cross the end of a process."""

import threading
import time

from bilberryring.standins.gateway_site import (
    MODEL_SERVICE,
    a_configuration,
    a_route,
    read_answer,
    request_headers,
)
from bilberryring.standins.scripted_endpoint import (
    answer_all,
    chunk,
    event,
    reset,
    stream_head,
    whole_answer,
)
from bilberryring.testing.processes import pause, wait_until


def never(request, connection):
    """Take a request and say nothing."""


def break_off(request, connection):
    reset(connection)


def slow(seconds):
    def script(request, connection):
        pause(seconds)
        answer_all(request, connection)

    return script


def misdirected(request, connection):
    connection.sendall(
        whole_answer(
            request.request_id, b"", status="421 Misdirected Request", extra="X: y"
        )
    )


def test_a_request_is_answered_at_its_routes_timeout(site):
    routes = [a_route("/charge/", "non_idempotent", "orders", timeout_ms=600)]
    site.publish(a_configuration(2, routes=routes))
    site.add_endpoint("a", never)
    site.start_gateway()
    started = time.monotonic()
    answer = site.call("/charge/")
    assert answer.status == 504
    assert 0.5 < time.monotonic() - started < 1.1


def test_a_stream_ends_at_its_routes_timeout_and_does_not_look_whole(site):
    routes = [a_route("/chat/", "streaming", MODEL_SERVICE, timeout_ms=700)]
    site.publish(a_configuration(2, routes=routes))

    def endless(request, connection):
        connection.sendall(stream_head(request.request_id))
        for number in range(1, 500):
            connection.sendall(chunk(event(number)))
            pause(0.02)

    site.add_endpoint("a", endless, service=MODEL_SERVICE)
    site.start_gateway()
    started = time.monotonic()
    answer = site.call("/chat/")
    assert answer.is_cut
    assert time.monotonic() - started < 1.2


def test_an_endpoint_gets_the_time_that_is_left(site):
    site.add_endpoint("a", break_off)
    second = site.add_endpoint("b", answer_all, zone="south")
    site.start_gateway()
    site.call("/look/", Bilberryring_Deadline_Ms="1500")
    left = int(second.seen[0].headers["bilberryring-deadline-ms"])
    assert 1_000 < left < 1_500


def test_a_call_that_runs_once_is_sent_once(site):
    broken = site.add_endpoint("a", break_off)
    other = site.add_endpoint("b", answer_all, zone="south")
    site.start_gateway()
    answer = site.call("/charge/")
    assert answer.status == 502
    assert len(broken.seen) + len(other.seen) == 1


def test_a_caller_that_leaves_does_not_stop_a_call_that_runs_once(site):
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
    endpoints = [site.add_endpoint(f"e{number}", break_off) for number in range(4)]
    site.start_gateway()
    answer = site.call("/look/")
    assert answer.status == 502
    assert sum(len(endpoint.seen) for endpoint in endpoints) == 2


def test_an_address_that_another_service_has_now_is_given_up(site):
    site.add_endpoint("a", misdirected)
    sound = site.add_endpoint("b", answer_all, zone="south")
    site.start_gateway()
    assert [site.call("/look/").status for _ in range(4)] == [200] * 4
    assert len(sound.seen) == 4


def failing(times):
    """Answer with a failure so many times, then well."""
    left = [times]

    def script(request, connection):
        if left[0]:
            left[0] -= 1
            body = b"no stock"
            status = "500 Internal Server Error"
            connection.sendall(whole_answer(request.request_id, body, status=status))
        else:
            answer_all(request, connection)

    return script


def test_an_endpoints_own_failure_reaches_the_caller_when_nothing_else_is_left(site):
    site.add_endpoint("a", failing(9))
    site.start_gateway()
    answer = site.call("/look/")
    assert (answer.status, answer.body) == (500, b"no stock")
    assert "bilberryring-response-stamp" in answer.headers


def test_a_failure_is_kept_when_the_other_endpoint_breaks_off(site):
    site.add_endpoint("a", failing(9))
    site.start_gateway()
    site.call("/look/")
    site.add_endpoint("b", break_off, zone="south")
    pause(0.3)
    assert {site.call("/look/").status for _ in range(4)} == {500}


def test_the_only_endpoint_is_asked_again_after_a_failure(site):
    only = site.add_endpoint("a", failing(1))
    site.start_gateway()
    assert site.call("/look/").status == 200
    assert len(only.seen) == 2


def test_an_endpoint_that_does_not_listen_costs_no_attempt(site):
    site.announce("a", "127.0.0.1:1")
    sound = site.add_endpoint("b", answer_all, zone="south")
    site.start_gateway()
    assert site.call("/charge/").status == 200
    assert len(sound.seen) == 1


def test_repeats_stay_within_the_budget_when_every_endpoint_fails(site):
    endpoints = [site.add_endpoint(f"e{number}", break_off) for number in range(3)]
    site.start_gateway()
    count = 200
    for _ in range(count):
        site.call("/look/")
    arrivals = sum(len(endpoint.seen) for endpoint in endpoints)
    assert arrivals - count <= 0.2 * count + 100 / 2


def test_a_silent_stream_is_repeated_where_that_is_allowed(site):
    site.add_endpoint("a", never, service=MODEL_SERVICE)

    def stream(request, connection):
        connection.sendall(stream_head(request.request_id))
        connection.sendall(chunk(event(1)) + chunk(b""))

    site.start_gateway()
    site.add_endpoint("b", stream, service=MODEL_SERVICE, zone="south")
    pause(0.3)
    answers = [site.call("/chat/") for _ in range(2)]
    assert [answer.body for answer in answers] == [event(1)] * 2


def test_a_request_that_ends_endpoints_is_held_back(site):
    """Each endpoint that takes the request is gone afterwards."""
    endpoints = []

    def crash(request, connection):
        for endpoint in endpoints:
            if connection in endpoint.connections:
                endpoint.close()

    for number in range(6):
        endpoints.append(site.add_endpoint(f"e{number}", crash))
    site.start_gateway()
    answers = []
    for _ in range(4):
        answers.append(site.call("/look/", body=b"poison"))
        pause(0.2)
    seen = sum(len(endpoint.seen) for endpoint in endpoints)
    assert seen <= 4
    assert b"held_back" in answers[-1].body
    assert answers[-1].status == 503


def test_a_stop_cuts_no_request(site):
    site.add_endpoint("a", slow(1.0))
    site.start_gateway()
    answers = []

    def call():
        answers.append(site.call("/look/"))

    threads = [threading.Thread(target=call) for _ in range(4)]
    for thread in threads:
        thread.start()
    pause(0.3)
    site.process("gateway-1").terminate()
    for thread in threads:
        thread.join()
    assert [answer.status for answer in answers] == [200] * 4
    assert site.process("gateway-1").wait(7.0) == 0


def test_a_stop_cuts_no_stream_that_ends_in_the_time_for_it(site):
    """The stream lasts longer than callers keep arriving after the signal."""

    def stream(request, connection):
        connection.sendall(stream_head(request.request_id))
        for number in range(1, 46):
            connection.sendall(chunk(event(number)))
            pause(0.1)
        connection.sendall(chunk(b""))

    routes = [a_route("/chat/", "streaming", MODEL_SERVICE, timeout_ms=9_000)]
    site.publish(a_configuration(2, routes=routes))
    site.add_endpoint("a", stream, service=MODEL_SERVICE)
    site.start_gateway()
    answers = []

    def call():
        answers.append(site.call("/chat/", Bilberryring_Deadline_Ms="9000"))

    thread = threading.Thread(target=call)
    thread.start()
    pause(0.3)
    site.process("gateway-1").terminate()
    thread.join()
    assert not answers[0].is_cut
    assert answers[0].body.endswith(event(45))


def test_a_process_that_leaves_serves_late_callers_and_closes_their_connections(site):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    connection = site.connect()
    connection.request("POST", "/look/", b"x", request_headers())
    assert read_answer(connection).status == 200
    site.process("gateway-1").terminate()
    wait_until(lambda: not site.is_ready(), 1.0, "it to leave the balancer")
    connection.request("POST", "/look/", b"x", request_headers())
    answer = read_answer(connection)
    assert (answer.status, answer.headers.get("connection")) == (200, "close")
    assert site.call("/look/").status == 200


def test_changed_settings_are_taken_without_a_restart(site):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    site.process("gateway-1").hang_up()
    wait_until(lambda: site.log_events(event="settings_reloaded"), 2.0, "the settings")
    assert site.call("/look/").status == 200


def test_a_settings_file_that_changes_without_a_signal_is_read(site):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    site.touch_settings()
    wait_until(lambda: site.log_events(event="settings_reloaded"), 2.0, "the settings")


def test_a_process_that_stood_still_asks_anew(site):
    site.add_endpoint("a", answer_all)
    site.start_gateway()
    site.process("gateway-1").freeze()
    tenants = [{"name": "bars", "api_keys": ["another"], "priority": 1}]
    site.publish(a_configuration(2, tenants=tenants))
    pause(2.0)
    site.process("gateway-1").thaw()
    wait_until(lambda: site.call("/look/").status == 401, 1.0, "the revoked key")
    assert site.log_events(event="process_paused")


def test_a_prompt_that_would_come_too_late_is_refused_at_once(site):
    endpoint = site.add_endpoint("a", never, service=MODEL_SERVICE)
    site.start_gateway()
    started = time.monotonic()
    answer = site.call("/chat/", Bilberryring_Token_Usage="250000,800")
    assert answer.status == 503
    assert b"too_late" in answer.body
    assert time.monotonic() - started < 0.3
    assert not endpoint.seen


def test_no_fault_of_its_own_is_in_the_log(site):
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
