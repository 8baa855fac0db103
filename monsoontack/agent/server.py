"""gRPC server for the links, with one reader and one writer per connection."""

import asyncio

import grpc

from monsoontack.agent.core import Agent
from monsoontack.agent.drain import Phase
from monsoontack.agent.links import Link
from monsoontack.proto import link_pb2_grpc

# Detects within 10 s a link whose entry disappeared without closing the connection.
SERVER_OPTIONS = (
    ("grpc.keepalive_time_ms", 5_000),
    ("grpc.keepalive_timeout_ms", 5_000),
    ("grpc.http2.min_ping_interval_without_data_ms", 1_000),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.so_reuseport", 0),
)


class LinkServicer(link_pb2_grpc.LinkServicer):
    """Implements the `Link` service of link.proto."""

    def __init__(self, agent: Agent) -> None:
        self.agent = agent

    async def Connect(self, request_iterator, context) -> None:
        """Serve one link until the entry or the agent closes it."""
        link = self.agent.open_link()
        reader = asyncio.ensure_future(self._read(link, request_iterator))
        writer = asyncio.ensure_future(self._write(link, context))
        try:
            await asyncio.wait((reader, writer), return_when="FIRST_COMPLETED")
        finally:
            reader.cancel()
            writer.cancel()
            await asyncio.gather(reader, writer, return_exceptions=True)
            self.agent.close_link(link)

    async def _read(self, link: Link, request_iterator) -> None:
        async for message in request_iterator:
            self.agent.receive(link, message)

    async def _write(self, link: Link, context) -> None:
        while True:
            await self._wait_until_due(link)
            await context.write(self.agent.next_frame(link))
            if self.agent.drain.phase is Phase.ENDED and not link.has_pending():
                return

    async def _wait_until_due(self, link: Link) -> None:
        loop = asyncio.get_running_loop()
        while True:
            link.wake.clear()
            now = loop.time()
            due = link.schedule.next_frame_at(
                link.has_pending(), link.urgent, self.agent.is_busy(link), now
            )
            if due <= now:
                return
            try:
                async with asyncio.timeout_at(due):
                    await link.wake.wait()
            except TimeoutError:
                # uvloop's timers fire up to 1 ms early. Comparing the time with `due`
                # again would loop without sleeping for the rest of that millisecond.
                return


def make_server(agent: Agent) -> grpc.aio.Server:
    """Return a server for the agent's link address; the caller starts it."""
    server = grpc.aio.server(options=SERVER_OPTIONS)
    link_pb2_grpc.add_LinkServicer_to_server(LinkServicer(agent), server)
    address = agent.settings.link_address
    if server.add_insecure_port(address) == 0:
        raise OSError(f"cannot listen on link_address {address}")
    return server
