"""Tables that compare results with the target scale and list failure effects."""

from collections.abc import Mapping
from dataclasses import replace

from bench import capacitytables
from bench.capacityroles import COSTS_BY_ROLE, total_cost
from bench.capacityslopes import TARGET_SCALE, RunResults, TargetScale
from bench.capacitytables import (
    IDLE_HEARTBEAT_S,
    control_costs,
    format_against_limit,
    format_number,
    format_quantity,
    gossip_bytes_per_s,
    idle_link_bytes_per_s,
    markdown_table,
)
from monsoontack.config.gossip import WATCH_TIMEOUT_S
from monsoontack.settings.models import AgentSettings, EntrySettings
from monsoontack.store.lease import (
    CANDIDATE_COUNT,
    CANDIDATE_READ_INTERVAL_S,
    RENEW_INTERVAL_S,
    STANDBY_CHECKS_PER_S,
)

WATCHERS_PER_FAILURE_DOMAIN = 2
NOT_MEASURED = "not measured by this script"
LONGER_TICK_S = 0.05
SECONDS_PER_DAY = 86_400
Row = tuple[str, str, str, str]


def peak_cores(
    role: str, results: RunResults, target: TargetScale = TARGET_SCALE
) -> float:
    """Return the cores of a daemon at peak, for control and requests together."""
    return total_cost(COSTS_BY_ROLE[role](results, target), "cores")


def load_rows(results: RunResults, target: TargetScale) -> list[Row]:
    """Return the rows on the requests and tokens of each daemon, and its cores."""
    rows = []
    longer_tick_target = replace(target, tick_s=LONGER_TICK_S)
    daemons = (
        ("entry", target.entry_requests_per_s, target.entry_tokens_per_s),
        ("agent", target.requests_per_s / target.engines, target.agent_tokens_per_s),
    )
    for role, requests, tokens in daemons:
        required_cores = peak_cores(role, results, target)
        load = (
            f"{format_number(requests)} requests and {format_number(tokens)} tokens"
            " a second"
        )
        answer = (
            f"needs {format_quantity(required_cores, 'core')}; one core carries"
            f" {format_number(tokens / required_cores)} tokens a second, control"
            " included"
        )
        if required_cores <= 1:
            remedy = "one loop suffices; met in CPU time"
        else:
            longer_tick_cores = peak_cores(role, results, longer_tick_target)
            remedy = (
                f"**not met** by one process: {format_number(required_cores)}"
                f" processes per VM, or {format_number(required_cores)} times the"
                f" entries; a tick of {format_quantity(LONGER_TICK_S, 's')} would need"
                f" {format_quantity(longer_tick_cores, 'core')}"
            )
        fit_warnings = {
            f"`{name}`{capacitytables.fit_warning(line)}"
            for name, line in results.fits.items()
            if name in (f"{role}.token.cpu", f"{role}.frame.cpu")
            and capacitytables.fit_warning(line)
        }
        answer = "; ".join([answer, *sorted(fit_warnings)])
        rows.append((f"peak per {role}", load, answer, remedy))
    return rows


def latency_rows(results: RunResults, target: TargetScale) -> list[Row]:
    """Return the rows on latency and recovery."""
    tick = AgentSettings.model_fields["tick_s"].default
    silence = EntrySettings.model_fields["frame_silence_s"].default
    peak_use = format_quantity(peak_cores("entry", results, target), "core")
    return [
        (
            "first token",
            "0.31 s at p95",
            NOT_MEASURED,
            f"an entry at peak uses {peak_use}, which bounds what queueing allows",
        ),
        (
            "token gap",
            f"{format_quantity(target.token_gap_s, 's')} at p95",
            NOT_MEASURED,
            f"the agent's tick adds at most {format_quantity(tick, 's')}",
        ),
        (
            "resume, 7% long generations",
            "5 s",
            NOT_MEASURED,
            f"silence counts after {format_quantity(silence, 's')}; prefixes are kept"
            " in the entry, the agent's log and the client (tables above)",
        ),
    ]


