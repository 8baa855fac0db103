"""State of a process that competes for the lease, and the record in the store."""

import json
import math
from dataclasses import asdict, dataclass, replace

from monsoontack.store.eras import EPOCHS_PER_ERA

LEASE_DURATION_S = 6.0


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Content of the lease object.

    `holder` is empty after a release. `token` identifies one run of the holding
    process and `write_id` one write, so that a process recognises its own records.
    `era` is the store's era that the writer knew of, 0 if the store states none.
    """

    epoch: int
    holder: str
    token: str
    write_id: str
    era: int = 0

    def encode(self) -> bytes:
        """Return the record as JSON."""
        return json.dumps(asdict(self)).encode()

    @classmethod
    def decode(cls, value: bytes) -> "LeaseRecord":
        """Decode a record; raises ValueError if it is malformed."""
        try:
            document = json.loads(value)
            return cls(
                int(document["epoch"]),
                str(document["holder"]),
                str(document["token"]),
                str(document["write_id"]),
                int(document.get("era", 0)),
            )
        except (KeyError, TypeError, OverflowError, RecursionError) as error:
            raise ValueError(f"malformed lease record: {error}") from error


@dataclass(frozen=True, slots=True)
class LeaseState:
    """State of the lease as seen by one process.

    `rank` is the rank of the process among `fleet_size` live processes. `version` and
    `record` are those of the newest version that it has seen (0 and None if the object
    does not exist); `version_seen_at` is when it first saw that version, and
    `highest_epoch` is the highest epoch that it has seen. `is_version_known` is true
    once the store has returned them or `NotFound`.

    `era` is the highest era of the store that it has seen. `unknown_until` is the time
    until which another process may hold the lease by a record that the store has lost.

    `epoch` is above zero while the process holds the lease, which expires at
    `held_until`. `lost_epoch` is the last epoch under which this process stopped
    holding the lease. The process never holds the lease under this epoch again, because
    writes that carry it may still be in flight.

    `is_request_in_flight` is true while a request is in flight. `pending_write` is the
    last write whose outcome is unknown. `write_sent_at` is when the last write was
    sent, unless it has succeeded; the next one follows `RETRY_INTERVAL_S` later at the
    earliest. `second_read_due` is true if the next read of a standby is the second one
    of its check. That read shows whether the record has changed.
    """

    name: str
    token: str
    rank: int = 0
    fleet_size: int = 1
    version: int = 0
    record: LeaseRecord | None = None
    version_seen_at: float = 0.0
    highest_epoch: int = 0
    era: int = 0
    unknown_until: float = -math.inf
    lost_epoch: int = 0
    epoch: int = 0
    held_until: float = 0.0
    pending_write: LeaseRecord | None = None
    write_sent_at: float = -math.inf
    is_request_in_flight: bool = False
    is_version_known: bool = False
    second_read_due: bool = False
    is_releasing: bool = False
    next_request_at: float = 0.0

    @property
    def is_own(self) -> bool:
        """Whether the newest record names this process as the holder."""
        return self.record is not None and self.record.token == self.token

    @property
    def is_record_of_era(self) -> bool:
        """Whether the newest record was written in the store's present era.

        It then names the holder even if the store has lost earlier records.
        """
        return self.record is not None and self.record.era >= self.era

    @property
    def is_record_lost(self) -> bool:
        """Whether the store has gone back to a record from before this process's."""
        return (
            self.record is not None
            and self.record.epoch < self.epoch
            and not self.is_record_of_era
        )

    @property
    def next_epoch(self) -> int:
        """Return the epoch of an acquisition, above all that a store may have lost."""
        return max(self.highest_epoch, self.era * EPOCHS_PER_ERA) + 1

    def with_era(self, era: int, seen_at: float) -> "LeaseState":
        """Return the state after an era of the store was seen.

        Any lease that the store has lost was written before its restoration, and has
        therefore expired one lease duration after the new era was first seen.
        """
        if era <= self.era:
            return self
        return replace(self, era=era).with_lost_record(seen_at)

    def with_lost_record(self, now: float) -> "LeaseState":
        """Return the state after the store was found to have lost a record."""
        unknown_until = max(self.unknown_until, now + LEASE_DURATION_S)
        return replace(self, unknown_until=unknown_until)

    def may_acquire(self, now: float) -> bool:
        """Return whether no other process can hold the lease."""
        record = self.record
        if now < self.unknown_until and not self.is_record_of_era:
            # No other process takes the lease before the last holder's has expired.
            was_holder = self.lost_epoch == self.highest_epoch
            return record is None and was_holder and now < self.held_until
        if record is None or not record.holder or self.is_own:
            return True
        return now >= self.version_seen_at + LEASE_DURATION_S

    def held_epoch(self, now: float) -> int | None:
        """Return the epoch if this process holds the lease at `now`, else None."""
        return self.epoch if self.epoch and now < self.held_until else None

    def wake_at(self) -> float:
        """Return the time at which the next `Tick` is due."""
        request_at = math.inf if self.is_request_in_flight else self.next_request_at
        return min(request_at, self.held_until) if self.epoch else request_at
