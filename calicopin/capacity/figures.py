"""A figure of the model: its formula, its value, and how far it lies beyond what was measured. No I/O."""

from dataclasses import dataclass
from enum import StrEnum

from calicopin.capacity.slope import Basis, Slope


class Unit(StrEnum):
    """Units of figures; those that people read in other sizes are scaled by `said`."""

    BYTES = "B"
    BYTES_PER_SECOND = "B/s"
    SECONDS = "s"
    CORES = "core"
    COUNT = ""
    PER_SECOND = "/s"
    SHARE = "share"


@dataclass(frozen=True, slots=True)
class Use:
    """A slope, and the size at which the formula uses it."""

    slope: Slope
    at: float = 0.0

    @property
    def reach(self) -> float:
        """How many times the largest size looked at; 1 where it lies within them or has no size."""
        most = max(self.slope.sizes, default=0.0)
        return max(1.0, self.at / most) if most else 1.0


@dataclass(frozen=True, slots=True)
class Figure:
    """One number of the page. `uses` are the slopes in its formula, `assumes` the parts of `Shape` that are;
    with neither it is a quotient of the users' numbers and of constants of the program."""

    name: str
    formula: str
    value: float
    unit: Unit
    uses: tuple[Use, ...] = ()
    assumes: tuple[str, ...] = ()

    def basis(self) -> str:
        """How it is known in a few words: the weakest of its slopes counts."""
        if not self.uses:
            return "assumed" if self.assumes else "given"
        return self._basis_of_slopes() + ("; shape assumed" if self.assumes else "")

    def _basis_of_slopes(self) -> str:
        kinds = {use.slope.basis for use in self.uses}
        if Basis.ASSUMED in kinds:
            return "assumed"
        reach = max(use.reach for use in self.uses)
        if reach > 1.0:
            return f"extrapolated {plain(reach)} times"
        return "counted" if kinds == {Basis.ENCODED} else "measured"

    def said(self) -> str:
        """The value with its unit as people read it."""
        return said(self.value, self.unit)


UNIT_SCALES = {
    Unit.BYTES: ((1e9, "GB"), (1e6, "MB"), (1e3, "kB"), (1.0, "B")),
    Unit.BYTES_PER_SECOND: ((1e9, "GB/s"), (1e6, "MB/s"), (1e3, "kB/s"), (1.0, "B/s")),
    Unit.SECONDS: ((172_800.0, "days"), (3600.0, "h"), (1.0, "s"), (1e-3, "ms"), (1e-6, "µs")),
    Unit.COUNT: ((1e9, "billion"), (1e6, "million"), (0.0, "")),
}
SECONDS_PER_UNIT = {"days": 86_400.0}  # where a name counts in another unit than it begins at


def plain(value: float) -> str:
    """Three digits that count, four from a thousand on, thousands apart; never in powers of ten."""
    if abs(value) >= 100.0:
        return f"{float(f'{value:.4g}'):,.0f}"
    if abs(value) >= 1.0:
        return f"{value:.3g}"
    digits = 2
    while value and abs(value) * 10.0**digits < 100.0 and digits < 9:
        digits += 1
    return f"{value:.{digits}f}".rstrip("0").rstrip(".")


def said(value: float, unit: Unit) -> str:
    """The value in the largest unit in which it is one or more."""
    if unit == Unit.SHARE:
        return f"{plain(value * 100.0)} %"
    if unit == Unit.PER_SECOND:
        return f"{plain(value)}/s"
    scales = UNIT_SCALES.get(unit, ((0.0, unit.value),))
    least, name = next((scale for scale in scales if abs(value) >= scale[0]), scales[-1])
    return f"{plain(value / (SECONDS_PER_UNIT.get(name, least) or 1.0))} {name}".rstrip()
