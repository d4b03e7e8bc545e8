"""A bench of real nodes, one process of hollow couriers, and a source that changes."""

import os
import tempfile
from collections.abc import Callable
from dataclasses import dataclass

from calicopin.scale import guard
from calicopin.scale.bench import hollow, in_force
from calicopin.scale.bench.changes import ChangeWriter
from calicopin.scale.bench.cluster import FLEET, NodeProcess, Usage
from calicopin.scale.bench.hollow_process import HollowProcess
from calicopin.scale.list_source import ChangeSource, ListSize, write

# Bytes for the estimate before a run; a little over what was measured (docs/scale.md).
NODE_DESTINATION = 400
HOLLOW_DESTINATION = 8_000
HOLLOW_COURIER = 200_000
CHANGE = 3_000

# The users' budgets of a courier for control.
IN_FORCE = 12_000.0  # milliseconds
BYTES_A_SECOND = 13_000.0
CORE_PERCENT = 1.2
MEMORY = 32e6


@dataclass(frozen=True, slots=True)
class BenchSize:
    """What a bench is made of."""

    destinations: int
    couriers: int
    nodes: int = 1
    mean_set: int = 90
    down_share: float = 0.0
    aimed: float = 0.5


def estimate(size: BenchSize, changes: float) -> guard.Estimate:
    """What it will take."""
    node = guard.PROCESS + NODE_DESTINATION * size.destinations
    hollow_each = HOLLOW_COURIER + HOLLOW_DESTINATION * size.mean_set
    memory = guard.PROCESS * 2 + size.nodes * node + size.couriers * hollow_each + changes * CHANGE
    return guard.Estimate(memory, size.nodes + 3)


@dataclass(frozen=True, slots=True)
class Window:
    """What nodes and hollow couriers took between two marks."""

    seconds: float
    node_cpu: tuple[float, ...]  # shares of a core
    hollow_cpu: float
    calls: float  # a second of one courier
    sent: float  # bytes a second of one courier
    received: float
    lateness: float  # worst of the hollow couriers' loop, ms


class Bench:
    """Nodes with their list are ready when it is entered; all processes are ended when it is left."""

    def __init__(self, size: BenchSize, seed: int, progress: Callable[[str], None]):
        self.size, self.seed, self.progress = size, seed, progress
        self.list_size = ListSize(size.destinations, down_share=size.down_share)
        self.folder = tempfile.TemporaryDirectory(prefix="calicopin-scale-")
        self.source = os.path.join(self.folder.name, "list.log")
        self.nodes: list[NodeProcess] = []
        self.hollow: HollowProcess | None = None

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def _start(self) -> None:
        size = self.size
        self.progress(f"writing a list of {size.destinations:,} destinations")
        with open(self.source, "w", encoding="ascii") as file:
            write(file, FLEET, self.list_size, self.seed)
        for number in range(size.nodes):
            log = os.path.join(self.folder.name, f"node{number}.log")
            self.nodes.append(NodeProcess(f"node{number}", self.source, log))
        self.progress(f"{size.nodes} nodes load the list")
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            node.wait_ready()
        addresses = tuple(node.address for node in self.nodes)
        self.settings = hollow.HollowSettings(
            addresses, FLEET, self.list_size, self.seed, self.seed, size.mean_set
        )
        self.hollow = HollowProcess(self.settings)
        self.subscribers = hollow.subscribers(self.settings, size.couriers)
        source = ChangeSource(self.list_size, self.seed, self.seed, self.subscribers, size.aimed)
        self.writer = ChangeWriter(self.source, source)

    def __exit__(self, *_) -> None:
        if self.hollow:
            self.hollow.stop()
        for node in self.nodes:
            node.stop()
        self.folder.cleanup()

    def begin(self, couriers: int) -> hollow.Mark:
        """Starts couriers up to that number; returns once each has its whole set."""
        self.progress(f"{couriers:,} hollow couriers subscribe")
        return self.hollow.ask(hollow.Begin(couriers))

    def mark(self) -> tuple[hollow.Mark, list[Usage | None]]:
        """What was taken so far."""
        return self.hollow.ask(hollow.Take()), [
            node.usage() if node.process.poll() is None else None for node in self.nodes
        ]

    def window(self, before, after) -> Window:
        """What was taken between two marks."""
        (mark0, nodes0), (mark1, nodes1) = before, after
        seconds = (mark1.at - mark0.at) / 1000.0
        each = seconds * mark1.couriers
        cpu = tuple(
            (late.cpu - early.cpu) / seconds if early and late else 0.0
            for early, late in zip(nodes0, nodes1, strict=True)
        )
        return Window(
            seconds=seconds,
            node_cpu=cpu,
            hollow_cpu=(mark1.cpu - mark0.cpu) / seconds,
            calls=(mark1.calls - mark0.calls) / each,
            sent=(mark1.bytes_sent - mark0.bytes_sent) / each,
            received=(mark1.bytes_received - mark0.bytes_received) / each,
            lateness=mark1.lateness,
        )

    def in_force_of(
        self, changes: list[in_force.Announced], couriers: int, reach: dict[int, float] | None = None
    ) -> in_force.Summary:
        """Of these changes at the first so many couriers, as they heard them."""
        heard = self.hollow.ask(hollow.Report())
        there = {
            destination: [courier for courier in some if courier < couriers]
            for destination, some in self.subscribers.items()
        }
        return in_force.summarize(in_force.match(changes, heard, there, reach))

    def differences(self) -> hollow.Differences:
        """What couriers know against the source, all changes over it."""
        changes = {one.ident: one.state for one in self.writer.announced}
        return self.hollow.ask(hollow.Verify(changes))
