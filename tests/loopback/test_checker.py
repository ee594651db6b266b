"""Tests that the checker finds an injected violation of each kind, and none in a valid history."""

import os
import tempfile
import unittest
from typing import Any, Optional

import checker
from events import Event, write_events

CANCEL_S = 10
LEADERS: list[Event] = [
    {"t": 1, "event": "leader", "shard": "north", "leader": "controller-0", "token": 5},
    {"t": 2, "event": "leader", "shard": "south", "leader": "controller-1", "token": 6},
    {"t": 20, "event": "leader", "shard": "north", "leader": "controller-2", "token": 9},
]
USERS: list[Event] = [
    {"t": 3, "event": "accepted", "job": "run-1", "tasks": 1, "kind": "batch"},
    {"t": 9, "event": "over", "job": "run-1", "stance": "done"},
    {"t": 3, "event": "accepted", "job": "run-2", "tasks": 1, "kind": "batch"},
    {"t": 8, "event": "confirmed", "job": "run-2", "stance": "aborted"},
]


def command_batch(
    at: float, machine: str, token: int, accepted: bool = True, via: str = "direct", commands: int = 0
) -> Event:
    """The event of a machine that receives a batch of commands."""
    event = {"t": at, "machine": machine, "event": "orders", "token": token, "accepted": accepted}
    return {**event, "via": via, "commands": commands}


def task(at: float, machine: str, event: str, name: str, attempt: int = 1, **members: Any) -> Event:
    """An event of an attempt of a task."""
    return {"t": at, "machine": machine, "event": event, "task": name, "attempt": attempt, **members}


def valid_history() -> list[Event]:
    """Events of machines without a violation."""
    return [
        command_batch(4, "m-1", 5),
        command_batch(4, "m-2", 6),
        task(5, "m-1", "task-begins", "run-1/0"),
        task(7, "m-1", "task-ended", "run-1/0"),
        task(7.1, "m-1", "exited", "run-1/0", cause=checker.CAUSE_DONE),
        task(5, "m-2", "task-begins", "run-2/0"),
        task(8.2, "m-2", "task-ended", "run-2/0"),
        command_batch(21, "m-1", 9),
    ]


