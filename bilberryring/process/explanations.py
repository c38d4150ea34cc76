"""The operators' query that explains where a prompt would go."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from twisted.web.resource import Resource
from twisted.web.server import Request

from bilberryring.http import JSON_TYPE

DEFAULT_PROMPT_TOKENS = b"1000"
DEFAULT_MAX_TOKENS = b"256"


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptQuestion:
    """A prompt that nobody sends; `model` names a model or a service."""

    model: str
    prompt_tokens: int
    max_tokens: int


class EndpointExplanation(msgspec.Struct, frozen=True, kw_only=True):
    """Why an endpoint is chosen or not; times are in seconds.

    `first_token_seconds` is for this endpoint alone, without helpers.
    """

    endpoint: str
    failure_domain: str
    standing: str
    is_candidate: bool
    first_token_seconds: float
    tokens_ahead: int = 0
    requests: int = 0


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """Where a prompt would go now; `chosen` is empty when nowhere.

    `first_token_seconds` is for the chosen endpoint with its helpers.
    """

    chosen: str
    endpoints: tuple[EndpointExplanation, ...]
    helpers: tuple[str, ...] = ()
    first_token_seconds: float = 0.0
    detail: str = ""


class ExplainQuery(Resource):
    """Answers `GET /explain?model=&prompt_tokens=&max_tokens=`."""

    isLeaf = True

    def __init__(self, *, explain: Callable[[PromptQuestion], Explanation]):
        super().__init__()
        self._explain = explain

    def render_GET(self, request: Request) -> bytes:
        request.setHeader(b"content-type", JSON_TYPE)
        question = PromptQuestion(
            model=request.args.get(b"model", [b""])[0].decode("utf-8", "replace"),
            prompt_tokens=_number(request, b"prompt_tokens", DEFAULT_PROMPT_TOKENS),
            max_tokens=_number(request, b"max_tokens", DEFAULT_MAX_TOKENS),
        )
        return msgspec.json.encode(self._explain(question))


def _number(request: Request, name: bytes, default: bytes) -> int:
    text = request.args.get(name, [default])[0]
    return max(1, int(text)) if text.isdigit() else int(default)
