"""The figures of a courier: its control part without and with subscriptions, and its data path.

"Today" is the program in which every courier holds the whole destination list; "subscribed" is the program
in which a courier holds a lease on the destinations that it uses.
"""

from calicopin.capacity import slopes
from calicopin.capacity.figures import Figure, Unit, Use
from calicopin.capacity.size import Size
from calicopin.discovery_node import source
from calicopin.wire import discovery, poll_schedule, subscriber

LONG_POLL_S = 2.0  # longest wait of a poll for the list (`wire/poll_schedule.py: longest_wait`)
# between the starts of two renewals while nothing changes
RENEWAL_INTERVAL_S = subscriber.MAX_WAIT_MS / 1000.0
POLL_PAUSE_S = poll_schedule.POLL_INTERVAL_MS / 1000.0  # between two polls for the list
SOURCE_CHECK_S = source.POLL_INTERVAL_MS / 1000.0  # longest time until a node notices a change of its source
MAX_LIST_BYTES = float(discovery.MAX_LIST_BYTES)  # largest answer with a list that a courier reads
STORE_LIVE_SHARE = 0.5  # largest share of `disk` for live messages in the segmented store (docs/store.md)
JOURNAL_LIVE_SHARE = 0.4  # the same in the single-file journal (`state/journal.py: Journal.limit`)


def polls_per_second() -> float:
    """Polls for the list per second by one courier while nothing changes, today."""
    return 1.0 / (LONG_POLL_S + POLL_PAUSE_S)


def renewals_per_second() -> float:
    """Lease renewals per second by one courier while nothing changes."""
    return 1.0 / RENEWAL_INTERVAL_S


# Control part, today.


def list_memory(size: Size) -> Figure:
    """Memory of the whole list at a courier."""
    return Figure(
        "memory of the list",
        "destinations × listed destination",
        size.destinations * slopes.LISTED_MEMORY.value,
        Unit.BYTES,
        (Use(slopes.LISTED_MEMORY, size.destinations),),
    )


def list_bytes(size: Size) -> Figure:
    """Bytes of the whole list on the wire."""
    return Figure(
        "bytes of the whole list",
        "destinations × entry",
        size.destinations * slopes.ENTRY_BYTES.value,
        Unit.BYTES,
        (Use(slopes.ENTRY_BYTES, size.destinations),),
    )


def list_start_time(size: Size) -> Figure:
    """Time to transfer the whole list at a start within the traffic budget."""
    return Figure(
        "whole list at a start, within the budget of bytes",
        "destinations × entry / bytes a second",
        list_bytes(size).value / size.budget.bytes_per_second,
        Unit.SECONDS,
        list_bytes(size).uses,
    )


def list_processing_time(size: Size) -> Figure:
    """Processor time to process the whole list at a start."""
    return Figure(
        "processor time of the whole list at a start",
        "destinations × whole list taken in",
        size.destinations * slopes.LIST_PROCESSING_TIME.value,
        Unit.SECONDS,
        (Use(slopes.LIST_PROCESSING_TIME, size.destinations),),
    )


def change_time(size: Size) -> Figure:
    """Processor time of one change at a courier that holds all destinations."""
    return Figure(
        "processor time of one change",
        "destinations × one change",
        size.destinations * slopes.CHANGE_TIME.value,
        Unit.SECONDS,
        (Use(slopes.CHANGE_TIME, size.destinations),),
    )


def change_processing_core(size: Size) -> Figure:
    """Share of a core for all changes at a courier."""
    return Figure(
        "processor time of all changes",
        "changes a second × destinations × one change",
        size.changes_per_second * change_time(size).value,
        Unit.CORES,
        change_time(size).uses,
    )


def poll_traffic(size: Size) -> Figure:
    """Bytes per second of polls and updates for a courier that has the list."""
    updates = size.changes_per_second * slopes.ENTRY_BYTES.value
    return Figure(
        "bytes a second between starts",
        "calls a second × call + changes a second × entry",
        polls_per_second() * slopes.POLL_BYTES.value + updates,
        Unit.BYTES_A_SECOND,
        (Use(slopes.POLL_BYTES), Use(slopes.ENTRY_BYTES)),
    )


def change_propagation(size: Size) -> Figure:
    """Time until a change is in effect at every courier, where every courier receives every change.

    A change that arrives while another one is processed waits for it, hence twice the processing time.
    """
    return Figure(
        "a change in force at the last courier",
        "source + pause + 2 × one change",
        SOURCE_CHECK_S + POLL_PAUSE_S + 2.0 * change_time(size).value,
        Unit.SECONDS,
        change_time(size).uses,
    )


# Control part, with subscriptions.


