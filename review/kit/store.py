"""A stand-in of the platform's metadata store (PROTOCOL.md), which loses nothing."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from review.kit.http_parts import read_head, write_answer

ANSWER_SECONDS = 0.004
PAGE_ITEMS = 500


class Store:
    """Keeps items and their history; the operator and the servers write directly."""

    def __init__(self):
        self._items: dict[str, dict] = {}
        self._history: list[dict] = []
        self._revision = 1
        self._changed = asyncio.Event()
        self._server = None

    async def start(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, host, port)

    def put(self, key: str, value: object) -> None:
        self._revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        known = self._items.get(key)
        item = {
            "key": key,
            "value": text,
            "revision": self._revision,
            "create_rev": known["create_rev"] if known else self._revision,
            "lease": 0,
        }
        self._items[key] = item
        self._record(item)

    def remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._record({"key": key, "revision": self._revision, "tombstone": True})

    def _record(self, event: dict) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                await asyncio.sleep(ANSWER_SECONDS)
                await self._answer(head, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, head, writer) -> None:
        target = urlsplit(head.target)
        query = {name: values[0] for name, values in parse_qs(target.query).items()}
        prefix = query.get("prefix", "")
        status = 200
        if target.path == "/v1/kv-range":
            after = query.get("after", "")
            keys = sorted(
                key for key in self._items if key.startswith(prefix) and key > after
            )
            body = {
                "items": [self._items[key] for key in keys[:PAGE_ITEMS]],
                "has_more": len(keys) > PAGE_ITEMS,
                "store_revision": self._revision,
            }
        elif target.path == "/v1/kv-watch":
            body = await self._watch(prefix, query)
        elif target.path == "/v1/kv-key" and query.get("key") in self._items:
            body = self._items[query["key"]] | {"store_revision": self._revision}
        else:
            status, body = 404, {}
        headers = [("Content-Type", "application/json")]
        write_answer(writer, status, headers, json.dumps(body).encode())
        await writer.drain()

    async def _watch(self, prefix: str, query: dict) -> dict:
        after = int(query.get("after", "0"))
        clock = asyncio.get_running_loop()
        deadline = clock.time() + int(query.get("wait_ms", "0")) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = deadline - clock.time()
            if events or left <= 0:
                return {"events": events, "store_revision": self._revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass
