"""Model of a rollback against a paused controller and a store outage.

Two controllers compete for the lease; either may stop at any point between
reading, writing and publishing, and go on later with what it believed. Two
entries detect that a version is bad, adopt the published head from the store or
from each other, and spread stop marks. The store is down and up again at any
time, during which nothing is read, written or published.

A controller acts as `monsoontack.controller.rollouts` does: it seals the head
with its epoch, reads the stored state, writes the next step or the rollback
under the version that it read, and publishes only what it has written. A write
whose condition fails, or a state that a higher epoch wrote, ends its term.
Shares are published under the version of the published objects that its
publisher read last; the publisher reads them again only while the head carries
its own epoch.

Checked:

* `marked_gets_nothing`: an entry with a stop mark sends no new request to the
  version (P3).
* `rollback_is_final`: after the rollback has been stored, no later state
  replaces it.
* `head_stays_rolled_back`: after the rollback has been published, no head
  raises the share again.
* `head_was_stored`: no share is published above the highest stored one.

Bound: 2 controllers, 3 lease epochs, 2 entries, shares none, part and full, at
most 5 stored versions (137,716 states). The state space is finite and searched
whole. The broken variants need only 2 epochs.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from minicheck import Protocol

STEPS = 2  # part and full traffic
EPOCHS = 3
VERSIONS = 5
ROLLED_BACK = -1


@dataclass(frozen=True, slots=True)
class Term:
    """What a controller believes while it thinks that it holds the lease.

    `stage` is `idle`, `seal`, `read`, `ready` (knows the stored state) or
    `publish` (has written `step` and not yet published it). `head` is the
    version of the published objects that it read last.
    """

    stage: str = "idle"
    epoch: int = 0
    version: int = 0
    step: int = 0
    head: int = 0


@dataclass(frozen=True, slots=True)
class Entry:
    """An entry: the head it adopted, its share, and whether it has the mark."""

    revision: int = 0
    step: int = 0
    marked: bool = False


@dataclass(frozen=True, slots=True)
class World:
    """Everything that exists; the lease can be taken `epochs` times."""

    up: bool = True
    epochs: int = EPOCHS
    epoch: int = 0
    stored_version: int = 0
    stored_step: int = 0
    stored_epoch: int = 0
    head_version: int = 0
    head_epoch: int = 0
    head_step: int = 0
    terms: tuple[Term, Term] = (Term(), Term())
    entries: tuple[Entry, Entry] = (Entry(), Entry())
    stored_rollback: bool = False
    published_rollback: bool = False
    highest_stored: int = 0
    sent_to_marked: bool = False


def _put(items: tuple, index: int, item) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def _term(world: World, index: int, **changes) -> World:
    term = replace(world.terms[index], **changes)
    return replace(world, terms=_put(world.terms, index, term))


def _entry(world: World, index: int, **changes) -> World:
    entry = replace(world.entries[index], **changes)
    return replace(world, entries=_put(world.entries, index, entry))


def lease_moves(world: World, index: int) -> Iterator[tuple[str, World]]:
    """A controller takes the lease after the former term; terms may overlap."""
    if world.up and world.epoch < world.epochs and world.terms[index].stage == "idle":
        taken = replace(world, epoch=world.epoch + 1)
        yield (
            f"c{index} takes the lease",
            _term(taken, index, stage="seal", epoch=taken.epoch),
        )
    if world.terms[index].stage != "idle":
        yield f"c{index} loses the lease", _end_term(world, index)


def _end_term(world: World, index: int) -> World:
    return replace(world, terms=_put(world.terms, index, Term()))


def seal_moves(world: World, index: int, unsafe: str) -> Iterator[tuple[str, World]]:
    """A controller marks the head with its epoch, then reads the state."""
    term = world.terms[index]
    if not world.up:
        return
    if term.stage == "seal" and world.head_epoch > term.epoch:
        yield f"c{index} finds a higher epoch", _end_term(world, index)
    elif term.stage == "seal":
        sealed = replace(world, head_epoch=term.epoch)
        yield (
            f"c{index} seals the head",
            _term(sealed, index, stage="read", head=sealed.head_version),
        )
    elif term.stage == "read" and world.stored_epoch > term.epoch and unsafe != "read":
        yield f"c{index} finds a state of a higher epoch", _end_term(world, index)
    elif term.stage == "read":
        found = {"version": world.stored_version, "step": world.stored_step}
        yield f"c{index} reads the state", _term(world, index, stage="ready", **found)


def write_moves(world: World, index: int, unsafe: str) -> Iterator[tuple[str, World]]:
    """A controller writes the next step, or the rollback if it knows a mark."""
    term, marked = world.terms[index], world.entries[index].marked
    if not (world.up and term.stage == "ready"):
        return
    if term.step == ROLLED_BACK:
        yield f"c{index} repeats the rollback", _term(world, index, stage="publish")
        return
    wanted = ROLLED_BACK if marked else term.step + 1
    if wanted > STEPS:
        return
    if term.version != world.stored_version and unsafe != "write":
        yield f"c{index} fails its write", _end_term(world, index)
        return
    if world.stored_version == VERSIONS:
        return
    written = replace(
        world,
        stored_version=world.stored_version + 1,
        stored_step=wanted,
        stored_epoch=term.epoch,
        stored_rollback=world.stored_rollback or wanted == ROLLED_BACK,
        highest_stored=max(world.highest_stored, wanted),
    )
    known = {"version": written.stored_version, "step": wanted, "stage": "publish"}
    yield f"c{index} writes step {wanted}", _term(written, index, **known)


def publish_moves(world: World, index: int, unsafe: str) -> Iterator[tuple[str, World]]:
    """A controller publishes what it wrote, if the head is still its own."""
    term = world.terms[index]
    if not (world.up and term.stage == "publish"):
        return
    if term.head != world.head_version and unsafe != "publish":
        if world.head_epoch == term.epoch:
            again = _term(world, index, head=world.head_version)
            yield f"c{index} reads the published objects again", again
        else:
            yield f"c{index} fails to publish", _end_term(world, index)
        return
    share = max(term.step, 0)
    if share == world.head_step and term.step != ROLLED_BACK:
        yield f"c{index} has published", _term(world, index, stage="ready")
        return
    if term.step == ROLLED_BACK and world.published_rollback and not world.head_step:
        return
    published = replace(
        world,
        head_version=world.head_version + 1,
        head_step=share,
        published_rollback=world.published_rollback or term.step == ROLLED_BACK,
    )
    after = _term(published, index, stage="ready", head=published.head_version)
    yield f"c{index} publishes {share}", after


def entry_moves(world: World, index: int, unsafe: str) -> Iterator[tuple[str, World]]:
    """An entry adopts a newer head, finds the fault, or hears of the mark."""
    entry, other = world.entries[index], world.entries[1 - index]
    if world.up and world.head_version > entry.revision:
        head = {"revision": world.head_version, "step": world.head_step}
        yield f"e{index} reads the head", _entry(world, index, **head)
    if other.revision > entry.revision:
        head = {"revision": other.revision, "step": other.step}
        yield f"e{index} hears of the head", _entry(world, index, **head)
    if entry.step > 0 and not entry.marked:
        yield f"e{index} convicts", _entry(world, index, marked=True)
    if other.marked and not entry.marked:
        yield f"e{index} hears of the mark", _entry(world, index, marked=True)
    # `RolloutGuard.allowed_share` gives 0 whenever there is a mark.
    share = entry.step if unsafe == "mark" or not entry.marked else 0
    if share > 0 and entry.marked:
        yield f"e{index} sends", replace(world, sent_to_marked=True)


def store_moves(world: World) -> Iterator[tuple[str, World]]:
    """The store goes down or comes back."""
    yield "store down" if world.up else "store up", replace(world, up=not world.up)


def moves(world: World, unsafe: str) -> Iterator[tuple[str, World]]:
    """Yield every possible next event with the world after it."""
    yield from store_moves(world)
    for index in (0, 1):
        yield from lease_moves(world, index)
        yield from seal_moves(world, index, unsafe)
        yield from write_moves(world, index, unsafe)
        yield from publish_moves(world, index, unsafe)
        yield from entry_moves(world, index, unsafe)


INVARIANTS = {
    "marked_gets_nothing": lambda d: not d["world"].sent_to_marked,
    "rollback_is_final": lambda d: (
        not d["world"].stored_rollback or d["world"].stored_step == ROLLED_BACK
    ),
    "head_stays_rolled_back": lambda d: (
        not d["world"].published_rollback or d["world"].head_step == 0
    ),
    "head_was_stored": lambda d: d["world"].head_step <= d["world"].highest_stored,
}


def rollout_model(unsafe: str = "", initial: World | None = None) -> Protocol:
    """Return the model; `unsafe` names the check that a broken variant omits.

    `read` goes on from a state that a higher epoch wrote, `write` writes without
    the version condition, `publish` publishes without
    the condition on the head, `mark` lets configuration override a stop mark.
    """
    return Protocol(
        name="rollout",
        candidate=False,
        fields=("world",),
        initial=(initial or World(),),
        transitions=lambda state: [(n, (w,)) for n, w in moves(state[0], unsafe)],
        invariants=INVARIANTS,
    )


def spread_model(gossip: bool = True) -> Protocol:
    """Return the model of a mark that spreads with the store down for good.

    No controller acts. The goal is that both entries have the mark; without
    gossip, the broken variant, it is never reached.
    """
    started = Entry(1, STEPS)
    world = World(up=False, entries=(replace(started, marked=True), started))

    def transitions(state: tuple) -> list:
        found = [
            (name, (after,))
            for index in (0, 1)
            for name, after in entry_moves(state[0], index, "")
            if "hears" in name and gossip
        ]
        return found or [("idle", state)]

    return Protocol(
        name="spread",
        candidate=False,
        fields=("world",),
        initial=(world,),
        transitions=transitions,
        invariants={},
        goal=lambda d: all(entry.marked for entry in d["world"].entries),
    )
