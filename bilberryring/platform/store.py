"""Reading the platform's store: a list and a watch for each prefix."""

import base64
from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from bilberryring.fleet import MILLISECONDS, PublishedItem
from bilberryring.http import HttpClient
from bilberryring.platform.names import RANGE_PATH, WATCH_PATH

READ_SECONDS = 2.0
"""Seconds after which a read without an answer counts as failed. Source: the
store answers in milliseconds."""
MAX_PAGES = 200
"""Pages of one list; more mean that the store does not end it."""


class StoreError(Exception):
    """The store gave no usable answer; the remedy is to read again later."""


class HistoryLost(StoreError):
    """The store no longer knows the changes asked for; list again."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """All items under a prefix, or the changes since a revision."""

    items: tuple[PublishedItem, ...]
    revision: int


class _Item(msgspec.Struct, kw_only=True):
    key: str
    revision: int
    value: str | None = None
    tombstone: bool = False


class _Range(msgspec.Struct, kw_only=True):
    items: tuple[_Item, ...]
    store_revision: int
    has_more: bool = False


class _Watch(msgspec.Struct, kw_only=True):
    events: tuple[_Item, ...]
    store_revision: int


class StoreClient:
    """Reads on behalf of one process; times are in seconds."""

    def __init__(self, *, client: HttpClient):
        self._client = client
        self._calls = 0

    @property
    def calls(self) -> int:
        """The calls made so far."""
        return self._calls

    async def list(self, prefix: str) -> Listing:
        """Return all items under a prefix.

        Pages are not one snapshot, so the revision is that of the first page:
        a watch from there tells every change that a later page may have missed.
        """
        items: list[PublishedItem] = []
        revision: int | None = None
        after = ""
        for _ in range(MAX_PAGES):
            page = await self._page(prefix, after)
            revision = page.store_revision if revision is None else revision
            items.extend(_published(item) for item in page.items)
            if not page.has_more or not page.items:
                return Listing(items=tuple(items), revision=revision)
            after = page.items[-1].key
        raise StoreError("store_endless: too many pages. Remedy: list again later")

    async def watch(self, prefix: str, *, after: int, wait: float) -> Listing:
        """Return the changes after a revision; wait for one."""
        path = f"{WATCH_PATH}?prefix={quote(prefix, safe='')}&after={after}"
        path += f"&wait_ms={int(wait * MILLISECONDS)}"
        body = await self._get(path, timeout=wait + READ_SECONDS)
        answer = _decode(body, _Watch)
        return Listing(
            items=tuple(_published(item) for item in answer.events),
            revision=max(after, answer.store_revision),
        )

    async def _page(self, prefix: str, after: str) -> _Range:
        path = f"{RANGE_PATH}?prefix={quote(prefix, safe='')}"
        if after:
            path += f"&after={quote(after, safe='')}"
        return _decode(await self._get(path, timeout=READ_SECONDS), _Range)

    async def _get(self, path: str, *, timeout: float) -> bytes:
        self._calls += 1
        try:
            answer = await self._client.request("GET", path, timeout=timeout)
        except Exception as error:
            # The library raises many kinds for a call that failed.
            raise StoreError(f"store_unreachable: {error!r}. Remedy: read again later")
        if answer.status == 410:
            raise HistoryLost("store_history_lost: 410. Remedy: list again")
        if answer.status != 200:
            raise StoreError(
                f"store_refused: {answer.status}. Remedy: read again later"
            )
        return answer.body


def _decode(body: bytes, shape):
    try:
        return msgspec.json.decode(body, type=shape)
    except msgspec.DecodeError as error:
        raise StoreError(f"store_malformed: {error}. Remedy: read again later")


def _published(item: _Item) -> PublishedItem:
    if item.tombstone or item.value is None:
        return PublishedItem(key=item.key, revision=item.revision, value=None)
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        value = b""
    return PublishedItem(key=item.key, revision=item.revision, value=value)
