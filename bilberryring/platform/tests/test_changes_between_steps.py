"""Planned changes between any two steps of requests whose endpoints are sound."""

from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bilberryring.standins.gateway_site import (
    ENGINE,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    WORKSPACE,
    make_route,
)
from bilberryring.testing.played_gateway import LAST_RECORDS, PlayedGateway

STEP_SECONDS = 0.05
MAX_SILENCE_SECONDS = 2.2
"""Seconds in which a sound endpoint may send nothing, once in an answer."""
END_SECONDS = 12.0
TIMEOUT_MS = 30_000
SHORT_TIMEOUT_MS = 15_000
LEAST_IDLE_MS = 1
REFUSALS = (401, 403, 404, 408, 429, 503)
ENGINES = tuple(f"e{number}" for number in range(8))
WORKERS = ("e20", "e21")
KINDS = {
    "/look/": ("idempotent", PLAIN_SERVICE),
    "/charge/": ("non_idempotent", PLAIN_SERVICE),
    "/chat/": ("streaming", MODEL_SERVICE),
}
OTHER_TENANT = {"name": "others", "api_keys": ["key-2"], "priority": 1}
OWN_TENANT = {"name": WORKSPACE, "api_keys": ["key-1"], "priority": 1}
TOKENS = {"short": "100,10", "long": "340000,800"}


def backends(**weights):
    return [{"service": name, "weight": weight} for name, weight in weights.items()]


class Operators:
    """The configuration that the operators change step by step."""

    def __init__(self, site):
        self._site = site
        self._version = 0
        self.routes = {
            path: {"kind": kind, "service": service, "timeout_ms": TIMEOUT_MS}
            for path, (kind, service) in KINDS.items()
        }
        self.n_more = 0
        self.has_key = True
        self.idle_ms = 5_000
        self.max_connections = 100
        self.services = [PLAIN_SERVICE, MODEL_SERVICE]

    def publish(self):
        self._version += 3
        more = [
            make_route(f"/more-{number}/", "idempotent", PLAIN_SERVICE)
            for number in range(self.n_more)
        ]
        figures = {"max_connections": self.max_connections}
        engine = {"cold_start_s": 3.0, "cold_per_s": 36.0, "engine": ENGINE}
        services = {
            PLAIN_SERVICE: {"name": PLAIN_SERVICE} | figures,
            MODEL_SERVICE: {"name": MODEL_SERVICE} | figures | engine,
        }
        self._site.publish(
            self._version,
            routes=[
                *(make_route(path, **route) for path, route in self.routes.items()),
                *more,
            ],
            services=[services[name] for name in self.services],
            limits={"idle_timeout_ms": self.idle_ms},
            tenants=[OWN_TENANT, OTHER_TENANT] if self.has_key else [OTHER_TENANT],
        )

    def move_route(self):
        for route in self.routes.values():
            is_plain = route["service"] == PLAIN_SERVICE
            route["service"] = MODEL_SERVICE if is_plain else PLAIN_SERVICE

    def split_route(self):
        for route in self.routes.values():
            route["backends"] = backends(**{PLAIN_SERVICE: 1, MODEL_SERVICE: 3})

    def shorten_timeout(self):
        for route in self.routes.values():
            route["timeout_ms"] = SHORT_TIMEOUT_MS

    def change_tenants(self):
        self.has_key = not self.has_key

    def change_quota(self):
        self.max_connections = 1 if self.max_connections > 1 else 100

    def shorten_idle_limit(self):
        self.idle_ms = LEAST_IDLE_MS

    def lengthen_idle_limit(self):
        self.idle_ms = 60_000

    def drop_route(self):
        self.routes.pop("/chat/", None)

    def drop_service(self):
        self.services = [PLAIN_SERVICE]

    def add_routes(self):
        self.n_more = 600

    def restore(self):
        version = self._version
        self.__init__(self._site)
        self._version = version


CHANGES = (
    Operators.move_route,
    Operators.split_route,
    Operators.shorten_timeout,
    Operators.change_tenants,
    Operators.change_quota,
    Operators.shorten_idle_limit,
    Operators.lengthen_idle_limit,
    Operators.drop_route,
    Operators.drop_service,
    Operators.add_routes,
    Operators.restore,
)


def announce(site, name, **changes):
    service = PLAIN_SERVICE if name in WORKERS else MODEL_SERVICE
    site.announce(name, service=service, **changes)


def publish(change):
    def publish_change(site, operators):
        change(operators)
        operators.publish()

    publish_change.__name__ = change.__name__
    return publish_change


def drain_endpoints(site, operators):
    for name in ENGINES + WORKERS:
        announce(site, name, state="draining")


