"""The cleo application; one module per command."""

from cleo.application import Application

from monsoontack.cli.agent import AgentCommand
from monsoontack.cli.entry import EntryCommand


def main() -> int:
    """Run the command line; return the exit status."""
    application = Application("monsoontack")
    application.add(AgentCommand())
    application.add(EntryCommand())
    return application.run()
