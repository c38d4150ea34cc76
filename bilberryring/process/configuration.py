"""The task that keeps a process's configuration: it reads, pulls and accepts.

A few processes of each failure domain watch the platform. All others hear the
number in force on their links, and whoever is behind pulls from who is ahead.
Silence on the links makes any process read, with jitter.
"""

import contextlib
import random
import zlib
from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall, deferLater

from bilberryring.acceptance import (
    SAFETY_READ_SECONDS,
    SILENCE_SECONDS,
    UNLINKED_SECONDS,
    WATCH_SECONDS,
    AcceptedSets,
    Candidate,
    PublishedKey,
    PublishedKeys,
    RefusalReason,
    SetInForce,
    Verdict,
    readers_of_domain,
)
from bilberryring.adapters import (
    PART_PREFIX,
    PlatformError,
    PlatformReader,
    WatchAnswer,
    number_of_set_key,
)
from bilberryring.objects import (
    MAX_PART_BYTES,
    Kind,
    ObjectSet,
    PublishedObject,
    SetError,
    build_set,
    check_set,
    decode_manifest,
    decode_part,
    encode_manifest,
)
from bilberryring.process.slices import collect_in_slices
from bilberryring.telemetry import EventLog, LogEvent
from bilberryring.wire import LinkProtocol, SetAnswer, SetNotice, SetQuery

START_GRACE_SECONDS = 2.0
"""How long a process that starts waits for a peer before the platform's word."""
RETRY_SECONDS = 0.5
NOTICE_SECONDS = 10.0
DIGEST_SENT = 16
PARTS_PER_QUERY = 16
FINDINGS_SHOWN = 3

