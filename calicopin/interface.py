"""The types of events and actions that pass between the decisions (`decisions.py`) and the code around them.

Times are float milliseconds; texts, endpoints and destinations are small integers. Nothing here decides
anything.
"""

from dataclasses import dataclass, field
from enum import IntEnum


class How(IntEnum):
    """How a submit ended.

    FULL: refused for lack of capacity. UNREACHED: no connection. BROKEN: the connection failed before the
    answer. CALLED_OFF: given up without an outcome, it may have run. NOT_SENT: it never ran, and no fault of
    the endpoint.
    """

    DELIVERED = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    UNREACHED = 4
    BROKEN = 5
    CALLED_OFF = 6
    NOT_SENT = 7


class Repeat(IntEnum):
    """Whether a text of a product may be submitted again once a submit may have run."""

    RESENDABLE = 0
    REFERENCED = 1
    ONCE_ONLY = 2


@dataclass(slots=True, frozen=True)
class Product:
    """What texts of one product are worth, and what may be done with them.

    `sla` is the time (ms) up to which a delivery earns the full `revenue`, `validity` the validity period
    (ms); from the one to the other the revenue falls to the share `late_revenue`, linearly or (`late_halves`)
    by half with each further `sla`. `memory` is how long (ms) a destination knows a reference, in one zone
    only with `memory_by_zone`. `in_order`: texts with the same key are delivered in order.
    """

    repeat: Repeat
    sla: float
    validity: float
    revenue: float
    late_revenue: float
    memory: float = 0.0
    memory_by_zone: bool = False
    in_order: bool = False
    late_halves: bool = False


@dataclass(slots=True, frozen=True)
class Partner:
    """One kind of destination: the most texts per call, and whether each endpoint has a route of its own."""

    max_bundle: int = 1
    per_endpoint_routes: bool = False


@dataclass(slots=True, frozen=True)
class FailBack:
    """The rule on returning destinations.

    After an outage, a destination bears the share `cold_from` of its capacity, rising to all of it within
    `cold` ms. Within any `span` ms it bears `multiple` times that.
    """

    cold_from: float
    cold: float
    multiple: float
    span: float


@dataclass(slots=True, frozen=True)
class CourierSettings:
    """The settings of one instance of the decisions. Times are milliseconds.

    `number` is its index among `senders` instances that send to the same destinations; `slots` limits
    concurrent calls, `room` the texts held, `tries` the submits of one text. `tick` is the time between two
    batches. `settle` is how long a submit without an answer may still run, `max_retry_after` the longest
    advice to stay away, and `closes_idle` says that idle connections are closed early. With `requests_list`,
    the list of endpoints is asked for, and the courier counts as informed `ask_within` after its last
    request. `restarted` is the time of a restart, after which texts of the last process may still run.
    """

    seed: int
    number: int
    senders: int
    tick: float
    slots: int
    room: int
    tries: int
    products: list
    partners: list
    fail_back: FailBack
    settle: float = 0.0
    max_retry_after: float = 0.0
    closes_idle: bool = False
    requests_list: bool = False
    ask_within: float = 10000.0
    restarted: float = -1e12


# Events.


@dataclass(slots=True)
class Taken:
    """A text was handed in; for one restored after a restart, or that comes again under the same `reference`,
    with what its submits may have done.
    """

    text: int
    dest: int
    product: int
    valid_until: float
    key: str | None = None
    customer: int = 0
    tries: int = 0
    ran_at: float | None = None
    ran_zone: int | None = None
    restored: bool = False
    reference: str | None = None


@dataclass(slots=True)
class Outcome:
    """A submit ended; `ended`: nothing more is owed for the text. `wait` is the wait that the answer asks
    for, `limit` the calls per second that it reports as limit, and `left` the share of it that is left.
    """

    text: int
    endpoint: int
    how: How
    wait: float = 0.0
    elapsed: float = 0.0
    ended: bool = False
    left: float | None = None
    limit: float | None = None


@dataclass(slots=True)
class Entry:
    """One entry of the list of endpoints; `agreed` is the limit that it gives, in calls per second."""

    endpoint: int
    dest: int
    kind: int = 0
    zone: int = 0
    ready: bool = True
    agreed: float | None = None


@dataclass(slots=True)
class Listed:
    """A change of the list of endpoints; with `whole`, the entries replace the list."""

    entries: list = field(default_factory=list)
    whole: bool = False


@dataclass(slots=True)
class ListFailed:
    """The list could not be read, or the watch may have ended."""


@dataclass(slots=True)
class Released:
    """Nobody uses the destination any more; its endpoints are not reported any longer."""

    dest: int


@dataclass(slots=True)
class RouteState:
    """What the last process knew of a route: of `endpoint`, or (None) of the whole destination. `continuous`
    says whether the monotonic clock has gone on since.
    """

    dest: int
    endpoint: int | None
    state: dict
    continuous: bool


@dataclass(slots=True)
class Interrupted:
    """The last process ended while a call to the destination was in flight."""

    dest: int


@dataclass(slots=True)
class Withdrawn:
    """Nothing more is owed for the text."""

    text: int


@dataclass(slots=True)
class CallsPaused:
    """From now on no call can be made, or calls can be made again."""

    paused: bool


@dataclass(slots=True)
class Emptied:
    """A drain: waiting texts are to be handed in elsewhere."""


@dataclass(slots=True)
class Woken:
    """A requested wake-up."""

    token: int


# Actions.


@dataclass(slots=True)
class Submit:
    """Call the endpoint with the text."""

    text: int
    endpoint: int
    timeout: float


@dataclass(slots=True)
class Nack:
    """Final: the text may safely be handed in again, best after `stay_away` ms; `why` is for the log."""

    text: int
    stay_away: float = 0.0
    why: str = ""


@dataclass(slots=True)
class Undeliverable:
    """Final: given up, and whether it had an effect is unknown; `why` is for the log."""

    text: int
    why: str = ""


@dataclass(slots=True)
class Wake:
    """Ask for a `Woken` event after so many ms."""

    after: float
    token: int


@dataclass(slots=True)
class Watch:
    """Ask for the list, now and whenever it changes."""


@dataclass(slots=True)
class Close:
    """Close the idle connections to the endpoint."""

    endpoint: int


@dataclass(slots=True)
class Log:
    """A line for operators."""

    line: str
