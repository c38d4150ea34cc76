"""Tests of the command-line tool through its commands."""

import json
import re
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryring.objects import MAX_PART_BYTES, Kind, difference, source
from bilberryring.tool.main import main
from bilberryring.validation import check_objects

EXAMPLE = Path(__file__).parents[3] / "examples" / "luminarie"


@pytest.fixture
def run():
    return lambda *arguments: CliRunner().invoke(main, [str(a) for a in arguments])


@pytest.fixture
def edited_directory(tmp_path):
    """A copy of the example with one failure domain taken out."""
    directory = tmp_path / "edited"
    directory.mkdir()
    for path in EXAMPLE.iterdir():
        text = path.read_text("utf-8").replace(
            '"tirano", region: "nord-ovest", state: "in"',
            '"tirano", region: "nord-ovest", state: "out"',
        )
        (directory / path.name).write_text(text, "utf-8")
    return directory


def test_check_diff_and_render_of_a_change(run, edited_directory, tmp_path):
    assert run("check", EXAMPLE).exit_code == 0
    assert run("render", EXAMPLE, "--out", tmp_path / "one").exit_code == 0
    shown = run("diff", edited_directory, "--onto", tmp_path / "one")
    assert "changed failure_domains/tirano (state)" in shown.output
    rendered = run(
        "render",
        edited_directory,
        "--onto",
        tmp_path / "one",
        "--out",
        tmp_path / "two",
    )
    assert rendered.output.startswith("set 2 ")
    keys = (tmp_path / "two" / "keys.txt").read_text().splitlines()
    assert keys[-1].startswith("set/000000000002-")


def test_findings_exit_with_status_1_and_prevent_rendering(
    run, edited_directory, tmp_path
):
    (edited_directory / "extra.json5").write_text(
        "{versions: [{name: 'x', model: 'gone'}]}"
    )
    checked = run("check", edited_directory, "--json")
    assert checked.exit_code == 1
    assert "field_invalid" in json.loads(checked.output)["findings"][0]
    rendered = run("render", edited_directory, "--out", tmp_path / "out")
    assert rendered.exit_code == 1
    assert not (tmp_path / "out").exists()


def test_status_lists_unreachable_processes(run):
    shown = run("status", "--at", "127.0.0.1:1")
    assert shown.exit_code == 1
    assert "unreachable: 127.0.0.1:1" in shown.output


def test_help_lists_the_steps_of_a_change(run):
    text = run("--help").output
    for word in ("check", "diff", "render", "status", "explain", "keys.txt"):
        assert word in text


LOG = """\
{"event": "attempt_started", "request": "a"}
{"event": "request_finished", "request": "a", "delivered": "whole"}
front-1 12.3 {"event": "attempt_started", "request": "b"}
{"event": "caller_left", "request": "c", "delivered": "cut"}
"""


def test_losses_shows_a_request_without_a_last_record(run, tmp_path):
    path = tmp_path / "gateway.log"
    path.write_text(LOG, "utf-8")
    shown = run("losses", path)
    assert shown.exit_code == 1
    assert shown.output.splitlines() == [
        "3 requests, 0 lines dropped",
        "no last record: b",
    ]


@pytest.mark.parametrize("delivered", ["cut", "nothing"])
def test_losses_shows_a_request_that_was_not_answered_whole(run, tmp_path, delivered):
    path = tmp_path / "gateway.log"
    path.write_text(
        f'{{"event": "request_failed", "request": "d", "delivered": "{delivered}"}}'
    )
    assert run("losses", path).exit_code == 1


def test_losses_counts_the_callers_that_left_after_a_silence_by_cause(run, tmp_path):
    path = tmp_path / "gateway.log"
    path.write_text(
        '{"event": "caller_left", "request": "a", "delivered": "cut",'
        ' "silent_ms": 2001, "patience_ms": 2000, "silence_cause": "helper_part"}\n'
        '{"event": "caller_left", "request": "b", "delivered": "cut",'
        ' "silent_ms": 400, "patience_ms": 2000, "silence_cause": null}\n'
        '{"event": "caller_left", "request": "c", "delivered": "nothing",'
        ' "silent_ms": 1990, "patience_ms": 2000, "silence_cause": null}\n',
        "utf-8",
    )
    shown = run("losses", path)
    assert shown.exit_code == 0
    assert shown.output.splitlines() == [
        "3 requests, 0 lines dropped",
        "callers that left after a silence: 1, cause helper_part",
        "callers that left after a silence: 1, cause unknown",
    ]


