"""How much of what was written to a connection the other side has not received yet.

An answer without a length ends with its connection. If the server has ended it before
it had the whole request, nothing tells the end of a success from that of a server which
gave up, so such an answer does not count as complete. An error is often sent before
the request was read, and is used as it is.
"""

import asyncio
import fcntl
import struct
import termios

from monsoontack.core.httpstatus import FIRST_ERROR_STATUS


def ends_too_soon(transport: asyncio.BaseTransport, status: int) -> bool:
    """Whether an answer that ends with its connection may be cut."""
    return status < FIRST_ERROR_STATUS and unreceived_bytes(transport) > 0


def unreceived_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the bytes that are buffered here, or not acknowledged by the other side.

    Linux counts the latter for TCP sockets (tcp(7), SIOCOUTQ).
    """
    buffered = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return buffered
    try:
        raw = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
    except OSError:
        # The socket is no TCP socket, or closed.
        return buffered
    return buffered + struct.unpack("i", raw)[0]
