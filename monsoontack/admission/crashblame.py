"""Finds the parts of requests that explain the crashes of servers, without I/O.

Each crash names the requests on which its server had not gone on answering; one of them
may have caused it. A part is blamed if it was in enough crashes at different moments
and no server has gone on answering on it since, unless other blamed parts explain
nearly all of these. Whole requests come first, then parts that are later in their
prompts, since fewer requests share them, and of equals those that were in most crashes.
So what comes before deadly parts in their prompts, or ran beside them, is not blamed
with them. While servers crash for other reasons, a part needs more crashes.

A request that comes again crashes all servers of a small service within a moment, and
once more when they are back. So crashes at one moment count as one for parts of prompts
only; those of a request have to lie far enough apart that one event did not cause them.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from monsoontack.admission.crashrecords import SAME_MOMENT_S, CrashRecords
from monsoontack.admission.requestcontent import is_request

# Crashes that blame a part. The users' rule counts from the fifth crash, for a whole
# request from the third; an engine that crashes by itself under one prompt three times
# in a row is far rarer.
MIN_CRASHES = 3
# The same while engines crash for other reasons, which then takes a sound part by
# chance more often: if the crashes without any part that was in `MIN_CRASHES` of them
# are more than those with the part, from this time before its first one.
MIN_CRASHES_AMONG_OTHERS = 5
# Of these, this many must not be explained by another blamed part.
MIN_OWN_CRASHES = 2
# The same for a whole request: what is left may all be due to another one beside it.
MIN_OWN_CRASHES_OF_A_REQUEST = 1
OTHERS_MARGIN_S = 5.0
# Crashes, however close, that put a part of prompts under suspicion: the users' rule
# counts from the fifth.
MIN_CRASHES_OF_A_SUSPECT = 5
# Time from the first to the last crash of a request. All servers of a service may be
# lost within a second, whatever they run; they are back some seconds later.
MIN_REQUEST_SPAN_S = 1.0
# A blamed part is blocked for this time after its last crash, then one request with it
# is tried. The time doubles with each trial that crashes an engine, up to the maximum.
BLOCK_S = 120.0
MAX_BLOCK_S = 1800.0
# The same for a whole request, of which the users' rule allows three further sends.
REQUEST_BLOCK_S = 600.0


@dataclass(frozen=True, slots=True)
class Blame:
    """A part of requests that crashes servers.

    `accounts` are the client accounts whose requests are refused, None for all. A part
    is blocked for all only if no account alone explains the crashes, so that no caller
    can block the parts of another one. The part is blocked until `until`; `crashes`
    counts the servers that crashed on it.
    """

    accounts: frozenset[str] | None
    until: float
    crashes: int

    def concerns(self, account: str) -> bool:
        """Whether the blame holds for the requests of an account."""
        return self.accounts is None or account in self.accounts


@dataclass(frozen=True, slots=True)
class Verdict:
    """The parts of requests that crash servers, and those that may.

    `suspects` maps parts of prompts that were in many crashes, but are not blamed, to
    the number of these.
    """

    blamed: dict[str, Blame]
    suspects: dict[str, int]


@dataclass(slots=True, repr=False)
class _Evidence:
    """Crashes that a part may have caused, with the accounts of its requests.

    `later_by_crash` holds the parts that followed it in all its requests of a crash and
    may have caused that too. `position` is its highest position in a request.
    `is_request` is set for a whole request, `prompt_parts` has the parts of its prompt.
    """

    is_request: bool
    prompt_parts: tuple[str, ...] = ()
    accounts_by_crash: dict[str, set[str]] = field(default_factory=dict)
    later_by_crash: dict[str, set[str]] = field(default_factory=dict)
    position: int = 0

    def add(self, server: str, account: str, position: int, later: set[str]) -> None:
        """Add a request of a crash, with the part's position and those after it."""
        self.accounts_by_crash.setdefault(server, set()).add(account)
        self.later_by_crash[server] = self.later_by_crash.get(server, later) & later
        self.position = max(self.position, position)

    def explains(
        self,
        times: dict[str, float],
        unexplained: set[str],
        requests: list["_Evidence"],
    ) -> bool:
        """Whether the part explains crashes that no part after it explains as well.

        `unexplained` are the crashes that no blamed part explains, `requests` are the
        blamed requests with the part. If there are several, they are more likely to
        have it as their common cause, so it has to explain the crashes of all but one.
        """
        by_count = sorted(requests, key=lambda found: len(found.accounts_by_crash))
        own = unexplained.union(*(r.accounts_by_crash for r in by_count[:-1]))
        own = own.difference(*(r.accounts_by_crash for r in by_count[-1:]))
        if len(self.moments({s: times[s] for s in own})) < self.min_own_crashes:
            return False
        concerned = unexplained.union(*(r.accounts_by_crash for r in requests))
        later = [p for s, p in self.later_by_crash.items() if s in concerned]
        return not set.intersection(*later)

    @property
    def min_own_crashes(self) -> int:
        """Return the crashes that no other blamed part may explain."""
        return MIN_OWN_CRASHES_OF_A_REQUEST if self.is_request else MIN_OWN_CRASHES

    def is_recurrent(self, times: dict[str, float]) -> bool:
        """Whether the part was in enough crashes that one event did not cause."""
        if not self.is_request:
            return len(self.moments(times)) >= MIN_CRASHES
        found = self.times(times)
        return len(found) >= MIN_CRASHES and found[-1] - found[0] >= MIN_REQUEST_SPAN_S

    def is_enough(self, times: dict[str, float], background: list[float]) -> bool:
        """Whether the crashes blame the part, given those without any suspect.

        Further ones of the latter, after enough crashes of the part, do not end its
        blame.
        """
        own = self.times(times)
        counted = own if self.is_request else moments(own)
        if len(counted) >= MIN_CRASHES_AMONG_OTHERS:
            return True
        since = own[0] - OTHERS_MARGIN_S
        for until in counted[MIN_CRASHES - 1 :]:
            until += SAME_MOMENT_S
            others = sum(since <= at <= until for at in background)
            if others <= sum(at <= until for at in own):
                return True
        return False

    def rank(self, times: dict[str, float], part: str) -> tuple:
        """Return the part's place in the order in which parts are blamed."""
        return self.is_request, self.position, len(self.moments(times)), part

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


