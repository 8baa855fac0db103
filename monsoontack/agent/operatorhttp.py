"""HTTP server for operators: `GET /state` and `GET /healthz`."""

from contextlib import contextmanager

import falcon.asgi
import uvicorn

from monsoontack.agent.core import Agent


class StateResource:
    """Serves the state dump and the health check of the agent."""

    def __init__(self, agent: Agent) -> None:
        self.agent = agent

    async def on_get(self, request, response) -> None:
        """Return the state dump."""
        response.media = self.agent.describe()

    async def on_get_health(self, request, response) -> None:
        """Return status 200 with the drain phase while the process runs."""
        response.media = {"phase": str(self.agent.drain.phase)}


class OperatorServer(uvicorn.Server):
    """uvicorn server without signal handlers; the daemon installs its own."""

    @contextmanager
    def capture_signals(self):
        """Install no signal handlers."""
        yield


def make_operator_server(agent: Agent) -> OperatorServer:
    """Return a server for the agent's operator address; the caller starts it."""
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
