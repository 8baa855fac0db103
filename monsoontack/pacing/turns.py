"""Divides a bound among gateways that cannot ask each other, by rendezvous hashing.

Every gateway ranks the list of gateways by the same hash, so the parts add up to the
bound as long as the lists agree: at 6, 31 and 390 gateways the first `p` gateways of a
ranking may each use one unit of a bound of `p`. Ranks are used instead of hash values
below `p / n`, since with a small `p` no hash may lie below that, and then nobody sends.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from monsoontack.core.rendezvous import score, stable_hash

# Ranks that are kept. A ranking of 390 gateways takes 0.1 ms, and 20 servers that
# restart at once are asked about with each request.
MAX_KEPT_RANKS = 1024


@dataclass(slots=True)
class GatewayTurns:
    """The gateway `name` among all gateways `names`.

    A gateway that is not in the list of names counts itself in.
    """

    name: str = ""
    names: tuple[str, ...] = ()
    ranks: dict[str, int] = field(default_factory=dict)

    @property
    def count(self) -> int:
        """Return the number of gateways, this one included; at least 1."""
        return max(len(self.names), 1)

    def set_gateways(self, names: Iterable[str]) -> None:
        """Replace the list of gateways."""
        listed = tuple(sorted({*names, self.name}))
        if listed != self.names:
            self.names = listed
            self.ranks.clear()

    def rank(self, key: str) -> int:
        """Return how many gateways precede this one in the ranking of `key`."""
        found = self.ranks.get(key)
        if found is None:
            hashed = stable_hash(key)
            own = score(hashed, self.name)
            found = sum(
                score(hashed, name) > own for name in self.names if name != self.name
            )
            if len(self.ranks) >= MAX_KEPT_RANKS:
                self.ranks.clear()
            self.ranks[key] = found
        return found

    def part(self, key: str, bound: int) -> int:
        """Return this gateway's part of a bound; all parts add up to the bound."""
        each, rest = divmod(max(bound, 0), self.count)
        return each + (self.rank(key) < rest)
