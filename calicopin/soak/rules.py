"""The invariants of a soak, as plain functions over what was recorded. No I/O; times are seconds of the
machine's monotonic clock.

Source: the users' protocol page and their page on standing tests (slow-start budget).
"""

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass, field

SMALL_BUDGET = 30.0  # up to this budget the wider allowance for chance holds
AFFECTED_SHARE = 2.0 / 3.0  # of the calls in a window: from there on the excess is the couriers' own
COMPLETION_SLACK_SECONDS = 0.5  # seconds past a message's time until its end has to be known
CLOSE_DETECTION_SECONDS = 0.1  # seconds until a destination has seen that a call's connection was closed
RESTART_GRACE_SECONDS = 1.5  # seconds behind a restart's readiness in which no end is overdue
SOCKET_SLACK_SECONDS = 0.05  # seconds by which every time limit is longer on sockets
READ_DELAY_SECONDS = 0.25  # seconds that a stand-in may take to read what lies there, on a busy machine
WAIT_SLACK_SECONDS = 0.1  # seconds behind an answer with a wait in which calls are let through


@dataclass(frozen=True, slots=True)
class SlowStart:
    """The rule on a returning destination: shares, seconds, and the multiple that fells it."""

    cold_from: float
    cold: float
    multiple: float
    span: float


@dataclass(frozen=True, slots=True)
class TimeLimits:
    """Times of the settings that other rules go by, in seconds: how long behind a drain a call may still
    begin, and how long a key rests behind a call that may still be running.
    """

    drain_grace: float
    settle: float


@dataclass(frozen=True, slots=True)
class Outage:
    """One outage of a destination: when it began, when it was back, and how it failed."""

    destination: int
    began_at: float
    recovered_at: float
    mode: str


@dataclass(slots=True)
class Arrival:
    """One call as a destination read it."""

    at: float
    courier: str
    destination: int
    messages: tuple[str, ...]
    outcome: str = ""
    answered: float | None = None  # when the last byte of its answer was written
    ended: float | None = None  # when its answer was out or its connection was gone
    endpoint: str = ""
    began: float = 0.0  # when its first byte was there


@dataclass(frozen=True, slots=True)
class Failure:
    """A call that a courier saw fail, from its own log."""

    at: float
    courier: str
    destination: int


@dataclass(slots=True)
class Message:
    """One message that a courier took on, as its client knows it."""

    ident: str
    courier: str
    destination: int
    product: str
    deadline: float
    accepted_at: float
    key: str | None = None  # messages of one key at one courier run in order


@dataclass(frozen=True, slots=True)
class RequestedWait:
    """A destination told a courier to wait so many seconds."""

    at: float
    courier: str
    destination: int
    seconds: float


@dataclass(frozen=True, slots=True)
class Drain:
    """Couriers were told that an endpoint takes no new calls. `excused` are those that could not hear it:
    their system calls failed then.
    """

    endpoint: str
    announced_at: float
    excused: frozenset[str] = frozenset()


