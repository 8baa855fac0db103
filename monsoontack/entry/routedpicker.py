"""Routing decisions of `monsoontack.routing` as the entry's `Picker`.

Feeds the routing state with what links and generations show: requests sent,
cache events, servers that come back, failures and times to the first token.
"""

import json
import random
from collections.abc import Iterable, Sequence

import xxhash
from returns.result import Success

from monsoontack.config.view import ConfigView
from monsoontack.core.records import BackendServer, Place, RouteRequest, ServerState
from monsoontack.routing.picker import Picker

BLOCK_CHARACTERS = 64
# Blocks beyond these hardly tell conversations apart.
MAX_BLOCKS = 64


def prefix_blocks(document: dict) -> tuple[int, ...]:
    """Return the block hashes of a request's prompt, shortest prefix first."""
    if "messages" in document:
        prompt = json.dumps(document["messages"], sort_keys=True)
    else:
        prompt = str(document.get("prompt", ""))
    last = min(len(prompt), BLOCK_CHARACTERS * MAX_BLOCKS)
    ends = range(BLOCK_CHARACTERS, last + 1, BLOCK_CHARACTERS)
    return tuple(xxhash.xxh64_intdigest(prompt[:end].encode()) for end in ends)


class RoutedPicker:
    """The entry's `Picker` over the routing state of one entry."""

    def __init__(self, place: Place, rng: random.Random) -> None:
        self.picker = Picker.for_place(place)
        self.rng = rng
        self.services: dict[str, str] = {}

    def pick_version(
        self, view: ConfigView, service: str, now: float, rng: random.Random
    ) -> str | None:
        """Choose a version by the published shares."""
        shares = [item for item in view.services[service].shares if item[1] > 0]
        if not shares:
            return None
        names, weights = zip(*shares, strict=True)
        return rng.choices(names, weights)[0]

    def pick(
        self,
        request: RouteRequest,
        servers: Sequence[ServerState],
        now: float,
        rng: random.Random,
    ) -> BackendServer | None:
        """Return the server that routing prefers and note the request as sent."""
        result = self.picker.pick(request, servers, now, rng)
        if not isinstance(result, Success):
            return None
        server = result.unwrap()
        self.picker.note_sent(request, server)
        return server

    def record(self, address: str, failed: bool, now: float) -> None:
        """Count a failed attempt; successes come with `record_success`."""
        service = self.services.get(address)
        if failed and service is not None:
            self.picker.ejection.record_failure(address, service, now, self.rng)

    def record_success(self, address: str, latency_s: float, now: float) -> None:
        """Count a good answer whose first token came after `latency_s`."""
        service = self.services.get(address)
        if service is not None:
            self.picker.ejection.record_success(
                address, service, latency_s, now, self.rng
            )

    def on_link_up(self, address: str, service: str, now: float) -> None:
        """Register a server; one that was linked before gets a slow start."""
        needs_slow_start = address in self.services
        self.services[address] = service
        self.picker.ejection.add(address, service, now, needs_slow_start)

    def cache_events(self, address: str, events: Iterable) -> None:
        """Apply cache events (`CacheEvent` of the link protocol)."""
        for event in events:
            self.picker.prefixes.apply(
                address, event.sequence, event.kind, event.blocks
            )

    def dump(self, now: float) -> dict:
        """Return the state for the operators' dump; `shares` below 1 only."""
        ejection, link = self.picker.ejection, self.picker.link_budget
        shares = {
            address: ejection.traffic_share(address, now) for address in ejection.health
        }
        return {
            "shares": {a: round(share, 3) for a, share in shares.items() if share < 1},
            "ejected": ejection.ejection_count,
            "link_bytes": dict(link.sent),
            "link_refused": dict(link.refused),
            "cache_event_gaps": self.picker.prefixes.gap_count,
        }

    def update_fleet(self, known: set[str], live_entries: int, now: float) -> None:
        """Forget servers that left the VM list and follow the fleet's size.

        `live_entries` counts those of the own region, which share the link to
        the other one.
        """
        for address in set(self.services) - known:
            del self.services[address]
            self.picker.ejection.remove(address)
            self.picker.prefixes.forget(address)
        self.picker.link_budget.set_entry_count(live_entries, now)
