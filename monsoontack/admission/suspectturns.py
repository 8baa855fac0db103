"""Turns of the requests that may have crashed servers, without I/O.

A request that was in flight at several crashes, or a part of their prompts, may have
caused them, or it recurs and all servers were lost at once. The next try tells the two
apart, so what is under suspicion is tried by one caller at a time over all entries. The
entry that ranks first for it gives the turns.
"""

from dataclasses import dataclass, field

# A request that has neither ended nor crashed its server by then no longer keeps others
# waiting. A prompt is read in a few seconds.
MAX_TURN_S = 5.0
# Turns kept; there are as many as are under suspicion at one time.
MAX_TURNS = 4096


@dataclass(frozen=True, slots=True)
class Turn:
    """The right of one entry to send a request, until a time in seconds."""

    holder: str
    until: float


@dataclass(slots=True, repr=False)
class SuspectTurns:
    """Turns that this entry has given, by the id of what is under suspicion."""

    turns: dict[str, Turn] = field(default_factory=dict)

    def take(self, suspect: str, holder: str, now: float) -> bool:
        """Give an entry the turn of a suspect, unless another entry has it.

        An entry that asks again has lost its former turn, as after a restart.
        """
        turn = self.turns.get(suspect)
        if turn is not None and turn.holder != holder and now < turn.until:
            return False
        self.turns[suspect] = Turn(holder, now + MAX_TURN_S)
        if len(self.turns) > MAX_TURNS:
            self._forget_ended(now)
        return True

    def end(self, suspect: str, holder: str, until: float) -> None:
        """End the turn of an entry at a time, if the entry still has it."""
        turn = self.turns.get(suspect)
        if turn is not None and turn.holder == holder:
            self.turns[suspect] = Turn(holder, min(until, turn.until))

    def _forget_ended(self, now: float) -> None:
        """Forget the turns that have ended, and the oldest ones if too many remain."""
        self.turns = {s: t for s, t in self.turns.items() if now < t.until}
        while len(self.turns) > MAX_TURNS:
            del self.turns[next(iter(self.turns))]
