"""Command `agent`: runs the agent daemon."""

from pathlib import Path

import uvloop
from cleo.commands.command import Command
from cleo.helpers import option
from returns.result import Failure

from monsoontack.agent.daemon import run
from monsoontack.cli.logs import configure_logs
from monsoontack.settings.load import load_settings
from monsoontack.settings.models import AgentSettings


class AgentCommand(Command):
    """Runs the agent beside a backend server until SIGTERM."""

    name = "agent"
    description = "Runs the agent beside a backend server until SIGTERM."
    options = [option("settings", None, "Path of the settings file.", flag=False)]

    def handle(self) -> int:
        """Read the settings and run the daemon; return 2 for invalid settings."""
        path = self.option("settings")
        if not path:
            self.line_error("<error>--settings FILE is required</error>")
            return 2
        settings = load_settings(Path(path), AgentSettings)
        if isinstance(settings, Failure):
            for error in settings.failure().errors:
                self.line_error(str(error))
            return 2
        configure_logs(settings.unwrap().log_level, settings.unwrap().name)
        uvloop.run(run(settings.unwrap()))
        return 0
