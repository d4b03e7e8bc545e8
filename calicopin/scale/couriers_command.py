"""`python -m calicopin.scale couriers`: real couriers with traffic and real nodes, under faults."""

import dataclasses
import tempfile
import time
from pathlib import Path

import click

from calicopin.scale import couriers, guard, results
from calicopin.scale.nodes import NodeError
from calicopin.scale.one_courier import MeasureError
from calicopin.scale.options import (
    MEMORY,
    OUTPUT,
    PROCESSES,
    SEED,
    Progress,
    check_limits,
    end_on_sigterm,
    exit_with_error,
    finish_load,
)

NODE_BYTES_PER_DESTINATION = 400  # memory of a node


@click.command("couriers")
@click.option("--couriers", "count", type=click.IntRange(1, 200), default=20, show_default=True)
@click.option("--nodes", type=click.IntRange(2, 20), default=3, show_default=True)
@click.option("--destinations", type=click.IntRange(min=10), default=20_000, show_default=True)
@click.option("--used", type=click.IntRange(min=1), default=90, show_default=True, help="By each courier.")
@click.option("--rate", type=click.FloatRange(0.1, 200.0), default=5.0, show_default=True, help="Each.")
@click.option("--seconds", type=click.FloatRange(min=1.0), default=40.0, show_default=True)
@SEED
@MEMORY
@PROCESSES
@OUTPUT
def couriers_(count, nodes, destinations, used, rate, seconds, seed, memory_mib, processes, path):
    """Real couriers with traffic, while a node and some couriers are killed and endpoints leave."""
    if used > destinations:
        exit_with_error("--used is at most --destinations")
    memory = (count + nodes) * guard.PROCESS_BYTES + nodes * destinations * NODE_BYTES_PER_DESTINATION
    check_limits(guard.Estimate(memory, count + nodes), memory_mib, processes)
    end_on_sigterm()
    plan = couriers.Plan(count, nodes, destinations, used, rate, seconds, seed)
    run, began = results.begin("couriers", dataclasses.asdict(plan), seed), time.monotonic()
    with Progress() as progress, tempfile.TemporaryDirectory(prefix="calicopin-scale-") as folder:
        progress(f"{count} couriers, {nodes} nodes, {rate:g} messages a second each, {seconds:g} s")
        try:
            verdict = couriers.run_couriers(plan, Path(folder))
        except (MeasureError, NodeError) as fault:
            run.faults.append(str(fault))
        else:
            figures = dataclasses.asdict(verdict)
            run.faults += figures.pop("faults")
            run.rows = [figures]
    finish_load(run, began, path)
