"""Runs calls on plain services and carries out the at-most-once protocol.

`Ledger` is a `CallRunner` of the entry. A non-idempotent call is driven by
`monsoontack.ledger.machine`; its task goes on after the caller has its answer
or is gone, until the record is settled. An idempotent call needs no record and
is tried on several backend servers within its timeout.
"""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import structlog
from returns.result import Failure, Result, Success

from monsoontack.core.clock import Clock, LoopClock
from monsoontack.core.errors import RequestError, RunState
from monsoontack.ledger.answers import refuse_not_run
from monsoontack.ledger.idempotent import IdempotentCalls
from monsoontack.ledger.limits import StoreHealth, WriteBudget
from monsoontack.ledger.machine import step
from monsoontack.ledger.ports import Dispatcher
from monsoontack.ledger.protocol import (
    DISPATCH_WINDOW_S,
    Begin,
    CallEvent,
    CallState,
    CreateRecord,
    Dispatch,
    DispatchDone,
    Phase,
    ReadDone,
    ReadRecord,
    Respond,
    Tick,
    UpdateRecord,
    WriteDone,
)
from monsoontack.ledger.records import (
    CallRecord,
    RecordState,
    ServiceAnswer,
    ServiceCall,
    record_key,
)
from monsoontack.store.api import (
    Ambiguous,
    NotFound,
    ObjectStore,
    StoredObject,
    Unavailable,
)

log = structlog.get_logger("ledger.service")

MAX_UNSETTLED = 4096
STORE_DOWN_RETRY_S = 1.0
# Writes reserved for a call that wrote no claim: its outcome and its removal.
UNUSED_WRITES = 2.0
REPLAYED_HEADER = ("idempotency-replayed", "true")