def configuration_rows(
    results: RunResults, spread_figures: Mapping[str, float], target: TargetScale
) -> list[Row]:
    """Return the rows on client accounts, models and changes.

    `spread_figures` are the figures of the measurement `spread` by name.
    """
    accounts = target.accounts * results.slope("entry.account.other_memory")
    per_change = results.slope(f"change.{target.accounts}.holder_cpu")
    in_force = spread_figures.get("spread.in_force.at_390")
    answer = NOT_MEASURED
    if in_force is not None:
        state = "met" if in_force <= 9 else "**not met**"
        answer = f"{format_quantity(in_force, 's')} extrapolated by `spread`, {state}"
    return [
        (
            "client accounts",
            format_number(target.accounts, 5),
            f"{format_quantity(accounts, 'B')} in each entry",
            "256 chunks by hash; a change rewrites one",
        ),
        (
            "models",
            format_number(target.services),
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
            f"{format_number(target.changes_per_day, 4)} a day",
            f"{format_quantity(per_change, 's')} of CPU each at the holder",
            f"{format_quantity(per_change * target.changes_per_s, 'core')} on average;"
            f" a core carries {format_number(1 / per_change)} a second",
        ),
    ]


def control_remedies(results: RunResults, target: TargetScale) -> dict[str, str]:
    """Return the change that would let an entry meet each control target."""
    link_cores = results.slope("entry.link.rest_cpu")
    sums = control_costs(results, target)["entry"]
    links = target.entry_links
    spare_cores = target.control_cores - (sums[0] - links * link_cores)
    per_link, _ = idle_link_bytes_per_s(results)
    spare_rate = target.control_bytes_per_s - gossip_bytes_per_s(results, target)
    link_memory = results.slope("entry.link.memory")
    spare_memory = target.control_memory_bytes - (sums[1] - links * link_memory)
    account_memory = results.slope("entry.account.other_memory")
    excess_per_account = (
        max(sums[1] - target.control_memory_bytes, 0.0) / target.accounts
    )
    return {
        "cpu": f"{max(int(spare_cores / link_cores), 0)} links per entry instead of"
        f" {links}, or a heartbeat every"
        f" {format_quantity(IDLE_HEARTBEAT_S * links * link_cores / spare_cores, 's')}"
        if spare_cores > 0
        else "no number of links suffices",
        "memory": f"{max(int(spare_memory / link_memory), 0)} links, or"
        f" {format_quantity(max(account_memory - excess_per_account, 0), 'B')} instead"
        f" of {format_quantity(account_memory, 'B')} per account",
        "bytes": f"{max(int(spare_rate / per_link), 0)} links, or a heartbeat every"
        f" {format_quantity(IDLE_HEARTBEAT_S * links * per_link / spare_rate, 's')} on"
        " links without running generations",
    }


def control_rows(results: RunResults, target: TargetScale) -> list[Row]:
    """Return the rows on the control overhead of an entry."""
    sums = control_costs(results, target)["entry"]
    remedies = control_remedies(results, target)
    limits = (
        ("control CPU", "cpu", target.control_cores, "core"),
        ("control memory", "memory", target.control_memory_bytes, "B"),
        ("control bytes", "bytes", target.control_bytes_per_s, "B/s"),
    )
    rows = []
    for value, (name, key, limit, unit) in zip(sums, limits, strict=True):
        remedy = "-" if value <= limit else f"would meet it: {remedies[key]}"
        limit_text = f"{format_quantity(limit, unit)} per daemon"
        answer = format_against_limit(value, limit, unit)
        if key == "bytes":
            headers = target.entry_links * idle_link_bytes_per_s(results)[1]
            answer += f"; TCP and IP headers add up to {format_quantity(headers, unit)}"
        rows.append((f"{name} (entry)", limit_text, answer, remedy))
    return rows


def other_control_rows(results: RunResults, target: TargetScale) -> list[Row]:
    """Return the rows on the control bytes of the agent and the lease holder."""
    sums = control_costs(results, target)
    limit = target.control_bytes_per_s
    text = f"{format_quantity(limit, 'B/s')} per daemon"
    agent = sums["agent"][2]
    holder = sums["entry that holds the lease"][2]
    empty = results.fits["controller.report_route.bytes"].intercept
    idle_rate = format_quantity(target.reports_per_s * empty, "B/s")
    rollout_rate = format_quantity(holder - sums["entry"][2], "B/s")
    interval = format_quantity(IDLE_HEARTBEAT_S * agent / limit, "s")
    return [
        (
            "control bytes (agent)",
            text,
            format_against_limit(agent, limit, "B/s"),
            "-" if agent <= limit else f"would meet it: a heartbeat every {interval}",
        ),
        (
            "control bytes (lease holder)",
            text,
            format_against_limit(holder, limit, "B/s"),
            f"reports take {rollout_rate} of it while one rollout runs and {idle_rate}"
            " without rollouts; summing reports on the way to the holder would reduce"
            " it, not measured",
        ),
    ]


