"""Client middleware that keeps aiohttp from sending a request twice.

aiohttp repeats GET, HEAD, OPTIONS, PUT and DELETE once when the connection
breaks before the answer, also on a new connection. A conditional write or a
call that may run at most once must not be repeated by the library.

Example::

    async with session.put(url, data=value, middlewares=(send_once,)) as response:
        ...
"""

import aiohttp


class AnswerLostError(aiohttp.ClientError):
    """The connection broke after sending; the request may have taken effect."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request; AnswerLostError in place of the errors that are retried.

    Errors of a connection that was never made are passed on unchanged.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise AnswerLostError(str(error) or type(error).__name__) from error
