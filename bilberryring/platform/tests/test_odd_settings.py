"""A settings file that cannot be read while the gateway runs."""

import pytest

from bilberryring.platform.settings import decode_settings
from bilberryring.standins.gateway_site import MODEL_SERVICE
from bilberryring.standins.scripted_endpoint import (
    answer_all,
    chunk,
    event,
    stream_head,
)
from bilberryring.testing.processes import pause

RELOAD_SECONDS = 0.6
MINIMAL_SETTINGS = (
    'node = "n"\nip = "127.0.0.1"\nzone = "z"\n'
    '[listen]\nfront = "127.0.0.1:1"\n[platform]\naddress = "127.0.0.1:2"\n'
)
WHOLE_STREAM = b"".join(event(number) for number in range(1, 9))
ODD_TEXTS = {
    "empty": b"",
    "not UTF-8": b"\xff\xfe\x00",
    "no TOML": b"node = ",
    "nested": b"seeds = " + b"[" * 100_000,
    "long number": b"node = " + b"9" * 10_000,
    "table of tables": b"[listen]\nfront = 1\n[zones]\nnorth = [{}]\n",
    "other kinds": b"node = 1\nip = []\nseeds = {a = 1}\ninternal_ports = 'x'\n",
}


def send_slowly(request, connection):
    connection.sendall(stream_head(request.request_id))
    for number in range(1, 9):
        connection.sendall(chunk(event(number)))
        pause(RELOAD_SECONDS / 4)
    connection.sendall(chunk(b""))


@pytest.mark.parametrize("text", ODD_TEXTS.values(), ids=ODD_TEXTS)
def test_a_settings_file_that_cannot_be_read_takes_no_answer_from_a_caller(site, text):
    site.add_endpoint("a", answer_all)
    site.add_endpoint("b", send_slowly, service=MODEL_SERVICE)
    site.start_gateway()
    process = site.process("gateway-1")
    connection = site.connect()
    assert site.call("/look/", connection=connection).status == 200
    site.write_settings(text)
    process.send_sighup()
    answer = site.call("/chat/")
    assert (answer.body, answer.is_cut) == (WHOLE_STREAM, False)
    assert site.call("/look/", connection=connection).status == 200
    assert site.log_events(event="settings_refused")
    assert not site.log_events(event="internal_fault")
    process.terminate()
    assert process.wait(10.0) == 0


@pytest.mark.parametrize(
    ("table", "memory_bytes", "max_descriptors"),
    [
        ("", None, None),
        ("[limits]\n", None, None),
        ("[limits]\nmemory_mb = 152\nmax_fds = 1535\n", 152_000_000, 1_535),
        ("[limits]\nmemory_mb = 0.5\n", 500_000, None),
        ("[limits]\nmemory_mb = -1\nmax_fds = -1\n", 0, 0),
        ("[limits]\nmemory_mb = nan\n", 0, None),
        ("[limits]\nmemory_mb = inf\n", 0, None),
        ("[limits]\nmemory_mb = 1e308\n", 0, None),
    ],
)
def test_limits_of_the_machine_that_are_missing_or_implausible_stop_no_gateway(
    table, memory_bytes, max_descriptors
):
    decoded = decode_settings(MINIMAL_SETTINGS + table)
    assert (decoded.memory_bytes, decoded.max_descriptors) == (
        memory_bytes,
        max_descriptors,
    )
