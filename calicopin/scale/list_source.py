"""A seeded list of destinations, and changes of it, as the source file that a discovery node reads.

The file is a log: its first line names the form and the fleet, each further line is one ENTRY of the list's
own form, and the last line about an endpoint holds. One destination has one endpoint unless more are asked
for.
"""

import json
import random
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import TextIO

FORM = 1  # of the file
REGIONS = 6
ZONES = 17  # of all regions together
KINDS = ("partner-api", "store-hook", "billing")
PORTS = 20_000  # from which endpoints' ports begin; nobody listens there
WEIGHTS = (5.0, 20.0, 50.0, 200.0)  # calls a second that a destination agreed to


@dataclass(frozen=True, slots=True)
class ListSize:
    """What list to make; `down_share` of the destinations have their endpoint listed as left."""

    destinations: int
    endpoints_per_destination: int = 1
    down_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Change:
    """One change: the entry's line as it is appended to the file, and the destination that it is about."""

    destination: int
    ident: str
    state: str
    weight: float
    line: str


def entry(destination: int, number: int, state: str = "active", revision: int = 0) -> dict:
    """One ENTRY; all but its state and weight follow from its destination and number."""
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
    """An ENTRY as one line without its end."""
    return json.dumps(list_entry, separators=(",", ":"))


def head(fleet: str) -> str:
    """The first line of the file."""
    return encode({"form": FORM, "fleet": fleet})


def initial(size: ListSize, seed: int, destination: int) -> list[dict]:
    """The entries of one destination before any change."""
    chance = zlib.crc32(f"{seed}/{destination}".encode()) / 2**32
    state = "left" if chance < size.down_share else "active"
    return [entry(destination, number, state) for number in range(size.endpoints_per_destination)]


def entries(size: ListSize, seed: int) -> Iterator[dict]:
    """The whole list, destination by destination."""
    for destination in range(size.destinations):
        yield from initial(size, seed, destination)


def write(file: TextIO, fleet: str, size: ListSize, seed: int) -> None:
    """The whole list as a source file."""
    file.write(head(fleet) + "\n")
    for list_entry in entries(size, seed):
        file.write(encode(list_entry) + "\n")


class ChangeSource:
    """Changes of the list, one after the other; no endpoint changes twice.

    An active endpoint leaves, is announced as leaving, or has another weight; one that is down comes back.
    """

    def __init__(
        self,
        size: ListSize,
        seed: int,
        draw_seed: int,
        preferred: Iterable[int] = (),
        preferred_share: float = 0.0,
    ):
        """`aimed` is the share of the changes that meet one of the destinations in `aims`."""
        self.size, self.seed, self.preferred_share = size, seed, preferred_share
        self.draw = random.Random(f"changes/{draw_seed}")
        self.preferred = sorted(set(preferred))
        self.draw.shuffle(self.preferred)
        self.changed: set[int] = set()

    def next(self) -> Change:
        """The next change; LookupError where every destination has had one."""
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
            raise LookupError("every second destination has changed: ask for fewer changes or a larger list")
        while True:
            destination = self.draw.randrange(self.size.destinations)
            if destination not in self.changed:
                return destination
