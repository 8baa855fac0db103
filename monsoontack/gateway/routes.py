"""Matches requests to routes and accounts of the configuration in force."""

import random
from collections.abc import Sequence

from monsoontack.core.errors import RequestError
from monsoontack.gateway.configstate import ConfigState
from monsoontack.gateway.records import (
    CallerRequest,
    GatewayAccount,
    GatewayConfig,
    RequestKind,
    Route,
    Target,
)


def find_route(config: GatewayConfig, host: str, path: str) -> Route | None:
    """Return the route of `host` with the longest matching path prefix."""
    best = None
    for route in config.routes:
        if route.host != host or not path.startswith(route.path_prefix):
            continue
        if best is None or len(route.path_prefix) > len(best.path_prefix):
            best = route
    return best


def choose_service(targets: Sequence[Target], rng: random.Random) -> str:
    """Return a service, chosen at random by the weights of the targets."""
    if len(targets) == 1:
        return targets[0].service
    weights = [max(target.weight, 0.0) for target in targets]
    if not any(weights):
        return targets[0].service
    return rng.choices(targets, weights)[0].service


def stream_priorities(config: GatewayConfig) -> dict[str, frozenset[int]]:
    """Return the priorities that streams may have, by service.

    An account's priority replaces that of a route that needs a key.
    """
    accounts = list((config.accounts or {}).values())
    found: dict[str, set[int]] = {}
    for route in config.routes:
        if route.kind is not RequestKind.STREAM:
            continue
        priorities = {route.priority}
        if accounts and not route.anonymous:
            own = [account.priority for account in accounts]
            priorities = {route.priority if p is None else p for p in own}
        for target in route.targets:
            found.setdefault(target.service, set()).update(priorities)
    return {service: frozenset(priorities) for service, priorities in found.items()}


def authorize(
    config_state: ConfigState, request: CallerRequest
) -> tuple[Route, GatewayAccount | None] | RequestError:
    """Return the route and account of a request, or the error that rejects it.

    An unknown route or key is reported as such only if the configuration was confirmed
    recently. Otherwise the request is rejected as not run, so that the caller may
    retry, since a newer configuration may allow it. So is any request while a newer
    configuration may be in force elsewhere, which may not allow it.
    """
    config = config_state.config
    if config is None:
        message = "this entry has no configuration yet"
        return RequestError(
            503, "not_ready", message, retry_after_s=config_state.retry_after_s()
        )
    route = find_route(config, request.host, request.path)
    if route is None:
        if config_state.may_reject_unknown():
            return RequestError(404, "unknown_route", "no route matches")
        return _stale_config_error(config_state)
    if not config_state.may_use():
        return _stale_config_error(config_state)
    if config.accounts is None or route.anonymous:
        return route, None
    if not config_state.may_accept_keys():
        return _stale_config_error(config_state)
    account = config.accounts.get(request.key or "")
    if account is not None:
        return route, account
    if config_state.may_reject_unknown():
        return RequestError(401, "unknown_key", "the key belongs to no account")
    return _stale_config_error(config_state)


def _stale_config_error(config_state: ConfigState) -> RequestError:
    message = f"configuration unconfirmed for {config_state.age_s():.1f} s"
    return RequestError(
        503, "stale_config", message, retry_after_s=config_state.retry_after_s()
    )
