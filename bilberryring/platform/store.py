"""A client of the platform's key-value store, which lists and watches prefixes."""

import base64
from dataclasses import dataclass
from typing import Annotated
from urllib.parse import quote

import msgspec

from bilberryring.core import MalformedJsonError, decode_json
from bilberryring.fleet import (
    MAX_REVISION,
    MS_PER_SECOND,
    EraOrder,
    PublishedItem,
    compare_era,
    parse_era,
)
from bilberryring.http import HttpClient, HttpResponse
from bilberryring.platform.names import RANGE_PATH, STORE_ERA, WATCH_PATH

READ_TIMEOUT_SECONDS = 2.0
"""Seconds without a response after which a read counts as failed.

The store normally responds within milliseconds."""
MAX_LIST_BYTES = 32 * 1024 * 1024
"""Bytes of all pages of one list."""
MAX_PAGES = 200
"""The most pages read for one list, in case the store never ends it."""
MAX_DETAIL_CHARS = 200
"""Characters of a header that an error keeps."""


class StoreError(Exception):
    """The store gave no usable response; the remedy is to read again later."""


class HistoryLost(StoreError):
    """The store no longer holds the requested changes; the remedy is to list again."""


class StoreRestored(HistoryLost):
    """The store came back from an older copy; the remedy is to list again."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """All items under a prefix, or the changes after a revision.

    A watch that continues after `revision` misses no change. Revisions count only
    within their `era`. `n_rewritten` is how many items of a list were written again
    since they were created.
    """

    items: tuple[PublishedItem, ...]
    revision: int
    era: int = 0
    n_rewritten: int = 0


_Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]


class _Item(msgspec.Struct, kw_only=True):
    key: str
    revision: _Revision
    create_rev: _Revision = 0
    value: str | None = None
    tombstone: bool = False


class _RangePage(msgspec.Struct, kw_only=True):
    items: tuple[_Item, ...]
    store_revision: _Revision
    has_more: bool = False


class _WatchResponse(msgspec.Struct, kw_only=True):
    events: tuple[_Item, ...]
    store_revision: _Revision


class StoreClient:
    """Reads the store for one process; times are in seconds."""

    def __init__(self, *, client: HttpClient):
        self._client = client
        self._calls = 0

    @property
    def calls(self) -> int:
        """The number of calls made so far, failed ones included."""
        return self._calls

    async def list(self, prefix: str) -> Listing:
        """Return all items under a prefix.

        The pages are not one snapshot. The revision is therefore that of the first
        page, and a watch from there reports every change that a later page may have
        missed.
        """
        items: list[PublishedItem] = []
        revision: int | None = None
        era: int | None = None
        after = ""
        n_bytes = n_rewritten = 0
        for _ in range(MAX_PAGES):
            response = await self._read_page(prefix, after)
            n_bytes += len(response.body)
            if n_bytes > MAX_LIST_BYTES:
                break
            page, page_era = _decode(response.body, _RangePage), _era_of(response)
            revision = page.store_revision if revision is None else revision
            era = page_era if era is None else era
            _check_era(page_era, expected=era)
            items.extend(_to_published_item(item) for item in page.items)
            n_rewritten += sum(item.create_rev != item.revision for item in page.items)
            if not page.has_more or not page.items:
                return Listing(
                    items=tuple(items),
                    revision=revision,
                    era=era,
                    n_rewritten=n_rewritten,
                )
            after = page.items[-1].key
        raise StoreError(
            "store_endless: the list is too long. Remedy: list again later"
        )

    async def watch(
        self, prefix: str, *, after: int, era: int, wait: float, patience: float
    ) -> Listing:
        """Return the changes after a revision, waiting up to `wait` seconds for one.

        The call counts as failed if there is no response `patience` seconds later.
        Raises `StoreRestored` if the store is in another era than the revision.
        """
        path = f"{WATCH_PATH}?prefix={quote(prefix, safe='')}&after={after}"
        path += f"&wait_ms={int(wait * MS_PER_SECOND)}"
        response = await self._get(path, timeout=wait + patience)
        _check_era(_era_of(response), expected=era)
        changes = _decode(response.body, _WatchResponse)
        return Listing(
            items=tuple(_to_published_item(item) for item in changes.events),
            revision=max(after, changes.store_revision),
            era=era,
        )

    async def _read_page(self, prefix: str, after: str) -> HttpResponse:
        path = f"{RANGE_PATH}?prefix={quote(prefix, safe='')}"
        if after:
            path += f"&after={quote(after, safe='')}"
        return await self._get(path, timeout=READ_TIMEOUT_SECONDS)

    async def _get(self, path: str, *, timeout: float) -> HttpResponse:
        self._calls += 1
        try:
            response = await self._client.request("GET", path, timeout=timeout)
        except Exception as error:
            # The HTTP client raises many types of exceptions for a failed call.
            raise StoreError(f"store_unreachable: {error!r}. Remedy: read again later")
        if response.status == 410:
            raise HistoryLost("store_history_lost: status 410. Remedy: list again")
        if response.status != 200:
            raise StoreError(
                f"store_refused: status {response.status}. Remedy: read again later"
            )
        return response


def _era_of(response: HttpResponse) -> int:
    """Return the era of the store; 0 if it states none."""
    stated = response.header(STORE_ERA)
    era = parse_era(stated)
    if era is None:
        detail = repr(stated[:MAX_DETAIL_CHARS])
        raise StoreError(f"store_malformed: era {detail}. Remedy: read again later")
    return era


def _check_era(era: int, *, expected: int) -> None:
    if compare_era(era, known=expected) is not EraOrder.SAME:
        raise StoreRestored(
            f"store_restored: era {era} instead of {expected}. Remedy: list again"
        )


def _decode(body: bytes, struct_type):
    try:
        return decode_json(body, struct_type)
    except MalformedJsonError as error:
        raise StoreError(f"store_malformed: {error}. Remedy: read again later")


def _to_published_item(item: _Item) -> PublishedItem:
    if item.tombstone or item.value is None:
        return PublishedItem(key=item.key, revision=item.revision, value=None)
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        value = b""
    return PublishedItem(key=item.key, revision=item.revision, value=value)
