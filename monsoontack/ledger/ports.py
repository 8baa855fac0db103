"""Interface that the ledger requires from its process."""

from typing import Protocol

from monsoontack.ledger.records import DispatchResult, ServiceCall


class Dispatcher(Protocol):
    """Sends calls to agents of backend servers and waits for their results."""

    async def dispatch(
        self,
        call: ServiceCall,
        fence: int,
        latest_start_unix_s: float,
        tried_addresses: set[str],
    ) -> DispatchResult:
        """Send the call once, to a backend server whose address is not yet tried.

        `tried_addresses` holds the addresses tried before; the chosen address is
        added to it. Returns within the call's timeout and never raises: a lost
        answer gives `unknown`. `fence` and `latest_start_unix_s` are 0 for
        idempotent calls.
        """
        ...
