"""The record of one run: what was asked, on which program and machine, and each figure with its samples and
fit."""

import os
import platform
import subprocess
import sys
import time
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from calicopin.scale import fit, guard

ROOT = Path(__file__).resolve().parents[2]
MOST_COLUMNS = 10  # of a table with a row a line
PROGRAM = ("calicopin", ":!calicopin/scale")  # what the runs measure, as git names it


class Machine(msgspec.Struct, frozen=True):
    """Where a run was made, and what else loaded the machine meanwhile."""

    cores: int
    memory_bytes: int
    python: str
    load_before: tuple[float, float, float]
    load_after: tuple[float, float, float] | None = None


class Slope(msgspec.Struct, frozen=True):
    """One figure over one size."""

    figure: str
    unit: str
    over: str
    samples: list[fit.Sample]
    spreads: list[fit.Spread]
    line: fit.Line | None


class Figure(msgspec.Struct, frozen=True):
    """One figure of a run that has no size to be fitted over; `bound` is the users' where there is one."""

    figure: str
    unit: str
    value: float | None
    bound: float | None = None
    note: str = ""


class Run(msgspec.Struct):
    """One run as it is kept under docs/scale/."""

    command: str
    arguments: dict
    seed: int
    revision: str
    program: str
    changed: bool
    started: str
    machine: Machine
    seconds: float = 0.0
    slopes: list[Slope] = []
    figures: list[Figure] = []
    rows: list[dict] = []
    void: str = ""
    faults: list[str] = []


def _git(*words: str) -> str:
    told = subprocess.run(["git", "-C", str(ROOT), *words], capture_output=True, text=True, check=False)
    return told.stdout.strip()


def begin(command: str, arguments: dict, seed: int) -> Run:
    """A record that notes program and machine before the run."""
    return Run(
        command=f"python -m calicopin.scale {command}",
        arguments=arguments,
        seed=seed,
        revision=_git("rev-parse", "--short=12", "HEAD"),
        program=_git("log", "-1", "--format=%h %s", "--", *PROGRAM),
        changed=bool(_git("status", "--porcelain", "--", *PROGRAM)),
        started=time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        machine=Machine(
            os.cpu_count() or 1, guard.machine_memory(), platform.python_version(), os.getloadavg()
        ),
    )


def end(run: Run, began: float) -> None:
    """Notes how long it took and the machine's load at its end; `began` is of `time.monotonic`."""
    run.seconds = round(time.monotonic() - began, 1)
    run.machine = msgspec.structs.replace(run.machine, load_after=os.getloadavg())


def slope(figure: str, unit: str, over: str, samples: list[fit.Sample], fitted: bool = True) -> Slope:
    """The figure with its spread, and with its line where there are sizes enough and one is to be
    `fitted`."""
    sizes = len({sample.size for sample in samples})
    line = fit.line(samples) if fitted and sizes >= fit.LEAST_SIZES else None
    return Slope(figure, unit, over, samples, fit.spreads(samples), line)


def keep(run: Run, path: str) -> None:
    """Writes the record as JSON."""
    data = msgspec.json.format(msgspec.json.encode(run), indent=1)
    Path(path).parent.mkdir(parents=True, exist_ok=True)
    Path(path).write_bytes(data + b"\n")


def load(path: str) -> Run:
    """Reads a record; raises OSError or msgspec.DecodeError."""
    return msgspec.json.decode(Path(path).read_bytes(), type=Run)


def number(value: float | None) -> str:
    """A figure with four digits that count."""
    if value is None:
        return "not measured"
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.4g}"


def console() -> Console:
    """One that folds no table where nobody looks at it."""
    return Console() if sys.stdout.isatty() else Console(width=180)


def show(run: Run) -> None:
    """Prints the record as tables."""
    out = console()
    out.print(f"{run.command}  seed {run.seed}  program {run.program}  {run.started}", highlight=False)
    loads = f"load {run.machine.load_before} to {run.machine.load_after}"
    out.print(f"{run.machine.cores} cores, {loads}, {run.seconds} s", highlight=False)
    if run.slopes:
        _show_slopes(out, run.slopes)
    if run.figures:
        table = Table("figure", "value", "unit", "bound", "note", box=None)
        for one in run.figures:
            bound = "" if one.bound is None else number(one.bound)
            table.add_row(one.figure, number(one.value), one.unit, bound, one.note)
        out.print(table)
    if run.rows and len(run.rows[0]) > MOST_COLUMNS:
        out.print(_upright(run.rows))
    elif run.rows:
        heads = list(run.rows[0])
        table = Table(*heads, box=None)
        for row in run.rows:
            cells = [row.get(head) for head in heads]
            table.add_row(*(number(cell) if isinstance(cell, float) else str(cell) for cell in cells))
        out.print(table)
    if run.void:
        out.print(f"VOID: {run.void}", highlight=False)


def _cell(value) -> str:
    return number(value) if value is None or isinstance(value, float) else str(value)


def _upright(rows: list[dict]) -> Table:
    """One column a row, where the rows are too wide."""
    table = Table("", *[str(position) for position, _ in enumerate(rows, 1)], box=None)
    for head in rows[0]:
        table.add_row(head, *[_cell(row.get(head)) for row in rows])
    return table


def _show_slopes(out: Console, slopes: list[Slope]) -> None:
    table = Table("figure", "unit", "over", "size", "repeats", "median", "least", "most", box=None)
    for one in slopes:
        for row in one.spreads:
            numbers = map(number, (row.median, row.least, row.most))
            table.add_row(one.figure, one.unit, one.over, f"{row.size:,g}", str(row.repeats), *numbers)
    out.print(table)
    lines = Table("figure", "unit", "slope a", "is", "intercept", "residual", "residual / mean", box=None)
    for one in slopes:
        if one.line:
            numbers = (number(one.line.slope), number(one.line.intercept), number(one.line.residual))
            lines.add_row(one.figure, one.unit, one.over, *numbers, f"{one.line.residual_share:.3f}")
    if any(one.line for one in slopes):
        out.print(lines)


def show_both(before: Run, after: Run) -> None:
    """What two runs measured alike, side by side: medians with their spread, and the slopes."""
    out = console()
    out.print(f"before: {before.program}  {before.started}", highlight=False)
    out.print(f"after:  {after.program}  {after.started}", highlight=False)
    table = Table("figure", "unit", "size", "before", "least..most", "after", "least..most", box=None)
    later = {(one.figure, row.size): row for one in after.slopes for row in one.spreads}
    for one in before.slopes:
        for row in one.spreads:
            if other := later.get((one.figure, row.size)):
                table.add_row(one.figure, one.unit, f"{row.size:,g}", *_spread(row), *_spread(other))
    out.print(table)


def _spread(row: fit.Spread) -> tuple[str, str]:
    return number(row.median), f"{number(row.least)}..{number(row.most)}"
