"""The limits that follow from the settings of a machine."""

import pytest

from bilberryring.budget import limits_of_machine
from bilberryring.budget.limits import FILE_DESCRIPTORS, MIB

BODY_BYTES = 4 * MIB


def limits(memory_mb=152, descriptors=1_535, body=BODY_BYTES, available=1_048_576):
    return limits_of_machine(
        memory_bytes=None if memory_mb is None else memory_mb * MIB,
        max_descriptors=descriptors,
        largest_request_bytes=body,
        available_descriptors=available,
    )


def test_the_smallest_machine_holds_several_largest_requests():
    assert limits().memory_bytes >= 5 * 2 * BODY_BYTES
    assert not limits().is_floor


@pytest.mark.parametrize("memory_mb", [-5, 0, 1, 47, 64, 90])
def test_an_implausible_memory_gives_the_floor(memory_mb):
    """One largest request must fit, however small the machine claims to be."""
    assert limits(memory_mb).is_floor
    assert limits(memory_mb).memory_bytes >= 2 * BODY_BYTES


def test_without_a_setting_the_default_holds_many_largest_requests():
    assert limits(None).memory_bytes >= 50 * 2 * BODY_BYTES
    assert not limits(None).is_floor


def test_descriptors_are_kept_for_files_and_peers():
    assert limits().max_connections <= 1_535 - FILE_DESCRIPTORS - 300
    assert limits().max_connections >= 1_000


def test_the_operating_system_may_allow_fewer_descriptors():
    few = limits(available=1_024).max_connections
    assert few < limits().max_connections
    assert limits(descriptors=None, available=1_024).max_connections == few
    assert limits(descriptors=3).max_connections > 0
