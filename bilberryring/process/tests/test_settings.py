"""Settings: every mistake is a coded error that names the key."""

import json
import socket
import subprocess
import sys
import time

import pytest
from twisted.internet.task import Clock

from bilberryring.core import SettingsError, use_monotonic_time
from bilberryring.process.settings import EntrySettings, parse_settings

GOOD = {
    "process": "entry-1",
    "failure_domain": "valpo-a",
    "operator_address": "127.0.0.1:9001",
    "caller_address": "127.0.0.1:9000",
    "platform_url": "http://127.0.0.1:9002",
}


def test_comments_are_allowed():
    text = "// an entry\n" + json.dumps(GOOD)[:-1] + ", /* seconds */ drain_seconds: 5}"
    assert parse_settings(text, EntrySettings).drain_seconds == 5


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"colour": 1}, "colour"),
        ({"process": 3}, "process"),
        ({"caller_address": "localhost:80"}, "caller_address"),
        ({"caller_address": "127.0.0.1:99999"}, "caller_address"),
        ({"platform_url": "https://platform"}, "platform_url"),
        ({"drain_seconds": "5 s"}, "drain_seconds"),
        ({"drain_seconds": -1}, "drain_seconds"),
        ({"log_level": "loud"}, "log_level"),
    ],
)
def test_each_mistake_names_its_key(change, key):
    with pytest.raises(SettingsError) as caught:
        parse_settings(json.dumps(GOOD | change), EntrySettings)
    assert caught.value.key == key
    assert "Remedy" in str(caught.value)


def test_missing_key_and_broken_json_are_named():
    short = {key: value for key, value in GOOD.items() if key != "process"}
    with pytest.raises(SettingsError) as caught:
        parse_settings(json.dumps(short), EntrySettings)
    assert caught.value.key == "process"
    with pytest.raises(SettingsError):
        parse_settings("{", EntrySettings)


def test_bad_settings_end_the_daemon_with_status_2(tmp_path):
    path = tmp_path / "entry.json5"
    path.write_text(json.dumps(GOOD | {"colour": 1}))
    command = [sys.executable, "-m", "bilberryring.daemon", "entry"]
    ended = subprocess.run(
        [*command, "--settings", str(path)], capture_output=True, text=True
    )
    assert ended.returncode == 2
    assert "settings_invalid: colour" in ended.stderr


def test_a_port_in_use_is_named(tmp_path):

    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        path = tmp_path / "entry.json5"
        path.write_text(json.dumps(GOOD | {"caller_address": address}))
        command = [sys.executable, "-m", "bilberryring.daemon", "entry"]
        ended = subprocess.run(
            [*command, "--settings", str(path)], capture_output=True, text=True
        )
    assert ended.returncode == 2
    assert "address_in_use: caller_address" in ended.stderr


def test_time_does_not_follow_the_wall_clock(monkeypatch):
    clock = Clock()
    use_monotonic_time(clock)
    before = clock.seconds()
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert 0.0 <= clock.seconds() - before < 60.0
