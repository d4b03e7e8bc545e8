"""The source of the list: an append-only file that the node reads in full once and then follows.

The first line is a header, each later one an entry. A later line of an endpoint replaces the earlier one, and
the state `left` removes the endpoint. An invalid line is skipped and logged with its number. A replaced file
is read into a new catalogue in slices while the previous one is still served.
"""

import copy
import os
from collections.abc import Callable, Iterable, Iterator

from loguru import logger

from calicopin.discovery_node.catalogue import Catalogue
from calicopin.discovery_node.entry import EntryError, Line, check_header, read_line
from calicopin.system import REAL_SYSTEM, System
from calicopin.system_errors import is_transient_file_error
from calicopin.wire.loop import Loop, Until

POLL_INTERVAL_MS = 250.0  # ms between two polls of the file
TIME_SLICE_MS = 10.0  # time of a long read in one pass of the event loop
READ_CHUNK_BYTES = 256 * 1024
MAX_LINE_BYTES = 64 * 1024
# minimum number of destinations changed since the last load before the file is reloaded
RELOAD_MIN_CHANGED = 50_000
# the same as a share of all destinations: changed ones are kept in dictionaries of three times the memory
RELOAD_CHANGED_FRACTION = 1 / 8
MAX_LOGGED_FAULTS = 20  # faults of one read that are logged individually


class SourceError(ValueError):
    """The source is unusable; the message names the file."""


class TemporarilyUnreadableError(SourceError):
    """The source is temporarily unreadable, as the system lacked resources; the file may be valid."""


class LineSplitter:
    """Splits chunks of data into lines; data after the last newline is kept for the next chunk."""

    def __init__(self):
        self.number, self._rest, self._skipping_long_line = 0, b"", False

    def feed(self, data: bytes) -> Iterator[Line]:
        """The lines completed by this chunk. A line that is too long yields only a fault."""
        *complete_lines, rest = (self._rest + data).split(b"\n")
        self._rest = rest
        for text in complete_lines:
            self.number += 1
            yield self._line(text)
        if len(self._rest) > MAX_LINE_BYTES:
            self._rest, self._skipping_long_line = b"", True

    def has_partial_line(self) -> bool:
        """Whether an incomplete line is buffered or being skipped."""
        return bool(self._rest) or self._skipping_long_line

    def _line(self, text: bytes) -> Line:
        too_long, self._skipping_long_line = self._skipping_long_line or len(text) > MAX_LINE_BYTES, False
        if too_long:
            return Line(self.number, b"", None, f"longer than {MAX_LINE_BYTES} bytes")
        return read_line(self.number, text)


class SourceFile:
    """A file opened at the source's path; it stays open if the path is replaced by another file."""

    def __init__(self, path: str, system: System = REAL_SYSTEM):
        self.path, self.offset, self.splitter, self.system = path, 0, LineSplitter(), system
        self.descriptor = system.open_to_read(path)
        file_status = system.open_status(self.descriptor)
        self.identity, self.size_at_open = (file_status.st_dev, file_status.st_ino), file_status.st_size

    def read_header(self, fleet: str) -> bool:
        """Whether the header is complete; raises SourceError if it is not valid for this node."""
        text, newline, _ = self.read(MAX_LINE_BYTES, 0).partition(b"\n")
        if not newline and len(text) < MAX_LINE_BYTES:
            return False
        try:
            check_header(text, fleet)
        except EntryError as fault:
            raise SourceError(f"{self.path}:1: {fault}") from None
        self.offset, self.splitter.number = len(text) + 1, 1
        return True

    def reader_from_end(self) -> "SourceFile":
        """A second reader of the open file, starting after the last complete line at the time of opening."""
        other, before = copy.copy(self), max(0, self.size_at_open - MAX_LINE_BYTES)
        last = self.read(self.size_at_open - before, before)
        other.splitter, other.offset = LineSplitter(), before + last.rfind(b"\n") + 1
        return other

    def size(self) -> int:
        """The current size of the open file in bytes."""
        return self.system.open_status(self.descriptor).st_size

    def lines(self, end_offset: int) -> Iterator[Line]:
        """The lines from the end of the last read up to `end_offset` or the end of the file."""
        while self.offset < end_offset:
            data = self.read(min(READ_CHUNK_BYTES, end_offset - self.offset), self.offset)
            if not data:
                return
            self.offset += len(data)
            yield from self.splitter.feed(data)

    def read(self, size: int, offset: int) -> bytes:
        """Up to `size` bytes at `offset`, independent of earlier reads."""
        return self.system.read_at(self.descriptor, size, offset)

    def close(self) -> None:
        """Closes the file."""
        self.system.close(self.descriptor)