def test_objects_with_warnings_only_exit_with_status_3_and_can_be_rendered(
    run, edited_directory, tmp_path
):
    """Guards against warnings that a script takes for errors, or does not notice."""
    path = edited_directory / "workspaces.json5"
    keys = re.compile(r"key_digests: \[[^]]*\]")
    path.write_text(keys.sub("key_digests: []", path.read_text("utf-8"), count=1))
    checked = run("check", edited_directory)
    assert checked.exit_code == 3
    assert checked.output.startswith("warning: workspace_without_keys: workspaces/")
    assert "1 findings (1 warnings)" in checked.output
    (detail,) = json.loads(run("check", edited_directory, "--json").output)["details"]
    assert (detail["code"], detail["severity"]) == ("workspace_without_keys", "warning")
    assert run("render", edited_directory, "--out", tmp_path / "out").exit_code == 0


@pytest.mark.parametrize(
    "content",
    [b"\xff\xfe", b"{\x00", b"[" * 100_000, b"{'\\ud800': []}", None],
    ids=["no UTF-8", "NUL", "deep", "surrogate", "directory"],
)
def test_an_object_file_that_cannot_be_read_is_a_finding(
    run, edited_directory, content
):
    """Guards against a traceback in place of an error with a remedy."""
    path = edited_directory / "odd.json5"
    if content is None:
        path.mkdir()
    else:
        path.write_bytes(content)
    checked = run("check", edited_directory)
    assert (checked.exit_code, type(checked.exception)) == (1, SystemExit)
    assert "odd.json5" in checked.output and ". Remedy: " in checked.output


def test_object_files_are_read_up_to_a_limit(run, edited_directory, monkeypatch):
    """Guards against files that fill the memory; later files are read if they fit."""
    size = sum(path.stat().st_size for path in edited_directory.iterdir())
    monkeypatch.setattr(source, "MAX_DIRECTORY_BYTES", size)
    assert run("check", edited_directory).exit_code == 0
    (edited_directory / "added.json5").write_text(" " * (size + 1))
    checked = run("check", edited_directory)
    assert checked.exit_code == 1
    assert checked.output.startswith("file_unreadable: added.json5: all files have")
    assert "1 findings" in checked.output


def test_a_rendered_part_that_is_too_long_is_an_error(run, edited_directory, tmp_path):
    """Guards against a set in force that fills the memory, and against a traceback."""
    directory = tmp_path / "one"
    assert run("render", EXAMPLE, "--out", directory).exit_code == 0
    part = next((directory / "part").iterdir())
    part.write_bytes(b" " * (MAX_PART_BYTES + 1))
    shown = run("diff", edited_directory, "--onto", directory)
    assert shown.exit_code == 2
    assert "set_unreadable: " in shown.output and "Remedy: " in shown.output


json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.sampled_from(["a", "", "in", "127.0.0.1:9000", "0" * 64, "\ud800", "\x1b"])
    | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=3,
)


@st.composite
def object_files(draw):
    """Draw lists of objects of any kind whose fields have any values."""
    content = {}
    for kind in draw(st.lists(st.sampled_from(Kind), max_size=4)):
        fields = st.sampled_from([*kind.struct.__struct_fields__, "other"])
        objects = st.dictionaries(fields, json_values, max_size=6)
        content[kind.value] = draw(st.lists(objects, max_size=3) | json_values)
    return json.dumps(content)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(object_files())
def test_no_object_file_makes_a_check_raise(text):
    """Guards against a traceback in place of findings."""
    result = source.read_texts({"a.json5": text})
    for finding in check_objects(result.objects, findings=result.findings):
        assert finding.text().isprintable()
        assert finding.remedy
    assert difference(result.objects, result.objects) == ()
