"""Which part of a prompt is blamed for crashes, and for how long."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bilberryring.quarantine import CrashedPrompt, PartQuarantine, PartStanding
from bilberryring.quarantine.parts import (
    MAX_ENTRIES,
    MAX_QUARANTINE_SECONDS,
    MIN_QUARANTINE_SECONDS,
)


def crash(parts, number, *prompts, at):
    """Record that an engine crashed while it ran prompts, given as (name, parts)."""
    for name, prompt_parts in prompts:
        prompt = CrashedPrompt(fingerprint=name, parts=tuple(prompt_parts.split()))
        parts.record_crash(f"c{number}", prompt, at=at, now=at)


def make_parts(*served, at=0.0):
    """Return a quarantine that knows of answers with these parts."""
    parts = PartQuarantine(seed=1)
    parts.record_served(served, began_at=at, now=at)
    return parts


def test_parts_that_merely_ran_beside_a_crash_are_not_quarantined():
    parts = make_parts("common")
    for number in range(4):
        prompts = [(f"bad{number}", f"common bad tag{number}")]
        if number:
            prompts.append((f"neighbour{number}", "common topic"))
        crash(parts, number, *prompts, at=10.0 + number)
    assert parts.quarantined(now=14.0) == ("bad",)


def test_a_second_part_is_found_beside_one_that_explains_more_crashes():
    parts = make_parts("common")
    for number in range(5):
        crash(parts, number, (f"a{number}", "common bad"), at=10.0 + number)
    for number in range(3):
        crash(parts, 10 + number, (f"b{number}", "common worse"), at=20.0 + number)
    assert parts.quarantined(now=24.0) == ("bad", "worse")


def test_parts_of_one_repeated_request_are_left_to_its_own_quarantine():
    parts = make_parts("common")
    for number in range(4):
        crash(parts, number, ("same", "common topic"), at=10.0 + number)
    assert parts.quarantined(now=20.0) == ()


def test_engines_that_crash_together_do_not_quarantine_what_all_prompts_share():
    parts = make_parts("common", at=9.0)
    for number in range(8):
        crash(parts, number, (f"p{number}", f"common own{number}"), at=10.0)
    parts.update(now=13.0)
    assert parts.quarantined(now=13.0) == ()


def test_a_part_that_was_answered_before_needs_more_crashes():
    parts = make_parts("common", "topic", at=9.0)
    for number in range(5):
        parts.record_served(("common",), began_at=10.5 + number, now=10.5 + number)
        assert parts.quarantined(now=11.0 + number) == ()
        crash(parts, number, (f"p{number}", "common topic"), at=11.0 + number)
    assert parts.quarantined(now=16.0) == ("topic",)


def test_equally_suspected_parts_are_refused_together_until_one_is_answered():
    parts = PartQuarantine(seed=1)
    for number in range(3):
        crash(parts, number, (f"p{number}", "bad common"), at=10.0 + number / 10)
    assert parts.quarantined_part(("bad", "common"), now=10.3) is not None
    assert parts.quarantined_part(("common",), now=10.3) is None
    parts.record_served(("common",), began_at=10.3, now=10.5)
    assert parts.quarantined(now=10.5) == ("bad",)


def test_an_answer_known_elsewhere_ends_a_wrong_quarantine():
    parts = PartQuarantine(seed=1)
    for number in range(3):
        crash(parts, number, (f"p{number}", "bad common"), at=10.0)
    parts.update(now=12.0)
    assert parts.quarantined(now=12.0) == ("common",)
    parts.merge(PartStanding(part="common", served_ago=3.0), now=12.0)
    assert parts.quarantined(now=12.0) == ("bad",)


def test_a_quarantine_of_another_process_is_contested_by_an_answer():
    parts = make_parts("common", at=9.0)
    standing = PartStanding(part="common", crashes=3, crashed_ago=1.0)
    assert parts.merge(standing, now=11.0)
    assert parts.quarantined(now=11.0) == ()


def test_a_process_that_knows_nothing_takes_over_a_quarantine_and_its_age():
    parts = PartQuarantine(seed=1)
    parts.merge(PartStanding(part="bad", crashes=3, crashed_ago=500.0), now=600.0)
    assert parts.quarantined_part(("bad",), now=600.0) == "bad"
    left = parts.seconds_left("bad", now=600.0)
    assert MIN_QUARANTINE_SECONDS - 500.0 <= left <= MAX_QUARANTINE_SECONDS - 500.0


def test_after_the_quarantine_a_single_crash_renews_it():
    parts = make_parts("common")
    for number in range(3):
        crash(parts, number, (f"p{number}", "common bad"), at=10.0)
    later = 10.0 + MAX_QUARANTINE_SECONDS
    parts.update(now=later)
    assert parts.quarantined(now=later) == ()
    crash(parts, 9, ("p9", "common bad"), at=later)
    assert parts.quarantined(now=later) == ("bad",)
    actions = [decision.action.value for decision in parts.take_decisions()]
    assert actions == ["quarantined", "released", "quarantined"]


class PartQuarantineMachine(RuleBasedStateMachine):
    """One part crashes each engine that begins an answer with it, others never do."""

    def __init__(self):
        super().__init__()
        self.parts = PartQuarantine(seed=1)
        self.now = 0.0
        self.crashes = 0

    @rule(sound=st.integers(0, 5), seconds=st.floats(0.1, 2.0))
    def serve(self, sound, seconds):
        self.now += seconds
        parts = ("common", f"s{sound}")
        if self.parts.quarantined_part(parts, now=self.now) is None:
            self.parts.record_served(parts, began_at=self.now, now=self.now)

    @precondition(
        lambda self: (
            self.parts.quarantined_part(("common", "bad"), now=self.now) is None
        )
    )
    @rule(beside=st.lists(st.integers(0, 5), max_size=4), seconds=st.floats(0.0, 2.0))
    def crash(self, beside, seconds):
        self.now += seconds
        self.crashes += 1
        prompts = [(f"bad{self.crashes}", "common bad")]
        prompts += [(f"p{self.crashes}-{item}", f"common s{item}") for item in beside]
        crash(self.parts, self.crashes, *prompts, at=self.now)

    @invariant()
    def only_the_bad_part_remains_in_quarantine(self):
        self.parts.update(now=self.now + 1.0)
        self.parts.record_served(("common",), began_at=self.now, now=self.now)
        assert set(self.parts.quarantined(now=self.now)) <= {"bad"}

    @invariant()
    def five_crashes_are_enough(self):
        assert self.crashes <= 5

    @invariant()
    def memory_is_bounded(self):
        assert len(self.parts.quarantined(now=self.now)) <= MAX_ENTRIES


TestPartQuarantineMachine = PartQuarantineMachine.TestCase
TestPartQuarantineMachine.settings = settings(max_examples=60, deadline=None)
