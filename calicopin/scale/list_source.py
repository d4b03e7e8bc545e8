"""A list of destinations generated from a seed, and changes of it, as the source file of a discovery node.

The file is a log: its first line holds the format and the fleet, each further line is one ENTRY, and the last
line of an endpoint is its current state. A destination has one endpoint by default.
"""

import json
import random
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import TextIO

FORM = 1  # format version of the file
REGIONS = 6
ZONES = 17  # in all regions together
KINDS = ("partner-api", "store-hook", "billing")
PORTS = 20_000  # first port number of endpoints; nothing listens there
WEIGHTS = (5.0, 20.0, 50.0, 200.0)  # calls a second that a destination agreed to


@dataclass(frozen=True, slots=True)
class ListSize:
    """Size of the list; `down_share` of the destinations have their endpoints listed as left."""

    destinations: int
    endpoints_per_destination: int = 1
    down_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Change:
    """One change; `line` is the changed entry as appended to the file."""

    destination: int
    ident: str
    state: str
    weight: float
    line: str


def entry(destination: int, number: int, state: str = "active", revision: int = 0) -> dict:
    """One ENTRY; all fields except state and weight are derived from the destination and number."""
    spread = destination * 7 + number
    address = f"10.{spread >> 16 & 255}.{spread >> 8 & 255}.{spread & 255}:{PORTS + spread % 40_000}"
    return {
        "id": f"e{destination}.{number}",
        "addr": address,
        "cell": destination,
        "kind": KINDS[destination % len(KINDS)],
        "zone": f"region{destination % REGIONS}-zone{spread % ZONES}",
        "state": state,
        "weight": WEIGHTS[(destination + revision) % len(WEIGHTS)],
    }


def encode(list_entry: dict) -> str:
    """An ENTRY as one JSON line without the newline."""
    return json.dumps(list_entry, separators=(",", ":"))


def head(fleet: str) -> str:
    """The header line of the file."""
    return encode({"form": FORM, "fleet": fleet})


def initial(size: ListSize, seed: int, destination: int) -> list[dict]:
    """The initial entries of one destination."""
    chance = zlib.crc32(f"{seed}/{destination}".encode()) / 2**32
    state = "left" if chance < size.down_share else "active"
    return [entry(destination, number, state) for number in range(size.endpoints_per_destination)]


def entries(size: ListSize, seed: int) -> Iterator[dict]:
    """The whole list in the order of destinations."""
    for destination in range(size.destinations):
        yield from initial(size, seed, destination)


def write(file: TextIO, fleet: str, size: ListSize, seed: int) -> None:
    """Writes the whole list as a source file."""
    file.write(head(fleet) + "\n")
    for list_entry in entries(size, seed):
        file.write(encode(list_entry) + "\n")


class ChangeSource:
    """Generates changes of the list; no destination changes twice.

    An active endpoint leaves, is announced as leaving, or gets another weight; a left one becomes active.
    """

    def __init__(
        self,
        size: ListSize,
        seed: int,
        draw_seed: int,
        preferred: Iterable[int] = (),
        preferred_share: float = 0.0,
    ):
        """`preferred_share` is the share of changes drawn from the destinations in `preferred`."""
        self.size, self.seed, self.preferred_share = size, seed, preferred_share
        self.draw = random.Random(f"changes/{draw_seed}")
        self.preferred = sorted(set(preferred))
        self.draw.shuffle(self.preferred)
        self.changed: set[int] = set()

    def next(self) -> Change:
        """The next change; raises LookupError once half of the destinations have changed."""
        destination = self._draw_preferred() if self.draw.random() < self.preferred_share else None
        if destination is None:
            destination = self._draw_any()
        self.changed.add(destination)
        before = initial(self.size, self.seed, destination)[
            self.draw.randrange(self.size.endpoints_per_destination)
        ]
        down = before["state"] == "left"
        state = "active" if down else self.draw.choice(("leaving", "left", "active"))
        after = entry(destination, int(before["id"].rpartition(".")[2]), state, revision=1)
        return Change(destination, after["id"], state, after["weight"], encode(after))

    def _draw_preferred(self) -> int | None:
        while self.preferred:
            if (destination := self.preferred.pop()) not in self.changed:
                return destination
        return None

    def _draw_any(self) -> int:
        if len(self.changed) > self.size.destinations // 2:
            raise LookupError("half of the destinations have changed: use fewer changes or a larger list")
        while True:
            destination = self.draw.randrange(self.size.destinations)
            if destination not in self.changed:
                return destination
