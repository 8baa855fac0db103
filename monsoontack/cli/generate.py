"""Command `generate`: sends a prompt and prints the answer as it comes."""

import asyncio
import os

from cleo.commands.command import Command
from cleo.helpers import argument, option

from monsoontack.client.client import AnswerError, Client

KEY_VARIABLE = "MONSOONTACK_KEY"


class GenerateCommand(Command):
    """Streams one completion, following it across lost entries and engines."""

    name = "generate"
    description = "Send a prompt and print the stream."
    arguments = [argument("prompt", "Text of the prompt.")]
    options = [
        option(
            "url", None, "Entry URL; repeat for several.", flag=False, multiple=True
        ),
        option("service", None, "Generation service.", flag=False),
        option("max-tokens", None, "Longest answer.", flag=False, default="256"),
    ]

    def handle(self) -> int:
        """Print the answer; 1 on a typed end, 2 on wrong arguments."""
        key = os.environ.get(KEY_VARIABLE, "")
        problem = self._problem(key)
        if problem:
            self.line_error(f"error: {problem}")
            return 2
        body = {
            "model": self.option("service"),
            "prompt": self.argument("prompt"),
            "max_tokens": int(self.option("max-tokens")),
        }
        try:
            asyncio.run(self._print_answer(self.option("url"), key, body))
        except AnswerError as error:
            details = f"run_state {error.error.run_state}"
            self.line_error(f"\nerror: {error} ({details})")
            return 1
        return 0

    def _problem(self, key: str) -> str:
        if not key:
            return f"set {KEY_VARIABLE} to the client account's key"
        if not self.option("url") or not self.option("service"):
            return "--url and --service are required"
        if not self.option("max-tokens").isdigit():
            return f"--max-tokens {self.option('max-tokens')!r} is not a number"
        return ""

    async def _print_answer(self, urls: list[str], key: str, body: dict) -> None:
        output = self.io.output.stream
        async with Client(urls, key) as client:
            async for part in client.stream("completions", body):
                output.write(part.text)
                output.flush()
        output.write("\n")
