"""Answers of a plain service that end with their connection, through an entry."""

import socket

import pytest

from bilberryring.scenarios.tests.test_lost_answers import (
    CALLS,
    HEAD,
    Scripted,
    count_bookings,
)
from bilberryring.standins.scripted_endpoint import chunk
from bilberryring.testing.processes import pause

EXIT_SECONDS = 15.0
WHOLE = (201, chunk(b"{}") + chunk(b""))


@pytest.fixture
def scripted():
    scripted = Scripted()
    try:
        yield scripted.start()
    finally:
        scripted.stop()


def answer_unmarked(request, connection):
    connection.sendall(HEAD + b"\r\n{}")
    pause(0.05)
    connection.shutdown(socket.SHUT_RDWR)


@pytest.mark.parametrize("call", CALLS)
def test_a_whole_answer_that_ends_with_its_connection_is_not_lost(scripted, call):
    n_before = count_bookings(scripted)
    scripted.service.set_script(answer_unmarked)
    assert CALLS[call](scripted) == WHOLE
    assert count_bookings(scripted) == n_before + 1


@pytest.mark.parametrize("call", CALLS)
def test_a_part_of_an_answer_of_a_service_that_ends_is_not_taken_for_whole(
    scripted, call
):
    def end_process(request, connection):
        connection.sendall(HEAD + b"\r\n{")
        scripted.service.stop_listening()
        connection.shutdown(socket.SHUT_RDWR)

    scripted.service.set_script(end_process)
    status, body = CALLS[call](scripted)
    assert status == 502
    assert b'"outcome":"unknown"' in body


@pytest.mark.parametrize("role", ["entry", "sidecar"])
@pytest.mark.parametrize("call", CALLS)
def test_a_whole_answer_that_ends_with_its_connection_is_not_lost_at_a_stop(
    scripted, call, role
):
    fleet = scripted.fleet
    name = "entry-1" if role == "entry" else f"sidecar-{fleet.services[0]}"
    process = fleet.process(name)

    def stop_and_answer(request, connection):
        process.terminate()
        pause(0.3)
        answer_unmarked(request, connection)

    scripted.service.set_script(stop_and_answer)
    assert CALLS[call](scripted) == WHOLE
    assert process.wait(EXIT_SECONDS) == 0
