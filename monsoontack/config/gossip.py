"""Gossip state machine that distributes revisions and stop marks to all processes.

A revision consists of a head and the chunks whose digests the head lists. A process
that receives new information pushes it to 4 peers; every second it also pulls from
one peer. It fetches the missing chunks of a new head from the peers that announced
it. It adopts the head only when it has all chunks, and only if the revision is higher
than its current one.

Peers are chosen from a small set of random neighbours that changes over time, because
connections to each of 390 entries would take 39 MB.
"""

import random
from collections.abc import Iterable, Mapping
from dataclasses import replace

from monsoontack.config.contact import (
    has_started,
    is_extra_watcher,
    is_watcher,
    store_contact_age_s,
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
    FetchTarget,
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
    Tick,
)
from monsoontack.config.revision import (
    Chunk,
    Head,
    apply_delta,
    build_view,
    chunk_digest,
    load_chunk,
    make_delta,
    uid_revision,
)
from monsoontack.core.records import StopMark

TICK_S = 0.25
PULL_INTERVAL_S = 1.0
PUSH_PEER_COUNT = 4
NEIGHBOUR_COUNT = 12
LOCAL_NEIGHBOUR_COUNT = 4
PEER_RETRY_S = 5.0
# Leaves 6 s of `CONTACT_TIMEOUT_S` to find a reachable peer before this process stops
# accepting new work.
PULL_FROM_ALL_AFTER_S = 3.0
ROTATION_INTERVAL_S = 10.0
WATCH_TIMEOUT_S = 4.0
STORE_RETRY_DELAY_S = 1.0
# Number of earlier heads that can be the base of a delta. A peer with any other head
# gets the digests of all chunks.
HEAD_HISTORY_LENGTH = 8
# If a head read from the store has at least this many missing chunks, they are
# requested from a peer first.
PEER_FETCH_MIN_CHUNKS = 16
REPEATED_PULL_DELAY_S = 1.0

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
            state, actions = _on_published(state, head, chunks, now, rng)
        case _:
            state, actions = _on_other(state, event, now, rng)
    return replace(state, started=has_started(state)), actions


def _on_other(state: GossipState, event: Event, now: float, rng) -> Step:
    match event:
        case MembersChanged(members):
            return _on_members(state, members, now, rng), []
        case PeerUnreachable(address):
            return _on_unreachable(state, address, now, rng), []
        case StoreFailed():
            retry_at = now + STORE_RETRY_DELAY_S * rng.uniform(0.5, 1.5)
            state = replace(state, store_read_pending=False, store_retry_at=retry_at)
            return replace(state, store_failed=True), []
        case StopMarkSet(mark):
            return _merge_stop_marks(state, (mark,), now, rng)
        case LeaseHeld(epoch):
            controller = ControllerRef(state.me.address, epoch)
            return _merge_controller(state, controller, now, rng)
    raise TypeError(f"unknown event {event!r}")


def _on_tick(state: GossipState, now: float, rng: random.Random) -> Step:
    actions: list[Action] = []
    if now >= state.next_rotation_at:
        state = _rotate_neighbours(state, now, rng)
    if len(state.neighbours) < min(NEIGHBOUR_COUNT, len(state.members)):
        state = _add_neighbours(state, now, rng)
    if not state.store_read_pending and now >= state.store_retry_at:
        if read := _store_read(state, now, rng):
            state = replace(state, store_read_pending=True)
            actions.append(read)
    if now >= state.next_pull_at and state.neighbours:
        own_digest = make_digest(state, now, state.head.revision)
        actions += [
            Pull(address, own_digest) for address in _pull_peers(state, now, rng)
        ]
        state = replace(
            state, next_pull_at=now + PULL_INTERVAL_S * rng.uniform(0.8, 1.2)
        )
    return state, actions


def _pull_peers(state: GossipState, now: float, rng) -> tuple[str, ...]:
    """Return a random neighbour, or all neighbours if there was no recent contact.

    Contact counts as recent for `PULL_FROM_ALL_AFTER_S`.
    """
    contact_at = state.contact_at
    if contact_at is not None and now - contact_at > PULL_FROM_ALL_AFTER_S:
        return state.neighbours
    return (rng.choice(state.neighbours),)


