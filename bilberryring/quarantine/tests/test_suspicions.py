"""Suspicions: two deaths quarantine, a whole answer clears, time forgets."""

from bilberryring.core import Fingerprint
from bilberryring.quarantine import (
    MAX_SUSPECTS,
    QUARANTINE_SECONDS,
    SUSPECT_SECONDS,
    PromptStanding,
    Suspicions,
)

PROMPT = Fingerprint("p")


def test_one_death_heard_twice_counts_once():
    suspicions = Suspicions()
    assert suspicions.record_death("d1", [PROMPT], now=0.0) == [PROMPT]
    assert suspicions.record_death("d1", [PROMPT], now=1.0) == []
    assert suspicions.standing(PROMPT, now=2.0) is PromptStanding.SUSPECT


def test_a_whole_answer_clears_and_a_late_word_of_the_death_is_void():
    suspicions = Suspicions()
    suspicions.record_death("d1", [PROMPT], now=0.0)
    assert suspicions.clear(PROMPT) == ("d1",)
    assert suspicions.record_death("d1", [PROMPT], now=1.0) == []
    suspicions.record_death("d2", [PROMPT], now=2.0)
    assert suspicions.standing(PROMPT, now=3.0) is PromptStanding.SUSPECT


def test_the_clearing_reaches_processes_that_never_heard_of_the_death():
    suspicions = Suspicions()
    assert suspicions.clear_deaths(PROMPT, ["d1"])
    assert not suspicions.clear_deaths(PROMPT, ["d1"])
    assert suspicions.record_death("d1", [PROMPT], now=1.0) == []


def test_quarantine_is_not_cleared_but_expires():
    suspicions = Suspicions()
    suspicions.record_death("d1", [PROMPT], now=0.0)
    suspicions.record_death("d2", [PROMPT], now=0.0)
    assert suspicions.clear(PROMPT) == ()
    assert suspicions.quarantined(now=1.0) == (PROMPT,)
    late = QUARANTINE_SECONDS + 1.0
    assert suspicions.standing(PROMPT, now=late) is PromptStanding.CLEAR


def test_suspicion_expires_and_memory_is_bounded():
    suspicions = Suspicions()
    suspicions.record_death("d1", [PROMPT], now=0.0)
    late = SUSPECT_SECONDS + 1.0
    assert suspicions.standing(PROMPT, now=late) is PromptStanding.CLEAR
    many = [Fingerprint(f"p{index}") for index in range(MAX_SUSPECTS + 10)]
    suspicions.record_death("d2", many, now=0.0)
    assert suspicions.standing(many[0], now=1.0) is PromptStanding.CLEAR
    assert suspicions.standing(many[-1], now=1.0) is PromptStanding.SUSPECT
