"""Tests of routing as the entry uses it."""

import random
import unittest

from monsoontack.core.records import (
    BackendServer,
    LoadReport,
    Place,
    RouteRequest,
    ServerState,
)
from monsoontack.entry.routedpicker import RoutedPicker, prefix_blocks
from monsoontack.routing.ejection import FAILURES_TO_EJECT
from standins import answers

PLACE = Place("a", "r")


def server(address):
    backend = BackendServer(address, address, "engine", "s", ("v1",), PLACE, slots=4)
    return ServerState(backend, LoadReport(0, 0, 4, 0.0))


class RoutedPickerTest(unittest.TestCase):
    def setUp(self):
        self.rng = random.Random(3)
        self.picker = RoutedPicker(PLACE, self.rng)
        self.servers = [server("a"), server("b"), server("c")]
        for state in self.servers:
            self.picker.on_link_up(state.server.address, "s", 0.0)

    def pick(self, blocks=(), now=1.0):
        request = RouteRequest("s", "v1", "account", prefix_blocks=blocks)
        return self.picker.pick(request, self.servers, now, self.rng).address

    def test_failing_server_is_ejected(self):
        """Guards against requests that go on to a server that fails them all."""
        for _ in range(FAILURES_TO_EJECT):
            self.picker.record("a", True, 1.0)
        self.assertNotIn("a", {self.pick() for _ in range(50)})

    def test_prefix_stays_with_its_server(self):
        """Guards against a conversation that loses its cached prefix."""
        blocks = prefix_blocks({"prompt": "x" * 300})
        first = self.pick(blocks)
        self.assertEqual({first}, {self.pick(blocks) for _ in range(20)})

    def test_blocks_are_those_of_engines(self):
        """Guards against block hashes that no cache event ever names."""
        chat = {"messages": [{"role": "user", "content": "y" * 200}]}
        for document in (chat, {"prompt": "z" * 130}):
            expected = answers.prefix_blocks(answers.prompt_text(document))
            self.assertEqual(tuple(expected), prefix_blocks(document))
            self.assertGreater(len(expected), 1)

    def test_no_server_has_the_version(self):
        """Guards against an exception where routing finds no server."""
        request = RouteRequest("s", "v9", "account")
        self.assertIsNone(self.picker.pick(request, self.servers, 1.0, self.rng))

    def test_forgets_servers_that_left(self):
        """Guards against routing state that grows with every replaced VM."""
        self.picker.update_fleet({"b"}, 2, 1.0)
        self.assertEqual({"b"}, set(self.picker.services))
        self.assertEqual({"b"}, set(self.picker.picker.ejection.health))


if __name__ == "__main__":
    unittest.main()
