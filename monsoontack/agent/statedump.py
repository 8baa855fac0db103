"""State dump of an agent for operators."""

from typing import TYPE_CHECKING

from monsoontack.agent.streamlog import describe_streams

if TYPE_CHECKING:
    from monsoontack.agent.core import Agent


def describe_agent(agent: "Agent") -> dict:
    """Return the state of an agent as a document that JSON can encode."""
    load, statements = agent.engine_view.load, agent.statements
    now = agent.now()
    return {
        "name": agent.settings.name,
        "vm": agent.identity.vm,
        "incarnation": agent.identity.incarnation,
        "phase": str(agent.drain.phase),
        "revision": agent.revision,
        "versions": list(agent.engine_view.versions),
        "load": None
        if load is None
        else {
            "running": load.running,
            "queued": load.queued,
            "slots": load.slots,
            "age_s": now - load.reported_at,
        },
        "backend_leaving": statements.is_leaving,
        "backend_waits_s": round(sum(statements.waits.waiting(now).values()), 1),
        "order_fence": agent.order_fence.highest,
        "call_fences": len(agent.call_fences.highest_fences),
        "calls_running": agent.calls_running,
        "log_tokens": agent.streams.token_count,
        "streams": describe_streams(agent.streams.streams.values()),
        "links": [
            {"number": link.number, "entry": link.entry, "frames": link.sequence}
            for link in agent.links.values()
        ],
        "counters": dict(agent.counters.totals),
    }
