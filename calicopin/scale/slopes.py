"""The slopes of the program as it stands: each size in a process of its own, several repeats, a fitted
line."""

import multiprocessing
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from calicopin.scale import guard, measures, results
from calicopin.scale.fit import Sample
from calicopin.system import HERE

# Bytes a unit of size, for the estimate before a run; a little over what was measured.
LISTED_DESTINATION = 16_000
WAITING_MESSAGE = 4_000


@dataclass(frozen=True, slots=True)
class Shown:
    """One figure out of a measurement: its key there and its name, unit and factor on the page."""

    key: str
    figure: str
    unit: str
    factor: float = 1.0


@dataclass(frozen=True, slots=True)
class Measurement:
    """One measurement over several sizes; `settled`: the garbage collector runs as rarely as in a courier."""

    name: str
    measure: Callable[[int, int], dict[str, float]]
    over: str
    sizes: tuple[int, ...]
    shown: tuple[Shown, ...]
    memory_each: float = 0.0
    settled: bool = True


LIST_SIZES = (1_000, 10_000, 50_000)
MESSAGE_SIZES = (10_000, 30_000, 100_000)
RATES = (33, 132, 528)

MEASUREMENTS = {
    one.name: one
    for one in (
        Measurement(
            "list",
            measures.listed,
            "listed destination",
            LIST_SIZES,
            (
                Shown("memory", "memory of the list in the decisions", "bytes"),
                Shown("first", "time of the first whole list", "ms"),
                Shown("again", "time of the same whole list again", "ms"),
                Shown("change", "time of one changed entry (median in a process)", "ms"),
                Shown("change_worst", "time of one changed entry (worst in a process)", "ms"),
            ),
            LISTED_DESTINATION,
        ),
        Measurement(
            "list-collector",
            measures.listed,
            "listed destination",
            LIST_SIZES,
            (
                Shown("first", "time of the first whole list, collector as the interpreter has it", "ms"),
                Shown("change", "time of one changed entry, collector as the interpreter has it", "ms"),
            ),
            LISTED_DESTINATION,
            settled=False,
        ),
        Measurement(
            "list-memory",
            measures.list_memory,
            "listed destination",
            LIST_SIZES,
            (Shown("whole", "memory of the list from its JSON on", "bytes"),),
            LISTED_DESTINATION,
        ),
        Measurement(
            "messages",
            measures.messages,
            "waiting message",
            MESSAGE_SIZES,
            (Shown("decisions", "memory of waiting messages in the decisions", "bytes"),),
            WAITING_MESSAGE,
        ),
        Measurement(
            "kept-messages",
            measures.kept_messages,
            "waiting message",
            MESSAGE_SIZES,
            (
                Shown(
                    "kept", f"memory of waiting messages with text, {measures.BODY} B body, journal", "bytes"
                ),
                Shown("disk", f"journal file of waiting messages, {measures.BODY} B body", "bytes"),
            ),
            WAITING_MESSAGE,
        ),
        Measurement(
            "rate",
            measures.rate,
            "message a second",
            RATES,
            (Shown("cpu", "processor time of the decisions a second", "ms"),),
        ),
        Measurement(
            "journal",
            measures.journal_bytes,
            "message",
            (1_320, 3_960, 13_200),
            (
                Shown("bytes", f"journal bytes of delivered messages, {measures.BODY} B body", "bytes"),
                Shown("cpu", "processor time of decisions and journal, at 132 messages a second", "ms"),
            ),
        ),
        Measurement(
            "entry",
            measures.entry_bytes,
            "listed destination",
            (1_000, 10_000, 100_000),
            (Shown("bytes", "bytes of the list as JSON", "bytes"),),
        ),
    )
}


def in_own_process(one: Measurement, size: int, seed: int) -> dict[str, float]:
    """What the measurement returns in a fresh process; one at a time."""
    context = multiprocessing.get_context("spawn")
    settle = HERE.settle if one.settled else None
    with ProcessPoolExecutor(max_workers=1, mp_context=context, initializer=settle) as pool:
        return pool.submit(one.measure, size, seed).result()


def estimate(chosen: list[Measurement], sizes: tuple[int, ...]) -> guard.Estimate:
    """What the largest of them will take."""
    most = max((one.memory_each * max(sizes or one.sizes) for one in chosen), default=0.0)
    return guard.Estimate(most + 2 * guard.PROCESS, 2)


def run(
    chosen: list[Measurement],
    sizes: tuple[int, ...],
    repeats: int,
    seed: int,
    progress: Callable[[str], None],
) -> list[results.Slope]:
    """Every measurement at every size, sizes in turn so that a change of the machine's load meets all
    alike."""
    slopes = []
    for one in chosen:
        told: dict[str, list[Sample]] = {shown.key: [] for shown in one.shown}
        for repeat in range(repeats):
            for size in sizes or one.sizes:
                progress(f"{one.name} at {size:,}, repeat {repeat + 1} of {repeats}")
                values = in_own_process(one, size, seed + repeat)
                for shown in one.shown:
                    told[shown.key].append(Sample(size, values[shown.key] * shown.factor))
        for shown in one.shown:
            slopes.append(results.slope(shown.figure, shown.unit, one.over, told[shown.key]))
    return slopes
