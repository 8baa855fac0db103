"""Tests of the headers between callers, gateway and backend servers."""

import unittest

from monsoontack.core.boundedid import MAX_ID_CHARACTERS
from monsoontack.core.errors import RequestError
from monsoontack.gateway.records import Attempt, KvCacheCopy, RawRequest
from monsoontack.platform.wire import PlatformWireFormat, keep_alive_s
from standins.gatewayfakes import make_server

REQUEST_ID = (b"x-monsoontack-request-id", b"r1")
HOST = (b"host", b"H.example:8080")
WIRE = PlatformWireFormat()


def parse_request(*headers, target=b"/a/b?c=1", method=b"POST", body=b"xy"):
    raw = RawRequest(method, target, (HOST, REQUEST_ID, *headers), body, True, 0.0)
    return WIRE.parse_request(raw)


def encode_request_lines(request, **options):
    """Return the lines of the request head that is sent to a server."""
    attempt = Attempt(make_server("i-1"), left_s=1.2345, **options)
    head = WIRE.encode_request_head(request, attempt)
    assert head.endswith(b"\r\n\r\n")
    return head[:-4].split(b"\r\n")


class RequestTest(unittest.TestCase):
    def test_fields_of_a_generation(self):
        """Guards against a field that is read from the wrong header."""
        request = parse_request(
            (b"x-monsoontack-token-usage", b"1460,80"),
            (b"x-monsoontack-prefix-hash", b"5c1e07a2:800,91bd:410"),
            (b"x-monsoontack-deadline-ms", b"25000"),
            (b"x-monsoontack-length-hint", b"70"),
            (b"authorization", b"Token key-1"),
            (b"last-event-id", b"12"),
        )
        self.assertEqual((1460, 80, 70), token_counts(request))
        self.assertEqual(
            ("91bd", 410),
            (request.prompt_segments[1].segment_id, request.prompt_segments[1].tokens),
        )
        self.assertEqual((25.0, "key-1", "12"), deadline_key_and_event(request))
        self.assertEqual(("h.example", "/a/b"), (request.host, request.path))

    def test_ids_of_prompt_parts_are_bounded(self):
        """Guards against remembered prompts that fill the memory, since callers choose
        the length of their ids."""
        ids = ["a" * 7000, "a" * 6999 + "b", "c" * MAX_ID_CHARACTERS]
        value = ",".join(f"{item}:10" for item in ids).encode()
        request = parse_request((b"x-monsoontack-prefix-hash", value))
        found = [part.segment_id for part in request.prompt_segments]
        self.assertEqual(3, len(set(found)))
        self.assertLessEqual(max(map(len, found)), MAX_ID_CHARACTERS)
        self.assertEqual(ids[2], found[2])

    def test_callers_cannot_set_system_headers(self):
        """Guards against callers that choose their account or reserve KV cache."""
        names = (
            b"x-monsoontack-tenant",
            b"x-monsoontack-expect-instance",
            b"x-monsoontack-expect-version",
            b"x-monsoontack-request-priority",
            b"x-monsoontack-kv-backup",
            b"x-monsoontack-retain",
            b"x-monsoontack-pin-ms",
            b"kv-from",
            b"kv-fetch",
            b"authorization",
            b"transfer-encoding",
            b"keep-alive",
        )
        lines = encode_request_lines(
            parse_request(*((name, b"evil") for name in names))
        )
        self.assertFalse([line for line in lines if b"evil" in line])

    def test_connection_header_cannot_remove_protected_headers(self):
        """Guards against a request that reaches the server without its token counts."""
        usage = (b"x-monsoontack-token-usage", b"10,2")
        named = b"X-Monsoontack-Token-Usage, X-Monsoontack-Request-Id, X-Own"
        own = (b"x-own", b"1")
        lines = encode_request_lines(parse_request(usage, own, (b"connection", named)))
        self.assertIn(b"x-monsoontack-token-usage: 10,2", lines)
        self.assertIn(b"x-monsoontack-request-id: r1", lines)
        self.assertNotIn(b"x-own: 1", lines)

    def test_a_hint_is_bounded(self):
        """Guards against an estimate that no load can be computed with."""
        for value, hint in ((b"-5", 0), (b"9" * 400, 1_000_000_000)):
            request = parse_request((b"x-monsoontack-length-hint", value))
            self.assertEqual(hint, request.expected_output_tokens)

    def test_malformed_requests(self):
        """Guards against requests that two parsers would interpret differently."""
        bad = {
            "id twice": (REQUEST_ID,),
            "deadline twice": ((b"x-monsoontack-deadline-ms", b"5"),) * 2,
            "deadline not a number": ((b"x-monsoontack-deadline-ms", b"nan"),),
            "usage not numbers": ((b"x-monsoontack-token-usage", b"a,b"),),
            "negative usage": ((b"x-monsoontack-token-usage", b"-1,2"),),
            "usage beyond any memory": (
                (b"x-monsoontack-token-usage", b"1" + b"0" * 30),
            ),
            "part of negative size": ((b"x-monsoontack-prefix-hash", b"ab:-1"),),
            "part out of range": ((b"x-monsoontack-prefix-hash", b"ab:" + b"9" * 400),),
            "part without tokens": ((b"x-monsoontack-prefix-hash", b"ab"),),
        }
        for name, headers in bad.items():
            with self.subTest(name):
                request = parse_request(*headers)
                self.assertIsInstance(request, RequestError)
                self.assertEqual(400, request.status)
        self.assertIsInstance(parse_request(target=b"http://h/a"), RequestError)

    def test_attempt_headers(self):
        """Guards against engines that keep running after the caller's deadline."""
        request = parse_request((b"x-monsoontack-deadline-ms", b"9000"), (b"x-a", b"b"))
        copy = KvCacheCopy("10.0.0.2:80", "r1")
        lines = encode_request_lines(
            request,
            account="shop",
            priority=17,
            backup="10.0.0.3:80",
            copy=copy,
            last_event_id="4",
        )
        self.assertEqual(b"POST /a/b?c=1 HTTP/1.1", lines[0])
        for line in (
            b"x-monsoontack-deadline-ms: 1234",
            b"x-monsoontack-expect-instance: i-1",
            b"x-monsoontack-tenant: shop",
            b"x-monsoontack-request-priority: 9",
            b"x-monsoontack-kv-backup: 10.0.0.3:80",
            b"kv-from: 10.0.0.2:80/r1",
            b"last-event-id: 4",
            b"content-length: 2",
            b"x-a: b",
        ):
            self.assertIn(line, lines)
        self.assertEqual(1, sum(b"deadline" in line for line in lines))


