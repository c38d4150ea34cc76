"""Identifiers that processes exchange, and functions that generate them."""

import os
from typing import NewType

AttemptId = NewType("AttemptId", int)
"""Number of one attempt, unique within the incarnation of the entry that made it."""

RequestId = NewType("RequestId", str)
"""Identifier of one caller request, included in the log lines about that request."""

Incarnation = NewType("Incarnation", str)
"""Random identifier of one run of a process; it changes with each restart."""

Fingerprint = NewType("Fingerprint", str)
"""Hash of a request's content and caller; equal requests have equal fingerprints."""

PromptPartId = NewType("PromptPartId", str)
"""Identifier of a part of a prompt; prompts that share the part have the same one."""

INCARNATION_BYTES = 8
REQUEST_ID_BYTES = 12


def new_incarnation() -> Incarnation:
    """Return a random identifier for this run of the process."""
    return Incarnation(os.urandom(INCARNATION_BYTES).hex())


def new_request_id() -> RequestId:
    """Return a random identifier for a new request."""
    return RequestId("req-" + os.urandom(REQUEST_ID_BYTES).hex())
