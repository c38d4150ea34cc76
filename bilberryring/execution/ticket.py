"""Tickets: idempotency keys with which a call runs at most once.

A ticket names one incarnation of one sidecar before the call is made. Only that
incarnation's ledger can run the call, so two entries with different views of the
fleet cannot run it twice, and a restarted sidecar never runs an old ticket.
"""

import os
from dataclasses import dataclass

from bilberryring.core import ErrorCode, Incarnation, RunOutcome, ServingError

TICKET_PREFIX = "bt1"
TICKET_SEPARATOR = "~"
NONCE_BYTES = 12
TICKET_FIELD_COUNT = 5
MAX_TICKET_LENGTH = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """A ticket for one call to the sidecar that it names.

    `issued_micros` is the time of issue on that sidecar's clock, in microseconds.
    """

    endpoint: str
    incarnation: Incarnation
    issued_micros: int
    nonce: str

    @property
    def text(self) -> str:
        """The ticket as the text that callers send."""
        return TICKET_SEPARATOR.join(
            (
                TICKET_PREFIX,
                self.endpoint,
                self.incarnation,
                str(self.issued_micros),
                self.nonce,
            )
        )


def new_ticket(*, endpoint: str, incarnation: str, issued_micros: int) -> Ticket:
    """Return a unique ticket, with a random nonce."""
    return Ticket(
        endpoint=endpoint,
        incarnation=Incarnation(incarnation),
        issued_micros=issued_micros,
        nonce=os.urandom(NONCE_BYTES).hex(),
    )


def parse_ticket(text: str) -> Ticket:
    """Parse a ticket's text; `ServingError` when it is not a ticket.

    >>> parse_ticket("bt1~book-1~ab12~5000~ff").endpoint
    'book-1'
    """
    fields = text.split(TICKET_SEPARATOR)
    is_ticket = (
        len(text) <= MAX_TICKET_LENGTH
        and len(fields) == TICKET_FIELD_COUNT
        and fields[0] == TICKET_PREFIX
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
