"""Simulated plain service: `python -m standins.service --port N`.

The service responds to any method and path. It counts executions by account and
idempotency key, which `GET /executions` reports, and checks fencing numbers if started
with `--checks-fencing`. `standins.faults` describes the faults; the route of a call is
its path, and all faults except `lose_answer` occur before the execution.
"""

import argparse
import asyncio

import falcon.asgi

from standins.faults import FaultSet, FaultsResource, RequestFailedError, inject_faults
from standins.serving import abort_connection, serve


class Service:
    """State of the simulated service."""

    def __init__(self, delay_s: float, checks_fencing: bool) -> None:
        self.delay_s = delay_s
        self.checks_fencing = checks_fencing
        self.faults = FaultSet()
        self.executions: dict[tuple[str, str], int] = {}
        self.fences: dict[tuple[str, str], int] = {}
        self.running = 0

    async def handle(self, request, response) -> None:
        """Run one call with the faults that affect it."""
        selected_faults = self.faults.select_faults(request.path, "")
        self.running += 1
        try:
            running = self.running
            await inject_faults(
                self.faults, selected_faults, None, request.path, "", running
            )
            await asyncio.sleep(self.delay_s)
            await self.execute(request, response)
        except RequestFailedError:
            response.status = 500
            response.media = {"code": "service_fault"}
            return
        finally:
            self.running -= 1
        for fault in selected_faults:
            if fault.kind == "lose_answer" and fault.matches(request.path, "", running):
                fault.struck += 1
                abort_connection(request)

    async def execute(self, request, response) -> None:
        """Count and answer one call, unless its fencing number is outdated."""
        account = request.get_header("X-Client-Account") or ""
        key = request.get_header("Idempotency-Key") or ""
        fence = int(request.get_header("X-Fence") or 0)
        if self.checks_fencing and key:
            if fence <= self.fences.get((account, key), 0):
                response.status = 409
                response.media = {"code": "fenced"}
                return
            self.fences[account, key] = fence
        number = self.executions.get((account, key), 0) + 1
        self.executions[account, key] = number
        body = await request.stream.read()
        response.media = {
            "method": request.method,
            "path": request.path,
            "body": body.decode("utf-8", "replace"),
            "execution": number,
        }

    async def report(self, request, response) -> None:
        """Return the number of executions by account and key."""
        response.media = {
            "executions": [
                {"account": account, "key": key, "count": count}
                for (account, key), count in sorted(self.executions.items())
            ]
        }


class ExecutionsResource:
    """`GET /executions`."""

    def __init__(self, service: Service) -> None:
        self.service = service

    async def on_get(self, request, response) -> None:
        """Return the number of executions by account and key."""
        await self.service.report(request, response)


def make_app(service: Service) -> falcon.asgi.App:
    """Return the ASGI application of a service."""
    app = falcon.asgi.App()
    app.add_route("/executions", ExecutionsResource(service))
    app.add_route("/faults", FaultsResource(service.faults))
    app.add_sink(service.handle)
    return app


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--delay-s", type=float, default=0.005)
    parser.add_argument("--checks-fencing", action="store_true")
    options = parser.parse_args()
    serve(make_app(Service(options.delay_s, options.checks_fencing)), options.port)
