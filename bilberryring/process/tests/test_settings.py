"""Checks of the settings: each mistake raises an error that names its key."""

import json
import socket
import subprocess
import sys
import time

import pytest
from twisted.internet.task import Clock

from bilberryring.core import SettingsError, use_monotonic_time
from bilberryring.process.settings import EntrySettings, parse_settings

VALID = {
    "process": "entry-1",
    "failure_domain": "valpo-a",
    "operator_address": "127.0.0.1:9001",
    "caller_address": "127.0.0.1:9000",
    "platform_url": "http://127.0.0.1:9002",
}


def test_comments_are_allowed():
    text = (
        "// an entry\n" + json.dumps(VALID)[:-1] + ", /* seconds */ drain_seconds: 5}"
    )
    assert parse_settings(text, EntrySettings).drain_seconds == 5


def test_limits_of_the_machine_may_be_missing_or_implausible():
    for limits, memory_bytes in (
        ({}, None),
        ({"memory_mb": None}, None),
        ({"memory_mb": 152, "max_descriptors": 1_535}, 152_000_000),
        ({"memory_mb": -1, "max_descriptors": -1}, 0),
    ):
        decoded = parse_settings(json.dumps(VALID | limits), EntrySettings)
        assert decoded.memory_bytes == memory_bytes
        assert decoded.max_descriptors == limits.get("max_descriptors")


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
    with pytest.raises(SettingsError) as error_info:
        parse_settings(json.dumps(VALID | change), EntrySettings)
    assert error_info.value.key == key
    assert "Remedy" in str(error_info.value)


def test_a_missing_key_and_malformed_json_are_reported():
    incomplete = {key: value for key, value in VALID.items() if key != "process"}
    with pytest.raises(SettingsError) as error_info:
        parse_settings(json.dumps(incomplete), EntrySettings)
    assert error_info.value.key == "process"
    with pytest.raises(SettingsError):
        parse_settings("{", EntrySettings)


def test_invalid_settings_end_the_daemon_with_status_2(tmp_path):
    path = tmp_path / "entry.json5"
    path.write_text(json.dumps(VALID | {"colour": 1}))
    command = [sys.executable, "-m", "bilberryring.daemon", "entry"]
    completed = subprocess.run(
        [*command, "--settings", str(path)], capture_output=True, text=True
    )
    assert completed.returncode == 2
    assert "settings_invalid: colour" in completed.stderr


def test_the_key_of_an_address_in_use_is_named(tmp_path):

    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        path = tmp_path / "entry.json5"
        path.write_text(json.dumps(VALID | {"caller_address": address}))
        command = [sys.executable, "-m", "bilberryring.daemon", "entry"]
        completed = subprocess.run(
            [*command, "--settings", str(path)], capture_output=True, text=True
        )
    assert completed.returncode == 2
    assert "address_in_use: caller_address" in completed.stderr


def test_time_does_not_follow_the_wall_clock(monkeypatch):
    clock = Clock()
    use_monotonic_time(clock)
    before = clock.seconds()
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert 0.0 <= clock.seconds() - before < 60.0
