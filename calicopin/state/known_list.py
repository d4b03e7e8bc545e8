"""The part of the list that a courier subscribes to, kept in its folder so that a restart goes on with it.

One file, replaced at once by a whole new one. Its first line tells form, checksum and length of the rest,
which is JSON: the fleet, the time of the last news, and the endpoints by destination. That time is told by
the monotonic clock, with the machine's run that it belongs to, and by the wall clock for after a reboot. A
file that is damaged, too old or of another fleet is passed over with one line. Times are milliseconds.
"""

import json
import os
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from loguru import logger

from calicopin.facade import Place
from calicopin.state.journal import write_all
from calicopin.system import patiently
from calicopin.wire.loop import Until

MARK = b"calicopin known list 1"  # the form of the file
MOST_BYTES = 8 << 20  # of the file, however much disk there is
SHARE = (
    20  # the file takes at most a twentieth of the folder's disk, and as much once more while it is replaced
)
RESERVED = SHARE // 2  # so a tenth is set aside for both
CHUNK = 64  # destinations that are encoded in one pass of the loop
LOOK = 3000.0  # between two looks whether there is something to write
REFRESH = 600_000.0  # after which a file is dated anew, if the list was confirmed since


class DamagedError(ValueError):
    """A file that cannot be read back."""


@dataclass(frozen=True, slots=True)
class Moment:
    """A time by both clocks, in ms: `wall` is Unix time, `monotonic` belongs to the machine's run `boot`."""

    wall: float
    monotonic: float
    boot: str

    def age(self, now: "Moment") -> float:
        """How long ago it was: by the clock that cannot be set, within one run of the machine."""
        if self.boot and self.boot == now.boot:
            return now.monotonic - self.monotonic
        return now.wall - self.wall


@dataclass(frozen=True, slots=True)
class Snapshot:
    """What a file holds; `at` is the time of the last news."""

    fleet: str
    at: Moment
    places: dict[int, list[Place]]


def journal_bytes(disk: int) -> int:
    """What is left of the folder's disk for the journal."""
    return disk - disk // RESERVED


def _row(place: Place) -> list:
    return [place.ident, place.address, place.kind, place.zone, place.ready, place.agreed]


def encode_destination(destination: int, places: Iterable[Place]) -> bytes:
    """One destination of the file's table."""
    rows = json.dumps([_row(place) for place in places], separators=(",", ":"))
    return b'"%d":%s' % (destination, rows.encode())


def encode(fleet: str, at: Moment, destinations: Iterable[bytes]) -> bytes:
    """A whole file."""
    told = {"fleet": fleet, "at": at.wall, "monotonic": at.monotonic, "boot": at.boot}
    head = json.dumps(told, separators=(",", ":"))
    body = head[:-1].encode() + b',"destinations":{' + b",".join(destinations) + b"}}"
    return b"%s %08x %d\n%s" % (MARK, zlib.crc32(body), len(body), body)


def decode(data: bytes) -> Snapshot:
    """Raises DamagedError where the file is not whole."""
    head, _, body = data.partition(b"\n")
    if head != b"%s %08x %d" % (MARK, zlib.crc32(body), len(body)):
        raise DamagedError("it is cut short, damaged or of another form")
    try:
        told = json.loads(body)
        places = {
            int(destination): [_place(int(destination), row) for row in rows]
            for destination, rows in told["destinations"].items()
        }
        # a file of an earlier version tells the wall time alone
        at = Moment(float(told["at"]), float(told.get("monotonic", 0.0)), str(told.get("boot", "")))
        return Snapshot(str(told["fleet"]), at, places)
    except (ValueError, KeyError, TypeError, AttributeError) as fault:
        raise DamagedError(f"it cannot be read: {fault!r}") from None


def _place(destination: int, row: list) -> Place:
    ident, address, kind, zone, ready, agreed = row
    return Place(str(ident), str(address), destination, str(kind), str(zone), bool(ready), float(agreed))


