"""What the commands of `python -m calicopin.scale` share: options, a progress line, bounds, and how a run
ends."""

import signal
import sys

import click
from rich.console import Console

from calicopin.scale import guard, results


def exit_with_error(line: str) -> None:
    """One plain line on standard error, and exit code 2."""
    click.echo(line, err=True)
    sys.exit(2)


def check_limits(estimate: guard.Estimate, memory_mib: int | None, processes: int | None) -> None:
    """Refuses a run that would pass its bounds."""
    try:
        guard.check(estimate, guard.bounds(memory_mib, processes))
    except guard.RunRefusedError as fault:
        exit_with_error(str(fault))


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
        """Says what is done now."""
        if self.console.is_terminal:
            self.status.update(line)
        else:
            click.echo(line, err=True)


def finish(run: results.Run, began: float, path: str | None) -> None:
    """The record as a table, and as JSON where a path is given; exit code 1 where the run is void."""
    results.record_end(run, began)
    results.show(run)
    if path:
        results.save(run, path)
    if run.void:
        sys.exit(1)


def end_on_sigterm() -> None:
    """SIGTERM ends a run as an exception does, so that its processes and files are gone behind it."""
    signal.signal(signal.SIGTERM, lambda number, _: sys.exit(128 + number))


def finish_load(
    run: results.Run,
    began: float,
    path: str | None,
    max_lateness_ms: float = 0.0,
    lateness_bound_ms: float = float("inf"),
) -> None:
    """The record, a verdict line, and the exit code: 3 where the generator was late, 1 where a fault was
    found."""
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


EXIT_FAULTS, EXIT_LATE = 1, 3  # exit codes
SEED = click.option("--seed", type=int, default=1, show_default=True)
OUTPUT = click.option(
    "--json", "path", type=click.Path(dir_okay=False, writable=True), help="Keep the run's record here."
)
MEMORY = click.option(
    "--memory-mib", type=click.IntRange(min=1), help="Most memory; half of the machine's without it."
)
PROCESSES = click.option(
    "--processes",
    type=click.IntRange(1, guard.MAX_PROCESSES),
    help=f"Most processes; {guard.MAX_PROCESSES} without it.",
)
LATENESS_BOUND = click.option(
    "--late-bound",
    type=click.FloatRange(min=1.0),
    default=250.0,
    show_default=True,
    help="Milliseconds that the generator may be late.",
)
