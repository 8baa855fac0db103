"""Driver of the real ledger state machine with orders of events from hypothesis.

The store, the network and the agent behave as in `specs.atmostonce`: a write
may be answered, refused, or become ambiguous and take effect later or never.
The properties are those of that specification.
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
PICK = st.integers(0, 63)


class LedgerMachine(RuleBasedStateMachine):
    """Writers with one key, the store, and dispatches on their way."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.rng = random.Random(0)
        self.stored = None
        self.version = 0
        self.states, self.waiting, self.told, self.runs = [], {}, {}, {}
        self.late_writes, self.dispatches = [], []
        self.fence = 0

    def feed(self, number, event):
        """Pass an event to a writer and note the request that it makes next."""
        state, actions = machine.step(self.states[number], event, self.now, self.rng)
        self.states[number] = state
        self.waiting.pop(number, None)
        for action in actions:
            if isinstance(action, Respond):
                self.told.setdefault(number, action.answer)
            else:
                self.waiting[number] = action

    def apply(self, action):
        """Carry out a conditional write; return whether it took effect."""
        expected = action.version if isinstance(action, UpdateRecord) else 0
        if expected != (self.stored.version if self.stored else 0):
            return False
        self.version += 1
        self.stored = StoredObject("x", action.value, self.version)
        return True

    def pick(self, number, *kinds):
        """Return a writer that waits for one of these kinds of request."""
        found = [n for n, a in self.waiting.items() if isinstance(a, kinds)]
        return found[number % len(found)] if found else None

    @precondition(lambda self: len(self.states) < MAX_WRITERS)
    @rule()
    def request_comes(self):
        """A caller's request with the key begins."""
        number = len(self.states)
        self.states.append(CallState.from_call(CALL, f"token-{number}"))
        self.runs[number] = 0
        self.feed(number, Begin(1000.0 + self.now))

    @rule(number=PICK, result=st.sampled_from(("ok", "ok", "late", "refused")))
    def write_ends(self, number, result):
        """A write is answered, refused, or becomes ambiguous."""
        writer = self.pick(number, CreateRecord, UpdateRecord)
        if writer is None:
            return
        action = self.waiting[writer]
        if result == "refused":
            self.feed(writer, WriteDone(Failure(Unavailable("x", "outage"))))
        elif result == "late":
            self.late_writes.append(action)
            self.feed(writer, WriteDone(Failure(Ambiguous("x", "lost"))))
        elif self.apply(action):
            self.feed(writer, WriteDone(Success(self.stored)))
        else:
            self.feed(writer, WriteDone(Failure(Conflict("x", self.stored))))

    @precondition(lambda self: self.late_writes)
    @rule(number=PICK, lost=st.booleans())
    def late_write_arrives(self, number, lost):
        """An ambiguous write takes effect or is lost."""
        action = self.late_writes.pop(number % len(self.late_writes))
        if not lost:
            self.apply(action)

    @rule(number=PICK, fails=st.sampled_from((False, False, True)))
    def read_ends(self, number, fails):
        """A read is answered or refused."""
        writer = self.pick(number, ReadRecord)
        if writer is None:
            return
        if fails:
            self.feed(writer, ReadDone(Failure(Unavailable("x", "outage"))))
        elif self.stored is None:
            self.feed(writer, ReadDone(Failure(NotFound("x"))))
        else:
            self.feed(writer, ReadDone(Success(self.stored)))

    @rule(number=PICK, result=st.sampled_from(("ran", "lost", "later", "refused")))
    def dispatch_ends(self, number, result):
        """A dispatch runs, is refused, or its link is lost."""
        writer = self.pick(number, Dispatch)
        if writer is None:
            return
        fence = self.waiting[writer].fence
        if result == "refused":
            outcome = DispatchResult(RunState.NOT_RUN, None, "leaving")
        elif result == "later":
            self.dispatches.append((writer, fence))
            outcome = DispatchResult(RunState.UNKNOWN, None, "link_lost")
        elif self.run(writer, fence) and result == "ran":
            outcome = DispatchResult(RunState.RUN, ANSWER)
        else:
            outcome = DispatchResult(RunState.UNKNOWN, None, "answer_lost")
        self.feed(writer, DispatchDone(outcome))

    @precondition(lambda self: self.dispatches)
    @rule(number=PICK)
    def late_dispatch_arrives(self, number):
        """A dispatch whose writer has given up reaches the agent."""
        self.run(*self.dispatches.pop(number % len(self.dispatches)))

    def run(self, writer, fence):
        """Execute a call unless its fencing number is old."""
        if fence <= self.fence:
            return False
        self.fence = fence
        self.runs[writer] += 1
        return True

    @rule()
    def agent_restarts(self):
        """The agent forgets its fencing numbers."""
        self.fence = 0

    @rule(seconds=st.sampled_from((0.5, 3.0, 6.0, 20.0)))
    def time_passes(self, seconds):
        """Time passes, and waiting writers go on."""
        self.now += seconds
        for number, state in enumerate(self.states):
            if state.phase is Phase.WAITING and self.now >= state.retry_at:
                self.feed(number, Tick())

    @rule(number=PICK)
    def entry_dies(self, number):
        """A writer ends; what it sent may still arrive."""
        writer = self.pick(number, object)
        if writer is not None and number % 4 == 0:
            action = self.waiting.pop(writer)
            if isinstance(action, CreateRecord | UpdateRecord):
                self.late_writes.append(action)
            elif isinstance(action, Dispatch):
                self.dispatches.append((writer, action.fence))

    @invariant()
    def ran_at_most_once(self):
        """P6: one key is executed at most once."""
        assert sum(self.runs.values()) <= 1, self.runs

    @invariant()
    def not_run_is_true(self):
        """P5: a request that was told `not_run` is never executed."""
        for number, answer in self.told.items():
            if isinstance(answer, RequestError) and answer.run_state == "not_run":
                assert not self.runs[number], answer

    @invariant()
    def record_is_true(self):
        """A record says `not_run` or `done` only if that is so."""
        if self.stored is None:
            return
        state, ran = CallRecord.decode(self.stored.value).state, sum(self.runs.values())
        assert not (state is RecordState.NOT_RUN and ran), "ran, recorded not_run"
        assert not (state is RecordState.DONE and not ran), "recorded done, not run"
