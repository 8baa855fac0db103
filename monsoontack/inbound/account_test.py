"""Tests of the memory account without a network."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from monsoontack.inbound.account import (
    MAX_PAUSE_S,
    SHED_COUNT,
    SHED_INTERVAL_S,
    STALL_S,
    Holding,
    MemoryAccount,
    account_limit_bytes,
)
from standins.mutations import DETERMINISTIC_SETTINGS

LIMIT_BYTES = 10_000_000


class Uploads:
    """Connections that each upload `size_bytes` in steps while they may read.

    A step takes `SHED_INTERVAL_S`, so 62,500 bytes a step are 10 Mbit/s.
    """

    def __init__(self, count, size_bytes, step_bytes):
        self.account = MemoryAccount(LIMIT_BYTES)
        self.size_bytes, self.step_bytes = size_bytes, step_bytes
        self.now = 0.0
        self.done, self.shed = [], []
        self.left = {self.add(): size_bytes for _ in range(count)}

    def add(self):
        holding = Holding(lambda pause_s: None, lambda: None, progress_at=self.now)
        self.account.open(holding)
        return holding

    def step(self):
        """Let each connection read once, and shed."""
        for holding in [h for h in self.left if h.paused_at is None]:
            if not self.account.may_read(holding):
                self.account.pause(holding, self.now)
                continue
            holding.progress_at = self.now
            self.account.set(holding, holding.held_bytes + self.step_bytes)
            self.left[holding] -= self.step_bytes
            if self.left[holding] <= 0:
                self.done.append(holding)
                del self.left[holding]
                self.account.end_reading(holding)
                self.account.close(holding)
        self.now += SHED_INTERVAL_S
        for holding in self.account.to_shed(self.now):
            self.shed.append(holding)
            self.left.pop(holding, None)
            self.account.close(holding)


class MemoryAccountTest(unittest.TestCase):
    @DETERMINISTIC_SETTINGS
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("set", "pause", "end", "close", "tick")),
                st.integers(0, 9),
                st.integers(0, LIMIT_BYTES // 4),
            ),
            max_size=80,
        )
    )
    def test_account_matches_its_holdings(self, steps):
        """Guards against an account that drifts, goes below zero, or keeps something
        after all connections have ended."""
        account, now = MemoryAccount(LIMIT_BYTES), 0.0
        resumed = []
        holdings = [
            Holding(resumed.append, lambda: None, progress_at=0.0) for _ in range(10)
        ]
        for holding in holdings:
            account.open(holding)
        for action, index, size in steps:
            holding = holdings[index]
            now += 0.01
            if action == "set":
                account.set(holding, size)
            elif action == "pause" and holding in account.holdings:
                if holding.paused_at is None:
                    account.pause(holding, now)
            elif action == "end":
                account.end_reading(holding)
            elif action == "close":
                account.close(holding)
            else:
                self.assertLessEqual(len(account.to_shed(now)), SHED_COUNT)
            held = sum(item.held_bytes for item in account.holdings)
            self.assertEqual(held, account.used_bytes)
            self.assertGreaterEqual(account.used_bytes, 0)
            if account.paused:
                self.assertIsNotNone(account.turn)
        for holding in holdings:
            account.close(holding)
        self.assertEqual((0, {}, None), (account.used_bytes, account.paused, None))

    def test_uploads_that_exceed_the_limit_together_are_completed(self):
        """Guards against uploads that wait for each other's memory forever."""
        uploads = Uploads(6, 2_000_000, 62_500)
        while uploads.left and uploads.now < 60.0:
            uploads.step()
        self.assertEqual((6, 0), (len(uploads.done), len(uploads.shed)))
        self.assertEqual(0, uploads.account.used_bytes)

    def test_uploads_far_above_the_limit_are_completed_or_refused_in_time(self):
        """Guards against uploads that are held until their deadlines."""
        uploads = Uploads(20, 2_000_000, 62_500)
        while uploads.left and uploads.now < 60.0:
            uploads.step()
        self.assertEqual(20, len(uploads.done) + len(uploads.shed))
        self.assertLess(uploads.now, 2 * MAX_PAUSE_S + 2_000_000 / 1_250_000)
        self.assertGreater(len(uploads.done), LIMIT_BYTES / 2_000_000)

    def test_ordinary_request_reads_beside_stalled_uploads(self):
        """Guards against incomplete bodies that keep ordinary requests from being
        read."""
        account = MemoryAccount(LIMIT_BYTES)
        for _ in range(50):
            holding = Holding(lambda pause_s: None, lambda: None)
            account.open(holding)
            while account.may_read(holding) and holding.held_bytes < 10**6:
                account.set(holding, holding.held_bytes + 16_000)
        ordinary = Holding(lambda pause_s: None, lambda: None, held_bytes=5_000)
        account.open(ordinary)
        self.assertTrue(account.may_read(ordinary))

    def test_largest_without_progress_are_shed_first_and_only_in_a_shortage(self):
        """Guards against the loss of requests that are not to blame."""
        account = MemoryAccount(LIMIT_BYTES)
        holdings = []
        for number in range(20):
            holding = Holding(lambda pause_s: None, lambda: None)
            holding.progress_at = 0.0 if number < 10 else 9.9
            holding.held_bytes = 100_000 * (number % 10 + 1)
            holdings.append(holding)
            account.open(holding)
        found = account.to_shed(10.0)
        self.assertEqual(holdings[9:5:-1], found)
        for holding in holdings[10:]:
            account.close(holding)
        self.assertEqual([], account.to_shed(10.0))

    def test_turn_passes_on_without_progress_and_long_pauses_end(self):
        """Guards against a client that takes the turn and then sends nothing."""
        account = MemoryAccount(LIMIT_BYTES)
        served = Holding(lambda pause_s: None, lambda: None, sheddable=False)
        served.held_bytes = LIMIT_BYTES + 1
        account.open(served)
        first, second = (Holding(lambda pause_s: None, lambda: None) for _ in "ab")
        for holding in (first, second):
            account.open(holding)
            account.pause(holding, 0.0)
        self.assertIs(first, account.turn)
        self.assertEqual([], account.to_shed(STALL_S / 2))
        account.to_shed(STALL_S)
        self.assertIs(second, account.turn)
        account.pause(first, STALL_S)
        self.assertEqual([first], account.to_shed(STALL_S + 0.1))
        account.close(first)
        third = Holding(lambda pause_s: None, lambda: None, progress_at=STALL_S)
        account.open(third)
        account.pause(third, STALL_S)
        now = STALL_S
        while now < STALL_S + MAX_PAUSE_S:
            second.progress_at = now
            self.assertEqual([], account.to_shed(now))
            now += 0.5
        second.progress_at = now
        self.assertEqual([third], account.to_shed(now))

    def test_limit_follows_from_the_machine(self):
        """Guards against an account that exceeds a small machine."""
        self.assertEqual(52_500_000, account_limit_bytes(150_000_000))
        self.assertEqual(4_000_000, account_limit_bytes(40_000_000))


if __name__ == "__main__":
    unittest.main()
