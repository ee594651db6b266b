"""A cluster on one machine: real controllers and agents, a simulated state service and cloud, and links that
can be cut. What happens to it is recorded as events with monotonic timestamps."""

import os
import shutil
import socket
import time
from collections.abc import Iterable
from typing import Any, NamedTuple, Optional

import http_messages
from cloud import Cloud
from controller import Controller
from events import Event, write_events
from machine import AgentOptions
from network import Network
from settings import (
    CLOUD_PORT,
    FRONT_PORT,
    PEER_PORT,
    STATE_PORT,
    Settings,
    operators_settings,
    platform_settings,
)
from state_service import StateService
from state_store import LoggedChange

RESERVATION_PORT = 7000
FIRST_NETWORK, NETWORKS = 20, 200
LEADER_KEY = "coordinator"
INVARIANT_PHRASE = "invariant violated"  # in the log of a controller
DEFAULT_SHARD = "default"  # name of the only shard if no shards are configured


class Programs(NamedTuple):
    """Paths of the executables."""

    controller: str
    agent: str


def reserve_network() -> tuple[str, socket.socket]:
    """Reserves a loopback /16 network that no other run uses; returns its prefix and the reserving socket."""
    for offset in range(NETWORKS):
        number = FIRST_NETWORK + (os.getpid() + offset) % NETWORKS
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{number}.0.1", RESERVATION_PORT))
            return f"127.{number}", reservation
        except OSError:
            reservation.close()
    raise RuntimeError("no loopback network is free")


def shard_of_leader_key(key: str) -> Optional[str]:
    """The shard whose leader is stored under a key of the state service; None if it is not a leader key."""
    if key == LEADER_KEY:
        return DEFAULT_SHARD
    return key.split("/")[1] if key.endswith("/" + LEADER_KEY) else None


def leader_events(log: Iterable[LoggedChange]) -> list[Event]:
    """An event for each change of a shard's leader, from the log of the state service."""
    found = []
    for change in log:
        shard = shard_of_leader_key(change.key)
        if shard is not None:
            leader = change.value["node"] if change.value else None
            members = {"shard": shard, "leader": leader, "token": change.revision}
            found.append({"t": change.time, "event": "leader", **members})
    return found


