"""`python -m calicopin.scale bench COMMAND`: real discovery nodes before hollow couriers."""

import sys
import time
from collections.abc import Callable

import click

from calicopin.scale import results
from calicopin.scale.bench import bench, faults, node, slopes
from calicopin.scale.bench.cluster import NodeFailedError
from calicopin.scale.bench.hollow_process import HollowFailedError
from calicopin.scale.options import (
    MEMORY,
    OUTPUT,
    PROCESSES,
    SEED,
    Progress,
    allowed,
    end_on_sigterm,
    stop,
)


@click.group("bench")
def bench_group():
    """Real discovery nodes before hollow couriers, with changes by an open-loop schedule.

    Exit codes: 0 done, 1 the run is void or found a fault, 2 refused.
    """


def play(run: results.Run, path: str | None, fill: Callable[[Progress], None]) -> None:
    """Fills the record, shows and keeps it; a node or a process that fails ends it with one plain line."""
    began = time.monotonic()
    end_on_sigterm()
    try:
        with Progress() as progress:
            fill(progress)
    except (NodeFailedError, HollowFailedError) as fault:
        stop(str(fault))
    results.end(run, began)
    results.show(run)
    if path:
        results.keep(run, path)
    for fault in run.faults:
        click.echo(f"FAULT: {fault}")
    if run.void or run.faults:
        sys.exit(1)


@bench_group.command("node")
@click.option("--destinations", type=click.IntRange(min=100), default=1_700_000, show_default=True)
@click.option(
    "--couriers",
    type=click.IntRange(min=1),
    multiple=True,
    default=(613,),
    show_default=True,
    help="One phase each, in rising order.",
)
@click.option(
    "--changes",
    type=click.FloatRange(min=0.001),
    multiple=True,
    default=(11_000 / 86_400,),
    help="Changes a second, one for each phase or one for all. Without it 11,000 a day.",
)
@click.option(
    "--seconds", type=click.FloatRange(min=1.0), default=60.0, show_default=True, help="Of a phase."
)
@click.option("--mean-set", type=click.IntRange(min=1), default=90, show_default=True)
@click.option(
    "--aimed",
    type=click.FloatRange(0.0, 1.0),
    default=0.5,
    show_default=True,
    help="Share of changes that meet a subscribed destination.",
)
@click.option(
    "--down", type=click.FloatRange(0.0, 0.9), default=0.037, show_default=True, help="Share that is down."
)
@SEED
@MEMORY
@PROCESSES
@OUTPUT
def node_(destinations, couriers, changes, seconds, mean_set, aimed, down, seed, memory_mib, processes, path):
    """One real discovery node before hollow couriers, with changes by an open-loop schedule."""
    if list(couriers) != sorted(couriers):
        stop("--couriers: phases come in rising order")
    if len(changes) not in (1, len(couriers)):
        stop("--changes: give one rate, or one for each --couriers")
    rates = changes * len(couriers) if len(changes) == 1 else changes
    phases = [node.Phase(count, rate, seconds) for count, rate in zip(couriers, rates, strict=True)]
    size = bench.BenchSize(destinations, max(couriers), 1, mean_set, down, aimed)
    allowed(bench.estimate(size, sum(rates) * seconds), memory_mib, processes)
    arguments = {
        "destinations": destinations,
        "couriers": list(couriers),
        "changes": list(rates),
        "seconds": seconds,
        "mean_set": mean_set,
        "aimed": aimed,
        "down": down,
    }
    run = results.begin("bench node", arguments, seed)
    play(run, path, lambda progress: node.run(run, size, phases, seed, progress))


@bench_group.command("fault")
@click.argument("kind", type=click.Choice([fault.value for fault in faults.Fault]))
@click.option("--nodes", type=click.IntRange(2, 100), default=4, show_default=True)
@click.option("--destinations", type=click.IntRange(min=100), default=100_000, show_default=True)
@click.option("--couriers", type=click.IntRange(min=10), default=800, show_default=True)
@click.option("--changes", type=click.FloatRange(min=0.001), default=5.0, show_default=True, help="A second.")
@click.option(
    "--lasts", type=click.FloatRange(min=1.0), default=20.0, show_default=True, help="Seconds of the fault."
)
@click.option("--mean-set", type=click.IntRange(min=1), default=90, show_default=True)
@click.option("--aimed", type=click.FloatRange(0.0, 1.0), default=0.9, show_default=True)
@SEED
@MEMORY
@PROCESSES
@OUTPUT
def fault_(
    kind, nodes, destinations, couriers, changes, lasts, mean_set, aimed, seed, memory_mib, processes, path
):
    """A fault of KIND among several real nodes before hollow couriers, with changes all the while."""
    size = bench.BenchSize(destinations, couriers, nodes, mean_set, aimed=aimed)
    played = faults.FaultRun(faults.Fault(kind), changes, lasts=lasts)
    allowed(bench.estimate(size, changes * played.seconds), memory_mib, processes)
    arguments = {
        "kind": kind,
        "nodes": nodes,
        "destinations": destinations,
        "couriers": couriers,
        "changes": changes,
        "lasts": lasts,
        "mean_set": mean_set,
        "aimed": aimed,
    }
    run = results.begin("bench fault", arguments, seed)
    play(run, path, lambda progress: faults.run(run, size, played, seed, progress))


@bench_group.command("slopes")
@click.option(
    "--destinations",
    type=click.IntRange(min=20_000),
    multiple=True,
    default=(100_000, 400_000, 1_700_000),
    show_default=True,
)
@click.option(
    "--couriers", type=click.IntRange(min=1), multiple=True, default=(200, 613, 1118), show_default=True
)
@click.option("--repeats", type=click.IntRange(1, 100), default=2, show_default=True)
@SEED
@MEMORY
@PROCESSES
@OUTPUT
def node_slopes_(destinations, couriers, repeats, seed, memory_mib, processes, path):
    """A real node's memory, load and cost of a change over destinations; its processor time over couriers."""
    sizes = slopes.NodeSizes(tuple(destinations), tuple(couriers))
    changes = slopes.RATE * slopes.BUSY
    allowed(bench.estimate(slopes.estimate_size(sizes), changes), memory_mib, processes)
    arguments = {"destinations": list(destinations), "couriers": list(couriers), "repeats": repeats}
    run = results.begin("bench slopes", arguments, seed)
    play(run, path, lambda progress: slopes.run(run, sizes, repeats, seed, progress))
