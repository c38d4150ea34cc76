"""The operators' limit on retries, summed over the entries that share it."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryring.execution import RetryWindow

RATIO, SLACK, SECONDS = 0.2, 40.0, 10.0
EVENTS = st.lists(
    st.tuples(
        st.floats(min_value=0.0, max_value=1.0),
        st.integers(min_value=0, max_value=3),
        st.booleans(),
    ),
    max_size=400,
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(events=EVENTS)
def test_all_entries_together_stay_within_the_limit(events):
    windows = [
        RetryWindow(ratio=RATIO, slack=SLACK, window_seconds=SECONDS) for _ in range(4)
    ]
    now, requests, retries = 0.0, [], []
    for pause, entry, is_request in events:
        now += pause
        if is_request:
            windows[entry].record_request(now=now)
            requests.append(now)
        elif windows[entry].try_spend(now=now, entries=4):
            retries.append(now)
        recent = [at for at in requests if at > now - SECONDS]
        spent = [at for at in retries if at > now - SECONDS]
        assert len(spent) <= RATIO * len(recent) + SLACK
