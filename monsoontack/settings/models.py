"""Models of the settings files of the processes.

Each process reads one JSON file with the fields defined here; an unknown field is an
error. Addresses are `ip:port`. Durations are in seconds.
"""

import ipaddress
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field


def check_address(value: str) -> str:
    """Return `value` if it is `ip:port` with an IP address; raise ValueError if not."""
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(
            f"{value!r} is not ip:port with an IP number, such as 10.0.0.5:7001"
        ) from None
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{value!r} needs a port from 1 to 65535 after the colon")
    return value


Address = Annotated[str, AfterValidator(check_address)]
Seconds = Annotated[float, Field(gt=0)]


class Model(BaseModel):
    """Base of all models of external data: immutable, rejects unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ProcessSettings(Model):
    """Settings common to all processes."""

    name: str = Field(min_length=1, max_length=63)
    failure_domain: str = Field(min_length=1)
    region: str = Field(min_length=1)
    store_url: str = Field(pattern=r"^https?://")
    vm_list_url: str = Field(pattern=r"^https?://")
    statsd_address: Address | None = None
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    drain_deadline_s: Seconds = 30.0


class EntrySettings(ProcessSettings):
    """Settings of an entry daemon."""

    http_address: Address
    operator_address: Address
    peer_address: Address
    peers: tuple[Address, ...] = ()
    max_body_bytes: int = Field(default=1_000_000, gt=0)
    links_per_service: int = Field(default=16, gt=0)
    frame_silence_s: Seconds = 1.0
    idle_silence_s: Seconds = 9.0
    dispatch_window_s: Seconds = 5.0
    weight_load_bytes_s: float = Field(default=500_000_000.0, gt=0)
    rollout_min_step_s: Seconds = 30.0


class BackendSettings(Model):
    """Settings of the backend server that runs beside an agent."""

    url: str = Field(pattern=r"^https?://")
    kind: Literal["engine", "service"]
    service: str = Field(min_length=1)
    versions: tuple[str, ...] = ()
    slots: int = Field(default=16, gt=0)
    checks_fencing: bool = False


class AgentSettings(ProcessSettings):
    """Settings of an agent daemon."""

    vm: str = Field(min_length=1)
    link_address: Address
    operator_address: Address
    backend: BackendSettings
    tick_s: Seconds = 0.025
    heartbeat_s: Seconds = 0.5
    idle_heartbeat_s: Seconds = 4.0
    max_streams: int = Field(default=4096, gt=0)
    keep_ended_s: Seconds = 60.0
    orphan_timeout_s: Seconds = 30.0
