"""Parts of a prompt that cannot be read where they are held."""

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bilberryring.objects import ModelEndpoint
from bilberryring.sidecar.span_lead import SpanLead, split_text
from bilberryring.wire import Hello, RunPrompt

EXAMPLES = settings(max_examples=200, deadline=None, derandomize=True)


@EXAMPLES
@given(st.text(max_size=40), st.lists(st.integers(0, 30), max_size=5))
def test_no_part_ends_within_a_character(text, sizes):
    encoded = text.encode()
    parts = split_text(encoded, sizes)
    assert len(parts) == len(sizes)
    assert (
        "".join(part.decode() for part in parts)
        == text[: len(b"".join(parts).decode())]
    )
    for part, size in zip(parts, sizes, strict=True):
        assert len(part) <= size + 3


def test_helpers_of_a_prompt_get_whole_characters(monkeypatch):
    texts = []

    async def hold(link, message, text, tokens, on_lost):
        texts.append(text)

    monkeypatch.setattr("bilberryring.sidecar.span_lead._HelperLink.hold", hold)
    helpers = [
        ModelEndpoint(
            name=name,
            failure_domain="d",
            sidecar="127.0.0.1:9",
            versions=(),
            kv_tokens=100,
        )
        for name in "ab"
    ]
    lead = SpanLead(
        reactor=Clock(),
        helpers=helpers,
        hello=Hello(process="p", role="sidecar", failure_domain="d"),
    )
    prompt = "a" + "\u6771" * 1_000
    message = RunPrompt(prompt_tokens=250)
    gathering = lead.gather(message, prompt.encode(), lambda: None)
    Deferred.fromCoroutine(gathering)
    assert len(texts) == 2
    assert prompt.startswith("".join(text.decode() for text in texts))
