"""Resume latency and the extra work of recovery, on real sockets.

A loss is seen at the caller as the gap between the last event of one attempt
and the first event of the next, one token gap included. Each kind of loss is
repeated at least `LOSSES` times; fault positions come from the seed.
"""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field

from bench.registry import Figure, measurement
from monsoontack.client.client import AnswerProgress, Client
from standins.fleet import KEY, Fleet
from standins.processes import ManagedProcess

LOSSES = 200
CALLERS = 40
LENGTH = 60
TOKEN_GAP_S = 0.02
SLOTS = 64
BROKEN_P95_S = 1.0
SILENT_P95_S = 2.5
WORST_S = 5.0
MAX_ROUNDS = 60
# Several failures in a row would eject the engine and end the losses.
FAULT_SHARE = 0.2
EXTRA_GENERATIONS = 500
LOSS_EVERY = 50
EXTRA_PERCENT = 3.0


def percentile(values: list[float], percent: float) -> float:
    """Return the nearest-rank percentile."""
    ordered = sorted(values)
    rank = int(len(ordered) * percent / 100)
    return ordered[min(rank, len(ordered) - 1)]


@dataclass(slots=True)
class Losses:
    """Gaps in seconds of the losses seen, and answers that were wrong."""

    gaps: list[float] = field(default_factory=list)
    wrong: int = 0


async def follow(
    fleet: Fleet,
    urls: list[str],
    prompt: str,
    losses: Losses,
    reached: Callable[[int], Awaitable[None]] | None = None,
) -> None:
    """Follow one answer, note its losses and compare all of its tokens."""
    loop = asyncio.get_running_loop()
    body = fleet.body(prompt, LENGTH)
    progress = AnswerProgress()
    attempt, newest_at = None, loop.time()
    async with Client(urls, KEY) as client:
        async for part in client.stream("completions", body, progress):
            now = loop.time()
            current = progress.event_id.rsplit(".", 6)[1]
            if attempt is not None and current != attempt:
                losses.gaps.append(now - newest_at)
            attempt, newest_at = current, now
            if reached is not None:
                await reached(part.first_position + len(part.tokens))
    losses.wrong += progress.tokens != fleet.expected(body)[0]


async def run_rounds(
    fleet: Fleet,
    urls: list[str],
    strike: Callable[[], Awaitable[None]] | None,
    restore: Callable[[], Awaitable[None]] | None,
    rng: random.Random,
) -> Losses:
    """Run rounds of concurrent callers until enough losses were seen.

    `strike` is called in each round once the first caller is at a position from
    the seed; without it the engines' own faults strike.
    """
    losses = Losses()
    for number in range(MAX_ROUNDS):
        if len(losses.gaps) >= LOSSES:
            break
        position = rng.randrange(5, LENGTH - 15)
        struck = False

        async def reached(end: int, position: int = position) -> None:
            nonlocal struck
            if strike is not None and end >= position and not struck:
                struck = True
                await strike()

        calls = [
            follow(fleet, urls, f"{number}.{n}", losses, None if n else reached)
            for n in range(CALLERS)
        ]
        await asyncio.gather(*calls)
        if restore is not None:
            await restore()
    return losses


def figures(kind: str, losses: Losses, p95_s: float) -> Iterator[Figure]:
    """Return the figures of one kind of loss."""
    name = f"resume.{kind}"
    yield Figure.at_least(f"{name}.losses", len(losses.gaps), "losses", LOSSES)
    yield Figure.at_most(f"{name}.wrong_answers", losses.wrong, "answers", 0)
    if not losses.gaps:
        return
    yield Figure(f"{name}.p50", percentile(losses.gaps, 50), "s")
    yield Figure.at_most(f"{name}.p95", percentile(losses.gaps, 95), "s", p95_s)
    yield Figure.at_most(f"{name}.worst", max(losses.gaps), "s", WORST_S)


def start_fleet(**options):
    """Return a fleet with room for all callers."""
    settings = {"engines": 3, "token_gap_s": TOKEN_GAP_S, "slots": SLOTS}
    return Fleet.start(**settings | options)


async def measure_engine(kind: str, rng: random.Random) -> Losses:
    """Measure engines of which some streams break (`fail`) or stop (`silent`).

    Engines have different fault positions, so that a stream is not struck again
    before it has a new token; `measure_twice` measures that.
    """
    async with start_fleet() as fleet:

        async def set_faults() -> None:
            positions = rng.sample(range(5, LENGTH - 15), len(fleet.backends))
            for backend, position in zip(fleet.backends, positions, strict=True):
                fault = {"kind": kind, "at_position": position, "share": FAULT_SHARE}
                fault["seed"] = rng.randrange(1000)
                await fleet.cluster.set_faults(backend.engine, {"faults": [fault]})

        await set_faults()
        return await run_rounds(fleet, [fleet.entries[0].url], None, set_faults, rng)


