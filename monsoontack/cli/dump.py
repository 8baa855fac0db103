"""Command `dump`: prints the state of a running process as JSON."""

import asyncio
import json

import aiohttp
from cleo.commands.command import Command
from cleo.helpers import argument

READ_TIMEOUT_S = 5.0


async def fetch_state(address: str) -> dict:
    """Return the state of the process with the operator address `address`."""
    timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        async with session.get(f"http://{address}/state") as response:
            response.raise_for_status()
            return await response.json()


class DumpCommand(Command):
    """Prints the response to `GET /state` at the operator address of a process."""

    name = "dump"
    description = "Print the state of a running process as JSON."
    arguments = [argument("address", "Operator address of the process, ip:port.")]

    def handle(self) -> int:
        """Print the state; return 1 if the process does not respond."""
        address = self.argument("address")
        try:
            state = asyncio.run(fetch_state(address))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            reason = str(error) or f"no response within {READ_TIMEOUT_S:g} s"
            self.line_error(f"error: cannot read the state of {address}: {reason}")
            return 1
        # `self.line` would interpret parts of the dump as markup.
        self.io.output.stream.write(json.dumps(state, indent=2, sort_keys=True) + "\n")
        return 0
