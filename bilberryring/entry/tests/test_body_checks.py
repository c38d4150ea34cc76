"""Bodies that are decoded to very many objects."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryring.core import ErrorCode, RunOutcome, ServingError
from bilberryring.entry.body_checks import (
    FEW_OBJECTS,
    MAX_OBJECTS,
    check_objects,
    most_objects,
)
from bilberryring.entry.openai_messages import ChatRequest

EMPTY = b'{"role":"","content":""},'
texts = st.text(alphabet='"\\a/{}', max_size=4)
parts = st.builds(lambda kind, text: {"type": kind, "text": text}, texts, texts)
messages = st.builds(
    lambda role, content: {"role": role, "content": content},
    texts,
    texts | st.lists(parts | st.builds(lambda kind: {"type": kind}, texts), max_size=3),
)


class Request:
    """A request whose connection has room or has not."""

    def __init__(self, *, has_room=True):
        self.channel = self
        self.has_room = has_room
        self.asked = []

    def make_room_for_objects(self, n_bytes):
        self.asked.append(n_bytes)
        return self.has_room


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(messages, max_size=5))
def test_the_count_is_no_lower_than_the_objects_of_any_body(chat):
    body = msgspec.json.encode({"model": "m", "messages": chat})
    decoded = msgspec.json.decode(body, type=ChatRequest)
    n_parts = sum(
        len(message.content)
        for message in decoded.messages
        if isinstance(message.content, tuple)
    )
    assert len(decoded.messages) + n_parts <= most_objects(body)


def test_a_body_of_very_many_empty_messages_is_refused():
    """24 MiB of them took 255 MB of an entry."""
    with pytest.raises(ServingError) as refused:
        check_objects(Request(), EMPTY * MAX_OBJECTS)
    assert refused.value.code is ErrorCode.BODY_TOO_LARGE
    assert refused.value.outcome is RunOutcome.NOT_RUN


def test_a_long_text_with_any_quotes_is_not_refused():
    body = msgspec.json.encode({"model": "m", "prompt": '{"a": "b"}' * 1_000_000})
    request = Request()
    assert check_objects(request, body) is body
    assert not request.asked


def test_many_messages_need_room():
    body = EMPTY * FEW_OBJECTS
    assert check_objects(Request(), body) is body
    with pytest.raises(ServingError) as refused:
        check_objects(Request(has_room=False), body)
    assert refused.value.code is ErrorCode.MEMORY_SHORT
