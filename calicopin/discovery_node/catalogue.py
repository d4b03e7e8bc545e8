"""The whole list in memory, compactly: each entry as the JSON bytes that answers send. No I/O and no clock.

A load appends entries to one block of bytes; two open-addressing tables of row numbers find them by endpoint
and by destination. What changes after the load lies over it in plain maps, and the load's part stays as it
is. A change costs by its own destination, whatever else is known.
"""

from array import array
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from calicopin.discovery_node.entry import Entry, Line, decode_entry

LEFT = "left"
NO_ROW = 0xFFFF_FFFF
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


def hash_of(ident: str) -> int:
    """An endpoint's key."""
    return hash(ident) & KEY_MASK


class RowTable:
    """Row numbers by a 32-bit key, open addressing with linear probing. `keys` has the key of each row."""

    def __init__(self, keys: array, expected: int = 0):
        self.keys = keys
        self._clear(max(LEAST_BITS, int(expected / MOST_FILL).bit_length()))

    def _clear(self, bits: int) -> None:
        self.slots, self.free = array("I", [NO_ROW]) * (1 << bits), int(MOST_FILL * (1 << bits))
        self._shift, self._mask = KEY_BITS - bits, (1 << bits) - 1

    def slot(self, key: int, matches: Callable[[int], bool] | None = None) -> int:
        """Where the row of that key stands, or would stand; `matches` tells rows apart that share a key."""
        slots, keys, mask = self.slots, self.keys, self._mask
        at = (key * FIBONACCI & KEY_MASK) >> self._shift
        while (row := slots[at]) != NO_ROW:
            if keys[row] == key and (matches is None or matches(row)):
                return at
            at = (at + 1) & mask
        return at

    def put(self, slot: int, row: int) -> None:
        """Sets a slot that `slot` told."""
        if self.slots[slot] == NO_ROW:
            self.free -= 1
        self.slots[slot] = row

    def grow(self) -> Iterator[None]:
        """Doubles the slots, a step at a time. Nothing may be added or looked for meanwhile."""
        old = self.slots
        self._clear(len(old).bit_length())
        for at, row in enumerate(old):
            if row != NO_ROW:
                self.put(self.slot(self.keys[row], lambda _: False), row)
            if at % GROW_STEP == 0:
                yield


class Catalogue:
    """Destinations and their endpoints. `load` takes the lines of a first read, `apply` each later one.

    `expected_bytes` is the size of what is to be loaded, a hint that spares the tables their growth.
    """

    def __init__(self, expected_bytes: int = 0):
        self._block = bytearray()  # the loaded entries, a line each
        # of each row: where its line begins, whether a later one replaced or removed it, the next of its
        # destination
        self._offsets, self._gone, self._next = array("Q"), bytearray(), array("I")
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
        """Takes the lines of a first read, pausing now and then; a later line of an endpoint replaces the
        earlier."""
        for line in lines:
            for table in (self._by_ident, self._by_destination):
                if not table.free:
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

    @property
    def changed(self) -> int:
        """Destinations that changed since the load."""
        return len(self._changed)

    def figures(self) -> Figures:
        """What it holds, in numbers."""
        return Figures(self.destinations, self.endpoints, self.changed, len(self._block))

    def _load_line(self, entry: Entry, data: bytes) -> None:
        ident_hash = hash_of(entry.id)
        slot = self._ident_slot(entry.id, ident_hash)
        old = self._by_ident.slots[slot]
        if old != NO_ROW and not self._gone[old]:
            self._drop_row(old)
        if entry.state == LEFT:
            return
        row = len(self._offsets)
        self._offsets.append(len(self._block))
        self._gone.append(False)
        self._destinations.append(entry.cell)
        self._ident_hashes.append(ident_hash)
        self._block += data
        self._block += b"\n"
        self._by_ident.put(slot, row)
        self._link(row, entry.cell)
        self.endpoints += 1

    def _link(self, row: int, destination: int) -> None:
        """The row is one more of its destination."""
        slot = self._by_destination.slot(destination)
        head = self._by_destination.slots[slot]
        if head == NO_ROW:
            self.destinations += 1
            self._next.append(NO_ROW)
            self._by_destination.put(slot, row)
            return
        self.destinations += not self._live_rows(head)
        self._next.append(self._next[head])
        self._next[head] = row

    def _drop_row(self, row: int) -> None:
        self._gone[row] = True
        self.endpoints -= 1
        self.destinations -= not self._live_rows(self._head(self._destinations[row]))

    def _head(self, destination: int) -> int:
        """The first row of the destination, whether that still counts or not."""
        return self._by_destination.slots[self._by_destination.slot(destination)]

    def _ident_slot(self, ident: str, ident_hash: int) -> int:
        """Where the endpoint's row stands or would stand."""
        return self._by_ident.slot(ident_hash, lambda row: self._is_of(row, ident))

    def _is_of(self, row: int, ident: str) -> bool:
        """Whether the row is the endpoint's, and not just of the same hash."""
        self.work += 1
        return decode_entry(self._line(row)).id == ident

    def _live_rows(self, row: int) -> list[int]:
        """From a destination's first row on those that count."""
        found = []
        while row != NO_ROW:
            self.work += 1
            if not self._gone[row]:
                found.append(row)
            row = self._next[row]
        return found

    def _loaded(self, destination: int) -> tuple[bytes, ...]:
        return tuple([self._line(row) for row in self._live_rows(self._head(destination))])

    def _line(self, row: int) -> bytes:
        offset = self._offsets[row]
        return bytes(self._block[offset : self._block.index(b"\n", offset)])

    def _place_of(self, ident: str) -> int | None:
        """The destination that an endpoint belongs to now."""
        if ident in self._moved:
            return self._moved[ident]
        row = self._by_ident.slots[self._ident_slot(ident, hash_of(ident))]
        return None if row == NO_ROW or self._gone[row] else self._destinations[row]

    def _replace(self, destination: int, ident: str, data: bytes | None) -> None:
        """The destination without the endpoint, or with it as told now."""
        before = self.entries(destination)
        rest = [entry for entry in before if decode_entry(entry).id != ident]
        after = tuple(rest if data is None else [*rest, data])
        self._changed[destination] = after
        self.destinations += bool(after) - bool(before)
