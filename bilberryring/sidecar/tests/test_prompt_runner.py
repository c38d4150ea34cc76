"""Prompts beside an engine that crashes: what is reported, refused and answered."""

import io

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bilberryring.adapters import (
    EngineError,
    EngineSilentError,
    Generation,
    GenerationEnd,
    HeldRequest,
    HeldResponse,
)
from bilberryring.admission import EndpointLimits
from bilberryring.core import Fingerprint, to_micros
from bilberryring.objects import ObjectSet
from bilberryring.process.engine_death_broadcaster import EngineDeathBroadcaster
from bilberryring.quarantine import PromptStanding
from bilberryring.sidecar import prompt_runner
from bilberryring.sidecar.engine_watch import FAILED_POLLS_UNTIL_LOST, POLL_SECONDS
from bilberryring.sidecar.peer import PeerLink
from bilberryring.sidecar.prompt_runner import DISPATCH_SECONDS, PromptRunner
from bilberryring.sidecar.token_batcher import TokenBatcher
from bilberryring.telemetry import EventLog
from bilberryring.wire import (
    Cancel,
    EngineDeath,
    Finished,
    Hello,
    PromptPart,
    Refused,
    RunPrompt,
    SuspectAnswer,
    SuspectQuery,
    TokenBatch,
)

CRASHER = Fingerprint("crasher")


class FakeLink:
    """Records the messages that were sent."""

    def __init__(self):
        self.sent: list[object] = []

    def send(self, message: object) -> bool:
        self.sent.append(message)
        return True

    def sent_of(self, kind: type) -> list[object]:
        return [message for message in self.sent if isinstance(message, kind)]


class FakeStream:
    """The stream of an answer; the fake engine ends the answer itself."""

    def abort(self) -> None:
        pass


class FakeEngine:
    """Accepts every prompt, and ends it when the test says so."""

    def __init__(self):
        self.incarnation = "engine-1"
        self.is_up = True
        self.is_silent = False
        self.highest_fence = 0
        self.held_requests: tuple[str, ...] = ()
        self.cancelled: list[str] = []
        self.ends: dict[str, Deferred[GenerationEnd]] = {}
        self.generations: dict[str, Generation] = {}

    async def generate(self, request, generation) -> GenerationEnd:
        generation.attach_stream(FakeStream())
        self.generations[request.request] = generation
        self.ends[request.request] = Deferred()
        return await self.ends[request.request]

    async def held(self) -> HeldResponse:
        self._check()
        return HeldResponse(
            incarnation=self.incarnation,
            kv_used=0,
            kv_tokens=100_000,
            highest_fence=self.highest_fence,
            requests=tuple(
                HeldRequest(request=name, holder="1-sidecar-1", kv_tokens=10)
                for name in self.held_requests
            ),
        )

    async def cancel(self, request) -> None:
        self.cancelled.append(request.request)
        self._check()

    def _check(self) -> None:
        if self.is_silent:
            raise EngineSilentError("engine_silent")
        if not self.is_up:
            raise EngineError("engine_unreachable")


