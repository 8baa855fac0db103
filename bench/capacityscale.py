"""Every figure of the target scale with its answer, and what failures cost."""

from collections.abc import Mapping
from dataclasses import replace

from bench import capacitytables
from bench.capacityroles import ROLES, total
from bench.capacityslopes import TARGET, Measured, Target
from bench.capacitytables import (
    HEARTBEAT_S,
    control_sums,
    gossip_bytes,
    link_bytes,
    number,
    quantity,
    table,
    verdict,
)
from monsoontack.config.gossip import WATCH_TIMEOUT_S
from monsoontack.settings.models import AgentSettings, EntrySettings
from monsoontack.store.lease import (
    CANDIDATE_COUNT,
    CANDIDATE_READ_INTERVAL_S,
    RENEW_INTERVAL_S,
    STANDBY_CHECKS_PER_S,
)

WATCHERS_PER_DOMAIN = 2
NOT_MEASURED = "not measured by this script"
LONGER_TICK_S = 0.05
DAY_S = 86_400
Row = tuple[str, str, str, str]


def cores(role: str, measured: Measured, target: Target = TARGET) -> float:
    """Return the CPU of a daemon at peak, control and requests together."""
    return total(ROLES[role](measured, target), "cores")


def load_rows(measured: Measured, target: Target) -> list[Row]:
    """Return the rows on requests and tokens per daemon and core."""
    rows = []
    slower = replace(target, tick_s=LONGER_TICK_S)
    daemons = (
        ("entry", target.entry_requests_per_s, target.entry_tokens_per_s),
        ("agent", target.requests_per_s / target.engines, target.agent_tokens_per_s),
    )
    for role, requests, tokens in daemons:
        need = cores(role, measured, target)
        load = f"{number(requests)} requests and {number(tokens)} tokens a second"
        answer = (
            f"needs {quantity(need, 'core')}; one core carries"
            f" {number(tokens / need)} tokens a second, control included"
        )
        if need <= 1:
            change = "one loop suffices; met in CPU time"
        else:
            later = cores(role, measured, slower)
            change = (
                f"**not met** by one process: {number(need)} processes per VM, or"
                f" {number(need)} times the entries; a tick of"
                f" {quantity(LONGER_TICK_S, 's')} would need"
                f" {quantity(later, 'core')}"
            )
        doubts = {
            f"`{name}`{capacitytables.doubt(line)}"
            for name, line in measured.fits.items()
            if name in (f"{role}.token.cpu", f"{role}.frame.cpu")
            and capacitytables.doubt(line)
        }
        answer = "; ".join([answer, *sorted(doubts)])
        rows.append((f"peak per {role}", load, answer, change))
    return rows


def latency_rows(measured: Measured, target: Target) -> list[Row]:
    """Return the rows on latency and recovery."""
    tick = AgentSettings.model_fields["tick_s"].default
    silence = EntrySettings.model_fields["frame_silence_s"].default
    use = quantity(cores("entry", measured, target), "core")
    return [
        (
            "first token",
            "0.31 s at p95",
            NOT_MEASURED,
            f"an entry at peak uses {use}, which bounds what queueing allows",
        ),
        (
            "token gap",
            f"{quantity(target.token_gap_s, 's')} at p95",
            NOT_MEASURED,
            f"the agent's tick adds at most {quantity(tick, 's')}",
        ),
        (
            "resume, 7% long generations",
            "5 s",
            NOT_MEASURED,
            f"silence counts after {quantity(silence, 's')}; prefixes are kept in the"
            " entry, the agent's log and the client (tables above)",
        ),
    ]


