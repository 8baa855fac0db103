"""Stand-in of the platform's store: objects by kind, revisions, watches.

It speaks the HTTP format of the users' platform as far as the adapter uses it. Faults
are attributes: `error_status` (None, or a status for every call),
`lost_write_responses` (break the connection after the next n writes took effect),
`expire_history` (answer 410 to the next watch), and `calls` counts calls.
"""

import asyncio
import json
from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote, urlsplit

from monsoontack.gateway.inbound import BodyBudget, InboundServer
from monsoontack.gateway.records import CallerLimits, RawRequest
from monsoontack.gateway.responder import Responder

ROOT = "/api/objects/"
PAGE = 3
MAX_WAIT_S = 30.0


@dataclass(slots=True)
class SimulatedPlatformStore:
    """Objects by kind and name; each change raises `revision`."""

    kinds: dict[str, dict[str, dict]] = field(default_factory=dict)
    log: list[tuple[int, str, dict, bool]] = field(default_factory=list)
    revision: int = 100
    error_status: int | None = None
    lost_write_responses: int = 0
    serializable_reads: int = 0
    expire_history: bool = False
    calls: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    address: str = ""
    listener: asyncio.Server | None = None
    server: InboundServer | None = None

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
        limits = CallerLimits(body_bytes=10**7)
        self.server = InboundServer(self.handle, lambda: limits, BodyBudget(10**8))
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            self.server.make_connection, "127.0.0.1", 0
        )
        port = self.listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def close(self) -> None:
        """Stop listening and cut all connections."""
        self.listener.close()
        self.server.abort_all()

    def put(self, kind: str, name: str, spec, status=None) -> None:
        """Write an object as its owner would."""
        objects = self.kinds.setdefault(kind, {})
        before = objects.get(name)
        if status is None and before is not None:
            status = before["status"]
        self.revision += 1
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": before["metadata"]["created"] if before else self.revision,
                "finalizers": [],
                "deletion": False,
            },
            "spec": spec,
            "status": status,
        }
        objects[name] = item
        self._note(kind, item, False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.kinds[kind].pop(name)
        self.revision += 1
        removed = item | {"metadata": item["metadata"] | {"revision": self.revision}}
        self._note(kind, removed, True)

    def _note(self, kind: str, item: dict, removed: bool) -> None:
        self.log.append((self.revision, kind, item, removed))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, raw: RawRequest, responder: Responder) -> None:
        """Answer one call."""
        self.calls += 1
        if self.error_status is not None:
            responder.send(self.error_status, ())
            return
        parts = urlsplit(raw.target.decode())
        path = [unquote(p) for p in parts.path.removeprefix(ROOT).split("/")]
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if raw.method == b"GET":
            status, document = await self._read(path, query)
        else:
            status, document = self._write(raw, path, query)
            if status < 300 and self.lost_write_responses:
                self.lost_write_responses -= 1
                responder.abort()
                return
        body = json.dumps(document).encode()
        responder.send(status, ((b"content-type", b"application/json"),), body)

    async def _read(self, path: list[str], query: dict) -> tuple[int, object]:
        self.serializable_reads += query.get("serializable") == "1"
        objects = self.kinds.get(path[0], {})
        if len(path) == 2:
            found = objects.get(path[1])
            return (200, found) if found else (404, {})
        if "watch" in query:
            return await self._watch(path[0], query)
        after = query.get("after", "")
        names = sorted(name for name in objects if name > after)
        return 200, {
            "entries": [objects[name] for name in names[:PAGE]],
            "more_pages": len(names) > PAGE,
            "store_revision": self.revision,
        }

    async def _watch(self, kind: str, query: dict) -> tuple[int, object]:
        if self.expire_history:
            self.expire_history = False
            return 410, {}
        since, wait_s = int(query["watch"]), int(query["wait_ms"]) / 1000
        loop = asyncio.get_running_loop()
        until = loop.time() + min(wait_s, MAX_WAIT_S)
        while True:
            events = [
                {"object": item, "removed": removed}
                for revision, found, item, removed in self.log
                if found == kind and revision > since
            ]
            left_s = until - loop.time()
            if events or left_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            waiter = asyncio.ensure_future(self.changed.wait())
            await asyncio.wait((waiter,), timeout=left_s)
            waiter.cancel()

    def _write(
        self, raw: RawRequest, path: list[str], query: dict
    ) -> tuple[int, object]:
        document = json.loads(raw.body) if raw.body else {}
        name = path[1] if len(path) > 1 else document["metadata"]["name"]
        found = self.kinds.get(path[0], {}).get(name)
        wanted = document.get("metadata", {}).get("revision", query.get("revision"))
        if raw.method == b"POST" and found is not None:
            return 409, found
        if raw.method != b"POST" and found is None:
            return 404, {}
        if found and wanted is not None:
            if int(wanted) != found["metadata"]["revision"]:
                return 409, found
        if raw.method == b"DELETE":
            self.remove(path[0], name)
            return 200, found
        if len(path) == 3:
            self.put(path[0], name, found["spec"], document["status"])
        else:
            self.put(path[0], name, document["spec"])
        return 200, self.kinds[path[0]][name]
