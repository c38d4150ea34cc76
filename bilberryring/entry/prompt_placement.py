"""Where the entry sends a prompt: to one endpoint, or to a span of several."""

from dataclasses import dataclass

from bilberryring.admission import Span, SpanCandidate, choose_span
from bilberryring.entry.caller_prompt import CallerPrompt
from bilberryring.entry.sidecar_links import SidecarLinks
from bilberryring.objects import ObjectSet
from bilberryring.routing import (
    EndpointLoad,
    FewestOutstanding,
    LengthAware,
    Placement,
    PromptShape,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacedPrompt:
    """The endpoint that answers, and the helpers that hold a part for it."""

    endpoint: str
    helpers: tuple[str, ...] = ()


class PromptPlacement:
    """Chooses among the endpoints that the entry tracks and that take new work."""

    def __init__(self, *, links: SidecarLinks):
        self._links = links
        self._usual = Placement(policy=LengthAware())
        self._isolated = Placement(policy=FewestOutstanding())

    def choose(
        self,
        prompt: CallerPrompt,
        objects: ObjectSet,
        *,
        excluded: frozenset[str],
        is_isolated: bool,
    ) -> PlacedPrompt | None:
        """Return where to send a prompt now, or `None` when nowhere."""
        version = prompt.model.default_version
        endpoints = objects.endpoints_of_version.get(version, ())
        names = [endpoint.name for endpoint in endpoints]
        loads = self._links.loads(names, excluded=excluded)
        placement = self._isolated if is_isolated else self._usual
        chosen = placement.choose(prompt.shape, loads)
        if chosen is not None:
            return PlacedPrompt(endpoint=chosen.endpoint)
        span = self._choose_span(prompt.shape, loads)
        if span is None:
            return None
        return PlacedPrompt(endpoint=span.lead, helpers=span.helpers)

    def _choose_span(
        self, shape: PromptShape, loads: list[EndpointLoad]
    ) -> Span | None:
        """Return engines that hold together what none holds alone."""
        if any(load.kv_tokens >= shape.kv_tokens for load in loads):
            return None
        candidates = [
            SpanCandidate(
                endpoint=load.endpoint,
                failure_domain=self._links.domain_of(load.endpoint),
                kv_tokens=load.kv_tokens,
                backlog_tokens=load.all_tokens,
            )
            for load in loads
            if not load.is_cold
        ]
        return choose_span(shape.kv_tokens, candidates)
