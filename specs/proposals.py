"""Model of the outcomes of proposals under a lease that may expire.

`specs.publishing` checks what is published. This model checks the outcome of each
proposal where proposals depend on one another or conflict.

Two publishers process three proposals in order. Proposal 0 adds an object,
proposal 1 edits it, and proposal 2 is an edit from the same base as proposal 1,
with which it conflicts. Either publisher may take over the lease at any moment,
under the next epoch. The former holder does not notice and continues, as a paused
process whose lease expired does. Every write may become ambiguous; it then takes
effect at any later time or never.

Bounds: 2 publishers, 3 proposals, at most `max_epochs` lease acquisitions and at
most `max_ambiguous` ambiguous writes in total. The tests check 3 acquisitions with
1 ambiguous write, and 2 acquisitions with 2. Chunks and their removal are left
out, since the content of a chunk follows from its name.

`broken` names a deliberate fault, for which the checker must find a
counterexample: `no_seal` (a new holder does not write its epoch into the head),
`no_condition` (the head is updated without a condition on its version),
`no_finish` (the status of a published proposal is not written before the next
revision), `no_verify` (a refusal is written without rereading the head).
"""

from typing import NamedTuple

from minicheck import Protocol

PUBLISHERS = 2
PROPOSALS = 3
BROKEN = ("no_seal", "no_condition", "no_finish", "no_verify")


class Head(NamedTuple):
    """Published proposals in order and the epoch; the revision is their count."""

    content: tuple[int, ...] = ()
    epoch: int = 0


class Write(NamedTuple):
    """A conditional write of the head or of one proposal's status."""

    publisher: int
    epoch: int
    expected: int
    head: Head | None = None
    proposal: int = -1
    status: str = ""


class Publisher(NamedTuple):
    """Phase and last known state of one publisher; `write` awaits its answer."""

    phase: str = "idle"
    epoch: int = 0
    head: Head = Head()
    version: int = 0
    write: Write | None = None


