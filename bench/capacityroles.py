"""Costs of each role at the target scale, computed from measured slopes."""

from collections.abc import Iterable
from dataclasses import dataclass

from bench.capacityslopes import TARGET_SCALE, RunResults, TargetScale, frames_per_s


@dataclass(frozen=True, slots=True)
class CostItem:
    """Cost of one kind of state or work of a role.

    `cores` or `memory` is None if the item has no such cost or it was not measured;
    `mechanism` then says so.
    """

    name: str
    amount: float
    unit: str
    cores: float | None
    memory: float | None
    mechanism: str
    is_control: bool = True


def total_cost(
    costs: Iterable[CostItem], field: str, is_control: bool | None = None
) -> float:
    """Return the sum of a field over items.

    `is_control` selects control items or all others; None selects both.
    """
    selected = [
        item for item in costs if is_control is None or item.is_control == is_control
    ]
    return sum(getattr(item, field) or 0.0 for item in selected)


def entry_costs(
    results: RunResults, target: TargetScale = TARGET_SCALE
) -> list[CostItem]:
    """Return the costs of an entry that does not hold the controller lease."""
    slope = results.slope
    links = target.entry_links
    # The idle entry of the measurement sends one pull per second to the holder and
    # serves one. Pulls are items of their own, so they are subtracted here.
    pulls = slope("entry.pull.sent_cpu") + slope("entry.pull.served_cpu")
    rest = results.fits["entry.account.other_rest_cpu"].intercept - pulls
    base = results.fits["entry.account.other_memory"].intercept
    changes = target.changes_per_s
    return [
        CostItem(
            "interpreter and libraries",
            1,
            "",
            None,
            results.values["interpreter.entry"],
            "imports; outside the 32 MB",
            False,
        ),
        CostItem(
            "daemon without links, accounts and requests",
            1,
            "",
            rest,
            base - results.values["interpreter.entry"],
            "servers, sessions, timers, watch of the head, lease reads",
        ),
        CostItem(
            "links at rest",
            links,
            "",
            links * slope("entry.link.rest_cpu"),
            links * slope("entry.link.memory"),
            "one gRPC stream per agent, heartbeats of idle links",
        ),
        CostItem(
            "client accounts",
            target.accounts,
            "",
            None,
            target.accounts * slope("entry.account.other_memory"),
            "published chunks and records, cached in memory",
        ),
        CostItem(
            "VM list",
            target.vms,
            "records",
            None,
            target.vms * slope("entry.vm_list.memory"),
            "polled; CPU of a poll not measured",
        ),
        CostItem(
            "gossip pulls sent",
            1,
            "1/s",
            slope("entry.pull.sent_cpu"),
            None,
            "gRPC call to one random peer a second",
        ),
        CostItem(
            "gossip pulls served",
            1,
            "1/s",
            slope("entry.pull.served_cpu"),
            None,
            "gRPC call of one peer a second on average",
        ),
        CostItem(
            "configuration changes",
            changes,
            "1/s",
            changes * slope(f"change.{target.accounts}.other_cpu"),
            None,
            "push, fetch of changed chunks, new view",
        ),
        *entry_request_costs(results, target),
    ]


def entry_request_costs(results: RunResults, target: TargetScale) -> list[CostItem]:
    """Return the costs of an entry's requests, which do not count as control."""
    slope = results.slope
    tokens = target.entry_tokens_per_s
    frames = frames_per_s(tokens, target.entry_links, target.tick_s)
    requests, running = (
        target.entry_requests_per_s,
        target.running_generations / target.entries,
    )
    return [
        CostItem(
            "frames with tokens",
            frames,
            "1/s",
            frames * slope("entry.frame.cpu"),
            None,
            "one frame per link and 25 ms tick",
            False,
        ),
        CostItem(
            "tokens delivered",
            tokens,
            "1/s",
            tokens * slope("entry.token.cpu"),
            None,
            "one SSE event per stream and frame",
            False,
        ),
        CostItem(
            "requests",
            requests,
            "1/s",
            requests * slope("entry.request.cpu"),
            None,
            "HTTP request, admission, routing, Start; one token included",
            False,
        ),
        CostItem(
            "running generations",
            running,
            "",
            None,
            running * slope("entry.generation.memory"),
            "HTTP connection, session, attempt log",
            False,
        ),
        CostItem(
            "delivered tokens kept",
            running * target.mean_answer_tokens,
            "tokens",
            None,
            running * target.mean_answer_tokens * slope("entry.history.memory"),
            "prefix for recovery; whole mean answer per running generation",
            False,
        ),
    ]


