"""Specification of the at-most-once protocol of one idempotency key.

Writers are requests of callers with one key, each with its own token. A write
to the store may be answered, refused, or become ambiguous; an ambiguous one
takes effect at any later time or never. Every step of a writer may come
arbitrarily late, which stands for a paused process, and every process may move
a claim of another to `unknown` at any time: the protocol is checked without
clocks, so neither the dispatch window nor the latest start is relied on. The
agent may restart and forget its fencing numbers.

Bound of the state space: `writers` writers; each sends its claim at most
`sends` times and settles with at most `sends` writes; each takes over at most
once; the agent restarts at most once. The tests check 2 writers with 2 sends
and 3 writers with 1 send. Removal of records after 24 h is left out: every message is
assumed to end before that.

`broken` names a deliberate fault, for which the checker must find a
counterexample: `lost_answer_is_not_run`, `takeover_to_not_run`,
`dispatch_after_refusal`, or `claim_ignores_writer`.
"""

from typing import NamedTuple

from minicheck import Protocol

MAX_RESTARTS = 1
BROKEN = (
    "lost_answer_is_not_run",
    "takeover_to_not_run",
    "dispatch_after_refusal",
    "claim_ignores_writer",
)

Record = tuple[str, int]  # state and writer


class Message(NamedTuple):
    """A conditional write on its way; `expected` 0 creates the record."""

    sender: int
    expected: int
    record: Record


