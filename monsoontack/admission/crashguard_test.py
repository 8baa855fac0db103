"""Tests of the decision which prompt parts are blocked; times are given."""

import random
import unittest

from monsoontack.admission.crashblame import (
    BLOCK_S,
    MAX_BLOCK_S,
    MIN_CRASHES,
    MIN_CRASHES_AMONG_OTHERS,
    REQUEST_BLOCK_S,
)
from monsoontack.admission.crashguard import (
    MAX_BROKEN_OFF,
    MAX_BROKEN_OFF_AGAIN,
    MAX_SOUND_PARTS,
    MAX_SOUND_REQUESTS,
    TRIAL_S,
    TURN_S,
    CrashGuard,
)
from monsoontack.admission.crashrecords import (
    MAX_CRASHES,
    MAX_REQUESTS,
    MAX_REQUESTS_PER_CRASH,
)
from monsoontack.admission.requestcontent import MAX_PARTS, RequestContent
from monsoontack.core.changes import ChangeCounter

SHARED = "instructions"
DEADLY = RequestContent("shop", (SHARED, "deadly"))
SOUND = RequestContent("shop", (SHARED, "subject"))
OTHER_ACCOUNT = RequestContent("depot", (SHARED, "deadly"))
CALL = RequestContent.from_ids("shop", (), "call")
POLL = RequestContent.from_ids("shop", (), "poll")
NAMES = ("entry-1", "entry-2", "entry-3")


def make_guard(name="entry-1"):
    guard = CrashGuard(name)
    guard.entries = lambda: NAMES
    return guard


def crash(guard, prompts, at, count=MIN_CRASHES, gap_s=1.0):
    """Let engines crash on the prompts one after the other; return the last time."""
    for number in range(count):
        guard.note_crash(f"engine-{at}-{number}", prompts, at + gap_s * number)
    return at + gap_s * (count - 1)


def exchange(guards, now):
    """Pass all records between all guards until nothing is new."""
    changed = True
    while changed:
        changed = False
        for sender in guards:
            news = sender.records.news_since(0, now)
            for receiver in guards:
                changed |= receiver.merge(news, now)


