"""Limits on what callers send, beside those that the configuration publishes.

Written for clients that nobody controls: many very short header lines, empty lines
without end, bodies that arrive a byte at a time, and connections that only stay open.
The published limits (bytes and time of a head, bytes of a body, idle time) are
`CallerLimits`. A limit of 0 here is derived from them, or off, so that no client
within the published limits reaches it.
"""

from dataclasses import dataclass

from monsoontack.gateway.records import CallerLimits

# The shortest header line: a name of one character, a colon and the line break.
MIN_LINE_BYTES = 4
# An empty line is a line break of two bytes.
EMPTY_LINE_BYTES = 2
# Descriptors of listeners, log, event loop, store, and connections to some 30 peers.
FIXED_DESCRIPTORS = 64
# Callers' share of the other descriptors. Each request in progress needs one for its
# caller and one for its engine, and callers also hold idle connections.
CALLER_DESCRIPTOR_SHARE = 0.6
# Connections to one of the other listeners, if the descriptors are not limited; 390
# gateways and a few scrapers connect there.
OTHER_CONNECTIONS = 1024
OTHER_DESCRIPTOR_SHARE = 1 / 16
MIN_OTHER_CONNECTIONS = 16


@dataclass(frozen=True, slots=True)
class InboundLimits:
    """Limits of one listener; 0 means derived from the published limits, or off.

    `header_lines` and `empty_lines` are numbers of lines per request, `line_bytes` is
    the length of one line of a head. `connections_per_address` and `connections` bound
    open connections; both are off by default, since the platform's balancer and many
    callers can share one address. `min_body_bytes_s` is the average rate that a body
    needs once it has taken longer than the idle timeout: 16 KB/s is a quarter of the
    slowest mobile links in use, and a body of 4 MiB then takes 256 s at most.
    """

    header_lines: int = 0
    line_bytes: int = 0
    empty_lines: int = 0
    connections_per_address: int = 0
    connections: int = 0
    min_body_bytes_s: int = 16_384

    def max_header_lines(self, published: CallerLimits) -> int:
        """Return the number of header lines that a request may have."""
        return self.header_lines or published.header_bytes // MIN_LINE_BYTES

    def max_line_bytes(self, published: CallerLimits) -> int:
        """Return the length in bytes that a line of a head may have."""
        return self.line_bytes or published.header_bytes

    def max_empty_lines(self, published: CallerLimits) -> int:
        """Return the number of empty lines that may come before a request."""
        return self.empty_lines or published.header_bytes // EMPTY_LINE_BYTES


def caller_connections(max_fds: int | None) -> int:
    """Return how many connections callers may have; 0 without a limit."""
    if max_fds is None:
        return 0
    return max(int((max_fds - FIXED_DESCRIPTORS) * CALLER_DESCRIPTOR_SHARE), 1)


def other_connections(max_fds: int | None) -> int:
    """Return how many connections one of the other listeners may have."""
    if max_fds is None:
        return OTHER_CONNECTIONS
    return max(int(max_fds * OTHER_DESCRIPTOR_SHARE), MIN_OTHER_CONNECTIONS)
