"""Options and messages that the operators' commands share."""

import os

from cleo.commands.command import Command
from cleo.helpers import option

from monsoontack.store.api import Ambiguous, NotFound, StoreError, Unavailable

STORE_VARIABLE = "MONSOONTACK_STORE"
STORE_OPTION = option(
    "store", None, f"URL of the object API (default: ${STORE_VARIABLE}).", flag=False
)


def store_url(command: Command) -> str | None:
    """Return the URL of the object API; None, with a message, if it is not set."""
    url = command.option("store") or os.environ.get(STORE_VARIABLE)
    if not url:
        command.line_error(f"error: --store URL or ${STORE_VARIABLE} is required")
    return url


def describe_store_error(error: StoreError) -> str:
    """Return a store error as an operator reads it."""
    match error:
        case Unavailable(key, reason):
            return f"the object API refused or cannot be reached for {key}: {reason}"
        case Ambiguous(key, reason):
            return f"it is not known whether {key} was written: {reason}"
        case NotFound(key):
            return f"{key} does not exist"
    return f"{error.key} was changed by somebody else"
