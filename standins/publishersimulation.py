"""Publishers on one recording store, for tests of publishing."""

import asyncio
import json
import random

from monsoontack.config.check_test import VALID_OBJECTS
from monsoontack.config.operator import submit
from monsoontack.config.proposal import proposal_key
from monsoontack.config.publisher_state import LeaseAcquired
from monsoontack.config.revision import (
    HEAD_KEY,
    decode_head,
    seed_store,
)
from monsoontack.controller.publish import PublisherRunner
from monsoontack.core.clock import LoopClock
from monsoontack.store.faulty import FaultRates, FaultyStore
from standins.recordingstore import RecordingStore


def put(document, base=0):
    """Return a change that puts an object edited from version `base`."""
    return {"op": "put", "base_version": base, "object": document}


def delete(kind, name, base):
    """Return a change that removes an object read at version `base`."""
    return {"op": "delete", "base_version": base, "kind": kind, "name": name}


def proposal(uid, *changes, author="operator", **fields):
    """Return a proposal of some changes."""
    return {"uid": uid, "author": author, "changes": list(changes), **fields}


class PublisherSimulation:
    """A store and publishers that never learn by themselves of a lost lease."""

    def __init__(self, seed=1, rates=None, count=1):
        self.rng = random.Random(seed)
        self.memory = RecordingStore()
        self.clock = LoopClock()
        self.epoch = 0
        self.stores = [
            FaultyStore(self.memory, self.rng, rates or FaultRates())
            for _ in range(count)
        ]
        self.runners = [self._runner(store) for store in self.stores]

    def _runner(self, store):
        runner = PublisherRunner(
            store,
            self.clock,
            self.rng,
            lambda: runner.state.epoch,
            lambda head, chunks: None,
        )
        return runner

    def acquire(self, index=0):
        """Give the lease to one publisher; the former one does not notice."""
        self.epoch += 1
        self.runners[index].apply(LeaseAcquired(self.epoch))

    async def submit(self, document):
        """Write a proposal."""
        await submit(self.memory, document, self.clock, 1.0)

    def status(self, uid):
        """Return the status of a proposal."""
        value = self.memory.objects[proposal_key(uid)].value
        return json.loads(value).get("status", {})

    def head(self):
        """Return the published head."""
        return decode_head(self.memory.objects[HEAD_KEY].value)


async def start_publishers(**options):
    """Return publishers on a store with a first revision; one holds the lease."""
    publishing = PublisherSimulation(**options)
    await seed_store(publishing.memory, VALID_OBJECTS)
    publishing.acquire()
    await asyncio.sleep(2)
    return publishing
