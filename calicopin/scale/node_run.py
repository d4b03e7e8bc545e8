"""One real discovery node with the whole list and hollow couriers before it: what it takes, and how soon
changes are in force. Groups of couriers arrive one after the other, each group at once; each then meets loads
of changes in turn."""

import os
import tempfile
import time
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field

from calicopin.scale import guard, nodes, simulated_couriers
from calicopin.scale.change_feed import LEAST_GAP, Change, ChangeFeed, FeedPlan
from calicopin.scale.fit import percentile
from calicopin.scale.list_source import ListSize, write
from calicopin.scale.results import Figure
from calicopin.scale.verdict import InForce, compare, in_force, read_source

FLEET = "scale"
DAY = 86_400.0  # seconds
BOUND = 12_000.0  # ms from a change to in force at the last courier
COURIER_BYTES_BOUND = 13_000.0  # a second, for control
COURIER_CPU_BOUND = 1.2  # percent of a core, for control
COURIER_MEMORY_BOUND = 32 << 20  # bytes, for control
QUIET = 5.0  # seconds between an arrival and the first load
LOOK = 0.25  # seconds between two looks at what was heard
READY_PATIENCE = 600.0  # seconds that a node has to read its list
ANSWER_PATIENCE = 120.0  # seconds that couriers have for their first answer
DESTINATION_BYTES = 700  # of a node's memory, for the estimate before a run
COURIER_BYTES = 400_000  # of the hollow process' memory, for the same
MIB = 1 << 20


@dataclass(frozen=True, slots=True)
class Load:
    """Changes for a while; `churn` keeps as many destinations down as there were."""

    name: str
    per_second: float
    seconds: float
    churn: bool = False


@dataclass(frozen=True, slots=True)
class Group:
    """Couriers that end, and couriers that arrive at once, before the next loads."""

    name: str
    arrive: int
    end: int = 0


@dataclass(frozen=True, slots=True)
class NodePlan:
    """One run."""

    destinations: int
    groups: tuple[Group, ...]
    loads: tuple[Load, ...]
    down_share: float
    seed: int = 1
    least_gap: float = LEAST_GAP
    quiet: float = QUIET
    settle: float = BOUND / 1000.0 + 3.0  # seconds that the last changes have to be in force


@dataclass(slots=True)
class NodeOutcome:
    """What was measured; `faults` are plain lines, none where all held."""

    figures: list[Figure] = field(default_factory=list)
    rows: list[dict] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    most_late: float = 0.0  # ms by which the generator was behind its schedule


def most_couriers(plan: NodePlan) -> int:
    """Couriers at once."""
    most = present = 0
    for group in plan.groups:
        present += group.arrive - group.end
        most = max(most, present)
    return most


def estimate(plan: NodePlan) -> guard.Estimate:
    """What the run will take."""
    memory = plan.destinations * DESTINATION_BYTES + most_couriers(plan) * COURIER_BYTES
    return guard.Estimate(memory + 3 * guard.PROCESS, 3)


