"""Demonstration: an answer survives the loss of its engine and of its entry.

Starts the stand-ins, two entries and four agents in two failure domains, all as
local processes. It streams one answer, kills the engine that produces it, then
the entry that delivers it, and prints the answer, whether it is whole, and how
long the output took to continue. `make demo` runs it; the exit status is 0 only
if the answer is whole.
"""

import asyncio
import hashlib
import sys
from dataclasses import dataclass, field

from monsoontack.client.client import AnswerProgress, Client
from monsoontack.config.revision import seed_store
from monsoontack.core.records import Place
from monsoontack.generation.eventid import parse_event_id
from monsoontack.store.http import HttpStore
from standins.answers import expected_answer
from standins.cluster import Cluster
from standins.processes import ManagedProcess

SERVICE = "repair-assistant"
VERSION = "v1"
KEY = "demo-key"
PLACES = (Place("ub-bayanzurkh", "ulaanbaatar"), Place("ub-songino", "ulaanbaatar"))
AGENTS_PER_PLACE = 2
TOKEN_GAP_S = 0.03
REQUEST = {
    "model": SERVICE,
    "prompt": "The milk frother hums but does not heat. What should I check?",
    "max_tokens": 120,
}
KILL_ENGINE_AT = 30
KILL_ENTRY_AT = 70
TIMEOUT_S = 120.0


@dataclass(slots=True)
class Deployment:
    """The demonstration's processes; `engines` is keyed by agent address."""

    entries: list[ManagedProcess] = field(default_factory=list)
    engines: dict[str, ManagedProcess] = field(default_factory=dict)


@dataclass(slots=True)
class Kill:
    """A loss that was caused, and when output continued after it.

    `before` is what served the answer: the attempt and agent of its events, or
    the number of the caller's connection.
    """

    what: str
    position: int
    killed_at: float
    before: object
    resumed_at: float | None = None


def configuration() -> list[dict]:
    """Return the objects that an operator would apply."""
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    version = {"service": SERVICE, "version": VERSION}
    return [
        {
            "kind": "Service",
            "name": SERVICE,
            "spec": {"kind": "engine", "shares": {VERSION: 100}},
        },
        {"kind": "Version", "name": f"{SERVICE}.{VERSION}", "spec": version},
        {"kind": "ClientAccount", "name": "demo", "spec": {"key_digests": [digest]}},
    ]


async def publish_initial_configuration(store_url: str) -> None:
    """Publish the first revision of the configuration."""
    async with HttpStore(store_url) as store:
        (await seed_store(store, configuration())).unwrap()


async def start(cluster: Cluster) -> Deployment:
    """Start all processes and wait until the entries take requests."""
    deployment = Deployment()
    await cluster.start_platform(publish_initial_configuration)
    for place in PLACES:
        for _ in range(AGENTS_PER_PLACE):
            engine = await cluster.start_engine((VERSION,), token_gap_s=TOKEN_GAP_S)
            agent = await cluster.start_agent(
                engine, SERVICE, versions=(VERSION,), place=place
            )
            deployment.engines[agent.address] = engine
    for place in PLACES:
        deployment.entries.append(await cluster.start_entry(place))
    for entry in deployment.entries:
        await cluster.wait_links(entry, len(deployment.engines))
    return deployment


def kill_engine(deployment: Deployment, progress: AnswerProgress, now: float) -> Kill:
    """Kill the engine that produces the answer."""
    event_id = parse_event_id(progress.event_id)
    engine = deployment.engines[event_id.address]
    engine.kill()
    return Kill(engine.name, len(progress.tokens), now, source(progress))


def kill_entry(
    deployment: Deployment, client: Client, progress: AnswerProgress, now: float
):
    """Kill the entry that delivers the answer."""
    number = (client.next_url - 1) % len(deployment.entries)
    entry = deployment.entries[number]
    entry.kill()
    return Kill(entry.name, len(progress.tokens), now, source(progress))


def source(progress: AnswerProgress) -> tuple:
    """Return what serves the answer now: attempt, agent and connection."""
    event_id = parse_event_id(progress.event_id)
    return event_id.attempt, event_id.address, progress.connections


async def stream(
    deployment: Deployment, progress: AnswerProgress
) -> tuple[str, list[Kill]]:
    """Stream the answer and cause the two losses; return its text and them."""
    now = asyncio.get_running_loop().time
    text, kills = "", []
    urls = [entry.url for entry in deployment.entries]
    async with Client(urls, KEY) as client:
        async for part in client.stream("completions", REQUEST, progress):
            text += part.text
            # Output that was under way when the process died is no recovery.
            if kills and kills[-1].resumed_at is None:
                if source(progress) != kills[-1].before:
                    kills[-1].resumed_at = now()
            received = len(progress.tokens)
            if not kills and received >= KILL_ENGINE_AT:
                kills.append(kill_engine(deployment, progress, now()))
            elif len(kills) == 1 and received >= KILL_ENTRY_AT:
                kills.append(kill_entry(deployment, client, progress, now()))
    return text, kills


def report(text: str, progress: AnswerProgress, kills: list[Kill]) -> bool:
    """Print what happened; return whether the answer is whole."""
    tokens, expected_text = expected_answer(VERSION, REQUEST)
    whole = progress.tokens == tokens and text == expected_text
    print(text.strip())
    for kill in kills:
        if kill.resumed_at is None:
            print(f"killed {kill.what} at token {kill.position}: no output after it")
            continue
        latency_s = kill.resumed_at - kill.killed_at
        print(
            f"killed {kill.what} at token {kill.position}:"
            f" output continued after {latency_s:.3f} s"
        )
    state = "whole" if whole else "NOT whole"
    print(f"answer: {len(progress.tokens)} of {len(tokens)} tokens, {state}")
    print(f"connections of the caller: {progress.connections}")
    return whole and len(kills) == 2


async def run() -> bool:
    """Run the demonstration; return whether the answer is whole."""
    async with Cluster.create() as cluster:
        deployment = await start(cluster)
        count = len(deployment.engines)
        print(f"{len(deployment.entries)} entries, {count} agents with engines")
        progress = AnswerProgress()
        async with asyncio.timeout(TIMEOUT_S):
            text, kills = await stream(deployment, progress)
        return report(text, progress, kills)


def main() -> int:
    """Run the demonstration; return the exit status."""
    return 0 if asyncio.run(run()) else 1


if __name__ == "__main__":
    sys.exit(main())
