"""Held answers wait while callers do not read, or while very many are held."""

import pytest

from bilberryring.gateway.held_answers import (
    MAX_HELD_BYTES,
    MAX_SHORT_BYTES,
    SHORT_ANSWER_BYTES,
    HeldAnswers,
)

READ_BYTES = 64 * 1024


class Response:
    """A response that records whether it is read."""

    is_read = True

    def pause(self):
        self.is_read = False

    def resume(self):
        self.is_read = True


class Site:
    """Held answers, and whether callers leave too much unread."""

    def __init__(self):
        self.is_unread_too_much = False
        self.counts = []
        self.answers = HeldAnswers(
            on_change=self.counts.append, must_wait=lambda: self.is_unread_too_much
        )

    def begin(self):
        response = Response()
        return response, self.answers.begin(response)


@pytest.fixture
def site():
    return Site()


@pytest.mark.parametrize("n_bytes", [READ_BYTES, 4 * SHORT_ANSWER_BYTES])
def test_no_answer_is_read_on_while_callers_do_not_read(site, n_bytes):
    """Answers of 2 MB, one after the other, filled the memory within a second."""
    response, answer = site.begin()
    site.is_unread_too_much = True
    answer.add(n_bytes)
    assert not response.is_read
    site.answers.resume()
    assert not response.is_read
    site.is_unread_too_much = False
    site.answers.resume()
    assert response.is_read


def test_an_answer_that_ends_while_callers_do_not_read_is_released(site):
    response, answer = site.begin()
    site.is_unread_too_much = True
    answer.add(READ_BYTES)
    answer.release()
    assert response.is_read
    assert site.answers.n_bytes == site.counts[-1] == 0


def test_short_answers_wait_while_very_many_are_held(site):
    """1,000 requests for long answers held 192 KiB each."""
    long_response, long = site.begin()
    long.add(SHORT_ANSWER_BYTES + 1)
    others = [site.begin() for _ in range(400)]
    for _, answer in others:
        answer.add(READ_BYTES)
    assert long_response.is_read
    n_read = sum(response.is_read for response, _ in others)
    assert n_read * READ_BYTES <= MAX_SHORT_BYTES
    long.release()
    assert all(response.is_read for response, _ in others)


def test_short_answers_do_not_wait_for_long_ones_otherwise(site):
    _, long = site.begin()
    long.add(MAX_HELD_BYTES + 1)
    response, answer = site.begin()
    answer.add(READ_BYTES)
    assert response.is_read
