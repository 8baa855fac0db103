"""Command `entry`: runs the entry daemon."""

from pathlib import Path

import uvloop
from cleo.commands.command import Command
from cleo.helpers import option
from returns.result import Failure

from monsoontack.cli.logs import configure_logs
from monsoontack.entry.daemon import run
from monsoontack.settings.load import load_settings
from monsoontack.settings.models import EntrySettings


class EntryCommand(Command):
    """Runs the entry daemon until SIGTERM."""

    name = "entry"
    description = "Run an entry daemon."
    options = [option("settings", None, "Settings file (JSON).", flag=False)]

    def handle(self) -> int:
        """Read the settings and run the daemon; return 2 for invalid settings."""
        path = self.option("settings")
        if not path:
            self.line_error("error: --settings FILE is required")
            return 2
        result = load_settings(Path(path), EntrySettings)
        if isinstance(result, Failure):
            for error in result.failure().errors:
                self.line_error(f"error: {error}")
            return 2
        settings = result.unwrap()
        configure_logs(settings.log_level, settings.name)
        uvloop.run(run(settings))
        return 0
