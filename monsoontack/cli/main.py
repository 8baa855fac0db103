"""The cleo application; one module per command."""

from cleo.application import Application

from monsoontack.cli.agent import AgentCommand
from monsoontack.cli.dump import DumpCommand
from monsoontack.cli.entry import EntryCommand
from monsoontack.cli.generate import GenerateCommand

COMMANDS = (
    AgentCommand,
    DumpCommand,
    EntryCommand,
    GenerateCommand,
)


def main() -> int:
    """Run the command line; return the exit status."""
    application = Application("monsoontack")
    for command in COMMANDS:
        application.add(command())
    return application.run()
