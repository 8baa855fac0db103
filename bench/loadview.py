"""Age and error of what gateways know of each other, at 31, 68 and 390 gateways.

See `bench.loadviewmodel`. `start.age` is the time until a peer knows of a run, `error`
the root of the mean square difference between believed and true runs of the engines
that a gateway uses, `first_event` the wait at the engine. `groups` is the product's
rule; `former` the rule before it, by which a gateway told 32 others and took the rest
for idle, with starts of runs at the rate of all messages.
"""

import logging
import random
from collections.abc import Iterator

import structlog

from bench.loadviewmodel import LoadModel, ViewFigures
from bench.registry import Figure, measurement
from monsoontack.core.virtualtime import run_in_virtual_time

MEASURED_S = {31: 20.0, 68: 20.0, 390: 6.0}
# With 100 messages a second to 32 peers, a message is at most 0.32 s late.
MAX_MEAN_AGE_S, MAX_MESSAGES_PER_S = 0.1, 100.0


def percentile(values: list[float], share: float) -> float:
    """Return a percentile of unsorted values, 0 without any."""
    return sorted(values)[int(share * (len(values) - 1))] if values else 0.0


def root_mean_square(values: list[float]) -> float:
    """Return the root of the mean square, 0 without values."""
    return (sum(v * v for v in values) / max(len(values), 1)) ** 0.5


def simulate(count: int, rule: str, seed: int, measured_s: float) -> ViewFigures:
    """Return the figures of a fleet under a rule."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    is_former = rule == "former"
    model = LoadModel(
        count, "idle" if is_former else rule, random.Random(seed), not is_former
    )
    return run_in_virtual_time(model.run(measured_s))


@measurement("loadview")
def measure(seed: int) -> Iterator[Figure]:
    """Compare the product's rule with others; 390 gateways take minutes each."""
    for count, measured_s in MEASURED_S.items():
        for rule in ("groups", "former", "scaled", "tree"):
            found = simulate(count, rule, seed, measured_s)
            name, each = f"loadview.{rule}.{count}", count * measured_s
            age_s = sum(found.start_ages_s) / max(len(found.start_ages_s), 1)
            messages = found.messages / each
            if rule == "groups":
                yield Figure.at_most(f"{name}.start.age", age_s, "s", MAX_MEAN_AGE_S)
                figure = f"{name}.messages"
                yield Figure.at_most(figure, messages, "/s", MAX_MESSAGES_PER_S)
            else:
                yield Figure(f"{name}.start.age", age_s, "s")
                yield Figure(f"{name}.messages", messages, "/s")
            yield Figure(f"{name}.error", root_mean_square(found.errors), "runs")
            yield Figure(f"{name}.bytes", found.message_bytes / each, "B/s")
            wait_s = percentile(found.waits_s, 0.95)
            yield Figure(f"{name}.first_event.p95", wait_s, "s")
