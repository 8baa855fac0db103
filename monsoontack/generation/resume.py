"""Recovery of a running generation: selection of the agent that continues it.

`plan_recovery` is the state machine of one generation at one entry. It does no
I/O: the entry passes in events and executes the returned actions. Chunks bypass
it and go to `AttemptLog` directly.
"""

import math
from dataclasses import dataclass, field
from enum import StrEnum

from monsoontack.core.errors import RequestError, RunState
from monsoontack.generation.attempts import AttemptLog
from monsoontack.generation.failover import FailoverInput
from monsoontack.generation.progress import ProgressMonitor

# Maximum wait for an agent to answer on a new connection.
ATTACH_TIMEOUT_S = 0.5
# Time for which a server that failed this generation is not used for it again.
SERVER_EXCLUSION_S = 10.0
# A caller's reconnect skips the attempt numbers that the previous entry may have
# used after the caller's last event, so that the new entry always supersedes it.
RECONNECT_ATTEMPT_STEP = 16
# Consecutive attempts without a new token after which the generation fails.
MAX_FRUITLESS_ATTEMPTS = 6
RETRY_AFTER_S = 1.0
# A retry after these errors would fail in the same way.
NON_RETRYABLE_CODES = frozenset(("superseded", "resume_state_lost", "invalid_request"))
MAX_WAIT_FACTOR_EXPONENT = 3


class Phase(StrEnum):
    """State of the current attempt."""

    IDLE = "idle"
    ATTACHING = "attaching"
    RUNNING = "running"
    # The agent is silent; the stream is attached to it once it is heard.
    WAITING = "waiting"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Begin:
    """Start the first attempt of a new request."""


@dataclass(frozen=True, slots=True)
class Reconnect:
    """Continue a stream that an agent may hold, for a reconnecting caller."""

    address: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Sent:
    """The entry sent the attempt to `address`; `link_is_new` if its link is not up."""

    address: str
    link_is_new: bool = False


@dataclass(frozen=True, slots=True)
class NoServer:
    """No backend server of the version can accept the attempt."""


@dataclass(frozen=True, slots=True)
class Answered:
    """The agent has sent its first frame on a new connection."""


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The agent ended an attempt before the answer was complete (`StreamEnd`)."""

    attempt: int
    code: str
    started: bool = True
    message: str = ""


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The connection to the agent broke or is silent; a new connection may work."""


@dataclass(frozen=True, slots=True)
class LinkRefused:
    """A new connection to the agent could not be established."""


@dataclass(frozen=True, slots=True)
class AgentSilent:
    """A new connection to the agent is silent too, and no engine is better."""


@dataclass(frozen=True, slots=True)
class Stalled:
    """The stream leaves an engine that is silent, or whose agent is.

    `backup` is the address of the engine that the stream gets, empty if none has been
    picked yet.
    """

    backup: str = ""


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
    | AgentSilent
    | Stalled
    | Tick
)


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Pick a server outside `excluded` and send it `Start` with the prefix."""

    attempt: int
    excluded: frozenset[str]


@dataclass(frozen=True, slots=True)
class AttachStream:
    """Send `Attach` over the link to `address`, opening a link if there is none."""

    address: str
    attempt: int
    from_position: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt at an agent."""

    address: str
    attempt: int


@dataclass(frozen=True, slots=True)
class FailStream:
    """End the stream with a typed error."""

    error: RequestError


Action = StartAttempt | AttachStream | CancelAttempt | FailStream


@dataclass(slots=True, repr=False)
class GenerationState:
    """State of one generation at an entry.

    `address` is the agent of the current attempt. `excluded` maps addresses to
    the time until which they are avoided. `attach_deadline` is the time at which
    an unanswered attach fails. `attempt_may_have_run` is true if the current
    attempt was sent and its agent has not reported that the engine did not start
    it; `earlier_attempt_may_have_run` is true if this held for an earlier
    attempt. `left_silent` holds the addresses of engines that the stream has left
    because they were silent. `attempts_by_cause` counts attempts by cause,
    including the first one.
    """

    attempt_log: AttemptLog
    progress: ProgressMonitor
    phase: Phase = Phase.IDLE
    address: str = ""
    excluded: dict[str, float] = field(default_factory=dict)
    attach_deadline: float = 0.0
    earlier_attempt_may_have_run: bool = False
    attempt_may_have_run: bool = False
    fruitless_attempts: int = 0
    last_end_position: int = 0
    attempts_by_cause: dict[str, int] = field(default_factory=dict)
    left_silent: set[str] = field(default_factory=set)

    @property
    def run_state(self) -> RunState:
        """Run state to report if this request fails now."""
        if self.attempt_log.end_position:
            return RunState.RUN
        may_have_run = self.earlier_attempt_may_have_run or self.attempt_may_have_run
        return RunState.UNKNOWN if may_have_run else RunState.NOT_RUN


def failover_input(state: GenerationState) -> FailoverInput:
    """Return the input of the decision whether the stream leaves its engine."""
    has_progress = state.attempt_log.end_position > state.last_end_position
    fruitless = 0 if has_progress else state.fruitless_attempts
    return FailoverInput(
        has_kv_copy=False,
        resumable=state.attempt_log.has_whole_prefix,
        known_not_run=False,
        attempts_left=MAX_FRUITLESS_ATTEMPTS - fruitless,
        left_s=math.inf,
    )


def plan_recovery(state: GenerationState, event: Event, now: float) -> list[Action]:
    """Advance `state` by one event and return the actions to execute, in order."""
    if state.phase is Phase.ENDED:
        return []
    return _HANDLERS[type(event)](state, event, now)


def _on_begin(state: GenerationState, event: Begin, now: float) -> list[Action]:
    return _start_attempt(state, now, "begin")


