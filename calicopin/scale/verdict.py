"""Whether each change came into force at each courier that uses its destination, and whether each courier
knows what the source has. No I/O but the reading of the source; times are milliseconds."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from calicopin.scale.change_feed import Change
from calicopin.scale.simulated_couriers import LEFT, Heard, Known, KnownEndpoint

SECOND = 1000.0


@dataclass(frozen=True, slots=True)
class InForce:
    """One change at one courier; `at` is None where the courier never heard of it."""

    change: Change
    courier: int
    at: float | None
    reach: float  # since when both the change and a node were within the courier's reach

    @property
    def took(self) -> float | None:
        """From the change until it was in force; from a node's reach where it was not in force before
        that."""
        if self.at is None:
            return None
        return self.at - (self.reach if self.at >= self.reach else self.change.due)


@dataclass(slots=True)
class Differences:
    """What couriers know against the source; each figure counts endpoints of all couriers."""

    couriers: int = 0
    missing: int = 0  # the source has them
    left_but_known: int = 0  # the source has them no longer
    outdated: int = 0  # known with another state, address or weight
    examples: list[str] = field(default_factory=list)

    @property
    def none(self) -> bool:
        """Whether all know exactly what the source has."""
        return not (self.missing or self.left_but_known or self.outdated)


def change_due(change: Change, _: int) -> float:
    """The reach of a change where a node could be reached all the time."""
    return change.due


def in_force(
    changes: Sequence[Change],
    holders: Mapping[int, Sequence[int]],
    heard: Iterable[Heard],
    reach: Callable[[Change, int], float] = change_due,
) -> list[InForce]:
    """Each change with each courier that holds its destination."""
    revisions = resolve(changes, heard)
    found = []
    for change in changes:
        for courier in holders.get(change.destination, ()):
            at = first_at(revisions.get((courier, change.ident), ()), change)
            found.append(InForce(change, courier, at, max(change.due, reach(change, courier))))
    return found


def resolve(changes: Sequence[Change], heard: Iterable[Heard]) -> dict[tuple[int, str], list[Heard]]:
    """What was heard, by courier and endpoint, with a revision in place of each LEFT: that of the last time
    the endpoint left before it was heard."""
    left: dict[str, list[Change]] = defaultdict(list)
    for change in changes:
        if change.state == "left":
            left[change.ident].append(change)
    told: dict[tuple[int, str], list[Heard]] = defaultdict(list)
    for one in heard:
        if one.revision == LEFT:
            before = bisect_right([change.appended for change in left[one.ident]], one.at)
            revision = left[one.ident][before - 1].revision if before else 0
            one = Heard(one.at, one.courier, one.ident, revision)
        told[one.courier, one.ident].append(one)
    return told


def first_at(heard: Sequence[Heard], change: Change) -> float | None:
    """When the change or a later one of its endpoint was heard first."""
    times = [one.at for one in heard if one.revision >= change.revision]
    return min(times, default=None)


class _SourceEntry(msgspec.Struct):
    """An entry of the source as it is compared."""

    id: str
    addr: str
    cell: int
    state: str
    weight: float


_decoder = msgspec.json.Decoder(_SourceEntry)


def read_source(path: str, wanted: set[int]) -> dict[int, dict[str, KnownEndpoint]]:
    """The endpoints of the wanted destinations as the file has them: the last line of each holds."""
    told: dict[int, dict[str, KnownEndpoint]] = {}
    with open(path, "rb") as file:
        next(file)  # the header
        for line in file:
            one = _decoder.decode(line)
            if one.cell not in wanted:
                continue
            endpoints = told.setdefault(one.cell, {})
            endpoints.pop(one.id, None)
            if one.state != "left":
                ready = one.state == "active"
                endpoints[one.id] = KnownEndpoint(one.cell, one.id, one.addr, ready, one.weight)
    return told


def compare(
    known: Iterable[Known],
    sets: Mapping[int, Iterable[int]],
    source: Mapping[int, Mapping[str, KnownEndpoint]],
) -> Differences:
    """What each courier knows of its set against the source: by its subscription, and as its data path was
    told."""
    found = Differences()
    for one in known:
        found.couriers += 1
        expected = {
            endpoint for destination in sets[one.courier] for endpoint in source.get(destination, {}).values()
        }
        _differences(found, one.courier, expected, one.subscribed)
        if one.told != one.subscribed:
            _differences(found, one.courier, expected, one.told)
    return found


def _differences(
    found: Differences, courier: int, expected: set[KnownEndpoint], known: frozenset[KnownEndpoint]
) -> None:
    if known == expected:
        return
    right, have = {one.ident for one in expected}, {one.ident for one in known}
    found.missing += len(right - have)
    found.left_but_known += len(have - right)
    found.outdated += len({one.ident for one in expected - known} & have)
    if len(found.examples) < 5:
        wrong = min((one.ident for one in expected ^ known), default="")
        found.examples.append(f"courier {courier}: {wrong}")
