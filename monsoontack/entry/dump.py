"""State dump of an entry for operators."""

from monsoontack.entry.context import EntryContext
from monsoontack.entry.links import Link
from monsoontack.entry.session import GenerationSession
from monsoontack.ledger.service import Ledger


def state_dump(context: EntryContext) -> dict:
    """Return the state of the entry as a JSON-compatible dict."""
    now = context.now()
    view = context.view()
    settings = context.settings
    calls = context.calls
    return {
        "entry": settings.name,
        "failure_domain": settings.failure_domain,
        "region": settings.region,
        "revision": view.revision,
        "ready": context.is_ready(),
        "control": context.control.dump() if context.control else None,
        "draining": context.draining,
        "requests_in_progress": context.requests_in_progress,
        "routing": context.routing.dump(now) if context.routing else None,
        "members": context.pool.members.dump() if context.pool.members else None,
        "links": [_link_state(link, now) for link in context.pool.links.values()],
        "generations": [
            _session_state(session, now)
            for session in context.generations.sessions.values()
        ],
        "calls": calls.describe() if isinstance(calls, Ledger) else None,
        "counters": dict(sorted(context.counters.totals.items())),
    }


def _link_state(link: Link, now: float) -> dict:
    load = link.load
    return {
        "address": link.address,
        "up": link.is_up,
        "leaving": link.is_leaving,
        "service": link.info.service if link.info else None,
        "versions": list(link.info.versions) if link.info else [],
        "frame_age_s": round(now - link.progress.last_frame_at, 3),
        "running": load.running if load else None,
        "queued": load.queued if load else None,
        "slots": load.slots if load else None,
    }


def _session_state(session: GenerationSession, now: float) -> dict:
    state = session.state
    return {
        "generation": session.generation,
        "service": session.request.route.service,
        "account": session.request.route.account,
        "attempt": session.attempt_log.attempt,
        "agent": state.address,
        "phase": str(state.phase),
        "position": session.attempt_log.end_position,
        "delivered": session.delivered_position,
        "age_s": round(now - session.started_at, 3),
        "recoveries": state.attempts_by_cause,
        "dropped_chunks": dict(session.attempt_log.dropped),
    }
