"""Requests whose head rules them out, before their body arrives."""

import pytest

from bilberryring.core import ErrorCode, ServingError
from bilberryring.gateway.head_checks import caller_head_check
from bilberryring.gateway.refusals import not_run


class Codec:
    """Returns the headers as the metadata."""

    def decode_request_headers(self, headers):
        return headers


class Gate:
    """Refuses requests for other targets than `/served`."""

    def check_head(self, target, metadata):
        assert metadata == ("headers",)
        if target != b"/served":
            raise not_run(ErrorCode.PATH_UNKNOWN)


class Exchange:
    """A request of which the head has arrived."""

    def __init__(self, uri):
        self.uri = uri

    def read_headers(self):
        return ("headers",)


@pytest.fixture
def check():
    return caller_head_check(codec=Codec(), gate=Gate())


def test_a_request_that_may_be_served_is_not_refused(check):
    assert check(Exchange(b"/served")) is None


def test_a_refusal_does_not_keep_what_was_read_with_the_head(check):
    """Its traceback kept 130 KiB for each of 1,000 callers."""
    error = check(Exchange(b"/none"))
    assert isinstance(error, ServingError)
    assert error.code is ErrorCode.PATH_UNKNOWN
    assert error.__traceback__ is None
