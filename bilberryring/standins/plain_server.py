"""A simulated plain service that counts its side effects.

`POST /calls/...` causes a side effect for the `reference` in the body, after
`delay_before` seconds, and answers `delay_after` seconds later. `GET /calls/...`
causes none. `GET /control/effects` returns the number of side effects per
reference, which tests compare with what callers were told.
"""

import msgspec
from twisted.internet.task import deferLater
from twisted.web.resource import Resource
from twisted.web.server import Request

from bilberryring.http import AsyncResource, write_json


class EffectOrder(msgspec.Struct, frozen=True, kw_only=True):
    """The body of a call.

    The delays before and after the side effect are in seconds, and `answer_bytes` is
    the length of the padding in the answer.
    """

    reference: str
    delay_before: float = 0.0
    delay_after: float = 0.0
    answer_bytes: int = 0


class PlainServer:
    """Counts side effects in memory.

    The service does not check idempotency keys, so a call that is delivered twice
    takes effect twice.
    """

    def __init__(self, *, reactor):
        self._reactor = reactor
        self._effects: dict[str, int] = {}

    def resource(self) -> Resource:
        """Return the root resource of the HTTP interface."""
        root = Resource()
        control = Resource()
        root.putChild(b"calls", self._leaf(self._call))
        root.putChild(b"control", control)
        control.putChild(b"effects", self._leaf(self._get_effects))
        return root

    def _leaf(self, handle) -> AsyncResource:
        return AsyncResource(handle=handle, on_fault=lambda error: None)

    async def _call(self, request: Request) -> None:
        if request.method == b"GET":
            write_json(request, {"effects": len(self._effects)})
            return
        order = msgspec.json.decode(request.read_body(), type=EffectOrder)
        if order.delay_before:
            await deferLater(self._reactor, order.delay_before)
        count = self._effects.get(order.reference, 0) + 1
        self._effects[order.reference] = count
        if order.delay_after:
            await deferLater(self._reactor, order.delay_after)
        answer = {
            "reference": order.reference,
            "count": count,
            "padding": "x" * order.answer_bytes,
        }
        write_json(request, answer, status=201)

    async def _get_effects(self, request: Request) -> None:
        write_json(request, self._effects)
