"""Command `check`: checks configuration files offline."""

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from monsoontack.config.operator import check_files


class CheckCommand(Command):
    """Prints every error in the files; exits with 1 if there is one."""

    name = "check"
    description = "Checks configuration files as one whole configuration."
    arguments = [argument("files", "JSON files of objects.", multiple=True)]
    options = [
        option(
            "base",
            None,
            "JSON file of published objects (output of `get`) that the files"
            " change; may be given several times.",
            flag=False,
            multiple=True,
        )
    ]

    def handle(self) -> int:
        """Check the files and print all errors."""
        base = [Path(path) for path in self.option("base") or ()]
        errors = check_files([Path(path) for path in self.argument("files")], base)
        for error in errors:
            self.line_error(f"error: {error}")
        return 1 if errors else 0
