"""The HTTP site for callers: completions, models, and plain services."""

import hashlib
from collections.abc import Coroutine
from dataclasses import dataclass

import msgspec
from twisted.internet.defer import CancelledError, Deferred
from twisted.web.resource import Resource

from bilberryring.core import (
    ErrorCode,
    Fingerprint,
    MalformedJsonError,
    RequestId,
    RunOutcome,
    ServingError,
    decode_json,
    new_request_id,
)
from bilberryring.entry.answer_sinks import (
    AnswerFormat,
    AnswerSink,
    JsonSink,
    StreamSink,
)
from bilberryring.entry.body_checks import check_objects
from bilberryring.entry.caller_prompt import CallerPrompt
from bilberryring.entry.entry_state import EntryState
from bilberryring.entry.openai_messages import (
    DEFAULT_MAX_TOKENS,
    ChatRequest,
    CompletionRequest,
    ModelEntry,
    ModelList,
)
from bilberryring.entry.prompt_request import PromptRequest
from bilberryring.entry.request_ending import RequestEnding
from bilberryring.entry.service_request import (
    ServiceCall,
    ServiceRequest,
    issue_ticket,
)
from bilberryring.http import AsyncResource, BoundedRequest, write_json, write_problem
from bilberryring.objects import Model, ObjectSet, Service, Workspace
from bilberryring.routing import PromptShape
from bilberryring.telemetry import LogEvent

BYTES_PER_TOKEN = 4
MAX_DEADLINE_SECONDS = 3600.0
RETRY_AFTER_SECONDS = 1.0
IDEMPOTENCY_HEADER = "idempotency-key"
REPLAYED_HEADER = b"x-bilberryring-replayed"


class TicketAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A ticket, which the caller sends as `Idempotency-Key` with its call."""

    ticket: str


@dataclass(frozen=True, slots=True, kw_only=True)
class _Caller:
    """An identified caller and the objects in force when its request came."""

    ending: RequestEnding
    objects: ObjectSet
    workspace: Workspace

    @property
    def request_id(self) -> RequestId:
        """The id of the request."""
        return self.ending.request_id


class CallerSite:
    """Builds the HTTP resources for callers from the state of the entry."""

    def __init__(self, *, state: EntryState):
        self._state = state
        self._tasks: set[Deferred] = set()

    def end_all(self) -> None:
        """Answer all requests in progress, as the process exits.

        Their outcome is unknown.
        """
        for task in tuple(self._tasks):
            task.cancel()

    def resource(self) -> Resource:
        """Return the root of the site."""
        root = Resource()
        version = Resource()
        chat = Resource()
        root.putChild(b"v1", version)
        version.putChild(b"chat", chat)
        chat.putChild(b"completions", self._leaf(self._chat))
        version.putChild(b"completions", self._leaf(self._complete))
        version.putChild(b"models", self._leaf(self._models))
        version.putChild(b"services", self._leaf(self._service))
        return root

    def _leaf(self, handle) -> AsyncResource:
        """Return a resource that identifies the caller before it calls `handle`.

        Each request leaves one last record, which says what its caller got.
        """

        async def handle_request(request: BoundedRequest) -> None:
            ending = RequestEnding(request=request, request_id=new_request_id())
            self._state.request_began()
            try:
                caller = self._identify_caller(request, ending)
                await self._run(handle(request, caller))
                self._state.record_finished(ending)
            except ServingError as error:
                self._report_failure(ending, error)
            except Exception as error:
                self._state.log_fault(error)
                fault = ServingError(
                    code=ErrorCode.INTERNAL, outcome=RunOutcome.UNKNOWN
                )
                self._report_failure(ending, fault)
            finally:
                self._state.request_ended()

        return AsyncResource(handle=handle_request, on_fault=self._state.log_fault)

    async def _run(self, handling: Coroutine) -> None:
        """Run the task of a request, which `end_all` may end with `ServingError`."""
        task = Deferred.fromCoroutine(handling)
        self._tasks.add(task)
        try:
            await task
        except CancelledError:
            raise _stopped_error()
        finally:
            self._tasks.discard(task)

    def _identify_caller(
        self, request: BoundedRequest, ending: RequestEnding
    ) -> _Caller:
        """Return the caller that the API key identifies.

        Raises `ServingError` when the entry takes no requests, the key is
        unknown or the body is too large.
        """
        objects, workspace = self.find_workspace(request)
        if request.is_body_too_large:
            raise _no_ledger_error(request, ErrorCode.BODY_TOO_LARGE, retry_after=None)
        return _Caller(ending=ending, objects=objects, workspace=workspace)

    def find_workspace(self, request: BoundedRequest) -> tuple[ObjectSet, Workspace]:
        """Return the workspace of the API key of a request, and the set it is in.

        Raises `ServingError` when the entry takes no requests or the key is unknown.
        """
        if self._state.is_draining:
            raise _no_ledger_error(request, ErrorCode.LEAVING)
        objects = self._state.objects
        if objects is None:
            raise _no_ledger_error(request, ErrorCode.NO_SET)
        header = request.getHeader("authorization") or ""
        key = header.removeprefix("Bearer ").strip()
        workspace = objects.workspace_of_key(key)
        if workspace is None:
            raise _no_ledger_error(request, ErrorCode.KEY_UNKNOWN, retry_after=None)
        return objects, workspace

    def _report_failure(self, ending: RequestEnding, error: ServingError) -> None:
        """Send the error if nothing was sent, and write the last record."""
        request = ending.request
        if not request.finished and not request.has_caller_left:
            if request.startedWriting:
                request.loseConnection()
            else:
                if self._state.is_draining:
                    _close_after_response(request)
                write_problem(request, error, request_id=ending.request_id)
        self._state.record_failed(ending, error)

    async def _models(self, request: BoundedRequest, caller: _Caller) -> None:
        entries = tuple(ModelEntry(id=name) for name in caller.workspace.models)
        write_json(request, ModelList(data=entries))

    async def _chat(self, request: BoundedRequest, caller: _Caller) -> None:
        body = _decode(check_objects(request, request.read_body()), ChatRequest)
        await self._answer_prompt(request, caller, body, body.prompt, is_chat=True)

    async def _complete(self, request: BoundedRequest, caller: _Caller) -> None:
        body = _decode(check_objects(request, request.read_body()), CompletionRequest)
        await self._answer_prompt(request, caller, body, body.prompt, is_chat=False)

    async def _answer_prompt(
        self,
        request: BoundedRequest,
        caller: _Caller,
        body: ChatRequest | CompletionRequest,
        text: str,
        *,
        is_chat: bool,
    ) -> None:
        prompt = self._build_prompt(caller, body, text)
        answer_format = AnswerFormat(
            request_id=caller.request_id,
            model=prompt.model.name,
            is_chat=is_chat,
            prompt_tokens=prompt.shape.prompt_tokens,
            include_usage=bool(
                body.stream_options and body.stream_options.include_usage
            ),
        )
        # The sink and the task refer to each other; the list is filled once both exist.
        tasks: list[PromptRequest] = []
        sink: AnswerSink
        if body.stream:
            sink = StreamSink(
                reactor=self._state.reactor,
                request=request,
                answer_format=answer_format,
                on_too_slow=lambda: tasks[0].caller_too_slow(),
            )
        else:
            sink = JsonSink(request=request, answer_format=answer_format)
        task = self._state.create_prompt_request(prompt, sink)
        tasks.append(task)
        request.notifyFinish().addErrback(lambda _: task.caller_disconnected())
        caller.ending.sink = sink
        await self._run_prompt(prompt, task, caller.ending)

    async def _run_prompt(
        self, prompt: CallerPrompt, task: PromptRequest, ending: RequestEnding
    ) -> None:
        self._state.log.write(
            LogEvent.REQUEST_RECEIVED,
            request=prompt.request_id,
            workspace=prompt.workspace.name,
            model=prompt.model.name,
            prompt_tokens=prompt.shape.prompt_tokens,
        )
        try:
            times = await task.run()
        except ServingError as error:
            ending.sink.fail(error)
            raise
        except CancelledError:
            error = _stopped_error()
            ending.sink.fail(error)
            raise error
        ending.fields = self._state.observe_answer(prompt, times)

    def _build_prompt(
        self, caller: _Caller, body: ChatRequest | CompletionRequest, text: str
    ) -> CallerPrompt:
        model = self._find_model(caller, body.model)
        prompt_bytes = text.encode("utf-8", "surrogatepass")
        prompt_tokens = max(1, len(text) // BYTES_PER_TOKEN)
        requested_tokens = (
            body.max_completion_tokens or body.max_tokens or DEFAULT_MAX_TOKENS
        )
        if requested_tokens < 1:
            raise _not_run_error(
                ErrorCode.BODY_MALFORMED, detail="max_tokens must be at least 1"
            )
        max_tokens = min(requested_tokens, model.max_output_tokens)
        if prompt_tokens > model.max_prompt_tokens:
            raise _not_run_error(
                ErrorCode.PROMPT_TOO_LONG,
                detail=f"the prompt has {prompt_tokens} tokens; "
                f"the model allows {model.max_prompt_tokens}",
            )
        priority = caller.objects.priorities[caller.workspace.priority]
        now = self._state.reactor.seconds()
        seconds = min(body.timeout or priority.total_seconds, MAX_DEADLINE_SECONDS)
        return CallerPrompt(
            request_id=caller.request_id,
            workspace=caller.workspace,
            priority=priority,
            model=model,
            text=prompt_bytes,
            shape=PromptShape(prompt_tokens=prompt_tokens, max_tokens=max_tokens),
            fingerprint=_fingerprint(caller.workspace.name, model.name, prompt_bytes),
            received_at=now,
            deadline=now + max(0.0, seconds),
        )

    def _find_model(self, caller: _Caller, name: str) -> Model:
        model = caller.objects.models.get(name)
        if model is None or name not in caller.workspace.models:
            raise _not_run_error(ErrorCode.MODEL_UNKNOWN)
        return model

    async def _service(self, request: BoundedRequest, caller: _Caller) -> None:
        path = [_decode_text(part) for part in request.postpath]
        service = self._find_service(request, caller, path[0] if path else "")
        match path[1:]:
            case ["tickets"] if request.method == b"POST":
                ticket = issue_ticket(
                    self._state.links,
                    caller.objects,
                    service,
                    now=self._state.reactor.seconds(),
                )
                write_json(request, TicketAnswer(ticket=ticket.text), status=201)
            case ["calls", *rest]:
                await self._call_service(request, caller, service, "/".join(rest))
            case _:
                raise _not_run_error(ErrorCode.PATH_UNKNOWN)

    def _find_service(
        self, request: BoundedRequest, caller: _Caller, name: str
    ) -> Service:
        service = caller.objects.services.get(name)
        if service is None or name not in caller.workspace.services:
            raise _no_ledger_error(request, ErrorCode.SERVICE_UNKNOWN, retry_after=None)
        return service

    async def _call_service(
        self, request: BoundedRequest, caller: _Caller, service: Service, path: str
    ) -> None:
        method = _decode_text(request.method)
        ticket = request.getHeader(IDEMPOTENCY_HEADER) or ""
        if not ticket and method not in service.repeatable_methods:
            raise _not_run_error(ErrorCode.TICKET_REQUIRED)
        call = ServiceCall(
            request_id=caller.request_id,
            workspace=caller.workspace,
            service=service,
            method=method,
            path=path,
            content_type=request.getHeader("content-type") or "application/json",
            body=request.read_body(),
            ticket_text=ticket,
            deadline=self._state.reactor.seconds() + service.deadline_seconds,
        )
        self._state.log.write(
            LogEvent.REQUEST_RECEIVED,
            request=caller.request_id,
            workspace=caller.workspace.name,
            service=service.name,
            ticket=ticket,
        )
        task: ServiceRequest = self._state.create_service_request(call)
        request.notifyFinish().addErrback(lambda _: task.caller_disconnected())
        answer = await task.run()
        request.setResponseCode(answer.status)
        request.setHeader(b"content-type", answer.content_type.encode())
        if answer.content_encoding:
            request.setHeader(b"content-encoding", answer.content_encoding.encode())
        request.setHeader(b"x-request-id", caller.request_id.encode())
        if answer.replayed:
            request.setHeader(REPLAYED_HEADER, b"true")
        request.write(answer.body)
        request.finish()


def _decode_text(data: bytes) -> str:
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        raise _not_run_error(ErrorCode.REQUEST_MALFORMED, detail=str(error))


def _decode(data: bytes, body_type):
    try:
        return decode_json(data, body_type)
    except MalformedJsonError as error:
        raise _not_run_error(ErrorCode.BODY_MALFORMED, detail=str(error))


def _fingerprint(workspace: str, model: str, prompt_bytes: bytes) -> Fingerprint:
    fingerprint_hash = hashlib.blake2b(
        f"{workspace}\0{model}\0".encode(), digest_size=12
    )
    fingerprint_hash.update(prompt_bytes)
    return Fingerprint(fingerprint_hash.hexdigest())


def _close_after_response(request: BoundedRequest) -> None:
    """Announce that the connection is closed after the response, and close it then.

    A connection on which another request has been received stays open for that one.
    """
    if not request.channel.has_next_request:
        request.channel.persistent = False
        request.setHeader(b"connection", b"close")


def _stopped_error() -> ServingError:
    """Return the error of a request that is in progress when the process exits."""
    return ServingError(
        code=ErrorCode.OUTCOME_UNKNOWN,
        outcome=RunOutcome.UNKNOWN,
        detail="the entry shuts down",
    )


def _no_ledger_error(
    request: BoundedRequest,
    code: ErrorCode,
    *,
    retry_after: float | None = RETRY_AFTER_SECONDS,
) -> ServingError:
    """Return the error of a request that is refused before its ledger is asked.

    Another copy of a call with the same ticket may have run. Only the ledger that
    the ticket names can tell, so the outcome of a call with a ticket is unknown.
    """
    has_ticket = request.getHeader(IDEMPOTENCY_HEADER) is not None
    outcome = RunOutcome.UNKNOWN if has_ticket else RunOutcome.NOT_RUN
    return ServingError(code=code, outcome=outcome, retry_after=retry_after)


def _not_run_error(
    code: ErrorCode, *, detail: str = "", retry_after: float | None = None
) -> ServingError:
    return ServingError(
        code=code, outcome=RunOutcome.NOT_RUN, detail=detail, retry_after=retry_after
    )
