"""Gossip state machine: how a revision and stop marks reach every process.

A process that learns something new pushes it to 4 peers; every second it pulls
from one. It fetches the chunks it lacks from whoever told it, and adopts a head
only with all its chunks and only if its revision is higher than its own.

Peers are drawn from a few random neighbours that change over time: a connection
to each of 390 entries would take 39 MB.
"""

import random
from collections.abc import Iterable, Mapping
from dataclasses import replace

from monsoontack.config.contact import (
    has_started,
    is_watcher,
    stands_in,
    store_age_s,
)
from monsoontack.config.gossip_state import (
    STORE,
    Action,
    Adopted,
    ChunksFetched,
    ControllerRef,
    DigestReceived,
    Event,
    Fetch,
    GossipState,
    HeadPublished,
    HeadRead,
    LeaseHeld,
    MembersChanged,
    PeerDigest,
    PeerUnreachable,
    Pull,
    Push,
    ReadHead,
    Reply,
    StopMarkSet,
    StoreFailed,
    Target,
    Tick,
)
from monsoontack.config.revision import (
    Chunk,
    Head,
    apply_delta,
    build_view,
    digest_of,
    load_chunk,
    make_delta,
    uid_revision,
)
from monsoontack.core.records import StopMark

TICK_S = 0.25
PULL_S = 1.0
PUSH_PEERS = 4
NEIGHBOURS = 12
LOCAL_NEIGHBOURS = 4
LOST_S = 5.0
LONELY_S = 3.0  # leaves 6 s to find a peer before new work stops
ROTATE_S = 10.0
WATCH_TIMEOUT_S = 4.0
STORE_RETRY_S = 1.0
HISTORY = 8  # heads from which a delta is sent instead of all chunk digests
MANY_CHUNKS = 16  # from here on a peer is asked before the store
ASK_AGAIN_S = 1.0

Step = tuple[GossipState, list[Action]]


def step(state: GossipState, event: Event, now: float, rng: random.Random) -> Step:
    """Return the next state and the actions that `event` causes."""
    match event:
        case Tick():
            state, actions = _on_tick(state, now, rng)
        case DigestReceived():
            state, actions = _on_digest(state, event, now, rng)
        case ChunksFetched():
            state, actions = _on_chunks(state, event, now, rng)
        case HeadRead():
            state, actions = _on_head(state, event, now, rng)
        case HeadPublished(head, chunks):
            state, actions = _on_loaded(state, head, chunks, now, rng)
        case _:
            state, actions = _on_other(state, event, now, rng)
    return replace(state, started=has_started(state)), actions


def _on_other(state: GossipState, event: Event, now: float, rng) -> Step:
    match event:
        case MembersChanged(members):
            return _on_members(state, members, now, rng), []
        case PeerUnreachable(address):
            return _on_lost(state, address, now, rng), []
        case StoreFailed():
            retry_at = now + STORE_RETRY_S * rng.uniform(0.5, 1.5)
            state = replace(state, store_read_pending=False, store_retry_at=retry_at)
            return replace(state, store_failed=True), []
        case StopMarkSet(mark):
            return _merge_marks(state, (mark,), now, rng)
        case LeaseHeld(epoch):
            controller = ControllerRef(state.me.address, epoch)
            return _merge_controller(state, controller, now, rng)
    raise TypeError(f"unknown event {event!r}")


def _on_tick(state: GossipState, now: float, rng: random.Random) -> Step:
    actions: list[Action] = []
    if now >= state.rotate_at:
        state = _rotate(state, now, rng)
    if len(state.neighbours) < min(NEIGHBOURS, len(state.members)):
        state = _fill(state, now, rng)
    if not state.store_read_pending and now >= state.store_retry_at:
        if read := _store_read(state, now, rng):
            state = replace(state, store_read_pending=True)
            actions.append(read)
    if now >= state.pull_at and state.neighbours:
        told = digest(state, now, state.head.revision)
        actions += [Pull(address, told) for address in _pull_peers(state, now, rng)]
        state = replace(state, pull_at=now + PULL_S * rng.uniform(0.8, 1.2))
    return state, actions


def _pull_peers(state: GossipState, now: float, rng) -> tuple[str, ...]:
    """Return one neighbour, or all of them while nobody has answered for long."""
    contact_at = state.contact_at
    if contact_at is not None and now - contact_at > LONELY_S:
        return state.neighbours
    return (rng.choice(state.neighbours),)


