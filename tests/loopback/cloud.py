"""A simulated cloud that rents out machines, each of them an agent process on a loopback address."""

import time
from collections.abc import Callable
from typing import Any

from http_service import HttpError, HttpService, Query
from machine import AGENT_PORT, MACHINE_TYPES, AgentOptions, Machine
from network import Network

PAGE_MAX = 500
MACHINES_PER_SUBNET = 250
FIRST_SUBNET = 2

Body = dict[str, Any]


def describe_machine(machine: Machine) -> Body:
    """The description of a machine in the cloud's list."""
    return {
        "ref": machine.name,
        "addr": f"{machine.address}:{AGENT_PORT}",
        "breed": machine.type,
        "range": machine.zone,
        "windfall": False,
        "stance": "running",
        "age_s": time.monotonic() - machine.created_at,
    }


class Cloud:
    """The machines, the rentals, and the HTTP service for controllers."""

    def __init__(self, network: Network, prefix: str, zones: list[str], agent_options: AgentOptions) -> None:
        self.network = network
        self.prefix = prefix  # of the addresses of machines
        self.zones = zones
        self.agent_options = agent_options
        self.machines: dict[str, Machine] = {}
        # Creates a machine from its name, address, type and zone.
        self.new_machine: Callable[[str, str, str, str], Machine] = Machine
        self.rentals: dict[str, list[str]] = {}  # id of the request -> names of machines
        self.capacity = 0
        self.refuses_deletions = False
        self.created_count = 0  # number of machines created so far; names are not reused
        self.http = HttpService(self.handle)

    async def start(self, address: str, port: int) -> None:
        """Starts the HTTP service."""
        await self.http.start(address, port)

    async def add(self, machine_type: str, zone: str) -> Machine:
        """Creates a machine and starts its agent."""
        self.created_count += 1
        subnet, host = divmod(self.created_count, MACHINES_PER_SUBNET)
        address = f"{self.prefix}.{FIRST_SUBNET + subnet}.{1 + host}"
        machine = self.new_machine(f"n-{self.created_count:06}", address, machine_type, zone)
        self.machines[machine.name] = machine
        await self.network.relay(machine.address, AGENT_PORT, AGENT_PORT + 1)
        machine.start_agent(self.agent_options)
        return machine

    async def remove(self, name: str) -> None:
        """Kills the agent of a machine, and removes the machine after its tasks have ended."""
        machine = self.machines.get(name)
        if machine is None:
            return
        self.capacity += 1
        machine.kill_agent()
        await machine.wait_until_tasks_end()
        self.machines.pop(name, None)

    async def handle(self, _client: str, _method: str, path: str, query: Query, body: Any) -> Body:
        """Handles a request."""
        if path == "/machine_types":
            return self.list_types()
        if path == "/rentals/delete":
            return await self.delete(body)
        if path == "/rentals" and body is not None:
            return await self.rent(body)
        if path == "/rentals":
            return self.list_machines(query)
        raise HttpError(404)

    def list_types(self) -> Body:
        """Handles a request for the machine types."""
        common = {"cache_gb": 100, "pull_gb_per_s": 1.0, "boot_s": 1, "ranges": self.zones}
        return {"breeds": [{"name": name, **common, **size} for name, size in MACHINE_TYPES.items()]}

    async def delete(self, body: Body) -> Body:
        """Handles the deletion of machines."""
        if self.refuses_deletions:
            raise HttpError(503)
        for name in body["perches"]:
            await self.remove(name)
        return {}

    async def rent(self, body: Body) -> Body:
        """Handles a rental; it is idempotent: a repeated request id returns the same machines."""
        if body["bid"] not in self.rentals:
            count = min(body["number"], self.capacity)
            if count == 0:
                raise HttpError(503, {"error": "no capacity"})
            self.capacity -= count
            machines = [await self.add(body["breed"], body["range"]) for _ in range(count)]
            self.rentals[body["bid"]] = [machine.name for machine in machines]
        return {"perches": self.rentals[body["bid"]]}

    def list_machines(self, query: Query) -> Body:
        """Handles a request for a page of the list of machines."""
        names = [name for name in sorted(self.machines) if name > query.get("since", "")]
        limit = int(query.get("most", PAGE_MAX))
        page = [describe_machine(self.machines[name]) for name in names[:limit]]
        return {"perches": page, "has_next": len(names) > limit}
