"""The official client library against a real fleet, and callers that misbehave."""

import http.client
import json
import socket

import openai
import pytest

from bilberryring.http import MAX_BODY_BYTES
from bilberryring.standins.engine_model import expected_answer
from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import MODEL, SERVICE, FleetPlan, workspace_key
from bilberryring.testing.processes import wait_until

TOKENS = 12


@pytest.fixture(scope="module")
def fleet():
    small = Fleet(plan=FleetPlan(engines_per_domain=1, entry_domains=("valpo-a",)))
    try:
        yield small.start()
    finally:
        small.stop()


@pytest.fixture
def client(fleet):
    return openai.OpenAI(
        base_url=f"http://{fleet.caller_address('entry-1')}/v1",
        api_key=workspace_key("bars"),
        max_retries=0,
    )


def send(fleet, method, path, body, headers=None):
    host, port = fleet.caller_address("entry-1").rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=20)
    default = {"Authorization": f"Bearer {workspace_key('bars')}"}
    connection.request(method, path, body, default if headers is None else headers)
    response = connection.getresponse()
    return response.status, json.loads(response.read())


def test_chat_completion(client):
    messages = [{"role": "user", "content": "¿Cuántos sifones?"}]
    answer = client.chat.completions.create(
        model=MODEL, messages=messages, max_tokens=TOKENS
    )
    expected = expected_answer("user: ¿Cuántos sifones?\n", TOKENS)
    assert answer.choices[0].message.content == expected
    assert answer.usage.completion_tokens == TOKENS


def test_streamed_chat_completion(client):
    messages = [{"role": "user", "content": [{"type": "text", "text": "hola"}]}]
    stream = client.chat.completions.create(
        model=MODEL,
        messages=messages,
        max_tokens=TOKENS,
        stream=True,
        stream_options={"include_usage": True},
    )
    chunks = list(stream)
    text = "".join(
        chunk.choices[0].delta.content or "" for chunk in chunks if chunk.choices
    )
    assert text == expected_answer("user: hola\n", TOKENS)
    assert chunks[-1].usage.completion_tokens == TOKENS
    assert chunks[-2].choices[0].finish_reason == "length"


def test_completion_and_stream(client):
    answer = client.completions.create(model=MODEL, prompt="luces", max_tokens=TOKENS)
    assert answer.choices[0].text == expected_answer("luces", TOKENS)
    stream = client.completions.create(
        model=MODEL, prompt="luces", max_tokens=TOKENS, stream=True
    )
    text = "".join(chunk.choices[0].text for chunk in stream)
    assert text == expected_answer("luces", TOKENS)


def test_models_of_the_workspace(client):
    assert [model.id for model in client.models.list()] == [MODEL]


def test_typed_errors_reach_the_client(client, fleet):
    with pytest.raises(openai.NotFoundError):
        client.completions.create(model="other", prompt="x")
    stranger = client.with_options(api_key="nobody")
    with pytest.raises(openai.AuthenticationError) as caught:
        stranger.models.list()
    assert caught.value.body["code"] == "key_unknown"


@pytest.mark.parametrize(
    "body", ["", "{", "[]", '{"model": 3}', '{"model": "bilberry", "prompt": null}']
)
def test_malformed_bodies_get_a_clear_end(fleet, body):
    status, problem = send(fleet, "POST", "/v1/completions", body)
    assert (status, problem["code"]) == (400, "body_malformed")
    assert problem["outcome"] == "not_run"
    assert problem["remedy"]


def test_too_long_prompts_and_bodies(fleet):
    body = json.dumps({"model": MODEL, "prompt": "x" * 4_100_000})
    status, problem = send(fleet, "POST", "/v1/completions", body)
    assert (status, problem["code"]) == (413, "prompt_too_long")
    status, problem = send(fleet, "POST", "/v1/completions", "x" * (MAX_BODY_BYTES + 1))
    assert (status, problem["code"]) == (413, "body_too_large")


def test_unknown_paths_and_services(fleet):
    status, problem = send(fleet, "POST", "/v1/services/other/tickets", "")
    assert (status, problem["code"]) == (404, "service_unknown")
    status, problem = send(fleet, "POST", f"/v1/services/{SERVICE}/other", "")
    assert (status, problem["code"]) == (404, "path_unknown")


def test_callers_cannot_reach_operators_calls(fleet):
    host, port = fleet.caller_address("entry-1").rsplit(":", 1)
    for path in ("/status", "/metrics", "/explain"):
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        connection.request("GET", path)
        assert connection.getresponse().status == 404


def test_vanished_upload_leaves_nothing(fleet):
    host, port = fleet.caller_address("entry-1").rsplit(":", 1)
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall(
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n"
            b"\r\n{"
        )
    wait_until(
        lambda: fleet.status("entry-1")["in_progress"] == 0, 5.0, "nothing in progress"
    )


def test_metrics_and_explain_for_operators(fleet, client):
    client.completions.create(model=MODEL, prompt="luces", max_tokens=TOKENS)
    host, port = fleet.operator_address("entry-1").rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=20)
    connection.request("GET", "/metrics")
    text = connection.getresponse().read().decode()
    assert 'bilberryring_first_token_seconds_bucket{le="0.38",workspace="bars"}' in text
    connection.request("GET", f"/explain?model={MODEL}&prompt_tokens=5000")
    answer = json.loads(connection.getresponse().read())
    assert answer["chosen"] in fleet.engines
