"""A plain service's stand-in: it counts each side effect by request.

`POST /calls/...` runs a side effect named by the body's `reference`, after
`delay` seconds; `GET /calls/...` has none. `GET /control/effects` tells how
often each reference took effect, which is the truth that scenarios check.
"""

import msgspec
from twisted.internet.task import deferLater
from twisted.web.resource import Resource
from twisted.web.server import Request

from bilberryring.http import AsyncResource, write_json


class EffectOrder(msgspec.Struct, frozen=True, kw_only=True):
    """The body of a call; times are in seconds."""

    reference: str
    delay_before: float = 0.0
    delay_after: float = 0.0
    answer_bytes: int = 0


class PlainServer:
    """Counts effects in memory; the service itself checks no keys."""

    def __init__(self, *, reactor):
        self._reactor = reactor
        self._effects: dict[str, int] = {}

    def resource(self) -> Resource:
        """Return the root of the site."""
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
