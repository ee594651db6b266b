"""Checks of what users were told in a soak run, and of what they waited for (see checker.py)."""

from collections import defaultdict
from collections.abc import Iterator
from typing import Optional

from events import Event

# Targets of the operators' brief.
ANSWER_MAX_S = 75.0
START_MAX_S = 90.0
# Allows for the delivery of an answer, and for inexact record times.
TOLERANCE_S = 0.3

FINAL = ("done", "aborted")


def named(events: list[Event], *names: str) -> list[Event]:
    """The events with one of these names."""
    return [event for event in events if event["event"] in names]


def troubles_over_at(events: list[Event]) -> Optional[float]:
    """When the last trouble of the run was over; None if the run has no such event."""
    over = named(events, "troubles-over")
    return float(over[0]["t"]) if over else None


def check_answer_order(events: list[Event]) -> Iterator[str]:
    """A question that is sent after an answer gets none that is older, at whichever controller."""
    final: dict[str, tuple[float, str]] = {}
    for event in named(events, "answer"):
        job, stance = event["job"], event["stance"]
        if stance is None:
            continue
        if job in final and event["sent"] > final[job][0] and stance != final[job][1]:
            yield f"went back: {job} is {stance} at {event['controller']} after {final[job][1]}"
        if stance in FINAL and job not in final:
            final[job] = (event["t"], stance)


def check_uncancelled(events: list[Event]) -> Iterator[str]:
    """Only a job that its user cancels is told to be cancelled."""
    cancelling = {event["job"]: event["t"] for event in named(events, "cancelling")}
    for event in named(events, "answer"):
        if event["stance"] == "aborted" and cancelling.get(event["job"], float("inf")) > event["t"]:
            yield f"cancelled by nobody: {event['job']} at {event['controller']}"


def check_answer_times(events: list[Event]) -> Iterator[str]:
    """After the troubles every controller answers questions about an accepted job in time."""
    over_at = troubles_over_at(events)
    if over_at is None:
        return
    accepted = {event["job"] for event in named(events, "accepted")}
    unanswered_since: dict[tuple[str, str], float] = {}
    reported: set[tuple[str, str]] = set()
    for event in named(events, "answer"):
        key = (event["job"], event["controller"])
        if event["sent"] < over_at or event["job"] not in accepted:
            continue
        if event["stance"] is not None:
            unanswered_since.pop(key, None)
            continue
        since = unanswered_since.setdefault(key, event["sent"])
        if event["t"] - since > ANSWER_MAX_S and key not in reported:
            reported.add(key)
            yield f"unanswered: {key[0]} at {key[1]} for {event['t'] - since:.0f} s"


def first_starts(machines: list[Event]) -> dict[str, float]:
    """When the first task of each job began."""
    starts: dict[str, float] = {}
    for event in named(machines, "task-begins"):
        starts.setdefault(event["task"].split("/")[0], event["t"])
    return starts


def check_starts(events: list[Event], machines: list[Event]) -> Iterator[str]:
    """After the troubles no job waits for long: the machines of a run have room for all its jobs in turn."""
    over_at = troubles_over_at(events)
    if over_at is None:
        return
    cancelled = {event["job"] for event in named(events, "cancelling")}
    starts = first_starts(machines)
    end = max(event["t"] for event in events)
    for event in named(events, "accepted"):
        if event["job"] in cancelled:
            continue
        waited_s = starts.get(event["job"], end) - max(event["t"], over_at)
        if waited_s > START_MAX_S:
            yield f"starved: {event['job']} waited {waited_s:.0f} s after the troubles"


def check_starts_after_end(events: list[Event], machines: list[Event]) -> Iterator[str]:
    """No task begins after its user was told that the job is done."""
    done = {e["job"]: e["t"] for e in reversed(named(events, "answer")) if e["stance"] == "done"}
    for event in named(machines, "task-begins"):
        job = event["task"].split("/")[0]
        if job in done and event["t"] > done[job] + TOLERANCE_S:
            yield f"started after its end: {event['task']} on {event['machine']}"


def check_team_limits(events: list[Event], machines: list[Event], limits: dict[str, float]) -> Iterator[str]:
    """The tasks of a team never use more CPUs than its limit."""
    accepted = {event["job"]: event for event in named(events, "accepted")}
    used: dict[str, float] = defaultdict(float)
    running: set[tuple[str, str]] = set()
    for event in named(machines, "task-begins", "task-ended"):
        job = accepted.get(event["task"].split("/")[0], {})
        team, limit = job.get("team", ""), limits.get(job.get("team", ""), 0.0)
        key = (event["machine"], event["task"])
        is_start = event["event"] == "task-begins"
        if limit <= 0 or (key in running) == is_start:
            continue
        (running.add if is_start else running.discard)(key)
        used[team] += job["cores"] if is_start else -job["cores"]
        if is_start and used[team] > limit:
            yield f"over the limit: team {team} uses {used[team]:g} CPUs with {event['task']}"


def check_controllers(events: list[Event]) -> Iterator[str]:
    """No controller ends by itself, and none finds its invariants violated."""
    for event in named(events, "ended-by-itself"):
        yield f"ended by itself: {event['controller']} with status {event['status']}"
    for event in named(events, "invariant-violated"):
        yield f"invariant: {event['controller']}: {event['line']}"