class FaultReport:
    """Logs the faults of one read: the first ones individually, then the total."""

    def __init__(self, path: str):
        self.path, self.count = path, 0

    def log_faults(self, lines: Iterable[Line]) -> Iterator[Line]:
        """Passes the lines through and logs the invalid ones."""
        for line in lines:
            if line.entry is None:
                self.log_fault(line)
            yield line

    def log_fault(self, line: Line) -> None:
        """Counts and logs an invalid line."""
        self.count += 1
        if self.count <= MAX_LOGGED_FAULTS:
            logger.warning(
                "{path}:{line}: skipped: {fault}",
                event="source.line",
                path=self.path,
                line=line.number,
                fault=line.fault,
            )

    def log_total(self) -> None:
        """Logs the total after the read, if not every fault was logged."""
        if self.count > MAX_LOGGED_FAULTS:
            logger.warning(
                "{path}: {count} lines skipped in total",
                event="source.lines",
                path=self.path,
                count=self.count,
            )


def open_source(path: str, fleet: str, system: System = REAL_SYSTEM) -> SourceFile:
    """Opens the file and checks its header if that is complete; raises SourceError."""
    try:
        file = SourceFile(path, system)
    except OSError as fault:
        raise _unreadable(path, fault) from None
    try:
        file.read_header(fleet)
    except SourceError:
        file.close()
        raise
    except OSError as fault:
        file.close()
        raise _unreadable(path, fault) from None
    return file


def _unreadable(path: str, fault: OSError) -> "SourceError":
    kind = TemporarilyUnreadableError if is_transient_file_error(fault) else SourceError
    return kind(f"{path}: {fault.strerror}")


