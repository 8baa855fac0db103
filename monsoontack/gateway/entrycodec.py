"""JSON messages of entries: limits, permits, crashes and leaving servers.

`MAX_LIFETIMES` and the ranges of numbers bound what a message of a faulty entry can do.
"""

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from monsoontack.admission.crashrecords import (
    MAX_CRASHES,
    MAX_REQUESTS,
    MAX_REQUESTS_PER_CRASH,
    NO_NEWS,
    CrashNews,
)
from monsoontack.admission.leavingservers import MAX_RECORDS as MAX_LEAVING
from monsoontack.admission.permits import (
    PERMIT_LIFETIME_S,
    PermitGrant,
    PermitReport,
)
from monsoontack.admission.requestcontent import MAX_PARTS, RequestContent
from monsoontack.admission.statedlimits import (
    MAX_RATE_PER_S,
    MAX_RECORDS,
    MAX_VERSION,
    MIN_RATE_PER_S,
    LimitRecord,
)

# Permits of one server in a message: those of the highest limit in one lifetime.
MAX_LIFETIMES = int(MAX_RATE_PER_S * PERMIT_LIFETIME_S)
MAX_ENTRIES = 100_000
LIFETIME_DIGITS = 3
# Ages of crash records in seconds; entries forget them far earlier.
MAX_AGE_S = 1e6
# Parts of all requests in the records of one message.
MAX_PART_RECORDS = 2 * MAX_REQUESTS
# Entries of former versions refuse messages with more requests of a crash. The others
# are in a field of their own, which they ignore.
MAX_REQUESTS_IN_CRASH_ROW = 64


@dataclass(frozen=True, slots=True)
class EntryMessage:
    """A message or its answer.

    `boot` identifies the sender's process and `number` its newest change of a record;
    `limits`, `crashes` and `leaving`, the starts of leaving servers by name, are what
    changed after the sender's change `since`.
    `seen_boot` and `seen_number` name the receiver's newest change that the sender has
    got. A message to a parent has a `report`, the answer to it a `grant`.
    """

    name: str
    boot: str
    number: int
    since: int
    limits: Mapping[str, LimitRecord]
    seen_boot: str
    seen_number: int
    crashes: CrashNews = NO_NEWS
    leaving: Mapping[str, int] = field(default_factory=dict)
    report: PermitReport | None = None
    grant: PermitGrant | None = None


def encode_message(message: EntryMessage) -> bytes:
    """Return the JSON document of a message."""
    document = {
        "name": message.name,
        "boot": message.boot,
        "number": message.number,
        "since": message.since,
        "seen": [message.seen_boot, message.seen_number],
        "news": {k: [r.version, r.rate] for k, r in message.limits.items()},
    }
    if message.crashes.crashes:
        document["crashes"] = {
            server: [round(age_s, 3), _request_rows(found[:MAX_REQUESTS_IN_CRASH_ROW])]
            for server, (age_s, found) in message.crashes.crashes.items()
        }
        document["more"] = {
            server: _request_rows(found[MAX_REQUESTS_IN_CRASH_ROW:])
            for server, (_, found) in message.crashes.crashes.items()
            if len(found) > MAX_REQUESTS_IN_CRASH_ROW
        }
    if message.crashes.parts:
        document["parts"] = {
            part: [None if age_s is None else round(age_s, 3) for age_s in ages]
            for part, ages in message.crashes.parts.items()
        }
    if message.leaving:
        document["leaving"] = dict(message.leaving)
    report, grant = message.report, message.grant
    if report is not None:
        wants = {key: round(want, 2) for key, want in report.wants.items()}
        document["report"] = [report.is_attached, report.size, wants]
    if grant is not None:
        # Rounded down, since a permit must not live longer than its grantor counts.
        scale = 10**LIFETIME_DIGITS
        lifetimes = {
            key: [math.floor(x * scale) / scale for x in values]
            for key, values in grant.lifetimes.items()
        }
        waits = {key: round(wait_s, 2) for key, wait_s in grant.waits.items()}
        document["grant"] = [lifetimes, waits]
    return json.dumps(document, separators=(",", ":")).encode()


