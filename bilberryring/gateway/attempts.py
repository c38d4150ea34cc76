"""One attempt: send a request to an endpoint and relay its response to the caller."""

import math
from dataclasses import dataclass

from bilberryring.capacity import EndpointSpeeds
from bilberryring.execution import Place
from bilberryring.fleet import (
    MS_PER_SECOND,
    AnnouncedEndpoint,
    EndpointId,
    FleetState,
    RequestKind,
)
from bilberryring.gateway.answer_ends import AnswerEndCheck
from bilberryring.gateway.capacity_samples import CapacitySamples
from bilberryring.gateway.connection_pool import ConnectionPool
from bilberryring.gateway.crash_record import CrashRecord
from bilberryring.gateway.endpoint_choice import Choice, EndpointChooser
from bilberryring.gateway.endpoint_connection import EndpointResponse, Event
from bilberryring.gateway.event_stream import EventTooLargeError, has_data
from bilberryring.gateway.held_answers import HeldAnswer, HeldAnswers
from bilberryring.gateway.messages import (
    AttemptError,
    AttemptMetadata,
    FailureReason,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from bilberryring.gateway.open_responses import OpenResponses
from bilberryring.gateway.repeat_rules import (
    MIN_SEND_SECONDS,
    RetryPolicy,
    min_seconds_left,
)
from bilberryring.gateway.request_context import (
    SERVER_ERROR,
    SUCCESS,
    Attempt,
    HeaderCodec,
    NotRun,
    RequestContext,
    RetryableFailure,
    Silence,
)
from bilberryring.gateway.request_log import RequestLog
from bilberryring.gateway.reservations import (
    ORDER_TIMEOUT_SECONDS,
    MemoryReservation,
    OrderWait,
    ReservationManager,
)
from bilberryring.gateway.running_attempts import RunningAttempts
from bilberryring.gateway.statement_recorder import StatementRecorder
from bilberryring.membership import EndpointHealth
from bilberryring.routing import (
    WorkTracker,
    busy_seconds,
    cause_of_silence,
    silent_from,
    slot_wait_seconds,
)

DEADLINE_GRACE_SECONDS = 0.15
"""Seconds after the deadline for which the endpoint's response is still awaited. The
endpoint gets the same deadline and can respond that it has passed."""
MAX_IDLE_SECONDS = 30.0
"""Longest time in seconds for which a connection may have been idle when it is reused
for a request that may be retried."""
MAX_IDLE_WITHOUT_RETRY_SECONDS = 0.5
"""The same for a request that must not run twice. It is shorter because the outcome is
unknown if the endpoint closes the idle connection while the request is sent."""
FIRST_RESPONSE_LIMIT_FACTOR = 2.0
"""Multiple of the route's objective for the first response, or of the predicted time if
that is longer, after which an endpoint counts as silent."""
FIRST_RESPONSE_MARGIN_SECONDS = 0.5
"""Seconds added to that limit."""
GAP_LIMIT_FACTOR = 3.0
"""Multiple of the route's objective for the gap between two chunks of a stream after
which its endpoint counts as silent."""
GAP_MARGIN_SECONDS = 0.25
"""Seconds added to that limit."""
REPLACEMENT_MARGIN_SECONDS = 0.15
"""Seconds that another endpoint may take longer than predicted for its first event, if
the caller is to have it before it leaves."""
NOT_RUN_STATUSES = frozenset({408, 421, 429})
"""Statuses that tell the caller that its request has not run; a server error apart."""
MAX_UNSENT_BYTES = 64 * 1024
"""Most bytes of comments that wait until it is known which attempt answers."""
SILENCE_REPORT_SECONDS = 0.25
"""Seconds between two reports of a silence. An endpoint for another attempt may have
become free, or the retry budget."""
MAX_BODY_BYTES = 16 * 1024 * 1024
"""Largest answer, other than a stream, in bytes; an endpoint may send without end."""
LATE_REPORTS_SECONDS = 0.25
"""Seconds after the sending at which the wait for a slot is looked at once more. Peers
collect changes for 0.2 s: by then they have reported what they placed just before."""
UNREAD_SECONDS = 0.05
"""Seconds in which what has arrived is read; timers run before sockets are read."""
URGENT_PREFILL_MS = 100.0
"""Prefill time in milliseconds of one part of a prompt from which the peers are
notified at once. Two gateways that place such parts on the same engine would stop its
streams for longer than the sites' objectives allow."""


class AttemptRunner:
    """Runs attempts. Each one runs in the task of its request and ends with it."""

    def __init__(
        self,
        *,
        reactor,
        codec: HeaderCodec,
        fleet: FleetState,
        chooser: EndpointChooser,
        pool: ConnectionPool,
        tracker: WorkTracker,
        health: EndpointHealth,
        reservations: ReservationManager,
        crashes: CrashRecord,
        retry_policy: RetryPolicy,
        statements: StatementRecorder,
        log: RequestLog,
        on_work_changed,
        samples: CapacitySamples | None = None,
        held: HeldAnswers | None = None,
    ):
        self._reactor = reactor
        self._codec = codec
        self._fleet = fleet
        self._chooser = chooser
        self._pool = pool
        self._tracker = tracker
        self._health = health
        self._reservations = reservations
        self._crashes = crashes
        self._retry_policy = retry_policy
        self._statements = statements
        self._log = log
        self._on_work_changed = on_work_changed
        self._samples = samples or CapacitySamples(
            clock=reactor, chooser=chooser, speeds=EndpointSpeeds(), is_on=False
        )
        self._held = held or HeldAnswers()
        self._open = OpenResponses()
        self._ends = AnswerEndCheck(clock=reactor, pool=pool, fleet=fleet)

    def end_earlier_runs(self, endpoint: AnnouncedEndpoint) -> None:
        """End the attempts at earlier runs of an endpoint that has started.

        Their connections may stay open and silent, and what they hold would be kept.
        Answers that have arrived are read first.
        """
        self._reactor.callLater(UNREAD_SECONDS, self._abort_earlier, endpoint)

    def _abort_earlier(self, endpoint: AnnouncedEndpoint) -> None:
        n_ended = self._open.abort_earlier(endpoint)
        if n_ended:
            self._log.earlier_run_ended(endpoint, attempts=n_ended)

    async def run(
        self, context: RequestContext, attempt: Attempt, running: RunningAttempts
    ) -> None:
        """Send the request to the chosen endpoint and relay its response.

        Other attempts of the request may run at the same time. The first one with an
        answer for the caller claims it from `running`.

        Raises `NotRun`, `RetryableFailure` or `AttemptError` when the caller did not
        get a complete response.
        """
        choice = attempt.choice
        context.tried_endpoints.add(attempt.endpoint)
        self._tracker.place(choice.placed, now=self._reactor.seconds())
        self._on_work_changed(is_urgent=choice.placed.part_ms >= URGENT_PREFILL_MS)
        response: EndpointResponse | None = None
        reservation: MemoryReservation | None = None
        is_complete = False
        try:
            if choice.holders:
                reservation = await self._reserve(context, attempt, running)
            response = await self._send(context, attempt, reservation, running)
            self._open.add(choice.endpoint, response)
            await self._relay(_Relay(context, attempt, running, response))
            is_complete = True
            self._health.record_success(attempt.endpoint)
            self._crashes.clear(context.fingerprint)
            self._record_served(context, attempt)
        except (NotRun, RetryableFailure):
            is_complete = True
            raise
        finally:
            if attempt.number and context.attempt in (None, attempt):
                context.last_silence = self._silence(context, attempt)
            if attempt.stream and attempt.stream.place is Place.INSIDE_EVENT:
                # Another event has begun, however the attempt has ended.
                context.known_end = context.known_end.after_event()
            self._tracker.remove(choice.placed, now=self._reactor.seconds())
            self._on_work_changed()
            if response is not None:
                self._open.remove(choice.endpoint, response)
            if response is not None and not is_complete:
                if self._may_abort(context):
                    response.abort()
                else:
                    response.abandon()
            if reservation is not None:
                reservation.release()

    def send_to_caller(
        self, context: RequestContext, head: ResponseHead, body: bytes
    ) -> None:
        """Send a response whose body has arrived whole to the caller.

        If part of another response has been sent already, the connection is aborted.
        """
        exchange = context.exchange
        if exchange.is_closed:
            return
        if exchange.has_started:
            exchange.abort()
            return
        headers = self._codec.encode_response_headers(head.headers)
        headers = (*headers, (b"Content-Length", b"%d" % len(body)))
        exchange.start(head.status, head.reason, headers)
        exchange.write(body)
        exchange.end()

    def complete_stream(self, context: RequestContext) -> None:
        """End a stream that is presumed complete, as no endpoint can tell any more."""
        self._end_stream(context)
        self._record_served(context, context.attempt)

    def _end_stream(self, context: RequestContext) -> None:
        """Send what followed the last event, and the mark of the end."""
        if context.trailing_bytes and not context.exchange.is_closed:
            context.exchange.write(context.trailing_bytes)
        context.exchange.end()

    def _may_abort(self, context: RequestContext) -> bool:
        """Whether the connection to the endpoint may be aborted.

        Aborting stops the request at the endpoint. A request that must not run twice
        may have started there and is left to finish.
        """
        return context.route.kind is not RequestKind.NON_IDEMPOTENT

    async def _reserve(
        self, context: RequestContext, attempt: Attempt, running: RunningAttempts
    ) -> MemoryReservation:
        """Reserve the memory that other engines hold for the prompt.

        Orders are awaited for as long as the first token can be in time: an engine that
        does not answer may be sound, and another attempt may run beside this one.
        """
        choice = attempt.choice
        now = self._reactor.seconds()
        useful_until = context.deadline - min_seconds_left(choice)
        gives_up_at = min(
            max(useful_until, now + ORDER_TIMEOUT_SECONDS),
            context.deadline - MIN_SEND_SECONDS,
        )

        def report_silence(silent: frozenset[EndpointId]) -> None:
            now = self._reactor.seconds()
            for endpoint in silent:
                self._health.record_silence(endpoint, now=now)
            attempt.is_silent = True
            # Not from within this task: its successor ends it when it sends, at once
            # on an idle connection, and a task that runs cannot be cancelled.
            self._reactor.callLater(0, running.report_silence, attempt)

        reservation = await self._reservations.reserve(
            context.request_id,
            choice.holders,
            choice.holder_tokens,
            lead=choice.endpoint,
            wait=OrderWait(
                gives_up_at=gives_up_at,
                on_silence=report_silence,
                on_answer=self._health.end_silence,
                has_another=lambda: len(running) > 1,
            ),
        )
        if attempt.is_silent:
            attempt.is_silent = False
            self._log.silence_ended(context, attempt)
        return reservation

    async def _send(
        self,
        context: RequestContext,
        attempt: Attempt,
        reservation: MemoryReservation | None,
        running: RunningAttempts,
    ) -> EndpointResponse:
        choice = attempt.choice
        may_repeat = context.route.may_repeat
        began_at = self._reactor.seconds()
        connection = await self._pool.acquire(
            choice.endpoint.address,
            max_idle=MAX_IDLE_SECONDS if may_repeat else MAX_IDLE_WITHOUT_RETRY_SECONDS,
            timeout=context.deadline - self._reactor.seconds(),
            request_id=context.request_id,
        )
        now = self._reactor.seconds()
        seconds_left = context.deadline - now
        if seconds_left < MIN_SEND_SECONDS:
            self._pool.release(connection)
            raise AttemptError(reason=FailureReason.DEADLINE, was_sent=False)
        if not self._is_still_usable(context, choice):
            self._pool.release(connection)
            raise AttemptError(reason=FailureReason.WITHDRAWN, was_sent=False)
        if self._is_quarantined(context):
            self._pool.release(connection)
            raise AttemptError(reason=FailureReason.QUARANTINED, was_sent=False)
        if not self._retry_policy.try_spend(context):
            self._pool.release(connection)
            raise AttemptError(reason=FailureReason.NO_RETRY, was_sent=False)
        running.end_unsent(attempt)
        send_metadata = AttemptMetadata(
            endpoint=choice.endpoint.id,
            seconds_left=seconds_left,
            workspace=context.workspace.name if context.workspace else None,
            helpers=_helper_addresses(choice, reservation),
            last_event_id=attempt.stream.last_id if attempt.stream else "",
        )
        context.sends += 1
        attempt.number = context.sends
        attempt.was_suspect = self._crashes.crash_count(context.fingerprint) > 0
        attempt.sent_at = now
        attempt.deadline = context.deadline
        if not connection.is_reused:
            self._samples.connected(choice.endpoint, since=began_at)
        attempt.progress_at = now
        attempt.silence_limit = self._first_response_limit(context, choice)
        attempt.silent_at = now + attempt.silence_limit
        if context.service.engine is not None:
            self._update_slot_wait(context, attempt)
            attempt.silent_at = min(attempt.silent_at, now + LATE_REPORTS_SECONDS)
        if choice.stopped:
            self._log.streams_stopped(context, choice)
        self._chooser.record_start(choice.endpoint.id, now=now)
        self._health.record_start(choice.endpoint.id, now=now)
        self._log.attempt_started(
            context, attempt, seconds_left, self._fleet.configuration.version
        )

        def is_expected(head: ResponseHead) -> bool:
            return self._is_answer(
                context, attempt, head, is_reused=connection.is_reused
            )

        return connection.send(
            method=context.request.method,
            target=context.request.target,
            headers=self._codec.encode_request_headers(
                context.request.headers, send_metadata
            ),
            body=context.request.body,
            is_expected=is_expected,
            request_id=context.request_id,
        )

    def _is_answer(
        self,
        context: RequestContext,
        attempt: Attempt,
        head: ResponseHead,
        *,
        is_reused: bool,
    ) -> bool:
        """Whether a response belongs to the current request of its connection.

        Without a request id it does on a connection that carried no other request.
        """
        metadata = self._codec.decode_response_headers(head.status, head.headers)
        if metadata.request_id == context.request_id:
            return True
        if metadata.request_id is None and not is_reused:
            return True
        self._log.answer_skipped(context, attempt, metadata)
        return False

    def _is_quarantined(self, context: RequestContext) -> bool:
        """Whether a request must not be sent any more.

        A crash may have become known since the choice of the endpoint.
        """
        if self._crashes.is_quarantined(
            context.fingerprint, is_sent_once=context.route.is_sent_once
        ):
            return True
        return self._crashes.quarantined_part(context.metadata.shared_parts) is not None

    def _is_still_usable(self, context: RequestContext, choice: Choice) -> bool:
        """Whether all endpoints of a choice take requests still.

        An endpoint may have answered another request meanwhile.
        """
        return self._fleet.endpoints.is_usable(choice.endpoint.id) and all(
            self._statements.wants_requests(endpoint, request=context.request_id)
            for endpoint in (choice.endpoint, *choice.helpers)
        )

    async def _relay(self, relay: "_Relay") -> None:
        context, attempt, response = relay.context, relay.attempt, relay.response
        head = await self._receive(relay)
        metadata = self._codec.decode_response_headers(head.status, head.headers)
        self._statements.record_answer(context, attempt, metadata)
        if metadata.request_id is None:
            response.forbid_reuse()
        if metadata.has_not_run:
            await self._read_body(relay)
            raise NotRun(metadata=metadata)
        if head.status in SUCCESS and (not metadata.is_stamped or metadata.is_encoded):
            raise AttemptError(reason=FailureReason.MALFORMED, was_sent=True)
        if context.stream is not None and head.status in SUCCESS:
            await self._relay_stream(relay, head)
            return
        body = await self._read_body(relay)
        if self._is_retryable(relay, head):
            raise RetryableFailure(head=head, body=body)
        self._claim(relay, head)
        self._record_first_response(context)
        self.send_to_caller(context, head, body)
        self._samples.answered(context, attempt, paused_until=response.paused_until)

    def _is_retryable(self, relay: "_Relay", head: ResponseHead) -> bool:
        """Whether an error of the endpoint is not yet for the caller.

        An error of the caller's request is an answer like any other, unless the caller
        has a part of a stream.
        """
        if head.status in SUCCESS:
            return False
        context = relay.context
        if context.exchange.has_started:
            return True
        if head.status in NOT_RUN_STATUSES and len(relay.running) > 1:
            return True
        return head.status >= SERVER_ERROR and context.route.may_repeat

    async def _receive(self, relay: "_Relay") -> Event:
        """Return the next event of the response.

        An endpoint that sends nothing until `silent_at` is reported as silent, unless
        its known work explains that, again and again, and is awaited all the same.
        Raises `AttemptError` at the deadline; the endpoint is at fault only if it has
        been silent for too long then.
        """
        context, attempt = relay.context, relay.attempt
        gives_up_at = context.deadline + DEADLINE_GRACE_SECONDS
        while True:
            wakes_at = min(attempt.silent_at, gives_up_at)
            try:
                return await relay.response.receive(
                    timeout=wakes_at - self._reactor.seconds()
                )
            except AttemptError as error:
                is_silent = error.reason is FailureReason.SILENT
                if not is_silent or wakes_at == gives_up_at:
                    if is_silent and not self._is_overdue(relay):
                        raise AttemptError(reason=FailureReason.DEADLINE, was_sent=True)
                    raise
            self._report_silence(relay)

    def _report_silence(self, relay: "_Relay") -> None:
        attempt = relay.attempt
        self._samples.waiting(relay.context, attempt)
        now = self._reactor.seconds()
        since = self._silent_since(relay)
        silent_at = since + attempt.silence_limit
        was_excused = attempt.is_excused or not attempt.is_silent
        if was_excused:
            explained_until = self._silent_from(
                relay.context,
                attempt,
                since,
                limit=attempt.silence_limit,
                deadline=relay.context.deadline,
            )
            silent_at = min(
                explained_until,
                max(silent_at, self._replaceable_until(relay.context, attempt)),
            )
        if now < silent_at:
            attempt.silent_at = silent_at
            return
        attempt.silent_at = now + SILENCE_REPORT_SECONDS
        attempt.is_excused = was_excused and now < explained_until
        if was_excused and not attempt.is_excused:
            self._health.record_silence(attempt.endpoint, now=now)
        attempt.is_silent = True
        relay.running.report_silence(attempt)

    def _replaceable_until(self, context: RequestContext, attempt: Attempt) -> float:
        """Return until when another endpoint can answer before the caller leaves.

        It is assumed to take as long as was predicted for this one.
        """
        predicted = attempt.choice.predicted_ms / MS_PER_SECOND
        return context.leaves_at - predicted - REPLACEMENT_MARGIN_SECONDS

    def _silent_since(self, relay: "_Relay") -> float:
        since = relay.attempt.progress_at
        if relay.context.attempt is relay.attempt:
            # Nothing is read while the caller reads slowly.
            since = max(since, relay.context.exchange.held_back_until)
        # Nor while an answer waits for other long ones.
        return max(since, relay.response.paused_until)

    def _is_overdue(self, relay: "_Relay") -> bool:
        """Whether an endpoint has been silent for longer than its known work explains.

        Unlike `is_silent`, this holds for requests that must not be repeated as well,
        and their deadline does not limit what is explained.
        """
        context, attempt = relay.context, relay.attempt
        limit = attempt.silence_limit
        if not math.isfinite(limit):
            limit = self._response_limit(context, attempt.choice)
        silent_at = self._silent_from(
            context,
            attempt,
            self._silent_since(relay),
            limit=limit,
            deadline=math.inf,
        )
        return self._reactor.seconds() >= silent_at

    def _record_progress(self, relay: "_Relay", *, limit: float) -> None:
        attempt = relay.attempt
        attempt.progress_at = self._reactor.seconds()
        attempt.silence_limit = limit
        attempt.silent_at = attempt.progress_at + limit
        if attempt.is_silent:
            attempt.is_silent = False
            if not attempt.is_excused:
                self._health.end_silence(attempt.endpoint)
            if attempt.silence_decision is not None:
                self._log.silence_ended(relay.context, attempt)
        attempt.is_excused = False

    async def _read_body(self, relay: "_Relay") -> bytes:
        """Return the body, of at most `MAX_BODY_BYTES`, unless it is broken off.

        A body without a length or chunks is whole when its connection has ended in
        order and its endpoint still runs.
        """
        held = self._held.begin(relay.response)
        parts: list[bytes] = []
        try:
            return await self._hold_body(relay, held, parts)
        finally:
            # The traceback of an error would keep them for a while.
            parts.clear()
            held.release()

    async def _hold_body(
        self, relay: "_Relay", held: HeldAnswer, parts: list[bytes]
    ) -> bytes:
        limit = self._first_response_limit(relay.context, relay.attempt.choice)
        while True:
            self._record_progress(relay, limit=limit)
            match await self._receive(relay):
                case ResponseData(data):
                    parts.append(data)
                    held.add(len(data))
                    if held.n_bytes > MAX_BODY_BYTES:
                        relay.response.abort()
                        raise AttemptError(
                            reason=FailureReason.MALFORMED, was_sent=True
                        )
                case ResponseEnd() as ended:
                    await self._ends.check_body(relay.attempt, ended)
                    return b"".join(parts)

    async def _relay_stream(self, relay: "_Relay", head: ResponseHead) -> None:
        context, attempt = relay.context, relay.attempt
        limit = self._first_response_limit(context, attempt.choice)
        self._record_progress(relay, limit=limit)
        while True:
            match await self._receive(relay):
                case ResponseData(data):
                    if self._relay_data(relay, head, data):
                        self._record_progress(relay, limit=self._gap_limit(context))
                case ResponseEnd() as ended:
                    await self._ends.check_stream(context, attempt, ended)
                    self._claim(relay, head)
                    if relay.unsent and not context.exchange.is_closed:
                        context.exchange.write(relay.unsent)
                    self._end_stream(context)
                    return

    def _claim(self, relay: "_Relay", head: ResponseHead) -> None:
        """Make this attempt the one whose answer the caller gets.

        Other attempts end here. A stream has the head of its first endpoint.
        """
        context, attempt = relay.context, relay.attempt
        relay.running.claim(attempt)
        if context.attempt is attempt:
            return
        context.attempt = attempt
        context.status = head.status
        if attempt.stream is None or head.status not in SUCCESS:
            return
        context.stream = attempt.stream
        exchange = context.exchange
        if not exchange.has_started:
            headers = self._codec.encode_response_headers(head.headers)
            exchange.start(head.status, head.reason, headers)
        exchange.apply_backpressure(relay.response.transport)

    def _relay_data(self, relay: "_Relay", head: ResponseHead, data: bytes) -> bool:
        """Pass on the events that are complete; return whether one carries data.

        Other bytes are no progress: an endpoint may send some now and then for ever.
        They wait while another attempt runs, which may be the one that answers.
        """
        context, attempt = relay.context, relay.attempt
        try:
            complete_events = attempt.stream.feed(data)
        except EventTooLargeError:
            raise AttemptError(reason=FailureReason.MALFORMED, was_sent=True)
        is_progress = has_data(complete_events)
        relay.unsent += complete_events
        if not is_progress and len(relay.running) > 1:
            if len(relay.unsent) > MAX_UNSENT_BYTES:
                raise AttemptError(reason=FailureReason.MALFORMED, was_sent=True)
            return False
        self._claim(relay, head)
        if is_progress:
            context.known_end = context.known_end.after_event()
            context.trailing_bytes = b""
            self._record_gap(context, attempt)
        if attempt.answer_began_at is None and is_progress:
            attempt.answer_began_at = self._reactor.seconds()
            self._samples.first_event(context, attempt)
        elif is_progress:
            self._samples.event(context, attempt)
        if attempt.choice.placed.is_in_prefill:
            self._record_first_response(context)
            self._tracker.mark_prefilled(
                attempt.choice.placed, now=self._reactor.seconds()
            )
            self._on_work_changed()
        events, relay.unsent = relay.unsent, b""
        if events and not context.exchange.is_closed:
            context.exchange.write(events)
        return is_progress

    def _record_first_response(self, context: RequestContext) -> None:
        if context.first_response_at is None:
            context.first_response_at = self._reactor.seconds()

    def _record_served(self, context: RequestContext, attempt: Attempt) -> None:
        if attempt.answer_began_at is not None:
            self._crashes.record_served(
                context.metadata.shared_parts, began_at=attempt.answer_began_at
            )

    def _record_gap(self, context: RequestContext, attempt: Attempt) -> None:
        now = self._reactor.seconds()
        if now - context.silent_since > context.longest_silence.seconds:
            context.longest_silence = self._silence(context, attempt)
        if context.last_data_at is not None:
            context.longest_gap = max(context.longest_gap, now - context.last_data_at)
        context.last_data_at = now

    def _silence(self, context: RequestContext, attempt: Attempt) -> Silence:
        """Return the present silence of an attempt with what is known of its cause."""
        now = self._reactor.seconds()
        placed = attempt.choice.placed
        work = self._chooser.work(attempt.endpoint, now=now)
        seconds = now - context.silent_since
        return Silence(
            seconds=seconds,
            cause=cause_of_silence(
                work,
                silent_seconds=seconds,
                own_prefill_ms=placed.part_ms if placed.is_in_prefill else 0.0,
                slot_wait=attempt.slot_wait_seconds if placed.is_in_prefill else 0.0,
            ),
            busy_seconds=work.prefill_ms / MS_PER_SECOND,
        )

    def _silent_from(
        self,
        context: RequestContext,
        attempt: Attempt,
        since: float,
        *,
        limit: float,
        deadline: float,
    ) -> float:
        """Return when an endpoint counts as silent by the work it is known to have.

        It has sent nothing since `since`. `limit` and `deadline` are those of
        `routing.silent_from`.
        """
        now = self._reactor.seconds()
        placed = attempt.choice.placed
        is_in_prefill = placed.is_in_prefill
        if context.service.engine is not None:
            attempt.busy_seconds = max(
                busy_seconds(
                    self._chooser.work(endpoint, now=now),
                    context.service.engine,
                    is_in_prefill=is_in_prefill,
                )
                for endpoint in (placed.endpoints if is_in_prefill else (placed.lead,))
            )
        if is_in_prefill:
            self._update_slot_wait(context, attempt)
            attempt.busy_seconds += attempt.slot_wait_seconds
        return silent_from(
            since=since,
            limit=limit,
            busy=attempt.busy_seconds,
            margin=(
                FIRST_RESPONSE_MARGIN_SECONDS if is_in_prefill else GAP_MARGIN_SECONDS
            ),
            deadline=deadline,
        )

    def _update_slot_wait(self, context: RequestContext, attempt: Attempt) -> None:
        """Record the longest wait for a slot by what is known since the sending.

        Requests that were ahead then may have ended now, and those that peers placed
        before may be reported later.
        """
        if context.service.engine is None:
            return
        work = self._chooser.work(attempt.endpoint, now=self._reactor.seconds())
        attempt.slot_wait_seconds = max(
            attempt.slot_wait_seconds, slot_wait_seconds(work, context.service.engine)
        )

    def _first_response_limit(self, context: RequestContext, choice: Choice) -> float:
        """Return the seconds after which an endpoint without an answer is silent."""
        if not context.route.may_repeat:
            return math.inf
        return self._response_limit(context, choice)

    def _response_limit(self, context: RequestContext, choice: Choice) -> float:
        limit = context.route.first_answer_objective * FIRST_RESPONSE_LIMIT_FACTOR
        predicted = choice.predicted_ms / MS_PER_SECOND
        return (
            max(limit, predicted * FIRST_RESPONSE_LIMIT_FACTOR)
            + FIRST_RESPONSE_MARGIN_SECONDS
        )

    def _gap_limit(self, context: RequestContext) -> float:
        """Return the seconds without data after which a stream is silent."""
        objective = context.route.gap_objective
        if objective is None or not context.route.may_repeat:
            return math.inf
        return objective * GAP_LIMIT_FACTOR + GAP_MARGIN_SECONDS


@dataclass(slots=True)
class _Relay:
    """An answer that is read; `unsent` are events that the caller has not got."""

    context: RequestContext
    attempt: Attempt
    running: RunningAttempts
    response: EndpointResponse
    unsent: bytes = b""


def _helper_addresses(
    choice: Choice, reservation: MemoryReservation | None
) -> tuple[str, ...]:
    """Return the helpers' addresses, each followed by its reservation if it has one."""
    reservation_ids = reservation.reservation_ids if reservation else {}
    return tuple(
        f"{helper.address}/{reservation_ids[helper.address]}"
        if helper.address in reservation_ids
        else helper.address
        for helper in choice.helpers
    )
