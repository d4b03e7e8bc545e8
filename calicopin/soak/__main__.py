"""The command `python -m calicopin.soak`: plays soaks of many seeds and tells what was broken."""

import asyncio
import json
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path

import click

from calicopin.soak.plan import draw_plan
from calicopin.soak.run import Verdict, run_soak

VIOLATIONS_EXIT_CODE = 1  # exit code


def parse_seeds(text: str) -> list[int]:
    """`7`, `1..20` or `1,4,9`; raises click.BadParameter."""
    try:
        if ".." in text:
            first, _, last = text.partition("..")
            return list(range(int(first), int(last) + 1))
        return [int(part) for part in text.split(",")]
    except ValueError:
        raise click.BadParameter(f"{text!r} is neither a seed, a list nor a range like 1..20") from None


def print_verdict(verdict: Verdict) -> None:
    """One line for a seed, and one for each violation."""
    result = "kept" if not verdict.violations else f"{len(verdict.violations)} BROKEN"
    click.echo(
        f"seed {verdict.seed}: {result}; {verdict.messages} messages, {verdict.arrivals} calls, "
        f"{verdict.delivered} delivered, {verdict.refused} refused; tightest return "
        f"{verdict.tightest:+.1f} calls; {verdict.plan}"
    )
    for violation in verdict.violations:
        click.echo(f"  {violation.rule}: {violation.what}")


@click.command()
@click.option("--seeds", default="1", help="A seed, a list (1,4) or a range (1..20).", show_default=True)
@click.option("--seconds", default=30.0, help="Of traffic under faults, a seed.", show_default=True)
@click.option("--couriers", type=click.IntRange(2, 200), help="Drawn by the seed, 10 to 40, where not told.")
@click.option("--json", "path", type=click.Path(path_type=Path), help="Also writes all verdicts there.")
@click.option("--keep", type=click.Path(path_type=Path), help="Keeps the couriers' folders and logs there.")
def main(seeds: str, seconds: float, couriers: int | None, path: Path | None, keep: Path | None) -> None:
    """Plays soaks one after the other; exit code 1 where a rule was broken."""
    verdicts = []
    for seed in parse_seeds(seeds):
        with tempfile.TemporaryDirectory(prefix="soak-") as folder:
            directory = Path(folder) if keep is None else keep / str(seed)
            verdicts.append(asyncio.run(run_soak(draw_plan(seed, seconds, couriers), directory)))
        print_verdict(verdicts[-1])
    if path is not None:
        path.write_text(json.dumps([asdict(verdict) for verdict in verdicts], indent=1) + "\n", "utf-8")
    failed = sum(bool(verdict.violations) for verdict in verdicts)
    click.echo(f"{len(verdicts)} seeds, {failed} with broken rules")
    sys.exit(VIOLATIONS_EXIT_CODE if failed else 0)


if __name__ == "__main__":
    main()
