"""Users of a loopback cluster: they submit jobs to random controllers, retry unanswered requests, poll until
their jobs are over, and cancel some of them."""

import asyncio
import os
import random
from typing import Any, Optional

import unknown_members
from cluster import Cluster

REQUEST_TIMEOUT_S = 2
RETRY_S = 0.5
POLL_S = 0.5
MIN_TASK_S = 0.1
FINAL_STATES = ("done", "aborted")

Job = dict[str, Any]


class Users:
    """The jobs of a run, and their states as reported to the users."""

    def __init__(self, cluster: Cluster, generator: random.Random) -> None:
        self.cluster = cluster
        self.random = generator
        self.last_number = 0
        self.states: dict[str, str] = {}  # last known state of each job
        self.reasons: set[str] = set()
        self.waits_without_reason = 0
        self.running_jobs: list["asyncio.Task[None]"] = []

    def make_job(self, shape: str, tasks: int, seconds: float, **members: Any) -> Job:
        """Creates a job whose tasks sleep for `seconds`, and stores its description."""
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
            "flight_s": 0.0 if shape == "standing" else max(seconds, MIN_TASK_S),
            "molt_s": 0.0,
            "preen_s": 0.0,
            "dusk_s": None,
        }
        job.update(members)
        path = os.path.join(self.cluster.directory, "jobs", f"{job['ref']}.json")
        with open(path, "wb") as file:
            file.write(unknown_members.encode(dict(job, command=["sleep", str(seconds)])))
        return job

    async def request(self, method: str, path: str, body: Optional[Any] = None) -> tuple[int, Any]:
        """Sends a request to a random controller."""
        controller = self.random.choice(self.cluster.controllers)
        return await self.cluster.request(controller, method, path, body, timeout=REQUEST_TIMEOUT_S)

    async def submit(self, job: Job) -> None:
        """Submits the job, retrying until it is accepted."""
        while True:
            status, answer = await self.request("POST", "/v2/runs", job)
            if status in (200, 201):
                break
            if status in (400, 422):
                raise RuntimeError(f"{job['ref']} was rejected: {answer}")
            await asyncio.sleep(RETRY_S)
        self.states[job["ref"]] = "queued"
        self.cluster.record("accepted", job=job["ref"], tasks=job["talons"], kind=job["shape"])

    async def cancel(self, job: Job) -> None:
        """Cancels the job, retrying until the cancellation is confirmed."""
        while True:
            status, answer = await self.request("POST", f"/v2/runs/{job['ref']}/withdraw", {})
            if status == 200:
                break
            await asyncio.sleep(RETRY_S)
        self.states[job["ref"]] = answer["stance"]
        self.cluster.record("confirmed", job=job["ref"], stance=answer["stance"])

    async def wait_until_over(self, job: Job) -> None:
        """Polls until the job is done or cancelled."""
        while True:
            status, answer = await self.request("GET", f"/v2/runs/{job['ref']}")
            if status == 404:
                self.cluster.record("forgotten", job=job["ref"])
            if status == 200:
                self.record_reason(answer)
                if answer["stance"] in FINAL_STATES:
                    break
            await asyncio.sleep(POLL_S)
        self.states[job["ref"]] = answer["stance"]
        self.cluster.record("over", job=job["ref"], stance=answer["stance"])

    def record_reason(self, answer: Job) -> None:
        """Records why a job waits, and counts answers without a reason."""
        if answer["stance"] != "queued":
            return
        if "reason" in answer:
            self.reasons.add(answer["reason"].split(":")[0])
        else:
            self.waits_without_reason += 1

    async def run(self, job: Job, cancel_after_s: Optional[float] = None) -> None:
        """Submits the job, then cancels it after a delay or waits until it is over."""
        await self.submit(job)
        if cancel_after_s is not None:
            await asyncio.sleep(cancel_after_s)
            await self.cancel(job)
        else:
            await self.wait_until_over(job)

    def start_job(self, job: Job, cancel_after_s: Optional[float] = None) -> None:
        """Runs the job in the background."""
        self.running_jobs.append(asyncio.get_running_loop().create_task(self.run(job, cancel_after_s)))

    async def finish(self, timeout_s: float) -> list[str]:
        """Waits until all jobs are over or the timeout expires; returns the ids of unfinished jobs."""
        _, pending = await asyncio.wait(self.running_jobs, timeout=timeout_s)
        for task in pending:
            task.cancel()
        return [job for job, state in self.states.items() if state not in FINAL_STATES]
