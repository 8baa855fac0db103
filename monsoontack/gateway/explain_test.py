"""Tests of the explanation of a request from logs."""

import json
import unittest

from monsoontack.gateway.explain import explain, parse_lines


def log_line(second, event, process="edge-1", prefix="", **fields):
    at = f"2026-12-04T05:00:{second:06.3f}Z"
    document = {"event": event, "process": process, "timestamp": at, **fields}
    return prefix + json.dumps(document)


def ended_fields(request, outcome, tries, **fields):
    base = {
        "request": request,
        "route": "r",
        "kind": "stream",
        "account": "shop",
        "service": "s",
        "outcome": outcome,
        "status": 0,
        "took_s": 3.0,
        "first_event_s": None,
        "worst_gap_s": 0.0,
        "tries": tries,
        "config_version": 7,
        "config_age_s": 0.4,
    }
    return base | fields


class ExplainTest(unittest.TestCase):
    def explain(self, request, *texts):
        return explain(request, parse_lines(texts))

    def test_refusal_names_the_lost_store(self):
        """Guards against missing a cause of refusal that is in another log line."""
        explanation = self.explain(
            "r1",
            log_line(1, "store lost", feed="config", reason="connect: timeout"),
            log_line(2, "store lost", process="edge-2", feed="config", reason="other"),
            log_line(
                5,
                "request refused",
                request="r1",
                status=503,
                code="stale_config",
                message="m",
                retry_after_s=0.05,
                config_version=7,
                config_age_s=3.2,
            ),
        )
        self.assertIn("connect: timeout", explanation.cause)
        self.assertIn("confirmed 3.2 s before", "\n".join(explanation.lines()))

    def test_refusal_names_what_the_servers_of_the_service_said(self):
        """Guards against a service whose servers get nothing for no visible reason."""
        asked, left = (
            "backend server asks for time",
            "backend server says that it is leaving",
        )
        explanation = self.explain(
            "r1",
            log_line(1, left, server="i-1", service="s", source="response"),
            log_line(2, asked, server="i-2@5", service="s", wait_s=2.5),
            log_line(2, asked, server="i-3@5", service="other", wait_s=2.5),
            log_line(2, asked, "edge-2", server="i-4@5", service="s", wait_s=2.5),
            log_line(3, "request ended", **ended_fields("r1", "servers_wait", [])),
        )
        text = "\n".join(explanation.lines())
        self.assertIn(f"{left} i-1", text)
        self.assertIn(f"{asked} i-2@5 (2.5 s)", text)
        self.assertNotIn("i-3", text)
        self.assertNotIn("i-4", text)
        self.assertIn("asked for time", explanation.cause)

    def test_aborted_stream_names_the_failed_engine(self):
        """Guards against an aborted stream whose failed engines are not named."""
        lost = {
            "server": "i-1",
            "reason": "reset",
            "events": 9,
            "copy": None,
            "next": "end",
            "left_s": 4.0,
            "budget_left": 0.4,
        }
        tries = [["i-1", 0.0, 3.0, "reset"]]
        explanation = self.explain(
            "r1",
            log_line(4, "request ended", **ended_fields("r1", "stream_cut", tries)),
            log_line(3, "stream lost its engine", request="r1", **lost),
        )
        self.assertIn("i-1", explanation.cause)
        self.assertIn("retry budget was used up", explanation.cause)

    def test_line_of_a_lost_engine_names_the_server_at_the_address_of_the_copy(self):
        """Guards against a copy whose address another server has, unseen in the log."""
        lost = {
            "server": "i-1",
            "reason": "silent",
            "events": 93,
            "copy": "10.2.64.21:80",
            "copy_holder": "i-2@7",
            "at_copy_address": [["i-3@9", "desk"]],
            "next": "resume_copy",
            "left_s": 4.0,
        }
        tries = [["i-1", 0.0, 3.0, "silent"]]
        explanation = self.explain(
            "r1",
            log_line(4, "request ended", **ended_fields("r1", "stream_cut", tries)),
            log_line(3, "stream lost its engine", request="r1", **lost),
        )
        self.assertIn("i-2@7, which left; now i-3@9 of desk", str(explanation.lines()))

    def test_stream_that_ended_for_lack_of_time_says_so(self):
        """Guards against an aborted stream whose log does not tell why it ended."""
        lost = {
            "server": "i-1",
            "reason": "silent",
            "events": 93,
            "copy": None,
            "next": "end",
            "ended_by": "time",
            "left_s": 0.6,
            "budget_left": 9.0,
        }
        tries = [["i-1", 0.0, 3.0, "silent"]]
        explanation = self.explain(
            "r1",
            log_line(4, "request ended", **ended_fields("r1", "stream_cut", tries)),
            log_line(3, "stream lost its engine", request="r1", **lost),
        )
        self.assertIn("too little time was left", explanation.cause)

    def wait_line(self, second, waits_for="engine", server="i-1"):
        return log_line(
            second,
            "stream waits for its silent engine",
            request="r1",
            server=server,
            silence="no event for 0.50 s",
            waits_for=waits_for,
            events=9,
            left_s=4.0,
        )

    def test_wait_for_a_silent_engine_is_explained(self):
        """Guards against a long pause of a stream whose reason the log has but the
        explanation does not."""
        tries = [["i-1", 0.0, 9.0, "complete"]]
        fields = {"server": "i-1", "gap_s": 2.4}
        explanation = self.explain(
            "r1",
            self.wait_line(3, waits_for="budget"),
            log_line(5, "silent engine goes on", request="r1", **fields),
            log_line(9, "request ended", **ended_fields("r1", "streamed", tries)),
        )
        timeline = "\n".join(explanation.timeline)
        self.assertIn("waits for i-1 (no event for 0.50 s) after 9 events", timeline)
        self.assertIn("the retry budget was used up", timeline)
        self.assertIn("i-1 goes on after 2.4 s", timeline)
        self.assertEqual("the stream was whole", explanation.cause)

    def test_stream_cut_at_a_silent_engine_names_what_kept_it_there(self):
        """Guards against a stream cut at its deadline whose explanation does not tell
        why it did not leave its silent engine."""
        lost = {
            "server": "i-1",
            "reason": "deadline",
            "events": 9,
            "copy": None,
            "next": "end",
            "ended_by": "time",
            "left_s": 0.0,
        }
        tries = [["i-1", 0.0, 9.0, "deadline"]]
        lines = (
            log_line(9, "stream lost its engine", request="r1", **lost),
            log_line(9, "request ended", **ended_fields("r1", "stream_cut", tries)),
        )
        cause = self.explain("r1", self.wait_line(3), *lines).cause
        self.assertIn("it waited for i-1: no other engine was better", cause)
        fields = {"server": "i-1", "gap_s": 2.4}
        gone_on = log_line(5, "silent engine goes on", request="r1", **fields)
        cause = self.explain("r1", self.wait_line(3), gone_on, *lines).cause
        self.assertNotIn("waited", cause)
        cause = self.explain("r1", self.wait_line(3, server="i-0"), *lines).cause
        self.assertNotIn("waited", cause)

    def test_error_of_the_backend_server_is_attributed_to_it(self):
        """Guards against attributing a 500 of a backend server to the entry."""
        tries = [["i-1", 0.0, 0.1, "500"], ["i-2", 0.1, 0.2, "500"]]
        fields = ended_fields("r1", "answered", tries, status=500)
        explanation = self.explain("r1", log_line(4, "request ended", **fields))
        self.assertIn("itself answered 500", explanation.cause)

    def test_request_of_a_killed_entry(self):
        """Guards against a missing cause if the entry logged no end of the request."""
        lost = {
            "server": "i-1",
            "reason": "silent",
            "events": 1,
            "next": "restart",
            "left_s": 9.0,
        }
        text = log_line(3, "stream lost its engine", request="r1", **lost)
        self.assertIn("entry ended", self.explain("r1", text).cause)

    def test_other_text_and_unknown_ids(self):
        """Guards against a crash caused by log lines of other programs."""
        texts = ("", "{broken", "[1]", '{"event": 1}', "-1.5 edge-1 plain text")
        explanation = self.explain("r1", *texts)
        self.assertFalse(explanation.found)
        tries = [["i-1", 0.0, 1.0, "complete"]]
        fields = ended_fields("r2", "streamed", tries, status=200)
        good = log_line(4, "request ended", prefix="  4.0 edge-1 ", **fields)
        self.assertEqual("the stream was whole", self.explain("r2", good).cause)


if __name__ == "__main__":
    unittest.main()
