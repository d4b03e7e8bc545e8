"""Cost of the discovery node over size: memory and load time over destinations, processor time over couriers,
and the work of one change over list size. Runs are repeated, each in fresh processes."""

import multiprocessing
import os
import random
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack

from calicopin.discovery_node.catalogue import Catalogue
from calicopin.discovery_node.entry import decode_entry, read_line
from calicopin.scale import guard, nodes, simulated_couriers
from calicopin.scale.change_feed import line_of
from calicopin.scale.fit import Sample
from calicopin.scale.list_source import ListSize, encode, entries, write
from calicopin.scale.node_run import (
    MIB,
    NODE_BYTES_PER_DESTINATION,
    READY_TIMEOUT_S,
    SIMULATION_BYTES_PER_COURIER,
    courier_costs,
    node_costs,
)
from calicopin.scale.results import Slope, slope
from calicopin.subscription.leases import LeaseBounds, LeaseTable
from calicopin.subscription.messages import SubscribeRequest
from calicopin.system import REAL_SYSTEM

FLEET = "scale"
DESTINATIONS = (100_000, 400_000, 1_700_000)
COURIERS = (200, 613, 1_731)
LIST_FOR_COURIERS = 100_000  # destinations, while the number of couriers varies
MAX_CHANGES = 10_000  # in one measurement
CHANGE_COURIERS = 613
MEASURE_SECONDS = 15.0  # length of one measurement of processor time
PAUSE_S = 4.0  # between the start of the couriers and the measurement


def destination_costs(destinations: int, seed: int) -> dict[str, float]:
    """A real node with this many destinations: memory, and time until it serves."""
    with tempfile.TemporaryDirectory(prefix="calicopin-scale-") as folder:
        path = os.path.join(folder, "list.log")
        with open(path, "w", encoding="ascii") as file:
            write(file, FLEET, ListSize(destinations), seed)
        with nodes.NodeProcess("n0", path, FLEET, 0, folder) as node:
            seconds, sample = node.wait_ready(READY_TIMEOUT_S), node.sample()
        return {"memory": sample.resident_bytes / MIB, "load": seconds, "cpu": sample.cpu_seconds}


def courier_count_costs(couriers: int, seed: int) -> dict[str, float]:
    """A real node and this many couriers without changes of the list: processor time, memory and bytes."""
    with tempfile.TemporaryDirectory(prefix="calicopin-scale-") as folder, ExitStack() as stack:
        path = os.path.join(folder, "list.log")
        with open(path, "w", encoding="ascii") as file:
            write(file, FLEET, ListSize(LIST_FOR_COURIERS), seed)
        node = stack.enter_context(nodes.NodeProcess("n0", path, FLEET, couriers, folder))
        node.wait_ready(READY_TIMEOUT_S)
        empty = node.sample().resident_bytes
        plan = simulated_couriers.CourierPlan(FLEET, (node.address,), LIST_FOR_COURIERS, seed)
        process = stack.enter_context(simulated_couriers.SimulationProcess(plan))
        at_start = process.start(range(couriers))
        while any(each.answered_at is None for each in process.figures().couriers):
            time.sleep(0.2)
        time.sleep(PAUSE_S)
        node_before, before = node.sample(), process.figures()
        time.sleep(MEASURE_SECONDS)
        node_after, after = node.sample(), process.figures()
    costs = courier_costs(before, after) | node_costs(node_before, node_after)
    costs["node_growth_mib"] = (node_after.resident_bytes - empty) / MIB
    costs["courier_memory_mib"] = (after.resident_bytes - at_start.resident_bytes) / MIB
    costs["couriers_cpu_percent"] = costs["courier_cpu_percent"] * couriers
    return costs


def _lines(destinations: int, seed: int) -> Iterator:
    for number, list_entry in enumerate(entries(ListSize(destinations), seed), 2):
        yield read_line(number, encode(list_entry).encode())


