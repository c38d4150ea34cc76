"""Ends of the answers to memory orders."""

from io import StringIO
from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from bilberryring.execution import AnswerEnd, Close, Framing, Place, Proof, proof_of_end
from bilberryring.gateway.messages import (
    MemoryOrder,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from bilberryring.gateway.reservations import ReservationManager
from bilberryring.telemetry import EventLog

ENDS = [
    AnswerEnd(framing=framing, close=close, place=Place.IN_BODY)
    for framing in Framing
    for close in Close
]


class AnsweringPool:
    """Hands out one connection, on which each order gets the same answer."""

    def __init__(self, events):
        self._events = list(events)

    async def acquire(self, address, *, max_idle, timeout):
        return await succeed(SimpleNamespace(send=lambda **request: self))

    async def receive(self, *, timeout):
        return await succeed(self._events.pop(0))

    def abort(self):
        pass


@pytest.mark.parametrize("end", ENDS, ids=str)
def test_an_order_counts_as_answered_unless_its_answer_is_broken_off(end):
    events = [
        ResponseHead(status=200, reason=b"", headers=(), framing=end.framing),
        ResponseData(b"{}"),
        ResponseEnd(framing=end.framing, close=end.close),
    ]
    manager = ReservationManager(
        reactor=Clock(),
        pool=AnsweringPool(events),
        codec=SimpleNamespace(encode_order=lambda order: (b"/", (), b"{}")),
        log=EventLog(process="g", role="gateway", stream=StringIO()),
        owner_id="o",
    )
    endpoint = SimpleNamespace(id="a", address="127.0.0.1:1")
    order = MemoryOrder(endpoint="a", reservation_id="r", tokens=5)
    statuses = []
    sending = Deferred.fromCoroutine(manager.send_order(endpoint, order))
    sending.addCallback(statuses.append)
    is_broken_off = proof_of_end(end) is Proof.BROKEN_OFF
    assert statuses == [None if is_broken_off else 200]
