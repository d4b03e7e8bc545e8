"""The invariants of a soak, as functions over what was recorded. No I/O; times are seconds of the machine's
monotonic clock.

Source: the specifications of the protocol and of the standing tests (slow-start budget).
"""

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass, field

SMALL_BUDGET = 30.0  # calls; below this the allowance for random variation is wider
AFFECTED_SHARE = 2.0 / 3.0  # of a window's calls: above it, couriers that saw the outage caused the excess
COMPLETION_SLACK_SECONDS = 0.5  # from a message's deadline until its result must be known
CLOSE_DETECTION_SECONDS = 0.1  # until a destination notices that a connection was closed
RESTART_GRACE_SECONDS = 1.5  # after a restarted courier is ready, in which no result is overdue
SOCKET_SLACK_SECONDS = 0.05  # added to every time limit because of socket latency
READ_DELAY_SECONDS = 0.25  # until a simulated destination reads received bytes on a busy machine
WAIT_SLACK_SECONDS = 0.1  # after an answer that asks for a wait, in which calls are tolerated


@dataclass(frozen=True, slots=True)
class SlowStart:
    """The slow-start rule for a destination that recovers from an outage.

    Its capacity starts at the share `cold_from` and reaches 1 after `cold` seconds. It fails again at
    `multiple` times its current capacity over `span` seconds.
    """

    cold_from: float
    cold: float
    multiple: float
    span: float


@dataclass(frozen=True, slots=True)
class TimeLimits:
    """Time limits from the couriers' settings, in seconds.

    `drain_grace`: how long after the announcement of a drain a call may still begin. `settle`: how long an
    order key pauses after a call that may still be running.
    """

    drain_grace: float
    settle: float


@dataclass(frozen=True, slots=True)
class Outage:
    """One outage of a destination, with its failure mode."""

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
    answered: float | None = None  # when its answer was written completely
    ended: float | None = None  # when its answer was written or its connection was closed
    endpoint: str = ""
    began: float = 0.0  # when its first byte was read


@dataclass(frozen=True, slots=True)
class Failure:
    """A failed call, from the courier's own log."""

    at: float
    courier: str
    destination: int


@dataclass(slots=True)
class Message:
    """One message that a courier accepted, as its client knows it."""

    ident: str
    courier: str
    destination: int
    product: str
    deadline: float
    accepted_at: float
    key: str | None = None  # order key: messages of one key at one courier run in order


@dataclass(frozen=True, slots=True)
class RequestedWait:
    """A destination asked a courier to send nothing for some seconds."""

    at: float
    courier: str
    destination: int
    seconds: float


@dataclass(frozen=True, slots=True)
class Drain:
    """The announcement to couriers that an endpoint takes no new calls.

    `excused` are the couriers that may not have learned of it because their system calls failed then.
    """

    endpoint: str
    announced_at: float
    excused: frozenset[str] = frozenset()


@dataclass(slots=True)
class Record:
    """Everything observed in a run."""

    outages: list[Outage] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    failures: list[Failure] = field(default_factory=list)
    messages: list[Message] = field(default_factory=list)
    notices: dict[str, float] = field(default_factory=dict)  # when each was first received, by message id
    waits: list[RequestedWait] = field(default_factory=list)
    restarts: dict[str, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))
    # by courier: when a process ended, and when the next one was ready
    unanswered: list[str] = field(default_factory=list)  # read by a live courier, but closed unanswered
    crashes: list[str] = field(default_factory=list)
    invariants: list[str] = field(default_factory=list)  # violations logged by the couriers' own checks
    drains: list[Drain] = field(default_factory=list)
    copies: int = 0  # answers that peers sent once more


@dataclass(frozen=True, slots=True)
class Violation:
    """One violated invariant, described in a sentence."""

    rule: str
    what: str


def allowed_calls(budget: float) -> float:
    """The calls that a recovering destination tolerates: the budget given by the settings plus an allowance
    for random variation.
    """
    if budget >= SMALL_BUDGET:
        return budget + 2.0 * budget**0.5 + 2.0
    return budget + 3.0 * budget**0.5 + 3.0


def capacity_share(rule: SlowStart, recovered_at: float, at: float) -> float:
    """The share of its capacity that a destination recovered at `recovered_at` has at `at`."""
    return rule.cold_from + (1.0 - rule.cold_from) * min(1.0, max(0.0, at - recovered_at) / rule.cold)


@dataclass(frozen=True, slots=True)
class Window:
    """The worst window after a recovery: its end (s after the recovery), its calls, and the calls allowed."""

    end: float
    calls: int
    allowed: float

    @property
    def excess(self) -> float:
        """Calls over the allowed number; at most 0 if the rule is kept."""
        return self.calls - self.allowed


