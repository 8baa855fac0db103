"""Model of the at-most-once protocol for one idempotency key.

Writers are callers' requests with the same key, each with its own token. A write
to the store may be answered or refused, or become ambiguous; an ambiguous write
takes effect at any later time or never. Every step of a writer may be delayed
arbitrarily, as in a paused process, and every process may change another writer's
claim to `unknown` at any time. The protocol is thus checked without clocks: the
properties rely neither on the dispatch window nor on the latest start. The agent
may restart and lose its fencing numbers.

Bounds: `writers` writers, each of which sends its claim at most `max_sends` times,
settles with at most `max_sends` writes and takes over at most once; the agent
restarts at most once. The tests check 2 writers with 2 sends and 3 writers with
1 send. The removal of records after 24 h is left out: every message is assumed to
arrive or be lost before that.

`broken` names a deliberate fault, for which the checker must find a
counterexample: `lost_answer_is_not_run`, `takeover_to_not_run`,
`dispatch_after_refusal`, or `claim_ignores_writer`.
"""

from typing import NamedTuple

from minicheck import Protocol

MAX_AGENT_RESTARTS = 1
BROKEN = (
    "lost_answer_is_not_run",
    "takeover_to_not_run",
    "dispatch_after_refusal",
    "claim_ignores_writer",
)

Record = tuple[str, int]  # state and writer


class Message(NamedTuple):
    """A conditional write in flight; `expected` 0 creates the record."""

    sender: int
    expected: int
    record: Record


class State(NamedTuple):
    """State of the store, the network, the agent and the writers.

    The tuples have one item for each writer: its phase, the answer its caller was
    told, the version of its claim or of the record that the claim replaces (`seen`),
    the numbers of claim and settle writes sent, whether an ambiguous claim may still
    take effect (`doubts`), and the number of executions.
    """

    record: Record | None = None
    version: int = 0
    writes: frozenset[Message] = frozenset()
    dispatches: frozenset[tuple[int, int]] = frozenset()
    fence: int = 0
    restarts: int = 0
    phases: tuple[str, ...] = ()
    told: tuple[str, ...] = ()
    seen: tuple[int, ...] = ()
    claims: tuple[int, ...] = ()
    settles: tuple[int, ...] = ()
    doubts: tuple[bool, ...] = ()
    runs: tuple[int, ...] = ()

    @classmethod
    def initial(cls, writers: int) -> "State":
        """Return the state before any request."""
        zeros = (0,) * writers
        return cls(
            phases=("idle",) * writers,
            told=("",) * writers,
            seen=zeros,
            claims=zeros,
            settles=zeros,
            doubts=(False,) * writers,
            runs=zeros,
        )

    def with_values(self, writer: int, **values) -> "State":
        """Return the state with values of one writer replaced.

        The first answer that a caller was told is kept.
        """
        changes = {}
        for name, value in values.items():
            values_by_writer = list(getattr(self, name))
            values_by_writer[writer] = (
                values_by_writer[writer] or value if name == "told" else value
            )
            changes[name] = tuple(values_by_writer)
        return self._replace(**changes)


Successor = tuple[str, State]


def deliver(state: State, message: Message) -> tuple[State, bool]:
    """Remove a write from the network and apply it if its condition holds."""
    state = state._replace(writes=state.writes - {message})
    stands = state.version if state.record else 0
    if message.expected != stands:
        return state, False
    record, version = message.record, state.version + 1
    return state._replace(record=record, version=version), True


def send(state: State, message: Message) -> State:
    """Add a write to the network."""
    return state._replace(writes=state.writes | {message})