class NodeRun:
    """One run, step by step. `fleet_class` and `program` are others in tests that show a fault to be
    found."""

    def __init__(
        self,
        plan: NodePlan,
        progress: Callable[[str], None],
        fleet_class: type[simulated_couriers.HollowFleet] = simulated_couriers.HollowFleet,
        program: tuple[str, ...] = nodes.PROGRAM,
    ):
        self.plan, self.progress = plan, progress
        self.fleet_class, self.program = fleet_class, program
        self.present: list[int] = []
        self.next_number, self.next_revision, self.feeds = 0, 1, 0
        self.outcome = NodeOutcome()

    def run(self) -> NodeOutcome:
        """The whole run; its processes and files are gone behind it."""
        with tempfile.TemporaryDirectory(prefix="calicopin-scale-") as folder, ExitStack() as stack:
            self._start(folder, stack)
            for group in self.plan.groups:
                self._arrive(group)
                for load in self.plan.loads:
                    self._load(group, load, stack)
            self._compare()
        return self.outcome

    def _start(self, folder: str, stack: ExitStack) -> None:
        plan = self.plan
        self.path = os.path.join(folder, "list.log")
        self.progress(f"node: a list of {plan.destinations:,} destinations is written")
        with open(self.path, "w", encoding="ascii") as file:
            write(file, FLEET, ListSize(plan.destinations, 1, plan.down_share), plan.seed)
        couriers = most_couriers(plan) + max(group.end for group in plan.groups)
        self.node = nodes.NodeProcess("n0", self.path, FLEET, couriers, folder, self.program)
        stack.enter_context(self.node)
        self.progress("node: it reads the list")
        load_seconds = self.node.wait_ready(READY_PATIENCE)
        status, sample = self.node.status(), self.node.sample()
        self._figure("size of the list's file", "MiB", os.path.getsize(self.path) / MIB)
        self._figure("destinations in service at the start", "destinations", status["destinations"])
        self._figure(
            "destinations down at the start", "destinations", plan.destinations - status["destinations"]
        )
        self._figure("time until the node serves", "s", load_seconds)
        self._figure("processor time until the node serves", "s", sample.cpu_seconds)
        self._figure("memory of the node with the list", "MiB", sample.resident_bytes / MIB)
        self.courier_plan = simulated_couriers.CourierPlan(
            FLEET, (self.node.address,), plan.destinations, plan.seed
        )
        self.couriers = stack.enter_context(
            simulated_couriers.HollowProcess(self.courier_plan, self.fleet_class)
        )
        empty = self.couriers.figures().resident_bytes
        self._figure("memory of the hollow process without a courier", "MiB", empty / MIB)

    # Couriers arrive.

    def _arrive(self, group: Group) -> None:
        """All couriers of the group at once: their first answers, and what that costs."""
        self.progress(f"node: {group.name}: {group.arrive} couriers arrive")
        if group.end:
            self.couriers.retire(self.present[-group.end :])
            del self.present[-group.end :]
            time.sleep(self.plan.quiet)
        new = range(self.next_number, self.next_number + group.arrive)
        self.next_number = new.stop
        node_before = self.node.sample()
        before = self.couriers.start(new)
        self.present += new
        figures = self._wait_answered(new)
        node_after = self.node.sample()
        mine = [each for each in figures.couriers if each.courier in new]
        took = [each.answered_at - each.started_at for each in mine if each.answered_at is not None]
        time.sleep(self.plan.quiet)
        settled = self.couriers.figures()
        label = f"{group.name}: "
        self._figure(label + "couriers that arrive at once", "couriers", len(new))
        for name, share in (("p50", 0.5), ("p99", 0.99), ("last", 1.0)):
            value = percentile(took, share) / 1000.0 if took else None
            self._figure(f"{label}first answer, {name}", "s", value, BOUND / 1000.0)
        self._figure(label + "couriers without a first answer", "couriers", len(mine) - len(took), 0.0)
        self._figure(label + "requests of a start", "requests", mean([each.calls for each in mine]))
        self._figure(label + "bytes sent of a start", "bytes", mean([each.bytes_sent for each in mine]))
        self._figure(
            label + "bytes received of a start", "bytes", mean([each.bytes_received for each in mine])
        )
        cpu = (figures.cpu_seconds - before.cpu_seconds) / len(new) * 1000.0
        self._figure(label + "processor time of a start, courier", "ms", cpu)
        cpu = (node_after.cpu_seconds - node_before.cpu_seconds) / len(new) * 1000.0
        self._figure(label + "processor time of a start, node", "ms", cpu)
        memory = (settled.resident_bytes - before.resident_bytes) / len(new)
        self._figure(label + "memory of a courier for control", "bytes", memory, COURIER_MEMORY_BOUND)
        sets = [len(simulated_couriers.destinations_of(number, self.courier_plan)) for number in new]
        self._figure(label + "destinations of a courier, mean", "destinations", mean(sets))
        self._figure(label + "destinations of a courier, most", "destinations", max(sets))
        if len(took) < len(mine):
            self.outcome.faults.append(f"{group.name}: {len(mine) - len(took)} couriers had no first answer")

    def _wait_answered(self, numbers: Sequence[int]) -> simulated_couriers.ProcessFigures:
        until = time.monotonic() + ANSWER_PATIENCE
        while True:
            figures = self.couriers.figures()
            told = [each for each in figures.couriers if each.courier in numbers]
            if time.monotonic() >= until or all(each.answered_at is not None for each in told):
                return figures
            time.sleep(LOOK)

    # Loads.

    def _load(self, group: Group, load: Load, stack: ExitStack) -> None:
        """Changes for a while, and what they take until they are in force."""
        self.progress(f"node: {group.name}: {load.name}, {load.per_second:.3g} changes a second")
        holders = simulated_couriers.subscribers_of(self.present, self.courier_plan)
        feed = ChangeFeed(self.path, self._feed_plan(load, tuple(holders)), self.next_revision)
        stack.callback(feed.stop)
        self.couriers.heard()
        node_before, before = self.node.sample(), self.couriers.figures()
        feed.start()
        heard = []
        while not feed.join(LOOK):
            heard += self.couriers.heard()
        after, node_after = self.couriers.figures(), self.node.sample()
        status = self.node.status()
        pairs = self._settle(feed, holders, heard)
        self.next_revision = feed.revision
        self.outcome.most_late = max(self.outcome.most_late, feed.most_late)
        row = {
            "couriers": len(self.present),
            "load": load.name,
            "seconds": round(node_after.at - node_before.at, 1),
        }
        row |= last_courier_times(feed.changes, pairs)
        row |= courier_costs(before, after) | node_costs(node_before, node_after)
        row |= {
            "node_subscriptions": status["subscriptions"],
            "generator_late_ms": feed.most_late,
            "hollow_late_ms": after.lateness_ms,
        }
        self.outcome.rows.append(row)
        self._judge(f"{group.name}, {load.name}", pairs, feed)

    def _feed_plan(self, load: Load, candidates: tuple[int, ...]) -> FeedPlan:
        self.feeds += 1
        source = read_source(self.path, set(candidates))
        down = frozenset(one for one in candidates if not source.get(one))
        seed = self.plan.seed * 1000 + self.feeds
        return FeedPlan(
            load.per_second,
            load.seconds,
            candidates,
            seed,
            load.churn,
            down,
            least_gap=self.plan.least_gap,
        )

    def _settle(self, feed: ChangeFeed, holders, heard: list[simulated_couriers.Heard]) -> list[InForce]:
        """Until all is in force, or the time for it is up."""
        until = time.monotonic() + self.plan.settle
        while True:
            pairs = in_force(feed.changes, holders, heard)
            if time.monotonic() >= until or all(pair.at is not None for pair in pairs):
                return pairs
            time.sleep(LOOK)
            heard += self.couriers.heard()

    def _judge(self, where: str, pairs: list[InForce], feed: ChangeFeed) -> None:
        never = sum(pair.at is None for pair in pairs)
        late = sum(pair.at is not None and pair.took > BOUND for pair in pairs)
        if never:
            self.outcome.faults.append(f"{where}: {never} changes never came into force")
        if late:
            self.outcome.faults.append(f"{where}: {late} changes took over {BOUND / 1000.0:g} s")
        if feed.skipped:
            self.outcome.faults.append(f"{where}: {feed.skipped} changes found no destination to change")

    def _compare(self) -> None:
        """What each courier knows in the end against the source."""
        self.progress("node: what couriers know is compared with the source")
        sets = {
            number: simulated_couriers.destinations_of(number, self.courier_plan) for number in self.present
        }
        source = read_source(self.path, {one for some in sets.values() for one in some})
        found = compare(self.couriers.known(), sets, source)
        self._figure("couriers compared with the source", "couriers", found.couriers)
        self._figure("endpoints missing at the end", "endpoints", found.missing, 0.0)
        self._figure("endpoints known that have left", "endpoints", found.left_but_known, 0.0)
        self._figure("endpoints known as they were", "endpoints", found.outdated, 0.0)
        self._figure("memory of the node at the end", "MiB", self.node.sample().resident_bytes / MIB)
        if not found.none:
            self.outcome.faults.append(
                "couriers know other than the source has: " + "; ".join(found.examples)
            )

    def _figure(self, figure: str, unit: str, value: float | None, bound: float | None = None) -> None:
        self.outcome.figures.append(Figure(figure, unit, value, bound))


