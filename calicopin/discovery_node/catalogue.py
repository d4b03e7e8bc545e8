"""The whole list in memory, compactly: each entry as the JSON bytes that answers send. No I/O and no clock.

A load appends entries to one block of bytes; two open-addressing tables of row numbers find them by endpoint and by
destination. What changes after the load lies over it in plain maps, and the load's part stays as it is. A change costs
by its own destination, whatever else is known.
"""

from array import array
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from calicopin.discovery_node.entry import Entry, Line, decode_entry

LEFT = "left"
NO_ROW = 0xFFFF_FFFF
GONE = 0xFFFF_FFFF_FFFF_FFFF  # in place of a row's offset: another line replaced it
LEAST_BITS = 10  # a table begins with 2 ** 10 slots
MOST_FILL = 2 / 3  # of a table's slots
GROW_STEP = 4096  # slots that a growing table takes over between two pauses
LOAD_STEP = 64  # lines that a load takes between two pauses
USUAL_LINE = 110  # bytes
KEY_BITS = 32
KEY_MASK = 0xFFFF_FFFF
FIBONACCI = 2_654_435_769  # 2 ** 32 over the golden ratio: spreads keys that lie near each other


@dataclass(frozen=True, slots=True)
class Figures:
    """What a catalogue holds, in numbers."""

    destinations: int
    endpoints: int
    changed_since_load: int
    block_bytes: int


class RowTable:
    """Row numbers by a 32-bit key, open addressing with linear probing. `keys` has the key of each row."""

    def __init__(self, keys: array, expected: int = 0):
        self.keys, self.count = keys, 0
        self._clear(max(LEAST_BITS, int(expected / MOST_FILL).bit_length()))

    def _clear(self, bits: int) -> None:
        self.bits, self.slots, self.count = bits, array("I", [NO_ROW]) * (1 << bits), 0

    def full(self) -> bool:
        """Whether it has to grow before another row is added."""
        return self.count >= len(self.slots) * MOST_FILL

    def _first_slot(self, key: int) -> int:
        return (key * FIBONACCI & KEY_MASK) >> (KEY_BITS - self.bits)

    def add(self, row: int) -> None:
        """The row can be found by its key from now on."""
        slots, mask = self.slots, len(self.slots) - 1
        at = self._first_slot(self.keys[row])
        while slots[at] != NO_ROW:
            at = (at + 1) & mask
        slots[at] = row
        self.count += 1

    def rows(self, key: int) -> list[int]:
        """The rows of that key."""
        slots, keys, mask, found = self.slots, self.keys, len(self.slots) - 1, []
        at = self._first_slot(key)
        while (row := slots[at]) != NO_ROW:
            if keys[row] == key:
                found.append(row)
            at = (at + 1) & mask
        return found

    def grow(self) -> Iterator[None]:
        """Doubles the slots, a step at a time. Nothing may be added or looked for meanwhile."""
        old = self.slots
        self._clear(self.bits + 1)
        for at, row in enumerate(old):
            if row != NO_ROW:
                self.add(row)
            if at % GROW_STEP == 0:
                yield