def subscription_memory(size: Size) -> Figure:
    """Memory of the subscribed destinations, in the decisions and in the subscription."""
    return Figure(
        "memory of the subscribed set",
        "subscription + destinations a courier × listed destination",
        slopes.COURIER_MEMORY.value + size.destinations_per_courier * slopes.SUBSCRIBED_MEMORY.value,
        Unit.BYTES,
        (Use(slopes.COURIER_MEMORY), Use(slopes.SUBSCRIBED_MEMORY, size.destinations_per_courier)),
    )


def process_memory(size: Size) -> Figure:
    """Memory of a courier process with few messages: interpreter, program and subscribed destinations."""
    return Figure(
        "the whole process with it, few messages waiting",
        "process with no events + memory of the subscribed set",
        slopes.PROCESS_MEMORY.value + subscription_memory(size).value,
        Unit.BYTES,
        (Use(slopes.PROCESS_MEMORY), *subscription_memory(size).uses),
    )


def lease_bytes(size: Size) -> Figure:
    """Bytes of a new lease on the wire, in both directions."""
    return Figure(
        "bytes of a new lease",
        "renewal + destinations a courier × subscribed destination",
        slopes.RENEWAL_BYTES.value + size.destinations_per_courier * slopes.NEW_LEASE_BYTES.value,
        Unit.BYTES,
        (Use(slopes.RENEWAL_BYTES), Use(slopes.NEW_LEASE_BYTES, size.destinations_per_courier)),
    )


def lease_start_time(size: Size) -> Figure:
    """Time to transfer the subscribed destinations at a start within the traffic budget."""
    return Figure(
        "the set at a start, within the budget of bytes",
        "bytes of a new lease / bytes a second",
        lease_bytes(size).value / size.budget.bytes_per_second,
        Unit.SECONDS,
        lease_bytes(size).uses,
    )


def subscription_processing_time(size: Size) -> Figure:
    """Processor time to process the subscribed destinations at a start."""
    return Figure(
        "processor time of the set at a start",
        "destinations a courier × whole list taken in",
        size.destinations_per_courier * slopes.SUBSCRIBED_LIST_TIME.value,
        Unit.SECONDS,
        (Use(slopes.SUBSCRIBED_LIST_TIME, size.destinations_per_courier),),
    )


def subscribed_changes_per_second(size: Size) -> float:
    """Changes per second to the subscribed destinations of one courier."""
    return size.changes_per_second * size.shape.senders_per_destination / size.couriers


def subscription_core(size: Size) -> Figure:
    """Share of a core for a courier's subscription."""
    return Figure(
        "processor time of renewals and changes of the set",
        "a courier's processor time for its subscription",
        slopes.COURIER_CORE.value,
        Unit.CORES,
        (Use(slopes.COURIER_CORE, size.couriers_per_node),),
    )


def renewal_traffic(size: Size) -> Figure:
    """Bytes per second of renewals and of changes to the subscribed destinations."""
    updates = subscribed_changes_per_second(size) * slopes.NEW_LEASE_BYTES.value
    return Figure(
        "bytes a second between starts",
        "renewals a second × renewal + changes of the set × entry",
        renewals_per_second() * slopes.RENEWAL_BYTES.value + updates,
        Unit.BYTES_A_SECOND,
        (Use(slopes.RENEWAL_BYTES), Use(slopes.NEW_LEASE_BYTES)),
    )


def subscribed_change_propagation(size: Size) -> Figure:
    """Time until a change is in effect with subscriptions, measured at full size with tenfold changes."""
    return Figure(
        "a change in force at the last courier, the worst",
        "worst of a run at ten times the changes",
        slopes.CHANGE_PROPAGATION_WORST.value,
        Unit.SECONDS,
        (Use(slopes.CHANGE_PROPAGATION_WORST, size.couriers_per_node),),
    )


def subscription_change_time(size: Size) -> Figure:
    """Processor time of one change to a subscribed destination."""
    return Figure(
        "processor time of one change",
        "one change, whatever is known",
        slopes.SUBSCRIBED_CHANGE_TIME.value,
        Unit.SECONDS,
        (Use(slopes.SUBSCRIBED_CHANGE_TIME, size.destinations_per_courier),),
    )


def measured_traffic(size: Size) -> Figure:
    """Bytes per second of a courier's subscription, measured at full size."""
    return Figure(
        "the same, measured with 613 control-only couriers",
        "bytes a second that a courier sends + receives",
        slopes.COURIER_SENT.value + slopes.COURIER_RECEIVED.value,
        Unit.BYTES_A_SECOND,
        (
            Use(slopes.COURIER_SENT, size.couriers_per_node),
            Use(slopes.COURIER_RECEIVED, size.couriers_per_node),
        ),
    )


# Data path.


def waiting_memory(size: Size) -> Figure:
    """Memory of waiting messages: state in the decisions, bodies and the journal's index."""
    return Figure(
        "memory of waiting messages",
        "waiting events a courier × waiting message",
        size.waiting_per_courier * slopes.WAITING_MEMORY.value,
        Unit.BYTES,
        (Use(slopes.WAITING_MEMORY, size.waiting_per_courier),),
    )


