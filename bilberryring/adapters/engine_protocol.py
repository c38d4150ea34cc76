"""Messages of the HTTP interface of model engines."""

from typing import Annotated

import msgspec

MAX_FENCE = 10**18
"""Highest fencing number that counts as one."""
MAX_INDEX = 2**31 - 1
"""Highest index of a token in an answer; messages between processes hold no higher."""
MAX_TOKENS = 2**53 - 1

_Fence = Annotated[int, msgspec.Meta(ge=0, le=MAX_FENCE)]
_Index = Annotated[int, msgspec.Meta(ge=0, le=MAX_INDEX)]
_Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]


class GenerateRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The body of `POST /v1/generate`.

    `generated` is the number of tokens of the answer that were generated before.
    With `holds` the engine only prefills the prompt, exports its KV cache and keeps
    it until the request is cancelled. `imported_tokens` is the number of prompt
    tokens whose KV cache other engines have exported. `fence` is the fencing number
    of the sender.
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
    """One line of the answer to `POST /v1/generate`.

    It holds a token and its index, or has `held` set once the KV cache is exported,
    or gives the reason for the `end` and the `count` of tokens in the whole answer.
    """

    index: _Index = 0
    text: str = ""
    held: bool = False
    end: str = ""
    count: _Index = 0


class CancelRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The body of `POST /v1/cancel`."""

    request: str
    fence: int = 0


class HeldRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request and the KV memory, in tokens, that the engine holds for it."""

    request: str
    holder: str
    kv_tokens: _Tokens


class HeldResponse(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to `GET /v1/held`.

    `kv_used` and `kv_tokens` are the used and the total KV memory in tokens.
    `highest_fence` is the highest fencing number that the engine has received.
    """

    incarnation: str
    kv_used: _Tokens
    kv_tokens: _Tokens
    highest_fence: _Fence
    requests: tuple[HeldRequest, ...]
