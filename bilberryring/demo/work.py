"""The work of the demo: questions, manifests, seasons of logs, bookings."""

import itertools
import random
import threading
import time
from dataclasses import dataclass

from bilberryring.admission import length_class_of
from bilberryring.demo.report import Tally
from bilberryring.standins.engine_model import CHARACTERS_PER_TOKEN, count_prompt_tokens
from bilberryring.testing.fleet import Fleet
from bilberryring.testing.plan import MODEL, SERVICE

FILLER = "llenado de sifones, carga de cartuchos y alquiler de luminarias; "


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptKind:
    """One kind of prompt; sizes are in tokens, the pause in seconds."""

    name: str
    workspace: str
    smallest: int
    largest: int
    max_tokens: int
    senders: int
    pause_seconds: float


PROMPT_KINDS = (
    PromptKind(
        name="question",
        workspace="bars",
        smallest=1_000,
        largest=2_000,
        max_tokens=40,
        senders=8,
        pause_seconds=0.1,
    ),
    PromptKind(
        name="manifest",
        workspace="tenders",
        smallest=8_000,
        largest=30_000,
        max_tokens=60,
        senders=2,
        pause_seconds=0.5,
    ),
    PromptKind(
        name="season-of-logs",
        workspace="logs",
        smallest=250_000,
        largest=400_000,
        max_tokens=60,
        senders=1,
        pause_seconds=0.5,
    ),
)
BOOKING_SENDERS = 2
BOOKING_PAUSE_SECONDS = 0.05
_runs = itertools.count(1)
"""Numbers each start, so that no two name the same booking."""


def filler_prompt(tokens: int, label: str) -> str:
    """Return a prompt of a length, unlike any of another label."""
    characters = tokens * CHARACTERS_PER_TOKEN
    repeats = characters // len(FILLER) + 1
    return (f"{label}: " + FILLER * repeats)[:characters]


class DemoWork:
    """Sends work from threads and tallies what comes back."""

    def __init__(self, *, fleet: Fleet, tally: Tally, seed: int):
        self._fleet = fleet
        self._tally = tally
        self._seed = seed
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        self._until = 0.0

    @property
    def tally(self) -> Tally:
        """What came back so far."""
        return self._tally

    def start(self, seconds: float) -> None:
        """Begin to send, for a time in seconds."""
        self._until = time.monotonic() + seconds
        run = next(_runs)
        for kind in PROMPT_KINDS:
            for number in range(kind.senders):
                self._thread(self._send_prompts, kind, number)
        for number in range(BOOKING_SENDERS):
            self._thread(self._send_bookings, run, number)

    def join(self) -> None:
        """Wait until every answer has come."""
        for thread in self._threads:
            thread.join()

    def _thread(self, target, *arguments) -> None:
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _is_over(self) -> bool:
        return time.monotonic() >= self._until

    def _entry(self, count: int) -> str:
        entries = self._fleet.entries
        return entries[count % len(entries)]

    def _send_prompts(self, kind: PromptKind, number: int) -> None:
        chooser = random.Random(f"{self._seed}-{kind.name}-{number}")
        count = 0
        while not self._is_over():
            tokens = chooser.randint(kind.smallest, kind.largest)
            text = filler_prompt(tokens, f"{kind.name} {number} {count}")
            caller = self._fleet.caller(self._entry(number + count), kind.workspace)
            result = caller.prompt(text, model=MODEL, max_tokens=kind.max_tokens)
            with self._lock:
                length = length_class_of(count_prompt_tokens(text))
                self._tally.add_prompt(kind.name, length, result)
            count += 1
            time.sleep(kind.pause_seconds)

    def _send_bookings(self, run: int, number: int) -> None:
        count = 0
        while not self._is_over():
            reference = f"booking-{run}-{number}-{count}"
            caller = self._fleet.caller(self._entry(number + count), "bars")
            result = caller.ticket(SERVICE)
            if result.status == 201:
                body = {"reference": reference, "delay_before": 0.02}
                result = caller.call(
                    SERVICE, "reservations", body, ticket=result.body["ticket"]
                )
            with self._lock:
                self._tally.add_booking(reference, result)
            count += 1
            time.sleep(BOOKING_PAUSE_SECONDS)
