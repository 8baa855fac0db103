"""What a request carries that may come again in other requests, and whose it is."""

from collections.abc import Iterable
from dataclasses import dataclass

from monsoontack.core.boundedid import bounded_id, hashed_id

# Parts kept of one request. Prompts have few parts that others share.
MAX_PARTS = 32
# Begins the id of a whole request. Ids of prompt parts that begin so are hashed, so
# that no caller can name the request of another one.
REQUEST_PREFIX = "request:"


@dataclass(frozen=True, slots=True)
class RequestContent:
    """The parts of a request that may recur, and the client account.

    `parts` are the ids of the parts of its prompt, without the last one, which belongs
    to the request alone, and as the last and most specific part the id of the request
    itself. The account is empty on a route that needs no key.
    """

    account: str
    parts: tuple[str, ...]

    @classmethod
    def from_ids(
        cls, account: str, prompt_ids: Iterable[str], fingerprint: str = ""
    ) -> "RequestContent":
        """Return the content of a request.

        `prompt_ids` are the ids of all parts of its prompt, in their order. Without a
        `fingerprint`, the request itself is not recognised when it comes again.
        """
        shared = [_bounded(part) for part in prompt_ids][:-1]
        parts = tuple(dict.fromkeys(shared))
        if not fingerprint:
            return cls(_bounded(account), parts[:MAX_PARTS])
        own = REQUEST_PREFIX + fingerprint
        return cls(_bounded(account), (*parts[: MAX_PARTS - 1], own))

    @property
    def prompt_parts(self) -> tuple[str, ...]:
        """Return the parts of the prompt."""
        return tuple(part for part in self.parts if not is_request(part))

    @property
    def request(self) -> str | None:
        """Return the id of the request itself, if it has one."""
        own = self.parts[-1:]
        return own[0] if own and is_request(own[0]) else None


def is_request(part: str) -> bool:
    """Whether an id is that of a whole request and not of a part of a prompt."""
    return part.startswith(REQUEST_PREFIX)


def _bounded(text: str) -> str:
    return hashed_id(text) if is_request(text) else bounded_id(text)
