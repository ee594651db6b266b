"""Runs a loopback cluster with seeded random jobs and controller faults, and checks its history.

    python3 tests/loopback/run.py --directory DIR --controller PROGRAM --agent PROGRAM

With --soak-s, the faults and the users' acts are a plan drawn from the seed: overlapping faults of
controllers, the state service, links and stand-in workers. A seed gives the same plan. DIR then holds
plan.json, the events, the histories of the workers, and the log of each controller.
"""

import argparse
import asyncio
import json
import os
import random
import sys
import time

import checker
import unknown_members
from cluster import Cluster, Programs
from faults import FaultInjector
from machine import Machine
from plan import draw_plan
from planned_faults import PlannedFaults
from planned_users import PlannedUsers
from settings import Settings
from standin_tasks import Gangs
from standin_worker import StandInWorker
from users import Users

SHARDS = [
    '<shard name="north" zones="a" share="0.4"/>',
    '<shard name="south" zones="b" share="0.3"/>',
    '<shard name="west" zones="c" share="0.3"/>',
]
ZONES = ["a", "b", "c"]
ELECTION_TIMEOUT_S, FINISH_TIMEOUT_S = 40, 150
ASK_TIMEOUT_S = 80  # above the time within which every question is answered
SOAK_TEAM_LIMITS = {"ops": 0.0, "lab": 12.0}
POLL_S = 0.1
VIEW_TIMEOUT_S = 0.5

# Cumulative shares of the kinds of jobs; the remaining jobs are long arrays that are cancelled.
ARRAY_SHARE, ARRAY_OR_GANG_SHARE = 0.6, 0.85
TASK_S = (0.3, 4)
LONG_TASK_S = 60
CANCEL_AFTER_S = (1, 8)


class Run:
    """A cluster with its users and its fault injector."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.random = random.Random(options.seed)
        unknown_members.seed(options.seed)
        shards = "".join(SHARDS[: options.shards]) if options.shards else None
        zones = ZONES[: max(options.shards, 1)]
        programs = Programs(options.controller, options.agent)
        settings = Settings(zones, shards)
        if options.soak_s:
            settings.team_limits = SOAK_TEAM_LIMITS
        self.cluster = Cluster(options.directory, programs, options.controllers, settings)
        self.users = Users(self.cluster, self.random)
        self.faults = FaultInjector(self.cluster, self.random)
        self.machines = [("m8", zones[i % len(zones)]) for i in range(options.agents)]
        self.gangs = Gangs()

    async def submit_jobs(self) -> None:
        """Submits random jobs until it is cancelled."""
        while True:
            choice = self.random.random()
            seconds = self.random.uniform(*TASK_S)
            cancel_after_s = None
            if choice < ARRAY_SHARE:
                job = self.users.make_job("batch", self.random.randint(1, 4), seconds)
            elif choice < ARRAY_OR_GANG_SHARE:
                tasks = self.random.randint(2, 3)
                job = self.users.make_job("ensemble", tasks, seconds, same_place=True, rank="urgent")
            else:
                job = self.users.make_job("batch", 2, LONG_TASK_S)
                cancel_after_s = self.random.uniform(*CANCEL_AFTER_S)
            self.users.start_job(job, cancel_after_s)
            await asyncio.sleep(self.random.expovariate(self.options.jobs_per_s))

    async def record_views(self) -> None:
        """Records each controller's view of the others and of the shards; used only by the reports."""
        known: dict[tuple[str, str], str] = {}
        while True:
            for controller in self.cluster.controllers:
                if not controller.is_running() or controller.is_frozen:
                    continue
                for resource in ("controllers", "shards"):
                    _, answer = await self.cluster.request(
                        controller, "GET", f"/v2/{resource}", timeout=VIEW_TIMEOUT_S
                    )
                    parts = answer or {}
                    for item in parts.get("controllers", []) + parts.get("shards", []):
                        key = (controller.name, item["name"])
                        if known.get(key) != item["state"]:
                            known[key] = item["state"]
                            view = {
                                "of": item["name"],
                                "state": item["state"],
                                "cause": item.get("cause", ""),
                            }
                            self.cluster.record("view", by=controller.name, **view)
            await asyncio.sleep(POLL_S)

    async def wait_for_leaders(self) -> None:
        """Waits until each shard has a leader, at most ELECTION_TIMEOUT_S."""
        wanted = max(self.options.shards, 1)
        deadline = time.monotonic() + ELECTION_TIMEOUT_S
        while len(self.cluster.leaders()) < wanted and time.monotonic() < deadline:
            await asyncio.sleep(POLL_S)

    async def inject_faults(self) -> None:
        """Injects the faults one after the other, cycling through their kinds."""
        kinds = self.options.kinds or FaultInjector.KINDS
        for i in range(self.options.faults):
            await self.faults.inject(kinds[i % len(kinds)], *self.options.fault_s)
            await self.wait_for_leaders()
            await asyncio.sleep(self.options.rest_s)

    def new_standin(self, name: str, address: str, machine_type: str, zone: str) -> Machine:
        """Creates a stand-in worker in place of an agent."""
        return StandInWorker(name, address, machine_type, zone, self.cluster.settings.workers, self.gangs)

    async def soak(self) -> list[str]:
        """Executes the plan of the seed; returns the ids of jobs that are not over at its end."""
        settings = self.cluster.settings
        plan = draw_plan(
            self.options.seed, self.options.soak_s, self.options.controllers, settings.workers["cancel_s"]
        )
        self.cluster.cloud.new_machine = self.new_standin
        self.users = users = PlannedUsers(self.cluster, self.random)
        faults = PlannedFaults(self.cluster, self.random)
        await self.cluster.start(self.machines)
        with open(os.path.join(self.options.directory, "plan.json"), "w", encoding="utf-8") as file:
            file.write(plan.to_json())
        await self.wait_for_leaders()
        users.running_jobs = [asyncio.create_task(users.run_planned(job)) for job in plan.jobs]
        await asyncio.gather(*(faults.carry_out(fault) for fault in plan.faults))
        faults.end_all()
        self.cluster.record("troubles-over")
        unfinished = await users.finish(FINISH_TIMEOUT_S)
        await users.ask_about_all(ASK_TIMEOUT_S)
        self.cluster.record_ends()
        await self.cluster.stop()
        return unfinished

    async def execute(self) -> list[str]:
        """Executes the run; returns the ids of jobs that are not over at its end."""
        await self.cluster.start(self.machines)
        await self.wait_for_leaders()
        submission = asyncio.create_task(self.submit_jobs())
        views = asyncio.create_task(self.record_views()) if self.options.shards else None
        await asyncio.sleep(self.options.quiet_s)
        await self.inject_faults()
        submission.cancel()
        unfinished = await self.users.finish(FINISH_TIMEOUT_S)
        if views is not None:
            views.cancel()
        await self.cluster.stop()
        return unfinished


