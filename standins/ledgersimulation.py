"""Entries, agents and callers in one process, for the at-most-once protocol.

Real ledgers and the agent's real fence table run over an in-memory store and
a counting service. Faults are drawn from one seed. After the run, `check`
compares what callers were told with what was executed. Entries and agents have
wall clocks that differ by up to `CLOCK_SKEW_S`.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from monsoontack.agent.fencing import CallFences
from monsoontack.core.errors import RequestError, RunState
from monsoontack.ledger.limits import WriteBudget
from monsoontack.ledger.records import (
    CallRecord,
    DispatchResult,
    RecordState,
    ServiceAnswer,
    ServiceCall,
    record_key,
)
from monsoontack.ledger.service import Ledger
from monsoontack.store.faulty import FaultRates, FaultyStore
from monsoontack.store.memory import MemoryStore

CLOCK_SKEW_S = 0.5
ACCOUNT = "account"
ATTEMPT_HEADER = "x-attempt"
CALL_TIMEOUT_S = 4.0


@dataclass(slots=True)
class LedgerFaults:
    """Faults of one world, as shares of dispatches or callers' attempts.

    `store` holds the faults of every entry's store client. `outages` counts
    store outages of up to `outage_s`. Dispatches are `held` in a paused entry
    before they are sent, lost on their way (`request_lost`), delivered late
    after the entry has given up (`request_late`), lose their answer
    (`answer_lost`), or are refused by a leaving agent (`refused`). The service
    is `slow`, beyond the call timeout, or fails before it begins (`down`).
    `kills` entries and `restarts` agents end at random times.
    """

    store: FaultRates = field(default_factory=FaultRates)
    outages: int = 0
    outage_s: float = 15.0
    held: float = 0.0
    request_lost: float = 0.0
    request_late: float = 0.0
    answer_lost: float = 0.0
    refused: float = 0.0
    slow: float = 0.0
    down: float = 0.0
    kills: int = 0
    restarts: int = 0
    rival: float = 0.5


class Violation(NamedTuple):
    """One broken property: its kind and where."""

    kind: str
    where: str


@dataclass(slots=True)
class LedgerSimulation:
    """One run: `keys` calls through `entries` entries within `span_s`."""

    seed: int
    faults: LedgerFaults
    keys: int = 12
    entries: int = 3
    span_s: float = 30.0
    ledger_type: type[Ledger] = Ledger
    rng: random.Random = field(init=False)
    memory: MemoryStore = field(default_factory=MemoryStore)
    ledgers: list[Ledger] = field(default_factory=list)
    fences: CallFences = field(default_factory=CallFences)
    agent_skew_s: float = 0.0
    executions: Counter = field(default_factory=Counter)
    executed_attempts: set[str] = field(default_factory=set)
    answers: list[tuple[str, str, object]] = field(default_factory=list)
    work: set[asyncio.Task] = field(default_factory=set)
    counts: Counter = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.agent_skew_s = self._skew()
        for _ in range(self.entries):
            self.ledgers.append(self.new_entry())

    def _skew(self) -> float:
        return self.rng.uniform(-CLOCK_SKEW_S, CLOCK_SKEW_S)

    def new_entry(self) -> Ledger:
        """Return a ledger with its own faulty store client."""
        skew_s = self._skew()
        return self.ledger_type(
            FaultyStore(self.memory, self.rng, self.faults.store),
            _Dispatcher(self),
            wall_clock=lambda: _now() + skew_s,
            rng=self.rng,
            budget=WriteBudget(fleet_writes_per_s=1e9),
        )

    def spawn(self, coroutine) -> asyncio.Task:
        """Run something that no entry's end cancels."""
        task = asyncio.ensure_future(coroutine)
        self.work.add(task)
        task.add_done_callback(self.work.discard)
        return task

    async def run(self) -> list[Violation]:
        """Run all callers and faults; return the violations found."""
        callers = [self._caller(f"key-{n}") for n in range(self.keys)]
        events = [self._outage() for _ in range(self.faults.outages)]
        events += [self._kill() for _ in range(self.faults.kills)]
        events += [self._restart_agent() for _ in range(self.faults.restarts)]
        await asyncio.gather(*callers, *events)
        while self.work:
            await asyncio.wait(set(self.work))
        await asyncio.sleep(self.faults.store.delay_s + 60.0)
        return self.check() + await self._settled()

    # Callers.

    async def _caller(self, key: str) -> None:
        await self._pause(self.span_s)
        if self.rng.random() < self.faults.rival:
            await asyncio.gather(self._ask_until_final(key), self._ask_until_final(key))
        else:
            await self._ask_until_final(key)

    async def _ask_until_final(self, key: str) -> None:
        for _ in range(4):
            answer = await self.ask(self.rng.choice(self.ledgers), key)
            retry = answer is None or (
                isinstance(answer, RequestError) and answer.retry_after_s is not None
            )
            if not retry:
                return
            await self._pause(2.0)

    async def ask(self, ledger: Ledger, key: str):
        """Send one attempt; return its answer, None if the entry ended."""
        self.counts["attempts"] += 1
        attempt = f"{key}/{self.counts['attempts']}"
        headers = ((ATTEMPT_HEADER, attempt),)
        call = ServiceCall(
            ACCOUNT, "s", "POST", "/p", headers, b"", False, key, CALL_TIMEOUT_S
        )
        try:
            answer = await ledger.run(call)
        except asyncio.CancelledError:
            if ledger in self.ledgers:
                raise
            return None
        self.answers.append((key, attempt, answer))
        return answer

    # Faults.

    async def _pause(self, limit_s: float) -> None:
        await asyncio.sleep(self.rng.random() * limit_s)

    async def _outage(self) -> None:
        await self._pause(self.span_s)
        self.memory.faults.outage = True
        await self._pause(self.faults.outage_s)
        self.memory.faults.outage = False

    async def _kill(self) -> None:
        """Replace an entry; its calls end where they are."""
        await self._pause(self.span_s)
        place = self.rng.randrange(len(self.ledgers))
        ended, self.ledgers[place] = self.ledgers[place], self.new_entry()
        for task in ended.unsettled_tasks:
            task.cancel()

    async def _restart_agent(self) -> None:
        await self._pause(self.span_s)
        self.fences = CallFences()

    # Agent and service.

    async def deliver(self, call, fence: int, latest_start: float) -> DispatchResult:
        """Run one call at the agent."""
        if self._strikes(self.faults.refused):
            return DispatchResult(RunState.NOT_RUN, code="leaving")
        now_unix_s = _now() + self.agent_skew_s
        refusal = self.fences.admit(
            call.account, call.key, fence, latest_start, now_unix_s
        )
        if refusal is not None:
            self.counts[f"agent.{refusal.code}"] += 1
            return DispatchResult(RunState(refusal.run_state), code=refusal.code)
        if self._strikes(self.faults.down):
            return DispatchResult(RunState.NOT_RUN, code="backend_unreachable")
        slow = self._strikes(self.faults.slow)
        await asyncio.sleep(2 * CALL_TIMEOUT_S if slow else self.rng.random() * 0.2)
        self.executions[call.key] += 1
        attempt = dict(call.headers)[ATTEMPT_HEADER]
        self.executed_attempts.add(attempt)
        return DispatchResult(
            RunState.RUN, ServiceAnswer(200, (), call.key.encode()), "", "agent"
        )

    def _strikes(self, share: float) -> bool:
        return bool(share) and self.rng.random() < share

    # Checks.

    def check(self) -> list[Violation]:
        """Return every call run twice and every untrue answer or record."""
        found = [
            Violation("run_twice", f"{key} ran {count} times")
            for key, count in self.executions.items()
            if count > 1
        ]
        for key, attempt, answer in self.answers:
            if isinstance(answer, ServiceAnswer):
                if answer.body != key.encode() or not self.executions[key]:
                    found.append(Violation("wrong_answer", attempt))
            elif answer.run_state is RunState.NOT_RUN:
                if attempt in self.executed_attempts:
                    found.append(Violation("false_not_run", f"{attempt} {answer.code}"))
        return found + self._check_records()

    def _check_records(self) -> list[Violation]:
        keys = {record_key(ACCOUNT, f"key-{n}"): f"key-{n}" for n in range(self.keys)}
        found = []
        for stored in self.memory.objects.values():
            state = CallRecord.decode(stored.value).state
            ran = self.executions[keys[stored.key]]
            self.counts[f"record.{state}"] += 1
            done = state is RecordState.DONE
            if (done and ran != 1) or (state is RecordState.NOT_RUN and ran):
                found.append(Violation("wrong_record", f"{keys[stored.key]} {state}"))
        return found

    async def _settled(self) -> list[Violation]:
        """Ask for every key once more, long after all faults have ended."""
        self.faults = LedgerFaults()
        ledger = self.new_entry()
        found = []
        for number in range(self.keys):
            answer = await self.ask(ledger, f"key-{number}")
            code = answer.code if isinstance(answer, RequestError) else ""
            if code not in ("", "outcome_unknown"):
                found.append(Violation("unsettled", f"key-{number} {code}"))
        return found + self.check()


