"""Tests of rollouts with real processes: entries, agents and stand-ins on loopback.

The limits of the waits only prevent a test from hanging. The deadline of the rollout
itself is part of the tests.
"""

import asyncio
import hashlib
import random
import time
import unittest

import aiohttp

from monsoontack.config.operator import get_objects
from monsoontack.config.revision import seed_store
from monsoontack.generation.eventid import version_of
from monsoontack.store.http import HttpStore
from standins.cluster import Cluster

KEY, SERVICE = "key-1", "writer"
GOOD_DEADLINE_S = 70.0
# Long enough that a bad version is detected first on a busy machine; with 50 s the
# rollout reached its deadline before.
BAD_DEADLINE_S = 160.0
WAIT_LIMIT_S = 200.0
CALLER_COUNT = 6


def configuration(deadline):
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    shares = {"kind": "engine", "shares": {"v1": 100}}
    versions = [
        {
            "kind": "Version",
            "name": f"{SERVICE}.{name}",
            "spec": {"service": SERVICE, "version": name, "weights_bytes": 1000},
        }
        for name in ("v1", "v2")
    ]
    rollout = {
        "service": SERVICE,
        "from_version": "v1",
        "to_version": "v2",
        "deadline_unix_s": deadline,
    }
    return [
        {"kind": "Service", "name": SERVICE, "spec": shares},
        *versions,
        {"kind": "Rollout", "name": "up", "spec": rollout},
        {"kind": "ClientAccount", "name": "a", "spec": {"key_digests": [digest]}},
    ]


class RolloutProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = await self.enterAsyncContext(Cluster.create())
        good = "good_version" in self._testMethodName
        self.deadline = time.time() + (GOOD_DEADLINE_S if good else BAD_DEADLINE_S)
        await self.cluster.start_platform(self.seed_platform)
        self.engines = [
            await self.cluster.start_engine(token_gap_s=0.002) for _ in range(3)
        ]
        for engine in self.engines:
            await self.cluster.start_agent(engine, service=SERVICE)
        self.entries = [
            await self.cluster.start_entry(rollout_min_step_s=2.0) for _ in range(3)
        ]
        self.failed, self.sent = 0, 0
        self.callers = [
            asyncio.ensure_future(self.send_requests(i)) for i in range(CALLER_COUNT)
        ]
        self.addCleanup(lambda: [caller.cancel() for caller in self.callers])

    async def seed_platform(self, url):
        self.store = HttpStore(url)
        self.addAsyncCleanup(self.store.close)
        (await seed_store(self.store, configuration(self.deadline))).unwrap()

    async def send_requests(self, number):
        """Send short requests to random entries, one after the other."""
        headers, rng = {"Authorization": f"Bearer {KEY}"}, random.Random(number)
        while True:
            entry = rng.choice(self.entries)
            body = {"model": SERVICE, "prompt": f"p{self.sent}", "max_tokens": 2}
            self.sent += 1
            try:
                url = f"{entry.url}/v1/completions"
                async with self.cluster.http.post(
                    url, json=body, headers=headers
                ) as response:
                    await response.read()
                    self.failed += response.status != 200
            except aiohttp.ClientError:
                await asyncio.sleep(0.1)
            await asyncio.sleep(0.05)

    async def rollout_status(self):
        result = await get_objects(self.store, "Rollout")
        (document,) = result.value_or([{"status": {}}])
        return document["status"]

    async def wait_until(self, condition):
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not await condition():
                await asyncio.sleep(0.2)

    async def wait_for_phase(self, *phases):
        async def reached():
            return (await self.rollout_status()).get("phase") in phases

        await self.wait_until(reached)
        return await self.rollout_status()

    async def wait_for_share(self, share):
        async def reached():
            return (await self.rollout_status()).get("share", 0) >= share

        await self.wait_until(reached)

    async def fail_requests_on_v2(self):
        fault = {"faults": [{"kind": "fail", "version": "v2"}]}
        for engine in self.engines:
            await self.cluster.set_faults(engine, fault)

    async def requests_on_v2(self):
        """Return the ids of the latest requests that engines started on v2."""
        reports = [
            await self.cluster.get_json(f"{e.url}/requests") for e in self.engines
        ]
        requests = [request for report in reports for request in report["seen"]]
        return {
            r["request_id"] for r in requests if version_of(r["request_id"]) == "v2"
        }

    async def find_lease_holder(self):
        for entry in self.entries:
            state = await self.cluster.state_of(entry)
            if state["control"]["lease_epoch"]:
                return entry
        return None

    async def all_entries_have_stop_marks(self):
        states = [await self.cluster.state_of(e) for e in self.entries]
        return all(state["control"]["stop_marks"] for state in states)

    async def test_good_version_finishes_though_the_holder_is_killed(self):
        """Guards against a lease takeover that loses, restarts or stops a rollout."""
        await self.wait_for_share(25)
        holder = await self.find_lease_holder()
        self.entries.remove(holder)
        holder.kill()
        status = await self.wait_for_phase("complete", "rolled_back")
        self.assertEqual("complete", status["phase"], status["reason"])
        self.assertLess(time.time(), self.deadline)
        self.assertEqual(100.0, status["share"])

    async def test_bad_version_is_rolled_back_though_the_holder_is_killed(self):
        """Guards against a rollback that depends on the controller that started it."""
        await self.wait_for_share(25)
        await self.fail_requests_on_v2()
        holder = await self.find_lease_holder()
        self.entries.remove(holder)
        holder.kill()
        status = await self.wait_for_phase("complete", "rolled_back")
        self.assertEqual("rolled_back", status["phase"])
        self.assertIn("failed on v2", status["reason"])
        await self.wait_until(self.all_entries_have_stop_marks)

    async def test_bad_version_is_stopped_while_the_object_api_is_down(self):
        """Guards against a stop that depends on the object API."""
        await self.wait_for_share(25)
        await self.cluster.set_faults(self.cluster.store, {"outage": True})
        await self.fail_requests_on_v2()
        await self.wait_until(self.all_entries_have_stop_marks)
        await asyncio.sleep(3.0)
        before, sent = await self.requests_on_v2(), self.sent
        await asyncio.sleep(3.0)
        self.assertEqual(set(), await self.requests_on_v2() - before)
        self.assertGreater(self.sent, sent)
        await self.cluster.set_faults(self.cluster.store, {"outage": False})
        status = await self.wait_for_phase("complete", "rolled_back")
        self.assertEqual("rolled_back", status["phase"])
        self.assertEqual(0.0, status["share"])


if __name__ == "__main__":
    unittest.main()
