"""The figures of a courier, its control part today and with subscriptions, and its data path.

"Today" is the program where every courier holds the whole list; "subscribed" is with subscriptions to parts
of it.
"""

from calicopin.capacity import slopes
from calicopin.capacity.figures import Figure, Unit, Use
from calicopin.capacity.size import Size
from calicopin.discovery_node import source
from calicopin.wire import asking, discovery, subscriber

WATCH_S = 2.0  # longest wait of a call for the list (`wire/asking.py: longest_wait`)
RENEWAL_S = subscriber.WAIT / 1000.0  # between the beginnings of two renewals where there is no news
PAUSE_S = asking.POLL_INTERVAL_MS / 1000.0  # between two calls for the list
SOURCE_S = source.LOOK / 1000.0  # after which a node has seen a change of its source, at the most
MOST_LIST_BYTES = float(discovery.MAX_LIST_BYTES)  # of a list's answer
DISK_SHARE = 0.5  # of `disk` that live messages fill at most in the segmented store (docs/store.md)
JOURNAL_SHARE = 0.4  # the same in the one-file journal (`state/journal.py: Journal.limit`)


def calls_a_second() -> float:
    """Calls for the list of one courier where there is no news, today."""
    return 1.0 / (WATCH_S + PAUSE_S)


def renewals_a_second() -> float:
    """Renewals of one courier where there is no news."""
    return 1.0 / RENEWAL_S


# The courier's control part, today.


def list_memory(size: Size) -> Figure:
    """Memory of the whole list at each courier."""
    return Figure(
        "memory of the list",
        "destinations × listed destination",
        size.destinations * slopes.LISTED_MEMORY.value,
        Unit.BYTES,
        (Use(slopes.LISTED_MEMORY, size.destinations),),
    )


def list_bytes(size: Size) -> Figure:
    """The whole list on the wire."""
    return Figure(
        "bytes of the whole list",
        "destinations × entry",
        size.destinations * slopes.ENTRY_BYTES.value,
        Unit.BYTES,
        (Use(slopes.ENTRY_BYTES, size.destinations),),
    )


def list_start(size: Size) -> Figure:
    """Time in which a start has the whole list within the budget of bytes."""
    return Figure(
        "whole list at a start, within the budget of bytes",
        "destinations × entry / bytes a second",
        list_bytes(size).value / size.budget.bytes_a_second,
        Unit.SECONDS,
        list_bytes(size).uses,
    )


def list_take(size: Size) -> Figure:
    """Processor time of taking in the whole list."""
    return Figure(
        "processor time of the whole list at a start",
        "destinations × whole list taken in",
        size.destinations * slopes.LISTED_TIME.value,
        Unit.SECONDS,
        (Use(slopes.LISTED_TIME, size.destinations),),
    )


def change_time(size: Size) -> Figure:
    """Processor time of one change at a courier that knows all destinations."""
    return Figure(
        "processor time of one change",
        "destinations × one change",
        size.destinations * slopes.CHANGE_TIME.value,
        Unit.SECONDS,
        (Use(slopes.CHANGE_TIME, size.destinations),),
    )


def changes_core(size: Size) -> Figure:
    """Share of a core for all changes at each courier."""
    return Figure(
        "processor time of all changes",
        "changes a second × destinations × one change",
        size.changes_a_second * change_time(size).value,
        Unit.CORES,
        change_time(size).uses,
    )


def poll_traffic(size: Size) -> Figure:
    """Bytes a second of today's exchange where a courier keeps up."""
    news = size.changes_a_second * slopes.ENTRY_BYTES.value
    return Figure(
        "bytes a second between starts",
        "calls a second × call + changes a second × entry",
        calls_a_second() * slopes.POLL_BYTES.value + news,
        Unit.BYTES_A_SECOND,
        (Use(slopes.POLL_BYTES), Use(slopes.ENTRY_BYTES)),
    )


def changes_in_force(size: Size) -> Figure:
    """Time to force where each change is news for each courier: what came while one was taken in waits for
    it."""
    return Figure(
        "a change in force at the last courier",
        "source + pause + 2 × one change",
        SOURCE_S + PAUSE_S + 2.0 * change_time(size).value,
        Unit.SECONDS,
        change_time(size).uses,
    )


# The courier's control part, with subscriptions.


def set_memory(size: Size) -> Figure:
    """Memory of the destinations that a courier uses, in the decisions and in the subscription."""
    return Figure(
        "memory of the subscribed set",
        "subscription + destinations a courier × listed destination",
        slopes.COURIER_MEMORY.value + size.destinations_a_courier * slopes.SET_MEMORY.value,
        Unit.BYTES,
        (Use(slopes.COURIER_MEMORY), Use(slopes.SET_MEMORY, size.destinations_a_courier)),
    )


