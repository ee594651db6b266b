"""A whole cluster on one machine: real controllers and agents, stand-ins of the state service and the cloud, and
links that can be cut. Everything that happens to it is recorded as an event with the steady clock's time."""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import time

from cloud import Cloud
from network import Network
from state_service import StateService

STATE_PORT, CLOUD_PORT = 2379, 8443
FRONT_PORT, PEER_PORT = 8080, 8082  # of the relays; the processes listen one port above
SETTINGS = {"report_s": 1.0, "lease_s": 8.0, "gang_wait_s": 10.0, "gang_peer_s": 2.0, "cancel_s": 16.0,
            "leader_lease_s": 2.0, "heartbeat_s": 0.25}


def reserve_network():
    """The first two numbers of a loopback network that no other run on this machine uses, and its reservation."""
    for offset in range(200):
        number = 20 + (os.getpid() + offset) % 200
        holder = socket.socket()
        try:
            holder.bind((f"127.{number}.0.1", 7000))
            return f"127.{number}", holder
        except OSError:
            holder.close()
    raise RuntimeError("no loopback network is free")


class Controller:
    def __init__(self, name, address, zone):
        self.name, self.address, self.zone = name, address, zone
        self.process = None
        self.frozen = False
        self.settings_file = None
        self.log = None

    def up(self):
        return self.process is not None


