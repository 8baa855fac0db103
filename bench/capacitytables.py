"""Tables of docs/CAPACITY.md as Markdown text, computed from measured slopes."""

import re
from collections.abc import Iterable, Mapping, Sequence

from bench.capacityroles import COSTS_BY_ROLE, CostItem, total_cost
from bench.capacityslopes import TARGET_SCALE, LinearFit, RunResults, TargetScale
from monsoontack.settings.models import AgentSettings

# TCP and IP headers of a segment and of its acknowledgement.
SEGMENT_HEADER_BYTES = 2 * 52
IDLE_HEARTBEAT_S = AgentSettings.model_fields["idle_heartbeat_s"].default
MIN_FIT_CORRELATION = 0.95
MARKED_TABLE = re.compile(r"(<!-- table (\S+) -->\n).*?(<!-- end -->)", re.DOTALL)


def format_number(value: float, digits: int = 3) -> str:
    """Return a value with `digits` significant digits and thousands separators."""
    if not value:
        return "0"
    rounded = float(f"{value:.{digits}g}")
    if abs(rounded) >= 10 ** (digits - 1):
        return f"{rounded:,.0f}"
    return f"{rounded:.6f}".rstrip("0").rstrip(".") or f"{rounded:.2e}"


def format_quantity(value: float, unit: str) -> str:
    """Return a value in the unit that suits its magnitude."""
    scales = {
        "B": ((1e6, "MB"), (1e3, "KB"), (1, "B")),
        "B/s": ((1e6, "MB/s"), (1e3, "KB/s"), (1, "B/s")),
        "s": ((1, "s"), (1e-3, "ms"), (1e-6, "µs")),
        "core": ((0.01, "% of a core"),),
    }.get(unit)
    if scales is None:
        name = {"1": "", "1/s": "/s"}.get(unit, unit)
        return f"{format_number(value)} {name}".strip()
    for scale, name in scales:
        if abs(value) >= scale:
            return f"{format_number(value / scale)} {name}"
    return f"{format_number(value / scale)} {name}"


def markdown_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines) + "\n"


def interpreter_table(results: RunResults) -> str:
    """Return the table of the resident memory of idle interpreters."""
    labels = {
        "bare": "Python with asyncio",
        "entry": "with the entry's libraries",
        "agent": "with the agent's libraries",
        "client": "with the client library",
    }
    rows = [
        (text, format_quantity(results.values[f"interpreter.{name}"], "B"))
        for name, text in labels.items()
    ]
    return markdown_table(("process", "resident"), rows)


def slope_unit(name: str, unit: str) -> tuple[str, str]:
    """Return the unit of a slope and the name of the item to which it refers.

    The slope of a series of cores over items per second is in seconds per item.
    """
    items = {
        "token": "token",
        "frame": "frame",
        "link": "link",
        "generation": "generation",
        "history": "token",
        "answer": "answer",
        "account": "account",
        "log": "token",
        "pull": "pull",
        "report": "report",
        "report_route": "route",
        "vm_list": "record",
        "request": "request",
        "fleet": "entry",
        "rest": "account",
    }
    parts = name.split(".")
    item = next((items[part] for part in parts if part in items), "change")
    is_per_second = unit == "core" and not name.endswith("rest_cpu")
    return ("s" if is_per_second else unit), item


def fit_warning(line: LinearFit) -> str:
    """Return a remark if the points deviate too much from the fitted line."""
    return "" if line.correlation >= MIN_FIT_CORRELATION else ", uncertain"


def slopes_table(results: RunResults) -> str:
    """Return the table of all slopes with their sizes and the quality of the fit."""
    rows = []
    for name, line in sorted(results.fits.items()):
        unit, item = slope_unit(name, line.unit)
        rows.append(
            (
                f"`{name}`",
                ", ".join(format_number(size, 4) for size in line.sizes),
                f"{format_quantity(line.slope, unit)} per {item}",
                format_quantity(line.intercept, line.unit),
                f"{line.correlation:.3f}{fit_warning(line)}",
            )
        )
    header = ("series", "sizes", "slope", "value at size 0", "correlation")
    return markdown_table(header, rows)


def cost_table(costs: Sequence[CostItem]) -> str:
    """Return the table of the costs of one role with their sums."""
    rows = [
        (
            item.name,
            format_quantity(item.amount, item.unit) if item.amount else "-",
            "-" if item.cores is None else format_quantity(item.cores, "core"),
            "-" if item.memory is None else format_quantity(item.memory, "B"),
            "yes" if item.is_control else "no",
            item.mechanism,
        )
        for item in costs
    ]
    for is_control, text in ((True, "sum of control"), (None, "sum")):
        cores = format_quantity(total_cost(costs, "cores", is_control), "core")
        memory = format_quantity(total_cost(costs, "memory", is_control), "B")
        rows.append((f"**{text}**", "", cores, memory, "", ""))
    header = ("state or work", "amount", "CPU", "memory", "control", "mechanism")
    return markdown_table(header, rows)


def idle_link_bytes_per_s(results: RunResults) -> tuple[float, float]:
    """Return the payload and the header bytes per second of an idle link."""
    reads = results.values["link.rest_reads"]
    return results.values["link.rest_bytes"], reads * SEGMENT_HEADER_BYTES


