"""Demand over budget, today and with subscriptions, and in what order the mechanisms follow from it."""

from dataclasses import dataclass
from enum import StrEnum

from calicopin.capacity import courier, faults, outside, slopes
from calicopin.capacity.figures import Figure, Unit, Use, said
from calicopin.capacity.size import Size

WAITING_MEMORY = "waiting messages in memory"
WAITING_SCANS = "one thread for what waits at destinations that are down"
WAITING_START = "a start that reads its waiting messages"
ONE_CORE = 1.0  # a courier is one thread, and so is a node


class Budget(StrEnum):
    """Who set the budget."""

    USERS = "users"  # stated for this size
    PROGRAM = "program"  # a constant or the one thread of the program
    BORROWED = "borrowed"  # none is stated; the nearest stated one stands in


class Fails(StrEnum):
    """What has to give where demand is over budget."""

    DESIGN = "design"
    CONSTANT = "constant"
    NOTHING = "-"


@dataclass(frozen=True, slots=True)
class Demand:
    """One budget with what is asked of it. `subscribed` is None where subscriptions change nothing."""

    name: str
    budget: float
    unit: Unit
    budget_source: Budget
    fails: Fails
    today: Figure
    subscribed: Figure | None = None

    @property
    def factor(self) -> float:
        """Demand over budget, today."""
        return self.today.value / self.budget

    @property
    def factor_subscribed(self) -> float:
        """Demand over budget with subscriptions."""
        return (self.subscribed or self.today).value / self.budget


def _machines(size: Size, share: float, formula: str) -> Figure:
    return Figure(
        "machines of which one core is used",
        formula,
        size.couriers * share * slopes.NODE_CORE.value / ONE_CORE,
        Unit.COUNT,
        (Use(slopes.NODE_CORE, size.couriers_per_node),),
    )


def machines_today(size: Size) -> Figure:
    """Control machines for today's exchange: each change is news for each courier."""
    calls = courier.polls_per_second() + size.changes_per_second
    share = calls / courier.renewals_per_second()
    return _machines(size, share, "couriers × (calls + changes) / renewals × a courier at the node")


def machines_subscribed(size: Size) -> Figure:
    """Control machines with subscriptions: a change is news for its subscribers."""
    return _machines(size, 1.0, "couriers × a courier at the node")


def demands(size: Size) -> tuple[Demand, ...]:
    """Every budget, worst factor first."""
    budget = size.budget
    rows = (
        Demand(
            "a start has its list within the time to force, at the budget of bytes",
            size.change_budget_s,
            Unit.SECONDS,
            Budget.BORROWED,
            Fails.DESIGN,
            courier.list_start_time(size),
            courier.lease_start_time(size),
        ),
        Demand(
            "control memory of a courier",
            budget.memory_bytes,
            Unit.BYTES,
            Budget.USERS,
            Fails.DESIGN,
            courier.list_memory(size),
            courier.subscription_memory(size),
        ),
        Demand(
            "control core of a courier",
            budget.core,
            Unit.CORES,
            Budget.USERS,
            Fails.DESIGN,
            courier.change_processing_core(size),
            courier.subscription_core(size),
        ),
        Demand(
            WAITING_MEMORY,
            budget.memory_bytes,
            Unit.BYTES,
            Budget.BORROWED,
            Fails.DESIGN,
            courier.waiting_memory(size),
        ),
        Demand(
            "an answer with the list, as it may be read",
            courier.MAX_LIST_BYTES,
            Unit.BYTES,
            Budget.PROGRAM,
            Fails.CONSTANT,
            courier.list_bytes(size),
            courier.lease_bytes(size),
        ),
        Demand(
            "processor time of a start's list within the time to force",
            size.change_budget_s,
            Unit.SECONDS,
            Budget.BORROWED,
            Fails.DESIGN,
            courier.list_processing_time(size),
            courier.subscription_processing_time(size),
        ),
        Demand(
            WAITING_SCANS,
            ONE_CORE,
            Unit.CORES,
            Budget.PROGRAM,
            Fails.DESIGN,
            courier.waiting_down_core(size),
        ),
        Demand(
            "one thread for deliveries from a backlog",
            ONE_CORE,
            Unit.CORES,
            Budget.PROGRAM,
            Fails.DESIGN,
            courier.backlog_delivery_core(size),
        ),
        Demand(
            "a change in force",
            size.change_budget_s,
            Unit.SECONDS,
            Budget.USERS,
            Fails.DESIGN,
            courier.change_propagation(size),
            courier.subscribed_change_propagation(size),
        ),
        Demand(
            WAITING_START,
            size.change_budget_s,
            Unit.SECONDS,
            Budget.BORROWED,
            Fails.DESIGN,
            courier.waiting_start_time(size),
        ),
        Demand(
            "control machines",
            size.control_machines,
            Unit.COUNT,
            Budget.USERS,
            Fails.NOTHING,
            machines_today(size),
            machines_subscribed(size),
        ),
        Demand(
            "one thread for a courier's events",
            ONE_CORE,
            Unit.CORES,
            Budget.PROGRAM,
            Fails.NOTHING,
            courier.event_processing_core(size),
        ),
        Demand(
            "control bytes a second of a courier between starts",
            budget.bytes_per_second,
            Unit.BYTES_PER_SECOND,
            Budget.USERS,
            Fails.NOTHING,
            courier.poll_traffic(size),
            courier.renewal_traffic(size),
        ),
    )
    return tuple(sorted(rows, key=lambda row: row.factor, reverse=True))


def first_to_fail(size: Size) -> Demand:
    """The worst budget of the users in which the design fails, not a constant."""
    return next(
        row
        for row in demands(size)
        if row.budget_source == Budget.USERS and row.fails == Fails.DESIGN and row.factor > 1.0
    )


@dataclass(frozen=True, slots=True)
class Mechanism:
    """One mechanism that is missing, in place of what, and the figure that it has to win by how much."""

    name: str
    replaces: str
    what: str
    factor: float
    basis: str


def _of(size: Size, name: str) -> Demand:
    return next(row for row in demands(size) if row.name == name)


def next_mechanisms(size: Size) -> tuple[Mechanism, ...]:
    """What comes behind subscriptions, in order."""
    memory, walks = _of(size, WAITING_MEMORY), _of(size, WAITING_SCANS)
    start, served = _of(size, WAITING_START), outside.served_ratio(size)
    apart = faults.nodes_tried_in_isolation(size)
    return (
        Mechanism(
            "waiting messages on disk, found by an index of destination and time",
            "all of them in memory",
            f"memory, over {said(memory.budget, memory.unit)} (borrowed)",
            memory.factor,
            memory.today.basis(),
        ),
        Mechanism(
            "the same index",
            "walks over a whole queue at each round, take and delivery",
            "one thread",
            walks.factor,
            walks.today.basis(),
        ),
        Mechanism(
            "a start that reads what is due first, or a snapshot",
            "a start that reads all that waits",
            f"time, over {said(start.budget, start.unit)} (borrowed)",
            start.factor,
            start.today.basis(),
        ),
        Mechanism(
            "a live sender count for each destination",
            "a limit split by all couriers",
            "served, 20 of 19,000 sending",
            served.value,
            served.basis(),
        ),
        Mechanism(
            "nodes ranked by nearness: zone, region, rest",
            "all nodes alike",
            "nodes tried in a region apart",
            apart.value,
            apart.basis(),
        ),
        Mechanism(
            "limits held while regions are apart",
            "a told constant, which holds on both sides",
            "sum of shares over the limit; needed with live counts only",
            1.0,
            "given",
        ),
    )
