"""Events of a run: dictionaries with a monotonic time `t` and a name `event`, stored as JSON Lines."""

import json
from collections.abc import Iterable
from typing import Any

Event = dict[str, Any]


def time_of(event: Event) -> float:
    """The time of an event."""
    return float(event["t"])


def read_events(path: str) -> list[Event]:
    """Reads the events of a file, in file order."""
    with open(path, encoding="utf-8") as file:
        return [json.loads(line) for line in file if line.strip()]


def write_events(path: str, events: Iterable[Event]) -> None:
    """Writes the events sorted by time."""
    with open(path, "w", encoding="utf-8") as file:
        for event in sorted(events, key=time_of):
            file.write(json.dumps(event) + "\n")
