"""Faults of controllers. Each method of FaultInjector that KINDS names starts a fault and returns a function
that ends it."""

import asyncio
import random
from collections.abc import Callable

from cluster import Cluster
from controller import Controller

CUT_AFTER_THAW_S = 3
STATE_DELAYS_S = (0.2, 1.0)

EndOfFault = Callable[[], None]


class FaultInjector:
    """Injects faults into the controllers of a cluster."""

    KINDS = [
        "freeze",
        "freeze_cut",
        "kill",
        "isolate",
        "cut_state",
        "refuse_state",
        "slow_state",
        "cut_one_way",
        "split",
    ]

    def __init__(self, cluster: Cluster, generator: random.Random) -> None:
        self.cluster = cluster
        self.random = generator

    async def inject(self, kind: str, min_s: float, max_s: float) -> None:
        """Injects a fault into a random running leader, for a random time between the bounds."""
        leaders = self.cluster.leaders()
        names = sorted({name for name, _ in leaders.values()})
        running = [c for c in map(self.cluster.controller, names) if c.is_running()]
        if not running:
            return
        target = self.random.choice(running)
        shards = [shard for shard, (name, _) in leaders.items() if name == target.name]
        self.cluster.record("fault", kind=kind, controller=target.name, shards=shards)
        end: EndOfFault = getattr(self, kind)(target)
        await asyncio.sleep(self.random.uniform(min_s, max_s))
        end()
        self.cluster.record("fault-over", kind=kind, controller=target.name)

    def others(self, target: Controller) -> list[Controller]:
        """All controllers except the target."""
        return [c for c in self.cluster.controllers if c is not target]

    def set_state_access(
        self, controller: Controller, refused: bool = False, silent: bool = False, delay: float = 0.0
    ) -> None:
        """Sets how the state service treats requests of a controller; by default they are served."""
        self.cluster.state.http.rules.set(controller.address, refused, silent, delay)

    def reconnect(self, *controllers: Controller) -> None:
        """Heals all network cuts, and restores these controllers' access to the state service."""
        self.cluster.network.heal()
        for controller in controllers:
            self.set_state_access(controller)

    def freeze(self, target: Controller) -> EndOfFault:
        """Suspends the target's process."""
        self.cluster.freeze(target)
        return lambda: self.cluster.thaw(target)

    def freeze_cut(self, target: Controller) -> EndOfFault:
        """Suspends the target and resumes it partitioned, so that it can't learn that it was replaced."""
        others = self.cluster.addresses(self.others(target))
        self.cluster.freeze(target)

        def end() -> None:
            self.cluster.network.partition([target.address], others)
            self.set_state_access(target, silent=True)
            self.cluster.thaw(target)
            asyncio.get_running_loop().call_later(CUT_AFTER_THAW_S, self.reconnect, target)

        return end

    def kill(self, target: Controller) -> EndOfFault:
        """Kills the target's process; a new one is started at the end of the fault."""
        self.cluster.kill_controller(target)
        return lambda: self.cluster.start_controller(target)

    def cut_state(self, target: Controller) -> EndOfFault:
        """The state service does not answer the target's requests."""
        self.set_state_access(target, silent=True)
        return lambda: self.set_state_access(target)

    def refuse_state(self, target: Controller) -> EndOfFault:
        """The state service refuses the target's requests."""
        self.set_state_access(target, refused=True)
        return lambda: self.set_state_access(target)

    def slow_state(self, target: Controller) -> EndOfFault:
        """The state service delays its answers to the target."""
        self.set_state_access(target, delay=self.random.uniform(*STATE_DELAYS_S))
        return lambda: self.set_state_access(target)

    def isolate(self, target: Controller) -> EndOfFault:
        """Partitions the target from all controllers, agents and the state service."""
        rest = self.cluster.addresses(self.others(target), self.cluster.settings.zones)
        self.cluster.network.partition([target.address], rest)
        self.set_state_access(target, silent=True)
        return lambda: self.reconnect(target)

    def cut_one_way(self, target: Controller) -> EndOfFault:
        """Cuts the links from the target to the other controllers, but not the reverse links."""
        self.cluster.network.cut([target.address], self.cluster.addresses(self.others(target)))
        return self.cluster.network.heal

    def split(self, target: Controller) -> EndOfFault:
        """Partitions controllers and zones in halves; the half without the target loses the state service."""
        others, zones = self.others(target), self.cluster.settings.zones
        lost = others[: len(others) // 2 + 1]
        kept = [c for c in self.cluster.controllers if c not in lost]
        half = len(zones) // 2
        self.cluster.network.partition(
            self.cluster.addresses(lost, zones[:half]), self.cluster.addresses(kept, zones[half:])
        )
        for controller in lost:
            self.set_state_access(controller, silent=True)
        return lambda: self.reconnect(*lost)
