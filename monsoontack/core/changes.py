"""Numbers for the changes of data that entries exchange."""

from dataclasses import dataclass


@dataclass(slots=True, repr=False)
class ChangeCounter:
    """Counts the changes of one or several tables in their order.

    An entry sends a neighbour the records whose last change has a higher number than
    the newest one that the neighbour has acknowledged.
    """

    count: int = 0

    def next(self) -> int:
        """Return the number of a new change."""
        self.count += 1
        return self.count
