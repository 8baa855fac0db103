"""Explains the outcome of one request from the logs of gateways.

The input is log lines of several processes in any order, possibly mixed with other
text. The result is the timeline of the request and the cause of its outcome. Events
of the same process shortly before the end are taken into account: a lost store, an
old configuration, a draining entry.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime

REFUSAL_CAUSES = {
    "unknown_key": "the key belonged to no account of the configuration in force",
    "unknown_route": "no route of the configuration in force matched",
    "not_ready": "the entry had no configuration yet (it had just started)",
    "draining": "the entry was leaving, and its end might have cut the request",
    "invalid": "the request was malformed",
}
OUTCOME_CAUSES = {
    "answered": "the backend server's answer was passed on",
    "streamed": "the stream was whole",
    "caller_gone": "the caller closed its connection before the end",
    "timeout": "the time of the caller or of the route was over",
    "overloaded": "no engine could have begun the stream before its deadline",
    "draining": "the entry left before an engine got the request",
    "full": "every backend server that was asked refused for lack of room",
    "limited": "the limits that the servers state were used up",
    "servers_wait": "every server had asked for time, and it was not over",
    "no_backend_server": "no backend server could be reached",
    "backend_failed": "backend servers broke off",
    "stream_cut": "the stream broke off and could not go on",
    "answer_cut": "a long answer broke off",
    "engine_error": "the engine answered with an error",
    "internal_error": "a fault of the entry; see the line `request failed`",
    "open": "the entry was stopped before the end (killed, or its drain was over)",
}
TRY_RESULT_MEANINGS = {
    "connect": "no connection (refused, or none within the time)",
    "reset": "connection reset by the server",
    "closed": "connection closed before the end",
    "malformed": "bytes that are no valid answer",
    "foreign": "an answer without the id of the request",
    "empty": "a whole answer without any event for the stream",
    "overtaken": "the silent server before it sent the rest of its answer",
    "oversized": "more bytes than an answer may have",
    "silent": "no bytes for longer than usual",
    "deadline": "the time of the request was over",
    "unwanted": "the caller had left before the send",
    "limited": "not sent: the server's limit or the time that it asked for",
    "leaving": "not sent: the server had said that it is leaving",
    "open": "still at work when the request ended",
    "complete": "whole stream",
}
# Meaning of `ended_by` in the line of a lost engine.
END_CAUSES = {
    "attempts": "no further attempt was allowed",
    "not_repeatable": "the request may not run again",
    "time": "too little time was left for another engine",
    "prompt": "its prompt may crash further engines",
    "budget": "the retry budget was used up",
}
# Meaning of `waits_for` in the line of a stream that waits for its silent engine.
WAIT_CAUSES = END_CAUSES | {
    "engine": "no other engine was better",
    "end": "all events had come, and only the end of the answer was missing",
}
WAIT_EVENT = "stream waits for its silent engine"
GOING_ON_EVENT = "silent engine goes on"
RETURN_EVENT = "stream returns to its silent engine"
GIVEN_UP_EVENT = "silent engine is given up"
# Log lines about the store and the process are relevant to a request if they were
# written within this time before its last line.
CONTEXT_WINDOW_S = 30.0
STORE_EVENTS = ("store lost", "store answers again")
# Lines that say why a server of the request's service got nothing.
SERVER_EVENTS = (
    "backend server says that it is leaving",
    "backend server asks for time",
    "backend server gets requests again",
)
LIFECYCLE_EVENTS = ("gateway started", "draining", "drained", "gateway stopped")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line of a process; `timestamp_s` is Unix time."""

    timestamp_s: float
    process: str
    event: str
    fields: dict


