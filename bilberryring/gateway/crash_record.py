"""Requests that were running when an endpoint crashed, here and at peer gateways.

A closed connection alone does not count as a crash, because responses are also lost
on the network. It counts only if the endpoint does not accept a new connection.
"""

import math
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import replace

import xxhash

from bilberryring.core import Fingerprint, PromptPartId
from bilberryring.gateway.messages import CallerRequest
from bilberryring.gateway.peer_view import CrashNews, EndpointDeath
from bilberryring.quarantine import (
    QUARANTINE_SECONDS,
    CrashedPrompt,
    CrashMemory,
    PartDecision,
    PartQuarantine,
    PartStanding,
    PromptStanding,
    SuspectTracker,
)

DEATHS_UNTIL_QUARANTINE = 3
"""Number of endpoint crashes after which a request that was running at each of them is
quarantined. It follows from the operators' limit on retries of such a request."""
DEATH_REPORT_SECONDS = 3.0
"""Seconds after a crash for which it is included in reports to peers. The time counts
from the crash, so that a report that is passed on in a circle ends."""
MAX_REPORTED_DEATHS = 64
"""Maximum number of crashes in one report."""
MAX_RETOLD_REQUESTS = 4
"""Maximum number of requests in one report whose earlier crashes are told again. Each
report draws them anew, those in quarantine first."""
MAX_NEWS_DEATHS = 16
"""Maximum number of crashes that are passed on together as news."""
MAX_KNOWN_DEATHS = 256
"""Maximum number of crashes that are remembered, so that each is passed on once."""
MAX_REPORTED_PARTS = 64
"""Maximum number of parts of prompts in one report."""
MAX_ANSWERED = 4_096
"""Requests that were answered and are remembered, the last ones."""


