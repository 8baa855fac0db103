"""Explains one request from the logs of gateways.

Lines of several processes go in, in any order and with other text around them; the
course of the request and the cause of its end come out. What happened around it
counts as well: a store that was lost, a configuration that was old, an entry that
was leaving.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime

REFUSALS = {
    "unknown_key": "the key belonged to no account of the configuration in force",
    "unknown_route": "no route of the configuration in force matched",
    "not_ready": "the entry had no configuration yet (it had just started)",
    "draining": "the entry was leaving, and its end might have cut the request",
    "invalid": "the request was malformed",
}
OUTCOMES = {
    "answered": "the backend server's answer was passed on",
    "streamed": "the stream was whole",
    "caller_gone": "the caller closed its connection before the end",
    "timeout": "the time of the caller or of the route was over",
    "full": "every backend server that was asked refused for lack of room",
    "no_backend_server": "no backend server could be reached",
    "backend_failed": "backend servers broke off",
    "stream_cut": "the stream broke off and could not go on",
    "answer_cut": "a long answer broke off",
    "engine_error": "the engine answered with an error",
    "internal_error": "a fault of the entry; see the line `request failed`",
    "open": "the entry was stopped before the end (killed, or its drain was over)",
}
TRY_RESULTS = {
    "connect": "no connection (refused, or none within the time)",
    "reset": "connection reset by the server",
    "closed": "connection closed before the end",
    "malformed": "bytes that are no valid answer",
    "foreign": "an answer without the id of the request",
    "oversized": "more bytes than an answer may have",
    "silent": "no bytes for longer than usual",
    "deadline": "the time of the request was over",
    "unwanted": "the caller had left before the send",
    "open": "still at work when the request ended",
    "complete": "whole stream",
}
# Lines about the process this long before a request still bear on it.
CONTEXT_S = 30.0
STORE_LINES = ("store lost", "store answers again")
LIFE_LINES = ("gateway started", "draining", "drained", "gateway stopped")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a process's log; `at` is Unix time in seconds."""

    at: float
    process: str
    event: str
    fields: dict


@dataclass(slots=True)
class Explanation:
    """Course and cause of one request; `found` is false without any line of it."""

    request: str
    found: bool = False
    course: list[str] = field(default_factory=list)
    cause: str = ""

    def lines(self) -> list[str]:
        """Return the text for a person."""
        if not self.found:
            return [f"request {self.request}: no line names it"]
        return [f"request {self.request}", *self.course, f"cause: {self.cause}"]


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the log lines in order of time; other text is left out."""
    found = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            at = datetime.fromisoformat(fields["timestamp"]).timestamp()
            process, event = fields["process"], fields["event"]
        except (ValueError, KeyError, TypeError):
            # Not one of our lines; other programs may write to the same file.
            continue
        found.append(LogLine(at, process, event, fields))
    return sorted(found, key=lambda line: line.at)


def explain(request: str, lines: list[LogLine]) -> Explanation:
    """Return the course and the cause of a request."""
    own = [line for line in lines if line.fields.get("request") == request]
    result = Explanation(request)
    if not own:
        return result
    result.found = True
    for line in own:
        result.course += _describe(line)
    last = own[-1]
    near = _context(last, lines)
    result.course += [f"  near: {_context_text(line)}" for line in near]
    result.cause = _cause(last, own, near)
    return result


def _describe(line: LogLine) -> list[str]:
    fields = line.fields
    where = f"{line.fields['timestamp']} {line.process}"
    if line.event == "request refused":
        retry = fields.get("retry_after_s")
        told = "" if retry is None else f", retry after {retry} s"
        code = f"{fields['status']} {fields['code']}{told}"
        return [f"  {where}: refused with {code}; {_config_text(fields)}"]
    if line.event == "stream lost its engine":
        copy = fields.get("copy") or "none"
        return [
            f"  {where}: lost {fields['server']} ({fields['reason']}) after"
            f" {fields['events']} events; copy at {copy}; next: {fields['next']};"
            f" repeats left {fields.get('budget_left')}"
        ]
    if line.event != "request ended":
        return [f"  {where}: {line.event}"]
    head = (
        f"  {where}: {fields['kind']} on route {fields['route']} for account"
        f" {fields['account']} to {fields['service']}; {_config_text(fields)}"
    )
    if fields.get("continues_after") is not None:
        head += f"; a caller that came back after event {fields['continues_after']}"
    tries = [f"  {_try_text(item)}" for item in fields["tries"]]
    end = f"  ended after {fields['took_s']} s: {fields['outcome']}"
    if fields.get("first_event_s") is not None:
        end += (
            f"; first event after {fields['first_event_s']} s,"
            f" longest pause {fields['worst_gap_s']} s"
        )
    return [head, *tries, f"{end}; status {fields['status']}"]


def _try_text(item: list) -> str:
    server, sent_s, ended_s, result = item
    meaning = _meaning(result)
    return f"sent to {server} at {sent_s} s, {result} at {ended_s} s ({meaning})"


def _meaning(result: str) -> str:
    """Return what a try's result means; what follows a colon is detail."""
    return TRY_RESULTS.get(result.partition(":")[0], result)


