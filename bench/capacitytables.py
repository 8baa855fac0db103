"""Tables of docs/CAPACITY.md as Markdown text, from measured slopes."""

import re
from collections.abc import Iterable, Mapping, Sequence

from bench.capacityroles import ROLES, Part, total
from bench.capacityslopes import TARGET, Fit, Measured, Target
from monsoontack.settings.models import AgentSettings

# TCP and IP headers of a segment and of its acknowledgement.
HEADER_BYTES = 2 * 52
HEARTBEAT_S = AgentSettings.model_fields["idle_heartbeat_s"].default
SURE_CORRELATION = 0.95
MARKED = re.compile(r"(<!-- table (\S+) -->\n).*?(<!-- end -->)", re.DOTALL)


def number(value: float, digits: int = 3) -> str:
    """Return a value with some significant digits and separated thousands."""
    if not value:
        return "0"
    rounded = float(f"{value:.{digits}g}")
    if abs(rounded) >= 10 ** (digits - 1):
        return f"{rounded:,.0f}"
    return f"{rounded:.6f}".rstrip("0").rstrip(".") or f"{rounded:.2e}"


def quantity(value: float, unit: str) -> str:
    """Return a value in the unit that suits its magnitude."""
    scales = {
        "B": ((1e6, "MB"), (1e3, "KB"), (1, "B")),
        "B/s": ((1e6, "MB/s"), (1e3, "KB/s"), (1, "B/s")),
        "s": ((1, "s"), (1e-3, "ms"), (1e-6, "µs")),
        "core": ((0.01, "% of a core"),),
    }.get(unit)
    if scales is None:
        name = {"1": "", "1/s": "/s"}.get(unit, unit)
        return f"{number(value)} {name}".strip()
    for scale, name in scales:
        if abs(value) >= scale:
            return f"{number(value / scale)} {name}"
    return f"{number(value / scale)} {name}"


def table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines) + "\n"


def interpreter_table(measured: Measured) -> str:
    """Return the resident memory of interpreters without any work."""
    names = {
        "bare": "Python with asyncio",
        "entry": "with the entry's libraries",
        "agent": "with the agent's libraries",
        "client": "with the client library",
    }
    rows = [
        (text, quantity(measured.values[f"interpreter.{name}"], "B"))
        for name, text in names.items()
    ]
    return table(("process", "resident"), rows)


def slope_unit(name: str, unit: str) -> tuple[str, str]:
    """Return the unit of a slope and the item that it is for.

    A series of cores over items a second has slopes in seconds an item.
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
    per_second = unit == "core" and not name.endswith("rest_cpu")
    return ("s" if per_second else unit), item


def doubt(line: Fit) -> str:
    """Return a remark if the series is not straight enough for its slope."""
    return "" if line.correlation >= SURE_CORRELATION else ", uncertain"


def slopes_table(measured: Measured) -> str:
    """Return all slopes with their sizes and the quality of the fit."""
    rows = []
    for name, line in sorted(measured.fits.items()):
        unit, item = slope_unit(name, line.unit)
        rows.append(
            (
                f"`{name}`",
                ", ".join(number(size, 4) for size in line.sizes),
                f"{quantity(line.slope, unit)} per {item}",
                quantity(line.intercept, line.unit),
                f"{line.correlation:.3f}{doubt(line)}",
            )
        )
    header = ("series", "sizes", "slope", "value at size 0", "correlation")
    return table(header, rows)


def parts_table(parts: Sequence[Part]) -> str:
    """Return the account of one role with its sums."""
    rows = [
        (
            part.name,
            quantity(part.amount, part.unit) if part.amount else "-",
            "-" if part.cores is None else quantity(part.cores, "core"),
            "-" if part.memory is None else quantity(part.memory, "B"),
            "yes" if part.is_control else "no",
            part.mechanism,
        )
        for part in parts
    ]
    for control, text in ((True, "sum of control"), (None, "sum")):
        cores = quantity(total(parts, "cores", control), "core")
        memory = quantity(total(parts, "memory", control), "B")
        rows.append((f"**{text}**", "", cores, memory, "", ""))
    header = ("state or work", "amount", "CPU", "memory", "control", "mechanism")
    return table(header, rows)


def link_bytes(measured: Measured) -> tuple[float, float]:
    """Return bytes a second of an idle link: payload, and headers besides."""
    reads = measured.values["link.rest_reads"]
    return measured.values["link.rest_bytes"], reads * HEADER_BYTES


def gossip_bytes(measured: Measured, target: Target = TARGET) -> float:
    """Return bytes a second of an entry's pulls and reports, both directions."""
    report = measured.fits["controller.report_route.bytes"].at(4)
    return 2 * measured.slope("entry.pull.bytes") + report / target.report_s