class CrashRecord:
    """Tracks which requests and which parts of prompts endpoints crashed under.

    `clock` is the reactor. `memory` tells since when crashes are known; without it all
    are. `on_news` is called when this gateway learns of a crash, or
    of an answer that speaks for a part, which peers may not know.
    """

    def __init__(
        self, *, clock, memory: CrashMemory | None = None, seed: int | None = None
    ):
        self._clock = clock
        self._memory = memory
        self._suspects = SuspectTracker(
            crashes_until_quarantine=DEATHS_UNTIL_QUARANTINE, memory=memory
        )
        self._parts = PartQuarantine(seed=seed)
        self._crashed_at: OrderedDict[EndpointDeath, float] = OrderedDict()
        self._unsent: deque[EndpointDeath] = deque(maxlen=MAX_REPORTED_DEATHS)
        self._contested: OrderedDict[PromptPartId, float] = OrderedDict()
        self._answered: OrderedDict[Fingerprint, None] = OrderedDict()
        self._random = random.Random(seed)
        self._on_news: Callable[[], None] = lambda: None

    @property
    def memory_seconds(self) -> float:
        """The seconds for which crashes are known, as far as quarantines reach back."""
        if self._memory is None:
            return QUARANTINE_SECONDS
        return min(self._memory.seconds(now=self._clock.seconds()), QUARANTINE_SECONDS)

    def is_quarantined(
        self, fingerprint: Fingerprint, *, is_sent_once: bool = False
    ) -> bool:
        """Whether a request must not be sent to an endpoint for now.

        One that is sent to one endpoint at most is also refused if it alone explains a
        crash and earlier crashes may have been forgotten.
        """
        now = self._clock.seconds()
        standing = self._suspects.standing(fingerprint, now=now)
        if standing is PromptStanding.SUSPECT and is_sent_once:
            return self._suspects.is_sole_cause(fingerprint, now=now)
        return standing is PromptStanding.QUARANTINED

    def seconds_left(self, fingerprint: Fingerprint) -> float:
        """Return for how many seconds a request remains quarantined."""
        return self._suspects.seconds_left(fingerprint, now=self._clock.seconds())

    def quarantined_part(self, parts: tuple[PromptPartId, ...]) -> PromptPartId | None:
        """Return a part because of which a prompt must not be sent, if there is one."""
        return self._parts.quarantined_part(parts, now=self._clock.seconds())

    def part_seconds_left(self, part: PromptPartId) -> float:
        """Return for how many seconds a part remains quarantined."""
        return self._parts.seconds_left(part, now=self._clock.seconds())

    def crash_count(self, fingerprint: Fingerprint) -> int:
        """Return how many known crashes happened while the request was running."""
        return self._suspects.crash_count(fingerprint)

    def quarantined(self) -> tuple[Fingerprint, ...]:
        """Return the fingerprints of all requests in quarantine."""
        return self._suspects.quarantined(now=self._clock.seconds())

    def sole_causes(self) -> tuple[Fingerprint, ...]:
        """Return the requests that are refused if they are sent once, and only then."""
        now = self._clock.seconds()
        return tuple(
            fingerprint
            for fingerprint in self._suspects.suspects(now=now)
            if self._suspects.is_sole_cause(fingerprint, now=now)
        )

    def quarantined_parts(self) -> tuple[PromptPartId, ...]:
        """Return all parts of prompts in quarantine."""
        return self._parts.quarantined(now=self._clock.seconds())

    def set_listener(self, on_news: Callable[[], None]) -> None:
        """Set the function that is called when there are news for the peers."""
        self._on_news = on_news

    def record(self, death: EndpointDeath) -> None:
        """Record a crash that this gateway observed and include it in reports.

        A request that was answered before does not crash endpoints at once.
        """
        if not self._answered.keys().isdisjoint(death.fingerprints):
            death = replace(death, sent_before=math.inf)
        self.add_deaths((death,))

    def add_deaths(self, deaths: tuple[EndpointDeath, ...]) -> None:
        """Record crashes, and include in the reports those that are new here.

        So a crash reaches also gateways that this one's peers do not report to. One
        that is no reason for a quarantine any more is ignored.
        """
        new = [
            death
            for death in deaths
            if death not in self._crashed_at and death.age_seconds < QUARANTINE_SECONDS
        ]
        if not new:
            return
        # All are recorded first: together they may be reason for a quarantine, and a
        # single one may be too old for a suspicion.
        known = set(self.quarantined())
        for death in new:
            self._add_death(death)
        quarantined = set(self.quarantined()) - known
        self._unsent.extend(
            death
            for death in new
            if death.age_seconds < DEATH_REPORT_SECONDS
            or not quarantined.isdisjoint(death.fingerprints)
        )
        if self._unsent:
            self._on_news()

    def take_over_memory(self, seconds: float) -> None:
        """Record that a peer has told the crashes of the last `seconds`."""
        if self._memory is not None:
            self._memory.take_over(seconds, now=self._clock.seconds())

    def add_standings(self, standings: tuple[PartStanding, ...]) -> None:
        """Take over what a peer knows of parts of prompts."""
        now = self._clock.seconds()
        contested = [
            standing.part
            for standing in standings
            if self._parts.merge(standing, now=now)
        ]
        is_new = any(part not in self._contested for part in contested)
        for part in contested:
            self._contested.setdefault(part, now)
        if is_new:
            self._on_news()

    def clear(self, fingerprint: Fingerprint) -> None:
        """Clear a request of suspicion after it got a complete response."""
        self._suspects.clear(fingerprint)
        self._answered[fingerprint] = None
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)

    def record_served(
        self, parts: tuple[PromptPartId, ...], *, began_at: float
    ) -> None:
        """Record a complete answer to a prompt, and when the endpoint began it."""
        self._parts.record_served(parts, began_at=began_at, now=self._clock.seconds())

    def update(self) -> None:
        """Decide what waited for further evidence, and forget what has expired."""
        now = self._clock.seconds()
        self._parts.update(now=now)
        for part, at in tuple(self._contested.items()):
            if now - at > DEATH_REPORT_SECONDS:
                del self._contested[part]

    def take_decisions(self) -> tuple[PartDecision, ...]:
        """Remove and return the decisions about parts since the last call."""
        return self._parts.take_decisions()

    def take_news(self) -> CrashNews:
        """Return some of the crashes that were not passed on yet.

        The listener is called again if there are more.
        """
        count = min(MAX_NEWS_DEATHS, len(self._unsent))
        deaths = self._aged(
            (self._unsent.popleft() for _ in range(count)), most=QUARANTINE_SECONDS
        )
        if self._unsent:
            self._on_news()
        return CrashNews(deaths=deaths, parts=self.standings())

    def reported_deaths(self) -> tuple[EndpointDeath, ...]:
        """Return the crashes to include in the next complete report to peers.

        They are the recent ones, and earlier ones of some requests that endpoints
        crashed under: a peer may have started, or may have been cut off, since then.
        """
        return (*self.recent_deaths(), *self._retold_deaths())

    def recent_deaths(self) -> tuple[EndpointDeath, ...]:
        """Return the crashes of the last few seconds."""
        aged = self._aged(self._crashed_at, most=DEATH_REPORT_SECONDS)
        return aged[-MAX_REPORTED_DEATHS:]

    def standings(self) -> tuple[PartStanding, ...]:
        """Return what to tell peers of parts: those in quarantine, and the suspects.

        Of suspects only that they were answered matters to others.
        """
        now = self._clock.seconds()
        quarantined = self._parts.quarantined(now=now)
        suspects = {
            part: None
            for death in self.recent_deaths()
            for part in death.parts
            if part not in quarantined
        }
        answered = [
            standing
            for part in (*self._contested, *suspects)
            if (standing := self._parts.standing(part, now=now)).served_ago is not None
        ]
        standings = [
            *(self._parts.standing(part, now=now) for part in quarantined),
            *answered,
        ]
        return tuple(standings[:MAX_REPORTED_PARTS])

    def _retold_deaths(self) -> tuple[EndpointDeath, ...]:
        """Return the crashes under some requests, as many as a quarantine needs."""
        now = self._clock.seconds()
        chosen: list[Fingerprint] = []
        for fingerprints in (
            self._suspects.quarantined(now=now),
            self._suspects.suspects(now=now),
        ):
            n_free = MAX_RETOLD_REQUESTS - len(chosen)
            chosen += self._random.sample(fingerprints, min(n_free, len(fingerprints)))
        return tuple(
            EndpointDeath(
                death=crash,
                fingerprints=(fingerprint,),
                were_suspects=self._suspects.was_suspect(fingerprint, crash),
                sent_before=self._suspects.sent_before(fingerprint, crash),
                age_seconds=self._age(fingerprint),
            )
            for fingerprint in chosen
            for crash in sorted(self._suspects.crashes(fingerprint))[
                :DEATHS_UNTIL_QUARANTINE
            ]
        )

    def _age(self, fingerprint: Fingerprint) -> float:
        """Return the seconds since the last crash under a request on record."""
        return self._suspects.seconds_since_crash(
            fingerprint, now=self._clock.seconds()
        )

    def _aged(
        self, deaths: Iterable[EndpointDeath], *, most: float
    ) -> tuple[EndpointDeath, ...]:
        """Return the crashes of at most so many seconds ago, with their age."""
        now = self._clock.seconds()
        return tuple(
            replace(death, age_seconds=now - crashed_at)
            for death in deaths
            if now - (crashed_at := self._crashed_at.get(death, -math.inf)) < most
        )

    def _add_death(self, death: EndpointDeath) -> None:
        now = self._clock.seconds()
        crashed_at = now - death.age_seconds
        self._crashed_at[death] = crashed_at
        while len(self._crashed_at) > MAX_KNOWN_DEATHS:
            self._crashed_at.popitem(last=False)
        self._suspects.record_crash(
            death.death,
            list(death.fingerprints),
            now=crashed_at,
            were_suspects=death.were_suspects,
            sent_before=death.sent_before,
        )
        if death.parts and death.fingerprints:
            prompt = CrashedPrompt(fingerprint=death.fingerprints[0], parts=death.parts)
            self._parts.record_crash(death.death, prompt, at=crashed_at, now=now)


def fingerprint_of(request: CallerRequest, key: str | None) -> Fingerprint:
    """Return a hash of the request, the same whenever a caller repeats the request.

    `key` is the caller's API key, so that requests of different callers differ.
    """
    digest = xxhash.xxh3_128()
    for part in (request.method, request.target, (key or "").encode(), request.body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return Fingerprint(digest.hexdigest())
