"""What an entry says when no ledger was asked."""

import pytest

from bilberryring.core import ErrorCode, RunOutcome, ServingError
from bilberryring.entry.caller_site import IDEMPOTENCY_HEADER, CallerSite


class FakeState:
    """An entry that drains, or that has no set yet."""

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
def test_only_a_ledger_says_not_run_about_a_ticket(is_draining, code, ticket, outcome):
    site = CallerSite(state=FakeState(is_draining=is_draining))
    with pytest.raises(ServingError) as caught:
        site._caller_of(FakeRequest(ticket), "r")
    assert caught.value.code is code
    assert caught.value.outcome is outcome
