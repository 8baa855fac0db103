"""Requests that overlapping planned stops of four gateways lose; real processes."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial

from bench.registry import Figure, measurement
from standins.rollingstop import Caller, RollingStop
from standins.stopschedule import PlannedStop, overlapping_stops

NAME = "overlappingstops"
GATEWAYS = 4
BEFORE_S, STOPPING_S = 9.0, 60.0
# Streams of every length state the same maximum of tokens.
STATED = Caller(
    streams=True, short_events=(79, 130), long_events=(130, 180), stated_tokens=1260
)
OWN_LENGTH = Caller(streams=True, short_events=(79, 130), long_events=(130, 180))
TWO_LENGTHS = Caller(streams=True)
CALL = Caller(streams=False, pause_s=0.1)


@dataclass(frozen=True, slots=True)
class Case:
    """Callers, and what differs in the servers and in the moments of the stops."""

    callers: list[Caller]
    world: dict = field(default_factory=dict)
    stops: dict = field(default_factory=dict)


def callers(caller: Caller, **changes) -> list[Caller]:
    """Return callers with streams, and some with calls beside them."""
    return [Caller(**(_fields(caller) | changes))] * 40 + [CALL] * 8


def _fields(caller: Caller) -> dict:
    return {name: getattr(caller, name) for name in Caller.__slots__}


CASES = {
    NAME: Case(callers(STATED)),
    f"{NAME}.own_length": Case(callers(OWN_LENGTH)),
    f"{NAME}.two_lengths": Case(callers(TWO_LENGTHS)),
    f"{NAME}.dense": Case(callers(STATED), stops={"gap_s": (1.0, 5.0)}),
    f"{NAME}.all_chunked": Case(callers(STATED, chunked_share=1.0)),
    f"{NAME}.no_chunked": Case(callers(STATED, chunked_share=0.0)),
    f"{NAME}.young": Case(callers(STATED), stops={"again_share": 1.0}),
    f"{NAME}.slow_servers": Case(callers(STATED), {"slow_factor": 1.6}),
    f"{NAME}.late_events": Case(callers(STATED), {"first_event_max_s": 3.0}),
    f"{NAME}.end_pause": Case(callers(STATED), {"end_pause_s": 1.0}),
}


async def stop_overlapping(
    world: RollingStop,
    senders: list[Caller],
    before_s: float,
    schedule: list[PlannedStop],
) -> None:
    """Stop the gateways of a world by a schedule while callers send."""
    try:
        await world.start()
        await world.run(senders, before_s, 0.0, schedule)
    finally:
        await world.close()


def run(case: str, seed: int) -> RollingStop:
    """Stop gateways as a case says, and return the world with all requests."""
    chosen = CASES[case]
    world = RollingStop(GATEWAYS, seed, **chosen.world)
    schedule = overlapping_stops(seed, GATEWAYS, STOPPING_S, **chosen.stops)
    asyncio.run(stop_overlapping(world, chosen.callers, BEFORE_S, schedule))
    return world


def measure(case: str, seed: int) -> Iterator[Figure]:
    """Measure what overlapping stops lose, and what they still take late."""
    world = run(case, seed)
    lost, late = world.lost(), world.late()
    for item in lost:
        print(world.describe(item))
    for gateway in world.gateways:
        for line in gateway.process.log:
            if b'"drained"' in line:
                print(f"{gateway.process.settings.stem}: {line.decode().strip()}")
    print(world.statuses())
    whole = [item for item in lost if item.has_all_events]
    served = [item for item in late if item.status == 200]
    yield Figure.at_most(f"{case}.lost", len(lost), "requests", 0)
    yield Figure(f"{case}.lost_with_all_events", len(whole), "requests")
    yield Figure.at_most(
        f"{case}.false_refusals", len(world.false_refusals()), "requests", 0
    )
    yield Figure(f"{case}.stops", world.stops, "stops")
    yield Figure(f"{case}.sent", len(world.requests), "requests")
    yield Figure(f"{case}.sent_late", len(late), "requests")
    yield Figure(f"{case}.served_late", len(served), "requests")


for name in CASES:
    measurement(name)(partial(measure, name))