def judge_parts(records: CrashRecords) -> Verdict:
    """Return the parts that explain the recorded crashes, and those that may."""
    evidence = _collect_evidence(records)
    blamed = _find_blamed(records, evidence)
    return Verdict(blamed, _find_suspects(evidence, blamed))


def _find_blamed(
    records: CrashRecords, evidence: dict[str, _Evidence]
) -> dict[str, Blame]:
    """Return the parts that explain the recorded crashes."""
    times = {server: crash.at for server, crash in records.crashes.items()}
    recurrent = {
        part: found for part, found in evidence.items() if found.is_recurrent(times)
    }
    taken = {s for found in recurrent.values() for s in found.accounts_by_crash}
    background = [at for server, at in times.items() if server not in taken]
    order = sorted(
        recurrent,
        key=lambda p: recurrent[p].rank(times, p),
        reverse=True,
    )
    unexplained = set(times)
    blamed = {}
    for part in order:
        found = recurrent[part]
        requests = [
            recurrent[other]
            for other in blamed
            if part in recurrent[other].prompt_parts
        ]
        if found.explains(times, unexplained, requests) and found.is_enough(
            times, background
        ):
            blamed[part] = _blame(found, times)
            unexplained.difference_update(found.accounts_by_crash)
    return blamed


def _find_suspects(
    evidence: dict[str, _Evidence], blamed: dict[str, Blame]
) -> dict[str, int]:
    """Return the parts of prompts that may have caused many crashes, with their number.

    They are not blamed, for example since all crashes were at the same moment.
    """
    return {
        part: len(found.accounts_by_crash)
        for part, found in evidence.items()
        if not found.is_request
        and len(found.accounts_by_crash) >= MIN_CRASHES_OF_A_SUSPECT
        and part not in blamed
    }


def _collect_evidence(records: CrashRecords) -> dict[str, _Evidence]:
    """Return the crashes of each part that was in enough of them to be blamed."""
    evidence: dict[str, _Evidence] = {}
    frequent = {
        part: servers
        for part, servers in records.crashes_by_part.items()
        if len(servers) >= MIN_CRASHES
    }
    for server in set().union(*frequent.values()):
        crash = records.crashes[server]
        for request in crash.requests:
            if frequent.keys().isdisjoint(request.parts):
                continue
            candidates = records.candidates(request, crash.at)
            for number, part in enumerate(candidates):
                if part not in frequent:
                    continue
                later = set(candidates[number + 1 :])
                position = request.parts.index(part)
                found = evidence.get(part)
                if found is None:
                    is_whole = is_request(part)
                    prompt_parts = request.prompt_parts if is_whole else ()
                    found = evidence[part] = _Evidence(is_whole, prompt_parts)
                found.add(server, request.account, position, later)
    return evidence


def _blame(found: _Evidence, times: dict[str, float]) -> Blame:
    accounts = set.intersection(*found.accounts_by_crash.values())
    crash_times = found.moments(times)
    gaps = zip(crash_times, crash_times[1:], strict=False)
    first_block_s = REQUEST_BLOCK_S if found.is_request else BLOCK_S
    # Crashes that are further apart than this belong to different trials.
    trial_gap_s = first_block_s / 2
    failed_trials = sum(late - early > trial_gap_s for early, late in gaps)
    block_s = min(first_block_s * 2**failed_trials, MAX_BLOCK_S)
    return Blame(
        accounts=frozenset(accounts) or None,
        until=crash_times[-1] + block_s,
        crashes=len(found.accounts_by_crash),
    )
