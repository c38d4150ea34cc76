"""Gateways that all start at the same moment, as after a loss of power.

Guards against a request that crashes endpoints and that comes through again at one
gateway after the other, as nobody is left who knows of its quarantine. Time and network
are simulated.
"""

import math

import pytest

from bilberryring.core import Fingerprint
from bilberryring.gateway.peer_view import EndpointDeath
from bilberryring.quarantine import QUARANTINE_SECONDS
from bilberryring.quarantine.crash_causes import APART_SECONDS, AT_ONCE_SECONDS
from bilberryring.quarantine.suspicions import SOLE_CAUSE_SECONDS, SUFFICIENT_CRASHES
from bilberryring.testing.peer_network import PeerNetwork

BAD = Fingerprint("00112233445566778899aabbccddeeff")
BYSTANDER = Fingerprint("ffeeddccbbaa99887766554433221100")
STOP_SECONDS = 0.5
IN_TOUCH_SECONDS = 3.0
NEWS_SECONDS = 0.5
"""Seconds between two comings of a request at different gateways."""
ATTEMPTS = 2
AT_ONCE = AT_ONCE_SECONDS / 10
SIZES = [4, 25, 68]


def make_network(gateways, *, is_first_start=False):
    network = PeerNetwork(gateways=gateways, endpoints=40, seed=gateways, loss=0.01)
    network.advance(IN_TOUCH_SECONDS)
    if not is_first_start:
        kill_all(network)
    return network


def kill_all(network):
    for gateway in network.gateways:
        network.restart(gateway, seconds=STOP_SECONDS)
    network.advance(STOP_SECONDS + IN_TOUCH_SECONDS)


def knowing(network, fingerprint=BAD):
    """Return how many gateways refuse the request."""
    return sum(item.crashes.is_quarantined(fingerprint) for item in network.gateways)


def refusing(network, fingerprint=BAD):
    """Return how many gateways refuse the request if it is sent once."""
    return sum(
        item.crashes.is_quarantined(fingerprint, is_sent_once=True)
        for item in network.gateways
    )


def crash(gateway, name, *fingerprints, were_suspects=True, sent_before=math.inf):
    for fingerprint in fingerprints:
        death = EndpointDeath(
            death=name,
            fingerprints=(fingerprint,),
            were_suspects=were_suspects,
            sent_before=sent_before,
        )
        gateway.crashes.record(death)


def come(network, kill, *, attempts=ATTEMPTS):
    """Let the request come at each gateway in turn; return how often it was sent."""
    n_sent = 0
    for number, gateway in enumerate(network.gateways[:4]):
        for attempt in range(attempts):
            if gateway.crashes.is_quarantined(BAD, is_sent_once=attempts == 1):
                break
            n_sent += attempt == 0
            is_suspect = gateway.crashes.crash_count(BAD) > 0
            crash(
                gateway,
                f"run-{kill}-{number}-{attempt}",
                BAD,
                were_suspects=is_suspect,
                sent_before=AT_ONCE,
            )
        network.advance(NEWS_SECONDS)
    return n_sent


@pytest.mark.parametrize("kills", [2, 3])
@pytest.mark.parametrize("gateways", SIZES)
def test_a_request_reaches_endpoints_once_after_each_loss_of_all_gateways(
    gateways, kills
):
    network = make_network(gateways, is_first_start=True)
    assert come(network, 0) == 2
    for kill in range(kills):
        kill_all(network)
        assert come(network, 1 + kill) == 1
    assert knowing(network) == gateways


@pytest.mark.parametrize("kills", [1, 2, 3])
@pytest.mark.parametrize("gateways", SIZES)
def test_a_request_of_one_attempt_reaches_endpoints_once_after_each_loss(
    gateways, kills
):
    # Guards against a booking that crashes one endpoint more after each loss.
    network = make_network(gateways, is_first_start=True)
    assert come(network, 0, attempts=1) == 3
    for kill in range(kills):
        kill_all(network)
        assert come(network, 1 + kill, attempts=1) == 1
    assert refusing(network) == gateways


