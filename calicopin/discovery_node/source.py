"""The source of the list: an append-only file that the node reads whole once and then follows.

The first line is a header, each later one an entry; a later line of the same endpoint replaces the earlier,
and
`state` left removes it. A line that cannot be read is passed over and told by its number. A file that was
replaced is
read into a new catalogue in slices while the last one serves on.
"""

import copy
import os
from collections.abc import Callable, Iterable, Iterator

from loguru import logger

from calicopin.discovery_node.catalogue import Catalogue
from calicopin.discovery_node.entry import EntryError, Line, check_header, read_line
from calicopin.system import HERE, System
from calicopin.system_errors import of_a_moment
from calicopin.wire.loop import Loop, Until

LOOK = 250.0  # ms between two looks at the file
TIME_SLICE_MS = 10.0  # ms of a long read in one pass of the loop
READ_CHUNK_BYTES = 256 * 1024  # bytes of one read
MAX_LINE_BYTES = 64 * 1024  # bytes of one line
# destinations changed since the last load, from which on the file may be read whole again
RELOAD_MIN_CHANGED = 50_000
# of all destinations: what changed lies in plain maps, which take three times the memory
RELOAD_CHANGED_FRACTION = 1 / 8
MAX_LOGGED_FAULTS = 20  # faults of one read that are told line by line


class SourceError(ValueError):
    """The source cannot be used; the message names the file."""


class UnreadableNowError(SourceError):
    """It cannot be read just now: the system had no room for that, and the file may be sound."""


class LineSplitter:
    """Lines of a text that comes in pieces; what follows the last newline waits for its rest."""

    def __init__(self):
        self.number, self._rest, self._skipping_long_line = 0, b"", False

    def feed(self, data: bytes) -> Iterator[Line]:
        """The lines that the piece completes. Of one that is too long only the fault is kept."""
        *complete_lines, rest = (self._rest + data).split(b"\n")
        self._rest = rest
        for text in complete_lines:
            self.number += 1
            yield self._line(text)
        if len(self._rest) > MAX_LINE_BYTES:
            self._rest, self._skipping_long_line = b"", True

    def has_partial_line(self) -> bool:
        """Whether a half line waits for its rest."""
        return bool(self._rest) or self._skipping_long_line

    def _line(self, text: bytes) -> Line:
        too_long, self._skipping_long_line = self._skipping_long_line or len(text) > MAX_LINE_BYTES, False
        if too_long:
            return Line(self.number, b"", None, f"a line of more than {MAX_LINE_BYTES} bytes")
        return read_line(self.number, text)


class SourceFile:
    """One file under the source's path, held open: its name may go to another one."""

    def __init__(self, path: str, system: System = HERE):
        self.path, self.offset, self.splitter, self.system = path, 0, LineSplitter(), system
        self.descriptor = system.open_to_read(path)
        file_status = system.open_status(self.descriptor)
        self.identity, self.size_at_open = (file_status.st_dev, file_status.st_ino), file_status.st_size

    def read_header(self, fleet: str) -> bool:
        """Whether the header is there; SourceError where it is none for this node."""
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
        """The same open file from its end on, as far as that is whole lines: read beside this one."""
        other, before = copy.copy(self), max(0, self.size_at_open - MAX_LINE_BYTES)
        last = self.read(self.size_at_open - before, before)
        other.splitter, other.offset = LineSplitter(), before + last.rfind(b"\n") + 1
        return other

    def size(self) -> int:
        """Bytes of the open file, whatever its name."""
        return self.system.open_status(self.descriptor).st_size

    def lines(self, end_offset: int) -> Iterator[Line]:
        """The lines from where the last read ended up to that offset, or to the end where that comes
        first."""
        while self.offset < end_offset:
            data = self.read(min(READ_CHUNK_BYTES, end_offset - self.offset), self.offset)
            if not data:
                return
            self.offset += len(data)
            yield from self.splitter.feed(data)

    def read(self, size: int, offset: int) -> bytes:
        """Bytes of it, whatever was read before."""
        return self.system.read_at(self.descriptor, size, offset)

    def close(self) -> None:
        """The file is not needed any more."""
        self.system.close(self.descriptor)


class FaultReport:
    """Tells the faults of one read: the first ones line by line, the rest as a count."""

    def __init__(self, path: str):
        self.path, self.count = path, 0

    def log_faults(self, lines: Iterable[Line]) -> Iterator[Line]:
        """The lines as they come, faults told on the way."""
        for line in lines:
            if line.entry is None:
                self.log_fault(line)
            yield line

    def log_fault(self, line: Line) -> None:
        """One line that cannot be read."""
        self.count += 1
        if self.count <= MAX_LOGGED_FAULTS:
            logger.warning(
                "{path}:{line}: passed over: {fault}",
                event="source.line",
                path=self.path,
                line=line.number,
                fault=line.fault,
            )

    def log_total(self) -> None:
        """The read is over."""
        if self.count > MAX_LOGGED_FAULTS:
            logger.warning(
                "{path}: {count} lines in all were passed over",
                event="source.lines",
                path=self.path,
                count=self.count,
            )


def open_source(path: str, fleet: str, system: System = HERE) -> SourceFile:
    """The file, its header checked as far as it is there; raises SourceError."""
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
    kind = UnreadableNowError if of_a_moment(fault) else SourceError
    return kind(f"{path}: {fault.strerror}")


