"""A service with as many replicas as the protocol allows: the controllers must go on serving everybody."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from standins.deployment import BROKEN, HELD, NOT_RUN, run_case  # noqa: E402
from standins.sites import TEMIZYOL, job  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WAITING_S = 90.0  # "no job is left waiting for 90 s while a machine that fits has room"
TALONS_MAX = 100000  # "number of tasks, at most 100,000"
ZONES = ["antalya-a", "izmir-b", "istanbul-c", "bodrum-d"]
SITE = dict(TEMIZYOL, machines=[("koyun", zone, False) for zone in ZONES])
PROBE_TIMEOUT_S = 1.0  # of the load balancer
END_S = 110.0


async def probe(deployment, worst):
    """Probes GET /up of every controller once a second, as the load balancer does; notes the longest silence."""

    async def one(controller):
        silent_since = None
        while True:
            asked_at = time.monotonic()
            status, _ = await deployment.ask(controller, "GET", "/up", None, PROBE_TIMEOUT_S)
            silent_since = None if status else silent_since or asked_at
            if silent_since:
                worst[controller.name] = max(worst.get(controller.name, 0.0), time.monotonic() - silent_since)
            await asyncio.sleep(1)

    await asyncio.gather(*(one(controller) for controller in deployment.controllers))


async def play(deployment):
    """Plays the case; returns the exit status."""
    await deployment.start()
    first = job("run-000301", "terazi", "batch", 2, 1.0, 0.0, 2.4, 3, image_gb=0.3)
    if await deployment.submit(first, 20) != 201:
        return NOT_RUN
    while len(deployment.done(first["ref"])) < 2:
        if deployment.now() > 20:
            return NOT_RUN
        await asyncio.sleep(0.2)
    if TROUBLE:
        need = {"cores": 0.002, "gpus": 0.0, "ram_gb": 0.008}  # all of them: 200 of the 256 CPUs
        service = job("run-000302", "otelkapi", "standing", TALONS_MAX, *need.values(), 0, scatter=True)
        if await deployment.submit(service, 10) != 201:
            return NOT_RUN
    later = job("run-000303", "terazi", "batch", 4, 1.0, 0.0, 2.4, 10, image_gb=0.3)
    if await deployment.submit(later, 20) not in (200, 201):
        return NOT_RUN
    worst = {}
    probing = asyncio.create_task(probe(deployment, worst))
    try:
        return await watch(deployment, later, worst)
    finally:
        probing.cancel()


async def watch(deployment, later, worst):
    """Watches whether the later job begins."""
    ref, accepted_at, next_poll = later["ref"], time.monotonic(), 0.0
    waited_s = 0.0
    while deployment.now() < END_S and waited_s <= WAITING_S:
        begun = deployment.done(ref) | {name for _, name in deployment.on_machines(ref)}
        fits = [worker.name for worker in deployment.workers() if worker.has_room(later)]
        if len(begun) == later["talons"] or not fits:
            accepted_at = time.monotonic()
        waited_s = max(waited_s, time.monotonic() - accepted_at)
        if time.monotonic() >= next_poll:
            next_poll = time.monotonic() + 5
            _, answer = await deployment.poll(ref)
            deployment.record(f"{ref}: begun {sorted(begun)}, room on {fits}, user is told {answer}")
            if answer and answer["stance"] == "done":
                break
        await asyncio.sleep(0.2)
    deployment.record(f"longest wait beside a machine with room: {waited_s:.1f} s (allowed: {WAITING_S} s)")
    deployment.record(f"longest time without any answer to GET /up: {worst}")
    deployment.record(f"highest token that the workers saw: {max(w.crest for w in deployment.workers())}")
    is_broken = waited_s > WAITING_S
    deployment.record("BROKEN" if is_broken else "HELD")
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    os._exit(run_case(SITE, play, HERE))  # open connections of the stand-ins need no farewell
