"""Outcomes that an entry reports for requests that it refuses itself."""

import pytest

from bilberryring.core import ErrorCode, RunOutcome, ServingError
from bilberryring.entry.caller_site import IDEMPOTENCY_HEADER, CallerSite


class FakeState:
    """The state of an entry that drains, or that has no set yet."""

    def __init__(self, *, is_draining: bool):
        self.is_draining = is_draining
        self.objects = None


class FakeRequest:
    """A request with or without a ticket."""

    def __init__(self, ticket: str | None):
        self.ticket = ticket

    def getHeader(self, name):
        return self.ticket if name == IDEMPOTENCY_HEADER else None


@pytest.mark.parametrize(
    ("is_draining", "code"), [(True, ErrorCode.LEAVING), (False, ErrorCode.NO_SET)]
)
@pytest.mark.parametrize(
    ("ticket", "outcome"),
    [(None, RunOutcome.NOT_RUN), ("bt1~e~i~0~aa", RunOutcome.UNKNOWN)],
)
def test_a_refused_call_with_a_ticket_has_an_unknown_outcome(
    is_draining, code, ticket, outcome
):
    """A copy of a call with a ticket may have run, which the entry cannot know."""
    site = CallerSite(state=FakeState(is_draining=is_draining))
    with pytest.raises(ServingError) as caught:
        site._identify_caller(FakeRequest(ticket), "r")
    assert caught.value.code is code
    assert caught.value.outcome is outcome
