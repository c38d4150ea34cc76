"""When a sidecar sends a whole report, and when a beat is enough.

A beat only says that the sidecar lives. A report goes out when it would change
what entries decide, and now and then in any case.
"""

from dataclasses import dataclass

from bilberryring.membership.evidence import (
    REPORT_MAX_SECONDS,
    REPORT_MIN_SECONDS,
    SidecarState,
)

WAIT_CHANGE_SECONDS = 0.05
"""A change of the expected wait that makes another endpoint the better one."""
RUNNING_CHANGE_SHARE = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportedLoad:
    """What a report says; `waits` are seconds of prefill by length class."""

    state: SidecarState
    set_number: int
    allowance: int
    running: int
    waits: tuple[float, ...]


def needs_report(
    *, last: ReportedLoad | None, current: ReportedLoad, since_last: float
) -> bool:
    """Whether to send a whole report now, `since_last` seconds after the last.

    >>> quiet = ReportedLoad(state=SidecarState.READY, set_number=1, allowance=4,
    ...     running=0, waits=(0.0,))
    >>> needs_report(last=quiet, current=quiet, since_last=3.0)
    False
    >>> needs_report(last=quiet, current=quiet, since_last=6.0)
    True
    """
    if last is None or since_last >= REPORT_MAX_SECONDS:
        return True
    if (last.state, last.set_number) != (current.state, current.set_number):
        return True
    if since_last < REPORT_MIN_SECONDS:
        return False
    return _differs(last, current)


def _differs(last: ReportedLoad, current: ReportedLoad) -> bool:
    if last.allowance != current.allowance:
        return True
    change = abs(current.running - last.running)
    if change > RUNNING_CHANGE_SHARE * max(last.running, 1):
        return True
    return any(
        abs(new - old) > WAIT_CHANGE_SECONDS
        for new, old in zip(current.waits, last.waits, strict=False)
    )
