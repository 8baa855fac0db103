"""Which engines a stream has asked to go on, and what they answered."""

from dataclasses import dataclass, field

from monsoontack.gateway.streamattempt import StreamLoss

# Answers that do not go on after the last event, after which further attempts pause.
# They come within milliseconds, and would use up the attempts while an engine that
# knows the stream starts again.
MAX_WRONG_ANSWERS = 2


@dataclass(slots=True)
class AskedEngines:
    """Engines of the failed attempts of one stream, by their incarnations.

    `excluded` has the engines that get no next attempt while others are available,
    among them those in `wrong`, whose answers did not go on after the event
    `last_event_id`. `wrong_answers` counts these answers. The engines in `empty` had
    nothing to add to the stream.
    """

    excluded: set[str] = field(default_factory=set)
    wrong: set[str] = field(default_factory=set)
    empty: set[str] = field(default_factory=set)
    wrong_answers: int = 0
    last_event_id: str | None = None

    @property
    def must_pause(self) -> bool:
        """Whether the next attempt is delayed, since several answers were wrong."""
        return self.wrong_answers >= MAX_WRONG_ANSWERS

    def note_loss(
        self,
        incarnation: str,
        loss: StreamLoss,
        last_event_id: str | None,
        has_left_silent_engine: bool,
    ) -> None:
        """Record a failed attempt after the event `last_event_id`.

        With `has_left_silent_engine`, only refusals have followed a silent engine.
        """
        if last_event_id != self.last_event_id:
            self.last_event_id, self.wrong_answers = last_event_id, 0
            self.wrong, self.empty = set(), set()
        self.wrong_answers += loss.is_empty or loss.is_foreign
        if loss.is_empty:
            self.empty.add(incarnation)
        if loss.is_empty or loss.may_be_empty or loss.is_foreign:
            self.wrong.add(incarnation)
        if loss.unsent or loss.not_run and has_left_silent_engine:
            self.excluded.add(incarnation)
        else:
            self.excluded = {incarnation, *self.wrong}
