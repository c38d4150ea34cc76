"""What holds while the store, back from an older copy, lacks what was written since.

Operators and endpoints write again what the store has lost. Until then nothing goes
back that was known to be newer: a configuration, an evacuation, an endpoint's leaving.
"""

from bilberryring.fleet import NO_LIMIT, EndpointState
from bilberryring.platform.configuration import (
    ContentError,
    decode_configuration,
    decode_endpoint,
)
from bilberryring.platform.names import (
    CONFIGURATION_KEY,
    ENDPOINT_PREFIX,
    OPERATOR_PREFIX,
)

EVACUATION_HOLD_SECONDS = 600.0
"""Longest time in seconds for which a lost evacuation, or the end of one, holds unless
the operators write again about it."""
ENDPOINT_HOLD_SECONDS = 5.0
"""Seconds for which an endpoint that had left does not count though an older copy of
the store has it. The platform removes it after three silent heartbeats of 1.2 s."""


class PlatformLossRules:
    """The rules for the platform's keys."""

    def supersedes(self, key: str, stored: bytes, lost: bytes) -> bool:
        """Whether the value in the store is as new as the lost one, or newer.

        Configurations go by their version; of one start of an endpoint, that it is
        leaving is the later word. A lost value that cannot be read never holds, and a
        stored one supersedes none that can.
        """
        if not _is_readable(key, lost):
            return True
        if not _is_readable(key, stored):
            return False
        if key == CONFIGURATION_KEY:
            return _version_of(stored) >= _version_of(lost)
        if key.startswith(ENDPOINT_PREFIX):
            return _is_as_late(key, stored, lost)
        return True

    def is_same(self, key: str, stored: bytes, removed: bytes) -> bool:
        """Whether the store has again the start of an endpoint that had left."""
        if not key.startswith(ENDPOINT_PREFIX):
            return False
        try:
            return _started_at(key, stored) == _started_at(key, removed)
        except ContentError:
            return False

    def keeps_missing(self, key: str) -> bool:
        """Whether a lost item holds while the store has none.

        Endpoints are held by the list of endpoints, as after other outages.
        """
        return key.startswith(OPERATOR_PREFIX)

    def hold_seconds(self, key: str) -> float:
        """Return for how long a lost write holds at most, in seconds."""
        if key == CONFIGURATION_KEY:
            return NO_LIMIT
        if key.startswith(ENDPOINT_PREFIX):
            return ENDPOINT_HOLD_SECONDS
        return EVACUATION_HOLD_SECONDS


def _is_readable(key: str, value: bytes) -> bool:
    try:
        if key == CONFIGURATION_KEY:
            decode_configuration(value)
        elif key.startswith(ENDPOINT_PREFIX):
            decode_endpoint(key, value, now=0.0)
    except ContentError:
        return False
    return True


def _version_of(value: bytes) -> int:
    return decode_configuration(value).version


def _started_at(key: str, value: bytes) -> int:
    return decode_endpoint(key, value, now=0.0).started_at_ms


def _is_as_late(key: str, stored: bytes, lost: bytes) -> bool:
    in_store = decode_endpoint(key, stored, now=0.0)
    before = decode_endpoint(key, lost, now=0.0)
    if in_store.started_at_ms != before.started_at_ms:
        return in_store.started_at_ms > before.started_at_ms
    is_leaving_again = in_store.state is EndpointState.LEAVING
    return is_leaving_again or before.state is not EndpointState.LEAVING
