"""Order of the requests that wait at an entry for room at the engines of a service.

Written for bursts of less urgent streams at 3.5 times their rate for 5 s, beside which
a third of the urgent streams were late, and for client accounts of which one sends half
of all requests. The order is by priority, then by whether the objective can still be
met, then by the time left to it, then by the fair shares of the accounts.
"""

from dataclasses import dataclass

# Differences in the time left below this are decided by the accounts' shares, since the
# time to read a prompt (about 1 s) is not known more precisely.
MAX_SHARE_SHIFT_S = 1.0
# A request moves up one priority level after this share of the time to its deadline.
AGEING_SHARE = 0.5
# Reading a prompt takes longer than predicted when an urgent prompt comes first, so a
# request whose time suffices only without a delay counts as late.
READ_TIME_FACTOR = 1.25


@dataclass(slots=True, repr=False)
class WaitingRequest:
    """A request that waits to be sent to an engine.

    `prompt_tokens` is the length of its prompt, `needed_tokens` the KV cache that it
    needs. Its first event is due at `objective_at`, its caller leaves at `deadline_at`
    (seconds of the event loop's clock). `cached_at` is the key of the engine that has
    read the prompt before, `keys` are the names under which the request is recognised
    when it returns after a refusal. `has_begun` is set while it is counted as begun.
    """

    number: int
    account: str
    priority: int
    prompt_tokens: int
    needed_tokens: int
    arrived_at: float
    objective_at: float
    deadline_at: float
    cached_at: str | None = None
    keys: tuple[str, ...] = ()
    has_begun: bool = False

    def level(self, now: float) -> int:
        """Return the priority after ageing; 0 comes first."""
        ages_at = self.arrived_at + AGEING_SHARE * (self.deadline_at - self.arrived_at)
        return max(self.priority - (now >= ages_at), 0)

    def is_late(self, now: float, read_s: float) -> bool:
        """Whether the objective is missed even if the request begins now.

        `read_s` is the predicted time from its start to its first event.
        """
        return now + READ_TIME_FACTOR * read_s > self.objective_at


def order_key(
    request: WaitingRequest, now: float, read_s: float, account_load: float
) -> tuple:
    """Return a sort key; requests with smaller keys are admitted first.

    `read_s` is the predicted time from the request's start to its first event,
    `account_load` the number of the account's requests under way per unit of weight.
    """
    shift_s = MAX_SHARE_SHIFT_S * account_load / (account_load + 1)
    return (
        request.level(now),
        request.is_late(now, read_s),
        request.objective_at + shift_s,
        request.number,
    )
