"""The agent without its sockets: handles link messages and backend results.

`Agent` owns the state machines that do no I/O (stream log, fencing numbers, drain
state, links), starts one task for each engine request, call and order, and wakes the
writers of links that have data to send. `monsoontack.agent.server` and `daemon`
connect it to gRPC, the poll loops and signals.
"""

import asyncio
import itertools
import time
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import replace

import structlog

from monsoontack.agent.backend import (
    BackendFailure,
    CallOutcome,
    CallRequest,
    Engine,
    EngineTokens,
    OrderOutcome,
    OrderRequest,
    PlainService,
)
from monsoontack.agent.drain import DrainState
from monsoontack.agent.fencing import CallFences, OrderFence
from monsoontack.agent.links import AgentIdentity, Link, build_frame
from monsoontack.agent.load import EngineView, TokenProgress
from monsoontack.agent.records import (
    Action,
    AttachRequest,
    CancelEngine,
    RunEngine,
    SendEnd,
    StartRequest,
    StreamEnd,
    WakeLink,
)
from monsoontack.agent.schedule import FrameSchedule
from monsoontack.agent.statedump import describe_agent
from monsoontack.agent.statements import BackendStatements
from monsoontack.agent.streamlog import StreamLog
from monsoontack.core.counters import Counters
from monsoontack.proto import link_pb2
from monsoontack.settings.models import AgentSettings

MAX_RUNNING_CALLS = 1024
METRICS_PREFIX = "monsoontack.agent"

log = structlog.get_logger("agent")


