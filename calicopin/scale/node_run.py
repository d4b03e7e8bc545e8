"""One real discovery node with the whole list and simulated couriers: resource use, and time until changes
are in force. Groups of couriers start one after the other, each group at once, followed by the loads."""

import os
import tempfile
import time
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field

from calicopin.scale import guard, nodes, simulated_couriers
from calicopin.scale.change_feed import MIN_GAP_MS, Change, ChangeFeed, FeedPlan
from calicopin.scale.fit import percentile
from calicopin.scale.list_source import ListSize, write
from calicopin.scale.results import Figure
from calicopin.scale.verdict import Propagation, compare, propagations, read_source

FLEET = "scale"
SECONDS_PER_DAY = 86_400.0
IN_FORCE_BOUND_MS = 12_000.0  # from a change until it is in force at the last courier
COURIER_BYTES_BOUND = 13_000.0  # a second, for control
COURIER_CPU_BOUND = 1.2  # percent of a core, for control
COURIER_MEMORY_BOUND = 32 << 20  # bytes, for control
PAUSE_S = 5.0  # between the start of a group and its first load
POLL_INTERVAL_S = 0.25  # of the couriers' updates and figures
READY_TIMEOUT_S = 600.0  # for a node to read its list
ANSWER_TIMEOUT_S = 120.0  # until the couriers' first response
NODE_BYTES_PER_DESTINATION = 700  # for the estimate of a run
SIMULATION_BYTES_PER_COURIER = 400_000  # likewise
MIB = 1 << 20


@dataclass(frozen=True, slots=True)
class Load:
    """Changes at a rate for a time; `churn` keeps the number of left endpoints about constant."""

    name: str
    per_second: float
    seconds: float
    churn: bool = False


@dataclass(frozen=True, slots=True)
class Group:
    """`end` couriers stop, then `arrive` new ones start at once, before the next loads."""

    name: str
    arrive: int
    end: int = 0


@dataclass(frozen=True, slots=True)
class NodePlan:
    """Sizes, groups and loads of one run; `pause` and `settle_timeout` in seconds."""

    destinations: int
    groups: tuple[Group, ...]
    loads: tuple[Load, ...]
    down_share: float
    seed: int = 1
    min_gap_ms: float = MIN_GAP_MS
    pause: float = PAUSE_S
    settle_timeout: float = IN_FORCE_BOUND_MS / 1000.0 + 3.0  # for the last changes to be in force


@dataclass(slots=True)
class NodeOutcome:
    """The measured figures and detected faults; `faults` has one line each."""

    figures: list[Figure] = field(default_factory=list)
    rows: list[dict] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    max_lateness_ms: float = 0.0  # of the load generator behind its schedule


def max_couriers(plan: NodePlan) -> int:
    """The largest number of concurrent couriers."""
    most = present = 0
    for group in plan.groups:
        present += group.arrive - group.end
        most = max(most, present)
    return most


def estimate(plan: NodePlan) -> guard.Estimate:
    """Expected resources of the run."""
    memory = (
        plan.destinations * NODE_BYTES_PER_DESTINATION + max_couriers(plan) * SIMULATION_BYTES_PER_COURIER
    )
    return guard.Estimate(memory + 3 * guard.PROCESS_BYTES, 3)


