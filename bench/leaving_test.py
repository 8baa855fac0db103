"""Test of the news of leaving servers with many entries, in virtual time."""

import asyncio
import random
import unittest

from bench.entrymodel import ModelFleet
from bench.prompts import MAX_MESSAGES_PER_ENTRY_S
from monsoontack.core.virtualtime import run_in_virtual_time

# A rack of servers that leave at once.
SERVER_COUNT = 40
MAX_NEWS_S = 2.0


class LeavingNewsTest(unittest.TestCase):
    """Servers that leave before fleets of entries; one entry hears of each."""

    def spread(self, entry_count):
        """Return when all entries know all servers, and the messages an entry sent."""

        async def scenario():
            rng = random.Random(4)
            fleet = ModelFleet(rng)
            fleet.start_entries(entry_count)
            await asyncio.sleep(10.0)
            now = asyncio.get_running_loop().time
            exchanges = [entry.exchange for entry in fleet.entries.values()]
            before, began_at = fleet.sent_messages, now()
            for number in range(SERVER_COUNT):
                exchange = rng.choice(exchanges)
                exchange.leaving.observe(f"s{number}", 5, now())
                exchange.send_news()
            took_s = None
            while now() < began_at + MAX_NEWS_S:
                await asyncio.sleep(0.02)
                known = [len(exchange.leaving.starts_ms) for exchange in exchanges]
                if took_s is None and min(known) == SERVER_COUNT:
                    took_s = now() - began_at
            sent = (fleet.sent_messages - before) / entry_count / MAX_NEWS_S
            return took_s, sent

        return run_in_virtual_time(scenario())

    def test_all_entries_are_told_with_few_messages(self):
        """Guards against entries that are not told, and messages or work of an entry
        that grow with entries times servers."""
        for entry_count in (5, 68, 390):
            with self.subTest(entry_count):
                took_s, sent = self.spread(entry_count)
                self.assertIsNotNone(took_s)
                self.assertLessEqual(sent, MAX_MESSAGES_PER_ENTRY_S)


if __name__ == "__main__":
    unittest.main()
