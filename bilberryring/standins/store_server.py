"""A simulated operators' store that is served over HTTP.

Readers use `GET /v1/kv-range` and `GET /v1/kv-watch`. Tests use `/control/...` to
write, to drop the history, to inject faults and to read the number of calls.
"""

import base64

import msgspec
from twisted.internet.task import deferLater
from twisted.web.resource import Resource
from twisted.web.server import Request

from bilberryring.http import AsyncResource, write_json
from bilberryring.standins.change_waiters import ChangeWaiters
from bilberryring.standins.operator_store import OperatorStore, StoreChange

ERA_HEADER = "Store-Era"
PAGE_ITEMS = 500
MILLISECONDS = 1_000.0


class StoreMode(msgspec.Struct, frozen=True, kw_only=True):
    """The faults that are injected into the store, and its page size.

    With `refusing`, reads are answered with status 503, also watches that wait; with
    `silent`, not at all: the answers that watches would get then are lost. Reads are
    answered `delay_seconds` later.
    """

    refusing: bool = False
    silent: bool = False
    delay_seconds: float = 0.0
    page_items: int = PAGE_ITEMS


class StoreServer:
    """Serves readers and the control calls of tests from one store."""

    def __init__(self, *, reactor):
        self._reactor = reactor
        self._store = OperatorStore()
        self._mode = StoreMode()
        self._waiters = ChangeWaiters(reactor=reactor)
        self._n_calls = 0
        self._copy = self._store.save()

    def resource(self) -> Resource:
        """Return the root resource of the HTTP interface."""
        root, reads, control = Resource(), Resource(), Resource()
        root.putChild(b"v1", reads)
        root.putChild(b"control", control)
        reads.putChild(b"kv-range", self._leaf(self._range, is_read=True))
        reads.putChild(b"kv-watch", self._leaf(self._watch, is_read=True))
        for name, handle in (
            (b"put", self._put),
            (b"remove", self._remove),
            (b"forget", self._drop_history),
            (b"save", self._save),
            (b"restore", self._restore),
            (b"mode", self._set_mode),
            (b"calls", self._get_call_count),
        ):
            control.putChild(name, self._leaf(handle, is_read=False))
        return root

    def _leaf(self, handle, *, is_read: bool) -> AsyncResource:
        async def guarded(request: Request) -> None:
            request.setHeader(ERA_HEADER, str(self._store.era))
            if is_read:
                self._n_calls += 1
            if is_read and self._mode.silent:
                return
            if is_read and self._mode.refusing:
                write_json(request, {"error": "busy"}, status=503)
                return
            if is_read and self._mode.delay_seconds:
                await deferLater(self._reactor, self._mode.delay_seconds)
            await handle(request)

        return AsyncResource(handle=guarded, on_fault=lambda error: None)

    async def _range(self, request: Request) -> None:
        items = self._store.items(
            _argument(request, b"prefix"), after=_argument(request, b"after")
        )
        page = items[: self._mode.page_items]
        body = {
            "items": [_encode_change(item) for item in page],
            "has_more": len(items) > len(page),
            "store_revision": self._store.revision,
        }
        write_json(request, body)

    async def _watch(self, request: Request) -> None:
        prefix = _argument(request, b"prefix")
        after = int(_argument(request, b"after") or 0)
        wait = int(_argument(request, b"wait_ms") or 0) / MILLISECONDS
        deadline = self._reactor.seconds() + wait
        closed: list[object] = []
        request.notifyFinish().addBoth(closed.append)
        while not closed:
            if self._mode.refusing:
                write_json(request, {"error": "busy"}, status=503)
                return
            changes = self._store.changes(prefix, after=after)
            if changes is None:
                write_json(request, {"error": "history is gone"}, status=410)
                return
            if changes or self._reactor.seconds() >= deadline:
                if self._mode.silent:
                    return
                body = {
                    "events": [_encode_change(change) for change in changes],
                    "store_revision": self._store.revision,
                }
                request.setHeader(ERA_HEADER, str(self._store.era))
                write_json(request, body)
                return
            await self._waiters.wait(deadline - self._reactor.seconds())

    async def _put(self, request: Request) -> None:
        key = _argument(request, b"key")
        revision = self._store.put(key, request.read_body())
        self._waiters.wake_all()
        write_json(request, {"revision": revision})

    async def _remove(self, request: Request) -> None:
        revision = self._store.remove(_argument(request, b"key"))
        self._waiters.wake_all()
        write_json(request, {"revision": revision})

    async def _drop_history(self, request: Request) -> None:
        self._store.drop_history()
        write_json(request, {"revision": self._store.revision})

    async def _save(self, request: Request) -> None:
        self._copy = self._store.save()
        write_json(request, {"revision": self._store.revision})

    async def _restore(self, request: Request) -> None:
        self._store.restore(self._copy)
        self._waiters.wake_all()
        write_json(request, {"revision": self._store.revision})

    async def _set_mode(self, request: Request) -> None:
        self._mode = msgspec.json.decode(request.read_body(), type=StoreMode)
        self._waiters.wake_all()
        write_json(request, self._mode)

    async def _get_call_count(self, request: Request) -> None:
        write_json(request, {"calls": self._n_calls})


def _encode_change(change: StoreChange) -> dict[str, object]:
    if change.value is None:
        return {"key": change.key, "revision": change.revision, "tombstone": True}
    return {
        "key": change.key,
        "revision": change.revision,
        "create_rev": change.created,
        "lease": 0,
        "value": base64.b64encode(change.value).decode(),
    }


def _argument(request: Request, name: bytes) -> str:
    return request.args.get(name, [b""])[0].decode()
