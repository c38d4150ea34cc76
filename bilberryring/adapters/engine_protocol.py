"""The messages of the model engines' HTTP interface."""

import msgspec


class GenerateOrder(msgspec.Struct, frozen=True, kw_only=True):
    """The body of `/v1/generate`; `generated` tokens exist already.

    With `holds` the engine only prefills the prompt, exports its KV cache and
    keeps it until the request is cancelled. With `imported_tokens` so much of
    the prompt lies in other engines' exports.
    """

    request: str
    holder: str
    prompt: str
    max_tokens: int
    generated: int = 0
    priority: int = 0
    version: str = ""
    adapter: str = ""
    holds: bool = False
    imported_tokens: int = 0
    fence: int = 0


class GenerateEvent(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One line of the answer: a token with its index, the export, or the end."""

    index: int = 0
    text: str = ""
    held: bool = False
    end: str = ""
    count: int = 0


class CancelOrder(msgspec.Struct, frozen=True, kw_only=True):
    """The body of `/v1/cancel`."""

    request: str
    fence: int = 0


class HeldRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A prompt that the engine holds memory for."""

    request: str
    holder: str
    kv_tokens: int


class HeldAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What the engine holds now, in tokens, and the highest fencing number."""

    incarnation: str
    kv_used: int
    kv_tokens: int
    highest_fence: int
    requests: tuple[HeldRequest, ...]