class BlameTest(unittest.TestCase):
    def test_part_in_each_crash_is_blocked_and_what_it_shares_is_not(self):
        """Guards against a shared part or an account that is blamed with a part."""
        guard = make_guard()
        for number in range(MIN_CRASHES):
            beside = RequestContent("shop", (SHARED, f"subject-{number}"))
            guard.note_crash(f"engine-{number}", [DEADLY, beside], 10.0 + number)
        self.assertEqual({"deadly"}, set(guard.blamed))
        self.assertFalse(guard.is_blocked(SOUND))

    def test_blame_moves_when_a_further_crash_tells_two_parts_apart(self):
        """Guards against a part that stays blamed since it ran beside at first."""
        guard = make_guard()
        crash(guard, [DEADLY, SOUND], 10.0)
        crash(guard, [DEADLY], 20.0, count=1)
        self.assertEqual({"deadly"}, set(guard.blamed))

    def test_crashes_seen_by_several_entries_add_up(self):
        """Guards against entries of which none sees enough crashes alone."""
        guards = [make_guard(name) for name in NAMES]
        for number, guard in enumerate(guards):
            crash(guard, [DEADLY], 10.0 + number, count=1)
            self.assertFalse(guard.is_blocked(DEADLY))
        exchange(guards, 13.0)
        self.assertTrue(all(guard.is_blocked(DEADLY) for guard in guards))

    def test_one_crash_seen_by_several_entries_counts_once(self):
        """Guards against a single crash that blames what ran at the engine."""
        guards = [make_guard(name) for name in NAMES]
        for guard in guards:
            guard.note_crash("engine-1", [DEADLY], 10.0)
        exchange(guards, 11.0)
        self.assertFalse(any(guard.blamed for guard in guards))

    def test_part_on_which_an_engine_goes_on_answering_is_cleared(self):
        """Guards against blame for a hot part that ran at each crash."""
        guard = make_guard()
        hot = RequestContent("shop", ("hot",))
        for number in range(10):
            at = 10.0 + number
            guard.note_crash(f"engine-{number}", [hot], at)
            guard.note_sound(hot, at + 0.1)
        self.assertFalse(guard.is_blocked(hot))

    def test_sound_answer_at_another_entry_clears_a_part(self):
        """Guards against an entry that refuses what others know to be sound."""
        first, second = make_guard("entry-1"), make_guard("entry-2")
        crash(first, [SOUND], 10.0)
        self.assertTrue(first.is_blocked(SOUND))
        second.note_sound(SOUND, 12.5)
        exchange([first, second], 13.0)
        self.assertFalse(first.is_blocked(SOUND) or second.is_blocked(SOUND))

    def test_engines_lost_at_the_same_moment_blame_nothing(self):
        """Guards against blame for what ran when a kill took many engines."""
        guard = make_guard()
        crash(guard, [SOUND], 10.0, count=20, gap_s=0.01)
        self.assertEqual({}, guard.blamed)

    def test_waves_of_kills_do_not_blame_a_part_that_was_at_some(self):
        """Guards against blame for a rare part that kills happened to take thrice."""
        guard = make_guard()
        for wave in range(4):
            for number in range(5):
                prompt = RequestContent("shop", (f"part-{wave}-{number}",))
                prompts = [SOUND] if number == 0 else [prompt]
                at = 10.0 + 2.0 * wave + 0.01 * number
                guard.note_crash(f"engine-{wave}-{number}", prompts, at)
        self.assertEqual({}, guard.blamed)

    def test_deadly_part_is_found_among_kills(self):
        """Guards against a deadly part that kills of other engines hide."""
        guard = make_guard()
        for number in range(30):
            prompt = RequestContent("shop", (f"part-{number}",))
            guard.note_crash(f"killed-{number}", [prompt], 10.0 + 0.1 * number)
        crash(guard, [DEADLY], 10.0, count=MIN_CRASHES_AMONG_OTHERS)
        self.assertEqual({"deadly"}, set(guard.blamed))

    def test_part_that_was_sound_before_can_become_deadly(self):
        """Guards against a part that stays trusted since it was answered once."""
        guard = make_guard()
        guard.note_sound(DEADLY, 1.0)
        crash(guard, [DEADLY], 10.0)
        self.assertTrue(guard.is_blocked(DEADLY))

    def test_several_deadly_parts_are_found_at_once(self):
        """Guards against a deadly part that hides behind another one."""
        guard = make_guard()
        second = RequestContent("shop", (SHARED, "deadly-2"))
        for number in range(MIN_CRASHES):
            guard.note_crash(f"first-{number}", [DEADLY, SOUND], 10.0 + number)
            guard.note_crash(f"second-{number}", [second, SOUND], 10.5 + number)
        guard.note_sound(SOUND, 13.0)
        self.assertEqual({"deadly", "deadly-2"}, set(guard.blamed))

    def test_first_part_of_several_deadly_prompts_is_not_blamed(self):
        """Guards against a shared first part that adds up the crashes of two parts."""
        guard = make_guard()
        for number in range(MIN_CRASHES):
            for part in ("deadly-1", "deadly-2"):
                prompt = RequestContent("shop", (SHARED, part))
                at = 10.0 + number + (0.5 if part == "deadly-2" else 0.0)
                guard.note_crash(f"{part}-{number}", [prompt], at)
        self.assertEqual({"deadly-1", "deadly-2"}, set(guard.blamed))

    def test_shared_part_waits_for_the_verdict_on_the_part_after_it(self):
        """Guards against a first part blamed since the later one has fewer crashes."""
        guard = make_guard()
        second = RequestContent("shop", (SHARED, "deadly-2"))
        crash(guard, [DEADLY], 10.0)
        crash(guard, [second], 20.0, count=MIN_CRASHES - 1)
        self.assertEqual({"deadly"}, set(guard.blamed))

    def test_part_stays_blamed_when_another_one_explains_some_crashes(self):
        """Guards against a block that ends since two deadly parts met at an engine."""
        guard = make_guard()
        second = RequestContent("depot", ("other", "deadly-2"))
        crash(guard, [DEADLY], 10.0, count=MIN_CRASHES - 1)
        guard.note_crash("engine-both", [DEADLY, second], 12.5)
        crash(guard, [second], 13.0, count=MIN_CRASHES + 1)
        self.assertEqual({"deadly", "deadly-2"}, set(guard.blamed))

    def test_first_part_can_be_the_deadly_one(self):
        """Guards against a part that is never blamed since others follow it."""
        guard = make_guard()
        for number in range(MIN_CRASHES):
            prompt = RequestContent("shop", ("deadly", f"subject-{number}"))
            guard.note_crash(f"engine-{number}", [prompt], 10.0 + number)
        self.assertEqual({"deadly"}, set(guard.blamed))


