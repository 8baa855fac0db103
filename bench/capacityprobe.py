"""Resource usage of processes, and the records that the capacity script writes."""

import asyncio
import os
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
RELAY_READ_BYTES = 65_536
CPUCLOCK_SCHED = 2


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """CPU seconds that a process has used, and its resident memory in bytes."""

    cpu_s: float
    resident: int


def cpu_clock_id(pid: int) -> int:
    """Return the id of the CPU-time clock of a process.

    It equals the result of clock_getcpuclockid(3). /proc/PID/stat has the same time
    in steps of 10 ms, which is too coarse to measure a few hundred messages.
    """
    return (~pid << 3) | CPUCLOCK_SCHED


def read_usage(pid: int) -> ProcessUsage:
    """Return the usage of a process with all its threads."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ProcessUsage(time.clock_gettime(cpu_clock_id(pid)), pages * PAGE_BYTES)


@dataclass(slots=True)
class Recorder:
    """Collects the raw results of one run.

    A record with a `size` is one point of a series. The slope of the series over
    `size` is the cost of one item.
    """

    seed: int
    records: list[dict] = field(default_factory=list)
    on_record: Callable[[dict], None] = lambda record: None

    def add_value(self, name: str, value: float, unit: str) -> None:
        """Add a record of a single value."""
        self._add({"name": name, "value": value, "unit": unit})

    def add_point(self, name: str, size: float, value: float, unit: str) -> None:
        """Add a record of one point of a series."""
        self._add({"name": name, "size": size, "value": value, "unit": unit})

    def _add(self, record: dict) -> None:
        record = {"name": record.pop("name"), "seed": self.seed, **record}
        for key in ("size", "value"):
            if key in record:
                record[key] = round(record[key], 6)
        self.records.append(record)
        self.on_record(record)


@dataclass(slots=True)
class CpuWindow:
    """Measures the CPU time of processes since `open`."""

    pids: tuple[int, ...]
    before: dict[int, float] = field(default_factory=dict)
    start_time_s: float = 0.0

    @classmethod
    def open(cls, *pids: int) -> "CpuWindow":
        """Start a measurement of processes."""
        before = {pid: read_usage(pid).cpu_s for pid in pids}
        return cls(pids, before, time.monotonic())

    def cpu_s(self, pid: int) -> float:
        """Return the CPU time that a process has used since the start."""
        return read_usage(pid).cpu_s - self.before[pid]

    def elapsed_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self.start_time_s


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
        self.sent = self.received = self.read_count = 0
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None

    @classmethod
    async def start(cls, target: str) -> "CountingRelay":
        """Return a relay that listens on a free loopback port."""
        relay = cls(target)
        relay.server = await asyncio.start_server(
            relay.handle_connection, "127.0.0.1", 0
        )
        port = relay.server.sockets[0].getsockname()[1]
        relay.address = f"127.0.0.1:{port}"
        return relay

    async def handle_connection(self, reader, writer) -> None:
        """Connect to the target and start to forward each direction until it ends."""
        host, _, port = self.target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        for source, sink, name in (
            (reader, target_writer, "sent"),
            (target_reader, writer, "received"),
        ):
            task = asyncio.ensure_future(self._forward(source, sink, name))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _forward(self, source, sink, name: str) -> None:
        try:
            while data := await source.read(RELAY_READ_BYTES):
                setattr(self, name, getattr(self, name) + len(data))
                self.read_count += 1
                sink.write(data)
        except ConnectionError:
            pass
        finally:
            sink.close()

    def total_bytes(self) -> int:
        """Return the bytes forwarded in both directions."""
        return self.sent + self.received

    def close(self) -> None:
        """Stop the server and all forwarding."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
