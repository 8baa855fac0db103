"""Decides whether a request may be sent although a part of it crashes servers.

A part is one of the request's prompt, or the request itself as it comes again.
`CrashGuard` joins what all entries know of crashes (`crashrecords`) with the search
for the parts that explain them (`crashblame`). It refuses requests with a blocked
part, lets one entry at a time try a part whose block has ended, and bounds how many
servers a request may take down before any part is blamed. Accounts whose requests have
not crashed a server on a blamed part may try it at once, also one at a time.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import structlog

from monsoontack.admission.crashblame import Blame, judge_parts
from monsoontack.admission.crashrecords import (
    MIN_CRASHES_OF_A_REQUEST,
    NO_RECORD,
    SOUND_BEFORE_CRASH_S,
    CrashNews,
    CrashRecords,
)
from monsoontack.admission.requestcontent import RequestContent, is_request
from monsoontack.core.errors import RequestError, RunState
from monsoontack.core.rendezvous import ranked, stable_hash

log = structlog.get_logger("admission.prompts")

# Servers that may break off one request before they go on answering it. More only if
# all parts of its prompt, and of a call the request itself, were answered before.
MAX_BROKEN_OFF = 2
# The same for a request that may have crashed servers when it came before.
MAX_BROKEN_OFF_AGAIN = 1
# Parts of prompts remembered as sound, the latest ones: those of some minutes at the
# entry.
MAX_SOUND_PARTS = 4096
# The same for whole requests, which are more and recur less.
MAX_SOUND_REQUESTS = 8192
# A trial whose outcome nobody reported in this time is over; most end in the other.
TRIAL_S = 20.0
USUAL_TRIAL_S = 3.0
# Callers that come back for a trial must not arrive just before its time.
MIN_RETRY_AFTER_S = 1.0
# Each entry in the order for a part waits this much longer than the one before it, so
# that the news of a trial reach an entry before its own turn.
TURN_S = 2.0


@dataclass(slots=True, repr=False)
class CrashGuard:
    """Blocked parts of requests at one entry.

    `sound_at` and `requests_sound_at` hold when a server began the latest answer here
    on a part of a prompt, or on a request, that went on. `entries` returns the names of
    all entries. `on_change` is called after a change that other entries have to know.
    `suspects` maps the parts of prompts that may have caused many crashes, but are not
    blamed, to the number of these.
    """

    name: str
    records: CrashRecords = field(default_factory=CrashRecords)
    entries: Callable[[], Iterable[str]] = lambda: ()
    on_change: Callable[[], None] = lambda: None
    sound_at: dict[str, float] = field(default_factory=dict)
    requests_sound_at: dict[str, float] = field(default_factory=dict)
    blamed: dict[str, Blame] = field(default_factory=dict)
    suspects: dict[str, int] = field(default_factory=dict)
    decided_version: int = 0

    def note_crash(
        self, server: str, requests: Iterable[RequestContent], at: float
    ) -> None:
        """Record that a server crashed with these requests not yet going on.

        Without requests, the crash had another cause.
        """
        since = at - SOUND_BEFORE_CRASH_S
        requests = [
            request
            for request in requests
            if any(self._sound_at(part) < since for part in request.parts)
        ]
        if self.records.add_crash(server, requests, at):
            self._share_sound_parts(p for request in requests for p in request.parts)
            self._decide()
            self.on_change()

    def note_sound(self, request: RequestContent, began_at: float) -> None:
        """Record that a server began an answer on a request then, and went on."""
        self._note_sound(request.parts, began_at)

    def note_survived(self, request: RequestContent, began_at: float) -> None:
        """Record that a server answered a request with an error of its own.

        That says nothing on the parts of the prompt, which it may not have read.
        """
        if request.request is not None:
            self._note_sound((request.request,), began_at)

    def _note_sound(self, parts: Iterable[str], began_at: float) -> None:
        changed = False
        for part in parts:
            is_whole = is_request(part)
            times = self.requests_sound_at if is_whole else self.sound_at
            latest = max(began_at, times.pop(part, began_at))
            times[part] = latest
            if len(times) > (MAX_SOUND_REQUESTS if is_whole else MAX_SOUND_PARTS):
                del times[next(iter(times))]
            changed |= self.records.add_sound(part, latest)
        if changed:
            self._decide()
            self.on_change()

    def _sound_at(self, part: str) -> float:
        """Return when the latest sound answer on a part began here."""
        times = self.requests_sound_at if is_request(part) else self.sound_at
        return times.get(part, -math.inf)

    def merge(self, news: CrashNews, now: float) -> bool:
        """Adopt the news of another entry; return whether anything was new."""
        changed = self.records.merge(news, now)
        if changed:
            self._share_sound_parts(changed)
            self._decide()
        return bool(changed)

    def forget_old(self, now: float) -> None:
        """Forget what no longer decides anything."""
        self.records.forget_old(now)
        if self.records.version != self.decided_version:
            self._decide()

    def is_blocked(self, request: RequestContent) -> bool:
        """Whether a request must not be sent, or be given up if it was sent."""
        if not self.blamed:
            return False
        return any(b.concerns(request.account) for _, b in self._blames(request))

    def refusal(self, request: RequestContent, now: float) -> RequestError | None:
        """Return the error of a request that was not sent and must not be."""
        waits = self._waits(request, now)
        if not waits:
            return None
        retry_after_s = max(*waits, MIN_RETRY_AFTER_S)
        if self._is_blocked_whole(request):
            message = "this request crashes the servers that run it"
            return RequestError(
                503, "request_blocked", message, retry_after_s=retry_after_s
            )
        message = "a part of the prompt crashes the engines that answer it"
        return RequestError(503, "prompt_blocked", message, retry_after_s=retry_after_s)

    def crash_error(self, request: RequestContent) -> RequestError:
        """Return the error of a request that was sent and must not be sent again."""
        if self._is_blocked_whole(request):
            message = "the servers crashed or were given up on this request"
            return RequestError(502, "request_blocked", message, RunState.UNKNOWN)
        message = "the engines crashed or were given up on a part of the prompt"
        return RequestError(502, "prompt_blocked", message, RunState.UNKNOWN)

    def suspect_error(self) -> RequestError:
        """Return the error of a request that another one tries at the moment."""
        message = "the same may have crashed servers, and is being tried again"
        return RequestError(
            503, "request_on_trial", message, retry_after_s=MIN_RETRY_AFTER_S
        )

    def _is_blocked_whole(self, request: RequestContent) -> bool:
        """Whether a blocked request is blocked itself, and no part of its prompt."""
        return all(is_request(part) for part, _ in self._blames(request))

    def take_trial(self, request: RequestContent, now: float) -> bool:
        """Whether this request may be the one that tries its blocked parts again."""
        waits = self._waits(request, now)
        if not waits or max(waits) > 0:
            return False
        for part, blame in self._blames(request):
            self.records.add_trial(part, now)
            subject = "request" if is_request(part) else "part of prompts"
            log.warning(
                f"blocked {subject} tried again",
                part=part,
                account=request.account,
                crashes=blame.crashes,
            )
        self._decide()
        self.on_change()
        return True

    def may_repeat(
        self, request: RequestContent, broken_off: int, is_call: bool = False
    ) -> bool:
        """Whether a request may go to another server after some broke it off.

        `broken_off` counts the servers that broke off before they went on answering. A
        stream that breaks off is continued, so only a call has to be proven as a whole.
        """
        if any(True for _ in self._blames(request)):
            return False
        if self.suspect(request) is not None:
            return broken_off < MAX_BROKEN_OFF_AGAIN
        if broken_off < MAX_BROKEN_OFF:
            return True
        parts = request.parts if is_call else request.prompt_parts
        return all(self._sound_at(part) > -math.inf for part in parts)

    def suspect(self, request: RequestContent) -> str | None:
        """Return what is under suspicion in a request: a part of its prompt or itself.

        All servers may have been lost at once, whatever they ran, so it may as well be
        sound. It is not blamed yet, but tried by one caller at a time. Of several parts
        it is the one that was in most crashes.
        """
        parts = [part for part in request.prompt_parts if part in self.suspects]
        if parts:
            return max(parts, key=self.suspects.__getitem__)
        own = request.request
        if own not in self.records.crashes_by_part:
            return None
        crashes = self.records.uncleared_crashes(own, self._sound_at(own))
        return own if crashes >= MIN_CRASHES_OF_A_REQUEST else None

    def _blames(self, request: RequestContent) -> Iterable[tuple[str, Blame]]:
        for part in request.parts:
            blame = self.blamed.get(part)
            if blame is not None:
                yield part, blame

    def _waits(self, request: RequestContent, now: float) -> list[float]:
        """Return how long this entry has to wait to try each blamed part again."""
        return [
            self._wait_s(part, blame, now)
            if blame.concerns(request.account)
            else min(self._trial_ends_at(part) - now, USUAL_TRIAL_S)
            for part, blame in self._blames(request)
        ]

    def _trial_ends_at(self, part: str) -> float:
        trial_at = self.records.parts.get(part, NO_RECORD).trial_at
        return -math.inf if trial_at is None else trial_at + TRIAL_S

    def _wait_s(self, part: str, blame: Blame, now: float) -> float:
        """Return the wait for accounts that the blame concerns."""
        may_try_at = max(blame.until, self._trial_ends_at(part))
        if now >= may_try_at:
            may_try_at += TURN_S * self._turn(part)
        return may_try_at - now

    def _turn(self, part: str) -> int:
        """Return this entry's place in the order of the entries for a part."""
        order = ranked(stable_hash(part), {self.name, *self.entries()})
        return order.index(self.name)

    def _share_sound_parts(self, parts: Iterable[str]) -> None:
        """Put what this entry knows of parts into the records."""
        for part in dict.fromkeys(parts):
            sound_at = self._sound_at(part)
            if sound_at > -math.inf:
                self.records.add_sound(part, sound_at)

    def _decide(self) -> None:
        """Find the blamed parts anew and log what changed."""
        before, verdict = self.blamed, judge_parts(self.records)
        self.blamed, self.suspects = verdict.blamed, verdict.suspects
        self.decided_version = self.records.version
        for part, blame in self.blamed.items():
            former = before.get(part)
            if former is None or former.accounts != blame.accounts:
                log.warning(
                    "request blocked"
                    if is_request(part)
                    else "part of prompts blocked",
                    part=part,
                    accounts=None if blame.accounts is None else sorted(blame.accounts),
                    crashes=blame.crashes,
                )
        for part in before.keys() - self.blamed.keys():
            subject = "request" if is_request(part) else "part of prompts"
            log.info(f"{subject} no longer blocked", part=part)
