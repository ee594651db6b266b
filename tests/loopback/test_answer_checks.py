"""Tests that the checks of a soak run find an injected violation of each kind, and none in what is allowed;
and that a seed gives the same plan."""

import unittest
from collections.abc import Iterable
from typing import Any, Optional

import answer_checks
from events import Event
from plan import draw_plan

OVER_AT = 100.0
LIMITS = {"lab": 3.0}


def answer(sent: float, at: float, stance: Optional[str], controller: str = "controller-0") -> Event:
    """The event of an answer about run-1."""
    status = 200 if stance else 503
    members = {"job": "run-1", "controller": controller, "status": status, "stance": stance}
    return {"t": at, "event": "answer", "sent": sent, "kind": "GET", **members}


def accepted(at: float, job: str = "run-1", cores: float = 1.0) -> Event:
    """The event of a job of the team "lab" that is accepted."""
    members = {"tasks": 2, "kind": "batch", "team": "lab", "cores": cores}
    return {"t": at, "event": "accepted", "job": job, **members}


def event(at: float, name: str, **members: Any) -> Event:
    """Any other event."""
    return {"t": at, "event": name, **members}


def task(at: float, name: str, kind: str, machine: str = "m-1") -> Event:
    """An event of a task."""
    return {"t": at, "machine": machine, "event": kind, "task": name, "attempt": 1}


class AnswerChecksTest(unittest.TestCase):
    """Tests of each check."""

    def assert_found(self, kind: str, violations: Iterable[str]) -> None:
        """Asserts that there are violations, all of this kind."""
        found = list(violations)
        self.assertNotEqual(found, [])
        self.assertEqual([text for text in found if text.startswith(kind)], found)

    def test_older_answer_after_a_final_one(self) -> None:
        events = [answer(1, 2, "done"), answer(2.1, 3, "running", "controller-1")]
        self.assert_found("went back", answer_checks.check_answer_order(events))

    def test_other_final_answer(self) -> None:
        events = [answer(1, 2, "aborted"), answer(2.1, 3, "done", "controller-1")]
        self.assert_found("went back", answer_checks.check_answer_order(events))

    def test_question_before_the_final_answer_may_get_an_older_one(self) -> None:
        events = [answer(1, 2, "done"), answer(1.9, 3, "running", "controller-1"), answer(4, 5, None)]
        self.assertEqual(list(answer_checks.check_answer_order(events)), [])

    def test_job_that_nobody_cancelled(self) -> None:
        self.assert_found("cancelled by nobody", answer_checks.check_uncancelled([answer(1, 2, "aborted")]))

    def test_cancelled_job(self) -> None:
        events = [event(1, "cancelling", job="run-1"), answer(1, 2, "aborted")]
        self.assertEqual(list(answer_checks.check_uncancelled(events)), [])

    def test_question_without_answer_after_the_troubles(self) -> None:
        unanswered = [answer(at, at + 1, None) for at in (101, 140, 177)]
        events = [accepted(1), event(OVER_AT, "troubles-over"), *unanswered]
        self.assert_found("unanswered", answer_checks.check_answer_times(events))

    def test_answer_of_another_controller_does_not_count(self) -> None:
        unanswered = [
            answer(101, 102, None),
            answer(140, 141, "running", "controller-1"),
            answer(177, 178, None),
        ]
        events = [accepted(1), event(OVER_AT, "troubles-over"), *unanswered]
        self.assert_found("unanswered", answer_checks.check_answer_times(events))

    def test_answers_in_time_and_silence_during_the_troubles(self) -> None:
        early = [answer(at, at + 1, None) for at in (5, 50, 98)]
        late = [answer(101, 102, None), answer(170, 171, "running"), answer(200, 201, None)]
        events = [accepted(1), *early, event(OVER_AT, "troubles-over"), *late]
        self.assertEqual(list(answer_checks.check_answer_times(events)), [])

    def test_job_that_does_not_start(self) -> None:
        events = [accepted(1), event(OVER_AT, "troubles-over"), event(195, "over", job="run-2")]
        self.assert_found("starved", answer_checks.check_starts(events, []))

    def test_job_that_starts_late_in_the_troubles(self) -> None:
        events = [accepted(1), event(OVER_AT, "troubles-over"), event(195, "over", job="run-1")]
        self.assertEqual(list(answer_checks.check_starts(events, [task(99, "run-1/0", "task-begins")])), [])

    def test_start_after_the_end(self) -> None:
        machines = [task(1, "run-1/0", "task-begins"), task(3, "run-1/1", "task-begins")]
        self.assert_found(
            "started after its end", answer_checks.check_starts_after_end([answer(1, 2, "done")], machines)
        )

    def test_start_before_the_end(self) -> None:
        machines = [task(1, "run-1/0", "task-begins"), task(3, "run-2/1", "task-begins")]
        found = answer_checks.check_starts_after_end([answer(1, 2, "done")], machines)
        self.assertEqual(list(found), [])

    def test_team_above_its_limit(self) -> None:
        machines = [task(1, "run-1/0", "task-begins"), task(2, "run-1/1", "task-begins", "m-2")]
        events = [accepted(0, cores=2.0)]
        self.assert_found("over the limit", answer_checks.check_team_limits(events, machines, LIMITS))

    def test_team_that_uses_its_limit_in_turn(self) -> None:
        machines = [
            task(1, "run-1/0", "task-begins"),
            task(2, "run-1/0", "task-ended"),
            task(3, "run-1/1", "task-begins", "m-2"),
        ]
        found = answer_checks.check_team_limits([accepted(0, cores=2.0)], machines, LIMITS)
        self.assertEqual(list(found), [])

    def test_controller_that_ends_by_itself(self) -> None:
        events = [event(5, "ended-by-itself", controller="controller-0", status=-6)]
        self.assert_found("ended by itself", answer_checks.check_controllers(events))

    def test_controller_that_finds_an_invariant_violated(self) -> None:
        events = [event(5, "invariant-violated", controller="controller-0", line="error ...")]
        self.assert_found("invariant", answer_checks.check_controllers(events))

    def test_controllers_that_live(self) -> None:
        events = [
            event(5, "killed", controller="controller-0"),
            event(6, "started", controller="controller-0"),
        ]
        self.assertEqual(list(answer_checks.check_controllers(events)), [])


class PlanTest(unittest.TestCase):
    """Tests of plans."""

    def test_seed_gives_the_same_plan(self) -> None:
        self.assertEqual(draw_plan(7, 21, 3, 16), draw_plan(7, 21, 3, 16))
        self.assertNotEqual(draw_plan(7, 21, 3, 16).faults, draw_plan(8, 21, 3, 16).faults)


if __name__ == "__main__":
    unittest.main()
