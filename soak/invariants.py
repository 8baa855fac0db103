"""The promises of the pages, checked from what callers and engines saw."""

from collections import defaultdict

from soak.callers import Seen
from soak.environment import MEMORY_MB, World
from standins.directengine import COMMENT, SentInVain, make_event

# Statuses that promise that a request has not run and never will.
NOT_RUN = frozenset((401, 404, 408, 421, 429, 503))
REVOKE_S = 5.0
# What a server may send in vain: the bound of a gateway (64 KiB) and what fills the
# buffers of two sockets and a relay.
MAX_IN_VAIN_BYTES = 2_000_000
WHOLE_STREAM = b"".join(make_event(number) for number in range(1, 51))


def check(world: World, seen: list[Seen]) -> list[str]:
    """Return every broken promise, in words."""
    runs = defaultdict(list)
    for engine in world.engines:
        for request, _, _ in engine.runs:
            runs[request].append(engine.name)
    broken = [f"a gateway ended by itself: {text}" for text in world.own_ends]
    for engine in world.engines:
        broken += [
            f"{engine.name} sent {item.sent} bytes that are no answer"
            for item in engine.endless
            if item.sent > MAX_IN_VAIN_BYTES and not _was_deaf(world, item)
        ]
    broken += [
        f"{name} took {mb} MB of memory"
        for name, mb in world.memory_mb()
        if mb > MEMORY_MB
    ]
    for item in seen:
        broken += _check_answer(item, runs[item.request])
        broken += _check_key(world, item, runs[item.request])
    known = {item.request for item in seen}
    broken += [
        f"{name} ran, but nobody sent it" for name in set(runs) - known if runs[name]
    ]
    return broken


def _was_deaf(world: World, item: SentInVain) -> bool:
    """Whether the bytes may not have reached the gateway that has to close."""
    return any(a < item.ended_at and item.began_at < b for a, b in world.deaf)


def _check_answer(item: Seen, runs: list[str]) -> list[str]:
    broken = []
    if item.kind == "once" and len(runs) > 1:
        broken.append(f"{item.request} ran {len(runs)} times: {runs}")
    if item.kind == "once" and item.status in NOT_RUN and runs:
        broken.append(f"{item.request} got {item.status}, but ran at {runs}")
    if item.status != 200:
        return broken
    if item.kind == "stream":
        # Comments of the engine belong to no event and go on as they come.
        events = item.body.replace(COMMENT, b"")
        if item.whole and events != WHOLE_STREAM:
            broken.append(f"{item.request} ended as whole, but is not")
        if not WHOLE_STREAM.startswith(events):
            broken.append(f"{item.request} has a gap or a repetition")
    elif item.whole and not item.body.endswith(f" for {item.request}".encode()):
        broken.append(f"{item.request} got the answer {item.body!r}")
    return broken


def _check_key(world: World, item: Seen, runs: list[str]) -> list[str]:
    for revocation in world.revocations:
        late = revocation.at + REVOKE_S < item.sent_at < revocation.until
        if revocation.key == item.key and late and runs:
            after_s = item.sent_at - revocation.at
            return [f"{item.request} ran {after_s:.1f} s after its key was revoked"]
    return []
