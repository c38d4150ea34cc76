"""The counts of the demo's results, and the table that shows them."""

from dataclasses import dataclass, field

import click

from bilberryring.admission import LENGTH_CLASSES, LengthClass
from bilberryring.measure.statistics import percentile
from bilberryring.testing.caller import CallResult, PromptResult

BOOKING_KIND = "booking"


@dataclass(slots=True)
class KindTally:
    """The number of requests of one kind, by result.

    `whole` counts complete answers, `refused_not_run` refusals that guarantee that
    nothing was run, `cut` answers that ended without an end marker or an error, and
    `failed` all other errors.
    """

    sent: int = 0
    whole: int = 0
    refused_not_run: int = 0
    failed: int = 0
    cut: int = 0


@dataclass(slots=True)
class Tally:
    """The results of all requests.

    `first_tokens` holds the times to the first token in seconds. `confirmed`,
    `uncertain` and `refused` hold the references of bookings that were confirmed,
    that failed in a way that leaves their outcome open, and that were refused as not
    run. `effects` is the number of side effects per reference that the services
    counted.
    """

    kinds: dict[str, KindTally] = field(default_factory=dict)
    first_tokens: dict[LengthClass, list[float]] = field(default_factory=dict)
    confirmed: list[str] = field(default_factory=list)
    uncertain: list[str] = field(default_factory=list)
    refused: set[str] = field(default_factory=set)
    effects: dict[str, int] = field(default_factory=dict)
    errors: list[str] = field(default_factory=list)

    @property
    def doubled(self) -> int:
        """The number of bookings that took effect more than once."""
        return sum(1 for count in self.effects.values() if count > 1)

    @property
    def lost(self) -> int:
        """The number of confirmed bookings that took no effect."""
        return sum(1 for reference in self.confirmed if reference not in self.effects)

    @property
    def wrongly_refused(self) -> int:
        """The number of bookings that were refused as not run but took effect."""
        return len(self.refused & self.effects.keys())

    @property
    def has_passed(self) -> bool:
        """Whether all requests were answered completely or refused truthfully.

        No request may have been cut or have failed, and no booking may have taken
        effect twice, been lost, or taken effect although it was refused as not run.
        """
        n_incomplete = sum(kind.cut + kind.failed for kind in self.kinds.values())
        return not (n_incomplete or self.doubled or self.lost or self.wrongly_refused)

    def add_prompt(self, kind: str, length: LengthClass, result: PromptResult) -> None:
        """Add the result of a prompt."""
        tally = self._count_sent(kind)
        if result.is_whole:
            tally.whole += 1
            self.first_tokens.setdefault(length, []).append(result.first_token)
        elif result.outcome == "not_run":
            tally.refused_not_run += 1
        elif result.is_cut:
            tally.cut += 1
            self.errors.append(f"{kind}: cut: {result.detail}")
        else:
            tally.failed += 1
            self.errors.append(
                f"{kind}: {result.code} ({result.outcome}) after "
                f"{result.seconds:.1f} s: {result.detail}"
            )

    def add_booking(self, reference: str, result: CallResult) -> None:
        """Add the result of a booking."""
        tally = self._count_sent(BOOKING_KIND)
        if result.status == 201:
            tally.whole += 1
            self.confirmed.append(reference)
        elif result.outcome == "not_run":
            tally.refused_not_run += 1
            self.refused.add(reference)
        else:
            tally.failed += 1
            self.uncertain.append(reference)
            self.errors.append(f"{reference}: {result.code} ({result.outcome})")

    def _count_sent(self, kind: str) -> KindTally:
        tally = self.kinds.setdefault(kind, KindTally())
        tally.sent += 1
        return tally


def print_table(tally: Tally) -> None:
    """Print the counts, the times to the first token, and the errors."""
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
        f"\nbookings confirmed {len(tally.confirmed)}, side effects "
        f"{sum(tally.effects.values())}, doubled {tally.doubled}, "
        f"lost {tally.lost}, refused but run {tally.wrongly_refused}"
    )
    for error in tally.errors:
        click.echo(error)
    click.echo("result: " + ("good" if tally.has_passed else "NOT GOOD"))
