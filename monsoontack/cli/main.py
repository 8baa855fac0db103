"""The cleo application; one module per command."""

from cleo.application import Application

from monsoontack.cli.agent import AgentCommand


def main() -> int:
    """Run the command line; return the exit status."""
    application = Application("monsoontack")
    application.add(AgentCommand())
    return application.run()
