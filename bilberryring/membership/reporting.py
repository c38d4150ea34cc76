"""Decides whether a sidecar sends a full report or only a beat.

A beat only shows that the sidecar is running. A report is sent when it would change
the decisions of entries, and at least every `REPORT_MAX_SECONDS`.
"""

from dataclasses import dataclass

from bilberryring.membership.evidence import (
    REPORT_MAX_SECONDS,
    REPORT_MIN_SECONDS,
    SidecarState,
)

WAIT_CHANGE_SECONDS = 0.05
"""Change of a predicted wait, in seconds, from which entries may prefer another
endpoint."""
RUNNING_CHANGE_SHARE = 0.25
"""Relative change of the running requests above which a report is sent."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportedLoad:
    """The contents of a report on which entries decide.

    `set_number` is the number of the published set in force, and `waits` are the
    seconds that the prefill of the backlog takes, by length class.
    """

    state: SidecarState
    set_number: int
    allowance: int
    running: int
    waits: tuple[float, ...]


def needs_report(
    *, last: ReportedLoad | None, current: ReportedLoad, since_last: float
) -> bool:
    """Whether to send a full report now, `since_last` seconds after the last one.

    `last` is `None` before the first report.

    >>> idle = ReportedLoad(state=SidecarState.READY, set_number=1, allowance=4,
    ...     running=0, waits=(0.0,))
    >>> needs_report(last=idle, current=idle, since_last=3.0)
    False
    >>> needs_report(last=idle, current=idle, since_last=6.0)
    True
    """
    if last is None or since_last >= REPORT_MAX_SECONDS:
        return True
    if (last.state, last.set_number) != (current.state, current.set_number):
        return True
    if since_last < REPORT_MIN_SECONDS:
        return False
    return _has_load_changed(last, current)


def _has_load_changed(last: ReportedLoad, current: ReportedLoad) -> bool:
    if last.allowance != current.allowance:
        return True
    change = abs(current.running - last.running)
    if change > RUNNING_CHANGE_SHARE * max(last.running, 1):
        return True
    return any(
        abs(new - old) > WAIT_CHANGE_SECONDS
        for new, old in zip(current.waits, last.waits, strict=False)
    )