class AccountTest(unittest.TestCase):
    def test_one_account_cannot_block_a_part_for_others(self):
        """Guards against a caller that blames the parts of another account."""
        guard = make_guard()
        crash(guard, [DEADLY], 10.0, count=20)
        self.assertTrue(guard.is_blocked(DEADLY))
        self.assertFalse(guard.is_blocked(OTHER_ACCOUNT))
        self.assertTrue(guard.take_trial(OTHER_ACCOUNT, 30.0))
        guard.note_sound(OTHER_ACCOUNT, 31.0)
        self.assertIsNone(guard.refusal(OTHER_ACCOUNT, 32.0))

    def test_other_accounts_try_a_blamed_part_one_at_a_time(self):
        """Guards against a crash for each account, and for each of its requests."""
        guards = [make_guard(name) for name in NAMES]
        crash(guards[0], [DEADLY], 10.0)
        exchange(guards, 12.0)
        self.assertTrue(guards[2].take_trial(OTHER_ACCOUNT, 20.0))
        exchange(guards, 20.1)
        for guard in guards:
            self.assertFalse(guard.take_trial(OTHER_ACCOUNT, 20.2))
            self.assertLess(guard.refusal(OTHER_ACCOUNT, 20.2).retry_after_s, 5.0)
        self.assertFalse(guards[2].may_repeat(OTHER_ACCOUNT, 1))

    def test_presence_at_the_crashes_of_another_account_is_no_evidence(self):
        """Guards against an account blamed since its request ran beside."""
        guard = make_guard()
        crash(guard, [DEADLY], 10.0)
        guard.note_crash("engine-both", [DEADLY, OTHER_ACCOUNT], 20.0)
        self.assertFalse(guard.is_blocked(OTHER_ACCOUNT))

    def test_crashes_of_two_accounts_block_a_part_for_all(self):
        """Guards against one crash for each of many accounts."""
        guard = make_guard()
        crash(guard, [DEADLY], 10.0)
        crash(guard, [OTHER_ACCOUNT], 20.0, count=1)
        self.assertTrue(guard.is_blocked(RequestContent("third", ("deadly",))))


