"""Which engines a stream has asked to go on, and what they answered."""

from dataclasses import dataclass, field

from monsoontack.admission.serverstatement import MISDIRECTED_STATUS
from monsoontack.core.records import Place
from monsoontack.gateway.streamattempt import StreamLoss
from monsoontack.pacing.domainspend import DomainSpend
from monsoontack.routing.placement import EngineCandidate

# Answers that do not go on after the last event, after which further attempts pause.
# They come within milliseconds, and would use up the attempts while an engine that
# knows the stream starts again.
MAX_WRONG_ANSWERS = 2


@dataclass(slots=True, repr=False)
class AskedEngines:
    """Engines of the failed attempts of one stream, by their incarnations.

    `excluded` has the engines that get no next attempt while others are available,
    among them those in `wrong`, whose answers did not go on after the event
    `last_event_id`. `wrong_answers` counts these answers. The engines in `empty` had
    nothing to add to the stream. `spend` has the attempts by failure domain.
    """

    excluded: set[str] = field(default_factory=set)
    wrong: set[str] = field(default_factory=set)
    empty: set[str] = field(default_factory=set)
    wrong_answers: int = 0
    last_event_id: str | None = None
    spend: DomainSpend = field(default_factory=DomainSpend)

    @property
    def must_pause(self) -> bool:
        """Whether the next attempt is delayed, since several answers were wrong."""
        return self.wrong_answers >= MAX_WRONG_ANSWERS

    def usable(
        self, loads: dict[str, EngineCandidate], now: float
    ) -> dict[str, EngineCandidate]:
        """Return the engines for the next attempt: all if none is left otherwise."""
        others = [e for key, e in loads.items() if key not in self.excluded]
        allowed = self.spend.allowed(
            others, lambda e: e.place, lambda e: e.is_sound and not e.doubtful, now
        )
        return {engine.key: engine for engine in allowed} or loads

    def note_gone(self, place: Place, loss: StreamLoss, now: float) -> None:
        """Note that an engine at this place has ended, if the loss shows that."""
        head = loss.response_head
        is_outdated = head is not None and head.status == MISDIRECTED_STATUS
        if loss.unsent or loss.is_broken_off or loss.not_run and is_outdated:
            self.spend.note_lost(place, now)

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
