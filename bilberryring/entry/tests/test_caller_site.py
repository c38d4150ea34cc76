"""Outcomes that an entry reports for requests that it refuses itself."""

import pytest

from bilberryring.core import ErrorCode, RunOutcome, ServingError
from bilberryring.entry.caller_site import IDEMPOTENCY_HEADER, CallerSite
from bilberryring.objects import ObjectSet, Workspace, key_digest

KEY = "key-1"


class FakeState:
    """The state of an entry that drains, or that has no set yet unless one is given."""

    def __init__(self, *, is_draining: bool = False, objects: ObjectSet | None = None):
        self.is_draining = is_draining
        self.objects = objects


class FakeRequest:
    """A request with or without a ticket."""

    method = b"POST"
    postpath = (b"orders", b"calls", b"new")

    def __init__(self, ticket: str | None, *, is_body_too_large: bool = False):
        self.is_body_too_large = is_body_too_large
        self._headers = {IDEMPOTENCY_HEADER: ticket, "authorization": f"Bearer {KEY}"}

    def getHeader(self, name):
        return self._headers.get(name)


TICKET_OUTCOMES = pytest.mark.parametrize(
    ("ticket", "outcome"),
    [(None, RunOutcome.NOT_RUN), ("bt1~e~i~0~aa", RunOutcome.UNKNOWN)],
)


@pytest.mark.parametrize(
    ("is_draining", "code"), [(True, ErrorCode.LEAVING), (False, ErrorCode.NO_SET)]
)
@TICKET_OUTCOMES
def test_a_refused_call_with_a_ticket_has_an_unknown_outcome(
    is_draining, code, ticket, outcome
):
    """A copy of a call with a ticket may have run, which the entry cannot know."""
    site = CallerSite(state=FakeState(is_draining=is_draining))
    with pytest.raises(ServingError) as caught:
        site._identify_caller(FakeRequest(ticket), "r")
    assert caught.value.code is code
    assert caught.value.outcome is outcome


def set_with_a_key(*, services=()):
    """Return a set without services, whose only workspace may still name some."""
    workspace = Workspace(
        name="w", priority="p", key_digests=(key_digest(KEY),), services=services
    )
    return ObjectSet(workspaces={"w": workspace})


@TICKET_OUTCOMES
def test_a_call_whose_key_was_taken_away_has_the_outcome_that_its_ticket_allows(
    ticket, outcome
):
    site = CallerSite(state=FakeState(objects=ObjectSet()))
    with pytest.raises(ServingError) as caught:
        site._identify_caller(FakeRequest(ticket), "r")
    assert caught.value.code is ErrorCode.KEY_UNKNOWN
    assert caught.value.outcome is outcome


@TICKET_OUTCOMES
def test_a_call_that_is_too_large_has_the_outcome_that_its_ticket_allows(
    ticket, outcome
):
    site = CallerSite(state=FakeState(objects=set_with_a_key()))
    with pytest.raises(ServingError) as caught:
        site._identify_caller(FakeRequest(ticket, is_body_too_large=True), "r")
    assert caught.value.code is ErrorCode.BODY_TOO_LARGE
    assert caught.value.outcome is outcome


@TICKET_OUTCOMES
@pytest.mark.parametrize("services", [(), ("orders",)])
def test_a_call_whose_service_was_taken_away_has_the_outcome_that_its_ticket_allows(
    services, ticket, outcome
):
    site = CallerSite(state=FakeState(objects=set_with_a_key(services=services)))
    request = FakeRequest(ticket)
    handling = site._service(request, site._identify_caller(request, "r"))
    with pytest.raises(ServingError) as caught:
        handling.send(None)
    assert caught.value.code is ErrorCode.SERVICE_UNKNOWN
    assert caught.value.outcome is outcome
