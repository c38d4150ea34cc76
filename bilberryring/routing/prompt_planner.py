"""Plans for the prompts of one service, with a memory of how much is prefilled.

Streams that are kept together on few engines leave the others free for long prompts.
But gateways that know of each other's prompts late then also fill the same engines
together. So streams are kept together only while there are long prompts: the more
prefill the engines have had lately, the more.
"""

import math
from collections.abc import Sequence

from bilberryring.routing.engine_figures import EngineFigures
from bilberryring.routing.prompt_plan import MAX_PACKED_SHARE, PromptPlan, plan_prompt
from bilberryring.routing.read_cost import Candidate, PromptDemand
from bilberryring.routing.span_plan import needs_span, plan_span

FULL_PACKING_MS = 30.0
"""Mean prefill time of the engines from which streams are kept together fully."""
MAX_BACKLOG_MS = 400.0
"""Prefill time of one engine that counts at most, so that one engine does not set the
mean of all."""
CLOSE_COST = 0.1
"""Difference in cost, in short requests, up to which two leads count as equally good
while other gateways plan too."""
FALL_SECONDS = 1.0
"""Time constant with which the level falls after long prompts. It rises faster, with
`RISE_SECONDS`, since an engine with streams cannot be freed."""
RISE_SECONDS = 0.1


class PromptPlanner:
    """Plans prompts for one service; times are in seconds.

    >>> planner = PromptPlanner()
    >>> planner.packed_share
    0.0
    >>> planner.observe(60.0, now=0.0)
    >>> planner.observe(60.0, now=2.0)
    >>> planner.packed_share
    0.6
    """

    def __init__(self):
        self._backlog_ms = 0.0
        self._observed_at = 0.0

    @property
    def packed_share(self) -> float:
        """Share of an engine's slots up to which streams are kept together."""
        return MAX_PACKED_SHARE * min(1.0, self._backlog_ms / FULL_PACKING_MS)

    def observe(self, backlog_ms: float, *, now: float) -> None:
        """Follow the mean prefill time that the engines still have to come."""
        is_rising = backlog_ms > self._backlog_ms
        constant = RISE_SECONDS if is_rising else FALL_SECONDS
        share = 1.0 - math.exp(-max(0.0, now - self._observed_at) / constant)
        self._backlog_ms += share * (backlog_ms - self._backlog_ms)
        self._observed_at = now

    def plan(
        self,
        prompt: PromptDemand,
        figures: EngineFigures,
        candidates: Sequence[Candidate],
        *,
        now: float,
        gateways: int = 1,
    ) -> PromptPlan | None:
        """Return the cheapest plan, or `None` when the engines lack the memory.

        If `gateways` are several, leads of close cost are taken alternately: others
        that plan at the same moment see the same cheapest one.
        """
        if candidates:
            self.observe(_mean_backlog_ms(candidates), now=now)
        if needs_span(prompt, figures):
            return plan_span(prompt, figures, candidates)
        return plan_prompt(
            prompt,
            figures,
            candidates,
            packed_share=self.packed_share,
            close_cost=CLOSE_COST if gateways > 1 else 0.0,
        )


def _mean_backlog_ms(candidates: Sequence[Candidate]) -> float:
    backlogs = (min(item.work.remaining_ms, MAX_BACKLOG_MS) for item in candidates)
    return sum(backlogs) / len(candidates)
