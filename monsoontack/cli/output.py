"""Options and messages shared by the operator commands."""

import os

from cleo.commands.command import Command
from cleo.helpers import option

from monsoontack.store.api import Ambiguous, NotFound, StoreError, Unavailable

STORE_VARIABLE = "MONSOONTACK_STORE"
STORE_OPTION = option(
    "store", None, f"URL of the object API (default: ${STORE_VARIABLE}).", flag=False
)


def store_url(command: Command) -> str | None:
    """Return the URL of the object API; print an error and return None if unset."""
    url = command.option("store") or os.environ.get(STORE_VARIABLE)
    if not url:
        command.line_error(f"error: --store URL or ${STORE_VARIABLE} is required")
    return url


def describe_store_error(error: StoreError) -> str:
    """Return the message that operators see for a store error."""
    match error:
        case Unavailable(key, reason):
            return f"the object API refused {key} or cannot be reached: {reason}"
        case Ambiguous(key, reason):
            return f"it is not known whether {key} was written: {reason}"
        case NotFound(key):
            return f"{key} does not exist"
    return f"{error.key} was changed by another writer"
