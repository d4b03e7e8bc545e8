"""What one unit costs: each slope with where it comes from, the sizes it was looked at, and how well it fits.

A slope of basis RUN names a result file under docs/scale/ and holds the value that stands there, to four digits.
Times are seconds of one core of this machine, memory and traffic bytes.
"""

from dataclasses import dataclass
from enum import StrEnum

from calicopin.capacity import encoded

DIGITS = 4  # that a slope keeps of what a run told


class Basis(StrEnum):
    """Where a slope comes from."""

    RUN = "run"  # a result file under docs/scale/
    PAGE = "page"  # a run that another page of this repository tells
    OUTSIDE = "outside run"  # one run outside of this repository, the decisions alone on one core
    ENCODED = "encoded"  # counted from messages that the program's own code writes
    ASSUMED = "assumed"  # no run


@dataclass(frozen=True, slots=True)
class Run:
    """A result file and the figure in it: the slope of its line, or its plain value."""

    file: str
    figure: str
    command: str
    of_line: bool = True
    factor: float = 1.0  # from its unit to the slope's


@dataclass(frozen=True, slots=True)
class Slope:
    """A cost a unit. `sizes` are those looked at, `residual` a share of the mean; `why` says what stands behind it."""

    name: str
    value: float
    unit: str
    basis: Basis
    why: str
    sizes: tuple[float, ...] = ()
    residual: float | None = None
    run: Run | None = None


OUTSIDE_RUN = "one run of the decisions alone on one core; no command in this repository"

LISTED_MEMORY = Slope(
    "memory of a listed destination",
    6_400.0,
    "B / destination",
    Basis.OUTSIDE,
    OUTSIDE_RUN,
    (1_000, 10_000, 50_000),
)
LISTED_TIME = Slope(
    "whole list taken in",
    1.7 / 50_000,
    "s / destination",
    Basis.OUTSIDE,
    OUTSIDE_RUN + "; 1.7 s at 50,000",
    (50_000,),
)
CHANGE_TIME = Slope(
    "one change, a known destination",
    0.322 / 50_000,
    "s / destination",
    Basis.OUTSIDE,
    OUTSIDE_RUN + "; 0.2, 7 and 322 ms: steeper than a line, taken from the largest size",
    (1_000, 10_000, 50_000),
)
WAITING_MEMORY = Slope(
    "memory of a waiting message", 490.0, "B / message", Basis.OUTSIDE, OUTSIDE_RUN + "; the decisions' part"
)
BACKLOG = "python -m calicopin.capacity.backlog --json docs/scale/backlog.json"
WALKED_DOWN = Slope(
    "a waiting message a second, its destination down",
    2.167e-6,
    "s / message",
    Basis.RUN,
    "no limit told in answers; an event each 0.68 s for the destination",
    (10_000, 30_000, 100_000),
    0.0889,
    Run("docs/scale/backlog.json", "processor time a second, the destination down", BACKLOG, factor=1e-3),
)
WALKED_DELIVERY = Slope(
    "a waiting message at each delivery of its destination",
    7.498e-7,
    "s / message",
    Basis.RUN,
    "the first 100 deliveries of a backlog",
    (10_000, 30_000, 100_000),
    0.0639,
    Run("docs/scale/backlog.json", "processor time of one delivery", BACKLOG, factor=1e-3),
)
STORE_BYTES = Slope(
    "a live message in the segmented store",
    120.6e6 / 200_000,
    "B / message",
    Basis.PAGE,
    "docs/store-design.md, `python -m calicopin.store measure`, bodies of 300 B",
    (1_000, 10_000, 200_000),
)
STORE_START = Slope(
    "a live message read at a start",
    2.68 / 200_000,
    "s / message",
    Basis.PAGE,
    "docs/store-design.md, `python -m calicopin.store measure`",
    (1_000, 10_000, 200_000),
)
EVENT_TIME = Slope(
    "an event from its request to its end",
    2e-3,
    "s / event",
    Basis.ASSUMED,
    "decisions .08 to .12 ms at 8 destinations (docs/architecture.md); h11 on both sides and the journal guessed",
)
ENTRY_BYTES = Slope(
    "an entry of the list",
    float(encoded.entry_bytes()),
    "B / destination",
    Basis.ENCODED,
    "calicopin/capacity/encoded.py",
)
POLL_BYTES = Slope(
    "a call for the list with no news",
    float(encoded.poll_bytes()),
    "B / call",
    Basis.ENCODED,
    "request and answer of today's exchange with their heads",
)
RENEWAL_BYTES = Slope(
    "a renewal with no news",
    float(encoded.renewal_bytes()),
    "B / call",
    Basis.ENCODED,
    "calicopin/subscription/messages.py with heads",
)
NEW_LEASE_BYTES = Slope(
    "a subscribed destination of a new lease",
    float(encoded.subscribed_bytes()),
    "B / destination",
    Basis.ENCODED,
    "its number in the request and in `complete`, and its entry",
)
STATUS_BYTES = Slope(
    "a destination in an answer to operators",
    float(encoded.status_bytes()),
    "B / destination",
    Basis.ENCODED,
    "a row of `Facade.state` as JSON",
)
RENEWAL_COURIER_TIME = Slope(
    "a renewal at the courier", 1e-3, "s / call", Basis.ASSUMED, "one exchange through h11 and json, guessed"
)
RENEWAL_NODE_TIME = Slope(
    "a renewal at the node", 1e-3, "s / call", Basis.ASSUMED, "one exchange through h11 and json, guessed"
)
NEW_LEASE_NODE_TIME = Slope(
    "a subscribed destination of a new lease at the node",
    2e-5,
    "s / destination",
    Basis.ASSUMED,
    "one look-up and one piece of JSON, guessed",
)
NODE_LISTED_MEMORY = Slope(
    "memory of a destination at the node",
    600.0,
    "B / destination",
    Basis.ASSUMED,
    "its entry as bytes, a place in a map and one in an index, guessed",
)
NODE_SUBSCRIPTION_MEMORY = Slope(
    "memory of one subscribed destination at the node",
    250.0,
    "B / subscription",
    Basis.ASSUMED,
    "a place in a set on each side, guessed",
)
NODE_LEASE_MEMORY = Slope(
    "memory of a lease and its connection at the node", 50e3, "B / courier", Basis.ASSUMED, "buffers, guessed"
)
NODE_LOAD_TIME = Slope(
    "a destination read by a node's start", 10e-6, "s / destination", Basis.ASSUMED, "json of a line, guessed"
)
SERVED_TOLD = Slope(
    "served share, told 19,000 senders where 20 send",
    0.594,
    "share",
    Basis.OUTSIDE,
    "one run: limit 50 a second, 40 a second offered for a minute",
    (19_000,),
)
SERVED_KNOWN = Slope(
    "served share, 20 senders that know they are 20",
    0.945,
    "share",
    Basis.OUTSIDE,
    "the same run",
    (20,),
)


def all_slopes() -> tuple[Slope, ...]:
    """Every slope of the model, in the order in which they stand here."""
    return tuple(value for value in globals().values() if isinstance(value, Slope))
