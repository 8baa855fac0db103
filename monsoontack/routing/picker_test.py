"""Tests of the selection of a backend server."""

import random
import unittest

from monsoontack.core.records import (
    BackendServer,
    LoadReport,
    Place,
    RouteRequest,
    ServerState,
)
from monsoontack.routing.calltimes import MIN_CALLS, CallTimes
from monsoontack.routing.linkbudget import EntryLinkBudget
from monsoontack.routing.picker import Picker

HERE = Place("ub-songino", "Ulaanbaatar")
NEAR = Place("ub-bayanzurkh", "Ulaanbaatar")
FAR = Place("darkhan-uul", "Darkhan")


def state(name, place=HERE, running=0, **changes):
    server = BackendServer(name, f"vm-{name}", "engine", "desk", ("v1",), place, 4)
    return ServerState(server, LoadReport(running, 0, 4, 0.0), **changes)


def end_calls(times, durations_s):
    """Let calls of these durations end at a server that is not asked in the tests."""
    service = times.of_service("desk")
    for took_s in durations_s:
        service.end("other", service.begin("other", 0.0), took_s, True)


def uneven_times():
    """Return times of which some are 2.5 times as long as the others."""
    times = CallTimes()
    end_calls(times, [0.1, 0.1, 0.1, 0.25] * MIN_CALLS)
    return times


def pick_many(picker, servers, count=200, at=0.0, **fields):
    rng = random.Random(7)
    request = RouteRequest("desk", "v1", "account", **fields)
    results = [picker.pick(request, servers, at, rng) for _ in range(count)]
    return {result.unwrap().address for result in results}


