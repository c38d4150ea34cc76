"""A simulated platform that is served over HTTP.

Readers use `GET /v1/values/KEY`, `GET /v1/watch?prefix=&after=&wait=` and
`GET /v1/vms`. Each answer states the era of the store, in which its revisions count.
Tests use `/control/...` to write, to make the platform unavailable, slow or stale, to
return to an older copy, and to read the numbers of calls; bilberryring never calls it.
"""

from urllib.parse import unquote

import msgspec
from twisted.internet.task import deferLater
from twisted.web.resource import Resource
from twisted.web.server import Request

from bilberryring.adapters.platform_protocol import ListedVm
from bilberryring.http import AsyncResource, write_json
from bilberryring.platform.names import STORE_ERA
from bilberryring.standins.change_waiters import ChangeWaiters
from bilberryring.standins.platform_store import (
    CallLimiter,
    PlatformStore,
)

MAX_WAIT_SECONDS = 60.0


class PlatformMode(msgspec.Struct, frozen=True, kw_only=True):
    """The faults that are injected into the platform.

    With `down`, connections are closed without an answer. `stale_at` is the revision
    that readers see instead of the last one; it applies to all readers, or only to
    those named in `stale_readers`. `list_lag_seconds` is the age of the VM list.
    """

    down: bool = False
    delay_seconds: float = 0.0
    stale_at: int | None = None
    stale_readers: tuple[str, ...] = ()
    list_lag_seconds: float = 0.0


class CallCounts(msgspec.Struct, frozen=True, kw_only=True):
    """The number of calls that readers made; a watch counts as one call.

    `refused` counts the calls above the rate limit.
    """

    total: int
    refused: int
    peak_per_second: int
    by_reader: dict[str, int]


class PlatformServer:
    """Serves readers and the control calls of tests from one store."""

    def __init__(self, *, reactor):
        self._reactor = reactor
        self._store = PlatformStore()
        self._limiter = CallLimiter()
        self._calls_by_reader: dict[str, int] = {}
        self._mode = PlatformMode()
        self._waiters = ChangeWaiters(reactor=reactor)
        self._copy_revision = 0

    def resource(self) -> Resource:
        """Return the root resource of the HTTP interface."""
        root = Resource()
        reads = Resource()
        control = Resource()
        root.putChild(b"v1", reads)
        root.putChild(b"control", control)
        for name, handle in (
            (b"values", self._get_value),
            (b"watch", self._watch),
            (b"vms", self._list_vms),
        ):
            reads.putChild(name, self._leaf(handle, is_read=True))
        for name, handle in (
            (b"values", self._put_value),
            (b"mode", self._set_mode),
            (b"vms", self._set_vms),
            (b"counts", self._get_counts),
            (b"revision", self._get_revision),
            (b"save", self._save),
            (b"restore", self._restore),
        ):
            control.putChild(name, self._leaf(handle, is_read=False))
        return root

    def _leaf(self, handle, *, is_read: bool) -> AsyncResource:
        async def guarded(request: Request) -> None:
            request.setHeader(STORE_ERA, str(self._store.era))
            if is_read and not await self._admit(request):
                return
            await handle(request)

        return AsyncResource(handle=guarded, on_fault=lambda error: None)

    async def _admit(self, request: Request) -> bool:
        reader = _argument(request, b"reader", "")
        self._calls_by_reader[reader] = self._calls_by_reader.get(reader, 0) + 1
        is_admitted = self._limiter.admit(self._reactor.seconds())
        if self._mode.down:
            request.loseConnection()
            return False
        if self._mode.delay_seconds:
            await deferLater(self._reactor, self._mode.delay_seconds)
        if not is_admitted:
            write_json(request, {"error": "rate"}, status=429)
        return is_admitted

    def _visible_revision(self, request: Request) -> int | None:
        mode = self._mode
        if mode.stale_at is None:
            return None
        reader = _argument(request, b"reader", "")
        if mode.stale_readers and reader not in mode.stale_readers:
            return None
        return mode.stale_at

    async def _get_value(self, request: Request) -> None:
        key = _key_of(request)
        value = self._store.get(key, at=self._visible_revision(request))
        if value is None:
            write_json(request, {"error": "no such key"}, status=404)
            return
        request.setHeader(b"x-created", str(value.created).encode())
        request.setHeader(b"x-modified", str(value.modified).encode())
        request.setHeader(b"content-type", b"application/octet-stream")
        request.write(value.content)
        request.finish()

    async def _watch(self, request: Request) -> None:
        prefix = _argument(request, b"prefix", "")
        after = int(_argument(request, b"after", "0"))
        wait = min(float(_argument(request, b"wait", "0")), MAX_WAIT_SECONDS)
        closed: list[bool] = []
        request.notifyFinish().addBoth(closed.append)
        deadline = self._reactor.seconds() + wait
        era = self._store.era
        while not closed:
            answer = self._store.changes(
                prefix=prefix, after=after, at=self._visible_revision(request)
            )
            remaining = deadline - self._reactor.seconds()
            is_restored = self._store.era != era
            if answer.items or remaining <= 0 or self._mode.down or is_restored:
                request.setHeader(STORE_ERA, str(self._store.era))
                write_json(request, answer)
                return
            await self._waiters.wait(remaining)

    async def _list_vms(self, request: Request) -> None:
        lag = self._mode.list_lag_seconds
        vms = self._store.vms(now=self._reactor.seconds(), lag=lag)
        write_json(request, vms)

    async def _put_value(self, request: Request) -> None:
        revision = self._store.put(_key_of(request), request.read_body())
        self._waiters.wake_all()
        write_json(request, {"revision": revision})

    async def _save(self, request: Request) -> None:
        self._copy_revision = self._store.revision
        write_json(request, {"revision": self._copy_revision})

    async def _restore(self, request: Request) -> None:
        self._store.restore(self._copy_revision)
        self._waiters.wake_all()
        write_json(request, {"revision": self._store.revision})

    async def _set_mode(self, request: Request) -> None:
        self._mode = msgspec.json.decode(request.read_body(), type=PlatformMode)
        self._waiters.wake_all()
        write_json(request, self._mode)

    async def _set_vms(self, request: Request) -> None:
        vms = msgspec.json.decode(request.read_body(), type=tuple[ListedVm, ...])
        self._store.set_vms(vms, now=self._reactor.seconds())
        write_json(request, {"count": len(vms)})

    async def _get_counts(self, request: Request) -> None:
        counts = CallCounts(
            total=self._limiter.total,
            refused=self._limiter.refused,
            peak_per_second=self._limiter.peak,
            by_reader=self._calls_by_reader,
        )
        write_json(request, counts)

    async def _get_revision(self, request: Request) -> None:
        write_json(request, {"revision": self._store.revision})


def _key_of(request: Request) -> str:
    return unquote(b"/".join(request.postpath).decode())


def _argument(request: Request, name: bytes, default: str) -> str:
    return request.args.get(name, [default.encode()])[0].decode()
