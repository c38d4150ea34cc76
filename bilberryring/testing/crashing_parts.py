"""Prompts with a part that crashes engines, among sound ones, at many gateways.

The gateways run what they tell each other of crashes and answers, and what they refuse
because of it. Engines are names: one that begins an answer to a prompt with the bad
part ends, with all prompts that run on it, and comes back some seconds later.
"""

import random
from dataclasses import dataclass, field

from bilberryring.core import PromptPartId
from bilberryring.gateway.peer_view import EndpointDeath
from bilberryring.testing.peer_network import PeerNetwork, SimulatedGateway

BAD_PART = PromptPartId("bad")
BEGIN_SECONDS = 0.1
"""Seconds from the arrival of a prompt until the engine begins to write."""
WRITE_SECONDS = 1.5
RESTART_SECONDS = 3.0
NOTICE_SECONDS = 0.01
"""Seconds until a gateway knows that an engine refuses connections."""
UPDATE_SECONDS = 0.25
ATTEMPTS = 2
SHARED_PARTS = 6
"""First parts, and as many second parts, that bad and sound prompts share."""


@dataclass(slots=True, kw_only=True, eq=False)
class _Prompt:
    name: str
    parts: tuple[PromptPartId, ...]
    gateway: SimulatedGateway
    repeats_left: int = 0
    attempts: int = 0
    began_at: float | None = None

    @property
    def is_bad(self) -> bool:
        return BAD_PART in self.parts


@dataclass(slots=True, kw_only=True)
class _Engine:
    name: str
    starts: int = 1
    is_up: bool = True
    running: dict[str, _Prompt] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class PromptOutcomes:
    """What happened, with the simulated time of each event in seconds.

    `bad_sends` has the gateway too; `sound` tells of each sound prompt whether its
    first attempt was admitted.
    """

    crashes: list[float] = field(default_factory=list)
    bad_sends: list[tuple[float, SimulatedGateway]] = field(default_factory=list)
    sound: list[tuple[float, bool]] = field(default_factory=list)


class CrashingPartLoad:
    """Sends prompts to gateways and lets engines crash.

    `is_part_first` puts the bad part before the shared ones.
    """

    def __init__(
        self,
        *,
        network: PeerNetwork,
        engines: int,
        seed: int,
        is_part_first: bool = False,
    ):
        self._network = network
        self._random = random.Random(seed)
        self._engines = [_Engine(name=f"e{number}") for number in range(engines)]
        self._is_part_first = is_part_first
        self._n_prompts = 0
        self.outcomes = PromptOutcomes()
        self._update()

    def arrive(self, *, bad: float, sound: float, seconds: float) -> None:
        """Let prompts arrive at these rates per second, at all gateways together."""
        for rate, is_bad in ((bad, True), (sound, False)):
            self._network.call_at_rate(
                rate, seconds=seconds, work=self._arrive, arguments=(is_bad,)
            )

    def _arrive(self, is_bad: bool) -> None:
        self._n_prompts += 1
        first = PromptPartId(f"first{self._random.randrange(SHARED_PARTS)}")
        second = PromptPartId(f"second{self._random.randrange(SHARED_PARTS)}")
        parts = (first, second)
        if is_bad:
            bad = BAD_PART
            parts = (bad, first) if self._is_part_first else (first, bad)
        prompt = _Prompt(
            name=f"p{self._n_prompts}",
            parts=parts,
            gateway=self._network.choose_gateway(),
            repeats_left=1,
        )
        self._attempt(prompt)

    def _attempt(self, prompt: _Prompt) -> None:
        is_first = not prompt.attempts
        is_held = prompt.gateway.crashes.quarantined_part(prompt.parts) is not None
        if is_first and not prompt.is_bad:
            self.outcomes.sound.append((self._network.now, not is_held))
        up = [engine for engine in self._engines if engine.is_up]
        if is_held or not up or prompt.attempts >= ATTEMPTS:
            self._repeat(prompt)
            return
        prompt.attempts += 1
        prompt.began_at = None
        if prompt.is_bad:
            self.outcomes.bad_sends.append((self._network.now, prompt.gateway))
        engine = self._random.choice(up)
        engine.running[prompt.name] = prompt
        self._network.call_later(
            BEGIN_SECONDS, self._begin, prompt, engine, engine.starts
        )

    def _repeat(self, prompt: _Prompt) -> None:
        """Let the caller of a failed prompt send it to another gateway."""
        if prompt.repeats_left:
            prompt.repeats_left -= 1
            prompt.attempts = 0
            prompt.gateway = self._network.choose_gateway()
            self._network.call_later(0.1, self._attempt, prompt)

    def _begin(self, prompt: _Prompt, engine: _Engine, starts: int) -> None:
        if engine.starts != starts or prompt.name not in engine.running:
            return
        if prompt.is_bad:
            self._crash(engine)
            return
        prompt.began_at = self._network.now
        self._network.call_later(WRITE_SECONDS, self._finish, prompt, engine, starts)

    def _finish(self, prompt: _Prompt, engine: _Engine, starts: int) -> None:
        if engine.starts == starts and prompt.name in engine.running:
            del engine.running[prompt.name]
            prompt.gateway.crashes.record_served(prompt.parts, began_at=prompt.began_at)

    def _crash(self, engine: _Engine) -> None:
        self.outcomes.crashes.append(self._network.now)
        death = f"{engine.name}/{engine.starts}"
        cut, engine.running = tuple(engine.running.values()), {}
        engine.starts += 1
        engine.is_up = False
        self._network.call_later(RESTART_SECONDS, setattr, engine, "is_up", True)
        for prompt in cut:
            self._network.call_later(NOTICE_SECONDS, self._notice, prompt, death)

    def _notice(self, prompt: _Prompt, death: str) -> None:
        now = self._network.now
        had_begun = prompt.began_at is not None and now - prompt.began_at > 1.0
        prompt.gateway.crashes.record(
            EndpointDeath(
                death=death,
                fingerprints=(prompt.name,),
                parts=() if had_begun else prompt.parts,
            )
        )
        self._attempt(prompt)

    def _update(self) -> None:
        for gateway in self._network.gateways:
            gateway.crashes.update()
        self._network.call_later(UPDATE_SECONDS, self._update)
