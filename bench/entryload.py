"""What an entry and an agent add to each token, and what one entry carries.

`added` compares each token's arrival through entry and agent with its arrival
from the engine read directly, for pairs of requests that start together.
`throughput` divides the tokens that an entry delivered by its CPU time.
"""

import asyncio
import json
import os
import random
from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import aiohttp

from bench.registry import Figure, measurement
from bench.resume import percentile
from standins.fleet import KEY, VERSION, Fleet
from standins.processes import ManagedProcess

TOKEN_GAP_S = 0.05
PAIRS = 40
PAIRS_AT_ONCE = 8
LENGTH = 60
TARGET_TOKENS_PER_S = 4700.0
STREAMS = 300
LOAD_ENGINES = 6
LOAD_LENGTH = 240
RAMP_TOKENS = 20
READ_BYTES = 65_536
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


async def arrivals(http: aiohttp.ClientSession, url: str, body: dict, headers: dict):
    """Return the arrival time of each token since the request was sent."""
    loop = asyncio.get_running_loop()
    times: list[float] = []
    sent_at = loop.time()
    async with http.post(url, json=body, headers=headers) as response:
        response.raise_for_status()
        async for count in token_counts(response):
            times.extend([loop.time() - sent_at] * count)
    return times


async def token_counts(response: aiohttp.ClientResponse) -> AsyncIterator[int]:
    """Yield the number of tokens of each event of a stream."""
    async for line in response.content:
        if line.startswith(b"data: {"):
            document = json.loads(line[6:])
            yield len(document["token_ids"])


async def measure_added(rng: random.Random) -> list[float]:
    """Return, for each token of all pairs, the time added in seconds."""
    headers = {"Authorization": f"Bearer {KEY}"}
    added: list[float] = []
    async with Fleet.start(engines=2, token_gap_s=TOKEN_GAP_S) as fleet:
        url = f"{fleet.entries[0].url}/v1/completions"
        direct_url = f"{fleet.backends[0].engine.url}/v1/completions"

        async def pair(number: int) -> None:
            await asyncio.sleep(rng.random() * TOKEN_GAP_S)
            body = fleet.body(f"pair {number}", LENGTH) | {"stream": True}
            direct_body = body | {"version": VERSION, "request_id": f"d{number}"}
            through, direct = await asyncio.gather(
                arrivals(http, url, body, headers),
                arrivals(http, direct_url, direct_body, {}),
            )
            added.extend(a - b for a, b in zip(through, direct, strict=True))

        async with aiohttp.ClientSession() as http:
            for first in range(0, PAIRS, PAIRS_AT_ONCE):
                numbers = range(first, first + PAIRS_AT_ONCE)
                await asyncio.gather(*(pair(number) for number in numbers))
    return added


def cpu_seconds(process: ManagedProcess) -> float:
    """Return the CPU time that a process has used, in seconds."""
    stat = Path(f"/proc/{process.pid}/stat").read_text(encoding="utf-8")
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


async def delivered(fleet: Fleet) -> int:
    """Return the tokens that the entry has taken from its links."""
    state = await fleet.cluster.state_of(fleet.entries[0])
    return state["counters"].get("tokens", 0)


async def drain(http: aiohttp.ClientSession, url: str, body: dict) -> bool:
    """Read a whole answer without decoding it; return whether it was whole."""
    headers = {"Authorization": f"Bearer {KEY}"}
    tail = b""
    async with http.post(url, json=body, headers=headers) as response:
        async for data in response.content.iter_any():
            tail = (tail + data)[-100:]
    return tail.endswith(b"data: [DONE]\n\n")


async def measure_load(token_gap_s: float) -> tuple[float, float, int]:
    """Run `STREAMS` streams; return tokens a second, CPU share and cut answers.

    The rate and the share of one core are taken in the middle of the run.
    """
    loop = asyncio.get_running_loop()
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        Fleet.start(
            engines=LOAD_ENGINES, token_gap_s=token_gap_s, slots=STREAMS
        ) as fleet,
        aiohttp.ClientSession(connector=connector) as http,
    ):
        entry = fleet.entries[0]
        url = f"{entry.url}/v1/completions"
        bodies = [
            fleet.body(f"load {n}", LOAD_LENGTH) | {"stream": True}
            for n in range(STREAMS)
        ]
        calls = [asyncio.ensure_future(drain(http, url, body)) for body in bodies]
        while await delivered(fleet) < STREAMS * RAMP_TOKENS:
            await asyncio.sleep(0.1)
        tokens, cpu, at = await delivered(fleet), cpu_seconds(entry), loop.time()
        while await delivered(fleet) < STREAMS * (LOAD_LENGTH - RAMP_TOKENS):
            await asyncio.sleep(0.1)
        tokens = await delivered(fleet) - tokens
        cpu, elapsed = cpu_seconds(entry) - cpu, loop.time() - at
        whole = await asyncio.gather(*calls)
        return tokens / elapsed, cpu / elapsed, STREAMS - sum(whole)


@measurement("added")
def measure_added_time(seed: int) -> Iterator[Figure]:
    """Measure the time per token that entry and agent add."""
    added = asyncio.run(measure_added(random.Random(f"{seed}.added")))
    yield Figure("added.tokens", len(added), "tokens")
    yield Figure("added.p50", percentile(added, 50), "s")
    yield Figure("added.p95", percentile(added, 95), "s")


@measurement("throughput")
def measure_throughput(seed: int) -> Iterator[Figure]:
    """Measure the tokens a second that one entry carries on one core."""
    rate, share, cut = asyncio.run(measure_load(TOKEN_GAP_S))
    yield Figure("throughput.streams", STREAMS, "streams")
    yield Figure("throughput.rate", rate, "tokens/s")
    yield Figure("throughput.core_share", share, "cores")
    yield Figure.at_most("throughput.cut_answers", cut, "answers", 0)
    yield Figure.at_least(
        "throughput.per_core", rate / share, "tokens/s", TARGET_TOKENS_PER_S
    )