class Catalogue:
    """Destinations and their endpoints. `load` takes the lines of a first read, `apply` each later one.

    `expected_bytes` is the size of what is to be loaded, a hint that spares the tables their growth.
    """

    def __init__(self, expected_bytes: int = 0):
        self._block = bytearray()  # the loaded entries, a line each
        self._offsets, self._next = (
            array("Q"),
            array("I"),
        )  # of each row; the next row of the same destination
        self._destinations, self._ident_hashes = array("I"), array("I")
        expected = expected_bytes // USUAL_LINE
        self._by_ident = RowTable(self._ident_hashes, expected)
        self._by_destination = RowTable(self._destinations, expected)
        self._changed: dict[
            int, tuple[bytes, ...]
        ] = {}  # destinations as they are now, where that is not as loaded
        self._moved: dict[str, int | None] = {}  # where an endpoint is now, of those of changed destinations
        self.destinations = self.endpoints = 0
        self.work = 0  # rows that lookups and changes looked at

    def load(self, lines: Iterable[Line]) -> Iterator[None]:
        """Takes the lines of a first read, pausing now and then; a later line of an endpoint replaces the earlier."""
        for line in lines:
            for table in (self._by_ident, self._by_destination):
                if table.full():
                    yield from table.grow()
            if line.entry is not None:
                self._load_line(line.entry, line.data)
            if line.number % LOAD_STEP == 0:
                yield

    def apply(self, entry: Entry, data: bytes) -> set[int]:
        """Takes one line; the destinations that are not as before."""
        before = self._place_of(entry.id)
        after = None if entry.state == LEFT else entry.cell
        if before is None and after is None:
            return set()
        if before == after and data in self.entries(after):
            return set()
        touched = {place for place in (before, after) if place is not None}
        for destination in touched:
            self._replace(destination, entry.id, data if destination == after else None)
        self._moved[entry.id] = after
        self.endpoints += (after is not None) - (before is not None)
        return touched

    def entries(self, destination: int) -> tuple[bytes, ...]:
        """The destination's endpoints as JSON; empty where it does not exist."""
        changed = self._changed.get(destination)
        return self._loaded(destination) if changed is None else changed

    def figures(self) -> Figures:
        """What it holds, in numbers."""
        return Figures(self.destinations, self.endpoints, len(self._changed), len(self._block))

    def _load_line(self, entry: Entry, data: bytes) -> None:
        ident_hash = hash(entry.id) & KEY_MASK
        old = self._row_of(entry.id, ident_hash)
        if old is not None:
            self._drop_row(old)
        if entry.state == LEFT:
            return
        head = self._head(entry.cell)
        self.destinations += not self._live_rows(head)
        self.endpoints += 1
        row = len(self._offsets)
        self._offsets.append(len(self._block))
        self._destinations.append(entry.cell)
        self._ident_hashes.append(ident_hash)
        self._next.append(NO_ROW if head == NO_ROW else self._next[head])
        self._block += data
        self._block += b"\n"
        self._by_ident.add(row)
        if head == NO_ROW:
            self._by_destination.add(row)
        else:
            self._next[head] = row

    def _drop_row(self, row: int) -> None:
        self._offsets[row] = GONE
        self.endpoints -= 1
        self.destinations -= not self._live_rows(self._head(self._destinations[row]))

    def _head(self, destination: int) -> int:
        """The first row of the destination, whether that still counts or not."""
        heads = self._by_destination.rows(destination)
        return heads[0] if heads else NO_ROW

    def _live_rows(self, row: int) -> list[int]:
        """From a destination's first row on those that count."""
        found = []
        while row != NO_ROW:
            self.work += 1
            if self._offsets[row] != GONE:
                found.append(row)
            row = self._next[row]
        return found

    def _loaded(self, destination: int) -> tuple[bytes, ...]:
        return tuple([self._line(row) for row in self._live_rows(self._head(destination))])

    def _line(self, row: int) -> bytes:
        offset = self._offsets[row]
        return bytes(self._block[offset : self._block.index(b"\n", offset)])

    def _row_of(self, ident: str, ident_hash: int) -> int | None:
        """The loaded row of an endpoint, where it still counts."""
        for row in self._by_ident.rows(ident_hash):
            self.work += 1
            if self._offsets[row] != GONE and decode_entry(self._line(row)).id == ident:
                return row
        return None

    def _place_of(self, ident: str) -> int | None:
        """The destination that an endpoint belongs to now."""
        if ident in self._moved:
            return self._moved[ident]
        row = self._row_of(ident, hash(ident) & KEY_MASK)
        return None if row is None else self._destinations[row]

    def _replace(self, destination: int, ident: str, data: bytes | None) -> None:
        """The destination without the endpoint, or with it as told now."""
        before = self.entries(destination)
        rest = [entry for entry in before if decode_entry(entry).id != ident]
        after = tuple(rest if data is None else [*rest, data])
        self._changed[destination] = after
        self.destinations += bool(after) - bool(before)
