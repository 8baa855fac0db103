"""State dump of a gateway for operators, served at `/state`."""

from typing import TYPE_CHECKING

from monsoontack.admission.crashblame import Blame
from monsoontack.admission.requestcontent import is_request
from monsoontack.gateway.fleet import Member

if TYPE_CHECKING:
    from monsoontack.gateway.daemon import GatewayDaemon


def dump_state(daemon: "GatewayDaemon") -> dict:
    """Return the state of a gateway as a document that JSON can encode."""
    config, now = daemon.config_state.config, daemon.gateway.now()
    gate = daemon.entry_exchange.gate
    limits, permits = gate.limits, gate.permits
    leaving = daemon.fleet.leaving
    config_state, relayed = daemon.config_state, daemon.relayed_stores
    blamed = daemon.gateway.guard.blamed
    fleet = daemon.fleet
    doubtful = set().union(
        *(fleet.doubtful(fleet.of_service(s), now) for s in fleet.by_service)
    )
    return {
        "name": daemon.settings.name,
        "ready": daemon.is_ready,
        "draining": daemon.draining,
        "config_version": config.version if config else None,
        "config_age_s": round(config_state.age_s(), 3) if config else None,
        "requests_in_progress": daemon.gateway.in_progress,
        "feeds": {f.kind: [f.revision, f.consecutive_failures] for f in daemon.feeds},
        "feeds_by_peer": sum(r.peer_reads for r in relayed),
        "feeds_by_store": sum(r.store_reads for r in relayed),
        "reads_through": relayed[0].plan.parent.name
        if relayed and relayed[0].plan.parent
        else None,
        "connections": {"opened": daemon.pool.opened, "reused": daemon.pool.reused},
        "limits": {
            key: [record.rate, record.version] for key, record in limits.records.items()
        },
        "waiting_servers": {
            key: round(left_s, 1) for key, left_s in gate.waits.waiting(now).items()
        },
        "leaving_servers": {
            name: {"start": leaving.starts_ms[name], "for_s": round(now - at, 1)}
            for name, at in leaving.noted_at.items()
        },
        "blocked_prompt_parts": {
            part: _blame_state(blame, now)
            for part, blame in blamed.items()
            if not is_request(part)
        },
        "blocked_requests": {
            part: _blame_state(blame, now)
            for part, blame in blamed.items()
            if is_request(part)
        },
        "waiting_streams": daemon.gateway.streams.admission.describe(),
        "limit_parent": permits.parent,
        "measured_engines": daemon.gateway.streams.speeds.state(),
        "measured_calls": daemon.gateway.calls.times.state(),
        "permits_expired": permits.expired_permits,
        "servers": [
            _server_state(daemon, member, doubtful, now)
            for member in daemon.fleet.members.values()
        ],
    }


def _blame_state(blame: Blame, now: float) -> dict:
    return {
        "accounts": None if blame.accounts is None else sorted(blame.accounts),
        "crashes": blame.crashes,
        "blocked_s": round(blame.until - now, 1),
    }


def _server_state(
    daemon: "GatewayDaemon", member: Member, doubtful: set[str], now: float
) -> dict:
    server = member.server
    return {
        "server": server.incarnation,
        "address": server.address,
        "service": server.service,
        "versions": list(server.versions),
        "in_flight": member.in_flight,
        "waiting_tokens": member.waiting_tokens,
        "held_tokens": member.held_tokens,
        "avoided": now < member.avoid_until,
        "doubtful": member.limit_key in doubtful,
        "pace": daemon.fleet.paces.pace_of(member),
        "may_get_requests": daemon.entry_exchange.gate.may_send(server.start_key, now),
        "share": round(daemon.fleet.ejection.traffic_share(server.start_key, now), 3),
    }
