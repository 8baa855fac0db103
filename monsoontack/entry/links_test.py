"""Tests of the silence limits of links."""

import random
import unittest

from monsoontack.core.records import Place
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.entry.links import Link, LinkIdentity, LinkPool, SilenceLimits
from monsoontack.proto import link_pb2

AGENT = "10.0.0.1:1"


class SilentLink(Link):
    """Link that is up but receives no further frames."""

    async def _run(self):
        self.is_up = True


class NullListener:
    def on_frame(self, link, frame):
        pass

    def on_link_lost(self, link, was_up):
        pass


class NewStartTest(unittest.TestCase):
    def test_new_incarnation_on_an_open_link_is_a_new_start(self):
        """Guards against a server that keeps the health of its former start."""

        async def scenario():
            identity = LinkIdentity("entry", Place("domain", "region"))
            link = SilentLink(AGENT, identity, NullListener())
            link.is_up, found = False, []
            for incarnation in (5, None, 5, 6, None):
                frame = link_pb2.Frame()
                if incarnation is not None:
                    frame.info.incarnation = incarnation
                link._handle_frame(frame)
                found.append(link.has_new_start)
            link.close()
            return found

        found = run_in_virtual_time(scenario())
        self.assertEqual([True, False, False, True, False], found)


class SilenceTest(unittest.TestCase):
    def time_found_silent(self, work_starts_at):
        """Return the time at which `LinkPool.tick` finds the link silent.

        Work on the link is awaited from `work_starts_at` on.
        """

        async def scenario():
            identity = LinkIdentity("entry", Place("domain", "region"))
            limits = SilenceLimits(busy_s=1.0, idle_s=5.0)
            pool = LinkPool(
                identity, NullListener(), random.Random(1), limits, SilentLink
            )
            link = pool.get_or_open(AGENT)
            await link.task
            for tenth in range(100):
                now = tenth / 10
                pool.awaited_addresses = lambda now=now: (
                    {AGENT} if now >= work_starts_at else set()
                )
                if pool.tick(now):
                    return now
            return None

        return run_in_virtual_time(scenario())

    def test_idle_link_may_pause_between_rare_heartbeats(self):
        """Guards against replacing an idle link between two heartbeats."""
        self.assertEqual(5.1, self.time_found_silent(work_starts_at=100.0))

    def test_busy_link_is_found_silent_soon(self):
        """Guards against applying the idle limit while a request is waiting."""
        self.assertEqual(1.1, self.time_found_silent(work_starts_at=0.0))

    def test_busy_limit_starts_with_the_work(self):
        """Guards against replacing a link because work starts after an idle time.

        The last frame of an idle link may already be older than the busy limit.
        """
        self.assertEqual(4.1, self.time_found_silent(work_starts_at=3.0))


if __name__ == "__main__":
    unittest.main()
