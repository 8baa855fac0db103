"""Configuration from one object of the object API, read as JSON.

The object `published/view` holds a whole `ConfigView`. The reader of published
revisions (head and chunks) takes its place where that is wired in.
"""

import asyncio
import json

import aiohttp
import structlog

from monsoontack.config.view import (
    AccountConfig,
    ConfigView,
    RolloutConfig,
    ServiceConfig,
    VersionConfig,
)

log = structlog.get_logger("entry.config")

VIEW_KEY = "published/view"
WATCH_S = 30.0
RETRY_S = 0.5


def decode_view(value: bytes) -> ConfigView:
    """Return the view that a JSON document describes."""
    document = json.loads(value)
    services = [_service(item) for item in document.get("services", ())]
    versions = [VersionConfig(**item) for item in document.get("versions", ())]
    rollouts = [RolloutConfig(**item) for item in document.get("rollouts", ())]
    accounts = [_account(item) for item in document.get("accounts", ())]
    return ConfigView(
        revision=document["revision"],
        services={service.name: service for service in services},
        versions={(v.service, v.name): v for v in versions},
        rollouts={rollout.uid: rollout for rollout in rollouts},
        accounts={account.name: account for account in accounts},
        account_of_digest={d: a.name for a in accounts for d in a.key_digests},
    )


def _service(item: dict) -> ServiceConfig:
    shares = tuple((name, share) for name, share in item["shares"])
    methods = tuple(item.get("idempotent_methods", ("GET",)))
    return ServiceConfig(**{**item, "shares": shares, "idempotent_methods": methods})


def _account(item: dict) -> AccountConfig:
    digests = tuple(item["key_digests"])
    services = tuple(item.get("services", ()))
    return AccountConfig(**{**item, "key_digests": digests, "services": services})


class ObjectConfigSource:
    """Watches `published/view`; keeps the newest revision through an outage."""

    def __init__(self, store_url: str, http: aiohttp.ClientSession):
        self.url = f"{store_url.rstrip('/')}/objects/{VIEW_KEY}"
        self.http = http
        self.current = ConfigView()

    def view(self) -> ConfigView:
        """Return the newest revision read."""
        return self.current

    def is_ready(self, now: float) -> bool:
        """Whether a revision has been read."""
        return self.current.revision > 0

    async def run(self) -> None:
        """Watch the object until cancelled."""
        version = 0
        while True:
            try:
                version = await self._watch(version)
            except (aiohttp.ClientError, TimeoutError, ValueError, KeyError) as error:
                log.debug("configuration not read", error=repr(error))
                await asyncio.sleep(RETRY_S)

    async def _watch(self, version: int) -> int:
        query = {"after": str(version), "timeout_s": str(WATCH_S)}
        async with self.http.get(self.url, params=query) as response:
            if response.status == 204:
                return version
            response.raise_for_status()
            self._adopt(decode_view(await response.read()))
            return int(response.headers["ETag"].strip('"'))

    def _adopt(self, view: ConfigView) -> None:
        if view.revision > self.current.revision:
            self.current = view
            log.info("configuration in force", revision=view.revision)