@dataclass(slots=True)
class Record:
    """All that a run has seen."""

    outages: list[Outage] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    failures: list[Failure] = field(default_factory=list)
    messages: list[Message] = field(default_factory=list)
    notices: dict[str, float] = field(default_factory=dict)  # when each was heard first
    waits: list[RequestedWait] = field(default_factory=list)
    restarts: dict[str, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))
    # of each courier: when a process ended, and when the next one was ready
    unanswered: list[str] = field(default_factory=list)  # read by a live courier and closed with no answer
    crashes: list[str] = field(default_factory=list)
    invariants: list[str] = field(default_factory=list)  # broken, by the couriers' own checks
    drains: list[Drain] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken invariant, in a plain sentence."""

    rule: str
    what: str


def allowed_calls(budget: float) -> float:
    """The calls that a cold destination bears before it falls, from the budget that the settings give."""
    if budget >= SMALL_BUDGET:
        return budget + 2.0 * budget**0.5 + 2.0
    return budget + 3.0 * budget**0.5 + 3.0


def capacity_share(rule: SlowStart, recovered_at: float, at: float) -> float:
    """The share of its capacity that a destination has, so long after its return."""
    return rule.cold_from + (1.0 - rule.cold_from) * min(1.0, max(0.0, at - recovered_at) / rule.cold)


@dataclass(frozen=True, slots=True)
class Window:
    """The worst window of a return: its end (s after the return), calls, and what is allowed."""

    end: float
    calls: int
    allowed: float

    @property
    def excess(self) -> float:
        """Calls over what is allowed; under 0 where the rule is kept."""
        return self.calls - self.allowed


def affected_couriers(record: Record, outage: Outage) -> set[str]:
    """The couriers that saw a call fail there during the outage. A call that a courier's own end cut off it
    did not see fail.
    """
    return {
        failure.courier
        for failure in record.failures
        if failure.destination == outage.destination and outage.began_at <= failure.at < outage.recovered_at
    }


def worst_window(record: Record, outage: Outage, capacity: float, rule: SlowStart) -> Window | None:
    """The window behind a return with the largest excess of which over two thirds came from couriers that
    had met the outage, a restart between or not. `capacity` is calls a second.
    """
    affected = affected_couriers(record, outage)
    next_outages = [other.began_at for other in record.outages if other.destination == outage.destination]
    end = min([at for at in next_outages if at > outage.recovered_at], default=float("inf"))
    end = min(end, outage.recovered_at + rule.cold + rule.span)
    calls = sorted(
        (arrival.at, arrival.courier in affected)
        for arrival in record.arrivals
        if arrival.destination == outage.destination and outage.recovered_at <= arrival.at < end
    )
    times, worst = [at for at, _ in calls], None
    for position, at in enumerate(times):
        begin = max(outage.recovered_at, at - rule.span)
        first = bisect_left(times, begin)
        count = position + 1 - first
        if sum(is_affected for _, is_affected in calls[first : position + 1]) <= AFFECTED_SHARE * count:
            continue
        share = (
            capacity_share(rule, outage.recovered_at, begin) + capacity_share(rule, outage.recovered_at, at)
        ) / 2.0
        window = Window(
            at - outage.recovered_at, count, allowed_calls(rule.multiple * capacity * share * rule.span)
        )
        if worst is None or window.excess > worst.excess:
            worst = window
    return worst


def check_slow_start(record: Record, capacities: dict[int, float], rule: SlowStart) -> list[Violation]:
    """Every return of a destination that was sent more than its budget."""
    violations = []
    for outage in record.outages:
        worst = worst_window(record, outage, capacities[outage.destination], rule)
        if worst is not None and worst.excess > 0.0:
            what = (
                f"destination {outage.destination}, back from {outage.mode}: {worst.calls} calls in the "
                f"{rule.span:g} s up to {worst.end:.2f} s behind its return, {worst.allowed:.1f} are borne"
            )
            violations.append(Violation("failback", what))
    return violations


def check_completion(record: Record) -> list[Violation]:
    """Each message that was taken on has one end in its time: a call that ran, or a notice."""
    answered_at = defaultdict(list)
    for arrival in record.arrivals:
        if arrival.outcome == "delivered":
            for ident in arrival.messages:
                answered_at[ident].append(arrival.answered)
    violations = []
    for message in record.messages:
        completed_at = [at for at in answered_at[message.ident] if at is not None]
        if message.ident in record.notices:
            completed_at.append(record.notices[message.ident])
        limit = completion_limit(record, message)
        if not completed_at:
            violations.append(Violation("lost", f"{message.ident} was taken on and has no end"))
        elif min(completed_at) > limit:
            late = min(completed_at) - message.deadline
            violations.append(Violation("lost", f"{message.ident} ended {late:.2f} s behind its time"))
    return violations


def completion_limit(record: Record, message: Message) -> float:
    """When a message's end has to be known; none is overdue while its courier is down."""
    limit = message.deadline + COMPLETION_SLACK_SECONDS
    for ended, ready in record.restarts.get(message.courier, ()):
        if ended <= limit:
            limit = max(limit, ready + RESTART_GRACE_SECONDS)
    return limit


