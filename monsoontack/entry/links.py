"""Links to agents: one gRPC stream per agent that carries all its generations.

A link that breaks or goes silent is replaced by a new connection. Links to the
agents of the entry's subset are kept open; others are opened on demand, such
as for a caller that reconnects with the id of a stream elsewhere.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

import grpc
import structlog

from monsoontack.core.records import (
    BackendServer,
    LoadReport,
    Place,
    ServerState,
    VmRecord,
)
from monsoontack.generation.progress import LinkProgress
from monsoontack.proto import link_pb2, link_pb2_grpc
from monsoontack.settings.models import EntrySettings

log = structlog.get_logger("entry.links")

BACKOFF_FIRST_S = 0.2
BACKOFF_LAST_S = 5.0
CONNECT_LIMIT_S = 1.0
# An on-demand link that carries nothing is closed after this time.
IDLE_CLOSE_S = 30.0
CHANNEL_OPTIONS = (
    # Channels to one address otherwise share a connection, and a new link
    # would be as silent as the one that it replaces.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.max_receive_message_length", 16 * 1024 * 1024),
    ("grpc.initial_reconnect_backoff_ms", 100),
)


class LinkListener(Protocol):
    """Receives what links carry and what becomes of them."""

    def on_frame(self, link: "Link", frame: link_pb2.Frame) -> None:
        """Take one frame; `link.is_first_frame` tells the first of a link."""
        ...

    def on_link_lost(self, link: "Link", was_up: bool) -> None:
        """Take the end of a link; `was_up` is False if no frame ever came."""
        ...


class LinkMembers(LinkListener, Protocol):
    """Listener that also knows which agents leave, such as by the VM list."""

    def is_leaving(self, address: str) -> bool:
        """Return whether an agent takes no new work because it leaves."""
        ...


@dataclass(frozen=True, slots=True)
class LinkIdentity:
    """What the entry says about itself in Hello."""

    entry: str
    place: Place


class Link:
    """One connection to one agent, from its opening to its end."""

    def __init__(self, address: str, identity: LinkIdentity, listener: LinkListener):
        self.address = address
        self.listener = listener
        self.is_up = False
        self.is_first_frame = False
        self.is_closed = False
        self.leaving = False
        self.revision = 0
        self.info: link_pb2.AgentInfo | None = None
        self.load: LoadReport | None = None
        self.sent_at: deque[float] = deque()
        self.ended_at: deque[float] = deque()
        now = asyncio.get_running_loop().time()
        self.opened_at = now
        self.busy_since: float | None = None
        self.used_at = now
        self.progress = LinkProgress(last_frame_at=now)
        self.outbox: asyncio.Queue = asyncio.Queue()
        self.send(_hello(identity))
        self.task = asyncio.ensure_future(self._run())

    def send(self, message: link_pb2.EntryMessage) -> None:
        """Queue a message; it is lost if the link ends first."""
        self.outbox.put_nowait(message)

    def note_sent(self, now: float) -> None:
        """Count a request sent, until a load report includes it."""
        self.sent_at.append(now)

    def note_ended(self, now: float) -> None:
        """Count a request ended, until a load report includes it."""
        self.ended_at.append(now)

    def set_busy(self, is_busy: bool, now: float) -> None:
        """Note whether this entry waits for work on the link."""
        if not is_busy:
            self.busy_since = None
        elif self.busy_since is None:
            self.busy_since = now

    def close(self) -> None:
        """End the link without telling the listener."""
        self.is_closed = True
        self.task.cancel()

    async def _run(self) -> None:
        channel = grpc.aio.insecure_channel(self.address, options=CHANNEL_OPTIONS)
        try:
            call = link_pb2_grpc.LinkStub(channel).Connect(self._messages())
            async for frame in call:
                self._handle_frame(frame)
        except (grpc.aio.AioRpcError, grpc.aio.UsageError, OSError) as error:
            log.debug("link error", address=self.address, error=str(error))
        finally:
            # A silent peer never confirms the close, so nothing waits for it.
            closing = asyncio.ensure_future(channel.close(grace=None))
            closing.add_done_callback(lambda done: done.cancelled() or done.exception())
            self._handle_end()

    async def _messages(self):
        while True:
            yield await self.outbox.get()

    def _handle_frame(self, frame: link_pb2.Frame) -> None:
        if self.is_closed:
            return
        now = asyncio.get_running_loop().time()
        self.progress.note_frame(now)
        self.is_first_frame = not self.is_up
        self.is_up = True
        self.leaving = frame.leaving
        self.revision = max(self.revision, frame.revision)
        if frame.HasField("info"):
            self.info = frame.info
        if frame.HasField("load"):
            self._take_load(frame.load, now)
        self.listener.on_frame(self, frame)

    def _take_load(self, load: link_pb2.Load, now: float) -> None:
        self.progress.note_load(load, now)
        reported_at = now - load.age_s
        for times in (self.sent_at, self.ended_at):
            while times and times[0] <= reported_at:
                times.popleft()
        self.load = LoadReport(load.running, load.queued, load.slots, reported_at)

    def _handle_end(self) -> None:
        was_up, self.is_up = self.is_up, False
        if not self.is_closed:
            self.is_closed = True
            self.listener.on_link_lost(self, was_up)


def _hello(identity: LinkIdentity) -> link_pb2.EntryMessage:
    place = identity.place
    hello = link_pb2.Hello(
        entry=identity.entry,
        failure_domain=place.failure_domain,
        region=place.region,
    )
    return link_pb2.EntryMessage(hello=hello)


@dataclass(slots=True)
class Backoff:
    """When a wanted address that failed is tried again."""

    delay_s: float = BACKOFF_FIRST_S
    next_at: float = 0.0

    def failed(self, now: float, rng: random.Random) -> None:
        """Note a failure; waits grow up to `BACKOFF_LAST_S`."""
        self.next_at = now + self.delay_s * rng.uniform(0.5, 1.0)
        self.delay_s = min(self.delay_s * 2, BACKOFF_LAST_S)


@dataclass(frozen=True, slots=True)
class SilenceLimits:
    """Seconds without a frame after which a link counts as silent.

    `busy_s` holds for links whose work this entry waits for, `idle_s` for the
    others, on which agents send rarer heartbeats.
    """

    busy_s: float = 1.0
    idle_s: float = 9.0

    @classmethod
    def from_settings(cls, settings: EntrySettings) -> "SilenceLimits":
        """Return the limits that the entry's settings give."""
        return cls(settings.frame_silence_s, settings.idle_silence_s)


