"""The command `python -m calicopin.soak`: runs one soak per seed and prints the violations found."""

import asyncio
import json
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path

import click

from calicopin.soak.plan import draw_plan
from calicopin.soak.run import Verdict, run_soak

VIOLATIONS_EXIT_CODE = 1


def parse_seeds(text: str) -> list[int]:
    """The seeds in `7`, `1..20` or `1,4,9`; raises click.BadParameter."""
    try:
        if ".." in text:
            first, _, last = text.partition("..")
            return list(range(int(first), int(last) + 1))
        return [int(part) for part in text.split(",")]
    except ValueError:
        raise click.BadParameter(
            f"{text!r} is neither a seed, a list of seeds nor a range like 1..20"
        ) from None


def print_verdict(verdict: Verdict) -> None:
    """Prints one line for the seed and one for each violation."""
    result = "passed" if not verdict.violations else f"{len(verdict.violations)} violations"
    click.echo(
        f"seed {verdict.seed}: {result}; {verdict.messages} messages, {verdict.arrivals} calls, "
        f"{verdict.delivered} delivered, {verdict.refused} refused, {verdict.copies} repeated answers; "
        f"worst recovery {verdict.tightest:+.1f} calls over its limit; {verdict.plan}"
    )
    for violation in verdict.violations:
        click.echo(f"  {violation.rule}: {violation.what}")


@click.command()
@click.option("--seeds", default="1", help="A seed, a list (1,4) or a range (1..20).", show_default=True)
@click.option("--seconds", default=30.0, help="Seconds of traffic under faults per seed.", show_default=True)
@click.option(
    "--couriers",
    type=click.IntRange(2, 200),
    help="Number of couriers; default: drawn from the seed, 10 to 40.",
)
@click.option("--json", "path", type=click.Path(path_type=Path), help="Also write all verdicts to this file.")
@click.option(
    "--keep", type=click.Path(path_type=Path), help="Keep the couriers' folders and logs in this directory."
)
def main(seeds: str, seconds: float, couriers: int | None, path: Path | None, keep: Path | None) -> None:
    """Runs the soaks one after the other; exit code 1 if any rule was violated."""
    verdicts = []
    for seed in parse_seeds(seeds):
        with tempfile.TemporaryDirectory(prefix="soak-") as folder:
            directory = Path(folder) if keep is None else keep / str(seed)
            verdicts.append(asyncio.run(run_soak(draw_plan(seed, seconds, couriers), directory)))
        print_verdict(verdicts[-1])
    if path is not None:
        path.write_text(json.dumps([asdict(verdict) for verdict in verdicts], indent=1) + "\n", "utf-8")
    failed = sum(bool(verdict.violations) for verdict in verdicts)
    click.echo(f"{len(verdicts)} seeds, {failed} with violations")
    sys.exit(VIOLATIONS_EXIT_CODE if failed else 0)


if __name__ == "__main__":
    main()
