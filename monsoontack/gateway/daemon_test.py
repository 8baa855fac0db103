"""Tests of how a gateway starts and takes up its feeds, on a paused clock."""

import asyncio
import random
import unittest
from dataclasses import replace

from returns.result import Failure, Success

from monsoontack.core.pausedloop import run_paused
from monsoontack.gateway.daemon import (
    FIRST_START_SPREAD_S,
    PEERS_WAIT_S,
    GatewayDaemon,
)
from monsoontack.gateway.entryregistry import ENTRIES_KIND
from monsoontack.gateway.settings import GatewaySettings
from monsoontack.store.api import KindList, Unavailable
from monsoontack.store.feed_test import Recorder
from standins.gatewayparts import HOME, ScriptedWire

ADDRESS = "127.0.0.1:1"
SETTINGS = GatewaySettings(
    name="e1",
    place=HOME,
    front_address=ADDRESS,
    ready_address=ADDRESS,
    operator_address=ADDRESS,
    peer_address=ADDRESS,
    store_address=ADDRESS,
    memory_bytes=10**8,
    revoke_s=5.0,
    grace_s=8.0,
    retry_ratio=0.5,
    retry_extra=10.0,
    retry_window_s=10.0,
    canary_share=0.1,
    canary_tolerance=10.0,
)


class TimedStore:
    """Store that notes when each kind is first listed; it may fail for entries."""

    def __init__(self, has_entries=True):
        self.has_entries = has_entries
        self.listed_at = {}

    async def list_kind(self, kind):
        now = asyncio.get_running_loop().time()
        self.listed_at.setdefault(kind, now)
        if kind == ENTRIES_KIND and not self.has_entries:
            return Failure(Unavailable(kind, "down"))
        return Success(KindList((), 5))

    async def watch_kind(self, kind, revision, wait_s):
        await asyncio.sleep(1000)


def listed_at(is_first_start, **options):
    """Return when a starting gateway lists entries and configuration."""

    async def scenario():
        store = TimedStore(**options)
        settings = replace(SETTINGS, is_first_start=is_first_start)
        daemon = GatewayDaemon.from_settings(
            settings, ScriptedWire(), lambda headers: None, random.Random(1)
        )
        daemon.follow_kind(store, "config", Recorder())
        daemon.join_cluster(store, store)
        runs = [asyncio.ensure_future(daemon._run_feed(f)) for f in daemon.feeds]
        await asyncio.sleep(5.0)
        for run in runs:
            run.cancel()
        return store.listed_at

    return run_paused(scenario())


class StartTest(unittest.TestCase):
    def test_entries_that_start_together_wait_for_each_other(self):
        """Guards against a list of every kind from the store by every entry at the
        first start of all."""
        found = listed_at(True)
        self.assertAlmostEqual(FIRST_START_SPREAD_S, found[ENTRIES_KIND], 2)
        self.assertGreaterEqual(found["config"], FIRST_START_SPREAD_S)
        self.assertLess(found["config"], PEERS_WAIT_S)

    def test_entry_that_starts_again_does_not_wait(self):
        """Guards against a restart that takes longer than it must."""
        self.assertLess(listed_at(False)["config"], 0.01)

    def test_list_of_entries_that_fails_delays_the_start_a_little_only(self):
        """Guards against an entry that never serves since it finds no others."""
        found = listed_at(False, has_entries=False)
        self.assertAlmostEqual(PEERS_WAIT_S, found["config"], 2)


if __name__ == "__main__":
    unittest.main()