def withdraw_endpoints(site, operators):
    for name in ENGINES + WORKERS:
        site.withdraw(name)


def evacuate_zone(site, operators):
    site.evacuate("north", is_out=True)


def reload_settings(site, operators):
    site.reload(seeds=("10.0.0.9",))


PLANNED_CHANGES = (
    *(publish(change) for change in CHANGES),
    drain_endpoints,
    withdraw_endpoints,
    evacuate_zone,
    reload_settings,
)
N_STEPS = {("/look/", "short"): 5, ("/charge/", "short"): 5}
N_STEPS |= {("/chat/", "short"): 8, ("/chat/", "long"): 11}
"""Turns and answers from the first byte of a request to the end of its answer."""
MAX_STEPS = 100
SECOND_ATTEMPT_SECONDS = 1.3
"""Seconds of silence after which another attempt runs, if there may be one."""


def make_step(site):
    """Take the next step of all that is under way: a turn, or an endpoint's part."""
    timed = [
        call for call in site.clock.getDelayedCalls() if call.getTime() <= now(site)
    ]
    if timed:
        site.turn()
    elif site.pending_openings:
        site.accept_all()
    else:
        for run in site.live_runs:
            run.send_next(now=now(site))


def now(site):
    return site.clock.seconds()


def be_silent_until_a_second_opening(site):
    n_openings = len(site.openings)
    for _ in range(round(SECOND_ATTEMPT_SECONDS / STEP_SECONDS)):
        if len(site.openings) == n_openings:
            be_silent(site, STEP_SECONDS)


def be_silent_beside_a_second_attempt(site):
    be_silent(site, SECOND_ATTEMPT_SECONDS)


def change_at_once(site):
    pass


def be_silent(site, seconds):
    for _ in range(round(seconds / STEP_SECONDS)):
        site.accept_all()
        site.turn(STEP_SECONDS)
        for _ in range(3):
            site.turn()


@pytest.mark.parametrize(
    "wait",
    [
        change_at_once,
        be_silent_until_a_second_opening,
        be_silent_beside_a_second_attempt,
    ],
)
@pytest.mark.parametrize("change", PLANNED_CHANGES)
@pytest.mark.parametrize(("path", "tokens"), N_STEPS)
def test_a_change_and_a_silence_between_any_two_steps_cost_no_answer(
    path, tokens, change, wait
):
    for n_steps in range(N_STEPS[path, tokens]):
        site = PlayedGateway()
        operators = Operators(site)
        operators.publish()
        for name in ENGINES + WORKERS:
            announce(site, name)
        call = site.call(path, tokens=TOKENS[tokens])
        for _ in range(n_steps):
            make_step(site)
        silent_from = now(site)
        wait(site)
        change(site, operators)
        be_silent(site, MAX_SILENCE_SECONDS - (now(site) - silent_from))
        for _ in range(MAX_STEPS):
            if not call.is_over:
                make_step(site)
        runs = [run for run in site.runs if run.request_id == call.request_id]
        trace = n_steps, vars(call), site.events()
        if runs:
            assert (call.status, call.body) == (200, call.wanted), trace
            assert call.is_whole, trace
        else:
            assert call.is_whole and call.status in REFUSALS, trace
        assert len(runs) <= (1 if path == "/charge/" else 2), trace
        assert len(site.events(*LAST_RECORDS)) == 1, trace
        assert not site.events("internal_fault"), trace


