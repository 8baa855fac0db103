"""Tests of the messages in which entries exchange limits and permits."""

import asyncio
import json
import random
import unittest
from dataclasses import replace

from monsoontack.admission.crashguard import CrashGuard
from monsoontack.admission.crashrecords import (
    MAX_REQUESTS_PER_CRASH,
    CrashNews,
)
from monsoontack.admission.limitgate import LimitGate
from monsoontack.admission.permits import PERMIT_LIFETIME_S, PermitGrant, PermitReport
from monsoontack.admission.requestcontent import RequestContent
from monsoontack.admission.statedlimits import LimitRecord
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.entrycodec import (
    MAX_REQUESTS_IN_CRASH_ROW,
    EntryMessage,
    decode_message,
    encode_message,
)
from monsoontack.gateway.entryexchange import EntryExchange
from monsoontack.gateway.peers import PeerEntry, PeerResponse
from monsoontack.gateway.records import RawRequest

MESSAGE = EntryMessage(
    name="entry-1",
    boot="b1",
    number=3,
    since=1,
    limits={"s": LimitRecord(2, 2.8), "t": LimitRecord(5, None)},
    seen_boot="b2",
    seen_number=7,
    crashes=CrashNews(
        {"e": (1.5, (RequestContent("shop", ("a", "b")), RequestContent("", ("c",))))},
        {"a": (0.25, None), "b": (None, 3.0)},
    ),
    leaving={"e": 1_700_000_000_000, "f": 0},
    report=PermitReport("entry-1", True, 4, {"s": 1.5}),
    grant=PermitGrant({"s": (1.25, 0.5)}, {"s": 2.0}),
)


def changed(**fields):
    """Return the document of the message with other values."""
    return json.dumps(json.loads(encode_message(MESSAGE)) | fields).encode()


class CodecTest(unittest.TestCase):
    def test_message_survives_encoding(self):
        """Guards against news, reports or grants that get lost on the way."""
        self.assertEqual(MESSAGE, decode_message(encode_message(MESSAGE)))

    def test_many_requests_of_a_crash_survive_encoding(self):
        """Guards against requests in flight that are lost on the way, and against
        messages that entries of former versions refuse as a whole."""
        requests = tuple(
            RequestContent.from_ids("shop", (), str(number))
            for number in range(MAX_REQUESTS_PER_CRASH)
        )
        message = replace(MESSAGE, crashes=CrashNews({"e": (1.5, requests)}, {}))
        document = json.loads(encode_message(message))
        self.assertEqual(MAX_REQUESTS_IN_CRASH_ROW, len(document["crashes"]["e"][1]))
        self.assertEqual(message, decode_message(encode_message(message)))
        document["more"]["e"].append(["shop", ["one too many"]])
        with self.assertRaises(ValueError):
            decode_message(json.dumps(document).encode())

    def test_permits_do_not_live_longer_by_rounding(self):
        """Guards against permits that outlive those their grantor counts."""
        grant = PermitGrant({"s": (1.2399999,)}, {})
        message = EntryMessage("e", "b", 0, 0, {}, "", 0, grant=grant)
        found = decode_message(encode_message(message)).grant.lifetimes["s"]
        self.assertEqual((1.239,), found)

    def test_malformed_messages_are_refused(self):
        """Guards against a faulty entry that ends the process or breaks the limits."""
        bodies = (
            b"",
            b"[]",
            b"\xff",
            b"[" * 100_000,
            changed(name=3),
            changed(number=-1),
            changed(number=True),
            changed(news=[]),
            changed(leaving=[1]),
            changed(leaving={"s": -1}),
            changed(leaving={"s": 1.5}),
            changed(leaving={"s": True}),
            changed(leaving={"s": 10**30}),
            changed(news={"s": [1, -2.8]}),
            changed(news={"s": [1, float("nan")]}),
            changed(news={"s": [1, 1e300]}),
            changed(news={"s": [10**30, 2.8]}),
            changed(news={str(n): [1, 2.8] for n in range(5000)}),
            changed(crashes=[]),
            changed(crashes={"s": [-1.0, []]}),
            changed(crashes={"s": [1.0, [["shop", "deadly"]]]}),
            changed(crashes={"s": [1.0, [["shop", [7]]]]}),
            changed(crashes={"s": [1.0, [["shop", ["p"] * 1000]]]}),
            changed(crashes={"s": [1.0, [["shop", ["p"]]] * 1000]}),
            changed(crashes={str(n): [1.0, []] for n in range(5000)}),
            changed(parts={"p": [1.0]}),
            changed(parts={"p": [float("nan"), None]}),
            changed(report=[True, 10**9, {}]),
            changed(report=[True, 1, {"s": float("inf")}]),
            changed(grant=[{"s": [PERMIT_LIFETIME_S + 1]}, {}]),
            changed(grant=[{"s": [0.1] * 200_000}, {}]),
            changed(seen=None),
        )
        for body in bodies:
            with self.subTest(body[:60]), self.assertRaises(ValueError):
                decode_message(body)


