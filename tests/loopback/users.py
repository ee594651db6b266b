"""Users of a loopback cluster: they submit jobs to any controller, repeat what was not answered, poll until
their job is over, and cancel some."""

import asyncio
import json
import os
import random
from typing import Any, Optional

from cluster import Cluster

REQUEST_TIMEOUT_S = 2
RETRY_S = 0.5
POLL_S = 0.5
SHORTEST_TASK_S = 0.1
OVER = ("done", "aborted")

Job = dict[str, Any]


class Users:
    """The jobs of a run, and what the users were told of them."""

    def __init__(self, cluster: Cluster, generator: random.Random) -> None:
        self.cluster = cluster
        self.random = generator
        self.last_number = 0
        self.states: dict[str, str] = {}  # the last known one of each job
        self.reasons: set[str] = set()
        self.waits_without_reason = 0
        self.background: list["asyncio.Task[None]"] = []

    def make_job(self, shape: str, tasks: int, seconds: float, **members: Any) -> Job:
        """A job whose tasks sleep for so long."""
        self.last_number += 1
        job = {
            "ref": f"run-{self.last_number:06}",
            "flock": "sleep",
            "roost": "ops",
            "shape": shape,
            "rank": "standard",
            "talons": tasks,
            "cores": 1.0,
            "gpus": 0.0,
            "ram_gb": 1.0,
            "plumage": "none",
            "image_gb": 0.0,
            "breeds": None,
            "range": None,
            "same_place": False,
            "scatter": False,
            "windfall": False,
            "flight_s": 0.0 if shape == "standing" else max(seconds, SHORTEST_TASK_S),
            "molt_s": 0.0,
            "preen_s": 0.0,
            "dusk_s": None,
        }
        job.update(members)
        path = os.path.join(self.cluster.directory, "jobs", f"{job['ref']}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(dict(job, command=["sleep", str(seconds)]), file)
        return job

    async def request(self, method: str, path: str, body: Optional[Any] = None) -> tuple[int, Any]:
        """Asks any controller."""
        controller = self.random.choice(self.cluster.controllers)
        return await self.cluster.request(controller, method, path, body, timeout=REQUEST_TIMEOUT_S)

    async def submit(self, job: Job) -> None:
        """Returns once the job is accepted."""
        while True:
            status, answer = await self.request("POST", "/v2/runs", job)
            if status in (200, 201):
                break
            if status in (400, 422):
                raise RuntimeError(f"{job['ref']} is refused: {answer}")
            await asyncio.sleep(RETRY_S)
        self.states[job["ref"]] = "queued"
        self.cluster.record("accepted", job=job["ref"], tasks=job["talons"], kind=job["shape"])

    async def cancel(self, job: Job) -> None:
        """Returns once the cancellation is confirmed."""
        while True:
            status, answer = await self.request("POST", f"/v2/runs/{job['ref']}/withdraw", {})
            if status == 200:
                break
            await asyncio.sleep(RETRY_S)
        self.states[job["ref"]] = answer["stance"]
        self.cluster.record("confirmed", job=job["ref"], stance=answer["stance"])

    async def wait_until_over(self, job: Job) -> None:
        """Returns once the job is done or cancelled."""
        while True:
            status, answer = await self.request("GET", f"/v2/runs/{job['ref']}")
            if status == 404:
                self.cluster.record("forgotten", job=job["ref"])
            if status == 200:
                self.note_reason(answer)
                if answer["stance"] in OVER:
                    break
            await asyncio.sleep(POLL_S)
        self.states[job["ref"]] = answer["stance"]
        self.cluster.record("over", job=job["ref"], stance=answer["stance"])

    def note_reason(self, answer: Job) -> None:
        """Counts the answers that don't say why a job waits."""
        if answer["stance"] != "queued":
            return
        if "reason" in answer:
            self.reasons.add(answer["reason"].split(":")[0])
        else:
            self.waits_without_reason += 1

    async def run(self, job: Job, cancel_after_s: Optional[float] = None) -> None:
        """Submits the job, and cancels it after some time or waits until it is over."""
        await self.submit(job)
        if cancel_after_s is not None:
            await asyncio.sleep(cancel_after_s)
            await self.cancel(job)
        else:
            await self.wait_until_over(job)

    def begin(self, job: Job, cancel_after_s: Optional[float] = None) -> None:
        """Runs the job in the background."""
        self.background.append(asyncio.get_running_loop().create_task(self.run(job, cancel_after_s)))

    async def finish(self, timeout_s: float) -> list[str]:
        """Waits until every job is over; the ids of those that are not."""
        _, pending = await asyncio.wait(self.background, timeout=timeout_s)
        for task in pending:
            task.cancel()
        return [job for job, state in self.states.items() if state not in OVER]