def store_reads_per_s(target: TargetScale = TARGET_SCALE) -> float:
    """Return the store reads per second of an idle fleet, from the code's constants.

    The holder lists proposals and rollout states once per second each, and the
    other candidates read the lease. Each check of a standby reads the lease twice.
    """
    candidates = (CANDIDATE_COUNT - 1) / CANDIDATE_READ_INTERVAL_S
    return 2 + candidates + 2 * STANDBY_CHECKS_PER_S


def store_rows(results: RunResults, target: TargetScale) -> list[Row]:
    """Return the rows on the object API."""
    watchers = WATCHERS_PER_FAILURE_DOMAIN * target.failure_domains
    names = [f"change.{target.accounts}.calls.{k}" for k in ("create", "update")]
    writes = sum(results.slope(name) for name in names if name in results.fits)
    per_s = 1 / RENEW_INTERVAL_S + writes * target.changes_per_s
    return [
        (
            "store reads",
            f"{format_number(target.store_reads_per_s)} a second",
            f"{format_number(store_reads_per_s(target))} a second at rest, computed"
            " from the code's intervals; small fleets are in the store table",
            "gossip in place of reads by every process",
        ),
        (
            "store writes",
            "several hundred a second",
            f"{format_number(per_s)} a second for control, {format_number(writes)} per"
            " change",
            f"at-most-once calls may add {format_number(target.ledger_writes_per_s)} a"
            " second",
        ),
        (
            "watches",
            f"{watchers}",
            f"{watchers} waiting, {format_number(watchers / WATCH_TIMEOUT_S)} calls a"
            " second, computed; the store table shows small fleets",
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
    results: RunResults,
    spread_figures: Mapping[str, float],
    target: TargetScale = TARGET_SCALE,
) -> str:
    """Return the table of each figure of the target scale and its result."""
    rows = [
        *load_rows(results, target),
        *latency_rows(results, target),
        *configuration_rows(results, spread_figures, target),
        *control_rows(results, target),
        *other_control_rows(results, target),
        *store_rows(results, target),
    ]
    header = ("figure", "target", "answer", "mechanism, or change that would meet it")
    return markdown_table(header, rows)


def failure_rows(results: RunResults, target: TargetScale) -> list[tuple[str, ...]]:
    """Return the rows on the loss, degradation and duration of each failure."""
    engine_share = target.engines / target.vms
    engines_lost = target.failures_per_day * engine_share
    streams = target.running_generations / target.engines
    affected_generations = engines_lost * streams
    per_day = target.requests_per_s * SECONDS_PER_DAY
    domain_share = 1 / target.failure_domains
    peak_use = peak_cores("entry", results, target) / (1 - domain_share)
    resume = f"5 s by design, {NOT_MEASURED}"
    return [
        (
            "15 VM failures a day",
            "nothing; agents' logs on those VMs",
            f"{format_number(affected_generations)} generations resumed by recomputed"
            f" prefixes ({format_number(affected_generations / per_day * 1e6)} of a"
            " million requests at peak)",
            resume,
        ),
        (
            "430 VMs restarted or replaced a day",
            "nothing",
            f"{format_number(target.replacements_per_day / 24)} drains an hour; each"
            f" engine hands over what remains of {format_number(streams)} generations",
            "drain deadline 30 s by default",
        ),
        (
            "loss of a rack",
            "agents' logs in it",
            f"per engine lost {format_number(streams)} generations resume elsewhere;"
            " the design page does not say how many VMs share a rack",
            resume,
        ),
        (
            "loss of a failure domain",
            "agents' logs and delivered prefixes in it; clients hold the tokens",
            f"{format_number(target.running_generations * domain_share)} generations"
            " resume; remaining entries would use"
            f" {format_quantity(peak_use, 'core')}, engines"
            f" {format_number(1 / (1 - domain_share))} times their load",
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


def failures_table(results: RunResults, target: TargetScale = TARGET_SCALE) -> str:
    """Return the table of failures."""
    header = ("event", "lost", "degraded", "for how long")
    return markdown_table(header, failure_rows(results, target))
