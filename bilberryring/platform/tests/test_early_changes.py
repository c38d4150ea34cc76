"""A settings file that changes while a gateway starts, without any signal."""

import json
import os

import pytest

from bilberryring.platform.names import SETTINGS_VARIABLE
from bilberryring.standins.loopback import LoopbackNetwork
from bilberryring.testing.processes import ManagedProcess, wait_until

START_SECONDS = 20.0
IN_FORCE_SECONDS = 2.0
OLD_SEED, NEW_SEED = "127.0.0.2", "127.0.0.3"


def settings_text(host, seed):
    return (
        f'node = "g"\nip = "{host}"\nzone = "north"\nregion = "here"\n'
        f'internal_ports = [20010, 20019]\nseeds = ["{seed}:1"]\n'
        f'[zones]\nnorth = "here"\n[listen]\nfront = "{host}:20080"\n'
        f'ready = "{host}:20081"\n[platform]\naddress = "{host}:1"\n'
    )


@pytest.fixture
def network():
    with LoopbackNetwork() as network:
        yield network


def test_a_change_just_after_the_read_of_the_settings_is_taken(
    network, tmp_path, monkeypatch
):
    host = network.host(1)
    path, changed = tmp_path / "settings", tmp_path / "changed"
    changed.write_text(settings_text(host, NEW_SEED))
    # The gateway reads a pipe until it is closed, so that the change comes after it. It
    # reads the file twice: to open its listener, and then all settings.
    pipe_of_all = tmp_path / "all"
    for pipe in (path, pipe_of_all):
        os.mkfifo(pipe)
        os.utime(pipe, (1.0, 1.0))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    process = ManagedProcess(
        name="gateway", arguments=["bilberryring.platform.process"], directory=tmp_path
    )
    output = tmp_path / "gateway.out"

    def serve_read(following):
        """Let one read end, with another file for the next one."""
        writers = []

        def is_read():
            try:
                writers.append(os.open(path, os.O_WRONLY | os.O_NONBLOCK))
            except OSError:
                assert process.is_running, process.log_text
            return writers

        wait_until(is_read, START_SECONDS, "a read of the settings")
        os.write(writers[0], settings_text(host, OLD_SEED).encode())
        following.rename(path)
        os.close(writers[0])

    def seeds():
        lines = [json.loads(line) for line in output.read_text().splitlines()]
        return [line["seeds"] for line in lines if line["event"] == "settings_reloaded"]

    try:
        serve_read(pipe_of_all)
        serve_read(changed)
        wait_until(
            lambda: "process_started" in output.read_text(), START_SECONDS, "a start"
        )
        wait_until(seeds, IN_FORCE_SECONDS, "the change to be read")
        assert seeds() == [[NEW_SEED]]
    finally:
        process.kill()
