"""Tests of the choice of a backend server."""

import random
import unittest

from monsoontack.core.records import (
    BackendServer,
    LoadReport,
    Place,
    RouteRequest,
    ServerState,
)
from monsoontack.routing.picker import Picker

HERE = Place("ub-songino", "Ulaanbaatar")
NEAR = Place("ub-bayanzurkh", "Ulaanbaatar")
FAR = Place("darkhan-uul", "Darkhan")


def state(name, place=HERE, held=0, **changes):
    server = BackendServer(name, f"vm-{name}", "engine", "desk", ("v1",), place, 4)
    return ServerState(server, LoadReport(held, 0, 4, 0.0), **changes)


def pick_many(picker, servers, count=200, **fields):
    rng = random.Random(7)
    request = RouteRequest("desk", "v1", "account", **fields)
    results = [picker.pick(request, servers, 0.0, rng) for _ in range(count)]
    return {result.unwrap().address for result in results}


class PickerTest(unittest.TestCase):
    def test_leaving_and_excluded_get_no_work(self):
        """Guards against new work for a leaving server or a second try on one."""
        servers = [state("a", leaving=True), state("b"), state("c")]
        chosen = pick_many(Picker(HERE), servers, excluded=frozenset({"c"}))
        self.assertEqual({"b"}, chosen)

    def test_nearest_group_with_room(self):
        """Guards against needless traffic to another failure domain or region."""
        near, far = state("near", NEAR), state("far", FAR)
        picker = Picker(HERE)
        self.assertEqual({"here"}, pick_many(picker, [state("here"), near, far]))
        full = state("here", held=4)
        self.assertIn("near", pick_many(picker, [full, near, far]))
        self.assertNotIn("far", pick_many(picker, [full, near, far]))
        self.assertEqual({"far"}, pick_many(picker, [far]))

    def test_own_requests_since_the_report_count(self):
        """Guards against a burst onto the server that reported the least load."""
        busy = state("a", sent_since_report=3)
        self.assertEqual({"b"}, pick_many(Picker(HERE), [busy, state("b", held=1)]))

    def test_no_server(self):
        """Guards against a refusal without retry time or with a wrong run state."""
        request = RouteRequest("desk", "v2", "account")
        error = Picker(HERE).pick(request, [state("a")], 0.0, random.Random(1))
        self.assertEqual("no_backend_server", error.failure().code)
        self.assertEqual("not_run", error.failure().run_state)
        self.assertGreater(error.failure().retry_after_s, 0)


if __name__ == "__main__":
    unittest.main()
