"""A controller of a loopback cluster: a real process with its settings files and log."""

import os
import signal
import subprocess
from typing import IO, Optional


FIRST_PORT_OFFSET = 10


class Controller:
    """The identity and files of a controller, and its process while it runs."""

    def __init__(self, name: str, address: str, zone: str, directory: str, number: int) -> None:
        self.name = name
        self.address = address
        self.zone = zone
        self.port_offset = FIRST_PORT_OFFSET + number  # of the ports that only this controller connects to
        self.is_frozen = False
        self.settings_file = os.path.join(directory, name + ".toml")
        self.operators_file = os.path.join(directory, "operators.xml")
        self.log_file = os.path.join(directory, "logs", name + ".log")
        self.log: Optional[IO[bytes]] = None
        self.running: Optional[subprocess.Popen[bytes]] = None

    def is_running(self) -> bool:
        """Whether the process exists, even if it is frozen."""
        return self.running is not None

    @property
    def process(self) -> "subprocess.Popen[bytes]":
        """The process; raises RuntimeError if the controller is not running."""
        if self.running is None:
            raise RuntimeError(f"{self.name} is not running")
        return self.running

    def start(self, program: str) -> None:
        """Starts the program; its standard error is appended to the log file."""
        command = [program, "--config", self.settings_file, "--operators", self.operators_file]
        environment = dict(os.environ, LOG_LEVEL="info")
        self.log = open(self.log_file, "ab")
        self.running = subprocess.Popen(command, stdin=subprocess.DEVNULL, stderr=self.log, env=environment)

    def log_lines(self, phrase: str) -> list[str]:
        """The lines of the log that contain a phrase."""
        with open(self.log_file, encoding="utf-8", errors="replace") as file:
            return [line.strip() for line in file if phrase in line]

    def kill(self) -> None:
        """Kills the process and waits until it has exited."""
        self.process.kill()
        self.process.wait()
        self.running = None
        self.is_frozen = False
        if self.log is not None:
            self.log.close()

    def freeze(self) -> None:
        """Suspends the process until thaw()."""
        self.process.send_signal(signal.SIGSTOP)
        self.is_frozen = True

    def thaw(self) -> None:
        """Resumes a frozen process."""
        self.process.send_signal(signal.SIGCONT)
        self.is_frozen = False
