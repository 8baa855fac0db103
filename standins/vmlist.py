"""Simulated VM list: `python -m standins.vmlist --port N --lag-s S`.

`PUT /vms` with `{"vms": [...]}` replaces the list; `GET /vms` returns a change only
after the lag. `POST /faults` takes `{"outage", "delay_s", "lag_s"}`.
"""

import argparse
import asyncio

import falcon.asgi

from standins.serving import serve


class VmList:
    """The VM list, whose changes become visible after a lag."""

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self.outage = False
        self.delay_s = 0.0
        self.changes: list[tuple[float, list]] = [(0.0, [])]

    def put(self, vms: list, now: float) -> None:
        """Replace the list; the change becomes visible after the lag."""
        self.changes.append((now + self.lag_s, vms))

    def visible(self, now: float) -> list:
        """Return the newest list whose lag has passed."""
        while len(self.changes) > 1 and self.changes[1][0] <= now:
            self.changes.pop(0)
        return self.changes[0][1]


class VmsResource:
    """`GET` and `PUT /vms`."""

    def __init__(self, vm_list: VmList) -> None:
        self.vm_list = vm_list

    async def on_get(self, request, response) -> None:
        """Return the visible list."""
        await asyncio.sleep(self.vm_list.delay_s)
        if self.vm_list.outage:
            response.status = 503
            return
        now = asyncio.get_running_loop().time()
        response.media = {"vms": self.vm_list.visible(now)}

    async def on_put(self, request, response) -> None:
        """Replace the list."""
        body = await request.get_media()
        self.vm_list.put(body["vms"], asyncio.get_running_loop().time())
        response.status = 204


class VmFaultsResource:
    """`POST /faults`."""

    def __init__(self, vm_list: VmList) -> None:
        self.vm_list = vm_list

    async def on_post(self, request, response) -> None:
        """Set the faults that the body names; keep the others."""
        body = await request.get_media()
        self.vm_list.outage = bool(body.get("outage", self.vm_list.outage))
        self.vm_list.delay_s = float(body.get("delay_s", self.vm_list.delay_s))
        self.vm_list.lag_s = float(body.get("lag_s", self.vm_list.lag_s))
        response.media = {
            "outage": self.vm_list.outage,
            "delay_s": self.vm_list.delay_s,
            "lag_s": self.vm_list.lag_s,
        }


def make_app(vm_list: VmList) -> falcon.asgi.App:
    """Return the ASGI application of the VM list."""
    app = falcon.asgi.App()
    app.add_route("/vms", VmsResource(vm_list))
    app.add_route("/faults", VmFaultsResource(vm_list))
    return app


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--lag-s", type=float, default=1.0)
    options = parser.parse_args()
    serve(make_app(VmList(options.lag_s)), options.port)
