"""The entry's `Picker`, implemented with `monsoontack.routing`.

Updates the routing state from links and generations: requests sent, cache
events, servers that return, failures and times to the first token.
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
# Further blocks hardly help to distinguish conversations.
MAX_PREFIX_BLOCKS = 64


def prefix_blocks(document: dict) -> tuple[int, ...]:
    """Return the block hashes of a request's prompt, shortest prefix first."""
    if "messages" in document:
        prompt = json.dumps(document["messages"], sort_keys=True)
    else:
        prompt = str(document.get("prompt", ""))
    last = min(len(prompt), BLOCK_CHARACTERS * MAX_PREFIX_BLOCKS)
    ends = range(BLOCK_CHARACTERS, last + 1, BLOCK_CHARACTERS)
    return tuple(xxhash.xxh64_intdigest(prompt[:end].encode()) for end in ends)


class RoutedPicker:
    """Implements the entry's `Picker` with the routing state of one entry.

    `servers` holds the server that was last linked at each address. Its health and its
    cached prefixes are not those of a server that had the address before.
    """

    def __init__(self, place: Place, rng: random.Random) -> None:
        self.picker = Picker.for_place(place)
        self.rng = rng
        self.servers: dict[str, BackendServer] = {}

    def pick_version(
        self, view: ConfigView, service: str, now: float, rng: random.Random
    ) -> str | None:
        """Choose a version by the published traffic shares."""
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
        """Return the server that routing prefers and record the request as sent."""
        result = self.picker.pick(request, servers, now, rng)
        if not isinstance(result, Success):
            return None
        server = result.unwrap()
        self.picker.note_sent(request, server)
        return server

    def record(self, address: str, failed: bool, now: float) -> None:
        """Record a failed attempt; `record_success` records successes."""
        server = self.servers.get(address)
        if failed and server is not None:
            self.picker.ejection.record_failure(server.start_key, now, self.rng)

    def record_success(self, address: str, latency_s: float, now: float) -> None:
        """Record a success whose first token came after `latency_s`."""
        server = self.servers.get(address)
        if server is not None:
            self.picker.ejection.record_success(
                server.start_key, latency_s, now, self.rng
            )

    def on_link_up(self, server: BackendServer, now: float) -> None:
        """Register a server; one at an address that was linked before starts slowly."""
        former = self.servers.get(server.address)
        self.servers[server.address] = server
        former_key = ""
        if former is not None and former.start_key != server.start_key:
            self.picker.prefixes.forget(server.address)
            if (former.vm, former.service) == (server.vm, server.service):
                former_key = former.start_key
            else:
                self.picker.ejection.remove(former.start_key)
        self.picker.ejection.add(
            server.start_key, server.service, now, former is not None, former_key
        )

    def cache_events(self, address: str, events: Iterable) -> None:
        """Apply cache events (`CacheEvent` of the link protocol)."""
        for event in events:
            self.picker.prefixes.apply(
                address, event.sequence, event.kind, event.blocks
            )

    def dump(self, now: float) -> dict:
        """Return the state for the operators' dump, with shares below 1 only."""
        ejection, link_budget = self.picker.ejection, self.picker.link_budget
        shares = {
            address: ejection.traffic_share(server.start_key, now)
            for address, server in self.servers.items()
        }
        return {
            "shares": {a: round(share, 3) for a, share in shares.items() if share < 1},
            "ejected": ejection.ejection_count,
            "link_bytes": dict(link_budget.sent),
            "link_refused": dict(link_budget.refused),
            "cache_event_gaps": self.picker.prefixes.gap_count,
        }

    def update_fleet(
        self, known_addresses: set[str], live_entries: int, now: float
    ) -> None:
        """Remove servers that left the VM list and set the number of entries.

        `live_entries` counts the entries of this entry's region, which share the
        link to the other region.
        """
        for address in set(self.servers) - known_addresses:
            self.picker.ejection.remove(self.servers.pop(address).start_key)
            self.picker.prefixes.forget(address)
        self.picker.link_budget.set_entry_count(live_entries, now)
