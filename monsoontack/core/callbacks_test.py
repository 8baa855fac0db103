"""Tests of errors in callbacks of the event loop."""

import asyncio
import gc
import json
import unittest
from unittest.mock import patch

import uvloop

from monsoontack.core.callbacks import call_guarded, log_loop_errors
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.inbound.memoryguard import MemoryGuard
from monsoontack.inbound.turns import InputTurns


class Owner:
    """Object whose representation must not be made."""

    formatted = 0

    def __repr__(self) -> str:
        Owner.formatted += 1
        return "x" * 1000

    def fail(self, *args) -> None:
        raise KeyError("k")


class FailingProtocol(Owner, asyncio.Protocol):
    def data_received(self, data: bytes) -> None:
        raise KeyError("k")


async def fail_in_all_ways() -> list[str]:
    """Return the logged events of callbacks that fail, by every way to run one."""
    loop = asyncio.get_running_loop()
    lines, counted = [], []
    log_loop_errors(loop, lambda: counted.append(1))
    with patch("monsoontack.core.callbacks.log") as log:
        log.error.side_effect = lambda event, **values: lines.append(
            json.dumps({"event": event} | values, default=str)
        )
        owner = Owner()
        loop.call_soon(Owner.fail, owner, b"x" * 100_000)
        task = asyncio.ensure_future(asyncio.sleep(0))
        task.add_done_callback(lambda done: owner.fail())
        server = await loop.create_server(FailingProtocol, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        _, writer = await asyncio.open_connection(*address)
        writer.write(b"x")
        lost = asyncio.ensure_future(fail_later(owner))
        await asyncio.sleep(0.1)
        del lost
        gc.collect()
        await asyncio.sleep(0)
        writer.close()
        server.close()
    assert len(counted) == len(lines)
    return lines


async def fail_later(owner: Owner) -> None:
    await asyncio.sleep(0)
    owner.fail()


class LoopErrorsTest(unittest.TestCase):
    def test_errors_are_logged_without_the_objects_of_the_callback(self):
        """Guards against the default handler, which formats the transport, the protocol
        and the arguments of a failed callback, and writes to a pipe that may block.
        """
        Owner.formatted = 0
        lines = uvloop.run(fail_in_all_ways())
        self.assertEqual(4, len(lines))
        self.assertTrue(any('"future": "fail_later"' in line for line in lines))
        for line in lines:
            self.assertIn("callback of the event loop failed", line)
            self.assertLess(len(line), 1000)
        self.assertEqual(0, Owner.formatted)

    def test_guarded_call_goes_on_after_an_error(self):
        """Guards against one failing callback that keeps others from being called."""
        Owner.formatted = 0
        with patch("monsoontack.core.callbacks.log") as log:
            call_guarded(Owner().fail)
        self.assertEqual("Owner.fail", log.exception.call_args.kwargs["callback"])
        self.assertEqual(0, Owner.formatted)


class SharedTimersTest(unittest.TestCase):
    """Timers and turns that many connections share."""

    def test_failing_connection_does_not_end_the_turns_of_others(self):
        """Guards against connections that are never read again since the one before
        them failed to go on."""

        async def scenario():
            turns = InputTurns(asyncio.get_running_loop().call_soon)
            resumed = []
            turns.wait(Owner().fail)
            for number in range(40):
                turns.wait(lambda number=number: resumed.append(number))
            await asyncio.sleep(0.01)
            return resumed

        with patch("monsoontack.core.callbacks.log"):
            resumed = run_in_virtual_time(scenario())
        self.assertEqual(list(range(40)), resumed)

    def test_failing_holding_does_not_end_the_shedding(self):
        """Guards against memory that is not freed since one connection failed to."""

        class Holding:
            def __init__(self, shed):
                self.shed = shed

        async def scenario():
            guard, freed = MemoryGuard(1), []
            holdings = [Holding(Owner().fail), Holding(lambda: freed.append(1))]
            with patch.object(type(guard.account), "to_shed", lambda *_: holdings):
                guard.watch()
                await asyncio.sleep(1.0)
            return freed

        with patch("monsoontack.core.callbacks.log"):
            self.assertEqual([1], run_in_virtual_time(scenario()))


if __name__ == "__main__":
    unittest.main()
