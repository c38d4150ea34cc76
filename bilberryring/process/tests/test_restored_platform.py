"""What a process reads after the platform came back from an older copy.

Guards against revisions, first writes and half-published sets of a history that is gone
being held against what is published in the next one.
"""

import io
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec
import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock
from twisted.web.http_headers import Headers

from bilberryring.acceptance import Candidate
from bilberryring.adapters import PART_PREFIX, PlatformReader, set_key
from bilberryring.fleet import MAX_REVISION
from bilberryring.http import HttpResponse
from bilberryring.objects import (
    ObjectSet,
    Priority,
    SetNumber,
    Workspace,
    encode_manifest,
    render_set,
)
from bilberryring.platform.names import STORE_ERA
from bilberryring.process.platform_watch import START_GRACE_SECONDS, PlatformWatch
from bilberryring.process.set_keeper import SetKeeper
from bilberryring.standins.platform_store import PlatformStore
from bilberryring.telemetry import EventLog

READS = 3
STEP_SECONDS = 0.1
PEER_SECONDS = 1.0
"""Seconds after the first read of a new era until a link to a peer is open again."""


class StoreClient:
    """Answers calls from a store at once, also watches without changes."""

    def __init__(self, store):
        self.store = store

    async def request(self, method, path, **fields):
        target = urlsplit(path)
        if target.path == "/v1/watch":
            query = parse_qs(target.query)
            changes = self.store.changes(
                prefix=query["prefix"][0], after=int(query["after"][0])
            )
            return await self._answer(200, msgspec.json.encode(changes))
        value = self.store.get(unquote(target.path.removeprefix("/v1/values/")))
        if value is None:
            return await self._answer(404, b"")
        return await self._answer(
            200, value.content, created=value.created, modified=value.modified
        )

    def _answer(self, status, body, **revisions):
        headers = Headers({STORE_ERA: [str(self.store.era)]})
        for name, revision in revisions.items():
            headers.addRawHeader(f"x-{name}", str(revision))
        return succeed(HttpResponse(status=status, headers=headers, body=body))


class MisstatingClient(StoreClient):
    """Like `StoreClient`; its next answers state the eras in `stated`."""

    def __init__(self, store, stated):
        super().__init__(store)
        self.stated = list(stated)

    def _answer(self, status, body, **revisions):
        true_answer = super()._answer(status, body, **revisions)
        if self.stated:
            true_answer.result.headers.setRawHeaders(
                STORE_ERA, [str(self.stated.pop(0))]
            )
        return true_answer


class Reader:
    """A process that reads a store, and the operators who write to it."""

    def __init__(self, *, stated=()):
        self.clock = Clock()
        self.store = PlatformStore()
        self.client = MisstatingClient(self.store, stated)
        self.announced_number = 0
        self.output = io.StringIO()
        log = EventLog(process="p", role="entry", stream=self.output)
        self.keeper = SetKeeper(
            reactor=self.clock, log=log, on_in_force=lambda objects: None
        )
        self.watch = PlatformWatch(
            reactor=self.clock,
            platform=PlatformReader(client=self.client, reader="p"),
            log=log,
            keeper=self.keeper,
            is_reader=lambda: True,
            announced_number=lambda: self.announced_number,
        )
        self.clock.advance(START_GRACE_SECONDS)

    def read(self):
        for _ in range(READS):
            done = []
            Deferred.fromCoroutine(self.watch.read()).addCallback(done.append)
            while not done:
                self.clock.advance(STEP_SECONDS)

    def read_in_force(self):
        self.read()
        return self.keeper.sets.digest

    def hear_of(self, rendered):
        """Take a set from a peer that has it in force."""
        self.keeper.consider(Candidate(manifest=rendered.manifest))
        for digest, content in rendered.parts.items():
            self.keeper.add_part(digest, content)
        Deferred.fromCoroutine(self.keeper.validate())

    def render(self, seconds, *, predecessor=None, number=None):
        priority = Priority(
            name="a", rank=1, first_token_seconds=1.0, total_seconds=seconds
        )
        workspace = Workspace(name="w", priority="a", key_digests=())
        return render_set(
            ObjectSet(priorities={"a": priority}, workspaces={"w": workspace}),
            predecessor=predecessor and predecessor.manifest,
            number=number and SetNumber(number),
        )

    def write_parts(self, rendered):
        for digest, content in rendered.parts.items():
            self.store.put(PART_PREFIX + digest, content)

    def write_manifest(self, rendered):
        manifest = rendered.manifest
        key = set_key(manifest.number, manifest.digest)
        self.store.put(key, encode_manifest(manifest))

    def write(self, rendered):
        self.write_parts(rendered)
        self.write_manifest(rendered)

    def write_something(self, writes):
        for number in range(writes):
            self.store.put("other/key", b"%d" % number)

    def start(self):
        first = self.render(1.0)
        self.write(first)
        assert self.read_in_force() == first.manifest.digest
        return first


