"""Reads the platform's settings file of a process (TOML) into GatewaySettings."""

import os
from dataclasses import replace
from pathlib import Path
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from monsoontack.core.errors import FieldError, FieldErrors
from monsoontack.core.records import Place
from monsoontack.gateway.settings import GatewaySettings
from monsoontack.inbound.limits import InboundLimits, caller_connections

SETTINGS_PATH_VARIABLE = "MONSOONTACK_BOOT"
DEFAULT_SETTINGS_PATH = "/etc/monsoontack/node.toml"
BYTES_PER_MEGABYTE = 1_000_000


# A limit where 0 means derived from other limits, or off.
_Limit = Annotated[int, msgspec.Meta(ge=0)]


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Limits(msgspec.Struct):
    memory_mb: float
    max_fds: Annotated[int, msgspec.Meta(ge=1)] | None = None


class _Inbound(msgspec.Struct):
    """Limits on callers, as in `InboundLimits`."""

    header_lines: _Limit = 0
    line_bytes: _Limit = 0
    empty_lines: _Limit = 0
    connections_per_address: _Limit = 0
    connections: _Limit = 0
    min_body_bytes_s: _Limit = InboundLimits().min_body_bytes_s

    def limits(self, max_fds: int | None) -> InboundLimits:
        """Return the limits; that on all connections follows from the descriptors."""
        limits = InboundLimits(**msgspec.structs.asdict(self))
        return replace(
            limits, connections=limits.connections or caller_connections(max_fds)
        )


class _Bounds(msgspec.Struct):
    """Limits that the gateway must keep; `retry_*` apply to all entries together.

    `config_apply_ms` bounds the time until a new configuration is in force, and
    `drain_ms` the time until no entry uses a server that is leaving.
    """

    grace_s: float = 8.0
    revoke_ms: float = 5000.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_extra: float = 10.0
    canary_share: float = 0.05
    canary_tolerance: float = 10.0
    config_apply_ms: float = 2500.0
    drain_ms: float = 2500.0


class _Platform(msgspec.Struct):
    """The platform's store: its address and the request rates of all processes."""

    address: str
    writes_per_s: float = 100.0
    reads_per_s: float = 500.0


class _File(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    region: str
    port_range: tuple[int, int]
    listen: _Listen
    limits: _Limits
    platform: _Platform
    zones: dict[str, str]
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    inbound: _Inbound = msgspec.field(default_factory=_Inbound)
    # True only at the very first start of the whole system.
    first_start: bool = False


def settings_path() -> Path:
    """Return the path of the settings file that the platform provides."""
    return Path(os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH))


def read_settings(path: Path) -> Result[tuple[GatewaySettings, dict], FieldErrors]:
    """Return the settings and the region of each failure domain, or the errors."""
    try:
        file = msgspec.toml.decode(path.read_bytes(), type=_File)
    except (OSError, msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(FieldErrors((FieldError(str(path), "", str(error)),)))
    bounds = file.bounds
    settings = GatewaySettings(
        name=file.node_name,
        place=Place(file.zone, file.region),
        front_address=file.listen.front,
        ready_address=file.listen.ready,
        operator_address=f"{file.ip}:{file.port_range[0]}",
        peer_address=f"{file.ip}:{file.port_range[0] + 1}",
        store_address=file.platform.address,
        memory_bytes=int(file.limits.memory_mb * BYTES_PER_MEGABYTE),
        revoke_s=bounds.revoke_ms / 1000,
        grace_s=bounds.grace_s,
        retry_ratio=bounds.retry_ratio,
        retry_extra=bounds.retry_extra,
        retry_window_s=bounds.retry_window_s,
        canary_share=bounds.canary_share,
        canary_tolerance=bounds.canary_tolerance,
        is_first_start=file.first_start,
        max_fds=file.limits.max_fds,
        inbound=file.inbound.limits(file.limits.max_fds),
        config_apply_s=bounds.config_apply_ms / 1000,
        propagation_limit_s=min(bounds.config_apply_ms, bounds.drain_ms) / 1000,
    )
    return Success((settings, file.zones))