def configuration_rows(
    measured: Measured, spread: Mapping[str, float], target: Target
) -> list[Row]:
    """Return the rows on accounts, models and changes.

    `spread` are figures of the measurement `spread` by name.
    """
    accounts = target.accounts * measured.slope("entry.account.other_memory")
    per_change = measured.slope(f"change.{target.accounts}.holder_cpu")
    in_force = spread.get("spread.in_force.at_390")
    answer = NOT_MEASURED
    if in_force is not None:
        state = "met" if in_force <= 9 else "**not met**"
        answer = f"{quantity(in_force, 's')} extrapolated by `spread`, {state}"
    return [
        (
            "client accounts",
            number(target.accounts, 5),
            f"{quantity(accounts, 'B')} in each entry",
            "256 chunks by hash; a change rewrites one",
        ),
        (
            "models",
            number(target.services),
            f"{target.entry_links} links of each entry",
            f"{target.links_per_service} agents of each model",
        ),
        (
            "change in force",
            "9 s",
            answer,
            "two watching entries per failure domain, push to 4 peers, pulls",
        ),
        (
            "changes",
            f"{number(target.changes_per_day, 4)} a day",
            f"{quantity(per_change, 's')} of CPU each at the holder",
            f"{quantity(per_change * target.changes_per_s, 'core')} on average;"
            f" a core carries {number(1 / per_change)} a second",
        ),
    ]


def control_changes(measured: Measured, target: Target) -> dict[str, str]:
    """Return which change would meet each control target in an entry."""
    rest = measured.slope("entry.link.rest_cpu")
    sums = control_sums(measured, target)["entry"]
    links = target.entry_links
    spare = target.control_cores - (sums[0] - links * rest)
    per_link, _ = link_bytes(measured)
    left = target.control_bytes_per_s - gossip_bytes(measured, target)
    memory = measured.slope("entry.link.memory")
    free = target.control_bytes - (sums[1] - links * memory)
    account = measured.slope("entry.account.other_memory")
    over = max(sums[1] - target.control_bytes, 0.0) / target.accounts
    return {
        "cpu": f"{max(int(spare / rest), 0)} links per entry instead of {links}, or"
        f" a heartbeat every {quantity(HEARTBEAT_S * links * rest / spare, 's')}"
        if spare > 0
        else "no number of links suffices",
        "memory": f"{max(int(free / memory), 0)} links, or"
        f" {quantity(max(account - over, 0), 'B')} instead of"
        f" {quantity(account, 'B')} per account",
        "bytes": f"{max(int(left / per_link), 0)} links, or a heartbeat every"
        f" {quantity(HEARTBEAT_S * links * per_link / left, 's')} on links without"
        " running generations",
    }


def control_rows(measured: Measured, target: Target) -> list[Row]:
    """Return the rows on the control overhead of an entry."""
    sums = control_sums(measured, target)["entry"]
    changes = control_changes(measured, target)
    limits = (
        ("control CPU", "cpu", target.control_cores, "core"),
        ("control memory", "memory", target.control_bytes, "B"),
        ("control bytes", "bytes", target.control_bytes_per_s, "B/s"),
    )
    rows = []
    for value, (name, key, limit, unit) in zip(sums, limits, strict=True):
        need = "-" if value <= limit else f"would meet it: {changes[key]}"
        limit_text = f"{quantity(limit, unit)} per daemon"
        answer = verdict(value, limit, unit)
        if key == "bytes":
            headers = target.entry_links * link_bytes(measured)[1]
            answer += f"; TCP and IP headers add up to {quantity(headers, unit)}"
        rows.append((f"{name} (entry)", limit_text, answer, need))
    return rows


def other_control_rows(measured: Measured, target: Target) -> list[Row]:
    """Return the rows on the control bytes of the agent and the lease holder."""
    sums = control_sums(measured, target)
    limit = target.control_bytes_per_s
    text = f"{quantity(limit, 'B/s')} per daemon"
    agent = sums["agent"][2]
    holder = sums["entry that holds the lease"][2]
    empty = measured.fits["controller.report_route.bytes"].intercept
    calm = quantity(target.reports_per_s * empty, "B/s")
    running = quantity(holder - sums["entry"][2], "B/s")
    interval = quantity(HEARTBEAT_S * agent / limit, "s")
    return [
        (
            "control bytes (agent)",
            text,
            verdict(agent, limit, "B/s"),
            "-" if agent <= limit else f"would meet it: a heartbeat every {interval}",
        ),
        (
            "control bytes (lease holder)",
            text,
            verdict(holder, limit, "B/s"),
            f"reports take {running} of it while one rollout runs and {calm} without"
            " rollouts; summing reports on the way to the holder would reduce it, not"
            " measured",
        ),
    ]


