"""From a change to in force at each of its couriers: what was announced against what was heard. No I/O.

Each endpoint changes once at most in a run, so that a courier's first matching word after it is the one.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from calicopin.scale import fit

State = tuple[bool, float] | None  # whether it is active, and its weight; None: it has left


@dataclass(frozen=True, slots=True)
class Announced:
    """One change: when it was due and when it stood in the source, in milliseconds of the monotonic clock."""

    destination: int
    ident: str
    state: State
    due: float
    written: float


@dataclass(frozen=True, slots=True)
class Heard:
    """A courier knows a new state of an endpoint."""

    at: float
    courier: int
    ident: str
    state: State


@dataclass(frozen=True, slots=True)
class InForce:
    """Of one change at one courier: milliseconds, or None where it never was."""

    change: Announced
    courier: int
    after: float | None


def match(
    changes: Iterable[Announced],
    heard: Iterable[Heard],
    subscribers: Mapping[int, Iterable[int]],
    reach: Mapping[int, float] | None = None,
) -> list[InForce]:
    """Each change at each of its subscribers.

    Time counts from when the change was due; for a change of an index in `reach`, from then on if that is
    later: no node could be reached before.
    """
    by_place: dict[tuple[int, str], list[Heard]] = defaultdict(list)
    for one in heard:
        by_place[one.courier, one.ident].append(one)
    found = []
    for index, change in enumerate(changes):
        begin = max(change.due, (reach or {}).get(index, 0.0))
        for courier in subscribers.get(change.destination, ()):
            told = by_place.get((courier, change.ident), ())
            at = next((one.at for one in told if one.at >= change.due and one.state == change.state), None)
            found.append(InForce(change, courier, None if at is None else max(0.0, at - begin)))
    return found


@dataclass(frozen=True, slots=True)
class Summary:
    """Times in milliseconds; `last` is of each change at its last courier, `lost` never came in force."""

    changes: int
    heard: int
    lost: int
    p50: float | None
    p99: float | None
    worst: float | None
    last_p50: float | None
    last_p99: float | None


def summarize(found: list[InForce]) -> Summary:
    """The distribution over all pairs of change and courier, and over changes at their last courier."""
    times = [one.after for one in found if one.after is not None]
    last: dict[int, float] = {}
    for one in found:
        if one.after is not None:
            last[id(one.change)] = max(last.get(id(one.change), 0.0), one.after)
    lasts = list(last.values())

    def at(values: list[float], share: float) -> float | None:
        return fit.percentile(values, share) if values else None

    return Summary(
        changes=len({id(one.change) for one in found}),
        heard=len(times),
        lost=len(found) - len(times),
        p50=at(times, 0.5),
        p99=at(times, 0.99),
        worst=max(times, default=None),
        last_p50=at(lasts, 0.5),
        last_p99=at(lasts, 0.99),
    )
