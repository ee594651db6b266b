"""The tasks of a stand-in worker, and the gangs that they form. Events are recorded as agents record them."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Optional

CAUSES = {"done": 1, "halted": 2, "peers": 3, "incomplete": 4, "full": 6, "busy": 7}

Record = Callable[..., None]
Status = dict[str, Any]


@dataclass
class Description:
    """What a worker knows about a job."""

    tasks: int
    cores: float
    seconds: float
    is_gang: bool


@dataclass
class StandInTask:
    """An attempt of a task on a worker."""

    name: str  # job/task
    attempt: int
    description: Description
    state: str = "waiting"
    cause: str = ""
    launched_at: float = field(default_factory=time.monotonic)
    began_at: float = 0.0

    def job(self) -> str:
        """The job of the task."""
        return self.name.split("/")[0]

    def gang(self) -> tuple[str, int]:
        """The gang that the attempt belongs to."""
        return self.job(), self.attempt

    def status(self) -> Status:
        """The task as a report lists it."""
        cause = {"cause": self.cause} if self.cause else {}
        return {"talon": self.name, "dive": self.attempt, "stance": self.state, **cause}


class Gangs:
    """The members of all gangs on all workers: they start together, and learn of the loss of a member."""

    def __init__(self) -> None:
        self.members: dict[tuple[str, int], dict[str, StandInTask]] = {}

    def add(self, task: StandInTask) -> None:
        """Adds a member."""
        self.members.setdefault(task.gang(), {})[task.name] = task

    def remove(self, task: StandInTask) -> None:
        """Removes a member that has exited or was killed."""
        members = self.members.get(task.gang(), {})
        if members.get(task.name) is task:
            del members[task.name]

    def is_complete(self, task: StandInTask) -> bool:
        """Whether all members of the task's gang exist."""
        return len(self.members.get(task.gang(), {})) == task.description.tasks


class StandInTasks:
    """The tasks of one worker."""

    def __init__(self, cores: float, workers: dict[str, float], gangs: Gangs, record: Record) -> None:
        self.cores = cores
        self.workers = workers  # the settings of workers
        self.gangs = gangs
        self.record = record
        self.tasks: dict[tuple[str, int], StandInTask] = {}

    def statuses(self) -> list[Status]:
        """All tasks as a report lists them."""
        return [task.status() for task in self.tasks.values()]

    def active(self) -> list[StandInTask]:
        """The tasks that have not exited."""
        return [task for task in self.tasks.values() if task.state != "exited"]

    def launch(self, name: str, attempt: int, token: int, description: Description) -> None:
        """Carries out a launch; a repeated one has no effect."""
        if (name, attempt) in self.tasks:
            return
        task = StandInTask(name, attempt, description)
        active = self.active()
        self.tasks[(name, attempt)] = task
        self.record("launched", task=name, attempt=attempt, token=token)
        if any(other.name == name for other in active):
            self.exit(task, "busy")
        elif sum(other.description.cores for other in active) + description.cores > self.cores:
            self.exit(task, "full")
        elif description.is_gang:
            self.gangs.add(task)
        else:
            self.begin(task)

    def stop(self, name: str, attempt: int) -> None:
        """Carries out a stop; no task saves its progress."""
        task = self.tasks.get((name, attempt))
        if task is not None and task.state != "exited":
            self.exit(task, "halted")

    def clear(self, name: str, attempt: int) -> None:
        """Forgets a task that has exited."""
        task = self.tasks.get((name, attempt))
        if task is not None and task.state == "exited":
            del self.tasks[(name, attempt)]

    def begin(self, task: StandInTask) -> None:
        """Starts a task."""
        task.state = "running"
        task.began_at = time.monotonic()
        self.record("task-begins", task=task.name, attempt=task.attempt, end=0)

    def end(self, task: StandInTask) -> None:
        """Records the end of a task that runs, and removes it from its gang."""
        if task.state == "running":
            self.record("task-ended", task=task.name, attempt=task.attempt, end=1)
        self.gangs.remove(task)

    def exit(self, task: StandInTask, cause: str) -> None:
        """Ends a task that stays in the reports."""
        self.end(task)
        task.state, task.cause = "exited", cause
        self.record("exited", task=task.name, attempt=task.attempt, cause=CAUSES[cause])

    def kill_all(self) -> None:
        """Kills and forgets all tasks, as at the end of the lease."""
        for task in self.active():
            self.end(task)
        self.tasks.clear()

    def advance(self, now: float) -> bool:
        """Starts and ends the tasks that are due; returns whether anything has changed."""
        changes = [(task, self.next_change(task, now)) for task in self.active()]
        for task, change in changes:
            if change == "begin":
                self.begin(task)
            elif change is not None:
                self.exit(task, change)
        return any(change is not None for _, change in changes)

    def next_change(self, task: StandInTask, now: float) -> Optional[str]:
        """What happens to a task now: it begins, or the cause of its exit; None: nothing."""
        if task.state == "running":
            if now >= task.began_at + task.description.seconds:
                return "done"
            is_broken = task.description.is_gang and not self.gangs.is_complete(task)
            # Members that are done have left the gang: the others complete with them.
            is_ending = now >= task.began_at + task.description.seconds - self.workers["gang_peer_s"]
            return "peers" if is_broken and not is_ending else None
        if self.gangs.is_complete(task):
            return "begin"
        return "incomplete" if now > task.launched_at + self.workers["gang_wait_s"] else None
