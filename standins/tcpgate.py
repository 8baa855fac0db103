"""TCP gate: `python -m standins.tcpgate --port N --target ip:port --control-port M`.

Passes bytes between callers and the target, and loses them on command, so that
an open connection goes silent while both ends believe in it. `POST /faults` on
the control port takes:

* `silence`: `open` makes the connections that are open now silent for good,
  new ones work; `all` makes new ones silent too; `none` ends that for new
  ones. A silent connection stays open and takes bytes, but passes none on;
* `direction`: `both` (default), `to_target` or `to_caller`;
* `silence_after_bytes`: each new connection goes silent once this many bytes
  went to the caller (0 means never), which does not depend on time;
* `latency_s`: one-way delay of all bytes;
* `close`: true breaks all open connections.

`GET /faults` reports the connections that are open and how many are silent.
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
    """One connection through the gate; `silent` holds directions."""

    writers: list[asyncio.StreamWriter]
    silent: frozenset[str] = frozenset()
    bytes_to_caller: int = 0

    def close(self) -> None:
        """Break the connection at both ends."""
        for writer in self.writers:
            writer.transport.abort()


@dataclass(slots=True)
class FaultProxy:
    """The gate's faults and its open connections."""

    host: str
    port: int
    silence: str = "none"
    direction: str = "both"
    silence_after_bytes: int = 0
    latency_s: float = 0.0
    connections: set[Connection] = field(default_factory=set)

    async def accept(self, reader, writer) -> None:
        """Serve one caller until an end closes the connection."""
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
        pumps = [
            self.pump(connection, reader, target_writer, "to_target"),
            self.pump(connection, target_reader, writer, "to_caller"),
        ]
        try:
            await asyncio.gather(*pumps)
        finally:
            self.connections.discard(connection)
            connection.close()

    async def pump(self, connection: Connection, reader, writer, way: str) -> None:
        """Pass bytes one way; end of input is passed on unless silent."""
        queue: asyncio.Queue = asyncio.Queue(maxsize=1000)
        sender = asyncio.ensure_future(self.send(connection, queue, writer, way))
        try:
            while data := await reader.read(READ_BYTES):
                due = asyncio.get_running_loop().time() + self.latency_s
                await queue.put((due, data))
        except ConnectionError:
            pass
        await queue.put(None)
        await sender

    async def send(self, connection: Connection, queue, writer, way: str) -> None:
        """Write the queued bytes when they are due, or lose them."""
        loop = asyncio.get_running_loop()
        while item := await queue.get():
            due, data = item
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            data = self.let_through(connection, data, way)
            if not data:
                continue
            try:
                writer.write(data)
                await writer.drain()
            except ConnectionError:
                continue
        if way not in connection.silent:
            # Nothing more can pass this way; the other way ends with it.
            connection.close()

    def let_through(self, connection: Connection, data: bytes, way: str) -> bytes:
        """Return the part of `data` that passes."""
        if way in connection.silent:
            return b""
        if way == "to_caller" and self.silence_after_bytes:
            room = self.silence_after_bytes - connection.bytes_to_caller
            if len(data) >= room:
                connection.silent = DIRECTIONS["both"]
                data = data[:room]
        if way == "to_caller":
            connection.bytes_to_caller += len(data)
        return data

    def set_faults(self, body: dict) -> None:
        """Take a `/faults` body; KeyError or ValueError if it is wrong."""
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
    """Serve the gate and its control port until SIGTERM."""
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
