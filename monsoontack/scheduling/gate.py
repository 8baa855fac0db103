"""The gate at which streams wait until an engine can begin them.

All waiting streams of a service are looked at together: when a run of this entry ends
or brings its first event, when a load report arrives, when an engine is added, and at
every tick while streams wait. A stream that begins is placed in the same step, so that
its load counts before the next one is looked at. The process that ends takes no other
one's state with it: only the waits are lost.
"""

import asyncio
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import structlog

from monsoontack.core.errors import RequestError
from monsoontack.inbound.responder import CallerDisconnectedError
from monsoontack.routing.placement import EngineCandidate
from monsoontack.scheduling.capacity import EngineRoom, with_unheard_peers
from monsoontack.scheduling.entrant import Entrant, Stream
from monsoontack.scheduling.offer import EngineOffer
from monsoontack.scheduling.queue import PeerWaiting, ServiceState
from monsoontack.scheduling.urgency import WaitingRequest

log = structlog.get_logger("scheduling.gate")

# Interval at which waiting streams are looked at without any other cause.
TICK_S = 0.05
# Least time between two looks at a service. A look takes about 0.7 ms with 56 engines,
# 30 peers and 50 waiting streams, and load reports arrive 100 times a second.
MIN_LOOK_INTERVAL_S = 0.02
# Passes over the waiting streams in one look: a canary limit that is reached changes
# the eligible engines once.
MAX_PASSES = 3


