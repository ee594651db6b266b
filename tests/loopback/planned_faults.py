"""Carries out the faults of a plan (plan.py): each on its own, so that they overlap."""

import asyncio
import random
from collections.abc import Callable

from cluster import Cluster
from controller import Controller
from faults import EndOfFault, FaultInjector
from plan import PlannedFault
from standin_worker import StandInWorker, WorkerFaults

LEADER_KILLS = 4
LEADER_KILL_GAP_S = 2.5
RESTART_S = 0.4
WORKER_SHARE = 0.3

Toggle = Callable[[WorkerFaults, bool], None]


def set_deaf(faults: WorkerFaults, value: bool) -> None:
    """Answers and commands to the worker are lost."""
    faults.is_deaf = value


def set_mute(faults: WorkerFaults, value: bool) -> None:
    """The worker's reports are lost."""
    faults.is_mute = value


def set_late_reports(faults: WorkerFaults, value: bool) -> None:
    """Copies of the worker's reports arrive again later."""
    faults.has_late_reports = value


def set_late_commands(faults: WorkerFaults, value: bool) -> None:
    """Commands to the worker are late."""
    faults.has_late_commands = value


class PlannedFaults(FaultInjector):
    """Carries out planned faults on any controller, the state service and the workers."""

    WORKER_FAULTS: dict[str, Toggle] = {
        "deaf_workers": set_deaf,
        "mute_workers": set_mute,
        "late_reports": set_late_reports,
        "late_commands": set_late_commands,
    }

    def __init__(self, cluster: Cluster, generator: random.Random) -> None:
        super().__init__(cluster, generator)
        self.down: set[str] = set()  # controllers that a fault has killed, or is about to start

    async def carry_out(self, fault: PlannedFault) -> None:
        """Waits for the time of a fault and carries it out."""
        await asyncio.sleep(fault.at_s)
        target = self.cluster.controllers[fault.target % len(self.cluster.controllers)]
        self.cluster.record("fault", kind=fault.kind, controller=target.name, shards=[])
        if fault.kind in self.WORKER_FAULTS:
            await self.disturb_workers(self.WORKER_FAULTS[fault.kind], fault)
        elif fault.kind == "kill":
            await self.restart(target, fault.for_s)
        elif fault.kind == "kill_all":
            await asyncio.gather(*(self.restart(c, fault.for_s) for c in self.cluster.controllers))
        elif fault.kind == "kill_leaders":
            await self.kill_leaders()
        else:
            await self.disturb_controller(target, fault)
        self.cluster.record("fault-over", kind=fault.kind, controller=target.name)

    async def restart(self, controller: Controller, after_s: float) -> None:
        """Kills a controller and starts it again."""
        if controller.name in self.down or not controller.is_running():
            return
        self.down.add(controller.name)
        self.cluster.kill_controller(controller)
        await asyncio.sleep(after_s)
        self.cluster.start_controller(controller)
        self.down.discard(controller.name)

    async def kill_leaders(self) -> None:
        """Kills the leaders, one after the other."""
        for _ in range(LEADER_KILLS):
            for name in sorted({leader for leader, _ in self.cluster.leaders().values()}):
                await self.restart(self.cluster.controller(name), RESTART_S)
            await asyncio.sleep(LEADER_KILL_GAP_S)

    async def disturb_controller(self, target: Controller, fault: PlannedFault) -> None:
        """Carries out a fault that leaves the process of the controller in place."""
        if fault.kind in ("freeze", "freeze_cut") and (not target.is_running() or target.is_frozen):
            return
        end: EndOfFault = getattr(self, fault.kind)(target)
        await asyncio.sleep(fault.for_s)
        if fault.kind not in ("freeze", "freeze_cut") or target.is_frozen:
            end()

    async def disturb_workers(self, toggle: Toggle, fault: PlannedFault) -> None:
        """Disturbs the messages of a share of the stand-in workers."""
        workers = [m for m in self.cluster.cloud.machines.values() if isinstance(m, StandInWorker)]
        chosen = random.Random(fault.target).sample(workers, int(len(workers) * WORKER_SHARE))
        for worker in chosen:
            toggle(worker.faults, True)
        await asyncio.sleep(fault.for_s)
        for worker in chosen:
            toggle(worker.faults, False)

    def state_outage(self, target: Controller) -> EndOfFault:
        """The state service refuses all controllers; leases have their full time again afterwards."""
        del target
        self.cluster.state.begin_outage()
        return self.cluster.state.end_outage

    def lose_answers(self, target: Controller) -> EndOfFault:
        """The target's transactions are carried out, and their answers are lost."""
        self.cluster.state.lost_answers.add(target.address)
        return lambda: self.cluster.state.lost_answers.discard(target.address)

    def late_writes(self, target: Controller) -> EndOfFault:
        """The target's transactions are carried out late, after newer ones, and not answered."""
        self.cluster.state.late_writes.add(target.address)
        return lambda: self.cluster.state.late_writes.discard(target.address)

    def end_all(self) -> None:
        """Ends all faults, and starts the controllers that are down."""
        self.reconnect(*self.cluster.controllers)
        self.cluster.state.lost_answers.clear()
        self.cluster.state.late_writes.clear()
        self.cluster.state.end_outage()
        for controller in self.cluster.controllers:
            if controller.is_frozen:
                self.cluster.thaw(controller)
            if not controller.is_running():
                self.cluster.start_controller(controller)
