"""Keeps the connection to a silent engine open while the next one is asked.

A stream that leaves a silent engine may lack only the end of its answer. The next
engine then has nothing to add, and only the first one knows that the stream is whole.
So its connection is reset once the next attempt has brought an event, or after a short
time, and until then the stream may return to it. What it sends meanwhile is used only
then. The stream returns if the answer ends before the next attempt has brought an
event, and also if that has brought none when the time is over, as long as the silence
may be the pause of a sound engine.
"""

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import structlog

from monsoontack.gateway.crashdetector import BROKEN_OFF_KINDS
from monsoontack.gateway.streamattempt import OpenAttempt, StreamLoss
from monsoontack.gateway.streamoutcome import close_attempt, record_result
from monsoontack.generation.silence import KEPT_S, SOUND_PAUSE_S, may_pause

if TYPE_CHECKING:
    from monsoontack.gateway.streamrun import StreamRun

log = structlog.get_logger("gateway.streams")


class KeptAttempt:
    """The attempt that a stream has left with its connection open, if there is one.

    Its outcome is recorded when the connection is reset, or when the stream has
    returned to it and ends. `loss` is the reason for which it was left. `is_due` is set
    once the stream has to return to it, and the next attempt is given up.
    """

    def __init__(self, run: "StreamRun") -> None:
        self.run = run
        self.attempt: OpenAttempt | None = None
        self.loss: StreamLoss | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.is_due = False

    @property
    def is_whole(self) -> bool:
        """Whether the rest of the answer has come since the stream left."""
        return self.attempt is not None and self.attempt.relay.exchange.is_complete

    @property
    def takes_over(self) -> bool:
        """Whether the engine that was left has ended, or has to be returned to."""
        return self.is_due or self.is_whole

    def keep(self, attempt: OpenAttempt, loss: StreamLoss) -> None:
        """Keep the connection of an attempt that the stream leaves now."""
        self.reset("another engine was left")
        self.attempt, self.loss = attempt, loss
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(KEPT_S, self._expire)

    def _expire(self) -> None:
        # An answer that has ended meanwhile is no work for its engine any more.
        if self.is_whole:
            return
        relay, run = self.attempt.relay, self.run
        silent_s = run.now() - run.last_event_at
        if relay.exchange.failure is None and may_pause(silent_s, relay.is_reachable):
            self.is_due = True
            if run.attempt is not None and run.attempt.relay is not None:
                run.attempt.relay.exchange.wake()
        else:
            self.reset("time")

    def pause_left_s(self) -> float:
        """Return the time for which the silence may still be a pause, in seconds."""
        return max(self.run.last_event_at + SOUND_PAUSE_S - self.run.now(), 0.0)

    def return_to(
        self, stay_s: float, because: str, is_copy_used: bool
    ) -> OpenAttempt | None:
        """Return the attempt, to be relayed on; None if the stream cannot return.

        The engine is not left for its silence within `stay_s`. `is_copy_used` means
        that the next attempt has used the copy of the run.
        """
        attempt = self.attempt
        if attempt is None:
            return None
        if attempt.relay.exchange.failure is not None:
            self.reset("broken off")
            return None
        self._release()
        attempt.relay.stay(stay_s)
        if is_copy_used:
            attempt.placement = replace(attempt.placement, backup=None)
            attempt.relay.backup = None
        tries = self.run.job.tries
        tries.remove(attempt.record)
        tries.append(attempt.record)
        log.info(
            "stream returns to its silent engine",
            request=self.run.job.request.request_id,
            server=attempt.member.server.incarnation,
            because=because,
            events=self.run.events,
            last_id=self.run.position.last_id,
            left_s=round(self.run.job.left_s(self.run.now()), 2),
        )
        return attempt

    def reset(self, because: str) -> None:
        """Reset the connection, and record the outcome of the attempt."""
        attempt, loss, run = self.attempt, self.loss, self.run
        if attempt is None:
            return
        self._release()
        exchange = attempt.relay.exchange
        is_broken_off = (
            exchange.failure is not None and exchange.failure.kind in BROKEN_OFF_KINDS
        )
        exchange.abort()
        loss.is_broken_off = is_broken_off
        if is_broken_off and not attempt.relay.has_gone_on:
            run.broken_off += 1
        record_result(run, attempt, loss)
        close_attempt(run, attempt, loss)
        log.info(
            "silent engine is given up",
            request=run.job.request.request_id,
            server=attempt.member.server.incarnation,
            because="broken off" if is_broken_off else because,
        )

    def _release(self) -> None:
        self.timer.cancel()
        self.attempt = self.loss = self.timer = None
        self.is_due = False
