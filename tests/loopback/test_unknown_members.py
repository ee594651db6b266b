"""Tests that unknown members change nothing else in a message."""

import json
import unittest
from typing import Any

import unknown_members


def known(body: Any) -> Any:
    """A message without its unknown members."""
    if isinstance(body, dict):
        return {name: known(value) for name, value in body.items() if name not in unknown_members.NAMES}
    return [known(item) for item in body] if isinstance(body, list) else body


class UnknownMembersTest(unittest.TestCase):
    """Tests of messages with unknown members."""

    def test_known_members_are_the_same(self) -> None:
        """Each message is JSON, with members that nobody knows, and says the same as the plain one."""
        body = {"a": [{"b": 1.5}, {"c": None}], "d": {"value": {"e": 2}}, "f": "g"}
        for seed in range(200):
            unknown_members.seed(seed)
            text = unknown_members.encode(body)
            read = json.loads(text)
            self.assertEqual(known(read), body)
            self.assertNotEqual(read, body)
            self.assertEqual(read["d"]["value"], {"e": 2})

    def test_seed_gives_the_same_messages(self) -> None:
        """A seed gives the same messages, and a message that is sent again has other words."""
        texts = []
        for _ in range(2):
            unknown_members.seed(7)
            texts.append([unknown_members.encode({"a": 1, "b": 2}) for _ in range(20)])
        self.assertEqual(texts[0], texts[1])
        self.assertGreater(len(set(texts[0])), 10)


if __name__ == "__main__":
    unittest.main()