def parse_options() -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--directory", required=True)
    parser.add_argument("--controller", required=True)
    parser.add_argument("--agent", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--controllers", type=int, default=3)
    parser.add_argument("--agents", type=int, default=6)
    parser.add_argument(
        "--shards", type=int, default=2, help="number of shards; 0: the fleet is not divided into shards"
    )
    parser.add_argument("--faults", type=int, default=3)
    parser.add_argument("--kinds", nargs="*")
    parser.add_argument("--soak-s", type=float, default=0, help="length of the plan; 0: faults one by one")
    parser.add_argument("--fault-s", type=float, nargs=2, default=(6, 12))
    parser.add_argument("--rest-s", type=float, default=4)
    parser.add_argument("--quiet-s", type=float, default=3)
    parser.add_argument("--jobs-per-s", type=float, default=1)
    parser.add_argument(
        "--expect-stale-orders",
        action="store_true",
        help="succeed only if the checker finds stale orders and no other violations",
    )
    return parser.parse_args()


def main() -> None:
    """Executes the run, checks its history and prints a summary."""
    options = parse_options()
    run = Run(options)
    unfinished = asyncio.run(run.soak() if options.soak_s else run.execute())
    settings = run.cluster.settings
    violations = checker.check(
        options.directory, settings.workers["cancel_s"], settings.team_limits, is_divided=options.shards > 0
    )
    summary = {
        "seed": options.seed,
        "jobs": len(run.users.states),
        "unfinished": unfinished,
        "violations": violations,
        "handovers": checker.handovers(options.directory),
        "waits_without_reason": run.users.waits_without_reason,
        "requests": run.cluster.state.http.request_counts,
    }
    print(json.dumps(summary, indent=1))
    if options.expect_stale_orders:
        sys.exit(0 if violations and all(text.startswith("stale order") for text in violations) else 1)
    sys.exit(1 if violations or unfinished else 0)


if __name__ == "__main__":
    main()