class State(NamedTuple):
    """State of the store, the network, the agent and the writers.

    Per writer: its phase, what its caller was told, the version of its claim or
    of the record that it replaces, claim and settle writes sent, whether a
    claim may take effect, and executions.
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

    def put(self, writer: int, **values) -> "State":
        """Return the state with per-writer values replaced.

        The first thing that a caller was told stands.
        """
        changes = {}
        for name, value in values.items():
            row = list(getattr(self, name))
            row[writer] = row[writer] or value if name == "told" else value
            changes[name] = tuple(row)
        return self._replace(**changes)


Successor = tuple[str, State]


def deliver(state: State, message: Message) -> tuple[State, bool]:
    """Take a write off the network and apply it if its condition holds."""
    state = state._replace(writes=state.writes - {message})
    stands = state.version if state.record else 0
    if message.expected != stands:
        return state, False
    record, version = message.record, state.version + 1
    return state._replace(record=record, version=version), True


def send(state: State, message: Message) -> State:
    """Put a write on the network."""
    return state._replace(writes=state.writes | {message})


class AtMostOnce:
    """Transitions of the protocol, or of one of its broken variants."""

    def __init__(self, sends: int, broken: str = ""):
        self.sends = sends
        self.broken = broken

    def transitions(self, state: State) -> list[Successor]:
        """Return all labelled successors."""
        found = self.network(state) + self.agent(state)
        for writer in range(len(state.phases)):
            step = getattr(self, state.phases[writer].partition(":")[0])
            labelled = step(state, writer)
            found += [(f"{label} {writer}", after) for label, after in labelled]
        return found

    def network(self, state: State) -> list[Successor]:
        """Ambiguous writes take effect late or are lost."""
        found = []
        for message in state.writes:
            found.append(("late effect", deliver(state, message)[0]))
            lost = state._replace(writes=state.writes - {message})
            found.append(("write lost", lost))
        return found

    def agent(self, state: State) -> list[Successor]:
        """Dispatches whose writer has given up run or are lost; the agent restarts."""
        found = []
        for writer, fence in state.dispatches:
            rest = state._replace(dispatches=state.dispatches - {(writer, fence)})
            found.append(("dispatch lost", rest))
            if fence > state.fence:
                found.append(("late run", self.run(rest, writer, fence)))
        if state.restarts < MAX_RESTARTS and state.fence:
            after = state._replace(fence=0, restarts=state.restarts + 1)
            found.append(("agent restarts", after))
        return found

    def run(self, state: State, writer: int, fence: int) -> State:
        """Execute a dispatch."""
        state = state._replace(fence=fence)
        return state.put(writer, runs=state.runs[writer] + 1)

    # Claim.

    def ended(self, state: State, writer: int) -> list[Successor]:
        """Do nothing more."""
        return []

    def idle(self, state: State, writer: int) -> list[Successor]:
        """The request comes."""
        return [("claims", self.claim(state, writer, 0))]

    def claim(self, state: State, writer: int, expected: int) -> State:
        """Send the claim, if that may still be done."""
        count = state.claims[writer]
        if count >= self.sends:
            return self.abandon(state, writer)
        state = state.put(writer, phases="claiming", seen=expected, claims=count + 1)
        return send(state, Message(writer, expected, ("claimed", writer)))

    def claiming(self, state: State, writer: int) -> list[Successor]:
        """The claim is answered, becomes ambiguous, or is refused."""
        message = Message(writer, state.seen[writer], ("claimed", writer))
        found = [("claim ambiguous", state.put(writer, phases="reading", doubts=True))]
        if message not in state.writes:
            return found
        after, effective = deliver(state, message)
        if effective:
            after = after.put(writer, phases="own", seen=after.version)
        else:
            after = self.find(after, writer)
        refused = state._replace(writes=state.writes - {message})
        found.append(("claim answered", after))
        found.append(("claim refused", self.abandon(refused, writer)))
        return found

    def reading(self, state: State, writer: int) -> list[Successor]:
        """The read-back succeeds or fails."""
        found = self.find(state, writer)
        return [
            ("reads back", found),
            ("read-back fails", self.abandon(state, writer)),
        ]

    def find(self, state: State, writer: int) -> State:
        """Act on the record that stands in the store."""
        if state.record is None:
            return self.claim(state, writer, 0)
        kind, owner = state.record
        own = owner == writer or self.broken == "claim_ignores_writer"
        if own and kind == "claimed":
            return state.put(writer, phases="own", seen=state.version)
        if owner == writer:
            return self.abandon(state.put(writer, doubts=True), writer)
        if kind == "not_run":
            return self.claim(state, writer, state.version)
        if kind == "claimed":
            return state.put(writer, phases="finding")
        told = "answer" if kind == "done" else "unknown"
        return state.put(writer, phases="ended", told=told)

    def finding(self, state: State, writer: int) -> list[Successor]:
        """Another's claim is in progress, or overdue and taken over."""
        waits = state.put(writer, phases="ended", told="in_progress")
        after = state.put(writer, phases="ended", told="unknown")
        kind, owner = state.record
        if kind != "claimed":
            return [("finds claim", waits)]
        target = "not_run" if self.broken == "takeover_to_not_run" else "unknown"
        message = Message(writer, state.version, (target, owner))
        return [("finds claim", waits), ("takes over", send(after, message))]

    def abandon(self, state: State, writer: int) -> State:
        """Tell the caller `not_run`; withdraw a claim that may take effect."""
        own = state.phases[writer] == "own"
        phase = "ended"
        if own or state.doubts[writer]:
            phase = "settling:not_run"
            if self.broken == "dispatch_after_refusal":
                phase = "own" if own else "reading"
        return state.put(writer, phases=phase, told="not_run")

    # Dispatch.

    def own(self, state: State, writer: int) -> list[Successor]:
        """The claim took effect: dispatch it, or find the window passed."""
        message = (writer, state.seen[writer])
        after = state.put(writer, phases="sent")
        after = after._replace(dispatches=state.dispatches | {message})
        passed = self.abandon(state, writer)
        return [("dispatches", after), ("window passed", passed)]

    def sent(self, state: State, writer: int) -> list[Successor]:
        """The agent runs or refuses the dispatch, or the link is lost."""
        message = (writer, state.seen[writer])
        found = [("link lost", self.end(state, writer, "unknown"))]
        if message not in state.dispatches:
            return found
        rest = state._replace(dispatches=state.dispatches - {message})
        found.append(("agent refuses", self.end(rest, writer, "not_run")))
        if message[1] <= state.fence:
            return found + [("agent fences", self.end(rest, writer, "unknown"))]
        ran = self.run(rest, *message)
        found.append(("answers", self.end(ran, writer, "done")))
        found.append(("answer lost", self.end(ran, writer, "unknown")))
        return found

    def end(self, state: State, writer: int, target: str) -> State:
        """Answer the caller and settle the record."""
        if target == "unknown" and self.broken == "lost_answer_is_not_run":
            target = "not_run"
        told = "answer" if target == "done" else target
        return state.put(writer, phases=f"settling:{target}", told=told)

    # Settling.

    def settling(self, state: State, writer: int) -> list[Successor]:
        """Write the target state, or give up."""
        found = [("stops settling", state.put(writer, phases="ended"))]
        target = state.phases[writer].partition(":")[2]
        if state.settles[writer] >= self.sends:
            return found
        message = Message(writer, state.version, (target, writer))
        if state.record is None:
            if target != "not_run":
                return found
            message = message._replace(expected=0)
        elif not self.may_settle(state, writer, target):
            return found
        after = state.put(writer, settles=state.settles[writer] + 1)
        return found + [("settles", send(after, message))]

    def may_settle(self, state: State, writer: int, target: str) -> bool:
        """Whether the record is the writer's, or its delayed claim may replace it."""
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
    """A record says `not_run` only if nothing ran, `done` only if something did."""
    kind = state["record"][0] if state["record"] else ""
    ran = sum(state["runs"])
    return not (kind == "not_run" and ran) and not (kind == "done" and not ran)


INVARIANTS = {
    "ran_at_most_once": ran_at_most_once,
    "not_run_is_true": not_run_is_true,
    "record_is_true": record_is_true,
}


def specification(broken: str = "", writers: int = 2, sends: int = 2) -> Protocol:
    """Return the protocol for the checker."""
    return Protocol(
        name=f"at-most-once {broken}".strip(),
        candidate=False,
        fields=State._fields,
        initial=State.initial(writers),
        transitions=AtMostOnce(sends, broken).transitions,
        invariants=INVARIANTS,
    )
