"""Model of publishing with expired leases and writes whose results are lost.

Each of two publishers may believe that it holds the lease, because a granted
epoch is never revoked. Every update of the head is sent into flight. It takes
effect at any later time, or never, and its sender learns the result only by
reading the head. Two proposals are pending, and entries adopt revisions from the
head and from gossip messages that arrive late. Published and adopted revisions
never go back.

Bounds: 3 lease epochs, 2 proposals, 3 updates in flight, and either 2 publishers
without entries (330,787 states) or 1 publisher, 2 entries and 1 gossip message in
flight (130,430 states). The tests search both state spaces completely. A `Variant`
disables one safeguard of the design.
"""

from dataclasses import dataclass

from minicheck import Protocol

MAX_EPOCH = 3
MAX_UPDATES_IN_FLIGHT = 3
PROPOSALS = (1, 2)

FIELDS = (
    "version",  # of the head object
    "revision",
    "epoch",
    "proposal",  # published in the head's revision, 0 if none
    "granted",  # highest lease epoch
    "begun",  # highest epoch whose publisher has started to process proposals
    "publishers",  # (phase, epoch, version, revision, proposal) as last read
    "flights",  # updates: (expected version, revision, epoch, proposal)
    "statuses",  # revision in the status of each proposal, 0 if pending
    "published",  # revisions in which each proposal was published
    "entries",  # adopted revisions
    "message",  # revision of a gossip message in flight, 0 if none
    "faults",  # properties of single steps that were violated
)


@dataclass(frozen=True)
class Variant:
    """Safeguards; a test disables one and expects a counterexample."""

    conditional: bool = True  # a head update needs the version that was read
    seals: bool = True  # a new holder writes its epoch before it publishes
    finishes: bool = True  # the head's proposal gets its status first
    compares: bool = True  # an entry adopts only newer revisions


@dataclass(frozen=True)
class Bounds:
    """Bounds of the state space."""

    publishers: int = 2
    entries: int = 0


def make_protocol(variant: Variant = Variant(), bounds: Bounds = Bounds()) -> Protocol:
    """Return the model with its invariants."""
    idle = ("out", 0, 0, 0, 0)
    initial = (
        *(1, 0, 0, 0, 0, 0),
        (idle,) * bounds.publishers,
        (),
        (0,) * len(PROPOSALS),
        ((),) * len(PROPOSALS),
        (0,) * bounds.entries,
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
            "published_once": lambda fields: all(
                len(p) <= 1 for p in fields["published"]
            ),
            "status_is_true": status_is_true,
            "fenced": lambda fields: "fenced" not in fields["faults"],
            "head_never_goes_back": lambda fields: "head" not in fields["faults"],
            "entries_never_go_back": lambda fields: "entry" not in fields["faults"],
            "revisions_are_unique": revisions_are_unique,
        },
    )


def status_is_true(fields) -> bool:
    """A proposal's status names only a revision that published the proposal."""
    pairs = zip(fields["statuses"], fields["published"], strict=True)
    return all(not status or status in revisions for status, revisions in pairs)


def revisions_are_unique(fields) -> bool:
    """No two proposals share a revision."""
    revisions = [r for published in fields["published"] for r in published]
    return len(revisions) == len(set(revisions))


def transitions(state, variant: Variant):
    """Yield each transition as (label, next state)."""
    fields = dict(zip(FIELDS, state, strict=True))
    for index in range(len(fields["publishers"])):
        yield from _publisher_steps(fields, index, variant)
    for update in sorted(set(fields["flights"])):
        yield _apply_update(fields, update, variant)
        yield _successor(
            fields, f"lose {update}", flights=_remove_one(fields["flights"], update)
        )
    for index, revision in enumerate(fields["entries"]):
        yield from _entry_steps(fields, index, revision, variant)


def _successor(fields, label: str, **changes):
    return label, tuple({**fields, **changes}[name] for name in FIELDS)


