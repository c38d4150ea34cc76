"""Tests of the choice of endpoints: length, cold endpoints, memory, tracked subset."""

from collections import Counter

from bilberryring.objects import (
    FailureDomain,
    Model,
    ModelEndpoint,
    ObjectSet,
    Version,
)
from bilberryring.routing import (
    EndpointLoad,
    LengthAware,
    Placement,
    PromptShape,
)
from bilberryring.routing.subset import tracked_endpoints

SHORT = PromptShape(prompt_tokens=1_000, max_tokens=100)
LONG = PromptShape(prompt_tokens=300_000, max_tokens=100)


def place(shape: PromptShape, *loads: EndpointLoad) -> str:
    chosen = Placement(policy=LengthAware(), seed=1).choose(shape, loads)
    return chosen.endpoint if chosen else ""


def test_short_prompts_avoid_engines_that_prefill_long_ones():
    busy = EndpointLoad(
        endpoint="busy", backlog_tokens=(0, 0, 0, 500_000), prefill_rate=40_000
    )
    idle = EndpointLoad(
        endpoint="idle", backlog_tokens=(2_000, 0, 0, 0), prefill_rate=40_000
    )
    assert place(SHORT, busy, idle) == "idle"


def test_cold_endpoints_get_no_prompt_beyond_their_allowance():
    cold = EndpointLoad(endpoint="cold", is_cold=True, allowance=2, outstanding=2)
    assert place(SHORT, cold) == ""
    assert place(LONG, EndpointLoad(endpoint="cold", is_cold=True, allowance=2)) == ""


def test_prompts_larger_than_the_memory_of_an_endpoint_are_not_sent_there():
    assert place(LONG, EndpointLoad(endpoint="small", kv_tokens=200_000)) == ""


def test_tracked_subsets_cover_a_large_fleet_evenly():
    domains = {f"d{i}": FailureDomain(name=f"d{i}", region="r") for i in range(11)}
    endpoints = {
        f"e{i}": ModelEndpoint(
            name=f"e{i}",
            failure_domain=f"d{i % 11}",
            sidecar=f"10.0.{i // 250}.{i % 250 + 1}:9",
            versions=("v",),
        )
        for i in range(330)
    }
    objects = ObjectSet(
        failure_domains=domains,
        models={"m": Model(name="m", default_version="v")},
        versions={"v": Version(name="v", model="m", weights_megabytes=1)},
        model_endpoints=endpoints,
    )
    counts: Counter[str] = Counter()
    for entry in range(400):
        tracked = tracked_endpoints(objects, entry=f"entry-{entry}", per_model=12)
        assert len(tracked) == 12
        counts.update(tracked.keys())
    assert len(counts) == 330
    assert max(counts.values()) <= 3 * 400 * 12 / 330
