"""Faults of discovery nodes and couriers while the list keeps changing, with a verdict on each.

Runs real node processes, simulated couriers in one process, and an open-loop feed of changes. A change must
be in force at each courier within a bound, counted from when the courier can reach a node; at the end each
courier must know exactly the endpoints of the source.
"""

import os
import random
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field
from enum import StrEnum

from calicopin.scale import guard, nodes, simulated_couriers
from calicopin.scale.change_feed import MIN_GAP_MS, Change, ChangeFeed, FeedPlan, now
from calicopin.scale.fit import percentile
from calicopin.scale.list_source import ListSize, write
from calicopin.scale.results import Figure
from calicopin.scale.verdict import Differences, Propagation, change_due, compare, propagations, read_source

FLEET = "scale"
IN_FORCE_BOUND_MS = 12_000.0  # from a change until it is in force at the last courier
READY_TIMEOUT_S = 300.0  # for nodes to read the list
START_TIMEOUT_S = 60.0  # until the couriers' first response
POLL_INTERVAL_S = 0.2  # of the couriers' updates and figures
RESTARTED_SHARE = 0.1
NODE_BYTES_PER_DESTINATION = 1_000  # for the estimate of a run
SIMULATION_BYTES_PER_COURIER = 400_000  # likewise


class Fault(StrEnum):
    """The injected fault."""

    NODE_KILLED = "node-killed"
    ALL_GONE_AND_BACK = "all-gone-and-back"
    RESTART_TENTH = "restart-tenth"
    HALF_OPEN = "half-open"


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """One run; changes go on for `lead` seconds before, `during` in and `after` seconds after the fault.

    `bound` is in ms.
    """

    fault: Fault
    nodes: int = 4
    destinations: int = 20_000
    couriers: int = 200
    per_second: float = 10.0
    seed: int = 1
    lead: float = 5.0
    during: float = 12.0
    after: float = 8.0
    bound: float = IN_FORCE_BOUND_MS
    endpoints_per_destination: int = 1
    min_gap_ms: float = MIN_GAP_MS
    settle_timeout: float = IN_FORCE_BOUND_MS / 1000.0 + 8.0  # s, for the last change to be in force


@dataclass(slots=True)
class FaultOutcome:
    """The measured figures and detected faults; `faults` has one line each."""

    figures: list[Figure] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    pairs: list[Propagation] = field(default_factory=list)
    differences: Differences = field(default_factory=Differences)
    max_lateness_ms: float = 0.0

    @property
    def holds(self) -> bool:
        """Whether no fault was detected."""
        return not self.faults


def estimate(plan: FaultPlan) -> guard.Estimate:
    """Expected resources of the run."""
    memory = plan.nodes * (guard.PROCESS_BYTES + plan.destinations * NODE_BYTES_PER_DESTINATION)
    return guard.Estimate(
        memory + plan.couriers * SIMULATION_BYTES_PER_COURIER + 2 * guard.PROCESS_BYTES, plan.nodes + 2
    )