class PlannedChanges(RuleBasedStateMachine):
    """Callers' requests; sound endpoints pause; the configuration changes."""

    @initialize(n_engines=st.sampled_from([1, 2, 8]), n_workers=st.integers(1, 2))
    def start(self, n_engines, n_workers):
        self.site = PlayedGateway()
        self.operators = Operators(self.site)
        self.operators.publish()
        self.engines, self.workers = ENGINES[:n_engines], WORKERS[:n_workers]
        self.announce_all()
        self.left = set()
        self.pauses = Counter()
        self.site.turn()

    def pick(self, data, items):
        return data.draw(st.sampled_from(items))

    @rule(
        data=st.data(),
        path=st.sampled_from([*KINDS, "/chat/"]),
        tokens=st.sampled_from(list(TOKENS)),
        n_held=st.sampled_from([0, 0, 0, 10, 100]),
        is_kept=st.booleans(),
    )
    def call(self, data, path, tokens, n_held, is_kept):
        free = [caller for caller in self.site.callers if caller.is_free]
        caller = self.pick(data, free) if is_kept and free else None
        self.site.call(path, caller=caller, n_held=n_held, tokens=TOKENS[tokens])

    @precondition(lambda self: self.unsent())
    @rule(data=st.data())
    def send_rest(self, data):
        self.pick(data, self.unsent()).send_rest()

    def unsent(self):
        return [item for item in self.site.callers if item.has_unsent]

    @precondition(lambda self: self.site.pending_openings)
    @rule(data=st.data())
    def accept(self, data):
        self.pick(data, self.site.pending_openings).accept()

    @precondition(lambda self: self.site.live_runs)
    @rule(data=st.data(), times=st.integers(1, 6))
    def go_on(self, data, times):
        run = self.pick(data, self.site.live_runs)
        for _ in range(times):
            if not run.is_over:
                run.send_next(now=self.site.clock.seconds())

    @rule()
    def turn(self):
        self.site.turn()

    @rule(seconds=st.sampled_from([0.05, 0.3, 0.9, 1.6, 2.2]))
    def wait(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.site.accept_all()
            self.step()

    def step(self):
        """Let a short time pass; an endpoint that has paused for long goes on."""
        for run in self.site.live_runs:
            if self.pauses[run] + STEP_SECONDS > MAX_SILENCE_SECONDS:
                run.send_next(now=self.site.clock.seconds())
            else:
                self.pauses[run] += STEP_SECONDS
        self.site.turn(STEP_SECONDS)
        for _ in range(3):
            self.site.turn()

    @rule(
        data=st.data(),
        seconds=st.sampled_from([0.3, 1.0]),
        is_change_first=st.booleans(),
    )
    def be_busy(self, data, seconds, is_change_first):
        """Take a change that lasts; what arrives meanwhile is read afterwards."""
        self.site.accept_all()
        if is_change_first:
            self.change(self.pick(data, CHANGES))
        self.site.turn(seconds)
        for run in self.site.live_runs:
            run.send_next(now=self.site.clock.seconds())
        for caller in self.unsent():
            caller.send_rest()
        self.site.turn()

    @rule(change=st.sampled_from(CHANGES))
    def change(self, change):
        change(self.operators)
        self.operators.publish()

    @rule(data=st.data(), state=st.sampled_from(["draining", None]))
    def take_endpoint_away(self, data, state):
        name = self.pick(data, self.engines + self.workers)
        if state is None:
            self.site.withdraw(name)
        else:
            announce(self.site, name, state=state)

    @rule()
    def announce_all(self):
        for name in self.engines + self.workers:
            announce(self.site, name)

    @rule(is_out=st.booleans())
    def evacuate(self, is_out):
        self.site.evacuate("north", is_out=is_out)

    @rule(seeds=st.sampled_from([(), ("10.0.0.9",)]))
    def reload(self, seeds):
        self.site.reload(seeds=seeds)

    @precondition(lambda self: self.waiting())
    @rule(data=st.data(), probability=st.integers(0, 20))
    def leave(self, data, probability):
        if probability:
            return
        call = self.pick(data, self.waiting())
        self.left.add(call)
        call.caller.leave()

    def waiting(self):
        return [
            call
            for call in self.site.calls
            if call.is_read and not call.is_over and call not in self.left
        ]

    @invariant()
    def no_connection_is_closed_with_a_request_that_was_read(self):
        if not hasattr(self, "site"):
            return
        for call in self.site.calls:
            if call.is_read and call not in self.left:
                assert not call.is_cut, self.trace(call)

    @invariant()
    def a_request_that_was_passed_on_is_answered_by_its_endpoint(self):
        if not hasattr(self, "site"):
            return
        for call in self.site.calls:
            if not call.is_whole or call in self.left:
                continue
            runs = [run for run in self.site.runs if run.request_id == call.request_id]
            if call.status == 200:
                assert call.body == call.wanted, self.trace(call)
            else:
                assert call.status in REFUSALS and not runs, self.trace(call)
            if call.path == "/charge/":
                assert len(runs) <= 1, self.trace(call)

    def trace(self, call):
        records = [
            record
            for record in self.site.events()
            if record.get("request") == call.request_id
        ]
        return vars(call), records

    def teardown(self):
        if not hasattr(self, "site"):
            return
        for _ in range(round(END_SECONDS / STEP_SECONDS)):
            self.site.accept_all()
            self.step()
        self.no_connection_is_closed_with_a_request_that_was_read()
        self.a_request_that_was_passed_on_is_answered_by_its_endpoint()
        records = Counter(line["request"] for line in self.site.events(*LAST_RECORDS))
        for call in self.site.calls:
            if call.is_read:
                assert call.is_over, self.trace(call)
                assert records[call.request_id] == 1, self.trace(call)
        assert not self.site.events("internal_fault")


PlannedChanges.TestCase.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
test_planned_changes_between_steps = PlannedChanges.TestCase
