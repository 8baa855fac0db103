"""Command `get`: prints published objects as JSON."""

import asyncio
import json

from cleo.commands.command import Command
from cleo.helpers import argument
from returns.result import Failure

from monsoontack.cli.output import STORE_OPTION, describe_store_error, store_url
from monsoontack.config.objects import MODELS
from monsoontack.config.operator import get_objects
from monsoontack.store.http import HttpStore


class GetCommand(Command):
    """Prints objects in the format that `apply` reads."""

    name = "get"
    description = "Prints published objects as JSON."
    arguments = [
        argument("kind", f"One of {', '.join(MODELS)}; all if left out.", True),
        argument("name", "Name of one object.", True),
    ]
    options = [STORE_OPTION]

    def handle(self) -> int:
        """Read and print the objects; return 1 if a named object does not exist."""
        url, kind, name = store_url(self), self.argument("kind"), self.argument("name")
        if url is None:
            return 2
        if kind and kind not in MODELS:
            known = ", ".join(MODELS)
            self.line_error(f"error: kind must be one of {known} (got {kind!r})")
            return 2
        result = asyncio.run(self._get(url, kind or "", name or ""))
        if isinstance(result, Failure):
            self.line_error(f"error: {describe_store_error(result.failure())}")
            return 3
        if name and not result.unwrap():
            self.line_error(f"error: {kind} {name!r} does not exist")
            return 1
        self.line(json.dumps(result.unwrap(), indent=2))
        return 0

    async def _get(self, url: str, kind: str, name: str):
        async with HttpStore(url) as store:
            return await get_objects(store, kind, name)
