"""Tests of single transitions of the at-most-once protocol."""

import random
import unittest
from dataclasses import replace

from returns.result import Failure, Success

from monsoontack.core.errors import RequestError, RunState
from monsoontack.ledger.machine import SETTLE_TIMEOUT_S, step
from monsoontack.ledger.protocol import (
    Begin,
    CallState,
    CreateRecord,
    Dispatch,
    DispatchDone,
    Phase,
    ReadDone,
    ReadRecord,
    Respond,
    Tick,
    UpdateRecord,
    WriteDone,
)
from monsoontack.ledger.records import (
    CallRecord,
    DispatchResult,
    RecordState,
    ServiceAnswer,
    ServiceCall,
)
from monsoontack.store.api import (
    MAX_VALUE_BYTES,
    Ambiguous,
    Conflict,
    NotFound,
    StoredObject,
    Unavailable,
)

UNIX = 1_000_000.0
CALL = ServiceCall("a", "s", "POST", "/p", (), b"body", False, "k", 10.0)
AMBIGUOUS = Failure(Ambiguous("x", "lost"))
DOWN = Failure(Unavailable("x", "outage"))
ABSENT = Failure(NotFound("x"))
ANSWER = ServiceAnswer(200, (), b"ok")
RAN = DispatchResult(RunState.RUN, ANSWER)


def stored(state, writer="other", version=3, age_s=0.0, call=CALL, answer=None):
    base = CallState.from_call(call, writer)
    base = replace(base, unix_offset_s=UNIX - age_s)
    return StoredObject("x", base.make_record(state, answer).encode(), version)


def conflict(record):
    return WriteDone(Failure(Conflict("x", record)))


