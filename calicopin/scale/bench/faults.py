"""Faults of several real nodes before hollow couriers, with changes all the while.

Each fault begins `lead` seconds after the changes and ends, where it ends, `lasts` seconds later. At the end
every courier has to know just what the source has of its set, and every change was in force within the users'
time of a node's reach.
"""

import signal
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from calicopin.scale import results
from calicopin.scale.bench import bench, hollow
from calicopin.scale.bench.changes import LATE, Generator, lateness, now
from calicopin.scale.bench.cluster import NodeProcess
from calicopin.scale.results import Figure

LOOK = 0.1  # seconds between two looks at where couriers are
PATIENCE = 60.0  # seconds within which couriers have to be where they are waited for
TENTH = 10


class Fault(StrEnum):
    """What is done to nodes or couriers."""

    NODE_KILLED = "node-killed"
    ALL_GONE = "all-gone-and-back"
    RESTART_TENTH = "restart-tenth"
    HALF_OPEN = "half-open"


@dataclass(frozen=True, slots=True)
class FaultRun:
    """A fault, its times in seconds and the changes a second meanwhile.

    After the last change couriers have `quiet` to know all.
    """

    fault: Fault
    changes: float = 5.0
    lead: float = 10.0
    lasts: float = 20.0
    tail: float = 20.0
    quiet: float = 14.0

    @property
    def seconds(self) -> float:
        """How long changes come."""
        return self.lead + self.lasts + self.tail


@dataclass(slots=True)
class Course:
    """What a fault did: its own figures, and from when on a node could be reached again where none could."""

    figures: list[Figure]
    unreachable_from: float = 0.0
    reached_at: float = 0.0


def _wait(stand: bench.Bench, done: Callable[[hollow.Mark], bool]) -> tuple[hollow.Mark, float]:
    """The first mark that is as waited for, or the last one in time, and the seconds until then."""
    began = time.monotonic()
    while True:
        mark = stand.hollow.ask(hollow.Take())
        passed = time.monotonic() - began
        if done(mark) or passed > PATIENCE:
            return mark, passed
        time.sleep(LOOK)


def _most_used(stand: bench.Bench, mark: hollow.Mark) -> NodeProcess:
    """The node that most couriers keep to: the one that the fault meets."""
    return max(stand.nodes, key=lambda node: mark.at_node.get(node.address, 0))


def _gained(stand: bench.Bench, met: NodeProcess, before: hollow.Mark, after: hollow.Mark) -> list[Figure]:
    """How evenly the couriers of the node went to the rest."""
    lost, rest = met.address, [node.address for node in stand.nodes if node is not met]
    gains = [after.at_node.get(node, 0) - before.at_node.get(node, 0) for node in rest]
    mean = sum(gains) / len(gains)
    return [
        Figure("couriers of the node before the fault", "", float(before.at_node.get(lost, 0))),
        Figure("of them at the node after it", "", float(after.at_node.get(lost, 0)), 0.0),
        Figure("gained by each other node, mean", "", mean),
        Figure("gained, least", "", float(min(gains))),
        Figure("gained, most", "", float(max(gains))),
        Figure("gained, most over mean", "", max(gains) / mean if mean else None),
    ]


def _settled_elsewhere(met: NodeProcess, couriers: int) -> Callable[[hollow.Mark], bool]:
    """Whether every courier keeps to a node other than that one."""

    def done(mark: hollow.Mark) -> bool:
        return sum(count for node, count in mark.at_node.items() if node not in ("", met.address)) == couriers

    return done


def node_killed(stand: bench.Bench, run: FaultRun) -> Course:
    """The node with most couriers ends without a word and stays away."""
    before = stand.hollow.ask(hollow.Take())
    met = _most_used(stand, before)
    met.kill()
    after, passed = _wait(stand, _settled_elsewhere(met, stand.size.couriers))
    figures = [Figure("all couriers at another node after", "s", passed, bench.IN_FORCE / 1000.0)]
    return Course(figures + _gained(stand, met, before, after))


def half_open(stand: bench.Bench, run: FaultRun) -> Course:
    """The node with most couriers stands still: its connections stay open, and new ones come up."""
    before = stand.hollow.ask(hollow.Take())
    met = _most_used(stand, before)
    began = time.monotonic()
    met.send(signal.SIGSTOP)
    after, passed = _wait(stand, _settled_elsewhere(met, stand.size.couriers))
    time.sleep(max(0.0, began + run.lasts - time.monotonic()))
    met.send(signal.SIGCONT)
    figures = [Figure("all couriers at another node after", "s", passed, bench.IN_FORCE / 1000.0)]
    return Course(figures + _gained(stand, met, before, after))


