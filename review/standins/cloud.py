"""The cloud of PROTOCOL: machine types, rentals up to a capacity, deletions, and a list that lags."""

import asyncio
import functools
import time

from .http import Refused, serve


class Cloud:
    """The machines that exist, and the capacity that is left. `new_worker` starts the worker of a machine."""

    def __init__(self, types, capacity, list_lag_s, rps, new_worker):
        self.types = types
        self.capacity = dict(capacity)  # (type, zone, spot) -> machines that can still be rented
        self.list_lag_s = list_lag_s
        self.rps, self.level, self.at = rps, 2 * rps, time.monotonic()
        self.new_worker = new_worker
        self.machines = {}  # name -> worker
        self.bids = {}
        self.history = []  # (time, description of the list)
        self.count = 0
        self.on_delete = lambda client, worker: None  # called before a machine is deleted

    async def start(self, host, ports):
        """Starts the service: a port for each controller, so that requests can be told apart."""
        for client, port in ports.items():
            await serve(host, port, functools.partial(self.handle, client))
        asyncio.get_running_loop().create_task(self.remember())

    async def remember(self):
        """Keeps old lists: the list that is answered lags."""
        while True:
            now = time.monotonic()
            self.history.append((now, [(m, m.is_up) for m in self.machines.values()]))
            self.history = [entry for entry in self.history if entry[0] > now - 2 * self.list_lag_s - 5]
            await asyncio.sleep(0.5)

    async def add(self, breed, zone, spot, boot_s):
        """Creates a machine, which is up after `boot_s`."""
        self.count += 1
        name = f"n-{self.count:06}"
        worker = self.new_worker(name, breed, zone, spot)
        self.machines[name] = worker
        asyncio.get_running_loop().create_task(worker.start(boot_s))
        return name

    async def handle(self, client, method, path, query, body):
        """Handles a request."""
        now = time.monotonic()
        self.level = min(2 * self.rps, self.level + (now - self.at) * self.rps)
        self.at = now
        if self.level < 1:
            raise Refused(429)
        self.level -= 1
        if path == "/machine_types":
            return {"breeds": self.types}
        if path == "/rentals/delete":
            return await self.delete(client, body)
        if method == "POST":
            return await self.rent(body)
        return self.list(query)

    async def rent(self, body):
        """POST /rentals."""
        if body["bid"] in self.bids:
            return {"perches": self.bids[body["bid"]]}
        kind = (body["breed"], body["range"], body["windfall"])
        count = min(body["number"], self.capacity.get(kind, 0))
        if count == 0:
            raise Refused(503, {"error": "no capacity"})
        self.capacity[kind] -= count
        boot_s = next(t["boot_s"] for t in self.types if t["name"] == body["breed"])
        self.bids[body["bid"]] = [await self.add(*kind, boot_s) for _ in range(count)]
        return {"perches": self.bids[body["bid"]]}

    async def delete(self, client, body):
        """POST /rentals/delete."""
        for name in body["perches"]:
            self.on_delete(client, self.machines.get(name))
            worker = self.machines.pop(name, None)
            if worker is not None:
                kind = (worker.breed, worker.zone, worker.spot)
                self.capacity[kind] = self.capacity.get(kind, 0) + 1
                worker.end(f"{client} had it deleted")
        return {}

    def list(self, query):
        """GET /rentals: as it was `list_lag_s` ago. Machines that were up at the start are listed at once."""
        now = time.monotonic()
        old = [entry for entry in self.history if entry[0] <= now - self.list_lag_s]
        _, machines = old[-1] if old else self.history[0]
        shown = sorted((m, up) for m, up in machines if m.name > query.get("since", ""))
        most = min(int(query.get("most", 500)), 500)
        listed = [
            {
                "ref": m.name,
                "addr": m.addr,
                "breed": m.breed,
                "range": m.zone,
                "windfall": m.spot,
                "stance": "running" if up else "booting",
                "age_s": now - m.created_at,
            }
            for m, up in shown[:most]
        ]
        return {"perches": listed, "has_next": len(shown) > most}
