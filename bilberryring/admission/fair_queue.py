"""A queue ordered by priority rank, fairness between workspaces, and prompt length.

Fairness is start-time fair queueing: each workspace has a virtual time that
advances by the tokens served divided by its share, and the workspace with the lowest
virtual time is served next.
"""

import bisect
import itertools
from collections.abc import Iterator

from bilberryring.admission.work import PromptWork, WorkKey


class FairQueue:
    """Holds waiting prompts; the lowest rank is served first.

    Within a workspace, shorter prompts are served before longer ones and those of
    equal length in the order of arrival.
    """

    def __init__(self):
        self._by_rank: dict[int, dict[str, list[tuple[int, int, PromptWork]]]] = {}
        self._virtual_times: dict[str, float] = {}
        self._virtual_now = 0.0
        self._sequence = itertools.count()
        self._work_by_key: dict[WorkKey, PromptWork] = {}
        self._tokens = 0
        self._tokens_by_rank: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._work_by_key)

    def __iter__(self) -> Iterator[PromptWork]:
        return iter(tuple(self._work_by_key.values()))

    @property
    def tokens(self) -> int:
        """The sum of the prompt tokens in the queue."""
        return self._tokens

    def tokens_before(self, rank: int) -> int:
        """Return the prompt tokens of this rank and of those served before it."""
        return sum(
            tokens for other, tokens in self._tokens_by_rank.items() if other <= rank
        )

    def push(self, work: PromptWork) -> None:
        """Add a prompt."""
        workspaces = self._by_rank.setdefault(work.rank, {})
        entries = workspaces.setdefault(work.workspace, [])
        bisect.insort(entries, (work.prompt_tokens, next(self._sequence), work))
        virtual_time = self._virtual_times.get(work.workspace, 0.0)
        self._virtual_times[work.workspace] = max(virtual_time, self._virtual_now)
        self._work_by_key[work.key] = work
        self._add_tokens(work, work.prompt_tokens)

    def peek(self) -> PromptWork | None:
        """Return the prompt to serve next, or `None` if the queue is empty."""
        if not self._work_by_key:
            return None
        workspaces = self._by_rank[min(self._by_rank)]
        workspace = min(workspaces, key=self._virtual_times.__getitem__)
        return workspaces[workspace][0][2]

    def pop(self) -> PromptWork:
        """Remove and return the prompt to serve next, and charge its workspace.

        The charge is for prompt and answer, and advances the virtual time.
        """
        work = self.peek()
        self.remove(work.key)
        start = self._virtual_times.get(work.workspace, self._virtual_now)
        self._virtual_now = max(self._virtual_now, start)
        cost = (work.prompt_tokens + work.max_tokens) / work.share
        self._virtual_times[work.workspace] = start + cost
        return work

    def remove(self, key: WorkKey) -> PromptWork | None:
        """Remove and return a prompt without a charge, or `None` if it is not here."""
        work = self._work_by_key.pop(key, None)
        if work is None:
            return None
        workspaces = self._by_rank[work.rank]
        entries = workspaces[work.workspace]
        entries[:] = [entry for entry in entries if entry[2].key != key]
        if not entries:
            del workspaces[work.workspace]
        if not workspaces:
            del self._by_rank[work.rank]
        self._add_tokens(work, -work.prompt_tokens)
        if not self._work_by_key:
            self._virtual_times.clear()
            self._virtual_now = 0.0
        return work

    def _add_tokens(self, work: PromptWork, tokens: int) -> None:
        self._tokens += tokens
        rank_tokens = self._tokens_by_rank.get(work.rank, 0) + tokens
        self._tokens_by_rank[work.rank] = rank_tokens
