"""Revisions of a store that may come back from a copy.

A store that is restored loses its latest writes, and gives their revisions out again.
It states an era that rises each time. Inside of this project a revision therefore holds
the era before the store's own number, so that revisions only increase, and a number
given out again is another revision.
"""

# The store's own numbers stay below this: at 3,200 writes a second for 2,700 years.
ERA_FACTOR = 2**48
# Eras that fit into a revision of 63 bits, as JSON numbers of peers have.
MAX_ERA = 2**15 - 1
# Fencing epochs that a lease can give out in one era.
EPOCHS_PER_ERA = 2**32


def join_revision(era: int, number: int) -> int:
    """Return the revision for the store's own number in an era.

    A number of 0, which stands for no revision, stays 0.
    """
    return era * ERA_FACTOR + number if number else 0


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision // ERA_FACTOR


def number_of(revision: int) -> int:
    """Return the store's own number of a revision."""
    return revision % ERA_FACTOR
