"""Recovery of a running generation: which agent continues it, and how.

`plan_recovery` is the state machine of one generation at one entry. It has no
I/O: the entry feeds events and executes the returned actions. Chunks do not
pass through it; `AttemptLog` takes them directly.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from monsoontack.core.errors import RequestError, RunState
from monsoontack.generation.attempts import AttemptLog
from monsoontack.generation.progress import ProgressMonitor

# Time for an agent to answer on a new connection before its stream is given up.
ATTACH_LIMIT_S = 0.5
# A server that failed this generation is not tried again for this time.
EXCLUDE_S = 10.0
# A caller's reconnect skips the attempts that the former entry may have made
# after its last event, so that the new entry always supersedes it.
RECONNECT_ATTEMPT_STEP = 16
# Attempts without one new token, after which the answer is given up.
MAX_FRUITLESS_ATTEMPTS = 6
RETRY_AFTER_S = 1.0
# A retry of these would end the same way.
FINAL_CODES = frozenset(("superseded", "resume_state_lost", "invalid_request"))
MAX_PATIENCE_POWER = 3


class Phase(StrEnum):
    """State of the current attempt."""

    IDLE = "idle"
    ATTACHING = "attaching"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Begin:
    """Start the first attempt of a new request."""


@dataclass(frozen=True, slots=True)
class Reconnect:
    """Continue, for a reconnecting caller, the stream that an agent may hold."""

    address: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Sent:
    """The entry sent the attempt to `address`; `link_is_new` if just opened."""

    address: str
    link_is_new: bool = False


@dataclass(frozen=True, slots=True)
class NoServer:
    """No backend server of the version may take the attempt."""


@dataclass(frozen=True, slots=True)
class Answered:
    """The agent at the other end of a new connection has sent a frame."""


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The agent ended an attempt without a whole answer (`StreamEnd`)."""

    attempt: int
    code: str
    started: bool = True
    message: str = ""


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The connection to the agent broke or is silent; a new one may work."""


@dataclass(frozen=True, slots=True)
class LinkRefused:
    """A new connection to the agent could not be made."""


@dataclass(frozen=True, slots=True)
class Stalled:
    """The engine no longer produces the stream while its agent answers."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = (
    Begin
    | Reconnect
    | Sent
    | NoServer
    | Answered
    | AttemptEnded
    | LinkLost
    | LinkRefused
    | Stalled
    | Tick
)


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Pick a server outside `excluded` and send it Start with the prefix."""

    attempt: int
    excluded: frozenset[str]


@dataclass(frozen=True, slots=True)
class AttachStream:
    """Send Attach over a link to `address`, opened if there is none."""

    address: str
    attempt: int
    from_position: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Tell an agent that an attempt is no longer wanted."""

    address: str
    attempt: int


@dataclass(frozen=True, slots=True)
class FailStream:
    """End the answer with a typed error."""

    error: RequestError


Action = StartAttempt | AttachStream | CancelAttempt | FailStream


@dataclass(slots=True)
class GenerationState:
    """One generation as an entry runs it.

    `address` is the agent of the current attempt, `excluded` maps addresses to
    the time until which they are avoided, `attach_deadline` is when an
    unanswered attach is given up. `unanswered` says that the current
    attempt was sent and its agent has not said that the engine did not begin;
    `maybe_ran` that this was so of an earlier attempt. `attempts_by_cause` counts
    attempts by cause.
    """

    attempt_log: AttemptLog
    progress: ProgressMonitor
    phase: Phase = Phase.IDLE
    address: str = ""
    excluded: dict[str, float] = field(default_factory=dict)
    attach_deadline: float = 0.0
    maybe_ran: bool = False
    unanswered: bool = False
    fruitless: int = 0
    last_end: int = 0
    attempts_by_cause: dict[str, int] = field(default_factory=dict)

    @property
    def run_state(self) -> RunState:
        """What a refusal may truthfully say about this request."""
        if self.attempt_log.end_position:
            return RunState.RUN
        maybe_ran = self.maybe_ran or self.unanswered
        return RunState.UNKNOWN if maybe_ran else RunState.NOT_RUN


def plan_recovery(state: GenerationState, event: Event, now: float) -> list[Action]:
    """Advance `state` by one event and return the actions to execute, in order."""
    if state.phase is Phase.ENDED:
        return []
    return _HANDLERS[type(event)](state, event, now)


def _on_begin(state: GenerationState, event: Begin, now: float) -> list[Action]:
    return _start_elsewhere(state, now, "begin")


def _on_reconnect(state: GenerationState, event: Reconnect, now: float):
    state.maybe_ran = True
    state.address = event.address
    state.attempt_log.attempt = event.attempt
    state.progress.began = state.attempt_log.end_position > 0
    return _attach(state, RECONNECT_ATTEMPT_STEP, "reconnect")


def _on_no_server(state: GenerationState, event: NoServer, now: float):
    message = f"no backend server of version {state.attempt_log.version!r} can take the request"
    return _end(state, "version_unavailable", message, 503)


