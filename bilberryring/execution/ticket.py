"""Tickets: the keys under which a call may run at most once.

A ticket names one incarnation of one sidecar before the call is made. Only that
incarnation's ledger can run the call, so two entries with different views of the
fleet cannot run it twice, and a new incarnation never runs an old ticket.
"""

import os
from dataclasses import dataclass

from bilberryring.core import ErrorCode, Incarnation, RunOutcome, ServingError

PREFIX = "bt1"
SEPARATOR = "~"
NONCE_BYTES = 12
FIELD_COUNT = 5
MAX_TICKET_LENGTH = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """`issued_micros` is on the clock of the sidecar that the ticket names."""

    endpoint: str
    incarnation: Incarnation
    issued_micros: int
    nonce: str

    @property
    def text(self) -> str:
        """The ticket as callers carry it."""
        return SEPARATOR.join(
            (
                PREFIX,
                self.endpoint,
                self.incarnation,
                str(self.issued_micros),
                self.nonce,
            )
        )


def new_ticket(*, endpoint: str, incarnation: str, issued_micros: int) -> Ticket:
    """Return a ticket that no other one equals."""
    return Ticket(
        endpoint=endpoint,
        incarnation=Incarnation(incarnation),
        issued_micros=issued_micros,
        nonce=os.urandom(NONCE_BYTES).hex(),
    )


def parse_ticket(text: str) -> Ticket:
    """Return the ticket of a text; `ServingError` when it is not one.

    >>> parse_ticket("bt1~book-1~ab12~5000~ff").endpoint
    'book-1'
    """
    fields = text.split(SEPARATOR)
    is_ticket = (
        len(text) <= MAX_TICKET_LENGTH
        and len(fields) == FIELD_COUNT
        and fields[0] == PREFIX
        and fields[3].isascii()
        and fields[3].isdigit()
    )
    if not is_ticket:
        raise ServingError(code=ErrorCode.TICKET_MALFORMED, outcome=RunOutcome.NOT_RUN)
    return Ticket(
        endpoint=fields[1],
        incarnation=Incarnation(fields[2]),
        issued_micros=int(fields[3]),
        nonce=fields[4],
    )
