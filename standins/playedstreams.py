"""Scripted servers that pause or fail in a stream, and that resume it in many ways.

The hypothesis strategy `played_streams` draws what happens to a stream; `StreamServers`
plays it with the exchanges of `standins.gatewayfakes`.
"""

import asyncio
from dataclasses import dataclass, field

from hypothesis import strategies as st

from monsoontack.gateway.outbound import ExchangeFailure, FailureKind

DEADLINE_S = 25.0
GAP_S = 0.05
# Times after which servers answer that read the prompt again first.
PROMPT_DELAYS_S = (0.5, 1.2)
REFUSED = ExchangeFailure(FailureKind.CONNECT, False, "refused")
SSE = ((b"content-type", b"text/event-stream"),)
TEXT = ((b"content-type", b"text/plain"),)
COMMENT = b": still here\n\n"
NOT_RUN = ((b"not-run", b"1"),)
SOUND = frozenset(("right", "empty"))
# Wrong answers that show only by the events before them.
NEEDS_EVENTS = frozenset(
    ("empty", "comments", "from_start", "skipped", "repeated", "other_ids")
)
BEHAVIORS = (
    *sorted(SOUND),
    *sorted(NEEDS_EVENTS - SOUND),
    "other_type",
    "error",
    "refusal",
    "silent",
    "slow",
    "cut",
    "halted",
)


@dataclass(frozen=True, slots=True)
class PlayedStream:
    """One stream and what its servers do; times are in seconds.

    Its events have the ids `first_id`, `first_id` + `step`, ..., and it has stated
    `surplus` tokens more than it has events times `step`; `hint` is the number that is
    expected. The caller has `known` events already.

    The first server makes `pauses`, pairs of the number of events before them and their
    length. Unless `ending` is empty, it breaks off so after `end_after` events, in the
    middle of an event if `is_partial`. The answers end with their connections if they
    are `unframed`. `others` has how each other server answers a resumption, and after
    what time. The caller disconnects `leaves_after_s` after the start unless it is 0.
    """

    count: int
    first_id: int
    step: int
    surplus: int
    hint: int
    known: int
    pauses: tuple[tuple[int, float], ...]
    ending: str
    end_after: int
    is_partial: bool
    unframed: bool
    others: tuple[tuple[str, float], ...]
    deadline_s: float
    leaves_after_s: float

    def event_id(self, number: int) -> int:
        """Return the id of event `number`, the first one being 1."""
        return self.first_id + (number - 1) * self.step

    def event(self, number: int) -> bytes:
        """Return event `number`."""
        return b"id: %d\ndata: t%d\n\n" % (self.event_id(number), number)

    def events(self, first: int, last: int) -> list[bytes]:
        """Return the events from `first` to `last`."""
        return [self.event(number) for number in range(first, last + 1)]

    @property
    def must_be_whole(self) -> bool:
        """Whether nothing but pauses happens to the stream.

        If the other servers are late, none of them may have forgotten it: the first
        one cannot be waited for so long while another may be at work.
        """
        if self.ending or self.leaves_after_s or self.deadline_s < DEADLINE_S:
            return False
        behaviors = {behavior for behavior, _ in self.others}
        if self.has_late_answers and not self.pauses_at_end:
            return behaviors == {"right"}
        return behaviors <= SOUND

    @property
    def pauses_at_end(self) -> bool:
        """Whether the first server pauses only after the last event."""
        return {at for at, _ in self.pauses} == {self.count}

    @property
    def has_late_answers(self) -> bool:
        """Whether another server is at work for some time before it answers."""
        return max(delay_s for _, delay_s in self.others) >= min(PROMPT_DELAYS_S)

    @property
    def pauses_at_end_only(self) -> bool:
        """Whether nothing but a pause before the end of the answer happens to it."""
        return self.must_be_whole and self.pauses_at_end


