"""The whole list in compact memory, each entry as the JSON bytes that answers send. No I/O and no clock.

A load appends entries to one block of bytes; two open-addressing tables of row numbers index them by endpoint
and by destination. Later changes are kept in dictionaries that override the loaded rows, which are not
modified. The cost of a change depends only on its own destination, not on the size of the list.
"""

from array import array
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from calicopin.discovery_node.entry import Entry, Line, decode_entry

STATE_LEFT = "left"
NO_ROW = 0xFFFF_FFFF
MIN_TABLE_BITS = 10  # the initial table has 2 ** 10 slots
MAX_LOAD_FACTOR = 2 / 3  # of a hash table
GROW_SLOTS_PER_STEP = 4096  # slots rehashed between two pauses
LOAD_LINES_PER_STEP = 64  # lines loaded between two pauses
TYPICAL_LINE_BYTES = 110
KEY_BITS = 32
KEY_MASK = 0xFFFF_FFFF
# 2 ** 32 divided by the golden ratio: Fibonacci hashing spreads adjacent keys
FIBONACCI_MULTIPLIER = 2_654_435_769


@dataclass(frozen=True, slots=True)
class CatalogueStats:
    """Sizes of a catalogue."""

    destinations: int
    endpoints: int
    changed_since_load: int
    block_bytes: int


def hash_endpoint_id(ident: str) -> int:
    """The 32-bit hash of an endpoint's id."""
    return hash(ident) & KEY_MASK


class RowTable:
    """A hash table of row numbers with linear probing. `keys` has the 32-bit key of each row."""

    def __init__(self, keys: array, expected_rows: int = 0):
        self.keys = keys
        self._clear(max(MIN_TABLE_BITS, int(expected_rows / MAX_LOAD_FACTOR).bit_length()))

    def _clear(self, bits: int) -> None:
        self.slots, self.free_slots = array("I", [NO_ROW]) * (1 << bits), int(MAX_LOAD_FACTOR * (1 << bits))
        self._shift, self._mask = KEY_BITS - bits, (1 << bits) - 1

    def slot(self, key: int, matches: Callable[[int], bool] | None = None) -> int:
        """The slot of the row with that key, or a free slot; `matches` distinguishes rows with equal keys."""
        slots, keys, mask = self.slots, self.keys, self._mask
        at = (key * FIBONACCI_MULTIPLIER & KEY_MASK) >> self._shift
        while (row := slots[at]) != NO_ROW:
            if keys[row] == key and (matches is None or matches(row)):
                return at
            at = (at + 1) & mask
        return at

    def put(self, slot: int, row: int) -> None:
        """Stores the row in a slot returned by `slot`."""
        if self.slots[slot] == NO_ROW:
            self.free_slots -= 1
        self.slots[slot] = row

    def grow(self) -> Iterator[None]:
        """Doubles the table in steps. The table must not be read or written meanwhile."""
        old_slots = self.slots
        self._clear(len(old_slots).bit_length())
        for at, row in enumerate(old_slots):
            if row != NO_ROW:
                self.put(self.slot(self.keys[row], lambda _: False), row)
            if at % GROW_SLOTS_PER_STEP == 0:
                yield


