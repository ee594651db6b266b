"""A stand-in for an agent: it speaks the workers' protocol in the process of the test, so that a run can have
hundreds of workers. Its messages can be lost, late or repeated."""

import asyncio
import json
import os
import random
import time
from typing import Any, Optional

import http_messages
from events import Event, write_events
from http_service import HttpError, HttpService, Query
from machine import AGENT_PORT, MACHINE_TYPES, AgentOptions, Machine
from standin_tasks import Description, Gangs, StandInTasks

REPORT_TIMEOUT_S = 4
RETRY_S = 1.0
MIN_GAP_S = 0.5
TICK_S = 0.1
JITTER = 0.25
LATE_S = (1.0, 8.0)
STATUS_OK, STATUS_MALFORMED, STATUS_MISDIRECTED = 200, 400, 421

Body = dict[str, Any]


class WorkerFaults:
    """What happens to the messages of a worker."""

    def __init__(self) -> None:
        self.is_deaf = False  # answers and commands are lost
        self.is_mute = False  # reports are lost
        self.has_late_reports = False  # copies of reports arrive again later
        self.has_late_commands = False  # commands are carried out later, without an answer


class StandInWorker(Machine):
    """A machine whose worker is a coroutine."""

    def __init__(
        self, name: str, address: str, machine_type: str, zone: str, workers: dict[str, float], gangs: Gangs
    ) -> None:
        super().__init__(name, address, machine_type, zone)
        self.workers = workers
        self.faults = WorkerFaults()
        self.random = random.Random(name)
        self.events: list[Event] = []
        self.tasks = StandInTasks(MACHINE_TYPES[machine_type]["cores"], workers, gangs, self.record)
        self.incarnation, self.sequence, self.token = 1, 0, 0
        self.renewed_at = time.monotonic()
        self.has_changed = False
        self.controllers: dict[str, str] = {}
        self.controller = ""
        self.directory = ""
        self.http = HttpService(self.handle)
        self.running: Optional["asyncio.Task[None]"] = None
        self.has_ended = False

    def record(self, event: str, **members: Any) -> None:
        """Records an event of the worker."""
        self.events.append({"t": time.monotonic(), "machine": self.name, "event": event, **members})

    # ---- start and end ----

    def start_agent(self, options: AgentOptions) -> None:
        """Starts the worker."""
        self.directory = options.directory
        self.controllers = dict(options.controllers)
        self.controller = self.random.choice(sorted(self.controllers))
        self.running = asyncio.get_running_loop().create_task(self.run())

    def kill_agent(self) -> None:
        """Ends the worker with its tasks, and writes its history."""
        self.has_ended = True
        if self.running is not None:
            self.running.cancel()
        self.http.stop()
        self.tasks.kill_all()
        write_events(os.path.join(self.directory, "history", f"{self.name}.jsonl"), self.events)

    async def wait_until_tasks_end(self) -> None:
        """Returns at once: tasks end with the worker."""

    # ---- reports ----

    async def run(self) -> None:
        """Reports to the controllers, and advances tasks and lease in between."""
        await self.http.start(self.address, AGENT_PORT + 1)
        advancing = asyncio.get_running_loop().create_task(self.advance())
        try:
            # A cancelled wait_for() may return as if it had not been cancelled: the cancellation is missed.
            while not self.has_ended:
                await self.report()
                await self.wait_for_next_report()
        finally:
            advancing.cancel()

    async def advance(self) -> None:
        """Advances the tasks, and ends the incarnation when the lease has expired."""
        while True:
            now = time.monotonic()
            self.has_changed = self.tasks.advance(now) or self.has_changed
            if now > self.renewed_at + self.workers["lease_s"]:
                self.record("lease-over", session=self.incarnation)
                self.tasks.kill_all()
                self.incarnation += 1
                self.renewed_at = now
                self.has_changed = True
            await asyncio.sleep(TICK_S)

    async def wait_for_next_report(self) -> None:
        """Waits for the report's interval, or until something has changed."""
        started_at = time.monotonic()
        interval_s = self.workers["report_s"] * self.random.uniform(1 - JITTER, 1 + JITTER)
        while time.monotonic() < started_at + interval_s:
            if self.has_changed and time.monotonic() > started_at + MIN_GAP_S:
                break
            await asyncio.sleep(TICK_S)

    def make_report(self) -> Body:
        """The next report."""
        self.sequence += 1
        self.has_changed = False
        return {
            "perch": self.name,
            "addr": f"{self.address}:{AGENT_PORT}",
            "breed": self.type,
            "range": self.zone,
            "windfall": False,
            "stint": self.incarnation,
            "chirp": self.sequence,
            "crest": self.token,
            "warning_s": None,
            "talons": self.tasks.statuses(),
        }

    async def send(self, controller: str, report: Body) -> tuple[int, Any]:
        """Sends a report to a controller."""
        address, _, port = self.controllers[controller].rpartition(":")
        return await http_messages.request(
            address, int(port), "POST", "/hello", report, REPORT_TIMEOUT_S, source=self.address
        )

    async def send_later(self, report: Body) -> None:
        """Sends a copy of a report to some controller after a delay."""
        await asyncio.sleep(self.random.uniform(*LATE_S))
        await self.send(self.random.choice(sorted(self.controllers)), report)

    async def report(self) -> None:
        """Sends a report, and handles the answer."""
        incarnation, sent_at, report = self.incarnation, time.monotonic(), self.make_report()
        if self.faults.has_late_reports:
            asyncio.get_running_loop().create_task(self.send_later(report))
        status, answer = http_messages.NO_ANSWER, None
        if not self.faults.is_mute:
            status, answer = await self.send(self.controller, report)
        if self.faults.is_deaf:
            status, answer = http_messages.NO_ANSWER, None
        if status == STATUS_MALFORMED:
            self.record("refused")
        if status == STATUS_OK:
            self.handle_answer(answer, incarnation, sent_at)
        else:
            await self.change_controller(status, answer)

    async def change_controller(self, status: int, answer: Any) -> None:
        """Turns to the controller that the answer names, or to the next one."""
        named = answer.get("eyrie") if status == STATUS_MISDIRECTED and answer else None
        if named in self.controllers and named != self.controller:
            self.controller = named
            self.has_changed = True
            return
        names = sorted(self.controllers)
        self.controller = names[(names.index(self.controller) + 1) % len(names)]
        await asyncio.sleep(RETRY_S)

    def handle_answer(self, answer: Any, incarnation: int, sent_at: float) -> None:
        """Handles the answer to a report of an incarnation."""
        token = answer.get("crest", 0)
        commands = answer.get("calls", [])
        is_accepted = token >= self.token and incarnation == self.incarnation
        self.record_commands("answer", token, len(commands), is_accepted)
        if not is_accepted:
            return
        self.renewed_at = max(self.renewed_at, sent_at)
        self.execute(token, commands)

    # ---- commands ----

    def record_commands(self, via: str, token: int, count: int, is_accepted: bool) -> None:
        """Records that commands have arrived."""
        members = {"via": via, "token": token, "seen": self.token, "session": self.incarnation}
        self.record("orders", **members, commands=count, accepted=is_accepted)

    def execute(self, token: int, commands: list[Body]) -> None:
        """Executes accepted commands."""
        if token > self.token:
            self.token = token
            self.has_changed = True
            self.record("token", token=token)
        for command in commands:
            name, attempt = command["talon"], command["dive"]
            if command["call"] == "launch":
                self.tasks.launch(name, attempt, token, self.describe(name.split("/")[0]))
            elif command["call"] == "stop":
                self.tasks.stop(name, attempt)
            elif command["call"] == "clear":
                self.tasks.clear(name, attempt)
            self.has_changed = True

    def describe(self, job: str) -> Description:
        """The description of a job, as its user has stored it."""
        with open(os.path.join(self.directory, "jobs", f"{job}.json"), encoding="utf-8") as file:
            text = json.load(file)
        seconds = float(text["command"][1])
        return Description(text["talons"], text["cores"], seconds, is_gang=text["shape"] == "ensemble")

    async def handle(self, _client: str, _method: str, path: str, _query: Query, body: Any) -> Body:
        """Handles a request of a controller."""
        if path != "/commands":
            return self.make_report()
        if self.faults.is_deaf:
            await asyncio.sleep(self.workers["lease_s"])
            raise HttpError(503)
        if self.faults.has_late_commands:
            await asyncio.sleep(self.random.uniform(*LATE_S))
        token, commands = body["crest"], body["calls"]
        is_accepted = token >= self.token and body["stint"] == self.incarnation
        self.record_commands("direct", token, len(commands), is_accepted)
        if not is_accepted:
            raise HttpError(409, self.make_report())
        self.execute(token, commands)
        return self.make_report()
