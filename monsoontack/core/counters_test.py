"""Tests of the counters sent to statsd."""

import socket
import unittest

from monsoontack.core.counters import Counters


class CountersTest(unittest.TestCase):
    def test_flush_sends_each_change_once(self):
        """Guards against increments that are sent twice or not at all."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
            receiver.bind(("127.0.0.1", 0))
            receiver.settimeout(60)
            address = f"127.0.0.1:{receiver.getsockname()[1]}"
            counters = Counters.from_address(address, "agent")
            counters.add("frames", 2)
            counters.add("tokens", 0)
            counters.flush()
            self.assertEqual(b"agent.frames:2|c", receiver.recv(2000))
            counters.add("frames")
            counters.flush()
            self.assertEqual(b"agent.frames:1|c", receiver.recv(2000))
            self.assertEqual({"frames": 3}, dict(counters.totals))
            counters.client.close()


if __name__ == "__main__":
    unittest.main()
