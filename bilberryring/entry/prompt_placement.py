"""Chooses where the entry sends a prompt: one endpoint, or a span of several."""

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
    """The endpoint that answers, and the helpers that hold part of the KV cache."""

    endpoint: str
    helpers: tuple[str, ...] = ()


class PromptPlacement:
    """Chooses among the tracked endpoints that take new work."""

    def __init__(self, *, links: SidecarLinks):
        self._links = links
        self._default_placement = Placement(policy=LengthAware())
        self._isolated_placement = Placement(policy=FewestOutstanding())

    def choose(
        self,
        prompt: CallerPrompt,
        objects: ObjectSet,
        *,
        excluded: frozenset[str],
        is_isolated: bool,
    ) -> PlacedPrompt | None:
        """Return where to send a prompt, or `None` when no endpoint can take it.

        An isolated prompt goes to the endpoint with the fewest outstanding
        attempts.
        """
        version = prompt.model.default_version
        endpoints = objects.endpoints_by_version.get(version, ())
        names = [endpoint.name for endpoint in endpoints]
        loads = self._links.loads(names, excluded=excluded)
        placement = self._isolated_placement if is_isolated else self._default_placement
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
        """Return engines that together have room for the prompt's KV cache.

        `None` when the KV memory of a single engine is large enough, so that a
        prompt which only waits for memory is not spread, or when there is no
        such group of engines.
        """
        if any(load.kv_tokens >= shape.kv_tokens for load in loads):
            return None
        candidates = [
            SpanCandidate(
                endpoint=load.endpoint,
                failure_domain=self._links.failure_domain_of(load.endpoint),
                kv_tokens=load.kv_tokens,
                backlog_tokens=load.waiting_tokens,
            )
            for load in loads
            if not load.is_cold
        ]
        return choose_span(shape.kv_tokens, candidates)
