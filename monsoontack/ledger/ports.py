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
        asked: set[str],
    ) -> DispatchResult:
        """Send the call once, to one backend server whose address is not in `asked`.

        Adds the chosen address to `asked`. Returns within the call's timeout
        and never raises: a lost answer gives `unknown`. `fence` and
        `latest_start_unix_s` are 0 for idempotent calls.
        """
        ...
