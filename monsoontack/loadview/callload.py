"""Mean number of this entry's calls in flight at each plain server.

Written for deployments with more gateways than plain servers, in which a gateway's own
calls in flight say nearly nothing about a server. Calls end sooner than a message
arrives, so peers are told a mean over some seconds: it shows servers that are slow or
that many gateways prefer. It is part of the messages that streams cause, so it costs
none of its own; a deployment without streams places calls as before.
"""

from dataclasses import dataclass, field

from monsoontack.gateway.fleet import Member

# Time over which calls in flight are averaged. At twice the stated load, 2 s made fewer
# calls late than 1 s and 4 s in the model (bench/callview.py).
SMOOTHING_S = 2.0
# Peers are told at most once in this time. In the model 1 s was no better; with 4 s all
# gateways turned to the servers that had been idle, and up to 22 % of calls were late.
REPORT_INTERVAL_S = 2.0
# Means are sent as integers in this unit.
UNIT = 0.01
# Servers in a report, the busiest ones; the deployments have six.
MAX_SERVERS = 64


@dataclass(slots=True, repr=False)
class OwnCalls:
    """Smoothed calls in flight of this entry, by the start of the server."""

    members: dict[str, Member] = field(default_factory=dict)
    means: dict[str, float] = field(default_factory=dict)

    def sample(self, elapsed_s: float) -> None:
        """Include the calls in flight now; the last sample was `elapsed_s` ago."""
        weight = min(elapsed_s / SMOOTHING_S, 1.0)
        for key, member in list(self.members.items()):
            mean = self.means.get(key, 0.0)
            self.means[key] = mean + weight * (member.in_flight - mean)
            if self.means[key] < UNIT and not member.in_flight:
                del self.means[key], self.members[key]

    def report(self) -> dict[str, int]:
        """Return the means in hundredths, without idle servers."""
        rows = {key: round(mean / UNIT) for key, mean in self.means.items()}
        busiest = sorted(rows, key=rows.get, reverse=True)[:MAX_SERVERS]
        return {key: rows[key] for key in busiest if rows[key]}
