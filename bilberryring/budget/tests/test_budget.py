"""What connections hold, and which of them give way."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from bilberryring.budget import (
    MIN_LAG_SECONDS,
    MemoryBudget,
    choose_connection,
    choose_memory,
)
from bilberryring.budget.accounts import (
    ALONE_SHARE,
    LARGE_SHARE,
    PROGRESS_RATE,
    SMALL_BYTES,
)

LIMIT = 1_000_000


@pytest.fixture
def budget():
    return MemoryBudget(limit_bytes=LIMIT)


def test_a_closed_account_holds_nothing(budget):
    account = budget.open(address="a", now=0.0)
    account.acquire(10)
    account.close()
    account.acquire(10)
    account.close()
    assert budget.held_bytes == account.held_bytes == budget.n_open == 0


def test_a_client_that_drips_bytes_falls_behind(budget):
    """A byte a second resets an idle timeout, and must not pass for progress."""
    slow, good = (budget.open(address="a", now=0.0) for _ in range(2))
    slow.hold(100)
    good.hold(LIMIT - 100)
    for second in range(1, 6):
        slow.advance(1, now=float(second))
        good.advance(2 * PROGRESS_RATE, now=float(second))
    assert slow.lag(now=5.0) > 4.9
    assert good.lag(now=5.0) == 0.0
    assert choose_memory(budget, now=5.0) is slow


def test_bytes_of_the_past_are_no_credit_for_a_later_pause(budget):
    account = budget.open(address="a", now=0.0)
    account.advance(10**9, now=0.0)
    assert account.lag(now=2.0) == 2.0


def test_the_largest_waste_goes_first(budget):
    old_small, new_large = (budget.open(address="a", now=t) for t in (0.0, 8.0))
    old_small.hold(1_000)
    new_large.hold(100_000)
    assert choose_memory(budget, now=10.0) is new_large


def test_large_requests_leave_room_for_small_ones(budget):
    large = budget.open(address="a", now=0.0)
    large.hold(int(LIMIT * LARGE_SHARE) - SMALL_BYTES)
    assert not budget.fits(SMALL_BYTES + 1)
    assert budget.fits(SMALL_BYTES)
    large.hold(int(LIMIT * LARGE_SHARE))
    assert budget.fits(LIMIT // 10)


def test_a_request_larger_than_the_budget_is_served_alone(budget):
    """Operators may publish a limit on bodies that a small machine hardly holds."""
    assert budget.fits(int(1.5 * LIMIT))
    assert not budget.fits(2 * LIMIT)
    budget.open(address="a", now=0.0).hold(LIMIT // 4)
    assert not budget.fits(int(1.5 * LIMIT))


def test_a_request_in_progress_is_never_evicted(budget):
    account = budget.open(address="a", now=0.0)
    account.hold(LIMIT)
    account.is_evictable = False
    assert choose_memory(budget, now=99.0) is None
    assert choose_connection(budget, now=99.0) is None


def test_the_address_that_holds_most_gives_way_first(budget):
    alone = budget.open(address="a", now=0.0)
    alone.hold(200_000)
    group = [budget.open(address="b", now=5.0) for _ in range(3)]
    for account in group:
        account.hold(100_000)
    assert choose_memory(budget, now=10.0) in group


def test_of_idle_connections_those_never_served_go_first(budget):
    served = budget.open(address="a", now=0.0)
    served.has_served = True
    unused = budget.open(address="a", now=9.0)
    budget.open(address="a", now=10.0)
    assert choose_connection(budget, now=10.0) is unused
    assert choose_connection(budget, now=10.0, requester=unused) is served


def test_a_connection_has_time_to_send_its_first_request(budget):
    """It would be closed for the next one, before its request was read."""
    served = budget.open(address="a", now=0.0)
    served.has_served = True
    budget.open(address="a", now=9.9)
    assert choose_connection(budget, now=10.0) is served


def test_a_lost_release_is_found_and_corrected(budget):
    account = budget.open(address="a", now=0.0)
    account.hold(100)
    budget.count(account, 50)
    assert budget.correct() == 50
    assert budget.held_bytes == 100
    assert budget.correct() == 0


class BudgetMachine(RuleBasedStateMachine):
    """Any order of calls keeps the sums, and spares whoever makes progress."""

    accounts = Bundle("accounts")

    def __init__(self):
        super().__init__()
        self.budget = MemoryBudget(limit_bytes=LIMIT)
        self.now = 0.0
        self.held = {}
        self.behind_since = {}

    @rule(target=accounts, address=st.sampled_from("abc"))
    def open(self, address):
        account = self.budget.open(address=address, now=self.now)
        self.held[account] = 0
        self.behind_since[account] = self.now
        return account

    @rule(account=accounts, n_bytes=st.integers(0, LIMIT))
    def hold(self, account, n_bytes):
        account.hold(n_bytes)
        self.held[account] = n_bytes

    @rule(account=accounts, n_bytes=st.integers(1, 1_000))
    def acquire_and_release(self, account, n_bytes):
        account.acquire(n_bytes)
        account.release(n_bytes)

    @rule(account=accounts, n_bytes=st.integers(0, 10 * PROGRESS_RATE))
    def advance(self, account, n_bytes):
        account.advance(n_bytes, now=self.now)
        behind_since = self.behind_since[account] + n_bytes / PROGRESS_RATE
        self.behind_since[account] = min(self.now, behind_since)

    @rule(account=accounts)
    def begin(self, account):
        account.begin(now=self.now)
        self.behind_since[account] = self.now

    @rule(account=accounts, is_evictable=st.booleans())
    def set_evictable(self, account, is_evictable):
        account.is_evictable = is_evictable

    @rule(seconds=st.floats(0.0, 5.0))
    def wait(self, seconds):
        self.now += seconds

    @rule(account=consumes(accounts))
    def close(self, account):
        account.close()
        del self.held[account]

    @rule()
    def evict(self):
        chosen = choose_memory(self.budget, now=self.now)
        may_go = [
            account
            for account, held in self.held.items()
            if held
            and account.is_evictable
            and self.now - self.behind_since[account] >= MIN_LAG_SECONDS
        ]
        assert (chosen in may_go) if may_go else (chosen is None)
        connection = choose_connection(self.budget, now=self.now)
        evictable = [account for account in self.held if account.is_evictable]
        assert (connection in evictable) if evictable else (connection is None)

    @invariant()
    def the_sums_hold(self):
        total = sum(self.held.values())
        assert self.budget.held_bytes == total
        assert self.budget.n_open == len(self.held)
        assert not self.budget.fits(2 * LIMIT)
        assert self.budget.fits(LIMIT - total) or total < LIMIT - SMALL_BYTES
        if total > LIMIT * ALONE_SHARE:
            assert not self.budget.fits(LIMIT - total + 1)
        assert self.budget.correct() == 0


test_budget_machine = BudgetMachine.TestCase
test_budget_machine.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
