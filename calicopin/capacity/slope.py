"""Unit costs ("slopes") with their source, the sizes they were measured at and the residual of the fit.

A slope with basis RUN names a result file under docs/scale/ and holds the value recorded there, rounded to
four significant digits.
"""

from dataclasses import dataclass
from enum import StrEnum

SIGNIFICANT_DIGITS = 4  # of a recorded value, kept in a slope


class Basis(StrEnum):
    """Source of a slope."""

    RUN = "run"  # a result file under docs/scale/
    PAGE = "page"  # a run reported in another page under docs/
    ENCODED = "encoded"  # size of messages encoded by the program's own code
    ASSUMED = "assumed"  # not measured


class Kind(StrEnum):
    """Which value of a result file a slope uses."""

    SLOPE = "slope"  # of the fitted line
    INTERCEPT = "intercept"  # of the fitted line
    MEDIAN = "median"  # of the repeats at one size
    VALUE = "value"  # a single figure without sizes
    ROW = "row"  # one column of one row


@dataclass(frozen=True, slots=True)
class Row:
    """Selects a row of a result file by the number of couriers and the name of the load."""

    couriers: int
    load: str


@dataclass(frozen=True, slots=True)
class Run:
    """A figure in a result file and the command that produced it.

    `kind` says which value of the figure is used. `revision` is set if the program no longer has the command,
    and names the last revision that does.
    """

    file: str
    figure: str
    command: str
    kind: Kind = Kind.SLOPE
    at_size: float = 0.0  # size at which the median is taken
    factor: float = 1.0  # converts the figure's unit to the slope's unit
    row: Row | None = None
    revision: str = ""

    def described_command(self) -> str:
        """Returns the command as printed in the page."""
        return f"`{self.command}`" + (f" of revision {self.revision}" if self.revision else "")


@dataclass(frozen=True, slots=True)
class Slope:
    """A cost per unit.

    `sizes` are the measured sizes, `residual` is a share of the mean, `note` states the conditions of the
    measurement or the source.
    """

    name: str
    value: float
    unit: str
    basis: Basis
    note: str
    sizes: tuple[float, ...] = ()
    residual: float | None = None
    run: Run | None = None
