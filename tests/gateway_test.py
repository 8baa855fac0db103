"""Tests of a gateway process on loopback, against simulated servers and store."""

import asyncio
import json
import signal
import unittest
from pathlib import Path

from standins.directengine import make_event
from standins.gatewayprocess import KEY, GatewayProcess, config

COMPLETE_STREAM = b"".join(make_event(number) for number in range(1, 51))
WAIT_TIMEOUT_S = 30.0


class GatewayTest(unittest.IsolatedAsyncioTestCase):
    async def start_gateway(self, **options):
        self.gateway = await self.enterAsyncContext(GatewayProcess.started(**options))
        return self.gateway

    async def wait_until(self, condition):
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.05)

    def count_runs(self, request_id):
        engines = self.gateway.engines.values()
        return sum(run[0] == request_id for engine in engines for run in engine.runs)

    async def test_calls_and_streams_reach_their_servers(self):
        """Guards against errors in the routing, keys, headers or bodies of requests."""
        gateway = await self.start_gateway()
        status, headers, body = await gateway.call("/once/a", "r1", data=b"x" * 50_000)
        self.assertEqual(200, status)
        name = headers["X-Monsoontack-Origin-Stamp"]
        self.assertEqual(f"done by {name} for r1".encode(), body)
        request_id, sent, received = gateway.engines[name].runs[0]
        self.assertEqual(("r1", b"x" * 50_000), (request_id, received))
        self.assertEqual(b"shop", sent[b"x-monsoontack-tenant"])
        self.assertNotIn(b"authorization", sent)
        self.assertLessEqual(int(sent[b"x-monsoontack-deadline-ms"]), 5000)
        status, _, body = await gateway.stream("r2")
        self.assertEqual((200, COMPLETE_STREAM), (status, body))
        self.assertEqual(401, (await gateway.call("/look/a", "r3", key="no"))[0])
        self.assertEqual(404, (await gateway.call("/none/a", "r4"))[0])

    async def test_stream_continues_after_an_engine_crash(self):
        """Guards against a truncated stream, and missing or repeated events."""
        gateway = await self.start_gateway()
        for name in ("plan-1", "plan-2"):
            gateway.engines[name].behavior = "die"
        status, _, body = await gateway.stream("r1")
        self.assertEqual((200, COMPLETE_STREAM), (status, body))
        self.assertEqual(2, self.count_runs("r1"))

    async def test_stream_waits_for_silent_engines_when_no_attempt_is_left(self):
        """Guards against a stream that is cut before its deadline because all engines
        fall silent for a second or two and go on."""
        gateway = await self.start_gateway()
        document = config(2)
        for route in document["routes"]:
            route["attempts"] = 1
        gateway.store.put("config", "main", document)
        await self.wait_until(
            lambda: any(b'"version":2' in line for line in gateway.log)
        )
        stream = asyncio.ensure_future(gateway.stream("r1"))
        await asyncio.sleep(0.5)
        silent_until = asyncio.get_running_loop().time() + 1.8
        for engine in gateway.engines.values():
            engine.silent_until = silent_until
        status, _, body = await stream
        self.assertEqual((200, COMPLETE_STREAM), (status, body))
        self.assertEqual(1, self.count_runs("r1"))

    async def test_non_idempotent_call_with_a_lost_answer_runs_once(self):
        """Guards against a call that runs twice, and a false run state "not_run"."""
        gateway = await self.start_gateway()
        for name in ("desk-1", "desk-2"):
            gateway.engines[name].behavior = "reset"
        status, _, body = await gateway.call("/once/a", "r1")
        self.assertEqual(502, status)
        self.assertEqual("unknown", json.loads(body)["error"]["run_state"])
        self.assertEqual(1, self.count_runs("r1"))

    async def test_call_to_overloaded_servers_gets_retry_after(self):
        """Guards against a wait until the deadline, and a Retry-After of zero."""
        gateway = await self.start_gateway()
        for name in ("desk-1", "desk-2"):
            gateway.engines[name].behavior = "shed"
        status, headers, _ = await gateway.call("/once/a", "r1")
        self.assertEqual(503, status)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertEqual(0, self.count_runs("r1"))

    async def test_caller_disconnect_cancels_the_request(self):
        """Guards against engine work for a caller that has disconnected."""
        gateway = await self.start_gateway()
        for name in ("desk-1", "desk-2"):
            gateway.engines[name].behavior = "hang"
        with self.assertRaises(asyncio.TimeoutError):
            async with asyncio.timeout(0.2):
                await gateway.call("/look/a", "r1")
        engines = gateway.engines
        await self.wait_until(
            lambda: (
                engines["desk-1"].disconnected_requests
                or engines["desk-2"].disconnected_requests
            )
        )

    async def test_revoked_key_is_rejected_with_and_without_the_store(self):
        """Guards against keys that are accepted after their revocation."""
        gateway = await self.start_gateway()
        self.assertEqual(200, (await gateway.call("/look/a", "r1"))[0])
        gateway.store.put("config", "main", config(2, keys=()))
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while (await gateway.call("/look/a", "r2"))[0] != 401:
                await asyncio.sleep(0.1)
        gateway.store.put("config", "main", config(3))
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while (await gateway.call("/look/a", "r3"))[0] != 200:
                await asyncio.sleep(0.1)
        gateway.store.error_status = 503
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while (await gateway.call("/look/a", "r4"))[0] != 503:
                await asyncio.sleep(0.1)
        self.assertEqual(200, (await gateway.call("/open/a", "r5", key=None))[0])
        self.assertFalse(await gateway.is_ready())
        gateway.store.error_status = None
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while (await gateway.call("/look/a", "r6"))[0] != 200:
                await asyncio.sleep(0.1)

    async def test_draining_server_gets_no_new_requests(self):
        """Guards against requests to a server after it has announced its drain."""
        gateway = await self.start_gateway()
        entry = gateway.engines["desk-1"].entry("desk", "zone-a")
        gateway.store.put("servers", "desk-1", entry | {"state": "draining"})
        await self.wait_until(
            lambda: any(
                b'"server":"desk-1"' in line and b"left" in line for line in gateway.log
            )
        )
        runs_before = len(gateway.engines["desk-1"].runs)
        for number in range(10):
            self.assertEqual(200, (await gateway.call("/look/a", f"r{number}"))[0])
        self.assertEqual(runs_before, len(gateway.engines["desk-1"].runs))

    async def test_shutdown_drains_requests_and_fails_readiness(self):
        """Guards against requests that a restart aborts."""
        gateway = await self.start_gateway()
        gateway.engines["desk-1"].work_s = gateway.engines["desk-2"].work_s = 1.5
        running_request = asyncio.ensure_future(gateway.call("/once/a", "r1"))
        await self.wait_until(lambda: self.count_runs("r1"))
        gateway.signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        self.assertFalse(await gateway.is_ready())
        status, headers, _ = await running_request
        self.assertEqual(200, status)
        self.assertEqual("close", headers.get("Connection", "").lower())
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            self.assertEqual(0, await gateway.process.wait())

    async def test_request_at_the_end_of_a_drain_is_rejected_and_not_aborted(self):
        """Guards against requests accepted just before the process ends.

        Found in a generated day of the site zhol-kopiri (seed 214981837856): the load
        balancer kept sending requests to the entries while all of them drained.
        """
        gateway = await self.start_gateway()
        for name in ("desk-1", "desk-2"):
            gateway.engines[name].behavior = "hang"
        pending_request = asyncio.ensure_future(gateway.call("/once/a", "r1"))
        await self.wait_until(lambda: self.count_runs("r1"))
        gateway.signal(signal.SIGTERM)
        await asyncio.sleep(2.6)
        status, headers, _ = await gateway.call("/once/a", "r2")
        self.assertEqual(503, status)
        self.assertIn("Retry-After", headers)
        self.assertEqual(0, self.count_runs("r2"))
        await asyncio.gather(pending_request, return_exceptions=True)

    async def test_sighup_reloads_settings_and_ignores_an_invalid_file(self):
        """Guards against a process that SIGHUP or an invalid file terminates."""
        gateway = await self.start_gateway()
        text = gateway.settings.read_text()
        gateway.settings.write_text(
            text.replace("revoke_ms = 5000", "revoke_ms = 9000")
        )
        gateway.signal(signal.SIGHUP)
        await self.wait_until(
            lambda: any(b"settings reloaded" in line for line in gateway.log)
        )
        gateway.settings.write_text("broken = [")
        await self.wait_until(
            lambda: any(b"settings refused" in line for line in gateway.log)
        )
        self.assertEqual(200, (await gateway.call("/look/a", "r1"))[0])

    async def test_sighup_during_startup_is_harmless(self):
        """Guards against a process that SIGHUP terminates while it imports libraries.

        Found by soak seeds such as 108: a restarted gateway got a SIGHUP for changed
        settings before it had installed its signal handler.
        """
        gateway = await self.start_gateway()
        gateway.signal(signal.SIGKILL)
        await gateway.process.wait()
        await gateway.spawn()
        maps = Path(f"/proc/{gateway.process.pid}/maps")
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while "httptools" not in maps.read_text():
                await asyncio.sleep(0)
        gateway.signal(signal.SIGHUP)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not await gateway.is_ready():
                gateway.signal(signal.SIGHUP)
                await asyncio.sleep(0.01)
        self.assertIsNone(gateway.process.returncode)

    async def test_metrics_and_state_are_served(self):
        """Guards against missing metrics and state for an on-call engineer."""
        gateway = await self.start_gateway()
        await gateway.call("/look/a", "r1")
        async with gateway.http.get(f"{gateway.operator}/metrics") as answer:
            text = await answer.text()
        line = 'monsoontack_requests_total{kind="idempotent",outcome="answered"} 1.0'
        self.assertIn(line, text)
        async with gateway.http.get(f"{gateway.operator}/state") as answer:
            state = await answer.json()
        self.assertEqual(4, len(state["servers"]))
        self.assertEqual(1, state["config_version"])

    async def test_restart_after_a_kill_serves_again(self):
        """Guards against a restart that needs state other than that of the store."""
        gateway = await self.start_gateway()
        gateway.signal(signal.SIGKILL)
        await gateway.process.wait()
        await gateway.start()
        self.assertEqual(200, (await gateway.call("/look/a", "r1", key=KEY))[0])


if __name__ == "__main__":
    unittest.main()
