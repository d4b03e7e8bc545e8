"""`python -m calicopin.scale`: scale tests by command, with results as JSON and as a table."""

import sys
import time

import click
from loguru import logger
from rich.console import Console

from calicopin.scale import guard, results, slopes


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


class Progress:
    """One line on standard error that says what is done now."""

    def __init__(self):
        self.console = Console(stderr=True)
        self.status = self.console.status("")

    def __enter__(self):
        self.status.start()
        return self

    def __exit__(self, *_):
        self.status.stop()

    def __call__(self, line: str) -> None:
        """Shows a line in place of the one before; on a pipe, as a line of its own."""
        if self.console.is_terminal:
            self.status.update(line)
        else:
            click.echo(line, err=True)


def finish(run: results.Run, began: float, path: str | None) -> None:
    """The record as a table, and as JSON where a path is given; exit code 1 where the run is void."""
    results.end(run, began)
    results.show(run)
    if path:
        results.keep(run, path)
    if run.void:
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

    A run that would pass half of the machine's memory or a few hundred processes is refused before it begins.
    All figures are of this machine. Exit codes: 0 done, 1 the run is void or found a fault, 2 refused.
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


if __name__ == "__main__":
    main(prog_name="python -m calicopin.scale")
