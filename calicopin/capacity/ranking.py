"""Demand over budget, today and with subscriptions, and the order of the mechanisms that follows from it."""

from dataclasses import dataclass
from enum import StrEnum

from calicopin.capacity import courier, external, faults, slopes
from calicopin.capacity.figures import Figure, Unit, Use, format_value
from calicopin.capacity.size import Size

WAITING_MEMORY = "waiting messages in memory"
WAITING_SCANS = "one thread for what waits at destinations that are down"
WAITING_START = "a start that reads its waiting messages"
ONE_CORE = 1.0  # a courier runs in one thread, and so does a discovery node


class BudgetSource(StrEnum):
    """Where the budget comes from."""

    USERS = "users"  # stated by the users for this size
    PROGRAM = "program"  # a constant of the program, or its single thread
    BORROWED = "borrowed"  # none is stated; the closest stated budget is used


class Shortfall(StrEnum):
    """What has to change where demand exceeds the budget."""

    DESIGN = "design"
    CONSTANT = "constant"
    NOTHING = "-"


@dataclass(frozen=True, slots=True)
class Demand:
    """A budget and the demand on it. `subscribed` is None where subscriptions change nothing."""

    name: str
    budget: float
    unit: Unit
    budget_source: BudgetSource
    shortfall: Shortfall
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


def _machines_needed(size: Size, share: float, formula: str) -> Figure:
    return Figure(
        "machines of which one core is used",
        formula,
        size.couriers * share * slopes.NODE_CORE.value / ONE_CORE,
        Unit.COUNT,
        (Use(slopes.NODE_CORE, size.couriers_per_node),),
    )


def machines_today(size: Size) -> Figure:
    """Control machines needed today, where every change is sent to every courier."""
    answers = courier.polls_per_second() + size.changes_per_second
    share = answers / courier.renewals_per_second()
    return _machines_needed(size, share, "couriers × (calls + changes) / renewals × a courier at the node")


def machines_subscribed(size: Size) -> Figure:
    """Control machines needed with subscriptions, where a change is sent to its subscribers only."""
    return _machines_needed(size, 1.0, "couriers × a courier at the node")


def demands(size: Size) -> tuple[Demand, ...]:
    """Returns every budget with its demand, the highest factor first."""
    budget = size.budget
    rows = (
        Demand(
            "a start has its list within the time to force, at the budget of bytes",
            size.propagation_budget_s,
            Unit.SECONDS,
            BudgetSource.BORROWED,
            Shortfall.DESIGN,
            courier.list_start_time(size),
            courier.lease_start_time(size),
        ),
        Demand(
            "control memory of a courier",
            budget.memory_bytes,
            Unit.BYTES,
            BudgetSource.USERS,
            Shortfall.DESIGN,
            courier.list_memory(size),
            courier.subscription_memory(size),
        ),
        Demand(
            "control core of a courier",
            budget.core,
            Unit.CORES,
            BudgetSource.USERS,
            Shortfall.DESIGN,
            courier.change_processing_core(size),
            courier.subscription_core(size),
        ),
        Demand(
            WAITING_MEMORY,
            budget.memory_bytes,
            Unit.BYTES,
            BudgetSource.BORROWED,
            Shortfall.DESIGN,
            courier.waiting_memory(size),
        ),
        Demand(
            "an answer with the list, as it may be read",
            courier.MAX_LIST_BYTES,
            Unit.BYTES,
            BudgetSource.PROGRAM,
            Shortfall.CONSTANT,
            courier.list_bytes(size),
            courier.lease_bytes(size),
        ),
        Demand(
            "processor time of a start's list within the time to force",
            size.propagation_budget_s,
            Unit.SECONDS,
            BudgetSource.BORROWED,
            Shortfall.DESIGN,
            courier.list_processing_time(size),
            courier.subscription_processing_time(size),
        ),
        Demand(
            WAITING_SCANS,
            ONE_CORE,
            Unit.CORES,
            BudgetSource.PROGRAM,
            Shortfall.DESIGN,
            courier.waiting_down_core(size),
        ),
        Demand(
            "one thread for deliveries from a backlog",
            ONE_CORE,
            Unit.CORES,
            BudgetSource.PROGRAM,
            Shortfall.DESIGN,
            courier.backlog_delivery_core(size),
        ),
        Demand(
            "a change in force",
            size.propagation_budget_s,
            Unit.SECONDS,
            BudgetSource.USERS,
            Shortfall.DESIGN,
            courier.change_propagation(size),
            courier.subscribed_change_propagation(size),
        ),
        Demand(
            WAITING_START,
            size.propagation_budget_s,
            Unit.SECONDS,
            BudgetSource.BORROWED,
            Shortfall.DESIGN,
            courier.waiting_start_time(size),
        ),
        Demand(
            "control machines",
            size.control_machines,
            Unit.COUNT,
            BudgetSource.USERS,
            Shortfall.NOTHING,
            machines_today(size),
            machines_subscribed(size),
        ),
        Demand(
            "one thread for a courier's events",
            ONE_CORE,
            Unit.CORES,
            BudgetSource.PROGRAM,
            Shortfall.NOTHING,
            courier.event_processing_core(size),
        ),
        Demand(
            "control bytes a second of a courier between starts",
            budget.bytes_per_second,
            Unit.BYTES_A_SECOND,
            BudgetSource.USERS,
            Shortfall.NOTHING,
            courier.poll_traffic(size),
            courier.renewal_traffic(size),
        ),
    )
    return tuple(sorted(rows, key=lambda row: row.factor, reverse=True))


def first_to_fail(size: Size) -> Demand:
    """Returns the users' budget with the highest factor over 1 whose excess needs a design change."""
    return next(
        row
        for row in demands(size)
        if row.budget_source == BudgetSource.USERS and row.shortfall == Shortfall.DESIGN and row.factor > 1.0
    )


@dataclass(frozen=True, slots=True)
class Mechanism:
    """A missing mechanism, what it replaces, and the factor by which it has to improve a measure."""

    name: str
    replaces: str
    measure: str
    factor: float
    basis: str


def _demand_named(size: Size, name: str) -> Demand:
    return next(row for row in demands(size) if row.name == name)


def next_mechanisms(size: Size) -> tuple[Mechanism, ...]:
    """Returns the mechanisms to add after subscriptions, in order."""
    memory, scans = _demand_named(size, WAITING_MEMORY), _demand_named(size, WAITING_SCANS)
    start, served = _demand_named(size, WAITING_START), external.served_ratio(size)
    isolated = faults.nodes_tried_in_isolation(size)
    return (
        Mechanism(
            "waiting messages on disk, found by an index of destination and time",
            "all of them in memory",
            f"memory, over {format_value(memory.budget, memory.unit)} (borrowed)",
            memory.factor,
            memory.today.basis(),
        ),
        Mechanism(
            "the same index",
            "walks over a whole queue at each round, take and delivery",
            "one thread",
            scans.factor,
            scans.today.basis(),
        ),
        Mechanism(
            "a start that reads what is due first, or a snapshot",
            "a start that reads all that waits",
            f"time, over {format_value(start.budget, start.unit)} (borrowed)",
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
            isolated.value,
            isolated.basis(),
        ),
        Mechanism(
            "limits held while regions are apart",
            "a configured sender count, which holds on both sides",
            "sum of shares over the limit; needed with live counts only",
            1.0,
            "given",
        ),
    )
