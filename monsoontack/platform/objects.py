"""Decoding of the objects of the platform's store into the gateway's types.

Operators and servers write these objects. A malformed object is logged and not used;
it does not affect the other objects.
"""

from typing import Annotated, Any

import msgspec
import structlog

from monsoontack.core.address import parse_address
from monsoontack.core.records import BackendServer, Place
from monsoontack.gateway.records import (
    CallerLimits,
    EngineTraits,
    GatewayAccount,
    GatewayConfig,
    RequestKind,
    Route,
    ServiceTraits,
    Target,
)
from monsoontack.gateway.rollouts import StoredOrder
from monsoontack.rollout.order import Phase, RolloutOrder
from monsoontack.store.api import KindObject

log = structlog.get_logger("platform.objects")

CONFIG_KIND = "config"
CONFIG_NAME = "main"
SERVERS_KIND = "servers"
ROLLOUTS_KIND = "rollouts"
READY_STATE = "ready"
DRAINING_STATE = "draining"
# Names are sent in a header with each request to a server.
MAX_NAME_CHARACTERS = 255
MAX_SLOTS = 1_000_000
# Unix milliseconds up to the year 2109; a later start would outrank all others.
MAX_UNIX_MS = 2**42
# A server that is slower for longer than this after its start is no slower than others.
MAX_COLD_MS = 3_600_000.0
# What conversion raises for documents that don't fit a model.
CONVERSION_ERRORS = (
    msgspec.ValidationError,
    KeyError,
    TypeError,
    ValueError,
    OverflowError,
    RecursionError,
)
REQUEST_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.ONCE,
    "stream": RequestKind.STREAM,
}


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    """A route.

    `slo_ms` is the latency objective of a response. An `anonymous` route needs no key.
    """

    name: str
    hostname: str
    path_prefix: str
    kind: str
    timeout_ms: float
    slo_ms: float = 1000.0
    service: str | None = None
    split: list[_Split] | None = None
    attempts: int = 1
    priority: int = 5
    anonymous: bool = False
    resumable: bool = False
    # Longest gap between events of a stream that meets its objective.
    itl_target_ms: float = 1000.0


class _Backend(msgspec.Struct):
    """Traits of a service's engines; `kv_capacity` is the KV cache size in tokens."""

    slots: int = 1
    kv_capacity: int = 0
    backups: bool = False
    handle_ttl_s: float = 0.0


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 0
    backend: _Backend | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Server(msgspec.Struct):
    """Record that a server publishes about itself; `version` is its software version.

    `born` is the Unix time of its start in milliseconds: it distinguishes a server from
    an earlier one of the same name.
    """

    service: str
    address: str
    zone: str
    state: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
    cold_left_ms: float = 0.0
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)] = 0


def decode_config(spec: Any) -> GatewayConfig | None:
    """Return the decoded configuration, or None if it is malformed."""
    try:
        config = msgspec.convert(spec, _Config)
        routes = tuple(_decode_route(route) for route in config.routes)
    except CONVERSION_ERRORS as error:
        log.error("ignoring malformed configuration", error=str(error))
        return None
    return GatewayConfig(
        version=config.version,
        routes=routes,
        services={item.name: _decode_service(item) for item in config.services},
        limits=CallerLimits(
            header_bytes=config.limits.max_header_bytes,
            body_bytes=config.limits.max_body_bytes,
            header_timeout_s=config.limits.header_timeout_ms / 1000,
            idle_timeout_s=config.limits.idle_timeout_ms / 1000,
        ),
        accounts=_accounts_by_key(config.tenants),
    )


def config_rank(item: KindObject) -> int | None:
    """Return the version of a configuration object, None if it cannot be used."""
    config = decode_config(item.spec) if item.name == CONFIG_NAME else None
    return None if config is None else config.version


def _decode_route(route: _Route) -> Route:
    if route.split:
        targets = tuple(Target(item.service, item.weight) for item in route.split)
    elif route.service is not None:
        targets = (Target(route.service, 1.0),)
    else:
        raise ValueError(f"route {route.name!r} names no service")
    return Route(
        name=route.name,
        host=route.hostname.lower(),
        path_prefix=route.path_prefix,
        kind=REQUEST_KINDS[route.kind],
        targets=targets,
        timeout_s=route.timeout_ms / 1000,
        objective_s=route.slo_ms / 1000,
        attempts=max(route.attempts, 1),
        priority=route.priority,
        anonymous=route.anonymous,
        resumable=route.resumable,
        max_gap_s=route.itl_target_ms / 1000,
    )


def _decode_service(service: _Service) -> ServiceTraits:
    backend = service.backend
    engine = None
    if backend is not None:
        engine = EngineTraits(
            slots=backend.slots,
            memory_tokens=backend.kv_capacity,
            supports_kv_backup=backend.backups,
            copy_ttl_s=backend.handle_ttl_s,
        )
    return ServiceTraits(service.name, service.max_conns, engine)


def _accounts_by_key(tenants: list[_Tenant] | None) -> dict[str, GatewayAccount] | None:
    if tenants is None:
        return None
    return {
        key: GatewayAccount(tenant.name, tenant.priority)
        for tenant in tenants
        for key in tenant.api_keys
    }


def decode_server(
    name: str, spec: Any, regions: dict[str, str]
) -> tuple[BackendServer, bool] | None:
    """Return a server and whether it is leaving, or None for an unusable record.

    `regions` maps each failure domain to its region.
    """
    try:
        server = msgspec.convert(spec, _Server)
        _check_name(name)
        parse_address(server.address)
    except CONVERSION_ERRORS as error:
        log.warning(
            "malformed server record; server not used",
            server=f"{name!a:.80}",
            error=str(error),
        )
        return None
    if server.state not in (READY_STATE, DRAINING_STATE) or server.zone not in regions:
        log.warning(
            "unknown state or failure domain in server record; server not used",
            server=name,
            state=server.state,
            failure_domain=server.zone,
        )
        return None
    place = Place(server.zone, regions[server.zone])
    record = BackendServer(
        address=server.address,
        vm=name,
        kind="engine",
        service=server.service,
        versions=(server.version,),
        place=place,
        slots=server.slots,
        incarnation=name,
        started_unix_ms=server.born,
        cold_left_s=min(max(server.cold_left_ms, 0.0), MAX_COLD_MS) / 1000,
    )
    return record, server.state == DRAINING_STATE


class _Rollout(msgspec.Struct):
    """An order to move a service to the version `target` over `over_s` seconds."""

    service: str
    target: str
    over_s: float


# States of an order in the platform's terms. A rollout is `running` both in the canary
# phase and while the traffic moves to the new version.
RUNNING_STATE = "running"
FINAL_STATE_PHASES = {"complete": Phase.COMPLETE, "reverted": Phase.REVERTED}
FINAL_PHASE_STATES = {Phase.COMPLETE: "complete", Phase.REVERTED: "reverted"}


def decode_order(item: KindObject) -> StoredOrder | None:
    """Return an operator's order with its phase, or None if it is malformed."""
    try:
        order = msgspec.convert(item.spec, _Rollout)
    except CONVERSION_ERRORS as error:
        log.error("ignoring malformed rollout order", name=item.name, error=str(error))
        return None
    status = item.status if isinstance(item.status, dict) else {}
    phase = Phase.CANARY
    if status.get("target") == order.target:
        state = status.get("state")
        if isinstance(state, str):
            phase = FINAL_STATE_PHASES.get(state, Phase.CANARY)
        if state == RUNNING_STATE and status.get("phase") == Phase.MOVING:
            phase = Phase.MOVING
    decoded = RolloutOrder(order.service, order.target, order.over_s, phase)
    return StoredOrder(f"{ROLLOUTS_KIND}/{item.name}", item.revision, decoded)


def encode_status(order: RolloutOrder, phase: str) -> dict[str, str]:
    """Return the status of an order as it is stored for operators."""
    state = FINAL_PHASE_STATES.get(Phase(phase), RUNNING_STATE)
    return {"state": state, "target": order.target, "phase": phase}


def _check_name(name: str) -> None:
    """Raise ValueError unless the name can be sent as a header value.

    Each request to the server carries the server's name in a header.
    """
    is_text = name.isascii() and name.isprintable()
    if not is_text or not 0 < len(name) <= MAX_NAME_CHARACTERS:
        raise ValueError(f"name {name!a:.80} is empty, too long or not printable ASCII")
