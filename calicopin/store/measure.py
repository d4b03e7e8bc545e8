"""Compares the segmented store with the single-file journal, a plain append of the same bytes, and SQLite, in
one run on one machine under the same load.

Each store accepts and ends texts while a given number of texts is live; the duration of each flush is
recorded.
"""

import gc
import os
import sqlite3
import tempfile
import time

from calicopin.state.journal import Journal, write_all
from calicopin.state.texts import Text
from calicopin.store.segments import Segments
from calicopin.system import REAL_SYSTEM

TEXT_BODY = b"x" * 300


def make_text(number):
    """A text of the load, resendable with a reference and valid for an hour."""
    return Text(f"{number:016x}", 7, 0, f"r{number:015x}", None, REAL_SYSTEM.now() + 3.6e6, TEXT_BODY)


class PlainAppend:
    """The lower bound: appends the same records and keeps nothing else."""

    def __init__(self, folder, limit):
        self.journal = Journal(folder, limit, 5e11)
        self.file = REAL_SYSTEM.create(os.path.join(folder, "plain"))
        self.texts, self.size = self.journal.texts, 0

    def flush(self):
        """Appends the records buffered since the last call."""
        self.size += len(self.journal.buffer)
        write_all(REAL_SYSTEM, self.file, self.journal.buffer)
        self.journal.buffer.clear()

    def __getattr__(self, name):
        return getattr(self.journal, name)


class Sqlite:
    """The same records as rows, with a WAL, one commit per turn and no sync: as durable as the others if the
    process is killed.
    """

    def __init__(self, folder, _):
        self.database = sqlite3.connect(os.path.join(folder, "base"), isolation_level=None)
        self.database.executescript(
            "pragma journal_mode=wal; pragma synchronous=off;"
            "create table if not exists text(id text primary key, until real, tries int, body blob) "
            "without rowid; begin"
        )
        self.texts = {}

    def accepted(self, text):
        """Inserts a row for an accepted text."""
        self.texts[text.ident] = text
        self.database.execute(
            "insert or replace into text values(?,?,?,?)", (text.ident, text.until, text.tries, text.body)
        )

    def sent(self, text, at, zone):
        """Counts a submit in the text's row."""
        self.database.execute("update text set tries=tries+1 where id=?", (text.ident,))

    def ended(self, text, now):
        """Deletes the row of a text that has ended."""
        del self.texts[text.ident]
        self.database.execute("delete from text where id=?", (text.ident,))

    def flush(self):
        """Commits what was written since the last call."""
        self.database.execute("commit")
        self.database.execute("begin")


STORES = {
    "journal": lambda folder, limit: Journal(folder, limit, 5e11, REAL_SYSTEM, 60000.0, "b"),
    "segments": lambda folder, limit: Segments(folder, limit, 5e11, REAL_SYSTEM, 60000.0, "b"),
    "plain append": PlainAppend,
    "sqlite": Sqlite,
}


def disk_bytes(folder):
    """The bytes of all files in a folder."""
    return sum(entry.stat().st_size for entry in os.scandir(folder))


def measure_store(name, live, turns, texts_per_turn=10):
    """Figures of one store: texts per second, flush times in ms, and bytes written per byte of the texts' own
    records.
    """
    limit = max(3_000_000, live * 2500)
    with tempfile.TemporaryDirectory() as folder:
        store, number, flush_times, peak = STORES[name](folder, limit), 0, [], 0
        while number < live:
            for _ in range(500):
                store.accepted(make_text(number))
                number += 1
            store.flush()
        waiting = iter(list(store.texts.values()))
        gc.collect()
        gc.disable()
        began = time.perf_counter()
        for turn in range(turns):
            for _ in range(texts_per_turn):
                text = make_text(number)
                number += 1
                store.accepted(text)
                ending = next(waiting, None) or text
                store.sent(ending, 1000.0, "a")
                store.ended(ending, REAL_SYSTEM.now())
            start = time.perf_counter()
            store.flush()
            flush_times.append((time.perf_counter() - start) * 1000.0)
            if turn % 200 == 0:
                peak = max(peak, disk_bytes(folder))
        duration = time.perf_counter() - began
        gc.enable()
        live_count = len(store.texts)
        amplification = (
            (store.written_bytes / max(1, store.written_bytes - store.moved_bytes))
            if name == "segments"
            else None
        )
        start = time.perf_counter()
        reopened = None
        if name in ("journal", "segments"):
            reopened = STORES[name](folder, limit)
            assert len(reopened.texts) == live_count, (len(reopened.texts), live_count)
        open_duration = time.perf_counter() - start
        flush_times.sort()
        percentile = lambda share: flush_times[min(len(flush_times) - 1, int(len(flush_times) * share))]  # noqa: E731
        return dict(
            side=name,
            live=live,
            texts_s=round(turns * texts_per_turn / duration),
            p50_ms=round(percentile(0.5), 3),
            p99_ms=round(percentile(0.99), 3),
            p999_ms=round(percentile(0.999), 3),
            worst_ms=round(flush_times[-1], 2),
            disk_mb=round(max(peak, disk_bytes(folder)) / 1e6, 1),
            amplification=amplification and round(amplification, 2),
            start_s=round(open_duration, 2) if reopened else None,
        )


def table(lives=(1000, 10_000, 200_000), turns=6000):
    """Yields a row of figures for each number of live texts and each store."""
    for live in lives:
        for name in STORES:
            yield measure_store(name, live, turns)
