"""Settings of a loopback cluster, and generation of its controllers' settings files."""

import json
from dataclasses import dataclass, field
from typing import Optional

from controller import Controller

STATE_PORT, CLOUD_PORT = 2379, 8443
FRONT_PORT, PEER_PORT = 8080, 8082  # of the relays; the processes listen one port above


@dataclass
class Settings:
    """Settings shared by all controllers of a cluster."""

    zones: list[str]
    shards: Optional[str] = None  # XML elements inside <control>
    prefix: str = ""  # the first two octets of all addresses
    peer_port: int = PEER_PORT  # PEER_PORT + 1 bypasses the relays
    leader_lease_s: float = 2.0
    heartbeat_s: float = 0.25
    team_limits: dict[str, float] = field(default_factory=lambda: {"ops": 0.0})  # CPUs; 0: no limit
    workers: dict[str, float] = field(
        default_factory=lambda: {
            "report_s": 1.0,
            "lease_s": 8.0,
            "gang_wait_s": 10.0,
            "gang_peer_s": 2.0,
            "cancel_s": 16.0,
        }
    )

    def state_address(self) -> str:
        """The address of the state service."""
        return f"{self.prefix}.0.2"

    def cloud_address(self) -> str:
        """The address of the cloud."""
        return f"{self.prefix}.0.3"

    def controller_address(self, number: int) -> str:
        """The address of a controller."""
        return f"{self.prefix}.1.{number + 1}"

    def zone_of(self, number: int) -> str:
        """The zone of a controller or machine, assigned round-robin."""
        return self.zones[number % len(self.zones)]


def port_offset(controller: Controller, settings: Settings) -> int:
    """What is added to the ports to which a controller connects, where they identify it."""
    return controller.port_offset if settings.shards is None else 0


def peer_section(peer: Controller, controller: Controller, settings: Settings) -> str:
    """The section for a peer in a controller's settings."""
    return f"""
[[others]]
host_name = "{peer.name}"
area = "{peer.zone}"
endpoint = "{peer.address}:{settings.peer_port + port_offset(controller, settings)}"
"""


def team_section(name: str, limit: float) -> str:
    """The section for a team in the platform's settings."""
    return f"""
[[params.teams]]
name = "{name}"
cpus = 0
cpus_max = {limit}
gpus = 0
gpus_max = 0
"""


def platform_settings(controller: Controller, peers: list[Controller], settings: Settings) -> str:
    """The platform's settings of a controller (TOML)."""
    workers = "\n".join(f"{name} = {seconds}" for name, seconds in settings.workers.items())
    return f"""
host_name = "{controller.name}"
area = "{controller.zone}"
front = "{controller.address}:{FRONT_PORT + 1}"
peer_listen = "{controller.address}:{PEER_PORT + 1}"
{"".join(peer_section(peer, controller, settings) for peer in peers)}
[services]
cloud = "{settings.cloud_address()}:{CLOUD_PORT}"
state = "{settings.state_address()}:{STATE_PORT + port_offset(controller, settings)}"

[params]
zones = {json.dumps(settings.zones)}

{"".join(team_section(name, limit) for name, limit in settings.team_limits.items())}

[params.workers]
{workers}

[params.state]
rps = 2000
write_rps = 500
value_kb = 16
txn_ops = 32

[params.cloud]
rps = 50
list_lag_s = 1

[params.quota]
core_share = 1
memory_mb = 200
sockets = 800
"""


def operators_settings(settings: Settings) -> str:
    """The operators' settings (XML)."""
    control = ""
    if settings.shards:
        control = f'<control heartbeat_s="{settings.heartbeat_s}">{settings.shards}</control>'
    return f'<ospreywell>\n<election lease_s="{settings.leader_lease_s}"/>\n{control}\n</ospreywell>\n'
