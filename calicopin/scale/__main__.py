"""`python -m calicopin.scale`: one command for each scale test; results as JSON and as a table."""

import time

import click
import msgspec
from loguru import logger

from calicopin.scale import (
    couriers_command,
    fault_command,
    fit,
    node_command,
    one_courier_command,
    results,
    sender_count,
    slopes,
)
from calicopin.scale.options import (
    MEMORY,
    OUTPUT,
    PROCESSES,
    SEED,
    Progress,
    check_limits,
    exit_with_error,
    finish,
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main():
    """Scale tests: slopes of the program, and simulated couriers that subscribe to real discovery nodes.

    \b
    python -m calicopin.scale slopes --json docs/scale/slopes.json

    A run that would exceed half of the machine's memory or 300 processes is refused before it starts.
    All figures apply to this machine. Exit codes: 0 done, 1 the run is void or found a fault, 2 refused,
    3 the load generator fell behind its schedule.
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
    """Cost of a listed destination, a change, a message and a journal record; all measurements, or NAMES.

    Runs the decisions alone, on one core, each size in a separate process.
    """
    chosen = [slopes.MEASUREMENTS[name] for name in names or slopes.MEASUREMENTS]
    check_limits(slopes.estimate(chosen, sizes), memory_mib, processes)
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
    "--in-answers/--not-in-answers", default=True, show_default=True, help="Whether answers report the limit."
)
@click.option(
    "--repeats",
    type=click.IntRange(1, 1000),
    default=10,
    show_default=True,
    help="Consecutive seeds, from --seed.",
)
@SEED
@OUTPUT
def sender_count_(told, senders, limit, offered, seconds, in_answers, repeats, seed, path):
    """Cost of an overstated sender count where only some senders use a destination; in virtual time."""
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
        for reported_senders in told:
            for run_seed in range(seed, seed + repeats):
                progress(f"told {reported_senders:,}, seed {run_seed}")
                scenario = sender_count.Scenario(
                    reported_senders, senders, limit, offered, seconds, in_answers=in_answers
                )
                result = sender_count.simulate(scenario, run_seed)
                for figure, key in sender_count.FIGURES.items():
                    samples[figure].append(fit.Sample(reported_senders, float(getattr(result, key))))
    unit = "share of the messages offered"
    for figure, figure_samples in samples.items():
        run.slopes.append(results.slope(figure, unit, "told sender", figure_samples, fitted=False))
    finish(run, began, path)


main.add_command(node_command.node)
main.add_command(node_command.node_slopes_)
main.add_command(fault_command.fault)
main.add_command(one_courier_command.courier)
main.add_command(couriers_command.couriers_)


@main.command()
@click.argument("before", type=click.Path(exists=True, dir_okay=False))
@click.argument("after", type=click.Path(exists=True, dir_okay=False))
def compare(before, after):
    """Print one table of the figures that the records BEFORE and AFTER have in common."""
    try:
        results.show_comparison(results.load(before), results.load(after))
    except msgspec.DecodeError as fault:
        exit_with_error(f"not a valid run record: {fault}")


if __name__ == "__main__":
    main(prog_name="python -m calicopin.scale")
