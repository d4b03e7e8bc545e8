"""Faults of discovery nodes and couriers under a list that goes on changing, and the verdict on each.

Real nodes as processes, hollow couriers in one process, changes on a schedule of their own. A change has to
be in force at each courier within a bound of the time at which a node is within that courier's reach, and at
the end each courier has to know exactly what the source has.
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
from calicopin.scale.change_feed import LEAST_GAP, Change, ChangeFeed, FeedPlan, now
from calicopin.scale.fit import percentile
from calicopin.scale.list_source import ListSize, write
from calicopin.scale.results import Figure
from calicopin.scale.verdict import Differences, InForce, change_due, compare, in_force, read_source

FLEET = "scale"
BOUND = 12_000.0  # ms from a change to in force at the last courier
READY_PATIENCE = 300.0  # seconds that nodes have to read the list
START_PATIENCE = 60.0  # seconds that couriers have for their first answer
LOOK = 0.2  # seconds between two looks at what was heard
RESTARTED_SHARE = 0.1
DESTINATION_BYTES = 1_000  # of a node's memory, for the estimate before a run
COURIER_BYTES = 400_000  # of the hollow process' memory, for the same


class Fault(StrEnum):
    """What is done to the nodes or couriers."""

    NODE_KILLED = "node-killed"
    ALL_GONE_AND_BACK = "all-gone-and-back"
    RESTART_TENTH = "restart-tenth"
    HALF_OPEN = "half-open"


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """One run. `lead` seconds of changes come before the fault, `during` while it lasts, `after` behind
    it."""

    fault: Fault
    nodes: int = 4
    destinations: int = 20_000
    couriers: int = 200
    per_second: float = 10.0
    seed: int = 1
    lead: float = 5.0
    during: float = 12.0
    after: float = 8.0
    bound: float = BOUND
    endpoints_each: int = 1
    least_gap: float = LEAST_GAP
    settle: float = BOUND / 1000.0 + 8.0  # seconds for the last change to be in force


@dataclass(slots=True)
class FaultOutcome:
    """What was found; `faults` are plain lines, none where all held."""

    figures: list[Figure] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    pairs: list[InForce] = field(default_factory=list)
    differences: Differences = field(default_factory=Differences)
    most_late: float = 0.0

    @property
    def holds(self) -> bool:
        """Whether nothing was found."""
        return not self.faults


def estimate(plan: FaultPlan) -> guard.Estimate:
    """What the run will take."""
    memory = plan.nodes * (guard.PROCESS + plan.destinations * DESTINATION_BYTES)
    return guard.Estimate(memory + plan.couriers * COURIER_BYTES + 2 * guard.PROCESS, plan.nodes + 2)


class FaultRun:
    """One run, step by step. `fleet_class` and `programs` are others in tests that show a fault to be
    found."""

    def __init__(
        self,
        plan: FaultPlan,
        progress: Callable[[str], None],
        fleet_class: type[simulated_couriers.HollowFleet] = simulated_couriers.HollowFleet,
        programs: Sequence[tuple[str, ...]] = (),
    ):
        self.plan, self.progress, self.fleet_class = plan, progress, fleet_class
        self.programs = [*programs, *[nodes.PROGRAM] * (plan.nodes - len(programs))]
        self.numbers = tuple(range(plan.couriers))
        self.heard: list[simulated_couriers.Heard] = []
        self.reach: Callable[[Change, int], float] = change_due
        self.outcome = FaultOutcome()
        self.hollow_late = 0.0  # ms by which the loop of all couriers was behind its timers, at most

    def run(self) -> FaultOutcome:
        """The whole run; its processes and files are gone behind it."""
        with tempfile.TemporaryDirectory(prefix="calicopin-scale-") as folder, ExitStack() as stack:
            self._start(folder, stack)
            feed = ChangeFeed(self.path, self._feed_plan())
            stack.callback(feed.stop)
            feed.start()
            self._wait(self.plan.lead)
            self.progress(f"{self.plan.fault}: the fault")
            getattr(self, "_" + self.plan.fault.replace("-", "_"))()
            self.progress(f"{self.plan.fault}: changes go on")
            feed.join()
            self._settle(feed)
            self._judge(feed)
        return self.outcome

    def _start(self, folder: str, stack: ExitStack) -> None:
        plan = self.plan
        self.path = os.path.join(folder, "list.log")
        self.progress(f"{plan.fault}: {plan.nodes} nodes, {plan.destinations:,} destinations")
        with open(self.path, "w", encoding="ascii") as file:
            write(file, FLEET, ListSize(plan.destinations, plan.endpoints_each), plan.seed)
        self.nodes = [
            stack.enter_context(
                nodes.NodeProcess(f"n{number}", self.path, FLEET, plan.couriers, folder, program)
            )
            for number, program in enumerate(self.programs)
        ]
        for node in self.nodes:
            node.wait_ready(READY_PATIENCE)
        addresses = tuple(node.address for node in self.nodes)
        self.courier_plan = simulated_couriers.CourierPlan(
            FLEET, addresses, plan.destinations, plan.seed, plan.endpoints_each
        )
        self.sets = {
            number: simulated_couriers.destinations_of(number, self.courier_plan) for number in self.numbers
        }
        self.holders = simulated_couriers.subscribers_of(self.numbers, self.courier_plan)
        self.couriers = stack.enter_context(
            simulated_couriers.HollowProcess(self.courier_plan, self.fleet_class)
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
            tuple(self.holders),
            plan.seed,
            endpoints_each=plan.endpoints_each,
            least_gap=plan.least_gap,
        )

    # The faults.

    def _node_killed(self) -> None:
        """SIGKILL of one node: its couriers spread over the rest."""
        lost = self.nodes[0]
        mine = self._couriers_of(lost.address)
        others = Counter(each.node for each in self._courier_figures().couriers if each.courier not in mine)
        began = now()
        lost.kill()
        last = self._wait_moved(mine, lost.address)
        self._wait(self.plan.during)
        spread = Counter(each.node for each in self._courier_figures().couriers if each.courier in mine)
        self._figure("couriers of the killed node", "couriers", len(mine))
        self._figure(
            "until the last of them asked another node and was answered", "s", (last - began) / 1000.0
        )
        counts = [spread[node.address] for node in self.nodes[1:]]
        self._figure("most of them at one of the rest", "couriers", max(counts), note=f"all: {counts}")
        self._figure("fewest of them at one of the rest", "couriers", min(counts))
        before = [others[node.address] for node in self.nodes[1:]]
        self._figure("couriers of the rest before", "couriers", sum(before), note=f"each: {before}")

    def _all_gone_and_back(self) -> None:
        """SIGKILL of all nodes; after a while all are back on the same addresses.

        A node's reach begins with the start of their processes: the time that they take to read the list
        counts.
        """
        began = now()
        for node in self.nodes:
            node.kill()
        self._wait(self.plan.during)
        back = now()
        self.reach = lambda change, _: back if change.due >= began - self.plan.bound else change.due
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            node.wait_ready(READY_PATIENCE)
        ready = now()
        last = self._wait_leases(len(self.numbers))
        self._figure("time without a node's process", "s", (back - began) / 1000.0)
        self._figure("until all nodes served, from their start", "s", (ready - back) / 1000.0)
        self._figure("until the last courier had a lease again, from then", "s", (last - ready) / 1000.0)

    def _restart_tenth(self) -> None:
        """A tenth of the couriers ends without a word and starts with nothing, at once."""
        count = max(1, round(len(self.numbers) * RESTARTED_SHARE))
        chosen = random.Random(f"restart/{self.plan.seed}").sample(self.numbers, count)
        before = {node.name: node.status()["cpu_seconds"] for node in self.nodes}
        began = now()
        self.couriers.retire(chosen)
        self.couriers.start(chosen)
        last = self._wait_answered(chosen)
        restarted = set(chosen)
        self.reach = lambda change, courier: began if courier in restarted else change.due
        cpu = sum(node.status()["cpu_seconds"] - before[node.name] for node in self.nodes)
        self._figure("couriers restarted at once", "couriers", count)
        self._figure("until the last of them was answered", "s", (last - began) / 1000.0)
        self._figure("processor time of all nodes meanwhile", "s", cpu)
        self._wait(self.plan.during)

    def _half_open(self) -> None:
        """SIGSTOP of one node: its connections stay open and nothing comes; later SIGCONT."""
        stopped = self.nodes[0]
        mine = self._couriers_of(stopped.address)
        began = now()
        stopped.stop()
        last = self._wait_moved(mine, stopped.address)
        self._wait(self.plan.during)
        stopped.go_on()
        self._figure("couriers of the stopped node", "couriers", len(mine))
        self._figure("until the last of them was answered by another", "s", (last - began) / 1000.0)

    # Waiting.

    def _courier_figures(self) -> simulated_couriers.ProcessFigures:
        figures = self.couriers.figures()
        self.hollow_late = max(self.hollow_late, figures.lateness_ms)
        return figures

    def _wait(self, seconds: float) -> None:
        time.sleep(seconds)
        self.heard += self.couriers.heard()

    def _couriers_of(self, address: str) -> frozenset[int]:
        return frozenset(each.courier for each in self._courier_figures().couriers if each.node == address)

    def _wait_answered(self, numbers: Sequence[int]) -> float:
        """When the last of these couriers had its first answer."""
        wanted, until = set(numbers), time.monotonic() + START_PATIENCE
        while time.monotonic() < until:
            told = [each for each in self._courier_figures().couriers if each.courier in wanted]
            if all(each.answered_at is not None for each in told):
                return max(each.answered_at for each in told)
            time.sleep(LOOK)
        self.outcome.faults.append(f"not every courier was answered within {START_PATIENCE:g} s of its start")
        return now()

    def _wait_moved(self, numbers: frozenset[int], address: str) -> float:
        """When the last of these couriers was answered by another node; to within the time between two
        looks."""
        if not numbers:
            return now()
        return self._wait_for(
            lambda each: each.courier not in numbers or (each.node != address and each.node_changes > 0),
            "not every courier of the lost node was answered by another",
        )

    def _wait_leases(self, leases: int) -> float:
        """When the nodes held so many leases, all together."""
        until = time.monotonic() + START_PATIENCE
        while time.monotonic() < until:
            if sum(node.status()["leases"] for node in self.nodes) >= leases:
                return now()
            time.sleep(LOOK)
        self.outcome.faults.append(
            f"not every courier had a lease within {START_PATIENCE:g} s of the nodes' return"
        )
        return now()

    def _wait_for(self, done: Callable[[simulated_couriers.CourierFigures], bool], why: str) -> float:
        until = time.monotonic() + START_PATIENCE
        while time.monotonic() < until:
            figures = self._courier_figures()
            if all(done(each) for each in figures.couriers):
                return figures.at
            time.sleep(LOOK)
        self.outcome.faults.append(f"{why} within {START_PATIENCE:g} s")
        return now()

    # The verdict.

    def _settle(self, feed: ChangeFeed) -> None:
        """Until all is in force and every courier knows what the source has, or the time for it is up."""
        until = time.monotonic() + self.plan.settle
        source = read_source(self.path, set(self.holders))
        while True:
            time.sleep(LOOK)
            self.heard += self.couriers.heard()
            pairs = in_force(feed.changes, self.holders, self.heard, self.reach)
            known = compare(self.couriers.known(), self.sets, source)
            if time.monotonic() >= until or (known.none and all(pair.at is not None for pair in pairs)):
                self.outcome.pairs, self.outcome.differences = pairs, known
                return

    def _judge(self, feed: ChangeFeed) -> None:
        out, pairs = self.outcome, self.outcome.pairs
        out.most_late = feed.most_late
        never = [pair for pair in pairs if pair.at is None]
        took = [pair.took for pair in pairs if pair.at is not None]
        late = [one for one in took if one > self.plan.bound]
        self._figure("changes", "changes", len(feed.changes), note=f"{feed.skipped} skipped")
        self._figure("changes at couriers that use their destination", "pairs", len(pairs))
        for name, share in (("p50", 0.5), ("p99", 0.99), ("worst", 1.0)):
            value = percentile(took, share) / 1000.0 if took else None
            self._figure(f"in force after a node's reach, {name}", "s", value, self.plan.bound / 1000.0)
        self._figure("never in force", "pairs", len(never), 0.0)
        known = out.differences
        self._figure("the couriers' own loop, at most late", "ms", self.hollow_late)
        self._figure("couriers compared with the source", "couriers", known.couriers)
        self._figure("endpoints missing at the end", "endpoints", known.missing, 0.0)
        self._figure("endpoints known that have left", "endpoints", known.left_but_known, 0.0)
        self._figure("endpoints known as they were", "endpoints", known.outdated, 0.0)
        if not pairs:
            out.faults.append("no change met a courier: nothing was tested")
        if never:
            example = f"{never[0].change.ident} at courier {never[0].courier}"
            out.faults.append(f"{len(never)} changes never came into force, as {example}")
        if late:
            out.faults.append(f"{len(late)} changes took over {self.plan.bound / 1000.0:g} s")
        if not known.none:
            out.faults.append(
                "couriers know what the source has not, or lack it: " + "; ".join(known.examples)
            )

    def _figure(
        self, figure: str, unit: str, value: float | None, bound: float | None = None, note: str = ""
    ) -> None:
        self.outcome.figures.append(Figure(figure, unit, value, bound, note))
