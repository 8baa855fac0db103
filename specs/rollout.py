"""Model of a rollback with paused controllers and store outages.

Two controllers compete for the lease. Either may pause at any point between
reading, writing and publishing, and later continue with its outdated state. Two
entries detect that a version is bad, adopt the published head from the store or
from each other, and spread stop marks by gossip. The store may become unavailable
and available again at any time; nothing is read, written or published while it is
unavailable.

A controller acts like `monsoontack.controller.rollouts`: it seals the head with
its epoch, reads the stored state, writes the next step or the rollback on the
condition that the state still has the version it read, and publishes only what it
has written. A write whose condition fails, or a state written under a higher
epoch, ends the controller's term. Shares are published on the condition that the
published objects still have the version that the publisher read last; the
publisher reads them again only while the head carries its own epoch.

Invariants:

* `marked_gets_nothing`: an entry with a stop mark sends no new request to the
  version (P3).
* `rollback_is_final`: after the rollback has been stored, no later state
  replaces it.
* `head_stays_rolled_back`: after the rollback has been published, no head
  raises the share again.
* `head_was_stored`: no published share is above the highest stored one.

Bounds: 2 controllers, 3 lease epochs, 2 entries, the shares none, part and full,
and at most 5 stored versions (137,716 states). The state space is finite and
searched completely. The broken variants need only 2 epochs.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from minicheck import Protocol

LAST_STEP = 2  # step 1 is part of the traffic, step 2 all of it
MAX_EPOCHS = 3
MAX_STORED_VERSIONS = 5
ROLLED_BACK = -1


@dataclass(frozen=True, slots=True)
class Term:
    """State of a controller that believes that it holds the lease.

    `stage` is `idle`, `seal`, `read`, `ready` (knows the stored state) or
    `publish` (has written `step` and not yet published it). `head` is the
    version of the published objects that the controller read last.
    """

    stage: str = "idle"
    epoch: int = 0
    version: int = 0
    step: int = 0
    head: int = 0


@dataclass(frozen=True, slots=True)
class Entry:
    """An entry: its adopted head revision, rollout step and stop mark."""

    revision: int = 0
    step: int = 0
    marked: bool = False


@dataclass(frozen=True, slots=True)
class World:
    """State of the store, controllers and entries.

    The lease can be acquired `max_epochs` times. `stored_` fields belong to the
    rollout state in the store, `head_` fields to the published head.
    """

    store_up: bool = True
    max_epochs: int = MAX_EPOCHS
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


def _replace_item(items: tuple, index: int, item) -> tuple:
    return (*items[:index], item, *items[index + 1 :])


def _update_term(world: World, index: int, **changes) -> World:
    term = replace(world.terms[index], **changes)
    return replace(world, terms=_replace_item(world.terms, index, term))


def _update_entry(world: World, index: int, **changes) -> World:
    entry = replace(world.entries[index], **changes)
    return replace(world, entries=_replace_item(world.entries, index, entry))


def lease_transitions(world: World, index: int) -> Iterator[tuple[str, World]]:
    """A controller acquires or loses the lease; terms may overlap."""
    if (
        world.store_up
        and world.epoch < world.max_epochs
        and world.terms[index].stage == "idle"
    ):
        acquired = replace(world, epoch=world.epoch + 1)
        yield (
            f"c{index} takes the lease",
            _update_term(acquired, index, stage="seal", epoch=acquired.epoch),
        )
    if world.terms[index].stage != "idle":
        yield f"c{index} loses the lease", _end_term(world, index)


def _end_term(world: World, index: int) -> World:
    return replace(world, terms=_replace_item(world.terms, index, Term()))


def seal_transitions(
    world: World, index: int, omitted_check: str
) -> Iterator[tuple[str, World]]:
    """A controller seals the head with its epoch, then reads the stored state."""
    term = world.terms[index]
    if not world.store_up:
        return
    if term.stage == "seal" and world.head_epoch > term.epoch:
        yield f"c{index} finds a higher epoch", _end_term(world, index)
    elif term.stage == "seal":
        sealed = replace(world, head_epoch=term.epoch)
        yield (
            f"c{index} seals the head",
            _update_term(sealed, index, stage="read", head=sealed.head_version),
        )
    elif (
        term.stage == "read"
        and world.stored_epoch > term.epoch
        and omitted_check != "read"
    ):
        yield f"c{index} finds a state of a higher epoch", _end_term(world, index)
    elif term.stage == "read":
        stored = {"version": world.stored_version, "step": world.stored_step}
        yield (
            f"c{index} reads the state",
            _update_term(world, index, stage="ready", **stored),
        )


def write_transitions(
    world: World, index: int, omitted_check: str
) -> Iterator[tuple[str, World]]:
    """A controller writes the next step, or the rollback if there is a stop mark."""
    term, marked = world.terms[index], world.entries[index].marked
    if not (world.store_up and term.stage == "ready"):
        return
    if term.step == ROLLED_BACK:
        yield (
            f"c{index} repeats the rollback",
            _update_term(world, index, stage="publish"),
        )
        return
    next_step = ROLLED_BACK if marked else term.step + 1
    if next_step > LAST_STEP:
        return
    if term.version != world.stored_version and omitted_check != "write":
        yield f"c{index} fails its write", _end_term(world, index)
        return
    if world.stored_version == MAX_STORED_VERSIONS:
        return
    written = replace(
        world,
        stored_version=world.stored_version + 1,
        stored_step=next_step,
        stored_epoch=term.epoch,
        stored_rollback=world.stored_rollback or next_step == ROLLED_BACK,
        highest_stored=max(world.highest_stored, next_step),
    )
    known = {"version": written.stored_version, "step": next_step, "stage": "publish"}
    yield f"c{index} writes step {next_step}", _update_term(written, index, **known)


def publish_transitions(
    world: World, index: int, omitted_check: str
) -> Iterator[tuple[str, World]]:
    """A controller publishes its stored step if the head is unchanged.

    If the head changed under the controller's own epoch, it reads the head again.
    """
    term = world.terms[index]
    if not (world.store_up and term.stage == "publish"):
        return
    if term.head != world.head_version and omitted_check != "publish":
        if world.head_epoch == term.epoch:
            again = _update_term(world, index, head=world.head_version)
            yield f"c{index} reads the published objects again", again
        else:
            yield f"c{index} fails to publish", _end_term(world, index)
        return
    share = max(term.step, 0)
    if share == world.head_step and term.step != ROLLED_BACK:
        yield f"c{index} has published", _update_term(world, index, stage="ready")
        return
    if term.step == ROLLED_BACK and world.published_rollback and not world.head_step:
        return
    published = replace(
        world,
        head_version=world.head_version + 1,
        head_step=share,
        published_rollback=world.published_rollback or term.step == ROLLED_BACK,
    )
    after = _update_term(published, index, stage="ready", head=published.head_version)
    yield f"c{index} publishes {share}", after


def entry_transitions(
    world: World, index: int, omitted_check: str
) -> Iterator[tuple[str, World]]:
    """An entry adopts a newer head, or sets, receives or applies the stop mark."""
    entry, other = world.entries[index], world.entries[1 - index]
    if world.store_up and world.head_version > entry.revision:
        head = {"revision": world.head_version, "step": world.head_step}
        yield f"e{index} reads the head", _update_entry(world, index, **head)
    if other.revision > entry.revision:
        head = {"revision": other.revision, "step": other.step}
        yield f"e{index} hears of the head", _update_entry(world, index, **head)
    if entry.step > 0 and not entry.marked:
        yield f"e{index} convicts", _update_entry(world, index, marked=True)
    if other.marked and not entry.marked:
        yield f"e{index} hears of the mark", _update_entry(world, index, marked=True)
    # `RolloutGuard.allowed_share` returns 0 whenever there is a stop mark.
    share = entry.step if omitted_check == "mark" or not entry.marked else 0
    if share > 0 and entry.marked:
        yield f"e{index} sends", replace(world, sent_to_marked=True)


def store_transitions(world: World) -> Iterator[tuple[str, World]]:
    """The store becomes unavailable or available again."""
    yield (
        "store down" if world.store_up else "store up",
        replace(world, store_up=not world.store_up),
    )


def all_transitions(world: World, omitted_check: str) -> Iterator[tuple[str, World]]:
    """Yield each possible event with the state after it."""
    yield from store_transitions(world)
    for index in (0, 1):
        yield from lease_transitions(world, index)
        yield from seal_transitions(world, index, omitted_check)
        yield from write_transitions(world, index, omitted_check)
        yield from publish_transitions(world, index, omitted_check)
        yield from entry_transitions(world, index, omitted_check)


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


def rollout_model(omitted_check: str = "", initial: World | None = None) -> Protocol:
    """Return the model; `omitted_check` names the check that a broken variant omits.

    `read` continues from a state that was written under a higher epoch, `write`
    omits the condition on the version of the state, `publish` omits the condition
    on the head, and `mark` lets configuration override a stop mark.
    """
    return Protocol(
        name="rollout",
        candidate=False,
        fields=("world",),
        initial=(initial or World(),),
        transitions=lambda state: [
            (n, (w,)) for n, w in all_transitions(state[0], omitted_check)
        ],
        invariants=INVARIANTS,
    )


def spread_model(gossip: bool = True) -> Protocol:
    """Return the model of a stop mark that spreads while the store stays unavailable.

    No controller acts. The goal is that both entries have the mark. The broken
    variant without gossip never reaches it.
    """
    started = Entry(1, LAST_STEP)
    world = World(store_up=False, entries=(replace(started, marked=True), started))

    def transitions(state: tuple) -> list:
        found = [
            (name, (after,))
            for index in (0, 1)
            for name, after in entry_transitions(state[0], index, "")
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