class CheckerTest(unittest.TestCase):
    """Tests of each kind of violation, and of histories without violations."""

    def check(
        self, machines: list[Event], events: Optional[list[Event]] = None, is_divided: bool = True
    ) -> list[str]:
        """Runs the checker on a history; returns the violations. `events` defaults to LEADERS + USERS."""
        with tempfile.TemporaryDirectory() as directory:
            os.makedirs(os.path.join(directory, "history"))
            write_events(os.path.join(directory, "history", "all.jsonl"), machines)
            write_events(
                os.path.join(directory, "events.jsonl"), LEADERS + USERS if events is None else events
            )
            return checker.check(directory, CANCEL_S, is_divided=is_divided)

    def assert_violations(
        self, kind: str, machines: list[Event], events: Optional[list[Event]] = None
    ) -> None:
        """Asserts that there are violations, and that all of them start with `kind`."""
        found = self.check(machines, events)
        self.assertEqual([text for text in found if text.startswith(kind)], found)
        self.assertNotEqual(found, [])

    def test_valid_history(self) -> None:
        self.assertEqual(self.check(valid_history()), [])

    def test_lower_token_is_accepted(self) -> None:
        self.assert_violations("two owners", valid_history() + [command_batch(21.5, "m-1", 5, via="answer")])

    def test_accepted_token_was_never_issued(self) -> None:
        self.assert_violations("two owners", valid_history() + [command_batch(22, "m-1", 11)])

    def test_answer_without_token_and_commands_before_the_first_token_is_no_violation(self) -> None:
        self.assertEqual(self.check(valid_history() + [command_batch(3, "m-1", 0, via="answer")]), [])

    def test_commands_without_token_are_accepted(self) -> None:
        self.assert_violations(
            "two owners", valid_history() + [command_batch(3, "m-1", 0, via="answer", commands=1)]
        )

    def test_answer_without_token_is_accepted_after_a_token(self) -> None:
        self.assert_violations("two owners", valid_history() + [command_batch(10, "m-1", 0, via="answer")])

    def test_machine_accepts_commands_of_two_shards(self) -> None:
        self.assert_violations("two shards", valid_history() + [command_batch(6, "m-2", 9)])

    def test_task_runs_on_two_machines(self) -> None:
        extra = [task(6, "m-2", "task-begins", "run-1/0", 2), task(6.5, "m-2", "task-ended", "run-1/0", 2)]
        self.assert_violations("ran twice", valid_history() + extra)

    def test_task_runs_twice_on_one_machine(self) -> None:
        extra = [task(6, "m-1", "task-begins", "run-1/0", 2), task(6.5, "m-1", "task-ended", "run-1/0", 2)]
        self.assert_violations("ran twice", valid_history() + extra)

    def test_start_after_a_confirmed_cancellation(self) -> None:
        extra = [task(9, "m-1", "task-begins", "run-2/0", 2), task(9.5, "m-1", "task-ended", "run-2/0", 2)]
        self.assert_violations("started after its cancellation", valid_history() + extra)

    def test_task_outlives_its_cancellation(self) -> None:
        machines = [event for event in valid_history() if event["t"] != 8.2]
        self.assert_violations("outlived its cancellation", machines)
        self.assert_violations(
            "outlived its cancellation", machines + [task(19, "m-2", "task-ended", "run-2/0")]
        )

    def test_job_is_lost(self) -> None:
        events = [event for event in LEADERS + USERS if event["event"] != "over"]
        self.assert_violations("lost", valid_history(), events)

    def test_sound_request_is_refused(self) -> None:
        """A request of a user, or a report of a machine, got 400."""
        events = LEADERS + USERS + [{"t": 4, "event": "refused", "job": "run-1"}]
        self.assert_violations("refused", valid_history(), events)
        machines = valid_history() + [{"t": 4, "event": "refused", "machine": "m-1"}]
        self.assert_violations("refused", machines)

    def test_job_is_forgotten(self) -> None:
        events = LEADERS + USERS + [{"t": 4, "event": "forgotten", "job": "run-1"}]
        self.assert_violations("forgotten", valid_history(), events)

    def test_job_is_reported_done_without_its_results(self) -> None:
        machines = [event for event in valid_history() if event["event"] != "exited"]
        self.assert_violations("not done", machines)

    def gang_events(self, kind: str) -> list[Event]:
        """The users' events, with a job of two tasks that is done."""
        job = {"t": 3, "event": "accepted", "job": "run-3", "tasks": 2, "kind": kind}
        return LEADERS + USERS + [job, {"t": 9, "event": "over", "job": "run-3", "stance": "done"}]

    def gang_history(self, other_attempt: int = 1) -> list[Event]:
        """A task with a result, and one that ends without a result in an attempt of this number."""
        return valid_history() + [
            task(5, "m-1", "task-begins", "run-3/0"),
            task(5, "m-2", "task-begins", "run-3/1", other_attempt),
            task(6.9, "m-2", "task-ended", "run-3/1", other_attempt),
            task(7, "m-1", "task-ended", "run-3/0"),
            task(7.1, "m-1", "exited", "run-3/0", cause=checker.CAUSE_DONE),
        ]

    def test_gang_completes_with_the_result_of_one_task(self) -> None:
        self.assertEqual(self.check(self.gang_history(), self.gang_events("ensemble")), [])

    def test_array_does_not_complete_with_the_result_of_one_task(self) -> None:
        self.assert_violations("not done", self.gang_history(), self.gang_events("batch"))

    def test_gang_does_not_complete_with_the_result_of_another_attempt(self) -> None:
        self.assert_violations("not done", self.gang_history(2), self.gang_events("ensemble"))

    def test_command_of_a_thawed_controller(self) -> None:
        events = LEADERS + USERS + [{"t": 25, "event": "thawed", "controller": "controller-0"}]
        late = [command_batch(25.2, "m-1", 5, accepted=False, via="answer")]
        self.assert_violations("stale order", valid_history() + late, events)

    def test_refused_command_of_a_thawed_controller_of_an_undivided_fleet(self) -> None:
        events = LEADERS + USERS + [{"t": 25, "event": "thawed", "controller": "controller-0"}]
        late = [command_batch(25.2, "m-3", 5, accepted=False)]
        self.assertEqual(self.check(valid_history() + late, events, is_divided=False), [])

    def test_accepted_command_of_a_thawed_controller_of_an_undivided_fleet(self) -> None:
        events = LEADERS + USERS + [{"t": 25, "event": "thawed", "controller": "controller-0"}]
        found = self.check(valid_history() + [command_batch(25.2, "m-3", 5)], events, is_divided=False)
        self.assertEqual([text.split(":")[0] for text in found], ["stale order"])

    def test_command_received_before_the_thaw_is_no_violation(self) -> None:
        events = LEADERS + USERS + [{"t": 25, "event": "thawed", "controller": "controller-0"}]
        self.assertEqual(
            self.check(valid_history() + [command_batch(21.5, "m-1", 5, accepted=False)], events), []
        )


if __name__ == "__main__":
    unittest.main()
