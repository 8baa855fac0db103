"""Command `generate`: sends a prompt and prints the streamed answer."""

import asyncio
import os

from cleo.commands.command import Command
from cleo.helpers import argument, option

from monsoontack.client.client import AnswerError, Client

KEY_VARIABLE = "MONSOONTACK_KEY"


class GenerateCommand(Command):
    """Streams one completion; resumes it when an entry or engine is lost."""

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
        """Print the answer; return 1 for an error response, 2 for invalid arguments."""
        key = os.environ.get(KEY_VARIABLE, "")
        argument_error = self._find_argument_error(key)
        if argument_error:
            self.line_error(f"error: {argument_error}")
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

    def _find_argument_error(self, key: str) -> str:
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
