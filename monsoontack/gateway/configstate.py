"""The configuration in force and the time since it was last confirmed.

A process never returns to an older configuration. A revoked key must stop working on
all entries within a bounded time, including on an entry that has lost the store, so
requests with a key are served only if the configuration was confirmed recently. Ages
are measured with the boot clock, which continues while the VM is suspended.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from monsoontack.core.clock import boot_time
from monsoontack.gateway.records import CallerLimits, GatewayConfig

log = structlog.get_logger("gateway.knowledge")

# Share of the revocation bound for which keys are accepted without a confirmation. The
# rest, 1.5 s of 5 s, covers a watch that misses changes for a second. With 0.6,
# requests were refused up to a second before an outage had to be noticed.
KEY_ACCEPT_SHARE = 0.7
# Share of the time in which a change has to be in force for which an entry uses a
# configuration without a confirmation while it may learn of a newer one. The rest
# covers the confirmation's margin and the way of the request.
APPLY_SHARE = 0.95
# Share of that time after which a search for fresh data has shown that nobody whom this
# entry reaches has any: data of one entry reaches all others within less.
SEARCH_SHARE = 0.75
# A rejection of an unknown key or route needs a more recent confirmation than serving a
# request does. An unchanged configuration is confirmed every 1.4 s.
MAX_REJECT_AGE_S = 2.4
# Other entries usually have a newer confirmation, and a retry reaches another entry.
OTHER_ENTRY_RETRY_S = 0.05
# After all entries were lost, a start and the first list take about this long.
MIN_RETRY_S = 0.5
# An outage of all entries is expected to last as long again as it has already lasted.
# A stream that is retried after 3 s still starts within the 4.5 s that its caller
# accepts.
MAX_RETRY_S = 3.0
# During an outage, peers are asked at least this often.
STALE_PEER_TTL_S = 5.0


@dataclass(slots=True, repr=False)
class ConfigState:
    """Newest configuration of this process; times are of the boot clock.

    `revoke_s` is the time within which a removed key must stop working, `apply_s` that
    within which any change must be in force. `search_began_at` is when this entry began
    to search for a source with fresh data, infinite while it has one. `confirmed_at` is
    when the configuration was last confirmed to be current, `stale_peer_at` when a peer
    last had no newer confirmation than this entry. `older_ignored` counts the
    configurations that were ignored because a newer one was in force. `is_unconfirmed`
    is set once `note_age` has found it too old to accept keys.
    """

    revoke_s: float
    boot_clock: Callable[[], float] = boot_time
    apply_s: float = math.inf
    config: GatewayConfig | None = None
    confirmed_at: float = float("-inf")
    search_began_at: float = float("-inf")
    older_ignored: int = 0
    is_unconfirmed: bool = False
    listeners: list[Callable[[GatewayConfig], None]] = field(default_factory=list)
    stale_peer_at: float = float("-inf")
    started_at: float = 0.0

    def __post_init__(self) -> None:
        """Record the start time."""
        self.started_at = self.boot_clock()

    def note_stale_peer(self) -> None:
        """Note that the peers have no newer confirmation than this entry."""
        self.stale_peer_at = self.boot_clock()

    def note_search(self, is_searching: bool) -> None:
        """Note that this entry has lost its source of fresh data, or found one."""
        if not is_searching:
            self.search_began_at = math.inf
        elif self.search_began_at == math.inf:
            self.search_began_at = self.boot_clock()

    def retry_after_s(self) -> float:
        """Return the delay after which a refused caller should retry.

        It is short if only this entry lost the store, and grows with the duration of
        the outage if the peers lost it as well. While this entry searches, its end is
        awaited.
        """
        now = self.boot_clock()
        if self.config is not None and self.may_accept_keys() and not self.may_use():
            search_left_s = self.search_began_at + SEARCH_SHARE * self.apply_s - now
            return min(max(search_left_s, OTHER_ENTRY_RETRY_S), MIN_RETRY_S)
        if now > self.stale_peer_at + STALE_PEER_TTL_S:
            return MIN_RETRY_S if self.config is None else OTHER_ENTRY_RETRY_S
        outage_s = now - max(self.confirmed_at, self.started_at)
        return min(max(outage_s, MIN_RETRY_S), MAX_RETRY_S)

    def apply(self, config: GatewayConfig) -> bool:
        """Apply a configuration if it is newer than the one in force."""
        if self.config is not None and config.version <= self.config.version:
            if config.version < self.config.version:
                self.older_ignored += 1
                log.warning(
                    "older configuration ignored",
                    version=config.version,
                    in_force=self.config.version,
                )
            return False
        self.config = config
        log.info(
            "configuration in force",
            version=config.version,
            unconfirmed_s=self._logged_age_s(),
            routes=len(config.routes),
            keys=None if config.accounts is None else len(config.accounts),
        )
        for listener in self.listeners:
            listener(config)
        return True

    def confirm(self, at: float) -> None:
        """Note that the configuration was current at `at` (boot clock)."""
        before_s = self._logged_age_s()
        self.confirmed_at = max(self.confirmed_at, at)
        if self.is_unconfirmed and self.may_accept_keys():
            self.is_unconfirmed = False
            log.info("configuration confirmed again", unconfirmed_s=before_s)

    def note_age(self) -> None:
        """Log it once if the confirmation has become too old to accept keys."""
        if self.config is None or self.is_unconfirmed or self.may_accept_keys():
            return
        self.is_unconfirmed = True
        log.warning(
            "configuration unconfirmed",
            version=self.config.version,
            unconfirmed_s=self._logged_age_s(),
            stale_peer_s=_rounded(self.boot_clock() - self.stale_peer_at),
        )

    def age_s(self) -> float:
        """Return the time since the configuration was last confirmed."""
        return self.boot_clock() - self.confirmed_at

    def _logged_age_s(self) -> float | None:
        """Return the age for a log line, None before the first confirmation."""
        return _rounded(self.age_s())

    def may_accept_keys(self) -> bool:
        """Whether the confirmation is recent enough to accept API keys."""
        return self.age_s() <= KEY_ACCEPT_SHARE * self.revoke_s

    def may_use(self) -> bool:
        """Whether requests may be handled by the configuration in force.

        They may not while a newer one may be in force elsewhere: the confirmation is
        old, and this entry has not searched its peers for a newer one long enough.
        """
        if self.age_s() <= APPLY_SHARE * self.apply_s:
            return True
        searched_s = self.boot_clock() - self.search_began_at
        return searched_s >= SEARCH_SHARE * self.apply_s

    def may_reject_unknown(self) -> bool:
        """Whether an unknown key or route may be rejected, not only refused for now."""
        return self.age_s() <= MAX_REJECT_AGE_S

    def limits(self) -> CallerLimits:
        """Return the bounds on callers; defaults if no configuration is in force."""
        return CallerLimits() if self.config is None else self.config.limits


def _rounded(duration_s: float) -> float | None:
    """Return a duration for a log line, None if it has no beginning."""
    return round(duration_s, 2) if math.isfinite(duration_s) else None
