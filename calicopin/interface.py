"""Plain types that pass between the decisions (`decisions.py`) and whatever protocol stands before them.

Times are float milliseconds, texts, endpoints and destinations are small whole numbers.
Nothing here decides anything.
"""

from dataclasses import dataclass, field
from enum import IntEnum


class How(IntEnum):
    """How a submit ended."""

    DELIVERED = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    UNREACHED = 4
    BROKEN = 5
    CALLED_OFF = 6
    NOT_SENT = 7


class Repeat(IntEnum):
    """What a product allows once a submit may have run."""

    RESENDABLE = 0
    REFERENCED = 1
    ONCE_ONLY = 2


@dataclass(slots=True, frozen=True)
class Product:
    """What texts of one product are worth, and what may be done with them."""

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
    """One kind of destination: texts a call at most, and whether its endpoints are routes apart."""

    bundle: int = 1
    apart: bool = False


@dataclass(slots=True, frozen=True)
class FailBack:
    """The rule on returning destinations."""

    cold_from: float
    cold: float
    multiple: float
    span: float


@dataclass(slots=True, frozen=True)
class CourierSettings:
    """What one instance of the decisions is told at its start. Times in milliseconds.

    `number` is its place among `senders` instances that send to the same destinations; `slots` bounds calls
    out at once, `room` the texts held, `tries` the submits of one text; `tick` is the time between two turns.
    `asks`: the list of endpoints is asked for and counts as told `ask_within` after its last call;
    `restarted` is the time of a start behind which texts of the last process may still run.
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
    most_advice: float = 0.0
    gives_back: bool = False
    asks: bool = False
    ask_within: float = 10000.0
    restarted: float = -1e12


# What comes in.


@dataclass(slots=True)
class Taken:
    """A text was handed in; one restored after a restart says what it had been through."""

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


@dataclass(slots=True)
class Outcome:
    """A submit ended; `ended` tells that nothing more is owed for the text."""

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
    """One line of the list of endpoints."""

    endpoint: int
    dest: int
    kind: int = 0
    zone: int = 0
    ready: bool = True
    agreed: float | None = None


@dataclass(slots=True)
class Listed:
    """News of the list; `whole` replaces it."""

    entries: list = field(default_factory=list)
    whole: bool = False


@dataclass(slots=True)
class ListFailed:
    """The list could not be had, or the watch may have ended."""


@dataclass(slots=True)
class Released:
    """The destination is used no more, and its endpoints are not heard of any longer."""

    dest: int


@dataclass(slots=True)
class RouteState:
    """What the last process knew of a route: of `endpoint` alone, or (None) of the whole destination.
    `continuous` says whether the monotonic clock has gone on since."""

    dest: int
    endpoint: int | None
    state: dict
    continuous: bool


@dataclass(slots=True)
class Interrupted:
    """A call of the last process was out to the destination when that ended."""

    dest: int


@dataclass(slots=True)
class Withdrawn:
    """Nothing more is owed for the text."""

    text: int


@dataclass(slots=True)
class CallsPaused:
    """Whether no call can be made from now on, whatever it is for."""

    paused: bool


@dataclass(slots=True)
class Emptied:
    """The courier is to be empty: what waits goes elsewhere."""


@dataclass(slots=True)
class Woken:
    """A wake-up that was asked for."""

    token: int


# What goes out.


@dataclass(slots=True)
class Submit:
    """Call the endpoint with the text."""

    text: int
    endpoint: int
    timeout: float


@dataclass(slots=True)
class Nack:
    """Final: the text did no harm and may come again, best after `stay_away`; `why` is for the log."""

    text: int
    stay_away: float = 0.0
    why: str = ""


@dataclass(slots=True)
class Undeliverable:
    """Final: given up, nothing promised; `why` is for the log."""

    text: int
    why: str = ""


@dataclass(slots=True)
class Wake:
    """Ask for a `Woken` after so long."""

    after: float
    token: int


@dataclass(slots=True)
class Watch:
    """Ask for the list, now and as it changes."""


@dataclass(slots=True)
class Close:
    """Shut the connections to the endpoint that are idle."""

    endpoint: int


@dataclass(slots=True)
class Log:
    """A line for on-call staff."""

    line: str