def decode_message(body: bytes) -> EntryMessage:
    """Return the message of a JSON document; raise ValueError if it is malformed."""
    try:
        document = json.loads(body)
        seen_boot, seen_number = document["seen"]
        return EntryMessage(
            name=_text(document["name"]),
            boot=_text(document["boot"]),
            number=_count(document["number"], MAX_VERSION),
            since=_count(document["since"], MAX_VERSION),
            limits=_decode_limits(document["news"]),
            crashes=CrashNews(
                _decode_crashes(document.get("crashes", {}), document.get("more", {})),
                _decode_parts(document.get("parts", {})),
            ),
            leaving=_decode_leaving(document.get("leaving", {})),
            seen_boot=_text(seen_boot),
            seen_number=_count(seen_number, MAX_VERSION),
            report=_decode_report(document["name"], document.get("report")),
            grant=_decode_grant(document.get("grant")),
        )
    except (
        KeyError,
        TypeError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise ValueError(repr(error)) from error


def _request_rows(requests: tuple[RequestContent, ...]) -> list:
    return [[request.account, list(request.parts)] for request in requests]


def _decode_crashes(
    rows: dict, more: dict
) -> dict[str, tuple[float, tuple[RequestContent, ...]]]:
    if len(rows) > MAX_CRASHES:
        raise ValueError(f"{len(rows)} crashes")
    crashes = {}
    for server, (age_s, requests) in rows.items():
        requests = [*requests, *more.get(server, ())]
        if len(requests) > MAX_REQUESTS_PER_CRASH:
            raise ValueError(f"{len(requests)} requests of a crash")
        found = tuple(_decode_request(account, parts) for account, parts in requests)
        crashes[_text(server)] = (_number(age_s, 0.0, MAX_AGE_S), found)
    return crashes


def _decode_request(account: str, parts: list) -> RequestContent:
    if not isinstance(parts, list) or len(parts) > MAX_PARTS:
        raise ValueError(f"no parts of a request: {parts!r:.40}")
    return RequestContent(_text(account), tuple(_text(part) for part in parts))


def _decode_parts(rows: dict) -> dict[str, tuple[float | None, float | None]]:
    if len(rows) > MAX_PART_RECORDS:
        raise ValueError(f"{len(rows)} parts of requests")
    return {
        _text(part): (_age(sound_age_s), _age(trial_age_s))
        for part, (sound_age_s, trial_age_s) in rows.items()
    }


def _age(value: object) -> float | None:
    return None if value is None else _number(value, 0.0, MAX_AGE_S)


def _decode_limits(rows: dict) -> dict[str, LimitRecord]:
    if len(rows) > MAX_RECORDS:
        raise ValueError(f"{len(rows)} limits")
    news = {}
    for key, (version, rate) in rows.items():
        if rate is not None:
            rate = _number(rate, MIN_RATE_PER_S, MAX_RATE_PER_S)
        news[_text(key)] = LimitRecord(_count(version, MAX_VERSION), rate)
    return news


def _decode_leaving(rows: dict) -> dict[str, int]:
    if len(rows) > MAX_LEAVING:
        raise ValueError(f"{len(rows)} leaving servers")
    return {_text(name): _count(ms, MAX_VERSION) for name, ms in rows.items()}


def _decode_report(name: str, row: list | None) -> PermitReport | None:
    if row is None:
        return None
    is_attached, size, wants = row
    found = {_text(k): _number(w, 0.0, math.inf) for k, w in wants.items()}
    return PermitReport(name, is_attached is True, _count(size, MAX_ENTRIES), found)


def _decode_grant(row: list | None) -> PermitGrant | None:
    if row is None:
        return None
    rows, waits = row
    lifetimes = {}
    for key, values in rows.items():
        if len(values) > MAX_LIFETIMES:
            raise ValueError(f"{len(values)} permits")
        lifetimes[_text(key)] = tuple(
            _number(value, 0.0, PERMIT_LIFETIME_S) for value in values
        )
    found = {_text(k): _number(w, 0.0, math.inf) for k, w in waits.items()}
    return PermitGrant(lifetimes, found)


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError(f"no text: {value!r:.40}")
    # Lone surrogates raise UnicodeEncodeError, a ValueError.
    value.encode()
    return value


def _count(value: object, most: int) -> int:
    if type(value) is not int or not 0 <= value <= most:
        raise ValueError(f"no count: {value!r:.40}")
    return value


def _number(value: object, least: float, most: float) -> float:
    if type(value) not in (int, float) or not least <= value <= most:
        raise ValueError(f"number out of range: {value!r:.40}")
    if not math.isfinite(value):
        raise ValueError("number without end")
    return float(value)
