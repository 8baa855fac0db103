"""Command `explain`: reconstructs from logs how one request was processed."""

import sys
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument

from monsoontack.gateway.explain import explain, parse_lines


class ExplainCommand(Command):
    """Explains a request; exits with 1 if no line names it, 2 for a bad file."""

    name = "explain"
    description = "Explains one request from the logs of gateways."
    arguments = [
        argument("request", "Id of the request."),
        argument("files", "Log files; none: standard input.", True, True),
    ]

    def handle(self) -> int:
        """Read the logs and print the explanation."""
        texts: list[str] = []
        files = self.argument("files") or []
        for name in files:
            try:
                texts += Path(name).read_text(errors="replace").splitlines()
            except OSError as error:
                self.line_error(f"error: {name}: {error.strerror}")
                return 2
        if not files:
            texts = sys.stdin.read().splitlines()
        found = explain(self.argument("request"), parse_lines(texts))
        for line in found.lines():
            self.line(line)
        return 0 if found.found else 1