def _replace_item(items: tuple, index: int, item) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def _remove_one(flights: tuple, update) -> tuple:
    rest = list(flights)
    rest.remove(update)
    return tuple(rest)


def _publisher_steps(fields, index: int, variant: Variant):
    phase, epoch, version, revision, proposal = fields["publishers"][index]

    def publisher_step(label: str, *publisher, **changes):
        publishers = _replace_item(fields["publishers"], index, publisher)
        return _successor(
            fields, f"{label} by {index}", publishers=publishers, **changes
        )

    if fields["granted"] < MAX_EPOCH:
        granted = fields["granted"] + 1
        yield publisher_step("grant", "read", granted, 0, 0, 0, granted=granted)
    if phase == "read":
        yield _read(fields, epoch, variant, publisher_step)
    elif phase == "sealing" and len(fields["flights"]) < MAX_UPDATES_IN_FLIGHT:
        seal = (version, revision, epoch, proposal)
        flights = tuple(sorted((*fields["flights"], seal)))
        yield publisher_step("seal", "read", epoch, 0, 0, 0, flights=flights)
    elif phase == "sealed":
        statuses = fields["statuses"]
        if proposal and variant.finishes:
            statuses = _replace_item(statuses, proposal - 1, revision)
        known = (epoch, version, revision, proposal)
        yield publisher_step("finish", "settled", *known, statuses=statuses)
    elif phase == "settled" and len(fields["flights"]) < MAX_UPDATES_IN_FLIGHT:
        pending = [p for p in PROPOSALS if not fields["statuses"][p - 1]]
        if pending:
            update = (version, revision + 1, epoch, pending[0])
            flights = tuple(sorted((*fields["flights"], update)))
            yield publisher_step("publish", "read", epoch, 0, 0, 0, flights=flights)


def _read(fields, epoch: int, variant: Variant, publisher_step):
    if fields["epoch"] > epoch:
        return publisher_step("step down", "out", epoch, 0, 0, 0)
    known = (epoch, fields["version"], fields["revision"], fields["proposal"])
    if fields["epoch"] == epoch or not variant.seals:
        return publisher_step(
            "read", "sealed", *known, begun=max(epoch, fields["begun"])
        )
    return publisher_step("read", "sealing", *known)


def _apply_update(fields, update, variant: Variant):
    expected, revision, epoch, proposal = update
    flights = _remove_one(fields["flights"], update)
    if variant.conditional and expected != fields["version"]:
        return _successor(fields, f"conflict {update}", flights=flights)
    faults = set(fields["faults"])
    if epoch < fields["begun"]:
        faults.add("fenced")
    if revision < fields["revision"]:
        faults.add("head")
    published = fields["published"]
    if proposal and (revision, proposal) != (fields["revision"], fields["proposal"]):
        revisions = (*published[proposal - 1], revision)[:2]
        published = _replace_item(published, proposal - 1, revisions)
    return _successor(
        fields,
        f"effect {update}",
        version=fields["version"] + 1,
        revision=revision,
        epoch=epoch,
        proposal=proposal,
        flights=flights,
        published=published,
        faults=tuple(sorted(faults)),
    )


def _entry_steps(fields, index: int, revision: int, variant: Variant):
    def adopt(label: str, new_revision: int, **changes):
        faults = fields["faults"]
        if variant.compares and new_revision <= revision:
            return _successor(fields, label, **changes)
        if new_revision < revision:
            faults = tuple(sorted({*faults, "entry"}))
        entries = _replace_item(fields["entries"], index, new_revision)
        return _successor(fields, label, entries=entries, faults=faults, **changes)

    yield adopt(f"entry {index} reads the head", fields["revision"])
    if fields["message"]:
        yield adopt(f"entry {index} hears", fields["message"], message=0)
    elif revision:
        yield _successor(fields, f"entry {index} tells", message=revision)