@dataclass(slots=True, repr=False)
class Explanation:
    """Timeline of a request and cause of its outcome.

    `found` is false if no log line names the request.
    """

    request: str
    found: bool = False
    timeline: list[str] = field(default_factory=list)
    cause: str = ""

    def lines(self) -> list[str]:
        """Return the explanation as lines of text."""
        if not self.found:
            return [f"request {self.request}: no line names it"]
        return [f"request {self.request}", *self.timeline, f"cause: {self.cause}"]


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the log lines in order of time; other text is ignored."""
    lines = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            timestamp_s = datetime.fromisoformat(fields["timestamp"]).timestamp()
            process, event = fields["process"], fields["event"]
        except (ValueError, KeyError, TypeError):
            # Not a log line of a gateway; other programs may write to the same file.
            continue
        lines.append(LogLine(timestamp_s, process, event, fields))
    return sorted(lines, key=lambda line: line.timestamp_s)


def explain(request: str, lines: list[LogLine]) -> Explanation:
    """Return the timeline of a request and the cause of its outcome."""
    request_lines = [line for line in lines if line.fields.get("request") == request]
    result = Explanation(request)
    if not request_lines:
        return result
    result.found = True
    for line in request_lines:
        result.timeline += _describe_line(line)
    last = request_lines[-1]
    context = _find_context(last, lines)
    result.timeline += [f"  near: {_format_context(line)}" for line in context]
    result.cause = _find_cause(last, request_lines, context)
    return result


def _describe_line(line: LogLine) -> list[str]:
    fields = line.fields
    prefix = f"{line.fields['timestamp']} {line.process}"
    if line.event == "request refused":
        retry = fields.get("retry_after_s")
        retry_part = "" if retry is None else f", retry after {retry} s"
        code = f"{fields['status']} {fields['code']}{retry_part}"
        return [f"  {prefix}: refused with {code}; {_format_config(fields)}"]
    if line.event == "stream lost its engine":
        return [
            f"  {prefix}: lost {fields['server']} ({fields['reason']}) after"
            f" {fields['events']} events; copy at {_format_copy(fields)};"
            f" next: {fields['next']}; repeats left {fields.get('budget_left')}"
        ]
    if line.event == WAIT_EVENT:
        return [
            f"  {prefix}: waits for {fields['server']} ({fields['silence']}) after"
            f" {fields['events']} events, {fields['left_s']} s left;"
            f" {_describe_wait(fields)}"
        ]
    if line.event == GOING_ON_EVENT:
        return [f"  {prefix}: {fields['server']} goes on after {fields['gap_s']} s"]
    if line.event in (RETURN_EVENT, GIVEN_UP_EVENT):
        server, because = fields["server"], fields["because"]
        return [f"  {prefix}: {line.event}: {server} ({because})"]
    if line.event != "request ended":
        return [f"  {prefix}: {line.event}"]
    summary = (
        f"  {prefix}: {fields['kind']} on route {fields['route']} for account"
        f" {fields['account']} to {fields['service']}; {_format_config(fields)}"
    )
    if fields.get("continues_after") is not None:
        summary += f"; a caller that came back after event {fields['continues_after']}"
    tries = [f"  {_format_try(item)}" for item in fields["tries"]]
    end = f"  ended after {fields['took_s']} s: {fields['outcome']}"
    if fields.get("first_event_s") is not None:
        end += (
            f"; first event after {fields['first_event_s']} s,"
            f" longest pause {fields['worst_gap_s']} s"
        )
    return [summary, *tries, f"{end}; status {fields['status']}"]


def _describe_wait(fields: dict) -> str:
    return WAIT_CAUSES.get(fields["waits_for"], fields["waits_for"])


def _format_copy(fields: dict) -> str:
    """Return where the copy of a lost stream is, and who else has that address."""
    copy, holder = fields.get("copy"), fields.get("copy_holder")
    if not copy:
        return "none"
    if holder is None:
        return copy
    occupants = dict(fields.get("at_copy_address") or ())
    if holder in occupants:
        return f"{copy} ({holder})"
    others = [f"{start} of {service}" for start, service in occupants.items()]
    now = f"; now {', '.join(others)}" if others else ""
    return f"{copy} ({holder}, which left{now})"


def _format_try(item: list) -> str:
    server, sent_s, ended_s, result = item
    meaning = _describe_result(result)
    return f"sent to {server} at {sent_s} s, {result} at {ended_s} s ({meaning})"


def _describe_result(result: str) -> str:
    """Return the meaning of a try's result; the text after a colon is detail."""
    return TRY_RESULT_MEANINGS.get(result.partition(":")[0], result)


