"""Slopes of a discovery node over destinations and over couriers."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from calicopin.scale import results
from calicopin.scale.bench import bench
from calicopin.scale.bench.changes import Generator
from calicopin.scale.fit import Sample

COURIERS = 100  # that hear the changes whose cost is measured
RATE = 100.0  # changes a second, all of them to a subscribed destination
IDLE = 10.0  # seconds of a window without changes
BUSY = 15.0  # seconds of a window with them
KNOWN = 50_000  # destinations while couriers are what grows
QUIET = 3.0  # seconds after couriers have begun: their first requests are over


@dataclass(frozen=True, slots=True)
class NodeSizes:
    """Sizes to measure at, three or more of each."""

    destinations: tuple[int, ...]
    couriers: tuple[int, ...]


def estimate_size(sizes: NodeSizes) -> bench.BenchSize:
    """The largest bench that will stand at once."""
    return bench.BenchSize(max(sizes.destinations, default=KNOWN), max((COURIERS, *sizes.couriers)))


def run(
    record: results.Run, sizes: NodeSizes, repeats: int, seed: int, progress: Callable[[str], None]
) -> None:
    """Fills the record; sizes in turn, so that a change of the machine's load meets all alike."""
    told: dict[str, list[Sample]] = {}

    def note(figure: str, size: float, value: float) -> None:
        told.setdefault(figure, []).append(Sample(size, value))

    for repeat in range(repeats):
        for destinations in sizes.destinations:
            _over_destinations(note, destinations, seed + repeat, progress)
        if sizes.couriers:
            _over_couriers(note, sizes.couriers, seed + repeat, progress)
    for (figure, over, unit), name in FIGURES.items():
        if name in told:
            record.slopes.append(results.slope(figure, unit, over, told[name]))


FIGURES = {
    ("the node's memory with the list", "listed destination", "bytes"): "memory",
    ("time until the node is ready", "listed destination", "s"): "load",
    ("processor time of the node's load", "listed destination", "s"): "load cpu",
    ("processor time of the node for a change that one courier hears", "listed destination", "ms"): "change",
    ("processor time of the node a second, no changes", "courier", "ms"): "couriers",
    ("the node's memory with its leases", "courier", "bytes"): "leases",
    ("processor time of the hollow couriers a second, no changes", "courier", "ms"): "hollow",
    ("memory of the hollow couriers", "courier", "bytes"): "hollow memory",
}


def _over_destinations(note, destinations: int, seed: int, progress: Callable[[str], None]) -> None:
    size = bench.BenchSize(destinations, COURIERS, aimed=1.0)
    with bench.Bench(size, seed, progress) as stand:
        node = stand.nodes[0]
        loaded = node.usage()
        note("memory", destinations, loaded.resident)
        note("load", destinations, node.load_seconds)
        note("load cpu", destinations, loaded.cpu)
        stand.begin(COURIERS)
        time.sleep(QUIET)
        first = stand.mark()
        time.sleep(IDLE)
        second = stand.mark()
        idle = stand.window(first, second).node_cpu[0]
        progress(f"changes at {destinations:,} destinations")
        generator = Generator(stand.writer, RATE, BUSY, lambda _: None)
        generator.start()
        generator.join()
        busy = stand.window(second, stand.mark())
        heard = stand.in_force_of(stand.writer.announced, COURIERS).heard
        note("change", destinations, (busy.node_cpu[0] - idle) * busy.seconds * 1000.0 / max(1, heard))


def _over_couriers(note, counts: tuple[int, ...], seed: int, progress: Callable[[str], None]) -> None:
    size = bench.BenchSize(KNOWN, max(counts))
    with bench.Bench(size, seed, progress) as stand:
        for couriers in sorted(counts):
            stand.begin(couriers)
            time.sleep(QUIET)
            before = stand.mark()
            time.sleep(IDLE)
            after = stand.mark()
            window = stand.window(before, after)
            note("couriers", couriers, window.node_cpu[0] * 1000.0)
            note("leases", couriers, after[1][0].resident)
            note("hollow", couriers, window.hollow_cpu * 1000.0)
            note("hollow memory", couriers, after[0].resident - stand.hollow.empty)
