"""Keys and values of another writer among the published sets."""

import io

import msgspec
import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from bilberryring.adapters import PlatformReader, parse_set_key, set_key
from bilberryring.http import HttpResponse
from bilberryring.objects import build_set, encode_manifest, render_set
from bilberryring.process.platform_watch import START_GRACE_SECONDS, PlatformWatch
from bilberryring.process.set_keeper import SetKeeper
from bilberryring.telemetry import EventLog

ODD_KEYS = [
    "set/",
    "set/-",
    "set/" + "9" * 5_000,
    "set/" + "9" * 400 + "-a",
    "set/" + "9" * 19 + "-a",
    "set/\u00b2-a",
    "set/\u0661-a",
    "set/000000000009-a b",
    "set/000000000009-a\r\nX: y",
    "set/000000000009-a?reader=b",
    "set/000000000009-a#b",
    "set/000000000009-a/../b",
    "set/000000000009-\u6771",
]
ODD_VALUES = [
    b"",
    b"\xff",
    b"[" * 200_000,
    b'{"number":9,"parts":[' + b"[" * 200_000,
    b'{"number":' + b"9" * 400 + b',"parts":[]}',
    b'{"number":-1,"parts":[]}',
    b'{"number":1e400,"parts":[]}',
    b'{"number":9,"parts":[{"kind":"models","digest":"../x y","size":-1}]}',
]


class Client:
    """Answers calls from the items that were put, by key."""

    def __init__(self, items):
        self._items = items

    async def request(self, method, path, **fields):
        path.encode("ascii")
        assert not set(path) & set(" \r\n#"), path
        target = path.split("?")[0]
        if target == "/v1/watch":
            after = int(path.split("after=")[1].split("&")[0])
            items = [
                {"key": key, "created": revision, "modified": revision}
                for revision, key in enumerate(self._items, 1)
                if key.startswith("set/") and revision > after
            ]
            answer = {"revision": len(self._items), "items": items}
            body = msgspec.json.encode(answer)
            return await succeed(self._answer(200, body))
        value = self._items.get(target.removeprefix("/v1/values/"))
        status = 404 if value is None else 200
        return await succeed(self._answer(status, value or b""))

    def _answer(self, status, body):
        headers = type("Headers", (), {"getRawHeaders": lambda *_: [b"1"]})()
        return HttpResponse(status=status, headers=headers, body=body)


def read_with(odd_items):
    """Return the number in force after a read, and the log, beside odd items."""
    rendered = render_set(build_set(()), predecessor=None)
    manifest = rendered.manifest
    items = dict(odd_items)
    items[set_key(manifest.number, manifest.digest)] = encode_manifest(manifest)
    items |= {f"part/{digest}": part for digest, part in rendered.parts.items()}
    clock, output = Clock(), io.StringIO()
    log = EventLog(process="p", role="entry", stream=output)
    keeper = SetKeeper(reactor=clock, log=log, on_in_force=lambda objects: None)
    watch = PlatformWatch(
        reactor=clock,
        platform=PlatformReader(client=Client(items), reader="p"),
        log=log,
        keeper=keeper,
        is_reader=lambda: True,
        announced_number=lambda: 0,
    )
    clock.advance(START_GRACE_SECONDS)
    for _ in range(3):
        Deferred.fromCoroutine(watch.read())
        clock.pump([0.1] * 5)
    return keeper, output.getvalue()


@pytest.mark.parametrize("key", ODD_KEYS, ids=lambda key: repr(key[:24]))
def test_a_set_is_followed_beside_a_key_that_is_none(key):
    keeper, output = read_with({key: b"{}"})
    assert keeper.sets.number == 1
    assert keeper.highest_seen < 2**63
    assert "internal_fault" not in output


@pytest.mark.parametrize("value", ODD_VALUES, ids=lambda value: repr(value[:24]))
def test_a_set_is_followed_beside_an_odd_manifest(value):
    keeper, output = read_with({"set/000000000009-a": value})
    assert keeper.sets.number == 1
    assert "internal_fault" not in output
    assert output.count("set_refused") <= 1
    assert len(output) < 2_000


@pytest.mark.parametrize("key", ODD_KEYS, ids=lambda key: repr(key[:24]))
def test_a_key_of_another_form_has_no_number(key):
    assert parse_set_key(key) is None


def test_a_key_that_operators_write_has_its_number():
    assert parse_set_key(set_key(7, "0123456789abcdef0123")) == 7
