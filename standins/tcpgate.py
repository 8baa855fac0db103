"""TCP proxy: `python -m standins.tcpgate --port N --target ip:port --control-port M`.

The proxy forwards bytes between callers and the target and injects faults. In
particular it can discard bytes, so that a connection goes silent while both ends
consider it open. `POST /faults` on the control port takes:

* `silence`: `open` silences the currently open connections permanently, while new ones
  work; `all` silences new ones too; `none` ends that for new ones. A silent connection
  stays open and accepts bytes, but forwards none;
* `direction`: direction to silence: `both` (default), `to_target` or `to_caller`;
* `silence_after_bytes`: each new connection goes silent after this many bytes to the
  caller (0 means never), which makes the moment independent of time;
* `latency_s`: one-way delay of all bytes;
* `close`: true aborts all open connections.

`GET /faults` reports the faults and the number of open and of silent connections.
"""

import argparse
import asyncio
from dataclasses import dataclass, field

import falcon.asgi

from standins.serving import make_server

READ_BYTES = 65_536
DIRECTIONS = {
    "both": frozenset({"to_target", "to_caller"}),
    "to_target": frozenset({"to_target"}),
    "to_caller": frozenset({"to_caller"}),
}


@dataclass(slots=True, eq=False)
class Connection:
    """One proxied connection; `silent` holds the directions that are silenced."""

    writers: list[asyncio.StreamWriter]
    silent: frozenset[str] = frozenset()
    bytes_to_caller: int = 0

    def close(self) -> None:
        """Abort the connection at both ends."""
        for writer in self.writers:
            writer.transport.abort()


@dataclass(slots=True)
class FaultProxy:
    """Faults and open connections of the proxy.

    `discarded` lists when bytes to a caller were discarded, in the event loop's time,
    and how many. A connection that was silenced stays so after the fault has ended.
    """

    host: str
    port: int
    silence: str = "none"
    direction: str = "both"
    silence_after_bytes: int = 0
    latency_s: float = 0.0
    connections: set[Connection] = field(default_factory=set)
    discarded: list[tuple[float, int]] = field(default_factory=list)

    async def accept(self, reader, writer) -> None:
        """Proxy one connection until either end closes it."""
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.host, self.port
            )
        except OSError:
            writer.transport.abort()
            return
        connection = Connection([writer, target_writer])
        if self.silence == "all":
            connection.silent = DIRECTIONS[self.direction]
        self.connections.add(connection)
        forwarders = [
            self.forward(connection, reader, target_writer, "to_target"),
            self.forward(connection, target_reader, writer, "to_caller"),
        ]
        try:
            await asyncio.gather(*forwarders)
        finally:
            self.connections.discard(connection)
            connection.close()

    async def forward(
        self, connection: Connection, reader, writer, direction: str
    ) -> None:
        """Forward bytes in one direction; forward end of input unless silenced."""
        queue: asyncio.Queue = asyncio.Queue(maxsize=1000)
        sender = asyncio.ensure_future(self.send(connection, queue, writer, direction))
        try:
            while data := await reader.read(READ_BYTES):
                due = asyncio.get_running_loop().time() + self.latency_s
                await queue.put((due, data))
        except ConnectionError:
            pass
        await queue.put(None)
        await sender

    async def send(self, connection: Connection, queue, writer, direction: str) -> None:
        """Write the queued bytes when due; discard them in a silenced direction."""
        loop = asyncio.get_running_loop()
        while item := await queue.get():
            due, data = item
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            size = len(data)
            data = self.filter_bytes(connection, data, direction)
            if direction == "to_caller" and len(data) < size:
                self.discarded.append((loop.time(), size - len(data)))
            if not data:
                continue
            try:
                await self.write(connection, writer, data, direction)
            except ConnectionError:
                continue
        if direction not in connection.silent:
            # End of input in this direction closes the whole connection.
            connection.close()

    async def write(
        self, connection: Connection, writer, data: bytes, direction: str
    ) -> None:
        """Write bytes to one end of a connection."""
        writer.write(data)
        await writer.drain()

    def filter_bytes(
        self, connection: Connection, data: bytes, direction: str
    ) -> bytes:
        """Return the part of `data` to forward."""
        if direction in connection.silent:
            return b""
        if direction == "to_caller" and self.silence_after_bytes:
            room = self.silence_after_bytes - connection.bytes_to_caller
            if len(data) >= room:
                connection.silent = DIRECTIONS["both"]
                data = data[:room]
        if direction == "to_caller":
            connection.bytes_to_caller += len(data)
        return data

    def set_faults(self, body: dict) -> None:
        """Apply a `/faults` body; KeyError or ValueError if it is invalid."""
        directions = DIRECTIONS[body.get("direction", "both")]
        silence = body.get("silence", self.silence)
        if silence not in ("none", "open", "all"):
            raise ValueError(f"unknown silence {silence!r}")
        self.silence = silence
        self.direction = body.get("direction", "both")
        self.latency_s = float(body.get("latency_s", self.latency_s))
        after = int(body.get("silence_after_bytes", self.silence_after_bytes))
        self.silence_after_bytes = after
        if body.get("silence") in ("open", "all"):
            for connection in self.connections:
                connection.silent |= directions
        if body.get("close"):
            for connection in list(self.connections):
                connection.close()

    def describe(self) -> dict:
        """Return the body of `GET /faults`."""
        return {
            "silence": self.silence,
            "direction": self.direction,
            "silence_after_bytes": self.silence_after_bytes,
            "latency_s": self.latency_s,
            "open": len(self.connections),
            "silent": sum(bool(item.silent) for item in self.connections),
        }


class ProxyFaultsResource:
    """`POST` and `GET /faults`."""

    def __init__(self, proxy: FaultProxy) -> None:
        self.proxy = proxy

    async def on_post(self, request, response) -> None:
        """Set the faults that the body names."""
        try:
            self.proxy.set_faults(await request.get_media())
        except (KeyError, ValueError) as error:
            response.status = 400
            response.media = {"errors": [str(error)]}
            return
        response.media = self.proxy.describe()

    async def on_get(self, request, response) -> None:
        """Return the faults and the number of connections."""
        response.media = self.proxy.describe()


async def run(proxy: FaultProxy, port: int, control_port: int) -> None:
    """Serve the proxy and its control port until SIGTERM."""
    app = falcon.asgi.App()
    app.add_route("/faults", ProxyFaultsResource(proxy))
    server = await asyncio.start_server(proxy.accept, "127.0.0.1", port)
    try:
        await make_server(app, control_port).serve()
    finally:
        server.close()
        for connection in list(proxy.connections):
            connection.close()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--control-port", type=int, required=True)
    parser.add_argument("--target", required=True, help="ip:port")
    options = parser.parse_args()
    host, _, target_port = options.target.rpartition(":")
    asyncio.run(
        run(FaultProxy(host, int(target_port)), options.port, options.control_port)
    )
