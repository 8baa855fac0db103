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