class RunnerHarness:
    """A runner on a test clock, between a fake engine and one entry's link."""

    def __init__(self):
        self.clock = Clock()
        self.log = io.StringIO()
        self.engine = FakeEngine()
        self.link = FakeLink()
        self.deaths = EngineDeathBroadcaster(
            reactor=self.clock, links=lambda: [self.link]
        )
        self.peer = PeerLink(
            link=self.link,
            incarnation="entry-1",
            batcher=TokenBatcher(reactor=self.clock, link=self.link),
        )
        self.runner = PromptRunner(
            reactor=self.clock,
            engine=self.engine,
            log=EventLog(process="p", role="sidecar", stream=self.log),
            incarnation="sidecar-1",
            hello=Hello(process="p", role="sidecar", failure_domain="d"),
            limits=EndpointLimits(kv_tokens=100_000, concurrency=8, cold_allowance=8),
            objects=ObjectSet,
            sidecar_refusal=lambda: None,
            on_change=self.record_state,
            deaths=self.deaths,
        )
        self.states: list[str] = []
        self.runner.start()

    def record_state(self) -> None:
        state = "lost" if self.runner.watch.is_lost else "ready"
        if self.states[-1:] != [state] and (self.states or state == "lost"):
            self.states.append(state)

    def send(
        self,
        attempt: int,
        *,
        fingerprint: str = "f",
        isolated: bool = False,
        prompt_tokens: int = 10,
        text: bytes = b"hola",
        span_members: tuple[str, ...] = (),
    ):
        message = RunPrompt(
            attempt=attempt,
            request=f"r{attempt}",
            workspace="w",
            model="m",
            version="v",
            adapter="",
            priority="p",
            prompt_tokens=prompt_tokens,
            max_tokens=10,
            delivered_tokens=0,
            deadline=to_micros(60.0),
            queue_deadline=to_micros(60.0),
            fingerprint=fingerprint,
            prompt_parts=1,
            isolated=isolated,
            span_members=list(span_members),
        )
        self.runner.run_prompt(self.peer, message)
        part = PromptPart(attempt=attempt, index=0, text=text)
        self.runner.add_prompt_part(self.peer, part)

    def end(self, attempt: int, end: GenerationEnd) -> None:
        self.engine.ends[f"entry-1/{attempt}"].callback(end)

    def ask(self, query: int, request: str) -> None:
        message = SuspectQuery(query=query, fingerprint=CRASHER, request=request)
        self.runner.answer_when_free(self.link, message)

    def hear_of_death(self, death: str, fingerprint: Fingerprint) -> None:
        message = EngineDeath(death=death, fingerprints=[fingerprint])
        self.deaths.handle_death(message, self.link)


@pytest.fixture
def harness():
    return RunnerHarness()


def test_a_prompt_quarantined_while_it_waits_is_not_started(harness):
    harness.send(1, fingerprint="neighbour")
    harness.hear_of_death("elsewhere-1", CRASHER)
    harness.send(2, fingerprint=CRASHER, isolated=True)
    harness.hear_of_death("elsewhere-2", CRASHER)
    harness.end(1, GenerationEnd.COMPLETED)
    harness.clock.advance(DISPATCH_SECONDS)
    assert "entry-1/2" not in harness.engine.ends
    [refusal] = harness.link.sent_of(Refused)
    assert (refusal.attempt, refusal.code) == (2, "quarantined")
    assert refusal.outcome == "not_run"


def test_a_refused_quarantined_prompt_lets_the_others_start(harness):
    harness.send(1, fingerprint="neighbour")
    harness.hear_of_death("elsewhere-1", CRASHER)
    harness.send(2, fingerprint=CRASHER, isolated=True)
    harness.send(3, fingerprint="other")
    assert "entry-1/3" not in harness.engine.ends
    harness.hear_of_death("elsewhere-2", CRASHER)
    harness.clock.advance(DISPATCH_SECONDS)
    assert "entry-1/3" in harness.engine.ends


def test_a_crash_that_a_poll_shows_first_makes_what_ran_a_suspect(harness):
    harness.send(1, fingerprint=CRASHER)
    harness.engine.incarnation = "engine-2"
    harness.clock.advance(POLL_SECONDS)
    assert harness.deaths.standing(CRASHER) is PromptStanding.SUSPECT
    [death] = harness.link.sent_of(EngineDeath)
    assert death.death == "sidecar-1/engine-1"


def test_a_crash_that_the_stream_and_a_poll_show_counts_once(harness):
    harness.send(1, fingerprint=CRASHER)
    harness.engine.incarnation = "engine-2"
    harness.clock.advance(POLL_SECONDS)
    harness.end(1, GenerationEnd.INTERRUPTED)
    harness.clock.advance(POLL_SECONDS)
    assert harness.deaths.standing(CRASHER) is PromptStanding.SUSPECT


