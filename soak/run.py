"""One soak run: test environment, callers, faults, and the check of the invariants."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from soak.addressfaults import AddressFaults
from soak.callers import Callers
from soak.entryfaults import EntryFaults
from soak.environment import KEYS, SoakEnvironment
from soak.faults import Faults
from soak.invariants import find_violations
from soak.limitfaults import LimitFaults
from soak.pausefaults import PauseFaults
from soak.promptfaults import PromptFaults, RequestFaults
from soak.responsefaults import ResponseFaults
from soak.resumefaults import ResumeFaults
from soak.silencefaults import SilenceFaults
from soak.statementchecks import find_statement_violations
from soak.statementfaults import StatementFaults

# In the order in which they draw their seeds; further kinds are appended.
FAULT_KINDS = (
    Faults,
    ResponseFaults,
    LimitFaults,
    PromptFaults,
    AddressFaults,
    EntryFaults,
    ResumeFaults,
    RequestFaults,
    SilenceFaults,
    StatementFaults,
    PauseFaults,
)
# Time in which engines pause and are silent without other faults: two deadlines of
# requests.
SILENCE_PHASE_S = 10.0
CALLER_COUNT = 12
# Engines may still be processing the last requests when the callers stop.
SETTLE_DELAY_S = 1.0
RECOVERY_TIMEOUT_S = 20.0
# Lines of each gateway that did not recover: some seconds of refusals.
MAX_LAST_LINES = 200


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of one seed.

    `unserved` lists the routes that did not recover, `log_lines` the lines of the
    gateways' logs about the requests that violations name, and the last lines of those
    that did not recover.
    """

    seed: int
    faults: Counter
    statuses: Counter
    violations: list[str] = field(default_factory=list)
    unserved: list[str] = field(default_factory=list)
    log_lines: list[str] = field(default_factory=list)

    @property
    def requests(self) -> int:
        """Return the number of requests that were sent."""
        return sum(self.statuses.values())


async def run_seed(seed: int, seconds: float) -> SoakResult:
    """Run one soak that injects faults for about `seconds`."""
    environment = SoakEnvironment()
    try:
        await environment.start()
        rng = random.Random(seed)
        callers = Callers(
            environment,
            random.Random(rng.random()),
            random.Random(seed),
            random.Random(f"calls of {seed}"),
        )
        injectors = [
            kind(environment, random.Random(rng.random())) for kind in FAULT_KINDS
        ]
        tasks = [
            asyncio.ensure_future(callers.run_caller()) for _ in range(CALLER_COUNT)
        ]
        tasks.append(asyncio.ensure_future(callers.run_deadly_caller()))
        await asyncio.gather(*(injector.run(seconds) for injector in injectors))
        unserved = await _unrecovered_routes(environment, callers)
        last_lines = _last_lines(environment, unserved)
        alone = [i for i in injectors if isinstance(i, SilenceFaults | PauseFaults)]
        await asyncio.gather(*(item.run_alone(SILENCE_PHASE_S) for item in alone))
        callers.stopping = True
        await asyncio.gather(*tasks)
        await asyncio.sleep(SETTLE_DELAY_S)
        statuses = Counter(item.status for item in callers.observed)
        violations = find_violations(environment, callers.observed)
        violations += find_statement_violations(environment, callers.observed)
        counts = sum((injector.counts for injector in injectors), Counter())
        counts["repeated_refusals"] = sum(
            engine.repeated_refusals for engine in environment.engines
        )
        log_lines = last_lines + _log_lines(environment, violations)
        return SoakResult(seed, counts, statuses, violations, unserved, log_lines)
    finally:
        await environment.close()


def _log_lines(environment: SoakEnvironment, violations: list[str]) -> list[str]:
    """Return the log lines of the gateways about the requests that violations name."""
    ids = {text.partition(" ")[0].encode() for text in violations}
    return [
        f"{gateway.settings.stem} {line.decode(errors='replace').strip()}"
        for gateway in environment.gateways
        for line in gateway.log
        if any(b'"%s"' % request_id in line for request_id in ids)
    ]


def _last_lines(environment: SoakEnvironment, unserved: list[str]) -> list[str]:
    """Return the last log lines of the gateways that did not recover."""
    names = {text.partition(" ")[0] for text in unserved}
    return [
        f"{gateway.settings.stem} {line.decode(errors='replace').strip()}"
        for gateway in environment.gateways
        if gateway.settings.stem in names
        for line in gateway.log[-MAX_LAST_LINES:]
    ]


async def _unrecovered_routes(
    environment: SoakEnvironment, callers: Callers
) -> list[str]:
    """Return the gateways and kinds of call that still fail after the faults."""
    loop = asyncio.get_running_loop()
    until = loop.time() + RECOVERY_TIMEOUT_S
    pending = {
        (g.settings.stem, kind): g
        for g in environment.gateways
        for kind in ("look", "stream")
    }
    while pending and loop.time() < until:
        for name, kind in list(pending):
            found = await callers.send(pending[name, kind], kind, KEYS[0])
            if found.status == 200 and found.complete:
                del pending[name, kind]
        await asyncio.sleep(0.2)
    return [f"{name} serves no {kind}" for name, kind in pending]
