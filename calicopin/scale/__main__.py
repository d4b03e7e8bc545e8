"""`python -m calicopin.scale`: scale tests by command, with results as JSON and as a table."""

import time

import click
from loguru import logger

from calicopin.scale import fault_command, node_command, results, slopes
from calicopin.scale.options import MEMORY, OUTPUT, PROCESSES, SEED, Progress, allowed, finish


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main():
    """Scale tests: slopes of the program, and hollow couriers before real discovery nodes.

    \b
    python -m calicopin.scale slopes --json docs/scale/slopes.json

    A run that would pass half of the machine's memory or a few hundred processes is refused before it begins. All
    figures are of this machine. Exit codes: 0 done, 1 the run is void or found a fault, 2 refused, 3 the load itself was late.
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


main.add_command(node_command.node)
main.add_command(node_command.node_slopes_)
main.add_command(fault_command.fault)


if __name__ == "__main__":
    main(prog_name="python -m calicopin.scale")
