"""HTTP serving of the simulators: falcon on uvicorn, with connection aborts."""

import falcon.asgi
import uvicorn

ABORT_KEY = "standins.abort"


class AbortableApp:
    """ASGI wrapper that lets a handler abort the caller's connection.

    uvicorn has no public way to close a connection without a response, but its `send`
    is a method of the object that holds the transport.
    """

    def __init__(self, app: falcon.asgi.App) -> None:
        self.app = app

    async def __call__(self, scope, receive, send) -> None:
        """Handle one ASGI connection."""
        if scope["type"] == "http":
            scope[ABORT_KEY] = send.__self__.transport.abort
        await self.app(scope, receive, send)


def abort_connection(request: falcon.asgi.Request) -> None:
    """Abort the connection of `request`, so that the caller gets no response."""
    request.scope[ABORT_KEY]()


def make_server(app: falcon.asgi.App, port: int) -> uvicorn.Server:
    """Return a server of `app` on a loopback port; it stops on SIGTERM or SIGINT."""
    # uvloop delays writes until the end of a loop iteration. With asyncio, each token
    # is sent before a fault at the next position stops the process.
    config = uvicorn.Config(
        AbortableApp(app),
        host="127.0.0.1",
        port=port,
        loop="asyncio",
        log_level="warning",
        access_log=False,
        proxy_headers=False,
        timeout_graceful_shutdown=1,
    )
    return uvicorn.Server(config)


def serve(app: falcon.asgi.App, port: int) -> None:
    """Serve `app` on a loopback port until SIGTERM or SIGINT."""
    make_server(app, port).run()
