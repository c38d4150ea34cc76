"""Requests of a route beside a configuration that takes one of its services away."""

import json

import pytest

from bilberryring.standins.gateway_site import (
    PLAIN_SERVICE,
    make_configuration,
    make_route,
)
from bilberryring.standins.scripted_endpoint import answer_all
from bilberryring.testing.processes import wait_until

NOT_RUN_STATUS = 503
KINDS = {"/look/": "idempotent", "/charge/": "non_idempotent"}


def split_routes(**weights):
    shares = [{"service": name, "weight": weight} for name, weight in weights.items()]
    return [make_route(path, kind, "", backends=shares) for path, kind in KINDS.items()]


@pytest.mark.parametrize("path", KINDS)
def test_a_request_for_a_service_that_is_gone_is_refused_as_not_run(site, path):
    endpoint = site.add_endpoint("a", answer_all)
    site.start_gateway()
    routes = split_routes(gone=1.0, **{PLAIN_SERVICE: 0.0})
    services = [{"name": PLAIN_SERVICE, "max_connections": 100}]
    site.publish(make_configuration(2, routes=routes, services=services))
    wait_until(
        lambda: any(
            line["version"] == 2 for line in site.log_events(1, "set_in_force")
        ),
        4.0,
        "the configuration",
    )
    answer = site.call(path)
    assert (answer.status, json.loads(answer.body)["outcome"]) == (
        NOT_RUN_STATUS,
        "not_run",
    )
    assert not endpoint.requests
