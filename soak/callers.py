"""Callers that keep open connections in use, and what they saw."""

import asyncio
import random
from dataclasses import dataclass, field

import aiohttp

from soak.environment import KEYS, World
from standins.gatewayprocess import GatewayProcess

KINDS = ("once", "look", "stream")
CALL_TIMEOUT_S = 8.0
MAX_THINK_S = 0.15


@dataclass(frozen=True, slots=True)
class Seen:
    """One request as its caller saw it; status 0: no answer, `whole` is false.

    `sent_at` is of the loop's time.
    """

    request: str
    kind: str
    key: str
    sent_at: float
    status: int
    whole: bool
    body: bytes


@dataclass(slots=True)
class Callers:
    """Callers of all gateways; `seen` lists their requests."""

    world: World
    rng: random.Random
    seen: list[Seen] = field(default_factory=list)
    number: int = 0
    stopping: bool = False

    async def run_one(self) -> None:
        """Send requests one after the other until told to stop."""
        while not self.stopping:
            gateway = self.rng.choice(self.world.gateways)
            kind = self.rng.choice(KINDS)
            await self.send(gateway, kind, self.rng.choice(KEYS))
            await asyncio.sleep(self.rng.uniform(0, MAX_THINK_S))

    async def send(self, gateway: GatewayProcess, kind: str, key: str) -> Seen:
        """Send one request and note what came back."""
        self.number += 1
        request = f"{kind}-{self.number}"
        sent_at = asyncio.get_running_loop().time()
        status, whole, body = 0, False, b""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                status, body, whole = await self._read(gateway, kind, key, request)
        except (aiohttp.ClientError, TimeoutError, OSError):
            whole = False
        found = Seen(request, kind, key, sent_at, status, whole, body)
        self.seen.append(found)
        return found

    async def _read(
        self, gateway: GatewayProcess, kind: str, key: str, request: str
    ) -> tuple[int, bytes, bool]:
        headers = {
            "Host": "desk.example",
            "X-Monsoontack-Request-Id": request,
            "X-Monsoontack-Deadline-Ms": "6000",
            "X-Monsoontack-Token-Usage": "800,300",
            "X-Monsoontack-Prefix-Hash": f"{request}:800",
            "Authorization": f"Token {key}",
        }
        url = f"{gateway.front}/{kind}/x"
        body = b""
        async with gateway.http.post(url, headers=headers) as answer:
            try:
                async for part in answer.content.iter_any():
                    body += part
            except aiohttp.ClientPayloadError:
                return answer.status, body, False
            return answer.status, body, True
