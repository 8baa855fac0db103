"""Finds the prompt parts that explain the crashes of engines, without I/O.

Each crash names the prompts on which its engine had not gone on answering; one of them
may have caused it. A part is blamed if it was in enough crashes at different moments
and no engine has gone on answering on it since. A crash counts for one part only: the
one that was in most crashes, and of equals the one that is later in its prompts, since
fewer requests share it. So what ran beside a deadly part, or comes before it in each
prompt, is not blamed with it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from monsoontack.admission.crashrecords import SAME_MOMENT_S, CrashRecords

# Crashes that blame a part. The users' rule counts from the fifth crash; an engine that
# crashes by itself under one prompt three times in a row is far rarer.
MIN_CRASHES = 3
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

    `position` is the part's highest position in a prompt.
    """

    accounts_by_crash: dict[str, set[str]] = field(default_factory=dict)
    position: int = 0

    def count(self, times: dict[str, float]) -> int:
        """Return the number of moments of those crashes that are in `times`."""
        return len(moments(times[s] for s in self.accounts_by_crash if s in times))


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
    blamed = {}
    while evidence:
        part = max(
            evidence, key=lambda p: (evidence[p].count(times), evidence[p].position, p)
        )
        found = evidence.pop(part)
        if found.count(times) < MIN_CRASHES:
            break
        blamed[part] = _blame(found, times)
        for server in found.accounts_by_crash:
            times.pop(server, None)
    return blamed


def _collect_evidence(records: CrashRecords) -> dict[str, _Evidence]:
    """Return the crashes of each part that was in enough of them to be blamed."""
    evidence: dict[str, _Evidence] = {}
    frequent = [s for s in records.crashes_by_part.values() if len(s) >= MIN_CRASHES]
    for server in set().union(*frequent):
        crash = records.crashes[server]
        for prompt in crash.prompts:
            for part in records.candidates(prompt, crash.at):
                found = evidence.setdefault(part, _Evidence())
                found.accounts_by_crash.setdefault(server, set()).add(prompt.account)
                position = prompt.parts.index(part)
                found.position = max(found.position, position)
    return evidence


def _blame(found: _Evidence, times: dict[str, float]) -> Blame:
    servers = [server for server in found.accounts_by_crash if server in times]
    accounts = set.intersection(*(found.accounts_by_crash[s] for s in servers))
    crash_times = moments(times[server] for server in servers)
    gaps = zip(crash_times, crash_times[1:], strict=False)
    failed_trials = sum(late - early > TRIAL_GAP_S for early, late in gaps)
    block_s = min(BLOCK_S * 2**failed_trials, MAX_BLOCK_S)
    return Blame(
        accounts=frozenset(accounts) or None,
        until=crash_times[-1] + block_s,
        crashes=len(servers),
    )
