"""Simulated store of the users' platform: objects by kind, revisions and watches.

It implements the part of the platform's HTTP API that the adapter uses. Attributes set
faults:

* `error_status`: None, or the response status of every call;
* `lost_write_responses`: number of next writes that take effect but get no
  response, because the connection breaks;
* `expire_history`: the next watch fails with status 410.

`put_raw` writes an object with raw JSON in it, as another writer may have left it.
`restore` puts back an earlier copy of everything, as after a lost disk: revisions
go back, and `era`, which each response states, rises. `calls` is the number of calls,
`write_times` lists when write calls came.
"""

import asyncio
import copy
import json
from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote, urlsplit

from monsoontack.gateway.records import CallerLimits, RawRequest
from monsoontack.inbound.memoryguard import MemoryGuard
from monsoontack.inbound.responder import Responder
from monsoontack.inbound.server import InboundServer

PATH_PREFIX = "/api/objects/"
PAGE_SIZE = 3
MAX_WATCH_S = 30.0


@dataclass(frozen=True, slots=True)
class RawJson:
    """Text that responses contain as it is; it need not be valid JSON."""

    text: bytes


def encode_document(document) -> bytes:
    """Return the JSON of a document, with the texts of its `RawJson` values."""
    raw: list[bytes] = []

    def placeholder(value: RawJson) -> str:
        raw.append(value.text)
        return f"raw-json-{len(raw) - 1}-"

    body = json.dumps(document, default=placeholder).encode()
    for number, text in enumerate(raw):
        body = body.replace(b'"raw-json-%d-"' % number, text, 1)
    return body


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """A copy of the store's objects at a revision."""

    kinds: dict[str, dict[str, dict]]
    revision: int


@dataclass(slots=True)
class SimulatedPlatformStore:
    """Objects by kind and name; each change raises `revision`."""

    kinds: dict[str, dict[str, dict]] = field(default_factory=dict)
    changes: list[tuple[int, str, dict, bool]] = field(default_factory=list)
    revision: int = 100
    error_status: int | None = None
    lost_write_responses: int = 0
    serializable_reads: int = 0
    expire_history: bool = False
    calls: int = 0
    era: int = 0
    write_times: list[float] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    address: str = ""
    listener: asyncio.Server | None = None
    server: InboundServer | None = None

    async def start(self) -> None:
        """Start listening on a free loopback port."""
        limits = CallerLimits(body_bytes=10**7)
        self.server = InboundServer(self.handle, lambda: limits, MemoryGuard(10**8))
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            self.server.make_connection, "127.0.0.1", 0
        )
        port = self.listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        self.listener.close()
        self.server.abort_all()

    def take_copy(self) -> StoreCopy:
        """Return a copy of all objects."""
        return StoreCopy(copy.deepcopy(self.kinds), self.revision)

    def restore(self, stored: StoreCopy) -> None:
        """Go back to a copy; watches from later revisions fail with status 410."""
        self.kinds, self.revision = copy.deepcopy(stored.kinds), stored.revision
        self.changes = [c for c in self.changes if c[0] <= stored.revision]
        self.era += 1
        self.server.abort_all()

    def put(self, kind: str, name: str, spec, status=None) -> None:
        """Write an object, as its owner does, without a version check."""
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
        self._record_change(kind, item, False)

    def put_raw(
        self,
        kind: str,
        name: str,
        raw_spec: bytes,
        raw_name: bytes | None = None,
        raw_revision: bytes | None = None,
    ) -> None:
        """Write an object whose spec, and parts of whose metadata, are raw JSON.

        The object is ordered among the others by `name`.
        """
        self.put(kind, name, RawJson(raw_spec))
        metadata = self.kinds[kind][name]["metadata"]
        if raw_name is not None:
            metadata["name"] = RawJson(raw_name)
        if raw_revision is not None:
            metadata["revision"] = RawJson(raw_revision)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.kinds[kind].pop(name)
        self.revision += 1
        removed = item | {"metadata": item["metadata"] | {"revision": self.revision}}
        self._record_change(kind, removed, True)

    def _record_change(self, kind: str, item: dict, removed: bool) -> None:
        self.changes.append((self.revision, kind, item, removed))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, raw: RawRequest, responder: Responder) -> None:
        """Handle one call."""
        self.calls += 1
        era_header = ((b"store-era", b"%d" % self.era),)
        if self.error_status is not None:
            responder.send(self.error_status, era_header)
            return
        if raw.method != b"GET":
            self.write_times.append(asyncio.get_running_loop().time())
        parts = urlsplit(raw.target.decode())
        path = [unquote(p) for p in parts.path.removeprefix(PATH_PREFIX).split("/")]
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if raw.method == b"GET":
            status, document = await self._read(path, query)
        else:
            status, document = self._write(raw, path, query)
            if status < 300 and self.lost_write_responses:
                self.lost_write_responses -= 1
                responder.abort()
                return
        body = encode_document(document)
        headers = ((b"content-type", b"application/json"), *era_header)
        responder.send(status, headers, body)

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
            "entries": [objects[name] for name in names[:PAGE_SIZE]],
            "more_pages": len(names) > PAGE_SIZE,
            "store_revision": self.revision,
        }

    async def _watch(self, kind: str, query: dict) -> tuple[int, object]:
        if self.expire_history:
            self.expire_history = False
            return 410, {}
        after_revision, wait_s = int(query["watch"]), int(query["wait_ms"]) / 1000
        if self.era and after_revision > self.revision:
            return 410, {}
        loop = asyncio.get_running_loop()
        until = loop.time() + min(wait_s, MAX_WATCH_S)
        while True:
            events = [
                {"object": item, "removed": removed}
                for revision, found, item, removed in self.changes
                if found == kind and revision > after_revision
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
        expected_revision = document.get("metadata", {}).get(
            "revision", query.get("revision")
        )
        if raw.method == b"POST" and found is not None:
            return 409, found
        if raw.method != b"POST" and found is None:
            return 404, {}
        if found and expected_revision is not None:
            if int(expected_revision) != found["metadata"]["revision"]:
                return 409, found
        if raw.method == b"DELETE":
            self.remove(path[0], name)
            return 200, found
        if len(path) == 3:
            self.put(path[0], name, found["spec"], document["status"])
        else:
            self.put(path[0], name, document["spec"])
        return 200, self.kinds[path[0]][name]
