"""The record of one run: arguments, program and machine, and each figure with its samples and fitted line."""

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
MAX_COLUMNS = 10  # wider tables are transposed
PROGRAM = ("calicopin", ":!calicopin/scale")  # git pathspecs of the measured program


class Machine(msgspec.Struct, frozen=True):
    """The machine of a run, and its load averages before and after."""

    cores: int
    memory_bytes: int
    python: str
    load_before: tuple[float, float, float]
    load_after: tuple[float, float, float] | None = None


class Slope(msgspec.Struct, frozen=True):
    """One figure measured over a size, with its samples and fitted line."""

    figure: str
    unit: str
    over: str
    samples: list[fit.Sample]
    spreads: list[fit.Spread]
    line: fit.LinearFit | None


class Figure(msgspec.Struct, frozen=True):
    """One figure of a run that is not measured over a size; `bound` is its required limit, if any."""

    figure: str
    unit: str
    value: float | None
    bound: float | None = None
    note: str = ""


class Run(msgspec.Struct):
    """One run, as stored under docs/scale/."""

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


def _git(*arguments: str) -> str:
    completed = subprocess.run(
        ["git", "-C", str(ROOT), *arguments], capture_output=True, text=True, check=False
    )
    return completed.stdout.strip()


def begin(command: str, arguments: dict, seed: int) -> Run:
    """A new record with the program revision and the machine's state before the run."""
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


def record_end(run: Run, began: float) -> None:
    """Records the duration and the machine's load at the end; `began` is a `time.monotonic` value."""
    run.seconds = round(time.monotonic() - began, 1)
    run.machine = msgspec.structs.replace(run.machine, load_after=os.getloadavg())


def slope(figure: str, unit: str, over: str, samples: list[fit.Sample], fitted: bool = True) -> Slope:
    """A slope record with spreads; has a line if `fitted` is set and there are enough sizes."""
    sizes = len({sample.size for sample in samples})
    line = fit.fit_line(samples) if fitted and sizes >= fit.MIN_SIZES else None
    return Slope(figure, unit, over, samples, fit.spreads(samples), line)


def save(run: Run, path: str) -> None:
    """Writes the record as JSON."""
    data = msgspec.json.format(msgspec.json.encode(run), indent=1)
    Path(path).parent.mkdir(parents=True, exist_ok=True)
    Path(path).write_bytes(data + b"\n")


def load(path: str) -> Run:
    """Reads a record; raises OSError or msgspec.DecodeError."""
    return msgspec.json.decode(Path(path).read_bytes(), type=Run)


def format_number(value: float | None) -> str:
    """Formats a value with four significant digits, or as an integer from 1000."""
    if value is None:
        return "not measured"
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.4g}"


def console() -> Console:
    """A console; 180 columns wide if standard output is not a terminal, so that tables are not wrapped."""
    return Console() if sys.stdout.isatty() else Console(width=180)


def show(run: Run) -> None:
    """Prints the record as tables."""
    out = console()
    out.print(f"{run.command}  seed {run.seed}  program {run.program}  {run.started}", highlight=False)
    loads = f"load {run.machine.load_before} to {run.machine.load_after}"
    out.print(f"{run.machine.cores} cores, {loads}, {run.seconds} s", highlight=False)
    if run.slopes:
        _print_slopes(out, run.slopes)
    if run.figures:
        table = Table("figure", "value", "unit", "bound", "note", box=None)
        for entry in run.figures:
            bound = "" if entry.bound is None else format_number(entry.bound)
            table.add_row(entry.figure, format_number(entry.value), entry.unit, bound, entry.note)
        out.print(table)
    if run.rows and len(run.rows[0]) > MAX_COLUMNS:
        out.print(_transposed_table(run.rows))
    elif run.rows:
        columns = list(run.rows[0])
        table = Table(*columns, box=None)
        for row in run.rows:
            cells = [row.get(column) for column in columns]
            table.add_row(*(format_number(cell) if isinstance(cell, float) else str(cell) for cell in cells))
        out.print(table)
    if run.void:
        out.print(f"VOID: {run.void}", highlight=False)


def _format_cell(value) -> str:
    return format_number(value) if value is None or isinstance(value, float) else str(value)


def _transposed_table(rows: list[dict]) -> Table:
    """A table with one column for each record row, for rows too wide to print."""
    table = Table("", *[str(position) for position, _ in enumerate(rows, 1)], box=None)
    for column in rows[0]:
        table.add_row(column, *[_format_cell(row.get(column)) for row in rows])
    return table


def _print_slopes(out: Console, slopes: list[Slope]) -> None:
    table = Table("figure", "unit", "over", "size", "repeats", "median", "least", "most", box=None)
    for slope_record in slopes:
        for row in slope_record.spreads:
            cells = map(format_number, (row.median, row.least, row.most))
            table.add_row(
                slope_record.figure,
                slope_record.unit,
                slope_record.over,
                f"{row.size:,g}",
                str(row.repeats),
                *cells,
            )
    out.print(table)
    lines = Table("figure", "unit", "slope a", "is", "intercept", "residual", "residual / mean", box=None)
    for slope_record in slopes:
        if slope_record.line:
            cells = (
                format_number(slope_record.line.slope),
                format_number(slope_record.line.intercept),
                format_number(slope_record.line.residual),
            )
            lines.add_row(
                slope_record.figure,
                slope_record.unit,
                slope_record.over,
                *cells,
                f"{slope_record.line.residual_share:.3f}",
            )
    if any(slope_record.line for slope_record in slopes):
        out.print(lines)


def show_comparison(before: Run, after: Run) -> None:
    """Prints the medians and spreads of the figures and sizes that both runs have, side by side."""
    out = console()
    out.print(f"before: {before.program}  {before.started}", highlight=False)
    out.print(f"after:  {after.program}  {after.started}", highlight=False)
    table = Table("figure", "unit", "size", "before", "least..most", "after", "least..most", box=None)
    later = {
        (slope_record.figure, row.size): row for slope_record in after.slopes for row in slope_record.spreads
    }
    for slope_record in before.slopes:
        for row in slope_record.spreads:
            if other := later.get((slope_record.figure, row.size)):
                table.add_row(
                    slope_record.figure,
                    slope_record.unit,
                    f"{row.size:,g}",
                    *_format_spread(row),
                    *_format_spread(other),
                )
    out.print(table)


def _format_spread(row: fit.Spread) -> tuple[str, str]:
    return format_number(row.median), f"{format_number(row.least)}..{format_number(row.most)}"
