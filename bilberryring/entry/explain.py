"""Explains where this entry would send a prompt and why."""

from bilberryring.entry.entry_state import EntryState
from bilberryring.process.explanations import (
    EndpointExplanation,
    ExplainRequest,
    Explanation,
)
from bilberryring.routing import (
    LengthAware,
    Placement,
    PromptShape,
    first_token_seconds,
)


def explain_prompt(state: EntryState, question: ExplainRequest) -> Explanation:
    """Return where the prompt would go now, with the figures of every endpoint.

    All tracked endpoints of the model's default version are listed. `chosen` is
    empty when the model is unknown or no single endpoint can take the prompt.
    """
    shape = PromptShape(
        prompt_tokens=question.prompt_tokens, max_tokens=question.max_tokens
    )
    objects = state.objects
    model = objects.models.get(question.model) if objects else None
    if model is None:
        return Explanation(chosen="", endpoints=(), detail="unknown model")
    tracked = [
        endpoint
        for endpoint in objects.endpoints_by_version.get(model.default_version, ())
        if state.links.record(endpoint.name) is not None
    ]
    loads = state.links.loads([endpoint.name for endpoint in tracked])
    by_name = {load.endpoint: load for load in loads}
    chosen = Placement(policy=LengthAware()).choose(shape, loads)
    rows = []
    for endpoint in tracked:
        load = by_name.get(endpoint.name)
        rows.append(
            EndpointExplanation(
                endpoint=endpoint.name,
                failure_domain=endpoint.failure_domain,
                standing=state.links.standing(endpoint.name).value,
                is_candidate=load is not None,
                first_token_seconds=first_token_seconds(shape, load) if load else 0.0,
                tokens_ahead=load.tokens_ahead(shape.length_class) if load else 0,
            )
        )
    return Explanation(
        chosen=chosen.endpoint if chosen else "",
        endpoints=tuple(rows),
        first_token_seconds=first_token_seconds(shape, by_name[chosen.endpoint])
        if chosen
        else 0.0,
    )
