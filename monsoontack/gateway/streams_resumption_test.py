"""Streams whose servers pause or fail while the others resume them rightly or wrongly.

Each example is one stream on a paused clock. Its first server pauses, or breaks off, at
any event or before the end of its answer; the other servers answer a resumption as the
example says. `judge_streams` plays many examples and counts what went wrong with them.
The environment variable `MUTATIONS` sets their number.
"""

import asyncio
import itertools
import os
import unittest
from collections import Counter
from dataclasses import dataclass, field, replace

from hypothesis import given, settings

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.streams_test import make_forwarder, stream_route
from standins.gatewayfakes import HOME, NEAR, make_job
from standins.mutations import DETERMINISTIC_SETTINGS
from standins.playedstreams import (
    COMMENT,
    PlayedStream,
    StreamServers,
    played_streams,
)

STREAMS = int(os.environ.get("MUTATIONS", 400))
SERVERS = ("s1", "s2", "s3", "s4")
# A stream may be at work at two servers for this long.
MAX_OVERLAP_S = 0.4
# Time after its deadline or its caller's disconnection in which a stream has to end.
END_SLACK_S = 0.5
MAX_FAILURES_SHOWN = 5
# Fields of the findings.
KINDS = ("wrong", "short", "unfinished", "lost_late", "late", "overlapping", "open")


def has_overlap(servers: StreamServers, exchanges) -> bool:
    """Whether the stream was at work at two servers for too long."""
    ends = [
        min(end, exchange.aborted_at or end)
        for (_, end), exchange in zip(servers.spans, exchanges, strict=True)
    ]
    begins = [began_at for began_at, _ in servers.spans]
    return any(
        min(ends[a], ends[b]) - begins[b] > MAX_OVERLAP_S
        for a, b in itertools.combinations(range(len(ends)), 2)
    )


@dataclass(slots=True)
class Findings:
    """Streams by what went wrong, and numbers of streams by the servers they reached.

    `wrong` streams have bytes that are not theirs, or some twice; `short` ones ended as
    whole without all events. `unfinished` has those that must be whole and are not, and
    `lost_late` those whose other servers read the prompt first. `late` ones ended after
    the deadline or the caller's disconnection, `overlapping` ones were at work at two
    servers, and `open` ones left an exchange behind. `whole` is the number of those
    that were whole. `end_servers` counts those with only pauses at the end.
    """

    streams: int = 0
    whole: int = 0
    wrong: list[PlayedStream] = field(default_factory=list)
    short: list[PlayedStream] = field(default_factory=list)
    unfinished: list[PlayedStream] = field(default_factory=list)
    lost_late: list[PlayedStream] = field(default_factory=list)
    late: list[PlayedStream] = field(default_factory=list)
    overlapping: list[PlayedStream] = field(default_factory=list)
    open: list[PlayedStream] = field(default_factory=list)
    servers: Counter = field(default_factory=Counter)
    end_servers: Counter = field(default_factory=Counter)
    lost: Counter = field(default_factory=Counter)

    def summary(self) -> str:
        """Return the numbers and the first streams of each kind."""
        lines = [f"{self.streams} streams, {self.whole} whole"]
        lines.append(f"by servers {dict(sorted(self.servers.items()))}")
        by_servers = dict(sorted(self.end_servers.items()))
        lines.append(f"paused at the end only, by servers {by_servers}")
        lines.append(f"not whole, by ending {dict(sorted(self.lost.items()))}")
        for name in KINDS:
            found = getattr(self, name)
            lines.append(f"{name} {len(found)}")
            lines += [f"  {stream}" for stream in found[:MAX_FAILURES_SHOWN]]
        return "\n".join(lines)


async def serve_played(stream: PlayedStream):
    """Serve the stream; return servers, sender, job and the time that it took."""
    scripts = {}
    servers = StreamServers(stream, scripts)
    scripts.update(dict.fromkeys(SERVERS, servers.play))
    forwarder = make_forwarder(scripts, (HOME, NEAR, NEAR, HOME))
    job = make_job(stream_route(), deadline_s=stream.deadline_s)
    tokens = stream.count * stream.step
    job.request = replace(
        job.request,
        max_output_tokens=tokens + stream.surplus,
        expected_output_tokens=stream.hint,
        last_event_id=str(stream.event_id(stream.known)) if stream.known else None,
    )
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    if stream.leaves_after_s:
        loop.call_later(stream.leaves_after_s, job.responder.disconnect)
    await forwarder.serve(job)
    return servers, forwarder.sender, job, loop.time() - began_at


def judge(stream: PlayedStream, findings: Findings) -> None:
    """Play one stream and add what was found."""
    servers, sender, job, took_s = run_in_virtual_time(serve_played(stream))
    responder = job.responder
    right = b"".join(stream.events(stream.known + 1, stream.count))
    # A comment belongs to no event, and may be forwarded with any answer that fits.
    found = responder.body.replace(COMMENT, b"")
    is_whole = responder.finished and responder.status == 200
    findings.streams += 1
    findings.whole += is_whole
    if responder.status in (0, 200) and not right.startswith(found):
        findings.wrong.append(stream)
    if is_whole and found != right:
        findings.short.append(stream)
    if stream.must_be_whole and not is_whole:
        late = stream.has_late_answers
        (findings.lost_late if late else findings.unfinished).append(stream)
    if not is_whole and not stream.leaves_after_s:
        place = "end" if stream.end_after == stream.count else "event"
        findings.lost[f"{stream.ending} at {place}" if stream.ending else "sound"] += 1
    limit_s = stream.leaves_after_s or stream.deadline_s
    if took_s > limit_s + END_SLACK_S:
        findings.late.append(stream)
    if has_overlap(servers, sender.exchanges):
        findings.overlapping.append(stream)
    if not all(exchange.is_finished for exchange in sender.exchanges):
        findings.open.append(stream)
    findings.servers[len(servers.reached)] += 1
    if stream.pauses_at_end_only:
        findings.end_servers[len(servers.reached)] += 1


def judge_streams(count: int) -> Findings:
    """Return the findings of this many streams, always the same ones."""
    findings = Findings()

    @settings(DETERMINISTIC_SETTINGS, max_examples=count)
    @given(played_streams())
    def play(stream):
        judge(stream, findings)

    play()
    return findings


class ResumptionTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.findings = judge_streams(STREAMS)

    def check(self, name):
        found = len(getattr(self.findings, name))
        self.assertEqual(0, found, self.findings.summary())

    def test_caller_gets_the_events_in_order_and_once(self):
        """Guards against events of other runs, gaps and repetitions in a stream whose
        servers resume it wrongly."""
        self.check("wrong")

    def test_no_stream_without_all_events_ends_as_whole(self):
        """Guards against a stream that is silently short, since a server that has
        forgotten it answers a resumption without an event."""
        self.check("short")

    def test_stream_whose_servers_only_pause_is_whole(self):
        """Guards against a stream that is cut for a pause of its server, since others
        have no event after the last one."""
        self.check("unfinished")

    def test_stream_whose_next_server_answers_late_is_whole(self):
        """Guards against a stream that is cut for a pause of its server, since the next
        one has read the prompt again before it finds that it has nothing to add."""
        self.check("lost_late")

    def test_stream_ends_with_its_deadline_or_its_caller(self):
        """Guards against streams that are kept although nobody waits for them, and
        connections that are left open behind them."""
        self.check("late")
        self.check("open")

    def test_two_servers_are_not_at_work_on_a_stream(self):
        """Guards against a stream that is resumed while its former server is still at
        work on it."""
        self.check("overlapping")


if __name__ == "__main__":
    unittest.main()