def check_duplicates(record: Record, once_only: set[str]) -> list[Violation]:
    """What may go once only runs once, and no two calls with one message are out at a time."""
    calls = defaultdict(list)
    for arrival in record.arrivals:
        for ident in arrival.messages:
            calls[ident].append(arrival)
    violations = []
    for message in record.messages:
        own_calls = sorted(calls[message.ident], key=lambda arrival: arrival.at)
        ran = [arrival for arrival in own_calls if arrival.outcome not in ("refused", "unread")]
        if message.product in once_only and len(ran) > 1:
            violations.append(
                Violation("duplicate", f"{message.ident} may run once and was run {len(ran)} times")
            )
        for first, second in zip(own_calls, own_calls[1:], strict=False):
            if first.ended is not None and second.at < first.ended - CLOSE_DETECTION_SECONDS:
                violations.append(
                    Violation("duplicate", f"two calls with {message.ident} were out at a time")
                )
    return violations


def check_waits(record: Record) -> list[Violation]:
    """Nothing arrives from a courier before the wait that it was told is over; a restart ends the wait."""
    by_pair, violations = defaultdict(list), []
    for arrival in record.arrivals:
        by_pair[arrival.courier, arrival.destination].append(arrival.at)
    for wait in record.waits:
        wait_end = wait.at + wait.seconds
        for ended, _ in record.restarts.get(wait.courier, ()):
            if wait.at <= ended < wait_end:
                wait_end = ended
        early = [
            at
            for at in by_pair[wait.courier, wait.destination]
            if wait.at + WAIT_SLACK_SECONDS < at < wait_end - 0.02
        ]
        if early:
            what = (
                f"{wait.courier} called destination {wait.destination} {wait_end - early[0]:.2f} s before "
                "the requested wait was over"
            )
            violations.append(Violation("wait", what))
    return violations


def check_drains(record: Record, grace: float) -> list[Violation]:
    """No call begins at an endpoint later than `grace` (s) behind the moment in which couriers were told that
    it takes no new ones.
    """
    violations = []
    for drain in record.drains:
        limit = drain.announced_at + grace + SOCKET_SLACK_SECONDS + READ_DELAY_SECONDS
        for arrival in record.arrivals:
            if arrival.endpoint != drain.endpoint or arrival.courier in drain.excused:
                continue
            if arrival.began > limit:
                late = arrival.began - drain.announced_at
                what = f"{arrival.courier} called {drain.endpoint} {late:.2f} s behind its drain"
                violations.append(Violation("drain", what))
    return violations


def check_order(record: Record, settle: float) -> list[Violation]:
    """Messages of one key run one at a time, in the order in which their courier took them, and `settle` (s)
    behind a call that may still be running.
    """
    calls, sequences, violations = defaultdict(list), defaultdict(list), []
    for arrival in record.arrivals:
        for ident in arrival.messages:
            calls[ident].append(arrival)
    for message in sorted(record.messages, key=lambda each: each.accepted_at):
        if message.key is not None:
            sequences[message.courier, message.key].append(message)
    for (courier, key), sequence in sequences.items():
        for position, message in enumerate(sequence):
            earlier = [arrival for other in sequence[:position] for arrival in calls[other.ident]]
            for arrival in calls[message.ident]:
                if any(breaks_order(arrival, other, settle) for other in earlier):
                    what = f"{message.ident} of key {key} at {courier} did not wait for its turn"
                    violations.append(Violation("order", what))
    return violations


def breaks_order(arrival: Arrival, earlier: Arrival, settle: float) -> bool:
    """Whether a call began before one with an earlier message of its key, while that was out, or too soon
    behind it.
    """
    if arrival.at < earlier.at:
        return True
    may_still_run = earlier.outcome in ("hung", "reset", "abandoned", "cut")
    pause = settle if may_still_run else 0.0
    return earlier.ended is not None and arrival.at < earlier.ended + pause - CLOSE_DETECTION_SECONDS


def find_violations(
    record: Record, capacities: dict[int, float], rule: SlowStart, once_only: set[str], limits: TimeLimits
) -> list[Violation]:
    """All broken invariants of a run."""
    violations = [Violation("crash", what) for what in record.crashes]
    violations += [Violation("invariant", what) for what in record.invariants]
    violations += [Violation("lost", f"{what} was read and got no answer") for what in record.unanswered]
    violations += check_slow_start(record, capacities, rule)
    violations += check_completion(record)
    violations += check_duplicates(record, once_only)
    violations += check_drains(record, limits.drain_grace)
    violations += check_order(record, limits.settle)
    return violations + check_waits(record)
