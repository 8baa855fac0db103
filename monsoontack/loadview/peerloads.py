"""What peers reported: their usage of engines and the requests that wait at them."""

from collections.abc import Mapping
from dataclasses import dataclass, field

import structlog

from monsoontack.loadview.callload import UNIT
from monsoontack.loadview.messages import (
    NO_USAGE,
    EngineUsage,
    LoadMessage,
    WaitingByService,
)

log = structlog.get_logger("gateway.loadnews")

# Interval at which an entry with runs sends a message although nothing changed.
REFRESH_INTERVAL_S = 2.0
# A peer that is silent for longer is taken for dead, and its runs are dropped.
PEER_EXPIRY_S = 2.5 * REFRESH_INTERVAL_S
# Engines whose last read prompt is remembered; larger fleets are not served.
MAX_READ_ENGINES = 2000


@dataclass(slots=True, repr=False)
class PeerLoads:
    """Usage reported by peers, by peer and by the start of the engine.

    `waiting_by_peer` holds the requests that wait at peers, `calls_by_peer` the mean
    number of their calls in flight by the start of the server, in hundredths; peers
    without any are left out. `read_at` is the last time at which a peer reported that
    an engine had read a prompt, by the start of the engine.
    """

    usage_by_peer: dict[str, dict[str, EngineUsage]] = field(default_factory=dict)
    waiting_by_peer: dict[str, WaitingByService] = field(default_factory=dict)
    calls_by_peer: dict[str, dict[str, int]] = field(default_factory=dict)
    last_heard_at: dict[str, float] = field(default_factory=dict)
    read_at: dict[str, float] = field(default_factory=dict)

    def apply(self, message: LoadMessage, now: float) -> bool:
        """Apply a message; return False if a full message is needed instead."""
        self._drop_silent_peers(now)
        if message.is_full:
            self.usage_by_peer[message.peer] = {}
            self.waiting_by_peer.pop(message.peer, None)
            self.calls_by_peer.pop(message.peer, None)
        elif message.peer not in self.usage_by_peer:
            return False
        self.last_heard_at[message.peer] = now
        current = self.usage_by_peer[message.peer]
        for engine, usage in message.usage.items():
            before = current.get(engine, NO_USAGE)
            if usage.waiting_tokens < before.waiting_tokens:
                # With fewer runs, the prompt may have been given up.
                if usage.runs >= before.runs:
                    self._note_read(engine, now)
            if usage == NO_USAGE:
                current.pop(engine, None)
            else:
                current[engine] = usage
        for reported, known in (
            (message.waiting, self.waiting_by_peer),
            (message.calls, self.calls_by_peer),
        ):
            if reported:
                known[message.peer] = reported
            elif reported is not None:
                known.pop(message.peer, None)
        return True

    def _note_read(self, engine: str, now: float) -> None:
        self.read_at.pop(engine, None)
        self.read_at[engine] = now
        if len(self.read_at) > MAX_READ_ENGINES:
            del self.read_at[next(iter(self.read_at))]

    def totals(self, now: float) -> dict[str, EngineUsage]:
        """Return the summed usage of each engine that peers use."""
        self._drop_silent_peers(now)
        totals: dict[str, EngineUsage] = {}
        for peer_usage in self.usage_by_peer.values():
            for engine, usage in peer_usage.items():
                totals[engine] = totals.get(engine, NO_USAGE).plus(usage)
        return totals

    def waiting(
        self, service: str, factors: Mapping[str, float], now: float
    ) -> dict[int, tuple[int, int]]:
        """Return requests of a service that wait at peers, and their prompt tokens.

        They are summed by priority. `factors` holds for how many gateways the report of
        a peer stands, 1 if absent.
        """
        self._drop_silent_peers(now)
        totals: dict[int, tuple[int, int]] = {}
        for peer, waiting in self.waiting_by_peer.items():
            factor = factors.get(peer, 1)
            for priority, (requests, tokens) in waiting.get(service, {}).items():
                known_requests, known_tokens = totals.get(priority, (0, 0))
                totals[priority] = (
                    known_requests + factor * requests,
                    known_tokens + factor * tokens,
                )
        return {
            priority: (round(requests), round(tokens))
            for priority, (requests, tokens) in totals.items()
        }

    def calls(self, factors: Mapping[str, float], now: float) -> dict[str, float]:
        """Return the mean number of peers' calls in flight at each server.

        `factors` holds for how many gateways the report of a peer stands, 1 if absent.
        """
        self._drop_silent_peers(now)
        totals: dict[str, float] = {}
        for peer, means in self.calls_by_peer.items():
            factor = UNIT * factors.get(peer, 1.0)
            for server, mean in means.items():
                totals[server] = totals.get(server, 0.0) + factor * mean
        return totals

    def oldest_age_s(self, now: float) -> float:
        """Return the age in seconds of the oldest report in use, 0 without any.

        A peer that reported neither runs nor waiting requests has nothing to refresh,
        so its silence does not count.
        """
        self._drop_silent_peers(now)
        return max(
            (
                now - at
                for peer, at in self.last_heard_at.items()
                if self.usage_by_peer[peer] or peer in self.waiting_by_peer
            ),
            default=0.0,
        )

    def drop_peer(self, peer: str) -> None:
        """Drop what a peer reported; its next message has to be a full one."""
        self.last_heard_at.pop(peer, None)
        peer_usage = self.usage_by_peer.pop(peer, None)
        waiting = self.waiting_by_peer.pop(peer, None)
        self.calls_by_peer.pop(peer, None)
        if peer_usage or waiting:
            log.info(
                "reported load of peer dropped",
                peer=peer,
                engines=len(peer_usage or ()),
            )

    def _drop_silent_peers(self, now: float) -> None:
        silent = [
            peer for peer, at in self.last_heard_at.items() if now > at + PEER_EXPIRY_S
        ]
        for peer in silent:
            self.drop_peer(peer)
