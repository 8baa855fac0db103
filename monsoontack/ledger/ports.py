"""Protocol that the ledger needs from its process."""

from typing import Protocol

from monsoontack.ledger.records import DispatchResult, ServiceCall


class Dispatcher(Protocol):
    """Sends a call to the agent of a backend server and waits for the result."""

    async def dispatch(
        self,
        call: ServiceCall,
        fence: int,
        latest_start_unix_s: float,
        tried_addresses: set[str],
    ) -> DispatchResult:
        """Send the call once, to one backend server whose address is not `tried_addresses`.

        The chosen address is added to `tried_addresses`. The call ends within its
        timeout and never raises: a lost answer gives `unknown`. `fence` and
        `latest_start_unix_s` are 0 for idempotent calls.
        """
        ...
