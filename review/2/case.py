"""Accepted jobs, then all controllers crash: the jobs must still run."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from standins.deployment import BROKEN, HELD, NOT_RUN, run_case  # noqa: E402
from standins.sites import TEMIZYOL, job  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BACK_S = 5.0  # "back about 5 s after an end"
WAITING_S = 90.0  # "no job is left waiting for 90 s while a machine that fits has room"
END_S = 112.0


def service(ref, family):
    """A service that allows koyun and the like types of another provider: 32 names, one is offered."""
    breeds = [f"{family}{i}.large" for i in range(1, 32)] + ["koyun"]
    return job(ref, "canliharita", "standing", 2, 1.0, 0.0, 3.2, 0, rank="critical", breeds=breeds)


def photos(ref, talons, run_s):
    """Photo sorting on GPUs, on any type that fits."""
    return job(ref, "kirisim", "batch", talons, 6.0, 1.0, 24.0, run_s)


async def until(condition, for_s):
    """Waits for a condition; returns whether it came true."""
    deadline = time.monotonic() + for_s
    while time.monotonic() < deadline:
        if condition():
            return True
        await asyncio.sleep(0.1)
    return False


async def play(deployment):
    """Plays the case; returns the exit status."""
    await deployment.start()
    for number, family in ((101, "m"), (102, "c"), (103, "r")):
        if await deployment.submit(service(f"run-000{number}", family), 20) not in (200, 201):
            return NOT_RUN
    long_one, waiting = photos("run-000201", 1, 200), photos("run-000202", 4, 12)
    if await deployment.submit(long_one, 10) != 201 or await deployment.submit(waiting, 10) != 201:
        return NOT_RUN
    if not await until(
        lambda: deployment.on_machines(long_one["ref"]) and deployment.on_machines(waiting["ref"]), 12
    ):
        return NOT_RUN
    if TROUBLE:
        for controller in deployment.controllers:
            deployment.kill_controller(controller)
        await asyncio.sleep(BACK_S)
        for controller in deployment.controllers:
            deployment.start_controller(controller)
    return await watch(deployment, waiting)


async def watch(deployment, waiting):
    """Watches whether the waiting job goes on, from the end of the trouble."""
    waits_since, longest_s, late_status, ref = None, 0.0, None, waiting["ref"]
    next_poll, trouble_over = 0.0, time.monotonic()
    while deployment.now() < END_S:
        now = time.monotonic()
        is_complete = len(deployment.done(ref)) == waiting["talons"]
        has_begun = len(deployment.done(ref)) + len(deployment.on_machines(ref)) == waiting["talons"]
        fits = [w.name for w in deployment.workers() if w.size["gpus"] > 0 and w.has_room(waiting)]
        if has_begun or not fits:
            waits_since = None
        elif waits_since is None:
            waits_since = now
        longest_s = max(longest_s, now - waits_since if waits_since else 0.0)
        if now >= next_poll:
            next_poll = now + 5
            _, answer = await deployment.poll(ref)
            deployment.record(
                f"{ref}: {sorted(deployment.done(ref))} done, room on {fits}, user is told {answer}"
            )
            if is_complete and answer and answer["stance"] == "done" and late_status is not None:
                break
        if late_status is None and now > trouble_over + 10:
            late_status = await deployment.submit(photos("run-000203", 1, 5), 30)
        if longest_s > WAITING_S:
            break
        await asyncio.sleep(0.2)
    deployment.record(f"longest wait beside a machine with room: {longest_s:.1f} s (allowed: {WAITING_S} s)")
    deployment.record(f"a new job like it got {late_status} (422 would mean: it can never run)")
    is_broken = longest_s > WAITING_S or late_status == 422
    deployment.record("BROKEN" if is_broken else "HELD")
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    run_case(TEMIZYOL, play, HERE)
