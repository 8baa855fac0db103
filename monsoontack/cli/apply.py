"""Command `apply`: submits changed objects and waits for their outcome."""

import asyncio
import getpass
import random
import time
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option
from returns.result import Failure

from monsoontack.cli.output import STORE_OPTION, describe_store_error, store_url
from monsoontack.config.operator import (
    SubmissionResult,
    make_proposal,
    read_files,
    submit,
    wait_for_outcome,
)
from monsoontack.core.clock import LoopClock
from monsoontack.store.http import HttpStore

DEFAULT_TIMEOUT_S = 30.0


class ApplyCommand(Command):
    """Submits a proposal; 0 once in force, 1 if refused, 3 if not known yet."""

    name = "apply"
    description = "Submits changed objects and waits until they are in force."
    arguments = [argument("files", "JSON files of objects.", multiple=True)]
    options = [
        STORE_OPTION,
        option("author", None, "Name of the operator.", flag=False),
        option(
            "timeout", None, "Seconds to wait.", flag=False, default=DEFAULT_TIMEOUT_S
        ),
    ]

    def handle(self) -> int:
        """Read the files, submit them and print the outcome."""
        url = store_url(self)
        if url is None:
            return 2
        sources, errors = read_files([Path(path) for path in self.argument("files")])
        author = self.option("author") or getpass.getuser()
        result = make_proposal(sources, author, random.SystemRandom(), time.time())
        if isinstance(result, Failure):
            errors += result.failure().errors
        for error in errors:
            self.line_error(f"error: {error}")
        if errors:
            return 1
        return asyncio.run(self._apply(url, result.unwrap()))

    async def _apply(self, url: str, proposal: dict) -> int:
        clock, timeout_s = LoopClock(), float(self.option("timeout"))
        async with HttpStore(url) as store:
            result = await submit(store, proposal, clock, timeout_s)
            if isinstance(result, Failure):
                self.line_error(f"error: {describe_store_error(result.failure())}")
                return 3
            self.line(f"proposal {proposal['uid']} submitted")
            outcome = await wait_for_outcome(store, proposal["uid"], clock, timeout_s)
        return self._print(outcome)

    def _print(self, outcome: SubmissionResult) -> int:
        status = outcome.status
        if status.get("phase") == "Refused":
            for error in status.get("errors", ()):
                path = f"{error['source']}: {error['path']}".removesuffix(": ")
                self.line_error(f"error: {path}: {error['message']}")
            for conflict in status.get("conflicts", ()):
                self.line_error(f"conflict: {conflict['message']}")
            return 1
        if status.get("phase") != "Published":
            self.line_error("error: no outcome yet; see `monsoontack status`")
            return 3
        if outcome.in_force:
            self.line(f"revision {status['revision']} is in force")
            return 0
        late = ", ".join(outcome.unconfirmed) or "the controller has not reported"
        self.line_error(
            f"error: revision {status['revision']} is published,"
            f" but not confirmed by: {late}"
        )
        return 3