def _format_config(fields: dict) -> str:
    version, age_s = fields.get("config_version"), fields.get("config_age_s")
    if version is None:
        return "no configuration"
    return f"configuration {version}, confirmed {age_s} s before"


def _find_context(last: LogLine, lines: list[LogLine]) -> list[LogLine]:
    """Return the newest lines of the same process that may explain the outcome."""
    newest: dict[tuple, LogLine] = {}
    for line in lines:
        if line.process != last.process or line.timestamp_s > last.timestamp_s:
            continue
        if line.timestamp_s < last.timestamp_s - CONTEXT_WINDOW_S:
            continue
        if line.event in STORE_EVENTS + LIFECYCLE_EVENTS:
            newest[line.event in LIFECYCLE_EVENTS, line.fields.get("feed")] = line
        service = last.fields.get("service")
        if line.event in SERVER_EVENTS and line.fields.get("service") == service:
            newest["server", line.fields.get("server")] = line
    return list(newest.values())


def _format_context(line: LogLine) -> str:
    fields = line.fields
    subject = fields.get("feed") or fields.get("server")
    subject_part = f" {subject}" if subject else ""
    reason, wait_s = fields.get("reason"), fields.get("wait_s")
    why = f" ({reason})" if reason else ""
    why += f" ({wait_s} s)" if wait_s else ""
    return f"{fields['timestamp']} {line.process}: {line.event}{subject_part}{why}"


def _find_cause(
    last: LogLine, request_lines: list[LogLine], context: list[LogLine]
) -> str:
    fields = last.fields
    if last.event == "request refused":
        return _find_refusal_cause(fields, context)
    if last.event != "request ended":
        return "the entry ended before the request did (killed, or cut off)"
    cause = OUTCOME_CAUSES.get(fields["outcome"], fields["outcome"])
    failed = [item for item in fields["tries"] if not _is_success(item[3])]
    if fields["outcome"] == "answered" and fields["status"] >= 500:
        return f"the backend server itself answered {fields['status']}"
    if failed:
        server, _, _, result = failed[-1]
        meaning = _describe_result(result)
        cause += f"; last failure: {server}, {meaning}"
    lost = [line for line in request_lines if line.event == "stream lost its engine"]
    if fields["outcome"] == "stream_cut" and lost:
        cause += f"; {_find_end_reason(lost[-1].fields)}"
    if fields["outcome"] in ("stream_cut", "timeout"):
        last_server = fields["tries"][-1][0] if fields["tries"] else ""
        cause += _find_wait_cause(last_server, request_lines)
    if (
        any(line.event == "draining" for line in context)
        and fields["outcome"] == "open"
    ):
        cause += "; the entry was draining"
    return cause


def _find_wait_cause(last_server: str, request_lines: list[LogLine]) -> str:
    """Return why a stream stayed at its last engine, "" unless that was silent."""
    events = (WAIT_EVENT, GOING_ON_EVENT)
    waits = [line for line in request_lines if line.event in events]
    if not waits or waits[-1].event == GOING_ON_EVENT:
        return ""
    fields = waits[-1].fields
    if fields["server"] != last_server:
        return ""
    return f"; it waited for {fields['server']}: {_describe_wait(fields)}"


def _find_refusal_cause(fields: dict, context: list[LogLine]) -> str:
    if fields["code"] != "stale_config":
        return REFUSAL_CAUSES.get(fields["code"], fields.get("message", fields["code"]))
    lost = [line for line in context if line.event == "store lost"]
    reason_part = f": store lost, {lost[-1].fields.get('reason')}" if lost else ""
    return f"the entry's configuration was not confirmed lately{reason_part}"


def _find_end_reason(fields: dict) -> str:
    cause = END_CAUSES.get(fields.get("ended_by"))
    if cause is not None and fields["left_s"] > 0:
        return cause
    if fields["left_s"] <= 0:
        return "no time was left"
    if fields.get("budget_left", 1) < 1:
        return "the retry budget was used up"
    return "no further attempt was allowed"


def _is_success(result: str) -> bool:
    return result == "complete" or (result.isdigit() and int(result) < 500)