def token_counts(request):
    return (
        request.prompt_tokens,
        request.max_output_tokens,
        request.expected_output_tokens,
    )


def deadline_key_and_event(request):
    return request.deadline_s, request.key, request.last_event_id


class ResponseTest(unittest.TestCase):
    def test_not_run_needs_an_explicit_statement(self):
        """Guards against retrying a call that may have run before a 503."""
        mark = (b"x-monsoontack-not-executed", b"1")
        self.assertTrue(WIRE.parse_response_head(503, (mark,)).not_run)
        self.assertTrue(WIRE.parse_response_head(421, ()).not_run)
        self.assertFalse(WIRE.parse_response_head(503, ()).not_run)

    def test_connection_headers_of_a_response_are_dropped(self):
        """Guards against conflicting framing headers and a lost signature."""
        stamp = (b"x-monsoontack-origin-stamp", b"s")
        headers = (stamp, (b"content-length", b"5"), (b"connection", b"close"))
        found = WIRE.parse_response_head(200, headers)
        self.assertEqual((stamp,), found.forwarded)
        self.assertTrue(found.signed)
        coded = ((b"content-encoding", b"gzip"),)
        self.assertTrue(WIRE.parse_response_head(200, coded).encoded)

    def test_stated_limit_is_read_as_written_and_forwarded(self):
        """Guards against a limit that is changed before it is checked and logged."""
        headers = ((b"server-limit", b" 2.8x"), (b"x-a", b"1"))
        self.assertEqual(" 2.8x", WIRE.stated_limit(headers))
        self.assertIsNone(WIRE.stated_limit(headers[1:]))
        head = WIRE.parse_response_head(200, headers)
        self.assertEqual(headers, head.forwarded)

    def test_stated_leaving_is_read_as_written_and_forwarded(self):
        """Guards against a statement that is changed before it is checked."""
        headers = ((b"server-leaving", b" 1"), (b"x-a", b"1"))
        self.assertEqual(" 1", WIRE.stated_leaving(headers))
        self.assertIsNone(WIRE.stated_leaving(headers[1:]))
        self.assertEqual(headers, WIRE.parse_response_head(200, headers).forwarded)

    def test_stated_wait_is_read_as_written_and_forwarded(self):
        """Guards against a time that is changed before it is checked."""
        headers = ((b"retry-after", b" 2.5x"), (b"x-a", b"1"))
        self.assertEqual(" 2.5x", WIRE.stated_wait(headers))
        self.assertIsNone(WIRE.stated_wait(headers[1:]))
        self.assertEqual(headers, WIRE.parse_response_head(503, headers).forwarded)

    def test_keep_alive(self):
        """Guards against reusing connections that the server has closed."""
        found = keep_alive_s(((b"keep-alive", b"timeout=5, max=100"),))
        self.assertEqual(5.0, found)
        self.assertIsNone(keep_alive_s(()))
        self.assertIsNone(keep_alive_s(((b"keep-alive", b"timeout=x"),)))


if __name__ == "__main__":
    unittest.main()
