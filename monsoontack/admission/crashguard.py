"""Decides whether a request may be sent although a part of its prompt crashes engines.

`CrashGuard` joins what all entries know of crashes (`crashrecords`) with the search
for the parts that explain them (`crashblame`). It refuses requests with a blocked
part, lets one entry at a time try a part whose block has ended, and bounds how many
engines a request may take down before any part is blamed. Accounts whose requests have
not crashed an engine on a blamed part may try it at once, also one at a time.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import structlog

from monsoontack.admission.crashblame import Blame, find_blamed
from monsoontack.admission.crashrecords import (
    NO_RECORD,
    SOUND_BEFORE_CRASH_S,
    CrashNews,
    CrashRecords,
)
from monsoontack.admission.requestcontent import RequestContent
from monsoontack.core.errors import RequestError, RunState
from monsoontack.core.rendezvous import ranked, stable_hash

log = structlog.get_logger("admission.prompts")

# Engines that may break off one request before they go on answering it. More only for
# prompts all of whose parts were answered before.
MAX_BROKEN_OFF = 2
# Parts remembered as sound, the latest ones: those of some minutes at the entry.
MAX_SOUND_PARTS = 4096
# A trial whose outcome nobody reported in this time is over; most end in the other.
TRIAL_S = 20.0
USUAL_TRIAL_S = 3.0
# Callers that come back for a trial must not arrive just before its time.
MIN_RETRY_AFTER_S = 1.0
# Each entry in the order for a part waits this much longer than the one before it, so
# that the news of a trial reach an entry before its own turn.
TURN_S = 2.0


@dataclass(slots=True)
class CrashGuard:
    """Blocked parts of prompts at one entry.

    `sound_at` holds when an engine here began the latest answer on a part that went
    on. `entries` returns the names of all entries. `on_change` is called after a change
    that other entries have to know.
    """

    name: str
    records: CrashRecords = field(default_factory=CrashRecords)
    entries: Callable[[], Iterable[str]] = lambda: ()
    on_change: Callable[[], None] = lambda: None
    sound_at: dict[str, float] = field(default_factory=dict)
    blamed: dict[str, Blame] = field(default_factory=dict)
    decided_version: int = 0

    def note_crash(
        self, server: str, prompts: Iterable[RequestContent], at: float
    ) -> None:
        """Record that an engine crashed with these prompts not yet going on.

        Without prompts, the crash had another cause.
        """
        since = at - SOUND_BEFORE_CRASH_S
        prompts = [
            prompt
            for prompt in prompts
            if any(self.sound_at.get(part, -math.inf) < since for part in prompt.parts)
        ]
        if self.records.add_crash(server, prompts, at):
            self._share_sound_parts(p for prompt in prompts for p in prompt.parts)
            self._decide()
            self.on_change()

    def note_sound(self, prompt: RequestContent, began_at: float) -> None:
        """Record that an engine began an answer on a prompt then, and went on."""
        changed = False
        for part in prompt.parts:
            latest = max(began_at, self.sound_at.pop(part, began_at))
            self.sound_at[part] = latest
            changed |= self.records.add_sound(part, latest)
        while len(self.sound_at) > MAX_SOUND_PARTS:
            del self.sound_at[next(iter(self.sound_at))]
        if changed:
            self._decide()
            self.on_change()

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

    def is_blocked(self, prompt: RequestContent) -> bool:
        """Whether a request must not be sent, or be given up if it was sent."""
        if not self.blamed:
            return False
        return any(b.concerns(prompt.account) for _, b in self._blames(prompt))

    def refusal(self, prompt: RequestContent, now: float) -> RequestError | None:
        """Return the error of a request that was not sent and must not be."""
        waits = self._waits(prompt, now)
        if not waits:
            return None
        message = "a part of the prompt crashes the engines that answer it"
        retry_after_s = max(*waits, MIN_RETRY_AFTER_S)
        return RequestError(503, "prompt_blocked", message, retry_after_s=retry_after_s)

    def take_trial(self, prompt: RequestContent, now: float) -> bool:
        """Whether this request may be the one that tries its blocked parts again."""
        waits = self._waits(prompt, now)
        if not waits or max(waits) > 0:
            return False
        for part, blame in self._blames(prompt):
            self.records.add_trial(part, now)
            log.warning(
                "blocked part of prompts tried again",
                part=part,
                account=prompt.account,
                crashes=blame.crashes,
            )
        self._decide()
        self.on_change()
        return True

    def may_repeat(self, prompt: RequestContent, broken_off: int) -> bool:
        """Whether a request may go to another engine after some broke it off.

        `broken_off` counts the engines that broke off before they went on answering.
        """
        if any(True for _ in self._blames(prompt)):
            return False
        if broken_off < MAX_BROKEN_OFF:
            return True
        return all(part in self.sound_at for part in prompt.parts)

    def _blames(self, prompt: RequestContent) -> Iterable[tuple[str, Blame]]:
        for part in prompt.parts:
            blame = self.blamed.get(part)
            if blame is not None:
                yield part, blame

    def _waits(self, prompt: RequestContent, now: float) -> list[float]:
        """Return how long this entry has to wait to try each blamed part again."""
        return [
            self._wait_s(part, blame, now)
            if blame.concerns(prompt.account)
            else min(self._trial_ends_at(part) - now, USUAL_TRIAL_S)
            for part, blame in self._blames(prompt)
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
            if part in self.sound_at:
                self.records.add_sound(part, self.sound_at[part])

    def _decide(self) -> None:
        """Find the blamed parts anew and log what changed."""
        before, self.blamed = self.blamed, find_blamed(self.records)
        self.decided_version = self.records.version
        for part, blame in self.blamed.items():
            former = before.get(part)
            if former is None or former.accounts != blame.accounts:
                log.warning(
                    "part of prompts blocked",
                    part=part,
                    accounts=None if blame.accounts is None else sorted(blame.accounts),
                    crashes=blame.crashes,
                )
        for part in before.keys() - self.blamed.keys():
            log.info("part of prompts no longer blocked", part=part)


def crash_error() -> RequestError:
    """Return the error of a request that was sent and must not be sent again."""
    message = "the engines crashed or were given up on a part of the prompt"
    return RequestError(502, "prompt_blocked", message, RunState.UNKNOWN)
