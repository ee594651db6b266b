"""The plan of a soak run: faults and users' acts, drawn from a seed, so that a seed can be run again."""

import dataclasses
import json
import random
from dataclasses import dataclass
from typing import Optional

WINDOW_S = 7.0  # the faults of a window overlap
FAULTS_PER_WINDOW = (2, 3)
FAULT_S = (0.2, 6.0)
QUICK_RESTART_S = (0.1, 0.8)
QUICK_RESTART_SHARE = 0.5
LONG_OUTAGE_SHARE = 0.15
LONG_OUTAGE_MARGIN_S = 3.0
JOBS_PER_S = 1.5
TASK_S = (0.3, 5.0)
LONG_TASK_S = 60.0

# Faults of one controller, and faults of everything or of a share of the workers.
CONTROLLER_KINDS = [
    "kill",
    "kill",
    "freeze",
    "freeze_cut",
    "isolate",
    "cut_state",
    "refuse_state",
    "slow_state",
    "cut_one_way",
    "split",
    "lose_answers",
    "late_writes",
]
COMMON_KINDS = ["kill_all", "kill_leaders", "state_outage"]
WORKER_KINDS = ["deaf_workers", "mute_workers", "late_reports", "late_commands"]


@dataclass(frozen=True)
class PlannedFault:
    """A fault: when it starts after the beginning of the plan, its target's number, and how long it lasts."""

    at_s: float
    kind: str
    target: int
    for_s: float


@dataclass(frozen=True)
class PlannedJob:
    """A job: when it is submitted, what it is, and when and how often it is cancelled."""

    at_s: float
    shape: str
    team: str
    tasks: int
    seconds: float
    cancel_after_s: Optional[float] = None
    cancellations: int = 1
    is_repeated: bool = False  # submitted again at another controller
    is_asked_everywhere: bool = False  # at all controllers after each change that a user is told


@dataclass(frozen=True)
class Plan:
    """Everything that a soak run does to the cluster."""

    seed: int
    duration_s: float
    faults: list[PlannedFault]
    jobs: list[PlannedJob]

    def to_json(self) -> str:
        """The plan as JSON text."""
        return json.dumps(dataclasses.asdict(self), indent=1)


def draw_fault(generator: random.Random, start_s: float, controllers: int, cancel_s: float) -> PlannedFault:
    """Draws a fault that starts within a window."""
    kind = generator.choice(CONTROLLER_KINDS * 2 + COMMON_KINDS * 2 + WORKER_KINDS)
    for_s = generator.uniform(*FAULT_S)
    if kind.startswith("kill") and generator.random() < QUICK_RESTART_SHARE:
        for_s = generator.uniform(*QUICK_RESTART_S)
    if kind == "state_outage" and generator.random() < LONG_OUTAGE_SHARE:
        for_s = cancel_s + LONG_OUTAGE_MARGIN_S
    at_s = start_s + generator.uniform(0, WINDOW_S / 2)
    return PlannedFault(at_s, kind, generator.randrange(controllers), for_s)


def draw_job(generator: random.Random, at_s: float) -> PlannedJob:
    """Draws a job: arrays, gangs and services, some of them cancelled early, at their end, or twice."""
    shape = generator.choices(["batch", "ensemble", "standing"], [6, 3, 1])[0]
    seconds = generator.uniform(*TASK_S)
    cancel_after_s = None
    fate = generator.random()
    if shape == "standing":
        seconds, cancel_after_s = LONG_TASK_S, generator.uniform(4, 15)
    elif fate < 0.15:
        seconds, cancel_after_s = LONG_TASK_S, generator.uniform(0, 8)
    elif fate < 0.3:
        cancel_after_s = seconds + generator.uniform(-0.3, 1.2)
    return PlannedJob(
        at_s,
        shape,
        team=generator.choice(["ops", "lab"]),
        tasks=generator.randint(2, 3) if shape == "ensemble" else generator.randint(1, 4),
        seconds=seconds,
        cancel_after_s=cancel_after_s,
        cancellations=generator.choice([1, 1, 2]),
        is_repeated=generator.random() < 0.3,
        is_asked_everywhere=generator.random() < 0.4,
    )


def draw_plan(seed: int, duration_s: float, controllers: int, cancel_s: float) -> Plan:
    """Draws the plan of a seed."""
    generator = random.Random(seed)
    faults = []
    start_s = 0.0
    while start_s + WINDOW_S <= duration_s:
        for _ in range(generator.randint(*FAULTS_PER_WINDOW)):
            faults.append(draw_fault(generator, start_s, controllers, cancel_s))
        start_s += WINDOW_S
    jobs = []
    at_s = 0.0
    while at_s < duration_s:
        jobs.append(draw_job(generator, at_s))
        at_s += generator.expovariate(JOBS_PER_S)
    return Plan(seed, duration_s, sorted(faults, key=lambda fault: fault.at_s), jobs)
