"""The operators' query that explains where a prompt would go."""

import msgspec
from twisted.web.resource import Resource
from twisted.web.server import Request

from bilberryring.entry.entry_state import EntryState
from bilberryring.http import JSON_TYPE
from bilberryring.routing import (
    LengthAware,
    Placement,
    PromptShape,
    first_token_seconds,
)

DEFAULT_PROMPT_TOKENS = b"1000"
DEFAULT_MAX_TOKENS = b"256"


class EndpointExplanation(msgspec.Struct, frozen=True, kw_only=True):
    """Why an endpoint is chosen or not; times are in seconds."""

    endpoint: str
    failure_domain: str
    standing: str
    is_candidate: bool
    first_token_seconds: float
    tokens_ahead: int


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """Where a prompt would go now; empty when nowhere."""

    chosen: str
    endpoints: tuple[EndpointExplanation, ...]


class ExplainQuery(Resource):
    """Answers `GET /explain?model=&prompt_tokens=&max_tokens=`."""

    isLeaf = True

    def __init__(self, *, state: EntryState):
        super().__init__()
        self._state = state

    def render_GET(self, request: Request) -> bytes:
        request.setHeader(b"content-type", JSON_TYPE)
        model = request.args.get(b"model", [b""])[0].decode()
        shape = PromptShape(
            prompt_tokens=_number(request, b"prompt_tokens", DEFAULT_PROMPT_TOKENS),
            max_tokens=_number(request, b"max_tokens", DEFAULT_MAX_TOKENS),
        )
        return msgspec.json.encode(self._explain(model, shape))

    def _explain(self, model_name: str, shape: PromptShape) -> Explanation:
        objects = self._state.objects
        model = objects.models.get(model_name) if objects else None
        if model is None:
            return Explanation(chosen="", endpoints=())
        endpoints = objects.endpoints_of_version.get(model.default_version, ())
        tracked = [
            endpoint
            for endpoint in endpoints
            if self._state.links.record(endpoint.name) is not None
        ]
        loads = self._state.links.loads([endpoint.name for endpoint in tracked])
        by_name = {load.endpoint: load for load in loads}
        chosen = Placement(policy=LengthAware()).choose(shape, loads)
        rows = []
        for endpoint in tracked:
            load = by_name.get(endpoint.name)
            rows.append(
                EndpointExplanation(
                    endpoint=endpoint.name,
                    failure_domain=endpoint.failure_domain,
                    standing=self._state.links.standing(endpoint.name).value,
                    is_candidate=load is not None,
                    first_token_seconds=first_token_seconds(shape, load)
                    if load
                    else 0.0,
                    tokens_ahead=load.tokens_ahead(shape.length_class) if load else 0,
                )
            )
        return Explanation(
            chosen=chosen.endpoint if chosen else "", endpoints=tuple(rows)
        )


def _number(request: Request, name: bytes, default: bytes) -> int:
    text = request.args.get(name, [default])[0]
    return max(1, int(text)) if text.isdigit() else int(default)