def _on_reconnect(state: GenerationState, event: Reconnect, now: float):
    state.earlier_attempt_may_have_run = True
    state.address = event.address
    state.attempt_log.attempt = event.attempt
    state.progress.has_first_token = state.attempt_log.end_position > 0
    return _attach(state, RECONNECT_ATTEMPT_STEP, "reconnect")


def _on_no_server(state: GenerationState, event: NoServer, now: float):
    message = (
        f"no backend server of version {state.attempt_log.version!r}"
        " can take the request"
    )
    return _end(state, "version_unavailable", message, 503)


def _on_answered(state: GenerationState, event: Answered, now: float) -> list[Action]:
    if state.phase is Phase.ATTACHING:
        _enter_running(state, now)
    elif state.phase is Phase.WAITING:
        return [_attach_next(state, 1)]
    return []


def _on_agent_silent(state: GenerationState, event: AgentSilent, now: float):
    state.phase = Phase.WAITING
    return []


def _on_link_lost(state: GenerationState, event: LinkLost, now: float) -> list[Action]:
    if state.phase in (Phase.ATTACHING, Phase.WAITING):
        return []
    return _attach(state, 1, "link_lost")


def _on_link_refused(state: GenerationState, event: LinkRefused, now: float):
    return _fail_over(state, now, "link_refused")


def _on_stalled(state: GenerationState, event: Stalled, now: float) -> list[Action]:
    cancel = CancelAttempt(state.address, state.attempt_log.attempt)
    actions = _fail_over(state, now, "stalled")
    if event.backup:
        state.left_silent.add(state.address)
    return [cancel, *actions]


def _on_tick(state: GenerationState, event: Tick, now: float) -> list[Action]:
    if state.phase is Phase.ATTACHING and now > state.attach_deadline:
        return _fail_over(state, now, "attach_timeout")
    return []


def _on_sent(state: GenerationState, event: Sent, now: float) -> list[Action]:
    state.address = event.address
    state.attempt_may_have_run = True
    _enter_running(state, now)
    if event.link_is_new:
        state.phase = Phase.ATTACHING
        state.attach_deadline = now + ATTACH_TIMEOUT_S
    return []


def _enter_running(state: GenerationState, now: float) -> None:
    state.phase = Phase.RUNNING
    state.progress.start_wait(now)


def _on_ended(state: GenerationState, event: AttemptEnded, now: float) -> list[Action]:
    if event.attempt != state.attempt_log.attempt:
        return []
    state.attempt_may_have_run = event.started
    if event.code == "superseded":
        message = "another entry has taken over this generation"
        return _end(state, "superseded", message, 409)
    if event.code == "not_found":
        # The agent has lost its log, so a new attempt continues from the tokens here.
        return _start_attempt(state, now, "not_found")
    if event.code == "invalid" and not state.attempt_log.end_position:
        message = f"the engine refused the request: {event.message}"
        return _end(state, "invalid_request", message, 400)
    return _fail_over(state, now, event.code)


def _count_attempt(state: GenerationState, cause: str) -> None:
    state.attempts_by_cause[cause] = state.attempts_by_cause.get(cause, 0) + 1
    state.earlier_attempt_may_have_run = (
        state.earlier_attempt_may_have_run or state.attempt_may_have_run
    )
    state.attempt_may_have_run = False
    if state.attempt_log.end_position > state.last_end_position:
        state.fruitless_attempts = 0
        state.last_end_position = state.attempt_log.end_position
    state.fruitless_attempts += 1


def _attach(state: GenerationState, step: int, cause: str) -> list[Action]:
    if not state.address:
        return []
    _count_attempt(state, cause)
    if state.fruitless_attempts > MAX_FRUITLESS_ATTEMPTS:
        return _end(state, "recovery_failed", _fruitless_message(state), 503)
    return [_attach_next(state, step)]


def _attach_next(state: GenerationState, step: int) -> AttachStream:
    state.attempt_log.begin_attempt(state.attempt_log.attempt + step)
    state.phase = Phase.ATTACHING
    # If this entry lacks the beginning of the answer, it requests the whole
    # answer, so that it can recover from a later engine failure. The replay starts
    # at the beginning of the agent's log.
    log = state.attempt_log
    position = log.end_position if log.has_whole_prefix else 0
    return AttachStream(state.address, log.attempt, position)


def _fail_over(state: GenerationState, now: float, cause: str) -> list[Action]:
    if state.address:
        state.excluded[state.address] = now + SERVER_EXCLUSION_S
        state.left_silent.discard(state.address)
    return _start_attempt(state, now, cause)


def _start_attempt(state: GenerationState, now: float, cause: str) -> list[Action]:
    _count_attempt(state, cause)
    if not state.attempt_log.has_whole_prefix:
        message = "the stream log is lost and the request has no received tokens"
        return _end(state, "resume_state_lost", message, 410)
    if state.fruitless_attempts > MAX_FRUITLESS_ATTEMPTS:
        return _end(state, "recovery_failed", _fruitless_message(state), 503)
    state.attempt_log.begin_attempt(state.attempt_log.attempt + 1)
    state.progress.has_first_token = False
    state.progress.first_token_wait_factor = 2.0 ** min(
        state.fruitless_attempts - 1, MAX_WAIT_FACTOR_EXPONENT
    )
    state.excluded = {a: until for a, until in state.excluded.items() if until > now}
    return [StartAttempt(state.attempt_log.attempt, frozenset(state.excluded))]


def _end(state: GenerationState, code: str, message: str, status: int) -> list[Action]:
    state.phase = Phase.ENDED
    retry = None if code in NON_RETRYABLE_CODES else RETRY_AFTER_S
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
    AgentSilent: _on_agent_silent,
    Stalled: _on_stalled,
    Tick: _on_tick,
}
