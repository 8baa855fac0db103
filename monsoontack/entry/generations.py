"""Generations in progress at this entry.

`GenerationManager` connects the recovery state machine with the links: it routes
chunks to the sessions that wait for them and executes the actions that the state
machine plans.
"""

import asyncio
import random
from collections import Counter

import structlog

from monsoontack.core.counters import Counters
from monsoontack.core.errors import RequestError, RunState
from monsoontack.entry.enginechoice import EngineChoice
from monsoontack.entry.links import Link, LinkPool, backend_server
from monsoontack.entry.protocols import OutcomeSink, Picker
from monsoontack.entry.session import GenerationSession
from monsoontack.generation.eventid import EventId
from monsoontack.generation.resume import (
    AgentSilent,
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
# A stream that stays at a silent engine looks for a better one at this interval, which
# is that of the agents' heartbeats on busy links.
STAY_CHECK_INTERVAL_S = 0.5
# Generations have no deadline, so this limits how long a hung engine holds an answer.
# Agents keep ended streams for as long.
MAX_STAY_S = 60.0


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
        self.engine_choice = EngineChoice(picker, rng)
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
                # A caller may take 503 as a promise that its request was not run.
                status = 503 if state.run_state is RunState.NOT_RUN else 502
                error = RequestError(status, code, message, state.run_state, 0.0)
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
        if link.is_replaced:
            # Its streams have been attached over another link.
            self._pass_results(link, frame)
            return
        if link.is_first_frame:
            for session in self._sessions_on(link):
                self.apply(session, Answered())
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
        self._pass_results(link, frame)

    def _pass_results(self, link: Link, frame: link_pb2.Frame) -> None:
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
        """Recover the sessions of a link that ended or is silent."""
        if not (link.is_replaced and link.is_closed):
            event = LinkLost() if was_up else LinkRefused()
            for session in self._sessions_on(link):
                if link.is_silent and not was_up:
                    self._handle_silent_agent(session, event)
                else:
                    self.apply(session, event)
        self.on_calls_lost(link)

    def _sessions_on(self, link: Link) -> list[GenerationSession]:
        return [s for s in self.sessions.values() if s.state.address == link.address]

    def tick(self, now: float) -> None:
        """Detect stalled engines and overdue answers; cancel abandoned attempts."""
        for session in list(self.sessions.values()):
            state = session.state
            overdue = state.phase is Phase.ATTACHING and now > state.attach_deadline
            if overdue or state.phase is Phase.WAITING:
                self._handle_silent_agent(session, Tick())
            elif state.phase is Phase.RUNNING and not session.is_ended:
                link = self.pool.links.get(state.address)
                if link and state.progress.is_stalled(link.progress, now):
                    self._leaves_silent(session, now)
        for generation, (cancel_at, address, attempt) in list(self.abandoned.items()):
            if now > cancel_at:
                del self.abandoned[generation]
                self._cancel(generation, address, attempt)

    def _leaves_silent(self, session: GenerationSession, now: float) -> bool:
        """Leave a silent engine if another one is better; return False to stay."""
        if now < session.next_stay_check_at:
            return False
        address = session.state.address
        if session.silent_since is None:
            session.silent_since = now
        self.engine_choice.silent_engines.note(address, now)
        cause, backup = self.engine_choice.find_backup(session, self.pool, now)
        if cause is None or now - session.silent_since > MAX_STAY_S:
            self.apply(session, Stalled(backup))
            session.end_stay()
            return True
        session.next_stay_check_at = now + STAY_CHECK_INTERVAL_S
        if cause != session.stay_cause:
            if not session.stay_cause:
                self.counters.add("stays")
                self.picker.record(address, True, now)
            session.stay_cause = cause
            log.info(
                "generation stays at its silent engine",
                generation=session.generation,
                address=address,
                waits_for=cause,
            )
        return False

    def _handle_silent_agent(self, session: GenerationSession, event: Event) -> None:
        """Leave an agent that does not answer, or wait until it is heard.

        A stream leaves if the agent is no longer listed, or has not answered this entry
        since its caller reconnected.
        """
        if not self.is_known(session.state.address):
            self.apply(session, LinkRefused())
        elif session.resumed_address and session.first_token_at is None:
            self.apply(session, event)
        elif not self._leaves_silent(session, self.now()):
            if isinstance(event, LinkRefused):
                self.apply(session, AgentSilent())
            # Links outside the entry's subset are not opened again by the pool.
            self.pool.get_or_open(session.state.address)

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
                backup = cause.backup if isinstance(cause, Stalled) else ""
                return self._start(session, attempt, excluded, backup)
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
        if is_fault and session.state.address and not session.stay_cause:
            self.picker.record(session.state.address, True, self.now())

    def _start(
        self,
        session: GenerationSession,
        attempt: int,
        excluded: frozenset[str],
        backup: str,
    ) -> Event:
        request = session.request
        address = backup or self.engine_choice.pick_address(
            session, self.pool, excluded, self.now()
        )
        if not address:
            return NoServer()
        link = self.pool.get_or_open(address)
        link.note_sent(self.now())
        start = link_pb2.Start(
            generation=session.generation,
            attempt=attempt,
            service=request.route.service,
            version=session.attempt_log.version,
            request=request.body,
            prefix=session.attempt_log.tokens,
            max_tokens=request.max_tokens,
            priority=request.route.priority,
            account=request.route.account,
        )
        link.send(link_pb2.EntryMessage(revision=request.revision, start=start))
        return Sent(address, link_is_new=not link.is_up)

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
        outcome = session.outcome()
        self.outcomes.record(outcome)
        address = session.state.address
        if outcome.failed:
            return
        if address:
            self.picker.record(address, False, self.now())
        is_first_attempt = len(session.state.attempts_by_cause) == 1
        if outcome.first_token_s is not None and is_first_attempt:
            self.record_success(address, outcome.first_token_s, self.now())
