"""An era that one answer of the store states, and no other, is not believed."""

import json
from io import StringIO
from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bilberryring.fleet import MAX_REVISION
from bilberryring.gateway.published_copies import PublishedCopies
from bilberryring.http import HttpResponse
from bilberryring.platform.store import StoreClient
from bilberryring.platform.watch import StoreWatch
from bilberryring.telemetry import EventLog

PREFIX = "op/"
PLAY_SECONDS = 12.0
STEP_SECONDS = 0.05
TRUE_ERA = 3
ODD_ERAS = [2**62, MAX_REVISION, TRUE_ERA + 1]


class Store:
    """Answers calls; `stated` are the eras of the next answers, then `TRUE_ERA`.

    A watch is answered at its end, with what was written after its revision.
    """

    def __init__(self, *, clock, stated):
        self._clock = clock
        self.stated = list(stated)
        self.true_era = TRUE_ERA
        self.has_history = True
        self.items = {"op/a": 5}
        self.n_calls = 0

    async def request(self, method, path, *, timeout):
        self.n_calls += 1
        target, _, query = path.partition("?")
        fields = dict(part.split("=") for part in query.split("&"))
        after = int(fields["after"]) if "after" in fields else 0
        seconds = int(fields.get("wait_ms", 0)) / 1_000
        waiting = Deferred()
        self._clock.callLater(seconds, waiting.callback, None)
        await waiting
        written = [
            {"key": key, "revision": revision, "value": "e30="}
            for key, revision in self.items.items()
            if revision > after
        ]
        content = {
            "items": written,
            "events": written,
            "store_revision": max(self.items.values()),
        }
        if target.endswith("watch") and not self.has_history:
            return HttpResponse(status=410, headers=None, body=b"")
        era = self.stated.pop(0) if self.stated else self.true_era
        headers = SimpleNamespace(getRawHeaders=lambda *_: [str(era).encode()])
        return HttpResponse(
            status=200, headers=headers, body=json.dumps(content).encode()
        )


class Play:
    """A gateway's watch of one prefix of a played store, on a paused clock."""

    def __init__(self, *, stated):
        self.clock = Clock()
        self.output = StringIO()
        self.store = Store(clock=self.clock, stated=stated)
        self.copies = PublishedCopies(clock=self.clock, prefixes=(PREFIX,))
        health = SimpleNamespace(
            record_success=lambda prefix: None,
            record_failure=lambda prefix, error: None,
            is_failing=lambda prefix: False,
        )
        self.watch = StoreWatch(
            reactor=self.clock,
            store=StoreClient(client=self.store),
            prefix=PREFIX,
            copies=self.copies,
            health=health,
            duty=SimpleNamespace(
                is_due=True, is_first=False, seconds_until_settled=None
            ),
            log=EventLog(process="g", role="gateway", stream=self.output),
            entry_count=lambda: 1,
        )
        self.watch.start()

    @property
    def replica(self):
        return self.copies.replica(PREFIX)

    def run(self, seconds=PLAY_SECONDS):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)


@pytest.mark.parametrize("era", ODD_ERAS)
def test_an_era_of_the_first_answer_alone_does_not_last(era):
    play = Play(stated=[era])
    play.run()
    assert play.replica.era == TRUE_ERA
    play.store.items["op/b"] = 6
    play.run()
    assert play.replica.keys == {"op/a", "op/b"}
    assert "internal_fault" not in play.output.getvalue()


@pytest.mark.parametrize("era", ODD_ERAS)
@pytest.mark.parametrize("n_answers", [1, 2])
def test_an_era_of_one_list_later_on_does_not_last(era, n_answers):
    """The first of two odd answers is that of a watch, so that a list follows."""
    play = Play(stated=[])
    play.run()
    play.store.stated = [era] * n_answers
    play.run()
    play.store.items["op/b"] = 6
    play.run()
    assert play.replica.era == TRUE_ERA
    assert play.replica.keys == {"op/a", "op/b"}


def test_an_era_that_all_answers_state_begins():
    play = Play(stated=[])
    play.run()
    play.store.true_era = TRUE_ERA + 1
    play.store.items = {"op/c": 4}
    play.run()
    assert play.replica.era == TRUE_ERA + 1
    assert play.replica.position.latest.number == 4


def test_an_era_begins_though_the_store_keeps_no_history():
    play = Play(stated=[])
    play.store.has_history = False
    play.store.items = {"op/a": 5}
    play.run(0.2)
    assert play.replica.era == TRUE_ERA
    assert play.replica.keys == {"op/a"}


def test_an_era_is_confirmed_with_one_more_call():
    play = Play(stated=[])
    play.run(0.2)
    assert play.replica.era == TRUE_ERA
    assert play.store.n_calls == 3
