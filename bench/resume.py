"""Resume latency and extra work of recovery, measured over real sockets.

The latency of a loss is the time at the caller from the last event of one attempt to
the first event of the next, including one token gap. Each kind of loss is repeated
at least `MIN_LOSSES` times at positions that depend on the seed.
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

MIN_LOSSES = 200
CALLER_COUNT = 40
OUTPUT_TOKENS = 60
TOKEN_GAP_S = 0.02
SLOTS = 64
BROKEN_P95_LIMIT_S = 1.0
SILENT_P95_LIMIT_S = 2.5
WORST_LIMIT_S = 5.0
MAX_ROUNDS = 60
# Consecutive failures would eject the engine, and no more losses would occur.
FAULT_SHARE = 0.2
GENERATION_COUNT = 500
GENERATIONS_PER_LOSS = 50
MAX_EXTRA_PERCENT = 3.0


def percentile(values: list[float], percent: float) -> float:
    """Return the nearest-rank percentile."""
    ordered = sorted(values)
    rank = int(len(ordered) * percent / 100)
    return ordered[min(rank, len(ordered) - 1)]


@dataclass(slots=True)
class Losses:
    """Gaps of the losses that callers saw, and the number of wrong answers."""

    gaps_s: list[float] = field(default_factory=list)
    wrong_answers: int = 0


async def follow_stream(
    fleet: Fleet,
    urls: list[str],
    prompt: str,
    losses: Losses,
    on_position: Callable[[int], Awaitable[None]] | None = None,
) -> None:
    """Read one stream, record its losses and compare its tokens with the expected."""
    loop = asyncio.get_running_loop()
    body = fleet.body(prompt, OUTPUT_TOKENS)
    progress = AnswerProgress()
    attempt, last_event_at = None, loop.time()
    async with Client(urls, KEY) as client:
        async for part in client.stream("completions", body, progress):
            now = loop.time()
            current_attempt = progress.event_id.rsplit(".", 6)[1]
            if attempt is not None and current_attempt != attempt:
                losses.gaps_s.append(now - last_event_at)
            attempt, last_event_at = current_attempt, now
            if on_position is not None:
                await on_position(part.first_position + len(part.tokens))
    losses.wrong_answers += progress.tokens != fleet.expected(body)[0]


async def run_rounds(
    fleet: Fleet,
    urls: list[str],
    inject_fault: Callable[[], Awaitable[None]] | None,
    reset_faults: Callable[[], Awaitable[None]] | None,
    rng: random.Random,
) -> Losses:
    """Run rounds of concurrent callers until enough losses have occurred.

    In each round `inject_fault` is called once the first caller has reached a random
    position; if it is None, the engines inject their own faults. `reset_faults` is
    called after each round.
    """
    losses = Losses()
    for number in range(MAX_ROUNDS):
        if len(losses.gaps_s) >= MIN_LOSSES:
            break
        position = rng.randrange(5, OUTPUT_TOKENS - 15)
        fault_injected = False

        async def on_position(end: int, position: int = position) -> None:
            nonlocal fault_injected
            if inject_fault is not None and end >= position and not fault_injected:
                fault_injected = True
                await inject_fault()

        calls = [
            follow_stream(
                fleet, urls, f"{number}.{n}", losses, None if n else on_position
            )
            for n in range(CALLER_COUNT)
        ]
        await asyncio.gather(*calls)
        if reset_faults is not None:
            await reset_faults()
    return losses


def figures(kind: str, losses: Losses, p95_limit_s: float) -> Iterator[Figure]:
    """Yield the figures of one kind of loss."""
    name = f"resume.{kind}"
    yield Figure.at_least(f"{name}.losses", len(losses.gaps_s), "losses", MIN_LOSSES)
    yield Figure.at_most(f"{name}.wrong_answers", losses.wrong_answers, "answers", 0)
    if not losses.gaps_s:
        return
    yield Figure(f"{name}.p50", percentile(losses.gaps_s, 50), "s")
    yield Figure.at_most(f"{name}.p95", percentile(losses.gaps_s, 95), "s", p95_limit_s)
    yield Figure.at_most(f"{name}.worst", max(losses.gaps_s), "s", WORST_LIMIT_S)


def start_fleet(**options):
    """Return a fleet with room for all callers."""
    settings = {"engines": 3, "token_gap_s": TOKEN_GAP_S, "slots": SLOTS}
    return Fleet.start(**settings | options)


async def measure_engine_faults(kind: str, rng: random.Random) -> Losses:
    """Measure engines that break (`fail`) or stall (`silent`) some of their streams.

    Engines have different fault positions, so that a stream has a new token before
    its next loss; `measure_repeated_loss` measures a loss without one.
    """
    async with start_fleet() as fleet:

        async def set_faults() -> None:
            positions = rng.sample(range(5, OUTPUT_TOKENS - 15), len(fleet.backends))
            for backend, position in zip(fleet.backends, positions, strict=True):
                fault = {"kind": kind, "at_position": position, "share": FAULT_SHARE}
                fault["seed"] = rng.randrange(1000)
                await fleet.cluster.set_faults(backend.engine, {"faults": [fault]})

        await set_faults()
        return await run_rounds(fleet, [fleet.entries[0].url], None, set_faults, rng)


async def measure_repeated_loss(rng: random.Random) -> Losses:
    """Measure streams that stall on one engine and again on the next engine."""
    async with start_fleet() as fleet:

        async def set_faults() -> None:
            position = rng.randrange(5, OUTPUT_TOKENS - 15)
            for backend in fleet.backends[:2]:
                fault = {"kind": "silent", "at_position": position, "count": 4}
                await fleet.cluster.set_faults(backend.engine, {"faults": [fault]})

        await set_faults()
        return await run_rounds(fleet, [fleet.entries[0].url], None, set_faults, rng)


async def measure_link_faults(faults: dict, rng: random.Random) -> Losses:
    """Measure faults on the links from the entry to its agents, one agent a round."""
    async with start_fleet(fault_proxies=True) as fleet:
        fault_proxies = itertools.cycle(
            [backend.fault_proxy for backend in fleet.backends]
        )

        async def inject_fault() -> None:
            await fleet.cluster.set_faults(next(fault_proxies), faults)

        async def reset_faults() -> None:
            for backend in fleet.backends:
                await fleet.cluster.set_faults(backend.fault_proxy, {"silence": "none"})
            await fleet.wait_ready(fleet.entries[0])

        url = fleet.entries[0].url
        return await run_rounds(fleet, [url], inject_fault, reset_faults, rng)


async def measure_entry_faults(faults: dict, rng: random.Random) -> Losses:
    """Measure faults on connections to an entry; callers resume at another entry."""
    async with start_fleet(entries=2) as fleet:
        first, second = fleet.entries
        fault_proxy = await fleet.cluster.start_fault_proxy(first.address)

        async def inject_fault() -> None:
            await fleet.cluster.set_faults(fault_proxy, faults)

        async def reset_faults() -> None:
            await fleet.cluster.set_faults(fault_proxy, {"silence": "none"})

        return await run_rounds(
            fleet, [fault_proxy.url, second.url], inject_fault, reset_faults, rng
        )


@measurement("resume_twice")
def measure_resume_twice(seed: int) -> Iterator[Figure]:
    """Yield the figures of two losses of a stream without a token between them."""
    losses = asyncio.run(measure_repeated_loss(random.Random(f"{seed}.twice")))
    yield from figures("engine_silent_twice", losses, WORST_LIMIT_S)


@measurement("resume")
def measure_resume(seed: int) -> Iterator[Figure]:
    """Yield the figures of each kind of loss."""
    close_fault, silence_fault = {"close": True}, {"silence": "open"}
    kinds = (
        ("engine_breaks", measure_engine_faults, "fail", BROKEN_P95_LIMIT_S),
        ("engine_silent", measure_engine_faults, "silent", SILENT_P95_LIMIT_S),
        ("link_breaks", measure_link_faults, close_fault, BROKEN_P95_LIMIT_S),
        ("link_silent", measure_link_faults, silence_fault, SILENT_P95_LIMIT_S),
        (
            "entry_connection_breaks",
            measure_entry_faults,
            close_fault,
            BROKEN_P95_LIMIT_S,
        ),
        (
            "entry_connection_silent",
            measure_entry_faults,
            silence_fault,
            SILENT_P95_LIMIT_S,
        ),
    )
    for kind, measure, fault, limit_s in kinds:
        losses = asyncio.run(measure(fault, random.Random(f"{seed}.{kind}")))
        yield from figures(kind, losses, limit_s)


async def resumed_prefix_tokens(fleet: Fleet, engine: ManagedProcess) -> list[int]:
    """Return the resumed prefix length of each request that an engine received."""
    report = await fleet.cluster.get_json(f"{engine.url}/requests")
    return [request["resumed"] for request in report["seen"]]


async def sent_tokens(fleet: Fleet) -> int:
    """Return the number of tokens that all agents have sent to entries."""
    states = [await fleet.cluster.state_of(b.agent) for b in fleet.backends]
    return sum(state["counters"].get("tokens", 0) for state in states)


async def measure_extra(rng: random.Random) -> tuple[Losses, int, int, int]:
    """Run generations with one loss in every `GENERATIONS_PER_LOSS`.

    Returns the losses, and the number of tokens delivered, of prefix tokens that
    were recomputed, and of tokens that agents sent beyond those delivered.
    """
    async with start_fleet(entries=1) as fleet:
        losses = Losses()
        faulty_engine = fleet.backends[0].engine
        url = fleet.entries[0].url
        done = 0
        while done < GENERATION_COUNT:
            position = rng.randrange(1, OUTPUT_TOKENS)
            fault = {"kind": "fail", "at_position": position, "count": 1}
            await fleet.cluster.set_faults(faulty_engine, {"faults": [fault]})
            calls = [
                follow_stream(fleet, [url], f"extra {done + n}", losses)
                for n in range(GENERATIONS_PER_LOSS)
            ]
            await asyncio.gather(*calls)
            done += GENERATIONS_PER_LOSS
        prefixes = [
            await resumed_prefix_tokens(fleet, b.engine) for b in fleet.backends
        ]
        recomputed = sum(itertools.chain.from_iterable(prefixes))
        delivered = done * OUTPUT_TOKENS
        return losses, delivered, recomputed, await sent_tokens(fleet) - delivered


@measurement("extra")
def measure_extra_work(seed: int) -> Iterator[Figure]:
    """Yield the share of extra tokens that recovery computes."""
    rng = random.Random(f"{seed}.extra")
    losses, delivered, recomputed, resent = asyncio.run(measure_extra(rng))
    share = 100.0 * (recomputed + max(resent, 0)) / delivered
    expected_losses = GENERATION_COUNT // GENERATIONS_PER_LOSS
    yield Figure("extra.generations", delivered // OUTPUT_TOKENS, "generations")
    yield Figure.at_least("extra.losses", len(losses.gaps_s), "losses", expected_losses)
    yield Figure.at_most("extra.wrong_answers", losses.wrong_answers, "answers", 0)
    yield Figure("extra.recomputed", recomputed, "tokens")
    yield Figure("extra.sent_again", resent, "tokens")
    yield Figure.at_most("extra.share", share, "%", MAX_EXTRA_PERCENT)