class MachineTest(unittest.TestCase):
    def setUp(self):
        self.state = CallState.from_call(CALL, "me")
        self.rng = random.Random(1)

    def feed(self, *events, now=0.0):
        """Feed events; return the actions of the last one."""
        for event in events:
            self.state, actions = step(self.state, event, now, self.rng)
        return actions

    def claim(self):
        self.feed(Begin(UNIX))
        return WriteDone(Success(stored(RecordState.CLAIMED, "me", 5)))

    def refusal(self, actions):
        self.assertIsInstance(actions[0], Respond)
        self.assertIsInstance(actions[0].answer, RequestError)
        return actions[0].answer

    def test_claim_dispatch_outcome(self):
        """Guards against a dispatch before the claim or without its fence."""
        self.assertIsInstance(self.feed(Begin(UNIX))[0], CreateRecord)
        created = WriteDone(Success(stored(RecordState.CLAIMED, "me", 5)))
        self.assertEqual([Dispatch(5, UNIX + 5.0)], self.feed(created, now=0.1))
        respond, update = self.feed(DispatchDone(RAN))
        self.assertEqual(Respond(ANSWER), respond)
        self.assertEqual(5, update.version)
        self.assertEqual(RecordState.DONE, CallRecord.decode(update.value).state)
        self.feed(WriteDone(Success(stored(RecordState.DONE, "me", 6))))
        self.assertIs(Phase.ENDED, self.state.phase)

    def test_ambiguous_claim_is_read_back(self):
        """Guards against a refusal or a second claim after a lost store answer."""
        self.feed(Begin(UNIX))
        self.assertEqual([ReadRecord()], self.feed(WriteDone(AMBIGUOUS)))
        own = ReadDone(Success(stored(RecordState.CLAIMED, "me", 9)))
        self.assertEqual([Dispatch(9, UNIX + 5.0)], self.feed(own))

    def test_delayed_create(self):
        """Guards against a second claim with another token."""
        (first,) = self.feed(Begin(UNIX))
        (second,) = self.feed(WriteDone(AMBIGUOUS), ReadDone(ABSENT))
        self.assertEqual(first, second)
        own = conflict(stored(RecordState.CLAIMED, "me", 4))
        self.assertEqual([Dispatch(4, UNIX + 5.0)], self.feed(own))

    def test_abandoned_claim_is_never_dispatched(self):
        """Guards against a dispatch after the caller has received not_run."""
        actions = self.feed(Begin(UNIX), WriteDone(AMBIGUOUS), ReadDone(DOWN))
        self.assertEqual(RunState.NOT_RUN, self.refusal(actions).run_state)
        self.assertEqual([ReadRecord()], actions[1:])
        self.assertEqual([], self.feed(ReadDone(DOWN)))
        self.assertGreater(self.state.retry_at, 0.0)
        self.assertEqual([ReadRecord()], self.feed(Tick()))
        own = ReadDone(Success(stored(RecordState.CLAIMED, "me", 4)))
        (update,) = self.feed(own)
        self.assertEqual(RecordState.NOT_RUN, CallRecord.decode(update.value).state)

    def test_abandoned_claim_blocks_a_delayed_create(self):
        """Guards against a claim that takes effect after it was abandoned."""
        self.feed(Begin(UNIX), WriteDone(AMBIGUOUS), ReadDone(DOWN))
        (create,) = self.feed(ReadDone(ABSENT))
        self.assertEqual(RecordState.NOT_RUN, CallRecord.decode(create.value).state)

    def test_refused_write_has_no_record_to_settle(self):
        """Guards against store calls for claims that are known to have no effect."""
        actions = self.feed(Begin(UNIX), WriteDone(DOWN))
        self.assertEqual("store_unavailable", self.refusal(actions).code)
        self.assertIs(Phase.ENDED, self.state.phase)

    def test_window_passed_before_dispatch(self):
        """Guards against a paused dispatcher that dispatches when it resumes."""
        claimed = self.claim()
        actions = self.feed(claimed, now=5.1)
        refusal = self.refusal(actions)
        self.assertEqual("dispatch_window_passed", refusal.code)
        self.assertEqual(RunState.NOT_RUN, refusal.run_state)
        seen = ReadDone(Success(stored(RecordState.UNKNOWN, "me", 6)))
        (update,) = self.feed(seen, now=5.2)
        self.assertEqual(6, update.version)
        self.assertEqual(RecordState.NOT_RUN, CallRecord.decode(update.value).state)

    def test_claims_are_bounded(self):
        """Guards against a claim that is retried without limit."""
        actions = self.feed(Begin(UNIX))
        for _ in range(3):
            actions = self.feed(WriteDone(AMBIGUOUS), ReadDone(ABSENT))
            self.assertIsInstance(actions[0], CreateRecord)
        actions = self.feed(WriteDone(AMBIGUOUS), ReadDone(ABSENT))
        self.assertEqual("claim_not_confirmed", self.refusal(actions).code)

    def test_records_of_other_writers(self):
        """Guards against dispatch for, or misinterpretation of, another's record."""
        done = stored(RecordState.DONE, answer=ANSWER)
        cases = [
            (stored(RecordState.CLAIMED), "call_in_progress", RunState.UNKNOWN),
            (stored(RecordState.UNKNOWN), "outcome_unknown", RunState.UNKNOWN),
            (StoredObject("x", b"{}", 3), "malformed_record", RunState.UNKNOWN),
        ]
        for body in (done, stored(RecordState.NOT_RUN), stored(RecordState.CLAIMED)):
            record = replace(CallRecord.decode(body.value), digest="another")
            other = replace(body, value=record.encode())
            cases.append((other, "key_reused", RunState.NOT_RUN))
        for record, code, run_state in cases:
            with self.subTest(code=code):
                self.setUp()
                refusal = self.refusal(self.feed(Begin(UNIX), conflict(record)))
                self.assertEqual((code, run_state), (refusal.code, refusal.run_state))
                self.assertIs(Phase.ENDED, self.state.phase)
        self.setUp()
        actions = self.feed(Begin(UNIX), conflict(done))
        self.assertEqual([Respond(ANSWER, replayed=True)], actions)

    def test_overdue_claim_becomes_unknown(self):
        """Guards against a key that stays in progress after its entry has died."""
        overdue = stored(RecordState.CLAIMED, age_s=18.5)
        (update,) = self.feed(Begin(UNIX), conflict(overdue))
        self.assertEqual(RecordState.UNKNOWN, CallRecord.decode(update.value).state)
        self.assertEqual(3, update.version)
        refusal = self.refusal(self.feed(WriteDone(AMBIGUOUS)))
        self.assertEqual("outcome_unknown", refusal.code)
        self.setUp()
        self.feed(Begin(UNIX), conflict(overdue))
        late = conflict(stored(RecordState.DONE, version=4, answer=ANSWER))
        self.assertEqual([Respond(ANSWER, replayed=True)], self.feed(late))

    def test_not_run_is_claimed_again(self):
        """Guards against a key that cannot be reused after a refusal."""
        (update,) = self.feed(Begin(UNIX), conflict(stored(RecordState.NOT_RUN)))
        self.assertIsInstance(update, UpdateRecord)
        self.assertEqual("me", CallRecord.decode(update.value).writer)
        won = WriteDone(Success(stored(RecordState.CLAIMED, "me", 8)))
        self.assertEqual([Dispatch(8, UNIX + 5.0)], self.feed(won))

    def test_lost_reclaim_is_withdrawn(self):
        """Guards against a delayed re-claim that takes effect after a refusal."""
        self.feed(Begin(UNIX), conflict(stored(RecordState.NOT_RUN)))
        self.feed(WriteDone(AMBIGUOUS), ReadDone(DOWN))
        same = ReadDone(Success(stored(RecordState.NOT_RUN)))
        (update,) = self.feed(same)
        self.assertEqual(3, update.version)
        self.assertEqual("me", CallRecord.decode(update.value).writer)

    def test_lost_dispatch_answer_is_unknown(self):
        """Guards against a lost answer that is reported as a call that did not run."""
        lost = DispatchDone(DispatchResult(RunState.UNKNOWN, None, "link_lost"))
        actions = self.feed(self.claim(), lost)
        self.assertEqual(RunState.UNKNOWN, self.refusal(actions).run_state)
        self.assertIsNone(self.refusal(actions).retry_after_s)
        self.assertEqual(RecordState.UNKNOWN, CallRecord.decode(actions[1].value).state)

    def test_outcome_is_written_until_it_stands(self):
        """Guards against an outcome that an outage or a lost store answer drops."""
        self.feed(self.claim(), DispatchDone(RAN))
        self.feed(WriteDone(DOWN), Tick())
        own = ReadDone(Success(stored(RecordState.UNKNOWN, "me", 7)))
        (update,) = self.feed(own)
        self.assertEqual(7, update.version)
        self.assertEqual([ReadRecord()], self.feed(WriteDone(AMBIGUOUS)))
        done = ReadDone(Success(stored(RecordState.DONE, "me", 8, answer=ANSWER)))
        self.feed(done)
        self.assertIs(Phase.ENDED, self.state.phase)

    def test_settling_ends(self):
        """Guards against tasks that try to settle a record without limit."""
        self.feed(self.claim(), DispatchDone(RAN))
        self.feed(WriteDone(DOWN), now=SETTLE_TIMEOUT_S + 1.0)
        self.assertIs(Phase.ENDED, self.state.phase)

    def test_large_answer_is_recorded_without_its_body(self):
        """Guards against a record too large for the store and a wrong replay."""
        large = ServiceAnswer(200, (), b"x" * MAX_VALUE_BYTES)
        result = DispatchResult(RunState.RUN, large)
        respond, update = self.feed(self.claim(), DispatchDone(result))
        self.assertEqual(large, respond.answer)
        self.assertLess(len(update.value), MAX_VALUE_BYTES)
        self.setUp()
        found = StoredObject("x", update.value.replace(b'"me"', b'"other"'), 6)
        refusal = self.refusal(self.feed(Begin(UNIX), conflict(found)))
        self.assertEqual("answer_not_recorded", refusal.code)
        self.assertEqual(RunState.RUN, refusal.run_state)


if __name__ == "__main__":
    unittest.main()
