"""Faults of controllers: each method of FaultInjector begins one and returns what ends it."""

import asyncio
import random
from collections.abc import Callable

from cluster import Cluster
from controller import Controller

CUT_AFTER_THAW_S = 3
STATE_DELAYS_S = (0.2, 1.0)

EndOfFault = Callable[[], None]


class FaultInjector:
    """Lets the controllers of a cluster fail."""

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

    async def inject(self, kind: str, shortest_s: float, longest_s: float) -> None:
        """Lets a controller that leads something fail for a while."""
        leaders = self.cluster.leaders()
        names = sorted({name for name, _ in leaders.values()})
        running = [c for c in map(self.cluster.controller, names) if c.is_running()]
        if not running:
            return
        target = self.random.choice(running)
        shards = [shard for shard, (name, _) in leaders.items() if name == target.name]
        self.cluster.record("fault", kind=kind, controller=target.name, shards=shards)
        end: EndOfFault = getattr(self, kind)(target)
        await asyncio.sleep(self.random.uniform(shortest_s, longest_s))
        end()
        self.cluster.record("fault-over", kind=kind, controller=target.name)

    def others(self, target: Controller) -> list[Controller]:
        """The controllers but the target."""
        return [c for c in self.cluster.controllers if c is not target]

    def set_state_access(
        self, controller: Controller, refused: bool = False, silent: bool = False, delay: float = 0.0
    ) -> None:
        """How the state service treats a controller; by default it serves it."""
        self.cluster.state.http.rules.set(controller.address, refused, silent, delay)

    def reconnect(self, *controllers: Controller) -> None:
        """Ends all cuts between controllers, and those of these controllers from the state service."""
        self.cluster.network.heal()
        for controller in controllers:
            self.set_state_access(controller)

    def freeze(self, target: Controller) -> EndOfFault:
        """The target stands still."""
        self.cluster.freeze(target)
        return lambda: self.cluster.thaw(target)

    def freeze_cut(self, target: Controller) -> EndOfFault:
        """The target stands still, and goes on cut off: nobody can tell it that it was replaced."""
        others = self.cluster.addresses(self.others(target))
        self.cluster.freeze(target)

        def end() -> None:
            self.cluster.network.partition([target.address], others)
            self.set_state_access(target, silent=True)
            self.cluster.thaw(target)
            asyncio.get_running_loop().call_later(CUT_AFTER_THAW_S, self.reconnect, target)

        return end

    def kill(self, target: Controller) -> EndOfFault:
        """The target's process ends, and a new one is started."""
        self.cluster.kill_controller(target)
        return lambda: self.cluster.start_controller(target)

    def cut_state(self, target: Controller) -> EndOfFault:
        """The state service doesn't answer the target."""
        self.set_state_access(target, silent=True)
        return lambda: self.set_state_access(target)

    def refuse_state(self, target: Controller) -> EndOfFault:
        """The state service refuses the target's requests."""
        self.set_state_access(target, refused=True)
        return lambda: self.set_state_access(target)

    def slow_state(self, target: Controller) -> EndOfFault:
        """The state service answers the target late."""
        self.set_state_access(target, delay=self.random.uniform(*STATE_DELAYS_S))
        return lambda: self.set_state_access(target)

    def isolate(self, target: Controller) -> EndOfFault:
        """No message passes between the target and anybody, the state service included."""
        rest = self.cluster.addresses(self.others(target), self.cluster.settings.zones)
        self.cluster.network.partition([target.address], rest)
        self.set_state_access(target, silent=True)
        return lambda: self.reconnect(target)

    def cut_one_way(self, target: Controller) -> EndOfFault:
        """What the target sends to the other controllers is lost; it hears them."""
        self.cluster.network.cut([target.address], self.cluster.addresses(self.others(target)))
        return self.cluster.network.heal

    def split(self, target: Controller) -> EndOfFault:
        """Two halves with controllers and zones; the half without the target loses the state service."""
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
