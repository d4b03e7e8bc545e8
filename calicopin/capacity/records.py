"""Records of this package's own measurements, in the format of the result files under docs/scale/."""

import json
import math
import os
import platform
import statistics
import time
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Measure:
    """A measured figure, its unit, and the quantity (`over`) that is varied."""

    figure: str
    unit: str
    over: str


def fit_line(measure: Measure, samples: list[tuple[float, float]]) -> dict:
    """Returns a figure's (size, value) samples with their least-squares line."""
    sizes, values = [size for size, _ in samples], [value for _, value in samples]
    slope, intercept = statistics.linear_regression(sizes, values)
    squared_residuals = [(value - intercept - slope * size) ** 2 for size, value in samples]
    residual = math.sqrt(statistics.fmean(squared_residuals))
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
    """The record of one run: its arguments, the machine, and the machine's load."""

    header: dict

    def finish(self, slopes: list[dict], path: str | None) -> None:
        """Prints the record and, if a path is given, writes it to that file."""
        text = json.dumps(self.header | {"load_after": os.getloadavg(), "slopes": slopes}, indent=1)
        if path:
            with open(path, "w", encoding="utf-8") as file:
                file.write(text + "\n")
        print(text)


def start_record(module: str, arguments: dict) -> Record:
    """Begins a record, with the machine and its load before the run."""
    return Record(
        {
            "command": f"python -m calicopin.capacity.{module}",
            "arguments": arguments,
            "started": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
            "machine": {"cores": os.cpu_count(), "python": platform.python_version()},
            "load_before": os.getloadavg(),
        }
    )
