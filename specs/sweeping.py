"""Model of the removal of chunks that the published head does not reference.

Each of two processes may believe that it holds the lease. A process seals the
head with its epoch. It then writes the chunk and publishes a head that references
it, or publishes a head that does not. It also sweeps: it lists the chunk, reads
the head, and sends a conditional removal that takes effect at any later time. The
grace time of the implementation is left out, so the model does not depend on
clocks.

Bounds: 2 processes, 3 lease epochs, 1 chunk that is referenced, dropped and
referenced again, 3 publications, 2 removals in flight. The tests search all
36,601 states. A `Variant` disables one safeguard of the design.
"""

from dataclasses import dataclass

from minicheck import Protocol

MAX_EPOCH = 3
MAX_PUBLICATIONS = 3
MAX_REMOVALS_IN_FLIGHT = 2
FIELDS = (
    "version",  # of the head object
    "epoch",  # in the head
    "used",  # whether the head references the chunk
    "publications",
    "chunk",  # version of the chunk, 0 if it is absent
    "last",  # last version of the chunk; versions keep rising across a removal
    "granted",
    "processes",  # (phase, epoch, head version, chunk version that was listed)
    "removals",  # chunk versions whose conditional removal is in flight
)


@dataclass(frozen=True)
class Variant:
    """Safeguards; a test disables one and expects a counterexample."""

    touches: bool = True  # rewrites an existing chunk, so that old removals fail
    rereads: bool = True  # checks that the head is unchanged before a removal


def make_protocol(variant: Variant = Variant()) -> Protocol:
    """Return the model with its invariant."""
    processes = (("out", 0, 0, 0),) * 2
    return Protocol(
        name="sweeping",
        candidate=False,
        fields=FIELDS,
        initial=(1, 0, True, 0, 1, 1, 0, processes, ()),
        transitions=lambda state: list(transitions(state, variant)),
        invariants={
            "used_chunk_exists": lambda fields: fields["chunk"] or not fields["used"]
        },
    )


def transitions(state, variant: Variant):
    """Yield each transition as (label, next state)."""
    fields = dict(zip(FIELDS, state, strict=True))
    for index in range(len(fields["processes"])):
        yield from _process_steps(fields, index, variant)
    for version in sorted(set(fields["removals"])):
        rest = list(fields["removals"])
        rest.remove(version)
        chunk = 0 if fields["chunk"] == version else fields["chunk"]
        yield _successor(
            fields, f"removal of {version}", removals=tuple(rest), chunk=chunk
        )
        yield _successor(fields, f"lose removal of {version}", removals=tuple(rest))


def _successor(fields, label: str, **changes):
    return label, tuple({**fields, **changes}[name] for name in FIELDS)


def _process_steps(fields, index: int, variant: Variant):
    phase, epoch, version, listed = fields["processes"][index]

    def process_step(label: str, *process, **changes):
        processes = (
            *fields["processes"][:index],
            process,
            *fields["processes"][index + 1 :],
        )
        return _successor(fields, f"{label} by {index}", processes=processes, **changes)

    if fields["granted"] < MAX_EPOCH:
        granted = fields["granted"] + 1
        yield process_step("grant", "read", granted, 0, 0, granted=granted)
    if phase == "read" and fields["epoch"] < epoch:
        sealed = fields["version"] + 1
        yield process_step(
            "seal", "ready", epoch, sealed, 0, version=sealed, epoch=epoch
        )
    elif phase == "read" and fields["epoch"] == epoch:
        yield process_step("read", "ready", epoch, fields["version"], 0)
    elif phase == "ready":
        if fields["publications"] < MAX_PUBLICATIONS:
            yield _write_chunk(fields, variant, epoch, version, process_step)
            yield _publish(fields, False, epoch, version, process_step)
        if fields["chunk"]:
            yield process_step("list", "listed", epoch, version, fields["chunk"])
    elif phase == "written":
        yield _publish(fields, True, epoch, version, process_step)
    elif phase == "listed":
        yield from _sweep(fields, variant, epoch, version, listed, process_step)


def _write_chunk(fields, variant: Variant, epoch: int, version: int, process_step):
    if fields["used"] and fields["version"] == version:
        return process_step("keep chunk", "written", epoch, version, 0)
    if fields["chunk"] and not variant.touches:
        return process_step("find chunk", "written", epoch, version, 0)
    last = fields["last"] + 1
    return process_step(
        "write chunk", "written", epoch, version, 0, chunk=last, last=last
    )


def _publish(fields, used: bool, epoch: int, version: int, process_step):
    if fields["version"] != version:
        return process_step("conflict", "read", epoch, 0, 0)
    changes = {"version": version + 1, "publications": fields["publications"] + 1}
    label = "use" if used else "give up"
    return process_step(label, "read", epoch, 0, 0, used=used, **changes)


def _sweep(
    fields, variant: Variant, epoch: int, version: int, listed: int, process_step
):
    if variant.rereads and fields["version"] != version:
        yield process_step("head changed", "read", epoch, 0, 0)
    elif fields["used"]:
        yield process_step("in use", "read", epoch, 0, 0)
    elif len(fields["removals"]) < MAX_REMOVALS_IN_FLIGHT:
        removals = tuple(sorted((*fields["removals"], listed)))
        yield process_step("remove", "read", epoch, 0, 0, removals=removals)
