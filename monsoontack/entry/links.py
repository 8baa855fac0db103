"""Links to agents: one gRPC stream per agent that carries all its generations.

A link that fails or times out is replaced by a new connection. Links to the
agents of the entry's subset are kept open. Other links are opened on demand, for
example when a caller reconnects to a stream whose agent is outside the subset.
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
from monsoontack.entry.linklimits import Backoff, SilenceLimits
from monsoontack.generation.progress import LinkProgress
from monsoontack.proto import link_pb2, link_pb2_grpc

log = structlog.get_logger("entry.links")

CONNECT_TIMEOUT_S = 1.0
# An on-demand link without requests is closed after this time.
IDLE_CLOSE_DELAY_S = 30.0
CHANNEL_OPTIONS = (
    # By default, channels to the same address share a connection, so a new link
    # would reuse the unresponsive connection of the link that it replaces.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.max_receive_message_length", 16 * 1024 * 1024),
    ("grpc.initial_reconnect_backoff_ms", 100),
)


class LinkListener(Protocol):
    """Receives the frames and the connection losses of links."""

    def on_frame(self, link: "Link", frame: link_pb2.Frame) -> None:
        """Handle one frame; `link.is_first_frame` marks the first of a link."""
        ...

    def on_link_lost(self, link: "Link", was_up: bool) -> None:
        """Handle the loss of a link; `was_up` is False if it received no frame.

        A silent link that still awaits call results is lost first for new work, while
        `is_closed` is False, and a second time when its connection ends.
        """
        ...


class MembershipListener(LinkListener, Protocol):
    """Listener that also knows which agents are leaving, e.g. from the VM list."""

    def is_leaving(self, address: str) -> bool:
        """Return whether an agent accepts no new work because it is leaving."""
        ...


@dataclass(frozen=True, slots=True)
class LinkIdentity:
    """Identity that the entry sends to agents in `Hello`."""

    entry: str
    place: Place


class Link:
    """One connection to one agent; it is never reopened.

    A link is up from its first frame until the connection ends. `calls_awaited` counts
    the calls that await their result on it. `is_silent` is true once it was found
    silent, and `is_replaced` if it then stays open for call results only.
    """

    def __init__(self, address: str, identity: LinkIdentity, listener: LinkListener):
        self.address = address
        self.listener = listener
        self.is_up = False
        self.is_first_frame = False
        self.has_new_start = False
        self.is_closed = False
        self.is_leaving = False
        self.is_replaced = False
        self.is_silent = False
        self.calls_awaited = 0
        self.config_revision = 0
        self.info: link_pb2.AgentInfo | None = None
        self.load: LoadReport | None = None
        self.unreported_send_times: deque[float] = deque()
        self.unreported_end_times: deque[float] = deque()
        now = asyncio.get_running_loop().time()
        self.opened_at = now
        self.busy_since: float | None = None
        self.last_used_at = now
        self.progress = LinkProgress(last_frame_at=now)
        self.outbox: asyncio.Queue = asyncio.Queue()
        self.send(_hello(identity))
        self.task = asyncio.ensure_future(self._run())

    def send(self, message: link_pb2.EntryMessage) -> None:
        """Queue a message; it is lost if the link ends before it is sent."""
        self.outbox.put_nowait(message)

    def note_sent(self, now: float) -> None:
        """Count a sent request until a load report includes it."""
        self.unreported_send_times.append(now)

    def note_ended(self, now: float) -> None:
        """Count an ended request until a load report includes it."""
        self.unreported_end_times.append(now)

    def set_busy(self, is_busy: bool, now: float) -> None:
        """Record whether requests of this entry are in progress on the link."""
        if not is_busy:
            self.busy_since = None
        elif self.busy_since is None:
            self.busy_since = now

    def close(self) -> None:
        """Close the link without notifying the listener."""
        self.is_closed = True
        self.task.cancel()

    async def _run(self) -> None:
        channel = grpc.aio.insecure_channel(self.address, options=CHANNEL_OPTIONS)
        try:
            call = link_pb2_grpc.LinkStub(channel).Connect(self._messages())
            async for frame in call:
                self._handle_frame(frame)
        except (grpc.aio.AioRpcError, grpc.aio.UsageError, OSError) as error:
            log.debug(
                "link connection ended with an error",
                address=self.address,
                error=str(error),
            )
        finally:
            # An unresponsive peer never confirms the close, so the link does not wait
            # for it.
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
        self.is_leaving = frame.leaving
        self.config_revision = max(self.config_revision, frame.revision)
        former = self.info
        if frame.HasField("info"):
            self.info = frame.info
        # The agent may report a new start of its backend server on the same link.
        self.has_new_start = self.is_first_frame or (
            former is not None and former.incarnation != self.info.incarnation
        )
        if frame.HasField("load"):
            self._record_load(frame.load, now)
        self.listener.on_frame(self, frame)

    def _record_load(self, load: link_pb2.Load, now: float) -> None:
        self.progress.note_load(load, now)
        reported_at = now - load.age_s
        for times in (self.unreported_send_times, self.unreported_end_times):
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


class LinkPool:
    """All links of an entry, by agent address.

    `members` is notified of frames and lost links before `listener`, so that the
    decisions of `listener` use the latest membership state. `in_flight` returns the
    number of requests on an agent. `awaited_addresses` returns the addresses of the
    agents on which requests are in progress. `replaced` holds the silent links that
    await call results until their connection ends or their calls time out.
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
        self.members: MembershipListener | None = None
        self.links: dict[str, Link] = {}
        self.replaced: list[Link] = []
        self.wanted: dict[str, VmRecord] = {}
        self.backoffs: dict[str, Backoff] = {}
        self.in_flight: Callable[[str], int] = lambda address: 0
        self.awaited_addresses: Callable[[], set[str]] = set

    def set_wanted(self, records: Iterable[VmRecord]) -> None:
        """Replace the set of agents whose links are kept open."""
        self.wanted = {record.address: record for record in records}
        unwanted = set(self.backoffs) - set(self.wanted)
        for address in unwanted:
            del self.backoffs[address]

    def get_or_open(self, address: str) -> Link:
        """Return the link to an agent; open one if there is none."""
        link = self.links.get(address)
        if link is None or link.is_closed:
            link = self.open_link(address, self.identity, self)
            self.links[address] = link
        link.last_used_at = asyncio.get_running_loop().time()
        return link

    def tick(self, now: float) -> list[Link]:
        """Open wanted links, close idle links and replace silent links.

        Notifies the listeners of the silent links, and returns these links.
        """
        awaited = self.awaited_addresses()
        for link in self.links.values():
            link.set_busy(link.address in awaited, now)
        silent = [link for link in self.links.values() if self._is_silent(link, now)]
        for link in silent:
            self._replace_silent(link)
        for link in [link for link in self.replaced if not link.calls_awaited]:
            self.replaced.remove(link)
            link.close()
        for address in self.wanted:
            backoff = self.backoffs.setdefault(address, Backoff())
            if address not in self.links and now >= backoff.next_at:
                self.get_or_open(address)
        for link in [
            candidate
            for candidate in self.links.values()
            if self._is_idle(candidate, now)
        ]:
            link.close()
            del self.links[link.address]
        return silent

    def _replace_silent(self, link: Link) -> None:
        """Remove a silent link; it stays open while it awaits call results."""
        was_up = link.is_up
        link.is_silent = True
        if was_up and link.calls_awaited:
            link.is_replaced = True
            self.replaced.append(link)
            log.info("link silent", address=link.address, calls=link.calls_awaited)
        else:
            link.close()
        self.on_link_lost(link, was_up)

    def _is_silent(self, link: Link, now: float) -> bool:
        if not link.is_up:
            return link.progress.is_silent(now, CONNECT_TIMEOUT_S)
        if link.busy_since is None:
            return link.progress.is_silent(now, self.silence.idle_s)
        # The agent starts frequent heartbeats only when it receives a request.
        if now - link.busy_since <= self.silence.busy_s:
            return False
        return link.progress.is_silent(now, self.silence.busy_s)

    def _is_idle(self, link: Link, now: float) -> bool:
        if link.address in self.wanted or self.in_flight(link.address):
            return False
        return now - link.last_used_at > IDLE_CLOSE_DELAY_S

    def restart_silence_timers(self, now: float) -> None:
        """Restart all silence timers after a pause of this process.

        Frames that arrived during the pause are not processed yet, so that healthy
        links would be treated as silent.
        """
        for link in self.links.values():
            link.progress.note_frame(now)

    def on_frame(self, link: Link, frame: link_pb2.Frame) -> None:
        """Pass a frame to the listeners; the first frame resets the backoff."""
        if link.is_replaced:
            self.listener.on_frame(link, frame)
            return
        if link.is_first_frame:
            self.backoffs.pop(link.address, None)
            log.info("link up", address=link.address)
        if self.members is not None:
            self.members.on_frame(link, frame)
        self.listener.on_frame(link, frame)

    def on_link_lost(self, link: Link, was_up: bool) -> None:
        """Remove a lost link and notify the listeners."""
        if link.is_replaced and link.is_closed:
            self.replaced.remove(link)
            self.listener.on_link_lost(link, was_up)
            return
        if self.links.get(link.address) is link:
            del self.links[link.address]
        now = asyncio.get_running_loop().time()
        backoff = self.backoffs.setdefault(link.address, Backoff())
        if not was_up:
            backoff.note_failure(now, self.rng)
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
            backend_server(link),
            load=link.load,
            in_flight=self.in_flight(link.address),
            sent_since_report=len(link.unreported_send_times),
            ended_since_report=len(link.unreported_end_times),
            leaving=link.is_leaving or self._is_leaving(link.address),
        )

    def _is_leaving(self, address: str) -> bool:
        return self.members is not None and self.members.is_leaving(address)

    def close(self) -> None:
        """Close all links without notifying the listener."""
        for link in [*self.links.values(), *self.replaced]:
            link.close()
        self.links.clear()
        self.replaced.clear()


def backend_server(link: Link) -> BackendServer:
    """Return the backend server of a link that has received `AgentInfo`."""
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
        started_unix_ms=info.incarnation,
    )
