"""The cleo application; one module per command."""

from cleo.application import Application

from monsoontack.cli.agent import AgentCommand
from monsoontack.cli.apply import ApplyCommand
from monsoontack.cli.check import CheckCommand
from monsoontack.cli.checkplatform import CheckPlatformCommand
from monsoontack.cli.dump import DumpCommand
from monsoontack.cli.entry import EntryCommand
from monsoontack.cli.explain import ExplainCommand
from monsoontack.cli.generate import GenerateCommand
from monsoontack.cli.get import GetCommand
from monsoontack.cli.status import StatusCommand

COMMANDS = (
    AgentCommand,
    ApplyCommand,
    CheckCommand,
    CheckPlatformCommand,
    DumpCommand,
    EntryCommand,
    ExplainCommand,
    GenerateCommand,
    GetCommand,
    StatusCommand,
)


def main() -> int:
    """Run the command line; return the exit status."""
    application = Application("monsoontack")
    for command in COMMANDS:
        application.add(command())
    return application.run()
