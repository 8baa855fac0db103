"""Specification of the outcomes of proposals under a lease that may lapse.

`specs.publishing` checks what is published; this one checks what becomes of
each proposal where proposals depend on one another or conflict.

Two publishers carry out three proposals in order. Proposal 0 adds an object, 1
edits it, and 2 is an edit from the same base as 1, so it conflicts with 1.
Either publisher may take the lease over at any moment, which gives it the next
epoch; the former holder does not notice and goes on, which stands for a paused
holder whose lease lapsed. Every write may become ambiguous and then takes
effect at any later time or never.

Bound of the state space: 2 publishers, 3 proposals, at most `epochs`
acquisitions, at most `lost` ambiguous writes in all. The tests check 3
acquisitions with 1 ambiguous write, and 2 with 2. Chunks and their
removal are left out, since a chunk's content follows from its name.

`broken` names a deliberate fault, for which the checker must find a
counterexample: `no_seal` (a new holder does not write its epoch into the head),
`no_condition` (the head is updated without its version), `no_finish` (the status
of a published proposal is not written before the next revision), `no_verify` (a
refusal is written without a look at the head).
"""

from typing import NamedTuple

from minicheck import Protocol

PUBLISHERS = 2
PROPOSALS = 3
BROKEN = ("no_seal", "no_condition", "no_finish", "no_verify")


class Head(NamedTuple):
    """Published proposals in order (their number is the revision), and epoch."""

    content: tuple[int, ...] = ()
    epoch: int = 0


class Write(NamedTuple):
    """A conditional write of the head, or of one proposal's status."""

    publisher: int
    epoch: int
    expected: int
    head: Head | None = None
    proposal: int = -1
    status: str = ""


class Publisher(NamedTuple):
    """What one publisher does and knows; `write` is out and not yet answered."""

    phase: str = "idle"
    epoch: int = 0
    head: Head = Head()
    version: int = 0
    write: Write | None = None


class State(NamedTuple):
    """State of the store, the network and the publishers.

    `begun` is the highest epoch whose holder has begun to carry out proposals.
    `reverted` and `stale` note that a published proposal vanished from the head,
    and that a write of an older epoch took effect after that.
    """

    head: Head = Head()
    version: int = 0
    statuses: tuple[str, ...] = ("",) * PROPOSALS
    late: frozenset[Write] = frozenset()
    lost: int = 0
    epoch: int = 0
    begun: int = 0
    reverted: bool = False
    stale: bool = False
    publishers: tuple[Publisher, ...] = (Publisher(),) * PUBLISHERS

    def put(self, number: int, publisher: Publisher) -> "State":
        """Return the state with one publisher replaced."""
        row = list(self.publishers)
        row[number] = publisher
        return self._replace(publishers=tuple(row))


Successor = tuple[str, State]


def is_valid(proposal: int, content: tuple[int, ...]) -> bool:
    """Whether a proposal may be published on top of `content`."""
    if proposal == 0:
        return True
    return 0 in content and not (proposal == 2 and 1 in content)


