"""Model of publishing: lapsed leases, lost answers, revisions that never go back.

Two publishers may each believe that they hold the lease: a granted epoch is
never taken back. Every update of the head goes into flight; it takes effect at
any later time, or never, and its sender learns the result only by reading the
head. Two proposals wait, and entries adopt revisions from the head and from
gossip messages that arrive late.

Bound of the state space: 3 lease epochs, 2 proposals, 3 updates in flight, and
either 2 publishers without entries (330,787 states) or 1 publisher, 2 entries
and 1 gossip message in flight (130,430 states). The tests sweep both spaces.
`Variant` breaks the design on purpose.
"""

from dataclasses import dataclass

from minicheck import Protocol

MAX_EPOCH = 3
MAX_FLIGHTS = 3
PROPOSALS = (1, 2)

FIELDS = (
    "version",  # of the head object
    "revision",
    "epoch",
    "proposal",  # carried out by the head, 0 if none
    "granted",  # highest lease epoch
    "begun",  # highest epoch whose publisher takes proposals
    "publishers",  # (phase, epoch, version, revision, proposal) as last read
    "flights",  # updates: (expected version, revision, epoch, proposal)
    "statuses",  # revision in the status of each proposal, 0 if pending
    "published",  # revisions in which each proposal was published
    "entries",  # adopted revisions
    "message",  # revision of a gossip message in flight, 0 if none
    "faults",  # names of broken properties of single steps
)


@dataclass(frozen=True)
class Variant:
    """Parts of the design; a test switches one off and expects a counterexample."""

    conditional: bool = True
    seals: bool = True
    finishes: bool = True
    compares: bool = True


@dataclass(frozen=True)
class Size:
    """Bounds of the state space."""

    publishers: int = 2
    entries: int = 0


def make_protocol(variant: Variant = Variant(), size: Size = Size()) -> Protocol:
    """Return the model with its invariants."""
    idle = ("out", 0, 0, 0, 0)
    initial = (
        *(1, 0, 0, 0, 0, 0),
        (idle,) * size.publishers,
        (),
        (0,) * len(PROPOSALS),
        ((),) * len(PROPOSALS),
        (0,) * size.entries,
        0,
        (),
    )
    return Protocol(
        name="publishing",
        candidate=False,
        fields=FIELDS,
        initial=initial,
        transitions=lambda state: list(transitions(state, variant)),
        invariants={
            "published_once": lambda d: all(len(p) <= 1 for p in d["published"]),
            "status_is_true": status_is_true,
            "fenced": lambda d: "fenced" not in d["faults"],
            "head_never_goes_back": lambda d: "head" not in d["faults"],
            "entries_never_go_back": lambda d: "entry" not in d["faults"],
            "revisions_are_unique": revisions_are_unique,
        },
    )


def status_is_true(fields) -> bool:
    """A status names only a revision that carries out its proposal."""
    pairs = zip(fields["statuses"], fields["published"], strict=True)
    return all(not status or status in revisions for status, revisions in pairs)


def revisions_are_unique(fields) -> bool:
    """No two proposals share a revision."""
    revisions = [r for published in fields["published"] for r in published]
    return len(revisions) == len(set(revisions))


def transitions(state, variant: Variant):
    """Yield every step as (label, next state)."""
    d = dict(zip(FIELDS, state, strict=True))
    for index in range(len(d["publishers"])):
        yield from _publisher_steps(d, index, variant)
    for flight in sorted(set(d["flights"])):
        yield _effect(d, flight, variant)
        yield _next(d, f"lose {flight}", flights=_without(d["flights"], flight))
    for index, revision in enumerate(d["entries"]):
        yield from _entry_steps(d, index, revision, variant)


def _next(d, label: str, **changes):
    return label, tuple({**d, **changes}[name] for name in FIELDS)


def _replaced(items: tuple, index: int, item) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def _without(flights: tuple, flight) -> tuple:
    rest = list(flights)
    rest.remove(flight)
    return tuple(rest)


def _publisher_steps(d, index: int, variant: Variant):
    phase, epoch, version, revision, proposal = d["publishers"][index]

    def moved(label: str, *publisher, **changes):
        publishers = _replaced(d["publishers"], index, publisher)
        return _next(d, f"{label} by {index}", publishers=publishers, **changes)

    if d["granted"] < MAX_EPOCH:
        granted = d["granted"] + 1
        yield moved("grant", "read", granted, 0, 0, 0, granted=granted)
    if phase == "read":
        yield _read(d, epoch, variant, moved)
    elif phase == "sealing" and len(d["flights"]) < MAX_FLIGHTS:
        seal = (version, revision, epoch, proposal)
        flights = tuple(sorted((*d["flights"], seal)))
        yield moved("seal", "read", epoch, 0, 0, 0, flights=flights)
    elif phase == "sealed":
        statuses = d["statuses"]
        if proposal and variant.finishes:
            statuses = _replaced(statuses, proposal - 1, revision)
        known = (epoch, version, revision, proposal)
        yield moved("finish", "settled", *known, statuses=statuses)
    elif phase == "settled" and len(d["flights"]) < MAX_FLIGHTS:
        pending = [p for p in PROPOSALS if not d["statuses"][p - 1]]
        if pending:
            update = (version, revision + 1, epoch, pending[0])
            flights = tuple(sorted((*d["flights"], update)))
            yield moved("publish", "read", epoch, 0, 0, 0, flights=flights)


def _read(d, epoch: int, variant: Variant, moved):
    if d["epoch"] > epoch:
        return moved("step down", "out", epoch, 0, 0, 0)
    known = (epoch, d["version"], d["revision"], d["proposal"])
    if d["epoch"] == epoch or not variant.seals:
        return moved("read", "sealed", *known, begun=max(epoch, d["begun"]))
    return moved("read", "sealing", *known)


def _effect(d, flight, variant: Variant):
    expected, revision, epoch, proposal = flight
    flights = _without(d["flights"], flight)
    if variant.conditional and expected != d["version"]:
        return _next(d, f"conflict {flight}", flights=flights)
    faults = set(d["faults"])
    if epoch < d["begun"]:
        faults.add("fenced")
    if revision < d["revision"]:
        faults.add("head")
    published = d["published"]
    if proposal and (revision, proposal) != (d["revision"], d["proposal"]):
        revisions = (*published[proposal - 1], revision)[:2]
        published = _replaced(published, proposal - 1, revisions)
    return _next(
        d,
        f"effect {flight}",
        version=d["version"] + 1,
        revision=revision,
        epoch=epoch,
        proposal=proposal,
        flights=flights,
        published=published,
        faults=tuple(sorted(faults)),
    )


def _entry_steps(d, index: int, revision: int, variant: Variant):
    def adopt(label: str, heard: int, **changes):
        faults = d["faults"]
        if variant.compares and heard <= revision:
            return _next(d, label, **changes)
        if heard < revision:
            faults = tuple(sorted({*faults, "entry"}))
        entries = _replaced(d["entries"], index, heard)
        return _next(d, label, entries=entries, faults=faults, **changes)

    yield adopt(f"entry {index} reads the head", d["revision"])
    if d["message"]:
        yield adopt(f"entry {index} hears", d["message"], message=0)
    elif revision:
        yield _next(d, f"entry {index} tells", message=revision)