def _store_read(state: GossipState, now: float, rng) -> ReadHead | None:
    if state.start_revision is None and not state.started:
        return ReadHead(0, 0.0)
    if is_watcher(state) or is_extra_watcher(state, now, TICK_S, rng):
        return ReadHead(state.head_version, WATCH_TIMEOUT_S)
    return None


def _on_members(state: GossipState, members, now: float, rng) -> GossipState:
    others = tuple(m for m in members if m.address != state.me.address)
    known = {m.address for m in others}
    kept = tuple(a for a in state.neighbours if a in known)
    retry_peers_at = {a: t for a, t in state.retry_peers_at.items() if a in known}
    state = replace(
        state, members=others, neighbours=kept, retry_peers_at=retry_peers_at
    )
    return _add_neighbours(state, now, rng)


def _add_neighbours(state: GossipState, now: float, rng: random.Random) -> GossipState:
    """Add random neighbours up to `NEIGHBOUR_COUNT`.

    Members of this process's failure domain come first until it has
    `LOCAL_NEIGHBOUR_COUNT` neighbours there. Network partitions often separate failure
    domains, and a process with all neighbours in other domains would then count as
    cut off.
    """
    candidates = [
        m
        for m in state.members
        if m.address not in state.neighbours
        and state.retry_peers_at.get(m.address, now) <= now
    ]
    rng.shuffle(candidates)
    domain = state.me.place.failure_domain
    same_domain = {m.address for m in state.members if m.place.failure_domain == domain}
    needed = LOCAL_NEIGHBOUR_COUNT - len(same_domain.intersection(state.neighbours))
    first = [m.address for m in candidates if m.address in same_domain][
        : max(needed, 0)
    ]
    rest = [m.address for m in candidates if m.address not in first]
    chosen = (*state.neighbours, *first, *rest)
    return replace(state, neighbours=chosen[:NEIGHBOUR_COUNT])


def _on_unreachable(state: GossipState, address: str, now: float, rng) -> GossipState:
    kept = tuple(a for a in state.neighbours if a != address)
    retry_peers_at = {**state.retry_peers_at, address: now + PEER_RETRY_S}
    state = replace(state, neighbours=kept, retry_peers_at=retry_peers_at)
    return _add_neighbours(state, now, rng)


def _rotate_neighbours(
    state: GossipState, now: float, rng: random.Random
) -> GossipState:
    state = replace(
        state, next_rotation_at=now + ROTATION_INTERVAL_S * rng.uniform(0.8, 1.2)
    )
    if len(state.neighbours) == NEIGHBOUR_COUNT < len(state.members):
        dropped = rng.choice(state.neighbours)
        kept = tuple(a for a in state.neighbours if a != dropped)
        state = replace(state, neighbours=kept)
    return state


def make_digest(state: GossipState, now: float, receiver_revision: int) -> PeerDigest:
    """Return this process's digest for a peer that has `receiver_revision`."""
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
        store_contact_age_s(state, now),
        state.controller,
    )


def _push(state: GossipState, now: float, rng, revision: int | None = None) -> list:
    known = state.head.revision if revision is None else revision
    own_digest = make_digest(state, now, known)
    count = min(PUSH_PEER_COUNT, len(state.neighbours))
    return [
        Push(address, own_digest) for address in rng.sample(state.neighbours, count)
    ]


def _on_digest(state: GossipState, event: DigestReceived, now: float, rng) -> Step:
    peer = event.digest
    retry_peers_at = {
        a: t for a, t in state.retry_peers_at.items() if a != peer.address
    }
    state = replace(state, contact_at=now, retry_peers_at=retry_peers_at)
    if not state.started:
        state = replace(
            state,
            reported_revisions={
                **state.reported_revisions,
                peer.address: peer.revision,
            },
        )
    if peer.store_contact_age_s is not None:
        contact_at = now - max(peer.store_contact_age_s, 0.0)
        known_at = state.store_contact_at
        newest = contact_at if known_at is None else max(known_at, contact_at)
        state = replace(state, store_contact_at=newest)
    state, actions = _merge_stop_marks(state, peer.stop_marks, now, rng)
    state, more = _merge_controller(state, peer.controller, now, rng)
    actions += more
    state, more = _merge_head(state, peer, now, rng)
    actions += more
    if event.reply:
        actions.append(Reply(make_digest(state, now, peer.revision)))
    return state, actions


