"""The engines that a look at the gate offers to a stream, and which of them it takes.

The gate looks at the engines once and then begins several streams. What a stream may
use is found out when it is placed, and may differ: its own failed attempts exclude
engines, a canary limit may have been reached by the stream before it, and a stated
limit may leave no permit.

Example::

    offer = EngineOffer(frozenset({"a"}), frozenset({"a", "b"}), frozenset({"a", "b"}))
    offer.choose({"b": second})   # {}: the stream waits until "b" has room
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeVar

Engine = TypeVar("Engine")


@dataclass(frozen=True, slots=True)
class EngineOffer:
    """Engines of one look, by their keys.

    Those `with_room` can begin the stream now. The gate waits for room at those
    `waited_for`, which are the sound ones if there are any, of all that are `eligible`.
    """

    with_room: frozenset[str]
    waited_for: frozenset[str]
    eligible: frozenset[str]

    def choose(self, usable: Mapping[str, Engine]) -> dict[str, Engine]:
        """Return those of the `usable` engines at which the stream may begin now.

        The result is empty if the stream has to wait. A stream that can use none of the
        engines that the gate waits for, since its former attempts failed there, may
        begin at the other eligible ones at once.
        """
        found = {key: usable[key] for key in usable if key in self.with_room}
        if found or not self.waited_for.isdisjoint(usable):
            return found
        return {key: usable[key] for key in usable if key in self.eligible}
