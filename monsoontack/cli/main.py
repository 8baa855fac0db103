"""The cleo application; one module per command."""

from cleo.application import Application

from monsoontack.cli.agent import AgentCommand
from monsoontack.cli.apply import ApplyCommand
from monsoontack.cli.check import CheckCommand
from monsoontack.cli.entry import EntryCommand
from monsoontack.cli.get import GetCommand
from monsoontack.cli.status import StatusCommand


def main() -> int:
    """Run the command line; return the exit status."""
    application = Application("monsoontack")
    application.add(AgentCommand())
    application.add(ApplyCommand())
    application.add(CheckCommand())
    application.add(EntryCommand())
    application.add(GetCommand())
    application.add(StatusCommand())
    return application.run()
