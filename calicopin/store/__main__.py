"""`python -m calicopin.store`: looks into a folder of segments, saves what a damaged one holds, measures."""

import json
import os
import sys

import click
from loguru import logger

from calicopin.store.segments import ENDING, NewerFormError, Segments, frames
from calicopin.system import HERE, System

KINDS = {
    b"T": "taken",
    b"S": "sent",
    b"B": "back",
    b"G": "given up",
    b"O": "over",
    b"P": "past",
    b"H": "begun",
    b"Z": "sealed",
}
FOREVER = 1 << 50
DAY = 86_400_000.0  # no text is valid for longer


class Look(System):
    """Reads the folder and writes nothing; its clock is the wall's, as the records' times are."""

    @staticmethod
    def now():
        """The wall clock, in ms."""
        return System.wall()

    @staticmethod
    def create(path):
        """A file that takes everything and keeps nothing."""
        return os.open(os.devnull, os.O_WRONLY)

    @staticmethod
    def write(_, data):
        """How many bytes it took: all of them."""
        return len(data)

    @staticmethod
    def remove(path):
        """Removes nothing."""
        pass


def held(folder):
    """The folder for this command alone; one line where a courier holds it or there is none."""
    if not os.path.isdir(folder):
        stop(f"{folder}: no such folder")
    try:
        lock = HERE.lock(folder)
    except OSError:
        stop(f"{folder}: in use by a courier; stop it first")
    click.get_current_context().call_on_close(lambda: os.close(lock))


def stop(line):
    """Ends the command with one line on standard error and exit code 2."""
    click.echo(line, err=True)
    sys.exit(2)


def opened(folder, system=None):
    """The store as a start would read it, with wall time for its clock; nothing is written."""
    held(folder)
    try:
        return Segments(folder, FOREVER, 0.0, system or Look(), DAY)
    except NewerFormError as fault:
        stop(str(fault))
    except OSError as fault:
        stop(f"{folder}: {fault.strerror}")


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main():
    """A courier's folder of segments.

    Never on a folder in use. Exit codes: 0 sound, 1 damage found, 2 cannot be read.
    """
    logger.remove()
    logger.add(sys.stderr, format="{message}", level="WARNING")


@main.command()
@click.argument("folder", type=click.Path())
def verify(folder):
    """Reads every record of FOLDER and tells what cannot be read and what that may have cost."""
    store = opened(folder)
    click.echo(
        f"{len(store.sizes) - 1} segments, {len(store.texts)} texts live, {store.damage} places damaged"
    )
    sys.exit(1 if store.damage else 0)


@main.command()
@click.argument("folder", type=click.Path())
def stat(folder):
    """Each segment's size, live texts and ended ids."""
    store = opened(folder)
    for number in sorted(store.sizes)[:-1]:
        click.echo(
            f"{number:08d}  {store.sizes[number]:>10} bytes  {len(store.homes[number]):>7} texts live  "
            f"{len(store.ended[number]):>7} ids ended"
        )
    may = sum(text.ran_at is not None for text in store.texts.values())
    owed = sum(text.verdict is not None for text in store.texts.values())
    click.echo(
        f"{len(store.texts)} texts live ({store.live} bytes): {may} may have run, "
        f"{owed} wait for their notice to be heard"
    )


@main.command()
@click.argument("folder", type=click.Path())
def dump(folder):
    """Every record as a line of JSON, with its segment and place; bodies by their length."""
    held(folder)
    for name in sorted(name for name in os.listdir(folder) if name.endswith(ENDING)):
        for place, kind, rest in frames(HERE.read(os.path.join(folder, name)), Segments._check):
            told = dict(
                segment=name, place=place, kind=KINDS.get(kind, "unreadable" if kind is None else repr(kind))
            )
            if kind is None:
                told["bytes"] = rest
            elif kind == b"T":
                head, _, body = rest.partition(b"\n")
                told |= dict(text=json.loads(head), body_bytes=len(body))
            else:
                told["values"] = json.loads(rest)
            click.echo(json.dumps(told))


@main.command()
@click.argument("folder", type=click.Path())
@click.argument("new", type=click.Path())
def salvage(folder, new):
    """Writes what FOLDER still tells to the new folder NEW, to start a courier on; FOLDER stays as it is."""
    store = opened(folder)
    if os.path.exists(new) and os.listdir(new):
        stop(f"{new}: not empty")
    os.makedirs(new, exist_ok=True)
    held(new)
    saved = Segments(new, FOREVER, 0.0, HERE, DAY)
    for text in store.texts.values():
        saved.taken(text)
    saved.flush()
    click.echo(f"{len(saved.texts)} texts saved to {new}, {store.damage} places were damaged")
    sys.exit(1 if store.damage else 0)


@main.command()
@click.option(
    "--live",
    "lives",
    multiple=True,
    type=click.IntRange(10, 1_000_000),
    default=(1000, 10_000, 200_000),
    show_default=True,
)
@click.option("--turns", type=click.IntRange(100, 1_000_000), default=6000, show_default=True)
def measure(lives, turns):
    """The store beside the old journal, a plain append and SQLite, under one load."""
    from calicopin.store.measure import table

    first = True
    for row in table(lives, turns):
        if first:
            click.echo("  ".join(f"{key:>13}" for key in row))
            first = False
        click.echo("  ".join(f"{'-' if value is None else value:>13}" for value in row.values()))


if __name__ == "__main__":
    main(prog_name="python -m calicopin.store")
