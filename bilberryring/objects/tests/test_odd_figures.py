"""Objects with figures that no process could calculate with are refused."""

import msgspec
import pytest

from bilberryring.objects import Kind, SetError, decode_manifest, decode_part

OBJECTS = {
    Kind.PRIORITIES: {"name": "a", "rank": 1},
    Kind.MODELS: {"name": "a", "default_version": "v"},
    Kind.VERSIONS: {"name": "a", "model": "m", "weights_megabytes": 1},
    Kind.SERVICES: {"name": "a"},
    Kind.WORKSPACES: {"name": "a", "priority": "p", "key_digests": []},
    Kind.MODEL_ENDPOINTS: {
        "name": "a",
        "failure_domain": "d",
        "sidecar": "127.0.0.1:1",
        "versions": [],
    },
    Kind.SERVICE_ENDPOINTS: {
        "name": "a",
        "failure_domain": "d",
        "sidecar": "127.0.0.1:1",
        "service": "s",
    },
}
FIGURES = [
    (Kind.PRIORITIES, "rank"),
    (Kind.PRIORITIES, "first_token_seconds"),
    (Kind.PRIORITIES, "total_seconds"),
    (Kind.MODELS, "max_prompt_tokens"),
    (Kind.MODELS, "max_output_tokens"),
    (Kind.VERSIONS, "weights_megabytes"),
    (Kind.SERVICES, "deadline_seconds"),
    (Kind.WORKSPACES, "share"),
    (Kind.MODEL_ENDPOINTS, "kv_tokens"),
    (Kind.MODEL_ENDPOINTS, "weights_megabytes"),
    (Kind.MODEL_ENDPOINTS, "cold_completions"),
    (Kind.MODEL_ENDPOINTS, "concurrency"),
    (Kind.SERVICE_ENDPOINTS, "concurrency"),
]
POSSIBLE = {"total_seconds": "40", "share": "1"}
NUMBERS = ["9" * 400, "9" * 5_000, str(2**63), "1e300", "1e400", "-1", "true"]


def decode(kind, field, number):
    others = {key: value for key, value in OBJECTS[kind].items() if key != field}
    text = msgspec.json.encode(others).decode()
    part = f'{{"kind":"{kind.value}","objects":[{text[:-1]},"{field}":{number}}}]}}'
    return list(decode_part(part.encode()))


@pytest.mark.parametrize("number", NUMBERS, ids=lambda number: number[:9])
@pytest.mark.parametrize(("kind", "field"), FIGURES, ids=str)
def test_an_object_with_an_impossible_figure_is_refused(kind, field, number):
    with pytest.raises(SetError) as caught:
        decode(kind, field, number)
    assert len(str(caught.value)) < 500


@pytest.mark.parametrize(("kind", "field"), FIGURES, ids=str)
def test_an_object_with_a_possible_figure_is_decoded(kind, field):
    assert decode(kind, field, POSSIBLE.get(field, "9"))


def test_a_manifest_of_a_negative_number_is_refused():
    with pytest.raises(SetError):
        decode_manifest(b'{"number":-1,"parts":[]}')
