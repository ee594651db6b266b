"""Unknown members, which receivers must ignore, in the messages of the stand-ins: every object of a message
gets some, drawn from a seed, and its members in another order. A message that is sent again comes in other
words."""

import json
import random
from typing import Any

# JSON texts of values. Some can't be made by json.dumps().
VALUES = [
    "null",
    "-0",
    "18446744073709551615",
    "-9223372036854775809",
    "123456789012345678901234567890.5e-7",
    "1e400",
    "-1E-400",
    '""',
    '"\\u0000\\ud800\\udc00"',
    '"\\"}],{[\\\\"',
    '"gr\u00f6\u00dfe \u65e5\u672c\u8a9e"',
    "[[],{},[[[[{}]]]],true]",
    '{"n":1,"n":2,"ref":[],"perch":{},"":null}',
    "[" * 200 + "]" * 200,
]
NAMES = ["x_labels", "x_text", "", "x\u0000", "\ud800", "X-\u65e5"]
# The values of keys in the state service belong to the controllers.
OPAQUE = "value"
MEMBERS_MAX = 3

_random = random.Random(0)


def seed(number: int) -> None:
    """Sets the seed from which the members are drawn."""
    _random.seed(number)


def _encode_object(body: dict[str, Any]) -> str:
    members = [f"{json.dumps(name)}:{_encode(value, name)}" for name, value in body.items()]
    for _ in range(_random.randint(1, MEMBERS_MAX)):
        members.append(f"{json.dumps(_random.choice(NAMES))}:{_random.choice(VALUES)}")
    _random.shuffle(members)
    return "{" + ",".join(members) + "}"


def _encode(body: Any, name: str = "") -> str:
    if isinstance(body, dict) and name != OPAQUE:
        return _encode_object(body)
    if isinstance(body, list):
        return "[" + ",".join(_encode(item) for item in body) + "]"
    return json.dumps(body)


def encode(body: Any) -> bytes:
    """Encodes a message with unknown members in all of its objects."""
    return _encode(body).encode()
