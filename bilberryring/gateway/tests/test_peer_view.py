"""Reports that are late, crossed, or of entries that are gone."""

from bilberryring.gateway.peer_view import ALIVE_SECONDS, PeerReport, PeerView
from bilberryring.routing import EndpointWork

WORK = (("e1", EndpointWork(requests=2, reading_ms=50.0)),)


def a_report(**changes):
    fields = {"process": "p", "incarnation": "i1", "host": "h2", "sequence": 5}
    return PeerReport(**(fields | changes))


def a_view():
    return PeerView(own_host="h1", seed_hosts=("h1", "h2", "h3"))


def test_a_report_that_was_overtaken_is_dropped():
    view = a_view()
    view.take(a_report(work=WORK), now=0.0)
    view.take(a_report(sequence=4), now=0.1)
    assert view.work("e1", now=0.2).requests == 2


def test_a_peer_that_started_again_counts_anew():
    view = a_view()
    view.take(a_report(work=WORK), now=0.0)
    view.take(a_report(incarnation="i2", sequence=1), now=0.1)
    assert view.work("e1", now=0.2).requests == 0


def test_the_work_of_a_silent_peer_counts_no_longer_but_its_share_does():
    view = a_view()
    view.take(a_report(work=WORK), now=0.0)
    later = ALIVE_SECONDS + 0.1
    assert view.work("e1", now=later).requests == 0
    assert view.entry_count(now=later) == 3


def test_hosts_are_learned_from_peers():
    view = a_view()
    view.take(a_report(known_hosts=("h4",)), now=0.0)
    assert view.hosts(now=1.0) == ("h2", "h3", "h4")


def test_the_peer_that_is_furthest_ahead_is_asked():
    view = a_view()
    view.take(a_report(revisions=(("x", 7),)), now=0.0)
    view.take(a_report(host="h3", revisions=(("x", 9),)), now=0.0)
    assert view.ahead("x", revision=5, now=0.1) == "h3"
    assert view.ahead("x", revision=9, now=0.1) is None
