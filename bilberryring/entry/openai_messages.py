"""Request and response bodies of the OpenAI-compatible completion API."""

import msgspec

DEFAULT_MAX_TOKENS = 256


class TextPart(msgspec.Struct, frozen=True, kw_only=True):
    """One part of a message's content."""

    type: str
    text: str = ""


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a chat."""

    role: str
    content: str | tuple[TextPart, ...]

    @property
    def text(self) -> str:
        """The content as one string."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content)


class StreamOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of a streamed answer."""

    include_usage: bool = False


class ChatRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The body of `/v1/chat/completions`; unknown fields are ignored."""

    model: str
    messages: tuple[Message, ...]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    timeout: float | None = None

    @property
    def prompt(self) -> str:
        """The messages as one prompt, each as a line `role: text`."""
        return "".join(f"{item.role}: {item.text}\n" for item in self.messages)


class CompletionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The body of `/v1/completions`; unknown fields are ignored."""

    model: str
    prompt: str
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    timeout: float | None = None


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Token counts of an answer."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class Delta(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The text that a chat chunk adds."""

    role: str | None = None
    content: str | None = None


class AnswerMessage(msgspec.Struct, frozen=True, kw_only=True):
    """The message of a chat answer that is not streamed."""

    role: str
    content: str


class ChatChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The only choice of a chat answer."""

    index: int
    message: AnswerMessage
    finish_reason: str


class ChatChunkChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The only choice of a chat chunk."""

    index: int
    delta: Delta
    finish_reason: str | None = None


class TextChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The only choice of a completion or of one of its chunks."""

    index: int
    text: str
    finish_reason: str | None = None
    logprobs: None = None


class Completion(msgspec.Struct, frozen=True, kw_only=True):
    """A complete answer or one chunk of it; `created` is in Unix seconds."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple
    usage: Usage | None = None


class ModelEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A model in the list of models."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "bilberryring"


class ModelList(msgspec.Struct, frozen=True, kw_only=True):
    """The models that a workspace may use."""

    data: tuple[ModelEntry, ...]
    object: str = "list"
