"""What each role holds and does at the target scale, from measured slopes."""

from collections.abc import Iterable
from dataclasses import dataclass

from bench.capacityslopes import TARGET, Measured, Target, frames_per_s


@dataclass(frozen=True, slots=True)
class Part:
    """One line of a role's account: what there is, and what it costs.

    `cores` and `memory` are None where the part has none or it was not
    measured, which `mechanism` then says.
    """

    name: str
    amount: float
    unit: str
    cores: float | None
    memory: float | None
    mechanism: str
    is_control: bool = True


def total(parts: Iterable[Part], field: str, control: bool | None = None) -> float:
    """Return the sum of a field over parts; `control` selects one kind."""
    chosen = [p for p in parts if control is None or p.is_control == control]
    return sum(getattr(part, field) or 0.0 for part in chosen)


def entry_parts(measured: Measured, target: Target = TARGET) -> list[Part]:
    """Return the account of an entry that does not hold the controller lease."""
    slope = measured.slope
    links = target.entry_links
    # At rest, the entry next to the holder exchanges one pull a second each way,
    # which stand in lines of their own.
    pulls = slope("entry.pull.sent_cpu") + slope("entry.pull.served_cpu")
    rest = measured.fits["entry.account.other_rest_cpu"].intercept - pulls
    base = measured.fits["entry.account.other_memory"].intercept
    changes = target.changes_per_s
    return [
        Part(
            "interpreter and libraries",
            1,
            "",
            None,
            measured.values["interpreter.entry"],
            "imports; outside the 32 MB",
            False,
        ),
        Part(
            "daemon without links, accounts and requests",
            1,
            "",
            rest,
            base - measured.values["interpreter.entry"],
            "servers, sessions, timers, watch of the head, lease reads",
        ),
        Part(
            "links at rest",
            links,
            "",
            links * slope("entry.link.rest_cpu"),
            links * slope("entry.link.memory"),
            "one gRPC stream per agent, heartbeats of idle links",
        ),
        Part(
            "client accounts",
            target.accounts,
            "",
            None,
            target.accounts * slope("entry.account.other_memory"),
            "published chunks and records, cached in memory",
        ),
        Part(
            "VM list",
            target.vms,
            "records",
            None,
            target.vms * slope("entry.vm_list.memory"),
            "polled; CPU of a poll not measured",
        ),
        Part(
            "gossip pulls sent",
            1,
            "1/s",
            slope("entry.pull.sent_cpu"),
            None,
            "gRPC call to one random peer a second",
        ),
        Part(
            "gossip pulls served",
            1,
            "1/s",
            slope("entry.pull.served_cpu"),
            None,
            "gRPC call of one peer a second on average",
        ),
        Part(
            "configuration changes",
            changes,
            "1/s",
            changes * slope(f"change.{target.accounts}.other_cpu"),
            None,
            "push, fetch of changed chunks, new view",
        ),
        *entry_work_parts(measured, target),
    ]


def entry_work_parts(measured: Measured, target: Target) -> list[Part]:
    """Return the account of an entry's generations, which is not control."""
    slope = measured.slope
    tokens = target.entry_tokens_per_s
    frames = frames_per_s(tokens, target.entry_links, target.tick_s)
    requests, running = target.entry_requests_per_s, target.running / target.entries
    return [
        Part(
            "frames with tokens",
            frames,
            "1/s",
            frames * slope("entry.frame.cpu"),
            None,
            "one frame per link and 25 ms tick",
            False,
        ),
        Part(
            "tokens delivered",
            tokens,
            "1/s",
            tokens * slope("entry.token.cpu"),
            None,
            "one SSE event per stream and frame",
            False,
        ),
        Part(
            "requests",
            requests,
            "1/s",
            requests * slope("entry.request.cpu"),
            None,
            "HTTP request, admission, routing, Start; one token included",
            False,
        ),
        Part(
            "running generations",
            running,
            "",
            None,
            running * slope("entry.generation.memory"),
            "HTTP connection, session, attempt log",
            False,
        ),
        Part(
            "delivered tokens kept",
            running * target.answer_tokens,
            "tokens",
            None,
            running * target.answer_tokens * slope("entry.history.memory"),
            "prefix for recovery; whole mean answer per running generation",
            False,
        ),
    ]


