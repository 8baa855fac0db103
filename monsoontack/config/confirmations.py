"""Which live entries have a revision in force, as the lease holder knows it.

Every entry reports its revision to the lease holder when it adopts one and
every 5 s. The status object `status/config` is written by the lease holder
and names the entries that have not confirmed the newest revision.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from monsoontack.config.revision import encode_json
from monsoontack.core.records import VmRecord

STATUS_KEY = "status/config"


@dataclass(frozen=True, slots=True)
class Confirmations:
    """Incarnation and revision that each entry reported, by peer address.

    `in_force` is the highest revision that all live entries had confirmed.
    """

    reported: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    in_force: int = 0


@dataclass(frozen=True, slots=True)
class ConfigStatus:
    """Content of `status/config`; `phase` is `InForce` or `Spreading`.

    `in_force` is the newest revision confirmed by all; `unconfirmed` names the
    live entries that have not confirmed `revision`.
    """

    revision: int
    phase: str
    in_force: int
    unconfirmed: tuple[str, ...]
    lease_epoch: int

    def encode(self) -> bytes:
        """Return the status as JSON."""
        return encode_json(
            {
                "revision": self.revision,
                "phase": self.phase,
                "in_force": self.in_force,
                "unconfirmed": list(self.unconfirmed),
                "lease_epoch": self.lease_epoch,
            }
        )

    @classmethod
    def decode(cls, value: bytes) -> "ConfigStatus":
        """Read a status; raises ValueError if it is not one."""
        document = json.loads(value)
        try:
            return cls(
                int(document["revision"]),
                str(document["phase"]),
                int(document["in_force"]),
                tuple(document["unconfirmed"]),
                int(document["lease_epoch"]),
            )
        except (KeyError, TypeError) as error:
            raise ValueError(f"malformed configuration status: {error}") from error


def add_report(
    state: Confirmations, address: str, incarnation: int, revision: int
) -> Confirmations:
    """Take in a report; within one incarnation revisions only rise."""
    known_incarnation, known = state.reported.get(address, (incarnation, 0))
    if known_incarnation == incarnation:
        revision = max(known, revision)
    reported = {**state.reported, address: (incarnation, revision)}
    return replace(state, reported=reported)


def evaluate_confirmations(
    state: Confirmations, revision: int, members: Iterable[VmRecord], epoch: int
) -> tuple[Confirmations, ConfigStatus]:
    """Return the status of `revision` among the live entries.

    Reports of entries that are no longer members are dropped.
    """
    live = {member.address: member.vm for member in members}
    kept = {a: r for a, r in state.reported.items() if a in live}
    confirmed = {address: kept.get(address, (0, 0))[1] for address in live}
    late = sorted(vm for a, vm in live.items() if confirmed[a] < revision)
    everywhere = min(confirmed.values(), default=0)
    in_force = max(state.in_force, min(everywhere, revision))
    phase = "Spreading" if late else "InForce"
    status = ConfigStatus(revision, phase, in_force, tuple(late), epoch)
    return Confirmations(kept, in_force), status
