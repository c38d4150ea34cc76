"""The check of whole sets: every fault in one run, and no input crashes it."""

import json
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryring.objects import (
    DomainState,
    FailureDomain,
    FindingCode,
    Kind,
    Model,
    ModelEndpoint,
    ObjectSet,
    Priority,
    SetError,
    Version,
    Workspace,
    build_set,
    decode_part,
    difference,
    findings_of,
    key_digest,
    read_directory,
    read_texts,
    render_set,
)

EXAMPLES = Path(__file__).parents[3] / "examples"
DEPLOYMENTS = ("sifon-andino", "luminarie")


def small_set(**changes) -> ObjectSet:
    objects = ObjectSet(
        failure_domains={"d1": FailureDomain(name="d1", region="r")},
        priorities={"p": Priority(name="p", rank=0)},
        models={"m": Model(name="m", default_version="v")},
        versions={"v": Version(name="v", model="m", weights_megabytes=10)},
        workspaces={
            "w": Workspace(
                name="w", priority="p", models=("m",), key_digests=(key_digest("k"),)
            )
        },
        model_endpoints={
            "e": ModelEndpoint(
                name="e", failure_domain="d1", sidecar="10.0.0.1:9", versions=("v",)
            )
        },
    )
    return replace(objects, **changes)


def codes_of(objects: ObjectSet) -> set[FindingCode]:
    return {finding.code for finding in findings_of(objects)}


def test_small_set_is_consistent():
    assert findings_of(small_set()) == []


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_examples_are_consistent(deployment):
    reading = read_directory(EXAMPLES / deployment)
    assert reading.findings == ()
    assert len(reading.objects.model_endpoints) == 20
    assert len(reading.objects.service_endpoints) == 3
    assert len(reading.objects.workspaces) == 10


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_rendered_set_reads_back_the_same(deployment):
    objects = read_directory(EXAMPLES / deployment).objects
    canonical = render_set(objects, predecessor=None)
    read_back = build_set(
        item for part in canonical.parts.values() for item in decode_part(part)
    )
    assert difference(objects, read_back) == ()


def test_one_changed_object_changes_one_part():
    objects = small_set()
    first = render_set(objects, predecessor=None)
    priorities = {"p": Priority(name="p", rank=1)}
    second = render_set(
        replace(objects, priorities=priorities), predecessor=first.manifest
    )
    assert len(second.parts.keys() - first.parts.keys()) == 1
    assert second.manifest.digest_of_predecessor(1) == first.manifest.digest


@pytest.mark.parametrize(
    ("changes", "code"),
    [
        ({"priorities": {}}, FindingCode.REFERENCE_DANGLING),
        ({"model_endpoints": {}}, FindingCode.VERSION_NOT_HELD),
        (
            {"versions": {"v": Version(name="v", model="m", weights_megabytes=10**6)}},
            FindingCode.WEIGHTS_TOO_LARGE,
        ),
        (
            {
                "priorities": {
                    "p": Priority(name="p", rank=0),
                    "q": Priority(name="q", rank=1),
                }
            },
            FindingCode.OBJECT_UNUSED,
        ),
        (
            {
                "failure_domains": {
                    "d1": FailureDomain(name="d1", region="r", state=DomainState.OUT)
                }
            },
            FindingCode.MODEL_UNSERVED,
        ),
        (
            {"models": {"m": Model(name="m", default_version="v", fallback="m")}},
            FindingCode.REFERENCE_CYCLIC,
        ),
    ],
)
def test_each_fault_is_found(changes, code):
    assert code in codes_of(small_set(**changes))


def test_last_domain_may_leave_when_the_set_says_so():
    domain = FailureDomain(
        name="d1", region="r", state=DomainState.OUT, allow_unserved=True
    )
    assert codes_of(small_set(failure_domains={"d1": domain})) == set()


def test_shares_over_the_whole_and_shared_keys_are_found():
    workspaces = {
        name: Workspace(
            name=name,
            priority="p",
            models=("m",),
            share=0.6,
            key_digests=(key_digest("k"),),
        )
        for name in ("w1", "w2")
    }
    codes = codes_of(small_set(workspaces=workspaces))
    assert {FindingCode.SHARES_OVER_WHOLE, FindingCode.KEY_SHARED} <= codes


def test_all_faults_come_in_one_run_with_their_places():
    texts = {
        "a.json5": "{priorities: [{name: 'p', rank: 'x'}, {name: 'q', colour: 1}]}",
        "b.json5": "{workspaces: [{name: 'w', priority: 'gone', key_digests: []}]",
        "c.json5": "// no kind\n{lamps: []}",
        "d.json5": "{models: [{name: 'm', default_version: 'gone'}]}",
    }
    findings = read_texts(texts).findings
    assert [(f.file, f.code.value, f.field) for f in findings] == [
        ("a.json5", "field_invalid", "rank"),
        ("a.json5", "field_invalid", "colour"),
        ("b.json5", "file_unreadable", ""),
        ("c.json5", "kind_unknown", ""),
        ("d.json5", "reference_dangling", "default_version"),
    ]
    assert all(finding.code.remedy in finding.text for finding in findings)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=8), children, max_size=4)
    ),
    max_leaves=12,
)
field_names = st.sampled_from(
    sorted({field for kind in Kind for field in kind.struct.__struct_fields__})
)
entries = st.dictionaries(field_names, json_values | st.just("p"), max_size=6)
kind_names = st.sampled_from([kind.value for kind in Kind]) | st.text(max_size=5)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.dictionaries(kind_names, st.lists(entries | json_values, max_size=3)))
def test_no_content_crashes_the_check(content):

    for finding in read_texts({"x.json5": json.dumps(content)}).findings:
        assert finding.text


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.text(max_size=60))
def test_no_text_crashes_the_check(text):
    read_texts({"x.json5": text})


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=80))
def test_no_bytes_crash_a_part(content):

    try:
        list(decode_part(content))
    except SetError as error:
        assert "Remedy" in str(error)
