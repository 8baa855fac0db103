"""Tests of admission control and fair shares."""

import math
import random
import unittest

from returns.result import Success

from monsoontack.admission.admit import MAX_RETRY_S, Admission
from monsoontack.admission.fairshare import water_level
from monsoontack.config.view import AccountConfig
from monsoontack.core.records import BackendServer, LoadReport, Place, ServerState

PLACE = Place("almaty-a", "Almaty")


def servers(running, slots=16, leaving=False):
    server = BackendServer("a", "vm-a", "engine", "desk", ("v1",), PLACE, slots)
    return [ServerState(server, LoadReport(running, 0, slots, 0.0), leaving=leaving)]


class AdmissionSimulation:
    """One server whose requests all take `duration_s`; refusals are recorded."""

    def __init__(self, weights, duration_s=1.0, slots=16, seed=11):
        accounts = {n: AccountConfig(n, (), weight=w) for n, w in weights.items()}
        self.admission = Admission(accounts=accounts)
        self.rng = random.Random(seed)
        self.duration_s, self.slots = duration_s, slots
        self.running, self.done, self.errors = [], dict.fromkeys(weights, 0), []
        self.offered = dict.fromkeys(weights, 0)
        self.running_at_refusal = []

    def run(self, rates, seconds, tick_s=0.01):
        """Offer `rates` requests a second per account for `seconds`."""
        for tick in range(int(seconds / tick_s)):
            now = tick * tick_s
            while self.running and self.running[0][0] <= now:
                _, ticket = self.running.pop(0)
                self.admission.release(ticket, now)
                self.done[ticket.account] += 1
            for account, rate in rates.items():
                if self.rng.random() < rate * tick_s:
                    self.offer(account, now)

    def offer(self, account, now):
        self.offered[account] += 1
        view = servers(len(self.running), self.slots)
        result = self.admission.request(account, "desk", view, now, self.rng)
        if isinstance(result, Success):
            self.running.append((now + self.duration_s, result.unwrap()))
        else:
            self.errors.append(result.failure())
            self.running_at_refusal.append(len(self.running))


class AdmissionTest(unittest.TestCase):
    def test_everybody_is_admitted_below_capacity(self):
        """Guards against refusals while slots are free, also for one large account."""
        simulation = AdmissionSimulation({"big": 1.0, "small": 1.0})
        simulation.run({"big": 10.0, "small": 1.0}, 60)
        self.assertEqual(
            [], [running for running in simulation.running_at_refusal if running < 16]
        )
        self.assertLess(len(simulation.errors), 0.05 * simulation.offered["big"])

    def test_small_account_keeps_its_share_in_overload(self):
        """Guards against large accounts that displace a small account."""
        served = []
        for seed in range(6):
            simulation = AdmissionSimulation(
                {"big": 1.0, "huge": 1.0, "small": 1.0}, seed=seed
            )
            simulation.run({"big": 20.0, "huge": 60.0, "small": 3.0}, 120)
            served.append(simulation.done["small"] / simulation.offered["small"])
            self.assertLess(simulation.done["huge"], 0.25 * simulation.offered["huge"])
            self.assertLess(
                abs(simulation.done["big"] / simulation.done["huge"] - 1), 0.2
            )
        # Random peaks of the small account exceed its share, so a few are refused.
        self.assertGreater(sum(served) / len(served), 0.85)
        self.assertGreater(min(served), 0.8)

    def test_weights(self):
        """Guards against shares that ignore the weights."""
        simulation = AdmissionSimulation({"one": 1.0, "three": 3.0})
        simulation.run({"one": 40.0, "three": 40.0}, 120)
        self.assertAlmostEqual(
            3.0, simulation.done["three"] / simulation.done["one"], delta=0.6
        )

    def test_many_accounts_take_turns(self):
        """Guards against refusing all accounts when a share is below one request."""
        names = [f"a{index}" for index in range(100)]
        simulation = AdmissionSimulation(dict.fromkeys(names, 1.0))
        simulation.run(dict.fromkeys(names, 0.4), 120)
        self.assertGreater(sum(simulation.done.values()), 0.9 * 16 * 120)
        self.assertGreater(min(simulation.done.values()), 0)

    def test_refusal_is_honest_and_immediate(self):
        """Guards against a wrong run state and against synchronised retries."""
        simulation = AdmissionSimulation({"big": 1.0})
        simulation.run({"big": 64.0}, 10)
        error = simulation.errors[0]
        self.assertEqual(("overloaded", "not_run"), (error.code, error.run_state))
        times = {error.retry_after_s for error in simulation.errors}
        self.assertGreater(len(times), 0.5 * len(simulation.errors))
        self.assertLessEqual(max(times), MAX_RETRY_S)

    def test_caller_that_waits_as_told_is_admitted(self):
        """Guards against a retry time at which the retry is refused again."""
        simulation = AdmissionSimulation({"big": 1.0})
        for _ in range(40):
            simulation.offer("big", 0.0)
        waits = sorted(error.retry_after_s for error in simulation.errors)
        simulation.errors.clear()
        for wait_s in waits:
            simulation.run({}, 0)
            while simulation.running and simulation.running[0][0] <= wait_s:
                simulation.admission.release(simulation.running.pop(0)[1], wait_s)
            simulation.offer("big", wait_s)
        self.assertLessEqual(len(simulation.errors), 0.2 * len(waits))

    def test_leaving_servers_give_no_room(self):
        """Guards against admission to slots of servers that refuse new work."""
        rng = random.Random(1)
        view = servers(0, leaving=True)
        error = Admission().request("a", "desk", view, 0.0, rng).failure()
        self.assertEqual("no_backend_server", error.code)
        self.assertIsNotNone(error.retry_after_s)

    def test_release_counts_once(self):
        """Guards against wrong counts when a ticket is released twice."""
        admission, rng = Admission(), random.Random(1)
        ticket = admission.request("a", "desk", servers(0), 0.0, rng).unwrap()
        resumed = admission.resume("a", "desk", 0.0)
        admission.release(ticket, 1.0)
        admission.release(ticket, 2.0)
        self.assertEqual(1, admission.services["desk"].shares.in_flight)
        admission.release(resumed, 2.0)
        self.assertEqual(0, admission.services["desk"].shares.in_flight)

    def test_account_maximum_is_divided_among_entries(self):
        """Guards against a limit that grows with the number of entries."""
        account = AccountConfig("a", (), max_concurrent=4)
        admission, rng = Admission(), random.Random(1)
        admission.configure({"a": account}, live_entries=2)
        results = [
            admission.request("a", "desk", servers(0), 0.0, rng) for _ in range(3)
        ]
        self.assertEqual(2, sum(isinstance(r, Success) for r in results))

    def test_water_level(self):
        """Guards against shares that leave capacity unused or exceed it."""
        self.assertEqual(4, water_level([(10, 1), (1, 1), (10, 1)], 9))
        self.assertEqual(math.inf, water_level([(1, 1), (2, 1)], 3))


if __name__ == "__main__":
    unittest.main()