class Agent:
    """State of one agent process. Not thread-safe: use it from one event loop only."""

    def __init__(
        self,
        settings: AgentSettings,
        engine: Engine | None,
        service: PlainService | None,
        now: Callable[[], float],
        unix_now: Callable[[], float] = time.time,
    ) -> None:
        """Create an agent whose backend server is `engine` or `service`.

        Exactly one of the two is given. `now` returns the event loop's time and
        `unix_now` returns Unix time, both in seconds.
        """
        self.settings = settings
        self.engine = engine
        self.service = service
        self.now = now
        self.unix_now = unix_now
        self.streams = StreamLog.from_settings(settings)
        self.engine_view = EngineView(
            settings.backend.versions, settings.backend.slots, TokenProgress(now())
        )
        self.identity = AgentIdentity.from_settings(settings, int(unix_now() * 1000))
        self.call_fences = CallFences()
        self.order_fence = OrderFence()
        self.drain = DrainState(settings.drain_deadline_s)
        self.statements = BackendStatements(settings.backend.service, now)
        self.statements.on_leaving = self._on_backend_leaving
        self.statements.on_new_start = self._on_backend_started
        self.counters = Counters.from_address(settings.statsd_address, METRICS_PREFIX)
        self.links: dict[int, Link] = {}
        self.link_numbers = itertools.count(1)
        self.engine_tasks: dict[int, asyncio.Task] = {}
        self.tasks: set[asyncio.Task] = set()
        self.calls_running = 0
        self.revision = 0

    def open_link(self) -> Link:
        """Register a new connection from an entry and return its link."""
        settings = self.settings
        schedule = FrameSchedule(
            settings.tick_s, settings.heartbeat_s, settings.idle_heartbeat_s
        )
        link = Link(next(self.link_numbers), schedule)
        self.links[link.number] = link
        return link

    def close_link(self, link: Link) -> None:
        """Remove the link of a closed connection; its streams become orphans."""
        del self.links[link.number]
        self.perform(self.streams.close_link(link.number, self.now()))
        if link.entry:
            log.info("link closed", entry=link.entry, link=link.number)

    def receive(self, link: Link, message: link_pb2.EntryMessage) -> None:
        """Handle one message from an entry."""
        self.revision = max(self.revision, message.revision)
        body = message.WhichOneof("body")
        handler = {
            "hello": self._handle_hello,
            "start": self._handle_start,
            "attach": self._handle_attach,
            "cancel": self._handle_cancel,
            "call": self._handle_call,
            "order": self._handle_order,
        }.get(body)
        self.counters.add(f"received.{body}")
        if handler is not None:
            handler(link, getattr(message, body))
            # The message may have made the link busy, and a busy link has the
            # shorter heartbeat interval.
            link.wake.set()

    def is_busy(self, link: Link) -> bool:
        """Return whether the link has a running stream or call."""
        return bool(
            link.calls_running or self.streams.running_count_by_link[link.number]
        )

    def next_frame(self, link: Link) -> link_pb2.Frame:
        """Return the next frame for a link and mark its contents as sent."""
        frame = build_frame(
            link,
            self.streams,
            self.engine_view,
            self.identity,
            self.revision,
            self.now(),
        )
        self.counters.add("frames")
        self.counters.add("tokens", sum(len(c.tokens) for c in frame.chunks))
        for end in frame.ends:
            self.counters.add(f"ends.{end.code}")
        return frame

    def perform(self, actions: Iterable[Action]) -> None:
        """Execute the actions that the stream log returned."""
        for action in actions:
            match action:
                case RunEngine(run_id=run_id, start=start):
                    self.engine_tasks[run_id] = self.spawn(
                        self._run_engine(run_id, start)
                    )
                case CancelEngine(run_id=run_id):
                    if task := self.engine_tasks.pop(run_id, None):
                        task.cancel()
                case SendEnd(link_number=number, end=end):
                    if link := self.links.get(number):
                        link.ends.append(end)
                        link.notify()
                case WakeLink(link_number=number):
                    link = self.links.get(number)
                    # One wake-up before the next frame is enough for the writer.
                    if link is not None and not link.chunks_waiting:
                        link.chunks_waiting = True
                        link.notify()

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Start a task and keep a reference to it until it ends."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def apply_phase(self) -> None:
        """Apply a changed drain phase to the stream log, and announce it on all links.

        The announcement is the `leaving` flag of the next frame, sent at once.
        """
        self.streams.leaving = self.drain.leaving
        log.info("drain phase changed", phase=str(self.drain.phase))
        for link in self.links.values():
            link.notify(urgent=True)

    def _on_backend_leaving(self) -> None:
        """Announce that the backend server takes no new work."""
        if self.drain.mark_vm_leaving(self.now()):
            self.apply_phase()

    def _on_backend_started(self) -> None:
        """Announce the new start of the backend server under a new incarnation.

        Entries that heard that an incarnation is leaving never use it again.
        """
        incarnation = int(self.unix_now() * 1000)
        self.identity = replace(self.identity, incarnation=incarnation)
        self.engine_view.info_changes += 1
        if self.drain.end_vm_leaving(self.now()):
            self.apply_phase()

    def unfinished_count(self) -> int:
        """Return the number of streams, calls and links that the drain waits for.

        A link counts while it has data to send.
        """
        waiting = sum(link.has_pending() for link in self.links.values())
        streams = len(self.streams.unfinished_streams(self.now()))
        return streams + self.calls_running + waiting

    def describe(self) -> dict:
        """Return the agent's state for the operator's state dump."""
        return describe_agent(self)

    def _is_other_service(self, service: str) -> bool:
        """Whether a message is for a server of another service than this agent's.

        An entry may have the address from a VM that has ended. Orders of entries of
        former versions name no service.
        """
        return service not in ("", self.identity.service)

    def _handle_hello(self, link: Link, hello: link_pb2.Hello) -> None:
        link.entry = hello.entry
        log.info("link opened", entry=hello.entry, link=link.number)

    def _handle_start(self, link: Link, message: link_pb2.Start) -> None:
        start = StartRequest(
            message.generation,
            message.attempt,
            message.version,
            message.request,
            tuple(message.prefix),
            message.max_tokens,
            message.priority,
        )
        text = ""
        if self.engine is None or self._is_other_service(message.service):
            text = f"not a model engine of {message.service!r}"
        elif not self.statements.take():
            text = "the engine asked for time"
        if text:
            end = StreamEnd(start.generation, start.attempt, "refused", text, False)
            self.perform([SendEnd(link.number, end)])
            return
        self.perform(self.streams.start(link.number, start, self.now()))

    def _handle_attach(self, link: Link, message: link_pb2.Attach) -> None:
        attach = AttachRequest(
            message.generation, message.attempt, message.from_position
        )
        self.perform(self.streams.attach(link.number, attach, self.now()))

    def _handle_cancel(self, link: Link, message: link_pb2.Cancel) -> None:
        self.perform(self.streams.cancel(message.generation, message.attempt))

    async def _run_engine(self, run_id: int, start: StartRequest) -> None:
        request_id = f"{start.generation}.{start.attempt}"
        ended = False
        try:
            async for item in self.engine.generate(request_id, start):
                ended = self._handle_output(run_id, item)
        except Exception as error:
            # Without an end message the entry would wait for its stall detection.
            log.exception("engine request failed", request=request_id)
            text = f"{type(error).__name__}: {error}"
            self._handle_output(run_id, BackendFailure("backend_failed", text, True))
        finally:
            self.engine_tasks.pop(run_id, None)
            self.engine_view.progress.forget(run_id)
            if not ended:
                self.counters.add("engine.cancelled")
                self.spawn(self.engine.cancel(request_id))

    def _handle_output(self, run_id: int, item: EngineTokens | BackendFailure) -> bool:
        """Add engine output to the stream log; return whether it is the last."""
        now = self.now()
        if isinstance(item, BackendFailure):
            self.counters.add(f"engine.{item.code}")
            self.perform(
                self.streams.fail(run_id, item.code, item.message, item.started, now)
            )
            return True
        self.engine_view.progress.record(run_id, now)
        self.perform(
            self.streams.append(
                run_id, item.first_position, item.tokens, item.texts, item.finish, now
            )
        )
        return bool(item.finish)

    def _handle_call(self, link: Link, message: link_pb2.Call) -> None:
        call = CallRequest(
            message.call_id,
            message.method,
            message.path,
            tuple((header.name, header.value) for header in message.headers),
            message.body,
            message.idempotent,
            message.account,
            message.key,
            message.fence,
            message.timeout_s,
        )
        refused = self._call_refusal(call, message.service, message.latest_start_unix_s)
        if refused is not None:
            self.counters.add(f"calls.{refused.code}")
            link.results.append(refused)
            link.notify()
            return
        self.calls_running += 1
        link.calls_running += 1
        self.spawn(self._run_call(link, call))

    def _call_refusal(
        self, call: CallRequest, service: str, latest_start: float
    ) -> CallOutcome | None:
        code = ""
        if self.service is None:
            code = "not_a_service"
        elif self._is_other_service(service):
            code = "other_service"
        elif self.drain.leaving:
            code = "leaving"
        elif self.calls_running >= MAX_RUNNING_CALLS:
            code = "refused"
        elif not self.statements.take():
            code = "waiting"
        if code:
            return CallOutcome(call.call_id, "not_run", code=code)
        if call.idempotent:
            return None
        refusal = self.call_fences.admit(
            call.account, call.key, call.fence, latest_start, self.unix_now()
        )
        if refusal is None:
            return None
        return CallOutcome(call.call_id, refusal.run_state, code=refusal.code)

    async def _run_call(self, link: Link, call: CallRequest) -> None:
        try:
            outcome = await self.service.call(call)
        finally:
            self.calls_running -= 1
            link.calls_running -= 1
        self.counters.add(f"calls.{outcome.run_state}")
        # If the link closed during the call, the result cannot be delivered and the
        # entry settles the call record as unknown.
        if link.number in self.links:
            link.results.append(outcome)
            link.notify()

    def _handle_order(self, link: Link, message: link_pb2.Order) -> None:
        order = OrderRequest(
            message.order_id,
            message.kind,
            message.version,
            message.adapter,
            message.role,
            message.fence,
        )
        if self.engine is None or self._is_other_service(message.service):
            code, text = "failed", f"not a model engine of {message.service!r}"
        elif text := self.statements.order_refusal():
            code = "failed"
        else:
            refusal = self.order_fence.admit(order.fence)
            if refusal is None:
                self.spawn(self._run_order(link, order))
                return
            code, text = refusal.code, refusal.message
        self._send_order_result(link, OrderOutcome(order.order_id, code, text))

    async def _run_order(self, link: Link, order: OrderRequest) -> None:
        outcome = await self.engine.order(order)
        log.info("order done", order=order.order_id, kind=order.kind, code=outcome.code)
        await self.read_versions()
        self._send_order_result(link, outcome)

    def _send_order_result(self, link: Link, outcome: OrderOutcome) -> None:
        self.counters.add(f"orders.{outcome.code}")
        link.order_results.append(outcome)
        link.notify()

    async def read_versions(self) -> None:
        """Read the loaded versions; announce them on all links if they changed."""
        result = await self.engine.read_versions()
        if self.engine_view.update_versions(result.value_or(self.engine_view.versions)):
            log.info(
                "loaded versions changed", versions=list(self.engine_view.versions)
            )
            for link in self.links.values():
                link.notify(urgent=True)