class FaultRun:
    """One run, step by step. Tests replace `fleet_class` and `programs` to inject faults."""

    def __init__(
        self,
        plan: FaultPlan,
        progress: Callable[[str], None],
        fleet_class: type[simulated_couriers.SimulatedFleet] = simulated_couriers.SimulatedFleet,
        programs: Sequence[tuple[str, ...]] = (),
    ):
        self.plan, self.progress, self.fleet_class = plan, progress, fleet_class
        self.programs = [*programs, *[nodes.PROGRAM] * (plan.nodes - len(programs))]
        self.numbers = tuple(range(plan.couriers))
        self.updates: list[simulated_couriers.ReceivedUpdate] = []
        self.reachable_since: Callable[[Change, int], float] = change_due
        self.outcome = FaultOutcome()
        self.max_loop_lateness_ms = 0.0  # largest timer delay in the event loop of the simulated couriers

    def run(self) -> FaultOutcome:
        """Executes the run; its processes and files are removed at the end."""
        with tempfile.TemporaryDirectory(prefix="calicopin-scale-") as folder, ExitStack() as stack:
            self._start(folder, stack)
            feed = ChangeFeed(self.path, self._feed_plan())
            stack.callback(feed.stop)
            feed.start()
            self._wait(self.plan.lead)
            self.progress(f"{self.plan.fault}: injecting the fault")
            getattr(self, "_" + self.plan.fault.replace("-", "_"))()
            self.progress(f"{self.plan.fault}: waiting for the last changes")
            feed.join()
            self._wait_in_force(feed)
            self._evaluate(feed)
        return self.outcome

    def _start(self, folder: str, stack: ExitStack) -> None:
        plan = self.plan
        self.path = os.path.join(folder, "list.log")
        self.progress(f"{plan.fault}: {plan.nodes} nodes, {plan.destinations:,} destinations")
        with open(self.path, "w", encoding="ascii") as file:
            write(file, FLEET, ListSize(plan.destinations, plan.endpoints_per_destination), plan.seed)
        self.nodes = [
            stack.enter_context(
                nodes.NodeProcess(f"n{number}", self.path, FLEET, plan.couriers, folder, program)
            )
            for number, program in enumerate(self.programs)
        ]
        for node in self.nodes:
            node.wait_ready(READY_TIMEOUT_S)
        addresses = tuple(node.address for node in self.nodes)
        self.courier_plan = simulated_couriers.CourierPlan(
            FLEET, addresses, plan.destinations, plan.seed, plan.endpoints_per_destination
        )
        self.sets = {
            number: simulated_couriers.destinations_of(number, self.courier_plan) for number in self.numbers
        }
        self.subscribers = simulated_couriers.subscribers_of(self.numbers, self.courier_plan)
        self.couriers = stack.enter_context(
            simulated_couriers.SimulationProcess(self.courier_plan, self.fleet_class)
        )
        self.progress(f"{plan.fault}: {plan.couriers} couriers start")
        self.couriers.start(self.numbers)
        self._wait_answered(self.numbers)

    def _feed_plan(self) -> FeedPlan:
        plan = self.plan
        seconds = plan.lead + plan.during + plan.after
        return FeedPlan(
            plan.per_second,
            seconds,
            tuple(self.subscribers),
            plan.seed,
            endpoints_per_destination=plan.endpoints_per_destination,
            min_gap_ms=plan.min_gap_ms,
        )

    # Faults.

    def _node_killed(self) -> None:
        """Kills one node with SIGKILL; its couriers must spread over the other nodes."""
        killed = self.nodes[0]
        affected = self._couriers_of(killed.address)
        others = Counter(
            each.node for each in self._courier_figures().couriers if each.courier not in affected
        )
        began = now()
        killed.kill()
        last = self._wait_moved(affected, killed.address)
        self._wait(self.plan.during)
        spread = Counter(each.node for each in self._courier_figures().couriers if each.courier in affected)
        self._figure("couriers of the killed node", "couriers", len(affected))
        self._figure(
            "until the last of them asked another node and was answered", "s", (last - began) / 1000.0
        )
        counts = [spread[node.address] for node in self.nodes[1:]]
        self._figure("most of them at one of the rest", "couriers", max(counts), note=f"all: {counts}")
        self._figure("fewest of them at one of the rest", "couriers", min(counts))
        before = [others[node.address] for node in self.nodes[1:]]
        self._figure("couriers of the rest before", "couriers", sum(before), note=f"each: {before}")

    def _all_gone_and_back(self) -> None:
        """Kills all nodes with SIGKILL; later starts all of them on the same addresses.

        Nodes count as reachable from the start of their processes, so the time to read the list is included.
        """
        began = now()
        for node in self.nodes:
            node.kill()
        self._wait(self.plan.during)
        back = now()
        self.reachable_since = lambda change, _: back if change.due >= began - self.plan.bound else change.due
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            node.wait_ready(READY_TIMEOUT_S)
        ready = now()
        last = self._wait_leases(len(self.numbers))
        self._figure("time without a node's process", "s", (back - began) / 1000.0)
        self._figure("until all nodes served, from their start", "s", (ready - back) / 1000.0)
        self._figure("until the last courier had a lease again, from then", "s", (last - ready) / 1000.0)

    def _restart_tenth(self) -> None:
        """Restarts a tenth of the couriers at once, without notifying the nodes and without stored state."""
        count = max(1, round(len(self.numbers) * RESTARTED_SHARE))
        chosen = random.Random(f"restart/{self.plan.seed}").sample(self.numbers, count)
        before = {node.name: node.status()["cpu_seconds"] for node in self.nodes}
        began = now()
        self.couriers.stop(chosen)
        self.couriers.start(chosen)
        last = self._wait_answered(chosen)
        restarted = set(chosen)
        self.reachable_since = lambda change, courier: began if courier in restarted else change.due
        cpu = sum(node.status()["cpu_seconds"] - before[node.name] for node in self.nodes)
        self._figure("couriers restarted at once", "couriers", count)
        self._figure("until the last of them was answered", "s", (last - began) / 1000.0)
        self._figure("processor time of all nodes meanwhile", "s", cpu)
        self._wait(self.plan.during)

    def _half_open(self) -> None:
        """Suspends one node with SIGSTOP, later resumes it: its connections stay open without responses."""
        suspended = self.nodes[0]
        affected = self._couriers_of(suspended.address)
        began = now()
        suspended.suspend()
        last = self._wait_moved(affected, suspended.address)
        self._wait(self.plan.during)
        suspended.resume()
        self._figure("couriers of the stopped node", "couriers", len(affected))
        self._figure("until the last of them was answered by another", "s", (last - began) / 1000.0)

    # Waiting.

    def _courier_figures(self) -> simulated_couriers.ProcessFigures:
        figures = self.couriers.figures()
        self.max_loop_lateness_ms = max(self.max_loop_lateness_ms, figures.lateness_ms)
        return figures

    def _wait(self, seconds: float) -> None:
        time.sleep(seconds)
        self.updates += self.couriers.updates()

    def _couriers_of(self, address: str) -> frozenset[int]:
        return frozenset(each.courier for each in self._courier_figures().couriers if each.node == address)

    def _wait_answered(self, numbers: Sequence[int]) -> float:
        """Waits for the first response to each courier; returns the time of the last one (ms)."""
        wanted, until = set(numbers), time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            started = [each for each in self._courier_figures().couriers if each.courier in wanted]
            if all(each.answered_at is not None for each in started):
                return max(each.answered_at for each in started)
            time.sleep(POLL_INTERVAL_S)
        self.outcome.faults.append(
            f"not every courier was answered within {START_TIMEOUT_S:g} s of its start"
        )
        return now()

    def _wait_moved(self, numbers: frozenset[int], address: str) -> float:
        """Waits until these couriers use other nodes; returns the time, to within `POLL_INTERVAL_S`."""
        if not numbers:
            return now()
        return self._wait_for(
            lambda each: each.courier not in numbers or (each.node != address and each.node_changes > 0),
            "not every courier of the lost node was answered by another",
        )

    def _wait_leases(self, leases: int) -> float:
        """Waits until the nodes hold this many leases in total; returns the time (ms)."""
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            if sum(node.status()["leases"] for node in self.nodes) >= leases:
                return now()
            time.sleep(POLL_INTERVAL_S)
        self.outcome.faults.append(
            f"not every courier had a lease within {START_TIMEOUT_S:g} s of the nodes' return"
        )
        return now()

    def _wait_for(self, done: Callable[[simulated_couriers.CourierFigures], bool], why: str) -> float:
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            figures = self._courier_figures()
            if all(done(each) for each in figures.couriers):
                return figures.at
            time.sleep(POLL_INTERVAL_S)
        self.outcome.faults.append(f"{why} within {START_TIMEOUT_S:g} s")
        return now()

    # The verdict.

    def _wait_in_force(self, feed: ChangeFeed) -> None:
        """Waits until all changes are in force and every courier matches the source, or the time-out."""
        until = time.monotonic() + self.plan.settle_timeout
        source = read_source(self.path, set(self.subscribers))
        while True:
            time.sleep(POLL_INTERVAL_S)
            self.updates += self.couriers.updates()
            pairs = propagations(feed.changes, self.subscribers, self.updates, self.reachable_since)
            known = compare(self.couriers.known(), self.sets, source)
            if time.monotonic() >= until or (known.none and all(pair.at is not None for pair in pairs)):
                self.outcome.pairs, self.outcome.differences = pairs, known
                return

    def _evaluate(self, feed: ChangeFeed) -> None:
        out, pairs = self.outcome, self.outcome.pairs
        out.max_lateness_ms = feed.max_lateness_ms
        never = [pair for pair in pairs if pair.at is None]
        latencies = [pair.latency_ms for pair in pairs if pair.at is not None]
        over_bound = [latency for latency in latencies if latency > self.plan.bound]
        self._figure("changes", "changes", len(feed.changes), note=f"{feed.skipped} skipped")
        self._figure("changes at couriers that use their destination", "pairs", len(pairs))
        for name, share in (("p50", 0.5), ("p99", 0.99), ("worst", 1.0)):
            value = percentile(latencies, share) / 1000.0 if latencies else None
            self._figure(f"in force after a node's reach, {name}", "s", value, self.plan.bound / 1000.0)
        self._figure("never in force", "pairs", len(never), 0.0)
        known = out.differences
        self._figure("the couriers' own loop, at most late", "ms", self.max_loop_lateness_ms)
        self._figure("couriers compared with the source", "couriers", known.couriers)
        self._figure("endpoints missing at the end", "endpoints", known.missing, 0.0)
        self._figure("endpoints known that have left", "endpoints", known.left_but_known, 0.0)
        self._figure("endpoints known as they were", "endpoints", known.outdated, 0.0)
        if not pairs:
            out.faults.append("no change met a courier: nothing was tested")
        if never:
            example = f"{never[0].change.ident} at courier {never[0].courier}"
            out.faults.append(f"{len(never)} changes never came into force, as {example}")
        if over_bound:
            out.faults.append(f"{len(over_bound)} changes took over {self.plan.bound / 1000.0:g} s")
        if not known.none:
            out.faults.append(
                "couriers know what the source has not, or lack it: " + "; ".join(known.examples)
            )

    def _figure(
        self, figure: str, unit: str, value: float | None, bound: float | None = None, note: str = ""
    ) -> None:
        self.outcome.figures.append(Figure(figure, unit, value, bound, note))
