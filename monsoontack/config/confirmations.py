"""The lease holder's record of which live entries have adopted a revision.

Every entry reports its revision to the lease holder when it adopts one and
every 5 s. The lease holder writes the status object `status/config`, which names
the entries that have not confirmed the newest revision.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from monsoontack.config.revision import encode_json
from monsoontack.core.rawjson import load_document
from monsoontack.core.records import VmRecord

STATUS_KEY = "status/config"


@dataclass(frozen=True, slots=True)
class Confirmations:
    """The incarnation and revision that each entry reported, by peer address.

    `in_force` is the highest revision that all live entries have ever confirmed.
    `evaluated` holds, by address, the VM and the incarnation whose report was last
    evaluated. After the VM at an address has changed, that report is the former one's.
    """

    reported: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    in_force: int = 0
    evaluated: Mapping[str, tuple[str, int]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ConfigStatus:
    """Content of `status/config`; `phase` is `InForce` or `Spreading`.

    `in_force` is the newest revision that all live entries have confirmed;
    `unconfirmed` names the live entries that have not confirmed `revision`.
    """

    revision: int
    phase: str
    in_force: int
    unconfirmed: tuple[str, ...]
    lease_epoch: int

    def encode(self) -> bytes:
        """Return the JSON form of the status."""
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
        """Parse the JSON form of a status; raises ValueError if it is malformed."""
        document = load_document(value)
        try:
            return cls(
                int(document["revision"]),
                str(document["phase"]),
                int(document["in_force"]),
                tuple(document["unconfirmed"]),
                int(document["lease_epoch"]),
            )
        except (KeyError, TypeError, OverflowError) as error:
            raise ValueError(f"malformed configuration status: {error}") from error


def add_report(
    state: Confirmations, address: str, incarnation: int, revision: int
) -> Confirmations:
    """Merge the report of an entry.

    The revision of an entry never decreases within one incarnation, so a
    delayed report with a lower revision has no effect.
    """
    known_incarnation, known = state.reported.get(address, (incarnation, 0))
    if known_incarnation == incarnation:
        revision = max(known, revision)
    reported = {**state.reported, address: (incarnation, revision)}
    return replace(state, reported=reported)


def evaluate_confirmations(
    state: Confirmations, revision: int, members: Iterable[VmRecord], epoch: int
) -> tuple[Confirmations, ConfigStatus]:
    """Return the confirmation status of `revision` among the live entries.

    The returned confirmations lack the reports of entries that are no longer
    members.
    """
    live = {member.address: member.vm for member in members}
    kept = {
        a: r for a, r in state.reported.items() if a in live and _is_of(state, a, live)
    }
    evaluated = {a: (live[a], incarnation) for a, (incarnation, _) in kept.items()}
    confirmed = {address: kept.get(address, (0, 0))[1] for address in live}
    unconfirmed = sorted(vm for a, vm in live.items() if confirmed[a] < revision)
    lowest_confirmed = min(confirmed.values(), default=0)
    in_force = max(state.in_force, min(lowest_confirmed, revision))
    phase = "Spreading" if unconfirmed else "InForce"
    status = ConfigStatus(revision, phase, in_force, tuple(unconfirmed), epoch)
    return Confirmations(kept, in_force, evaluated), status


def _is_of(state: Confirmations, address: str, live: Mapping[str, str]) -> bool:
    """Whether the report from an address is of the VM that has it now."""
    incarnation, _ = state.reported[address]
    vm, evaluated = state.evaluated.get(address, ("", 0))
    # A peer from the settings has its address as its name until the VM list is read.
    return vm in (live[address], address) or evaluated != incarnation
