"""A machine of a loopback cluster: a real agent process on its own loopback address."""

import asyncio
import fcntl
import os
import signal
import subprocess
import time
from typing import Any, NamedTuple, Optional

AGENT_PORT = 9000  # of the relay; the agent listens one port above
LOCK_POLL_S = 0.02
MACHINE_TYPES: dict[str, dict[str, Any]] = {
    "m8": {"cores": 8, "gpus": 0, "ram_gb": 32, "hourly": 1.0, "low_price": 0.4},
    "g4": {"cores": 8, "gpus": 2, "ram_gb": 32, "hourly": 4.0, "low_price": 1.5},
}


class AgentOptions(NamedTuple):
    """Options shared by all agents of a cluster."""

    program: str
    directory: str  # of the run
    report_s: float
    lease_s: float
    controllers: dict[str, str]  # name -> endpoint


class Machine:
    """A machine and its agent."""

    def __init__(self, name: str, address: str, machine_type: str, zone: str) -> None:
        self.name = name
        self.address = address
        self.type = machine_type
        self.zone = zone
        self.created_at = time.monotonic()
        self.agent: Optional[subprocess.Popen[bytes]] = None
        self.lock_file = ""

    def start_agent(self, options: AgentOptions) -> None:
        """Starts the agent with its own state directory."""
        state_directory = os.path.join(options.directory, "agents", self.name)
        os.makedirs(state_directory, exist_ok=True)
        self.lock_file = os.path.join(state_directory, "lock")
        self.agent = subprocess.Popen(self.agent_command(options, state_directory), stdin=subprocess.DEVNULL)

    def agent_command(self, options: AgentOptions, state_directory: str) -> list[str]:
        """The command line of the agent."""
        size = MACHINE_TYPES[self.type]
        values = {
            "machine": self.name,
            "type": self.type,
            "zone": self.zone,
            "cpus": size["cores"],
            "gpus": size["gpus"],
            "memory": size["ram_gb"],
            "listen": f"{self.address}:{AGENT_PORT + 1}",
            "advertise": f"{self.address}:{AGENT_PORT}",
            "report": options.report_s,
            "lease": options.lease_s,
            "state": state_directory,
            "jobs": os.path.join(options.directory, "jobs"),
            "history": os.path.join(options.directory, "history", self.name + ".jsonl"),
        }
        command = [options.program]
        for option, value in values.items():
            command += [f"--{option}", str(value)]
        for name, endpoint in options.controllers.items():
            command += ["--controller", f"{name}={endpoint}"]
        return command

    def kill_agent(self) -> None:
        """Kills the agent process; the supervisors then end their tasks."""
        if self.agent is None:
            return
        self.agent.send_signal(signal.SIGCONT)
        self.agent.kill()
        self.agent.wait()

    async def wait_until_tasks_end(self) -> None:
        """Waits until the agent's lock is free: the supervisors hold it until their tasks have ended."""
        with open(self.lock_file, "a", encoding="utf-8") as lock:
            while True:
                try:
                    fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    return
                except BlockingIOError:
                    await asyncio.sleep(LOCK_POLL_S)
