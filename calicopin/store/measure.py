"""The store beside the old journal, a plain append of the same bytes, and SQLite: one run, one machine,
one load.

Each side takes on and ends texts at so many that live at once; the time of each turn (what one flush takes)
is kept.
"""

import gc
import os
import sqlite3
import tempfile
import time

from calicopin.state.journal import Journal, write_all
from calicopin.state.texts import Text
from calicopin.store.segments import Segments
from calicopin.system import HERE

BODY = b"x" * 300


def made(number):
    """A text of the load, resendable under a reference and valid for an hour."""
    return Text(f"{number:016x}", 7, 0, f"r{number:015x}", None, HERE.now() + 3.6e6, BODY)


class Plain:
    """The floor: the same records appended, and nothing else kept."""

    def __init__(self, folder, most):
        self.inner = Journal(folder, most, 5e11)
        self.file = HERE.create(os.path.join(folder, "plain"))
        self.texts, self.size = self.inner.texts, 0

    def flush(self):
        """Appends what has gathered since the last call."""
        self.size += len(self.inner.buffer)
        write_all(HERE, self.file, self.inner.buffer)
        self.inner.buffer.clear()

    def __getattr__(self, name):
        return getattr(self.inner, name)


class Sqlite:
    """The same records as rows, WAL, one commit a turn, no sync: as durable as the others against a kill."""

    def __init__(self, folder, _):
        self.base = sqlite3.connect(os.path.join(folder, "base"), isolation_level=None)
        self.base.executescript(
            "pragma journal_mode=wal; pragma synchronous=off;"
            "create table if not exists text(id text primary key, until real, tries int, body blob) "
            "without rowid; begin"
        )
        self.texts = {}

    def taken(self, text):
        """A text was accepted: a row of its own."""
        self.texts[text.ident] = text
        self.base.execute(
            "insert or replace into text values(?,?,?,?)", (text.ident, text.until, text.tries, text.body)
        )

    def sent(self, text, at, zone):
        """A submit goes out: one try more in its row."""
        self.base.execute("update text set tries=tries+1 where id=?", (text.ident,))

    def over(self, text, now):
        """The text has ended: its row is deleted."""
        del self.texts[text.ident]
        self.base.execute("delete from text where id=?", (text.ident,))

    def flush(self):
        """Commits what has gathered since the last call."""
        self.base.execute("commit")
        self.base.execute("begin")


SIDES = {
    "journal": lambda folder, most: Journal(folder, most, 5e11, HERE, 60000.0, "b"),
    "segments": lambda folder, most: Segments(folder, most, 5e11, HERE, 60000.0, "b"),
    "plain append": Plain,
    "sqlite": Sqlite,
}


def disk(folder):
    """The bytes of all files in a folder."""
    return sum(entry.stat().st_size for entry in os.scandir(folder))


def one(name, live, turns, a_turn=10):
    """Figures of one side: texts a second, turns in ms, bytes written for each byte of the texts' own
    records.
    """
    most = max(3_000_000, live * 2500)
    with tempfile.TemporaryDirectory() as folder:
        side, number, times, peak = SIDES[name](folder, most), 0, [], 0
        while number < live:
            for _ in range(500):
                side.taken(made(number))
                number += 1
            side.flush()
        waiting = iter(list(side.texts.values()))
        gc.collect()
        gc.disable()
        began = time.perf_counter()
        for turn in range(turns):
            for _ in range(a_turn):
                text = made(number)
                number += 1
                side.taken(text)
                old = next(waiting, None) or text
                side.sent(old, 1000.0, "a")
                side.over(old, HERE.now())
            start = time.perf_counter()
            side.flush()
            times.append((time.perf_counter() - start) * 1000.0)
            if turn % 200 == 0:
                peak = max(peak, disk(folder))
        took = time.perf_counter() - began
        gc.enable()
        held = len(side.texts)
        amplification = (side.written / max(1, side.written - side.moved)) if name == "segments" else None
        start = time.perf_counter()
        begin = None
        if name in ("journal", "segments"):
            begin = SIDES[name](folder, most)
            assert len(begin.texts) == held, (len(begin.texts), held)
        opened = time.perf_counter() - start
        times.sort()
        at = lambda share: times[min(len(times) - 1, int(len(times) * share))]  # noqa: E731
        return dict(
            side=name,
            live=live,
            texts_s=round(turns * a_turn / took),
            p50_ms=round(at(0.5), 3),
            p99_ms=round(at(0.99), 3),
            p999_ms=round(at(0.999), 3),
            worst_ms=round(times[-1], 2),
            disk_mb=round(max(peak, disk(folder)) / 1e6, 1),
            amplification=amplification and round(amplification, 2),
            start_s=round(opened, 2) if begin else None,
        )


def table(lives=(1000, 10_000, 200_000), turns=6000):
    """Rows of figures, sides in turn."""
    for live in lives:
        for name in SIDES:
            yield one(name, live, turns)
