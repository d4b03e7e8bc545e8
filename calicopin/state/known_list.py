"""The part of the list that a courier subscribes to, stored in its folder so that a restart can continue with
it.

One file, replaced as a whole. Its first line holds the format, the checksum and the length of the rest, which
is JSON: the fleet, the time of the last confirmation, and the endpoints by destination. That time is stored
by the monotonic clock, with the boot it belongs to, and by the wall clock for use after a reboot. A file that
is damaged, too old or of another fleet is ignored with one log line. Times are in ms.
"""

import json
import os
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from loguru import logger

from calicopin.facade import Place
from calicopin.state.journal import write_all
from calicopin.system import call_with_retries
from calicopin.wire.loop import Until

FORMAT_MARK = b"calicopin known list 1"  # format and version of the file
MAX_FILE_BYTES = 8 << 20  # regardless of the disk limit
DISK_DIVISOR = 20  # the file takes at most 1/20 of the disk limit, and as much again while it is replaced
RESERVED_DIVISOR = DISK_DIVISOR // 2  # 1/10 of the disk limit is reserved for both files
DESTINATIONS_PER_PASS = 64  # destinations encoded in one pass of the event loop
CHECK_INTERVAL_MS = 3000.0  # interval between checks whether the file is due, ms
REFRESH_AGE_MS = 600_000.0  # age after which a file gets a new date if the list was confirmed since, ms


class DamagedError(ValueError):
    """The file cannot be decoded."""


@dataclass(frozen=True, slots=True)
class Timestamp:
    """A time by both clocks, in ms: `wall` is Unix time, `monotonic` belongs to the boot `boot`."""

    wall: float
    monotonic: float
    boot: str

    def age(self, now: "Timestamp") -> float:
        """How long ago it was, in ms: by the monotonic clock within one boot, else by the wall clock."""
        if self.boot and self.boot == now.boot:
            return now.monotonic - self.monotonic
        return now.wall - self.wall


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The contents of a file; `at` is the time of the last confirmation by a discovery node."""

    fleet: str
    at: Timestamp
    places: dict[int, list[Place]]


def journal_bytes(disk: int) -> int:
    """The bytes of the folder's disk limit that are left for the journal."""
    return disk - disk // RESERVED_DIVISOR


def _endpoint_row(place: Place) -> list:
    return [place.ident, place.address, place.kind, place.zone, place.ready, place.agreed]


def encode_destination(destination: int, places: Iterable[Place]) -> bytes:
    """One entry of the file's table of destinations."""
    rows = json.dumps([_endpoint_row(place) for place in places], separators=(",", ":"))
    return b'"%d":%s' % (destination, rows.encode())


def encode(fleet: str, at: Timestamp, destinations: Iterable[bytes]) -> bytes:
    """The complete file."""
    header = {"fleet": fleet, "at": at.wall, "monotonic": at.monotonic, "boot": at.boot}
    encoded_header = json.dumps(header, separators=(",", ":"))
    body = encoded_header[:-1].encode() + b',"destinations":{' + b",".join(destinations) + b"}}"
    return b"%s %08x %d\n%s" % (FORMAT_MARK, zlib.crc32(body), len(body), body)


def decode(data: bytes) -> Snapshot:
    """Raises DamagedError if the file is damaged, incomplete or of another format."""
    first_line, _, body = data.partition(b"\n")
    if first_line != b"%s %08x %d" % (FORMAT_MARK, zlib.crc32(body), len(body)):
        raise DamagedError("truncated, damaged or of another format")
    try:
        contents = json.loads(body)
        places = {
            int(destination): [_place_from_row(int(destination), row) for row in rows]
            for destination, rows in contents["destinations"].items()
        }
        # files of earlier versions hold the wall time only
        at = Timestamp(
            float(contents["at"]), float(contents.get("monotonic", 0.0)), str(contents.get("boot", ""))
        )
        return Snapshot(str(contents["fleet"]), at, places)
    except (ValueError, KeyError, TypeError, AttributeError) as fault:
        raise DamagedError(f"cannot be decoded: {fault!r}") from None


def _place_from_row(destination: int, row: list) -> Place:
    ident, address, kind, zone, ready, agreed = row
    return Place(str(ident), str(address), destination, str(kind), str(zone), bool(ready), float(agreed))


