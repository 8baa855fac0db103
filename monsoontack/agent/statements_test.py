"""Tests of agents whose backend servers leave or ask for time."""

import asyncio
import unittest

from returns.result import Success

from monsoontack.agent.backend import CallRequest, EngineLoad
from monsoontack.agent.core_test import (
    EntryConnection,
    ScriptedEngine,
    ScriptedService,
    call_message,
    make_agent,
    start_message,
)
from monsoontack.agent.daemon import open_session
from monsoontack.agent.drain import Phase
from monsoontack.agent.enginehttp import HttpEngine
from monsoontack.agent.polls import poll_load
from monsoontack.agent.records import StartRequest
from monsoontack.agent.servicehttp import HttpService
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.proto import link_pb2 as pb

LEAVING = {"Server-Leaving": "1"}


class PolledEngine(ScriptedEngine):
    """Engine that records when its load is read."""

    def __init__(self):
        super().__init__()
        self.read_at = []

    async def read_load(self):
        self.read_at.append(asyncio.get_running_loop().time())
        return Success(EngineLoad(0, 0, 8, 0.0))


class LeavingTest(unittest.TestCase):
    def test_leaving_is_announced_and_new_work_is_refused(self):
        """Guards against starts, calls and orders at a server that is leaving, and
        against a running stream that ends since its server leaves."""

        async def scenario():
            agent = make_agent(ScriptedEngine(count=60))
            connection = EntryConnection(agent)
            connection.send(start=start_message("g"))
            await asyncio.sleep(0.1)
            agent.statements.note_response(200, LEAVING)
            await asyncio.sleep(0.1)
            self.assertTrue(connection.context.frames[-1][1].leaving)
            connection.send(start=start_message("h"))
            connection.send(order=pb.Order(order_id="o", kind="load", fence=1))
            await asyncio.sleep(1.0)
            ends = [(e.generation, e.code) for e in connection.received_items("ends")]
            self.assertEqual([("h", "leaving")], ends)
            (result,) = connection.received_items("order_results")
            self.assertEqual(("failed", []), (result.code, agent.engine.orders))
            tokens = [t for c in connection.received_items("chunks") for t in c.tokens]
            self.assertEqual(list(range(60)), tokens)
            await connection.close()

        run_in_virtual_time(scenario())

    def test_new_start_of_the_server_serves_under_a_new_incarnation(self):
        """Guards against a server that stays out after it has started anew, and against
        one that comes back since it answers some requests without the header."""

        async def scenario():
            agent = make_agent(ScriptedEngine())
            connection = EntryConnection(agent)
            await asyncio.sleep(0.1)
            before = agent.identity.incarnation
            agent.statements.note_response(200, LEAVING)
            agent.statements.note_response(200, {})
            self.assertEqual(Phase.LEAVING, agent.drain.phase)
            await asyncio.sleep(0.1)
            agent.statements.note_refused_connection()
            agent.statements.note_response(200, {})
            await asyncio.sleep(0.1)
            frame = connection.context.frames[-1][1]
            self.assertFalse(frame.leaving)
            self.assertGreater(frame.info.incarnation, before)
            connection.send(start=start_message("g"))
            await asyncio.sleep(1.0)
            self.assertEqual(
                ["g"], [c.generation for c in connection.received_items("chunks")][:1]
            )
            await connection.close()

        run_in_virtual_time(scenario())


class WaitTest(unittest.TestCase):
    def test_nothing_is_sent_until_the_time_is_over(self):
        """Guards against starts, orders and polls in the time that an engine asked for,
        and against an engine that gets nothing afterwards."""

        async def scenario():
            engine = PolledEngine()
            agent = make_agent(engine)
            polls = asyncio.ensure_future(poll_load(agent))
            connection = EntryConnection(agent)
            await asyncio.sleep(1.0)
            said_at = agent.now()
            agent.statements.note_response(503, {"Retry-After": "3"})
            connection.send(start=start_message("g"))
            connection.send(order=pb.Order(order_id="o", kind="load", fence=1))
            await asyncio.sleep(2.9)
            (end,) = connection.received_items("ends")
            self.assertEqual(("refused", False), (end.code, end.started))
            (result,) = connection.received_items("order_results")
            self.assertEqual("failed", result.code)
            self.assertLessEqual(max(engine.read_at), said_at)
            self.assertFalse(connection.context.frames[-1][1].leaving)
            await asyncio.sleep(1.5)
            connection.send(start=start_message("h"))
            await asyncio.sleep(0.5)
            self.assertTrue(connection.received_items("chunks"))
            self.assertGreater(max(engine.read_at), said_at + 3.0)
            polls.cancel()
            await connection.close()

        run_in_virtual_time(scenario())

    def test_call_is_refused_as_not_run(self):
        """Guards against calls in the time that a service asked for."""

        async def scenario():
            agent = make_agent(service=ScriptedService())
            connection = EntryConnection(agent)
            agent.statements.note_response(503, {"Retry-After": "3"})
            connection.send(call=call_message())
            await asyncio.sleep(0.2)
            (result,) = connection.received_items("results")
            self.assertEqual(("not_run", "waiting"), (result.run_state, result.code))
            self.assertEqual([], agent.service.keys)
            await connection.close()

        run_in_virtual_time(scenario())


class Observer:
    def __init__(self):
        self.heard = []

    def note_response(self, status, headers):
        self.heard.append((status, headers.get("Server-Leaving")))

    def note_refused_connection(self):
        self.heard.append("refused")


class ObserverTest(unittest.TestCase):
    def test_all_responses_and_refused_connections_are_heard(self):
        """Guards against statements in polls, refusals or calls that nobody reads."""

        async def respond(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 503 X\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
            )
            await writer.drain()
            writer.close()

        async def scenario():
            server = await asyncio.start_server(respond, "127.0.0.1", 0)
            url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
            observer = Observer()
            async with open_session() as session:
                engine, service = HttpEngine(session, url), HttpService(session, url)
                engine.observer = service.observer = observer
                start = StartRequest("g", 1, "v1", b"{}")
                call = CallRequest("c", "GET", "/", (), b"", True, "a", "k", 1, 2.0)

                async def use_all():
                    await engine.read_load()
                    async for _ in engine.generate("g.1", start):
                        pass
                    await service.call(call)

                await use_all()
                server.close()
                await server.wait_closed()
                await use_all()
            return observer.heard

        heard = asyncio.run(scenario())
        self.assertEqual([(503, "1")] * 3 + ["refused"] * 3, heard)


if __name__ == "__main__":
    unittest.main()
