"""Finds the prompt parts that explain the crashes of engines, without I/O.

Each crash names the prompts on which its engine had not gone on answering; one of them
may have caused it. A part is blamed if it was in enough crashes at different moments
and no engine has gone on answering on it since, unless other blamed parts explain
nearly all of these. Parts that are later in their prompts come first, since fewer
requests share them, and of equals those that were in most crashes. So what comes before
deadly parts in their prompts, or ran beside them, is not blamed with them. While
engines crash for other reasons, a part needs more crashes to be blamed.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from monsoontack.admission.crashrecords import SAME_MOMENT_S, CrashRecords

# Crashes that blame a part. The users' rule counts from the fifth crash; an engine that
# crashes by itself under one prompt three times in a row is far rarer.
MIN_CRASHES = 3
# The same while engines crash for other reasons, which then takes a sound part by
# chance more often: if the crashes without any part that was in `MIN_CRASHES` of them
# are more than those with the part, from this time before its first one.
MIN_CRASHES_AMONG_OTHERS = 5
# Of these, this many must not be explained by another blamed part.
MIN_OWN_CRASHES = 2
OTHERS_MARGIN_S = 5.0
# A blamed part is blocked for this time after its last crash, then one request with it
# is tried. The time doubles with each trial that crashes an engine, up to the maximum.
BLOCK_S = 120.0
MAX_BLOCK_S = 1800.0
# Crashes that are further apart than this belong to different trials.
TRIAL_GAP_S = BLOCK_S / 2


@dataclass(frozen=True, slots=True)
class Blame:
    """A part that crashes engines.

    `accounts` are the client accounts whose requests are refused, None for all. A part
    is blocked for all only if no account alone explains the crashes, so that no caller
    can block the parts of another one. The part is blocked until `until`; `crashes`
    counts the engines that crashed on it.
    """

    accounts: frozenset[str] | None
    until: float
    crashes: int

    def concerns(self, account: str) -> bool:
        """Whether the blame holds for the requests of an account."""
        return self.accounts is None or account in self.accounts


@dataclass(slots=True)
class _Evidence:
    """Crashes that a part may have caused, with the accounts of its requests.

    `later_by_crash` holds the parts that followed it in all its prompts of a crash and
    may have caused that too. `position` is its highest position in a prompt.
    """

    accounts_by_crash: dict[str, set[str]] = field(default_factory=dict)
    later_by_crash: dict[str, set[str]] = field(default_factory=dict)
    position: int = 0

    def add(self, server: str, account: str, position: int, later: set[str]) -> None:
        """Add a prompt of a crash, with the part's position and those after it."""
        self.accounts_by_crash.setdefault(server, set()).add(account)
        self.later_by_crash[server] = self.later_by_crash.get(server, later) & later
        self.position = max(self.position, position)

    def explains(self, crashes: dict[str, float]) -> bool:
        """Whether the part explains crashes that no part after it explains as well."""
        later = [found for s, found in self.later_by_crash.items() if s in crashes]
        if len(self.moments(crashes)) < MIN_OWN_CRASHES:
            return False
        return not set.intersection(*later)

    def times(self, times: dict[str, float]) -> list[float]:
        """Return the times of those crashes that are in `times`, in their order."""
        return sorted(times[s] for s in self.accounts_by_crash if s in times)

    def moments(self, times: dict[str, float]) -> list[float]:
        """Return the moments of those crashes that are in `times`."""
        return moments(self.times(times))


def moments(times: Iterable[float]) -> list[float]:
    """Return the first time of each group of times that lie close together."""
    found: list[float] = []
    for at in sorted(times):
        if not found or at >= found[-1] + SAME_MOMENT_S:
            found.append(at)
    return found


def find_blamed(records: CrashRecords) -> dict[str, Blame]:
    """Return the parts that explain the recorded crashes."""
    evidence = _collect_evidence(records)
    times = {server: crash.at for server, crash in records.crashes.items()}
    recurrent = {
        part: found
        for part, found in evidence.items()
        if len(found.moments(times)) >= MIN_CRASHES
    }
    taken = {s for found in recurrent.values() for s in found.accounts_by_crash}
    background = [at for server, at in times.items() if server not in taken]
    order = sorted(
        recurrent,
        key=lambda p: (recurrent[p].position, len(recurrent[p].moments(times)), p),
        reverse=True,
    )
    unexplained = dict(times)
    blamed = {}
    for part in order:
        found = recurrent[part]
        if found.explains(unexplained) and _is_enough(found.times(times), background):
            blamed[part] = _blame(found, times)
            for server in found.accounts_by_crash:
                unexplained.pop(server, None)
    return blamed


def _is_enough(own: list[float], background: list[float]) -> bool:
    """Whether crashes at these times blame a part, given those without any suspect.

    Further ones of the latter, after enough crashes of the part, do not end its blame.
    """
    own_moments = moments(own)
    if len(own_moments) >= MIN_CRASHES_AMONG_OTHERS:
        return True
    since = own[0] - OTHERS_MARGIN_S
    for until in own_moments[MIN_CRASHES - 1 :]:
        until += SAME_MOMENT_S
        others = sum(since <= at <= until for at in background)
        if others <= sum(at <= until for at in own):
            return True
    return False


def _collect_evidence(records: CrashRecords) -> dict[str, _Evidence]:
    """Return the crashes of each part that was in enough of them to be blamed."""
    evidence: dict[str, _Evidence] = {}
    frequent = [s for s in records.crashes_by_part.values() if len(s) >= MIN_CRASHES]
    for server in set().union(*frequent):
        crash = records.crashes[server]
        for prompt in crash.requests:
            candidates = records.candidates(prompt, crash.at)
            for number, part in enumerate(candidates):
                later = set(candidates[number + 1 :])
                position = prompt.parts.index(part)
                found = evidence.setdefault(part, _Evidence())
                found.add(server, prompt.account, position, later)
    return evidence


def _blame(found: _Evidence, times: dict[str, float]) -> Blame:
    accounts = set.intersection(*found.accounts_by_crash.values())
    crash_times = found.moments(times)
    gaps = zip(crash_times, crash_times[1:], strict=False)
    failed_trials = sum(late - early > TRIAL_GAP_S for early, late in gaps)
    block_s = min(BLOCK_S * 2**failed_trials, MAX_BLOCK_S)
    return Blame(
        accounts=frozenset(accounts) or None,
        until=crash_times[-1] + block_s,
        crashes=len(found.accounts_by_crash),
    )
