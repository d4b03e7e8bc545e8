"""Checks that each change is in force at each courier that uses its destination, and that each courier knows
exactly the endpoints of the source. No I/O except reading the source; times are milliseconds."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from calicopin.scale.change_feed import Change
from calicopin.scale.simulated_couriers import LEFT, CourierView, KnownEndpoint, ReceivedUpdate

MS_PER_SECOND = 1000.0


@dataclass(frozen=True, slots=True)
class Propagation:
    """One change at one courier; `at` is when it was received, None if never."""

    change: Change
    courier: int
    at: float | None
    reachable_since: float  # from when the change existed and the courier could reach a node

    @property
    def latency_ms(self) -> float | None:
        """Time until the change was in force: from `reachable_since`, or from the change if it was in force
        before that."""
        if self.at is None:
            return None
        return self.at - (self.reachable_since if self.at >= self.reachable_since else self.change.due)


@dataclass(slots=True)
class Differences:
    """Differences between the couriers' endpoints and the source, counted over all couriers."""

    couriers: int = 0
    missing: int = 0  # in the source only
    left_but_known: int = 0  # no longer in the source
    outdated: int = 0  # different state, address or weight
    examples: list[str] = field(default_factory=list)

    @property
    def none(self) -> bool:
        """Whether all couriers match the source."""
        return not (self.missing or self.left_but_known or self.outdated)


def change_due(change: Change, _: int) -> float:
    """The default `reachable_since`: a node is reachable all the time."""
    return change.due


def propagations(
    changes: Sequence[Change],
    subscribers: Mapping[int, Sequence[int]],
    updates: Iterable[ReceivedUpdate],
    reachable_since: Callable[[Change, int], float] = change_due,
) -> list[Propagation]:
    """Pairs each change with each courier that subscribes to its destination."""
    revisions = resolve_leaves(changes, updates)
    result = []
    for change in changes:
        for courier in subscribers.get(change.destination, ()):
            at = first_received_at(revisions.get((courier, change.ident), ()), change)
            result.append(Propagation(change, courier, at, max(change.due, reachable_since(change, courier))))
    return result


def resolve_leaves(
    changes: Sequence[Change], updates: Iterable[ReceivedUpdate]
) -> dict[tuple[int, str], list[ReceivedUpdate]]:
    """The updates by courier and endpoint; each LEFT gets the revision of the last leave before it."""
    left: dict[str, list[Change]] = defaultdict(list)
    for change in changes:
        if change.state == "left":
            left[change.ident].append(change)
    by_endpoint: dict[tuple[int, str], list[ReceivedUpdate]] = defaultdict(list)
    for update in updates:
        if update.revision == LEFT:
            before = bisect_right([change.appended for change in left[update.ident]], update.at)
            revision = left[update.ident][before - 1].revision if before else 0
            update = ReceivedUpdate(update.at, update.courier, update.ident, revision)
        by_endpoint[update.courier, update.ident].append(update)
    return by_endpoint


def first_received_at(updates: Sequence[ReceivedUpdate], change: Change) -> float | None:
    """When the change, or a later one of the same endpoint, was first received; None if never."""
    times = [update.at for update in updates if update.revision >= change.revision]
    return min(times, default=None)


class _SourceEntry(msgspec.Struct):
    """The compared fields of a source entry."""

    id: str
    addr: str
    cell: int
    state: str
    weight: float


_decoder = msgspec.json.Decoder(_SourceEntry)


def read_source(path: str, wanted: set[int]) -> dict[int, dict[str, KnownEndpoint]]:
    """The endpoints of the wanted destinations in the file; the last line of an endpoint counts."""
    by_destination: dict[int, dict[str, KnownEndpoint]] = {}
    with open(path, "rb") as file:
        next(file)  # the header
        for line in file:
            source_entry = _decoder.decode(line)
            if source_entry.cell not in wanted:
                continue
            endpoints = by_destination.setdefault(source_entry.cell, {})
            endpoints.pop(source_entry.id, None)
            if source_entry.state != "left":
                ready = source_entry.state == "active"
                endpoints[source_entry.id] = KnownEndpoint(
                    source_entry.cell, source_entry.id, source_entry.addr, ready, source_entry.weight
                )
    return by_destination


def compare(
    known: Iterable[CourierView],
    sets: Mapping[int, Iterable[int]],
    source: Mapping[int, Mapping[str, KnownEndpoint]],
) -> Differences:
    """Compares each courier with the source: its subscription, and what was passed to its data path."""
    differences = Differences()
    for view in known:
        differences.couriers += 1
        expected = {
            endpoint
            for destination in sets[view.courier]
            for endpoint in source.get(destination, {}).values()
        }
        _differences(differences, view.courier, expected, view.subscribed)
        if view.data_path != view.subscribed:
            _differences(differences, view.courier, expected, view.data_path)
    return differences


def _differences(
    differences: Differences, courier: int, expected: set[KnownEndpoint], known: frozenset[KnownEndpoint]
) -> None:
    if known == expected:
        return
    expected_idents, known_idents = (
        {endpoint.ident for endpoint in expected},
        {endpoint.ident for endpoint in known},
    )
    differences.missing += len(expected_idents - known_idents)
    differences.left_but_known += len(known_idents - expected_idents)
    differences.outdated += len({endpoint.ident for endpoint in expected - known} & known_idents)
    if len(differences.examples) < 5:
        wrong = min((endpoint.ident for endpoint in expected ^ known), default="")
        differences.examples.append(f"courier {courier}: {wrong}")
