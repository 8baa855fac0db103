"""Reads an answer until it is whole, within a bound of time and size."""

import asyncio

from monsoontack.gateway.outbound import ExchangeFailure, FailureKind, HttpExchange


async def read_response_body(
    exchange: HttpExchange, until: float, max_bytes: int
) -> bytes | ExchangeFailure:
    """Return the body of an answer; `until` is a time of the event loop's clock."""
    now = asyncio.get_running_loop().time
    parts, size = [], 0
    while not exchange.is_finished or exchange.parts:
        left_s = until - now()
        if left_s <= 0:
            return ExchangeFailure(FailureKind.SILENT, True, "no whole answer in time")
        await exchange.wait(left_s)
        parts.append(exchange.take_body())
        size += len(parts[-1])
        if size > max_bytes:
            detail = f"answer above {max_bytes} bytes"
            return ExchangeFailure(FailureKind.OVERSIZED, True, detail)
    return b"".join(parts) if exchange.failure is None else exchange.failure
