"""A small deployment on loopback addresses for the cases of the second review: stand-ins of the state service and
the cloud, links that can be cut, and the project's own programs as processes. The stand-ins follow PROTOCOL."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
FRONT, PEER, STATE, CLOUD, WORKER, RELAY = 8080, 8081, 2379, 8443, 9000, 10000
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
LONGEST_S = 112


class CannotRun(Exception):
    """The case could not be brought to the point where its rule is judged."""


def reserve_prefix():
    """Reserves a loopback /16 that no other run uses; returns its first two octets and the socket."""
    for offset in range(200):
        number = 20 + (os.getpid() + offset) % 200
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{number}.0.1", 7000))
            return f"127.{number}", reservation
        except OSError:
            reservation.close()
    raise CannotRun("no loopback network is free")


# ---- HTTP ----


class Refusal(Exception):
    """An answer with a status other than 200."""

    def __init__(self, status, body=None):
        super().__init__(status)
        self.status = status
        self.body = body if body is not None else {"error": "refused"}


async def read_message(reader):
    """Reads a message; returns its first line and its body, or None at the end of the connection."""
    first = await reader.readline()
    if not first:
        return None
    length = 0
    while (line := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode().partition(":")
        if name.strip().lower() == "content-length":
            length = int(value)
    return first.decode(), await reader.readexactly(length)


def message(first_line, body):
    """The bytes of a message with a JSON body."""
    text = json.dumps(body, separators=(",", ":")).encode() if body is not None else b""
    return f"{first_line}\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text


async def exchange(address, port, method, path, body):
    """Sends one request on a connection of its own."""
    reader, writer = await asyncio.open_connection(address, port)
    try:
        writer.write(message(f"{method} {path} HTTP/1.1", body))
        first, text = await read_message(reader)
        return int(first.split()[1]), json.loads(text) if text else None
    finally:
        writer.close()


async def ask(address, port, method, path, body=None, timeout=5):
    """A request; returns status and body, or 0 and None if there is no answer."""
    try:
        return await asyncio.wait_for(exchange(address, port, method, path, body), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, TypeError, IndexError):
        return 0, None


async def serve(address, port, handler):
    """Serves HTTP requests with handler(method, path, query, body)."""

    async def connection(reader, writer):
        try:
            while (received := await read_message(reader)) is not None:
                method, target, _ = received[0].split()
                parts = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(parts.query).items()}
                try:
                    body = json.loads(received[1]) if received[1] else None
                    status, answer = 200, await handler(method, parts.path, query, body)
                except Refusal as refusal:
                    status, answer = refusal.status, refusal.body
                except (KeyError, TypeError, ValueError):
                    status, answer = 400, {"error": "malformed"}
                writer.write(message(f"HTTP/1.1 {status} Status", answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, address, port, backlog=512)


# ---- the state service ----


class State:
    """Versioned keys, transactions, leases and watches."""

    def __init__(self, limits):
        self.limits = limits
        self.items = {}  # key -> (value, mark, tether)
        self.leases = {}  # number -> [end, seconds]
        self.tide = 0
        self.last_lease = 0
        self.log = []  # (tide, key, value or None)
        self.changed = asyncio.Event()
        self.is_down = False
        self.requests, self.writes = [limits["rps"], time.monotonic()], [limits["write_rps"], time.monotonic()]

    async def start(self, address, port):
        """Starts to serve, and to end leases."""
        await serve(address, port, self.handle)
        asyncio.get_running_loop().create_task(self.expire())

    def begin_outage(self):
        """All requests get 503, and no lease ends."""
        self.is_down = True

    def end_outage(self):
        """Every lease has its full time again."""
        self.is_down = False
        for lease in self.leases.values():
            lease[0] = time.monotonic() + lease[1]

    @staticmethod
    def take(bucket, rate, amount):
        """Takes from a bucket that holds the burst of one second; 429 if it is empty."""
        now = time.monotonic()
        bucket[0] = min(rate, bucket[0] + rate * (now - bucket[1]))
        bucket[1] = now
        if bucket[0] < amount:
            raise Refusal(429)
        bucket[0] -= amount

    def apply(self, changes):
        """Applies (key, value, tether) under one revision."""
        self.tide += 1
        for key, value, tether in changes:
            if value is None:
                self.items.pop(key, None)
            else:
                self.items[key] = (value, self.tide, tether)
            self.log.append((self.tide, key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.tide

    async def expire(self):
        """Ends leases that are over, at most 100 ms late."""
        while True:
            now = time.monotonic()
            for number in [n for n, lease in self.leases.items() if not self.is_down and lease[0] < now]:
                self.end_lease(number)
            await asyncio.sleep(0.02)

    def end_lease(self, number):
        """Ends a lease and removes its keys."""
        del self.leases[number]
        keys = [key for key, item in self.items.items() if item[2] == number]
        if keys:
            self.apply([(key, None, 0) for key in keys])

    async def handle(self, method, path, query, body):
        """Handles a request."""
        await asyncio.sleep(self.limits.get("latency_s", 0))
        if self.is_down:
            raise Refusal(503)
        self.take(self.requests, self.limits["rps"], 1)
        if path == "/txn":
            return self.transaction(body)
        if path == "/keys":
            keys = sorted(k for k in self.items if k.startswith(query["under"]) and k > query.get("since", ""))
            most = min(int(query.get("most", 1000)), 1000)
            pairs = [self.describe(key) for key in keys[:most]]
            return {"pairs": pairs, "has_next": len(keys) > most, "tide": self.tide}
        if path.startswith("/keys/"):
            if path[6:] not in self.items:
                raise Refusal(404, {"tide": self.tide})
            return self.describe(path[6:])
        if path == "/follow":
            return await self.follow(query)
        if path == "/holds":
            self.last_lease += 1
            seconds = body["ttl_ms"] / 1000
            self.leases[self.last_lease] = [time.monotonic() + seconds, seconds]
            return {"tether": self.last_lease}
        if path.startswith("/holds/"):
            return self.lease(method, int(path.split("/")[2]))
        raise Refusal(404)

    def describe(self, key):
        """A key with its value and revision."""
        value, mark, tether = self.items[key]
        return {"k": key, "value": value, "mark": mark, **({"tether": tether} if tether else {})}

    def lease(self, method, number):
        """Renews or ends a lease."""
        if number not in self.leases:
            raise Refusal(404)
        if method == "DELETE":
            self.end_lease(number)
        else:
            self.leases[number][0] = time.monotonic() + self.leases[number][1]
        return {}

    def transaction(self, body):
        """Applies all changes if all conditions hold."""
        conditions, changes = body.get("if", []), body.get("apply", [])
        if len(changes) > self.limits["txn_ops"] or len(conditions) > 4 * self.limits["txn_ops"]:
            raise Refusal(400, {"error": "too many"})
        if any(len(json.dumps(c.get("value"))) > 1024 * self.limits["value_kb"] for c in changes):
            raise Refusal(400, {"error": "too large"})
        if changes:
            self.take(self.writes, self.limits["write_rps"], len(changes))
        if any(c.get("tether", 0) and c["tether"] not in self.leases for c in changes):
            raise Refusal(400, {"error": "no such lease"})
        failed = [c["k"] for c in conditions if (self.items[c["k"]][1] if c["k"] in self.items else 0) != c["mark"]]
        if failed:
            raise Refusal(409, {"failed": failed, "tide": self.tide})
        if not changes:
            return {"tide": self.tide}
        return {"tide": self.apply([(c.get("write") or c["drop"], c.get("value"), c.get("tether", 0)) for c in changes])}

    async def follow(self, query):
        """Waits until a key with the prefix has changed, or until the time runs out."""
        prefix, since = query["under"], int(query["since"])
        deadline = time.monotonic() + int(query.get("hold_ms", 0)) / 1000
        while True:
            found = [entry for entry in self.log if entry[0] > since and entry[1].startswith(prefix)]
            left = deadline - time.monotonic()
            if not self.is_down and (found or left <= 0):
                log = [
                    {"write": key, "value": value, "mark": mark} if value is not None else {"drop": key, "mark": mark}
                    for mark, key, value in found
                ]
                return {"tide": self.tide, "log": log}
            try:
                await asyncio.wait_for(self.changed.wait(), 0.1 if self.is_down else min(left, 0.5))
            except asyncio.TimeoutError:
                pass


# ---- links ----


class Links:
    """Relays between hosts, which can be cut: what is sent over a cut link is held back and delivered later."""

    def __init__(self):
        self.cuts = set()  # pairs of hosts

    def cut(self, host, others):
        """Cuts a host off from others, in both directions."""
        self.cuts |= {frozenset((host, other)) for other in others}

    def heal(self):
        """Restores all links."""
        self.cuts.clear()

    async def wait(self, link):
        """Waits until the link is not cut."""
        while link in self.cuts:
            await asyncio.sleep(0.02)

    async def relay(self, address, port, sender, receiver, target):
        """Relays connections of one host to another; target: address and port of the receiving process."""
        link = frozenset((sender, receiver))

        async def copy(reader, writer):
            try:
                while data := await reader.read(65536):
                    await self.wait(link)
                    writer.write(data)
                    await writer.drain()
                await self.wait(link)
            except OSError:
                pass
            finally:
                writer.close()

        async def connection(reader, writer):
            await self.wait(link)
            try:
                far_reader, far_writer = await asyncio.open_connection(*target)
            except OSError:
                writer.transport.abort()
                return
            await asyncio.gather(copy(reader, far_writer), copy(far_reader, writer))

        await asyncio.start_server(connection, address, port, backlog=512)


# ---- the deployment ----


def run_command():
    """The command of the deploy file that starts a controller."""
    with open(os.path.join(REPOSITORY, "deploy", "service.toml"), encoding="utf-8") as file:
        return re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE).group(1).split()


def processes_with(variable):
    """The processes whose environment has a variable, given as NAME=VALUE."""
    found = []
    for entry in os.listdir("/proc"):
        try:
            with open(f"/proc/{entry}/environ", "rb") as file:
                if entry.isdigit() and variable.encode() in file.read().split(b"\0"):
                    found.append(int(entry))
        except OSError:
            pass
    return found


class Host:
    """A machine or controller with its process."""

    def __init__(self, name, address, zone, command):
        self.name, self.address, self.zone, self.command = name, address, zone, command
        self.created_at = time.monotonic()
        self.process = None

    def mark(self):
        """What the environment of all processes on this host has."""
        return f"REVIEW_HOST={self.address}"

    def start(self, log):
        """Starts the process."""
        self.process = subprocess.Popen(
            self.command, cwd=REPOSITORY, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env=dict(os.environ, LOG_LEVEL="info", REVIEW_HOST=self.address),
        )

    def kill(self):
        """Kills the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def end(self):
        """Ends the host: the process, and everything else that was started on it."""
        self.kill()
        for _ in range(3):
            for process in processes_with(self.mark()):
                try:
                    os.kill(process, signal.SIGKILL)
                except ProcessLookupError:
                    pass