class KnownList:
    """Reads the file at a start and keeps it up to date from then on.

    `max_age` is how old a list may be at a start; `known` tells the subscribed destinations with their
    endpoints.
    """

    def __init__(self, loop, folder: str, fleet: str, max_age: float, disk: int):
        self.loop, self.path, self.fleet, self.max_age = (
            loop,
            os.path.join(folder, "known-list"),
            fleet,
            max_age,
        )
        self.known, self.most = dict, 0
        self.limit(disk)
        self._changed = False
        self.boot = patiently(loop.system, loop.system.boot)
        self._confirmed_at = self._written_at = None  # Moments; the second one as it stands in the file
        self._refused = self._cut = False

    def limit(self, disk: int) -> None:
        """So many bytes may the folder hold."""
        self.most = min(MOST_BYTES, disk // SHARE)

    def read(self) -> dict[int, list[Place]]:
        """The list of the last process; empty where there is none that may be used."""
        try:
            snapshot = decode(self.loop.system.read(self.path))
        except FileNotFoundError:
            return {}
        except (OSError, DamagedError) as fault:
            self._pass_over(str(fault))
            return {}
        age = snapshot.at.age(self._now())
        if snapshot.fleet != self.fleet:
            self._pass_over(f"it is of fleet {snapshot.fleet[:40]!r}")
        elif abs(age) > self.max_age:  # far in the future: the wall clock cannot be relied on
            self._pass_over(f"it is dated {age / 3_600_000.0:.1f} hours ago")
        else:
            return snapshot.places
        return {}

    def _pass_over(self, why: str) -> None:
        logger.warning(
            "{path}, the list known at the last end, is passed over: {why}",
            event="subscription.list-unread",
            path=self.path,
            why=why,
        )

    def _now(self) -> Moment:
        system = self.loop.system
        return Moment(system.wall(), self.loop.now(), self.boot)

    def confirmed(self) -> None:
        """A node has answered: the list holds as of now."""
        self._confirmed_at = self._now()

    def changed(self) -> None:
        """The list is another one than before."""
        self._changed = True

    def due(self) -> bool:
        """Whether the file is behind."""
        if self._confirmed_at is None:
            return False
        aged = self._written_at is None or self._written_at.age(self._confirmed_at) >= REFRESH
        return self._changed or aged

    def keep(self):
        """For ever: writes the file every few seconds where something changed."""
        while True:
            yield Until(self.loop.now() + LOOK)
            if self.due():
                yield from self.write()

    def write(self):
        """The file anew, a part in each pass; a disk that refuses is tried again at the next look."""
        at, self._changed = self._confirmed_at, False
        parts, size = [], 0
        known: Mapping[int, list[Place]] = self.known()
        for number, (destination, places) in enumerate(known.items(), 1):
            part = encode_destination(destination, places)
            size += len(part) + 1
            if size > self.most - 1024:  # the head and the names
                break
            parts.append(part)
            if number % CHUNK == 0:
                yield Until(self.loop.now())
        self._tell_of_cut(len(parts), len(known))
        try:
            self._replace(encode(self.fleet, at, parts))
        except OSError as fault:
            self._changed = True
            self._tell_of_refusal(fault)
            return
        self._written_at, self._refused = at, False

    def _replace(self, data: bytes) -> None:
        system, successor = self.loop.system, self.path + ".new"
        file = system.create(successor)
        try:
            write_all(system, file, data)
        finally:
            system.close(file)
        system.replace(successor, self.path)

    def _tell_of_cut(self, kept: int, known: int) -> None:
        if kept < known and not self._cut:
            logger.warning(
                "{path} has room for {kept} of {known} destinations: raise the disk's limit",
                event="subscription.list-cut",
                path=self.path,
                kept=kept,
                known=known,
            )
        self._cut = kept < known

    def _tell_of_refusal(self, fault: OSError) -> None:
        if not self._refused:
            logger.error(
                "{path} cannot be written, it is tried again: {fault}",
                event="subscription.list-refused",
                path=self.path,
                fault=fault,
            )
        self._refused = True
