"""Id of an SSE event, which locates the stream log of its generation.

The format is `<generation>.<attempt>.<agent address>.<next position>`, where a
generation is 32 hexadecimal digits, a hyphen and the version that it runs on.
"""

import random
import re
from dataclasses import dataclass

MAX_EVENT_ID_LENGTH = 300
_PATTERN = re.compile(
    r"(?P<generation>[0-9a-f]{32}-(?P<version>[^\s/]+))"
    r"\.(?P<attempt>\d{1,9})"
    r"\.(?P<address>\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}|\[[0-9a-f:.]+\]:\d{1,5})"
    r"\.(?P<position>\d{1,9})"
)


@dataclass(frozen=True, slots=True)
class EventId:
    """Position of an answer at which an event was sent to the caller."""

    generation: str
    attempt: int
    address: str
    position: int

    @property
    def version(self) -> str:
        """Version on which the generation runs."""
        return version_of(self.generation)

    def __str__(self) -> str:
        return f"{self.generation}.{self.attempt}.{self.address}.{self.position}"


def new_generation(version: str, rng: random.Random) -> str:
    """Return a new generation id, made unique by 128 random bits."""
    return f"{rng.getrandbits(128):032x}-{version}"


def version_of(generation: str) -> str:
    """Return the version contained in a generation id."""
    return generation.partition("-")[2]


def parse_event_id(text: str) -> EventId | None:
    """Return the parsed id, or None if `text` is malformed."""
    if len(text) > MAX_EVENT_ID_LENGTH:
        return None
    match = _PATTERN.fullmatch(text)
    if match is None:
        return None
    return EventId(
        match["generation"],
        int(match["attempt"]),
        match["address"],
        int(match["position"]),
    )