class State(NamedTuple):
    """State of the store, the network and the publishers.

    `begun` is the highest epoch whose holder has begun to process proposals.
    `reverted` records that a published proposal disappeared from the head, and
    `stale` that a head write of an older epoch than `begun` took effect.
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

    def with_publisher(self, number: int, publisher: Publisher) -> "State":
        """Return the state with one publisher replaced."""
        publishers = list(self.publishers)
        publishers[number] = publisher
        return self._replace(publishers=tuple(publishers))


Successor = tuple[str, State]


def is_valid(proposal: int, content: tuple[int, ...]) -> bool:
    """Return whether a proposal may be published on top of `content`."""
    if proposal == 0:
        return True
    return 0 in content and not (proposal == 2 and 1 in content)


class ProposalsModel:
    """Transitions of the publishers, or of a broken variant of them."""

    def __init__(self, max_epochs: int, max_ambiguous: int, broken: str = ""):
        self.max_epochs = max_epochs
        self.max_ambiguous = max_ambiguous
        self.broken = broken

    def transitions(self, state: State) -> list[Successor]:
        """Return all successors with their labels."""
        successors = self.network_transitions(state)
        for number, publisher in enumerate(state.publishers):
            step = (
                self.complete_write
                if publisher.write
                else getattr(self, publisher.phase)
            )
            labelled = step(state, number, publisher) + self.acquire_lease(
                state, number
            )
            successors += [(f"{label} {number}", after) for label, after in labelled]
        return successors

    def apply(self, state: State, write: Write) -> tuple[State, bool]:
        """Apply a write if its condition holds; return the state and whether it did."""
        if write.head is None:
            if state.statuses[write.proposal]:
                return state, False
            statuses = list(state.statuses)
            statuses[write.proposal] = write.status
            return state._replace(statuses=tuple(statuses)), True
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

    def network_transitions(self, state: State) -> list[Successor]:
        """Return the successors in which an ambiguous write takes effect or is lost."""
        successors = []
        for write in state.late:
            rest = state._replace(late=state.late - {write})
            successors.append(("late effect", self.apply(rest, write)[0]))
            successors.append(("write lost", rest))
        return successors

    def acquire_lease(self, state: State, number: int) -> list[Successor]:
        """Take over the lease; the former holder does not notice."""
        if state.epoch >= self.max_epochs:
            return []
        epoch = state.epoch + 1
        publisher = state.publishers[number]
        late = state.late | {publisher.write} if publisher.write else state.late
        state = state._replace(epoch=epoch, late=late)
        return [("acquires", state.with_publisher(number, Publisher("read", epoch)))]

    def complete_write(self, state: State, number: int, publisher: Publisher):
        """Answer the write, or leave it ambiguous and reread the head."""
        write, following = publisher.write, publisher._replace(write=None)
        after, effective = self.apply(state, write)
        if effective and write.head is not None:
            known = following._replace(head=write.head, version=after.version)
            successors = [("write answered", after.with_publisher(number, known))]
        else:
            again = following._replace(phase="read" if not effective else "pick")
            successors = [("write answered", after.with_publisher(number, again))]
        if state.lost < self.max_ambiguous:
            lost = state._replace(lost=state.lost + 1, late=state.late | {write})
            again = following._replace(phase="read")
            successors.append(("write ambiguous", lost.with_publisher(number, again)))
        return successors

    def idle(self, state: State, number: int, publisher: Publisher):
        """Do nothing without the lease."""
        return []

    def read(self, state: State, number: int, publisher: Publisher):
        """Read the head; step down if its epoch is higher, else seal it."""
        if state.head.epoch > publisher.epoch:
            idle = publisher._replace(phase="idle")
            return [("steps down", state.with_publisher(number, idle))]
        publisher = publisher._replace(head=state.head, version=state.version)
        if state.head.epoch == publisher.epoch or self.broken == "no_seal":
            after = state.with_publisher(number, publisher._replace(phase="finish"))
            begun = max(after.begun, publisher.epoch)
            return [("reads head", after._replace(begun=begun))]
        sealed = state.head._replace(epoch=publisher.epoch)
        write = Write(number, publisher.epoch, state.version, sealed)
        publisher = publisher._replace(phase="begin", write=write)
        return [("seals", state.with_publisher(number, publisher))]

    def begin(self, state: State, number: int, publisher: Publisher):
        """Begin to process proposals once the head carries this publisher's epoch."""
        begun = max(state.begun, publisher.epoch)
        after = state.with_publisher(number, publisher._replace(phase="finish"))
        return [("begins", after._replace(begun=begun))]

    def finish(self, state: State, number: int, publisher: Publisher):
        """Write the status of the last published proposal if it is missing."""
        content = publisher.head.content
        publisher = publisher._replace(phase="pick")
        if not content or self.broken == "no_finish":
            return [("nothing to finish", state.with_publisher(number, publisher))]
        if not state.statuses[content[-1]]:
            write = Write(number, publisher.epoch, 0, None, content[-1], "published")
            publisher = publisher._replace(write=write)
        return [("finishes", state.with_publisher(number, publisher))]

    def pick(self, state: State, number: int, publisher: Publisher):
        """List the proposals and decide the first proposal without a status."""
        pending = [p for p, status in enumerate(state.statuses) if not status]
        if not pending:
            return [
                (
                    "all done",
                    state.with_publisher(number, publisher._replace(phase="idle")),
                )
            ]
        proposal, head = pending[0], publisher.head
        if not is_valid(proposal, head.content):
            phase = "refuse" if self.broken == "no_verify" else "verify"
            after = publisher._replace(phase=f"{phase}_{proposal}")
            return [("decides to refuse", state.with_publisher(number, after))]
        published = head._replace(content=(*head.content, proposal))
        published = published._replace(epoch=publisher.epoch)
        write = Write(number, publisher.epoch, publisher.version, published)
        publisher = publisher._replace(phase="finish", write=write)
        return [("publishes", state.with_publisher(number, publisher))]

    def verify(self, state: State, number: int, publisher: Publisher, proposal: int):
        """Check that the head on which the refusal is based has not changed."""
        same = state.version == publisher.version
        phase = f"refuse_{proposal}" if same else "read"
        return [
            ("verifies", state.with_publisher(number, publisher._replace(phase=phase)))
        ]

    def refuse(self, state: State, number: int, publisher: Publisher, proposal: int):
        """Write the refusal into the proposal's status."""
        write = Write(number, publisher.epoch, 0, None, proposal, "refused")
        publisher = publisher._replace(phase="pick", write=write)
        return [("refuses", state.with_publisher(number, publisher))]

    def __getattr__(self, name: str):
        """Return the step for a phase name that ends in a proposal number."""
        phase, _, proposal = name.partition("_")
        if not proposal.isdigit():
            raise AttributeError(name)
        step = getattr(self, phase)
        return lambda state, number, publisher: step(
            state, number, publisher, int(proposal)
        )


def each_once(state: dict) -> bool:
    """No proposal is published twice, and no two published proposals conflict."""
    content = state["head"].content
    return len(set(content)) == len(content) and not {1, 2} <= set(content)


def never_reverts(state: dict) -> bool:
    """P9: a published proposal stays published."""
    return not state["reverted"]


def statuses_are_true(state: dict) -> bool:
    """Each status matches the proposal's outcome; only the conflict is refused."""
    content = state["head"].content
    for proposal, status in enumerate(state["statuses"]):
        if status == "published" and proposal not in content:
            return False
        if status == "refused" and (proposal != 2 or 1 not in content):
            return False
    return True


def old_epochs_are_fenced(state: dict) -> bool:
    """No write of a former holder changes the head after a later holder has begun."""
    return not state["stale"]


INVARIANTS = {
    "each_once": each_once,
    "never_reverts": never_reverts,
    "statuses_are_true": statuses_are_true,
    "old_epochs_are_fenced": old_epochs_are_fenced,
}


def specification(
    broken: str = "", max_epochs: int = 2, max_ambiguous: int = 2
) -> Protocol:
    """Return the model for the checker."""
    return Protocol(
        name=f"proposals {broken}".strip(),
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=ProposalsModel(max_epochs, max_ambiguous, broken).transitions,
        invariants=INVARIANTS,
    )