def process_memory(size: Size) -> Figure:
    """Memory of a whole courier that holds few messages: the interpreter, the program and its set."""
    return Figure(
        "the whole process with it, few messages waiting",
        "process with no events + memory of the subscribed set",
        slopes.PROCESS_MEMORY.value + set_memory(size).value,
        Unit.BYTES,
        (Use(slopes.PROCESS_MEMORY), *set_memory(size).uses),
    )


def lease_bytes(size: Size) -> Figure:
    """A new lease on the wire, both ways."""
    return Figure(
        "bytes of a new lease",
        "renewal + destinations a courier × subscribed destination",
        slopes.RENEWAL_BYTES.value + size.destinations_a_courier * slopes.NEW_LEASE_BYTES.value,
        Unit.BYTES,
        (Use(slopes.RENEWAL_BYTES), Use(slopes.NEW_LEASE_BYTES, size.destinations_a_courier)),
    )


def lease_start(size: Size) -> Figure:
    """Time in which a start has its set within the budget of bytes."""
    return Figure(
        "the set at a start, within the budget of bytes",
        "bytes of a new lease / bytes a second",
        lease_bytes(size).value / size.budget.bytes_a_second,
        Unit.SECONDS,
        lease_bytes(size).uses,
    )


def set_take(size: Size) -> Figure:
    """Processor time of taking in the set."""
    return Figure(
        "processor time of the set at a start",
        "destinations a courier × whole list taken in",
        size.destinations_a_courier * slopes.SET_TIME.value,
        Unit.SECONDS,
        (Use(slopes.SET_TIME, size.destinations_a_courier),),
    )


def heard_a_second(size: Size) -> float:
    """Changes of its set that one courier hears."""
    return size.changes_a_second * size.shape.senders_a_destination / size.couriers


def renewal_core(size: Size) -> Figure:
    """Share of a core for a courier's subscription."""
    return Figure(
        "processor time of renewals and changes of the set",
        "a courier's processor time for its subscription",
        slopes.COURIER_CORE.value,
        Unit.CORES,
        (Use(slopes.COURIER_CORE, size.couriers_a_node),),
    )


def renewal_traffic(size: Size) -> Figure:
    """Bytes a second of renewals and changes of the set."""
    news = heard_a_second(size) * slopes.NEW_LEASE_BYTES.value
    return Figure(
        "bytes a second between starts",
        "renewals a second × renewal + changes of the set × entry",
        renewals_a_second() * slopes.RENEWAL_BYTES.value + news,
        Unit.BYTES_A_SECOND,
        (Use(slopes.RENEWAL_BYTES), Use(slopes.NEW_LEASE_BYTES)),
    )


def subscribed_in_force(size: Size) -> Figure:
    """Time to force with subscriptions, as a run at full size had it, with ten times the changes."""
    return Figure(
        "a change in force at the last courier, the worst",
        "worst of a run at ten times the changes",
        slopes.IN_FORCE_WORST.value,
        Unit.SECONDS,
        (Use(slopes.IN_FORCE_WORST, size.couriers_a_node),),
    )


def set_change_time(size: Size) -> Figure:
    """Processor time of one change of the set."""
    return Figure(
        "processor time of one change",
        "one change, whatever is known",
        slopes.SET_CHANGE_TIME.value,
        Unit.SECONDS,
        (Use(slopes.SET_CHANGE_TIME, size.destinations_a_courier),),
    )


def measured_traffic(size: Size) -> Figure:
    """Bytes a second of a courier as a run at full size had them."""
    return Figure(
        "the same, as 613 hollow couriers had it",
        "bytes a second that a courier sends + receives",
        slopes.COURIER_SENT.value + slopes.COURIER_RECEIVED.value,
        Unit.BYTES_A_SECOND,
        (Use(slopes.COURIER_SENT, size.couriers_a_node), Use(slopes.COURIER_RECEIVED, size.couriers_a_node)),
    )


# The courier's data path.


def waiting_memory(size: Size) -> Figure:
    """Memory of waiting messages: decisions, bodies and the journal's index."""
    return Figure(
        "memory of waiting messages",
        "waiting events a courier × waiting message",
        size.waiting_a_courier * slopes.WAITING_MEMORY.value,
        Unit.BYTES,
        (Use(slopes.WAITING_MEMORY, size.waiting_a_courier),),
    )


