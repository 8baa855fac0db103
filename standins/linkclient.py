"""One end of a link to an agent, for tests without an entry.

Collects what the agent sends; `wait_until` waits for a condition on it. The wait has
a generous limit that only ends a hanging test.
"""

import asyncio
import json
from collections.abc import Callable

import grpc

from monsoontack.proto import link_pb2, link_pb2_grpc

HANG_GUARD_S = 60.0


class LinkClient:
    """Link to an agent whose frames are collected by kind."""

    def __init__(self, address: str, entry: str = "entry-test") -> None:
        # Channels to one address would otherwise share a connection.
        options = (("grpc.use_local_subchannel_pool", 1),)
        self.channel = grpc.aio.insecure_channel(address, options=options)
        self.call = link_pb2_grpc.LinkStub(self.channel).Connect()
        self.frames: list[link_pb2.Frame] = []
        self.chunks: list[link_pb2.Chunk] = []
        self.ends: list[link_pb2.StreamEnd] = []
        self.results: list[link_pb2.CallResult] = []
        self.order_results: list[link_pb2.OrderResult] = []
        self.cache_events: list[link_pb2.CacheEvent] = []
        self.info: link_pb2.AgentInfo | None = None
        self.load: link_pb2.Load | None = None
        self.code: grpc.StatusCode | None = None
        self.changed = asyncio.Condition()
        self.reader = asyncio.ensure_future(self._read(entry))

    async def _read(self, entry: str) -> None:
        await self.send(hello=link_pb2.Hello(entry=entry))
        try:
            async for frame in self.call:
                await self._take(frame)
        except grpc.aio.AioRpcError:
            pass
        self.code = await self.call.code()
        async with self.changed:
            self.changed.notify_all()

    async def _take(self, frame: link_pb2.Frame) -> None:
        self.frames.append(frame)
        self.chunks += frame.chunks
        self.ends += frame.ends
        self.results += frame.results
        self.order_results += frame.order_results
        self.cache_events += frame.cache_events
        if frame.HasField("info"):
            self.info = frame.info
        if frame.HasField("load"):
            self.load = frame.load
        async with self.changed:
            self.changed.notify_all()

    async def send(self, **body) -> None:
        """Send one message, such as `cancel=link_pb2.Cancel(...)`."""
        await self.call.write(link_pb2.EntryMessage(revision=1, **body))

    async def start(
        self,
        generation: str,
        request: dict,
        attempt: int = 1,
        prefix: tuple[int, ...] = (),
        version: str = "v1",
    ) -> None:
        """Send `Start` for a request document."""
        start = link_pb2.Start(
            generation=generation,
            attempt=attempt,
            version=version,
            request=json.dumps(request).encode(),
            prefix=prefix,
            max_tokens=request.get("max_tokens", 0),
        )
        await self.send(start=start)

    async def attach(self, generation: str, attempt: int, position: int) -> None:
        """Send `Attach`."""
        attach = link_pb2.Attach(
            generation=generation, attempt=attempt, from_position=position
        )
        await self.send(attach=attach)

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Wait until the condition holds; fails if the link ends before."""
        async with asyncio.timeout(HANG_GUARD_S), self.changed:
            await self.changed.wait_for(lambda: condition() or self.code is not None)
        if not condition():
            raise AssertionError(f"link ended with {self.code} before the condition")

    def tokens(self, generation: str, attempt: int, first: int = 0) -> list[int]:
        """Return the tokens of an attempt; AssertionError if they leave a gap."""
        found: list[int] = []
        for chunk in self.chunks:
            if (chunk.generation, chunk.attempt) == (generation, attempt):
                expected = first + len(found)
                if chunk.first_position != expected:
                    raise AssertionError(
                        f"chunk at {chunk.first_position}, expected {expected}"
                    )
                found += chunk.tokens
        return found

    def finished(self, generation: str, attempt: int) -> bool:
        """Return whether the last chunk of an attempt has come."""
        return any(
            chunk.finish and (chunk.generation, chunk.attempt) == (generation, attempt)
            for chunk in self.chunks
        )

    async def close(self) -> None:
        """End the link."""
        self.call.cancel()
        await asyncio.gather(self.reader, return_exceptions=True)
        await self.channel.close()
