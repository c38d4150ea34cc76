"""Decisions on a request to an entry before its body arrives.

>>> is_served_path(b"/v1/completions?stream"), is_served_path(b"/v1/files")
(True, False)
"""

from urllib.parse import unquote_to_bytes

from bilberryring.core import ErrorCode, RunOutcome, ServingError
from bilberryring.entry.caller_site import CallerSite
from bilberryring.http import BoundedRequest, CheckHead

SERVED_PATHS = (
    (b"v1", b"chat", b"completions"),
    (b"v1", b"completions"),
    (b"v1", b"models"),
    (b"v1", b"services"),
)
"""The beginnings of the paths whose requests may have a body."""


def is_served_path(target: bytes) -> bool:
    """Whether a request for a target may be served, as far as its path tells."""
    path = target.split(b"?", 1)[0]
    parts = tuple(unquote_to_bytes(part) for part in path[1:].split(b"/"))
    return any(parts[: len(served)] == served for served in SERVED_PATHS)


def entry_head_check(site: CallerSite) -> CheckHead:
    """Return the check of callers' requests: their path and their API key."""

    def check(request: BoundedRequest) -> ServingError | None:
        if not is_served_path(request.uri):
            return ServingError(code=ErrorCode.PATH_UNKNOWN, outcome=RunOutcome.NOT_RUN)
        try:
            site.find_workspace(request)
        except ServingError as error:
            # The traceback would keep what was read with the head.
            return error.with_traceback(None)
        return None

    return check
