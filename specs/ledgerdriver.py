"""Drives the production ledger state machine with event orders from hypothesis.

The store, the network and the agent behave as in `specs.atmostonce`: a write is
answered or refused, or becomes ambiguous and takes effect later or never. The
properties are those of that specification.
"""

import random

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from returns.result import Failure, Success

from monsoontack.core.errors import RequestError, RunState
from monsoontack.ledger import machine
from monsoontack.ledger.protocol import (
    Begin,
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
    DispatchResult,
    RecordState,
    ServiceAnswer,
    ServiceCall,
)
from monsoontack.store.api import (
    Ambiguous,
    Conflict,
    NotFound,
    StoredObject,
    Unavailable,
)

CALL = ServiceCall("a", "s", "POST", "/p", (), b"", False, "k", 4.0)
MAX_WRITERS = 4
ANSWER = ServiceAnswer(200, (), b"ok")
# Selects one of the candidates of a rule, modulo their number.
SELECTOR = st.integers(0, 63)


class LedgerMachine(RuleBasedStateMachine):
    """Calls that share one idempotency key, the store, and dispatches in flight.

    A writer is the ledger state machine of one call, identified by its index in
    `states`. `pending_actions` maps writers to the action that each waits for,
    `answers` to the answers of their callers, and `runs` to the number of executions.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.rng = random.Random(0)
        self.stored = None
        self.version = 0
        self.states, self.pending_actions, self.answers, self.runs = (
            [],
            {},
            {},
            {},
        )
        self.late_writes, self.late_dispatches = [], []
        self.highest_fence = 0

    def process_event(self, writer, event):
        """Pass an event to a writer and record the action that it requests next."""
        state, actions = machine.step(self.states[writer], event, self.now, self.rng)
        self.states[writer] = state
        self.pending_actions.pop(writer, None)
        for action in actions:
            if isinstance(action, Respond):
                self.answers.setdefault(writer, action.answer)
            else:
                self.pending_actions[writer] = action

    def apply_write(self, action):
        """Apply a conditional write; return whether it took effect."""
        expected = action.version if isinstance(action, UpdateRecord) else 0
        if expected != (self.stored.version if self.stored else 0):
            return False
        self.version += 1
        self.stored = StoredObject("x", action.value, self.version)
        return True

    def select_writer(self, selector, *kinds):
        """Return a writer whose pending action is one of the types `kinds`, or None."""
        candidates = [
            n for n, a in self.pending_actions.items() if isinstance(a, kinds)
        ]
        return candidates[selector % len(candidates)] if candidates else None

    @precondition(lambda self: len(self.states) < MAX_WRITERS)
    @rule()
    def request_comes(self):
        """A request with the key arrives from a caller."""
        number = len(self.states)
        self.states.append(CallState.from_call(CALL, f"token-{number}"))
        self.runs[number] = 0
        self.process_event(number, Begin(1000.0 + self.now))

    @rule(number=SELECTOR, result=st.sampled_from(("ok", "ok", "late", "refused")))
    def write_ends(self, number, result):
        """A write is answered, refused, or becomes ambiguous."""
        writer = self.select_writer(number, CreateRecord, UpdateRecord)
        if writer is None:
            return
        action = self.pending_actions[writer]
        if result == "refused":
            self.process_event(writer, WriteDone(Failure(Unavailable("x", "outage"))))
        elif result == "late":
            self.late_writes.append(action)
            self.process_event(writer, WriteDone(Failure(Ambiguous("x", "lost"))))
        elif self.apply_write(action):
            self.process_event(writer, WriteDone(Success(self.stored)))
        else:
            self.process_event(writer, WriteDone(Failure(Conflict("x", self.stored))))

    @precondition(lambda self: self.late_writes)
    @rule(number=SELECTOR, lost=st.booleans())
    def late_write_arrives(self, number, lost):
        """An ambiguous write takes effect or is lost."""
        action = self.late_writes.pop(number % len(self.late_writes))
        if not lost:
            self.apply_write(action)

    @rule(number=SELECTOR, fails=st.sampled_from((False, False, True)))
    def read_ends(self, number, fails):
        """A read is answered or refused."""
        writer = self.select_writer(number, ReadRecord)
        if writer is None:
            return
        if fails:
            self.process_event(writer, ReadDone(Failure(Unavailable("x", "outage"))))
        elif self.stored is None:
            self.process_event(writer, ReadDone(Failure(NotFound("x"))))
        else:
            self.process_event(writer, ReadDone(Success(self.stored)))

    @rule(number=SELECTOR, result=st.sampled_from(("ran", "lost", "later", "refused")))
    def dispatch_ends(self, number, result):
        """A dispatch is executed or refused, or its link or answer is lost.

        With `later`, it may still reach the agent after the link was lost.
        """
        writer = self.select_writer(number, Dispatch)
        if writer is None:
            return
        fence = self.pending_actions[writer].fence
        if result == "refused":
            outcome = DispatchResult(RunState.NOT_RUN, None, "leaving")
        elif result == "later":
            self.late_dispatches.append((writer, fence))
            outcome = DispatchResult(RunState.UNKNOWN, None, "link_lost")
        elif self.execute_call(writer, fence) and result == "ran":
            outcome = DispatchResult(RunState.RUN, ANSWER)
        else:
            outcome = DispatchResult(RunState.UNKNOWN, None, "answer_lost")
        self.process_event(writer, DispatchDone(outcome))

    @precondition(lambda self: self.late_dispatches)
    @rule(number=SELECTOR)
    def late_dispatch_arrives(self, number):
        """A dispatch that its writer no longer waits for reaches the agent."""
        self.execute_call(*self.late_dispatches.pop(number % len(self.late_dispatches)))

    def execute_call(self, writer, fence):
        """Execute a call unless its fencing number is outdated."""
        if fence <= self.highest_fence:
            return False
        self.highest_fence = fence
        self.runs[writer] += 1
        return True

    @rule()
    def agent_restarts(self):
        """The agent forgets its fencing numbers."""
        self.highest_fence = 0

    @rule(seconds=st.sampled_from((0.5, 3.0, 6.0, 20.0)))
    def time_passes(self, seconds):
        """Time passes, and writers whose retry is due continue."""
        self.now += seconds
        for number, state in enumerate(self.states):
            if state.phase is Phase.WAITING and self.now >= state.retry_at:
                self.process_event(number, Tick())

    @rule(number=SELECTOR)
    def entry_dies(self, number):
        """A writer's process ends; the write or dispatch it sent may still arrive.

        Only a quarter of the drawn numbers end one.
        """
        writer = self.select_writer(number, object)
        if writer is not None and number % 4 == 0:
            action = self.pending_actions.pop(writer)
            if isinstance(action, CreateRecord | UpdateRecord):
                self.late_writes.append(action)
            elif isinstance(action, Dispatch):
                self.late_dispatches.append((writer, action.fence))

    @invariant()
    def ran_at_most_once(self):
        """P6: one key is executed at most once."""
        assert sum(self.runs.values()) <= 1, self.runs

    @invariant()
    def not_run_is_true(self):
        """P5: a request that was answered with `not_run` is never executed."""
        for number, answer in self.answers.items():
            if isinstance(answer, RequestError) and answer.run_state == "not_run":
                assert not self.runs[number], answer

    @invariant()
    def record_is_true(self):
        """A record is `not_run` only without an execution, `done` only after one."""
        if self.stored is None:
            return
        state, run_count = (
            CallRecord.decode(self.stored.value).state,
            sum(self.runs.values()),
        )
        assert not (state is RecordState.NOT_RUN and run_count), "ran, recorded not_run"
        assert not (state is RecordState.DONE and not run_count), (
            "recorded done, not run"
        )