def _config_text(fields: dict) -> str:
    version, age_s = fields.get("config_version"), fields.get("config_age_s")
    if version is None:
        return "no configuration"
    return f"configuration {version}, confirmed {age_s} s before"


def _context(last: LogLine, lines: list[LogLine]) -> list[LogLine]:
    """Return the newest lines of the same process that may bear on the end."""
    newest: dict[tuple, LogLine] = {}
    for line in lines:
        if line.process != last.process or line.at > last.at:
            continue
        if line.at < last.at - CONTEXT_S:
            continue
        if line.event in STORE_LINES + LIFE_LINES:
            newest[line.event in LIFE_LINES, line.fields.get("feed")] = line
    return list(newest.values())


def _context_text(line: LogLine) -> str:
    feed, reason = line.fields.get("feed"), line.fields.get("reason")
    about = f" {feed}" if feed else ""
    why = f" ({reason})" if reason else ""
    return f"{line.fields['timestamp']} {line.process}: {line.event}{about}{why}"


def _cause(last: LogLine, own: list[LogLine], near: list[LogLine]) -> str:
    fields = last.fields
    if last.event == "request refused":
        return _refusal_cause(fields, near)
    if last.event != "request ended":
        return "the entry ended before the request did (killed, or cut off)"
    cause = OUTCOMES.get(fields["outcome"], fields["outcome"])
    failed = [item for item in fields["tries"] if not _is_good(item[3])]
    if fields["outcome"] == "answered" and fields["status"] >= 500:
        return f"the backend server itself answered {fields['status']}"
    if failed:
        server, _, _, result = failed[-1]
        meaning = _meaning(result)
        cause += f"; last failure: {server}, {meaning}"
    lost = [line for line in own if line.event == "stream lost its engine"]
    if fields["outcome"] == "stream_cut" and lost:
        cause += f"; {_end_reason(lost[-1].fields)}"
    if any(line.event == "draining" for line in near) and fields["outcome"] == "open":
        cause += "; the entry was draining"
    return cause


def _refusal_cause(fields: dict, near: list[LogLine]) -> str:
    if fields["code"] != "stale_config":
        return REFUSALS.get(fields["code"], fields.get("message", fields["code"]))
    lost = [line for line in near if line.event == "store lost"]
    why = f": store lost, {lost[-1].fields.get('reason')}" if lost else ""
    return f"the entry's configuration was not confirmed lately{why}"


def _end_reason(fields: dict) -> str:
    if fields["left_s"] <= 0:
        return "no time was left"
    if fields.get("budget_left", 1) < 1:
        return "the retry budget was used up"
    return "no further attempt was allowed"


def _is_good(result: str) -> bool:
    return result == "complete" or (result.isdigit() and int(result) < 500)
