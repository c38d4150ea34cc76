"""The protocol between the system's own processes."""

from bilberryring.wire.codec import FrameError, decode, encode
from bilberryring.wire.gen.ttypes import (
    CallService,
    Cancel,
    EngineDeath,
    Envelope,
    Finished,
    Heartbeat,
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
    "CallService",
    "Cancel",
    "EngineDeath",
    "Envelope",
    "Finished",
    "FrameError",
    "Heartbeat",
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
