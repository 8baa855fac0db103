"""Counts what a connection to a server holds in the memory account."""

import asyncio

from monsoontack.inbound.account import Holding, MemoryAccount
from monsoontack.inbound.costs import CONNECTION_BYTES


class ServerHolding:
    """What one connection to an engine, a peer or the store holds.

    It is counted and never shed: its request may run, and ends at its deadline. Without
    an `account` nothing is counted.
    """

    def __init__(self, account: MemoryAccount | None) -> None:
        self.account = account
        self.holding = Holding(lambda pause_s: None, lambda: None, sheddable=False)

    def open(self) -> None:
        """Begin to count a connection that was opened."""
        if self.account is not None:
            self.holding.held_bytes = CONNECTION_BYTES
            self.account.open(self.holding)

    def update(self, transport: asyncio.Transport | None, unread_bytes: int) -> None:
        """Count unsent bytes of requests and `unread_bytes` of a response."""
        if self.account is not None and transport is not None:
            unsent_bytes = transport.get_write_buffer_size()
            held_bytes = CONNECTION_BYTES + unsent_bytes + unread_bytes
            self.account.set(self.holding, held_bytes)

    def close(self) -> None:
        """Stop counting a connection that has ended."""
        if self.account is not None:
            self.account.close(self.holding)
