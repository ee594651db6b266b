"""A stand-in of the cloud: machines are agents, real processes on loopback addresses of their own."""

import asyncio
import fcntl
import os
import signal
import subprocess
import time

from http_service import Fault, HttpService

AGENT_PORT = 9000
TYPES = {"m8": {"cores": 8, "gpus": 0, "ram_gb": 32, "hourly": 1.0, "low_price": 0.4},
         "g4": {"cores": 8, "gpus": 2, "ram_gb": 32, "hourly": 4.0, "low_price": 1.5}}


class Machine:
    def __init__(self, name, address, kind, zone):
        self.name, self.address, self.kind, self.zone = name, address, kind, zone
        self.made_at = time.monotonic()
        self.process = None


class Cloud:
    def __init__(self, directory, agent_program, network, settings):
        self.directory, self.agent_program = directory, agent_program
        self.network, self.settings = network, settings
        self.machines = {}
        self.rentals = {}  # request name -> answer
        self.capacity = 0
        self.keeps_machines = False  # deletions are refused
        self.made = 0  # machines so far: no name is used again
        self.controllers = {}  # name -> endpoint
        self.http = HttpService(self.handle)

    async def start(self, address, port):
        await self.http.start(address, port)

    async def add(self, kind, zone):
        self.made += 1
        number = self.made
        machine = Machine(f"n-{number:06}", f"{self.settings['network']}.{2 + number // 250}.{1 + number % 250}", kind, zone)
        self.machines[machine.name] = machine
        await self.network.relay(machine.address, AGENT_PORT, AGENT_PORT + 1)
        self.start_agent(machine)
        return machine

    def state_directory(self, machine):
        return os.path.join(self.directory, "agents", machine.name)

    def start_agent(self, machine):
        size = TYPES[machine.kind]
        os.makedirs(self.state_directory(machine), exist_ok=True)
        words = [self.agent_program, "--machine", machine.name, "--type", machine.kind, "--zone", machine.zone,
                 "--cpus", str(size["cores"]), "--gpus", str(size["gpus"]), "--memory", str(size["ram_gb"]),
                 "--listen", f"{machine.address}:{AGENT_PORT + 1}", "--advertise", f"{machine.address}:{AGENT_PORT}",
                 "--report", str(self.settings["report_s"]), "--lease", str(self.settings["lease_s"]),
                 "--state", self.state_directory(machine), "--jobs", os.path.join(self.directory, "jobs"),
                 "--history", os.path.join(self.directory, "history", machine.name + ".jsonl")]
        for name, endpoint in self.controllers.items():
            words += ["--controller", f"{name}={endpoint}"]
        machine.process = subprocess.Popen(words, stdin=subprocess.DEVNULL)

    @staticmethod
    def kill_agent(machine):
        if machine.process is None:
            return
        machine.process.send_signal(signal.SIGCONT)
        machine.process.kill()
        machine.process.wait()

    async def wait_until_tasks_are_gone(self, machine):
        """The supervisors of an agent's tasks hold its lock until the tasks have ended."""
        with open(os.path.join(self.state_directory(machine), "lock"), "a", encoding="utf-8") as lock:
            while True:
                try:
                    fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    return
                except BlockingIOError:
                    await asyncio.sleep(0.02)

    async def remove(self, name):
        machine = self.machines.get(name)
        if machine is None:
            return
        self.capacity += 1
        self.kill_agent(machine)
        await self.wait_until_tasks_are_gone(machine)
        self.machines.pop(name, None)

    async def handle(self, _client, _method, path, query, body):
        if path == "/machine_types":
            zones = self.settings["zones"]
            return {"breeds": [{"name": name, "cache_gb": 100, "pull_gb_per_s": 1.0, "boot_s": 1, "ranges": zones,
                                **size} for name, size in TYPES.items()]}
        if path == "/rentals/delete" and self.keeps_machines:
            raise Fault(503)
        if path == "/rentals/delete":
            for name in body["perches"]:
                await self.remove(name)
            return {}
        if path == "/rentals" and body is not None:
            return await self.rent(body)
        if path == "/rentals":
            return self.list(query)
        raise Fault(404)

    async def rent(self, body):
        if body["bid"] not in self.rentals:
            count = min(body["number"], self.capacity)
            if count == 0:
                raise Fault(503, {"error": "no capacity"})
            self.capacity -= count
            made = [await self.add(body["breed"], body["range"]) for _ in range(count)]
            self.rentals[body["bid"]] = [machine.name for machine in made]
        return {"perches": self.rentals[body["bid"]]}

    def list(self, query):
        names = [name for name in sorted(self.machines) if name > query.get("since", "")]
        most = int(query.get("most", 500))
        return {"perches": [self.describe(self.machines[name]) for name in names[:most]],
                "has_next": len(names) > most}

    @staticmethod
    def describe(machine):
        return {"ref": machine.name, "addr": f"{machine.address}:{AGENT_PORT}", "breed": machine.kind,
                "range": machine.zone, "windfall": False, "stance": "running",
                "age_s": time.monotonic() - machine.made_at}