class PickerTest(unittest.TestCase):
    def test_leaving_and_excluded_get_no_work(self):
        """Guards against requests to a leaving server or retries on an excluded one."""
        servers = [state("a", leaving=True), state("b"), state("c")]
        chosen = pick_many(Picker.for_place(HERE), servers, excluded=frozenset({"c"}))
        self.assertEqual({"b"}, chosen)

    def test_nearest_group_with_room(self):
        """Guards against needless traffic to another failure domain or region."""
        near, far = state("near", NEAR), state("far", FAR)
        picker = Picker.for_place(HERE)
        self.assertEqual({"here"}, pick_many(picker, [state("here"), near, far]))
        full = state("here", running=4)
        self.assertIn("near", pick_many(picker, [full, near, far]))
        self.assertNotIn("far", pick_many(picker, [full, near, far]))
        self.assertEqual({"far"}, pick_many(picker, [far]))

    def test_calls_leave_a_slow_spell(self):
        """Load: servers take 2.5 times as long for 600 ms; guards against calls that
        wait for the server of the own failure domain while others are idle."""
        servers = [state("here", in_flight=1), state("near", NEAR), state("far", FAR)]
        picker = Picker.for_place(HERE)
        picker.times = uneven_times()
        self.assertEqual({"near"}, pick_many(picker, servers, at=0.0))
        idle = [state("here"), *servers[1:]]
        self.assertEqual({"here"}, pick_many(picker, idle, at=0.0))

    def test_slow_server_of_the_own_domain_is_left(self):
        """Guards against calls to a server whose call in flight is overdue."""
        picker = Picker.for_place(HERE)
        picker.times = uneven_times()
        here, near = state("here"), state("near", NEAR)
        picker.times.of_service("desk").begin(here.server.start_key, 0.0)
        self.assertEqual({"here"}, pick_many(picker, [here, near], at=0.01))
        self.assertEqual({"near"}, pick_many(picker, [here, near], at=0.3))

    def test_other_region_helps_a_busy_one_within_the_link_budget(self):
        """Load: bursts of calls in one region; guards against calls that queue there
        while the other region is idle, and against a link that is used up."""
        servers = [state("here", running=3), state("near", NEAR, running=3)]
        picker = Picker(HERE, EntryLinkBudget.for_entries(1000, 0.0))
        picker.times = uneven_times()
        servers.append(state("far", FAR))
        chosen = pick_many(picker, servers, 50, at=0.0, request_bytes=1000)
        self.assertIn("far", chosen)
        self.assertIn("here", chosen)

    def test_hung_server_is_left_although_calls_are_equal(self):
        """Load: a server hangs; guards against calls that follow those that hang there
        until it counts as full."""
        equal = CallTimes()
        end_calls(equal, [0.1] * 2 * MIN_CALLS)
        picker = Picker.for_place(HERE)
        picker.times = equal
        here, near = state("here", in_flight=1), state("near", NEAR)
        equal.of_service("desk").begin(here.server.start_key, 0.0)
        self.assertEqual({"here"}, pick_many(picker, [here, near], at=0.2))
        self.assertEqual({"near"}, pick_many(picker, [here, near], at=0.5))

    def test_equal_times_choose_as_before(self):
        """Guards against another choice only because the calls were measured."""
        equal = CallTimes()
        end_calls(equal, [0.1] * 2 * MIN_CALLS)
        servers = [state("here", running=2), state("near", NEAR), state("far", FAR)]
        picker = Picker.for_place(HERE)
        before = pick_many(picker, servers)
        picker.times = equal
        self.assertEqual(before, pick_many(picker, servers))

    def test_own_requests_since_the_report_count(self):
        """Guards against a burst to the server with the least reported load."""
        busy = state("a", sent_since_report=3)
        servers = [busy, state("b", running=1)]
        self.assertEqual({"b"}, pick_many(Picker.for_place(HERE), servers))

    def test_prefix_affinity_with_bounded_load(self):
        """Guards against cold caches and a hot prefix that overloads one server."""
        servers = [state(name) for name in "abcdef"]
        picker = Picker.for_place(HERE)
        (owner,) = pick_many(picker, servers, prefix_blocks=(1, 2, 3, 4, 5))
        others = [s for s in servers if s.server.address != owner]
        hot = [state(owner, running=4), *others]
        self.assertNotIn(owner, pick_many(picker, hot, prefix_blocks=(1, 2, 3, 4, 5)))
        picker.prefixes.note_sent("b", (7, 8))
        self.assertEqual({"b"}, pick_many(picker, servers, prefix_blocks=(7, 8, 9)))

    def test_ejected_and_returning(self):
        """Guards against requests to an ejected server and a flood on its return."""
        picker, rng = Picker.for_place(HERE), random.Random(5)
        servers = [state("back"), state("b", running=2), state("c", running=2)]
        for server_state in servers:
            picker.ejection.add(
                server_state.server.start_key, "desk", 0.0, needs_slow_start=False
            )
        for _ in range(3):
            picker.ejection.record_failure("back@0", 0.0, rng)
        request = RouteRequest("desk", "v1", "account")

        def count_back(now):
            picks = [picker.pick(request, servers, now, rng) for _ in range(1000)]
            return sum(pick.unwrap().address == "back" for pick in picks)

        self.assertEqual(0, count_back(1.0))
        end = picker.ejection.health["back@0"].ejected_until
        self.assertTrue(0 < count_back(end) < 100)
        self.assertGreater(count_back(end + 29), 400)

    def test_other_region_only_within_the_budget(self):
        """Guards against an overloaded paid link when the own region is full."""
        picker = Picker.for_place(HERE)
        picker.link_budget = EntryLinkBudget.for_entries(
            1, 0.0, link_bytes_per_s=1000.0
        )
        full, far = state("here", running=4), state("far", FAR)
        request = RouteRequest("desk", "v1", "account", request_bytes=250)
        rng = random.Random(2)
        picks = [picker.pick(request, [full, far], 0.0, rng) for _ in range(6)]
        names = [pick.unwrap().address for pick in picks]
        self.assertEqual(["far"] * 3 + ["here"] * 3, names)
        error = picker.pick(request, [far], 0.0, rng).failure()
        self.assertEqual("link_budget_exhausted", error.code)
        self.assertEqual(750, picker.link_budget.sent["request"])

    def test_no_server(self):
        """Guards against a refusal without a retry time or with a wrong run state."""
        request = RouteRequest("desk", "v2", "account")
        picker = Picker.for_place(HERE)
        error = picker.pick(request, [state("a")], 0.0, random.Random(1))
        self.assertEqual("no_backend_server", error.failure().code)
        self.assertEqual("not_run", error.failure().run_state)
        self.assertGreater(error.failure().retry_after_s, 0)


if __name__ == "__main__":
    unittest.main()
