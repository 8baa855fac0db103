"""Choice of the engine for each attempt of a generation."""

import random
from dataclasses import dataclass, field, replace

from monsoontack.core.records import BackendServer
from monsoontack.entry.links import LinkPool
from monsoontack.entry.protocols import Picker
from monsoontack.entry.session import GenerationSession
from monsoontack.generation.failover import end_cause
from monsoontack.generation.resume import failover_input
from monsoontack.generation.silence import SilentEngines, why_stay


@dataclass(slots=True, repr=False)
class EngineChoice:
    """Chooses engines with the entry's picker and avoids those found silent."""

    picker: Picker
    rng: random.Random
    silent_engines: SilentEngines = field(default_factory=SilentEngines)

    def pick(
        self,
        session: GenerationSession,
        pool: LinkPool,
        excluded: frozenset[str],
        now: float,
    ) -> BackendServer | None:
        """Return an engine for a session, None if none outside `excluded` takes it."""
        route = session.request.route
        route = replace(route, excluded=route.excluded | excluded)
        servers = pool.servers(route.service)
        return self.picker.pick(route, servers, now, self.rng)

    def pick_address(
        self,
        session: GenerationSession,
        pool: LinkPool,
        excluded: frozenset[str],
        now: float,
    ) -> str:
        """Return the address of an engine for an attempt, empty if there is none.

        An engine that the stream left because it was silent is the last choice.
        """
        server = self.pick(session, pool, excluded, now)
        left_silent = excluded & session.state.left_silent
        if server is None and left_silent:
            server = self.pick(session, pool, excluded - left_silent, now)
        return server.address if server else ""

    def find_backup(
        self, session: GenerationSession, pool: LinkPool, now: float
    ) -> tuple[str | None, str]:
        """Return what keeps a session at its silent engine, None if it may leave.

        The second result is the address of a better engine, empty if there is none.
        """
        loss = failover_input(session.state)
        backup = None
        if end_cause(loss) is None:
            backup = self.pick_backup(session, pool, now)
        cause = why_stay(loss, has_budget=True, has_better_engine=backup is not None)
        return cause, backup.address if backup else ""

    def pick_backup(
        self, session: GenerationSession, pool: LinkPool, now: float
    ) -> BackendServer | None:
        """Return an engine for a stalled stream that has not been found silent."""
        state = session.state
        excluded = {a for a, until in state.excluded.items() if until > now}
        excluded.add(state.address)
        for address, link in pool.links.items():
            progressed_at = link.progress.progressed_at
            if self.silent_engines.is_silent(address, progressed_at, now):
                excluded.add(address)
        return self.pick(session, pool, frozenset(excluded), now)
