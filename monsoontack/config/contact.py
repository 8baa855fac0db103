"""Rules on contact: start, cut-off processes, frozen rollouts, watchers.

All functions read a `GossipState` and the time in seconds.
"""

import random

import xxhash

from monsoontack.config.gossip_state import GossipState

CUT_OFF_S = 9.0
WATCHERS_PER_DOMAIN = 2
START_PEERS = 2
# Watchers read every 4 s and gossip takes up to 8 s at 390 entries.
FRESH_STORE_S = 20.0
# Watchers of a domain may all be dead while the VM list still shows them.
STALE_STORE_S = 10.0
EXTRA_WATCHERS = 2.0  # expected number per second in the fleet


def is_ready(state: GossipState, now: float) -> bool:
    """Return whether this process takes new work.

    A process that has no other member goes on without contact: nobody else
    could serve its callers.
    """
    if not state.started:
        return False
    if not state.members:
        return True
    return state.contact_at is not None and now - state.contact_at < CUT_OFF_S


def is_store_contact_recent(state: GossipState, now: float) -> bool:
    """Return whether unproved versions may get new traffic here."""
    age_s = store_age_s(state, now)
    return age_s is not None and age_s <= FRESH_STORE_S


def store_age_s(state: GossipState, now: float) -> float | None:
    """Return the time since this process or one it heard of read the store."""
    return None if state.store_contact_at is None else now - state.store_contact_at


def has_started(state: GossipState) -> bool:
    """Return whether this process has a configuration it may start with.

    That is the head it read from the store or, in an outage, the newest head
    that two peers (or all, if fewer) reported.
    """
    if state.started:
        return True
    if state.start_revision is not None:
        return state.head.revision >= state.start_revision
    reported = [revision for revision in state.heard.values() if revision > 0]
    needed = min(START_PEERS, len(state.members))
    if not state.store_failed or not reported or len(reported) < needed:
        return False
    return state.head.revision >= max(reported)


def is_watcher(state: GossipState) -> bool:
    """Return whether this process is one of its failure domain's watchers."""
    domain = state.me.place.failure_domain
    names = [state.me.address]
    names += [m.address for m in state.members if m.place.failure_domain == domain]
    names.sort(key=lambda name: xxhash.xxh3_64_intdigest(f"{domain}|{name}".encode()))
    return state.me.address in names[:WATCHERS_PER_DOMAIN]


def stands_in(
    state: GossipState, now: float, interval_s: float, rng: random.Random
) -> bool:
    """Return whether to watch although others should, as none seems to.

    It is asked every `interval_s`; over the fleet about two processes a second
    answer yes while nobody is heard to reach the store.
    """
    age_s = store_age_s(state, now)
    if age_s is not None and age_s < STALE_STORE_S:
        return False
    return rng.random() < EXTRA_WATCHERS * interval_s / (len(state.members) + 1)