class World:
    """Controllers, agents, state service, cloud and the record of a case."""

    def __init__(self, case, site):
        self.case, self.site = case, site
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.jobs = os.path.join(self.directory, "jobs")
        os.makedirs(self.jobs)
        self.prefix, self.reservation = reserve_prefix()
        self.links = Links()
        self.state = State(site["state"])
        self.controllers, self.machines, self.workers = [], [], []  # workers: stand-ins
        self.started_at = time.monotonic()
        self.lines = []
        self.log = open(os.path.join(self.directory, "log"), "ab")

    def record(self, text):
        """Adds a line to the record."""
        self.lines.append((time.monotonic(), text))

    def elapsed(self, moment):
        """Seconds from the start of the case."""
        return moment - self.started_at

    # -- start and end --

    async def start(self, controllers, machines):
        """Starts everything; machines: pairs of type name and zone."""
        for program in ("target/ospreywell", "target/ospreywell-agent"):
            if not os.access(os.path.join(REPOSITORY, program), os.X_OK):
                raise CannotRun(f"{program} is not built")
        await self.state.start(f"{self.prefix}.0.2", STATE)
        await serve(f"{self.prefix}.0.3", CLOUD, self.cloud)
        for number in range(controllers):
            zone = self.site["zones"][number % len(self.site["zones"])]
            address = f"{self.prefix}.1.{number + 1}"
            path = os.path.join(self.directory, f"controller-{number}.toml")
            self.controllers.append(Host(f"controller-{number}", address, zone, run_command() + [path]))
        for number, controller in enumerate(self.controllers):
            with open(controller.command[-1], "w", encoding="utf-8") as file:
                file.write(self.settings(controller))
        for number, (breed, zone) in enumerate(machines):
            await self.add_machine(number, breed, zone)
        for host in self.controllers + self.machines:
            host.start(self.log)
        self.record(f"started: {controllers} controllers, {len(machines)} machines")

    def settings(self, controller):
        """The settings file of a controller."""
        site = self.site
        text = f'host_name = "{controller.name}"\narea = "{controller.zone}"\n'
        text += f'front = "{controller.address}:{FRONT}"\npeer_listen = "{controller.address}:{PEER}"\n'
        for other in self.controllers:
            if other is not controller:
                text += f'[[others]]\nhost_name = "{other.name}"\narea = "{other.zone}"\n'
                text += f'endpoint = "{other.address}:{PEER}"\n'
        text += f'[services]\ncloud = "{self.prefix}.0.3:{CLOUD}"\nstate = "{self.prefix}.0.2:{STATE}"\n'
        text += f"[params]\nsize = {len(self.controllers)}\nzones = {json.dumps(site['zones'])}\ntime_bound_ms = 250.0\n"
        for team in site["teams"]:
            text += "[[params.teams]]\n" + "".join(f"{k} = {json.dumps(v)}\n" for k, v in team.items())
        for name in ("workers", "state", "cloud", "quota"):
            text += f"[params.{name}]\n" + "".join(
                f"{k} = {json.dumps(v)}\n" for k, v in site[name].items() if k != "latency_s"
            )
        return text

    async def add_machine(self, number, breed, zone):
        """Adds a machine with an agent and its links."""
        name, address = f"n-{number + 1:06}", f"{self.prefix}.2.{number + 1}"
        size, workers = self.site["types"][breed], self.site["workers"]
        state = os.path.join(self.directory, name)
        command = [
            "target/ospreywell-agent", "--machine", name, "--type", breed, "--zone", zone,
            "--cpus", str(size["cores"]), "--gpus", str(size["gpus"]), "--memory", str(size["ram_gb"]),
            "--listen", f"{address}:{WORKER}", "--advertise", f"{address}:{WORKER + 1}",
            "--report", str(workers["report_s"]), "--lease", str(workers["lease_s"]),
            "--state", state, "--jobs", self.jobs,
        ]
        for index, controller in enumerate(self.controllers):
            port = RELAY + index
            await self.links.relay(address, port, name, controller.name, (controller.address, FRONT))
            command += ["--controller", f"{controller.name}={address}:{port}"]
        # All controllers reach the machine through one relay: the cases cut a machine off from all of them.
        await self.links.relay(address, WORKER + 1, name, self.controllers[0].name, (address, WORKER))
        machine = Host(name, address, zone, command)
        machine.breed = breed
        self.machines.append(machine)

    def stop(self):
        """Ends all processes that the case has started."""
        for host in self.controllers + self.machines:
            host.end()

    # -- the cloud --

    async def cloud(self, method, path, query, body):
        """Handles a request to the cloud. All machines that it has are rented already."""
        if path == "/machine_types":
            return {"breeds": [{"name": name, **size, "ranges": self.site["zones"]} for name, size in self.site["types"].items()]}
        if path == "/rentals/delete":
            for machine in [m for m in self.machines if m.name in body["perches"]]:
                self.record(f"the cloud deletes {machine.name}")
                machine.end()  # "the machines and everything on them are gone"
                self.machines.remove(machine)
            return {}
        if path == "/rentals" and method == "POST":
            raise Refusal(503, {"error": "no capacity"})
        if path == "/rentals":
            page = [
                {"ref": m.name, "addr": f"{m.address}:{port}", "breed": m.breed, "range": m.zone, "windfall": False,
                 "stance": "running", "age_s": time.monotonic() - m.created_at}
                for m, port in [(m, WORKER + 1) for m in self.machines] + [(m, WORKER) for m in self.workers]
                if m.name > query.get("since", "")
            ]
            return {"perches": page, "has_next": False}
        raise Refusal(404)

    # -- users --

    def upload(self, job, command):
        """Uploads the description of a job for the agents."""
        with open(os.path.join(self.jobs, job["ref"] + ".json"), "w", encoding="utf-8") as file:
            json.dump(dict(job, command=command), file)

    async def request(self, controller, method, path, body=None, timeout=5):
        """A request of a user to a controller, recorded with its answer."""
        sent_at = time.monotonic()
        status, answer = await ask(controller.address, FRONT, method, path, body, timeout)
        self.lines.append((sent_at, f"user -> {controller.name}: {method} {path}"))
        self.record(f"{controller.name} -> user: {method} {path}: {status} {json.dumps(answer)}")
        return status, answer

    async def submit(self, job, within_s=30):
        """Submits a job, with retries, until it is accepted."""
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            for controller in self.controllers:
                status, _ = await self.request(controller, "POST", "/v2/runs", job)
                if status in (200, 201):
                    return
                await asyncio.sleep(1)
        raise CannotRun("the job was not accepted")

    # -- the end of a case --

    def write_record(self, verdict):
        """Writes record.txt."""
        with open(os.path.join(self.case, "record.txt"), "w", encoding="utf-8") as file:
            file.write(f"TROUBLE={1 if self.trouble else 0}\n")
            for moment, text in sorted(self.lines):
                file.write(f"{self.elapsed(moment):8.3f} {text}\n")
            file.write(f"verdict: {verdict}\n")


