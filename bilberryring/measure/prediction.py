"""Predicted and seen times to the first token, read from gateways' logs."""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import click
import msgspec

from bilberryring.measure.statistics import percentile

LENGTH_CLASSES = ((16_000, "up to 16 k"), (90_000, "up to 90 k"))
"""Prompt tokens below which a class ends, and its name."""
LONGEST_CLASS = "over 90 k"


class _Line(msgspec.Struct, kw_only=True):
    event: str = ""
    request: str = ""
    prompt_tokens: int = 0
    predicted_ms: float = 0.0
    attempt: int = 0
    first_ms: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Prediction:
    """One prompt that its first endpoint answered; times in milliseconds."""

    prompt_tokens: int
    predicted_ms: float
    seen_ms: float

    @property
    def error_ms(self) -> float:
        """How much later the first token came than predicted."""
        return self.seen_ms - self.predicted_ms

    @property
    def length_class(self) -> str:
        """The class of the prompt's length."""
        for most, name in LENGTH_CLASSES:
            if self.prompt_tokens < most:
                return name
        return LONGEST_CLASS


class PredictionRow(msgspec.Struct, frozen=True, kw_only=True):
    """The errors of one length class, in milliseconds."""

    length_class: str
    prompts: int
    median_seen_ms: float
    median_error_ms: float
    tenth_error_ms: float
    ninetieth_error_ms: float


def read_predictions(lines: Iterable[str]) -> list[Prediction]:
    """Return the prompts that were answered after one send.

    What stands before the first brace of a line is skipped, so that lines with a
    prefix can be read too; lines that are no log lines are left out.
    """
    started: dict[str, _Line] = {}
    predictions = []
    for text in lines:
        line = _decode(text)
        if line is None:
            continue
        if line.event == "attempt_started" and line.prompt_tokens:
            started[line.request] = line
        elif line.event == "request_finished" and line.request in started:
            first = started.pop(line.request)
            if first.attempt == 1:
                predictions.append(
                    Prediction(
                        prompt_tokens=first.prompt_tokens,
                        predicted_ms=first.predicted_ms,
                        seen_ms=line.first_ms,
                    )
                )
    return predictions


def summarize(predictions: Iterable[Prediction]) -> list[PredictionRow]:
    """Return one row for each length class with prompts."""
    groups: dict[str, list[Prediction]] = {}
    for prediction in predictions:
        groups.setdefault(prediction.length_class, []).append(prediction)
    names = [*(name for _, name in LENGTH_CLASSES), LONGEST_CLASS]
    return [_row(name, groups[name]) for name in names if name in groups]


def run_table(*, logs: tuple[Path, ...], out: Path | None) -> None:
    """Print a JSON line for each class, and draw the prompts into `out`."""
    predictions = []
    for path in logs:
        with path.open(encoding="utf-8", errors="replace") as lines:
            predictions += read_predictions(lines)
    for row in summarize(predictions):
        click.echo(msgspec.json.encode(row).decode())
    if out is not None:
        _draw(predictions, out)


def _decode(text: str) -> _Line | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        return msgspec.json.decode(text[start:], type=_Line)
    except msgspec.DecodeError:
        return None


def _row(name: str, predictions: list[Prediction]) -> PredictionRow:
    errors = [item.error_ms for item in predictions]
    seen = [item.seen_ms for item in predictions]
    return PredictionRow(
        length_class=name,
        prompts=len(predictions),
        median_seen_ms=round(percentile(seen, 0.5)),
        median_error_ms=round(percentile(errors, 0.5)),
        tenth_error_ms=round(percentile(errors, 0.1)),
        ninetieth_error_ms=round(percentile(errors, 0.9)),
    )


def _draw(predictions: list[Prediction], out: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 6))
    names = [*(name for _, name in LENGTH_CLASSES), LONGEST_CLASS]
    for name in names:
        group = [item for item in predictions if item.length_class == name]
        axes.plot(
            [item.predicted_ms for item in group],
            [item.seen_ms for item in group],
            linestyle="none",
            marker=".",
            label=name,
        )
    axes.set(xscale="log", yscale="log", xlabel="predicted ms", ylabel="seen ms")
    axes.axline((100.0, 100.0), slope=1.0, color="grey", linewidth=0.8)
    axes.legend(title="prompt tokens")
    figure.savefig(out)
