"""The configuration in force, as a file or the platform's store has it."""

import contextlib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from twisted.internet.defer import Deferred
from twisted.internet.error import ReactorNotRunning
from twisted.internet.selectreactor import SelectReactor
from twisted.python.failure import Failure

from bilberryring.fleet import ServiceName
from bilberryring.platform.configuration import ContentError
from bilberryring.platform.listing import (
    PublishedState,
    decode_listing,
    read_published,
)
from bilberryring.tool.files import read_bounded
from bilberryring.validation import ConfigurationListing

STORE_SECONDS = 10.0
"""Seconds within which the store has to answer all reads; each may take 2 s."""


@dataclass(frozen=True, slots=True, kw_only=True)
class InForce:
    """What is known of the version in force; without one, `listing` is `None`.

    `problem` says why it is not known, and is empty otherwise.
    """

    listing: ConfigurationListing | None = None
    endpoint_counts: Mapping[ServiceName, int] | None = None
    problem: str = ""


def in_force_of_file(path: Path) -> InForce:
    """Return what a file has as the version in force."""
    try:
        content = read_bounded(path)
    except OSError as error:
        return InForce(problem=str(error))
    return _decode(content, endpoint_counts=None)


def in_force_of_store(address: str) -> InForce:
    """Return what the store at an address has as the version in force."""
    match _run(address):
        case PublishedState(content=None, endpoint_counts=counts):
            return InForce(endpoint_counts=counts)
        case PublishedState(content=content, endpoint_counts=counts):
            return _decode(content, endpoint_counts=counts)
        case Failure(value=error):
            # The remedy of a process, to read again, is not that of an operator.
            return InForce(problem=str(error).partition(". Remedy:")[0])
        case _:
            return InForce(problem="the read of the store was interrupted")


def _decode(
    content: bytes, *, endpoint_counts: Mapping[ServiceName, int] | None
) -> InForce:
    problem = ""
    try:
        listing = decode_listing(content)
        if listing.is_readable:
            return InForce(listing=listing, endpoint_counts=endpoint_counts)
        problem = "it has routes that cannot be read"
    except ContentError as error:
        problem = error.detail
    return InForce(
        endpoint_counts=endpoint_counts,
        problem=f"the version in force is unreadable: {problem}",
    )


def _run(address: str) -> PublishedState | Failure | None:
    """Return the result of one read, or `None` if a signal ended it.

    The reactor is one of its own, since a reactor runs only once in a process.
    """
    reactor = SelectReactor()
    results: list[PublishedState | Failure] = []

    def start() -> None:
        reading = Deferred.fromCoroutine(read_published(reactor, address))
        reading.addTimeout(STORE_SECONDS, reactor)
        reading.addBoth(finish)

    def finish(result: PublishedState | Failure) -> None:
        results.append(result)
        # After a signal the read fails while the reactor stops already.
        with contextlib.suppress(ReactorNotRunning):
            reactor.stop()

    reactor.callWhenRunning(start)
    reactor.run()
    return results[0] if results else None