def test_an_engine_that_only_stops_answering_makes_nothing_a_suspect(harness):
    harness.send(1, fingerprint=CRASHER)
    harness.engine.is_up = False
    harness.clock.pump([POLL_SECONDS] * FAILED_POLLS_UNTIL_LOST)
    assert harness.link.sent_of(Refused)
    assert harness.deaths.standing(CRASHER) is PromptStanding.CLEAR


def test_an_engine_that_is_only_silent_loses_no_prompt(harness):
    harness.send(1, fingerprint=CRASHER)
    harness.engine.is_silent = True
    harness.clock.pump([POLL_SECONDS] * FAILED_POLLS_UNTIL_LOST)
    assert harness.runner.watch.is_lost and harness.states == ["lost"]
    assert not harness.link.sent_of(Refused)
    assert harness.deaths.standing(CRASHER) is PromptStanding.CLEAR
    harness.engine.is_silent = False
    harness.clock.advance(POLL_SECONDS)
    assert harness.states == ["lost", "ready"]
    harness.end(1, GenerationEnd.COMPLETED)
    [finished] = harness.link.sent_of(Finished)
    assert finished.attempt == 1


def test_refused_polls_end_no_prompt_whose_tokens_arrive(harness):
    """An engine at its limit of connections resets polls, and goes on with answers."""
    harness.send(1)
    generation = harness.engine.generations["entry-1/1"]
    harness.engine.is_up = False
    for index in range(2 * FAILED_POLLS_UNTIL_LOST):
        generation.receive_lines([b'{"index":%d,"text":"t"}' % index])
        harness.clock.advance(POLL_SECONDS)
    assert not harness.link.sent_of(Refused)
    harness.engine.is_up = True
    harness.clock.advance(POLL_SECONDS)
    harness.end(1, GenerationEnd.COMPLETED)
    assert [item.attempt for item in harness.link.sent_of(Finished)] == [1]


def test_refused_polls_end_a_prompt_once_its_tokens_no_longer_arrive(harness):
    harness.send(1)
    generation = harness.engine.generations["entry-1/1"]
    harness.engine.is_up = False
    for index in range(2 * FAILED_POLLS_UNTIL_LOST):
        generation.receive_lines([b'{"index":%d,"text":"t"}' % index])
        harness.clock.advance(POLL_SECONDS)
    harness.clock.pump([POLL_SECONDS] * (FAILED_POLLS_UNTIL_LOST + 1))
    assert [item.code for item in harness.link.sent_of(Refused)] == ["endpoint_failed"]


def test_an_engine_that_goes_on_after_a_silence_still_holds_what_it_ran(harness):
    harness.send(1)
    harness.engine.is_silent = True
    harness.clock.pump([POLL_SECONDS] * FAILED_POLLS_UNTIL_LOST)
    harness.engine.is_silent = False
    harness.engine.held_requests = ("entry-1/1",)
    harness.clock.advance(POLL_SECONDS)
    assert not harness.engine.cancelled


def test_a_prompt_that_is_cancelled_while_the_engine_is_silent_leaves_it(harness):
    harness.send(1)
    harness.engine.is_silent = True
    harness.clock.pump([POLL_SECONDS] * FAILED_POLLS_UNTIL_LOST)
    harness.runner.cancel(harness.peer, Cancel(attempt=1))
    harness.engine.cancelled.clear()
    harness.engine.is_silent = False
    harness.engine.held_requests = ("entry-1/1",)
    harness.clock.advance(POLL_SECONDS)
    assert harness.engine.cancelled == ["entry-1/1"]


