"""What a backend server says of itself in the head of a response.

A server that is leaving says so in its responses, and one that refuses a request with
503 may say for how long it wants no further one. Both are read here for all
deployments; an adapter only names the headers.
"""

import math
import re
from dataclasses import dataclass

DECIMAL_NUMBER = re.compile(r"\d{1,12}(\.\d{1,12})?", re.ASCII)
# Text of the header with which a server says that it is leaving.
LEAVING_TEXT = "1"
REFUSED_STATUS = 503
# Status of an address that belongs to another server by now.
MISDIRECTED_STATUS = 421
# A server that asks for hours by mistake is asked again after this time, the longest
# ejection (`routing/ejection`).
MAX_WAIT_S = 300.0
# Longer texts are cut in log lines.
MAX_LOGGED_CHARACTERS = 40


@dataclass(frozen=True, slots=True)
class ServerStatement:
    """What a server says of itself.

    `is_leaving` means that it wants no new work before it ends. `wait_s` is the time
    for which it wants no request, 0 if it asks for none.
    """

    is_leaving: bool = False
    wait_s: float = 0.0

    @property
    def is_empty(self) -> bool:
        """Whether the server says nothing."""
        return not self.is_leaving and self.wait_s <= 0


NO_STATEMENT = ServerStatement()


def read_statement(
    status: int, is_own: bool, leaving: str | None, retry_after: str | None
) -> ServerStatement:
    """Return what the headers of a response say.

    `is_own` is false for a success that does not come from the server itself, whose
    headers count for nothing, as do those of another server at the address. `leaving`
    and `retry_after` are the texts of the headers, None without one; malformed texts
    are ignored.
    """
    if not is_own or status == MISDIRECTED_STATUS:
        return NO_STATEMENT
    is_leaving = leaving is not None and leaving.strip(" \t") == LEAVING_TEXT
    wait_s = 0.0
    if status == REFUSED_STATUS and retry_after is not None:
        wait_s = parse_wait_s(retry_after) or 0.0
    return ServerStatement(is_leaving, wait_s)


def parse_wait_s(text: str) -> float | None:
    """Return a time in seconds, at most `MAX_WAIT_S`, or None if it is malformed.

    A date is malformed as well, since the clocks of servers are not compared.
    """
    text = text.strip(" \t")
    if DECIMAL_NUMBER.fullmatch(text) is None:
        return None
    seconds = float(text)
    return min(seconds, MAX_WAIT_S) if math.isfinite(seconds) else None
