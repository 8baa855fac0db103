"""Golden-file tests of requests, responses and log lines of an entry.

Ids, ports and times are normalized, and consecutive token events are merged,
since their number depends on timing. `make golden` rewrites the files.
"""

import json
import os
import re
import unittest
from pathlib import Path

from standins.fleet import KEY, SERVICE, Fleet

GOLDEN_FOLDER = Path(__file__).parent / "golden"
REWRITE_FILES = os.environ.get("REWRITE_GOLDEN") == "1"
MAX_TOKENS = 30
COMPARED_EVENTS = {"entry started", "generation recovery", "draining", "drained"}
COMPARED_EVENTS |= {"call records settled", "entry stopped"}
NORMALIZATIONS = (
    (re.compile(r"[0-9a-f]{32}"), "<id>"),
    (re.compile(r"127\.0\.0\.1:\d+"), "<address>"),
    (re.compile(r'"created": ?\d+'), '"created":0'),
    (re.compile(r"(entry|agent)-\d+"), r"\1"),
)


def normalize(text):
    for pattern, replacement in NORMALIZATIONS:
        text = pattern.sub(replacement, text)
    return text


def merge_events(blocks):
    """Return the lines of normalized SSE blocks, consecutive token events merged."""
    lines = []
    merged_index = None
    for block in blocks:
        if block == ": ping":
            continue
        data = block.partition("data: ")[2]
        document = json.loads(data) if data.startswith("{") else {}
        if "token_ids" not in document:
            merged_index = None
            lines += normalize(block).split("\n")
            continue
        end = document["first_position"] + len(document["token_ids"])
        if merged_index is None:
            merged_index = len(lines)
            template = document | {"token_ids": "<tokens>", "choices": "<choices>"}
            lines += [normalize(json.dumps(template, separators=(",", ":"))), ""]
        finish = document["choices"][0]["finish_reason"]
        lines[merged_index + 1] = (
            f"(token events up to position {end}, finish {finish})"
        )
    return lines