def gossip_bytes_per_s(
    results: RunResults, target: TargetScale = TARGET_SCALE
) -> float:
    """Return the bytes per second of an entry's pulls and reports, both directions."""
    report = results.fits["controller.report_route.bytes"].value_at(4)
    return 2 * results.slope("entry.pull.bytes") + report / target.evidence_interval_s


def control_bytes_per_s(
    results: RunResults, target: TargetScale = TARGET_SCALE
) -> dict[str, float]:
    """Return control bytes per second by daemon, without TCP and IP headers."""
    per_link, _ = idle_link_bytes_per_s(results)
    gossip = gossip_bytes_per_s(results, target)
    report = results.fits["controller.report_route.bytes"].value_at(4)
    entry = target.entry_links * per_link + gossip
    return {
        "entry": entry,
        "entry that holds the lease": entry + target.reports_per_s * report,
        "agent": target.agent_links * per_link,
    }


def control_costs(
    results: RunResults, target: TargetScale = TARGET_SCALE
) -> dict[str, tuple[float, float, float]]:
    """Return the cores, memory and bytes per second of control by daemon."""
    entry, agent, controller = (
        COSTS_BY_ROLE[role](results, target)
        for role in ("entry", "agent", "controller")
    )
    costs = {
        "entry": entry,
        "entry that holds the lease": entry + controller,
        "agent": agent,
    }
    rates = control_bytes_per_s(results, target)
    return {
        name: (
            total_cost(item, "cores", True),
            total_cost(item, "memory", True),
            rates[name],
        )
        for name, item in costs.items()
    }


def format_against_limit(value: float, limit: float, unit: str) -> str:
    """Return a value, whether it meets an upper limit, and the excess if not."""
    text = format_quantity(value, unit)
    if value <= limit:
        return f"{text}, met"
    excess = format_quantity(value - limit, unit)
    return f"{text}, **not met**: {excess} above, {format_number(value / limit)} times"


def control_table(results: RunResults, target: TargetScale = TARGET_SCALE) -> str:
    """Return the table of the control costs of each daemon against the targets."""
    limits = (
        (target.control_cores, "core"),
        (target.control_memory_bytes, "B"),
        (target.control_bytes_per_s, "B/s"),
    )
    rows = [
        (
            name,
            *(
                format_against_limit(v, *limit)
                for v, limit in zip(sums, limits, strict=True)
            ),
        )
        for name, sums in control_costs(results, target).items()
    ]
    texts = [f"at most {format_quantity(*limit)}" for limit in limits]
    return markdown_table(("daemon", *texts), rows)


def peak_table(results: RunResults, target: TargetScale = TARGET_SCALE) -> str:
    """Return the table of the window at peak and the CPU estimated by the slopes."""
    values = results.values
    tokens, frames = values["entry.peak.tokens"], values["entry.peak.frames"]
    rest = results.fits["entry.link.rest_cpu"].intercept
    estimated_cores = rest + tokens * results.slope("entry.token.cpu")
    estimated_cores += frames * results.slope("entry.frame.cpu")
    cores = values["entry.peak.entry"]
    rows = [
        ("tokens a second", format_number(tokens, 4)),
        ("frames a second", format_number(frames, 4)),
        ("CPU measured", format_quantity(cores, "core")),
        (
            "CPU from the slopes for these rates",
            format_quantity(estimated_cores, "core"),
        ),
        (
            "tokens a second of a whole core at this rate",
            format_number(tokens / cores, 4),
        ),
        ("resident", format_quantity(values["entry.peak.resident"], "B")),
    ]
    return markdown_table(("entry at peak", "value"), rows)


def store_table(results: RunResults, target: TargetScale = TARGET_SCALE) -> str:
    """Return the table of store calls of idle small fleets and per published change."""
    rows = []
    for kind in ("get", "list", "watch", "create", "update", "delete"):
        rest = results.fits.get(f"store.fleet.{kind}")
        change = results.fits.get(f"change.{target.accounts}.calls.{kind}")
        rows.append(
            (
                kind,
                "none"
                if rest is None
                else f"{format_number(rest.value_at(rest.sizes[-1]))} /s",
                "none" if rest is None else f"{format_number(round(rest.slope, 3))} /s",
                "none" if change is None else format_number(change.slope),
            )
        )
    sizes = next(iter(results.fits["store.fleet.get"].sizes[-1:]))
    header = (
        "call",
        f"fleet of {format_number(sizes)} entries at rest",
        "per further entry",
        "per published change",
    )
    return markdown_table(header, rows)


def replace_tables(text: str, tables: Mapping[str, str]) -> str:
    """Return the page with the text between its table markers replaced.

    Raises ValueError if the page and `tables` do not name the same tables.
    """
    page_tables = [match.group(2) for match in MARKED_TABLE.finditer(text)]
    if sorted(page_tables) != sorted(tables):
        raise ValueError(f"the page has tables {page_tables}, expected {list(tables)}")
    return MARKED_TABLE.sub(
        lambda m: f"{m.group(1)}\n{tables[m.group(2)]}\n{m.group(3)}", text
    )