class Cluster:
    """The components of a cluster, and its events."""

    def __init__(self, directory: str, programs: Programs, controllers: int, settings: Settings) -> None:
        self.directory = directory
        self.controller_program = programs.controller
        self.settings = settings
        settings.prefix, self.reservation = reserve_network()
        self.network = Network()
        self.state = StateService()
        self.controllers = [
            Controller(f"controller-{i}", settings.controller_address(i), settings.zone_of(i), directory, i)
            for i in range(controllers)
        ]
        endpoints = {c.name: f"{c.address}:{FRONT_PORT}" for c in self.controllers}
        workers = settings.workers
        options = AgentOptions(programs.agent, directory, workers["report_s"], workers["lease_s"], endpoints)
        self.cloud = Cloud(self.network, settings.prefix, settings.zones, options)
        self.events: list[Event] = []

    def record(self, event: str, **members: Any) -> None:
        """Records an event with the current time."""
        self.events.append({"t": time.monotonic(), "event": event, **members})

    # ---- start and stop ----

    async def start(self, machines: Iterable[tuple[str, str]]) -> None:
        """Clears the directory and starts all components. `machines`: type and zone of each machine."""
        shutil.rmtree(self.directory, ignore_errors=True)
        for name in ("jobs", "history", "logs"):
            os.makedirs(os.path.join(self.directory, name))
        await self.state.start(self.settings.state_address(), STATE_PORT)
        await self.cloud.start(self.settings.cloud_address(), CLOUD_PORT)
        for controller in self.controllers:
            await self.network.relay(controller.address, FRONT_PORT, FRONT_PORT + 1)
            await self.network.relay(controller.address, PEER_PORT, PEER_PORT + 1)
            self.write_settings(controller)
            if self.settings.shards is None:
                await self.identify_by_port(controller)
        # All settings are written by now: one file is shared.
        for controller in self.controllers:
            self.start_controller(controller)
        for machine_type, zone in machines:
            await self.cloud.add(machine_type, zone)

    async def identify_by_port(self, controller: Controller) -> None:
        """Gives a controller ports of its own at the state service and at its peers: only in a divided fleet
        do its connections come from its own address."""
        offset = controller.port_offset
        await self.state.http.start(self.settings.state_address(), STATE_PORT + offset, controller.address)
        for peer in self.controllers:
            if peer is not controller:
                port = PEER_PORT + offset
                await self.network.relay(peer.address, port, PEER_PORT + 1, controller.address)

    def write_settings(self, controller: Controller) -> None:
        """Writes the settings files of a controller."""
        peers = [other for other in self.controllers if other is not controller]
        with open(controller.settings_file, "w", encoding="utf-8") as file:
            file.write(platform_settings(controller, peers, self.settings))
        with open(controller.operators_file, "w", encoding="utf-8") as file:
            file.write(operators_settings(self.settings))

    async def stop(self) -> None:
        """Stops all components and writes the events."""
        self.network.heal()
        for controller in self.controllers:
            if controller.is_running():
                self.kill_controller(controller)
        for name in list(self.cloud.machines):
            await self.cloud.remove(name)
        self.state.http.stop()
        self.cloud.http.stop()
        self.network.stop()
        self.reservation.close()
        events = self.events + leader_events(self.state.store.log)
        write_events(os.path.join(self.directory, "events.jsonl"), events)

    # ---- controllers ----

    def record_ends(self) -> None:
        """Records controllers that have ended by themselves, and invariants that were found violated."""
        for controller in self.controllers:
            if controller.is_running() and controller.process.poll() is not None:
                self.record(
                    "ended-by-itself", controller=controller.name, status=controller.process.returncode
                )
            for line in controller.log_lines(INVARIANT_PHRASE):
                self.record("invariant-violated", controller=controller.name, line=line)

    def start_controller(self, controller: Controller) -> None:
        """Starts a controller, which must not be running."""
        controller.start(self.controller_program)
        self.record("started", controller=controller.name)

    def kill_controller(self, controller: Controller) -> None:
        """Kills a controller."""
        controller.kill()
        self.record("killed", controller=controller.name)

    def freeze(self, controller: Controller) -> None:
        """Suspends the process of a controller."""
        controller.freeze()
        self.record("frozen", controller=controller.name)

    def thaw(self, controller: Controller) -> None:
        """Resumes a frozen controller."""
        controller.thaw()
        self.record("thawed", controller=controller.name)

    def addresses(self, controllers: Iterable[Controller], zones: Iterable[str] = ()) -> list[str]:
        """The addresses of controllers and of all machines in the zones."""
        machines = [m.address for m in self.cloud.machines.values() if m.zone in zones]
        return [c.address for c in controllers] + machines

    def leaders(self) -> dict[str, tuple[str, int]]:
        """The leader and its token for each shard, according to the state service."""
        found = {}
        for key, item in self.state.store.items.items():
            shard = shard_of_leader_key(key)
            is_current = key.startswith("shard/") or self.settings.shards is None
            if shard is not None and is_current:
                found[shard] = (item.value["node"], item.version)
        return found

    def controller(self, name: str) -> Controller:
        """The controller with this name."""
        return next(c for c in self.controllers if c.name == name)

    # ---- users ----

    async def request(
        self, controller: Controller, method: str, path: str, body: Optional[Any] = None, timeout: float = 5
    ) -> tuple[int, Any]:
        """Sends a user's request to a controller; returns status and body of the response, or NO_ANSWER."""
        address, port = controller.address, FRONT_PORT + 1
        return await http_messages.request(address, port, method, path, body, timeout)
