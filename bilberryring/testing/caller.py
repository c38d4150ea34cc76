"""An HTTP client that sends prompts and service calls, and checks the answers."""

import contextlib
import http.client
import json
import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from bilberryring.standins.engine_model import expected_answer

SOCKET_TIMEOUT_SECONDS = 120.0
MAX_ANSWER_BYTES = 40 * 1024 * 1024
"""Bytes of an answer; a service may answer with 32 MiB."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptResult:
    """The result of one prompt; times are in seconds since it was sent.

    `is_whole` is true when the complete expected answer arrived. `code` and
    `outcome` are those of the error that was received, and empty without one.
    `is_cut` is true when the answer ended without an end marker and without an error.
    `first_token` is `None` when no token arrived, and `tokens` counts the tokens of
    a whole answer.
    """

    is_whole: bool
    code: str = ""
    outcome: str = ""
    is_cut: bool = False
    first_token: float | None = None
    seconds: float = 0.0
    tokens: int = 0
    detail: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallResult:
    """The result of one call of a plain service.

    `status` is the HTTP status, or 0 when no answer arrived; `code` is then `cut`.
    `replayed` is true when the answer was recorded for an earlier call with the
    same ticket.
    """

    status: int
    code: str = ""
    outcome: str = ""
    body: Any = None
    replayed: bool = False


class Caller:
    """Sends requests to one entry with the API key of one workspace."""

    def __init__(self, *, address: str, key: str):
        self._address = address
        self._key = key

    def prompt(
        self, text: str, *, model: str, max_tokens: int, timeout: float | None = None
    ) -> PromptResult:
        """Send a prompt as a streaming completion and read the answer to its end.

        `timeout` is the deadline in seconds that the request carries.
        """
        body = {
            "model": model,
            "prompt": text,
            "max_tokens": max_tokens,
            "stream": True,
        }
        if timeout is not None:
            body["timeout"] = timeout
        started = time.monotonic()
        try:
            with contextlib.closing(self._connect()) as connection:
                connection.request(
                    "POST", "/v1/completions", json.dumps(body), self._headers()
                )
                response = connection.getresponse()
                if response.status != 200:
                    return _problem_result(_read_body(response), started)
                return _read_stream(response, text, max_tokens, started)
        except (OSError, http.client.HTTPException) as error:
            return PromptResult(
                is_whole=False,
                is_cut=True,
                detail=repr(error),
                seconds=time.monotonic() - started,
            )

    def request_ticket(self, service: str) -> CallResult:
        """Request a ticket for a call of a service.

        The ticket is in the field `ticket` of the result's body.
        """
        return self._send_call("POST", f"/v1/services/{service}/tickets", {}, "")

    def call(
        self, service: str, path: str, body: dict, *, ticket: str = ""
    ) -> CallResult:
        """Send a `POST` call to a service; a ticket becomes its idempotency key."""
        return self._send_call(
            "POST", f"/v1/services/{service}/calls/{path}", body, ticket
        )

    def get(self, service: str, path: str) -> CallResult:
        """Send a `GET` call to a service, which is safe to repeat."""
        return self._send_call("GET", f"/v1/services/{service}/calls/{path}", None, "")

    def _send_call(
        self, method: str, path: str, body: dict | None, ticket: str
    ) -> CallResult:
        headers = self._headers()
        if ticket:
            headers["Idempotency-Key"] = ticket
        content = json.dumps(body) if body is not None else None
        try:
            with contextlib.closing(self._connect()) as connection:
                connection.request(method, path, content, headers)
                response = connection.getresponse()
                text = _read_body(response)
        except (OSError, http.client.HTTPException) as error:
            return CallResult(status=0, code="cut", body=repr(error))
        decoded = json.loads(text) if text else None
        is_problem = "problem" in (response.getheader("content-type") or "")
        return CallResult(
            status=response.status,
            code=decoded["code"] if is_problem else "",
            outcome=decoded["outcome"] if is_problem else "",
            body=decoded,
            replayed=response.getheader("x-bilberryring-replayed") == "true",
        )

    def _connect(self) -> http.client.HTTPConnection:
        host, port = self._address.rsplit(":", 1)
        return http.client.HTTPConnection(
            host, int(port), timeout=SOCKET_TIMEOUT_SECONDS
        )

    def _headers(self) -> dict[str, str]:
        return {
            "Authorization": f"Bearer {self._key}",
            "Content-Type": "application/json",
        }


def _read_body(response: http.client.HTTPResponse) -> bytes:
    """Return the body; raise `HTTPException` if it is too long."""
    body = response.read(MAX_ANSWER_BYTES + 1)
    if len(body) > MAX_ANSWER_BYTES:
        raise http.client.HTTPException("the answer is too long")
    return body


def _read_lines(response: http.client.HTTPResponse) -> Iterator[bytes]:
    """Return the lines; raise `HTTPException` if there are too many bytes."""
    n_bytes = 0
    while line := response.readline(MAX_ANSWER_BYTES + 1):
        n_bytes += len(line)
        if n_bytes > MAX_ANSWER_BYTES:
            raise http.client.HTTPException("the answer is too long")
        yield line


def _problem_result(body: bytes, started: float) -> PromptResult:
    try:
        problem = json.loads(body)
    except ValueError:
        return PromptResult(is_whole=False, is_cut=True, detail=repr(body[:200]))
    return PromptResult(
        is_whole=False,
        code=problem["code"],
        outcome=problem["outcome"],
        seconds=time.monotonic() - started,
        detail=problem.get("detail", ""),
    )


def _read_stream(response, prompt: str, max_tokens: int, started: float):
    texts: list[str] = []
    first_token = None
    problem = None
    has_end = False
    for raw in _read_lines(response):
        line = raw.decode().strip()
        if not line.startswith("data: "):
            continue
        data = line.removeprefix("data: ")
        if data == "[DONE]":
            has_end = True
            break
        event = json.loads(data)
        if "error" in event:
            problem = event["error"]
            break
        text = event["choices"][0]["text"]
        if text and first_token is None:
            first_token = time.monotonic() - started
        texts.append(text)
    seconds = time.monotonic() - started
    if problem is not None:
        return PromptResult(
            is_whole=False,
            code=problem["code"],
            outcome=problem["outcome"],
            first_token=first_token,
            seconds=seconds,
        )
    is_whole = has_end and "".join(texts) == expected_answer(prompt, max_tokens)
    return PromptResult(
        is_whole=is_whole,
        is_cut=not has_end,
        first_token=first_token,
        seconds=seconds,
        tokens=max_tokens if is_whole else 0,
        detail="" if is_whole else "the answer differs from the expected one",
    )
