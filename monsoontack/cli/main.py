"""Command line of monsoontack."""

import importlib

from cleo.application import Application

# Module and class of each command; modules are loaded when the program starts.
COMMANDS = (
    ("monsoontack.cli.entry", "EntryCommand"),
    ("monsoontack.cli.agent", "AgentCommand"),
)


def main() -> int:
    """Run the command that the arguments name and return the exit status."""
    application = Application("monsoontack")
    for module, name in COMMANDS:
        application.add(getattr(importlib.import_module(module), name)())
    return application.run()