async def measure_twice(rng: random.Random) -> Losses:
    """Measure streams that stop, and stop again on the engine that continues."""
    async with start_fleet() as fleet:

        async def set_faults() -> None:
            position = rng.randrange(5, LENGTH - 15)
            for backend in fleet.backends[:2]:
                fault = {"kind": "silent", "at_position": position, "count": 4}
                await fleet.cluster.set_faults(backend.engine, {"faults": [fault]})

        await set_faults()
        return await run_rounds(fleet, [fleet.entries[0].url], None, set_faults, rng)


async def measure_link(faults: dict, rng: random.Random) -> Losses:
    """Measure the connection from the entry to one agent after another."""
    async with start_fleet(gates=True) as fleet:
        gates = itertools.cycle([backend.gate for backend in fleet.backends])

        async def strike() -> None:
            await fleet.cluster.set_faults(next(gates), faults)

        async def restore() -> None:
            for backend in fleet.backends:
                await fleet.cluster.set_faults(backend.gate, {"silence": "none"})
            await fleet.wait_ready(fleet.entries[0])

        url = fleet.entries[0].url
        return await run_rounds(fleet, [url], strike, restore, rng)


async def measure_entry(faults: dict, rng: random.Random) -> Losses:
    """Measure the connection from the callers to an entry; they go to another."""
    async with start_fleet(entries=2) as fleet:
        first, second = fleet.entries
        gate = await fleet.cluster.start_gate(first.address)

        async def strike() -> None:
            await fleet.cluster.set_faults(gate, faults)

        async def restore() -> None:
            await fleet.cluster.set_faults(gate, {"silence": "none"})

        return await run_rounds(fleet, [gate.url, second.url], strike, restore, rng)


@measurement("resume_twice")
def measure_resume_twice(seed: int) -> Iterator[Figure]:
    """Measure two losses of one stream without a token between them."""
    losses = asyncio.run(measure_twice(random.Random(f"{seed}.twice")))
    yield from figures("engine_silent_twice", losses, WORST_S)


@measurement("resume")
def measure_resume(seed: int) -> Iterator[Figure]:
    """Measure each kind of loss."""
    cut, silence = {"close": True}, {"silence": "open"}
    kinds = (
        ("engine_breaks", measure_engine, "fail", BROKEN_P95_S),
        ("engine_silent", measure_engine, "silent", SILENT_P95_S),
        ("link_breaks", measure_link, cut, BROKEN_P95_S),
        ("link_silent", measure_link, silence, SILENT_P95_S),
        ("entry_connection_breaks", measure_entry, cut, BROKEN_P95_S),
        ("entry_connection_silent", measure_entry, silence, SILENT_P95_S),
    )
    for kind, measure, fault, limit_s in kinds:
        losses = asyncio.run(measure(fault, random.Random(f"{seed}.{kind}")))
        yield from figures(kind, losses, limit_s)


async def engine_work(fleet: Fleet, engine: ManagedProcess) -> list[int]:
    """Return the prefix length of each request that an engine has seen."""
    report = await fleet.cluster.get_json(f"{engine.url}/requests")
    return [request["resumed"] for request in report["seen"]]


async def agent_tokens(fleet: Fleet) -> int:
    """Return the tokens that all agents have sent to entries."""
    states = [await fleet.cluster.state_of(b.agent) for b in fleet.backends]
    return sum(state["counters"].get("tokens", 0) for state in states)


async def measure_extra(rng: random.Random) -> tuple[Losses, int, int, int]:
    """Run generations with one loss in `LOSS_EVERY`.

    Returns the losses, the tokens delivered, the prefix tokens recomputed and
    the tokens that agents sent beyond those delivered.
    """
    async with start_fleet(entries=1) as fleet:
        losses = Losses()
        faulty = fleet.backends[0].engine
        url = fleet.entries[0].url
        done = 0
        while done < EXTRA_GENERATIONS:
            position = rng.randrange(1, LENGTH)
            fault = {"kind": "fail", "at_position": position, "count": 1}
            await fleet.cluster.set_faults(faulty, {"faults": [fault]})
            calls = [
                follow(fleet, [url], f"extra {done + n}", losses)
                for n in range(LOSS_EVERY)
            ]
            await asyncio.gather(*calls)
            done += LOSS_EVERY
        prefixes = [await engine_work(fleet, b.engine) for b in fleet.backends]
        recomputed = sum(itertools.chain.from_iterable(prefixes))
        delivered = done * LENGTH
        return losses, delivered, recomputed, await agent_tokens(fleet) - delivered


@measurement("extra")
def measure_extra_work(seed: int) -> Iterator[Figure]:
    """Measure the extra tokens that recovery computes."""
    rng = random.Random(f"{seed}.extra")
    losses, delivered, recomputed, again = asyncio.run(measure_extra(rng))
    share = 100.0 * (recomputed + max(again, 0)) / delivered
    wanted = EXTRA_GENERATIONS // LOSS_EVERY
    yield Figure("extra.generations", delivered // LENGTH, "generations")
    yield Figure.at_least("extra.losses", len(losses.gaps), "losses", wanted)
    yield Figure.at_most("extra.wrong_answers", losses.wrong, "answers", 0)
    yield Figure("extra.recomputed", recomputed, "tokens")
    yield Figure("extra.sent_again", again, "tokens")
    yield Figure.at_most("extra.share", share, "%", EXTRA_PERCENT)
