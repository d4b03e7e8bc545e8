"""`python -m calicopin.scale`: scale tests by command, with results as JSON and as a table."""

import sys
import time

import click
import msgspec
from loguru import logger
from rich.console import Console

from calicopin.scale import bench, faults, fit, guard, node_bench, node_slopes, results, sender_count, slopes
from calicopin.scale.cluster import NodeFailed
from calicopin.scale.hollow_process import HollowFailed


def stop(line: str) -> None:
    """One plain line on standard error, and exit code 2."""
    click.echo(line, err=True)
    sys.exit(2)


def allowed(estimate: guard.Estimate, memory_mib: int | None, processes: int | None) -> None:
    """Refuses a run that would pass its bounds."""
    try:
        guard.check(estimate, guard.bounds(memory_mib, processes))
    except guard.Refused as fault:
        stop(str(fault))


QUIET_PROGRESS = 2.0  # seconds between two lines where nobody looks at them


class Progress:
    """One line on standard error that says what is done now."""

    def __init__(self):
        self.console = Console(stderr=True)
        self.status = self.console.status("")
        self.told_at = 0.0

    def __enter__(self):
        self.status.start()
        return self

    def __exit__(self, *_):
        self.status.stop()

    def __call__(self, line: str) -> None:
        if self.console.is_terminal:
            self.status.update(line)
        elif time.monotonic() >= self.told_at + QUIET_PROGRESS:
            self.told_at = time.monotonic()
            click.echo(line, err=True)


def finish(run: results.Run, began: float, path: str | None) -> None:
    """The record as a table, and as JSON where a path is given; exit code 1 where the run is void or failed."""
    results.end(run, began)
    results.show(run)
    if path:
        results.keep(run, path)
    if run.void or run.failed:
        sys.exit(1)