@dataclass(slots=True)
class _Dispatcher:
    """One entry's way to the agent."""

    world: LedgerSimulation

    async def dispatch(
        self, call, fence: int, latest_start: float, tried_addresses
    ) -> DispatchResult:
        world, faults = self.world, self.world.faults
        if world._strikes(faults.held):
            await world._pause(20.0)
        world.counts["dispatches"] += 1
        draw = world.rng.random()
        if draw < faults.request_lost:
            await asyncio.sleep(call.timeout_s)
            return DispatchResult(RunState.UNKNOWN, code="timeout")
        if draw < faults.request_lost + faults.request_late:
            world.spawn(self._late(call, fence, latest_start))
            return DispatchResult(RunState.UNKNOWN, code="link_lost")
        delivery = world.spawn(world.deliver(call, fence, latest_start))
        try:
            async with asyncio.timeout(call.timeout_s):
                result = await asyncio.shield(delivery)
        except TimeoutError:
            return DispatchResult(RunState.UNKNOWN, code="timeout")
        if world._strikes(faults.answer_lost):
            return DispatchResult(RunState.UNKNOWN, code="link_lost")
        return result

    async def _late(self, call, fence: int, latest_start: float) -> None:
        await self.world._pause(12.0)
        await self.world.deliver(call, fence, latest_start)


def _now() -> float:
    return asyncio.get_running_loop().time()