def _merge_head(state: GossipState, peer: PeerDigest, now: float, rng) -> Step:
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
        return _start_target(state, head, (peer.address,), now, rng)
    if (
        state.pulled_revision >= peer.revision
        and now < state.pulled_at + REPEATED_PULL_DELAY_S
    ):
        return state, []
    state = replace(state, pulled_revision=peer.revision, pulled_at=now)
    return state, [Pull(peer.address, make_digest(state, now, state.head.revision))]


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
    return _start_target(state, event.head, (STORE,), now, rng)


def _start_target(state: GossipState, head: Head, sources, now: float, rng) -> Step:
    """Fetch the missing chunks of a head if it is newer than all known heads."""
    newest_revision = (
        state.target.head.revision if state.target else state.head.revision
    )
    if head.revision <= newest_revision:
        return state, []
    known_chunks = dict(state.chunks)
    if state.target:
        known_chunks.update(state.target.values)
    needed = set(head.chunks.values())
    values = {d: known_chunks[d] for d in needed if d in known_chunks}
    missing = frozenset(needed - set(values))
    if len(missing) >= PEER_FETCH_MIN_CHUNKS and STORE in sources and state.neighbours:
        sources = (rng.choice(state.neighbours), *sources)
    target = FetchTarget(head, values, missing, tuple(sources))
    return _fetch_or_adopt(replace(state, target=target), now, rng)


def _fetch_or_adopt(state: GossipState, now: float, rng) -> Step:
    target = state.target
    if not target.missing:
        return _adopt(state, target.head, target.values, now, rng)
    if not target.sources:
        # A later digest announces the head again.
        return replace(state, target=None), []
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
        if d in target.missing and chunk_digest(value) == d
    }
    sources = (
        target.sources if found else _remaining_sources(target.sources, event.source)
    )
    target = replace(
        target,
        values={**target.values, **found},
        missing=target.missing - set(found),
        sources=sources,
    )
    return _fetch_or_adopt(replace(state, target=target), now, rng)


def _remaining_sources(sources: tuple[str, ...], failed: str) -> tuple[str, ...]:
    rest = tuple(source for source in sources if source != failed)
    return rest or ((STORE,) if failed != STORE else ())


def _on_published(state: GossipState, head: Head, chunks, now: float, rng) -> Step:
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
        history=(*state.history, previous)[-HEAD_HISTORY_LENGTH:],
        target=target,
    )
    state = replace(
        state, stop_marks=_current_stop_marks(state, state.stop_marks.values())
    )
    return state, [Adopted(state.view), *_push(state, now, rng, previous.revision)]


def _current_stop_marks(
    state: GossipState, marks: Iterable[StopMark]
) -> Mapping[str, StopMark]:
    """Return the stop marks by rollout uid, without those of removed rollouts.

    A mark is also kept if its rollout begins in a revision that this process has not
    adopted yet.
    """
    current = {rollout.uid for rollout in state.view.rollouts.values()}
    return {
        mark.rollout_uid: mark
        for mark in marks
        if mark.rollout_uid in current
        or uid_revision(mark.rollout_uid) > state.head.revision
    }


def _merge_stop_marks(state: GossipState, marks, now: float, rng) -> Step:
    new = [mark for mark in marks if mark.rollout_uid not in state.stop_marks]
    current = _current_stop_marks(state, new)
    if not current:
        return state, []
    state = replace(state, stop_marks={**state.stop_marks, **current})
    return state, _push(state, now, rng)


def _merge_controller(
    state: GossipState, received: ControllerRef, now: float, rng
) -> Step:
    if received.epoch <= state.controller.epoch:
        return state, []
    state = replace(state, controller=received)
    return state, _push(state, now, rng)