def control_bytes(measured: Measured, target: Target = TARGET) -> dict[str, float]:
    """Return bytes a second of control by daemon, without TCP and IP headers."""
    per_link, _ = link_bytes(measured)
    gossip = gossip_bytes(measured, target)
    report = measured.fits["controller.report_route.bytes"].at(4)
    entry = target.entry_links * per_link + gossip
    return {
        "entry": entry,
        "entry that holds the lease": entry + target.reports_per_s * report,
        "agent": target.agent_links * per_link,
    }


def control_sums(
    measured: Measured, target: Target = TARGET
) -> dict[str, tuple[float, float, float]]:
    """Return cores, memory and bytes a second of control by daemon."""
    entry, agent, controller = (
        ROLES[role](measured, target) for role in ("entry", "agent", "controller")
    )
    parts = {
        "entry": entry,
        "entry that holds the lease": entry + controller,
        "agent": agent,
    }
    rates = control_bytes(measured, target)
    return {
        name: (total(item, "cores", True), total(item, "memory", True), rates[name])
        for name, item in parts.items()
    }


def verdict(value: float, limit: float, unit: str) -> str:
    """Return a value, whether it meets an upper limit, and by how much not."""
    text = quantity(value, unit)
    if value <= limit:
        return f"{text}, met"
    over = quantity(value - limit, unit)
    return f"{text}, **not met**: {over} above, {number(value / limit)} times"


def control_table(measured: Measured, target: Target = TARGET) -> str:
    """Return control costs of each daemon against the targets."""
    limits = (
        (target.control_cores, "core"),
        (target.control_bytes, "B"),
        (target.control_bytes_per_s, "B/s"),
    )
    rows = [
        (name, *(verdict(v, *limit) for v, limit in zip(sums, limits, strict=True)))
        for name, sums in control_sums(measured, target).items()
    ]
    texts = [f"at most {quantity(*limit)}" for limit in limits]
    return table(("daemon", *texts), rows)


def peak_table(measured: Measured, target: Target = TARGET) -> str:
    """Return the window at peak next to what the slopes give for its rates."""
    values = measured.values
    tokens, frames = values["entry.peak.tokens"], values["entry.peak.frames"]
    rest = measured.fits["entry.link.rest_cpu"].intercept
    sloped = rest + tokens * measured.slope("entry.token.cpu")
    sloped += frames * measured.slope("entry.frame.cpu")
    cores = values["entry.peak.entry"]
    rows = [
        ("tokens a second", number(tokens, 4)),
        ("frames a second", number(frames, 4)),
        ("CPU measured", quantity(cores, "core")),
        ("CPU from the slopes for these rates", quantity(sloped, "core")),
        ("tokens a second of a whole core at this rate", number(tokens / cores, 4)),
        ("resident", quantity(values["entry.peak.resident"], "B")),
    ]
    return table(("entry at peak", "value"), rows)


def store_table(measured: Measured, target: Target = TARGET) -> str:
    """Return store calls: at rest in small fleets, and per published change."""
    rows = []
    for kind in ("get", "list", "watch", "create", "update", "delete"):
        rest = measured.fits.get(f"store.fleet.{kind}")
        change = measured.fits.get(f"change.{target.accounts}.calls.{kind}")
        rows.append(
            (
                kind,
                "none" if rest is None else f"{number(rest.at(rest.sizes[-1]))} /s",
                "none" if rest is None else f"{number(round(rest.slope, 3))} /s",
                "none" if change is None else number(change.slope),
            )
        )
    sizes = next(iter(measured.fits["store.fleet.get"].sizes[-1:]))
    header = (
        "call",
        f"fleet of {number(sizes)} entries at rest",
        "per further entry",
        "per published change",
    )
    return table(header, rows)


def replace_tables(text: str, tables: Mapping[str, str]) -> str:
    """Return the page with the parts between its markers replaced.

    ValueError if the page and `tables` do not name the same tables.
    """
    marked = [match.group(2) for match in MARKED.finditer(text)]
    if sorted(marked) != sorted(tables):
        raise ValueError(f"the page has tables {marked}, expected {list(tables)}")
    return MARKED.sub(
        lambda m: f"{m.group(1)}\n{tables[m.group(2)]}\n{m.group(3)}", text
    )
