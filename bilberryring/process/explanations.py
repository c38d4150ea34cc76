"""The operators' query that explains which endpoint a prompt would be sent to."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from twisted.web.resource import Resource
from twisted.web.server import Request

from bilberryring.http import JSON_TYPE

DEFAULT_PROMPT_TOKENS = b"1000"
DEFAULT_MAX_TOKENS = b"256"


@dataclass(frozen=True, slots=True, kw_only=True)
class ExplainRequest:
    """A hypothetical prompt; `model` names a model or a service."""

    model: str
    prompt_tokens: int
    max_tokens: int


class EndpointExplanation(msgspec.Struct, frozen=True, kw_only=True):
    """The state of an endpoint that decides whether it is chosen.

    `first_token_seconds` is the predicted time on this endpoint alone, without helpers.
    `slowdown` is its estimated time as a multiple of the predicted one, and
    `learned_limit` the requests up to which it keeps its speed, 0 if not known.
    """

    endpoint: str
    failure_domain: str
    standing: str
    is_candidate: bool
    first_token_seconds: float
    tokens_ahead: int = 0
    requests: int = 0
    slowdown: float = 1.0
    learned_limit: int = 0


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """The endpoint that a prompt would be sent to now, and the state of all endpoints.

    `chosen` is empty when no endpoint can take it; `detail` may give the reason.
    `first_token_seconds` is the predicted time on the chosen endpoint with its helpers.
    """

    chosen: str
    endpoints: tuple[EndpointExplanation, ...]
    helpers: tuple[str, ...] = ()
    first_token_seconds: float = 0.0
    detail: str = ""


class ExplainQuery(Resource):
    """Answers `GET /explain?model=&prompt_tokens=&max_tokens=`."""

    isLeaf = True

    def __init__(self, *, explain: Callable[[ExplainRequest], Explanation]):
        super().__init__()
        self._explain = explain

    def render_GET(self, request: Request) -> bytes:
        request.setHeader(b"content-type", JSON_TYPE)
        question = ExplainRequest(
            model=request.args.get(b"model", [b""])[0].decode("utf-8", "replace"),
            prompt_tokens=_parse_number(
                request, b"prompt_tokens", DEFAULT_PROMPT_TOKENS
            ),
            max_tokens=_parse_number(request, b"max_tokens", DEFAULT_MAX_TOKENS),
        )
        return msgspec.json.encode(self._explain(question))


def _parse_number(request: Request, name: bytes, default: bytes) -> int:
    """Return an argument as a number of at least 1, or the default if it is none."""
    text = request.args.get(name, [default])[0]
    return max(1, int(text)) if text.isdigit() else int(default)
