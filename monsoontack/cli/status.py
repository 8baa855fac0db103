"""Command `status`: prints the status of configuration and rollouts."""

import asyncio
import json

from cleo.commands.command import Command
from returns.result import Failure

from monsoontack.cli.output import STORE_OPTION, describe_store_error, store_url
from monsoontack.config.operator import get_status
from monsoontack.store.http import HttpStore


class StatusCommand(Command):
    """Prints revision, unconfirmed entries, rollouts and proposals as JSON."""

    name = "status"
    description = "Prints the status of configuration, rollouts and proposals."
    options = [STORE_OPTION]

    def handle(self) -> int:
        """Read the status and print it as JSON."""
        url = store_url(self)
        if url is None:
            return 2
        result = asyncio.run(self._status(url))
        if isinstance(result, Failure):
            self.line_error(f"error: {describe_store_error(result.failure())}")
            return 3
        self.line(json.dumps(result.unwrap(), indent=2))
        return 0

    async def _status(self, url: str):
        async with HttpStore(url) as store:
            return await get_status(store)
