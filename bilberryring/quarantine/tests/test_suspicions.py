"""Tests of quarantine by two crashes, clearing by a complete answer, and expiry."""

from bilberryring.core import Fingerprint
from bilberryring.quarantine import (
    MAX_SUSPECTS,
    QUARANTINE_SECONDS,
    SUSPECT_SECONDS,
    PromptStanding,
    SuspectTracker,
)

PROMPT = Fingerprint("p")


def test_a_crash_that_is_reported_twice_counts_once():
    suspects = SuspectTracker()
    assert suspects.record_crash("d1", [PROMPT], now=0.0) == [PROMPT]
    assert suspects.record_crash("d1", [PROMPT], now=1.0) == []
    assert suspects.standing(PROMPT, now=2.0) is PromptStanding.SUSPECT


def test_a_late_report_of_a_cleared_crash_does_not_count():
    suspects = SuspectTracker()
    suspects.record_crash("d1", [PROMPT], now=0.0)
    assert suspects.clear(PROMPT) == ("d1",)
    assert suspects.record_crash("d1", [PROMPT], now=1.0) == []
    suspects.record_crash("d2", [PROMPT], now=2.0)
    assert suspects.standing(PROMPT, now=3.0) is PromptStanding.SUSPECT


def test_clearing_applies_to_a_crash_that_is_reported_later():
    suspects = SuspectTracker()
    assert suspects.clear_crashes(PROMPT, ["d1"])
    assert not suspects.clear_crashes(PROMPT, ["d1"])
    assert suspects.record_crash("d1", [PROMPT], now=1.0) == []


def test_quarantine_is_not_cleared_but_expires():
    suspects = SuspectTracker()
    suspects.record_crash("d1", [PROMPT], now=0.0)
    suspects.record_crash("d2", [PROMPT], now=0.0)
    assert suspects.clear(PROMPT) == ()
    assert suspects.quarantined(now=1.0) == (PROMPT,)
    late = QUARANTINE_SECONDS + 1.0
    assert suspects.standing(PROMPT, now=late) is PromptStanding.CLEAR


def test_suspicion_expires_and_the_number_of_suspects_is_bounded():
    suspects = SuspectTracker()
    suspects.record_crash("d1", [PROMPT], now=0.0)
    late = SUSPECT_SECONDS + 1.0
    assert suspects.standing(PROMPT, now=late) is PromptStanding.CLEAR
    many = [Fingerprint(f"p{index}") for index in range(MAX_SUSPECTS + 10)]
    suspects.record_crash("d2", many, now=0.0)
    assert suspects.standing(many[0], now=1.0) is PromptStanding.CLEAR
    assert suspects.standing(many[-1], now=1.0) is PromptStanding.SUSPECT
