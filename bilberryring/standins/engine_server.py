"""A simulated model engine that is served over HTTP.

`POST /v1/generate` streams an answer as one JSON object a line, `POST /v1/cancel`
drops a prompt, `GET /v1/held` lists the prompts that the engine holds,
`GET /v1/load` reports the load as last sampled, and `POST /v1/orders` checks only
the fencing number of an order. Tests inject faults and read counters through
`/control/...`.
"""

import msgspec
from twisted.internet.task import LoopingCall
from twisted.web.resource import Resource
from twisted.web.server import Request

from bilberryring.adapters.engine_protocol import (
    CancelRequest,
    GenerateEvent,
    GenerateRequest,
    HeldRequest,
    HeldResponse,
)
from bilberryring.http import AsyncResource, write_json
from bilberryring.standins.engine_model import EngineModel, EngineParameters

LOAD_SAMPLE_SECONDS = 0.5


class EngineFacts(msgspec.Struct, frozen=True, kw_only=True):
    """The internal counters that tests read.

    `falls` counts crashes because of too many prompts while cold, `crashes` all
    others, `running` the prompts that the engine holds now, and `submitted` the
    prompts that were not refused because of a stale fencing number.
    """

    falls: int
    crashes: int
    running: int
    kv_used: int
    submitted: int
    incarnation: str


class EngineServer:
    """Serves one simulated engine.

    With `honours_fencing`, orders with a stale fencing number are refused. While the
    engine restarts after a crash, calls below `/v1` get no answer and their
    connections are closed.
    """

    def __init__(
        self, *, reactor, parameters: EngineParameters, honours_fencing: bool = True
    ):
        self._reactor = reactor
        self._engine = EngineModel(clock=reactor, parameters=parameters)
        self._honours_fencing = honours_fencing
        self._open_responses: set[Request] = set()
        self._submitted = 0
        self._is_refusing = False
        self._sampled_load = (0, 0)
        LoopingCall(self._sample_load).start(LOAD_SAMPLE_SECONDS)

    def resource(self) -> Resource:
        """Return the root resource of the HTTP interface."""
        root = Resource()
        model_calls = Resource()
        control = Resource()
        root.putChild(b"v1", model_calls)
        root.putChild(b"control", control)
        for name, handle in (
            (b"generate", self._generate),
            (b"cancel", self._cancel),
            (b"held", self._list_held),
            (b"load", self._get_load),
            (b"orders", self._check_order),
        ):
            model_calls.putChild(name, self._leaf(handle, needs_available_engine=True))
        for name, handle in (
            (b"crash", self._crash),
            (b"cold", self._cold),
            (b"refusing", self._set_refusing),
            (b"facts", self._get_facts),
        ):
            control.putChild(name, self._leaf(handle, needs_available_engine=False))
        return root

    def _leaf(self, handle, *, needs_available_engine: bool) -> AsyncResource:
        async def guarded(request: Request) -> None:
            if needs_available_engine and not self._engine.is_available:
                request.loseConnection()
                return
            await handle(request)

        return AsyncResource(handle=guarded, on_fault=lambda error: None)

    def _sample_load(self) -> None:
        self._sampled_load = (len(self._engine.requests), self._engine.kv_used)

    def _has_stale_fence(self, fence: int) -> bool:
        return self._honours_fencing and not self._engine.accept_fence(fence)

    async def _generate(self, request: Request) -> None:
        order = msgspec.json.decode(request.read_body(), type=GenerateRequest)
        if self._has_stale_fence(order.fence):
            write_json(request, {"error": "old fencing number"}, status=409)
            return
        self._submitted += 1
        if self._is_refusing:
            write_json(request, {"error": "the model is unavailable"}, status=503)
            return
        request.setHeader(b"x-engine-incarnation", self._engine.incarnation.encode())
        request.setHeader(b"content-type", b"application/x-ndjson")
        self._open_responses.add(request)
        request.notifyFinish().addBoth(self._on_closed, request, order.request)

        def on_token(index: int, text: str) -> None:
            self._send(request, GenerateEvent(index=index, text=text))

        def on_end(reason: str, count: int) -> None:
            if request not in self._open_responses:
                return
            if reason == "lost":
                request.loseConnection()
                return
            self._send(request, GenerateEvent(end=reason, count=count))
            self._open_responses.discard(request)
            request.finish()

        request.write(b"\n")
        self._engine.submit(
            name=order.request,
            holder=order.holder,
            prompt=order.prompt,
            max_tokens=order.max_tokens,
            generated=order.generated,
            priority=order.priority,
            on_token=on_token,
            on_end=on_end,
            is_prefill_only=order.holds,
            imported_tokens=order.imported_tokens,
            on_prefilled=lambda: self._send(request, GenerateEvent(held=True)),
        )

    def _send(self, request: Request, event: GenerateEvent) -> None:
        if request in self._open_responses:
            request.write(msgspec.json.encode(event) + b"\n")

    def _on_closed(self, _result, request: Request, name: str) -> None:
        """Stop sending the answer, but keep the prompt in the engine.

        This engine frees memory only when a prompt ends or is cancelled.
        """
        self._open_responses.discard(request)

    async def _cancel(self, request: Request) -> None:
        order = msgspec.json.decode(request.read_body(), type=CancelRequest)
        if self._has_stale_fence(order.fence):
            write_json(request, {"error": "old fencing number"}, status=409)
            return
        write_json(request, {"cancelled": self._engine.cancel(order.request)})

    async def _list_held(self, request: Request) -> None:
        engine = self._engine
        answer = HeldResponse(
            incarnation=engine.incarnation,
            kv_used=engine.kv_used,
            kv_tokens=engine.parameters.kv_tokens,
            highest_fence=engine.highest_fence,
            requests=tuple(
                HeldRequest(
                    request=item.name, holder=item.holder, kv_tokens=item.kv_tokens
                )
                for item in engine.requests
            ),
        )
        write_json(request, answer)

    async def _get_load(self, request: Request) -> None:
        running, kv_used = self._sampled_load
        write_json(
            request,
            {
                "incarnation": self._engine.incarnation,
                "running": running,
                "kv_used": kv_used,
            },
        )

    async def _check_order(self, request: Request) -> None:
        order = msgspec.json.decode(request.read_body(), type=CancelRequest)
        if self._has_stale_fence(order.fence):
            write_json(request, {"error": "old fencing number"}, status=409)
            return
        write_json(request, {"accepted": order.request})

    async def _crash(self, request: Request) -> None:
        self._engine.crash()
        write_json(request, {"crashed": True})

    async def _cold(self, request: Request) -> None:
        completions = msgspec.json.decode(request.read_body(), type=int)
        self._engine.make_cold(completions)
        write_json(request, {"cold": self._engine.is_cold})

    async def _set_refusing(self, request: Request) -> None:
        self._is_refusing = msgspec.json.decode(request.read_body(), type=bool)
        write_json(request, {"refusing": self._is_refusing})

    async def _get_facts(self, request: Request) -> None:
        engine = self._engine
        facts = EngineFacts(
            falls=engine.overload_crashes,
            crashes=engine.crashes,
            running=len(engine.requests),
            kv_used=engine.kv_used,
            submitted=self._submitted,
            incarnation=engine.incarnation,
        )
        write_json(request, facts)
