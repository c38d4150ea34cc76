"""A stand-in for the platform's store: listing in pages, watches, a history.

It serves the two calls that gateways make, `GET /v1/kv-range` and `GET /v1/kv-watch`.
The case writes to it directly; the return of a write is the acknowledgement.
"""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class Store:
    """Items with one revision counter; thread-safe."""

    def __init__(self, host, *, page=500, answer_s=0.004):
        self.page = page
        self.answer_s = answer_s
        self.on_read = lambda caller, path, query: None
        self._changed = threading.Condition()
        self._items = {}
        self._history = []
        self._revision = 1
        self._compacted = 0
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self):
                store._answer(self)

            def log_message(self, *args):
                pass

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                """A reader that has closed its connection is no error."""

        self._server = Server((host, 0), Handler)
        self.address = "{}:{}".format(*self._server.server_address)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, key, value):
        """Write a JSON value; return the time of the acknowledgement."""
        return self._write(key, json.dumps(value).encode())

    def remove(self, key):
        """Remove a key; return the time of the acknowledgement."""
        return self._write(key, None)

    def _write(self, key, value):
        with self._changed:
            self._revision += 1
            event = {"key": key, "revision": self._revision}
            if value is None:
                event["tombstone"] = True
                self._items.pop(key, None)
            else:
                event["create_rev"] = self._items.get(key, event).get(
                    "create_rev", self._revision
                )
                event["lease"] = 0
                event["value"] = base64.b64encode(value).decode()
                self._items[key] = event
            self._history.append(event)
            self._changed.notify_all()
        return time.monotonic()

    def _answer(self, handler):
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        caller = handler.client_address[0]
        self.on_read(caller, url.path, query)
        if url.path == "/v1/kv-range":
            status, body = 200, self._range(query)
        elif url.path == "/v1/kv-watch":
            status, body = self._watch(query)
        else:
            status, body = 404, {}
        time.sleep(self.answer_s)
        content = json.dumps(body).encode()
        try:
            handler.send_response(status)
            handler.send_header("Content-Type", "application/json")
            handler.send_header("Content-Length", str(len(content)))
            handler.end_headers()
            handler.wfile.write(content)
        except OSError:
            handler.close_connection = True

    def _range(self, query):
        with self._changed:
            keys = sorted(
                key
                for key in self._items
                if key.startswith(query.get("prefix", ""))
                and key > query.get("after", "")
            )
            return {
                "items": [self._items[key] for key in keys[: self.page]],
                "has_more": len(keys) > self.page,
                "store_revision": self._revision,
            }

    def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000.0
        with self._changed:
            while True:
                if after < self._compacted:
                    return 410, {}
                events = [
                    event
                    for event in self._history
                    if event["revision"] > after and event["key"].startswith(prefix)
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "store_revision": self._revision}
                self._changed.wait(left)
