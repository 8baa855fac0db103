"""Objects of the platform's store, decoded into the gateway's types.

Operators and servers write these objects; what cannot be read names nothing to
use and harms no other entry.
"""

from typing import Any

import msgspec
import structlog

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
READY = "ready"
DRAINING = "draining"
KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.ONCE,
    "stream": RequestKind.STREAM,
}


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    """A route; `slo_ms` is the time of a good answer, `anonymous` needs no key."""

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
    # Longest pause between events of a stream that is on time.
    itl_target_ms: float = 1000.0


class _Backend(msgspec.Struct):
    """Traits of a service's engines; `kv_capacity` is memory in tokens."""

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
    """What a server says of itself; `version` is that of its software.

    `born` is the Unix millisecond of its start: a server may start again under its
    former name.
    """

    service: str
    address: str
    zone: str
    state: str
    version: str
    slots: int
    cold_left_ms: float = 0.0
    born: int = 0


def decode_config(spec: Any) -> GatewayConfig | None:
    """Return the configuration, None if it cannot be read."""
    try:
        config = msgspec.convert(spec, _Config)
        routes = tuple(_route(route) for route in config.routes)
    except (msgspec.ValidationError, KeyError, ValueError) as error:
        log.error("configuration cannot be read", error=str(error))
        return None
    return GatewayConfig(
        version=config.version,
        routes=routes,
        services={item.name: _service(item) for item in config.services},
        limits=CallerLimits(
            header_bytes=config.limits.max_header_bytes,
            body_bytes=config.limits.max_body_bytes,
            header_timeout_s=config.limits.header_timeout_ms / 1000,
            idle_timeout_s=config.limits.idle_timeout_ms / 1000,
        ),
        accounts=_accounts(config.tenants),
    )


def _route(route: _Route) -> Route:
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
        kind=KINDS[route.kind],
        targets=targets,
        timeout_s=route.timeout_ms / 1000,
        objective_s=route.slo_ms / 1000,
        attempts=max(route.attempts, 1),
        priority=route.priority,
        anonymous=route.anonymous,
        resumable=route.resumable,
        max_gap_s=route.itl_target_ms / 1000,
    )


def _service(service: _Service) -> ServiceTraits:
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


def _accounts(tenants: list[_Tenant] | None) -> dict[str, GatewayAccount] | None:
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
    """Return a server and whether it leaves, None if the entry names none.

    `regions` gives the region of each failure domain.
    """
    try:
        server = msgspec.convert(spec, _Server)
        _check_name(name)
        _check_address(server.address)
    except (msgspec.ValidationError, ValueError) as error:
        log.warning("entry of a server cannot be read", server=name, error=str(error))
        return None
    if server.state not in (READY, DRAINING) or server.zone not in regions:
        log.warning(
            "entry of a server names an unknown state or failure domain",
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
        cold_left_s=max(server.cold_left_ms, 0.0) / 1000,
    )
    return record, server.state == DRAINING


class _Rollout(msgspec.Struct):
    """An order: `over_s` seconds to move a service to the version `target`."""

    service: str
    target: str
    over_s: float


# The platform's words for the states of an order. A move is `running` both while
# the new version gets a small share and while it takes over.
RUNNING = "running"
ENDED_STATES = {"complete": Phase.COMPLETE, "reverted": Phase.REVERTED}
STATE_WORDS = {Phase.COMPLETE: "complete", Phase.REVERTED: "reverted"}


def decode_order(item: KindObject) -> StoredOrder | None:
    """Return an operator's order with its phase, None if it cannot be read."""
    try:
        order = msgspec.convert(item.spec, _Rollout)
    except msgspec.ValidationError as error:
        log.error("rollout cannot be read", name=item.name, error=str(error))
        return None
    status = item.status if isinstance(item.status, dict) else {}
    phase = Phase.CANARY
    if status.get("target") == order.target:
        phase = ENDED_STATES.get(status.get("state"), Phase.CANARY)
        if status.get("state") == RUNNING and status.get("phase") == Phase.MOVING:
            phase = Phase.MOVING
    found = RolloutOrder(order.service, order.target, order.over_s, phase)
    return StoredOrder(f"{ROLLOUTS_KIND}/{item.name}", item.revision, found)


def encode_status(order: RolloutOrder, phase: str) -> dict[str, str]:
    """Return the status of an order for operators."""
    state = STATE_WORDS.get(Phase(phase), RUNNING)
    return {"state": state, "target": order.target, "phase": phase}


def _check_name(name: str) -> None:
    """A name goes into a header of each request to its server."""
    if not name or not name.isascii() or not name.isprintable():
        raise ValueError(f"name {name!r} is not printable")


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"address {address!r} is not ip:port")