def all_gone_and_back(stand: bench.Bench, run: FaultRun) -> Course:
    """Every node ends without a word; all are started again at once."""
    couriers = stand.size.couriers
    gone = now()
    for node in stand.nodes:
        node.kill()
    time.sleep(run.lasts)
    for node in stand.nodes:
        node.start()
    until = time.monotonic() + PATIENCE
    while not any(node.is_ready() for node in stand.nodes) and time.monotonic() < until:
        time.sleep(LOOK)
    reached = now()
    for node in stand.nodes:
        node.wait_ready()

    def done(mark: hollow.Mark) -> bool:
        return sum(count for node, count in mark.at_node.items() if node) == couriers

    after, passed = _wait(stand, done)
    counts = [float(after.at_node.get(node.address, 0)) for node in stand.nodes]
    figures = [
        Figure("all couriers at a node after these were ready", "s", passed, bench.IN_FORCE / 1000.0),
        Figure("couriers of a node then, least", "", min(counts)),
        Figure("couriers of a node then, most", "", max(counts)),
    ]
    return Course(figures, gone, reached)


def restart_tenth(stand: bench.Bench, run: FaultRun) -> Course:
    """A tenth of the couriers start anew at once, with nothing known."""
    some = tuple(range(0, stand.size.couriers, TENTH))
    began = time.monotonic()
    stand.hollow.ask(hollow.Restart(some))
    stand.hollow.ask(hollow.Take(wait_whole=True))
    passed = time.monotonic() - began
    return Course(
        [
            Figure("couriers restarted at once", "", float(len(some))),
            Figure("all have their whole set after", "s", passed, bench.IN_FORCE / 1000.0),
        ]
    )


PLAYS = {
    Fault.NODE_KILLED: node_killed,
    Fault.ALL_GONE: all_gone_and_back,
    Fault.RESTART_TENTH: restart_tenth,
    Fault.HALF_OPEN: half_open,
}


def run(
    record: results.Run, size: bench.BenchSize, played: FaultRun, seed: int, progress: Callable[[str], None]
) -> None:
    """Fills the record; what breaks a rule stands in its `faults`."""
    with bench.Bench(size, seed, progress) as stand:
        stand.begin(size.couriers)
        generator = Generator(stand.writer, played.changes, played.seconds, lambda _: None)
        progress(f"{played.fault}: changes begin")
        generator.start()
        time.sleep(played.lead)
        progress(f"{played.fault}: the fault begins")
        course = PLAYS[played.fault](stand, played)
        progress(f"{played.fault}: it is over")
        generator.join()
        progress(f"{played.fault}: the last changes come in force")
        _settle(stand, played.quiet)
        record.figures = course.figures
        _judge(record, stand, course, generator)


def _settle(stand: bench.Bench, seconds: float) -> None:
    """Until couriers know just what the source has, or for so long."""
    until = time.monotonic() + seconds
    while stand.differences().wrong and time.monotonic() < until:
        time.sleep(LOOK)


def _judge(record: results.Run, stand: bench.Bench, course: Course, generator: Generator) -> None:
    """Changes in force in time, and nothing known otherwise than the source has it."""
    changes = stand.writer.announced
    reach = {
        index: course.reached_at
        for index, change in enumerate(changes)
        if course.unreachable_from - bench.IN_FORCE <= change.due < course.reached_at
    }
    summary = stand.in_force_of(changes, stand.size.couriers, reach)
    found, mark, late = stand.differences(), stand.hollow.ask(hollow.Take()), lateness(changes)
    since = " of a node's reach" if reach else ""
    record.figures += [
        Figure("changes", "", float(len(changes))),
        Figure("changes that met a subscriber", "", float(summary.changes), None, f"{summary.heard} times"),
        Figure(f"in force, p50{since}", "ms", summary.p50, bench.IN_FORCE),
        Figure(f"in force, p99{since}", "ms", summary.p99, bench.IN_FORCE),
        Figure(f"in force, worst{since}", "ms", summary.worst, bench.IN_FORCE),
        Figure("never in force", "", float(summary.lost), 0.0),
        Figure(
            "endpoints known other than the source has them",
            "",
            float(found.wrong),
            0.0,
            f"of {found.compared:,}" + (f"; {found.first[0]}" if found.first else ""),
        ),
        Figure("node changes of all couriers", "", float(mark.node_changes)),
        Figure("the generator's worst lateness", "ms", late.worst, LATE),
    ]
    if generator.fault or late.late:
        record.void = generator.fault or f"{late.late} changes were over {LATE:.0f} ms late"
    if found.wrong or summary.lost or (summary.worst or 0.0) > bench.IN_FORCE:
        record.faults.append(
            f"{found.wrong} endpoints known other than the source has them,"
            f" {summary.lost} changes never in force, the worst after {summary.worst} ms"
        )
