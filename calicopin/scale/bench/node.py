"""One discovery node at full size before hollow couriers: what it takes, and changes in force."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from calicopin.scale import results
from calicopin.scale.bench import bench
from calicopin.scale.bench.changes import LATE, Generator, lateness
from calicopin.scale.results import Figure

MIB = 1 << 20
QUIET = 14.0  # seconds after the last change: what is not in force then never came within the users' 12 s


@dataclass(frozen=True, slots=True)
class Phase:
    """Couriers that are there, and the changes a second that they meet, for so many seconds."""

    couriers: int
    changes: float
    seconds: float


def run(
    record: results.Run,
    size: bench.BenchSize,
    phases: list[Phase],
    seed: int,
    progress: Callable[[str], None],
) -> None:
    """Fills the record."""
    with bench.Bench(size, seed, progress) as stand:
        node, record.figures = stand.nodes[0], []
        loaded = node.usage()
        record.figures += [
            Figure("the node's time to load the list and be ready", "s", node.load_seconds),
            Figure("processor time of the node's load", "s", loaded.cpu),
            Figure("the node's memory with the list, no courier", "MiB", loaded.resident / MIB),
        ]
        for phase in phases:
            _phase(record, stand, phase)
        _whole(record, stand)
        record.figures.append(Figure("the node's memory at the end", "MiB", node.usage().resident / MIB))


def _phase(record: results.Run, stand: bench.Bench, phase: Phase) -> None:
    began = time.monotonic()
    mark = stand.begin(phase.couriers)
    subscribed = time.monotonic() - began
    name = f"{phase.couriers:,} couriers, {phase.changes:g} changes/s"
    first, before = len(stand.writer.announced), stand.mark()
    generator = Generator(
        stand.writer, phase.changes, phase.seconds, lambda line: stand.progress(f"{name}: {line}")
    )
    generator.start()
    time.sleep(phase.seconds)
    generator.join()
    after = stand.mark()
    stand.progress(f"{name}: the last changes come in force")
    time.sleep(QUIET)
    window = stand.window(before, after)
    announced = stand.writer.announced[first:]
    summary = stand.in_force_of(announced, phase.couriers)
    late = lateness(announced)
    if generator.fault:
        record.void = f"{name}: {generator.fault}"
    elif late.late:
        record.void = (
            f"{name}: {late.late} changes were over {LATE:.0f} ms late, the worst {late.worst:.0f} ms"
        )
    per_courier = (mark.resident - stand.hollow.empty) / mark.couriers
    cpu_each = window.hollow_cpu / phase.couriers * 100.0
    traffic = window.sent + window.received
    record.figures += [
        Figure(f"{name}: all have their whole set after", "s", subscribed),
        Figure(f"{name}: the node's processor time", "% of a core", window.node_cpu[0] * 100.0),
        Figure(f"{name}: the node's memory", "MiB", after[1][0].resident / MIB),
        Figure(f"{name}: a courier's bytes a second, both ways", "B/s", traffic, bench.BYTES_A_SECOND),
        Figure(f"{name}: of them sent", "B/s", window.sent),
        Figure(f"{name}: a courier's calls a second", "1/s", window.calls),
        Figure(f"{name}: a courier's processor time", "% of a core", cpu_each, bench.CORE_PERCENT),
        Figure(f"{name}: a courier's memory", "MB", per_courier / 1e6, bench.MEMORY / 1e6),
        Figure(
            f"{name}: changes, and those that met a subscriber",
            "",
            float(len(announced)),
            None,
            f"{summary.changes}",
        ),
        Figure(f"{name}: in force, p50 of all couriers", "ms", summary.p50, bench.IN_FORCE),
        Figure(f"{name}: in force, p99 of all couriers", "ms", summary.p99, bench.IN_FORCE),
        Figure(f"{name}: in force at the last courier, p50", "ms", summary.last_p50, bench.IN_FORCE),
        Figure(f"{name}: in force at the last courier, p99", "ms", summary.last_p99, bench.IN_FORCE),
        Figure(f"{name}: in force, worst", "ms", summary.worst, bench.IN_FORCE, f"{summary.heard} times"),
        Figure(f"{name}: never in force", "", float(summary.lost), 0.0),
        Figure(f"{name}: the generator's worst lateness", "ms", late.worst, LATE),
        Figure(f"{name}: the hollow loop's worst lateness", "ms", window.lateness),
    ]


def _whole(record: results.Run, stand: bench.Bench) -> None:
    """What all couriers know at the end against the source."""
    stand.progress("what couriers know is compared with the source")
    found = stand.differences()
    note = f"of {found.compared:,}"
    if found.first:
        note += f"; {found.first[0]}"
    record.figures.append(
        Figure("endpoints known other than the source has them", "", float(found.wrong), 0.0, note)
    )
    if found.wrong:
        record.faults.append(f"{found.wrong} endpoints are known other than the source has them")
