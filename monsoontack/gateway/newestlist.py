"""Lists with the newest state of each object that this entry or a peer has in use.

A store that was restored from a copy has lost its latest writes. What was in force
stays in force until it is written again, also at an entry that starts after the
restoration: it asks some peers what they have in use, and takes the newest.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import structlog
from returns.result import Result, Success

from monsoontack.gateway.feedcodec import CodecError, decode_list
from monsoontack.gateway.relay import OK, FeedRequest
from monsoontack.relaying.relayedstore import RelayedStore
from monsoontack.store.api import KindChanges, KindList, KindObject, StoreError

log = structlog.get_logger("gateway.newest")

# Peers that are asked what they have in use, and the time for their answers. Three
# random ones know what is in force unless most entries have started just now.
MAX_ASKED_FOR_USE = 3
IN_USE_TIMEOUT_S = 0.6
# Order of the states of an object, the newest highest; None if a state cannot be used.
Rank = Callable[[KindObject], int | None]


def is_newer(rank: Rank, one: KindObject, other: KindObject | None) -> bool:
    """Whether one state of an object ranks above another one, or above none."""
    first = rank(one)
    second = None if other is None else rank(other)
    return first is not None and (second is None or first > second)


@dataclass(slots=True, repr=False)
class NewestList:
    """`KindStore` that reads through other entries, for objects with a rank."""

    relayed: RelayedStore
    rank: Rank

    async def list_kind(self, kind: str) -> Result[KindList, StoreError]:
        """Read all objects; of each, the newest state that the store or a peer has."""
        result, lists = await asyncio.gather(
            self.relayed.list_kind(kind), self._lists_of_peers(kind)
        )
        if not isinstance(result, Success):
            return result
        listed = result.unwrap()
        newest = {item.name: item for item in listed.objects}
        for found in lists:
            for item in found.objects:
                if is_newer(self.rank, item, newest.get(item.name)):
                    newest[item.name] = item
                    log.warning(
                        "peer has a newer state than the store",
                        kind=kind,
                        name=item.name,
                        rank=self.rank(item),
                    )
        objects = tuple(newest.values())
        return Success(KindList(objects, listed.revision, listed.confirmed_after_s))

    async def watch_kind(
        self, kind: str, revision: int, wait_s: float
    ) -> Result[KindChanges, StoreError]:
        """Wait for changes of a kind after a revision."""
        return await self.relayed.watch_kind(kind, revision, wait_s)

    async def _lists_of_peers(self, kind: str) -> list[KindList]:
        """Return what some peers have in use, at any age; empty if none answers."""
        relayed, peers = self.relayed, self.relayed.plan.all_peers
        chosen = relayed.rng.sample(peers, min(MAX_ASKED_FOR_USE, len(peers)))
        target = FeedRequest(kind, accepts_stale=True).target()
        responses = await asyncio.gather(
            *(relayed.call(relayed.pool, p, target, IN_USE_TIMEOUT_S) for p in chosen)
        )
        lists = []
        for peer, response in zip(chosen, responses, strict=True):
            if response is None or response.status != OK:
                continue
            try:
                lists.append(decode_list(response))
            except CodecError as error:
                log.warning(
                    "peer sent a malformed list", peer=peer.name, detail=str(error)
                )
        return lists