class Cluster:
    """`shards`: the lines of the control element, or None for a fleet without shards."""

    def __init__(self, directory, programs, controllers, zones, shards):
        self.directory = directory
        self.controller_program, self.agent_program = programs
        self.zones = zones
        self.shards = shards
        self.prefix, self.reservation = reserve_network()
        self.network = Network()
        self.state = StateService()
        self.settings = dict(SETTINGS, zones=zones, network=self.prefix)
        self.cloud = Cloud(directory, self.agent_program, self.network, self.settings)
        self.controllers = [Controller(f"controller-{i}", f"{self.prefix}.1.{i + 1}", zones[i % len(zones)])
                            for i in range(controllers)]
        self.events = []
        self.peer_port = PEER_PORT  # one higher: controllers reach each other without a relay

    def record(self, event, **members):
        self.events.append({"t": time.monotonic(), "event": event, **members})

    # ---- life ----

    async def start(self, machines):
        """`machines`: (type, zone) of each."""
        shutil.rmtree(self.directory, ignore_errors=True)
        for name in ("jobs", "history", "logs"):
            os.makedirs(os.path.join(self.directory, name))
        await self.state.start(f"{self.prefix}.0.2", STATE_PORT)
        await self.cloud.start(f"{self.prefix}.0.3", CLOUD_PORT)
        self.cloud.controllers = {c.name: f"{c.address}:{FRONT_PORT}" for c in self.controllers}
        for controller in self.controllers:
            await self.network.relay(controller.address, FRONT_PORT, FRONT_PORT + 1)
            await self.network.relay(controller.address, PEER_PORT, PEER_PORT + 1)
            self.write_settings(controller)
            self.start_controller(controller)
        for kind, zone in machines:
            await self.cloud.add(kind, zone)

    async def stop(self):
        self.network.heal()
        for controller in self.controllers:
            if controller.up():
                self.kill_controller(controller)
        for name in list(self.cloud.machines):
            await self.cloud.remove(name)
        self.reservation.close()
        self.write_events()

    def write_events(self):
        for at, key, value, revision in self.state.history:
            if key == "coordinator" or key.endswith("/coordinator"):
                shard = key.split("/")[1] if "/" in key else "default"
                leader = value["node"] if value else None
                self.events.append({"t": at, "event": "leader", "shard": shard, "leader": leader, "token": revision})
        self.events.sort(key=lambda event: event["t"])
        with open(os.path.join(self.directory, "events.jsonl"), "w", encoding="utf-8") as file:
            for event in self.events:
                file.write(json.dumps(event) + "\n")

    # ---- controllers ----

    def write_settings(self, controller):
        s = self.settings
        others = "".join(f'[[others]]\nhost_name = "{o.name}"\narea = "{o.zone}"\nendpoint = "{o.address}:{self.peer_port}"\n'
                         for o in self.controllers if o is not controller)
        text = (f'host_name = "{controller.name}"\narea = "{controller.zone}"\n'
                f'front = "{controller.address}:{FRONT_PORT + 1}"\npeer_listen = "{controller.address}:{PEER_PORT + 1}"\n'
                f'{others}[services]\ncloud = "{self.prefix}.0.3:{CLOUD_PORT}"\nstate = "{self.prefix}.0.2:{STATE_PORT}"\n'
                f'[params]\nzones = {json.dumps(self.zones)}\n'
                f'[[params.teams]]\nname = "ops"\ncpus = 0\ncpus_max = 0\ngpus = 0\ngpus_max = 0\n'
                f'[params.workers]\nreport_s = {s["report_s"]}\nlease_s = {s["lease_s"]}\n'
                f'gang_wait_s = {s["gang_wait_s"]}\ngang_peer_s = {s["gang_peer_s"]}\ncancel_s = {s["cancel_s"]}\n'
                f'[params.state]\nrps = 2000\nwrite_rps = 500\nvalue_kb = 16\ntxn_ops = 32\n'
                f'[params.cloud]\nrps = 50\nlist_lag_s = 1\n'
                f'[params.quota]\ncore_share = 1\nmemory_mb = 200\nsockets = 800\n')
        controller.settings_file = os.path.join(self.directory, controller.name + ".toml")
        with open(controller.settings_file, "w", encoding="utf-8") as file:
            file.write(text)
        control = f'<control heartbeat_s="{s["heartbeat_s"]}">{self.shards}</control>' if self.shards else ""
        with open(os.path.join(self.directory, "operators.xml"), "w", encoding="utf-8") as file:
            file.write(f'<ospreywell>\n<election lease_s="{s["leader_lease_s"]}"/>\n{control}\n</ospreywell>\n')

    def start_controller(self, controller):
        controller.log = open(os.path.join(self.directory, "logs", controller.name + ".log"), "ab")
        controller.process = subprocess.Popen(
            [self.controller_program, "--config", controller.settings_file, "--operators",
             os.path.join(self.directory, "operators.xml")],
            stdin=subprocess.DEVNULL, stderr=controller.log, env=dict(os.environ, LOG_LEVEL="info"))
        self.record("started", controller=controller.name)

    def kill_controller(self, controller):
        controller.process.kill()
        controller.process.wait()
        controller.process = None
        controller.frozen = False
        controller.log.close()
        self.record("killed", controller=controller.name)

    def freeze(self, controller):
        controller.process.send_signal(signal.SIGSTOP)
        controller.frozen = True
        self.record("frozen", controller=controller.name)

    def thaw(self, controller):
        controller.process.send_signal(signal.SIGCONT)
        controller.frozen = False
        self.record("thawed", controller=controller.name)

    def addresses(self, controllers, zones=()):
        """The addresses of controllers and of all machines in the zones."""
        machines = [m.address for m in self.cloud.machines.values() if m.zone in zones]
        return [c.address for c in controllers] + machines

    def set_state_access(self, controller, refused=False, silent=False, delay=0.0):
        for name, wanted in (("refused", refused), ("silent", silent)):
            group = getattr(self.state.http.rules, name)
            (group.add if wanted else group.discard)(controller.address)
        if delay:
            self.state.http.rules.delays[controller.address] = delay
        else:
            self.state.http.rules.delays.pop(controller.address, None)

    def leaders(self):
        """shard -> (name of its leader, token), by the state service."""
        found = {}
        for key, (value, version, _) in self.state.keys.items():
            if key.startswith("shard/") and key.endswith("/coordinator"):
                found[key.split("/")[1]] = (value["node"], version)
            elif key == "coordinator" and self.shards is None:
                found["default"] = (value["node"], version)
        return found

    def controller(self, name):
        return next(c for c in self.controllers if c.name == name)

    # ---- users ----

    async def request(self, controller, method, path, body=None, timeout=5):
        """Status and body of an answer; status 0: there was none."""
        try:
            return await asyncio.wait_for(self.exchange(controller, method, path, body), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return 0, None

    @staticmethod
    async def exchange(controller, method, path, body):
        reader, writer = await asyncio.open_connection(controller.address, FRONT_PORT + 1)
        try:
            text = json.dumps(body).encode() if body is not None else b""
            writer.write(f"{method} {path} HTTP/1.1\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
            status = int((await reader.readline()).split()[1])
            length = 0
            while (header := await reader.readline()) not in (b"\r\n", b""):
                name, _, value = header.decode().partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            return status, json.loads(await reader.readexactly(length))
        finally:
            writer.close()
