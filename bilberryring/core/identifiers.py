"""Identifiers that the processes exchange."""

import os
from typing import NewType

AttemptId = NewType("AttemptId", int)
"""Number of one attempt, unique within the entry incarnation that made it."""

RequestId = NewType("RequestId", str)
"""Identifier of one request of a caller; it is on each log line it causes."""

Incarnation = NewType("Incarnation", str)
"""Random name of one run of a process; a restarted process has another."""

Fingerprint = NewType("Fingerprint", str)
"""Hash of workspace, model and body of a prompt."""

INCARNATION_BYTES = 8
REQUEST_ID_BYTES = 12


def new_incarnation() -> Incarnation:
    """Return an incarnation that no other process run has."""
    return Incarnation(os.urandom(INCARNATION_BYTES).hex())


def new_request_id() -> RequestId:
    """Return a request id that no other request has."""
    return RequestId("req-" + os.urandom(REQUEST_ID_BYTES).hex())
