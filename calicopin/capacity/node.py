"""The figures of one discovery node."""

from calicopin.capacity import courier, slopes
from calicopin.capacity.figures import Figure, Unit, Use
from calicopin.capacity.size import SECONDS_PER_DAY, Size


def list_memory(size: Size) -> Figure:
    """Memory of the whole destination list at a node."""
    return Figure(
        "memory of the list",
        "destinations × destination at the node",
        size.destinations * slopes.NODE_LISTED_MEMORY.value,
        Unit.BYTES,
        (Use(slopes.NODE_LISTED_MEMORY, size.destinations),),
    )


def lease_memory(size: Size) -> Figure:
    """Memory of all leases at a node."""
    return Figure(
        "memory of leases",
        "couriers a node × lease with 90 destinations",
        size.couriers_per_node * slopes.NODE_LEASE_MEMORY.value,
        Unit.BYTES,
        (Use(slopes.NODE_LEASE_MEMORY, size.couriers_per_node),),
    )


def changed_memory(size: Size) -> Figure:
    """Memory of one day's changes since a node's start, each to a different destination."""
    return Figure(
        "and for the changes of one day",
        "changes a day × changed destination",
        size.changes_per_day * slopes.NODE_CHANGED_MEMORY.value,
        Unit.BYTES,
        (Use(slopes.NODE_CHANGED_MEMORY, size.changes_per_day),),
    )


def change_processing_core(size: Size) -> Figure:
    """Share of a core for all changes of the list, each sent to one courier of the node."""
    return Figure(
        "processor time of changes",
        "changes a second × change at the node",
        size.changes_per_second * slopes.NODE_CHANGE_TIME.value,
        Unit.CORES,
        (Use(slopes.NODE_CHANGE_TIME, size.destinations),),
    )


def renewals(size: Size) -> Figure:
    """Lease renewals per second at a node while nothing changes."""
    return Figure(
        "renewals a second",
        "couriers a node × renewals a second of a courier",
        size.couriers_per_node * courier.renewals_per_second(),
        Unit.A_SECOND,
    )


def renewals_core(size: Size) -> Figure:
    """Share of a core for the renewals of all couriers of a node."""
    return Figure(
        "processor time of renewals",
        "couriers a node × a courier at the node",
        size.couriers_per_node * slopes.NODE_CORE.value,
        Unit.CORES,
        (Use(slopes.NODE_CORE, size.couriers_per_node),),
    )


def total_traffic(size: Size) -> Figure:
    """Bytes per second at a node for renewals and updates."""
    return Figure(
        "bytes a second",
        "couriers a node × bytes a second of a courier",
        size.couriers_per_node * courier.renewal_traffic(size).value,
        Unit.BYTES_A_SECOND,
        courier.renewal_traffic(size).uses,
        courier.renewal_traffic(size).assumes,
    )


def update_answers(size: Size) -> Figure:
    """Answers with updates per second at a node that sends each change to its subscribers only."""
    return Figure(
        "answers with news a second",
        "changes a second × senders a destination / control machines",
        size.changes_per_second * size.shape.senders_per_destination / size.control_machines,
        Unit.A_SECOND,
        assumes=("senders_per_destination",),
    )


def source_traffic(size: Size) -> Figure:
    """Bytes per second that a node reads from the source of the list."""
    return Figure(
        "bytes a second from its source",
        "changes a second × entry",
        size.changes_per_second * slopes.ENTRY_BYTES.value,
        Unit.BYTES_A_SECOND,
        (Use(slopes.ENTRY_BYTES),),
    )


def start_time(size: Size) -> Figure:
    """Processor time of a node's start, which reads the whole list."""
    return Figure(
        "a start that reads the whole list",
        "destinations × destination read",
        size.destinations * slopes.NODE_LOAD_TIME.value,
        Unit.SECONDS,
        (Use(slopes.NODE_LOAD_TIME, size.destinations),),
    )


def update_answers_today(size: Size) -> Figure:
    """Answers with updates per second at a node that sends each change to every courier."""
    return Figure(
        "today: answers with news a second",
        "couriers a node × changes a second",
        size.couriers_per_node * size.changes_per_second,
        Unit.A_SECOND,
    )


def whole_list_traffic_today(size: Size) -> Figure:
    """Bytes per second at a node for the whole lists that couriers fetch at the starts of an ordinary day."""
    return Figure(
        "today: bytes a second of whole lists for starts",
        "starts a day / control machines × whole list",
        size.starts_per_day / size.control_machines * courier.list_bytes(size).value / SECONDS_PER_DAY,
        Unit.BYTES_A_SECOND,
        courier.list_bytes(size).uses,
    )
