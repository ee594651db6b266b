"""A controller of a loopback cluster: a real process, and the files it reads and writes."""

import os
import signal
import subprocess
from typing import IO, Optional


class Controller:
    """A controller's address, and its process while it has one."""

    def __init__(self, name: str, address: str, zone: str, directory: str) -> None:
        self.name = name
        self.address = address
        self.zone = zone
        self.is_frozen = False
        self.settings_file = os.path.join(directory, name + ".toml")
        self.operators_file = os.path.join(directory, "operators.xml")
        self.log_file = os.path.join(directory, "logs", name + ".log")
        self.log: Optional[IO[bytes]] = None
        self.running: Optional[subprocess.Popen[bytes]] = None

    def is_running(self) -> bool:
        """Whether it has a process, frozen or not."""
        return self.running is not None

    @property
    def process(self) -> "subprocess.Popen[bytes]":
        """Its process, which it must have."""
        if self.running is None:
            raise RuntimeError(f"{self.name} does not run")
        return self.running

    def start(self, program: str) -> None:
        """Starts the program; its messages are appended to the log."""
        command = [program, "--config", self.settings_file, "--operators", self.operators_file]
        environment = dict(os.environ, LOG_LEVEL="info")
        self.log = open(self.log_file, "ab")
        self.running = subprocess.Popen(command, stdin=subprocess.DEVNULL, stderr=self.log, env=environment)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.process.kill()
        self.process.wait()
        self.running = None
        self.is_frozen = False
        if self.log is not None:
            self.log.close()

    def freeze(self) -> None:
        """Stops the process until it is thawed."""
        self.process.send_signal(signal.SIGSTOP)
        self.is_frozen = True

    def thaw(self) -> None:
        """Lets a frozen process go on."""
        self.process.send_signal(signal.SIGCONT)
        self.is_frozen = False
