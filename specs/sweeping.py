"""Model of the removal of chunks that no head references.

Two processes may each believe that they hold the lease. A process seals the
head with its epoch; it then writes the chunk and publishes a head that uses it
or one that does not; and it sweeps: it lists the chunk, reads the head, and
sends a conditional removal that takes effect at any later time. The grace time
of the code is left out, so the model does not depend on clocks.

Bound of the state space: 2 processes, 3 lease epochs, 1 chunk that is used, given
up and used again, 3 publications, 2 removals in flight. The tests sweep all of
its 36,601 states. `Variant` breaks the design on purpose.
"""

from dataclasses import dataclass

from minicheck import Protocol

MAX_EPOCH = 3
MAX_PUBLICATIONS = 3
MAX_FLIGHTS = 2
FIELDS = (
    "version",  # of the head object
    "epoch",  # in the head
    "used",  # whether the head references the chunk
    "publications",
    "chunk",  # version of the chunk, 0 if it is absent
    "last",  # last version of the chunk; versions rise across removal
    "granted",
    "processes",  # (phase, epoch, head version, chunk version that was listed)
    "removals",  # versions for which a conditional removal is in flight
)


@dataclass(frozen=True)
class Variant:
    """Parts of the design; a test switches one off and expects a counterexample."""

    touches: bool = True
    rereads: bool = True


def make_protocol(variant: Variant = Variant()) -> Protocol:
    """Return the model with its invariant."""
    processes = (("out", 0, 0, 0),) * 2
    return Protocol(
        name="sweeping",
        candidate=False,
        fields=FIELDS,
        initial=(1, 0, True, 0, 1, 1, 0, processes, ()),
        transitions=lambda state: list(transitions(state, variant)),
        invariants={"used_chunk_exists": lambda d: d["chunk"] or not d["used"]},
    )


def transitions(state, variant: Variant):
    """Yield every step as (label, next state)."""
    d = dict(zip(FIELDS, state, strict=True))
    for index in range(len(d["processes"])):
        yield from _process_steps(d, index, variant)
    for version in sorted(set(d["removals"])):
        rest = list(d["removals"])
        rest.remove(version)
        chunk = 0 if d["chunk"] == version else d["chunk"]
        yield _next(d, f"removal of {version}", removals=tuple(rest), chunk=chunk)
        yield _next(d, f"lose removal of {version}", removals=tuple(rest))


def _next(d, label: str, **changes):
    return label, tuple({**d, **changes}[name] for name in FIELDS)


def _process_steps(d, index: int, variant: Variant):
    phase, epoch, version, listed = d["processes"][index]

    def moved(label: str, *process, **changes):
        processes = (*d["processes"][:index], process, *d["processes"][index + 1 :])
        return _next(d, f"{label} by {index}", processes=processes, **changes)

    if d["granted"] < MAX_EPOCH:
        granted = d["granted"] + 1
        yield moved("grant", "read", granted, 0, 0, granted=granted)
    if phase == "read" and d["epoch"] < epoch:
        sealed = d["version"] + 1
        yield moved("seal", "ready", epoch, sealed, 0, version=sealed, epoch=epoch)
    elif phase == "read" and d["epoch"] == epoch:
        yield moved("read", "ready", epoch, d["version"], 0)
    elif phase == "ready":
        if d["publications"] < MAX_PUBLICATIONS:
            yield _write_chunk(d, variant, epoch, version, moved)
            yield _publish(d, False, epoch, version, moved)
        if d["chunk"]:
            yield moved("list", "listed", epoch, version, d["chunk"])
    elif phase == "written":
        yield _publish(d, True, epoch, version, moved)
    elif phase == "listed":
        yield from _sweep(d, variant, epoch, version, listed, moved)


def _write_chunk(d, variant: Variant, epoch: int, version: int, moved):
    if d["used"] and d["version"] == version:
        return moved("keep chunk", "written", epoch, version, 0)
    if d["chunk"] and not variant.touches:
        return moved("find chunk", "written", epoch, version, 0)
    last = d["last"] + 1
    return moved("write chunk", "written", epoch, version, 0, chunk=last, last=last)


def _publish(d, used: bool, epoch: int, version: int, moved):
    if d["version"] != version:
        return moved("conflict", "read", epoch, 0, 0)
    changes = {"version": version + 1, "publications": d["publications"] + 1}
    label = "use" if used else "give up"
    return moved(label, "read", epoch, 0, 0, used=used, **changes)


def _sweep(d, variant: Variant, epoch: int, version: int, listed: int, moved):
    if variant.rereads and d["version"] != version:
        yield moved("head changed", "read", epoch, 0, 0)
    elif d["used"]:
        yield moved("in use", "read", epoch, 0, 0)
    elif len(d["removals"]) < MAX_FLIGHTS:
        removals = tuple(sorted((*d["removals"], listed)))
        yield moved("remove", "read", epoch, 0, 0, removals=removals)
