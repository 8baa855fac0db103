"""Faults that `POST /faults` sets on an engine or service stand-in.

The body is `{"faults": [...]}` and replaces the faults in force; an empty list
ends them and releases what they hold. Fields of a fault:

* `kind`: `die` (SIGKILL to itself), `pause` (SIGSTOP to itself), `hold` (no
  progress until the faults are replaced), `silent` (this request makes no
  further progress), `fail` (status 500 at the start, a broken connection
  later), `late` (`delay_s` before the first output), `slow` (`delay_s` before
  each token), `lose_answer` (runs the request, then breaks the connection);
* `at_position`: token position before which the fault strikes (default: at the
  start of the request); services have position 0 only;
* `route` (`completions`, `chat`, or a path of a service), `version`: only these;
* `above_running`: only while more than this many requests run;
* `share`, `seed`: only this share of the requests, drawn from the seed;
* `count`: strikes at most this often (0 means without limit).

`GET /faults` returns the faults with `struck`, how often each has struck.
"""

import asyncio
import os
import random
import signal
from dataclasses import asdict, dataclass, field, fields

KINDS = ("die", "pause", "hold", "silent", "fail", "late", "slow", "lose_answer")


class RequestFailedError(Exception):
    """The fault `fail` struck this request."""


@dataclass(slots=True)
class Fault:
    """One fault in force; the module describes the fields."""

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
        """Return whether a request of this kind is struck at this load."""
        if self.count and self.struck >= self.count:
            return False
        if running <= self.above_running and self.above_running:
            return False
        return self.route in ("", route) and self.version in ("", version)


@dataclass(slots=True)
class FaultSet:
    """All faults in force, with the random choices for their shares."""

    faults: list[Fault] = field(default_factory=list)
    randoms: list[random.Random] = field(default_factory=list)
    released: asyncio.Event = field(default_factory=asyncio.Event)

    def replace(self, document: dict) -> list[str]:
        """Put the faults of a `/faults` body in force; return what is wrong."""
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

    def draw(self, route: str, version: str) -> list[Fault]:
        """Return the faults that may strike a new request, by their shares."""
        drawn = []
        for fault, rng in zip(self.faults, self.randoms, strict=True):
            if fault.route in ("", route) and fault.version in ("", version):
                if rng.random() < fault.share:
                    drawn.append(fault)
        return drawn


async def strike(faults: FaultSet, fault: Fault) -> None:
    """Carry out one fault; raise RequestFailedError for `fail`."""
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


async def reach(
    faults: FaultSet,
    drawn: list[Fault],
    position: int | None,
    route: str,
    version: str,
    running: int,
) -> None:
    """Carry out the drawn faults that strike before `position`.

    `position` is None at the start of a request. Faults that were replaced
    since the request began no longer strike.
    """
    for fault in drawn:
        due = fault.at_position == position
        if fault.kind == "slow":
            due = position is not None and position >= (fault.at_position or 0)
        if not due or fault.kind == "lose_answer":
            continue
        in_force = any(fault is other for other in faults.faults)
        if in_force and fault.matches(route, version, running):
            await strike(faults, fault)


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