def _store_read(state: GossipState, now: float, rng) -> ReadHead | None:
    if state.start_revision is None and not state.started:
        return ReadHead(0, 0.0)
    if is_watcher(state) or stands_in(state, now, TICK_S, rng):
        return ReadHead(state.head_version, WATCH_TIMEOUT_S)
    return None


def _on_members(state: GossipState, members, now: float, rng) -> GossipState:
    others = tuple(m for m in members if m.address != state.me.address)
    known = {m.address for m in others}
    kept = tuple(a for a in state.neighbours if a in known)
    lost = {a: t for a, t in state.lost.items() if a in known}
    state = replace(state, members=others, neighbours=kept, lost=lost)
    return _fill(state, now, rng)


def _fill(state: GossipState, now: float, rng: random.Random) -> GossipState:
    """Add neighbours, some of them from the own failure domain.

    A partition often runs between failure domains, and a process that then only
    pulled from the other side would count as cut off.
    """
    free = [
        m
        for m in state.members
        if m.address not in state.neighbours and state.lost.get(m.address, now) <= now
    ]
    rng.shuffle(free)
    domain = state.me.place.failure_domain
    near = {m.address for m in state.members if m.place.failure_domain == domain}
    needed = LOCAL_NEIGHBOURS - len(near.intersection(state.neighbours))
    first = [m.address for m in free if m.address in near][: max(needed, 0)]
    rest = [m.address for m in free if m.address not in first]
    chosen = (*state.neighbours, *first, *rest)
    return replace(state, neighbours=chosen[:NEIGHBOURS])


def _on_lost(state: GossipState, address: str, now: float, rng) -> GossipState:
    kept = tuple(a for a in state.neighbours if a != address)
    lost = {**state.lost, address: now + LOST_S}
    state = replace(state, neighbours=kept, lost=lost)
    return _fill(state, now, rng)


def _rotate(state: GossipState, now: float, rng: random.Random) -> GossipState:
    state = replace(state, rotate_at=now + ROTATE_S * rng.uniform(0.8, 1.2))
    if len(state.neighbours) == NEIGHBOURS < len(state.members):
        dropped = rng.choice(state.neighbours)
        kept = tuple(a for a in state.neighbours if a != dropped)
        state = replace(state, neighbours=kept)
    return state


def digest(state: GossipState, now: float, receiver_revision: int) -> PeerDigest:
    """Return the digest for a peer that is known to have `receiver_revision`."""
    delta = None
    if receiver_revision < state.head.revision:
        base = next((h for h in state.history if h.revision == receiver_revision), None)
        delta = make_delta(base, state.head)
    return PeerDigest(
        state.process,
        state.me.address,
        state.head.revision,
        delta,
        tuple(state.stop_marks.values()),
        store_age_s(state, now),
        state.controller,
    )


def _push(state: GossipState, now: float, rng, revision: int | None = None) -> list:
    known = state.head.revision if revision is None else revision
    told = digest(state, now, known)
    count = min(PUSH_PEERS, len(state.neighbours))
    return [Push(address, told) for address in rng.sample(state.neighbours, count)]


def _on_digest(state: GossipState, event: DigestReceived, now: float, rng) -> Step:
    peer = event.digest
    lost = {a: t for a, t in state.lost.items() if a != peer.address}
    state = replace(state, contact_at=now, lost=lost)
    if not state.started:
        state = replace(state, heard={**state.heard, peer.address: peer.revision})
    if peer.store_contact_age_s is not None:
        contact_at = now - max(peer.store_contact_age_s, 0.0)
        known_at = state.store_contact_at
        newest = contact_at if known_at is None else max(known_at, contact_at)
        state = replace(state, store_contact_at=newest)
    state, actions = _merge_marks(state, peer.stop_marks, now, rng)
    state, more = _merge_controller(state, peer.controller, now, rng)
    actions += more
    state, more = _learn(state, peer, now, rng)
    actions += more
    if event.reply:
        actions.append(Reply(digest(state, now, peer.revision)))
    return state, actions


def _learn(state: GossipState, peer: PeerDigest, now: float, rng) -> Step:
    if peer.revision <= state.head.revision:
        return state, []
    target = state.target
    if target and target.head.revision >= peer.revision:
        if peer.address not in target.sources:
            sources = (*target.sources, peer.address)
            state = replace(state, target=replace(target, sources=sources))
        return state, []
    head = apply_delta(state.head, peer.delta) if peer.delta else None
    if head is not None:
        return _consider(state, head, (peer.address,), now, rng)
    if state.asked_revision >= peer.revision and now < state.asked_at + ASK_AGAIN_S:
        return state, []
    state = replace(state, asked_revision=peer.revision, asked_at=now)
    return state, [Pull(peer.address, digest(state, now, state.head.revision))]


