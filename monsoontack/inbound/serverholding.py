"""Counts what a connection to a server holds in the memory account."""

import asyncio

from monsoontack.inbound.account import Holding, MemoryAccount
from monsoontack.inbound.costs import CONNECTION_BYTES

# Less is not counted, since counting costs time: ordinary calls and events of streams.
MIN_COUNTED_BYTES = 4_096


class ServerHolding:
    """What one connection to an engine, a peer or the store holds.

    It is counted and never shed: its request may run, and ends at its deadline. Without
    an `account` nothing is counted.
    """

    def __init__(self, account: MemoryAccount | None) -> None:
        self.account = account
        self.is_counted = False
        self.holding = Holding(lambda pause_s: None, lambda: None, sheddable=False)

    def open(self) -> None:
        """Begin to count a connection that was opened."""
        if self.account is not None:
            self.holding.held_bytes = CONNECTION_BYTES
            self.account.open(self.holding)

    def note_sent(self, transport: asyncio.Transport, size_bytes: int) -> None:
        """Count what is unsent of a request of this size, if it is large."""
        if size_bytes >= MIN_COUNTED_BYTES:
            self._count(transport, 0)

    def note_unread(self, transport: asyncio.Transport, unread_bytes: int) -> None:
        """Count the part of a response that nobody has taken, if it is large."""
        if unread_bytes >= MIN_COUNTED_BYTES:
            self._count(transport, unread_bytes)

    def _count(self, transport: asyncio.Transport, unread_bytes: int) -> None:
        if self.account is not None:
            self.is_counted = True
            unsent_bytes = transport.get_write_buffer_size()
            held_bytes = CONNECTION_BYTES + unsent_bytes + unread_bytes
            self.account.set(self.holding, held_bytes)

    def clear(self) -> None:
        """Count the connection alone, once its request and response were passed on."""
        if self.is_counted:
            self.is_counted = False
            self.account.set(self.holding, CONNECTION_BYTES)

    def close(self) -> None:
        """Stop counting a connection that has ended."""
        if self.account is not None:
            self.account.close(self.holding)
