"""Detection of servers that are down or unreachable, by the kernel's TCP timers."""

import socket

# A dead peer answers no keepalive probe, so its connection fails after about 3 s.
TCP_KEEPALIVE_IDLE_S = 1
TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_PROBES = 2
# The connection fails if sent bytes are not acknowledged within this time, or if the
# server leaves no room for more of them.
TCP_USER_TIMEOUT_MS = 3000
# Requests up to this size fit into the receive buffer of a server that reads nothing
# for a time. Longer ones wait for it until their deadline.
MAX_UNREAD_REQUEST_BYTES = 65_536


class DeadPeerDetection:
    """Makes the kernel fail a connection whose peer is down or unreachable."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.user_timeout_ms = TCP_USER_TIMEOUT_MS
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES),
            (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, value)

    def prepare(self, size: int, left_s: float | None) -> None:
        """Prepare for a request of `size` bytes with `left_s` until its deadline.

        A server that reads nothing for a time looks like a dead one to the kernel as
        soon as its buffer is full.
        """
        timeout_ms = TCP_USER_TIMEOUT_MS
        if left_s is not None and size > MAX_UNREAD_REQUEST_BYTES:
            timeout_ms = max(timeout_ms, int(1000 * left_s))
        if timeout_ms != self.user_timeout_ms:
            self.user_timeout_ms = timeout_ms
            self.sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
            )