@dataclass(slots=True)
class Ledger:
    """Runs calls; one per process.

    `wall_clock` gives Unix time in seconds. `counts` has the number of calls
    by outcome and of store calls by kind.
    """

    store: ObjectStore
    dispatcher: Dispatcher
    clock: Clock = field(default_factory=LoopClock)
    wall_clock: Callable[[], float] = time.time
    rng: random.Random = field(default_factory=random.SystemRandom)
    dispatch_window_s: float = DISPATCH_WINDOW_S
    budget: WriteBudget = field(default_factory=WriteBudget)
    health: StoreHealth = field(default_factory=StoreHealth)
    counts: Counter = field(default_factory=Counter)
    unsettled_tasks: set[asyncio.Task] = field(default_factory=set)
    lookups: IdempotentCalls = field(init=False)

    def __post_init__(self) -> None:
        self.lookups = IdempotentCalls(self.dispatcher, self.clock, self.counts)

    async def run(self, call: ServiceCall) -> ServiceAnswer | RequestError:
        """Run one call and return the service's answer or a truthful refusal."""
        if call.idempotent:
            return await self.lookups.run(call)
        refusal = self._refuse_early(self.clock.now())
        if refusal is not None:
            self.counts[f"refused.{refusal.code}"] += 1
            return refusal
        answer: asyncio.Future = asyncio.get_running_loop().create_future()
        task = asyncio.ensure_future(self._drive(call, answer))
        self.unsettled_tasks.add(task)
        task.add_done_callback(lambda ended: self._driven(ended, answer))
        return await asyncio.shield(answer)

    def _driven(self, task: asyncio.Task, answer: asyncio.Future) -> None:
        """Pass the end of a call's task on to a caller that still waits."""
        self.unsettled_tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if answer.done():
            if error is not None:
                log.error("call record not settled", exc_info=error)
        elif error is not None:
            answer.set_exception(error)
        else:
            answer.cancel()

    def _refuse_early(self, now: float) -> RequestError | None:
        if len(self.unsettled_tasks) >= MAX_UNSETTLED:
            return refuse_not_run("ledger_backlog", STORE_DOWN_RETRY_S)
        if not self.health.allow(now):
            return refuse_not_run("store_down", STORE_DOWN_RETRY_S)
        wait_s = self.budget.take_call(now)
        if wait_s is not None:
            return refuse_not_run("write_budget", wait_s)
        return None

    async def _drive(self, call: ServiceCall, answer: asyncio.Future) -> None:
        """Run the state machine of one call to its end."""
        token = f"{self.rng.getrandbits(128):032x}"
        state = CallState.from_call(call, token, self.dispatch_window_s)
        event: CallEvent | None = Begin(self.wall_clock())
        dispatched = False
        while state.phase is not Phase.ENDED:
            state, actions = step(state, event, self.clock.now(), self.rng)
            event = None
            for action in actions:
                if isinstance(action, Respond):
                    self._respond(answer, action)
                else:
                    dispatched = dispatched or isinstance(action, Dispatch)
                    event = await self._execute(state, call, action)
            if event is None and state.phase is Phase.WAITING:
                await self.clock.sleep(state.retry_at - self.clock.now())
                event = Tick()
        if not dispatched:
            self.budget.give_back(UNUSED_WRITES)

    def _respond(self, answer: asyncio.Future, action: Respond) -> None:
        is_error = isinstance(action.answer, RequestError)
        self.counts[f"refused.{action.answer.code}" if is_error else "answered"] += 1
        if answer.done():
            return
        if action.replayed:
            headers = (*action.answer.headers, REPLAYED_HEADER)
            answer.set_result(replace(action.answer, headers=headers))
        else:
            answer.set_result(action.answer)

    async def _execute(self, state: CallState, call: ServiceCall, action) -> CallEvent:
        match action:
            case Dispatch(fence, latest_start_unix_s):
                result = await self.dispatcher.dispatch(
                    call, fence, latest_start_unix_s, set()
                )
                self.counts["dispatched"] += 1
                return DispatchDone(result)
            case ReadRecord():
                request = self.store.get(state.key)
                return ReadDone(await self._ask("read", state, request))
            case CreateRecord(value):
                request = self.store.create(state.key, value)
                return WriteDone(await self._ask("create", state, request))
            case UpdateRecord(value, version):
                request = self.store.update(state.key, value, version)
                return WriteDone(await self._ask("update", state, request))
        raise TypeError(f"no such action: {action!r}")

    async def _ask(self, kind: str, state: CallState, request) -> Result:
        """Make one store call, unless the store is down and settling can wait."""
        settling = state.phase in (Phase.SETTLING, Phase.READING_SETTLED)
        if settling and not self.health.allow(self.clock.now()):
            request.close()
            return Failure(Unavailable(state.key, "the store is down"))
        self.counts[f"store.{kind}"] += 1
        result = await request
        self._note_health(result)
        return result

    def _note_health(self, result: Result) -> None:
        error = None if isinstance(result, Success) else result.failure()
        over_rate = isinstance(error, Unavailable) and error.retry_after_s is not None
        # A store that accepts writes but never answers is down as well.
        answered = not isinstance(error, Unavailable | Ambiguous) or over_rate
        self.health.record(answered, self.clock.now())

    async def find_outcome(self, account: str, key: str) -> dict | RequestError:
        """Return the recorded outcome of a non-idempotent call as JSON fields."""
        result = await self.store.get(record_key(account, key))
        self._note_health(result)
        if isinstance(result, Success):
            return self._describe(key, result.unwrap())
        if isinstance(result.failure(), NotFound):
            message = "no call with this key is recorded"
            return RequestError(404, "call_not_found", message, RunState.UNKNOWN)
        message = "the call records cannot be read now"
        return RequestError(
            503, "store_unavailable", message, RunState.UNKNOWN, STORE_DOWN_RETRY_S
        )

    def _describe(self, key: str, stored: StoredObject) -> dict | RequestError:
        try:
            record = CallRecord.decode(stored.value)
        except ValueError as error:
            return RequestError(500, "malformed_record", str(error), RunState.UNKNOWN)
        return describe_record(key, record)

    def describe(self) -> dict:
        """Return the fields of the state dump."""
        return {
            "unsettled": len(self.unsettled_tasks),
            "store_down": self.health.is_down,
            "live_entries": self.budget.live_entries,
            "writes_per_s": round(self.budget.rate, 3),
            "counts": dict(sorted(self.counts.items())),
        }

    async def wait_until_settled(self, timeout_s: float) -> int:
        """Wait until all records are settled; return how many are not in time."""
        if self.unsettled_tasks:
            await asyncio.wait(set(self.unsettled_tasks), timeout=timeout_s)
        return len(self.unsettled_tasks)


def describe_record(key: str, record: CallRecord) -> dict:
    """Return the fields of `GET /v1/calls/{key}`."""
    document = {
        "key": key,
        "state": record.state.value,
        "service": record.service,
        "claimed_unix_s": record.claimed_unix_s,
    }
    if record.state is RecordState.DONE and record.answer is not None:
        document["status"] = record.answer.status
        document["body_omitted"] = record.body_omitted
        document["body"] = record.answer.body.decode("utf-8", "replace")
    return document
