"""A figure of the model: its formula, its value, and how far it extrapolates beyond the measured sizes.

No I/O.
"""

from dataclasses import dataclass
from enum import StrEnum

from calicopin.capacity.slope import Basis, Slope


class Unit(StrEnum):
    """Units of figures; `format_value` scales them to a readable magnitude."""

    BYTES = "B"
    BYTES_A_SECOND = "B/s"
    SECONDS = "s"
    CORES = "core"
    COUNT = ""
    A_SECOND = "/s"
    SHARE = "share"


@dataclass(frozen=True, slots=True)
class Use:
    """A slope and the size at which a formula uses it."""

    slope: Slope
    size: float = 0.0

    @property
    def extrapolation(self) -> float:
        """The size over the largest measured size; 1 if it lies within the measured sizes or has none."""
        largest = max(self.slope.sizes, default=0.0)
        return max(1.0, self.size / largest) if largest else 1.0


@dataclass(frozen=True, slots=True)
class Figure:
    """One computed number of the page.

    `uses` lists the slopes in its formula, `assumes` the assumed inputs (fields of `Shape` and others). A
    figure with neither is computed from the users' numbers and constants of the program alone.
    """

    name: str
    formula: str
    value: float
    unit: Unit
    uses: tuple[Use, ...] = ()
    assumes: tuple[str, ...] = ()

    def basis(self) -> str:
        """Says in a few words how the value is known; the weakest of its slopes decides."""
        if not self.uses:
            return "assumed" if self.assumes else "given"
        return self._basis_of_slopes() + ("; shape assumed" if self.assumes else "")

    def _basis_of_slopes(self) -> str:
        bases = {use.slope.basis for use in self.uses}
        if Basis.ASSUMED in bases:
            return "assumed"
        extrapolation = max(use.extrapolation for use in self.uses)
        if extrapolation > 1.0:
            return f"extrapolated {format_number(extrapolation)} times"
        return "counted" if bases == {Basis.ENCODED} else "measured"

    def formatted(self) -> str:
        """Returns the value with its unit in a readable magnitude."""
        return format_value(self.value, self.unit)


UNIT_SCALES = {
    Unit.BYTES: ((1e9, "GB"), (1e6, "MB"), (1e3, "kB"), (1.0, "B")),
    Unit.BYTES_A_SECOND: ((1e9, "GB/s"), (1e6, "MB/s"), (1e3, "kB/s"), (1.0, "B/s")),
    Unit.SECONDS: ((172_800.0, "days"), (3600.0, "h"), (1.0, "s"), (1e-3, "ms"), (1e-6, "µs")),
    Unit.COUNT: ((1e9, "billion"), (1e6, "million"), (0.0, "")),
}
SECONDS_PER_UNIT = {"days": 86_400.0}  # divisor of a unit that differs from its threshold in UNIT_SCALES


def format_number(value: float) -> str:
    """Formats with three significant digits, four from 1,000 on, with thousands separators, no exponent."""
    if abs(value) >= 100.0:
        return f"{float(f'{value:.4g}'):,.0f}"
    if abs(value) >= 1.0:
        return f"{value:.3g}"
    digits = 2
    while value and abs(value) * 10.0**digits < 100.0 and digits < 9:
        digits += 1
    return f"{value:.{digits}f}".rstrip("0").rstrip(".")


def format_value(value: float, unit: Unit) -> str:
    """Formats the value in the largest unit in which it is at least one."""
    if unit == Unit.SHARE:
        return f"{format_number(value * 100.0)} %"
    if unit == Unit.A_SECOND:
        return f"{format_number(value)}/s"
    scales = UNIT_SCALES.get(unit, ((0.0, unit.value),))
    threshold, name = next((scale for scale in scales if abs(value) >= scale[0]), scales[-1])
    return f"{format_number(value / (SECONDS_PER_UNIT.get(name, threshold) or 1.0))} {name}".rstrip()
