"""Tests of the recovery state machine and the progress monitor without agents."""

import unittest

from monsoontack.core.errors import RunState
from monsoontack.core.records import TokenChunk
from monsoontack.generation.attempts import AttemptLog
from monsoontack.generation.progress import (
    LinkProgress,
    ProcessPauseDetector,
    ProgressMonitor,
)
from monsoontack.generation.resume import (
    ATTACH_TIMEOUT_S,
    MAX_FRUITLESS_ATTEMPTS,
    AgentSilent,
    Answered,
    AttachStream,
    AttemptEnded,
    Begin,
    CancelAttempt,
    FailStream,
    GenerationState,
    LinkLost,
    LinkRefused,
    NoServer,
    Phase,
    Reconnect,
    Sent,
    Stalled,
    StartAttempt,
    Tick,
    plan_recovery,
)

GENERATION = "0" * 32 + "-v1"


def new_state(log=None):
    return GenerationState(log or AttemptLog(GENERATION, "v1"), ProgressMonitor(0.0))


def begun(address="a"):
    state = new_state()
    plan_recovery(state, Begin(), 0.0)
    plan_recovery(state, Sent(address), 0.0)
    return state


class RecoveryPlanTest(unittest.TestCase):
    def end_after(self, *events):
        state = begun()
        for event in events:
            plan_recovery(state, event, 1.0)
        (end,) = plan_recovery(state, NoServer(), 1.0)
        self.assertIsInstance(end, FailStream)
        return end.error.run_state

    def test_truthful_run_state(self):
        """Guards against `not_run` for a request that an engine may have started."""
        refused = AttemptEnded(1, "refused", started=False)
        failed = AttemptEnded(1, "backend_failed", started=True)
        self.assertEqual(RunState.NOT_RUN, self.end_after(refused))
        self.assertEqual(RunState.UNKNOWN, self.end_after(failed))
        self.assertEqual(RunState.UNKNOWN, self.end_after(Stalled()))
        again = AttemptEnded(2, "refused", started=False)
        self.assertEqual(RunState.UNKNOWN, self.end_after(failed, Sent("b"), again))
        twice = self.end_after(refused, Sent("b"), again)
        self.assertEqual(RunState.NOT_RUN, twice)

    def test_request_that_no_engine_takes_ends_at_once(self):
        """Guards against an invalid request that is tried on every engine."""
        state = begun()
        ended = AttemptEnded(
            1, "invalid", started=False, message="seed is not a number"
        )
        (end,) = plan_recovery(state, ended, 1.0)
        self.assertEqual((400, "invalid_request"), (end.error.status, end.error.code))
        self.assertEqual(RunState.NOT_RUN, end.error.run_state)
        self.assertIsNone(end.error.retry_after_s)
        self.assertIn("seed is not a number", end.error.message)

    def test_running_answer_survives_an_engine_that_refuses_it(self):
        """Guards against one faulty engine that ends an answer others can complete."""
        state = begun()
        state.attempt_log.accept(TokenChunk(GENERATION, 1, 0, (5,), ("a",)))
        ended = AttemptEnded(1, "invalid", started=False)
        (action,) = plan_recovery(state, ended, 1.0)
        self.assertIsInstance(action, StartAttempt)

    def test_stall_cancels_and_avoids_the_server(self):
        """Guards against a stalled engine that is selected again at once."""
        state = begun()
        cancel, start = plan_recovery(state, Stalled(), 5.0)
        self.assertEqual(CancelAttempt("a", 1), cancel)
        self.assertEqual(StartAttempt(2, frozenset({"a"})), start)

    def test_silent_link_attaches_then_gives_up(self):
        """Guards against a wait for an agent that does not answer an attach."""
        state = begun()
        self.assertEqual(
            [AttachStream("a", 2, 0)], plan_recovery(state, LinkLost(), 5.0)
        )
        plan_recovery(state, Sent("a", link_is_new=True), 5.0)
        soon = 5.0 + ATTACH_TIMEOUT_S
        self.assertEqual([], plan_recovery(state, Tick(), soon))
        (start,) = plan_recovery(state, Tick(), soon + 0.01)
        self.assertEqual(StartAttempt(3, frozenset({"a"})), start)

    def test_stream_waits_for_a_silent_agent_and_attaches_once_it_is_heard(self):
        """Guards against a stream that ends, or uses up its attempts, while its agent
        is silent and no engine is better."""
        state = begun()
        plan_recovery(state, LinkLost(), 5.0)
        plan_recovery(state, Sent("a", link_is_new=True), 5.0)
        for second in range(6, 30):
            self.assertEqual([], plan_recovery(state, AgentSilent(), float(second)))
            self.assertEqual([], plan_recovery(state, Tick(), second + 0.5))
        fruitless = state.fruitless_attempts
        self.assertEqual(
            [AttachStream("a", 3, 0)], plan_recovery(state, Answered(), 30.0)
        )
        plan_recovery(state, Sent("a"), 30.0)
        self.assertIs(Phase.RUNNING, state.phase)
        self.assertEqual(fruitless, state.fruitless_attempts)

    def test_refused_connection_ends_the_wait_for_a_silent_agent(self):
        """Guards against a stream that waits for an agent that has ended."""
        state = begun()
        plan_recovery(state, LinkLost(), 5.0)
        plan_recovery(state, Sent("a", link_is_new=True), 5.0)
        plan_recovery(state, AgentSilent(), 6.0)
        (start,) = plan_recovery(state, LinkRefused(), 7.0)
        self.assertEqual(StartAttempt(3, frozenset({"a"})), start)

    def test_end_of_an_old_attempt_is_ignored(self):
        """Guards against a late failure that restarts a healthy attempt."""
        state = begun()
        plan_recovery(state, LinkLost(), 1.0)
        self.assertEqual([], plan_recovery(state, AttemptEnded(1, "superseded"), 1.0))

    def test_reconnect_skips_attempts_of_the_former_entry(self):
        """Guards against a paused previous entry that supersedes the new one."""
        state = new_state(AttemptLog.from_position(GENERATION, "v1", 7))
        (attach,) = plan_recovery(state, Reconnect("a", 3), 0.0)
        self.assertEqual((0, "a"), (attach.from_position, attach.address))
        self.assertGreater(attach.attempt, 3 + MAX_FRUITLESS_ATTEMPTS)

    def test_fruitless_attempts_end(self):
        """Guards against a request that is retried without limit."""
        state = begun()
        for number in range(1, 20):
            event = AttemptEnded(state.attempt_log.attempt, "backend_failed")
            (action,) = plan_recovery(state, event, float(number))
            if isinstance(action, FailStream):
                break
            plan_recovery(state, Sent("a"), float(number))
        self.assertEqual("recovery_failed", action.error.code)
        self.assertEqual(MAX_FRUITLESS_ATTEMPTS, number)

    def test_progress_resets_the_fruitless_count(self):
        """Guards against a long answer that fails after many recovered failures."""
        state = begun()
        for number in range(20):
            chunk = TokenChunk(
                GENERATION, state.attempt_log.attempt, number, (1,), ("t",)
            )
            self.assertEqual(1, state.attempt_log.accept(chunk))
            event = AttemptEnded(state.attempt_log.attempt, "backend_failed")
            (action,) = plan_recovery(state, event, float(number))
            self.assertIsInstance(action, StartAttempt)
            plan_recovery(state, Sent("a"), float(number))


class ProgressTest(unittest.TestCase):
    def test_slow_engine_is_not_stalled(self):
        """Guards against the usual token gaps of a slow engine counted as a stall."""
        monitor = ProgressMonitor(0.0, has_first_token=True)
        slow = LinkProgress(0.0, token_gap_p99_s=0.2, slots=4)
        self.assertFalse(monitor.is_stalled(slow, 1.5))
        self.assertTrue(monitor.is_stalled(slow, 1.7))

    def test_queue_is_not_a_stall(self):
        """Guards against a restart of a request that waits for a slot."""
        monitor = ProgressMonitor(0.0)
        link = LinkProgress(0.0, progressed_at=59.5, running=4, queued=2, slots=4)
        self.assertFalse(monitor.is_stalled(link, 60.0))
        link.progressed_at = 50.0
        self.assertTrue(monitor.is_stalled(link, 60.0))

    def test_own_pause(self):
        """Guards against links that count as silent after a SIGSTOP of this process."""
        pause = ProcessPauseDetector(0.0)
        self.assertFalse(pause.tick(0.1))
        self.assertTrue(pause.tick(3.0))
        self.assertFalse(pause.tick(3.1))


if __name__ == "__main__":
    unittest.main()