def waiting_down_core(size: Size) -> Figure:
    """Share of a core for messages that wait at destinations that are down, however they are distributed."""
    return Figure(
        "processor time of messages that wait at destinations that are down",
        "waiting events a courier × waiting message a second",
        size.waiting_per_courier * slopes.DOWN_SCAN_TIME.value,
        Unit.CORES,
        (Use(slopes.DOWN_SCAN_TIME, size.waiting_per_courier),),
    )


def backlog_delivery_core(size: Size) -> Figure:
    """Share of a core for deliveries at the intake rate, the backlog spread evenly over destinations."""
    per_destination = size.waiting_per_courier / size.destinations_per_courier
    return Figure(
        "processor time of deliveries from a backlog, at the pace of the intake",
        "events a courier × (waiting events / destinations) × waiting message at a delivery",
        size.events_per_courier * per_destination * slopes.DELIVERY_SCAN_TIME.value,
        Unit.CORES,
        (Use(slopes.DELIVERY_SCAN_TIME, per_destination),),
        ("senders_per_destination",),
    )


def waiting_decisions_memory(size: Size) -> Figure:
    """Memory of waiting messages in the decisions alone."""
    return Figure(
        "of that memory in the decisions",
        "waiting events a courier × waiting message in the decisions",
        size.waiting_per_courier * slopes.WAITING_DECISIONS.value,
        Unit.BYTES,
        (Use(slopes.WAITING_DECISIONS, size.waiting_per_courier),),
    )


def waiting_disk(size: Size) -> Figure:
    """Disk space for waiting messages with the segmented store."""
    return Figure(
        "disk for waiting messages, segmented store",
        f"waiting events a courier × live message / {STORE_LIVE_SHARE:g}",
        size.waiting_per_courier * slopes.STORE_BYTES.value / STORE_LIVE_SHARE,
        Unit.BYTES,
        (Use(slopes.STORE_BYTES, size.waiting_per_courier),),
    )


def waiting_journal_disk(size: Size) -> Figure:
    """Disk space for waiting messages with the single-file journal."""
    return Figure(
        "disk for waiting messages, journal",
        f"waiting events a courier × waiting message in the journal / {JOURNAL_LIVE_SHARE:g}",
        size.waiting_per_courier * slopes.JOURNAL_BYTES.value / JOURNAL_LIVE_SHARE,
        Unit.BYTES,
        (Use(slopes.JOURNAL_BYTES, size.waiting_per_courier),),
    )


def waiting_start_time(size: Size) -> Figure:
    """Time of a start, which reads all waiting messages from the store."""
    return Figure(
        "a start that reads its store",
        "waiting events a courier × live message at a start",
        size.waiting_per_courier * slopes.STORE_START.value,
        Unit.SECONDS,
        (Use(slopes.STORE_START, size.waiting_per_courier),),
    )


def event_processing_core(size: Size) -> Figure:
    """Share of a core for events, from request to end."""
    return Figure(
        "processor time of events",
        "events a courier × event",
        size.events_per_courier * slopes.EVENT_TIME.value,
        Unit.CORES,
        (Use(slopes.EVENT_TIME, size.events_per_courier),),
    )


def events_traffic(size: Size) -> Figure:
    """Bytes of message bodies per second, in and out."""
    return Figure(
        "bytes a second of bodies, in and out",
        "2 × events a courier × body",
        2.0 * size.events_per_courier * size.shape.message_bytes,
        Unit.BYTES_A_SECOND,
        assumes=("message_bytes",),
    )


def event_decisions_core(size: Size) -> Figure:
    """Share of a core for events in the decisions alone."""
    return Figure(
        "of it in the decisions",
        "events a courier × event in the decisions",
        size.events_per_courier * slopes.DECISION_TIME.value,
        Unit.CORES,
        (Use(slopes.DECISION_TIME, size.events_per_courier),),
    )


def journal_traffic(size: Size) -> Figure:
    """Bytes per second written to the journal."""
    return Figure(
        "bytes a second to the journal",
        "events a courier × message in the journal",
        size.events_per_courier * slopes.JOURNAL_TRAFFIC.value,
        Unit.BYTES_A_SECOND,
        (Use(slopes.JOURNAL_TRAFFIC),),
    )


def connections(size: Size) -> Figure:
    """Outgoing connections of one courier, one for each destination that it uses."""
    return Figure(
        "connections out, one for each destination",
        "destinations a courier",
        size.destinations_per_courier,
        Unit.COUNT,
        (),
        ("senders_per_destination",),
    )


def down_queue_length(size: Size) -> Figure:
    """Waiting events of one destination that is down, if the whole backlog is for such destinations."""
    return Figure(
        "waiting events of one destination that is down",
        "waiting events / destinations down",
        size.waiting_events / size.destinations_down,
        Unit.COUNT,
        assumes=("senders_per_destination",),
    )
