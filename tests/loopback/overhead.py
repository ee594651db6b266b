"""Measures CPU, memory and peer traffic of idle controllers and agents, for several heartbeat intervals.

    python3 tests/loopback/overhead.py --directory DIR --controller P --agent P --controllers 5 --seconds 30
"""

import argparse
import asyncio
import os
import time
from collections.abc import Iterable
from typing import NamedTuple

from cluster import Cluster, Programs
from settings import PEER_PORT, Settings

SHARDS = '<shard name="north" zones="a" share="0.5"/><shard name="south" zones="b" share="0.5"/>'
MAX_RELAYED_CONTROLLERS = 10
SETTLE_S = 15
HEARTBEATS_S = (0.5, 1.9)
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """CPU time of a process in seconds."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Resident memory of a process in MB."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        return next(int(line.split()[1]) / 1024 for line in file if line.startswith("VmRSS"))


def mean(values: Iterable[float]) -> float:
    """The arithmetic mean."""
    known = list(values)
    return sum(known) / len(known)


class Cost(NamedTuple):
    """Resource usage of a process: fraction of a core, and resident memory."""

    core_share: float
    memory_mb: float

    def __str__(self) -> str:
        return f"{100 * self.core_share:.2f}% of a core, {self.memory_mb:.1f} MB"


class Meter:
    """Measures the mean resource usage of processes since the meter was created."""

    def __init__(self, pids: list[int]) -> None:
        self.started_at = time.monotonic()
        self.used_s = {pid: cpu_s(pid) for pid in pids}

    def mean_usage(self) -> Cost:
        """The mean usage per process since the meter was created."""
        seconds = time.monotonic() - self.started_at
        core_share = mean((cpu_s(pid) - used_s) / seconds for pid, used_s in self.used_s.items())
        return Cost(core_share, mean(map(memory_mb, self.used_s)))


def peer_bytes(cluster: Cluster) -> int:
    """The number of bytes that controllers have sent to each other through relays."""
    addresses = {c.address for c in cluster.controllers}
    sent = cluster.network.bytes_sent
    return sum(count for link, count in sent.items() if addresses.issuperset(link))


async def measure(options: argparse.Namespace, heartbeat_s: float) -> None:
    """Measures an idle cluster and prints the results."""
    # With many controllers the relays would add too much delay.
    peer_port = PEER_PORT + 1 if options.controllers > MAX_RELAYED_CONTROLLERS else PEER_PORT
    settings = Settings(["a", "b"], SHARDS, peer_port=peer_port, heartbeat_s=heartbeat_s)
    programs = Programs(options.controller, options.agent)
    cluster = Cluster(options.directory, programs, options.controllers, settings)
    # Otherwise idle machines would be terminated, and there would be no agents to measure.
    cluster.cloud.refuses_deletions = True
    await cluster.start([("m8", settings.zone_of(i)) for i in range(options.agents)])
    await asyncio.sleep(SETTLE_S)
    controllers = Meter([c.process.pid for c in cluster.controllers])
    agents = Meter([m.agent.pid for m in cluster.cloud.machines.values() if m.agent])
    sent_before = peer_bytes(cluster)
    await asyncio.sleep(options.seconds)
    sent = (peer_bytes(cluster) - sent_before) / options.seconds / options.controllers
    print(
        f"{options.controllers} controllers, heartbeat every {heartbeat_s} s: "
        f"a controller uses {controllers.mean_usage()} and sends {sent / 1024:.2f} KiB/s to the others "
        f"(0: not counted); an agent uses {agents.mean_usage()}"
    )
    await cluster.stop()


def main() -> None:
    """Measures with each heartbeat interval."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--directory", required=True)
    parser.add_argument("--controller", required=True)
    parser.add_argument("--agent", required=True)
    parser.add_argument("--controllers", type=int, default=5)
    parser.add_argument("--agents", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=30)
    options = parser.parse_args()
    for heartbeat_s in HEARTBEATS_S:
        asyncio.run(measure(options, heartbeat_s))


if __name__ == "__main__":
    main()
