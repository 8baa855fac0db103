"""Local processes that tests start, pause, resume, terminate and kill by process id."""

import asyncio
import os
import signal
import socket
import subprocess
from dataclasses import dataclass
from pathlib import Path

# These ports are below the ephemeral range, which outgoing connections use.
FIRST_PORT = 12_000
LAST_PORT = 32_000
PORTS_PER_BLOCK = 400
START_TIMEOUT_S = 60.0
POLL_S = 0.02


class StartError(RuntimeError):
    """A process ended or did not listen in time, or no free port was found."""


class PortBlock:
    """A range of loopback ports that is exclusive to this block on the machine.

    The first port stays bound until `close` and so marks the range as taken.
    """

    def __init__(self) -> None:
        self.lock_socket, first = self._claim()
        self.free = iter(range(first + 1, first + PORTS_PER_BLOCK))

    def _claim(self) -> tuple[socket.socket, int]:
        for first in range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK):
            lock_socket = socket.socket()
            try:
                lock_socket.bind(("127.0.0.1", first))
                return lock_socket, first
            except OSError:
                lock_socket.close()
        raise StartError(f"no free ports from {FIRST_PORT} to {LAST_PORT}")

    def take(self) -> int:
        """Return the next port of the block that is free."""
        for port in self.free:
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                    return port
                except OSError:
                    continue
        raise StartError(f"all {PORTS_PER_BLOCK} ports of the block are taken")

    def close(self) -> None:
        """Release the range."""
        self.lock_socket.close()


@dataclass(slots=True)
class ManagedProcess:
    """One process that this program started.

    The process listens on `port`, and receives `/faults` on `control_port` if set.
    """

    name: str
    port: int
    popen: subprocess.Popen
    log_path: Path
    control_port: int = 0

    @property
    def pid(self) -> int:
        """Process id."""
        return self.popen.pid

    @property
    def address(self) -> str:
        """The `ip:port` on which the process listens."""
        return f"127.0.0.1:{self.port}"

    @property
    def url(self) -> str:
        """Base URL of the process, if it speaks HTTP."""
        return f"http://{self.address}"

    @property
    def faults_url(self) -> str:
        """URL that sets the faults of a simulator."""
        return f"http://127.0.0.1:{self.control_port or self.port}/faults"

    def kill(self) -> None:
        """Kill the process (SIGKILL)."""
        self._signal(signal.SIGKILL)

    def pause(self) -> None:
        """Suspend the process until `resume` (SIGSTOP)."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process (SIGCONT)."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a clean shutdown of the process (SIGTERM)."""
        self._signal(signal.SIGTERM)

    def _signal(self, number: int) -> None:
        if self.popen.poll() is None:
            os.kill(self.pid, number)

    def is_running(self) -> bool:
        """Return whether the process is alive; a suspended one is."""
        return self.popen.poll() is None

    def is_stopped(self) -> bool:
        """Return whether the process is suspended by SIGSTOP."""
        stat = Path(f"/proc/{self.pid}/stat").read_text(encoding="utf-8")
        return stat.rpartition(")")[2].split()[0] == "T"

    async def wait_stopped(self) -> None:
        """Wait until the process is suspended."""
        while not self.is_stopped():
            await asyncio.sleep(POLL_S)

    async def wait_ended(self) -> int:
        """Wait until the process has ended; return its exit status."""
        while self.popen.poll() is None:
            await asyncio.sleep(POLL_S)
        return self.popen.returncode

    async def wait_ready(self, *other_ports: int) -> None:
        """Wait until the process accepts connections on its port and `other_ports`."""
        for port in (self.port, *other_ports):
            await self._wait_listening(port)

    async def _wait_listening(self, port: int) -> None:
        deadline = asyncio.get_running_loop().time() + START_TIMEOUT_S
        while asyncio.get_running_loop().time() < deadline:
            if not self.is_running():
                raise StartError(f"{self.name} ended at startup:\n{self.read_log()}")
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                await asyncio.sleep(POLL_S)
                continue
            writer.close()
            return
        raise StartError(f"{self.name} does not listen:\n{self.read_log()}")

    def read_log(self) -> str:
        """Return the output of the process so far."""
        return self.log_path.read_text(encoding="utf-8", errors="replace")

    def stop(self) -> None:
        """Kill the process if it is still running, and collect its exit status."""
        self.kill()
        self.popen.wait()
