"""Rules that depend on contact with peers and the store.

They decide when a process may start, when it stops taking new work because it is
cut off, when rollouts are frozen, and which processes watch the store. All
functions read a `GossipState` and, if needed, the time in seconds.
"""

import random

import xxhash

from monsoontack.config.gossip_state import GossipState

CONTACT_TIMEOUT_S = 9.0
WATCHERS_PER_DOMAIN = 2
START_PEER_COUNT = 2
# Watchers read the head every 4 s, and gossip takes up to 8 s at 390 entries.
MAX_STORE_CONTACT_AGE_S = 20.0
# All watchers of a domain may have failed while the VM list still has them. At this
# age of the last known read of the store, other processes start to watch it too.
EXTRA_WATCH_AGE_S = 10.0
EXTRA_WATCHERS_PER_S = 2.0  # expected number in the whole fleet


def is_ready(state: GossipState, now: float) -> bool:
    """Return whether this process accepts new work.

    A process that knows no other member needs no contact, because no other process
    could serve its callers.
    """
    if not state.started:
        return False
    if not state.members:
        return True
    return state.contact_at is not None and now - state.contact_at < CONTACT_TIMEOUT_S


def is_store_contact_recent(state: GossipState, now: float) -> bool:
    """Return whether the new version of a running rollout may receive new traffic.

    That requires a recent read of the store, by this process or one known to it.
    """
    age_s = store_contact_age_s(state, now)
    return age_s is not None and age_s <= MAX_STORE_CONTACT_AGE_S


def store_contact_age_s(state: GossipState, now: float) -> float | None:
    """Return the time since the last known read of the store by any process.

    Peers report such reads in their digests.
    """
    return None if state.store_contact_at is None else now - state.store_contact_at


def has_started(state: GossipState) -> bool:
    """Return whether this process has a configuration that it may start with.

    That is the head read from the store or, during a store outage, the newest head
    among the reports of at least two peers (or of all peers, if there are fewer).
    """
    if state.started:
        return True
    if state.start_revision is not None:
        return state.head.revision >= state.start_revision
    reported = [
        revision for revision in state.reported_revisions.values() if revision > 0
    ]
    needed = min(START_PEER_COUNT, len(state.members))
    if not state.store_failed or not reported or len(reported) < needed:
        return False
    return state.head.revision >= max(reported)


def is_watcher(state: GossipState) -> bool:
    """Return whether this process is one of the watchers of its failure domain.

    Watchers are chosen by the hash of their address.
    """
    domain = state.me.place.failure_domain
    names = [state.me.address]
    names += [m.address for m in state.members if m.place.failure_domain == domain]
    names.sort(key=lambda name: xxhash.xxh3_64_intdigest(f"{domain}|{name}".encode()))
    return state.me.address in names[:WATCHERS_PER_DOMAIN]


def is_extra_watcher(
    state: GossipState, now: float, interval_s: float, rng: random.Random
) -> bool:
    """Return whether to watch the store because the regular watchers seem to be down.

    The caller asks every `interval_s`. While no process is known to reach the store,
    the result is true for about two processes a second in the whole fleet.
    """
    age_s = store_contact_age_s(state, now)
    if age_s is not None and age_s < EXTRA_WATCH_AGE_S:
        return False
    return rng.random() < EXTRA_WATCHERS_PER_S * interval_s / (len(state.members) + 1)
