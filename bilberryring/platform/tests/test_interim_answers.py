"""Interim answers before an answer: up to the bound it is whole, above it unknown."""

import pytest

from bilberryring.gateway.endpoint_connection import MAX_SKIPPED_HEADS
from bilberryring.standins.scripted_endpoint import answer_all
from bilberryring.testing.processes import pause

INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
EVERY_SECONDS = 0.03
PATHS = ("/look/", "/charge/")
UNKNOWN_STATUSES = (502, 504)


def answer_after(n_interim, every, runs):
    """Return a script that counts its runs and answers after interim answers."""

    def answer(request, connection):
        runs.append(request.target)
        for _ in range(n_interim if every else 0):
            connection.sendall(INTERIM)
            pause(every)
        if not every:
            connection.sendall(INTERIM * n_interim)
        answer_all(request, connection)

    return answer


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("every", [0.0, EVERY_SECONDS], ids=["at once", "slowly"])
def test_as_many_interim_answers_as_allowed_cost_no_answer(site, path, every):
    runs = []
    site.add_endpoint("a", answer_after(MAX_SKIPPED_HEADS, every, runs))
    site.start_gateway()
    for _ in range(2):
        answer = site.call(path, body=b"q")
        assert (answer.status, answer.body, answer.is_cut) == (200, b"ok q", False)
    assert runs == [path] * 2


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("every", [0.0, EVERY_SECONDS], ids=["at once", "slowly"])
def test_more_interim_answers_are_not_said_not_to_have_run(site, path, every):
    runs = []
    site.add_endpoint("a", answer_after(MAX_SKIPPED_HEADS + 1, every, runs))
    site.start_gateway()
    answer = site.call(path, body=b"q")
    assert answer.status in UNKNOWN_STATUSES
    assert b'"unknown"' in answer.body
    assert b"not_run" not in answer.body
    assert path in runs
    if path == "/charge/":
        pause(0.3)
        assert runs == [path]


@pytest.mark.parametrize("every", [0.0, EVERY_SECONDS], ids=["at once", "slowly"])
def test_a_look_up_is_repeated_elsewhere_after_more_interim_answers(site, every):
    runs = []
    site.add_endpoint("a", answer_after(MAX_SKIPPED_HEADS + 1, every, runs))
    site.add_endpoint("b", answer_all)
    site.start_gateway()
    for _ in range(64):
        answer = site.call("/look/", body=b"q")
        assert (answer.status, answer.body, answer.is_cut) == (200, b"ok q", False)
        if runs:
            break
    assert runs
