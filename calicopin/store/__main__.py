"""`python -m calicopin.store`: inspects a folder of segments, salvages what a damaged one holds, and
measures.
"""

import json
import os
import sys

import click
from loguru import logger

from calicopin.store.segments import SEGMENT_SUFFIX, NewerFormatError, Segments, scan_records
from calicopin.system import REAL_SYSTEM, System

RECORD_KIND_NAMES = {
    b"T": "taken",
    b"S": "sent",
    b"B": "back",
    b"G": "given up",
    b"O": "over",
    b"D": "discovery",
    b"K": "key windows",
    b"P": "past",
    b"H": "begun",
    b"Z": "sealed",
}
UNLIMITED_BYTES = 1 << 50
MAX_VALIDITY_MS = 86_400_000.0  # no text is valid for longer


class ReadOnlySystem(System):
    """Reads the folder and writes nothing. Its clock is the wall clock, as the times in the records are wall
    time.
    """

    @staticmethod
    def now():
        """The wall clock, in ms."""
        return System.wall_clock_ms()

    @staticmethod
    def create(path):
        """A file that discards what is written to it."""
        return os.open(os.devnull, os.O_WRONLY)

    @staticmethod
    def write(_, data):
        """The number of bytes in `data`, as if all had been written."""
        return len(data)

    @staticmethod
    def remove(path):
        """Removes nothing."""
        pass


def lock_folder(folder):
    """Locks the folder for this command; ends it with an error if a courier holds the folder or there is
    none.
    """
    if not os.path.isdir(folder):
        fail(f"{folder}: no such folder")
    try:
        lock = REAL_SYSTEM.lock(folder)
    except OSError:
        fail(f"{folder}: in use by a courier; stop it first")
    click.get_current_context().call_on_close(lambda: os.close(lock))


def fail(message):
    """Ends the command with a message on standard error and exit code 2."""
    click.echo(message, err=True)
    sys.exit(2)


def open_store(folder, system=None):
    """The store as it would be read at a start, with the wall clock as its clock; nothing is written."""
    lock_folder(folder)
    try:
        return Segments(folder, UNLIMITED_BYTES, 0.0, system or ReadOnlySystem(), MAX_VALIDITY_MS)
    except NewerFormatError as fault:
        fail(str(fault))
    except OSError as fault:
        fail(f"{folder}: {fault.strerror}")


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main():
    """Inspects and repairs a courier's folder of segments.

    Not for a folder in use. Exit codes: 0 intact, 1 damage found, 2 cannot be read.
    """
    logger.remove()
    logger.add(sys.stderr, format="{message}", level="WARNING")


@main.command()
@click.argument("folder", type=click.Path())
def verify(folder):
    """Reads every record of FOLDER and reports what cannot be read and what that may have cost."""
    store = open_store(folder)
    click.echo(
        f"{len(store.sizes) - 1} segments, {len(store.texts)} texts live, {store.damage_count} places damaged"
    )
    sys.exit(1 if store.damage_count else 0)


@main.command()
@click.argument("folder", type=click.Path())
def stat(folder):
    """Lists each segment's size, live texts and ended ids."""
    store = open_store(folder)
    for number in sorted(store.sizes)[:-1]:
        click.echo(
            f"{number:08d}  {store.sizes[number]:>10} bytes  {len(store.live_sizes[number]):>7} texts live  "
            f"{len(store.ended_by_segment[number]):>7} ids ended"
        )
    possibly_executed = sum(text.ran_at is not None for text in store.texts.values())
    awaiting_notice = sum(text.verdict is not None for text in store.texts.values())
    click.echo(
        f"{len(store.texts)} texts live ({store.live_bytes} bytes): {possibly_executed} may have run, "
        f"{awaiting_notice} wait for their notice to be heard"
    )


@main.command()
@click.argument("folder", type=click.Path())
def dump(folder):
    """Prints every record as a line of JSON, with its segment and position; of bodies only the length."""
    lock_folder(folder)
    for name in sorted(name for name in os.listdir(folder) if name.endswith(SEGMENT_SUFFIX)):
        for position, kind, payload in scan_records(
            REAL_SYSTEM.read(os.path.join(folder, name)), Segments._checksum
        ):
            output = dict(
                segment=name,
                place=position,
                kind=RECORD_KIND_NAMES.get(kind, "unreadable" if kind is None else repr(kind)),
            )
            if kind is None:
                output["bytes"] = payload
            elif kind == b"T":
                head, _, body = payload.partition(b"\n")
                output |= dict(text=json.loads(head), body_bytes=len(body))
            else:
                output["values"] = json.loads(payload)
            click.echo(json.dumps(output))


@main.command()
@click.argument("folder", type=click.Path())
@click.argument("new", type=click.Path())
def salvage(folder, new):
    """Writes the texts that can be read from FOLDER to the new folder NEW, for a courier to start on; FOLDER
    is not changed.
    """
    store = open_store(folder)
    if os.path.exists(new) and os.listdir(new):
        fail(f"{new}: not empty")
    os.makedirs(new, exist_ok=True)
    lock_folder(new)
    saved = Segments(new, UNLIMITED_BYTES, 0.0, REAL_SYSTEM, MAX_VALIDITY_MS)
    for text in store.texts.values():
        saved.accepted(text)
    saved.flush()
    click.echo(f"{len(saved.texts)} texts saved to {new}, {store.damage_count} places were damaged")
    sys.exit(1 if store.damage_count else 0)


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
    """Compares the store with the single-file journal, a plain append and SQLite under the same load."""
    from calicopin.store.measure import table

    first = True
    for row in table(lives, turns):
        if first:
            click.echo("  ".join(f"{key:>13}" for key in row))
            first = False
        click.echo("  ".join(f"{'-' if value is None else value:>13}" for value in row.values()))


if __name__ == "__main__":
    main(prog_name="python -m calicopin.store")