def test_a_set_is_read_whose_revision_was_given_out_before():
    reader = Reader()
    first = reader.start()
    copy = reader.store.revision
    reader.write_something(20)
    reader.read()
    reader.store.restore(copy)
    second = reader.render(2.0, predecessor=first)
    reader.write(second)
    assert reader.read_in_force() == second.manifest.digest
    assert reader.output.getvalue().count("store_restored") == 1


def test_a_set_is_read_from_a_platform_that_is_empty_and_states_no_later_era():
    reader = Reader()
    first = reader.start()
    reader.write_something(20)
    reader.read()
    reader.client.store = reader.store = PlatformStore()
    reader.read()
    second = reader.render(2.0, predecessor=first)
    reader.write(second)
    assert reader.read_in_force() == second.manifest.digest


def test_a_number_whose_first_set_was_refused_and_lost_can_be_published_again():
    reader = Reader()
    first = reader.start()
    copy = reader.store.revision
    reader.store.put(set_key(2, "bad"), b"{")
    reader.read()
    reader.store.restore(copy)
    reader.write_something(20)
    second = reader.render(2.0, predecessor=first)
    reader.write(second)
    assert reader.read_in_force() == second.manifest.digest


def test_a_half_published_set_that_was_lost_does_not_hold_up_its_number():
    reader = Reader()
    first = reader.start()
    copy = reader.store.revision
    reader.write_manifest(reader.render(2.0, predecessor=first))
    reader.read()
    assert reader.keeper.sets.pending is not None
    reader.store.restore(copy)
    second = reader.render(3.0, predecessor=first)
    reader.write(second)
    assert reader.read_in_force() == second.manifest.digest


def test_a_half_read_set_that_a_peer_has_in_force_goes_before_its_number():
    reader = Reader()
    first = reader.start()
    copy = reader.store.revision
    second = reader.render(2.0, predecessor=first)
    reader.write_manifest(second)
    reader.read()
    reader.announced_number = 2
    reader.store.restore(copy)
    reader.write(reader.render(3.0, predecessor=first))
    assert reader.read_in_force() == first.manifest.digest
    for digest, content in second.parts.items():
        reader.keeper.add_part(digest, content)
    assert reader.read_in_force() == second.manifest.digest


def test_a_half_published_set_that_the_copy_has_is_completed_after_the_return():
    reader = Reader()
    first = reader.start()
    second = reader.render(2.0, predecessor=first)
    reader.write_manifest(second)
    copy = reader.store.revision
    reader.read()
    reader.store.restore(copy)
    reader.read()
    reader.write_parts(second)
    assert reader.read_in_force() == second.manifest.digest


def test_a_lost_set_that_a_peer_tells_of_goes_before_another_of_its_number():
    reader = Reader()
    first = reader.start()
    copy = reader.store.revision
    reader.write_something(3)
    reader.read()
    reader.store.restore(copy)
    lost = reader.render(2.0, predecessor=first)
    reader.write(reader.render(3.0, predecessor=first))
    reader.clock.callLater(PEER_SECONDS, reader.hear_of, lost)
    assert reader.read_in_force() == lost.manifest.digest
    third = reader.render(4.0, predecessor=lost)
    reader.write(third)
    assert reader.read_in_force() == third.manifest.digest


def test_an_answer_of_an_earlier_era_changes_nothing():
    reader = Reader()
    first = reader.start()
    older = PlatformStore()
    reader.store.restore(reader.store.revision)
    reader.read()
    reader.client.store = older
    second = reader.render(2.0, predecessor=first)
    for digest, content in second.parts.items():
        older.put(PART_PREFIX + digest, content)
    manifest = second.manifest
    older.put(set_key(2, manifest.digest), encode_manifest(manifest))
    assert reader.read_in_force() == first.manifest.digest
    assert not reader.watch.is_platform_up
    reader.client.store = reader.store
    reader.write(second)
    assert reader.read_in_force() == second.manifest.digest


@pytest.mark.parametrize("era", [2, 2**62, MAX_REVISION])
def test_an_era_that_only_the_first_answer_states_does_not_last(era):
    reader = Reader(stated=[era])
    first = reader.start()
    second = reader.render(2.0, predecessor=first)
    reader.write(second)
    assert reader.read_in_force() == second.manifest.digest


@pytest.mark.parametrize("era", [2, 2**62, MAX_REVISION])
def test_an_era_that_only_one_later_answer_states_does_not_last(era):
    reader = Reader()
    first = reader.start()
    reader.client.stated = [era]
    reader.read()
    second = reader.render(2.0, predecessor=first)
    reader.write(second)
    assert reader.read_in_force() == second.manifest.digest
    assert "store_restored" not in reader.output.getvalue()
