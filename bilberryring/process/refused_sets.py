"""Refused sets in the status of a process that takes published sets."""

from bilberryring.acceptance import RefusedSet
from bilberryring.process.operator_site import RefusedSetStatus


def refused_statuses(refused: tuple[RefusedSet, ...]) -> tuple[RefusedSetStatus, ...]:
    """Convert refused sets to the form that the status shows."""
    return tuple(
        RefusedSetStatus(
            number=item.number,
            digest=item.digest,
            reason=item.reason,
            remedy=item.remedy,
        )
        for item in refused
    )
