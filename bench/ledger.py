"""Measurement `ledger`: at-most-once calls under faults, and their cost.

The calls run through real ledgers and the agent's real fence table in virtual
time (`standins.ledgersimulation`), while the store has outages and loses requests and
answers, dispatchers pause, links and agents fail, and entries are replaced. Half
of the callers send each request to two entries at the same time. Figures without
a target show how strongly the faults affected the run.
"""

import random
import time
from collections import Counter
from collections.abc import Iterator

from returns.result import Success

from bench.registry import Figure, measurement
from monsoontack.core.errors import RunState
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.ledger.machine import step
from monsoontack.ledger.protocol import Begin, CallState, DispatchDone, WriteDone
from monsoontack.ledger.records import DispatchResult, ServiceAnswer, ServiceCall
from monsoontack.store.api import StoredObject
from monsoontack.store.faulty import FaultRates
from standins.ledgersimulation import LedgerFaults, LedgerSimulation

CALLS = 100_000
CALLS_PER_WORLD = 250
CPU_SAMPLE_CALLS = 20_000


def make_faults() -> LedgerFaults:
    """Return the faults that are injected into one simulated deployment."""
    return LedgerFaults(
        store=FaultRates(
            refused=0.01,
            answer_lost=0.03,
            request_lost=0.01,
            delayed=0.03,
            stalled=0.01,
        ),
        outages=4,
        held=0.03,
        request_lost=0.02,
        request_late=0.03,
        answer_lost=0.03,
        refused=0.02,
        slow=0.02,
        down=0.02,
        kills=10,
        restarts=4,
    )


def run_worlds(seed: int, calls: int) -> tuple[Counter, Counter]:
    """Return the violations by kind, and the counts summed over all worlds."""
    violations, counts = Counter(), Counter()
    for number in range(calls // CALLS_PER_WORLD):
        world = LedgerSimulation(
            seed * 1_000_000 + number, make_faults(), CALLS_PER_WORLD, span_s=120.0
        )
        violations.update(kind for kind, _ in run_in_virtual_time(world.run()))
        counts.update(world.counts)
        counts["store_calls"] += sum(world.memory.calls.values())
        counts["executed"] += sum(world.executions.values())
        for _, _, answer in world.answers:
            run_state = getattr(answer, "run_state", "answered")
            counts[f"answers.{run_state}"] += 1
    return violations, counts


def store_calls_without_faults(seed: int) -> float:
    """Return the mean number of store calls per call when nothing fails."""
    world = LedgerSimulation(seed, LedgerFaults(rival=0.0), 1000, span_s=60.0)

    async def run() -> int:
        for number in range(world.keys):
            await world.ask(world.ledgers[0], f"key-{number}")
        await world.ledgers[0].wait_until_settled(10.0)
        return sum(world.memory.calls.values())

    return run_in_virtual_time(run()) / world.keys


def decision_cpu_us() -> float:
    """Return the CPU time in microseconds of all state machine steps of one call."""
    rng = random.Random(1)
    body, answer = b"x" * 1000, ServiceAnswer(200, (("a", "b"),), b"y" * 1000)
    call = ServiceCall("account", "s", "POST", "/p", (), body, False, "key", 10.0)
    dispatch_done = DispatchDone(DispatchResult(RunState.RUN, answer))
    started = time.process_time()
    for number in range(CPU_SAMPLE_CALLS):
        state = CallState.from_call(call, str(number))
        state, actions = step(state, Begin(1000.0), 0.0, rng)
        created = WriteDone(Success(StoredObject(state.key, actions[0].value, 1)))
        state, _ = step(state, created, 0.01, rng)
        state, actions = step(state, dispatch_done, 0.02, rng)
        written = WriteDone(Success(StoredObject(state.key, actions[1].value, 2)))
        step(state, written, 0.03, rng)
    return (time.process_time() - started) / CPU_SAMPLE_CALLS * 1e6


@measurement("ledger")
def measure(seed: int) -> Iterator[Figure]:
    """Run the calls and yield all figures."""
    violations, counts = run_worlds(seed, CALLS)
    yield Figure.at_most("ledger.run_twice", violations["run_twice"], "calls", 0)
    yield Figure.at_most(
        "ledger.false_not_run", violations["false_not_run"], "answers", 0
    )
    other_violations = sum(violations.values())
    other_violations -= violations["run_twice"] + violations["false_not_run"]
    yield Figure.at_most("ledger.other_violations", other_violations, "findings", 0)
    yield Figure.at_least("ledger.calls", CALLS, "calls", 100_000)
    for name in ("attempts", "dispatches", "executed", "agent.late", "agent.fenced"):
        yield Figure(f"ledger.{name}", counts[name], "count")
    for run_state in ("answered", *RunState):
        name = f"answers.{run_state}"
        yield Figure(f"ledger.{name}", counts[name], "count")
    per_call = counts["store_calls"] / CALLS
    yield Figure("ledger.store_calls_with_faults", per_call, "calls/call")
    calls_without_faults = store_calls_without_faults(seed)
    yield Figure.at_most("ledger.store_calls", calls_without_faults, "calls/call", 2)
    yield Figure("ledger.decision_cpu", decision_cpu_us(), "us/call")