def test_a_prompt_that_waits_for_a_silent_engine_starts_once_it_goes_on(harness):
    harness.send(1)
    harness.engine.is_silent = True
    harness.clock.advance(POLL_SECONDS)
    harness.send(2)
    harness.clock.pump([POLL_SECONDS] * 4)
    assert not harness.link.sent_of(Refused)
    harness.engine.is_silent = False
    harness.clock.advance(POLL_SECONDS)
    assert "entry-1/2" in harness.engine.ends


def test_a_prompt_that_waits_for_an_engine_that_is_gone_is_not_run(harness):
    harness.send(1)
    harness.clock.advance(0.1)
    harness.engine.is_up = False
    harness.runner.watch.require_new_poll()
    harness.send(2)
    harness.clock.pump([POLL_SECONDS] * FAILED_POLLS_UNTIL_LOST)
    outcomes = {item.attempt: item.outcome for item in harness.link.sent_of(Refused)}
    assert outcomes == {1: "unknown", 2: "not_run"}


def test_an_engine_that_is_gone_after_a_silence_loses_its_prompts_at_once(harness):
    harness.send(1)
    harness.engine.is_silent = True
    harness.clock.pump([POLL_SECONDS] * FAILED_POLLS_UNTIL_LOST)
    harness.engine.is_silent, harness.engine.is_up = False, False
    harness.clock.pump([POLL_SECONDS] * FAILED_POLLS_UNTIL_LOST)
    assert [item.attempt for item in harness.link.sent_of(Refused)] == [1]


def test_a_question_is_answered_after_the_report_of_the_crash(harness):
    harness.send(1, fingerprint=CRASHER)
    harness.hear_of_death("elsewhere-1", CRASHER)
    harness.ask(7, "r9")
    harness.clock.advance(DISPATCH_SECONDS)
    assert not harness.link.sent_of(SuspectAnswer)
    harness.end(1, GenerationEnd.INTERRUPTED)
    harness.clock.advance(DISPATCH_SECONDS)
    kinds = [type(message) for message in harness.link.sent]
    assert kinds.index(EngineDeath) < kinds.index(SuspectAnswer)


def test_a_suspect_whose_entry_does_not_know_it_is_not_run(harness):
    harness.hear_of_death("elsewhere-1", CRASHER)
    harness.send(1, fingerprint=CRASHER)
    assert not harness.engine.ends
    [refusal] = harness.link.sent_of(Refused)
    assert (refusal.code, refusal.outcome) == ("suspect", "not_run")


def test_where_the_engine_crashed_two_requests_take_turns(harness):
    harness.send(1, fingerprint=CRASHER)
    harness.end(1, GenerationEnd.INTERRUPTED)
    harness.ask(7, "r7")
    harness.ask(8, "r8")
    harness.clock.advance(DISPATCH_SECONDS)
    assert [m.query for m in harness.link.sent_of(SuspectAnswer)] == [7]
    harness.hear_of_death("elsewhere-1", CRASHER)
    harness.clock.advance(DISPATCH_SECONDS)
    assert [m.query for m in harness.link.sent_of(SuspectAnswer)] == [7, 8]


def test_a_malformed_answer_makes_nothing_a_suspect_and_leaves_the_engine(harness):
    harness.send(1, fingerprint=CRASHER)
    harness.engine.held_requests = ("entry-1/1",)
    harness.end(1, GenerationEnd.MALFORMED)
    [refusal] = harness.link.sent_of(Refused)
    assert (refusal.code, refusal.outcome) == ("endpoint_failed", "unknown")
    assert harness.deaths.standing(CRASHER) is PromptStanding.CLEAR
    harness.clock.advance(POLL_SECONDS)
    assert set(harness.engine.cancelled) == {"entry-1/1"}


def test_a_stalled_stream_of_an_engine_that_answers_polls_ends_at_its_deadline(harness):
    harness.send(1)
    harness.clock.pump([POLL_SECONDS] * 119)
    assert not harness.link.sent_of(Refused)
    harness.clock.advance(POLL_SECONDS)
    [refusal] = harness.link.sent_of(Refused)
    assert (refusal.code, refusal.outcome) == ("deadline_passed", "unknown")
    assert harness.engine.cancelled == ["entry-1/1"]


