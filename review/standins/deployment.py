"""A small deployment on loopback: real controllers, started as deploy/service.toml says, and stand-ins."""

import asyncio
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

from .cloud import Cloud
from .http import request
from .state import State
from .worker import Worker

HOST = "127.0.0.1"
PORTS = (18000, 31000)
HELD, BROKEN, NOT_RUN = 0, 3, 2  # exit statuses; run.sh turns 3 into 1: Python ends with 1 after an error
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def free_ports(count):
    """Ports that nobody uses, below those that the system gives to outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as probe:
            if port not in ports and probe.connect_ex((HOST, port)) != 0:
                ports.append(port)
    return ports


def run_case(site, play, folder):
    """Runs a case with a deployment, and ends this process with its verdict."""
    deployment = Deployment(site, os.environ.get("RECORD", os.path.join(folder, "record.txt")))

    def end(status):
        """Ends the process at once: tasks of the stand-ins that are still waiting need no farewell."""
        deployment.stop()
        os._exit(status)

    def out_of_time(*_):
        deployment.record("the case could not run: it did not end in time")
        end(NOT_RUN)

    async def whole():
        try:
            end(await play(deployment))
        except Exception as error:  # this is no verdict
            deployment.record(f"the case could not run: {error!r}")
            end(NOT_RUN)

    signal.signal(signal.SIGTERM, out_of_time)
    asyncio.run(whole())


class Controller:
    """A controller's process."""

    def __init__(self, name, area, front, peer, cloud_port, directory):
        self.name, self.area, self.front, self.peer = name, area, front, peer
        self.cloud_port = cloud_port  # its own, so that the cloud knows who asks
        self.settings = os.path.join(directory, name + ".toml")
        self.log = os.path.join(directory, name + ".log")
        self.process = None


