"""aiohttp client middleware that disables the library's automatic retry.

aiohttp retries GET, HEAD, OPTIONS, PUT and DELETE once if the connection breaks before
the response arrives, even if the connection was new. A conditional write or an
at-most-once call must not be retried by the library.

Example::

    async with session.put(url, data=value, middlewares=(send_once,)) as response:
        ...
"""

import aiohttp


class AnswerLostError(aiohttp.ClientError):
    """The connection broke after the request was sent; it may have taken effect."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request; raise AnswerLostError instead of the errors aiohttp retries.

    Errors while connecting are raised unchanged: the request was not sent.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise AnswerLostError(str(error) or type(error).__name__) from error
