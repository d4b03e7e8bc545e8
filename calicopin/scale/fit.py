"""Least-squares lines through samples, and the spread of repeated samples. No I/O, no clock."""

import statistics
from dataclasses import dataclass
from math import sqrt

MIN_SIZES = 3  # a line through two points has no residual


@dataclass(frozen=True, slots=True)
class Sample:
    """One measured value at one size."""

    size: float
    value: float


@dataclass(frozen=True, slots=True)
class LinearFit:
    """`value = intercept + slope * size`.

    `residual` is the root mean square distance of the samples from the line, in the unit of the value.
    `residual_share` is the residual divided by the mean value: near 0 the fit is good, near 1 it is useless.
    """

    slope: float
    intercept: float
    residual: float
    residual_share: float


@dataclass(frozen=True, slots=True)
class Spread:
    """Median, minimum and maximum of the repeats at one size."""

    size: float
    repeats: int
    median: float
    least: float
    most: float


def fit_line(samples: list[Sample]) -> LinearFit:
    """The least-squares line; raises ValueError with fewer than three sizes."""
    if len({sample.size for sample in samples}) < MIN_SIZES:
        raise ValueError(f"a linear fit needs at least {MIN_SIZES} sizes")
    sizes = [sample.size for sample in samples]
    values = [sample.value for sample in samples]
    slope, intercept = statistics.linear_regression(sizes, values)
    squares = [(value - intercept - slope * size) ** 2 for size, value in zip(sizes, values, strict=True)]
    residual = sqrt(sum(squares) / len(squares))
    mean = abs(sum(values) / len(values))
    return LinearFit(slope, intercept, residual, residual / mean if mean else 0.0)


def spreads(samples: list[Sample]) -> list[Spread]:
    """One row for each size, in ascending order."""
    rows = []
    for size in sorted({sample.size for sample in samples}):
        values = [sample.value for sample in samples if sample.size == size]
        rows.append(Spread(size, len(values), statistics.median(values), min(values), max(values)))
    return rows


def percentile(values: list[float], share: float) -> float:
    """The smallest value that at least `share` of the values do not exceed; raises ValueError if empty."""
    if not values:
        raise ValueError("no values")
    ordered = sorted(values)
    position = max(0, -(-int(share * 1_000_000) * len(ordered) // 1_000_000) - 1)
    return ordered[min(position, len(ordered) - 1)]