class Deployment:
    """Everything of one run. `site` is a dict, see the cases."""

    def __init__(self, site, record_path):
        self.site = site
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.record_file = open(record_path, "w", encoding="utf-8")
        self.started_at = time.monotonic()
        self.jobs = {}
        self.completed = set()  # tasks that ran to their end on some machine
        count = len(site["areas"])
        ports = free_ports(3 * count + 1)
        self.state_port = ports[-1]
        self.controllers = [
            Controller(
                f"perch-{i}",
                site["areas"][i],
                f"{HOST}:{ports[3 * i]}",
                f"{HOST}:{ports[3 * i + 1]}",
                ports[3 * i + 2],
                self.directory,
            )
            for i in range(count)
        ]
        self.state = State(site["state"])
        self.cloud = Cloud(
            site["types"],
            site["capacity"],
            site["cloud"]["list_lag_s"],
            site["cloud"]["rps"],
            self.new_worker,
        )

    def now(self):
        """Seconds since the run began."""
        return time.monotonic() - self.started_at

    def record(self, text):
        """Writes a line of record.txt."""
        self.record_file.write(f"{self.now():7.2f} {text}\n")
        self.record_file.flush()

    def new_worker(self, name, breed, zone, spot):
        """A worker for the cloud."""
        size = next(t for t in self.site["types"] if t["name"] == breed)
        (port,) = free_ports(1)
        fronts = {c.name: c.front for c in self.controllers}
        return Worker(
            name,
            breed,
            zone,
            spot,
            size,
            f"{HOST}:{port}",
            self.site["workers"],
            fronts,
            self.jobs,
            self.completed,
            self.record,
        )

    # ---- controllers ----

    def write_settings(self, controller):
        """Writes the settings file in the form of DEPLOY."""
        site, others = self.site, [c for c in self.controllers if c is not controller]
        lines = [
            f'host_name = "{controller.name}"',
            f'area = "{controller.area}"',
            f'front = "{controller.front}"',
            f'peer_listen = "{controller.peer}"',
        ]
        for other in others:
            lines += [
                "[[others]]",
                f'host_name = "{other.name}"',
                f'area = "{other.area}"',
                f'endpoint = "{other.peer}"',
            ]
        lines += [
            "[services]",
            f'cloud = "{HOST}:{controller.cloud_port}"',
            f'state = "{HOST}:{self.state_port}"',
            "[params]",
            f"size = {len(self.controllers)}",
            "zones = [" + ", ".join(f'"{zone}"' for zone in site["zones"]) + "]",
            "time_bound_ms = 1000.0",
        ]
        for section in ("teams", "objectives"):
            for entry in site[section]:
                lines.append(f"[[params.{section}]]")
                lines += [f"{k} = {v!r}".replace("'", '"') for k, v in entry.items()]
        for section in ("workers", "state", "cloud", "quota"):
            lines.append(f"[params.{section}]")
            lines += [f"{k} = {v}" for k, v in site[section].items()]
        with open(controller.settings, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")

    def start_controller(self, controller):
        """Starts a controller with the deploy file's command."""
        with open(os.path.join(ROOT, "deploy/service.toml"), encoding="utf-8") as file:
            run = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE).group(1)
        command = run.split() + [controller.settings]
        environment = dict(os.environ, LOG_LEVEL="info")
        with open(controller.log, "ab") as log:
            controller.process = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.DEVNULL, stderr=log, env=environment
            )
        self.record(f"controller {controller.name} started")

    def kill_controller(self, controller):
        """Kills a controller with no warning."""
        controller.process.send_signal(signal.SIGKILL)
        controller.process.wait()
        controller.process = None
        self.record(f"controller {controller.name} killed")

    def freeze(self, controller):
        """Lets a controller stand still."""
        controller.process.send_signal(signal.SIGSTOP)
        self.record(f"controller {controller.name} stands still")

    def thaw(self, controller):
        """Lets a controller go on."""
        self.record(f"controller {controller.name} goes on")
        controller.process.send_signal(signal.SIGCONT)

    async def start(self):
        """Starts the stand-ins, the machines that are up at the start, and the controllers."""
        await self.state.start(HOST, self.state_port)
        for breed, zone, spot in self.site["machines"]:
            await self.cloud.add(breed, zone, spot, 0)
        await asyncio.sleep(0.1)
        await self.cloud.start(HOST, {c.name: c.cloud_port for c in self.controllers})
        for controller in self.controllers:
            self.write_settings(controller)
            self.start_controller(controller)

    def stop(self):
        """Ends all processes that were started, and removes the temporary folder."""
        for controller in self.controllers:
            if controller.process is not None:
                controller.process.kill()
                controller.process.wait()
        self.record_file.close()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.directory, kept, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)

    # ---- users ----

    async def ask(self, controller, method, path, body=None, timeout=5.0):
        """A user's request to one controller; it is recorded with its answer."""
        sent_at = self.now()
        status, answer = await request(controller.front, method, path, body, timeout)
        about = f" {body}" if body is not None else ""
        self.record(f"{method} {path}{about} at {controller.name} sent {sent_at:.2f}: {status} {answer}")
        return status, answer

    async def submit(self, job, for_s=60.0):
        """Submits as PROTOCOL says: retried after 1 s unless the answer is 200, 201, 400 or 422."""
        self.jobs[job["ref"]] = job
        body = {k: v for k, v in job.items() if k != "run_s"}
        deadline, turn, status = time.monotonic() + for_s, 0, 0
        while time.monotonic() < deadline:
            controller = self.controllers[turn % len(self.controllers)]
            status, _ = await self.ask(controller, "POST", "/v2/runs", body)
            if status in (200, 201, 400, 422):
                break
            turn += 1
            await asyncio.sleep(1)
        return status

    async def poll(self, ref, timeout=2.0):
        """Asks the controllers one after the other until one answers with 200 or 404."""
        for controller in self.controllers:
            status, answer = await self.ask(controller, "GET", f"/v2/runs/{ref}", None, timeout)
            if status in (200, 404):
                return status, answer
        return 0, None

    # ---- what the platform sees ----

    def workers(self):
        """The workers of machines that are up."""
        return [worker for worker in self.cloud.machines.values() if worker.is_up]

    def on_machines(self, ref):
        """The tasks of a job that are on a machine: with their image, and not exited."""
        return [
            (worker.name, task.name)
            for worker in self.workers()
            for task in worker.active()
            if task.name.startswith(ref + "/") and task.stance != "fetching"
        ]

    def done(self, ref):
        """The tasks of a job that ran to their end."""
        return {name for name in self.completed if name.startswith(ref + "/")}
