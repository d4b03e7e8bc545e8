"""Cost of the program over size: each size in a fresh process, repeated, with a fitted line."""

import multiprocessing
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from calicopin.scale import guard, measures, results
from calicopin.scale.fit import Sample
from calicopin.system import REAL_SYSTEM

# For the estimate of a run; slightly above the measured values.
BYTES_PER_DESTINATION = 16_000
BYTES_PER_MESSAGE = 4_000


@dataclass(frozen=True, slots=True)
class ReportedFigure:
    """One figure of a measurement: its key in the result, and its name, unit and factor in the report."""

    key: str
    figure: str
    unit: str
    factor: float = 1.0


@dataclass(frozen=True, slots=True)
class Measurement:
    """One measurement over several sizes; `tuned_gc`: the garbage collector is set up as in a courier."""

    name: str
    measure: Callable[[int, int], dict[str, float]]
    over: str
    sizes: tuple[int, ...]
    reported: tuple[ReportedFigure, ...]
    bytes_per_unit: float = 0.0
    tuned_gc: bool = True


LIST_SIZES = (1_000, 10_000, 50_000)
MESSAGE_SIZES = (10_000, 30_000, 100_000)
MESSAGE_RATES = (33, 132, 528)

MEASUREMENTS = {
    measurement.name: measurement
    for measurement in (
        Measurement(
            "list",
            measures.list_costs,
            "listed destination",
            LIST_SIZES,
            (
                ReportedFigure("memory", "memory of the list in the decisions", "bytes"),
                ReportedFigure("first", "time of the first whole list", "ms"),
                ReportedFigure("again", "time of the same whole list again", "ms"),
                ReportedFigure("change", "time of one changed entry (median in a process)", "ms"),
                ReportedFigure("change_worst", "time of one changed entry (worst in a process)", "ms"),
            ),
            BYTES_PER_DESTINATION,
        ),
        Measurement(
            "list-collector",
            measures.list_costs,
            "listed destination",
            LIST_SIZES,
            (
                ReportedFigure(
                    "first", "time of the first whole list, collector as the interpreter has it", "ms"
                ),
                ReportedFigure(
                    "change", "time of one changed entry, collector as the interpreter has it", "ms"
                ),
            ),
            BYTES_PER_DESTINATION,
            tuned_gc=False,
        ),
        Measurement(
            "list-memory",
            measures.list_memory,
            "listed destination",
            LIST_SIZES,
            (ReportedFigure("whole", "memory of the list from its JSON on", "bytes"),),
            BYTES_PER_DESTINATION,
        ),
        Measurement(
            "messages",
            measures.decision_memory,
            "waiting message",
            MESSAGE_SIZES,
            (ReportedFigure("decisions", "memory of waiting messages in the decisions", "bytes"),),
            BYTES_PER_MESSAGE,
        ),
        Measurement(
            "kept-messages",
            measures.message_memory,
            "waiting message",
            MESSAGE_SIZES,
            (
                ReportedFigure(
                    "kept",
                    f"memory of waiting messages with text, {measures.BODY_BYTES} B body, journal",
                    "bytes",
                ),
                ReportedFigure(
                    "disk", f"journal file of waiting messages, {measures.BODY_BYTES} B body", "bytes"
                ),
            ),
            BYTES_PER_MESSAGE,
        ),
        Measurement(
            "rate",
            measures.rate_cost,
            "message a second",
            MESSAGE_RATES,
            (ReportedFigure("cpu", "processor time of the decisions a second", "ms"),),
        ),
        Measurement(
            "journal",
            measures.journal_bytes,
            "message",
            (1_320, 3_960, 13_200),
            (
                ReportedFigure(
                    "bytes", f"journal bytes of delivered messages, {measures.BODY_BYTES} B body", "bytes"
                ),
                ReportedFigure(
                    "cpu", "processor time of decisions and journal, at 132 messages a second", "ms"
                ),
            ),
        ),
        Measurement(
            "entry",
            measures.list_bytes,
            "listed destination",
            (1_000, 10_000, 100_000),
            (ReportedFigure("bytes", "bytes of the list as JSON", "bytes"),),
        ),
    )
}


def run_in_subprocess(measurement: Measurement, size: int, seed: int) -> dict[str, float]:
    """Runs the measurement in a fresh process and returns its figures."""
    context = multiprocessing.get_context("spawn")
    collector_setup = REAL_SYSTEM.freeze_loaded_objects if measurement.tuned_gc else None
    with ProcessPoolExecutor(max_workers=1, mp_context=context, initializer=collector_setup) as pool:
        return pool.submit(measurement.measure, size, seed).result()


def estimate(chosen: list[Measurement], sizes: tuple[int, ...]) -> guard.Estimate:
    """Expected resources of the largest of these measurements."""
    memory = max(
        (measurement.bytes_per_unit * max(sizes or measurement.sizes) for measurement in chosen), default=0.0
    )
    return guard.Estimate(memory + 2 * guard.PROCESS_BYTES, 2)


def run(
    chosen: list[Measurement],
    sizes: tuple[int, ...],
    repeats: int,
    seed: int,
    progress: Callable[[str], None],
) -> list[results.Slope]:
    """Runs every measurement; alternates the sizes so that varying machine load affects all alike."""
    slopes = []
    for measurement in chosen:
        samples: dict[str, list[Sample]] = {reported.key: [] for reported in measurement.reported}
        for repeat in range(repeats):
            for size in sizes or measurement.sizes:
                progress(f"{measurement.name} at {size:,}, repeat {repeat + 1} of {repeats}")
                values = run_in_subprocess(measurement, size, seed + repeat)
                for reported in measurement.reported:
                    samples[reported.key].append(Sample(size, values[reported.key] * reported.factor))
        for reported in measurement.reported:
            slopes.append(
                results.slope(reported.figure, reported.unit, measurement.over, samples[reported.key])
            )
    return slopes
