"""Clients for the HTTP interfaces of model engines and of the platform."""

from bilberryring.adapters.engine import (
    CALL_TIMEOUT_SECONDS,
    EngineClient,
    EngineError,
    Generation,
    GenerationEnd,
)
from bilberryring.adapters.engine_protocol import (
    CancelOrder,
    GenerateEvent,
    GenerateOrder,
    HeldAnswer,
    HeldRequest,
)
from bilberryring.adapters.platform import (
    PART_PREFIX,
    READ_TIMEOUT_SECONDS,
    SET_KEY_DIGEST_LENGTH,
    SET_KEY_DIGITS,
    SET_PREFIX,
    PlatformError,
    PlatformReader,
    PlatformValue,
    number_of_set_key,
    set_key,
)
from bilberryring.adapters.platform_protocol import ListedVm, WatchAnswer, WatchItem

__all__ = [
    "CALL_TIMEOUT_SECONDS",
    "CancelOrder",
    "EngineClient",
    "EngineError",
    "GenerateEvent",
    "GenerateOrder",
    "Generation",
    "GenerationEnd",
    "HeldAnswer",
    "HeldRequest",
    "ListedVm",
    "PART_PREFIX",
    "PlatformError",
    "PlatformReader",
    "PlatformValue",
    "READ_TIMEOUT_SECONDS",
    "SET_KEY_DIGEST_LENGTH",
    "SET_KEY_DIGITS",
    "SET_PREFIX",
    "WatchAnswer",
    "WatchItem",
    "number_of_set_key",
    "set_key",
]