class Catalogue:
    """Destinations and their endpoints. `load` takes the lines of the initial read, `apply` each later line.

    `expected_bytes` is the size of the data to load, a hint that avoids growing the tables.
    """

    def __init__(self, expected_bytes: int = 0):
        self._block = bytearray()  # the loaded entries, one line each
        # per row: the offset of its line, whether a later line replaced or removed it, the next row of its
        # destination
        self._offsets, self._is_removed, self._next_row = array("Q"), bytearray(), array("I")
        self._destinations, self._ident_hashes = array("I"), array("I")
        expected_rows = expected_bytes // TYPICAL_LINE_BYTES
        self._by_ident = RowTable(self._ident_hashes, expected_rows)
        self._by_destination = RowTable(self._destinations, expected_rows)
        # current entries of destinations that changed since the load
        self._changed_entries: dict[int, tuple[bytes, ...]] = {}
        # current destination of endpoints that changed since the load
        self._moved_to: dict[str, int | None] = {}
        self.destinations = self.endpoints = 0
        self.examined_rows = 0  # rows examined by lookups and changes

    def load(self, lines: Iterable[Line]) -> Iterator[None]:
        """Loads the lines of the initial read, yielding at intervals. A later line of an endpoint replaces an
        earlier one."""
        for line in lines:
            for table in (self._by_ident, self._by_destination):
                if not table.free_slots:
                    yield from table.grow()
            if line.entry is not None:
                self._load_line(line.entry, line.data)
            if line.number % LOAD_LINES_PER_STEP == 0:
                yield

    def apply(self, entry: Entry, data: bytes) -> set[int]:
        """Applies one line and returns the destinations that changed."""
        previous = self._destination_of(entry.id)
        current = None if entry.state == STATE_LEFT else entry.cell
        if previous is None and current is None:
            return set()
        if previous == current and data in self.entries(current):
            return set()
        changed_destinations = {place for place in (previous, current) if place is not None}
        for destination in changed_destinations:
            self._replace(destination, entry.id, data if destination == current else None)
        self._moved_to[entry.id] = current
        self.endpoints += (current is not None) - (previous is not None)
        return changed_destinations

    def entries(self, destination: int) -> tuple[bytes, ...]:
        """The destination's endpoints as JSON; empty if it does not exist."""
        changed = self._changed_entries.get(destination)
        return self._loaded_entries(destination) if changed is None else changed

    @property
    def changed(self) -> int:
        """The number of destinations that changed since the load."""
        return len(self._changed_entries)

    def stats(self) -> CatalogueStats:
        """The sizes of the catalogue."""
        return CatalogueStats(self.destinations, self.endpoints, self.changed, len(self._block))

    def _load_line(self, entry: Entry, data: bytes) -> None:
        ident_hash = hash_endpoint_id(entry.id)
        slot = self._ident_slot(entry.id, ident_hash)
        existing = self._by_ident.slots[slot]
        if existing != NO_ROW and not self._is_removed[existing]:
            self._remove_row(existing)
        if entry.state == STATE_LEFT:
            return
        row = len(self._offsets)
        self._offsets.append(len(self._block))
        self._is_removed.append(False)
        self._destinations.append(entry.cell)
        self._ident_hashes.append(ident_hash)
        self._block += data
        self._block += b"\n"
        self._by_ident.put(slot, row)
        self._link_row(row, entry.cell)
        self.endpoints += 1

    def _link_row(self, row: int, destination: int) -> None:
        """Adds the row to the linked list of its destination."""
        slot = self._by_destination.slot(destination)
        head = self._by_destination.slots[slot]
        if head == NO_ROW:
            self.destinations += 1
            self._next_row.append(NO_ROW)
            self._by_destination.put(slot, row)
            return
        self.destinations += not self._live_rows(head)
        self._next_row.append(self._next_row[head])
        self._next_row[head] = row

    def _remove_row(self, row: int) -> None:
        self._is_removed[row] = True
        self.endpoints -= 1
        self.destinations -= not self._live_rows(self._head(self._destinations[row]))

    def _head(self, destination: int) -> int:
        """The first row of the destination, which may be removed already."""
        return self._by_destination.slots[self._by_destination.slot(destination)]

    def _ident_slot(self, ident: str, ident_hash: int) -> int:
        """The slot of the endpoint's row, or a free slot."""
        return self._by_ident.slot(ident_hash, lambda row: self._row_has_ident(row, ident))

    def _row_has_ident(self, row: int, ident: str) -> bool:
        """Whether the row belongs to the endpoint rather than to another one with the same hash."""
        self.examined_rows += 1
        return decode_entry(self._row_line(row)).id == ident

    def _live_rows(self, row: int) -> list[int]:
        """The rows of a destination, from its first row, that were not removed."""
        found = []
        while row != NO_ROW:
            self.examined_rows += 1
            if not self._is_removed[row]:
                found.append(row)
            row = self._next_row[row]
        return found

    def _loaded_entries(self, destination: int) -> tuple[bytes, ...]:
        return tuple([self._row_line(row) for row in self._live_rows(self._head(destination))])

    def _row_line(self, row: int) -> bytes:
        offset = self._offsets[row]
        return bytes(self._block[offset : self._block.index(b"\n", offset)])

    def _destination_of(self, ident: str) -> int | None:
        """The current destination of an endpoint, or None."""
        if ident in self._moved_to:
            return self._moved_to[ident]
        row = self._by_ident.slots[self._ident_slot(ident, hash_endpoint_id(ident))]
        return None if row == NO_ROW or self._is_removed[row] else self._destinations[row]

    def _replace(self, destination: int, ident: str, data: bytes | None) -> None:
        """Removes the endpoint from the destination, or sets it to `data`."""
        previous = self.entries(destination)
        others = [entry for entry in previous if decode_entry(entry).id != ident]
        current = tuple(others if data is None else [*others, data])
        self._changed_entries[destination] = current
        self.destinations += bool(current) - bool(previous)
