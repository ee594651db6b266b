"""Users of a loopback cluster: they submit jobs to any controller, repeat what was not answered, ask until their
job is over, and cancel some."""

import asyncio
import json
import os

RETRY_S = 0.5
POLL_S = 0.5


class Users:
    def __init__(self, cluster, random):
        self.cluster, self.random = cluster, random
        self.last = 0
        self.jobs = {}  # id -> last known state
        self.reasons = set()
        self.unexplained = 0
        self.tasks = []

    def describe(self, kind, count, seconds, **members):
        """A job whose tasks sleep for so long."""
        self.last += 1
        job = {"ref": f"run-{self.last:06}", "flock": "sleep", "roost": "ops", "shape": kind, "rank": "standard",
               "talons": count, "cores": 1.0, "gpus": 0.0, "ram_gb": 1.0, "plumage": "none", "image_gb": 0.0,
               "breeds": None, "range": None, "same_place": False, "scatter": False, "windfall": False,
               "flight_s": 0.0 if kind == "standing" else max(seconds, 0.1), "molt_s": 0.0, "preen_s": 0.0,
               "dusk_s": None}
        job.update(members)
        path = os.path.join(self.cluster.directory, "jobs", job["ref"] + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(dict(job, command=["sleep", str(seconds)]), file)
        return job

    async def ask(self, method, path, body=None):
        return await self.cluster.request(self.random.choice(self.cluster.controllers), method, path, body, timeout=2)

    async def submit(self, job):
        """Returns once the job is accepted."""
        while True:
            status, answer = await self.ask("POST", "/v2/runs", job)
            if status in (200, 201):
                break
            if status in (400, 422):
                raise RuntimeError(f"{job['ref']} is refused: {answer}")
            await asyncio.sleep(RETRY_S)
        self.jobs[job["ref"]] = "queued"
        self.cluster.record("accepted", job=job["ref"], tasks=job["talons"], kind=job["shape"])

    async def cancel(self, job):
        while True:
            status, answer = await self.ask("POST", f"/v2/runs/{job['ref']}/withdraw", {})
            if status == 200:
                break
            await asyncio.sleep(RETRY_S)
        self.jobs[job["ref"]] = answer["stance"]
        self.cluster.record("confirmed", job=job["ref"], stance=answer["stance"])

    async def follow(self, job):
        """Returns once the job is done or cancelled."""
        while True:
            status, answer = await self.ask("GET", f"/v2/runs/{job['ref']}")
            if status == 404:
                self.cluster.record("forgotten", job=job["ref"])
            if status == 200:
                self.note(answer)
                if answer["stance"] in ("done", "aborted"):
                    break
            await asyncio.sleep(POLL_S)
        self.jobs[job["ref"]] = answer["stance"]
        self.cluster.record("over", job=job["ref"], stance=answer["stance"])

    def note(self, answer):
        if answer["stance"] != "queued":
            return
        if "reason" in answer:
            self.reasons.add(answer["reason"].split(":")[0])
        else:
            self.unexplained += 1

    async def run(self, job, cancel_after=None):
        await self.submit(job)
        if cancel_after is not None:
            await asyncio.sleep(cancel_after)
            await self.cancel(job)
        else:
            await self.follow(job)

    def begin(self, job, cancel_after=None):
        """Runs the job in the background."""
        self.tasks.append(asyncio.get_running_loop().create_task(self.run(job, cancel_after)))

    async def finish(self, timeout):
        """Waits until every job is over; the ids of those that are not."""
        _, pending = await asyncio.wait(self.tasks, timeout=timeout)
        for task in pending:
            task.cancel()
        return [job for job, state in self.jobs.items() if state not in ("done", "aborted")]
