"""What gateways of all sizes of fleet do when endpoints fall silent and go on."""

import math

import pytest

from bilberryring.testing.burst_fleet import play_burst
from bilberryring.testing.peer_network import PeerNetwork
from bilberryring.testing.silent_fleet import CALLER_SECONDS, SilentFleet

SIZES = [(3, 18), (25, 69), (68, 172), (400, 1_000)]
MAX_REPORTING = 100
"""Most gateways that report periodically after they know each other."""
REQUESTS_PER_SECOND_AND_ENDPOINT = 1.0
MAX_REQUESTS_PER_SECOND = 150.0
RETRY_RATIO = 0.2
RETRY_SLACK_PER_GATEWAY = 4.0
"""Enough for a few repeats at each gateway, as on the operators' sites."""
SILENCE_SECONDS = 1.6


def play(gateways, endpoints, *, share, seconds, retry_slack, prefill=None):
    """Let a share of the endpoints fall silent while requests arrive.

    `prefill` is the time in which they should prefill a long prompt meanwhile.
    """
    network = PeerNetwork(gateways=gateways, endpoints=endpoints, seed=gateways)
    network.advance(2.0)
    if gateways > MAX_REPORTING:
        network.end_reports()
    fleet = SilentFleet(network=network, seed=gateways, retry_slack=retry_slack)
    network.advance(3.0)
    rate = min(REQUESTS_PER_SECOND_AND_ENDPOINT * endpoints, MAX_REQUESTS_PER_SECOND)
    fleet.arrive(per_second=rate, seconds=4.0)
    network.advance(1.0)
    if prefill is None:
        fleet.silence(share, seconds=seconds)
    else:
        fleet.prefill(share, seconds=prefill, silent_seconds=seconds)
    network.advance(3.0 + CALLER_SECONDS + 0.5)
    return fleet


def repeats_allowed(outcomes, retry_slack):
    return RETRY_RATIO * len(outcomes.sends) + retry_slack


@pytest.mark.parametrize(("gateways", "endpoints"), SIZES[:3])
def test_all_streams_are_whole_when_all_endpoints_pause_at_once(gateways, endpoints):
    slack = RETRY_SLACK_PER_GATEWAY * gateways
    outcomes = play(
        gateways, endpoints, share=1.0, seconds=SILENCE_SECONDS, retry_slack=slack
    ).outcomes
    assert outcomes.whole == len(outcomes.sends) > 0
    assert outcomes.repeats <= repeats_allowed(outcomes, slack)


@pytest.mark.parametrize(("gateways", "endpoints"), SIZES)
def test_all_streams_are_whole_when_a_third_pauses_and_few_repeats_can_be_paid(
    gateways, endpoints
):
    outcomes = play(
        gateways, endpoints, share=0.34, seconds=SILENCE_SECONDS, retry_slack=0.0
    ).outcomes
    assert outcomes.whole == len(outcomes.sends) > 0
    assert outcomes.repeats <= repeats_allowed(outcomes, 0.0)


@pytest.mark.parametrize(("gateways", "endpoints"), SIZES[:3])
def test_streams_are_whole_when_a_tenth_is_silent_for_good(gateways, endpoints):
    slack = RETRY_SLACK_PER_GATEWAY * gateways
    fleet = play(gateways, endpoints, share=0.1, seconds=math.inf, retry_slack=slack)
    outcomes = fleet.outcomes
    assert len(outcomes.delivered) == len(outcomes.sends) > 0
    assert outcomes.whole >= len(outcomes.sends) - fleet.hopeless()
    assert outcomes.repeats <= repeats_allowed(outcomes, slack)


@pytest.mark.parametrize(("gateways", "endpoints"), SIZES)
def test_engines_that_prefill_long_prompts_get_no_second_attempts(gateways, endpoints):
    outcomes = play(
        gateways,
        endpoints,
        share=0.34,
        seconds=SILENCE_SECONDS,
        retry_slack=RETRY_SLACK_PER_GATEWAY * gateways,
        prefill=SILENCE_SECONDS,
    ).outcomes
    assert outcomes.whole == len(outcomes.sends) > 0
    assert outcomes.repeats == 0


@pytest.mark.parametrize(("gateways", "endpoints"), SIZES[:3])
def test_streams_are_whole_when_a_tenth_is_gone_while_it_prefills_long_prompts(
    gateways, endpoints
):
    slack = RETRY_SLACK_PER_GATEWAY * gateways
    fleet = play(
        gateways,
        endpoints,
        share=0.1,
        seconds=math.inf,
        retry_slack=slack,
        prefill=SILENCE_SECONDS,
    )
    outcomes = fleet.outcomes
    assert len(outcomes.delivered) == len(outcomes.sends) > 0
    assert outcomes.whole >= len(outcomes.sends) - fleet.hopeless()
    assert outcomes.repeats <= repeats_allowed(outcomes, slack)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_prompts_that_wait_for_a_slot_in_a_burst_are_not_read_again(seed):
    result = play_burst(gateways=3, endpoints=18, seed=seed)
    assert result.whole == result.requests > 0
    assert result.silent_attempts == result.reread_tokens == 0


def test_streams_are_whole_when_full_engines_are_silent_for_good_in_a_burst():
    result = play_burst(gateways=3, endpoints=18, dead=2)
    assert result.silent_attempts > 0
    assert result.whole == result.requests > 0
