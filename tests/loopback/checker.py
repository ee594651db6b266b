"""Checks the history of a run for violations of the scheduler's guarantees.

The history consists of the events of the run (`events`: changes of leaders' keys in the state service, and
answers to users) and those of the machines (`machines`: recorded by agents and supervisors of tasks). The
controllers' own claims are not used."""

import glob
import os
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any, Optional

import answer_checks
from events import Event, read_events, time_of

# Allows for the supervisor's polling interval, the delivery of a command, and inexact record times.
TOLERANCE_S = 0.3
# Cause of a successful task in "exited" events (enum ow_exit_cause).
CAUSE_DONE = 1


def load(directory: str) -> tuple[list[Event], list[Event]]:
    """The events of a run and of its machines, each sorted by time."""
    paths = glob.glob(os.path.join(directory, "history", "*.jsonl"))
    machines = [event for path in paths for event in read_events(path)]
    machines.sort(key=time_of)
    return read_events(os.path.join(directory, "events.jsonl")), machines


def events_named(events: Iterable[Event], *names: str) -> list[Event]:
    """The events with one of these names."""
    return [event for event in events if event["event"] in names]


def terms(events: list[Event]) -> list[Event]:
    """The starts of leaders' terms, according to the state service."""
    return [event for event in events_named(events, "leader") if event["leader"]]


def accepted_commands(machines: list[Event]) -> list[Event]:
    """The batches of commands that machines accepted."""
    return [event for event in events_named(machines, "orders") if event["accepted"]]


def job_of(event: Event) -> str:
    """The job of the event's task."""
    return str(event["task"]).split("/", maxsplit=1)[0]


def check_tokens(events: list[Event], machines: list[Event]) -> Iterator[str]:
    """A machine has one owner at any time: the tokens that it accepts never decrease, and each was issued to
    one controller by the state service. An answer with token 0 and without commands makes nobody an owner: a
    leader sends it until it has read the job table, and an agent that has seen no token accepts it."""
    issued = {term["token"] for term in terms(events)}
    seen: dict[str, int] = defaultdict(int)
    for event in accepted_commands(machines):
        machine, token = event["machine"], event["token"]
        if token == seen[machine] == 0 and event["commands"] == 0:
            continue
        if token < seen[machine]:
            yield f"two owners: {machine} accepted token {token} after {seen[machine]}"
        if token not in issued:
            yield f"two owners: {machine} accepted token {token}, which was never issued"
        seen[machine] = max(seen[machine], token)


def check_shards(events: list[Event], machines: list[Event]) -> Iterator[str]:
    """All tokens that a machine accepts belong to one shard."""
    shard_of = {term["token"]: term["shard"] for term in terms(events)}
    shards: dict[str, str] = {}
    for event in accepted_commands(machines):
        if event["token"] in shard_of:
            shard = shard_of[event["token"]]
            if shards.setdefault(event["machine"], shard) != shard:
                yield f"two shards: {event['machine']} accepted {shards[event['machine']]} and {shard}"


def check_attempts(machines: list[Event]) -> Iterator[str]:
    """No task runs more than once at a time."""
    running: dict[str, str] = {}
    for event in machines:
        if event["event"] == "task-begins":
            if event["task"] in running:
                yield f"ran twice: {event['task']} on {event['machine']} while on {running[event['task']]}"
            running[event["task"]] = event["machine"]
        elif event["event"] == "task-ended" and running.get(event["task"]) == event["machine"]:
            del running[event["task"]]


def check_cancellations(events: list[Event], machines: list[Event], cancel_s: float) -> Iterator[str]:
    """After a cancellation is confirmed, no task of the job starts, and its running tasks end in time."""
    confirmations = {e["job"]: e["t"] for e in events_named(events, "confirmed") if e["stance"] == "aborted"}
    running: dict[tuple[str, str, int], Event] = {}
    for event in events_named(machines, "task-begins", "task-ended"):
        confirmed_at = confirmations.get(job_of(event))
        key = (event["machine"], event["task"], event["attempt"])
        if event["event"] == "task-begins":
            running[key] = event
            if confirmed_at is not None and event["t"] > confirmed_at + TOLERANCE_S:
                yield f"started after its cancellation: {event['task']} on {event['machine']}"
        else:
            running.pop(key, None)
            if confirmed_at is not None and event["t"] > confirmed_at + cancel_s:
                yield f"outlived its cancellation: {event['task']} on {event['machine']}"
    for event in running.values():
        if job_of(event) in confirmations:
            yield f"outlived its cancellation: {event['task']} on {event['machine']} never ended"


def completed_gang_tasks(machines: list[Event]) -> set[str]:
    """The tasks that ran in an attempt of which another task of their gang has a result: by the protocol the
    tasks of a gang complete together. The machine of such a task may lose its lease, and with it the result,
    in the moment in which the others complete."""
    results = {
        (job_of(e), e["attempt"]) for e in machines if e["event"] == "exited" and e["cause"] == CAUSE_DONE
    }
    begun = events_named(machines, "task-begins")
    return {event["task"] for event in begun if (job_of(event), event["attempt"]) in results}


