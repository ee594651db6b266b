"""A seeded run of a loopback cluster under faults of its controllers, and the check of its history.

    python3 tests/loopback/run.py --directory DIR --controller target/ospreywell --agent target/ospreywell-agent
"""

import argparse
import asyncio
import json
import random
import sys
import time

import checker
from cluster import Cluster
from users import Users

SHARDS = ['<shard name="north" zones="a" share="0.4"/>', '<shard name="south" zones="b" share="0.3"/>',
          '<shard name="west" zones="c" share="0.3"/>']
ZONES = ["a", "b", "c"]
SETTLE_S, FINISH_S = 40, 150
CUT_AFTER_THAW_S = 3


class Run:
    def __init__(self, options):
        self.options = options
        self.random = random.Random(options.seed)
        shards = "".join(SHARDS[:options.shards]) if options.shards else None
        zones = ZONES[:max(options.shards, 1)]
        self.cluster = Cluster(options.directory, (options.controller, options.agent), options.controllers, zones,
                               shards)
        self.users = Users(self.cluster, self.random)
        self.machines = [("m8", zones[i % len(zones)]) for i in range(options.agents)]

    # ---- faults: each begins one and returns what ends it ----

    def freeze(self, target):
        self.cluster.freeze(target)
        return lambda: self.cluster.thaw(target)

    def freeze_cut(self, target):
        """It goes on without the state service and the other controllers: nobody can tell it that it was replaced."""
        others = [c.address for c in self.cluster.controllers if c is not target]
        self.cluster.freeze(target)

        def reconnect():
            self.cluster.network.heal()
            self.cluster.set_state_access(target)

        def end():
            self.cluster.network.split([target.address], others)
            self.cluster.set_state_access(target, silent=True)
            self.cluster.thaw(target)
            asyncio.get_running_loop().call_later(CUT_AFTER_THAW_S, reconnect)
        return end

    def kill(self, target):
        self.cluster.kill_controller(target)
        return lambda: self.cluster.start_controller(target)

    def cut_state(self, target):
        self.cluster.set_state_access(target, silent=True)
        return lambda: self.cluster.set_state_access(target)

    def refuse_state(self, target):
        self.cluster.set_state_access(target, refused=True)
        return lambda: self.cluster.set_state_access(target)

    def slow_state(self, target):
        self.cluster.set_state_access(target, delay=self.random.uniform(0.2, 1.0))
        return lambda: self.cluster.set_state_access(target)

    def isolate(self, target):
        """No message passes between the target and anybody, the state service included."""
        others = [c for c in self.cluster.controllers if c is not target]
        rest = self.cluster.addresses(others, self.cluster.zones)
        self.cluster.network.split([target.address], rest)
        self.cluster.set_state_access(target, silent=True)

        def end():
            self.cluster.network.heal()
            self.cluster.set_state_access(target)
        return end

    def cut_one_way(self, target):
        """What the target sends to the other controllers is lost; it hears them."""
        others = [c.address for c in self.cluster.controllers if c is not target]
        self.cluster.network.cut([target.address], others)
        return self.cluster.network.heal

    def split(self, target):
        """Two halves, each with controllers and zones; the half without the target loses the state service."""
        others = [c for c in self.cluster.controllers if c is not target]
        lost = others[:len(others) // 2 + 1]
        kept = [c for c in self.cluster.controllers if c not in lost]
        half = len(self.cluster.zones) // 2
        self.cluster.network.split(self.cluster.addresses(lost, self.cluster.zones[:half]),
                                   self.cluster.addresses(kept, self.cluster.zones[half:]))
        for controller in lost:
            self.cluster.set_state_access(controller, silent=True)

        def end():
            self.cluster.network.heal()
            for controller in lost:
                self.cluster.set_state_access(controller)
        return end

    KINDS = ["freeze", "freeze_cut", "kill", "isolate", "cut_state", "refuse_state", "slow_state", "cut_one_way", "split"]

    async def fault(self, kind):
        """Lets a controller that leads something fail for a while."""
        leaders = self.cluster.leaders()
        names = sorted({name for name, _ in leaders.values()})
        up = [self.cluster.controller(name) for name in names if self.cluster.controller(name).up()]
        if not up:
            return
        target = self.random.choice(up)
        shards = [shard for shard, (name, _) in leaders.items() if name == target.name]
        self.cluster.record("fault", kind=kind, controller=target.name, shards=shards)
        end = getattr(self, kind)(target)
        await asyncio.sleep(self.random.uniform(*self.options.fault_s))
        end()
        self.cluster.record("fault-over", kind=kind, controller=target.name)

    # ---- work ----

    async def submit_jobs(self):
        while True:
            choice = self.random.random()
            seconds = self.random.uniform(0.3, 4)
            if choice < 0.6:
                job = self.users.describe("batch", self.random.randint(1, 4), seconds)
            elif choice < 0.85:
                job = self.users.describe("ensemble", self.random.randint(2, 3), seconds, same_place=True, rank="urgent")
            else:
                job = self.users.describe("batch", 2, 60)
            long = choice >= 0.85
            self.users.begin(job, cancel_after=self.random.uniform(1, 8) if long else None)
            await asyncio.sleep(self.random.expovariate(self.options.jobs_per_s))

    async def sample(self):
        """Records what every controller says of the others and of the shards, for the report alone."""
        known = {}
        while True:
            for controller in self.cluster.controllers:
                if not controller.up() or controller.frozen:
                    continue
                for path in ("/v2/controllers", "/v2/shards"):
                    _, answer = await self.cluster.request(controller, "GET", path, timeout=0.5)
                    for item in (answer or {}).get("controllers", []) + (answer or {}).get("shards", []):
                        key = (controller.name, item["name"])
                        if known.get(key) != item["state"]:
                            known[key] = item["state"]
                            self.cluster.record("view", by=controller.name, of=item["name"], state=item["state"],
                                                cause=item.get("cause", ""))
            await asyncio.sleep(0.1)

    async def wait_for_leaders(self):
        wanted = max(self.options.shards, 1)
        deadline = time.monotonic() + SETTLE_S
        while len(self.cluster.leaders()) < wanted and time.monotonic() < deadline:
            await asyncio.sleep(0.1)

    async def play(self):
        await self.cluster.start(self.machines)
        await self.wait_for_leaders()
        background = [asyncio.create_task(self.submit_jobs())]
        if self.options.shards:
            background.append(asyncio.create_task(self.sample()))
        await asyncio.sleep(self.options.quiet_s)
        for i in range(self.options.faults):
            kinds = self.options.kinds or self.KINDS
            await self.fault(kinds[i % len(kinds)])
            await self.wait_for_leaders()
            await asyncio.sleep(self.options.rest_s)
        background[0].cancel()
        unfinished = await self.users.finish(FINISH_S)
        for task in background[1:]:
            task.cancel()
        await self.cluster.stop()
        return unfinished


def parse_options():
    parser = argparse.ArgumentParser()
    parser.add_argument("--directory", required=True)
    parser.add_argument("--controller", required=True)
    parser.add_argument("--agent", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--controllers", type=int, default=3)
    parser.add_argument("--agents", type=int, default=6)
    parser.add_argument("--shards", type=int, default=2, help="0: a fleet without shards")
    parser.add_argument("--faults", type=int, default=3)
    parser.add_argument("--kinds", nargs="*")
    parser.add_argument("--fault-s", type=float, nargs=2, default=(6, 12))
    parser.add_argument("--rest-s", type=float, default=4)
    parser.add_argument("--quiet-s", type=float, default=3)
    parser.add_argument("--jobs-per-s", type=float, default=1)
    parser.add_argument("--expect-stale-orders", action="store_true",
                        help="succeed only if the checker finds these, and nothing else")
    return parser.parse_args()


def main():
    options = parse_options()
    run = Run(options)
    unfinished = asyncio.run(run.play())
    violations = checker.check(options.directory, run.cluster.settings["cancel_s"])
    summary = {"seed": options.seed, "jobs": len(run.users.jobs), "unfinished": unfinished, "violations": violations,
               "handovers": checker.handovers(options.directory), "waits_without_reason": run.users.unexplained,
               "requests": run.cluster.state.http.requests}
    print(json.dumps(summary, indent=1))
    if options.expect_stale_orders:
        sys.exit(0 if violations and all(text.startswith("stale order") for text in violations) else 1)
    sys.exit(1 if violations or unfinished else 0)


if __name__ == "__main__":
    main()