class NodeRun:
    """One run, step by step. Tests replace `fleet_class` and `program` to inject faults."""

    def __init__(
        self,
        plan: NodePlan,
        progress: Callable[[str], None],
        fleet_class: type[simulated_couriers.SimulatedFleet] = simulated_couriers.SimulatedFleet,
        program: tuple[str, ...] = nodes.PROGRAM,
    ):
        self.plan, self.progress = plan, progress
        self.fleet_class, self.program = fleet_class, program
        self.present: list[int] = []
        self.next_number, self.next_revision, self.feeds = 0, 1, 0
        self.outcome = NodeOutcome()

    def run(self) -> NodeOutcome:
        """Executes the run; its processes and files are removed at the end."""
        with tempfile.TemporaryDirectory(prefix="calicopin-scale-") as folder, ExitStack() as stack:
            self._start(folder, stack)
            for group in self.plan.groups:
                self._start_group(group)
                for load in self.plan.loads:
                    self._load(group, load, stack)
            self._compare()
        return self.outcome

    def _start(self, folder: str, stack: ExitStack) -> None:
        plan = self.plan
        self.path = os.path.join(folder, "list.log")
        self.progress(f"node: writing a list of {plan.destinations:,} destinations")
        with open(self.path, "w", encoding="ascii") as file:
            write(file, FLEET, ListSize(plan.destinations, 1, plan.down_share), plan.seed)
        couriers = max_couriers(plan) + max(group.end for group in plan.groups)
        self.node = nodes.NodeProcess("n0", self.path, FLEET, couriers, folder, self.program)
        stack.enter_context(self.node)
        self.progress("node: reading the list")
        load_seconds = self.node.wait_ready(READY_TIMEOUT_S)
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
            simulated_couriers.SimulationProcess(self.courier_plan, self.fleet_class)
        )
        empty = self.couriers.figures().resident_bytes
        self._figure("memory of the hollow process without a courier", "MiB", empty / MIB)

    # Start of couriers.

    def _start_group(self, group: Group) -> None:
        """Starts all couriers of the group at once; measures first responses and the cost of the start."""
        self.progress(f"node: {group.name}: starting {group.arrive} couriers")
        if group.end:
            self.couriers.stop(self.present[-group.end :])
            del self.present[-group.end :]
            time.sleep(self.plan.pause)
        new = range(self.next_number, self.next_number + group.arrive)
        self.next_number = new.stop
        node_before = self.node.sample()
        before = self.couriers.start(new)
        self.present += new
        figures = self._wait_answered(new)
        node_after = self.node.sample()
        new_couriers = [each for each in figures.couriers if each.courier in new]
        answer_times = [
            each.answered_at - each.started_at for each in new_couriers if each.answered_at is not None
        ]
        time.sleep(self.plan.pause)
        after_pause = self.couriers.figures()
        label = f"{group.name}: "
        self._figure(label + "couriers that arrive at once", "couriers", len(new))
        for name, share in (("p50", 0.5), ("p99", 0.99), ("last", 1.0)):
            value = percentile(answer_times, share) / 1000.0 if answer_times else None
            self._figure(f"{label}first answer, {name}", "s", value, IN_FORCE_BOUND_MS / 1000.0)
        self._figure(
            label + "couriers without a first answer", "couriers", len(new_couriers) - len(answer_times), 0.0
        )
        self._figure(label + "requests of a start", "requests", mean([each.calls for each in new_couriers]))
        self._figure(
            label + "bytes sent of a start", "bytes", mean([each.bytes_sent for each in new_couriers])
        )
        self._figure(
            label + "bytes received of a start", "bytes", mean([each.bytes_received for each in new_couriers])
        )
        cpu = (figures.cpu_seconds - before.cpu_seconds) / len(new) * 1000.0
        self._figure(label + "processor time of a start, courier", "ms", cpu)
        cpu = (node_after.cpu_seconds - node_before.cpu_seconds) / len(new) * 1000.0
        self._figure(label + "processor time of a start, node", "ms", cpu)
        memory = (after_pause.resident_bytes - before.resident_bytes) / len(new)
        self._figure(label + "memory of a courier for control", "bytes", memory, COURIER_MEMORY_BOUND)
        sets = [len(simulated_couriers.destinations_of(number, self.courier_plan)) for number in new]
        self._figure(label + "destinations of a courier, mean", "destinations", mean(sets))
        self._figure(label + "destinations of a courier, most", "destinations", max(sets))
        if len(answer_times) < len(new_couriers):
            self.outcome.faults.append(
                f"{group.name}: {len(new_couriers) - len(answer_times)} couriers had no first answer"
            )

    def _wait_answered(self, numbers: Sequence[int]) -> simulated_couriers.ProcessFigures:
        until = time.monotonic() + ANSWER_TIMEOUT_S
        while True:
            figures = self.couriers.figures()
            started = [each for each in figures.couriers if each.courier in numbers]
            if time.monotonic() >= until or all(each.answered_at is not None for each in started):
                return figures
            time.sleep(POLL_INTERVAL_S)

    # Loads.

    def _load(self, group: Group, load: Load, stack: ExitStack) -> None:
        """Applies one load; measures its cost and the time until its changes are in force."""
        self.progress(f"node: {group.name}: {load.name}, {load.per_second:.3g} changes a second")
        subscribers = simulated_couriers.subscribers_of(self.present, self.courier_plan)
        feed = ChangeFeed(self.path, self._feed_plan(load, tuple(subscribers)), self.next_revision)
        stack.callback(feed.stop)
        self.couriers.updates()
        node_before, before = self.node.sample(), self.couriers.figures()
        feed.start()
        updates = []
        while not feed.join(POLL_INTERVAL_S):
            updates += self.couriers.updates()
        after, node_after = self.couriers.figures(), self.node.sample()
        status = self.node.status()
        pairs = self._wait_in_force(feed, subscribers, updates)
        self.next_revision = feed.revision
        self.outcome.max_lateness_ms = max(self.outcome.max_lateness_ms, feed.max_lateness_ms)
        row = {
            "couriers": len(self.present),
            "load": load.name,
            "seconds": round(node_after.at - node_before.at, 1),
        }
        row |= last_courier_times(feed.changes, pairs)
        row |= courier_costs(before, after) | node_costs(node_before, node_after)
        row |= {
            "node_subscriptions": status["subscriptions"],
            "generator_late_ms": feed.max_lateness_ms,
            "hollow_late_ms": after.lateness_ms,
        }
        self.outcome.rows.append(row)
        self._evaluate(f"{group.name}, {load.name}", pairs, feed)

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
            min_gap_ms=self.plan.min_gap_ms,
        )

    def _wait_in_force(
        self, feed: ChangeFeed, subscribers, updates: list[simulated_couriers.ReceivedUpdate]
    ) -> list[Propagation]:
        """Waits until all changes are in force, or until the time-out."""
        until = time.monotonic() + self.plan.settle_timeout
        while True:
            pairs = propagations(feed.changes, subscribers, updates)
            if time.monotonic() >= until or all(pair.at is not None for pair in pairs):
                return pairs
            time.sleep(POLL_INTERVAL_S)
            updates += self.couriers.updates()

    def _evaluate(self, where: str, pairs: list[Propagation], feed: ChangeFeed) -> None:
        never = sum(pair.at is None for pair in pairs)
        late = sum(pair.at is not None and pair.latency_ms > IN_FORCE_BOUND_MS for pair in pairs)
        if never:
            self.outcome.faults.append(f"{where}: {never} changes never came into force")
        if late:
            self.outcome.faults.append(f"{where}: {late} changes took over {IN_FORCE_BOUND_MS / 1000.0:g} s")
        if feed.skipped:
            self.outcome.faults.append(f"{where}: {feed.skipped} changes found no destination to change")

    def _compare(self) -> None:
        """Compares each courier's endpoints with the source at the end of the run."""
        self.progress("node: comparing the couriers' endpoints with the source")
        sets = {
            number: simulated_couriers.destinations_of(number, self.courier_plan) for number in self.present
        }
        source = read_source(
            self.path, {destination for destinations in sets.values() for destination in destinations}
        )
        differences = compare(self.couriers.known(), sets, source)
        self._figure("couriers compared with the source", "couriers", differences.couriers)
        self._figure("endpoints missing at the end", "endpoints", differences.missing, 0.0)
        self._figure("endpoints known that have left", "endpoints", differences.left_but_known, 0.0)
        self._figure("endpoints known as they were", "endpoints", differences.outdated, 0.0)
        self._figure("memory of the node at the end", "MiB", self.node.sample().resident_bytes / MIB)
        if not differences.none:
            self.outcome.faults.append(
                "couriers know other than the source has: " + "; ".join(differences.examples)
            )

    def _figure(self, figure: str, unit: str, value: float | None, bound: float | None = None) -> None:
        self.outcome.figures.append(Figure(figure, unit, value, bound))