class Answer:
    def send(self, status, headers, body=b""):
        self.status, self.body = status, body


class EntryExchangeTest(unittest.TestCase):
    """One entry whose neighbours are scripted."""

    def run_entry(self, scenario, call):
        async def run():
            gate = LimitGate.for_entry("entry-1", random.Random(1))
            exchange = EntryExchange(
                "entry-1",
                "north",
                gate,
                CrashGuard("entry-1"),
                call,
                random.Random(1),
            )
            names = [f"entry-{number}" for number in range(5)]
            peers = {name: PeerEntry(name, "north", name) for name in names}
            exchange.set_peers(peers)
            runner = asyncio.ensure_future(exchange.run())
            await scenario(exchange)
            runner.cancel()

        run_in_virtual_time(run())

    def test_malformed_message_is_answered_with_400(self):
        """Guards against a message that ends the handler without an answer."""

        async def scenario(exchange):
            answer = Answer()
            raw = RawRequest(b"POST", b"/limits", (), b"{}", True, 0.0)
            await exchange.handle(raw, answer)
            self.assertEqual(400, answer.status)

        async def call(peer, body):
            return None

        self.run_entry(scenario, call)

    def test_neighbours_without_answers_are_asked_rarely(self):
        """Guards against messages without a pause to entries that are down."""
        calls = []

        async def call(peer, body):
            calls.append(peer)
            return PeerResponse(200, b"no message") if len(calls) % 2 else None

        async def scenario(exchange):
            exchange.gate.limits.observe("s", "2.8", 0.0, 0.0)
            await asyncio.sleep(20.0)
            self.assertLess(len(calls), 4 * 20)
            self.assertFalse(exchange.gate.permits.is_attached(20.0))

        self.run_entry(scenario, call)

    def test_leaving_servers_are_passed_on_once(self):
        """Guards against servers that stay in use at entries without an answer of them,
        and against news that never end."""
        bodies = []

        async def call(peer, body):
            bodies.append(decode_message(body))
            return None

        async def scenario(exchange):
            left = []
            exchange.leaving.on_left = lambda *found: left.append(found)
            for _ in range(2):
                message = EntryMessage("entry-3", "b9", 1, 0, {}, "", 0)
                body = encode_message(replace(message, leaving={"s": 7}))
                raw = RawRequest(b"POST", b"/limits", (), body, True, 0.0)
                await exchange.handle(raw, Answer())
            await asyncio.sleep(0.5)
            self.assertEqual([("s", 7, "entry")], left)
            self.assertEqual(1, exchange.changes.count)

        self.run_entry(scenario, call)
        self.assertIn({"s": 7}, [dict(message.leaving) for message in bodies])

    def test_message_of_an_unlisted_entry_is_answered(self):
        """Guards against a new entry that gets no limits until it is listed."""

        async def scenario(exchange):
            exchange.gate.limits.observe("s", "2.8", 0.0, 0.0)
            answer = Answer()
            message = EntryMessage("entry-new", "b9", 0, 0, {}, "", 0)
            raw = RawRequest(
                b"POST", b"/limits", (), encode_message(message), True, 0.0
            )
            await exchange.handle(raw, answer)
            found = decode_message(answer.body)
            self.assertEqual({"s": LimitRecord(1, 2.8)}, found.limits)

        async def call(peer, body):
            return None

        self.run_entry(scenario, call)


if __name__ == "__main__":
    unittest.main()
