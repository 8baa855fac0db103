"""Runs calls on plain services and executes the at-most-once protocol.

`Ledger` is a `CallRunner` of the entry. A non-idempotent call follows the state
machine in `monsoontack.ledger.machine`. The task that runs it continues after the
caller has received the answer or disconnected, until the record is settled. An
idempotent call needs no record and is tried on several backend servers within its
timeout.
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

MAX_UNSETTLED_CALLS = 4096
STORE_DOWN_RETRY_AFTER_S = 1.0
# Reserved writes that are returned to the budget if a call was not dispatched: those
# of the outcome and of the removal of the record.
UNDISPATCHED_UNUSED_WRITES = 2.0
REPLAYED_HEADER = ("idempotency-replayed", "true")


@dataclass(slots=True, repr=False)
class Ledger:
    """Runs calls; one instance per process.

    `wall_clock` returns Unix time in seconds. `counts` holds the number of calls
    by outcome and the number of store calls by kind.
    """

    store: ObjectStore
    dispatcher: Dispatcher
    clock: Clock = field(default_factory=LoopClock)
    wall_clock: Callable[[], float] = time.time
    rng: random.Random = field(default_factory=random.SystemRandom)
    dispatch_window_s: float = DISPATCH_WINDOW_S
    budget: WriteBudget = field(default_factory=WriteBudget)
    store_health: StoreHealth = field(default_factory=StoreHealth)
    counts: Counter = field(default_factory=Counter)
    unsettled_tasks: set[asyncio.Task] = field(default_factory=set)
    idempotent_calls: IdempotentCalls = field(init=False)

    def __post_init__(self) -> None:
        self.idempotent_calls = IdempotentCalls(
            self.dispatcher, self.clock, self.counts
        )

    async def run(self, call: ServiceCall) -> ServiceAnswer | RequestError:
        """Run one call; return the service's answer or an error with its run state."""
        if call.idempotent:
            return await self.idempotent_calls.run(call)
        refusal = self._refuse_early(self.clock.now())
        if refusal is not None:
            self.counts[f"refused.{refusal.code}"] += 1
            return refusal
        answer_future: asyncio.Future = asyncio.get_running_loop().create_future()
        task = asyncio.ensure_future(self._run_call(call, answer_future))
        self.unsettled_tasks.add(task)
        task.add_done_callback(
            lambda ended: self._on_call_task_done(ended, answer_future)
        )
        return await asyncio.shield(answer_future)

    def _on_call_task_done(
        self, task: asyncio.Task, answer_future: asyncio.Future
    ) -> None:
        """Pass an exception or cancellation of a call's task to a waiting caller."""
        self.unsettled_tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if answer_future.done():
            if error is not None:
                log.error("settling the call record failed", exc_info=error)
        elif error is not None:
            answer_future.set_exception(error)
        else:
            answer_future.cancel()

    def _refuse_early(self, now: float) -> RequestError | None:
        if len(self.unsettled_tasks) >= MAX_UNSETTLED_CALLS:
            return refuse_not_run("ledger_backlog", STORE_DOWN_RETRY_AFTER_S)
        if not self.store_health.allow(now):
            return refuse_not_run("store_down", STORE_DOWN_RETRY_AFTER_S)
        wait_s = self.budget.reserve_call(now)
        if wait_s is not None:
            return refuse_not_run("write_budget", wait_s)
        return None

    async def _run_call(self, call: ServiceCall, answer_future: asyncio.Future) -> None:
        """Run the state machine of one call until it ends."""
        token = f"{self.rng.getrandbits(128):032x}"
        state = CallState.from_call(call, token, self.dispatch_window_s)
        event: CallEvent | None = Begin(self.wall_clock())
        dispatched = False
        while state.phase is not Phase.ENDED:
            state, actions = step(state, event, self.clock.now(), self.rng)
            event = None
            for action in actions:
                if isinstance(action, Respond):
                    self._respond(answer_future, action)
                else:
                    dispatched = dispatched or isinstance(action, Dispatch)
                    event = await self._execute(state, call, action)
            if event is None and state.phase is Phase.WAITING:
                await self.clock.sleep(state.retry_at - self.clock.now())
                event = Tick()
        if not dispatched:
            self.budget.release(UNDISPATCHED_UNUSED_WRITES)

    def _respond(self, answer_future: asyncio.Future, action: Respond) -> None:
        is_error = isinstance(action.answer, RequestError)
        self.counts[f"refused.{action.answer.code}" if is_error else "answered"] += 1
        if answer_future.done():
            return
        if action.replayed:
            headers = (*action.answer.headers, REPLAYED_HEADER)
            answer_future.set_result(replace(action.answer, headers=headers))
        else:
            answer_future.set_result(action.answer)

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
                return ReadDone(await self._call_store("read", state, request))
            case CreateRecord(value):
                request = self.store.create(state.key, value)
                return WriteDone(await self._call_store("create", state, request))
            case UpdateRecord(value, version):
                request = self.store.update(state.key, value, version)
                return WriteDone(await self._call_store("update", state, request))
        raise TypeError(f"unknown ledger action: {action!r}")

    async def _call_store(self, kind: str, state: CallState, request) -> Result:
        """Execute one store call.

        While the store is down, calls that settle a record fail at once, and the state
        machine retries them later.
        """
        settling = state.phase in (Phase.SETTLING, Phase.READING_SETTLED)
        if settling and not self.store_health.allow(self.clock.now()):
            request.close()
            return Failure(Unavailable(state.key, "the store is down"))
        self.counts[f"store.{kind}"] += 1
        result = await request
        self._record_store_result(result)
        return result

    def _record_store_result(self, result: Result) -> None:
        error = None if isinstance(result, Success) else result.failure()
        over_rate = isinstance(error, Unavailable) and error.retry_after_s is not None
        # An ambiguous write counts as a failure: a store that does not answer writes is
        # down even if it applies them. A refusal with a retry time is an answer.
        answered = not isinstance(error, Unavailable | Ambiguous) or over_rate
        self.store_health.record(answered, self.clock.now())

    async def find_outcome(self, account: str, key: str) -> dict | RequestError:
        """Return the recorded outcome of a non-idempotent call as JSON fields."""
        result = await self.store.get(record_key(account, key))
        self._record_store_result(result)
        if isinstance(result, Success):
            return self._describe_stored(key, result.unwrap())
        if isinstance(result.failure(), NotFound):
            message = "no call with this key is recorded"
            return RequestError(404, "call_not_found", message, RunState.UNKNOWN)
        message = "the call records cannot be read now"
        return RequestError(
            503,
            "store_unavailable",
            message,
            RunState.UNKNOWN,
            STORE_DOWN_RETRY_AFTER_S,
        )

    def _describe_stored(self, key: str, stored: StoredObject) -> dict | RequestError:
        try:
            record = CallRecord.decode(stored.value)
        except ValueError as error:
            return RequestError(500, "malformed_record", str(error), RunState.UNKNOWN)
        return describe_record(key, record)

    def describe(self) -> dict:
        """Return the ledger's fields of the state dump."""
        return {
            "unsettled": len(self.unsettled_tasks),
            "store_down": self.store_health.is_down,
            "live_entries": self.budget.live_entries,
            "writes_per_s": round(self.budget.writes_per_s, 3),
            "counts": dict(sorted(self.counts.items())),
        }

    async def wait_until_settled(self, timeout_s: float) -> int:
        """Wait until all records are settled; return how many remain unsettled."""
        if self.unsettled_tasks:
            await asyncio.wait(set(self.unsettled_tasks), timeout=timeout_s)
        return len(self.unsettled_tasks)


def describe_record(key: str, record: CallRecord) -> dict:
    """Return the response fields of `GET /v1/calls/{key}`."""
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
