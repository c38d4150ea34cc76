"""The task that keeps the configuration of a process up to date.

A few processes of each failure domain watch the platform. All processes send the
number of the set that they have in force on their links, and a process that is behind
pulls the newer set from its peer. A process whose links stay silent reads the platform
itself, after a random delay.
"""

import random
from collections.abc import Callable

from twisted.internet.task import deferLater

from bilberryring.acceptance import (
    MAX_PEER_SILENCE_SECONDS,
    MAX_READ_INTERVAL_SECONDS,
    MAX_UNLINKED_SILENCE_SECONDS,
    AcceptedSets,
    Candidate,
    SetInForce,
    readers_of_domain,
)
from bilberryring.adapters import (
    PlatformReader,
)
from bilberryring.core import compress, decompress
from bilberryring.objects import (
    MAX_PART_BYTES,
    ObjectSet,
    SetError,
    decode_manifest,
    encode_manifest,
)
from bilberryring.process.loops import make_loop, start_task
from bilberryring.process.platform_watch import PlatformWatch
from bilberryring.process.set_keeper import SetKeeper
from bilberryring.telemetry import EventLog, LogEvent
from bilberryring.wire import LinkProtocol, SetAnswer, SetNotice, SetQuery

RETRY_SECONDS = 0.5
NOTICE_SECONDS = 10.0
NOTICE_DIGEST_LENGTH = 16
"""Characters of a set's digest that a notice carries."""
PARTS_PER_QUERY = 16


class ConfigurationTask:
    """Owns the accepted sets of one process and exchanges them on its links.

    `endpoint` names the endpoint beside this process; without one, the process never
    watches the platform regularly. `on_change` is called with the objects of each set
    that is put in force.
    """

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
        self._keeper = SetKeeper(
            reactor=reactor, log=log, on_in_force=self._on_in_force
        )
        self._sets = self._keeper.sets
        self._watch = PlatformWatch(
            reactor=reactor,
            platform=platform,
            log=log,
            keeper=self._keeper,
            is_reader=lambda: self._is_reader,
            announced_number=lambda: max(self._links.values(), default=0),
        )
        self._links: dict[LinkProtocol, int] = {}
        self._last_peer_activity = reactor.seconds()
        self._is_reader = False
        self._is_stopped = False
        self._notices = make_loop(reactor=reactor, work=self._send_notices, log=log)

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
        """The highest set number that the platform or a peer has reported."""
        return self._keeper.highest_seen

    @property
    def is_reader(self) -> bool:
        """Whether this process is chosen to watch the platform."""
        return self._is_reader

    def start(self) -> None:
        """Start to read the platform and to send notices."""
        start_task(self._read_forever(), log=self._log)
        self._notices.start(NOTICE_SECONDS, now=False)

    def stop(self) -> None:
        """Stop reading the platform and sending notices."""
        self._is_stopped = True
        if self._notices.running:
            self._notices.stop()

    def add_link(self, link: LinkProtocol) -> None:
        """Send a notice on a link that opened, and further ones regularly."""
        self._links[link] = 0
        link.send(self._notice())

    def remove_link(self, link: LinkProtocol) -> None:
        """Send no more notices on a link that closed."""
        self._links.pop(link, None)

    def record_peer_activity(self) -> None:
        """Record that a peer sent something, which shows that it is alive."""
        self._last_peer_activity = self._reactor.seconds()

    def handle_notice(self, link: LinkProtocol, number: int) -> None:
        """Record the set number of a peer, and pull the set when the peer is ahead."""
        self.record_peer_activity()
        if link in self._links:
            self._links[link] = number
        self._keeper.record_number(number)
        if number > self._sets.number:
            pending = self._sets.pending
            if pending is None or pending.number < number:
                link.send(SetQuery(manifest=True, part_digests=[]))
            else:
                # The peer that announced the pending set may no longer exist.
                self._complete_pending(link)

    def handle_query(self, link: LinkProtocol, query: SetQuery) -> None:
        """Send the requested manifest and parts of the set in force to a peer."""
        in_force = self._sets.in_force
        if in_force is None:
            return
        manifest = b""
        if query.manifest:
            manifest = compress(encode_manifest(in_force.manifest))
        parts = {
            digest: compress(in_force.parts[digest])
            for digest in query.part_digests or ()
            if digest in in_force.parts
        }
        link.send(SetAnswer(manifest=manifest, parts=parts))

    def handle_answer(self, link: LinkProtocol, answer: SetAnswer) -> None:
        """Process the manifest or parts that a peer sent."""
        if answer.manifest:
            try:
                manifest = decode_manifest(_decompress(answer.manifest))
            except SetError:
                return
            self._keeper.consider(Candidate(manifest=manifest))
        for digest, content in (answer.parts or {}).items():
            self._keeper.add_part(digest, _decompress(content))
        self._complete_pending(link)

    def _notice(self) -> SetNotice:
        return SetNotice(
            number=self._sets.number, digest=self._sets.digest[:NOTICE_DIGEST_LENGTH]
        )

    def _send_notices(self) -> None:
        for link in tuple(self._links):
            link.send(self._notice())

    def _complete_pending(self, link: LinkProtocol) -> None:
        """Request missing parts from a peer, or validate the set if it is complete."""
        if self._sets.pending is None:
            return
        missing = self._sets.missing_parts()
        if missing:
            digests = list(missing[:PARTS_PER_QUERY])
            link.send(SetQuery(manifest=False, part_digests=digests))
            return
        start_task(self._keeper.validate(), log=self._log)

    def _on_in_force(self, current: SetInForce) -> None:
        self._update_reader_role(current.objects)
        self._on_change(current.objects)
        self._send_notices()

    def _update_reader_role(self, objects: ObjectSet) -> None:
        is_chosen = self._endpoint is not None and self._endpoint in readers_of_domain(
            objects, self._failure_domain
        )
        if is_chosen != self._is_reader:
            self._is_reader = is_chosen
            self._log.write(LogEvent.READER_DUTY_CHANGED, is_reader=is_chosen)

    async def _read_forever(self) -> None:
        await deferLater(self._reactor, random.uniform(0, RETRY_SECONDS))
        last_read = -MAX_READ_INTERVAL_SECONDS
        while not self._is_stopped:
            now = self._reactor.seconds()
            max_interval = MAX_READ_INTERVAL_SECONDS * random.uniform(0.5, 1.0)
            must_read = self._must_read(now) or now - last_read > max_interval
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
        silence = now - self._last_peer_activity
        limit = (
            MAX_PEER_SILENCE_SECONDS if self._links else MAX_UNLINKED_SILENCE_SECONDS
        )
        return silence > limit * random.uniform(1.0, 2.0)


def _decompress(content: bytes) -> bytes:
    """Decompress at most `MAX_PART_BYTES` of a peer's data.

    The result is empty when the data are malformed or larger.
    """
    try:
        return decompress(content, most=MAX_PART_BYTES)
    except ValueError:
        return b""
