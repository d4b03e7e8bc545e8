"""What one unit costs: a slope, with where it comes from, the sizes it was looked at, and how well it fits.

A slope of basis RUN names a result file under docs/scale/ and holds the value that stands there, to four
digits.
"""

from dataclasses import dataclass
from enum import StrEnum

SIGNIFICANT_DIGITS = 4  # that a slope keeps of what a run told


class Basis(StrEnum):
    """Where a slope comes from."""

    RUN = "run"  # a result file under docs/scale/
    PAGE = "page"  # a run that another page of this repository tells
    ENCODED = "encoded"  # counted from messages that the program's own code writes
    ASSUMED = "assumed"  # no run


class Kind(StrEnum):
    """What a slope takes from a result file."""

    SLOPE = "slope"  # of the line
    INTERCEPT = "intercept"  # of the line
    MEDIAN = "median"  # of the repeats at one size
    VALUE = "value"  # a figure without sizes
    ROW = "row"  # a column of one row


@dataclass(frozen=True, slots=True)
class Row:
    """A row of a result file: so many couriers under a load."""

    couriers: int
    load: str


@dataclass(frozen=True, slots=True)
class Run:
    """A result file and the figure in it: the slope or intercept of its line, its median at one size, its
    plain value, or the column of that name in one row. `revision` is named where the command is gone: there
    it still is."""

    file: str
    figure: str
    command: str
    kind: Kind = Kind.SLOPE
    at_size: float = 0.0  # of a median
    factor: float = 1.0  # from its unit to the slope's
    row: Row | None = None
    revision: str = ""

    def told(self) -> str:
        """The command as the page names it."""
        return f"`{self.command}`" + (f" of revision {self.revision}" if self.revision else "")


@dataclass(frozen=True, slots=True)
class Slope:
    """A cost a unit. `sizes` are those looked at, `residual` a share of the mean; `why` says what stands
    behind it."""

    name: str
    value: float
    unit: str
    basis: Basis
    why: str
    sizes: tuple[float, ...] = ()
    residual: float | None = None
    run: Run | None = None