def last_courier_times(changes: Sequence[Change], pairs: Sequence[Propagation]) -> dict:
    """Times until changes were in force at the last of their couriers; without changes that never were."""
    last_latency: dict[int, float] = {}
    for pair in pairs:
        at = float("inf") if pair.at is None else pair.latency_ms
        last_latency[pair.change.revision] = max(at, last_latency.get(pair.change.revision, 0.0))
    latencies = [value for value in last_latency.values() if value != float("inf")]
    row = {"changes": len(changes), "pairs": len(pairs), "never": sum(pair.at is None for pair in pairs)}
    for name, share in (("p50", 0.5), ("p99", 0.99), ("worst", 1.0)):
        row[f"last_courier_{name}_s"] = percentile(latencies, share) / 1000.0 if latencies else None
    return row


def mean(values: Sequence[float]) -> float:
    """The arithmetic mean; 0 if empty."""
    return sum(values) / len(values) if values else 0.0


def courier_costs(
    before: simulated_couriers.ProcessFigures, after: simulated_couriers.ProcessFigures
) -> dict:
    """Bytes and requests a second of a courier, and its processor time in percent of a core."""
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
    """A node's processor time in percent of a core, and its memory in MiB."""
    share = (after.cpu_seconds - before.cpu_seconds) / (after.at - before.at)
    return {"node_cpu_percent": share * 100.0, "node_memory_mib": after.resident_bytes / MIB}
