"""Entries of another writer in the platform's VM list."""

import pytest
from twisted.internet.defer import Deferred

from bilberryring.adapters import PlatformError, PlatformReader
from bilberryring.execution import Close, Framing
from bilberryring.testing.memory_endpoint import MemoryEndpoint

GOOD = (
    b'{"name":"vm-1","role":"sidecar","address":"127.0.0.1:9","failure_domain":"north"}'
)
ODD_ENTRIES = [
    b"7",
    b"null",
    b"{}",
    b"[[]]",
    b'"\xc3"',
    GOOD.replace(b"127.0.0.1:9", b""),
    GOOD.replace(b"127.0.0.1:9", b"127.0.0.1"),
    GOOD.replace(b"127.0.0.1:9", b"127.0.0.1:0"),
    GOOD.replace(b"127.0.0.1:9", b"127.0.0.1:65536"),
    GOOD.replace(b"127.0.0.1:9", b"127.0.0.1:" + b"9" * 5_000),
    GOOD.replace(b"127.0.0.1:9", "127.0.0.1:8\u00b2".encode()),
    GOOD.replace(b"127.0.0.1:9", b"[::1]:9"),
    GOOD.replace(b"127.0.0.1:9", b"name:9"),
    GOOD.replace(b'"127.0.0.1:9"', b"9"),
    GOOD.replace(b"vm-1", b""),
    GOOD.replace(b"vm-1", b"a b"),
    GOOD.replace(b"vm-1", b"n" * 1_000_000),
    GOOD.replace(b'"vm-1"', b"1e400"),
]


def list_vms(body):
    endpoint = MemoryEndpoint()
    results = []
    reader = PlatformReader(client=endpoint.client, reader="p")
    Deferred.fromCoroutine(reader.list_vms()).addBoth(results.append)
    endpoint.answer(body, framing=Framing.LENGTH, close=Close.AT_END)
    return results[0]


@pytest.mark.parametrize("odd", ODD_ENTRIES, ids=lambda odd: repr(odd[:50]))
def test_an_odd_entry_spoils_no_other(odd):
    listed = list_vms(b"[" + b",".join([odd, GOOD, odd]) + b"]")
    assert [vm.name for vm in listed.vms] == ["vm-1"]
    assert listed.n_unreadable == 2


@pytest.mark.parametrize("body", [b"", b"{}", b"[" * 100_000, b"[" + GOOD])
def test_a_list_that_cannot_be_read_is_an_error(body):
    assert isinstance(list_vms(body).value, PlatformError)
