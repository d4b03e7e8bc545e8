"""The figures of every role, and the quotients that follow from the users' numbers alone."""

from dataclasses import dataclass

from calicopin.capacity import courier, external, node
from calicopin.capacity.figures import Figure, Unit
from calicopin.capacity.size import Size

NODE_FIGURES = (
    node.list_memory,
    node.changed_memory,
    node.lease_memory,
    node.renewals,
    node.renewals_core,
    node.change_processing_core,
    node.total_traffic,
    node.update_answers,
    node.source_traffic,
    node.start_time,
    node.update_answers_today,
    node.whole_list_traffic_today,
)
DESTINATION_FIGURES = (
    external.event_rate,
    external.equal_share,
    external.served_ratio,
    external.given_up_share,
)
OPERATOR_FIGURES = (
    external.all_status_bytes,
    external.subscribed_status_bytes,
    external.metrics_calls,
    external.source_growth,
    external.rollout_time,
)


@dataclass(frozen=True, slots=True)
class Role:
    """A role in the deployment and its figures."""

    name: str
    figures: tuple[Figure, ...]


def quotients(size: Size) -> tuple[Figure, ...]:
    """Returns the figures that follow from the users' numbers alone, and two that also assume one sender."""
    rows = (
        ("events a second a courier", "events a second / couriers", size.events_per_courier, Unit.COUNT),
        ("waiting events a courier", "waiting events / couriers", size.waiting_per_courier, Unit.COUNT),
        ("destinations down", "destinations × share down", size.destinations_down, Unit.COUNT),
        ("time between changes", "a day / changes a day", size.seconds_per_change, Unit.SECONDS),
        ("couriers a control machine", "couriers / control machines", size.couriers_per_node, Unit.COUNT),
        ("couriers a zone", "couriers / zones", size.couriers_per_zone, Unit.COUNT),
        ("control machines a zone", "control machines / zones", size.nodes_per_zone, Unit.COUNT),
        (
            "all waiting events, as intake",
            "waiting events / events a second",
            size.backlog_intake_s,
            Unit.SECONDS,
        ),
        (
            "events a second a destination",
            "events a second / destinations",
            size.events_per_destination,
            Unit.COUNT,
        ),
    )
    stated = tuple(Figure(name, formula, value, unit) for name, formula, value, unit in rows)
    used = Figure(
        "destinations a courier, one sender each",
        "destinations / couriers",
        size.destinations_per_courier,
        Unit.COUNT,
        assumes=("senders_per_destination",),
    )
    down = Figure(
        "of them down",
        "destinations a courier × share down",
        size.down_per_courier,
        Unit.COUNT,
        assumes=("senders_per_destination",),
    )
    return (*stated, used, down)


def roles(size: Size) -> tuple[Role, ...]:
    """Returns every role with its figures."""
    return (
        Role(
            "Courier, data path",
            (
                courier.event_processing_core(size),
                courier.event_decisions_core(size),
                courier.events_traffic(size),
                courier.journal_traffic(size),
                courier.connections(size),
                courier.waiting_memory(size),
                courier.waiting_decisions_memory(size),
                courier.down_queue_length(size),
                courier.waiting_down_core(size),
                courier.backlog_delivery_core(size),
                courier.waiting_disk(size),
                courier.waiting_journal_disk(size),
                courier.waiting_start_time(size),
            ),
        ),
        Role(
            "Courier, control, today",
            (
                courier.list_memory(size),
                courier.list_bytes(size),
                courier.list_start_time(size),
                courier.list_processing_time(size),
                courier.change_time(size),
                courier.change_processing_core(size),
                courier.poll_traffic(size),
                courier.change_propagation(size),
            ),
        ),
        Role(
            "Courier, control, with subscriptions",
            (
                courier.subscription_memory(size),
                courier.process_memory(size),
                courier.lease_bytes(size),
                courier.lease_start_time(size),
                courier.subscription_processing_time(size),
                courier.subscription_core(size),
                courier.subscription_change_time(size),
                courier.renewal_traffic(size),
                courier.measured_traffic(size),
                courier.subscribed_change_propagation(size),
            ),
        ),
        Role(
            "Discovery node, one of 31",
            tuple(figure(size) for figure in NODE_FIGURES),
        ),
        Role("Destination endpoints", tuple(figure(size) for figure in DESTINATION_FIGURES)),
        Role(
            "Operators' side",
            tuple(figure(size) for figure in OPERATOR_FIGURES),
        ),
    )