def machine_of(world, job):
    """The machine on which a process runs a task of the job."""
    processes = processes_with(f"OSPREYWELL_JOB={job}")
    for machine in world.machines:
        if set(processes) & set(processes_with(machine.mark())):
            return machine
    raise CannotRun("the task's machine is not known")


async def until(condition, within_s, what):
    """Waits until a condition holds; the case can't run if it does not."""
    deadline = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > deadline:
            raise CannotRun(f"{what}: not within {within_s} s")
        await asyncio.sleep(0.05)


def run(world, case):
    """Runs a case, a coroutine that returns the violations, and exits with its status."""
    status, verdict = CANNOT_RUN, "the case could not run"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    loop = asyncio.new_event_loop()
    try:
        violations = loop.run_until_complete(asyncio.wait_for(case(world), LONGEST_S))
        status = BROKEN if violations else HELD
        verdict = "; ".join(violations) if violations else "the rule held"
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        verdict = f"the case could not run: {error}"
    finally:
        world.stop()
        world.write_record(verdict)
        if os.environ.get("KEEP") is None:
            shutil.rmtree(world.directory, ignore_errors=True)
        print(verdict, flush=True)
        os._exit(status)  # open connections of the stand-ins end with the process


NER_REGISTRY = {
    "zones": ["boston-1", "providence-2", "burlington-3"],
    "teams": [
        {"name": "committee", "cpus": 0.0, "cpus_max": 0.0, "gpus": 8.0, "gpus_max": 12.0},
        {"name": "shipwrights", "cpus": 0.0, "cpus_max": 0.0, "gpus": 8.0, "gpus_max": 24.0},
        {"name": "tidewatch", "cpus": 0.0, "cpus_max": 0.0, "gpus": 8.0, "gpus_max": 32.0},
        {"name": "ledgerkeep", "cpus": 0.0, "cpus_max": 0.0, "gpus": 8.0, "gpus_max": 16.0},
    ],
    "workers": {"report_s": 3.0, "lease_s": 20.0, "gang_wait_s": 45.0, "gang_peer_s": 6.0, "cancel_s": 40.0},
    "state": {"rps": 250.0, "write_rps": 100.0, "value_kb": 16.0, "txn_ops": 48, "latency_s": 0.002},
    "cloud": {"rps": 5.0, "list_lag_s": 10.0},
    "quota": {"core_share": 0.16, "memory_mb": 104.0, "sockets": 2000},
    "types": {
        "granite": {"cores": 32, "gpus": 0, "ram_gb": 128, "cache_gb": 30, "pull_gb_per_s": 0.1, "hourly": 1.37,
                    "low_price": 0.34, "boot_s": 25},
        "beacon": {"cores": 16, "gpus": 2, "ram_gb": 96, "cache_gb": 120, "pull_gb_per_s": 0.1, "hourly": 4.25,
                   "low_price": 1.06, "boot_s": 45},
    },
}

