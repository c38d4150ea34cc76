"""Differences between two versions of a configuration."""

import dataclasses

import pytest
from hypothesis import given, settings

from bilberryring.fleet import CallerLimits, Route
from bilberryring.objects import ChangeKind
from bilberryring.validation import compare_configurations
from bilberryring.validation.tests.listings import (
    any_listing,
    make_listing,
    make_route,
    make_service,
    make_workspace,
)

OLD = make_listing()


def lines(old, new):
    return [item.text() for item in compare_configurations(old, new)]


@pytest.mark.parametrize(
    ("new", "expected"),
    [
        (make_listing(version=3), ["changed version (1 to 3)"]),
        (
            make_listing(routes=(make_route(timeout=5.0, priority=2),)),
            ["changed routes/look (timeout, priority)"],
        ),
        (
            make_listing(routes=(make_route("chat"),)),
            ["added routes/chat", "removed routes/look"],
        ),
        (
            make_listing(services=(make_service(max_connections=7),)),
            ["changed services/orders (max_connections)"],
        ),
        (
            make_listing(services=(make_service(), make_service())),
            ["added services/orders"],
        ),
        (make_listing(workspaces=()), ["removed workspaces/bars"]),
        (
            make_listing(workspaces=None),
            ["removed workspaces (callers need no key)", "removed workspaces/bars"],
        ),
        (
            make_listing(workspaces=(make_workspace(regions=("north",)),)),
            ["changed workspaces/bars (regions)"],
        ),
        (
            make_listing(workspaces=(make_workspace(key_digests=("x", "y")),)),
            ["changed workspaces/bars (key_digests, 2 keys added, 1 removed)"],
        ),
        (
            make_listing(
                limits=CallerLimits(max_body_bytes=4_194_305, idle_timeout=0.5)
            ),
            [
                "changed limits (max_body_bytes, 4194304 to 4194305 bytes)",
                "changed limits (idle_timeout, 15 to 0.5 s)",
            ],
        ),
    ],
)
def test_each_changed_entry_is_named(new, expected):
    """Guards against a change that an operator does not see before it is sent."""
    assert lines(OLD, new) == expected


@pytest.mark.parametrize("section", ["routes", "services", "workspaces", "limits"])
def test_a_change_of_any_field_is_named(section):
    """Guards against a field that the comparison leaves out."""
    items = getattr(OLD, section)
    entry = items if section == "limits" else items[0]
    for field in dataclasses.fields(entry):
        if field.name == "name":
            continue
        value = getattr(entry, field.name)
        other = value + 1 if isinstance(value, int | float) else ("other",)
        changed = dataclasses.replace(entry, **{field.name: other})
        new = changed if section == "limits" else (changed,)
        (found,) = compare_configurations(OLD, make_listing(**{section: new}))
        assert (found.change, found.fields) == (ChangeKind.CHANGED, (field.name,))


def test_keys_in_another_order_are_told_from_other_keys():
    """Guards against a difference that seems to have no content."""
    one = make_listing(workspaces=(make_workspace(key_digests=("x", "y")),))
    two = make_listing(workspaces=(make_workspace(key_digests=("y", "x")),))
    expected = ["changed workspaces/bars (key_digests, keys in another order)"]
    assert lines(one, two) == expected


def test_without_a_version_in_force_every_entry_is_added():
    """Guards against an empty difference before the first publication."""
    assert lines(None, OLD) == [
        "added version (1)",
        "added routes/look",
        "added services/orders",
        "added workspaces/bars",
    ]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(any_listing)
def test_a_configuration_does_not_differ_from_itself(listing):
    """Guards against differences that are not there."""
    assert compare_configurations(listing, listing) == ()


@settings(max_examples=200, deadline=None, derandomize=True)
@given(any_listing, any_listing)
def test_different_configurations_differ(old, new):
    """Guards against a change that is not shown, whichever entries there are."""

    def content(listing):
        entries = (
            sorted(repr(item) for item in listing.routes if isinstance(item, Route)),
            sorted(map(repr, listing.services)),
            sorted((repr(item), item.key_digests) for item in listing.workspaces or ()),
        )
        return entries, listing.version, listing.limits, listing.workspaces is None

    differences = compare_configurations(old, new)
    if content(old) != content(new):
        assert differences
    for item in differences:
        assert item.text().isprintable()