def check_jobs(events: list[Event], machines: list[Event]) -> Iterator[str]:
    """Every accepted job is over at the end, was never unknown to a controller, and is done only if all its
    tasks succeeded."""
    results = {e["task"] for e in events_named(machines, "exited") if e["cause"] == CAUSE_DONE}
    gang_results = results | completed_gang_tasks(machines)
    over = {e["job"]: e["stance"] for e in events_named(events, "over", "confirmed")}
    for event in events:
        if event["event"] == "forgotten":
            yield f"forgotten: {event['job']}"
        if event["event"] != "accepted":
            continue
        job = event["job"]
        if job not in over:
            yield f"lost: {job} is not over"
        elif over[job] == "done":
            counted = gang_results if event["kind"] == "ensemble" else results
            missing = [i for i in range(event["tasks"]) if f"{job}/{i}" not in counted]
            if missing:
                yield f"not done: {job} has no result of its tasks {missing}"


def ended_terms(events: list[Event]) -> Iterator[tuple[str, int, float]]:
    """Yields controller, token and end time of each ended term, according to the state service."""
    for term in terms(events):
        changes = [e["t"] for e in events_named(events, "leader") if e["shard"] == term["shard"]]
        later = [time for time in changes if time > term["t"]]
        if later:
            yield term["leader"], term["token"], min(later)


def check_stale_orders(events: list[Event], machines: list[Event], is_divided: bool) -> Iterator[str]:
    """A controller whose term ended while it was frozen sends nothing under the old token after its thaw. In
    a fleet without shards it may, for it does not check its lease; but no machine accepts that."""
    ended = list(ended_terms(events))
    for thaw in events_named(events, "thawed"):
        stale = {token for leader, token, end in ended if leader == thaw["controller"] and end < thaw["t"]}
        for event in events_named(machines, "orders"):
            if event["t"] > thaw["t"] and event["token"] in stale and (is_divided or event["accepted"]):
                command = f"{event['machine']} received token {event['token']}"
                yield f"stale order: {command} after its controller was thawed"


def check_refusals(events: list[Event], machines: list[Event]) -> Iterator[str]:
    """All requests of users and reports of machines are sound: none is refused as malformed."""
    for event in events_named(events, "refused"):
        yield f"refused: a request about {event['job']} got 400"
    for event in events_named(machines, "refused"):
        yield f"refused: a report of {event['machine']} got 400"


def check(
    directory: str,
    cancel_s: float,
    team_limits: Optional[dict[str, float]] = None,
    is_divided: bool = True,
) -> list[str]:
    """All violations, each as a message that starts with its kind. `team_limits`: CPUs; 0: no limit."""
    events, machines = load(directory)
    return [
        *answer_checks.check_answer_order(events),
        *answer_checks.check_uncancelled(events),
        *answer_checks.check_answer_times(events),
        *answer_checks.check_starts(events, machines),
        *answer_checks.check_starts_after_end(events, machines),
        *answer_checks.check_team_limits(events, machines, team_limits or {}),
        *answer_checks.check_controllers(events),
        *check_tokens(events, machines),
        *check_shards(events, machines),
        *check_attempts(machines),
        *check_cancellations(events, machines, cancel_s),
        *check_jobs(events, machines),
        *check_refusals(events, machines),
        *check_stale_orders(events, machines, is_divided),
    ]


def first_after(events: Iterable[Event], time: float) -> Optional[Event]:
    """The first event later than a time, or None."""
    return next((event for event in events if event["t"] > time), None)


def end_of_fault(events: list[Event], fault: Event, default: float) -> float:
    """The time at which a fault ended; the default if it did not end."""
    end = first_after(events_named(events, "fault-over"), fault["t"])
    return float(end["t"]) if end is not None else default


def handovers(directory: str) -> list[dict[str, Any]]:
    """For each shard that lost its leader by a fault: seconds until the next token, and until the first
    launch under it."""
    events, machines = load(directory)
    launches = events_named(machines, "launched")
    measured = []
    for fault in (event for event in events_named(events, "fault") if event.get("shards")):
        end = end_of_fault(events, fault, fault["t"])
        for shard in fault["shards"]:
            successor = first_after((term for term in terms(events) if term["shard"] == shard), fault["t"])
            # A term that starts after the fault ended has another cause: this fault cost no leader its lease.
            if successor is None or successor["t"] > end:
                continue
            launch = next((e for e in launches if e["token"] == successor["token"]), None)
            measured.append(
                {
                    "shard": shard,
                    "kind": fault["kind"],
                    "condemned_s": successor["t"] - fault["t"],
                    "first_launch_s": launch["t"] - fault["t"] if launch else None,
                }
            )
    return measured
