"""Errors of predictions, from lines as gateways write them."""

import json

from click.testing import CliRunner

from bilberryring.measure.main import main
from bilberryring.measure.prediction import read_predictions, summarize


def started(request, tokens, predicted_ms, attempt=1):
    return json.dumps(
        {
            "event": "attempt_started",
            "request": request,
            "prompt_tokens": tokens,
            "predicted_ms": predicted_ms,
            "attempt": attempt,
        }
    )


def finished(request, first_ms):
    return json.dumps(
        {"event": "request_finished", "request": request, "first_ms": first_ms}
    )


def test_prompts_are_matched_by_id_and_grouped_by_length():
    lines = [
        started("a", 5_000, 60),
        started("b", 150_000, 1_400),
        finished("b", 1_700),
        finished("a", 50),
    ]
    rows = summarize(read_predictions(lines))
    assert [(row.length_class, row.median_error_ms) for row in rows] == [
        ("up to 16 k", -10),
        ("over 90 k", 300),
    ]


def test_repeated_prompts_plain_requests_and_other_lines_are_left_out():
    lines = [
        started("a", 5_000, 60),
        started("a", 5_000, 60, attempt=2),
        finished("a", 900),
        started("plain", 0, 0),
        finished("plain", 80),
        "12.5 gateway-1 {not a line",
        "no line at all",
    ]
    assert read_predictions(lines) == []


def test_lines_may_have_a_prefix(tmp_path):
    path = tmp_path / "log.txt"
    path.write_text(
        f"  1.0 gateway-1 {started('a', 5_000, 60)}\n"
        f"  1.1 gateway-1 {finished('a', 75)}\n",
        "utf-8",
    )
    shown = CliRunner().invoke(main, ["prediction", str(path)])
    assert json.loads(shown.output)["median_error_ms"] == 15
