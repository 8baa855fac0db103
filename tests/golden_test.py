"""Golden files of whole sessions: what a caller sends and receives, and the logs.

Ids, ports and times are normalised, and consecutive token events are merged,
since their number depends on timing. `make golden` rewrites the files.
"""

import json
import os
import re
import unittest
from pathlib import Path

from standins.fleet import KEY, SERVICE, Fleet

FOLDER = Path(__file__).parent / "golden"
REWRITE = os.environ.get("REWRITE_GOLDEN") == "1"
LENGTH = 30
LOGGED = {"entry started", "generation recovery", "draining", "drained"}
LOGGED |= {"call records settled", "entry stopped"}
NORMAL = (
    (re.compile(r"[0-9a-f]{32}"), "<id>"),
    (re.compile(r"127\.0\.0\.1:\d+"), "<address>"),
    (re.compile(r'"created": ?\d+'), '"created":0'),
    (re.compile(r"(entry|agent)-\d+"), r"\1"),
)


def normal(text):
    for pattern, replacement in NORMAL:
        text = pattern.sub(replacement, text)
    return text


def merge_events(blocks):
    """Return normalised SSE blocks with runs of token events merged."""
    lines = []
    run = None
    for block in blocks:
        if block == ": ping":
            continue
        data = block.partition("data: ")[2]
        document = json.loads(data) if data.startswith("{") else {}
        if "token_ids" not in document:
            run = None
            lines += normal(block).split("\n")
            continue
        end = document["first_position"] + len(document["token_ids"])
        if run is None:
            run = len(lines)
            shape = document | {"token_ids": "<tokens>", "choices": "<choices>"}
            lines += [normal(json.dumps(shape, separators=(",", ":"))), ""]
        finish = document["choices"][0]["finish_reason"]
        lines[run + 1] = f"(token events up to position {end}, finish {finish})"
    return lines


class GoldenTest(unittest.IsolatedAsyncioTestCase):
    maxDiff = None

    def compare(self, name, lines):
        path = FOLDER / f"{name}.txt"
        text = "\n".join(lines) + "\n"
        if REWRITE:
            path.parent.mkdir(exist_ok=True)
            path.write_text(text, encoding="utf-8")
        self.assertEqual(path.read_text(encoding="utf-8"), text)

    async def exchange(self, entry, method, path, body=None, headers=None, key=KEY):
        """Send one request and return the lines of the exchange."""
        sent = {"Authorization": f"Bearer {key}"} if key else {}
        sent |= headers or {}
        if isinstance(body, dict):
            sent.setdefault("Content-Type", "application/json")
            body = json.dumps(body)
        shown = body if body is None or len(body) < 400 else f"({len(body)} bytes)"
        lines = [f"> {method} {path}"]
        lines += [normal(f"> {name}: {value}") for name, value in sent.items()]
        lines += [f"> {normal(shown)}"] if shown else []
        url = entry.url + path
        async with self.fleet.cluster.http.request(
            method, url, data=body, headers=sent
        ) as response:
            text = await response.text()
            lines.append(f"< {response.status} {response.content_type}")
            if "Retry-After" in response.headers:
                lines.append(f"< Retry-After: {response.headers['Retry-After']}")
        if response.content_type == "text/event-stream":
            blocks = text.strip("\n").split("\n\n")
            lines += [f"< {line}" for line in merge_events(blocks)]
        else:
            lines.append(f"< {normal(text)}")
        return [*lines, ""]

    def log_lines(self, entry):
        """Return the entry's lines for changes of state, without times."""
        lines = []
        for line in entry.read_log().splitlines():
            record = json.loads(line)
            record.pop("timestamp")
            if record["event"] in LOGGED:
                lines.append(normal(json.dumps(record, sort_keys=True)))
        return lines

    async def start(self, **options):
        self.fleet = await self.enterAsyncContext(Fleet.start(**options))
        return self.fleet.entries[0]

    async def test_golden_errors(self):
        """Guards against a changed status, code or run_state of a refusal."""
        entry = await self.start(engines=1, max_body_bytes=2000)
        path = "/v1/completions"
        good = {"model": SERVICE, "prompt": "x", "max_tokens": 2}
        wrong_fields = {"model": 5, "prompt": {}, "max_tokens": 0, "stream": "yes"}
        event_id = f"{'0' * 32}-v1.1.{self.fleet.backends[0].address}.3"
        requests = [
            ("POST", path, good, None, None),
            ("POST", path, good, {"Authorization": "Basic abc"}, None),
            ("POST", path, good, None, "wrong-key"),
            ("POST", path, good | {"prompt": "x" * 3000}, None, KEY),
            ("POST", path, '{"model": ', {"Content-Type": "application/json"}, KEY),
            ("POST", path, "[]", {"Content-Type": "application/json"}, KEY),
            ("POST", path, good, {"Content-Type": "text/plain"}, KEY),
            ("POST", path, wrong_fields, None, KEY),
            ("POST", path, good | {"model": "no-such"}, None, KEY),
            ("POST", path, good, {"X-Priority": "11"}, KEY),
            ("POST", path, good, {"X-Priority": "high"}, KEY),
            ("POST", path, good, {"Last-Event-ID": "nonsense"}, KEY),
            ("POST", path, good, {"Last-Event-ID": event_id}, KEY),
            ("POST", path, good | {"stream": True}, {"Last-Event-ID": event_id}, KEY),
            (
                "POST",
                path,
                good | {"monsoontack": {"received": [1]}},
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
        for method, where, body, headers, key in requests:
            lines += await self.exchange(entry, method, where, body, headers, key)
        self.compare("errors", lines)

    async def test_golden_answers(self):
        """Guards against a changed form of streamed and whole answers."""
        entry = await self.start(engines=2)
        lines = []
        good = {"model": SERVICE, "max_tokens": LENGTH}
        messages = [{"role": "user", "content": "Which path is open?"}]
        chat = good | {"messages": messages, "stream": True}
        path = "/v1/completions"
        short = good | {"prompt": "Path", "max_tokens": 3}
        lines += await self.exchange(entry, "POST", path, short)
        lines += await self.exchange(entry, "POST", "/v1/chat/completions", chat)
        for backend in self.fleet.backends:
            fault = {"kind": "fail", "at_position": 10, "count": 1}
            await self.fleet.cluster.set_faults(backend.engine, {"faults": [fault]})
        stream = good | {"prompt": "Snow", "stream": True}
        lines += await self.exchange(entry, "POST", path, stream)
        entry.terminate()
        self.assertEqual(0, await entry.wait_ended())
        self.compare("answers", [*lines, *self.log_lines(entry)])


if __name__ == "__main__":
    unittest.main()
