"""State of one link to an entry, and the encoding of its frames."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from monsoontack.agent.backend import CallOutcome, OrderOutcome
from monsoontack.agent.load import EngineView
from monsoontack.agent.records import StreamEnd
from monsoontack.agent.schedule import FrameSchedule
from monsoontack.agent.streamlog import StreamLog
from monsoontack.core.records import TokenChunk
from monsoontack.proto import link_pb2

# Keeps a frame below the 4 MB limit of a gRPC message.
MAX_RESULT_BYTES = 2_000_000


@dataclass(frozen=True, slots=True)
class AgentIdentity:
    """Static data of `AgentInfo`: all that an agent reports except its versions."""

    vm: str
    kind: str
    service: str
    failure_domain: str
    region: str
    checks_fencing: bool
    incarnation: int

    @classmethod
    def from_settings(cls, settings, incarnation: int) -> "AgentIdentity":
        """Return the identity from `AgentSettings`."""
        return cls(
            settings.vm,
            settings.backend.kind,
            settings.backend.service,
            settings.failure_domain,
            settings.region,
            settings.backend.checks_fencing,
            incarnation,
        )


@dataclass(slots=True, repr=False)
class Link:
    """State of one link; each connection gets a new `number`.

    `sent_info_changes` and `sent_cache_sequence` are the values of
    `EngineView.info_changes` and of the last cache event that the entry was sent.
    """

    number: int
    schedule: FrameSchedule
    entry: str = ""
    ends: deque[StreamEnd] = field(default_factory=deque)
    results: deque[CallOutcome] = field(default_factory=deque)
    order_results: deque[OrderOutcome] = field(default_factory=deque)
    chunks_waiting: bool = False
    calls_running: int = 0
    urgent: bool = True
    sequence: int = 0
    sent_info_changes: int = 0
    sent_cache_sequence: int = 0
    wake: asyncio.Event = field(default_factory=asyncio.Event)

    def has_pending(self) -> bool:
        """Return whether the link has chunks, ends or results to send."""
        return bool(
            self.chunks_waiting or self.ends or self.results or self.order_results
        )

    def notify(self, urgent: bool = False) -> None:
        """Wake the writer of the link; if `urgent`, it sends a frame at once."""
        self.urgent = self.urgent or urgent
        self.wake.set()


def build_frame(
    link: Link,
    streams: StreamLog,
    view: EngineView,
    identity: AgentIdentity,
    revision: int,
    now: float,
) -> link_pb2.Frame:
    """Return the next frame of the link and mark its contents as sent."""
    link.sequence += 1
    chunks, ends = streams.take_unsent(link.number)
    link.chunks_waiting = link.number in streams.unsent
    frame = link_pb2.Frame(
        revision=revision,
        sequence=link.sequence,
        chunks=[encode_chunk(chunk) for chunk in chunks],
        ends=[encode_end(end) for end in [*link.ends, *ends]],
        results=take_call_results(link),
        order_results=[encode_order_result(item) for item in link.order_results],
        leaving=streams.leaving,
    )
    link.ends.clear()
    link.order_results.clear()
    add_cache_events(frame, link, view)
    if link.sent_info_changes != view.info_changes:
        link.sent_info_changes = view.info_changes
        frame.info.CopyFrom(encode_info(identity, view))
    includes_load = link.schedule.is_load_due(now)
    if includes_load:
        frame.load.CopyFrom(encode_load(view, now))
    link.schedule.note_sent(now, includes_load)
    link.urgent = False
    return frame


def take_call_results(link: Link) -> list[link_pb2.CallResult]:
    """Remove and return call results up to the size limit of a frame."""
    results = []
    size = 0
    while link.results and size < MAX_RESULT_BYTES - len(link.results[0].body):
        outcome = link.results.popleft()
        size += len(outcome.body)
        results.append(encode_result(outcome))
    return results


def add_cache_events(frame: link_pb2.Frame, link: Link, view: EngineView) -> None:
    """Add the cache events that the entry was not sent before."""
    for event in view.cache_events_after(link.sent_cache_sequence):
        frame.cache_events.add(
            sequence=event.sequence, kind=event.kind, blocks=event.blocks
        )
        link.sent_cache_sequence = event.sequence


def encode_chunk(chunk: TokenChunk) -> link_pb2.Chunk:
    """Encode a chunk of tokens."""
    return link_pb2.Chunk(
        generation=chunk.generation,
        attempt=chunk.attempt,
        first_position=chunk.first_position,
        tokens=chunk.tokens,
        texts=chunk.texts,
        finish=chunk.finish,
    )


def encode_end(end: StreamEnd) -> link_pb2.StreamEnd:
    """Encode the end of an attempt."""
    return link_pb2.StreamEnd(
        generation=end.generation,
        attempt=end.attempt,
        code=end.code,
        message=end.message,
        started=end.started,
    )


def encode_result(outcome: CallOutcome) -> link_pb2.CallResult:
    """Encode the result of a call."""
    return link_pb2.CallResult(
        call_id=outcome.call_id,
        run_state=outcome.run_state,
        status=outcome.status,
        headers=[
            link_pb2.Header(name=name, value=value) for name, value in outcome.headers
        ],
        body=outcome.body,
        code=outcome.code,
    )


def encode_order_result(outcome: OrderOutcome) -> link_pb2.OrderResult:
    """Encode the result of an order."""
    return link_pb2.OrderResult(
        order_id=outcome.order_id, code=outcome.code, message=outcome.message
    )


def encode_load(view: EngineView, now: float) -> link_pb2.Load:
    """Encode the load; without a report from the engine, use the configured slots."""
    load = view.load
    return link_pb2.Load(
        running=load.running if load else 0,
        queued=load.queued if load else 0,
        slots=load.slots if load else view.slots,
        age_s=now - load.reported_at if load else 0.0,
        progress_age_s=now - view.progress.last_token_at,
        token_gap_p99_s=view.progress.gap_p99_s(),
    )


def encode_info(identity: AgentIdentity, view: EngineView) -> link_pb2.AgentInfo:
    """Encode the identity of the agent and its loaded versions."""
    return link_pb2.AgentInfo(
        vm=identity.vm,
        kind=identity.kind,
        service=identity.service,
        versions=view.versions,
        failure_domain=identity.failure_domain,
        region=identity.region,
        checks_fencing=identity.checks_fencing,
        incarnation=identity.incarnation,
    )
