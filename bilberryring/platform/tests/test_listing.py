"""The decoding of a configuration of the platform for its check, and its names."""

import dataclasses
import json
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import bilberryring.tool
import bilberryring.validation
from bilberryring.fleet import CallerLimits, Route, Service
from bilberryring.platform.configuration import (
    ConfigurationDocument,
    ContentError,
    decode_configuration,
)
from bilberryring.platform.listing import (
    FIELD_NAMES,
    decode_listing,
)
from bilberryring.standins.gateway_site import (
    make_configuration,
    make_route,
)
from bilberryring.validation import (
    ListedWorkspace,
    Severity,
    check_configuration,
    compare_configurations,
)


def test_each_field_is_printed_with_a_name_of_the_platform():
    """Guards against a location that does not exist in the operators' file."""
    sample = {
        **make_route("/a/", "streaming", "s", backends=[], allowed_regions=[]),
        **make_configuration(),
        **make_configuration()["services"][1],
        **make_configuration()["tenants"][0],
        **dict.fromkeys(("max_header_bytes", "max_body_bytes", "header_timeout_ms"), 1),
        "idle_timeout_ms": 1,
    }
    for struct in (Route, Service, ListedWorkspace, CallerLimits):
        for field in dataclasses.fields(struct):
            assert FIELD_NAMES.get(field.name, field.name) in sample, field.name
    for section in ("version", "routes", "services", "workspaces", "limits"):
        name = FIELD_NAMES.get(section, section)
        assert name in ConfigurationDocument.__struct_fields__


@pytest.mark.parametrize("package", [bilberryring.tool, bilberryring.validation])
def test_the_names_of_the_platform_stay_in_its_adapter(package):
    """Guards against names of the platform in code that must not know them."""
    names = {*FIELD_NAMES.values(), "op/config"} - {"attempts", "backends"}
    for path in Path(package.__file__).parent.rglob("*.py"):
        text = path.read_text("utf-8")
        assert [name for name in names if name in text] == [], path


def test_what_gateways_accept_is_listed_the_same():
    """Guards against a check of other values than gateways use."""
    content = json.dumps(make_configuration()).encode()
    listing, used = decode_listing(content), decode_configuration(content)
    assert listing.routes == used.routes
    assert {service.name: service for service in listing.services} == used.services
    assert (listing.version, listing.limits) == (used.version, used.limits)
    assert check_configuration(listing) == ()


values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-5, 2**64)
    | st.floats()
    | st.text(max_size=5)
    | st.sampled_from(["idempotent", "streaming", "/a/", "a"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=5,
)


@st.composite
def changed_documents(draw):
    """A sound configuration with up to three values replaced or removed."""
    document = json.loads(json.dumps(make_configuration()))
    for _ in range(draw(st.integers(0, 3))):
        inner = document
        while True:
            is_list = isinstance(inner, list)
            keys = list(range(len(inner))) if is_list else sorted(inner)
            if not keys:
                break
            key = draw(st.sampled_from(keys))
            if isinstance(inner[key], list | dict) and draw(st.booleans()):
                inner = inner[key]
                continue
            if draw(st.booleans()):
                inner[key] = draw(values)
            else:
                del inner[key]
            break
    return document


@settings(max_examples=200, deadline=None, derandomize=True)
@given(changed_documents())
def test_no_document_makes_decoding_and_check_raise(document):
    """Guards against a traceback in place of an error with a remedy."""
    content = json.dumps(document).encode()
    try:
        listing = decode_listing(content)
    except ContentError:
        with pytest.raises(ContentError):
            decode_configuration(content)
        return
    findings = check_configuration(listing, in_force=listing, endpoint_counts={})
    for finding in findings:
        assert finding.text(names=FIELD_NAMES).isprintable()
    assert compare_configurations(listing, listing) == ()
    try:
        decode_configuration(content)
    except ContentError:
        assert any(f.severity is Severity.ERROR for f in findings)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_no_bytes_make_decoding_raise_another_error(content):
    """Guards against a traceback for a file that is no configuration."""
    try:
        decode_listing(content)
    except ContentError as error:
        assert "Remedy" in str(error)
