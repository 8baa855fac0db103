"""Tests of a store that is restored from a copy, with several gateway processes."""

import asyncio
import signal
import tempfile
import unittest
from pathlib import Path

import aiohttp

from standins.directengine import DirectEngine
from standins.gatewayprocess import KEY, GatewayProcess, config, route
from standins.platformstore import SimulatedPlatformStore

GATEWAY_COUNT = 3
MEMORY_MB = 200
REVOKED_KEY = "key-2"
# The users' bounds: a change is in force, and a store's return is noticed, within these
# times; keys are refused when nothing was confirmed for 3.5 s.
APPLY_S = 2.5
KEYS_TRUSTED_S = 3.5
OUTAGE_S = 0.5
NEW_ROUTE = "/later/a"


def later_config(version, keys=(KEY,), name="later"):
    """Return a configuration with a further route."""
    document = config(version, keys)
    document["routes"].append(route(name, f"/{name}/", "idempotent", "desk"))
    return document


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.now = asyncio.get_running_loop().time
        self.store = SimulatedPlatformStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.close)
        for name, service, zone in (
            ("desk-1", "desk", "zone-a"),
            ("desk-2", "desk", "zone-b"),
            ("plan-1", "planner", "zone-a"),
        ):
            engine = DirectEngine(name, event_count=5)
            await engine.start()
            self.addAsyncCleanup(engine.close)
            self.store.put("servers", name, engine.entry(service, zone))
        self.store.put("config", "main", config(1, (KEY, REVOKED_KEY)))
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.gateways = []
        for number in range(GATEWAY_COUNT):
            gateway = GatewayProcess.write_settings(
                self.store, {}, Path(folder), MEMORY_MB, name=f"gateway-{number}"
            )
            self.gateways.append(gateway)
            self.addAsyncCleanup(gateway.stop)
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        self.request_count = 0

    async def status(self, gateway, path, key=KEY):
        """Return the status of a call, 0 if the connection broke."""
        self.request_count += 1
        try:
            found, *_ = await gateway.call(path, f"id-{self.request_count}", key)
        except aiohttp.ClientError:
            return 0
        return found

    async def statuses(self, path, key=KEY):
        return [await self.status(gateway, path, key) for gateway in self.gateways]

    async def wait_for(self, path, status, seconds, key=KEY):
        """Wait until all gateways answer with a status; fail after `seconds`."""
        until, found = self.now() + seconds, []
        while self.now() < until:
            found = await self.statuses(path, key)
            if set(found) == {status}:
                return
            await asyncio.sleep(0.1)
        self.fail(f"{path} still has {found} after {seconds} s")

    async def restore(self, stored):
        """Let the store be away for a moment and come back from a copy."""
        self.store.error_status = 503
        await asyncio.sleep(OUTAGE_S)
        self.store.restore(stored)
        self.store.error_status = None

    async def check_served(self, path, seconds):
        """Check that all gateways serve a route all the time."""
        until = self.now() + seconds
        while self.now() < until:
            self.assertEqual({200}, set(await self.statuses(path)))
            await asyncio.sleep(0.1)

    async def test_service_goes_on_without_a_new_configuration(self):
        """Guards against an outage until the operator writes the next change."""
        stored = self.store.take_copy()
        self.store.put("config", "main", later_config(2))
        await self.wait_for(NEW_ROUTE, 200, APPLY_S)
        await self.restore(stored)
        await self.check_served(NEW_ROUTE, 2 * KEYS_TRUSTED_S)

    async def test_change_with_a_revision_given_out_again_is_in_force(self):
        """Guards against a change that is missed since its revision is an old one."""
        stored = self.store.take_copy()
        self.store.put("config", "main", later_config(2))
        await self.wait_for(NEW_ROUTE, 200, APPLY_S)
        await self.restore(stored)
        await asyncio.sleep(1.0)
        self.store.put("config", "main", later_config(3, name="newest"))
        await self.wait_for("/newest/a", 200, APPLY_S)
        await self.wait_for(NEW_ROUTE, 404, APPLY_S)

    async def test_two_restorations_in_a_row(self):
        """Guards against a store that is trusted again only once."""
        first = self.store.take_copy()
        self.store.put("config", "main", later_config(2))
        await self.wait_for(NEW_ROUTE, 200, APPLY_S)
        await self.restore(first)
        await asyncio.sleep(0.6)
        await self.restore(first)
        await self.check_served(NEW_ROUTE, 2 * KEYS_TRUSTED_S)
        self.store.put("config", "main", later_config(3, name="newest"))
        await self.wait_for("/newest/a", 200, APPLY_S)

    async def test_restarted_gateway_learns_what_the_store_has_lost(self):
        """Guards against a revoked key or a former route that a gateway which starts
        after the restoration reads from the copy."""
        stored = self.store.take_copy()
        self.store.put("config", "main", later_config(2))
        await self.wait_for(NEW_ROUTE, 200, APPLY_S)
        await self.wait_for("/look/a", 401, APPLY_S, REVOKED_KEY)
        await self.restore(stored)
        for gateway in self.gateways[:2]:
            gateway.signal(signal.SIGKILL)
            await gateway.process.wait()
            await gateway.start()
            self.assertEqual(401, await self.status(gateway, "/look/a", REVOKED_KEY))
            self.assertEqual(200, await self.status(gateway, NEW_ROUTE))

    async def test_gateways_and_engines_write_themselves_again(self):
        """Guards against gateways that nobody knows any more, and against engines that
        are given up before they could write their records again."""
        entries = self.store.kinds.pop("entries")
        self.assertEqual(GATEWAY_COUNT, len(entries))
        lost = self.store.kinds["servers"].pop("desk-2")
        stored = self.store.take_copy()
        self.store.kinds |= {"entries": entries}
        self.store.kinds["servers"]["desk-2"] = lost
        await self.restore(stored)
        await asyncio.sleep(1.0)
        for gateway in self.gateways:
            async with gateway.http.get(f"{gateway.operator}/state") as answer:
                servers = {s["server"] for s in (await answer.json())["servers"]}
            self.assertIn("desk-2", servers)
        self.store.put("servers", "desk-2", lost["spec"])
        until = self.now() + 10.0
        while self.now() < until and len(self.store.kinds.get("entries", {})) < 3:
            await asyncio.sleep(0.1)
        self.assertEqual(GATEWAY_COUNT, len(self.store.kinds.get("entries", {})))


if __name__ == "__main__":
    unittest.main()
