"""One silent endpoint among others that are free, beside a planned change."""

from concurrent.futures import ThreadPoolExecutor
from functools import partial

import pytest

from bilberryring.gateway.endpoint_slices import SETTLE_SECONDS
from bilberryring.platform.tests.test_silent_endpoints import (
    CHANGES,
    WHOLE_STREAM,
    answer_late,
    send_stream,
)
from bilberryring.standins.gateway_site import MODEL_SERVICE
from bilberryring.standins.scripted_endpoint import answer_all
from bilberryring.testing.processes import pause

SILENCE_SECONDS = 1.8


def change_nothing(site, address):
    pass


def call_the_silent_one(site, path, endpoints, change):
    """Return the answer to a call that the endpoint `a` gets first."""
    site.start_gateway()
    pause(SETTLE_SECONDS)
    with ThreadPoolExecutor(1) as pool:
        for _ in range(40):
            answer = pool.submit(site.call, path)
            while not (answer.done() or endpoints["a"].requests):
                pause()
            if endpoints["a"].requests:
                pause(0.3)
                change(site, endpoints["a"].address)
                return answer.result()
    raise AssertionError("the silent endpoint got no request")


@pytest.mark.parametrize("silent_before", [0, 3])
@pytest.mark.parametrize("change", [change_nothing, *CHANGES])
def test_a_stream_is_whole_after_a_silence_of_one_of_three_beside_a_change(
    site, silent_before, change
):
    silent = partial(send_stream, silent_before=silent_before, silence=SILENCE_SECONDS)
    prompt = partial(send_stream, silent_before=-1, silence=0.0)
    scripts = {"a": silent, "b": prompt, "c": prompt}
    endpoints = {
        name: site.add_endpoint(name, script, service=MODEL_SERVICE)
        for name, script in scripts.items()
    }
    answer = call_the_silent_one(site, "/chat/", endpoints, change)
    assert (answer.status, answer.body) == (200, WHOLE_STREAM)


@pytest.mark.parametrize("change", [change_nothing, *CHANGES])
def test_a_lookup_is_answered_after_a_silence_of_one_of_three_beside_a_change(
    site, change
):
    silent = partial(answer_late, silence=SILENCE_SECONDS)
    scripts = {"a": silent, "b": answer_all, "c": answer_all}
    endpoints = {name: site.add_endpoint(name, item) for name, item in scripts.items()}
    answer = call_the_silent_one(site, "/look/", endpoints, change)
    assert answer.status == 200