class LinkPool:
    """All links of an entry, by agent address.

    `members` hears of frames and lost links before the listener, so that what
    the listener does next rests on the newest state.
    """

    def __init__(
        self,
        identity: LinkIdentity,
        listener: LinkListener,
        rng: random.Random,
        silence: SilenceLimits,
        open_link: Callable[..., Link] = Link,
    ):
        self.identity = identity
        self.listener = listener
        self.rng = rng
        self.silence = silence
        self.open_link = open_link
        self.members: LinkMembers | None = None
        self.links: dict[str, Link] = {}
        self.wanted: dict[str, VmRecord] = {}
        self.backoffs: dict[str, Backoff] = {}
        self.in_flight: Callable[[str], int] = lambda address: 0
        self.awaited_addresses: Callable[[], set[str]] = set

    def set_wanted(self, records: Iterable[VmRecord]) -> None:
        """Replace the set of agents to keep links to."""
        self.wanted = {record.address: record for record in records}
        gone = set(self.backoffs) - set(self.wanted)
        for address in gone:
            del self.backoffs[address]

    def get_or_open(self, address: str) -> Link:
        """Return the link to an agent, opened now if there is none."""
        link = self.links.get(address)
        if link is None or link.is_closed:
            link = self.open_link(address, self.identity, self)
            self.links[address] = link
        link.used_at = asyncio.get_running_loop().time()
        return link

    def tick(self, now: float) -> list[Link]:
        """Open wanted links, close idle ones, replace silent ones.

        Returns the links found silent; their listeners are told here.
        """
        awaited = self.awaited_addresses()
        for link in self.links.values():
            link.set_busy(link.address in awaited, now)
        silent = [link for link in self.links.values() if self._is_silent(link, now)]
        for link in silent:
            was_up = link.is_up
            link.close()
            self.on_link_lost(link, was_up)
        for address in self.wanted:
            backoff = self.backoffs.setdefault(address, Backoff())
            if address not in self.links and now >= backoff.next_at:
                self.get_or_open(address)
        for link in [l_ for l_ in self.links.values() if self._is_idle(l_, now)]:
            link.close()
            del self.links[link.address]
        return silent

    def _is_silent(self, link: Link, now: float) -> bool:
        if not link.is_up:
            return link.progress.is_silent(now, CONNECT_LIMIT_S)
        if link.busy_since is None:
            return link.progress.is_silent(now, self.silence.idle_s)
        # The agent's quick heartbeats begin when it gets the work.
        if now - link.busy_since <= self.silence.busy_s:
            return False
        return link.progress.is_silent(now, self.silence.busy_s)

    def _is_idle(self, link: Link, now: float) -> bool:
        if link.address in self.wanted or self.in_flight(link.address):
            return False
        return now - link.used_at > IDLE_CLOSE_S

    def forgive_own_pause(self, now: float) -> None:
        """Restart all silence timers after this process itself did not run."""
        for link in self.links.values():
            link.progress.note_frame(now)

    def on_frame(self, link: Link, frame: link_pb2.Frame) -> None:
        """Pass a frame on; the first of a link ends its backoff."""
        if link.is_first_frame:
            self.backoffs.pop(link.address, None)
            log.info("link up", address=link.address)
        if self.members is not None:
            self.members.on_frame(link, frame)
        self.listener.on_frame(link, frame)

    def on_link_lost(self, link: Link, was_up: bool) -> None:
        """Forget a link that ended and pass the news on."""
        if self.links.get(link.address) is link:
            del self.links[link.address]
        now = asyncio.get_running_loop().time()
        backoff = self.backoffs.setdefault(link.address, Backoff())
        if not was_up:
            backoff.failed(now, self.rng)
        if was_up:
            log.info("link down", address=link.address)
        if self.members is not None:
            self.members.on_link_lost(link, was_up)
        self.listener.on_link_lost(link, was_up)

    def servers(self, service: str) -> list[ServerState]:
        """Return the backend servers of a service whose links are up."""
        states = (self._state(link) for link in self.links.values() if link.is_up)
        return [s for s in states if s is not None and s.server.service == service]

    def _state(self, link: Link) -> ServerState | None:
        if link.info is None:
            return None
        return ServerState(
            _backend_server(link),
            load=link.load,
            in_flight=self.in_flight(link.address),
            sent_since_report=len(link.sent_at),
            ended_since_report=len(link.ended_at),
            leaving=link.leaving or self._is_leaving(link.address),
        )

    def _is_leaving(self, address: str) -> bool:
        return self.members is not None and self.members.is_leaving(address)

    def close(self) -> None:
        """End all links."""
        for link in list(self.links.values()):
            link.close()
        self.links.clear()


def _backend_server(link: Link) -> BackendServer:
    info = link.info
    return BackendServer(
        address=link.address,
        vm=info.vm,
        kind=info.kind,
        service=info.service,
        versions=tuple(info.versions),
        place=Place(info.failure_domain, info.region),
        slots=link.load.slots if link.load else 1,
        checks_fencing=info.checks_fencing,
    )