def walked_down(size: Size) -> Figure:
    """Share of a core that waiting messages take while they wait, however they lie over destinations that
    are down."""
    return Figure(
        "processor time of messages that wait at destinations that are down",
        "waiting events a courier × waiting message a second",
        size.waiting_a_courier * slopes.WALKED_DOWN.value,
        Unit.CORES,
        (Use(slopes.WALKED_DOWN, size.waiting_a_courier),),
    )


def walked_deliveries(size: Size) -> Figure:
    """Share of a core of deliveries at the pace of the intake, the backlog spread over all that a courier
    uses."""
    each = size.waiting_a_courier / size.destinations_a_courier
    return Figure(
        "processor time of deliveries from a backlog, at the pace of the intake",
        "events a courier × (waiting events / destinations) × waiting message at a delivery",
        size.events_a_courier * each * slopes.WALKED_DELIVERY.value,
        Unit.CORES,
        (Use(slopes.WALKED_DELIVERY, each),),
        ("senders_a_destination",),
    )


def waiting_decisions(size: Size) -> Figure:
    """Memory of waiting messages in the decisions alone."""
    return Figure(
        "of that memory in the decisions",
        "waiting events a courier × waiting message in the decisions",
        size.waiting_a_courier * slopes.WAITING_DECISIONS.value,
        Unit.BYTES,
        (Use(slopes.WAITING_DECISIONS, size.waiting_a_courier),),
    )


def waiting_disk(size: Size) -> Figure:
    """What the folder has to hold."""
    return Figure(
        "disk for waiting messages, segmented store",
        f"waiting events a courier × live message / {DISK_SHARE:g}",
        size.waiting_a_courier * slopes.STORE_BYTES.value / DISK_SHARE,
        Unit.BYTES,
        (Use(slopes.STORE_BYTES, size.waiting_a_courier),),
    )


def waiting_journal(size: Size) -> Figure:
    """What the folder has to hold with the one-file journal."""
    return Figure(
        "disk for waiting messages, journal",
        f"waiting events a courier × waiting message in the journal / {JOURNAL_SHARE:g}",
        size.waiting_a_courier * slopes.JOURNAL_BYTES.value / JOURNAL_SHARE,
        Unit.BYTES,
        (Use(slopes.JOURNAL_BYTES, size.waiting_a_courier),),
    )


def waiting_start(size: Size) -> Figure:
    """Time of a start that reads all waiting messages."""
    return Figure(
        "a start that reads its store",
        "waiting events a courier × live message at a start",
        size.waiting_a_courier * slopes.STORE_START.value,
        Unit.SECONDS,
        (Use(slopes.STORE_START, size.waiting_a_courier),),
    )


def events_core(size: Size) -> Figure:
    """Share of a core for the events themselves."""
    return Figure(
        "processor time of events",
        "events a courier × event",
        size.events_a_courier * slopes.EVENT_TIME.value,
        Unit.CORES,
        (Use(slopes.EVENT_TIME, size.events_a_courier),),
    )


def events_traffic(size: Size) -> Figure:
    """Bytes of bodies a second, in and out."""
    return Figure(
        "bytes a second of bodies, in and out",
        "2 × events a courier × body",
        2.0 * size.events_a_courier * size.shape.message_bytes,
        Unit.BYTES_A_SECOND,
        assumes=("message_bytes",),
    )


def decisions_core(size: Size) -> Figure:
    """Share of a core for the decisions alone."""
    return Figure(
        "of it in the decisions",
        "events a courier × event in the decisions",
        size.events_a_courier * slopes.DECISION_TIME.value,
        Unit.CORES,
        (Use(slopes.DECISION_TIME, size.events_a_courier),),
    )


def journal_traffic(size: Size) -> Figure:
    """Bytes a second to the disk."""
    return Figure(
        "bytes a second to the journal",
        "events a courier × message in the journal",
        size.events_a_courier * slopes.JOURNAL_TRAFFIC.value,
        Unit.BYTES_A_SECOND,
        (Use(slopes.JOURNAL_TRAFFIC),),
    )


def connections(size: Size) -> Figure:
    """Connections out that one courier keeps, one for each destination that it uses."""
    return Figure(
        "connections out, one for each destination",
        "destinations a courier",
        size.destinations_a_courier,
        Unit.COUNT,
        (),
        ("senders_a_destination",),
    )


def queue_length(size: Size) -> Figure:
    """Waiting events of one destination that is down, if the backlog stands at those alone."""
    return Figure(
        "waiting events of one destination that is down",
        "waiting events / destinations down",
        size.waiting_events / size.destinations_down,
        Unit.COUNT,
        assumes=("senders_a_destination",),
    )
