"""A seeded list of destinations, and changes of it, as the source file that a discovery node reads.

The file is a log: its first line names the form and the fleet, each further line is one ENTRY of the list's
own form, and the last line about an endpoint holds. One destination has one endpoint unless more are asked
for.
"""

import json
import random
from collections.abc import Iterator
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
    endpoints_each: int = 1
    down_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Change:
    """One change: the entry's line as it is appended to the file, and the destination that it is about."""

    destination: int
    state: str
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


def encode(one: dict) -> str:
    """An ENTRY as one line without its end."""
    return json.dumps(one, separators=(",", ":"))


def head(fleet: str) -> str:
    """The first line of the file."""
    return encode({"form": FORM, "fleet": fleet})


def entries(size: ListSize, seed: int) -> Iterator[dict]:
    """The whole list, destination by destination."""
    draw = random.Random(f"list/{seed}")
    for destination in range(size.destinations):
        state = "left" if size.down_share and draw.random() < size.down_share else "active"
        for number in range(size.endpoints_each):
            yield entry(destination, number, state)


def write(file: TextIO, fleet: str, size: ListSize, seed: int) -> None:
    """The whole list as a source file."""
    file.write(head(fleet) + "\n")
    for one in entries(size, seed):
        file.write(encode(one) + "\n")


class ChangeSource:
    """Changes of the list, one after the other: an endpoint leaves, comes back, or has another weight.

    What it says of a destination follows from its own earlier changes, so that no two in a row say the same.
    """

    def __init__(self, size: ListSize, seed: int):
        self.size = size
        self.draw = random.Random(f"changes/{seed}")
        self.known: dict[
            tuple[int, int], tuple[str, int]
        ] = {}  # state and revision by destination and number

    def next(self, destination: int | None = None, state: str | None = None) -> Change:
        """A change of that destination, or of one drawn from all; towards that state, or the other than it
        has.
        """
        if destination is None:
            destination = self.draw.randrange(self.size.destinations)
        number = self.draw.randrange(self.size.endpoints_each)
        before, revision = self.known.get((destination, number), ("active", 0))
        after = state or ("active" if before != "active" else self.draw.choice(("leaving", "left", "active")))
        self.known[destination, number] = after, revision + 1
        return Change(destination, after, encode(entry(destination, number, after, revision + 1)))
