"""When free pages are returned to the system."""

import pytest
from twisted.internet.task import Clock

from bilberryring.process import allocator
from bilberryring.process.allocator import (
    USELESS_SECONDS,
    WORTHWHILE_BYTES,
    FreePages,
    resident_bytes,
)

ABOVE = 1_000_000_000


class Process:
    """A process that takes the memory that the test sets."""

    def __init__(self):
        self.taken = []
        self.n_looks = 0

    def resident_bytes(self):
        self.n_looks += 1
        return self.taken.pop(0)


@pytest.fixture
def process(monkeypatch):
    process = Process()
    monkeypatch.setattr(allocator, "resident_bytes", process.resident_bytes)
    return process


def test_nothing_is_returned_while_the_process_takes_little(process):
    """In calm the pages would be needed again at once."""
    process.taken = [ABOVE] * 3
    pages = FreePages(clock=Clock(), above_bytes=ABOVE)
    for _ in range(3):
        pages.update()
    assert process.n_looks == 3


def test_a_process_that_has_no_free_pages_is_left_alone_for_a_while(process):
    clock = Clock()
    pages = FreePages(clock=clock, above_bytes=ABOVE)
    process.taken = [ABOVE + WORTHWHILE_BYTES, ABOVE + 1] * 2
    pages.update()
    pages.update()
    assert process.n_looks == 2
    clock.advance(USELESS_SECONDS)
    pages.update()
    assert process.n_looks == 4


def test_free_pages_are_looked_for_again_after_many_were_returned(process):
    pages = FreePages(clock=Clock(), above_bytes=ABOVE)
    process.taken = [ABOVE + 2 * WORTHWHILE_BYTES, ABOVE] + [ABOVE]
    pages.update()
    pages.update()
    assert process.n_looks == 3


def test_the_memory_of_this_process_is_known():
    assert 5_000_000 < resident_bytes() < 4_000_000_000
