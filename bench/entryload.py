"""Latency that an entry and an agent add to each token, and throughput per core.

`added` sends pairs of requests at the same time, one through entry and agent and one
directly to the engine, and compares the arrival times of their tokens. `throughput`
divides the tokens that an entry delivered by its CPU time.
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
PAIR_COUNT = 40
CONCURRENT_PAIRS = 8
PAIR_TOKENS = 60
TARGET_TOKENS_PER_CORE_S = 4700.0
STREAM_COUNT = 300
LOAD_ENGINES = 6
LOAD_TOKENS = 240
RAMP_TOKENS = 20
READ_BYTES = 65_536
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


async def token_arrivals_s(
    http: aiohttp.ClientSession, url: str, body: dict, headers: dict
):
    """Return the seconds from sending a request to the arrival of each token."""
    loop = asyncio.get_running_loop()
    times: list[float] = []
    sent_at = loop.time()
    async with http.post(url, json=body, headers=headers) as response:
        response.raise_for_status()
        async for count in token_counts(response):
            times.extend([loop.time() - sent_at] * count)
    return times


async def token_counts(response: aiohttp.ClientResponse) -> AsyncIterator[int]:
    """Yield the number of tokens in each event of a stream."""
    async for line in response.content:
        if line.startswith(b"data: {"):
            document = json.loads(line[6:])
            yield len(document["token_ids"])


async def measure_added_s(rng: random.Random) -> list[float]:
    """Return the seconds added to each token, for the tokens of all pairs."""
    headers = {"Authorization": f"Bearer {KEY}"}
    added_s: list[float] = []
    async with Fleet.start(engines=2, token_gap_s=TOKEN_GAP_S) as fleet:
        url = f"{fleet.entries[0].url}/v1/completions"
        direct_url = f"{fleet.backends[0].engine.url}/v1/completions"

        async def run_pair(number: int) -> None:
            await asyncio.sleep(rng.random() * TOKEN_GAP_S)
            body = fleet.body(f"pair {number}", PAIR_TOKENS) | {"stream": True}
            direct_body = body | {"version": VERSION, "request_id": f"d{number}"}
            via_entry, direct = await asyncio.gather(
                token_arrivals_s(http, url, body, headers),
                token_arrivals_s(http, direct_url, direct_body, {}),
            )
            added_s.extend(a - b for a, b in zip(via_entry, direct, strict=True))

        async with aiohttp.ClientSession() as http:
            for first in range(0, PAIR_COUNT, CONCURRENT_PAIRS):
                numbers = range(first, first + CONCURRENT_PAIRS)
                await asyncio.gather(*(run_pair(number) for number in numbers))
    return added_s


def cpu_seconds(process: ManagedProcess) -> float:
    """Return the CPU seconds that a process has used."""
    stat = Path(f"/proc/{process.pid}/stat").read_text(encoding="utf-8")
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


async def delivered_tokens(fleet: Fleet) -> int:
    """Return the number of tokens that the entry has received over its links."""
    state = await fleet.cluster.state_of(fleet.entries[0])
    return state["counters"].get("tokens", 0)


async def read_answer(http: aiohttp.ClientSession, url: str, body: dict) -> bool:
    """Read an answer without decoding it; return whether it is complete."""
    headers = {"Authorization": f"Bearer {KEY}"}
    tail = b""
    async with http.post(url, json=body, headers=headers) as response:
        async for data in response.content.iter_any():
            tail = (tail + data)[-100:]
    return tail.endswith(b"data: [DONE]\n\n")


async def measure_load(token_gap_s: float) -> tuple[float, float, int]:
    """Run `STREAM_COUNT` streams; return tokens a second, cores used, cut answers.

    The rate and the cores are measured between the ramp-up and the ramp-down.
    """
    loop = asyncio.get_running_loop()
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        Fleet.start(
            engines=LOAD_ENGINES, token_gap_s=token_gap_s, slots=STREAM_COUNT
        ) as fleet,
        aiohttp.ClientSession(connector=connector) as http,
    ):
        entry = fleet.entries[0]
        url = f"{entry.url}/v1/completions"
        bodies = [
            fleet.body(f"load {n}", LOAD_TOKENS) | {"stream": True}
            for n in range(STREAM_COUNT)
        ]
        calls = [asyncio.ensure_future(read_answer(http, url, body)) for body in bodies]
        while await delivered_tokens(fleet) < STREAM_COUNT * RAMP_TOKENS:
            await asyncio.sleep(0.1)
        tokens, cpu, started_at = (
            await delivered_tokens(fleet),
            cpu_seconds(entry),
            loop.time(),
        )
        while await delivered_tokens(fleet) < STREAM_COUNT * (
            LOAD_TOKENS - RAMP_TOKENS
        ):
            await asyncio.sleep(0.1)
        tokens = await delivered_tokens(fleet) - tokens
        cpu, elapsed = cpu_seconds(entry) - cpu, loop.time() - started_at
        complete = await asyncio.gather(*calls)
        return tokens / elapsed, cpu / elapsed, STREAM_COUNT - sum(complete)


@measurement("added")
def measure_added_time(seed: int) -> Iterator[Figure]:
    """Yield the latency that entry and agent add to each token."""
    added_s = asyncio.run(measure_added_s(random.Random(f"{seed}.added")))
    yield Figure("added.tokens", len(added_s), "tokens")
    yield Figure("added.p50", percentile(added_s, 50), "s")
    yield Figure("added.p95", percentile(added_s, 95), "s")


@measurement("throughput")
def measure_throughput(seed: int) -> Iterator[Figure]:
    """Yield the tokens a second that an entry delivers per core."""
    rate, core_share, cut = asyncio.run(measure_load(TOKEN_GAP_S))
    yield Figure("throughput.streams", STREAM_COUNT, "streams")
    yield Figure("throughput.rate", rate, "tokens/s")
    yield Figure("throughput.core_share", core_share, "cores")
    yield Figure.at_most("throughput.cut_answers", cut, "answers", 0)
    yield Figure.at_least(
        "throughput.per_core", rate / core_share, "tokens/s", TARGET_TOKENS_PER_CORE_S
    )
