"""One soak: a world, callers, faults, and the check of the promises."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from soak.callers import Callers
from soak.environment import KEYS, World
from soak.faults import Faults
from soak.invariants import check
from soak.responsefaults import ByteFaults

CALLERS = 12
# Engines may still work on the last requests when the callers stop.
SETTLE_S = 1.0
RECOVER_S = 20.0


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What one seed gave. `unserved` names gateways that did not come back."""

    seed: int
    faults: Counter
    statuses: Counter
    broken: list[str] = field(default_factory=list)
    unserved: list[str] = field(default_factory=list)

    @property
    def requests(self) -> int:
        """Return how many requests were sent."""
        return sum(self.statuses.values())


async def run_seed(seed: int, seconds: float) -> SoakResult:
    """Run one soak of about `seconds` of faults."""
    world = World()
    try:
        await world.start()
        rng = random.Random(seed)
        callers = Callers(world, random.Random(rng.random()))
        faults = Faults(world, random.Random(rng.random()))
        odd_bytes = ByteFaults(world, random.Random(rng.random()))
        tasks = [asyncio.ensure_future(callers.run_one()) for _ in range(CALLERS)]
        await asyncio.gather(faults.run(seconds), odd_bytes.run(seconds))
        unserved = await _recovered(world, callers)
        callers.stopping = True
        await asyncio.gather(*tasks)
        await asyncio.sleep(SETTLE_S)
        statuses = Counter(item.status for item in callers.seen)
        broken = check(world, callers.seen)
        counts = faults.counts + odd_bytes.counts
        return SoakResult(seed, counts, statuses, broken, unserved)
    finally:
        await world.close()


async def _recovered(world: World, callers: Callers) -> list[str]:
    """Return the gateways that serve no call of each kind after the faults."""
    loop = asyncio.get_running_loop()
    until = loop.time() + RECOVER_S
    left = {
        (g.settings.stem, kind): g
        for g in world.gateways
        for kind in ("look", "stream")
    }
    while left and loop.time() < until:
        for name, kind in list(left):
            found = await callers.send(left[name, kind], kind, KEYS[0])
            if found.status == 200 and found.whole:
                del left[name, kind]
        await asyncio.sleep(0.2)
    return [f"{name} serves no {kind}" for name, kind in left]
