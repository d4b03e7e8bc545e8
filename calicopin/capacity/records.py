"""Records of this package's own runs, in the form of the result files under docs/scale/."""

import json
import math
import os
import platform
import statistics
import time
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Measure:
    """One figure over one size."""

    figure: str
    unit: str
    over: str


def fit_line(measure: Measure, samples: list[tuple[float, float]]) -> dict:
    """A figure's samples with their least-squares line."""
    sizes, values = [size for size, _ in samples], [value for _, value in samples]
    slope, intercept = statistics.linear_regression(sizes, values)
    squares = [(value - intercept - slope * size) ** 2 for size, value in samples]
    residual = math.sqrt(statistics.fmean(squares))
    return {
        "figure": measure.figure,
        "unit": measure.unit,
        "over": measure.over,
        "samples": [{"size": size, "value": value} for size, value in samples],
        "line": {
            "slope": slope,
            "intercept": intercept,
            "residual": residual,
            "residual_share": residual / statistics.fmean(values),
        },
    }


@dataclass(slots=True)
class Record:
    """One run: what was asked, on which machine, under which load of it."""

    head: dict

    def end(self, slopes: list[dict], path: str | None) -> None:
        """Prints the record, and keeps it where a path is given."""
        text = json.dumps(self.head | {"load_after": os.getloadavg(), "slopes": slopes}, indent=1)
        if path:
            with open(path, "w", encoding="utf-8") as file:
                file.write(text + "\n")
        print(text)


def record(module: str, arguments: dict) -> Record:
    """A record that notes machine and load before the run."""
    return Record(
        {
            "command": f"python -m calicopin.capacity.{module}",
            "arguments": arguments,
            "started": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
            "machine": {"cores": os.cpu_count(), "python": platform.python_version()},
            "load_before": os.getloadavg(),
        }
    )