class AtMostOnceModel:
    """Transitions of the protocol, or of a broken variant of it."""

    def __init__(self, max_sends: int, broken: str = ""):
        self.max_sends = max_sends
        self.broken = broken

    def transitions(self, state: State) -> list[Successor]:
        """Return all successors with their labels."""
        successors = self.network_transitions(state) + self.agent_transitions(state)
        for writer in range(len(state.phases)):
            step = getattr(self, state.phases[writer].partition(":")[0])
            labelled = step(state, writer)
            successors += [(f"{label} {writer}", after) for label, after in labelled]
        return successors

    def network_transitions(self, state: State) -> list[Successor]:
        """Return the successors in which an ambiguous write takes effect or is lost."""
        successors = []
        for message in state.writes:
            successors.append(("late effect", deliver(state, message)[0]))
            lost = state._replace(writes=state.writes - {message})
            successors.append(("write lost", lost))
        return successors

    def agent_transitions(self, state: State) -> list[Successor]:
        """Return the successors in which a late dispatch ends or the agent restarts.

        A late dispatch is executed or lost after its writer stopped waiting.
        """
        successors = []
        for writer, fence in state.dispatches:
            rest = state._replace(dispatches=state.dispatches - {(writer, fence)})
            successors.append(("dispatch lost", rest))
            if fence > state.fence:
                successors.append(("late run", self.run(rest, writer, fence)))
        if state.restarts < MAX_AGENT_RESTARTS and state.fence:
            after = state._replace(fence=0, restarts=state.restarts + 1)
            successors.append(("agent restarts", after))
        return successors

    def run(self, state: State, writer: int, fence: int) -> State:
        """Execute a dispatch."""
        state = state._replace(fence=fence)
        return state.with_values(writer, runs=state.runs[writer] + 1)

    # Claim.

    def ended(self, state: State, writer: int) -> list[Successor]:
        """Do nothing; the writer has ended."""
        return []

    def idle(self, state: State, writer: int) -> list[Successor]:
        """Send the claim of a new request."""
        return [("claims", self.claim(state, writer, 0))]

    def claim(self, state: State, writer: int, expected: int) -> State:
        """Send the claim, or abandon the request after `max_sends` claims."""
        count = state.claims[writer]
        if count >= self.max_sends:
            return self.abandon(state, writer)
        state = state.with_values(
            writer, phases="claiming", seen=expected, claims=count + 1
        )
        return send(state, Message(writer, expected, ("claimed", writer)))

    def claiming(self, state: State, writer: int) -> list[Successor]:
        """Answer or refuse the claim, or leave it ambiguous."""
        message = Message(writer, state.seen[writer], ("claimed", writer))
        successors = [
            (
                "claim ambiguous",
                state.with_values(writer, phases="reading", doubts=True),
            )
        ]
        if message not in state.writes:
            return successors
        after, effective = deliver(state, message)
        if effective:
            after = after.with_values(writer, phases="own", seen=after.version)
        else:
            after = self.find(after, writer)
        refused = state._replace(writes=state.writes - {message})
        successors.append(("claim answered", after))
        successors.append(("claim refused", self.abandon(refused, writer)))
        return successors

    def reading(self, state: State, writer: int) -> list[Successor]:
        """Let the read-back of an ambiguous claim succeed or fail."""
        after = self.find(state, writer)
        return [
            ("reads back", after),
            ("read-back fails", self.abandon(state, writer)),
        ]

    def find(self, state: State, writer: int) -> State:
        """Act on the record that is in the store."""
        if state.record is None:
            return self.claim(state, writer, 0)
        kind, owner = state.record
        own = owner == writer or self.broken == "claim_ignores_writer"
        if own and kind == "claimed":
            return state.with_values(writer, phases="own", seen=state.version)
        if owner == writer:
            return self.abandon(state.with_values(writer, doubts=True), writer)
        if kind == "not_run":
            return self.claim(state, writer, state.version)
        if kind == "claimed":
            return state.with_values(writer, phases="finding")
        told = "answer" if kind == "done" else "unknown"
        return state.with_values(writer, phases="ended", told=told)

    def finding(self, state: State, writer: int) -> list[Successor]:
        """Wait for another writer's claim, or take it over as overdue."""
        waits = state.with_values(writer, phases="ended", told="in_progress")
        after = state.with_values(writer, phases="ended", told="unknown")
        kind, owner = state.record
        if kind != "claimed":
            return [("finds claim", waits)]
        target = "not_run" if self.broken == "takeover_to_not_run" else "unknown"
        message = Message(writer, state.version, (target, owner))
        return [("finds claim", waits), ("takes over", send(after, message))]

    def abandon(self, state: State, writer: int) -> State:
        """Tell the caller `not_run`; withdraw a claim that may still take effect."""
        own = state.phases[writer] == "own"
        phase = "ended"
        if own or state.doubts[writer]:
            phase = "settling:not_run"
            if self.broken == "dispatch_after_refusal":
                phase = "own" if own else "reading"
        return state.with_values(writer, phases=phase, told="not_run")

    # Dispatch.

    def own(self, state: State, writer: int) -> list[Successor]:
        """Dispatch a claim that took effect, or abandon it after the window."""
        message = (writer, state.seen[writer])
        after = state.with_values(writer, phases="sent")
        after = after._replace(dispatches=state.dispatches | {message})
        passed = self.abandon(state, writer)
        return [("dispatches", after), ("window passed", passed)]

    def sent(self, state: State, writer: int) -> list[Successor]:
        """Let the agent execute or refuse the dispatch, or lose the link or answer."""
        message = (writer, state.seen[writer])
        successors = [("link lost", self.end(state, writer, "unknown"))]
        if message not in state.dispatches:
            return successors
        rest = state._replace(dispatches=state.dispatches - {message})
        successors.append(("agent refuses", self.end(rest, writer, "not_run")))
        if message[1] <= state.fence:
            return successors + [("agent fences", self.end(rest, writer, "unknown"))]
        ran = self.run(rest, *message)
        successors.append(("answers", self.end(ran, writer, "done")))
        successors.append(("answer lost", self.end(ran, writer, "unknown")))
        return successors

    def end(self, state: State, writer: int, target: str) -> State:
        """Answer the caller and settle the record."""
        if target == "unknown" and self.broken == "lost_answer_is_not_run":
            target = "not_run"
        told = "answer" if target == "done" else target
        return state.with_values(writer, phases=f"settling:{target}", told=told)

    # Settling.

    def settling(self, state: State, writer: int) -> list[Successor]:
        """Write the target state into the record, or stop settling."""
        successors = [("stops settling", state.with_values(writer, phases="ended"))]
        target = state.phases[writer].partition(":")[2]
        if state.settles[writer] >= self.max_sends:
            return successors
        message = Message(writer, state.version, (target, writer))
        if state.record is None:
            if target != "not_run":
                return successors
            message = message._replace(expected=0)
        elif not self.may_settle(state, writer, target):
            return successors
        after = state.with_values(writer, settles=state.settles[writer] + 1)
        return successors + [("settles", send(after, message))]

    def may_settle(self, state: State, writer: int, target: str) -> bool:
        """Return whether the writer may settle the record.

        The record must be the writer's own, or one that its delayed claim may replace.
        """
        kind, owner = state.record
        if owner == writer:
            return kind != target
        return kind == "not_run" and state.seen[writer] == state.version


def ran_at_most_once(state: dict) -> bool:
    """P6: one key is executed at most once."""
    return sum(state["runs"]) <= 1


def not_run_is_true(state: dict) -> bool:
    """P5: a request whose caller was told `not_run` is never executed."""
    pairs = zip(state["told"], state["runs"], strict=True)
    return not any(told == "not_run" and runs for told, runs in pairs)


def record_is_true(state: dict) -> bool:
    """A record is `not_run` only without an execution, `done` only after one."""
    kind = state["record"][0] if state["record"] else ""
    ran = sum(state["runs"])
    return not (kind == "not_run" and ran) and not (kind == "done" and not ran)


INVARIANTS = {
    "ran_at_most_once": ran_at_most_once,
    "not_run_is_true": not_run_is_true,
    "record_is_true": record_is_true,
}


def specification(broken: str = "", writers: int = 2, max_sends: int = 2) -> Protocol:
    """Return the model for the checker."""
    return Protocol(
        name=f"at-most-once {broken}".strip(),
        candidate=False,
        fields=State._fields,
        initial=State.initial(writers),
        transitions=AtMostOnceModel(max_sends, broken).transitions,
        invariants=INVARIANTS,
    )
