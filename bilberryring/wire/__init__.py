"""The protocol between the system's own processes."""

from bilberryring.wire.codec import FrameError, decode, encode
from bilberryring.wire.gen.ttypes import (
    Beat,
    CallService,
    Cancel,
    EngineDeath,
    Envelope,
    Finished,
    Heartbeat,
    Held,
    Hello,
    PromptPart,
    Refused,
    RunPrompt,
    ServiceAnswer,
    SetAnswer,
    SetNotice,
    SetQuery,
    TokenBatch,
    Tokens,
)
from bilberryring.wire.link import LinkProtocol

__all__ = [
    "Beat",
    "CallService",
    "Cancel",
    "EngineDeath",
    "Envelope",
    "Finished",
    "FrameError",
    "Heartbeat",
    "Held",
    "Hello",
    "LinkProtocol",
    "PromptPart",
    "Refused",
    "RunPrompt",
    "ServiceAnswer",
    "SetAnswer",
    "SetNotice",
    "SetQuery",
    "TokenBatch",
    "Tokens",
    "decode",
    "encode",
]