def change_costs(destinations: int, seed: int, couriers: int = CHANGE_COURIERS) -> dict[str, float]:
    """One change of a destination with a subscriber, without I/O: rows and leases examined, and time."""
    catalogue, table = Catalogue(), LeaseTable(FLEET, "n0", "run", LeaseBounds())
    for _ in catalogue.load(_lines(destinations, seed)):
        pass
    plan = simulated_couriers.CourierPlan(FLEET, (), destinations, seed)
    subscribers = simulated_couriers.subscribers_of(range(couriers), plan)
    for courier in range(couriers):
        wanted = simulated_couriers.destinations_of(courier, plan)
        table.request(0.0, SubscribeRequest(FLEET, f"courier-{courier}", subscribe=wanted), None)
    # Only destinations with one subscriber: the work per subscriber is the same at every size.
    single = [
        destination for destination, courier_numbers in subscribers.items() if len(courier_numbers) == 1
    ]
    # Each of them once, as the first change of a destination reads its loaded rows.
    chosen = random.Random(f"change/{seed}").sample(single, min(MAX_CHANGES, len(single)))
    lines = [line_of(destination, 0, "active", 1).encode() for destination in chosen]
    changes = [(decode_entry(line), line) for line in lines]
    rows, leases, began = catalogue.examined_rows, table.examined_leases, time.process_time()
    for changed_entry, line in changes:
        table.change(catalogue.apply(changed_entry, line))
        catalogue.entries(changed_entry.cell)
    seconds = time.process_time() - began
    return {
        "rows": (catalogue.examined_rows - rows) / len(changes),
        "leases": (table.examined_leases - leases) / len(changes),
        "microseconds": seconds / len(changes) * 1e6,
    }


def destination_slopes(
    repeats: int, seed: int, progress: Callable[[str], None], sizes: tuple[int, ...] = DESTINATIONS
) -> list[Slope]:
    """The node's memory and load time."""
    samples = _measure_repeatedly("destinations", destination_costs, sizes, repeats, seed, progress)
    return [
        slope("memory of the node", "MiB", "destination", samples["memory"]),
        slope("time until the node serves", "s", "destination", samples["load"]),
        slope("processor time until the node serves", "s", "destination", samples["cpu"]),
    ]


def courier_slopes(
    repeats: int, seed: int, progress: Callable[[str], None], sizes: tuple[int, ...] = COURIERS
) -> list[Slope]:
    """Processor time of the node and of all couriers together, and memory, without changes."""
    samples = _measure_repeatedly("couriers", courier_count_costs, sizes, repeats, seed, progress)
    return [
        slope("processor time of the node", "percent of a core", "courier", samples["node_cpu_percent"]),
        slope("growth of the node's memory", "MiB", "courier", samples["node_growth_mib"]),
        slope(
            "processor time of all couriers", "percent of a core", "courier", samples["couriers_cpu_percent"]
        ),
        slope("memory of all couriers for control", "MiB", "courier", samples["courier_memory_mib"]),
        slope("bytes sent by a courier", "bytes/s", "courier", samples["courier_sent_bytes_s"]),
        slope("bytes received by a courier", "bytes/s", "courier", samples["courier_received_bytes_s"]),
    ]


def change_slopes(
    repeats: int, seed: int, progress: Callable[[str], None], sizes: tuple[int, ...] = DESTINATIONS
) -> list[Slope]:
    """Work and processor time of one change in the node."""
    samples = _measure_repeatedly("change", change_costs, sizes, repeats, seed, progress, run_in_subprocess)
    return [
        slope("rows looked at by one change", "rows", "destination known", samples["rows"]),
        slope("leases looked at by one change", "leases", "destination known", samples["leases"]),
        slope("processor time of one change", "µs", "destination known", samples["microseconds"]),
    ]


def run_in_subprocess(
    measure: Callable[[int, int], dict[str, float]], size: int, seed: int
) -> dict[str, float]:
    """Runs the measurement in a fresh process with the garbage collector set up as in a node."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(1, context, REAL_SYSTEM.freeze_loaded_objects) as pool:
        return pool.submit(measure, size, seed).result()


def _measure_repeatedly(
    name: str,
    measure: Callable[[int, int], dict[str, float]],
    sizes: tuple[int, ...],
    repeats: int,
    seed: int,
    progress: Callable[[str], None],
    call: Callable = lambda measure, *arguments: measure(*arguments),
) -> dict[str, list[Sample]]:
    """Alternates the sizes, so that varying machine load affects all alike."""
    samples: dict[str, list[Sample]] = {}
    for repeat in range(repeats):
        for size in sizes:
            progress(f"{name} at {size:,}, repeat {repeat + 1} of {repeats}")
            for key, value in call(measure, size, seed + repeat).items():
                samples.setdefault(key, []).append(Sample(size, value))
    return samples


MEASUREMENTS = {"destinations": destination_slopes, "couriers": courier_slopes, "change": change_slopes}


def estimate(names: Sequence[str], sizes: tuple[int, ...]) -> guard.Estimate:
    """Expected resources of the largest of these measurements."""
    couriers = max(sizes or COURIERS) if "couriers" in names else CHANGE_COURIERS
    known = max(sizes or DESTINATIONS) if set(names) - {"couriers"} else LIST_FOR_COURIERS
    memory = known * NODE_BYTES_PER_DESTINATION + couriers * SIMULATION_BYTES_PER_COURIER
    return guard.Estimate(memory + 3 * guard.PROCESS_BYTES, 3)
