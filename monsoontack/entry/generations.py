"""Generations in progress at this entry.

`GenerationManager` connects the recovery state machine with the links: it routes
chunks to the sessions that wait for them and executes the actions that the state
machine plans.
"""

import asyncio
import random
from collections import Counter
from dataclasses import replace

import structlog

from monsoontack.core.counters import Counters
from monsoontack.core.errors import RequestError
from monsoontack.core.records import RequestOutcome
from monsoontack.entry.links import Link, LinkPool, backend_server
from monsoontack.entry.protocols import OutcomeSink, Picker
from monsoontack.entry.session import GenerationSession
from monsoontack.generation.eventid import EventId
from monsoontack.generation.resume import (
    Answered,
    AttachStream,
    AttemptEnded,
    Begin,
    CancelAttempt,
    Event,
    FailStream,
    LinkLost,
    LinkRefused,
    NoServer,
    Phase,
    Reconnect,
    Sent,
    Stalled,
    StartAttempt,
    Tick,
    plan_recovery,
)
from monsoontack.proto import link_pb2

log = structlog.get_logger("entry.session")

# Time for a disconnected caller to reconnect, possibly through another entry, whose
# attempt then supersedes this one. After it, the attempt is cancelled at the agent.
RECONNECT_GRACE_S = 10.0


