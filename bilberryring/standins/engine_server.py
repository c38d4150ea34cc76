"""The model engine's stand-in over HTTP.

`POST /v1/generate` streams one JSON object a line, `POST /v1/cancel` drops a
prompt, `GET /v1/held` tells what the engine holds, `GET /v1/load` reports with
a lag, and `POST /v1/orders` takes orders with fencing numbers. Scenarios use
`/control/...`.
"""

import msgspec
from twisted.internet.task import LoopingCall
from twisted.web.resource import Resource
from twisted.web.server import Request

from bilberryring.adapters.engine_protocol import (
    CancelOrder,
    GenerateEvent,
    GenerateOrder,
    HeldAnswer,
    HeldRequest,
)
from bilberryring.http import AsyncResource, write_json
from bilberryring.standins.engine_model import EngineModel, EngineParameters

LOAD_LAG_SECONDS = 0.5


class EngineFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What scenarios ask: falls while cold, crashes, and prompts now."""

    falls: int
    crashes: int
    running: int
    kv_used: int
    submitted: int
    incarnation: str


class EngineServer:
    """Serves one engine; `honours_fencing` makes it refuse old orders."""

    def __init__(
        self, *, reactor, parameters: EngineParameters, honours_fencing: bool = True
    ):
        self._reactor = reactor
        self._engine = EngineModel(clock=reactor, parameters=parameters)
        self._honours_fencing = honours_fencing
        self._open: set[Request] = set()
        self._submitted = 0
        self._is_refusing = False
        self._lagging_load = (0, 0)
        LoopingCall(self._sample_load).start(LOAD_LAG_SECONDS)

    def resource(self) -> Resource:
        """Return the root of the site."""
        root = Resource()
        calls = Resource()
        control = Resource()
        root.putChild(b"v1", calls)
        root.putChild(b"control", control)
        for name, handle in (
            (b"generate", self._generate),
            (b"cancel", self._cancel),
            (b"held", self._held),
            (b"load", self._load),
            (b"orders", self._order),
        ):
            calls.putChild(name, self._leaf(handle, needs_up=True))
        for name, handle in (
            (b"crash", self._crash),
            (b"cold", self._cold),
            (b"refusing", self._set_refusing),
            (b"facts", self._facts),
        ):
            control.putChild(name, self._leaf(handle, needs_up=False))
        return root

    def _leaf(self, handle, *, needs_up: bool) -> AsyncResource:
        async def guarded(request: Request) -> None:
            if needs_up and not self._engine.is_up:
                request.loseConnection()
                return
            await handle(request)

        return AsyncResource(handle=guarded, on_fault=lambda error: None)

    def _sample_load(self) -> None:
        self._lagging_load = (len(self._engine.requests), self._engine.kv_used)

    def _is_fenced_off(self, fence: int) -> bool:
        return self._honours_fencing and not self._engine.take_fence(fence)

    async def _generate(self, request: Request) -> None:
        order = msgspec.json.decode(request.read_body(), type=GenerateOrder)
        if self._is_fenced_off(order.fence):
            write_json(request, {"error": "old fencing number"}, status=409)
            return
        self._submitted += 1
        if self._is_refusing:
            write_json(request, {"error": "the model is out of order"}, status=503)
            return
        request.setHeader(b"x-engine-incarnation", self._engine.incarnation.encode())
        request.setHeader(b"content-type", b"application/x-ndjson")
        self._open.add(request)
        request.notifyFinish().addBoth(self._closed, request, order.request)

        def on_token(index: int, text: str) -> None:
            self._send(request, GenerateEvent(index=index, text=text))

        def on_end(reason: str, count: int) -> None:
            if request not in self._open:
                return
            if reason == "lost":
                request.loseConnection()
                return
            self._send(request, GenerateEvent(end=reason, count=count))
            self._open.discard(request)
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
            holds=order.holds,
            imported_tokens=order.imported_tokens,
            on_held=lambda: self._send(request, GenerateEvent(held=True)),
        )

    def _send(self, request: Request, event: GenerateEvent) -> None:
        if request in self._open:
            request.write(msgspec.json.encode(event) + b"\n")

    def _closed(self, _result, request: Request, name: str) -> None:
        """Keep generating: this engine frees memory only when told to."""
        self._open.discard(request)

    async def _cancel(self, request: Request) -> None:
        order = msgspec.json.decode(request.read_body(), type=CancelOrder)
        if self._is_fenced_off(order.fence):
            write_json(request, {"error": "old fencing number"}, status=409)
            return
        write_json(request, {"cancelled": self._engine.cancel(order.request)})

    async def _held(self, request: Request) -> None:
        engine = self._engine
        answer = HeldAnswer(
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

    async def _load(self, request: Request) -> None:
        running, kv_used = self._lagging_load
        write_json(
            request,
            {
                "incarnation": self._engine.incarnation,
                "running": running,
                "kv_used": kv_used,
            },
        )

    async def _order(self, request: Request) -> None:
        order = msgspec.json.decode(request.read_body(), type=CancelOrder)
        if self._is_fenced_off(order.fence):
            write_json(request, {"error": "old fencing number"}, status=409)
            return
        write_json(request, {"accepted": order.request})

    async def _crash(self, request: Request) -> None:
        self._engine.crash()
        write_json(request, {"crashed": True})

    async def _cold(self, request: Request) -> None:
        completions = msgspec.json.decode(request.read_body(), type=int)
        self._engine.turn_cold(completions)
        write_json(request, {"cold": self._engine.is_cold})

    async def _set_refusing(self, request: Request) -> None:
        self._is_refusing = msgspec.json.decode(request.read_body(), type=bool)
        write_json(request, {"refusing": self._is_refusing})

    async def _facts(self, request: Request) -> None:
        engine = self._engine
        facts = EngineFacts(
            falls=engine.falls,
            crashes=engine.crashes,
            running=len(engine.requests),
            kv_used=engine.kv_used,
            submitted=self._submitted,
            incarnation=engine.incarnation,
        )
        write_json(request, facts)
