"""Lets one request at a time try what may have crashed servers, over all entries.

A suspect is a request that recurs or a part of prompts. An entry asks the entry that
ranks first for the suspect, the next one if that does not answer, and itself if none
does. Requests that wait for the outcome are sent once the suspect is cleared, refused
once it is blocked, and refused as not run if neither is known soon.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator, Mapping
from dataclasses import dataclass, field

import msgspec
import structlog

from monsoontack.admission.crashguard import CrashGuard
from monsoontack.admission.suspectturns import MAX_TURN_S, MAX_TURNS, SuspectTurns
from monsoontack.core.errors import RequestError
from monsoontack.core.rendezvous import ranked, stable_hash
from monsoontack.gateway.job import Job
from monsoontack.gateway.peers import PeerEntry, PeerResponse, call_peer
from monsoontack.gateway.pool import ConnectionPool
from monsoontack.gateway.records import RawRequest
from monsoontack.inbound.responder import Responder

log = structlog.get_logger("gateway.crashes")

PATH = "/turns"
OK, BAD_REQUEST, BUSY = 200, 400, 409
CALL_TIMEOUT_S = 0.3
# An entry that did not answer is not asked again for this time.
SILENT_ENTRY_PAUSE_S = 2.0
# Entries that are asked one after the other before an entry decides alone.
MAX_ASKED = 2
# Share of its remaining time that a request waits for the outcome of another one, as
# long as a turn at most. The rest is for its own run, or for its caller to come back.
MAX_WAIT_SHARE = 0.5
POLL_S = 0.03
# Questions for one turn that the asked entry gets in a second from all entries.
QUESTIONS_PER_S = 1000.0
MIN_QUESTION_INTERVAL_S = 0.05
# A turn goes on for this time after a server broke off the request: from the loss to
# the finding that its process has ended takes 0.5 s, and the news reach all entries
# 0.3 s later.
VERDICT_S = 1.0


class TurnQuestion(msgspec.Struct, frozen=True):
    """Asks for the turn of a suspect, or gives it back after `ends_in_s` seconds."""

    entry: str
    suspect: str
    ends_in_s: float | None = None


PeerCall = Callable[[PeerEntry, bytes], Awaitable[PeerResponse | None]]


def turn_call(pool: ConnectionPool) -> PeerCall:
    """Return the function that sends a question to an entry."""

    async def call(peer: PeerEntry, body: bytes) -> PeerResponse | None:
        return await call_peer(pool, peer, PATH, CALL_TIMEOUT_S, body)

    return call


@dataclass(frozen=True, slots=True, repr=False)
class HeldTurn:
    """A turn of this entry: the entry that gave it, its request, and when it ends."""

    giver: str
    job: Job
    until: float


async def no_peer(peer: PeerEntry, body: bytes) -> None:
    """Return None, for an entry without others."""


@dataclass(slots=True, repr=False)
class SuspectGate:
    """What is under suspicion at one entry.

    `entries` returns the entries of the deployment by name. `held` maps a suspect to
    the turn that a request here has, `asked_at` to the time of the latest question, and
    `silent_until` an entry that did not answer to the end of its pause.
    """

    name: str
    guard: CrashGuard
    call: PeerCall
    entries: Callable[[], Mapping[str, PeerEntry]] = dict
    turns: SuspectTurns = field(default_factory=SuspectTurns)
    held: dict[str, HeldTurn] = field(default_factory=dict)
    asked_at: dict[str, float] = field(default_factory=dict)
    silent_until: dict[str, float] = field(default_factory=dict)
    tasks: set[asyncio.Task] = field(default_factory=set)

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    async def admit(self, job: Job) -> RequestError | None:
        """Wait until a request may be sent; return the error if it must not be."""
        content = job.content
        wait_s = min(MAX_WAIT_SHARE * job.left_s(self.now()), MAX_TURN_S)
        wait_until = self.now() + wait_s
        while (suspect := self.guard.suspect(content)) is not None:
            refusal = self.guard.refusal(content, self.now())
            if refusal is not None:
                return refusal
            if await self._take_turn(suspect, job):
                return self._start_turn(job, self.held[suspect])
            if self.now() >= wait_until or not job.is_wanted():
                return self.guard.suspect_error()
            await asyncio.sleep(POLL_S)
        return self.guard.refusal(content, self.now())

    def _start_turn(self, job: Job, turn: HeldTurn) -> RequestError | None:
        """Send a request on, unless it was blocked while its turn was asked for."""
        refusal = self.guard.refusal(job.content, self.now())
        if refusal is None:
            log.info(
                "request under suspicion is tried",
                request=job.request.request_id,
                suspect=job.turn_of,
                giver=turn.giver,
            )
        return refusal

    def finish(self, job: Job) -> None:
        """Give back the turn of a request that has ended, if it still has one."""
        turn = self.held.get(job.turn_of)
        if turn is None or turn.job is not job:
            return
        ends_in_s = VERDICT_S if job.was_broken_off else 0.0
        task = asyncio.ensure_future(self._end_turn(job.turn_of, turn, ends_in_s))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _take_turn(self, suspect: str, job: Job) -> bool:
        """Ask for the turn of a suspect, unless it was asked for just now."""
        now, turn = self.now(), self.held.get(suspect)
        if turn is not None and now < turn.until:
            return False
        interval_s = max(len(self.entries()) / QUESTIONS_PER_S, MIN_QUESTION_INTERVAL_S)
        if now < self.asked_at.get(suspect, 0.0) + interval_s:
            return False
        # No other request asks while this one waits for the answer.
        if len(self.asked_at) >= MAX_TURNS:
            self.asked_at.clear()
        self.asked_at[suspect] = now + CALL_TIMEOUT_S * MAX_ASKED
        try:
            giver = await self._ask(suspect)
        finally:
            self.asked_at[suspect] = self.now()
        if giver is None:
            return False
        job.turn_of = suspect
        self.held[suspect] = HeldTurn(giver, job, self.now() + MAX_TURN_S)
        return True

    async def _ask(self, suspect: str) -> str | None:
        """Return the entry that gave the turn, None if another request has it."""
        for peer in self._givers(suspect):
            if peer is None:
                break
            body = msgspec.json.encode(TurnQuestion(self.name, suspect))
            answer = await self.call(peer, body)
            if answer is not None and answer.status in (OK, BUSY):
                return peer.name if answer.status == OK else None
            self.silent_until[peer.name] = self.now() + SILENT_ENTRY_PAUSE_S
            log.info("entry gives no turn", peer=peer.name, suspect=suspect)
        is_taken = self.turns.take(suspect, self.name, self.now())
        return self.name if is_taken else None

    def _givers(self, suspect: str) -> Iterator[PeerEntry | None]:
        """Return the entries to ask, in their order; None stands for this entry."""
        entries, now, asked = self.entries(), self.now(), 0
        for name in ranked(stable_hash(suspect), {self.name, *entries}):
            if name == self.name or asked == MAX_ASKED:
                yield None
                return
            peer = entries[name]
            if peer.address and now >= self.silent_until.get(name, now):
                asked += 1
                yield peer

    async def _end_turn(self, suspect: str, turn: HeldTurn, ends_in_s: float) -> None:
        if turn.giver == self.name:
            self.turns.end(suspect, self.name, self.now() + ends_in_s)
        else:
            peer = self.entries().get(turn.giver)
            question = TurnQuestion(self.name, suspect, ends_in_s)
            if peer is not None:
                await self.call(peer, msgspec.json.encode(question))
        await asyncio.sleep(ends_in_s)
        if self.held.get(suspect) is turn:
            del self.held[suspect]
            self.asked_at.pop(suspect, None)

    async def handle(self, raw: RawRequest, responder: Responder) -> None:
        """Answer the question of another entry."""
        try:
            question = msgspec.json.decode(raw.body, type=TurnQuestion)
        except (msgspec.DecodeError, RecursionError) as error:
            log.warning("entry sent a malformed question", detail=str(error))
            responder.send(BAD_REQUEST, ())
            return
        now = self.now()
        if question.ends_in_s is not None:
            until = now + max(question.ends_in_s, 0.0)
            self.turns.end(question.suspect, question.entry, until)
            responder.send(OK, ())
            return
        is_taken = self.turns.take(question.suspect, question.entry, now)
        responder.send(OK if is_taken else BUSY, ())
