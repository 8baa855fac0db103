"""Reads the body of an HTTP response, with limits on time and size."""

import asyncio

from monsoontack.gateway.outbound import ExchangeFailure, FailureKind, HttpExchange


async def read_response_body(
    exchange: HttpExchange, deadline_at: float, max_bytes: int
) -> bytes | ExchangeFailure:
    """Return the body; `deadline_at` is a time of the event loop's clock.

    A response that exceeds the deadline or `max_bytes` gives an `ExchangeFailure`.
    """
    now = asyncio.get_running_loop().time
    parts, size = [], 0
    while not exchange.is_finished or exchange.parts:
        left_s = deadline_at - now()
        if left_s <= 0:
            return ExchangeFailure(FailureKind.SILENT, True, "no whole answer in time")
        await exchange.wait(left_s)
        parts.append(exchange.take_body())
        size += len(parts[-1])
        if size > max_bytes:
            detail = f"answer above {max_bytes} bytes"
            return ExchangeFailure(FailureKind.OVERSIZED, True, detail)
    return b"".join(parts) if exchange.failure is None else exchange.failure