def _on_answered(state: GenerationState, event: Answered, now: float) -> list[Action]:
    if state.phase is Phase.ATTACHING:
        _run(state, now)
    return []


def _on_link_lost(state: GenerationState, event: LinkLost, now: float) -> list[Action]:
    if state.phase is Phase.ATTACHING:
        return []
    return _attach(state, 1, "link_lost")


def _on_link_refused(state: GenerationState, event: LinkRefused, now: float):
    return _give_up_server(state, now, "link_refused")


def _on_stalled(state: GenerationState, event: Stalled, now: float) -> list[Action]:
    cancel = CancelAttempt(state.address, state.attempt_log.attempt)
    return [cancel, *_give_up_server(state, now, "stalled")]


def _on_tick(state: GenerationState, event: Tick, now: float) -> list[Action]:
    if state.phase is Phase.ATTACHING and now > state.attach_deadline:
        return _give_up_server(state, now, "attach_timeout")
    return []


def _on_sent(state: GenerationState, event: Sent, now: float) -> list[Action]:
    state.address = event.address
    state.unanswered = True
    _run(state, now)
    if event.link_is_new:
        state.phase = Phase.ATTACHING
        state.attach_deadline = now + ATTACH_LIMIT_S
    return []


def _run(state: GenerationState, now: float) -> None:
    state.phase = Phase.RUNNING
    state.progress.start_wait(now)


def _on_ended(state: GenerationState, event: AttemptEnded, now: float) -> list[Action]:
    if event.attempt != state.attempt_log.attempt:
        return []
    state.unanswered = event.started
    if event.code == "superseded":
        message = "another entry has taken over this generation"
        return _end(state, "superseded", message, 409)
    if event.code == "not_found":
        # The agent has lost its log, so the tokens held here continue it.
        return _start_elsewhere(state, now, "not_found")
    if event.code == "invalid" and not state.attempt_log.end_position:
        message = f"the engine refused the request: {event.message}"
        return _end(state, "invalid_request", message, 400)
    return _give_up_server(state, now, event.code)


def _count(state: GenerationState, cause: str) -> None:
    state.attempts_by_cause[cause] = state.attempts_by_cause.get(cause, 0) + 1
    state.maybe_ran = state.maybe_ran or state.unanswered
    state.unanswered = False
    if state.attempt_log.end_position > state.last_end:
        state.fruitless = 0
        state.last_end = state.attempt_log.end_position
    state.fruitless += 1


def _attach(state: GenerationState, step: int, cause: str) -> list[Action]:
    if not state.address:
        return []
    _count(state, cause)
    if state.fruitless > MAX_FRUITLESS_ATTEMPTS:
        return _end(state, "recovery_failed", _fruitless_message(state), 503)
    state.attempt_log.begin_attempt(state.attempt_log.attempt + step)
    state.phase = Phase.ATTACHING
    # Without the beginning of the answer, this entry asks for all of it, so
    # that a later loss of the engine can be recovered from here. The replay
    # begins where the agent's log does.
    log = state.attempt_log
    position = log.end_position if log.has_whole_prefix else 0
    return [AttachStream(state.address, log.attempt, position)]


def _give_up_server(state: GenerationState, now: float, cause: str) -> list[Action]:
    if state.address:
        state.excluded[state.address] = now + EXCLUDE_S
    return _start_elsewhere(state, now, cause)


def _start_elsewhere(state: GenerationState, now: float, cause: str) -> list[Action]:
    _count(state, cause)
    if not state.attempt_log.has_whole_prefix:
        message = "the stream log is lost and the request has no received tokens"
        return _end(state, "resume_state_lost", message, 410)
    if state.fruitless > MAX_FRUITLESS_ATTEMPTS:
        return _end(state, "recovery_failed", _fruitless_message(state), 503)
    state.attempt_log.begin_attempt(state.attempt_log.attempt + 1)
    state.progress.began = False
    state.progress.patience = 2.0 ** min(state.fruitless - 1, MAX_PATIENCE_POWER)
    state.excluded = {a: until for a, until in state.excluded.items() if until > now}
    return [StartAttempt(state.attempt_log.attempt, frozenset(state.excluded))]


def _end(state: GenerationState, code: str, message: str, status: int) -> list[Action]:
    state.phase = Phase.ENDED
    retry = None if code in FINAL_CODES else RETRY_AFTER_S
    return [FailStream(RequestError(status, code, message, state.run_state, retry))]


def _fruitless_message(state: GenerationState) -> str:
    return f"{MAX_FRUITLESS_ATTEMPTS} attempts in a row brought no new token"


_HANDLERS = {
    Begin: _on_begin,
    Reconnect: _on_reconnect,
    Sent: _on_sent,
    NoServer: _on_no_server,
    Answered: _on_answered,
    AttemptEnded: _on_ended,
    LinkLost: _on_link_lost,
    LinkRefused: _on_link_refused,
    Stalled: _on_stalled,
    Tick: _on_tick,
}
