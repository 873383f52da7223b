"""The checks of a manifest report every error with its path and its id."""

import json
import pathlib

import pytest

from bitternlever.checks import manifest, messages, structure

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


def example() -> dict:
    """Return the example manifest as decoded JSON."""
    return json.loads((EXAMPLES / "cantref.json").read_text())


def findings(value: dict) -> list[tuple[str, str]]:
    """Return the id and the path of each finding."""
    body = json.dumps(value).encode()
    return [(message.id, message.path) for message in manifest.collect_messages(body)]


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.json")), ids=lambda p: p.stem)
def test_an_example_has_no_messages(path):
    assert manifest.collect_messages(path.read_bytes()) == []
    assert manifest.check(path.read_bytes()).is_ok()


def test_every_structural_error_is_reported_with_its_path():
    value = example()
    value["colour"] = "blue"
    value["pipelines"][2]["stages"][0]["modle"] = "x"
    value["pipelines"][0]["kinds"][0]["priority"] = "high"
    value["pipelines"][1]["stages"][0]["task"] = "ponder"
    del value["workspaces"][4]["name"]

    assert sorted(findings(value)) == [
        (structure.UNKNOWN_KEY, "colour"),
        (structure.UNKNOWN_KEY, "pipelines[2].stages[0].modle"),
        (structure.MISSING_KEY, "workspaces[4].name"),
        (structure.WRONG_VALUE, "pipelines[0].kinds[0].priority"),
        (structure.WRONG_VALUE, "pipelines[1].stages[0].task"),
    ]


def test_a_billing_stage_declared_idempotent_is_refused():
    value = example()
    value["pipelines"][0]["stages"][1]["idempotent"] = True

    assert findings(value) == [
        (manifest.BILLING_IDEMPOTENT, "pipelines[0].stages[1].idempotent"),
    ]


def test_references_to_names_that_are_not_declared_are_refused():
    value = example()
    value["pipelines"][3]["stages"][3]["model"] = "assistant-drafd"
    value["pipelines"][4]["stages"][0]["pool"] = "encoder"
    value["pipelines"][5]["answer_stage"] = "drafd"

    assert findings(value) == [
        (manifest.UNKNOWN_MODEL, "pipelines[3].stages[3].model"),
        (manifest.UNKNOWN_POOL, "pipelines[4].stages[0].pool"),
        (manifest.UNKNOWN_ANSWER_STAGE, "pipelines[5].answer_stage"),
    ]


def test_duplicate_names_are_refused():
    value = example()
    value["workspaces"][1]["name"] = value["workspaces"][0]["name"]
    value["pipelines"][1]["name"] = value["pipelines"][0]["name"]
    value["pipelines"][0]["stages"][1]["name"] = "lookup"
    value["pools"].append("dns")

    assert findings(value) == [
        (manifest.DUPLICATE_NAME, "workspaces[1].name"),
        (manifest.DUPLICATE_NAME, "pipelines[1].name"),
        (manifest.DUPLICATE_NAME, "pools[8]"),
        (manifest.DUPLICATE_NAME, "pipelines[0].stages[1].name"),
    ]


@pytest.mark.parametrize(
    ("path", "key", "value"),
    [
        ("pipelines[0].kinds[0].deadline_ms", "deadline_ms", 0),
        ("pipelines[0].kinds[0].priority", "priority", -1),
        ("pipelines[0].stages[0].deadline_weight", "deadline_weight", 0),
        ("pipelines[0].stages[0].first_byte_timeout_ms", "first_byte_timeout_ms", 0),
        ("workspaces[0].weight", "weight", -2.0),
        ("workspaces[0].maximum_waiting", "maximum_waiting", 0),
        ("limits.urgent_share", "urgent_share", 1.5),
        ("models[0].weight_bytes", "weight_bytes", 0),
    ],
)
def test_numbers_out_of_range_are_refused(path, key, value):
    document = example()
    target = document
    for part in path.removesuffix(f".{key}").replace("]", "").split("."):
        name, _, index = part.partition("[")
        target = target[name][int(index)] if index else target[name]
    target[key] = value

    assert findings(document) == [(manifest.OUT_OF_RANGE, path)]


def test_a_token_of_two_workspaces_and_a_plain_token_are_refused():
    value = example()
    value["workspaces"][1]["token_sha256"] = value["workspaces"][0]["token_sha256"]
    value["workspaces"][2]["token_sha256"] = ["secret"]

    assert findings(value) == [
        (manifest.INVALID_TOKEN_DIGEST, "workspaces[2].token_sha256[0]"),
        (manifest.DUPLICATE_TOKEN, "workspaces[1].token_sha256[0]"),
    ]


def test_a_plain_token_is_not_repeated_in_the_message():
    value = example()
    value["workspaces"][2]["token_sha256"] = ["secret"]

    refused = manifest.check(json.dumps(value).encode()).err()

    assert "secret" not in " ".join(
        messages.format_line(message) for message in refused
    )


@pytest.mark.parametrize(
    ("body", "identifier"),
    [
        (b"", structure.SYNTAX),
        (b"[" * 5_000, structure.SYNTAX),
        (b"\xff\xfe", structure.SYNTAX),
        (b'{"number": NaN}', structure.SYNTAX),
        (b"[]", structure.WRONG_VALUE),
        (b" " * (manifest.MAXIMUM_BODY_BYTES + 1), manifest.TOO_LARGE),
    ],
)
def test_a_body_that_is_not_a_manifest_is_refused(body, identifier):
    refused = manifest.check(body).err()

    assert [message.id for message in refused] == [identifier]


def test_a_repeated_key_is_refused():
    body = (EXAMPLES / "cantref.json").read_bytes()
    body = body.replace(b'"number": 1,', b'"number": 1, "number": 2,')

    refused = manifest.check(body).err()

    assert [message.id for message in refused] == [structure.REPEATED_KEY]


def test_a_warning_does_not_refuse_a_manifest():
    value = example()
    value["pools"] = []
    body = json.dumps(value).encode()

    assert findings(value) == [(manifest.POOLS_UNDECLARED, "pools")]
    assert manifest.check(body).is_ok()


def test_a_message_is_formatted_as_one_line_with_its_hint():
    message = messages.error("x.E1", "a.b", "It is wrong.", "Mend it.")

    assert (
        messages.format_line(message) == "error x.E1: a.b: It is wrong. Hint: Mend it."
    )
