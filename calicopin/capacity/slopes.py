"""What one unit costs: each slope with where it comes from, the sizes it was looked at, and how well it fits.

A slope of basis RUN names a result file under docs/scale/ and holds the value that stands there, to four
digits.
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


class Kind(StrEnum):
    """What a slope takes from a result file."""

    SLOPE = "slope"  # of the line
    INTERCEPT = "intercept"  # of the line
    MEDIAN = "median"  # of the repeats at one size
    VALUE = "value"  # a figure without sizes


@dataclass(frozen=True, slots=True)
class Run:
    """A result file and the figure in it: the slope or intercept of its line, its median at one size, or its
    plain value."""

    file: str
    figure: str
    command: str
    kind: Kind = Kind.SLOPE
    at_size: float = 0.0  # of a median
    factor: float = 1.0  # from its unit to the slope's


@dataclass(frozen=True, slots=True)
class Slope:
    """A cost a unit. `sizes` are those looked at, `residual` a share of the mean; `why` says what stands
    behind it."""

    name: str
    value: float
    unit: str
    basis: Basis
    why: str
    sizes: tuple[float, ...] = ()
    residual: float | None = None
    run: Run | None = None


SCALE = "python -m calicopin.scale "
LIST_FILE = "docs/scale/slopes-list-before.json"
MESSAGES_FILE = "docs/scale/slopes-messages.json"
LIST_SIZES = (1_000, 10_000, 50_000)
MESSAGE_SIZES = (10_000, 30_000, 100_000)
BEFORE = "the program before this sitting's mechanism"


def _list_run(figure: str, factor: float = 1.0) -> Run:
    return Run(LIST_FILE, figure, SCALE + "slopes list list-memory entry", factor=factor)


def _messages_run(figure: str) -> Run:
    return Run(MESSAGES_FILE, figure, SCALE + "slopes messages kept-messages rate journal")


LISTED_MEMORY = Slope(
    "memory of a listed destination",
    6_391.0,
    "B / destination",
    Basis.RUN,
    BEFORE,
    LIST_SIZES,
    0.0037,
    _list_run("memory of the list in the decisions"),
)
LISTED_TIME = Slope(
    "whole list taken in",
    3.048e-5,
    "s / destination",
    Basis.RUN,
    BEFORE,
    LIST_SIZES,
    0.1163,
    _list_run("time of the first whole list", 1e-3),
)
CHANGE_TIME = Slope(
    "one change, a known destination",
    1.512e-6,
    "s / destination",
    Basis.RUN,
    BEFORE,
    LIST_SIZES,
    0.1284,
    _list_run("time of one changed entry (median in a process)", 1e-3),
)
ENTRY_BYTES = Slope(
    "an entry of the list",
    131.8,
    "B / destination",
    Basis.RUN,
    "",
    (1_000, 10_000, 100_000),
    0.0015,
    _list_run("bytes of the list as JSON"),
)
WAITING_DECISIONS = Slope(
    "memory of a waiting message in the decisions alone",
    552.7,
    "B / message",
    Basis.RUN,
    "",
    MESSAGE_SIZES,
    0.0011,
    _messages_run("memory of waiting messages in the decisions"),
)
WAITING_MEMORY = Slope(
    "memory of a waiting message, all of it",
    1_353.0,
    "B / message",
    Basis.RUN,
    "decisions, message with a body of 256 B, journal",
    MESSAGE_SIZES,
    0.0018,
    _messages_run("memory of waiting messages with text, 256 B body, journal"),
)
JOURNAL_BYTES = Slope(
    "a waiting message in the journal",
    512.8,
    "B / message",
    Basis.RUN,
    "body of 256 B",
    MESSAGE_SIZES,
    0.0,
    _messages_run("journal file of waiting messages, 256 B body"),
)
TRAFFIC = "python -m calicopin.capacity.traffic --json docs/scale/traffic.json"
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
PROCESS_MEMORY = Slope(
    "a courier's process with no events",
    22_650_000.0,
    "B",
    Basis.RUN,
    "three destinations listed",
    (33, 66, 132),
    0.0033,
    Run("docs/scale/traffic.json", "resident memory of a courier", TRAFFIC, Kind.INTERCEPT),
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
    1.737e-3,
    "s / event",
    Basis.RUN,
    "a whole courier on loopback, every event delivered at its first call; 15 ms a second more at any rate",
    (33, 66, 132),
    0.1204,
    Run("docs/scale/traffic.json", "processor time of a courier a second", TRAFFIC, factor=1e-3),
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
NODE_PAGE = "docs/discovery-node.md, `python -m calicopin.discovery_node.measure`"
NODE_PROCESS = "docs/discovery-node.md, one run of a whole process"
NODE_SIZES = (100_000, 400_000, 1_700_000)
NEW_LEASE_NODE_TIME = Slope(
    "a subscribed destination of a new lease at the node",
    0.7 / 613 / 90,
    "s / destination",
    Basis.PAGE,
    NODE_PROCESS + "; 613 new leases of 90 destinations took 0.7 s of a core",
    (90,),
)
NODE_LISTED_MEMORY = Slope(
    "memory of a destination at the node",
    266e6 / 1.7e6,
    "B / destination",
    Basis.PAGE,
    NODE_PAGE + "; 266 MB at the largest",
    NODE_SIZES,
)
NODE_CHANGED_MEMORY = Slope(
    "memory of a destination that changed since a node's start",
    366.0,
    "B / destination",
    Basis.PAGE,
    NODE_PAGE,
    (11_000,),
)
NODE_SUBSCRIPTION_MEMORY = Slope(
    "memory of one subscribed destination at the node",
    94.0,
    "B / subscription",
    Basis.PAGE,
    NODE_PAGE,
    (55_170,),
)
NODE_LEASE_MEMORY = Slope(
    "memory of a lease's connection at the node",
    8e6 / 613 - 90 * 94.0,
    "B / courier",
    Basis.PAGE,
    NODE_PROCESS + "; 8 MB more for 613 couriers, less their subscriptions",
    (613,),
)
NODE_LOAD_TIME = Slope(
    "a destination read by a node's start",
    16.4 / 1.7e6,
    "s / destination",
    Basis.PAGE,
    NODE_PAGE + "; 14.6 to 16.4 s at the largest",
    NODE_SIZES,
)
NODE_CHANGE_TIME = Slope(
    "a change at the node, one subscriber",
    91e-6,
    "s / change",
    Basis.PAGE,
    NODE_PAGE + "; 68 to 91 µs at the largest, 84 to 87 µs at the others; no call on sockets",
    NODE_SIZES,
)


SERVED_TOLD = Slope(
    "served share, 20 senders told that they are 19,000",
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
