"""The checker of histories finds a planted violation of each kind, and nothing in a history without one."""

import json
import os
import tempfile
import unittest

import checker

CANCEL_S = 10
LEADERS = [{"t": 1, "event": "leader", "shard": "north", "leader": "controller-0", "token": 5},
           {"t": 2, "event": "leader", "shard": "south", "leader": "controller-1", "token": 6},
           {"t": 20, "event": "leader", "shard": "north", "leader": "controller-2", "token": 9}]
USERS = [{"t": 3, "event": "accepted", "job": "run-1", "tasks": 1, "kind": "batch"},
         {"t": 9, "event": "over", "job": "run-1", "stance": "done"},
         {"t": 3, "event": "accepted", "job": "run-2", "tasks": 1, "kind": "batch"},
         {"t": 8, "event": "confirmed", "job": "run-2", "stance": "aborted"}]


def orders(at, machine, token, accepted=True, via="direct"):
    return {"t": at, "machine": machine, "event": "orders", "token": token, "accepted": accepted, "via": via}


def task(at, machine, event, name, attempt=1, **members):
    return {"t": at, "machine": machine, "event": event, "task": name, "attempt": attempt, **members}


def sound_history():
    return [orders(4, "m-1", 5), orders(4, "m-2", 6),
            task(5, "m-1", "task-begins", "run-1/0"), task(7, "m-1", "task-ended", "run-1/0"),
            task(7.1, "m-1", "exited", "run-1/0", cause=checker.CAUSE_DONE),
            task(5, "m-2", "task-begins", "run-2/0"), task(8.2, "m-2", "task-ended", "run-2/0"),
            orders(21, "m-1", 9)]


class CheckerTest(unittest.TestCase):
    def check(self, machines, events=None):
        with tempfile.TemporaryDirectory() as directory:
            os.makedirs(os.path.join(directory, "history"))
            self.write(os.path.join(directory, "history", "all.jsonl"), machines)
            self.write(os.path.join(directory, "events.jsonl"), LEADERS + USERS if events is None else events)
            return checker.check(directory, CANCEL_S)

    @staticmethod
    def write(path, events):
        with open(path, "w", encoding="utf-8") as file:
            for event in sorted(events, key=lambda event: event["t"]):
                file.write(json.dumps(event) + "\n")

    def assert_found(self, word, machines, events=None):
        found = self.check(machines, events)
        self.assertEqual([text for text in found if text.startswith(word)], found)
        self.assertNotEqual(found, [])

    def test_sound_history(self):
        self.assertEqual(self.check(sound_history()), [])

    def test_lower_token_is_obeyed(self):
        self.assert_found("two owners", sound_history() + [orders(21.5, "m-1", 5, via="answer")])

    def test_token_that_nobody_was_given(self):
        self.assert_found("two owners", sound_history() + [orders(22, "m-1", 11)])

    def test_machine_obeys_two_shards(self):
        self.assert_found("two shards", sound_history() + [orders(6, "m-2", 9)])

    def test_task_runs_on_two_machines(self):
        extra = [task(6, "m-2", "task-begins", "run-1/0", 2), task(6.5, "m-2", "task-ended", "run-1/0", 2)]
        self.assert_found("ran twice", sound_history() + extra)

    def test_task_runs_twice_on_one_machine(self):
        extra = [task(6, "m-1", "task-begins", "run-1/0", 2), task(6.5, "m-1", "task-ended", "run-1/0", 2)]
        self.assert_found("ran twice", sound_history() + extra)

    def test_start_after_a_confirmed_cancellation(self):
        extra = [task(9, "m-1", "task-begins", "run-2/0", 2), task(9.5, "m-1", "task-ended", "run-2/0", 2)]
        self.assert_found("started after its cancellation", sound_history() + extra)

    def test_task_outlives_its_cancellation(self):
        machines = [event for event in sound_history() if event["t"] != 8.2]
        self.assert_found("outlived its cancellation", machines)
        self.assert_found("outlived its cancellation", machines + [task(19, "m-2", "task-ended", "run-2/0")])

    def test_job_is_lost(self):
        events = [event for event in LEADERS + USERS if event["event"] != "over"]
        self.assert_found("lost", sound_history(), events)

    def test_job_is_forgotten(self):
        events = LEADERS + USERS + [{"t": 4, "event": "forgotten", "job": "run-1"}]
        self.assert_found("forgotten", sound_history(), events)

    def test_job_is_called_done_without_its_results(self):
        machines = [event for event in sound_history() if event["event"] != "exited"]
        self.assert_found("not done", machines)

    def test_order_of_a_controller_that_stood_still(self):
        events = LEADERS + USERS + [{"t": 25, "event": "thawed", "controller": "controller-0"}]
        late = [orders(25.2, "m-1", 5, accepted=False, via="answer")]
        self.assert_found("stale order", sound_history() + late, events)

    def test_order_sent_before_it_stood_still_is_no_violation(self):
        events = LEADERS + USERS + [{"t": 25, "event": "thawed", "controller": "controller-0"}]
        self.assertEqual(self.check(sound_history() + [orders(21.5, "m-1", 5, accepted=False)], events), [])


if __name__ == "__main__":
    unittest.main()