class KnownList:
    """Reads the file at the start and keeps it up to date afterwards.

    `max_age` (ms) is how old a list may be at the start; `known` returns the subscribed destinations with
    their endpoints.
    """

    def __init__(self, loop, folder: str, fleet: str, max_age: float, disk: int):
        self.loop, self.path, self.fleet, self.max_age = (
            loop,
            os.path.join(folder, "known-list"),
            fleet,
            max_age,
        )
        self.known, self.max_bytes = dict, 0
        self.limit(disk)
        self._changed = False
        self.boot = call_with_retries(loop.system, loop.system.boot_id)
        self._confirmed_at = self._written_at = None  # Timestamps; _written_at is the one in the file
        self._write_error_logged = self._truncation_logged = False

    def limit(self, disk: int) -> None:
        """Sets the number of bytes that the folder may hold."""
        self.max_bytes = min(MAX_FILE_BYTES, disk // DISK_DIVISOR)

    def read(self) -> dict[int, list[Place]]:
        """The list of the last process; empty if there is none that may be used."""
        try:
            snapshot = decode(self.loop.system.read(self.path))
        except FileNotFoundError:
            return {}
        except (OSError, DamagedError) as fault:
            self._log_ignored(str(fault))
            return {}
        age = snapshot.at.age(self._now())
        if snapshot.fleet != self.fleet:
            self._log_ignored(f"it belongs to fleet {snapshot.fleet[:40]!r}")
        elif abs(age) > self.max_age:  # a date far in the future: the wall clock is not reliable
            self._log_ignored(f"it is {age / 3_600_000.0:.1f} hours old")
        else:
            return snapshot.places
        return {}

    def _log_ignored(self, reason: str) -> None:
        logger.warning(
            "stored list {path} is ignored: {why}",
            event="subscription.list-unread",
            path=self.path,
            why=reason,
        )

    def _now(self) -> Timestamp:
        system = self.loop.system
        return Timestamp(system.wall_clock_ms(), self.loop.now(), self.boot)

    def confirmed(self) -> None:
        """Records that a discovery node has answered: the list is valid as of now."""
        self._confirmed_at = self._now()

    def changed(self) -> None:
        """Records that the list has changed."""
        self._changed = True

    def due(self) -> bool:
        """Whether the file has to be written again."""
        if self._confirmed_at is None:
            return False
        outdated = self._written_at is None or self._written_at.age(self._confirmed_at) >= REFRESH_AGE_MS
        return self._changed or outdated

    def run(self):
        """A coroutine that writes the file every few seconds if it is due."""
        while True:
            yield Until(self.loop.now() + CHECK_INTERVAL_MS)
            if self.due():
                yield from self.write()

    def write(self):
        """A coroutine that writes the file, encoding a part in each pass of the event loop. After an OSError
        the file is due again.
        """
        confirmed_at, self._changed = self._confirmed_at, False
        encoded_destinations, size = [], 0
        known: Mapping[int, list[Place]] = self.known()
        for number, (destination, places) in enumerate(known.items(), 1):
            encoded = encode_destination(destination, places)
            size += len(encoded) + 1
            if size > self.max_bytes - 1024:  # reserve for the header, with the names of fleet and boot
                break
            encoded_destinations.append(encoded)
            if number % DESTINATIONS_PER_PASS == 0:
                yield Until(self.loop.now())
        self._log_truncation(len(encoded_destinations), len(known))
        try:
            self._replace(encode(self.fleet, confirmed_at, encoded_destinations))
        except OSError as fault:
            self._changed = True
            self._log_write_error(fault)
            return
        self._written_at, self._write_error_logged = confirmed_at, False

    def _replace(self, data: bytes) -> None:
        system, successor = self.loop.system, self.path + ".new"
        file = system.create(successor)
        try:
            write_all(system, file, data)
        finally:
            system.close(file)
        system.replace(successor, self.path)

    def _log_truncation(self, written: int, known: int) -> None:
        if written < known and not self._truncation_logged:
            logger.warning(
                "{path} has room for {kept} of {known} destinations: raise the disk limit",
                event="subscription.list-cut",
                path=self.path,
                kept=written,
                known=known,
            )
        self._truncation_logged = written < known

    def _log_write_error(self, fault: OSError) -> None:
        if not self._write_error_logged:
            logger.error(
                "{path} cannot be written, retrying: {fault}",
                event="subscription.list-refused",
                path=self.path,
                fault=fault,
            )
        self._write_error_logged = True
