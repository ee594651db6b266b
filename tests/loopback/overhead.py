"""What idle controllers and agents cost: processor, memory, and bytes between controllers, for several heartbeats.

    python3 tests/loopback/overhead.py --directory DIR --controller P --agent P --controllers 5 --seconds 30
"""

import argparse
import asyncio
import os

from cluster import SETTINGS, Cluster

SHARDS = '<shard name="north" zones="a" share="0.5"/><shard name="south" zones="b" share="0.5"/>'
RELAYED_MOST = 10
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def processor_s(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mb(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        return next(int(line.split()[1]) / 1024 for line in file if line.startswith("VmRSS"))


def mean(values):
    values = list(values)
    return sum(values) / len(values)


async def measure(options, heartbeat_s):
    SETTINGS["heartbeat_s"] = heartbeat_s
    cluster = Cluster(options.directory, (options.controller, options.agent), options.controllers, ["a", "b"], SHARDS)
    # Idle machines would be returned, and there would be no agent to measure.
    cluster.cloud.keeps_machines = True
    # The relays can't carry the links of many controllers in time.
    cluster.peer_port += 1 if options.controllers > RELAYED_MOST else 0
    await cluster.start([("m8", "ab"[i % 2]) for i in range(options.agents)])
    await asyncio.sleep(15)
    addresses = {c.address for c in cluster.controllers}
    controllers = [c.process.pid for c in cluster.controllers]
    agents = [m.process.pid for m in cluster.cloud.machines.values() if m.process]
    spent = {pid: processor_s(pid) for pid in controllers + agents}
    carried = dict(cluster.network.carried)
    await asyncio.sleep(options.seconds)
    sent = sum(count - carried.get(link, 0) for link, count in cluster.network.carried.items()
               if link[0] in addresses and link[1] in addresses)
    used = {pid: (processor_s(pid) - spent[pid]) / options.seconds for pid in controllers + agents}
    print(f"{options.controllers} controllers, heartbeat every {heartbeat_s} s: a controller uses "
          f"{100 * mean(used[pid] for pid in controllers):.2f}% of a core, {mean(map(memory_mb, controllers)):.1f} MB, "
          f"and sends {sent / options.seconds / options.controllers / 1024:.2f} KiB/s to the others (0: not counted); an agent "
          f"{100 * mean(used[pid] for pid in agents):.2f}% and {mean(map(memory_mb, agents)):.1f} MB")
    await cluster.stop()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--directory", required=True)
    parser.add_argument("--controller", required=True)
    parser.add_argument("--agent", required=True)
    parser.add_argument("--controllers", type=int, default=5)
    parser.add_argument("--agents", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=30)
    options = parser.parse_args()
    for heartbeat_s in (0.5, 1.9):
        asyncio.run(measure(options, heartbeat_s))


if __name__ == "__main__":
    main()
