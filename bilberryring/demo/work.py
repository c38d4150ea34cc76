"""The requests of the demo: prompts of three lengths, and bookings."""

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
    """One kind of prompt, with the number of threads that send it.

    Sizes are in tokens, and `max_tokens` is that of the answer. Each thread waits
    `pause_seconds` after an answer.
    """

    name: str
    workspace: str
    min_prompt_tokens: int
    max_prompt_tokens: int
    max_tokens: int
    senders: int
    pause_seconds: float


PROMPT_KINDS = (
    PromptKind(
        name="question",
        workspace="bars",
        min_prompt_tokens=1_000,
        max_prompt_tokens=2_000,
        max_tokens=40,
        senders=8,
        pause_seconds=0.1,
    ),
    PromptKind(
        name="manifest",
        workspace="tenders",
        min_prompt_tokens=8_000,
        max_prompt_tokens=30_000,
        max_tokens=60,
        senders=2,
        pause_seconds=0.5,
    ),
    PromptKind(
        name="season-of-logs",
        workspace="logs",
        min_prompt_tokens=250_000,
        max_prompt_tokens=400_000,
        max_tokens=60,
        senders=1,
        pause_seconds=0.5,
    ),
)
BOOKING_SENDERS = 2
BOOKING_PAUSE_SECONDS = 0.05
_run_numbers = itertools.count(1)
"""Numbers each run, so that no two runs use the same booking reference."""


def filler_prompt(tokens: int, label: str) -> str:
    """Return a prompt of a length in tokens that starts with a label.

    Prompts with different labels have no prefix in common that an engine caches.
    """
    characters = tokens * CHARACTERS_PER_TOKEN
    repeats = characters // len(FILLER) + 1
    return (f"{label}: " + FILLER * repeats)[:characters]


class DemoWork:
    """Sends prompts and bookings from threads and counts their results."""

    def __init__(self, *, fleet: Fleet, tally: Tally, seed: int):
        self._fleet = fleet
        self._tally = tally
        self._seed = seed
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        self._end_time = 0.0

    @property
    def tally(self) -> Tally:
        """The results so far."""
        return self._tally

    def start(self, seconds: float) -> None:
        """Start the threads, which send for a time in seconds."""
        self._end_time = time.monotonic() + seconds
        run = next(_run_numbers)
        for kind in PROMPT_KINDS:
            for number in range(kind.senders):
                self._start_thread(self._send_prompts, kind, number)
        for number in range(BOOKING_SENDERS):
            self._start_thread(self._send_bookings, run, number)

    def join(self) -> None:
        """Wait until all threads have received their last answer."""
        for thread in self._threads:
            thread.join()

    def _start_thread(self, target, *arguments) -> None:
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _is_over(self) -> bool:
        return time.monotonic() >= self._end_time

    def _choose_entry(self, count: int) -> str:
        entries = self._fleet.entries
        return entries[count % len(entries)]

    def _send_prompts(self, kind: PromptKind, number: int) -> None:
        rng = random.Random(f"{self._seed}-{kind.name}-{number}")
        count = 0
        while not self._is_over():
            tokens = rng.randint(kind.min_prompt_tokens, kind.max_prompt_tokens)
            text = filler_prompt(tokens, f"{kind.name} {number} {count}")
            caller = self._fleet.caller(
                self._choose_entry(number + count), kind.workspace
            )
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
            caller = self._fleet.caller(self._choose_entry(number + count), "bars")
            result = caller.request_ticket(SERVICE)
            if result.status == 201:
                body = {"reference": reference, "delay_before": 0.02}
                result = caller.call(
                    SERVICE, "reservations", body, ticket=result.body["ticket"]
                )
            with self._lock:
                self._tally.add_booking(reference, result)
            count += 1
            time.sleep(BOOKING_PAUSE_SECONDS)