def agent_parts(measured: Measured, target: Target = TARGET) -> list[Part]:
    """Return the account of the agent beside one engine."""
    slope = measured.slope
    links, tokens = target.agent_links, target.agent_tokens_per_s
    frames = frames_per_s(tokens, links, target.tick_s)
    running = target.running / target.engines
    logged = tokens * target.kept_s + running * target.answer_tokens
    rest = measured.fits["agent.link.rest_cpu"]
    base = measured.fits["agent.link.memory"].intercept
    libraries = measured.values["interpreter.agent"]
    return [
        Part(
            "interpreter and libraries",
            1,
            "",
            None,
            libraries,
            "imports; outside the 32 MB",
            False,
        ),
        Part(
            "daemon without links and streams",
            1,
            "",
            rest.intercept,
            base - libraries,
            "server, polls of load, cache, versions and VM list",
        ),
        Part(
            "links at rest",
            links,
            "",
            links * rest.slope,
            links * slope("agent.link.memory"),
            "one gRPC stream per entry, heartbeats of idle links",
        ),
        Part(
            "tokens logged",
            logged,
            "tokens",
            None,
            logged * slope("agent.log.memory"),
            "stream log: 60 s after the end, and running answers",
            False,
        ),
        Part(
            "frames with tokens",
            frames,
            "1/s",
            frames * slope("agent.frame.cpu"),
            None,
            "one frame per link and 25 ms tick",
            False,
        ),
        Part(
            "tokens forwarded",
            tokens,
            "1/s",
            tokens * slope("agent.token.cpu"),
            None,
            "SSE event of the engine, log, chunk",
            False,
        ),
    ]


def controller_parts(measured: Measured, target: Target = TARGET) -> list[Part]:
    """Return what holding the controller lease adds to an entry."""
    slope, fits = measured.slope, measured.fits
    changes, accounts = target.changes_per_s, target.accounts
    memory = fits["entry.account.holder_memory"].at(accounts)
    memory -= fits["entry.account.other_memory"].at(accounts)
    cores = fits["entry.account.holder_rest_cpu"].at(accounts)
    cores -= fits["entry.account.other_rest_cpu"].at(accounts)
    return [
        Part(
            "lease, publisher and status at rest",
            1,
            "",
            cores,
            memory,
            "renewal every 2 s, lists every second; memory and CPU above another entry",
        ),
        Part(
            "evidence reports",
            target.reports_per_s,
            "1/s",
            target.reports_per_s * slope("controller.report.cpu"),
            None,
            "gRPC call from each entry, four routes each, at most 10 a second",
        ),
        Part(
            "published changes",
            changes,
            "1/s",
            changes * slope(f"change.{accounts}.holder_cpu"),
            None,
            "validation of the whole set, conditional updates, push",
        ),
        Part(
            "sequential tests of running rollouts",
            0,
            "",
            None,
            None,
            "not measured here: no rollout ran",
        ),
    ]


def client_parts(measured: Measured, target: Target = TARGET) -> list[Part]:
    """Return the cost of one answer in the client library."""
    slope = measured.slope
    tokens = target.answer_tokens
    return [
        Part(
            "interpreter and libraries",
            1,
            "",
            None,
            measured.values["interpreter.client"],
            "imports",
            False,
        ),
        Part(
            "open answer",
            1,
            "",
            None,
            slope("client.answer.memory"),
            "one HTTP connection",
            False,
        ),
        Part(
            "tokens of a mean answer",
            tokens,
            "tokens",
            slope("client.token.cpu") / target.token_gap_s,
            tokens * slope("client.history.memory"),
            "received tokens are kept, to resume at any entry",
            False,
        ),
    ]


ROLES = {
    "entry": entry_parts,
    "agent": agent_parts,
    "controller": controller_parts,
    "client": client_parts,
}
