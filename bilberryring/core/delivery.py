"""What a caller has got of the response to its request, and who ended it."""

from enum import Enum


class Delivery(Enum):
    """What a caller has got of the response to its request."""

    WHOLE = "whole"
    """All of it, with the mark of its end."""
    UNMARKED = "unmarked"
    """All that is known of it, without a mark of its end."""
    CUT = "cut"
    """A part of it; for a stream, also one that ends with an error."""
    NOTHING = "nothing"


class ClosedBy(Enum):
    """Who closed a connection on which a request was in progress."""

    CALLER = "caller"
    SERVER = "server"