def agent_costs(
    results: RunResults, target: TargetScale = TARGET_SCALE
) -> list[CostItem]:
    """Return the costs of the agent of one engine."""
    slope = results.slope
    links, tokens = target.agent_links, target.agent_tokens_per_s
    frames = frames_per_s(tokens, links, target.tick_s)
    running = target.running_generations / target.engines
    logged_tokens = (
        tokens * target.log_retention_s + running * target.mean_answer_tokens
    )
    rest = results.fits["agent.link.rest_cpu"]
    base = results.fits["agent.link.memory"].intercept
    libraries = results.values["interpreter.agent"]
    return [
        CostItem(
            "interpreter and libraries",
            1,
            "",
            None,
            libraries,
            "imports; outside the 32 MB",
            False,
        ),
        CostItem(
            "daemon without links and streams",
            1,
            "",
            rest.intercept,
            base - libraries,
            "server, polls of load, cache, versions and VM list",
        ),
        CostItem(
            "links at rest",
            links,
            "",
            links * rest.slope,
            links * slope("agent.link.memory"),
            "one gRPC stream per entry, heartbeats of idle links",
        ),
        CostItem(
            "tokens logged",
            logged_tokens,
            "tokens",
            None,
            logged_tokens * slope("agent.log.memory"),
            "stream log: 60 s after the end, and running answers",
            False,
        ),
        CostItem(
            "frames with tokens",
            frames,
            "1/s",
            frames * slope("agent.frame.cpu"),
            None,
            "one frame per link and 25 ms tick",
            False,
        ),
        CostItem(
            "tokens forwarded",
            tokens,
            "1/s",
            tokens * slope("agent.token.cpu"),
            None,
            "SSE event of the engine, log, chunk",
            False,
        ),
    ]


def controller_costs(
    results: RunResults, target: TargetScale = TARGET_SCALE
) -> list[CostItem]:
    """Return the additional costs of the entry that holds the controller lease."""
    slope, fits = results.slope, results.fits
    changes, accounts = target.changes_per_s, target.accounts
    memory = fits["entry.account.holder_memory"].value_at(accounts)
    memory -= fits["entry.account.other_memory"].value_at(accounts)
    cores = fits["entry.account.holder_rest_cpu"].value_at(accounts)
    cores -= fits["entry.account.other_rest_cpu"].value_at(accounts)
    return [
        CostItem(
            "lease, publisher and status at rest",
            1,
            "",
            cores,
            memory,
            "renewal every 2 s, lists every second; memory and CPU above another entry",
        ),
        CostItem(
            "evidence reports",
            target.reports_per_s,
            "1/s",
            target.reports_per_s * slope("controller.report.cpu"),
            None,
            "gRPC call from each entry, four routes each, at most 10 a second",
        ),
        CostItem(
            "published changes",
            changes,
            "1/s",
            changes * slope(f"change.{accounts}.holder_cpu"),
            None,
            "validation of the whole set, conditional updates, push",
        ),
        CostItem(
            "sequential tests of running rollouts",
            0,
            "",
            None,
            None,
            "not measured here: no rollout ran",
        ),
    ]


def client_costs(
    results: RunResults, target: TargetScale = TARGET_SCALE
) -> list[CostItem]:
    """Return the costs of one answer in the client library."""
    slope = results.slope
    tokens = target.mean_answer_tokens
    return [
        CostItem(
            "interpreter and libraries",
            1,
            "",
            None,
            results.values["interpreter.client"],
            "imports",
            False,
        ),
        CostItem(
            "open answer",
            1,
            "",
            None,
            slope("client.answer.memory"),
            "one HTTP connection",
            False,
        ),
        CostItem(
            "tokens of a mean answer",
            tokens,
            "tokens",
            slope("client.token.cpu") / target.token_gap_s,
            tokens * slope("client.history.memory"),
            "received tokens are kept, to resume at any entry",
            False,
        ),
    ]


COSTS_BY_ROLE = {
    "entry": entry_costs,
    "agent": agent_costs,
    "controller": controller_costs,
    "client": client_costs,
}