def test_a_gateway_that_starts_later_refuses_what_caused_a_crash_alone():
    network = make_network(4)
    crash(network.gateways[0], "run-1", BAD, sent_before=AT_ONCE)
    network.advance(NEWS_SECONDS)
    network.restart(network.gateways[-1], seconds=STOP_SECONDS)
    network.advance(STOP_SECONDS + 2 * IN_TOUCH_SECONDS)
    assert refusing(network) == 4


def test_a_refusal_after_one_crash_ends_and_the_next_crash_is_a_quarantine():
    network = make_network(4)
    crash(network.gateways[0], "run-1", BAD, sent_before=AT_ONCE)
    network.advance(NEWS_SECONDS)
    left = [item.crashes.seconds_left(BAD) for item in network.gateways]
    assert max(left) <= SOLE_CAUSE_SECONDS
    network.advance(min(left) - 2.0)
    assert refusing(network) == 4
    crash(network.gateways[1], "run-2", BAD, sent_before=AT_ONCE)
    network.advance(SOLE_CAUSE_SECONDS - 2.0)
    assert (refusing(network), knowing(network)) == (4, 4)


def test_a_request_of_several_attempts_is_not_refused_after_one_crash():
    network = make_network(4)
    crash(network.gateways[0], "run-1", BAD, sent_before=AT_ONCE)
    network.advance(NEWS_SECONDS)
    assert (knowing(network), refusing(network)) == (0, 4)
    assert {item.crashes.sole_causes() for item in network.gateways} == {(BAD,)}


@pytest.mark.parametrize("is_first_start", [False, True])
def test_one_crash_is_no_reason_where_all_crashes_are_known(is_first_start):
    network = make_network(4, is_first_start=is_first_start)
    network.advance(0.0 if is_first_start else QUARANTINE_SECONDS)
    crash(network.gateways[0], "run-1", BAD, sent_before=AT_ONCE)
    network.advance(NEWS_SECONDS)
    assert refusing(network) == 0


@pytest.mark.parametrize("sent_before", [2 * AT_ONCE_SECONDS, math.inf])
def test_a_request_that_ran_for_a_while_is_not_refused_after_one_crash(sent_before):
    network = make_network(4)
    crash(network.gateways[0], "run-1", BAD, sent_before=sent_before)
    network.advance(NEWS_SECONDS)
    assert refusing(network) == 0


def test_requests_that_were_sent_together_are_not_refused_after_one_crash():
    # Either may be the cause: the one that is innocent must not be refused.
    network = make_network(4)
    crash(network.gateways[0], "run-1", BAD, sent_before=AT_ONCE)
    later = AT_ONCE + APART_SECONDS / 2
    crash(network.gateways[1], "run-1", BYSTANDER, sent_before=later)
    network.advance(NEWS_SECONDS)
    assert (refusing(network), refusing(network, BYSTANDER)) == (0, 0)


def test_only_the_last_of_several_requests_is_refused_after_one_crash():
    network = make_network(4)
    crash(network.gateways[0], "run-1", BAD, sent_before=AT_ONCE)
    earlier = AT_ONCE + 2 * APART_SECONDS
    crash(network.gateways[1], "run-1", BYSTANDER, sent_before=earlier)
    network.advance(NEWS_SECONDS)
    assert (refusing(network), refusing(network, BYSTANDER)) == (4, 0)


def test_a_request_is_not_refused_if_another_endpoint_crashed_at_that_moment():
    # Guards innocents in a failure domain that loses its power or is restarted.
    network = make_network(4)
    crash(network.gateways[0], "run-1", BAD, sent_before=AT_ONCE)
    crash(network.gateways[1], "run-2", BYSTANDER, sent_before=1.0)
    network.advance(NEWS_SECONDS)
    assert (refusing(network), refusing(network, BYSTANDER)) == (0, 0)


def test_two_requests_that_crash_endpoints_at_one_moment_are_both_refused():
    network = make_network(4)
    for number, fingerprint in enumerate((BAD, BYSTANDER)):
        gateway = network.gateways[number]
        crash(gateway, f"run-{number}", fingerprint, sent_before=AT_ONCE)
    network.advance(NEWS_SECONDS)
    assert (refusing(network), refusing(network, BYSTANDER)) == (4, 4)