class GoldenTest(unittest.IsolatedAsyncioTestCase):
    maxDiff = None

    def compare_with_golden_file(self, name, lines):
        path = GOLDEN_FOLDER / f"{name}.txt"
        text = "\n".join(lines) + "\n"
        if REWRITE_FILES:
            path.parent.mkdir(exist_ok=True)
            path.write_text(text, encoding="utf-8")
        self.assertEqual(path.read_text(encoding="utf-8"), text)

    async def exchange(self, entry, method, path, body=None, headers=None, key=KEY):
        """Send one request; return request and response as golden-file lines."""
        sent_headers = {"Authorization": f"Bearer {key}"} if key else {}
        sent_headers |= headers or {}
        if isinstance(body, dict):
            sent_headers.setdefault("Content-Type", "application/json")
            body = json.dumps(body)
        shown_body = body if body is None or len(body) < 400 else f"({len(body)} bytes)"
        lines = [f"> {method} {path}"]
        lines += [
            normalize(f"> {name}: {value}") for name, value in sent_headers.items()
        ]
        lines += [f"> {normalize(shown_body)}"] if shown_body else []
        url = entry.url + path
        async with self.fleet.cluster.http.request(
            method, url, data=body, headers=sent_headers
        ) as response:
            text = await response.text()
            lines.append(f"< {response.status} {response.content_type}")
            if "Retry-After" in response.headers:
                lines.append(f"< Retry-After: {response.headers['Retry-After']}")
        if response.content_type == "text/event-stream":
            blocks = text.strip("\n").split("\n\n")
            lines += [f"< {line}" for line in merge_events(blocks)]
        else:
            lines.append(f"< {normalize(text)}")
        return [*lines, ""]

    def compared_log_lines(self, entry):
        """Return the entry's log lines for `COMPARED_EVENTS`, without timestamps."""
        lines = []
        for line in entry.read_log().splitlines():
            record = json.loads(line)
            record.pop("timestamp")
            if record["event"] in COMPARED_EVENTS:
                lines.append(normalize(json.dumps(record, sort_keys=True)))
        return lines

    async def start_fleet(self, **options):
        self.fleet = await self.enterAsyncContext(Fleet.start(**options))
        return self.fleet.entries[0]

    async def test_golden_errors(self):
        """Guards against a changed status, code or run_state of an error response."""
        entry = await self.start_fleet(engines=1, max_body_bytes=2000)
        path = "/v1/completions"
        valid_body = {"model": SERVICE, "prompt": "x", "max_tokens": 2}
        invalid_fields = {"model": 5, "prompt": {}, "max_tokens": 0, "stream": "yes"}
        event_id = f"{'0' * 32}-v1.1.{self.fleet.backends[0].address}.3"
        requests = [
            ("POST", path, valid_body, None, None),
            ("POST", path, valid_body, {"Authorization": "Basic abc"}, None),
            ("POST", path, valid_body, None, "wrong-key"),
            ("POST", path, valid_body | {"prompt": "x" * 3000}, None, KEY),
            ("POST", path, '{"model": ', {"Content-Type": "application/json"}, KEY),
            ("POST", path, "[]", {"Content-Type": "application/json"}, KEY),
            ("POST", path, valid_body, {"Content-Type": "text/plain"}, KEY),
            ("POST", path, invalid_fields, None, KEY),
            ("POST", path, valid_body | {"model": "no-such"}, None, KEY),
            ("POST", path, valid_body, {"X-Priority": "11"}, KEY),
            ("POST", path, valid_body, {"X-Priority": "high"}, KEY),
            ("POST", path, valid_body, {"Last-Event-ID": "nonsense"}, KEY),
            ("POST", path, valid_body, {"Last-Event-ID": event_id}, KEY),
            (
                "POST",
                path,
                valid_body | {"stream": True},
                {"Last-Event-ID": event_id},
                KEY,
            ),
            (
                "POST",
                path,
                valid_body | {"monsoontack": {"received": [1]}},
                {"Last-Event-ID": event_id},
                KEY,
            ),
            (
                "POST",
                "/v1/chat/completions",
                {"model": SERVICE, "messages": []},
                {},
                KEY,
            ),
            ("GET", path, None, None, KEY),
            ("GET", "/v1/nothing", None, None, KEY),
            ("POST", "/v1/services/no-such/x", "{}", {"Idempotency-Key": "k"}, KEY),
            ("GET", "/v1/models", None, None, KEY),
            ("GET", "/v1/models", None, None, None),
            ("GET", "/healthz", None, None, None),
            ("GET", "/readyz", None, None, None),
            ("GET", "/state", None, None, None),
        ]
        lines = []
        for method, request_path, body, headers, key in requests:
            lines += await self.exchange(
                entry, method, request_path, body, headers, key
            )
        self.compare_with_golden_file("errors", lines)

    async def test_golden_answers(self):
        """Guards against a changed format of streaming and non-streaming answers."""
        entry = await self.start_fleet(engines=2)
        lines = []
        valid_body = {"model": SERVICE, "max_tokens": MAX_TOKENS}
        messages = [{"role": "user", "content": "Which path is open?"}]
        chat_body = valid_body | {"messages": messages, "stream": True}
        path = "/v1/completions"
        short_body = valid_body | {"prompt": "Path", "max_tokens": 3}
        lines += await self.exchange(entry, "POST", path, short_body)
        lines += await self.exchange(entry, "POST", "/v1/chat/completions", chat_body)
        for backend in self.fleet.backends:
            fault = {"kind": "fail", "at_position": 10, "count": 1}
            await self.fleet.cluster.set_faults(backend.engine, {"faults": [fault]})
        stream_body = valid_body | {"prompt": "Snow", "stream": True}
        lines += await self.exchange(entry, "POST", path, stream_body)
        entry.terminate()
        self.assertEqual(0, await entry.wait_ended())
        self.compare_with_golden_file(
            "answers", [*lines, *self.compared_log_lines(entry)]
        )


if __name__ == "__main__":
    unittest.main()
