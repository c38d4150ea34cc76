"""Translation of request and response headers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bilberryring.admission import MAX_REST_SECONDS
from bilberryring.gateway.messages import AttemptMetadata
from bilberryring.platform.headers import (
    decode_request_headers,
    decode_response_headers,
    encode_request_headers,
    encode_response_headers,
)
from bilberryring.platform.waiting_times import UNREADABLE_SECONDS

CALLER = (
    (b"Host", b"site.example"),
    (b"Bilberryring-Request-Id", b"r1"),
    (b"Bilberryring-Token-Usage", b"1460,80"),
    (b"Bilberryring-Prompt-Prefix", b"5c1e07a2:800"),
    (b"Bilberryring-Deadline-Ms", b"2500"),
    (b"Last-Event-Id", b"12"),
    (b"Authorization", b"Bearer secret"),
    (b"Bilberryring-Tenant", b"forged"),
    (b"Connection", b"close, X-Hop"),
    (b"X-Hop", b"1"),
    (b"X-Other", b"kept"),
)


def encode_request(**changes):
    fields = {"endpoint": "i-1", "seconds_left": 1.5, "workspace": "bars"}
    return encode_request_headers(CALLER, AttemptMetadata(**(fields | changes)))


def values(headers, name):
    return [value for key, value in headers if key.lower() == name.lower()]


@pytest.mark.parametrize(
    "names",
    [
        ("Optica Ștefan", "Optica Țtefan", "Optica ?tefan"),
        ("Ș", "È\u0098"),
        ("é", "Ã©", "e\u0301"),
        ("bars \U0001f377", "bars \U0001f378", "bars \U0001f377\ufe0f"),
        ("Città", "CittÅ", "CittÃ"),
    ],
)
def test_no_two_workspaces_are_the_same_to_an_endpoint(names):
    # Guards against workspaces that endpoints cannot tell apart.
    sent = [
        value
        for name in names
        for value in values(encode_request(workspace=name), b"Bilberryring-Tenant")
    ]
    assert [value.decode() for value in sent] == list(names)
    assert len(set(sent)) == len(names)


@given(st.text(st.characters(exclude_categories=["Cs"])))
def test_a_name_in_any_script_reaches_the_endpoint_unchanged(name):
    sent = values(encode_request(workspace=name), b"Bilberryring-Tenant")
    assert [value.decode() for value in sent] == [name]


def test_the_headers_of_a_caller_are_decoded():
    facts = decode_request_headers(CALLER)
    assert (facts.request_id, facts.key, facts.timeout) == ("r1", "secret", 2.5)
    assert (facts.prompt_tokens, facts.max_tokens) == (1460, 80)
    assert facts.last_event_id == "12"


def test_unreadable_numbers_count_as_absent():
    malformed = (
        (b"Bilberryring-Deadline-Ms", b"soon"),
        (b"Bilberryring-Token-Usage", b"1,-2"),
        (b"Authorization", b"Basic x"),
    )
    facts = decode_request_headers(malformed)
    assert (facts.timeout, facts.prompt_tokens, facts.key) == (None, 0, None)


def test_the_api_key_and_forged_gateway_headers_are_not_forwarded():
    headers = encode_request()
    assert not values(headers, b"Authorization")
    assert values(headers, b"Bilberryring-Tenant") == [b"bars"]
    assert values(headers, b"Bilberryring-Deadline-Ms") == [b"1500"]
    assert values(headers, b"Bilberryring-Target-Instance") == [b"i-1"]


def test_hop_by_hop_headers_are_dropped_and_others_are_forwarded():
    headers = encode_request()
    assert not values(headers, b"Connection") + values(headers, b"X-Hop")
    assert values(headers, b"X-Other") == [b"kept"]
    assert values(headers, b"Bilberryring-Prompt-Prefix") == [b"5c1e07a2:800"]


def test_a_resumed_stream_names_the_last_forwarded_event():
    headers = encode_request(last_event_id="30")
    assert values(headers, b"Last-Event-Id") == [b"30"]


def test_the_headers_of_an_endpoint_are_decoded():
    facts = decode_response_headers(
        503,
        (
            (b"Bilberryring-Not-Executed", b"1"),
            (b"Bilberryring-Server-Load", b"3,0,8"),
            (b"Retry-After", b"0.5"),
            (b"At-Server", b"10.0.0.1:80"),
        ),
    )
    assert facts.has_not_run
    assert (facts.load, facts.retry_after) == ((3, 0, 8), 0.5)
    assert facts.culprit == "10.0.0.1:80"


def test_a_failure_without_a_marker_may_have_run_unless_misdirected():
    assert not decode_response_headers(503, ()).has_not_run
    assert decode_response_headers(421, ()).has_not_run


def test_a_response_keeps_all_but_its_hop_by_hop_headers():
    headers = (
        (b"Bilberryring-Response-Stamp", b"s"),
        (b"Keep-Alive", b"timeout=5"),
        (b"Transfer-Encoding", b"chunked"),
        (b"Content-Type", b"text/event-stream"),
    )
    assert encode_response_headers(headers) == (headers[0], headers[3])


def test_the_limit_that_an_endpoint_states_is_decoded():
    def stated(value):
        headers = ((b"server-limit", value),)
        return decode_response_headers(200, headers).requests_per_second

    assert (stated(b"1"), stated(b"0.5")) == (1.0, 0.5)
    assert [stated(value) for value in (b"", b"x", b"-1", b"inf", b"nan")] == [None] * 5


@pytest.mark.parametrize("status", [200, 404, 503])
def test_any_answer_can_say_that_its_endpoint_leaves(status):
    def says(value):
        headers = ((b"server-leaving", value),)
        return decode_response_headers(status, headers).is_leaving

    assert [says(value) for value in (b"1", b" 1 ", b"0", b"")] == [True, True, 0, 0]
    assert not decode_response_headers(status, ()).is_leaving


RETRY_AFTER_VALUES = {
    (b"3",): 3.0,
    (b"0.25",): 0.25,
    (b"0",): 0.0,
    (b"-5",): 0.0,
    (b"1e9",): MAX_REST_SECONDS,
    (b"inf",): MAX_REST_SECONDS,
    (b"nan",): UNREADABLE_SECONDS,
    (b"soon",): UNREADABLE_SECONDS,
    (b"Wed, 21 Oct 2026 07:28:04 GMT",): 4.0,
    (b"Wed, 21 Oct 2026 07:27:00 GMT",): 0.0,
    (b"Wed, 99 Oct 2026 07:28:04 GMT",): UNREADABLE_SECONDS,
    (b"1", b"2.5"): 2.5,
    (b"4, 2",): 4.0,
    (b"",): None,
    (): None,
}


@pytest.mark.parametrize(("values", "seconds"), RETRY_AFTER_VALUES.items())
@pytest.mark.parametrize("status", [503, 429])
def test_any_value_of_retry_after_is_a_time_of_0_or_more_seconds(
    values, seconds, status
):
    date = (b"Date", b"Wed, 21 Oct 2026 07:28:00 GMT")
    headers = (date, *((b"Retry-After", value) for value in values))
    facts = decode_response_headers(status, headers)
    assert facts.retry_after == seconds
    assert facts.rest == (seconds if status == 503 else None)


def test_a_date_to_come_back_without_the_date_of_the_answer_is_unreadable():
    headers = ((b"Retry-After", b"Wed, 21 Oct 2026 07:28:04 GMT"),)
    assert decode_response_headers(503, headers).rest == UNREADABLE_SECONDS


def test_the_last_part_of_a_prompt_is_not_shared():
    header = (b"Bilberryring-Prompt-Prefix", b"5c1e07a2:800, 91bd3f06:410,e4:250")
    facts = decode_request_headers((header,))
    assert facts.shared_parts == ("5c1e07a2", "91bd3f06")
    assert decode_request_headers(CALLER).shared_parts == ()