class Source:
    """Follows the file in `loop`. `changed` takes the destinations that are not as before, `subscribed` tells
    those that anybody holds: after a replaced file only these are compared."""

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
        self.catalogue: Catalogue | None = None  # none until the first load is over
        self.file = open_source(path, fleet, loop.system)
        self.read_at: float | None = None  # wall time of the last read that found something, ms
        self.polls = self.faults = self.loads = 0
        self.files = 0  # how often another file took the place of the one that was followed
        self._rejected_stamp: tuple | None = None  # the stamp of a file that could not be taken
        self._must_reload = False  # the file that was followed is no longer what its offset says
        self._last_logged = ""  # the trouble that was told last: it may come at every look
        self.task = loop.keep(self.follow)

    @property
    def offset(self) -> int:
        """Bytes of the file that were read."""
        return self.file.offset

    def read_piece(self, offset: int, size: int) -> bytes:
        """Bytes of the file as far as this node has read it."""
        return self.file.read(max(0, min(size, self.file.offset - offset)), offset)

    def follow(self) -> Iterator[Until]:
        """For ever: a look, a pause."""
        while True:
            yield from self.look()
            self.polls += 1
            yield Until(self.loop.now() + LOOK)

    def look(self) -> Iterator[Until]:
        """Reads what is new under the path."""
        try:
            file_status = self.loop.system.status(self.path)
        except OSError as fault:
            self._log_once(f"{self.path}: {fault.strerror}; the last good list serves on")
            return
        stamp = (file_status.st_dev, file_status.st_ino, file_status.st_size, file_status.st_mtime_ns)
        if stamp == self._rejected_stamp:
            return
        if self.catalogue is None or self._is_replaced(file_status) or self._should_reload():
            yield from self._reload(stamp)
        elif file_status.st_size > self.file.offset:
            self._last_logged = ""
            yield from self._take_appended(file_status.st_size)

    def _is_replaced(self, file_status: os.stat_result) -> bool:
        other = (file_status.st_dev, file_status.st_ino) != self.file.identity
        return self._must_reload or other or file_status.st_size < self.file.offset

    def _should_reload(self) -> bool:
        """Whether enough has changed for a whole read of the same file."""
        catalogue = self.catalogue
        return catalogue.changed > max(RELOAD_MIN_CHANGED, RELOAD_CHANGED_FRACTION * catalogue.destinations)

    def _take_appended(self, size: int) -> Iterator[Until]:
        """Applies the appended lines, a slice in each pass of the loop."""
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
            self._log_once(f"{self.path}: {fault.strerror}; the last good list serves on")
        finally:
            self._notify_changed(changed_destinations)
        self._finish_read(report)

    def _reload(self, stamp: tuple) -> Iterator[Until]:
        """Reads a file whole, and serves from it where that can be done; else the last good list serves
        on."""
        try:
            file = open_source(self.path, self.fleet, self.loop.system)
        except UnreadableNowError as fault:
            self._log_once(f"{fault}; the last good list serves on" if self.catalogue else str(fault))
            return
        except SourceError as fault:
            self._reject(stamp, f"{fault}; the last good list serves on" if self.catalogue else str(fault))
            return
        if file.offset == 0:
            file.close()
            self._reject(stamp, f"{self.path}: waits for its header")
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
        except OSError as fault:  # the next look tries again: the file itself may be sound
            file.close()
            self._log_once(f"{self.path}: {fault.strerror}")
            return
        self._finish_read(report)
        if self.catalogue is not None and self.catalogue.endpoints and not catalogue.endpoints:
            file.close()
            self._reject(stamp, f"{self.path}: holds no endpoint; the last good list serves on")
            return
        yield from self._switch_to(file, catalogue)

    def _apply_appended_during_load(self, file: SourceFile) -> None:
        """What is appended while the file is read whole is told by the last good list already: a load may
        last longer than a change may take. Its faults are told when the load comes to them."""
        if self.catalogue is None:
            return
        changed_destinations = set()
        for line in file.lines(min(file.size(), file.offset + READ_CHUNK_BYTES)):
            if line.entry is not None:
                changed_destinations |= self.catalogue.apply(line.entry, line.data)
        self._notify_changed(changed_destinations)

    def _switch_to(self, file: SourceFile, catalogue: Catalogue) -> Iterator[Until]:
        """Serves from the new catalogue at once, then tells what differs to those who hold it."""
        old_file, self.file = self.file, file
        old, self.catalogue = self.catalogue, catalogue
        old_file.close()
        self.files += file.identity != old_file.identity or file.size_at_open < old_file.offset
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

    def _notify_differences(self, old: Catalogue, new: Catalogue, held: list[int]) -> Iterator[None]:
        for destination in held:
            if sorted(old.entries(destination)) != sorted(new.entries(destination)):
                self._notify_changed({destination})
            yield

    def _run_in_slices(
        self, steps: Iterator[None], poll: Callable[[], None] | None = None
    ) -> Iterator[Until]:
        """Long work a slice in each pass of the loop, so that requests are served meanwhile; a look now and
        then."""
        slice_started = polled_at = self.loop.now()
        for _ in steps:
            if self.loop.now() - slice_started < TIME_SLICE_MS:
                continue
            yield Until(self.loop.now())
            slice_started = self.loop.now()
            if poll and slice_started >= polled_at + LOOK:
                poll()
                polled_at = slice_started

    def _notify_changed(self, changed_destinations: set[int]) -> None:
        if changed_destinations:
            self.changed(changed_destinations)

    def _finish_read(self, report: FaultReport) -> None:
        report.log_total()
        self.faults += report.count
        self.read_at = self.loop.system.wall()

    def _reject(self, stamp: tuple, why: str) -> None:
        """Not looked at again until it is another file or was written to."""
        self._rejected_stamp, self._must_reload = stamp, True
        self._log_once(why)

    def _log_once(self, why: str) -> None:
        if why != self._last_logged:
            logger.error("{why}", event="source.refused", why=why)
            self._last_logged = why