SEED = click.option("--seed", type=int, default=1, show_default=True)
OUTPUT = click.option(
    "--json", "path", type=click.Path(dir_okay=False, writable=True), help="Keep the run's record here."
)
MEMORY = click.option(
    "--memory-mib", type=click.IntRange(min=1), help="Most memory; half of the machine's without it."
)
PROCESSES = click.option(
    "--processes",
    type=click.IntRange(1, guard.MOST_PROCESSES),
    help=f"Most processes; {guard.MOST_PROCESSES} without it.",
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main():
    """Scale tests: slopes of the program, and hollow couriers before real discovery nodes.

    \b
    python -m calicopin.scale slopes --json docs/scale/slopes.json
    python -m calicopin.scale sender-count
    python -m calicopin.scale node --couriers 613 --changes 1.27 --seconds 100
    python -m calicopin.scale node-slopes
    python -m calicopin.scale fault node-killed
    python -m calicopin.scale compare before.json after.json

    A run that would pass half of the machine's memory or a few hundred processes is refused before it begins. All
    figures are of this machine. Exit codes: 0 done, 1 the run is void or found a fault, 2 refused.
    """
    logger.remove()


@main.command("slopes")
@click.argument("names", nargs=-1, type=click.Choice(list(slopes.MEASUREMENTS)))
@click.option(
    "--size", "sizes", type=click.IntRange(min=1), multiple=True, help="Other sizes, three or more."
)
@click.option("--repeats", type=click.IntRange(1, 100), default=3, show_default=True)
@SEED
@MEMORY
@PROCESSES
@OUTPUT
def slopes_(names, sizes, repeats, seed, memory_mib, processes, path):
    """What a listed destination, a change, a message and a journal record cost; all measurements, or NAMES.

    The decisions alone, on one core, each size in a process of its own.
    """
    chosen = [slopes.MEASUREMENTS[name] for name in names or slopes.MEASUREMENTS]
    allowed(slopes.estimate(chosen, sizes), memory_mib, processes)
    arguments = {"names": [one.name for one in chosen], "sizes": list(sizes), "repeats": repeats}
    run, began = results.begin("slopes", arguments, seed), time.monotonic()
    with Progress() as progress:
        run.slopes = slopes.run(chosen, sizes, repeats, seed, progress)
    finish(run, began, path)


@main.command("sender-count")
@click.option(
    "--told", type=click.IntRange(min=1), multiple=True, default=(20, 190, 1900, 19000), show_default=True
)
@click.option("--senders", type=click.IntRange(1, 1000), default=20, show_default=True)
@click.option(
    "--limit", type=click.FloatRange(min=0.1), default=50.0, show_default=True, help="Calls a second."
)
@click.option(
    "--offered", type=click.FloatRange(min=0.1), default=40.0, show_default=True, help="Messages a second."
)
@click.option("--seconds", type=click.FloatRange(min=1.0), default=60.0, show_default=True)
@click.option(
    "--in-answers/--not-in-answers", default=True, show_default=True, help="Whether answers tell the limit."
)
@click.option(
    "--repeats", type=click.IntRange(1, 1000), default=10, show_default=True, help="Seeds from --seed on."
)
@SEED
@OUTPUT
def sender_count_(told, senders, limit, offered, seconds, in_answers, repeats, seed, path):
    """What a told sender count costs where few of so many senders send to one destination; virtual time."""
    arguments = {
        "told": list(told),
        "senders": senders,
        "limit": limit,
        "offered": offered,
        "seconds": seconds,
        "in_answers": in_answers,
        "repeats": repeats,
    }
    run, began = results.begin("sender-count", arguments, seed), time.monotonic()
    samples = {figure: [] for figure in sender_count.FIGURES}
    with Progress() as progress:
        for number in told:
            for one in range(seed, seed + repeats):
                progress(f"told {number:,}, seed {one}")
                size = sender_count.SenderCount(
                    number, senders, limit, offered, seconds, in_answers=in_answers
                )
                served = sender_count.play(size, one)
                for figure, key in sender_count.FIGURES.items():
                    samples[figure].append(fit.Sample(number, float(getattr(served, key))))
    unit = "share of the messages offered"
    for figure, some in samples.items():
        run.slopes.append(results.slope(figure, unit, "told sender", some, fitted=False))
    finish(run, began, path)


def run_bench(run: results.Run, path: str | None, play) -> None:
    """Plays what needs nodes; a node or a process that fails ends it with one plain line."""
    began = time.monotonic()
    try:
        with Progress() as progress:
            play(progress)
    except (NodeFailed, HollowFailed) as fault:
        stop(str(fault))
    finish(run, began, path)


@main.command("node")
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
    phases = [node_bench.Phase(count, rate, seconds) for count, rate in zip(couriers, rates, strict=True)]
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
    run = results.begin("node", arguments, seed)
    run_bench(run, path, lambda progress: node_bench.run(run, size, phases, seed, progress))


@main.command("fault")
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
    run = results.begin("fault", arguments, seed)
    run_bench(run, path, lambda progress: faults.run(run, size, played, seed, progress))


@main.command("node-slopes")
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
    """A real node's memory, load and cost of a change over destinations, and its processor time over couriers."""
    sizes = node_slopes.NodeSizes(tuple(destinations), tuple(couriers))
    changes = node_slopes.RATE * node_slopes.BUSY
    allowed(bench.estimate(node_slopes.estimate_size(sizes), changes), memory_mib, processes)
    arguments = {"destinations": list(destinations), "couriers": list(couriers), "repeats": repeats}
    run = results.begin("node-slopes", arguments, seed)
    run_bench(run, path, lambda progress: node_slopes.run(run, sizes, repeats, seed, progress))


@main.command()
@click.argument("before", type=click.Path(exists=True, dir_okay=False))
@click.argument("after", type=click.Path(exists=True, dir_okay=False))
def compare(before, after):
    """The figures that two records, BEFORE and AFTER, have in common, in one table."""
    try:
        results.show_both(results.load(before), results.load(after))
    except msgspec.DecodeError as fault:
        stop(f"no record of a run: {fault}")


if __name__ == "__main__":
    main(prog_name="python -m calicopin.scale")