@dataclass(slots=True, repr=False)
class AdmissionGate:
    """Lets the streams of services with different priorities begin in order.

    `engines` returns the engines of a service that may get requests, by their keys.
    `priorities` holds the priorities of the services for which the gate is in force,
    `peer_waiting` returns what waits for a service at peers, `own_factor` the number of
    gateways if this one hears no other, else 1. `draining_error` returns
    the refusal for the time (seconds) that a caller has left, once the entry drains.
    `on_wait` is called with service, priority and seconds when a stream begins,
    `on_refused` with service and reason, `on_waiting_changed` after a look at which
    streams waited.
    """

    engines: Callable[[str], dict[str, EngineCandidate]]
    rng: random.Random
    priorities: dict[str, frozenset[int]] = field(default_factory=dict)
    peer_waiting: Callable[[str, float], PeerWaiting] = lambda service, now: {}
    on_waiting_changed: Callable[[], None] = lambda: None
    own_factor: Callable[[], int] = lambda: 1
    draining_error: Callable[[float], RequestError] | None = None
    on_wait: Callable[[str, int, float], None] = lambda service, priority, wait_s: None
    on_refused: Callable[[str, str], None] = lambda service, reason: None
    states: dict[str, ServiceState] = field(default_factory=dict)
    entrants: dict[int, Entrant] = field(default_factory=dict)
    numbers: Iterator[int] = field(default_factory=itertools.count)
    looked_at: dict[str, float] = field(default_factory=dict)
    timers: dict[str, tuple[float, asyncio.TimerHandle]] = field(default_factory=dict)

    def configure(self, priorities: dict[str, frozenset[int]]) -> None:
        """Apply the priorities of each service in a new configuration."""
        self.priorities = {
            s: found for s, found in priorities.items() if len(found) > 1
        }
        for service, state in self.states.items():
            if service in self.priorities:
                state.top_priority = min(self.priorities[service])
            self.wake(service)

    def is_in_force(self, service: str) -> bool:
        """Whether streams of the service wait for their turn."""
        return service in self.priorities

    def has_waiting(self, service: str) -> bool:
        """Whether streams of the service wait, here or at a peer by its last report."""
        state = self.states.get(service)
        if state is None:
            return False
        return bool(state.waiting) or bool(self.peer_waiting(service, _now()))

    def own_waiting(self) -> dict[str, dict[int, tuple[int, int]]]:
        """Return requests and prompt tokens that wait, by service and priority."""
        rows = {service: state.rows() for service, state in self.states.items()}
        return {service: found for service, found in rows.items() if found}

    def describe(self) -> dict[str, dict]:
        """Return what waits for each service, as a document for operators.

        Times are in seconds, the rate is in prompt tokens per second.
        """
        now = _now()
        return {
            service: {
                "waiting": state.rows(),
                "waiting_at_peers": dict(state.peer_waiting),
                "accounts": Counter(r.account for r in state.waiting.values()),
                "oldest_s": round(
                    max(now - r.arrived_at for r in state.waiting.values()), 2
                ),
                "tokens_per_s": round(state.own_rate()),
            }
            for service, state in self.states.items()
            if state.waiting
        }

    async def enter(
        self,
        service: str,
        request: WaitingRequest,
        stream: Stream,
        gone: asyncio.Future,
        ending: asyncio.Future,
    ) -> object | RequestError | None:
        """Return the attempt with which the stream begins, or its refusal.

        The result is None if the stream should go on as without the gate: no engine is
        known, or the process ends. `gone` is done once the caller has disconnected,
        `ending` once the process ends. Raise CallerDisconnectedError if the caller
        leaves.
        """
        now = _now()
        if not self.engines(service):
            return None
        state = self._state(service)
        request.number = next(self.numbers)
        state.returns.restore(request, now)
        decided = asyncio.get_running_loop().create_future()
        entrant = Entrant(request, stream, decided, now)
        self.entrants[request.number] = entrant
        state.note_rate(now)
        state.waiting[request.number] = request
        state.had_waiting = True
        self._look_soon(service)
        try:
            left_s = max(request.deadline_at - now, 0.0)
            ends = [decided, gone, ending]
            await asyncio.wait(
                ends, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not decided.done() and gone.done():
                raise CallerDisconnectedError
        except asyncio.CancelledError:
            if decided.done() and not isinstance(decided.result(), RequestError):
                stream.abandon(decided.result())
                self.end(service, request)
            raise
        finally:
            self.entrants.pop(request.number, None)
            state.waiting.pop(request.number, None)
        return decided.result() if decided.done() else None

    def end(self, service: str, request: WaitingRequest | None) -> None:
        """Count the end of a stream; one that has not begun is not counted."""
        if request is None or not request.has_begun:
            return
        request.has_begun = False
        self._state(service).shares.remove(request.account, _now())
        self.wake(service)

    def wake(self, service: str) -> None:
        """Look at the streams that wait for a service, shortly after this call."""
        state = self.states.get(service)
        if state is not None and state.waiting:
            self._look_soon(service)

    def wake_all(self) -> None:
        """Look at all waiting streams, shortly after this call."""
        for service in self.states:
            self.wake(service)

    def drain(self, draining_error: Callable[[float], RequestError]) -> None:
        """Answer all waiting streams, and those that would have to wait from now on.

        `draining_error` returns the refusal for the time (seconds) that a caller has
        left.
        """
        self.draining_error = draining_error
        for service in list(self.states):
            self._look(service)

    def with_room(
        self, service: str, request: WaitingRequest, engines: dict[str, EngineCandidate]
    ) -> set[str]:
        """Return the keys of the engines that can begin a further attempt now."""
        state, now = self._state(service), _now()
        is_top = state.is_most_urgent(request)
        rooms = state.look(engines, now)
        return {
            room.engine.key for room in rooms if room.can_begin(request, is_top, now)
        }

    def _state(self, service: str) -> ServiceState:
        state = self.states.get(service)
        if state is None:
            top = min(self.priorities.get(service, (0,)))
            state = self.states[service] = ServiceState(top, self.rng)
        return state

    def _look_soon(self, service: str) -> None:
        """Look at a service's streams now, or once the last look is long enough ago."""
        due_at = self.looked_at.get(service, 0.0) + MIN_LOOK_INTERVAL_S
        timer_at, _ = self.timers.get(service, (math.inf, None))
        if timer_at <= max(due_at, _now()):
            return
        self._schedule(service, max(due_at - _now(), 0.0))

    def _schedule(self, service: str, delay_s: float) -> None:
        self._cancel_timer(service)
        # The time is kept beside the handle, since uvloop's handles of timers that are
        # due have no `when`.
        timer = asyncio.get_running_loop().call_later(delay_s, self._look, service)
        self.timers[service] = _now() + delay_s, timer

    def _cancel_timer(self, service: str) -> None:
        _, timer = self.timers.pop(service, (math.inf, None))
        if timer is not None:
            timer.cancel()

    def _look(self, service: str) -> None:
        """Let the streams begin that can, and refuse those that cannot in time."""
        self._cancel_timer(service)
        state, now = self.states[service], _now()
        self.looked_at[service] = now
        if not state.waiting:
            return
        try:
            self._decide(service, state, now)
        except Exception:
            log.exception("gate failed; waiting streams go on", service=service)
            self._pass_all(state)
        finally:
            if state.waiting:
                self._schedule(service, TICK_S)

    def _decide(self, service: str, state: ServiceState, now: float) -> None:
        engines = self.engines(service)
        if not engines or not self.is_in_force(service):
            self._pass_all(state)
            return
        state.peer_waiting = self.peer_waiting(service, now)
        rooms = self._rooms(state, engines, now)
        for _ in range(MAX_PASSES):
            if self._begin_streams(service, state, engines, rooms, now):
                break
            engines = self.engines(service)
            rooms = self._rooms(state, engines, now) if engines else []
        state.note_rate(now)
        if self.draining_error is not None:
            self._refuse_draining(service, state, now)
        else:
            self._refuse_hopeless(service, state, now)
        self._note_waits(service, state, rooms, now)
        rows = state.rows()
        if rows != state.reported_rows:
            state.reported_rows = rows
            self.on_waiting_changed()

    def _rooms(
        self, state: ServiceState, engines: dict[str, EngineCandidate], now: float
    ) -> list[EngineRoom]:
        return state.look(with_unheard_peers(engines, self.own_factor()), now)

    def _begin_streams(
        self,
        service: str,
        state: ServiceState,
        engines: dict[str, EngineCandidate],
        rooms: list[EngineRoom],
        now: float,
    ) -> bool:
        """Begin the streams that can at these engines.

        Return whether all were considered; the eligible engines may change meanwhile.
        """
        by_key = {room.engine.key: room for room in rooms}
        for request, fitting in state.admissible(rooms, now):
            entrant = self.entrants[request.number]
            with_room = frozenset(room.engine.key for room in fitting)
            offer = EngineOffer(with_room, frozenset(by_key), frozenset(engines))
            try:
                begun = entrant.stream.begin(offer)
            except Exception:
                log.exception("stream at the gate failed; it goes on", service=service)
                self._pass(state, request.number)
                continue
            if begun is None:
                if self.engines(service).keys() != engines.keys():
                    return False
                continue
            key, attempt = begun
            if key in by_key:
                by_key[key].add(request)
            state.begin(request, now)
            self._note_begin(service, entrant, len(fitting), now)
            entrant.decide(attempt)
        return True

    def _note_waits(
        self, service: str, state: ServiceState, rooms: list[EngineRoom], now: float
    ) -> None:
        """Log the streams that have begun to wait."""
        entrants = [self.entrants[number] for number in state.waiting]
        if all(entrant.ahead is not None for entrant in entrants):
            return
        for ahead, request in enumerate(state.ordered(now)):
            entrant = self.entrants[request.number]
            if entrant.ahead is not None:
                continue
            entrant.ahead = ahead
            log.info(
                "stream waits",
                service=service,
                priority=request.priority,
                account=request.account,
                ahead=ahead,
                waiting_at_peers=dict(state.peer_waiting),
                to_objective_s=round(request.objective_at - now, 2),
                **state.room_counts(rooms, request, now),
            )

    def _pass_all(self, state: ServiceState) -> None:
        """Let all streams go on as without the gate."""
        for number in list(state.waiting):
            self._pass(state, number)

    def _pass(self, state: ServiceState, number: int) -> None:
        """Let one stream go on as without the gate."""
        state.waiting.pop(number, None)
        self.entrants[number].decide(None)

    def _note_begin(
        self, service: str, entrant: Entrant, room: int, now: float
    ) -> None:
        """Record a stream that begins; `room` is the number of engines that could."""
        request = entrant.request
        wait_s = now - entrant.came_at
        self.on_wait(service, request.priority, wait_s)
        if entrant.ahead is None:
            return
        log.info(
            "stream admitted",
            service=service,
            priority=request.priority,
            account=request.account,
            waited_s=round(wait_s, 3),
            ahead=entrant.ahead,
            room=room,
            to_objective_s=round(request.objective_at - now, 2),
        )

    def _refuse_draining(self, service: str, state: ServiceState, now: float) -> None:
        for request in list(state.waiting.values()):
            error = self.draining_error(max(request.deadline_at - now, 0.0))
            self._refuse(service, state, request, error)

    def _refuse_hopeless(self, service: str, state: ServiceState, now: float) -> None:
        """Refuse the streams that cannot begin before their deadline."""
        for request, wait_s in state.hopeless(now):
            spacing_s = request.prompt_tokens / state.own_rate()
            retry_s = state.returns.refuse(request, now + wait_s, spacing_s, now)
            log.info(
                "stream refused",
                service=service,
                priority=request.priority,
                account=request.account,
                expected_wait_s=round(wait_s, 2),
                left_s=round(request.deadline_at - now, 2),
                retry_after_s=round(retry_s, 2),
                waiting=state.rows(),
                waiting_at_peers=dict(state.peer_waiting),
            )
            message = f"the engines of {service!r} cannot begin the request in time"
            error = RequestError(503, "overloaded", message, retry_after_s=retry_s)
            self._refuse(service, state, request, error)

    def _refuse(
        self,
        service: str,
        state: ServiceState,
        request: WaitingRequest,
        error: RequestError,
    ) -> None:
        state.waiting.pop(request.number, None)
        if self.entrants[request.number].decide(error):
            self.on_refused(service, error.code)


def _now() -> float:
    return asyncio.get_running_loop().time()
