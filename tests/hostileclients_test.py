"""Tests of clients that send without end or never finish, at a gateway process.

The limits of the gateway are lowered, so that a small crowd of clients reaches them.
"""

import asyncio
import contextlib
import os
import re
import unittest
from pathlib import Path

from standins.gatewayprocess import HOST, KEY, GatewayProcess, config

MEMORY_MB = 80
MAX_FDS = 400
# The platform kills a gateway above its memory, which is stated in units of 10**6.
MAX_RESIDENT_BYTES = MEMORY_MB * 1_000_000
HEADER_BYTES = 16_384
BODY_BYTES = 131_072
# Longer than a test takes, so that a crowd is not ended by the time limits.
HOLD_MS = 60_000
# Time in which a crowd sends; a client that the gateway does not read sends on later.
SEND_TIMEOUT_S = 10.0
SAMPLE_INTERVAL_S = 0.05
# Only for a test that would hang otherwise.
HANG_GUARD_S = 20.0

POST = f"POST /once/a HTTP/1.1\r\nHost: {HOST}\r\n".encode()
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


def short_lines():
    """Return a head below the limit of many lines of five bytes, without its end."""
    return POST + b"a:b\r\n" * ((HEADER_BYTES - 400) // 5)


def odd_lines():
    """Return a head below the limit of lines without a value, without its end."""
    return POST + b"!:\r\nx-~: \t\r\n" * ((HEADER_BYTES - 400) // 13)


def large_chunks():
    """Return a body in chunks of 16 KiB that stops one byte before its end."""
    chunk = b"4000\r\n" + b"x" * 16_384 + b"\r\n"
    return CHUNKED + (chunk * (BODY_BYTES // 16_384))[:-3]


def one_byte_chunks():
    """Return a body in chunks of one byte that stops just before its end."""
    return CHUNKED + b"1\r\nx\r\n" * (BODY_BYTES - 1)


def endless_line():
    """Return a head whose first line exceeds the limit and does not end."""
    return b"GET /" + b"a" * (8 * HEADER_BYTES)


def large_head():
    """Return a head of long lines above the limit, without its end."""
    return POST + (b"x-filler: " + b"y" * 1000 + b"\r\n") * 40


def empty_lines():
    """Return empty lines before a request that never begins."""
    return b"\r\n" * 100_000


def nothing():
    """Return what a client sends that only holds a connection."""
    return b""


class HostileClientsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.gateway = await self.enterAsyncContext(
            GatewayProcess.started(MEMORY_MB, max_fds=MAX_FDS)
        )
        document = config(2)
        document["limits"] = {
            "max_header_bytes": HEADER_BYTES,
            "max_body_bytes": BODY_BYTES,
            "header_timeout_ms": HOLD_MS,
            "idle_timeout_ms": HOLD_MS,
        }
        self.gateway.store.put("config", "main", document)
        async with asyncio.timeout(HANG_GUARD_S):
            while not any(b'"version":2' in line for line in self.gateway.log):
                await asyncio.sleep(SAMPLE_INTERVAL_S)
        self.peak_descriptors = 0
        self.writers = []
        self.addCleanup(self.abort_all)
        sampler = asyncio.ensure_future(self.sample_descriptors())
        self.addCleanup(sampler.cancel)

    def abort_all(self):
        for writer in self.writers:
            writer.transport.abort()

    def descriptors(self):
        """Return the number of descriptors that the gateway has open."""
        return len(os.listdir(f"/proc/{self.gateway.process.pid}/fd"))

    async def sample_descriptors(self):
        with contextlib.suppress(OSError):
            while True:
                self.peak_descriptors = max(self.peak_descriptors, self.descriptors())
                await asyncio.sleep(SAMPLE_INTERVAL_S)

    def peak_bytes(self):
        """Return the peak of the gateway's resident memory."""
        status = Path(f"/proc/{self.gateway.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+)", status)[1]) * 1024

    async def connect(self):
        """Return the streams of a connection that stays open until the test ends."""
        host, _, port = self.gateway.front.removeprefix("http://").rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.writers.append(writer)
        return reader, writer

    async def send(self, data):
        """Send, and read until the gateway closes; the connection stays open."""
        with contextlib.suppress(OSError):
            reader, writer = await self.connect()
            closed = asyncio.ensure_future(reader.read())
            self.addCleanup(closed.cancel)
            writer.transport.set_write_buffer_limits(high=0)
            writer.write(data)
            sent = asyncio.ensure_future(writer.drain())
            await asyncio.wait((sent, closed), return_when=asyncio.FIRST_COMPLETED)
            if not sent.done():
                sent.cancel()

    async def call_in_two_parts(self):
        """Return the status line of a call whose body follows its head later."""
        reader, writer = await self.connect()
        head = (
            f"Authorization: Token {KEY}\r\nX-Monsoontack-Request-Id: after\r\n"
            "X-Monsoontack-Deadline-Ms: 5000\r\nContent-Length: 600\r\n"
            "Connection: close\r\n\r\n"
        )
        for part in (POST + head.encode(), b"x" * 300, b"x" * 300):
            writer.write(part)
            await asyncio.sleep(0.1)
        return (await reader.read()).partition(b"\r\n")[0]

    async def check(self, *crowd):
        """Let clients send; each item of `crowd` is a count and what each sends."""
        works = [self.send(data) for count, data in crowd for _ in range(count)]
        tasks = [asyncio.ensure_future(work) for work in works]
        done, late = await asyncio.wait(tasks, timeout=SEND_TIMEOUT_S)
        for task in late:
            task.cancel()
        for task in done:
            task.result()
        process = self.gateway.process
        self.assertIsNone(process.returncode)
        try:
            async with asyncio.timeout(HANG_GUARD_S):
                answer = await self.call_in_two_parts()
        except TimeoutError:
            answer = b"no answer"
        except OSError as error:
            answer = str(error).encode()
        found = (
            f"{self.peak_bytes() / 1e6:.0f} MB, {self.peak_descriptors} descriptors, "
            f"{answer.decode()}"
        )
        print(f"{self.id().rpartition('.')[2]}: {found}", flush=True)
        self.assertIsNone(process.returncode, found)
        self.assertLess(self.peak_bytes(), MAX_RESIDENT_BYTES, found)
        self.assertLess(self.peak_descriptors, MAX_FDS, found)
        self.assertEqual(b"HTTP/1.1 200 OK", answer, found)

    async def test_heads_of_many_short_lines(self):
        """Guards against header objects that cost far more than the bytes received."""
        await self.check((200, short_lines()))

    async def test_heads_of_lines_without_values(self):
        """Guards against the same by lines of four bytes and odd names."""
        await self.check((200, odd_lines()))

    async def test_bodies_in_large_chunks_that_stop_before_their_end(self):
        """Guards against incomplete bodies that keep all others from being read."""
        await self.check((200, large_chunks()))

    async def test_bodies_in_one_byte_chunks_that_stop_before_their_end(self):
        """Guards against an object for each received piece, and against a loop that
        parses for seconds and does nothing else."""
        await self.check((120, one_byte_chunks()))

    async def test_heads_over_the_limit_or_without_end(self):
        """Guards against heads that are collected beyond their limit."""
        await self.check((100, endless_line()), (100, large_head()))

    async def test_empty_lines_without_end(self):
        """Guards against empty lines that are collected or end the process."""
        await self.check((200, empty_lines()))

    async def test_connections_beyond_the_descriptors(self):
        """Guards against callers that take the descriptors that engines need."""
        await self.check((450, nothing()))

    async def test_all_kinds_at_once(self):
        """Guards against limits that hold for each kind alone, but not together."""
        await self.check(
            (80, short_lines()),
            (40, odd_lines()),
            (100, large_chunks()),
            (60, one_byte_chunks()),
            (20, endless_line()),
            (20, large_head()),
            (30, empty_lines()),
            (40, nothing()),
        )


if __name__ == "__main__":
    unittest.main()
