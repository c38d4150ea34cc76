"""A plot of the answers of a soak over time, with its faults marked."""

from pathlib import Path

from bilberryring.testing.soak_records import CallRecord, SoakRecords

FIGURE_INCHES = (14.0, 7.0)


def plot_answers(records: SoakRecords, path: Path) -> None:
    """Write a plot with a point for each request and a bar for each fault."""
    # The tests run without matplotlib, which only the extra `measure` installs.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    start = min((call.sent_at for call in records.calls), default=0.0)
    figure, (answers, faults) = pyplot.subplots(
        2, 1, sharex=True, figsize=FIGURE_INCHES, height_ratios=(2, 1)
    )
    outcomes: dict[str, list[CallRecord]] = {}
    for call in records.calls:
        outcomes.setdefault(_outcome(call), []).append(call)
    for outcome, calls in sorted(outcomes.items()):
        times = [call.sent_at - start for call in calls]
        answers.scatter(times, [c.seconds for c in calls], s=6, label=outcome)
    answers.set_ylabel("seconds to the end of the answer")
    answers.legend(loc="upper right", fontsize="small")
    kinds = sorted({fault.kind for fault in records.faults})
    for fault in records.faults:
        colour = "tab:blue" if fault.is_planned else "tab:red"
        length = max(0.1, fault.ended_at - fault.began_at)
        row = kinds.index(fault.kind)
        faults.barh(row, length, left=fault.began_at - start, color=colour, alpha=0.5)
    faults.set_yticks(range(len(kinds)), kinds, fontsize="small")
    faults.set_xlabel("seconds since the first request")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _outcome(call: CallRecord) -> str:
    if call.has_left:
        return "left"
    return f"{call.answer.status}{' cut' if call.answer.is_cut else ''}"
