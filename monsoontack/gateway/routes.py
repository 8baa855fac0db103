"""Matches requests to routes and accounts of the configuration in force."""

import random
from collections.abc import Sequence

from monsoontack.core.errors import RequestError
from monsoontack.gateway.knowledge import ConfigKnowledge
from monsoontack.gateway.records import (
    CallerRequest,
    GatewayAccount,
    GatewayConfig,
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


def choose_target(targets: Sequence[Target], rng: random.Random) -> str:
    """Return a service, chosen at random by the weights of the targets."""
    if len(targets) == 1:
        return targets[0].service
    weights = [max(target.weight, 0.0) for target in targets]
    if not any(weights):
        return targets[0].service
    return rng.choices(targets, weights)[0].service


def authorize(
    knowledge: ConfigKnowledge, request: CallerRequest
) -> tuple[Route, GatewayAccount | None] | RequestError:
    """Return the route and account of a request, or the error that rejects it.

    An unknown route or key is reported as such only if the configuration was confirmed
    recently. Otherwise the request is rejected as not run, so that the caller may
    retry, since a newer configuration may allow it.
    """
    config = knowledge.config
    if config is None:
        message = "this entry has no configuration yet"
        return RequestError(
            503, "not_ready", message, retry_after_s=knowledge.retry_after_s()
        )
    route = find_route(config, request.host, request.path)
    if route is None:
        if knowledge.may_deny():
            return RequestError(404, "unknown_route", "no route matches")
        return _stale(knowledge)
    if config.accounts is None or route.anonymous:
        return route, None
    if not knowledge.may_trust_keys():
        return _stale(knowledge)
    account = config.accounts.get(request.key or "")
    if account is not None:
        return route, account
    if knowledge.may_deny():
        return RequestError(401, "unknown_key", "the key belongs to no account")
    return _stale(knowledge)


def _stale(knowledge: ConfigKnowledge) -> RequestError:
    message = f"configuration unconfirmed for {knowledge.age_s():.1f} s"
    return RequestError(
        503, "stale_config", message, retry_after_s=knowledge.retry_after_s()
    )
