"""Arrivals at servers that state a limit, for fleets of 5, 68 and 390 entries.

Each case runs the product's decisions in virtual time for 30 s of load above the limits
of all servers. `peak_of_allowed` is the highest number of arrivals of any 4 s relative
to what the users' rule allows, the worst of all servers; `used` the share of the
limits that the servers got.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass

import structlog

from bench.limitmodel import (
    SETTLE_S,
    LimitModel,
    allowed_arrivals,
    most_arrivals,
)
from bench.registry import Figure, measurement
from monsoontack.core.virtualtime import run_in_virtual_time

ENTRY_COUNTS = (5, 68, 390)
LIMITS_PER_S = (2.8, 4.4, 9.0)
# About the users' load per entry before all servers of their smallest service.
CALLS_PER_ENTRY_S = 2.0
MIN_CALLS_PER_S = 60.0
LOAD_S = 30.0
FAULT_AT_S = 12.0
FAULT_S = 8.0
# "In use up to what it takes", under more load than all servers take.
MIN_USED = 0.7
MIN_USED_IN_FAULT = 0.5
# Messages an entry sends in a second: four reports, and news.
MAX_MESSAGES_PER_ENTRY_S = 6.0


@dataclass(frozen=True, slots=True)
class LimitResult:
    """Figures of one run; see the module's docstring."""

    peak_of_allowed: float
    used: float
    messages_per_entry_s: float
    refused: int
    mean_retry_after_s: float


Fault = Callable[[LimitModel], Coroutine]


async def no_fault(model: LimitModel) -> None:
    """Change nothing."""


async def root_restarts(model: LimitModel) -> None:
    """Start the root anew, twice."""
    name = model.top_entry()
    model.start_entry(name)
    await asyncio.sleep(2.0)
    model.start_entry(name)


async def root_freezes(model: LimitModel) -> None:
    """Freeze the root, then let it go on."""
    entry = model.entries[model.top_entry()]
    entry.frozen = True
    await asyncio.sleep(FAULT_S)
    entry.frozen = False


async def fleet_splits(model: LimitModel) -> None:
    """Cut the entries into two halves that both reach the servers."""
    for number, entry in enumerate(model.entries.values()):
        entry.group = number % 4 // 2
    await asyncio.sleep(FAULT_S)
    for entry in model.entries.values():
        entry.group = 0


async def all_are_cut(model: LimitModel) -> None:
    """Cut each entry from all others."""
    for number, entry in enumerate(model.entries.values()):
        entry.group = number
    await asyncio.sleep(FAULT_S)
    for entry in model.entries.values():
        entry.group = 0


FAULTS: dict[str, Fault] = {
    "calm": no_fault,
    "root_restarts": root_restarts,
    "root_freezes": root_freezes,
    "fleet_splits": fleet_splits,
    "all_are_cut": all_are_cut,
}


async def simulate(entries: int, fault: Fault, seed: int) -> LimitResult:
    """Run one case and return its figures."""
    calls_per_s = max(CALLS_PER_ENTRY_S * entries, MIN_CALLS_PER_S)
    model = LimitModel.with_entries(entries, len(LIMITS_PER_S), calls_per_s, seed)
    await asyncio.sleep(3.0)
    now = asyncio.get_running_loop().time
    began_at = now()
    for server, limit in zip(model.servers.values(), LIMITS_PER_S, strict=True):
        server.limit = limit
    load = asyncio.ensure_future(model.send_calls(LOAD_S))
    await asyncio.sleep(FAULT_AT_S)
    messages_before = model.sent_messages
    if fault is no_fault:
        await asyncio.sleep(FAULT_S)
        rate = (model.sent_messages - messages_before) / entries / FAULT_S
    else:
        await fault(model)
        rate = 0.0
    await load
    return _result(model, began_at, rate)


def _result(model: LimitModel, began_at: float, messages: float) -> LimitResult:
    since = began_at + SETTLE_S
    peaks, got = [], 0
    for server in model.servers.values():
        most = most_arrivals(server.arrivals, since)
        peaks.append(most / allowed_arrivals(server.limit))
        got += sum(at >= since for at in server.arrivals)
    refused = model.outcomes["refused"]
    return LimitResult(
        peak_of_allowed=max(peaks),
        used=got / (sum(LIMITS_PER_S) * (LOAD_S - SETTLE_S)),
        messages_per_entry_s=messages,
        refused=refused,
        mean_retry_after_s=model.outcomes["retry_after_ms"] / 1000 / max(refused, 1),
    )


@measurement("limits")
def measure(seed: int) -> Iterator[Figure]:
    """Yield the figures of all fleets and faults."""
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    for entries in ENTRY_COUNTS:
        for name, fault in FAULTS.items():
            result = run_in_virtual_time(simulate(entries, fault, seed))
            prefix = f"limits.{entries}.{name}"
            yield Figure.at_most(
                f"{prefix}.peak_of_allowed", result.peak_of_allowed, "1", 1.0
            )
            if name == "all_are_cut":
                yield Figure(f"{prefix}.used", result.used, "1")
                continue
            least = MIN_USED if name == "calm" else MIN_USED_IN_FAULT
            yield Figure.at_least(f"{prefix}.used", result.used, "1", least)
            if name == "calm":
                yield Figure.at_most(
                    f"{prefix}.messages_per_entry",
                    result.messages_per_entry_s,
                    "1/s",
                    MAX_MESSAGES_PER_ENTRY_S,
                )
                yield Figure(f"{prefix}.retry_after", result.mean_retry_after_s, "s")