class RequestTest(unittest.TestCase):
    """Requests without any prompt, of which the whole recurs."""

    def test_request_in_each_crash_is_blocked_and_those_beside_it_are_not(self):
        """Guards against a call that crashes servers for ever, and against calls of the
        same account that are refused with it."""
        guard = make_guard()
        for number in range(MIN_CRASHES):
            beside = RequestContent.from_ids("shop", (), f"beside-{number}")
            guard.note_crash(f"server-{number}", [beside, CALL], 10.0 + 10.0 * number)
        self.assertEqual(set(CALL.parts), set(guard.blamed))
        error = guard.refusal(CALL, 31.0)
        self.assertEqual((503, "request_blocked"), (error.status, error.code))
        self.assertEqual("not_run", str(error.run_state))
        self.assertAlmostEqual(REQUEST_BLOCK_S - 1.0, error.retry_after_s)

    def test_all_servers_lost_within_a_second_blame_no_request(self):
        """Guards against blame for a call that was repeated while all servers fell."""
        guard = make_guard()
        crash(guard, [CALL], 10.0, count=5, gap_s=0.2)
        self.assertEqual({}, guard.blamed)

    def test_request_that_takes_all_servers_at_once_is_blamed_when_it_returns(self):
        """Guards against a call whose crashes count as one event each time it comes."""
        guard = make_guard()
        crash(guard, [CALL], 10.0, gap_s=0.05)
        crash(guard, [CALL], 15.0, count=1)
        self.assertTrue(guard.is_blocked(CALL))

    def test_request_answered_between_the_crashes_is_not_blamed(self):
        """Guards against blame for a poll that was in flight at each kill."""
        guards = [make_guard(name) for name in NAMES]
        for number in range(6):
            at = 10.0 + 3.0 * number
            guards[number % 3].note_crash(f"server-{number}", [POLL], at)
            exchange(guards, at + 0.2)
            guards[(number + 1) % 3].note_sound(POLL, at + 1.0)
            exchange(guards, at + 1.2)
            self.assertFalse(any(guard.blamed for guard in guards))

    def test_error_of_a_server_clears_a_request_and_no_prompt_part(self):
        """Guards against blame for a call whose service answers with errors, and
        against an error that hides a deadly part."""
        guard = make_guard()
        crash(guard, [CALL], 10.0)
        self.assertTrue(guard.is_blocked(CALL))
        guard.note_survived(CALL, 15.0)
        self.assertFalse(guard.is_blocked(CALL))
        request = RequestContent.from_ids("shop", ("deadly", "own"), "request")
        crash(guard, [request], 20.0)
        self.assertEqual({request.request}, set(guard.blamed))
        guard.note_survived(request, 25.0)
        self.assertEqual({"deadly"}, set(guard.blamed))

    def test_two_requests_that_crash_servers_beside_each_other(self):
        """Guards against a second call that hides behind the first."""
        guard = make_guard()
        crash(guard, [CALL, POLL], 10.0)
        crash(guard, [CALL], 20.0, count=1)
        self.assertEqual(set(CALL.parts), set(guard.blamed))
        crash(guard, [POLL], 30.0, count=1)
        self.assertEqual({*CALL.parts, *POLL.parts}, set(guard.blamed))

    def test_request_is_found_among_kills(self):
        """Guards against a call that kills of other servers hide."""
        guard = make_guard()
        for number in range(30):
            guard.note_crash(f"killed-{number}", [], 10.0 + 0.2 * number)
        crash(guard, [CALL], 10.0, gap_s=0.05)
        self.assertFalse(guard.is_blocked(CALL))
        crash(guard, [CALL], 15.0, count=2, gap_s=0.05)
        self.assertTrue(guard.is_blocked(CALL))

    def test_long_call_that_waves_of_kills_break_off_is_not_blamed(self):
        """Guards against blame for a sound call that no server lived to answer."""
        guard = make_guard()
        for wave in range(4):
            for number in range(6):
                at = 10.0 + 2.0 * wave + 0.01 * number
                requests = [CALL] if number == 0 else []
                guard.note_crash(f"server-{wave}-{number}", requests, at)
        self.assertEqual({}, guard.blamed)

    def test_request_is_found_among_hundreds_in_flight(self):
        """Guards against a call that is left out of the records of a busy server."""
        guards = [make_guard(name) for name in NAMES]
        for number in range(MIN_CRASHES):
            at = 10.0 + 2.0 * number
            for guard in guards:
                calls = [
                    RequestContent.from_ids("shop", (), f"{guard.name}-{number}-{n}")
                    for n in range(MAX_REQUESTS_PER_CRASH // 4)
                ]
                found = [*calls, CALL] if guard is guards[number] else calls
                guard.note_crash(f"server-{number}", found, at)
            exchange(guards, at + 0.2)
        for guard in guards:
            self.assertTrue(guard.is_blocked(CALL))
            self.assertEqual(1, len(guard.blamed))

    def test_request_that_recurs_is_blamed_before_its_prompt(self):
        """Guards against prompt parts of others that one request takes with it."""
        guard = make_guard()
        request = RequestContent.from_ids("shop", (SHARED, "own"), "request")
        crash(guard, [request], 10.0)
        self.assertEqual({request.request}, set(guard.blamed))
        other = RequestContent.from_ids("shop", (SHARED, "other"), "other")
        self.assertFalse(guard.is_blocked(other))

    def test_deadly_part_is_found_under_requests_that_recur(self):
        """Guards against a deadly part that is never blamed since each request with it
        is blamed first."""
        guard = make_guard()
        for number in range(2):
            request = RequestContent.from_ids("shop", ("deadly", "own"), f"r-{number}")
            crash(guard, [request], 10.0 + 10.0 * number, count=MIN_CRASHES)
        self.assertIn("deadly", guard.blamed)

    def test_request_in_two_crashes_goes_to_one_server(self):
        """Guards against a call that ends two servers each time it comes."""
        guard = make_guard()
        self.assertTrue(guard.may_repeat(CALL, MAX_BROKEN_OFF_AGAIN, is_call=True))
        self.assertFalse(guard.may_repeat(CALL, MAX_BROKEN_OFF, is_call=True))
        crash(guard, [CALL], 10.0, count=2, gap_s=0.05)
        self.assertFalse(guard.may_repeat(CALL, MAX_BROKEN_OFF_AGAIN, is_call=True))
        guard.note_sound(CALL, 15.0)
        self.assertTrue(guard.may_repeat(CALL, MAX_BROKEN_OFF, is_call=True))


class TrialTest(unittest.TestCase):
    def setUp(self):
        self.guards = [make_guard(name) for name in NAMES]
        crash(self.guards[0], [DEADLY], 10.0)
        exchange(self.guards, 12.0)
        self.ends_at = 12.0 + BLOCK_S

    def trial_taker(self, now):
        takers = [guard for guard in self.guards if guard.take_trial(DEADLY, now)]
        self.assertLessEqual(len(takers), 1)
        return takers[0] if takers else None

    def test_refusal_says_when_to_come_back(self):
        """Guards against callers that are told to return while the part is blocked."""
        error = self.guards[0].refusal(DEADLY, 20.0)
        self.assertEqual((503, "not_run"), (error.status, str(error.run_state)))
        self.assertAlmostEqual(self.ends_at - 20.0, error.retry_after_s, places=1)

    def test_no_trial_before_the_block_ends(self):
        """Guards against a part that is tried while callers are refused."""
        self.assertIsNone(self.trial_taker(self.ends_at - 0.5))

    def test_one_entry_at_a_time_tries_the_part(self):
        """Guards against a trial at each entry, which ends as many engines."""
        self.assertIsNotNone(self.trial_taker(self.ends_at + 0.1))
        exchange(self.guards, self.ends_at + 0.5)
        after_all_turns = self.ends_at + len(NAMES) * TURN_S
        self.assertIsNone(self.trial_taker(after_all_turns))

    def test_failed_trial_doubles_the_block(self):
        """Guards against trials that go on ending engines at the same rate."""
        at, block_s = self.ends_at, BLOCK_S
        for number in range(6):
            self.assertIsNotNone(self.trial_taker(at + 0.1))
            self.guards[1].note_crash(f"trial-{number}", [DEADLY], at + 1.0)
            exchange(self.guards, at + 2.0)
            block_s = min(2 * block_s, MAX_BLOCK_S)
            at = at + 1.0 + block_s
            self.assertIsNone(self.trial_taker(at - 1.0))

    def test_good_trial_clears_the_part_everywhere(self):
        """Guards against a block that outlasts its cause."""
        taker = self.trial_taker(self.ends_at + 0.1)
        taker.note_sound(DEADLY, self.ends_at + 1.0)
        exchange(self.guards, self.ends_at + 2.0)
        self.assertFalse(any(guard.is_blocked(DEADLY) for guard in self.guards))

    def test_trial_without_an_outcome_is_taken_again(self):
        """Guards against a part that stays blocked since an entry was lost."""
        self.trial_taker(self.ends_at + 0.1)
        exchange(self.guards, self.ends_at + 0.5)
        later = self.ends_at + 0.1 + TRIAL_S + 0.1
        self.assertIsNotNone(self.trial_taker(later))

    def test_restarted_entry_knows_the_block_from_the_others(self):
        """Guards against an entry that forgets in a restart what is deadly."""
        restarted = make_guard("entry-1")
        exchange([restarted, self.guards[1]], 30.0)
        self.assertTrue(restarted.is_blocked(DEADLY))
        error = restarted.refusal(DEADLY, 30.0)
        self.assertAlmostEqual(self.ends_at - 30.0, error.retry_after_s, places=1)


class BoundsTest(unittest.TestCase):
    def test_unproven_prompt_ends_a_bounded_number_of_engines(self):
        """Guards against repeats of one request that end engine after engine."""
        guard = make_guard()
        self.assertTrue(guard.may_repeat(DEADLY, MAX_BROKEN_OFF - 1))
        self.assertFalse(guard.may_repeat(DEADLY, MAX_BROKEN_OFF))

    def test_prompt_of_proven_parts_is_repeated_as_usual(self):
        """Guards against sound requests that fail since two engines were lost."""
        guard = make_guard()
        guard.note_sound(SOUND, 1.0)
        self.assertTrue(guard.may_repeat(SOUND, MAX_BROKEN_OFF))

    def test_endless_new_parts_are_kept_within_bounds(self):
        """Guards against callers that fill an entry's memory with new parts."""
        guard = make_guard()
        for number in range(2 * MAX_CRASHES):
            prompt = RequestContent("shop", (f"part-{number}",))
            guard.note_crash(f"engine-{number}", [prompt], float(number))
        for number in range(2 * MAX_SOUND_PARTS):
            guard.note_sound(RequestContent("shop", (f"other-{number}",)), 1.0)
        records = guard.records
        self.assertLessEqual(len(records.crashes), MAX_CRASHES)
        self.assertLessEqual(len(records.crashes_by_part), MAX_CRASHES)
        self.assertLessEqual(len(records.change_numbers), 2 * MAX_CRASHES)
        self.assertEqual(MAX_SOUND_PARTS, len(guard.sound_at))

    def test_a_kill_of_many_engines_does_not_push_out_a_deadly_part(self):
        """Guards against a block that ends since many other engines were lost."""
        guard = make_guard()
        crash(guard, [DEADLY], 10.0)
        for number in range(2 * MAX_CRASHES):
            prompt = RequestContent("shop", (f"part-{number}",))
            guard.note_crash(f"killed-{number}", [prompt], 14.0 + number / 1000)
        self.assertTrue(guard.is_blocked(DEADLY))

    def test_requests_in_flight_at_many_crashes_are_kept_within_bounds(self):
        """Guards against busy servers whose crashes fill memory and messages."""
        guard = make_guard()
        for number in range(2 * MAX_REQUESTS // MAX_REQUESTS_PER_CRASH):
            calls = [
                RequestContent.from_ids("shop", (), f"call-{number}-{n}")
                for n in range(2 * MAX_REQUESTS_PER_CRASH)
            ]
            guard.note_crash(f"server-{number}", calls, 10.0 * number)
        for number in range(2 * MAX_SOUND_REQUESTS):
            guard.note_sound(RequestContent.from_ids("shop", (), f"{number}"), 1.0)
        records = guard.records
        counted = sum(len(crash.requests) for crash in records.crashes.values())
        self.assertEqual(records.request_count, counted)
        self.assertLessEqual(counted, MAX_REQUESTS)
        self.assertLessEqual(len(records.crashes_by_part), MAX_REQUESTS)
        self.assertEqual(MAX_SOUND_REQUESTS, len(guard.requests_sound_at))
        self.assertEqual({}, guard.sound_at)

    def test_parts_of_callers_cannot_name_a_request(self):
        """Guards against a caller that blocks the request of another one."""
        found = RequestContent.from_ids("shop", (CALL.request, "own"), "fingerprint")
        self.assertNotIn(CALL.request, found.parts)
        long = RequestContent.from_ids("shop", map(str, range(99)), "fingerprint")
        self.assertEqual(MAX_PARTS, len(long.parts))
        self.assertEqual("request:fingerprint", long.request)

    def test_old_records_are_forgotten(self):
        """Guards against records and blocks that stay for ever."""
        guard = make_guard()
        crash(guard, [DEADLY], 10.0)
        guard.forget_old(1e6)
        self.assertEqual(({}, {}), (guard.blamed, guard.records.crashes))
        self.assertEqual({}, guard.records.change_numbers)

    def test_long_ids_are_replaced_by_hashes(self):
        """Guards against ids of any length that fill memory and messages."""
        prompt = RequestContent.from_ids("shop", ("x" * 10_000, "y", "own"))
        self.assertLessEqual(max(map(len, prompt.parts)), 64)
        self.assertEqual(2, len(prompt.parts))


class MergeTest(unittest.TestCase):
    def test_entries_agree_whatever_order_news_arrive_in(self):
        """Guards against entries that refuse different parts for the same crashes."""
        rng = random.Random(28)
        for _ in range(50):
            guards = [make_guard(name) for name in NAMES]
            for guard in guards:
                guard.records.changes = ChangeCounter()
            prompts = [
                RequestContent(account, (SHARED, f"part-{number}"))
                for account in ("shop", "depot")
                for number in range(3)
            ]
            prompts += [CALL, POLL]
            for number in range(12):
                guard, prompt = rng.choice(guards), rng.choice(prompts)
                at = 10.0 + number
                guard.note_crash(f"engine-{rng.randrange(8)}", [prompt], at)
                if rng.random() < 0.2:
                    guard.note_sound(rng.choice(prompts), at)
                if rng.random() < 0.3:
                    exchange(rng.sample(guards, 2), at)
            exchange(guards, 30.0)
            found = [set(guard.blamed) for guard in guards]
            self.assertEqual([found[0]] * 3, found)


if __name__ == "__main__":
    unittest.main()
