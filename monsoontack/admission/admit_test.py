"""Tests of admission and fair shares."""

import math
import random
import unittest

from returns.result import Success

from monsoontack.admission.admit import MAX_RETRY_S, Admission
from monsoontack.admission.fairshare import water_level
from monsoontack.config.view import AccountConfig
from monsoontack.core.records import BackendServer, LoadReport, Place, ServerState

PLACE = Place("almaty-a", "Almaty")


def servers(held, slots=16, leaving=False):
    server = BackendServer("a", "vm-a", "engine", "desk", ("v1",), PLACE, slots)
    return [ServerState(server, LoadReport(held, 0, slots, 0.0), leaving=leaving)]


class Model:
    """One server whose requests all take `hold_s`; callers retry as told."""

    def __init__(self, weights, hold_s=1.0, slots=16, seed=11):
        accounts = {n: AccountConfig(n, (), weight=w) for n, w in weights.items()}
        self.admission = Admission(accounts=accounts)
        self.rng = random.Random(seed)
        self.hold_s, self.slots = hold_s, slots
        self.running, self.done, self.errors = [], dict.fromkeys(weights, 0), []
        self.offered = dict.fromkeys(weights, 0)
        self.held_at_refusal = []

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
            self.running.append((now + self.hold_s, result.unwrap()))
        else:
            self.errors.append(result.failure())
            self.held_at_refusal.append(len(self.running))


class AdmissionTest(unittest.TestCase):
    def test_everybody_is_admitted_below_capacity(self):
        """Guards against refusals while slots are free, also to one account."""
        model = Model({"big": 1.0, "small": 1.0})
        model.run({"big": 10.0, "small": 1.0}, 60)
        self.assertEqual([], [held for held in model.held_at_refusal if held < 16])
        self.assertLess(len(model.errors), 0.05 * model.offered["big"])

    def test_small_account_keeps_its_share_in_overload(self):
        """Guards against large accounts that push a small one out."""
        served = []
        for seed in range(6):
            model = Model({"big": 1.0, "huge": 1.0, "small": 1.0}, seed=seed)
            model.run({"big": 20.0, "huge": 60.0, "small": 3.0}, 120)
            served.append(model.done["small"] / model.offered["small"])
            self.assertLess(model.done["huge"], 0.25 * model.offered["huge"])
            self.assertLess(abs(model.done["big"] / model.done["huge"] - 1), 0.2)
        # Its random peaks reach beyond its share, so a few are refused.
        self.assertGreater(sum(served) / len(served), 0.85)
        self.assertGreater(min(served), 0.8)

    def test_weights(self):
        """Guards against shares that ignore the weights."""
        model = Model({"one": 1.0, "three": 3.0})
        model.run({"one": 40.0, "three": 40.0}, 120)
        self.assertAlmostEqual(3.0, model.done["three"] / model.done["one"], delta=0.6)

    def test_many_accounts_take_turns(self):
        """Guards against refusing everybody when a share is below one request."""
        names = [f"a{index}" for index in range(100)]
        model = Model(dict.fromkeys(names, 1.0))
        model.run(dict.fromkeys(names, 0.4), 120)
        self.assertGreater(sum(model.done.values()), 0.9 * 16 * 120)
        self.assertGreater(min(model.done.values()), 0)

    def test_refusal_is_honest_and_immediate(self):
        """Guards against a wrong run state and against a synchronised retry."""
        model = Model({"big": 1.0})
        model.run({"big": 64.0}, 10)
        error = model.errors[0]
        self.assertEqual(("overloaded", "not_run"), (error.code, error.run_state))
        times = {error.retry_after_s for error in model.errors}
        self.assertGreater(len(times), 0.5 * len(model.errors))
        self.assertLessEqual(max(times), MAX_RETRY_S)

    def test_caller_that_waits_as_told_is_admitted(self):
        """Guards against a retry time after which there is no room either."""
        model = Model({"big": 1.0})
        for _ in range(40):
            model.offer("big", 0.0)
        waits = sorted(error.retry_after_s for error in model.errors)
        model.errors.clear()
        for wait_s in waits:
            model.run({}, 0)
            while model.running and model.running[0][0] <= wait_s:
                model.admission.release(model.running.pop(0)[1], wait_s)
            model.offer("big", wait_s)
        self.assertLessEqual(len(model.errors), 0.2 * len(waits))

    def test_leaving_servers_give_no_room(self):
        """Guards against admission on slots that will not take the work."""
        rng = random.Random(1)
        view = servers(0, leaving=True)
        error = Admission().request("a", "desk", view, 0.0, rng).failure()
        self.assertEqual("no_backend_server", error.code)
        self.assertIsNotNone(error.retry_after_s)

    def test_release_counts_once(self):
        """Guards against shares that drift when a request ends twice."""
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