def _on_head(state: GossipState, event: HeadRead, now: float, rng) -> Step:
    state = replace(
        state,
        store_read_pending=False,
        store_retry_at=now,
        contact_at=now,
        store_contact_at=now,
        head_version=max(event.version, state.head_version),
    )
    if state.start_revision is None:
        revision = event.head.revision if event.head else 0
        state = replace(state, start_revision=revision)
    if event.head is None:
        return state, []
    return _consider(state, event.head, (STORE,), now, rng)


def _consider(state: GossipState, head: Head, sources, now: float, rng) -> Step:
    """Fetch what is missing of a head, if it is newer than all known ones."""
    newest = state.target.head.revision if state.target else state.head.revision
    if head.revision <= newest:
        return state, []
    kept = dict(state.chunks)
    if state.target:
        kept.update(state.target.values)
    needed = set(head.chunks.values())
    values = {d: kept[d] for d in needed if d in kept}
    missing = frozenset(needed - set(values))
    if len(missing) >= MANY_CHUNKS and STORE in sources and state.neighbours:
        sources = (rng.choice(state.neighbours), *sources)
    target = Target(head, values, missing, tuple(sources))
    return _proceed(replace(state, target=target), now, rng)


def _proceed(state: GossipState, now: float, rng) -> Step:
    target = state.target
    if not target.missing:
        return _adopt(state, target.head, target.values, now, rng)
    if not target.sources:
        return replace(state, target=None), []  # the next pull names it again
    missing = tuple(sorted(target.missing))
    return state, [Fetch(target.sources[0], target.head.revision, missing)]


def _on_chunks(state: GossipState, event: ChunksFetched, now: float, rng) -> Step:
    target = state.target
    if target is None or event.revision != target.head.revision:
        return state, []
    if event.source not in target.sources[:1]:
        return state, []
    names = {d: name for name, d in target.head.chunks.items()}
    found = {
        d: load_chunk(names[d], value)
        for d, value in event.values.items()
        if d in target.missing and digest_of(value) == d
    }
    sources = target.sources if found else _without(target.sources, event.source)
    target = replace(
        target,
        values={**target.values, **found},
        missing=target.missing - set(found),
        sources=sources,
    )
    return _proceed(replace(state, target=target), now, rng)


def _without(sources: tuple[str, ...], failed: str) -> tuple[str, ...]:
    rest = tuple(source for source in sources if source != failed)
    return rest or ((STORE,) if failed != STORE else ())


def _on_loaded(state: GossipState, head: Head, chunks, now: float, rng) -> Step:
    state = replace(state, contact_at=now, store_contact_at=now)
    if head.revision <= state.head.revision:
        return state, []
    return _adopt(state, head, chunks, now, rng)


def _adopt(
    state: GossipState, head: Head, chunks: Mapping[str, Chunk], now: float, rng
) -> Step:
    previous = state.head
    target = state.target
    if target and target.head.revision <= head.revision:
        target = None
    state = replace(
        state,
        head=head,
        chunks=chunks,
        view=build_view(head, chunks),
        history=(*state.history, previous)[-HISTORY:],
        target=target,
    )
    state = replace(state, stop_marks=_live_marks(state, state.stop_marks.values()))
    return state, [Adopted(state.view), *_push(state, now, rng, previous.revision)]


def _live_marks(
    state: GossipState, marks: Iterable[StopMark]
) -> Mapping[str, StopMark]:
    """Return marks by rollout uid, without those of removed rollouts.

    A mark of a rollout that begins in a later revision than this process has
    is kept.
    """
    current = {rollout.uid for rollout in state.view.rollouts.values()}
    return {
        mark.rollout_uid: mark
        for mark in marks
        if mark.rollout_uid in current
        or uid_revision(mark.rollout_uid) > state.head.revision
    }


def _merge_marks(state: GossipState, marks, now: float, rng) -> Step:
    new = [mark for mark in marks if mark.rollout_uid not in state.stop_marks]
    live = _live_marks(state, new)
    if not live:
        return state, []
    state = replace(state, stop_marks={**state.stop_marks, **live})
    return state, _push(state, now, rng)


def _merge_controller(state: GossipState, peer: ControllerRef, now: float, rng) -> Step:
    if peer.epoch <= state.controller.epoch:
        return state, []
    state = replace(state, controller=peer)
    return state, _push(state, now, rng)