Decoded = tuple[tuple[Kind, PublishedObject], ...]


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
        self._platform = platform
        self._log = log
        self._failure_domain = failure_domain
        self._endpoint = endpoint
        self._on_change = on_change
        self._sets = AcceptedSets()
        self._decoded: dict[str, Decoded] = {}
        self._links: dict[LinkProtocol, int] = {}
        self._started_at = reactor.seconds()
        self._last_peer_word = reactor.seconds()
        self._revision = 0
        self._is_reader = False
        self._is_validating = False
        self._is_platform_up = True
        self._is_stopped = False
        self._highest_seen = 0
        self._published = PublishedKeys()
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
        return max(self._highest_seen, self._sets.number)

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
        self._highest_seen = max(self._highest_seen, number)
        if number > self._sets.number:
            pending = self._sets.pending
            if pending is None or pending.number < number:
                link.send(SetQuery(manifest=True, part_digests=[]))

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
            self._consider(Candidate(manifest=manifest))
        for digest, content in (answer.parts or {}).items():
            if not self._sets.add_part(digest, _inflate(content)):
                self._log.write(LogEvent.SET_PART_CORRUPT, digest=digest)
        self._continue_from(link)

    def _notice(self) -> SetNotice:
        return SetNotice(
            number=self._sets.number, digest=self._sets.digest[:DIGEST_SENT]
        )

    def _send_notices(self) -> None:
        for link in tuple(self._links):
            link.send(self._notice())

    def _consider(self, candidate: Candidate) -> Verdict:
        manifest = candidate.manifest
        known = {refused.digest for refused in self._sets.refused}
        self._highest_seen = max(self._highest_seen, manifest.number)
        verdict = self._sets.consider(candidate)
        if verdict.is_refusal and manifest.digest not in known:
            self._log.write(
                LogEvent.SET_REFUSED,
                set=manifest.number,
                digest=manifest.digest,
                reason=verdict.value,
                remedy=verdict.remedy,
            )
        return verdict

    def _continue_from(self, link: LinkProtocol) -> None:
        """Ask a peer for missing parts, or validate when none is missing."""
        if self._sets.pending is None:
            return
        missing = self._sets.missing_parts()
        if missing:
            digests = list(missing[:PARTS_PER_QUERY])
            link.send(SetQuery(manifest=False, part_digests=digests))
            return
        Deferred.fromCoroutine(self._validate())

    async def _validate(self) -> None:
        """Run the whole check on the pending set and put it in force."""
        if self._is_validating:
            return
        self._is_validating = True
        try:
            while self._sets.pending is not None and not self._sets.missing_parts():
                await self._validate_pending()
        finally:
            self._is_validating = False

    async def _validate_pending(self) -> None:
        manifest = self._sets.pending
        parts = self._sets.complete_parts()
        try:
            decoded = await self._decode(parts)
        except SetError as error:
            self._refuse(RefusalReason.MALFORMED, str(error))
            return
        objects = build_set(item for part in decoded.values() for item in part)
        steps = await collect_in_slices(self._reactor, check_set(objects))
        findings = [finding for finding in steps if finding is not None]
        if findings:
            shown = "; ".join(finding.text for finding in findings[:FINDINGS_SHOWN])
            self._refuse(RefusalReason.INCONSISTENT, shown)
            return
        found = SetInForce(manifest=manifest, parts=parts, objects=objects)
        if self._sets.put_in_force(found):
            self._decoded = decoded
            self._announce()

    async def _decode(self, parts: dict[str, bytes]) -> dict[str, Decoded]:
        """Decode the parts that are new; the others are decoded already."""
        decoded: dict[str, Decoded] = {}
        for digest, content in parts.items():
            held = self._decoded.get(digest)
            if held is None:
                held = tuple(
                    await collect_in_slices(self._reactor, decode_part(content))
                )
            decoded[digest] = held
        return decoded

    def _refuse(self, reason: RefusalReason, detail: str) -> None:
        pending = self._sets.pending
        if pending is None:
            return
        self._sets.refuse_pending(reason=reason, remedy=detail)
        self._log.write(
            LogEvent.SET_REFUSED,
            set=pending.number,
            digest=pending.digest,
            reason=reason.value,
            remedy=detail,
        )

    def _announce(self) -> None:
        in_force = self._sets.in_force
        self._log.write(
            LogEvent.SET_IN_FORCE,
            set=in_force.manifest.number,
            digest=in_force.manifest.digest,
        )
        self._update_duty(in_force.objects)
        self._on_change(in_force.objects)
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
                await self._read_guarded()
            if not self._is_reader or not must_read or not self._is_platform_up:
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

    async def _read_guarded(self) -> None:
        try:
            await self._read_platform()
        except (PlatformError, SetError) as error:
            if self._is_platform_up:
                self._log.write(LogEvent.PLATFORM_UNREACHABLE, detail=str(error))
            self._is_platform_up = False
            return
        except Exception as error:
            self._log.write(LogEvent.INTERNAL_FAULT, detail=repr(error))
            self._is_platform_up = False
            return
        if not self._is_platform_up:
            self._log.write(LogEvent.PLATFORM_REACHABLE)
        self._is_platform_up = True

    async def _read_platform(self) -> None:
        is_settled = self._sets.in_force is not None and self._sets.pending is None
        wait = WATCH_SECONDS if self._is_reader and is_settled else 0.0
        answer = await self._platform.watch_sets(after=self._revision, wait=wait)
        await self._wait_for_peers()
        keys = _published_keys(answer)
        for key in keys:
            self._published.add(key)
        await self._read_losers(keys)
        await self._read_newest(keys)
        await self._read_parts()
        if self._sets.pending is None:
            self._revision = max(self._revision, answer.revision)

    async def _wait_for_peers(self) -> None:
        """Give peers the first word when this process has just started."""
        until = self._started_at + START_GRACE_SECONDS
        while self._sets.in_force is None and self._reactor.seconds() < until:
            await deferLater(self._reactor, 0.1)

    async def _read_losers(self, keys: list[PublishedKey]) -> None:
        """Learn the digests of sets that were not first under their number."""
        for key in keys:
            if self._published.is_first(key):
                continue
            value = await self._platform.read(key.key)
            if value is None:
                continue
            with contextlib.suppress(SetError):
                manifest = decode_manifest(value.content)
                self._consider(Candidate(manifest=manifest, is_first_write=False))

    async def _read_newest(self, keys: list[PublishedKey]) -> None:
        """Make the newest acceptable set the pending one."""
        ahead = [
            key
            for key in keys
            if key.number > self._sets.number and self._published.is_first(key)
        ]
        ahead.sort(key=lambda key: key.number, reverse=True)
        for key in ahead:
            if await self._read_manifest(key):
                return

    async def _read_manifest(self, key: PublishedKey) -> bool:
        """Read one manifest; whether it is acceptable."""
        value = await self._platform.read(key.key)
        if value is None:
            return False
        try:
            manifest = decode_manifest(value.content)
        except SetError as error:
            self._log_malformed(key.number, str(error))
            return False
        if manifest.number != key.number:
            self._log_malformed(key.number, "the manifest names another number")
            return False
        candidate = Candidate(manifest=manifest, is_first_write=value.is_written_once)
        return self._consider(candidate) is Verdict.ACCEPTABLE

    def _log_malformed(self, number: int, remedy: str) -> None:
        self._highest_seen = max(self._highest_seen, number)
        self._log.write(
            LogEvent.SET_REFUSED,
            set=number,
            digest="",
            reason=RefusalReason.MALFORMED.value,
            remedy=remedy,
        )

    async def _read_parts(self) -> None:
        for digest in self._sets.missing_parts():
            value = await self._platform.read(PART_PREFIX + digest)
            if value is None:
                return
            if not self._sets.add_part(digest, value.content):
                self._log.write(LogEvent.SET_PART_CORRUPT, digest=digest)
                return
        await self._validate()


def _inflate(content: bytes) -> bytes:
    """Return what a peer compressed, cut off beyond the size of a part."""
    inflater = zlib.decompressobj()
    try:
        return inflater.decompress(content, MAX_PART_BYTES)
    except zlib.error:
        return b""


def _published_keys(answer: WatchAnswer) -> list[PublishedKey]:
    """Return the manifests' keys among those that changed."""
    keys = []
    for item in answer.items:
        number = number_of_set_key(item.key)
        if number is not None:
            keys.append(
                PublishedKey(
                    key=item.key,
                    number=number,
                    created=item.created,
                    modified=item.modified,
                )
            )
    return keys