def last_courier_times(changes: Sequence[Change], pairs: Sequence[InForce]) -> dict:
    """How long changes took until they were in force at the last of their couriers; of those that are."""
    last: dict[int, float] = {}
    for pair in pairs:
        at = float("inf") if pair.at is None else pair.took
        last[pair.change.revision] = max(at, last.get(pair.change.revision, 0.0))
    ends = [value for value in last.values() if value != float("inf")]
    row = {"changes": len(changes), "pairs": len(pairs), "never": sum(pair.at is None for pair in pairs)}
    for name, share in (("p50", 0.5), ("p99", 0.99), ("worst", 1.0)):
        row[f"last_courier_{name}_s"] = percentile(ends, share) / 1000.0 if ends else None
    return row


def mean(values: Sequence[float]) -> float:
    """0 of none."""
    return sum(values) / len(values) if values else 0.0


def courier_costs(
    before: simulated_couriers.ProcessFigures, after: simulated_couriers.ProcessFigures
) -> dict:
    """A courier's bytes a second each way, processor time in percent of a core, and memory of the process in
    all."""
    seconds = (after.at - before.at) / 1000.0
    earlier = {each.courier: each for each in before.couriers}
    sent, received, calls = [], [], 0
    for each in after.couriers:
        sent.append((each.bytes_sent - earlier[each.courier].bytes_sent) / seconds)
        received.append((each.bytes_received - earlier[each.courier].bytes_received) / seconds)
        calls += each.calls - earlier[each.courier].calls
    both = [one + other for one, other in zip(sent, received, strict=True)]
    return {
        "courier_sent_bytes_s": mean(sent),
        "courier_received_bytes_s": mean(received),
        "courier_most_bytes_s": max(both),
        "courier_requests_s": calls / seconds / len(both),
        "courier_cpu_percent": (after.cpu_seconds - before.cpu_seconds) / seconds / len(both) * 100.0,
    }


def node_costs(before: nodes.NodeSample, after: nodes.NodeSample) -> dict:
    """A node's processor time in percent of a core, and its memory."""
    share = (after.cpu_seconds - before.cpu_seconds) / (after.at - before.at)
    return {"node_cpu_percent": share * 100.0, "node_memory_mib": after.resident_bytes / MIB}
