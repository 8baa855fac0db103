"""Readings of processes and the records that the capacity script stores."""

import asyncio
import os
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
READ_BYTES = 65_536
CPU_CLOCK_KIND = 2


@dataclass(frozen=True, slots=True)
class Usage:
    """CPU seconds used by a process so far and its resident bytes."""

    cpu_s: float
    resident: int


def cpu_clock(pid: int) -> int:
    """Return the number of the clock of a process's CPU time.

    It is what clock_getcpuclockid(3) returns. /proc/PID/stat has the same time
    in steps of 10 ms, which is too coarse for a few hundred messages.
    """
    return (~pid << 3) | CPU_CLOCK_KIND


def read_usage(pid: int) -> Usage:
    """Return the usage of a process, all its threads included."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage(time.clock_gettime(cpu_clock(pid)), pages * PAGE_BYTES)


@dataclass(slots=True)
class Recorder:
    """Collects the raw results of one run.

    A record with a `size` is one point of a series, whose slope over `size` is
    the cost of one item.
    """

    seed: int
    records: list[dict] = field(default_factory=list)
    listener: Callable[[dict], None] = lambda record: None

    def value(self, name: str, value: float, unit: str) -> None:
        """Store a single value."""
        self._add({"name": name, "value": value, "unit": unit})

    def point(self, name: str, size: float, value: float, unit: str) -> None:
        """Store one point of a series."""
        self._add({"name": name, "size": size, "value": value, "unit": unit})

    def _add(self, record: dict) -> None:
        record = {"name": record.pop("name"), "seed": self.seed, **record}
        for key in ("size", "value"):
            if key in record:
                record[key] = round(record[key], 6)
        self.records.append(record)
        self.listener(record)


@dataclass(slots=True)
class Window:
    """CPU time of some processes between `open` and now."""

    pids: tuple[int, ...]
    before: dict[int, float] = field(default_factory=dict)
    started_s: float = 0.0

    @classmethod
    def open(cls, *pids: int) -> "Window":
        """Begin to measure processes."""
        before = {pid: read_usage(pid).cpu_s for pid in pids}
        return cls(pids, before, time.monotonic())

    def cpu_s(self, pid: int) -> float:
        """Return the CPU time of a process since the window was opened."""
        return read_usage(pid).cpu_s - self.before[pid]

    def elapsed_s(self) -> float:
        """Return the time since the window was opened."""
        return time.monotonic() - self.started_s


class CountingRelay:
    """Forwards TCP connections to a target and counts bytes and reads.

    Example::

        relay = await CountingRelay.start("127.0.0.1:7001")
        ...  # connect to relay.address
        print(relay.sent, relay.received)
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.sent = self.received = self.reads = 0
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None

    @classmethod
    async def start(cls, target: str) -> "CountingRelay":
        """Return a relay that listens on a free loopback port."""
        relay = cls(target)
        relay.server = await asyncio.start_server(relay.connected, "127.0.0.1", 0)
        port = relay.server.sockets[0].getsockname()[1]
        relay.address = f"127.0.0.1:{port}"
        return relay

    async def connected(self, reader, writer) -> None:
        """Forward one connection in both directions until one side ends."""
        host, _, port = self.target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        for source, sink, name in (
            (reader, far_writer, "sent"),
            (far_reader, writer, "received"),
        ):
            task = asyncio.ensure_future(self._forward(source, sink, name))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _forward(self, source, sink, name: str) -> None:
        try:
            while data := await source.read(READ_BYTES):
                setattr(self, name, getattr(self, name) + len(data))
                self.reads += 1
                sink.write(data)
        except ConnectionError:
            pass
        finally:
            sink.close()

    def total(self) -> int:
        """Return the bytes forwarded in both directions."""
        return self.sent + self.received

    def close(self) -> None:
        """End all connections."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