class Source:
    """Follows the file in `loop`. `changed` is called with the destinations that changed; `subscribed`
    returns the subscribed destinations, the only ones compared after the file was replaced."""

    def __init__(
        self,
        loop: Loop,
        path: str,
        fleet: str,
        changed: Callable[[set[int]], None],
        subscribed: Callable[[], list[int]],
    ):
        self.loop, self.path, self.fleet = loop, path, fleet
        self.changed, self.subscribed = changed, subscribed
        self.catalogue: Catalogue | None = None  # None until the first load is complete
        self.file = open_source(path, fleet, loop.system)
        self.read_at: float | None = None  # wall-clock time of the last read with new data, ms
        self.polls = self.faults = self.loads = 0
        self.replacements = 0  # how often the followed file was replaced or truncated
        self._rejected_stamp: tuple | None = None  # the stat values of the file that was rejected last
        self._must_reload = False  # the offset into the followed file is no longer valid
        self._last_logged = ""  # the last message logged: a fault may recur at every poll
        self.task = loop.spawn_restarting(self.follow)

    @property
    def offset(self) -> int:
        """The number of bytes read from the file."""
        return self.file.offset

    def read_piece(self, offset: int, size: int) -> bytes:
        """Bytes of the file, limited to what this node has read."""
        return self.file.read(max(0, min(size, self.file.offset - offset)), offset)

    def follow(self) -> Iterator[Until]:
        """Polls the file forever."""
        while True:
            yield from self.poll()
            self.polls += 1
            yield Until(self.loop.now() + POLL_INTERVAL_MS)

    def poll(self) -> Iterator[Until]:
        """Reads what is new at the path."""
        try:
            file_status = self.loop.system.status(self.path)
        except OSError as fault:
            self._log_once(f"{self.path}: {fault.strerror}; still serving the last valid list")
            return
        stamp = (file_status.st_dev, file_status.st_ino, file_status.st_size, file_status.st_mtime_ns)
        if stamp == self._rejected_stamp:
            return
        if self.catalogue is None or self._is_replaced(file_status) or self._should_reload():
            yield from self._reload(stamp)
        elif file_status.st_size > self.file.offset:
            self._last_logged = ""
            yield from self._apply_appended(file_status.st_size)

    def _is_replaced(self, file_status: os.stat_result) -> bool:
        other = (file_status.st_dev, file_status.st_ino) != self.file.identity
        return self._must_reload or other or file_status.st_size < self.file.offset

    def _should_reload(self) -> bool:
        """Whether enough destinations changed to reload the same file."""
        catalogue = self.catalogue
        return catalogue.changed > max(RELOAD_MIN_CHANGED, RELOAD_CHANGED_FRACTION * catalogue.destinations)

    def _apply_appended(self, size: int) -> Iterator[Until]:
        """Applies the appended lines, one time slice per pass of the event loop."""
        report, changed_destinations, slice_started = FaultReport(self.path), set(), self.loop.now()
        try:
            for line in report.log_faults(self.file.lines(size)):
                if line.entry is not None:
                    changed_destinations |= self.catalogue.apply(line.entry, line.data)
                if self.loop.now() - slice_started >= TIME_SLICE_MS:
                    self._notify_changed(changed_destinations)
                    changed_destinations = set()
                    yield Until(self.loop.now())
                    slice_started = self.loop.now()
        except OSError as fault:
            self._log_once(f"{self.path}: {fault.strerror}; still serving the last valid list")
        finally:
            self._notify_changed(changed_destinations)
        self._finish_read(report)

    def _reload(self, stamp: tuple) -> Iterator[Until]:
        """Reads the whole file and serves it if it is valid; else the last valid list is still served."""
        try:
            file = open_source(self.path, self.fleet, self.loop.system)
        except TemporarilyUnreadableError as fault:
            self._log_once(f"{fault}; still serving the last valid list" if self.catalogue else str(fault))
            return
        except SourceError as fault:
            self._reject(
                stamp, f"{fault}; still serving the last valid list" if self.catalogue else str(fault)
            )
            return
        if file.offset == 0:
            file.close()
            self._reject(stamp, f"{self.path}: the header line is incomplete")
            return
        report, catalogue, appended_reader = (
            FaultReport(self.path),
            Catalogue(file.size_at_open),
            file.reader_from_end(),
        )
        try:
            lines = report.log_faults(file.lines(file.size_at_open))
            yield from self._run_in_slices(
                catalogue.load(lines), lambda: self._apply_appended_during_load(appended_reader)
            )
            for line in report.log_faults(file.lines(appended_reader.offset)):
                if line.entry is not None:
                    catalogue.apply(line.entry, line.data)
        except OSError as fault:  # the next poll retries: the file itself may be valid
            file.close()
            self._log_once(f"{self.path}: {fault.strerror}")
            return
        self._finish_read(report)
        if self.catalogue is not None and self.catalogue.endpoints and not catalogue.endpoints:
            file.close()
            self._reject(stamp, f"{self.path}: contains no endpoint; still serving the last valid list")
            return
        yield from self._switch_to(file, catalogue)

    def _apply_appended_during_load(self, file: SourceFile) -> None:
        """Applies lines appended during a load to the list still being served, as a load may take longer
        than the time allowed for a change. Invalid lines are logged when the load reads them."""
        if self.catalogue is None:
            return
        changed_destinations = set()
        for line in file.lines(min(file.size(), file.offset + READ_CHUNK_BYTES)):
            if line.entry is not None:
                changed_destinations |= self.catalogue.apply(line.entry, line.data)
        self._notify_changed(changed_destinations)

    def _switch_to(self, file: SourceFile, catalogue: Catalogue) -> Iterator[Until]:
        """Switches to the new catalogue at once, then reports the subscribed destinations that differ."""
        old_file, self.file = self.file, file
        old, self.catalogue = self.catalogue, catalogue
        old_file.close()
        self.replacements += file.identity != old_file.identity or file.size_at_open < old_file.offset
        self.loads += 1
        self._rejected_stamp, self._must_reload, self._last_logged = None, False, ""
        logger.info(
            "{path}: {destinations} destinations, {endpoints} endpoints",
            event="source.loaded",
            path=self.path,
            destinations=catalogue.destinations,
            endpoints=catalogue.endpoints,
        )
        if old is not None:
            yield from self._run_in_slices(self._notify_differences(old, catalogue, self.subscribed()))

    def _notify_differences(self, old: Catalogue, new: Catalogue, subscribed: list[int]) -> Iterator[None]:
        for destination in subscribed:
            if sorted(old.entries(destination)) != sorted(new.entries(destination)):
                self._notify_changed({destination})
            yield

    def _run_in_slices(
        self, steps: Iterator[None], poll: Callable[[], None] | None = None
    ) -> Iterator[Until]:
        """Runs long work in one time slice per pass of the event loop, so that requests are served meanwhile;
        calls `poll` at the polling interval."""
        slice_started = polled_at = self.loop.now()
        for _ in steps:
            if self.loop.now() - slice_started < TIME_SLICE_MS:
                continue
            yield Until(self.loop.now())
            slice_started = self.loop.now()
            if poll and slice_started >= polled_at + POLL_INTERVAL_MS:
                poll()
                polled_at = slice_started

    def _notify_changed(self, changed_destinations: set[int]) -> None:
        if changed_destinations:
            self.changed(changed_destinations)

    def _finish_read(self, report: FaultReport) -> None:
        report.log_total()
        self.faults += report.count
        self.read_at = self.loop.system.wall_clock_ms()

    def _reject(self, stamp: tuple, why: str) -> None:
        """Ignores the file until it is replaced or written to."""
        self._rejected_stamp, self._must_reload = stamp, True
        self._log_once(why)

    def _log_once(self, why: str) -> None:
        if why != self._last_logged:
            logger.error("{why}", event="source.refused", why=why)
            self._last_logged = why
