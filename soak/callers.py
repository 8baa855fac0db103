"""Callers that reuse open connections, and a record of the responses they received."""

import asyncio
import random
from dataclasses import dataclass, field

import aiohttp

from soak.environment import KEYS, SoakEnvironment
from standins.gatewayprocess import GatewayProcess

KINDS = ("once", "look", "stream")
CALL_TIMEOUT_S = 8.0
MAX_REQUEST_GAP_S = 0.15
DEADLY_SHARE = 0.2
DEADLY_CALL_GAP_S = 0.3
# Statuses after which a call of the kind "once" is sent again under the same id.
REFUSAL_STATUSES = frozenset((408, 421, 429, 503))
MAX_RESENDS = 3
ORIGIN_STAMP = "X-Monsoontack-Origin-Stamp"
RESEND_DELAY_S = 0.2
# The engines' streams have 50 events, of one token each. Every second stream states its
# tokens exactly.
OUTPUT_TOKENS = (50, 300)


@dataclass(frozen=True, slots=True)
class ObservedRequest:
    """One request and its response as observed by the caller.

    Without a response, `status` is 0 and `complete` is false. `sent_at`, `ended_at` and
    `last_sent_at`, the time of the send that got the response, are in the event loop's
    time.
    """

    request_id: str
    kind: str
    key: str
    sent_at: float
    last_sent_at: float
    ended_at: float
    status: int
    complete: bool
    body: bytes


@dataclass(slots=True)
class Callers:
    """Callers of all gateways; `observed` lists all requests they have sent.

    `prompt_rng` decides which streams have a part that crashes engines, `call_rng`
    where a call is sent that does so.
    """

    environment: SoakEnvironment
    rng: random.Random
    prompt_rng: random.Random
    call_rng: random.Random
    observed: list[ObservedRequest] = field(default_factory=list)
    request_count: int = 0
    stopping: bool = False

    async def run_caller(self) -> None:
        """Send requests sequentially until `stopping` is set."""
        while not self.stopping:
            gateway = self.rng.choice(self.environment.gateways)
            kind = self.rng.choice(KINDS)
            await self.send(gateway, kind, self.rng.choice(KEYS))
            await asyncio.sleep(self.rng.uniform(0, MAX_REQUEST_GAP_S))

    async def run_deadly_caller(self) -> None:
        """Send the call that crashes engines, if there is one, again and again."""
        while not self.stopping:
            path = self.environment.deadly_path
            if path is not None:
                gateway = self.call_rng.choice(self.environment.gateways)
                key = self.call_rng.choice(KEYS)
                await self.send(gateway, "look", key, path)
            await asyncio.sleep(DEADLY_CALL_GAP_S)

    async def send(
        self, gateway: GatewayProcess, kind: str, key: str, path: str = "x"
    ) -> ObservedRequest:
        """Send one request, then record and return its observed result.

        A call of the kind "once" is sent again after a refusal; only the last response
        is recorded, so that no run may precede or follow the refusals.
        """
        self.request_count += 1
        request_id = f"{kind}-{self.request_count}-{gateway.settings.stem}"
        deadly_part = None
        if kind == "stream" and self.prompt_rng.random() < DEADLY_SHARE:
            deadly_part = self.environment.deadly_part
        parts = ["instructions", deadly_part, request_id]
        prompt = ",".join(f"{part}:400" for part in parts if part is not None)
        sent_at = asyncio.get_running_loop().time()
        status, complete, body = 0, False, b""
        for _ in range(1 + MAX_RESENDS):
            last_sent_at = asyncio.get_running_loop().time()
            try:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    status, body, complete = await self._read(
                        gateway, f"{kind}/{path}", key, request_id, prompt
                    )
            except (aiohttp.ClientError, TimeoutError, OSError):
                status, complete = 0, False
            if kind != "once" or status not in REFUSAL_STATUSES:
                break
            await asyncio.sleep(RESEND_DELAY_S)
        ended_at = asyncio.get_running_loop().time()
        found = ObservedRequest(
            request_id,
            kind,
            key,
            sent_at,
            last_sent_at,
            ended_at,
            status,
            complete,
            body,
        )
        self.observed.append(found)
        return found

    def _note_leaving(self, gateway: GatewayProcess, headers) -> None:
        """Record an answer that says that its engine is leaving."""
        if headers.get("Server-Leaving") == "1":
            engine, now = headers.get(ORIGIN_STAMP, ""), asyncio.get_running_loop().time
            self.environment.leaving_answers.append(
                (gateway.settings.stem, engine, now())
            )

    async def _read(
        self,
        gateway: GatewayProcess,
        path: str,
        key: str,
        request_id: str,
        prompt: str,
    ) -> tuple[int, bytes, bool]:
        tokens = OUTPUT_TOKENS[self.request_count % len(OUTPUT_TOKENS)]
        headers = {
            "Host": "desk.example",
            "X-Monsoontack-Request-Id": request_id,
            "X-Monsoontack-Deadline-Ms": "6000",
            "X-Monsoontack-Token-Usage": f"800,{tokens}",
            "X-Monsoontack-Prefix-Hash": prompt,
            "Authorization": f"Token {key}",
        }
        url = f"{gateway.front}/{path}"
        body = b""
        async with gateway.http.post(url, headers=headers) as answer:
            self._note_leaving(gateway, answer.headers)
            try:
                async for part in answer.content.iter_any():
                    body += part
            except aiohttp.ClientPayloadError:
                return answer.status, body, False
            return answer.status, body, True
