"""Command `check-platform`: checks the files of a deployment on the platform."""

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option

from monsoontack.platform.check import check_deploy, check_settings


class CheckPlatformCommand(Command):
    """Prints every error in the files; exits with 1 for errors, 2 without a file."""

    name = "check-platform"
    description = "Checks a settings file of the platform and a deploy file."
    options = [
        option("settings", None, "Settings file of a process (TOML).", flag=False),
        option("deploy", None, "Deploy file (TOML).", flag=False),
    ]

    def handle(self) -> int:
        """Check the files and print all errors."""
        settings, deploy = self.option("settings"), self.option("deploy")
        if not settings and not deploy:
            self.line_error("error: give --settings FILE, --deploy FILE, or both")
            return 2
        errors = check_settings(Path(settings)) if settings else []
        errors += check_deploy(Path(deploy)) if deploy else []
        for error in errors:
            self.line_error(f"error: {error}")
        return 1 if errors else 0
