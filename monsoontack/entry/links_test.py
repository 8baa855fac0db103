"""Tests of when a link counts as silent."""

import random
import unittest

from monsoontack.core.records import Place
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.entry.links import Link, LinkIdentity, LinkPool, SilenceLimits

AGENT = "10.0.0.1:1"


class DeafLink(Link):
    """Link whose first frame came, and no other."""

    async def _run(self):
        self.is_up = True


class Listener:
    def on_frame(self, link, frame):
        pass

    def on_link_lost(self, link, was_up):
        pass


class SilenceTest(unittest.TestCase):
    def silent_at(self, awaited_from):
        """Return when the link is found silent; work is awaited from then on."""

        async def scenario():
            identity = LinkIdentity("entry", Place("domain", "region"))
            limits = SilenceLimits(busy_s=1.0, idle_s=5.0)
            pool = LinkPool(identity, Listener(), random.Random(1), limits, DeafLink)
            link = pool.get_or_open(AGENT)
            await link.task
            for tenth in range(100):
                now = tenth / 10
                pool.awaited_addresses = lambda now=now: (
                    {AGENT} if now >= awaited_from else set()
                )
                if pool.tick(now):
                    return now
            return None

        return run_in_virtual_time(scenario())

    def test_idle_link_may_pause_between_rare_heartbeats(self):
        """Guards against idle links that are replaced between two heartbeats."""
        self.assertEqual(5.1, self.silent_at(awaited_from=100.0))

    def test_busy_link_is_found_silent_soon(self):
        """Guards against answers that wait for the idle limit."""
        self.assertEqual(1.1, self.silent_at(awaited_from=0.0))

    def test_limit_begins_with_the_work(self):
        """Guards against a link that is replaced when work comes after a pause."""
        self.assertEqual(4.1, self.silent_at(awaited_from=3.0))


if __name__ == "__main__":
    unittest.main()
