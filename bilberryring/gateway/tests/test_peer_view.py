"""Reports out of order, and peers that restart or stop reporting."""

from bilberryring.gateway.peer_view import PEER_TIMEOUT_SECONDS, PeerReport, PeerView
from bilberryring.routing import EndpointWork

WORK = (("e1", EndpointWork(requests=2, prefill_ms=50.0)),)


def make_report(**changes):
    fields = {"process": "p", "incarnation": "i1", "host": "h2", "sequence": 5}
    return PeerReport(**(fields | changes))


def make_view():
    return PeerView(own_host="h1", seed_hosts=("h1", "h2", "h3"))


def test_report_older_than_the_last_one_is_ignored():
    view = make_view()
    view.update(make_report(work=WORK), now=0.0)
    view.update(make_report(sequence=4), now=0.1)
    assert view.work("e1", now=0.2).requests == 2


def test_report_of_a_restarted_peer_replaces_the_old_one():
    view = make_view()
    view.update(make_report(work=WORK), now=0.0)
    view.update(make_report(incarnation="i2", sequence=1), now=0.1)
    assert view.work("e1", now=0.2).requests == 0


def test_silent_peer_has_no_work_but_still_shares_limits():
    view = make_view()
    view.update(make_report(work=WORK), now=0.0)
    later = PEER_TIMEOUT_SECONDS + 0.1
    assert view.work("e1", now=later).requests == 0
    assert view.entry_count(now=later) == 3


def test_hosts_are_learned_from_peers():
    view = make_view()
    view.update(make_report(known_hosts=("h4",)), now=0.0)
    assert view.hosts(now=1.0) == ("h2", "h3", "h4")


def test_host_with_the_latest_revision_is_returned():
    view = make_view()
    view.update(make_report(revisions=(("x", 7),)), now=0.0)
    view.update(make_report(host="h3", revisions=(("x", 9),)), now=0.0)
    assert view.host_ahead("x", revision=5, now=0.1) == "h3"
    assert view.host_ahead("x", revision=9, now=0.1) is None
