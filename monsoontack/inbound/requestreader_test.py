"""Tests of the reading of requests, of slow input and of turns, without I/O."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from monsoontack.gateway.records import CallerLimits
from monsoontack.inbound.limits import InboundLimits, caller_connections
from monsoontack.inbound.progress import RequestProgress
from monsoontack.inbound.refusals import RefusalLimit
from monsoontack.inbound.requestreader import RequestReader
from monsoontack.inbound.turns import RESUMED_CONNECTIONS, InputTurns
from standins.mutations import DETERMINISTIC_SETTINGS

PUBLISHED = CallerLimits(1000, 5000, 3.0, 15.0)
POST = b"POST /a HTTP/1.1\r\nHost: h\r\n"
UPGRADE = POST + b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
FRAMINGS = (
    b"Content-Length: 5\r\n\r\nabcde",
    b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n",
)
NEXT = b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n"


def read(data, step=None, limits=None):
    """Return a reader that was fed `data` in parts of `step` bytes."""
    reader = RequestReader(lambda: PUBLISHED, limits or InboundLimits(), lambda: 0.0)
    for start in range(0, len(data), step or len(data)):
        reader.feed(data[start : start + (step or len(data))])
    return reader


class UpgradeTest(unittest.TestCase):
    def test_request_that_offers_an_upgrade_keeps_its_body(self):
        """Guards against a request that runs without its body, because the parser takes
        what follows an offer of h2c for another protocol."""
        for framing in FRAMINGS:
            data = UPGRADE + framing
            for step in (None, 1, 7, len(UPGRADE), len(data) - 1):
                with self.subTest(framing=framing, step=step):
                    reader = read(data + NEXT, step)
                    self.assertIsNone(reader.refusal)
                    requests = [request for request, _ in reader.complete]
                    self.assertEqual([b"/a", b"/b"], [r.target for r in requests])
                    self.assertEqual([b"abcde", b""], [r.body for r in requests])
                    self.assertEqual([b"POST", b"GET"], [r.method for r in requests])
                    self.assertTrue(requests[0].keep_alive)

    def test_incomplete_body_behind_an_offer_is_not_a_request(self):
        """Guards against the same when the body is never completed."""
        for framing in FRAMINGS:
            reader = read(UPGRADE + framing[:-1])
            self.assertEqual(0, len(reader.complete))
            self.assertGreater(reader.held_bytes, 0)

    def test_limits_hold_behind_an_offer(self):
        """Guards against a body beyond its limit behind an offer of an upgrade."""
        chunk = b"1000\r\n" + b"a" * 4096 + b"\r\n"
        data = UPGRADE + b"Transfer-Encoding: chunked\r\n\r\n" + 2 * chunk
        self.assertEqual("body_bytes", read(data, 64).refusal.reason)


class LimitsTest(unittest.TestCase):
    def test_no_request_within_the_published_limits_is_refused(self):
        """Guards against default limits that refuse what is permitted."""
        # A header counts with the blank that usually follows its colon.
        lines = b"a:\r\n" * ((PUBLISHED.header_bytes - len(POST) - 2) // 5)
        for data in (
            POST + lines + b"\r\n",
            b"\r\n" * 400 + POST + b"x: " + b"y" * 800 + b"\r\n\r\n",
        ):
            for step in (None, 1, 100):
                reader = read(data, step)
                self.assertIsNone(reader.refusal, (data, step))
                self.assertEqual(1, len(reader.complete))

    def test_stated_limits_are_kept(self):
        """Guards against settings without effect."""
        limits = InboundLimits(header_lines=10, line_bytes=100, empty_lines=5)
        cases = {
            "header_lines": POST + b"a:b\r\n" * 11,
            "line_bytes": POST + b"a: " + b"b" * 100 + b"\r\nc",
            "empty_lines": b"\r\n" * 6,
        }
        for reason, data in cases.items():
            for step in (None, 1):
                reader = read(data, step, limits)
                self.assertEqual((431, reason), (reader.refusal.status, reason))
                self.assertEqual(reason, reader.refusal.reason)
                self.assertEqual(0, reader.held_bytes)
        self.assertEqual(0, caller_connections(None))
        self.assertLess(caller_connections(4100), 4100)

    @DETERMINISTIC_SETTINGS
    @given(st.integers(1, 40), st.integers(0, 4000), st.integers(1, 500))
    def test_cost_of_an_incomplete_request_is_released(self, lines, size, step):
        """Guards against an account that keeps what was held of a complete request."""
        head = POST + b"name: value\r\n" * lines
        data = head + b"Content-Length: %d\r\n\r\n" % size + b"x" * size
        reader = read(data[:-1], step)
        if size:
            self.assertGreaterEqual(reader.held_bytes, size - 1)
        reader.feed(data[-1:])
        self.assertEqual(1, len(reader.complete))
        self.assertEqual(0, reader.held_bytes)


class ProgressTest(unittest.TestCase):
    def refusal(self, now, received_at, body_bytes, is_head=False):
        progress = RequestProgress(0.0, received_at, paused_s=1.0)
        found = progress.refusal(now, is_head, body_bytes, PUBLISHED, 100)
        return found and found.reason

    def test_slow_input_is_refused_by_its_progress(self):
        """Guards against requests that stay open with a byte now and then, and against
        the end of large uploads that go on."""
        self.assertEqual("slow_head", self.refusal(4.1, 4.0, 0, is_head=True))
        self.assertIsNone(self.refusal(3.9, 0.0, 0, is_head=True))
        self.assertIsNone(self.refusal(15.9, 0.0, 0))
        self.assertIsNone(self.refusal(60.0, 59.0, 6_000))
        self.assertEqual("slow_body", self.refusal(60.0, 59.0, 5_000))
        self.assertEqual("slow_body", self.refusal(60.0, 44.0, 60_000))


class TurnsTest(unittest.TestCase):
    def test_much_input_is_divided_over_iterations(self):
        """Guards against input that occupies the loop for seconds."""
        calls, resumed = [], []
        turns = InputTurns(calls.append)
        self.assertTrue(turns.note(0.004))
        for number in range(20):
            self.assertFalse(turns.note(0.008))
            turns.wait(lambda number=number: resumed.append(number))
        self.assertEqual(1, len(calls))
        calls.pop()()
        self.assertEqual(list(range(RESUMED_CONNECTIONS)), resumed)
        self.assertTrue(turns.note(0.004))
        while calls:
            calls.pop()()
        self.assertEqual(list(range(20)), resumed)
        self.assertEqual(0.008, turns.longest_s)


class RefusalLimitTest(unittest.TestCase):
    def test_log_lines_are_bounded_by_reason(self):
        """Guards against a crowd of clients that fills the log."""
        limit = RefusalLimit()
        lines = [limit.note("a", now / 100) for now in range(250)]
        self.assertEqual([1, 100, 100], [line for line in lines if line])
        self.assertEqual(1, limit.note("b", 2.5))


if __name__ == "__main__":
    unittest.main()
