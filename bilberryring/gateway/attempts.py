"""One attempt: the send to an endpoint, and its answer on the way to the caller."""

from bilberryring.fleet import FleetState, RequestKind
from bilberryring.gateway.crash_record import CrashRecord
from bilberryring.gateway.endpoint_choice import Choice, EndpointChooser
from bilberryring.gateway.endpoint_connection import EndpointAnswer
from bilberryring.gateway.endpoint_pool import EndpointPool
from bilberryring.gateway.messages import (
    AnswerData,
    AnswerEnd,
    AnswerHead,
    AttemptBroken,
    BreakReason,
    SendFacts,
)
from bilberryring.gateway.repeat_rules import SHORTEST_SEND_SECONDS, RepeatRules
from bilberryring.gateway.request_log import RequestLog
from bilberryring.gateway.request_run import (
    SERVER_ERROR,
    SUCCESS,
    HeaderCodec,
    NotRun,
    Repeatable,
    RequestRun,
)
from bilberryring.gateway.reservations import Hold, Reservations
from bilberryring.membership import EndpointHealth
from bilberryring.routing import WorkBook

LAST_WORD_SECONDS = 0.15
"""Seconds past the deadline in which the endpoint's own answer to it is awaited."""
IDLE_SECONDS = 30.0
"""Idle time up to which a connection serves requests that may be repeated."""
IDLE_ONCE_SECONDS = 0.5
"""Idle time up to which one serves requests that may run once: the endpoint
closing it at that moment would leave the outcome unknown."""
FIRST_SILENCE_FACTOR = 2.0
"""Multiple of the first answer's objective after which a silent endpoint is
given up, where the request may be repeated."""
FIRST_SILENCE_SECONDS = 0.5
GAP_SILENCE_FACTOR = 3.0
"""Multiple of the gap objective after which a silent stream is given up."""
GAP_SILENCE_SECONDS = 0.25
LONG_PART_MS = 100.0
"""Reading time of a part in milliseconds from which peers are told at once. Source:
two entries that place such parts on one engine stop its streams for longer than the
sites' objectives allow."""


