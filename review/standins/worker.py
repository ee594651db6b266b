"""A worker of PROTOCOL: reports, commands, tokens and its lease, with tasks that only take time."""

import asyncio
import functools
import json
import random
import time

from .http import Refused, request, serve

REPORT_TIMEOUT_S, RETRY_S, MIN_GAP_S, TICK_S = 4.0, 1.0, 0.5, 0.05


class Task:
    """One attempt of a task."""

    def __init__(self, name, dive, job):
        self.name, self.dive, self.job = name, dive, job
        self.stance, self.cause = "fetching", None
        self.began_at = self.ready_at = time.monotonic()

    def status(self):
        """The task as a report lists it."""
        cause = {"cause": self.cause} if self.cause else {}
        return {"talon": self.name, "dive": self.dive, "stance": self.stance, **cause}


@functools.total_ordering
class Worker:
    """A machine with its worker. `jobs` is what users have uploaded: ref -> submission with `run_s`."""

    def __init__(self, name, breed, zone, spot, size, addr, settings, controllers, jobs, completed, record):
        self.name, self.breed, self.zone, self.spot, self.size = name, breed, zone, spot, size
        self.addr, self.settings, self.controllers = addr, settings, controllers
        self.jobs, self.completed, self.record = jobs, completed, record
        self.created_at = time.monotonic()
        self.is_up = self.has_ended = False
        self.stint, self.chirp, self.crest = 1, 0, 0
        self.tasks = {}
        self.renewed_at = 0.0
        self.has_changed = False
        self.controller = random.choice(sorted(controllers))
        self.server = None
        self.images = set()
        self.results = set()  # tasks that completed here
        self.refusals = []  # statuses other than those that PROTOCOL names for reports
        self.lost = []  # tasks that ended with a lease

    def __lt__(self, other):
        return self.name < other.name

    def __eq__(self, other):
        return self is other

    def __hash__(self):
        return hash(self.name)

    # ---- the machine ----

    async def start(self, boot_s):
        """Boots the machine and starts the worker."""
        await asyncio.sleep(boot_s)
        if self.has_ended:
            return
        host, port = self.addr.rsplit(":", 1)
        self.server = await serve(host, int(port), self.handle)
        self.is_up = True
        self.renewed_at = time.monotonic()
        self.record(f"machine {self.name} ({self.breed}, {self.zone}) is up")
        loop = asyncio.get_running_loop()
        loop.create_task(self.advance())
        loop.create_task(self.run())

    def end(self, why):
        """Ends the machine with all that is on it."""
        self.record(f"machine {self.name} ends: {why}")
        self.has_ended, self.is_up = True, False
        if self.server is not None:
            self.server.close()
        for task in self.active():
            self.record(f"task {task.name} attempt {task.dive} is gone with {self.name}")
        self.tasks.clear()

    def active(self):
        """The tasks that have not exited."""
        return [task for task in self.tasks.values() if task.stance != "exited"]

    def free(self):
        """What no task takes: CPUs, GPUs and GB."""
        left = [self.size["cores"], self.size["gpus"], self.size["ram_gb"]]
        for task in self.active():
            for i, field in enumerate(("cores", "gpus", "ram_gb")):
                left[i] -= task.job[field]
        return left

    def has_room(self, job):
        """Whether one more task of the job fits."""
        need = (job["cores"], job["gpus"], job["ram_gb"])
        return all(n <= left + 1e-6 for n, left in zip(need, self.free()))

    # ---- tasks ----

    async def advance(self):
        """Advances the tasks and the lease."""
        while not self.has_ended:
            now = time.monotonic()
            if now > self.renewed_at + self.settings["lease_s"]:
                self.record(f"lease of {self.name} is over, {len(self.active())} tasks end")
                self.lost += [task.name for task in self.active()]
                self.tasks.clear()
                self.stint += 1
                self.renewed_at = now
                self.has_changed = True
            for task in self.active():
                self.advance_task(task, now)
            await asyncio.sleep(TICK_S)

    def advance_task(self, task, now):
        """Starts a task whose image is there; ends one that has run its time."""
        if task.stance == "fetching" and now >= task.ready_at:
            self.images.add(task.job["plumage"])
            task.stance, task.began_at = "running", now
            self.has_changed = True
            self.record(f"task {task.name} attempt {task.dive} starts on {self.name}")
        if task.stance == "running" and task.name in self.results:
            self.exit(task, "done")
        elif task.stance == "running" and task.job["run_s"] and now >= task.began_at + task.job["run_s"]:
            self.results.add(task.name)
            self.completed.add(task.name)
            self.exit(task, "done")

    def exit(self, task, cause):
        """Ends a task, which stays in the reports."""
        task.stance, task.cause = "exited", cause
        self.has_changed = True
        self.record(f"task {task.name} attempt {task.dive} ends on {self.name}: {cause}")

    def launch(self, name, dive):
        """The command `launch`."""
        if (name, dive) in self.tasks:
            return
        ref, number = name.split("/")
        job = self.jobs.get(ref)
        if job is None or int(number) >= job["talons"]:
            self.tasks[name, dive] = task = Task(name, dive, {"cores": 0, "gpus": 0, "ram_gb": 0})
            self.exit(task, "unknown")
            return
        is_busy = any(task.name == name for task in self.active())
        has_room = self.has_room(job)
        self.tasks[name, dive] = task = Task(name, dive, job)
        if job["plumage"] not in self.images:
            task.ready_at += job["image_gb"] / self.size["pull_gb_per_s"]
        if is_busy:
            self.exit(task, "busy")
        elif not has_room:
            self.exit(task, "full")

    def execute(self, commands):
        """Executes accepted commands in order."""
        for command in commands:
            name, dive = command["talon"], command["dive"]
            task = self.tasks.get((name, dive))
            if command["call"] == "launch":
                self.launch(name, dive)
            elif command["call"] == "stop" and task is not None and task.stance != "exited":
                self.exit(task, "halted")
            elif command["call"] == "clear" and task is not None and task.stance == "exited":
                del self.tasks[name, dive]
            self.has_changed = True

    # ---- messages ----

    def report(self):
        """The next report."""
        self.chirp += 1
        return {
            "perch": self.name,
            "addr": self.addr,
            "breed": self.breed,
            "range": self.zone,
            "windfall": self.spot,
            "stint": self.stint,
            "chirp": self.chirp,
            "crest": self.crest,
            "warning_s": None,
            "talons": [task.status() for task in self.tasks.values()],
        }

    def see_token(self, token):
        """Stores the highest token."""
        if token > self.crest:
            self.crest = token
            self.has_changed = True

    async def run(self):
        """Reports to one controller at a time."""
        while not self.has_ended:
            sent_at, stint = time.monotonic(), self.stint
            self.has_changed = False
            endpoint = self.controllers[self.controller]
            report = self.report()
            status, answer = await request(endpoint, "POST", "/hello", report, REPORT_TIMEOUT_S)
            if status not in (0, 200, 421, 503):
                self.note_refusal(status, report)
            if status == 200:
                token = answer.get("crest", 0)
                if token >= self.crest and token > 0 and stint == self.stint and not self.has_ended:
                    self.renewed_at = max(self.renewed_at, sent_at)
                    self.see_token(token)
                    self.execute(answer["calls"])
                await self.pause(sent_at)
            else:
                await self.turn(answer.get("eyrie") if status == 421 and answer else None)

    def note_refusal(self, status, report):
        """Records a status that PROTOCOL does not name for a report."""
        size, listed = len(json.dumps(report, separators=(",", ":"))), len(report["talons"])
        self.refusals.append(status)
        self.record(
            f"report of {self.name}, {size} bytes, {listed} tasks, refused by {self.controller}: {status}"
        )

    async def turn(self, named):
        """Turns to the node that a 421 names, or to the next one."""
        if named in self.controllers and named != self.controller:
            self.controller = named
            await asyncio.sleep(random.uniform(0, 0.5))
            return
        names = sorted(self.controllers)
        self.controller = names[(names.index(self.controller) + 1) % len(names)]
        await asyncio.sleep(RETRY_S)

    async def pause(self, sent_at):
        """Waits until the next report is due."""
        interval_s = self.settings["report_s"] * random.uniform(0.75, 1.25)
        while time.monotonic() < sent_at + interval_s and not self.has_ended:
            if self.has_changed and time.monotonic() >= sent_at + MIN_GAP_S:
                break
            await asyncio.sleep(TICK_S)

    async def handle(self, method, path, _query, body):
        """Handles a request of a controller."""
        if path == "/status":
            return self.report()
        if "crest" not in body or "stint" not in body:
            raise Refused(400)
        if body["crest"] < self.crest or body["stint"] != self.stint:
            raise Refused(409, self.report())
        self.see_token(body["crest"])
        self.execute(body["calls"])
        return self.report()