def store_reads_per_s(target: Target = TARGET) -> float:
    """Return reads of the store a second at rest, from the constants in the code.

    The holder lists proposals and the states of rollouts once a second each;
    candidates for the lease read it; all standbys together look twice at their
    rate.
    """
    candidates = (CANDIDATE_COUNT - 1) / CANDIDATE_READ_INTERVAL_S
    return 2 + candidates + 2 * STANDBY_CHECKS_PER_S


def store_rows(measured: Measured, target: Target) -> list[Row]:
    """Return the rows on the object API."""
    watchers = WATCHERS_PER_DOMAIN * target.domains
    names = [f"change.{target.accounts}.calls.{k}" for k in ("create", "update")]
    writes = sum(measured.slope(name) for name in names if name in measured.fits)
    per_s = 1 / RENEW_INTERVAL_S + writes * target.changes_per_s
    return [
        (
            "store reads",
            f"{number(target.store_reads_per_s)} a second",
            f"{number(store_reads_per_s(target))} a second at rest, computed from the"
            " code's intervals; small fleets are in the store table",
            "gossip in place of reads by every process",
        ),
        (
            "store writes",
            "several hundred a second",
            f"{number(per_s)} a second for control, {number(writes)} per change",
            f"at-most-once calls may add {number(target.ledger_writes_per_s)} a second",
        ),
        (
            "watches",
            f"{watchers}",
            f"{watchers} waiting, {number(watchers / WATCH_TIMEOUT_S)} calls a second,"
            " computed; the store table shows small fleets",
            "two entries per failure domain by rendezvous hash",
        ),
        (
            "link between regions",
            "15 Mbit/s each way",
            NOT_MEASURED,
            "`make bench` has the measurements `linkbudget` and `subset`",
        ),
    ]


def scale_table(
    measured: Measured, spread: Mapping[str, float], target: Target = TARGET
) -> str:
    """Return every figure of the target scale with its answer."""
    rows = [
        *load_rows(measured, target),
        *latency_rows(measured, target),
        *configuration_rows(measured, spread, target),
        *control_rows(measured, target),
        *other_control_rows(measured, target),
        *store_rows(measured, target),
    ]
    header = ("figure", "target", "answer", "mechanism, or change that would meet it")
    return table(header, rows)


def failure_rows(measured: Measured, target: Target) -> list[tuple[str, ...]]:
    """Return what each failure loses and degrades, and for how long."""
    share = target.engines / target.vms
    engines_lost = target.failures_per_day * share
    streams = target.running / target.engines
    affected = engines_lost * streams
    per_day = target.requests_per_s * DAY_S
    domain = 1 / target.domains
    use = cores("entry", measured, target) / (1 - domain)
    resume = f"5 s by design, {NOT_MEASURED}"
    return [
        (
            "15 VM failures a day",
            "nothing; agents' logs on those VMs",
            f"{number(affected)} generations resumed by recomputed prefixes"
            f" ({number(affected / per_day * 1e6)} of a million requests at peak)",
            resume,
        ),
        (
            "430 VMs restarted or replaced a day",
            "nothing",
            f"{number(target.replacements_per_day / 24)} drains an hour; each engine"
            f" hands over what remains of {number(streams)} generations",
            "drain deadline 30 s by default",
        ),
        (
            "loss of a rack",
            "agents' logs in it",
            f"per engine lost {number(streams)} generations resume elsewhere; the"
            " design page does not say how many VMs share a rack",
            resume,
        ),
        (
            "loss of a failure domain",
            "agents' logs and delivered prefixes in it; clients hold the tokens",
            f"{number(target.running * domain)} generations resume; remaining entries"
            f" would use {quantity(use, 'core')}, engines {number(1 / (1 - domain))}"
            " times their load",
            f"resume: {resume}; load until the domain returns",
        ),
        (
            "loss of the regions' link",
            "nothing",
            "no spill-over; in the region without the object API non-idempotent calls"
            " are refused as `not_run` and rollouts are frozen",
            "as long as the link is lost, minutes",
        ),
    ]


def failures_table(measured: Measured, target: Target = TARGET) -> str:
    """Return the table of failures."""
    header = ("event", "lost", "degraded", "for how long")
    return table(header, failure_rows(measured, target))