def affected_couriers(record: Record, outage: Outage) -> set[str]:
    """The couriers that saw a call to the destination fail during the outage.

    A call that was cut off by the courier's own exit does not count.
    """
    return {
        failure.courier
        for failure in record.failures
        if failure.destination == outage.destination and outage.began_at <= failure.at < outage.recovered_at
    }


def worst_window(record: Record, outage: Outage, capacity: float, rule: SlowStart) -> Window | None:
    """The window after a recovery with the largest excess, or None.

    Only windows count in which over two thirds of the calls came from couriers that saw the outage, whether
    or not they were restarted since. `capacity` is in calls per second.
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
    """Recoveries in which a destination was sent more calls than its budget."""
    violations = []
    for outage in record.outages:
        worst = worst_window(record, outage, capacities[outage.destination], rule)
        if worst is not None and worst.excess > 0.0:
            what = (
                f"destination {outage.destination}, recovered from {outage.mode}: {worst.calls} calls in the "
                f"{rule.span:g} s ending {worst.end:.2f} s after its recovery, {worst.allowed:.1f} allowed"
            )
            violations.append(Violation("failback", what))
    return violations


def check_completion(record: Record) -> list[Violation]:
    """Accepted messages without a final result (a delivered call or a notice) in time."""
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
            violations.append(Violation("lost", f"{message.ident} was accepted and has no final result"))
        elif min(completed_at) > limit:
            late = min(completed_at) - message.deadline
            violations.append(Violation("lost", f"{message.ident} completed {late:.2f} s after its deadline"))
    return violations


def completion_limit(record: Record, message: Message) -> float:
    """When a message must have its final result; it is not overdue while its courier is down."""
    limit = message.deadline + COMPLETION_SLACK_SECONDS
    for ended, ready in record.restarts.get(message.courier, ()):
        if ended <= limit:
            limit = max(limit, ready + RESTART_GRACE_SECONDS)
    return limit


def check_duplicates(record: Record, once_only: set[str]) -> list[Violation]:
    """Once-only messages that ran more than once, and messages in two calls at the same time."""
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
                Violation("duplicate", f"{message.ident} is once-only and ran {len(ran)} times")
            )
        for first, second in zip(own_calls, own_calls[1:], strict=False):
            if first.ended is not None and second.at < first.ended - CLOSE_DETECTION_SECONDS:
                violations.append(
                    Violation("duplicate", f"two calls with {message.ident} were in flight at the same time")
                )
    return violations


def check_waits(record: Record) -> list[Violation]:
    """Calls that arrived before the wait requested of their courier was over; a restart ends the wait."""
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
    """Calls that began at an endpoint more than `grace` seconds after its drain was announced."""
    violations = []
    for drain in record.drains:
        limit = drain.announced_at + grace + SOCKET_SLACK_SECONDS + READ_DELAY_SECONDS
        for arrival in record.arrivals:
            if arrival.endpoint != drain.endpoint or arrival.courier in drain.excused:
                continue
            if arrival.began > limit:
                late = arrival.began - drain.announced_at
                what = f"{arrival.courier} called {drain.endpoint} {late:.2f} s after its drain was announced"
                violations.append(Violation("drain", what))
    return violations


def check_order(record: Record, settle: float) -> list[Violation]:
    """Messages of one key that overtook or overlapped an earlier one of their courier, or began less than
    `settle` seconds after a call that may still be running.
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
                    what = (
                        f"{message.ident} of key {key} at {courier} did not wait for the messages before it"
                    )
                    violations.append(Violation("order", what))
    return violations


def breaks_order(arrival: Arrival, earlier: Arrival, settle: float) -> bool:
    """Whether a call began before a call with an earlier message of its key, while that one was in flight,
    or too soon after it.
    """
    if arrival.at < earlier.at:
        return True
    may_still_run = earlier.outcome in ("hung", "reset", "abandoned", "cut")
    pause = settle if may_still_run else 0.0
    return earlier.ended is not None and arrival.at < earlier.ended + pause - CLOSE_DETECTION_SECONDS


def find_violations(
    record: Record, capacities: dict[int, float], rule: SlowStart, once_only: set[str], limits: TimeLimits
) -> list[Violation]:
    """All violated invariants of a run."""
    violations = [Violation("crash", what) for what in record.crashes]
    violations += [Violation("invariant", what) for what in record.invariants]
    violations += [Violation("lost", f"{what} was read and not answered") for what in record.unanswered]
    violations += check_slow_start(record, capacities, rule)
    violations += check_completion(record)
    violations += check_duplicates(record, once_only)
    violations += check_drains(record, limits.drain_grace)
    violations += check_order(record, limits.settle)
    return violations + check_waits(record)