class AttemptRunner:
    """Makes attempts; each belongs to the task of its request."""

    def __init__(
        self,
        *,
        reactor,
        codec: HeaderCodec,
        fleet: FleetState,
        chooser: EndpointChooser,
        pool: EndpointPool,
        book: WorkBook,
        health: EndpointHealth,
        reservations: Reservations,
        crashes: CrashRecord,
        rules: RepeatRules,
        log: RequestLog,
        on_work_changed,
    ):
        self._reactor = reactor
        self._codec = codec
        self._fleet = fleet
        self._chooser = chooser
        self._pool = pool
        self._book = book
        self._health = health
        self._reservations = reservations
        self._crashes = crashes
        self._rules = rules
        self._log = log
        self._on_work_changed = on_work_changed

    async def attempt(self, run: RequestRun, choice: Choice) -> None:
        """Send the request and pass its answer on, or raise how that ended."""
        endpoint = choice.endpoint
        run.tried.add(endpoint.id)
        self._book.place(choice.placed, now=self._reactor.seconds())
        self._on_work_changed(is_urgent=choice.placed.part_ms >= LONG_PART_MS)
        answer: EndpointAnswer | None = None
        hold: Hold | None = None
        is_whole = False
        try:
            if choice.holders:
                hold = await self._reservations.hold(
                    run.request_id, choice.holders, choice.holder_tokens
                )
            answer = await self._send(run, choice, hold)
            await self._relay(run, choice, answer)
            is_whole = True
            self._health.record_success(endpoint.id)
            self._crashes.clear(run.fingerprint)
        except (NotRun, Repeatable):
            is_whole = True
            raise
        finally:
            self._book.remove(choice.placed, now=self._reactor.seconds())
            self._on_work_changed()
            if answer is not None and not is_whole and self._may_abort(run):
                answer.abort()
            if hold is not None:
                hold.release()

    def pass_on(self, run: RequestRun, head: AnswerHead, body: bytes) -> None:
        """Give a whole answer to the caller."""
        exchange = run.exchange
        if exchange.is_gone:
            return
        if exchange.has_started:
            exchange.cut()
            return
        headers = (
            *self._codec.encode_answer(head.headers),
            (b"Content-Length", b"%d" % len(body)),
        )
        exchange.start(head.status, head.reason, headers)
        exchange.write(body)
        exchange.end()

    def _may_abort(self, run: RequestRun) -> bool:
        """Whether the endpoint may stop: a call that runs once may have begun."""
        return run.route.kind is not RequestKind.NON_IDEMPOTENT

    async def _send(
        self, run: RequestRun, choice: Choice, hold: Hold | None
    ) -> EndpointAnswer:
        may_repeat = run.route.may_repeat
        connection = await self._pool.acquire(
            choice.endpoint.address,
            most_idle=IDLE_SECONDS if may_repeat else IDLE_ONCE_SECONDS,
            timeout=run.ends_at - self._reactor.seconds(),
        )
        now = self._reactor.seconds()
        left = run.ends_at - now
        if left < SHORTEST_SEND_SECONDS or not self._is_still_usable(choice):
            self._pool.give_back(connection)
            raise AttemptBroken(reason=BreakReason.DEADLINE, was_sent=False)
        send = SendFacts(
            endpoint=choice.endpoint.id,
            seconds_left=left,
            workspace=run.workspace.name if run.workspace else None,
            helpers=_helper_names(choice, hold),
            resume_after=run.events.last_id if run.events else "",
        )
        run.sends += 1
        self._chooser.record_start(choice.endpoint.id, now=now)
        self._health.record_start(choice.endpoint.id, now=now)
        self._log.send(run, choice, left, self._fleet.configuration.version)
        expected = run.request_id

        def is_expected(head: AnswerHead) -> bool:
            facts = self._codec.decode_answer(head.status, head.headers)
            return facts.request_id is None or facts.request_id == expected

        return connection.send(
            method=run.request.method,
            target=run.request.target,
            headers=self._codec.encode_send(run.request.headers, send),
            body=run.request.body,
            is_expected=is_expected,
        )

    def _is_still_usable(self, choice: Choice) -> bool:
        return self._fleet.endpoints.is_usable(choice.endpoint.id)

    async def _relay(
        self, run: RequestRun, choice: Choice, answer: EndpointAnswer
    ) -> None:
        head = await answer.receive(timeout=self._first_silence(run, choice))
        facts = self._codec.decode_answer(head.status, head.headers)
        if facts.has_not_run:
            await self._read_rest(run, answer)
            raise NotRun(facts=facts)
        if head.status in SUCCESS and (not facts.is_stamped or facts.is_encoded):
            raise AttemptBroken(reason=BreakReason.MALFORMED, was_sent=True)
        run.status = head.status
        if run.events is not None and head.status in SUCCESS:
            await self._relay_stream(run, choice, answer, head)
            return
        body = await self._read_rest(run, answer)
        if head.status >= SERVER_ERROR and run.route.may_repeat:
            raise Repeatable(head=head, body=body)
        self._note_first_answer(run)
        self.pass_on(run, head, body)

    async def _read_rest(self, run: RequestRun, answer: EndpointAnswer) -> bytes:
        """Return the body once it is whole."""
        parts: list[bytes] = []
        while True:
            match await answer.receive(timeout=self._time_left(run)):
                case AnswerData(data):
                    parts.append(data)
                case AnswerEnd():
                    return b"".join(parts)

    async def _relay_stream(
        self,
        run: RequestRun,
        choice: Choice,
        answer: EndpointAnswer,
        head: AnswerHead,
    ) -> None:
        exchange = run.exchange
        run.events.discard_partial()
        if not exchange.has_started:
            headers = self._codec.encode_answer(head.headers)
            exchange.start(head.status, head.reason, headers)
        exchange.throttle(answer.transport)
        timeout = self._first_silence(run, choice)
        while True:
            match await answer.receive(timeout=timeout):
                case AnswerData(data):
                    self._relay_data(run, choice, data)
                    timeout = self._gap_silence(run)
                case AnswerEnd():
                    rest = run.events.take_partial()
                    if rest and not exchange.is_gone:
                        exchange.write(rest)
                    exchange.end()
                    return

    def _relay_data(self, run: RequestRun, choice: Choice, data: bytes) -> None:
        whole = run.events.feed(data)
        self._note_gap(run)
        if choice.placed.is_reading:
            self._note_first_answer(run)
            self._book.mark_read(choice.placed, now=self._reactor.seconds())
            self._on_work_changed()
        if whole and not run.exchange.is_gone:
            run.exchange.write(whole)

    def _note_first_answer(self, run: RequestRun) -> None:
        if run.first_answer_at is None:
            run.first_answer_at = self._reactor.seconds()

    def _note_gap(self, run: RequestRun) -> None:
        now = self._reactor.seconds()
        if run.last_data_at is not None:
            run.longest_gap = max(run.longest_gap, now - run.last_data_at)
        run.last_data_at = now

    def _time_left(self, run: RequestRun) -> float:
        return run.ends_at - self._reactor.seconds() + LAST_WORD_SECONDS

    def _first_silence(self, run: RequestRun, choice: Choice) -> float:
        left = self._time_left(run)
        if not self._rules.could_repeat(run):
            return left
        limit = run.route.first_answer_objective * FIRST_SILENCE_FACTOR
        limit = max(limit, choice.predicted_ms / 1_000.0 * 2) + FIRST_SILENCE_SECONDS
        return min(left, limit)

    def _gap_silence(self, run: RequestRun) -> float:
        left = self._time_left(run)
        gap = run.route.gap_objective
        if gap is None or not self._rules.could_repeat(run):
            return left
        return min(left, gap * GAP_SILENCE_FACTOR + GAP_SILENCE_SECONDS)


def _helper_names(choice: Choice, hold: Hold | None) -> tuple[str, ...]:
    """Return the helpers' addresses, with the reservations that they keep."""
    tickets = hold.tickets if hold else {}
    return tuple(
        f"{helper.address}/{tickets[helper.address]}"
        if helper.address in tickets
        else helper.address
        for helper in choice.helpers
    )
