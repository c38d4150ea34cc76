"""Runs long work in short slices, so that the reactor serves streams in between."""

import time
from collections.abc import Iterable, Iterator
from typing import TypeVar

from twisted.internet.task import deferLater

Item = TypeVar("Item")

SLICE_SECONDS = 0.004


async def collect_in_slices(reactor, items: Iterable[Item]) -> list[Item]:
    """Return all items, giving control to the reactor after each slice of time."""
    collected: list[Item] = []
    iterator: Iterator[Item] = iter(items)
    slice_end = time.perf_counter() + SLICE_SECONDS
    for item in iterator:
        collected.append(item)
        if time.perf_counter() >= slice_end:
            await deferLater(reactor, 0)
            slice_end = time.perf_counter() + SLICE_SECONDS
    return collected
