"""Checks the history of a run: what the agents and the supervisors of tasks recorded on the machines, when leaders'
keys changed in the state service, and what users were told. Nothing is taken from the controllers' own claims."""

import glob
import json
import os
from collections import defaultdict

# A stop takes a supervisor's look at its orders, and an order's way; records are made a little before or after.
SLACK_S = 0.3
# Ends of tasks in the records (enum agent_task_end), and causes in reports (enum ow_cause).
CAUSE_DONE = 1


def read_lines(path):
    with open(path, encoding="utf-8") as file:
        return [json.loads(line) for line in file if line.strip()]


def load(directory):
    """The events of a run and of its machines, each in order of time."""
    machines = [event for path in glob.glob(os.path.join(directory, "history", "*.jsonl"))
                for event in read_lines(path)]
    machines.sort(key=lambda event: event["t"])
    return read_lines(os.path.join(directory, "events.jsonl")), machines


def check_tokens(events, machines):
    """At every instant a machine has one owner: what it obeys never goes back to a lower token, and each token it
    obeys was given to one controller by the state service."""
    issued = {e["token"] for e in events if e["event"] == "leader" and e["leader"]}
    seen = defaultdict(int)
    for event in machines:
        if event["event"] != "orders" or not event["accepted"]:
            continue
        machine, token = event["machine"], event["token"]
        if token < seen[machine]:
            yield f"two owners: {machine} obeyed token {token} after {seen[machine]}"
        if token not in issued:
            yield f"two owners: {machine} obeyed token {token}, which nobody was given"
        seen[machine] = max(seen[machine], token)


def check_shards(events, machines):
    """The tokens that a machine obeys are all of one shard."""
    shard_of = {e["token"]: e["shard"] for e in events if e["event"] == "leader" and e["leader"]}
    shards = {}
    for event in machines:
        if event["event"] == "orders" and event["accepted"] and event["token"] in shard_of:
            shard = shard_of[event["token"]]
            if shards.setdefault(event["machine"], shard) != shard:
                yield f"two shards: {event['machine']} obeyed {shards[event['machine']]} and {shard}"


def check_attempts(machines):
    """No task runs twice at one time."""
    running = {}
    for event in machines:
        if event["event"] == "task-begins":
            if event["task"] in running:
                yield f"ran twice: {event['task']} on {event['machine']} while on {running[event['task']]}"
            running[event["task"]] = event["machine"]
        elif event["event"] == "task-ended" and running.get(event["task"]) == event["machine"]:
            del running[event["task"]]


def check_cancellations(events, machines, cancel_s):
    """Nothing of a job starts after its user was told that it is cancelled, and nothing runs on for long."""
    told = {e["job"]: e["t"] for e in events if e["event"] == "confirmed" and e["stance"] == "aborted"}
    begun = {}
    for event in machines:
        if event["event"] not in ("task-begins", "task-ended"):
            continue
        at = told.get(event["task"].split("/")[0])
        key = (event["machine"], event["task"], event["attempt"])
        if event["event"] == "task-begins":
            begun[key] = event["t"]
            if at is not None and event["t"] > at + SLACK_S:
                yield f"started after its cancellation: {event['task']} on {event['machine']}"
        else:
            begun.pop(key, None)
            if at is not None and event["t"] > at + cancel_s:
                yield f"outlived its cancellation: {event['task']} on {event['machine']}"
    for (machine, task, _), _ in begun.items():
        if task.split("/")[0] in told:
            yield f"outlived its cancellation: {task} on {machine} never ended"


def check_jobs(events, machines):
    """Every accepted job is over at the end, is never forgotten, and is done only if all its tasks were."""
    results = {e["task"] for e in machines if e["event"] == "exited" and e["cause"] == CAUSE_DONE}
    over = {e["job"]: e["stance"] for e in events if e["event"] in ("over", "confirmed")}
    for event in events:
        if event["event"] == "forgotten":
            yield f"forgotten: {event['job']}"
        if event["event"] != "accepted":
            continue
        job = event["job"]
        if job not in over:
            yield f"lost: {job} is not over"
        elif over[job] == "done":
            missing = [i for i in range(event["tasks"]) if f"{job}/{i}" not in results]
            if missing:
                yield f"not done: {job} has no result of its tasks {missing}"


def ended_terms(leaders):
    """(controller, token, time at which its term ended), as the state service has it."""
    for event in leaders:
        if not event["leader"]:
            continue
        later = [e["t"] for e in leaders if e["shard"] == event["shard"] and e["t"] > event["t"]]
        if later:
            yield event["leader"], event["token"], min(later)


def check_stale_orders(events, machines):
    """A controller that stood still while its term ended sends nothing under that term's token when it goes on."""
    ended = list(ended_terms([e for e in events if e["event"] == "leader"]))
    for thaw in (e for e in events if e["event"] == "thawed"):
        stale = {token for leader, token, at in ended if leader == thaw["controller"] and at < thaw["t"]}
        for event in machines:
            if event["event"] == "orders" and event["t"] > thaw["t"] and event["token"] in stale:
                yield f"stale order: {event['machine']} got token {event['token']} after its controller stood still"


def check(directory, cancel_s):
    """Every violation, in words."""
    events, machines = load(directory)
    found = [*check_tokens(events, machines), *check_shards(events, machines), *check_attempts(machines),
             *check_cancellations(events, machines, cancel_s), *check_jobs(events, machines),
             *check_stale_orders(events, machines)]
    return found


def handovers(directory):
    """For each fault of a leader: shard, time until another token was committed, and until its first launch."""
    events, machines = load(directory)
    leaders = [e for e in events if e["event"] == "leader"]
    launches = [e for e in machines if e["event"] == "launched"]
    measured = []
    for fault in (e for e in events if e["event"] == "fault" and e.get("shards")):
        over = next((e["t"] for e in events if e["event"] == "fault-over" and e["t"] > fault["t"]), fault["t"])
        for shard in fault["shards"]:
            successor = next((e for e in leaders if e["shard"] == shard and e["leader"] and e["t"] > fault["t"]), None)
            # A later term is another fault's: this one took nobody's lease.
            if successor is None or successor["t"] > over:
                continue
            first = next((e for e in launches if e["token"] == successor["token"]), None)
            measured.append({"shard": shard, "kind": fault["kind"], "condemned_s": successor["t"] - fault["t"],
                             "first_launch_s": first["t"] - fault["t"] if first else None})
    return measured
