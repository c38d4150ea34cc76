"""The task that keeps a process's configuration: it reads, pulls and accepts.

A few processes of each failure domain watch the platform. All others hear the
number in force on their links, and whoever is behind pulls from who is ahead.
Silence on the links makes any process read, with jitter.
"""

import random
import zlib
from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall, deferLater

from bilberryring.acceptance import (
    SAFETY_READ_SECONDS,
    SILENCE_SECONDS,
    UNLINKED_SECONDS,
    AcceptedSets,
    Candidate,
    SetInForce,
    readers_of_domain,
)
from bilberryring.adapters import (
    PlatformReader,
)
from bilberryring.objects import (
    MAX_PART_BYTES,
    ObjectSet,
    SetError,
    decode_manifest,
    encode_manifest,
)
from bilberryring.process.platform_watch import PlatformWatch
from bilberryring.process.set_keeper import SetKeeper
from bilberryring.telemetry import EventLog, LogEvent
from bilberryring.wire import LinkProtocol, SetAnswer, SetNotice, SetQuery

RETRY_SECONDS = 0.5
NOTICE_SECONDS = 10.0
DIGEST_SENT = 16
PARTS_PER_QUERY = 16


class ConfigurationTask:
    """Owns the accepted sets of one process and spreads them on its links."""

    def __init__(
        self,
        *,
        reactor,
        platform: PlatformReader,
        log: EventLog,
        failure_domain: str,
        endpoint: str | None,
        on_change: Callable[[ObjectSet], None],
    ):
        self._reactor = reactor
        self._log = log
        self._failure_domain = failure_domain
        self._endpoint = endpoint
        self._on_change = on_change
        self._keeper = SetKeeper(reactor=reactor, log=log, on_in_force=self._in_force)
        self._sets = self._keeper.sets
        self._watch = PlatformWatch(
            reactor=reactor,
            platform=platform,
            log=log,
            keeper=self._keeper,
            is_reader=lambda: self._is_reader,
        )
        self._links: dict[LinkProtocol, int] = {}
        self._last_peer_word = reactor.seconds()
        self._is_reader = False
        self._is_stopped = False
        self._notices = LoopingCall(self._send_notices)
        self._notices.clock = reactor

    @property
    def sets(self) -> AcceptedSets:
        """The accepted sets; only this task changes them."""
        return self._sets

    @property
    def objects(self) -> ObjectSet | None:
        """The objects in force, or `None` before the first set."""
        in_force = self._sets.in_force
        return in_force.objects if in_force else None

    @property
    def highest_seen(self) -> int:
        """The highest number that any source named."""
        return self._keeper.highest_seen

    @property
    def is_reader(self) -> bool:
        """Whether this process watches the platform."""
        return self._is_reader

    def start(self) -> None:
        """Begin to read and to spread."""
        Deferred.fromCoroutine(self._read_forever())
        self._notices.start(NOTICE_SECONDS, now=False)

    def stop(self) -> None:
        """Cease to read and to spread."""
        self._is_stopped = True
        if self._notices.running:
            self._notices.stop()

    def add_link(self, link: LinkProtocol) -> None:
        """Spread on a link that opened."""
        self._links[link] = 0
        link.send(self._notice())

    def remove_link(self, link: LinkProtocol) -> None:
        """Forget a link that closed."""
        self._links.pop(link, None)

    def note_peer(self) -> None:
        """Note that a peer lives."""
        self._last_peer_word = self._reactor.seconds()

    def take_notice(self, link: LinkProtocol, number: int) -> None:
        """Note what a peer has in force, and pull when it is ahead."""
        self.note_peer()
        if link in self._links:
            self._links[link] = number
        self._keeper.note_number(number)
        if number > self._sets.number:
            pending = self._sets.pending
            if pending is None or pending.number < number:
                link.send(SetQuery(manifest=True, part_digests=[]))
            else:
                # The peer that told of the pending set may be gone.
                self._continue_from(link)

    def take_query(self, link: LinkProtocol, query: SetQuery) -> None:
        """Answer a peer that is behind."""
        in_force = self._sets.in_force
        if in_force is None:
            return
        manifest = b""
        if query.manifest:
            manifest = zlib.compress(encode_manifest(in_force.manifest))
        parts = {
            digest: zlib.compress(in_force.parts[digest])
            for digest in query.part_digests or ()
            if digest in in_force.parts
        }
        link.send(SetAnswer(manifest=manifest, parts=parts))

    def take_answer(self, link: LinkProtocol, answer: SetAnswer) -> None:
        """Take a manifest or parts that a peer sent."""
        if answer.manifest:
            try:
                manifest = decode_manifest(_inflate(answer.manifest))
            except SetError:
                return
            self._keeper.consider(Candidate(manifest=manifest))
        for digest, content in (answer.parts or {}).items():
            self._keeper.add_part(digest, _inflate(content))
        self._continue_from(link)

    def _notice(self) -> SetNotice:
        return SetNotice(
            number=self._sets.number, digest=self._sets.digest[:DIGEST_SENT]
        )

    def _send_notices(self) -> None:
        for link in tuple(self._links):
            link.send(self._notice())

    def _continue_from(self, link: LinkProtocol) -> None:
        """Ask a peer for missing parts, or validate when none is missing."""
        if self._sets.pending is None:
            return
        missing = self._sets.missing_parts()
        if missing:
            digests = list(missing[:PARTS_PER_QUERY])
            link.send(SetQuery(manifest=False, part_digests=digests))
            return
        Deferred.fromCoroutine(self._keeper.validate())

    def _in_force(self, found: SetInForce) -> None:
        self._update_duty(found.objects)
        self._on_change(found.objects)
        self._send_notices()

    def _update_duty(self, objects: ObjectSet) -> None:
        duty = self._endpoint is not None and self._endpoint in readers_of_domain(
            objects, self._failure_domain
        )
        if duty != self._is_reader:
            self._is_reader = duty
            self._log.write(LogEvent.READER_DUTY_CHANGED, is_reader=duty)

    async def _read_forever(self) -> None:
        await deferLater(self._reactor, random.uniform(0, RETRY_SECONDS))
        last_read = -SAFETY_READ_SECONDS
        while not self._is_stopped:
            now = self._reactor.seconds()
            safety = SAFETY_READ_SECONDS * random.uniform(0.5, 1.0)
            must_read = self._must_read(now) or now - last_read > safety
            if must_read:
                last_read = now
                await self._watch.read()
            if not self._is_reader or not must_read or not self._watch.is_platform_up:
                pause = RETRY_SECONDS * random.uniform(0.8, 1.6)
                await deferLater(self._reactor, pause)

    def _must_read(self, now: float) -> bool:
        if self._is_reader or self._sets.in_force is None:
            return True
        if self._sets.pending is not None and self._sets.missing_parts():
            return True
        silence = now - self._last_peer_word
        limit = SILENCE_SECONDS if self._links else UNLINKED_SECONDS
        return silence > limit * random.uniform(1.0, 2.0)


def _inflate(content: bytes) -> bytes:
    """Return what a peer compressed, cut off beyond the size of a part."""
    inflater = zlib.decompressobj()
    try:
        return inflater.decompress(content, MAX_PART_BYTES)
    except zlib.error:
        return b""