TEMIZYOL_OPS_FLEET = {
    "zones": ["antalya-a", "izmir-b", "istanbul-c", "bodrum-d"],
    "teams": [{"name": "ops", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
    "workers": {"report_s": 3.0, "lease_s": 20.0, "gang_wait_s": 35.0, "gang_peer_s": 4.0, "cancel_s": 40.0},
    "state": {"rps": 150.0, "write_rps": 30.0, "value_kb": 8.0, "txn_ops": 8, "latency_s": 0.005},
    "cloud": {"rps": 4.0, "list_lag_s": 10.0},
    "quota": {"core_share": 0.168, "memory_mb": 98.0, "sockets": 1421},
    "types": {
        "yavru": {"cores": 16, "gpus": 2, "ram_gb": 128, "cache_gb": 60, "pull_gb_per_s": 1.0, "hourly": 7.46,
                  "low_price": 2.05, "boot_s": 25},
    },
}


def lantern(ref, **members):
    """A job of the class `lantern` of the site ner-registry."""
    job = {
        "ref": ref, "flock": "lantern", "roost": "tidewatch", "shape": "batch", "rank": "low", "talons": 1,
        "cores": 6.0, "gpus": 1.0, "ram_gb": 36.0, "plumage": "img-1", "image_gb": 6.0, "breeds": None, "range": None,
        "same_place": False, "scatter": False, "windfall": True, "flight_s": 60.0, "molt_s": 0.0, "preen_s": 0.0,
        "dusk_s": None,
    }
    job.update(members)
    return job


# ---- a worker ----


class Worker:
    """A stand-in of a worker, as PROTOCOL describes it; its tasks run for the seconds of their job."""

    def __init__(self, world, number, breed, zone, seconds=60.0):
        self.world, self.breed, self.zone, self.seconds = world, breed, zone, seconds
        self.name, self.address = f"n-{number + 1:06}", f"{world.prefix}.2.{number + 1}"
        self.created_at = time.monotonic()
        self.stint, self.chirp, self.crest = 1, 0, 0
        self.tasks = {}  # (talon, dive) -> [stance, cause, begun at]
        self.renewed_at = time.monotonic()
        self.node = number % len(world.controllers)
        self.changed = False
        self.answers = []  # (time, controller, status, crest, calls)
        self.tokens = []  # (time, crest): when a higher token was seen
        self.connection = None  # to the node that it reports to: node, reader and writer

    async def start(self):
        """Starts to serve commands and to report."""
        await serve(self.address, WORKER, self.handle)
        loop = asyncio.get_running_loop()
        loop.create_task(self.report())
        loop.create_task(self.advance())

    def body(self):
        """The next report."""
        self.chirp += 1
        talons = [
            {"talon": talon, "dive": dive, "stance": stance, **({"cause": cause} if cause else {})}
            for (talon, dive), (stance, cause, _) in self.tasks.items()
        ]
        return {"perch": self.name, "addr": f"{self.address}:{WORKER}", "breed": self.breed, "range": self.zone,
                "windfall": False, "stint": self.stint, "chirp": self.chirp, "crest": self.crest, "warning_s": None,
                "talons": talons}

    async def handle(self, method, path, _query, body):
        """Serves direct commands."""
        if path != "/commands":
            return self.body()
        if body["crest"] < self.crest or body["stint"] != self.stint:
            raise Refusal(409, self.body())
        self.execute(body["crest"], body["calls"], "direct")
        return self.body()

    def execute(self, crest, calls, via):
        """Executes commands in order."""
        if crest > self.crest:
            self.crest, self.changed = crest, True
            self.tokens.append((time.monotonic(), crest))
            self.world.record(f"{self.name} sees token {crest} ({via})")
        for call in calls:
            self.changed = True
            key = (call["talon"], call["dive"])
            if call["call"] == "launch" and key not in self.tasks:
                busy = any(t == key[0] and task[0] != "exited" for (t, _), task in self.tasks.items())
                self.tasks[key] = ["exited", "busy", 0] if busy else ["running", None, time.monotonic()]
                self.world.record(f"{self.name} starts {key[0]} attempt {key[1]} ({via}, token {crest})")
            elif call["call"] == "stop" and key in self.tasks and self.tasks[key][0] != "exited":
                self.tasks[key][:2] = ["exited", "halted"]
                self.world.record(f"{self.name} stops {key[0]} attempt {key[1]} ({via}, token {crest})")
            elif call["call"] == "clear" and key in self.tasks and self.tasks[key][0] == "exited":
                del self.tasks[key]

    async def advance(self):
        """Ends tasks, and the session when the lease is over."""
        while True:
            now = time.monotonic()
            if now > self.renewed_at + self.world.site["workers"]["lease_s"]:
                self.world.record(f"{self.name}: the lease of session {self.stint} is over")
                self.tasks.clear()
                self.stint, self.renewed_at, self.changed = self.stint + 1, now, True
            for key, task in self.tasks.items():
                if task[0] == "running" and now > task[2] + self.seconds:
                    task[:2] = ["exited", "done"]
                    self.changed = True
                    self.world.record(f"{self.name} completes {key[0]} attempt {key[1]}")
            await asyncio.sleep(0.05)

    async def send(self, controller):
        """Sends a report over the connection to a controller, which stays open; status 0: no answer within 4 s."""
        if self.connection is not None and self.connection[0] is not controller:
            self.close()
        try:
            return await asyncio.wait_for(self.exchange(controller), 4)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, TypeError, IndexError):
            self.close()
            return 0, {}

    def close(self):
        """Closes the connection."""
        if self.connection is not None:
            self.connection[2].close()
            self.connection = None

    async def exchange(self, controller):
        """A report and its answer."""
        if self.connection is None:
            self.connection = (controller, *await asyncio.open_connection(controller.address, FRONT))
        _, reader, writer = self.connection
        writer.write(message("POST /hello HTTP/1.1", self.body()))
        first, text = await read_message(reader)
        return int(first.split()[1]), json.loads(text) if text else {}

    async def report(self):
        """Reports to one controller at a time."""
        names = [c.name for c in self.world.controllers]
        report_s = self.world.site["workers"]["report_s"]
        while True:
            controller, stint, sent_at = self.world.controllers[self.node], self.stint, time.monotonic()
            self.changed = False
            status, answer = await self.send(controller)
            crest, calls = answer.get("crest", 0), answer.get("calls", [])
            self.answers.append((time.monotonic(), controller.name, status, crest, len(calls)))
            if status == 200:
                if crest >= self.crest and crest > 0 and stint == self.stint:
                    self.renewed_at = max(self.renewed_at, sent_at)
                    self.execute(crest, calls, f"answer of {controller.name}")
            elif status == 421 and answer.get("eyrie") in names and answer["eyrie"] != controller.name:
                self.node = names.index(answer["eyrie"])
                await asyncio.sleep(random.uniform(0, 0.5))
                continue
            else:
                self.node = (self.node + 1) % len(names)
                await asyncio.sleep(1)
                continue
            due = sent_at + report_s * random.uniform(0.75, 1.25)
            while time.monotonic() < due and not (self.changed and time.monotonic() > sent_at + 0.5):
                await asyncio.sleep(0.05)
