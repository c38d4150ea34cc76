"""A short soak of real processes with one seed."""

import json

from click.testing import CliRunner

from bilberryring.testing.soak import main
from bilberryring.testing.soak_seeds import KEPT_SEEDS, PLANNED_SEEDS

SEED = 4316
PLANNED_SEED = 9112
MINUTES = 0.13
RATE = 60.0


def test_a_short_soak_has_no_findings(tmp_path):
    """The records of a soak that has findings stay in the test's directory."""
    _assert_soak_has_no_findings(tmp_path, "--seed", str(SEED))


def test_a_short_soak_of_planned_work_has_no_findings(tmp_path):
    _assert_soak_has_no_findings(tmp_path, "--planned", "--seed", str(PLANNED_SEED))


def _assert_soak_has_no_findings(tmp_path, *arguments):
    arguments += ("--minutes", str(MINUTES))
    arguments += ("--rate", str(RATE), "--keep", str(tmp_path))
    result = CliRunner().invoke(main, arguments)
    lines = [json.loads(x) for x in result.output.splitlines() if x.startswith("{")]
    # An assertion about the list would show its findings cut short.
    findings = [line["finding"] for line in lines if "finding" in line]
    assert not findings, f"{tmp_path}\n{result.output}"
    assert result.exit_code == 0, result.output
    assert sum(lines[2]["requests"].values()) > 0.5 * RATE * 60.0 * MINUTES


def test_the_seeds_that_had_findings_are_kept():
    result = CliRunner().invoke(main, ["--kept", "--list"])
    assert result.exit_code == 0, result.output
    schedules = result.output.split(f"\n{1:4d} ")
    assert len(schedules) == len(KEPT_SEEDS) + len(PLANNED_SEEDS)