class GenerationManager:
    """Holds all sessions of an entry and handles the events of its links."""

    def __init__(
        self,
        picker: Picker,
        outcomes: OutcomeSink,
        counters: Counters,
        rng: random.Random,
    ):
        self.picker = picker
        self.outcomes = outcomes
        self.counters = counters
        self.rng = rng
        self.pool: LinkPool | None = None
        self.sessions: dict[str, GenerationSession] = {}
        self.session_counts: Counter[str] = Counter()
        self.abandoned: dict[str, tuple[float, str, int]] = {}
        self.is_known = lambda address: True
        self.on_call_result = lambda result, link: None
        self.on_calls_lost = lambda link: None
        self.on_link_up = lambda server, now: None
        self.cache_events = lambda address, events: None
        self.record_success = lambda address, latency_s, now: None
        self.order_results = lambda result, link: None

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def begin(self, session: GenerationSession) -> None:
        """Start a session; its attempt log may hold tokens that the caller sent."""
        self._register(session)
        self.apply(session, Begin())

    def reconnect(self, session: GenerationSession, event_id: EventId) -> None:
        """Continue the stream named by the event id of a reconnecting caller."""
        session.resumed_address = event_id.address
        self._register(session)
        self.apply(session, Reconnect(event_id.address, event_id.attempt))

    def _register(self, session: GenerationSession) -> None:
        former = self.sessions.get(session.generation)
        if former is not None:
            self._supersede(former, session)
            self.session_counts[former.state.address] -= 1
        self.sessions[session.generation] = session
        self.session_counts[session.state.address] += 1

    def _supersede(self, former: GenerationSession, session: GenerationSession) -> None:
        state = former.state
        attempt = former.attempt_log.attempt
        self.apply(former, AttemptEnded(attempt, "superseded"))
        # An agent replaces an attempt by a higher one itself, so only another
        # agent needs the cancel.
        if state.address != session.resumed_address:
            self._cancel(former.generation, state.address, attempt)

    def remove(self, session: GenerationSession) -> None:
        """Remove a session whose caller has its answer or has disconnected."""
        if self.sessions.get(session.generation) is not session:
            return
        del self.sessions[session.generation]
        self.session_counts[session.state.address] -= 1
        link = self.pool.links.get(session.state.address)
        if link is not None:
            link.note_ended(self.now())
        if session.is_ended or session.handover:
            return
        state = session.state
        cancel_at = self.now() + RECONNECT_GRACE_S
        self.abandoned[session.generation] = (
            cancel_at,
            state.address,
            state.attempt_log.attempt,
        )

    def hand_over_streams(self) -> None:
        """Tell all streaming callers to continue at another entry."""
        for session in self.sessions.values():
            if session.request.streamed and not session.handover:
                session.handover = True
                session.wake.set()

    def end_rest(self, code: str, message: str) -> None:
        """End the remaining sessions with a typed error."""
        for session in list(self.sessions.values()):
            if not session.is_ended and not session.handover:
                state = session.state
                error = RequestError(503, code, message, state.run_state, 0.0)
                state.phase = Phase.ENDED
                self._end(session, error)

    def in_flight(self, address: str) -> int:
        """Return how many sessions run on an agent's backend server."""
        return self.session_counts[address]

    def awaited_addresses(self) -> set[str]:
        """Return the addresses of agents that unfinished sessions await."""
        return {
            session.state.address
            for session in self.sessions.values()
            if not session.is_ended
        }

    # Events from links.

    def on_frame(self, link: Link, frame: link_pb2.Frame) -> None:
        """Apply a frame: its chunks and stream ends, cache events and results."""
        now = self.now()
        if link.is_first_frame:
            self._apply_to_sessions(link, Answered())
        if link.has_new_start and link.info is not None:
            self.on_link_up(backend_server(link), now)
        if frame.cache_events:
            self.cache_events(link.address, frame.cache_events)
        for chunk in frame.chunks:
            session = self.sessions.get(chunk.generation)
            if session is None:
                self.counters.add("chunks.unknown_generation")
            else:
                self._accept_chunk(session, chunk, now)
        for end in frame.ends:
            session = self.sessions.get(end.generation)
            if session is not None:
                ended = AttemptEnded(end.attempt, end.code, end.started, end.message)
                self.apply(session, ended)
        for result in frame.results:
            self.on_call_result(result, link)
        for result in frame.order_results:
            self.order_results(result, link)

    def _accept_chunk(
        self, session: GenerationSession, chunk: link_pb2.Chunk, now: float
    ) -> None:
        accepted = session.accept(chunk, now)
        self.counters.add("tokens", accepted)
        if not accepted and not session.attempt_log.finish:
            self.counters.add("chunks.dropped")

    def on_link_lost(self, link: Link, was_up: bool) -> None:
        """Recover the sessions of a link that ended."""
        self._apply_to_sessions(link, LinkLost() if was_up else LinkRefused())
        self.on_calls_lost(link)

    def _apply_to_sessions(self, link: Link, event: Event) -> None:
        for session in list(self.sessions.values()):
            if session.state.address == link.address:
                self.apply(session, event)

    def tick(self, now: float) -> None:
        """Detect stalled engines and overdue answers; cancel abandoned attempts."""
        for session in list(self.sessions.values()):
            state = session.state
            if state.phase is Phase.ATTACHING:
                self.apply(session, Tick())
            elif state.phase is Phase.RUNNING and not session.is_ended:
                link = self.pool.links.get(state.address)
                if link and state.progress.is_stalled(link.progress, now):
                    self.apply(session, Stalled())
        for generation, (cancel_at, address, attempt) in list(self.abandoned.items()):
            if now > cancel_at:
                del self.abandoned[generation]
                self._cancel(generation, address, attempt)

    # Execution of planned actions.

    def apply(self, session: GenerationSession, event: Event) -> None:
        """Advance a session by one event and execute the planned actions."""
        if session.is_ended:
            return
        address = session.state.address
        events = [event]
        while events:
            current = events.pop(0)
            for action in plan_recovery(session.state, current, self.now()):
                follow_up = self._execute(session, action, current)
                if follow_up is not None:
                    events.append(follow_up)
        if self.sessions.get(session.generation) is session:
            self.session_counts[address] -= 1
            self.session_counts[session.state.address] += 1

    def _execute(
        self, session: GenerationSession, action, cause: Event
    ) -> Event | None:
        match action:
            case StartAttempt(attempt, excluded):
                self._record_recovery(session, action, cause)
                return self._start(session, attempt, excluded)
            case AttachStream(address, attempt, position):
                self._record_recovery(session, action, cause)
                return self._attach(session, address, attempt, position)
            case CancelAttempt(address, attempt):
                self._cancel(session.generation, address, attempt)
            case FailStream(error):
                self._end(session, error)
        return None

    def _record_recovery(
        self, session: GenerationSession, action, cause: Event
    ) -> None:
        if isinstance(cause, Begin):
            return
        kind = "attach" if isinstance(action, AttachStream) else "start"
        self.counters.add(f"recovery.{kind}")
        self._record_server_failure(session, cause)
        log.info(
            "generation recovery",
            generation=session.generation,
            cause=getattr(cause, "code", type(cause).__name__),
            action=kind,
            attempt=action.attempt,
            position=session.attempt_log.end_position,
        )

    def _record_server_failure(self, session: GenerationSession, cause: Event) -> None:
        is_fault = isinstance(cause, Stalled | LinkRefused) or (
            isinstance(cause, AttemptEnded) and cause.code == "backend_failed"
        )
        if is_fault and session.state.address:
            self.picker.record(session.state.address, True, self.now())

    def _start(
        self, session: GenerationSession, attempt: int, excluded: frozenset
    ) -> Event:
        request = session.request
        route = replace(request.route, excluded=request.route.excluded | excluded)
        servers = self.pool.servers(route.service)
        server = self.picker.pick(route, servers, self.now(), self.rng)
        if server is None:
            return NoServer()
        link = self.pool.get_or_open(server.address)
        link.note_sent(self.now())
        start = link_pb2.Start(
            generation=session.generation,
            attempt=attempt,
            service=route.service,
            version=session.attempt_log.version,
            request=request.body,
            prefix=session.attempt_log.tokens,
            max_tokens=request.max_tokens,
            priority=route.priority,
            account=route.account,
        )
        link.send(link_pb2.EntryMessage(revision=request.revision, start=start))
        return Sent(server.address, link_is_new=not link.is_up)

    def _attach(self, session, address: str, attempt: int, position: int) -> Event:
        # The address comes from a caller's event id, which may be forged.
        if address not in self.pool.links and not self.is_known(address):
            return LinkRefused()
        link = self.pool.get_or_open(address)
        attach = link_pb2.Attach(
            generation=session.generation, attempt=attempt, from_position=position
        )
        revision = session.request.revision
        link.send(link_pb2.EntryMessage(revision=revision, attach=attach))
        return Sent(address, link_is_new=not link.is_up)

    def _cancel(self, generation: str, address: str, attempt: int) -> None:
        link = self.pool.links.get(address)
        if link is not None:
            cancel = link_pb2.Cancel(generation=generation, attempt=attempt)
            link.send(link_pb2.EntryMessage(cancel=cancel))

    def _end(self, session: GenerationSession, error: RequestError) -> None:
        session.error = error
        session.wake.set()
        self.counters.add(f"typed_end.{error.code}")

    def report_outcome(self, session: GenerationSession) -> None:
        """Record the outcome of a finished session as evidence about its version."""
        produced = session.attempt_log.end_position - session.first_position
        first = session.first_token_at
        # The first token of a resumed answer was sent by another entry.
        resumed = bool(session.resumed_address)
        token_gap_s = None
        if first is not None and produced > 1:
            token_gap_s = (session.last_token_at - first) / (produced - 1)
        failed = session.error is not None and session.error.code != "superseded"
        outcome = RequestOutcome(
            session.request.route.service,
            session.attempt_log.version,
            session.request.kind,
            failed,
            None if first is None or resumed else first - session.started_at,
            token_gap_s,
        )
        self.outcomes.record(outcome)
        address = session.state.address
        if not failed and address:
            self.picker.record(address, False, self.now())
        is_first_attempt = not resumed and len(session.state.attempts_by_cause) == 1
        if not failed and first is not None and is_first_attempt:
            self.record_success(address, first - session.started_at, self.now())
