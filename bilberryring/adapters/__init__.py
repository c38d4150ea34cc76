"""Clients for the HTTP interfaces of model engines and of the platform."""

from bilberryring.adapters.engine import (
    CALL_TIMEOUT_SECONDS,
    EngineClient,
    EngineError,
    EngineSilentError,
    Generation,
    GenerationEnd,
)
from bilberryring.adapters.engine_protocol import (
    MAX_FENCE,
    CancelRequest,
    GenerateEvent,
    GenerateRequest,
    HeldRequest,
    HeldResponse,
)
from bilberryring.adapters.platform import (
    PART_PREFIX,
    READ_TIMEOUT_SECONDS,
    SET_KEY_DIGEST_LENGTH,
    SET_KEY_DIGITS,
    SET_PREFIX,
    ManifestChanges,
    PlatformError,
    PlatformReader,
    PlatformValue,
    parse_set_key,
    set_key,
)
from bilberryring.adapters.platform_protocol import ListedVm, WatchItem, WatchResponse

__all__ = [
    "MAX_FENCE",
    "CALL_TIMEOUT_SECONDS",
    "CancelRequest",
    "EngineClient",
    "EngineError",
    "EngineSilentError",
    "GenerateEvent",
    "GenerateRequest",
    "Generation",
    "GenerationEnd",
    "HeldRequest",
    "HeldResponse",
    "ListedVm",
    "ManifestChanges",
    "PART_PREFIX",
    "PlatformError",
    "PlatformReader",
    "PlatformValue",
    "READ_TIMEOUT_SECONDS",
    "SET_KEY_DIGEST_LENGTH",
    "SET_KEY_DIGITS",
    "SET_PREFIX",
    "WatchItem",
    "WatchResponse",
    "parse_set_key",
    "set_key",
]
