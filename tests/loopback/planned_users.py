"""Users who carry out the jobs of a plan (plan.py): they repeat submissions, ask at all controllers within
milliseconds, and cancel, also at the end of a job and twice. Every answer is recorded with the times of
question and answer."""

import asyncio
import random
import time
from typing import Any, Optional

from cluster import Cluster
from controller import Controller
from plan import PlannedJob
from users import POLL_S, REQUEST_TIMEOUT_S, RETRY_S, Job, Users

STATUS_MALFORMED, STATUS_NOT_FOUND = 400, 404
ACCEPTED = (200, 201)


class PlannedUsers(Users):
    """The users of a soak run."""

    def __init__(self, cluster: Cluster, generator: random.Random) -> None:
        super().__init__(cluster, generator)
        self.accepted: list[str] = []

    async def ask(self, controller: Controller, method: str, path: str, job: str, body: Any) -> Optional[str]:
        """Sends a request about a job to a controller; returns the state in the answer, or None."""
        sent = time.monotonic()
        status, answer = await self.cluster.request(controller, method, path, body, REQUEST_TIMEOUT_S)
        stance: Optional[str] = answer["stance"] if status in ACCEPTED else None
        members = {"job": job, "controller": controller.name, "status": status, "stance": stance}
        self.cluster.record("answer", sent=sent, kind=method, **members)
        if status == STATUS_NOT_FOUND:
            self.cluster.record("forgotten", job=job)
        if status == STATUS_MALFORMED:
            self.cluster.record("refused", job=job)
        return stance

    async def poll(self, controller: Controller, job: str) -> Optional[str]:
        """Asks a controller for the state of a job."""
        return await self.ask(controller, "GET", f"/v2/runs/{job}", job, None)

    async def poll_everywhere(self, job: str) -> None:
        """Asks all controllers at once."""
        await asyncio.gather(*(self.poll(controller, job) for controller in self.cluster.controllers))

    async def send(self, method: str, path: str, job: str, body: Any) -> str:
        """Sends a request to random controllers until one answers with a state."""
        while True:
            controller = self.random.choice(self.cluster.controllers)
            stance = await self.ask(controller, method, path, job, body)
            if stance is not None:
                return stance
            await asyncio.sleep(RETRY_S)

    async def submit_planned(self, planned: PlannedJob, job: Job) -> None:
        """Submits a job until it is accepted, and once more if that is planned."""
        ref = job["ref"]
        await self.send("POST", "/v2/runs", ref, job)
        self.states[ref] = "queued"
        self.accepted.append(ref)
        self.cluster.record(
            "accepted", job=ref, tasks=job["talons"], kind=job["shape"], team=job["roost"], cores=job["cores"]
        )
        if planned.is_asked_everywhere:
            await self.poll_everywhere(ref)
        if planned.is_repeated:
            await self.ask(self.random.choice(self.cluster.controllers), "POST", "/v2/runs", ref, job)

    async def cancel_planned(self, planned: PlannedJob, ref: str) -> None:
        """Cancels a job until that is confirmed, from several users at once if that is planned."""
        path = f"/v2/runs/{ref}/withdraw"
        self.cluster.record("cancelling", job=ref)
        requests = [self.send("POST", path, ref, {}) for _ in range(planned.cancellations)]
        stances = await asyncio.gather(*requests)
        self.finish_job(ref, stances[0], "confirmed")
        if planned.is_asked_everywhere:
            await self.poll_everywhere(ref)

    def finish_job(self, ref: str, stance: str, event: str) -> None:
        """Records the final state of a job."""
        self.states[ref] = stance
        self.cluster.record(event, job=ref, stance=stance)

    async def run_planned(self, planned: PlannedJob) -> None:
        """Waits for the time of a job, and follows it to its end."""
        await asyncio.sleep(planned.at_s)
        job = self.make_job(planned.shape, planned.tasks, planned.seconds, roost=planned.team)
        ref = job["ref"]
        await self.submit_planned(planned, job)
        deadline = None if planned.cancel_after_s is None else time.monotonic() + planned.cancel_after_s
        while deadline is None or time.monotonic() < deadline:
            stance = await self.poll(self.random.choice(self.cluster.controllers), ref)
            if stance in ("done", "aborted"):
                self.finish_job(ref, stance, "over")
                if planned.is_asked_everywhere:
                    await self.poll_everywhere(ref)
                break
            await asyncio.sleep(
                POLL_S if deadline is None else min(POLL_S, max(0, deadline - time.monotonic()))
            )
        if deadline is not None and self.states[ref] not in ("done", "aborted"):
            await self.cancel_planned(planned, ref)

    async def ask_until_answered(self, controller: Controller, job: str, timeout_s: float) -> None:
        """Asks one controller until it answers, or the timeout has passed."""
        deadline = time.monotonic() + timeout_s
        while await self.poll(controller, job) is None and time.monotonic() < deadline:
            await asyncio.sleep(RETRY_S)

    async def ask_about_all(self, timeout_s: float) -> None:
        """Asks every controller about every accepted job."""
        controllers = self.cluster.controllers
        await asyncio.gather(
            *(self.ask_until_answered(c, job, timeout_s) for job in self.accepted for c in controllers)
        )
