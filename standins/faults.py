"""Faults that `POST /faults` sets on a simulated engine or service.

The body `{"faults": [...]}` replaces the faults in force; an empty list ends all
faults and releases the requests that they hold. Fields of a fault:

* `kind`: `die` (the process sends itself SIGKILL), `pause` (the process sends itself
  SIGSTOP), `hold` (no progress until the faults are replaced), `silent` (the request
  makes no further progress), `fail` (status 500 at the start of the request, a broken
  connection later), `late` (a delay of `delay_s` before the first output), `slow` (a
  delay of `delay_s` before each token), `lose_answer` (the request runs, then the
  connection breaks);
* `at_position`: token position before which the fault occurs (default: at the start
  of the request); services have position 0 only;
* `route` (`completions`, `chat`, or a path of a service), `version`: limit the fault
  to this route or version;
* `above_running`: the fault occurs only while more than this many requests run;
* `share`, `seed`: the fault affects only this share of the requests, selected by a
  generator with this seed;
* `count`: maximum number of occurrences (0 means no limit).

`GET /faults` returns the faults; `struck` is the number of occurrences of each.
"""

import asyncio
import os
import random
import signal
from dataclasses import asdict, dataclass, field, fields

KINDS = ("die", "pause", "hold", "silent", "fail", "late", "slow", "lose_answer")


class RequestFailedError(Exception):
    """The fault `fail` occurred for this request."""


@dataclass(slots=True)
class Fault:
    """One fault in force; the module docstring describes the fields."""

    kind: str
    at_position: int | None = None
    route: str = ""
    version: str = ""
    above_running: int = 0
    share: float = 1.0
    seed: int = 0
    count: int = 0
    delay_s: float = 0.0
    struck: int = 0

    def matches(self, route: str, version: str, running: int) -> bool:
        """Return whether the fault applies to such a request at this load."""
        if self.count and self.struck >= self.count:
            return False
        if running <= self.above_running and self.above_running:
            return False
        return self.route in ("", route) and self.version in ("", version)


@dataclass(slots=True)
class FaultSet:
    """All faults in force, each with a random generator for its share."""

    faults: list[Fault] = field(default_factory=list)
    randoms: list[random.Random] = field(default_factory=list)
    released: asyncio.Event = field(default_factory=asyncio.Event)

    def replace(self, document: dict) -> list[str]:
        """Replace the faults with a `/faults` body; return its errors."""
        known = {item.name for item in fields(Fault)} - {"struck"}
        errors = []
        for number, values in enumerate(document.get("faults", [])):
            for name in sorted(set(values) - known):
                errors.append(f"faults.{number}.{name}: unknown field")
            if values.get("kind") not in KINDS:
                errors.append(f"faults.{number}.kind: must be one of {KINDS}")
        if errors:
            return errors
        self.faults = [Fault(**values) for values in document.get("faults", [])]
        self.randoms = [random.Random(fault.seed) for fault in self.faults]
        self.released.set()
        self.released = asyncio.Event()
        return []

    def describe(self) -> dict:
        """Return the body of `GET /faults`."""
        return {"faults": [asdict(fault) for fault in self.faults]}

    def select_faults(self, route: str, version: str) -> list[Fault]:
        """Return the faults that may affect a new request, selected by their shares."""
        selected = []
        for fault, rng in zip(self.faults, self.randoms, strict=True):
            if fault.route in ("", route) and fault.version in ("", version):
                if rng.random() < fault.share:
                    selected.append(fault)
        return selected


async def inject_fault(faults: FaultSet, fault: Fault) -> None:
    """Inject one fault; raise RequestFailedError for `fail`."""
    fault.struck += 1
    if fault.kind == "die":
        os.kill(os.getpid(), signal.SIGKILL)
    elif fault.kind == "pause":
        os.kill(os.getpid(), signal.SIGSTOP)
    elif fault.kind == "hold":
        await faults.released.wait()
    elif fault.kind == "silent":
        await asyncio.Event().wait()
    elif fault.kind == "fail":
        raise RequestFailedError
    elif fault.kind in ("late", "slow"):
        await asyncio.sleep(fault.delay_s)


async def inject_faults(
    faults: FaultSet,
    selected: list[Fault],
    position: int | None,
    route: str,
    version: str,
    running: int,
) -> None:
    """Inject the selected faults that are due before `position`.

    `position` is None at the start of a request. Faults that were replaced after the
    request began are skipped.
    """
    for fault in selected:
        due = fault.at_position == position
        if fault.kind == "slow":
            due = position is not None and position >= (fault.at_position or 0)
        if not due or fault.kind == "lose_answer":
            continue
        in_force = any(fault is other for other in faults.faults)
        if in_force and fault.matches(route, version, running):
            await inject_fault(faults, fault)


class FaultsResource:
    """`POST` and `GET /faults`."""

    def __init__(self, faults: FaultSet) -> None:
        self.faults = faults

    async def on_post(self, request, response) -> None:
        """Replace the faults in force."""
        errors = self.faults.replace(await request.get_media())
        response.media = {"errors": errors} if errors else self.faults.describe()
        response.status = 400 if errors else 200

    async def on_get(self, request, response) -> None:
        """Return the faults in force."""
        response.media = self.faults.describe()
