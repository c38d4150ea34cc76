"""Tests of reading, validating, rendering and comparing sets of objects.

All problems must be reported in one run, and no input may cause an exception that
is not handled.
"""

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
    key_digest,
    list_findings,
    read_directory,
    read_texts,
    render_set,
)

EXAMPLES = Path(__file__).parents[3] / "examples"
DEPLOYMENTS = ("sifon-andino", "luminarie")


def make_small_set(**changes) -> ObjectSet:
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


def finding_codes(objects: ObjectSet) -> set[FindingCode]:
    return {finding.code for finding in list_findings(objects)}


def test_small_set_has_no_findings():
    assert list_findings(make_small_set()) == []


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_examples_have_no_findings(deployment):
    result = read_directory(EXAMPLES / deployment)
    assert result.findings == ()
    assert len(result.objects.model_endpoints) == 20
    assert len(result.objects.service_endpoints) == 3
    assert len(result.objects.workspaces) == 10


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_rendered_set_decodes_to_the_same_objects(deployment):
    objects = read_directory(EXAMPLES / deployment).objects
    canonical = render_set(objects, predecessor=None)
    read_back = build_set(
        item for part in canonical.parts.values() for item in decode_part(part)
    )
    assert difference(objects, read_back) == ()


def test_one_changed_object_changes_one_part():
    objects = make_small_set()
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
def test_each_problem_is_reported(changes, code):
    assert code in finding_codes(make_small_set(**changes))


def test_allow_unserved_permits_taking_out_the_last_failure_domain():
    domain = FailureDomain(
        name="d1", region="r", state=DomainState.OUT, allow_unserved=True
    )
    assert finding_codes(make_small_set(failure_domains={"d1": domain})) == set()


def test_excessive_shares_and_shared_keys_are_reported():
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
    codes = finding_codes(make_small_set(workspaces=workspaces))
    assert {FindingCode.SHARES_OVER_WHOLE, FindingCode.KEY_SHARED} <= codes


def test_problems_of_all_files_are_reported_with_file_and_field():
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
def test_reading_arbitrary_json_content_raises_nothing(content):

    for finding in read_texts({"x.json5": json.dumps(content)}).findings:
        assert finding.text


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.text(max_size=60))
def test_reading_arbitrary_text_raises_nothing(text):
    read_texts({"x.json5": text})


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=80))
def test_decoding_arbitrary_bytes_raises_only_set_error(content):

    try:
        list(decode_part(content))
    except SetError as error:
        assert "Remedy" in str(error)
