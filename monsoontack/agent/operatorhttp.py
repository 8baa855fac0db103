"""HTTP end for operators: `GET /state` and `GET /healthz`."""

from contextlib import contextmanager

import falcon.asgi
import uvicorn

from monsoontack.agent.core import Agent


class StateResource:
    """State dump and health of the agent."""

    def __init__(self, agent: Agent) -> None:
        self.agent = agent

    async def on_get(self, request, response) -> None:
        """Return the state dump."""
        response.media = self.agent.describe()

    async def on_get_health(self, request, response) -> None:
        """Return 200 while the process runs."""
        response.media = {"phase": str(self.agent.drain.phase)}


class OperatorServer(uvicorn.Server):
    """uvicorn without signal handlers, which belong to the daemon."""

    @contextmanager
    def capture_signals(self):
        """Leave the signals alone."""
        yield


def make_operator_server(agent: Agent) -> OperatorServer:
    """Return a server, not yet started, on the agent's operator address."""
    app = falcon.asgi.App()
    resource = StateResource(agent)
    app.add_route("/state", resource)
    app.add_route("/healthz", resource, suffix="health")
    host, _, port = agent.settings.operator_address.rpartition(":")
    config = uvicorn.Config(
        app,
        host=host.strip("[]"),
        port=int(port),
        log_config=None,
        access_log=False,
        lifespan="off",
        timeout_graceful_shutdown=1,
    )
    return OperatorServer(config)
