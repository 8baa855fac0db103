"""Compares the memory account with the memory that a process needs."""

import asyncio
import json
import re
import subprocess
import sys
import unittest
from pathlib import Path

import uvloop

from monsoontack.gateway.records import CallerLimits
from monsoontack.inbound.memoryguard import MemoryGuard
from monsoontack.inbound.server import InboundServer

COUNT = 400
MAX_FACTOR = 1.5
GET = b"GET /abcd HTTP/1.1\r\nHost: h\r\n"
USUAL = GET + b"".join(b"X-Header-%d: %s\r\n" % (i, b"v" * 30) for i in range(12))
CHUNKED = GET + b"Transfer-Encoding: chunked\r\n\r\n"
KINDS = {
    "usual heads": USUAL,
    "short lines": GET + b"a:b\r\n" * 3000,
    "one-byte chunks": CHUNKED + b"1\r\nx\r\n" * 20_000,
    "large chunks": CHUNKED + (b"4000\r\n" + b"x" * 16_384 + b"\r\n") * 4,
    "pipelined requests": (GET + b"\r\n") * 400,
}


def resident_bytes():
    """Return the resident memory of this process in bytes."""
    status = Path("/proc/self/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status)[1]) * 1024


async def measure(data):
    """Return accounted bytes and growth of memory by connections that send `data`."""

    async def wait(raw, responder):
        await asyncio.Event().wait()

    limits = CallerLimits(16_384, 1_000_000, 100.0, 100.0)
    server = InboundServer(wait, lambda: limits, MemoryGuard(10**9))
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(
        server.make_connection, "127.0.0.1", 0, backlog=COUNT
    )
    address = listener.sockets[0].getsockname()
    before = resident_bytes()
    # The clients are in a process of their own, whose memory does not count.
    clients = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        "import socket, sys, time\n"
        f"found = [socket.create_connection({address!r}) for _ in range({COUNT})]\n"
        "data = sys.stdin.buffer.read()\n"
        "for item in found:\n"
        "    item.settimeout(1.0)\n"
        "    try:\n"
        "        item.sendall(data)\n"
        "    except TimeoutError:\n"
        "        break\n"
        "print(1, flush=True)\n"
        "time.sleep(60)\n",
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    clients.stdin.write(data)
    clients.stdin.close()
    await clients.stdout.readline()
    await asyncio.sleep(0.5)
    found = server.memory.account.used_bytes, resident_bytes() - before
    clients.kill()
    await clients.wait()
    return found


class AccountMemoryTest(unittest.TestCase):
    def test_account_matches_measured_memory(self):
        """Guards against an account that counts bytes received instead of their cost,
        so that the process exceeds its memory."""
        for kind in KINDS:
            found = subprocess.run(
                [sys.executable, "-m", __name__, kind],
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
                check=True,
            )
            accounted, grown = json.loads(found.stdout)
            with self.subTest(kind=kind, accounted=accounted, grown=grown):
                self.assertLess(grown, MAX_FACTOR * accounted)
                self.assertLess(accounted, MAX_FACTOR * grown)


if __name__ == "__main__":
    if len(sys.argv) > 1 and sys.argv[1] in KINDS:
        print(json.dumps(uvloop.run(measure(KINDS[sys.argv[1]]))))
    else:
        unittest.main()
