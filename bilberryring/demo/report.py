"""The table at the end of the demo."""

from dataclasses import dataclass, field

import click

from bilberryring.admission import LENGTH_CLASSES, LengthClass
from bilberryring.measure.statistics import percentile
from bilberryring.testing.caller import CallResult, PromptResult

BOOKING_KIND = "booking"


@dataclass(slots=True)
class KindTally:
    """Counts of one kind of work."""

    sent: int = 0
    whole: int = 0
    refused_not_run: int = 0
    failed: int = 0
    cut: int = 0


@dataclass(slots=True)
class Tally:
    """All results; `effects` is what the services counted themselves."""

    kinds: dict[str, KindTally] = field(default_factory=dict)
    first_tokens: dict[LengthClass, list[float]] = field(default_factory=dict)
    booked: list[str] = field(default_factory=list)
    unsure: list[str] = field(default_factory=list)
    refused: set[str] = field(default_factory=set)
    effects: dict[str, int] = field(default_factory=dict)
    errors: list[str] = field(default_factory=list)

    @property
    def doubled(self) -> int:
        """The references that took effect more than once."""
        return sum(1 for count in self.effects.values() if count > 1)

    @property
    def lost(self) -> int:
        """The confirmed bookings that took no effect."""
        return sum(1 for reference in self.booked if reference not in self.effects)

    @property
    def untrue(self) -> int:
        """The effects of bookings that were refused as not run."""
        return len(self.refused & self.effects.keys())

    @property
    def is_good(self) -> bool:
        """Whether nothing was cut, failed, doubled, lost or untrue."""
        broken = sum(kind.cut + kind.failed for kind in self.kinds.values())
        return not (broken or self.doubled or self.lost or self.untrue)

    def add_prompt(self, kind: str, length: LengthClass, result: PromptResult) -> None:
        """Count the result of a prompt."""
        tally = self._kind(kind)
        if result.is_whole:
            tally.whole += 1
            self.first_tokens.setdefault(length, []).append(result.first_token)
        elif result.outcome == "not_run":
            tally.refused_not_run += 1
        elif result.cut:
            tally.cut += 1
            self.errors.append(f"{kind}: cut: {result.detail}")
        else:
            tally.failed += 1
            self.errors.append(
                f"{kind}: {result.code} ({result.outcome}) after "
                f"{result.seconds:.1f} s: {result.detail}"
            )

    def add_booking(self, reference: str, result: CallResult) -> None:
        """Count the result of a booking."""
        tally = self._kind(BOOKING_KIND)
        if result.status == 201:
            tally.whole += 1
            self.booked.append(reference)
        elif result.outcome == "not_run":
            tally.refused_not_run += 1
            self.refused.add(reference)
        else:
            tally.failed += 1
            self.unsure.append(reference)
            self.errors.append(f"{reference}: {result.code} ({result.outcome})")

    def _kind(self, kind: str) -> KindTally:
        tally = self.kinds.setdefault(kind, KindTally())
        tally.sent += 1
        return tally


def print_table(tally: Tally) -> None:
    """Print the results."""
    click.echo(
        f"{'kind':<16}{'sent':>7}{'whole':>7}{'refused':>9}{'failed':>8}{'cut':>5}"
    )
    for name, kind in sorted(tally.kinds.items()):
        click.echo(
            f"{name:<16}{kind.sent:>7}{kind.whole:>7}{kind.refused_not_run:>9}"
            f"{kind.failed:>8}{kind.cut:>5}"
        )
    click.echo(f"\n{'first token':<16}{'count':>7}{'median s':>10}{'95th s':>9}")
    for length in LENGTH_CLASSES:
        values = tally.first_tokens.get(length)
        if values:
            click.echo(
                f"{length.label:<16}{len(values):>7}"
                f"{percentile(values, 0.5):>10.3f}{percentile(values, 0.95):>9.3f}"
            )
    click.echo(
        f"\nbookings confirmed {len(tally.booked)}, side effects "
        f"{sum(tally.effects.values())}, doubled {tally.doubled}, "
        f"lost {tally.lost}, untrue refusals {tally.untrue}"
    )
    for error in tally.errors:
        click.echo(error)
    click.echo("result: " + ("good" if tally.is_good else "NOT GOOD"))