def test_a_request_that_was_answered_before_is_not_refused_after_one_crash():
    # Guards callers that all send the same request.
    network = make_network(4)
    network.gateways[0].crashes.clear(BYSTANDER)
    crash(network.gateways[0], "run-1", BYSTANDER, sent_before=AT_ONCE)
    network.advance(NEWS_SECONDS)
    assert refusing(network, BYSTANDER) == 0


def test_in_a_fleet_that_starts_for_the_first_time_a_quarantine_needs_three_crashes():
    network = make_network(4, is_first_start=True)
    crash(network.gateways[0], "run-1", BAD)
    crash(network.gateways[0], "run-2", BAD)
    network.advance(NEWS_SECONDS)
    assert knowing(network) == 0


@pytest.mark.parametrize("n_left", [1, 2])
def test_a_gateway_that_is_left_tells_the_others_that_nothing_is_forgotten(n_left):
    network = make_network(25, is_first_start=True)
    network.advance(QUARANTINE_SECONDS)
    for gateway in network.gateways[n_left:]:
        network.restart(gateway, seconds=STOP_SECONDS)
    network.advance(STOP_SECONDS + IN_TOUCH_SECONDS)
    crash(network.gateways[-1], "run-1", BAD)
    crash(network.gateways[-1], "run-2", BAD)
    network.advance(NEWS_SECONDS)
    assert knowing(network) == 0


def test_a_fleet_that_has_run_for_long_enough_needs_three_crashes_again():
    network = make_network(4)
    network.advance(QUARANTINE_SECONDS - IN_TOUCH_SECONDS)
    crash(network.gateways[0], "run-1", BAD)
    crash(network.gateways[0], "run-2", BAD)
    network.advance(NEWS_SECONDS)
    assert knowing(network) == 0


@pytest.mark.parametrize("gateways", SIZES)
def test_requests_that_ran_together_at_both_crashes_are_not_refused(gateways):
    """Either may be the cause: an innocent one must not be refused for minutes."""
    network = make_network(gateways)
    first, last = network.gateways[0], network.gateways[-1]
    for name in ("run-1", "run-2"):
        crash(first, name, BAD)
        crash(last, name, BYSTANDER)
        network.advance(NEWS_SECONDS)
    assert knowing(network, BYSTANDER) == 0
    assert knowing(network) == 0


@pytest.mark.parametrize("gateways", SIZES)
def test_an_answer_to_one_of_two_requests_leaves_the_other_one_as_the_cause(gateways):
    network = make_network(gateways)
    first, last = network.gateways[0], network.gateways[-1]
    for name in ("run-1", "run-2"):
        crash(first, name, BAD)
        crash(last, name, BYSTANDER)
        network.advance(NEWS_SECONDS)
    for gateway in network.gateways:
        gateway.crashes.clear(BYSTANDER)
    assert knowing(network) == gateways
    assert knowing(network, BYSTANDER) == 0


def test_endpoints_that_crash_at_once_hold_up_no_request_that_many_callers_send():
    network = make_network(4)
    for number in range(SUFFICIENT_CRASHES):
        gateway = network.gateways[number]
        crash(gateway, f"run-{number}", BYSTANDER, were_suspects=False)
    network.advance(NEWS_SECONDS)
    assert knowing(network, BYSTANDER) == 0


def test_many_endpoints_that_crash_for_reasons_of_their_own_hold_up_no_request():
    """Each request loses one endpoint, some of them two with others beside them."""
    network = make_network(4)
    requests = [Fingerprint(f"{number:032x}") for number in range(60)]
    for number in range(30):
        gateway = network.gateways[number % 4]
        pair = requests[2 * number : 2 * number + 2]
        crash(gateway, f"run-{number}", *pair, were_suspects=False)
    for number in range(0, 20, 2):
        gateway = network.gateways[number % 3]
        crash(gateway, f"again-{number}", *requests[2 * number : 2 * number + 2])
    network.advance(NEWS_SECONDS)
    assert sum(knowing(network, request) for request in requests) == 0
