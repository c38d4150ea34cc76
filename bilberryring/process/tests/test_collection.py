"""The garbage collector during the imports of a process."""

import gc

import pytest

from bilberryring.process.collection import no_collection


@pytest.fixture(autouse=True)
def thawed():
    yield
    gc.unfreeze()


def test_the_collector_skips_what_the_block_has_made_and_goes_on_after_it():
    with no_collection():
        assert not gc.isenabled()
        made = [[number] for number in range(10_000)]
    assert gc.isenabled()
    assert gc.get_freeze_count() > len(made)


def test_a_block_that_fails_leaves_the_collector_on():
    with pytest.raises(ImportError), no_collection():
        raise ImportError
    assert gc.isenabled()