def resumed_answer(stream: PlayedStream, behavior: str, done: int):
    """Return status, headers and parts of the answer to a resumption after `done`."""
    count = stream.count
    rest = stream.events(done + 1, count)
    answers = {
        "error": (500, TEXT, [b"internal error"]),
        "refusal": (503, NOT_RUN, []),
        "other_type": (200, TEXT, rest),
        "empty": (200, SSE, []),
        "comments": (200, SSE, [COMMENT] * 2),
        "from_start": (200, SSE, stream.events(1, count)),
        "repeated": (200, SSE, stream.events(done, count)),
        "skipped": (200, SSE, stream.events(done + 2, count + 3)),
        "other_ids": (200, SSE, [b"id: other\ndata: foreign\n\n"]),
        "cut": (200, SSE, rest[: len(rest) // 2]),
        "halted": (200, SSE, rest[: len(rest) // 2]),
    }
    return answers.get(behavior, (200, SSE, rest))


# Pauses around the limits of silence are the most telling ones.
PAUSES = st.one_of(st.sampled_from((0.6, 1.3, 2.0, 3.5)), st.floats(0.0, 4.0))
DELAYS = st.sampled_from((0.0, 0.02, 0.1, 0.2))
PROMPT_DELAYS = st.sampled_from(PROMPT_DELAYS_S)


@st.composite
def played_streams(draw) -> PlayedStream:
    """Return a strategy for streams; about half fail or pause before their end."""
    count = draw(st.integers(1, 12))
    step = draw(st.sampled_from((1, 1, 1, 4)))
    places = st.one_of(st.just(count), st.integers(0, count))
    sound = st.sampled_from(sorted(SOUND))
    others = st.one_of(
        st.tuples(*[st.tuples(sound, DELAYS)] * 3),
        st.tuples(*[st.tuples(sound, PROMPT_DELAYS)] * 3),
        st.tuples(*[st.tuples(st.sampled_from(BEHAVIORS), DELAYS)] * 3),
    )
    ending = draw(st.sampled_from(("", "", "", "reset", "closed", "crash")))
    pause = st.tuples(places, PAUSES)
    known = draw(st.sampled_from((0, 0, 0, count // 2, count)))
    pauses = st.lists(pause, min_size=0 if ending else 1, max_size=2)
    # The close of an unframed answer cannot be told from its end, nor can a crash from
    # an empty one.
    can_be_unframed = ending in ("", "reset") and known < count
    return PlayedStream(
        count=count,
        first_id=draw(st.sampled_from((step, step, step, 0, 1000))),
        step=step,
        surplus=draw(st.sampled_from((0, 0, 1, 5, 1000))),
        hint=draw(st.sampled_from((0, 0, 1, count * step))),
        known=known,
        pauses=tuple(draw(pauses)),
        ending=ending,
        end_after=draw(places),
        is_partial=draw(st.booleans()),
        unframed=can_be_unframed and draw(st.integers(0, 5)) == 0,
        others=draw(others),
        deadline_s=draw(st.sampled_from((DEADLINE_S,) * 8 + (2.0, 3.0))),
        leaves_after_s=draw(st.sampled_from((0.0,) * 8 + (0.7, 1.0, 1.4, 2.2))),
    )


@dataclass(slots=True)
class StreamServers:
    """The servers of one stream; `reached` are their names in the order of use.

    `spans` has the time in which each attempt was at work.
    """

    stream: PlayedStream
    scripts: dict[str, object]
    reached: list[str] = field(default_factory=list)
    spans: list[list[float]] = field(default_factory=list)

    async def play(self, exchange, attempt) -> None:
        """Answer one attempt."""
        name, now = attempt.server.incarnation, asyncio.get_running_loop().time
        is_first = not self.reached
        if name not in self.reached:
            self.reached.append(name)
        span = [now(), float("inf")]
        self.spans.append(span)
        behavior, delay_s = "right", 0.1
        if name != self.reached[0]:
            behavior, delay_s = self.stream.others[self.reached.index(name) - 1]
        last_id = attempt.last_event_id
        done = 0 if last_id is None else self._number(int(last_id))
        exchange.ends_with_connection = self.stream.unframed
        try:
            if is_first:
                await self._play_first(exchange, name, done)
            else:
                await asyncio.sleep(delay_s)
                await self._resume(exchange, self._usable(behavior, done), done)
        finally:
            if exchange.is_finished:
                span[1] = now()

    def _number(self, event_id: int) -> int:
        stream = self.stream
        return (event_id - stream.first_id) // stream.step + 1

    def _usable(self, behavior: str, done: int) -> str:
        """Return `behavior`, or the right one where nothing shows that it is wrong."""
        stream = self.stream
        if behavior in NEEDS_EVENTS and done <= stream.known:
            return "right"
        has_step = stream.known == 0 and stream.first_id == stream.step
        if behavior == "skipped" and not has_step and done < stream.known + 2:
            return "right"
        return behavior

    async def _play_first(self, exchange, name: str, done: int) -> None:
        stream = self.stream
        await asyncio.sleep(0.1)
        for number in range(done, stream.count + 1):
            if number > done:
                exchange.add_body(stream.event(number))
                await asyncio.sleep(GAP_S)
            elif stream.known or number:
                exchange.answer(200, SSE)
            for at, pause_s in stream.pauses:
                if at == number:
                    await asyncio.sleep(pause_s)
            if stream.ending and stream.end_after == number:
                self._break_off(exchange, name, number)
                return
            if not exchange.has_head:
                exchange.answer(200, SSE)
        exchange.end()

    def _break_off(self, exchange, name: str, number: int) -> None:
        stream = self.stream
        if exchange.has_head and stream.is_partial and number < stream.count:
            exchange.add_body(stream.event(number + 1)[:6])
        if stream.ending == "crash":
            self.scripts[name] = REFUSED
        is_closed = stream.ending == "closed"
        kind = FailureKind.CLOSED if is_closed else FailureKind.RESET
        exchange.fail(kind, True, stream.ending)

    async def _resume(self, exchange, behavior: str, done: int) -> None:
        """Answer a resumption after event `done` as `behavior` says."""
        if behavior == "silent":
            return
        gap_s = GAP_S / 5
        if behavior == "slow":
            gap_s = 0.3
            await asyncio.sleep(1.0)
        status, headers, parts = resumed_answer(self.stream, behavior, done)
        exchange.answer(status, headers)
        for part in parts:
            exchange.add_body(part)
            await asyncio.sleep(gap_s)
        if behavior == "cut":
            exchange.fail(FailureKind.RESET, True, "cut")
        elif behavior != "halted":
            exchange.end()
