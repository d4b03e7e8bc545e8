"""Shared by the commands of `python -m calicopin.scale`: options, progress output, limits and exit codes."""

import signal
import sys

import click
from rich.console import Console

from calicopin.scale import guard, results


def exit_with_error(line: str) -> None:
    """Prints `line` on standard error and exits with code 2."""
    click.echo(line, err=True)
    sys.exit(2)


def check_limits(estimate: guard.Estimate, memory_mib: int | None, processes: int | None) -> None:
    """Exits with code 2 if the run would exceed its limits."""
    try:
        guard.check(estimate, guard.bounds(memory_mib, processes))
    except guard.RunRefusedError as fault:
        exit_with_error(str(fault))


class Progress:
    """Status line on standard error: updated in place on a terminal, else one line each."""

    def __init__(self):
        self.console = Console(stderr=True)
        self.status = self.console.status("")

    def __enter__(self):
        self.status.start()
        return self

    def __exit__(self, *_):
        self.status.stop()

    def __call__(self, line: str) -> None:
        """Shows `line` as the current step."""
        if self.console.is_terminal:
            self.status.update(line)
        else:
            click.echo(line, err=True)


def finish(run: results.Run, began: float, path: str | None) -> None:
    """Prints the record, writes it as JSON if `path` is given, and exits with code 1 if the run is void."""
    results.record_end(run, began)
    results.show(run)
    if path:
        results.save(run, path)
    if run.void:
        sys.exit(1)


def end_on_sigterm() -> None:
    """Turns SIGTERM into SystemExit, so that the run's child processes and files are cleaned up."""
    signal.signal(signal.SIGTERM, lambda number, _: sys.exit(128 + number))


def finish_load(
    run: results.Run,
    began: float,
    path: str | None,
    max_lateness_ms: float = 0.0,
    lateness_bound_ms: float = float("inf"),
) -> None:
    """Prints and saves the record and the verdict; exits with 3 if the generator was late, 1 on faults."""
    late = max_lateness_ms > lateness_bound_ms
    if late:
        run.void = (
            f"the generator was {max_lateness_ms:.0f} ms behind its schedule,"
            f" {lateness_bound_ms:.0f} ms is the bound"
        )
    results.record_end(run, began)
    results.show(run)
    if path:
        results.save(run, path)
    for fault in run.faults:
        click.echo(f"FAULT: {fault}")
    click.echo("verdict: " + ("void" if late else f"{len(run.faults)} faults" if run.faults else "holds"))
    if late or run.faults:
        sys.exit(EXIT_LATE if late else EXIT_FAULTS)


EXIT_FAULTS, EXIT_LATE = 1, 3
SEED = click.option("--seed", type=int, default=1, show_default=True)
OUTPUT = click.option(
    "--json",
    "path",
    type=click.Path(dir_okay=False, writable=True),
    help="Write the run's record to this file.",
)
MEMORY = click.option(
    "--memory-mib", type=click.IntRange(min=1), help="Memory limit; half of the machine's memory by default."
)
PROCESSES = click.option(
    "--processes",
    type=click.IntRange(1, guard.MAX_PROCESSES),
    help=f"Process limit; {guard.MAX_PROCESSES} by default.",
)
LATENESS_BOUND = click.option(
    "--late-bound",
    type=click.FloatRange(min=1.0),
    default=250.0,
    show_default=True,
    help="Milliseconds that the load generator may be late.",
)