def test_a_slow_stream_lives_until_it_is_complete(harness):
    harness.send(1)
    for index in range(11):
        harness.clock.pump([POLL_SECONDS] * 10)
        harness.engine.generations["entry-1/1"].receive_lines(
            [b'{"index":%d,"text":"a"}' % index]
        )
    harness.end(1, GenerationEnd.COMPLETED)
    assert len(harness.link.sent_of(TokenBatch)) == 11
    assert harness.link.sent_of(Finished) and not harness.link.sent_of(Refused)


def test_a_prompt_that_waits_where_another_sidecar_took_over_is_not_run(harness):
    harness.engine.is_silent = True
    harness.clock.advance(0.1)
    harness.runner.watch.require_new_poll()
    harness.send(1)
    harness.engine.is_silent = False
    harness.engine.highest_fence = 2 * harness.runner.watch.fence
    harness.clock.advance(POLL_SECONDS)
    [refusal] = harness.link.sent_of(Refused)
    assert (refusal.code, refusal.outcome) == ("leaving", "not_run")
    assert not harness.engine.ends


async def fail_unexpectedly(request, generation):
    raise ValueError("unexpected")


@pytest.mark.parametrize("fails_in_engine", [False, True])
def test_an_unexpected_error_ends_one_prompt_and_gives_its_memory_back(
    harness, fails_in_engine
):
    generate = harness.engine.generate
    if fails_in_engine:
        harness.engine.generate = fail_unexpectedly
    harness.send(1, prompt_tokens=90_000, text=b"\xc3")
    harness.engine.generate = generate
    [refusal] = harness.link.sent_of(Refused)
    assert (refusal.code, refusal.outcome) == ("endpoint_failed", "unknown")
    assert harness.log.getvalue().count("internal_fault") == 1
    assert harness.deaths.standing(Fingerprint("f")) is PromptStanding.CLEAR
    harness.clock.advance(POLL_SECONDS)
    harness.send(2, prompt_tokens=90_000)
    assert "entry-1/2" in harness.engine.ends


def test_an_unknown_error_at_the_end_of_a_prompt_gives_its_memory_back(
    harness, monkeypatch
):
    harness.send(1, prompt_tokens=90_000)

    def send_finished(attempt):
        raise ValueError("x" * 100_000)

    monkeypatch.setattr(prompt_runner, "send_finished", send_finished)
    harness.engine.ends["entry-1/1"].callback(GenerationEnd.COMPLETED)
    faults = [
        line for line in harness.log.getvalue().splitlines() if "internal_fault" in line
    ]
    assert len(faults) == 1
    assert len(faults[0]) < 2_000
    [refusal] = harness.link.sent_of(Refused)
    assert (refusal.code, refusal.outcome) == ("endpoint_failed", "unknown")
    harness.send(2, prompt_tokens=90_000)
    assert "entry-1/2" in harness.engine.ends


def test_an_unknown_error_while_helpers_are_gathered_ends_the_prompt(
    harness, monkeypatch
):
    class FaultySpan:
        is_released = False

        async def gather(self, message, text, on_lost):
            raise ValueError("x" * 100_000)

        def release(self):
            self.is_released = True

    span = FaultySpan()
    monkeypatch.setattr(prompt_runner, "build_span_lead", lambda *arguments: span)
    harness.send(1, span_members=("helper",))
    faults = [
        line for line in harness.log.getvalue().splitlines() if "internal_fault" in line
    ]
    assert len(faults) == 1
    assert len(faults[0]) < 2_000
    [refusal] = harness.link.sent_of(Refused)
    assert (refusal.code, refusal.outcome) == ("endpoint_failed", "not_run")
    assert span.is_released