class Proposals:
    """Transitions of the publishers, or of one of its broken variants."""

    def __init__(self, epochs: int, lost: int, broken: str = ""):
        self.epochs = epochs
        self.lost = lost
        self.broken = broken

    def transitions(self, state: State) -> list[Successor]:
        """Return all labelled successors."""
        found = self.network(state)
        for number, publisher in enumerate(state.publishers):
            step = self.answer if publisher.write else getattr(self, publisher.phase)
            labelled = step(state, number, publisher) + self.acquire(state, number)
            found += [(f"{label} {number}", after) for label, after in labelled]
        return found

    def apply(self, state: State, write: Write) -> tuple[State, bool]:
        """Apply a write if its condition holds."""
        if write.head is None:
            if state.statuses[write.proposal]:
                return state, False
            row = list(state.statuses)
            row[write.proposal] = write.status
            return state._replace(statuses=tuple(row)), True
        unconditional = self.broken == "no_condition"
        if write.expected != state.version and not unconditional:
            return state, False
        old, new = state.head.content, write.head.content
        changed = state._replace(
            head=write.head,
            version=state.version + 1,
            reverted=state.reverted or new[: len(old)] != old,
            stale=state.stale or write.epoch < state.begun,
        )
        return changed, True

    def network(self, state: State) -> list[Successor]:
        """Ambiguous writes take effect late or are lost."""
        found = []
        for write in state.late:
            rest = state._replace(late=state.late - {write})
            found.append(("late effect", self.apply(rest, write)[0]))
            found.append(("write lost", rest))
        return found

    def acquire(self, state: State, number: int) -> list[Successor]:
        """Take the lease over; the former holder does not notice."""
        if state.epoch >= self.epochs:
            return []
        epoch = state.epoch + 1
        publisher = state.publishers[number]
        late = state.late | {publisher.write} if publisher.write else state.late
        state = state._replace(epoch=epoch, late=late)
        return [("acquires", state.put(number, Publisher("read", epoch)))]

    def answer(self, state: State, number: int, publisher: Publisher):
        """The write is answered, or becomes ambiguous and the head is read again."""
        write, following = publisher.write, publisher._replace(write=None)
        after, effective = self.apply(state, write)
        if effective and write.head is not None:
            known = following._replace(head=write.head, version=after.version)
            found = [("write answered", after.put(number, known))]
        else:
            again = following._replace(phase="read" if not effective else "pick")
            found = [("write answered", after.put(number, again))]
        if state.lost < self.lost:
            lost = state._replace(lost=state.lost + 1, late=state.late | {write})
            again = following._replace(phase="read")
            found.append(("write ambiguous", lost.put(number, again)))
        return found

    def idle(self, state: State, number: int, publisher: Publisher):
        """Hold no lease."""
        return []

    def read(self, state: State, number: int, publisher: Publisher):
        """Read the head; step down for a higher epoch, else seal it."""
        if state.head.epoch > publisher.epoch:
            idle = publisher._replace(phase="idle")
            return [("steps down", state.put(number, idle))]
        publisher = publisher._replace(head=state.head, version=state.version)
        if state.head.epoch == publisher.epoch or self.broken == "no_seal":
            after = state.put(number, publisher._replace(phase="finish"))
            begun = max(after.begun, publisher.epoch)
            return [("reads head", after._replace(begun=begun))]
        sealed = state.head._replace(epoch=publisher.epoch)
        write = Write(number, publisher.epoch, state.version, sealed)
        publisher = publisher._replace(phase="begin", write=write)
        return [("seals", state.put(number, publisher))]

    def begin(self, state: State, number: int, publisher: Publisher):
        """The head carries the epoch of this publisher."""
        begun = max(state.begun, publisher.epoch)
        after = state.put(number, publisher._replace(phase="finish"))
        return [("begins", after._replace(begun=begun))]

    def finish(self, state: State, number: int, publisher: Publisher):
        """Write the status of the head's proposal if it is missing."""
        content = publisher.head.content
        publisher = publisher._replace(phase="pick")
        if not content or self.broken == "no_finish":
            return [("nothing to finish", state.put(number, publisher))]
        if not state.statuses[content[-1]]:
            write = Write(number, publisher.epoch, 0, None, content[-1], "published")
            publisher = publisher._replace(write=write)
        return [("finishes", state.put(number, publisher))]

    def pick(self, state: State, number: int, publisher: Publisher):
        """List the proposals and decide the first one without a status."""
        pending = [p for p, status in enumerate(state.statuses) if not status]
        if not pending:
            return [("all done", state.put(number, publisher._replace(phase="idle")))]
        proposal, head = pending[0], publisher.head
        if not is_valid(proposal, head.content):
            phase = "refuse" if self.broken == "no_verify" else "verify"
            after = publisher._replace(phase=f"{phase}_{proposal}")
            return [("decides to refuse", state.put(number, after))]
        published = head._replace(content=(*head.content, proposal))
        published = published._replace(epoch=publisher.epoch)
        write = Write(number, publisher.epoch, publisher.version, published)
        publisher = publisher._replace(phase="finish", write=write)
        return [("publishes", state.put(number, publisher))]

    def verify(self, state: State, number: int, publisher: Publisher, proposal: int):
        """Look whether the head is still the one that the refusal is based on."""
        same = state.version == publisher.version
        phase = f"refuse_{proposal}" if same else "read"
        return [("verifies", state.put(number, publisher._replace(phase=phase)))]

    def refuse(self, state: State, number: int, publisher: Publisher, proposal: int):
        """Write the refusal into the proposal's status."""
        write = Write(number, publisher.epoch, 0, None, proposal, "refused")
        publisher = publisher._replace(phase="pick", write=write)
        return [("refuses", state.put(number, publisher))]

    def __getattr__(self, name: str):
        """Return the step of a phase that names its proposal."""
        phase, _, proposal = name.partition("_")
        if not proposal.isdigit():
            raise AttributeError(name)
        step = getattr(self, phase)
        return lambda state, number, publisher: step(
            state, number, publisher, int(proposal)
        )


def each_once(state: dict) -> bool:
    """No proposal is published twice, and no two that conflict."""
    content = state["head"].content
    return len(set(content)) == len(content) and not {1, 2} <= set(content)


def never_reverts(state: dict) -> bool:
    """P9: a published proposal stays published."""
    return not state["reverted"]


def statuses_are_true(state: dict) -> bool:
    """A status says what became of the proposal; only the conflict is refused."""
    content = state["head"].content
    for proposal, status in enumerate(state["statuses"]):
        if status == "published" and proposal not in content:
            return False
        if status == "refused" and (proposal != 2 or 1 not in content):
            return False
    return True


def old_epochs_are_fenced(state: dict) -> bool:
    """Nothing of a former holder changes the head once the next one has begun."""
    return not state["stale"]


INVARIANTS = {
    "each_once": each_once,
    "never_reverts": never_reverts,
    "statuses_are_true": statuses_are_true,
    "old_epochs_are_fenced": old_epochs_are_fenced,
}


def specification(broken: str = "", epochs: int = 2, lost: int = 2) -> Protocol:
    """Return the protocol for the checker."""
    return Protocol(
        name=f"proposals {broken}".strip(),
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=Proposals(epochs, lost, broken).transitions,
        invariants=INVARIANTS,
    )
