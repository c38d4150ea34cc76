"""What the last record of a request says of its ending."""

from dataclasses import dataclass, field

from bilberryring.core import Delivery, RequestId
from bilberryring.entry.answer_sinks import AnswerSink
from bilberryring.http import BoundedRequest


@dataclass(slots=True, kw_only=True)
class RequestEnding:
    """A caller's request, and what was written of the response to it.

    `sink` writes the answer to a prompt. `fields` are further fields of the record of a
    complete answer.
    """

    request: BoundedRequest
    request_id: RequestId
    sink: AnswerSink | None = None
    fields: dict[str, object] = field(default_factory=dict)

    @property
    def delivery(self) -> Delivery:
        """What the caller has got."""
        return (self.sink or self.request).delivery

    @property
    def has_caller_left(self) -> bool:
        """Whether the caller closed its connection before the response was complete."""
        return self.request.has_caller_left
