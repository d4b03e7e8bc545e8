"""Alternatives to subscriptions and their costs at the planned size.

docs/subscriptions-design.md compares them.
"""

from dataclasses import dataclass
from math import log2

from calicopin.capacity import courier, node, slopes
from calicopin.capacity.figures import Figure, Unit, Use
from calicopin.capacity.size import Size

VERSION_BYTES = 8.0  # assumed: a destination's number and version, packed, the minimum for gossip to compare
GOSSIP_PERIOD_S = 1.0  # assumed: time between two exchanges of one courier
RELAY_FAN_OUT = 25.0  # assumed: children of one relay


@dataclass(frozen=True, slots=True)
class Option:
    """An alternative mechanism and its figures."""

    name: str
    figures: tuple[Figure, ...]


def hashed_owners(size: Size) -> Option:
    """Destinations hashed to owners: a courier forwards each event to the owner of its destination."""
    forwarded = size.events_per_courier * (1.0 - 1.0 / size.couriers)
    body = size.shape.message_bytes
    return Option(
        "Destinations hashed to owners, with forwarding",
        (
            Figure(
                "events forwarded a second a courier",
                "events a courier × (1 - 1 / couriers)",
                forwarded,
                Unit.A_SECOND,
            ),
            Figure(
                "processor time for them, taken on once more",
                "events forwarded × event",
                forwarded * slopes.EVENT_TIME.value,
                Unit.CORES,
                (Use(slopes.EVENT_TIME, forwarded),),
            ),
            Figure(
                "bytes a second of bodies, out and in once more",
                "2 × events forwarded × body",
                2.0 * forwarded * body,
                Unit.BYTES_A_SECOND,
                (),
                ("message_bytes",),
            ),
            Figure(
                "changes of ownership a second that every courier hears",
                "2 × starts a day / a day",
                2.0 * size.starts_per_day / 86_400.0,
                Unit.A_SECOND,
                (),
                ("couriers_per_machine",),
            ),
            Figure(
                "waiting events that change owner at each, on disks that stay behind",
                "waiting events a courier",
                size.waiting_per_courier,
                Unit.COUNT,
            ),
        ),
    )


def partitioned_list(size: Size) -> Option:
    """The list partitioned over the nodes: a courier holds a lease at nearly every node."""
    machines, used = size.control_machines, size.destinations_per_courier
    nodes = machines * (1.0 - (1.0 - 1.0 / machines) ** used)
    renewals = nodes * courier.renewals_per_second()
    assumed = ("senders_per_destination",)
    return Option(
        "Nodes that hold a part of the list each",
        (
            Figure(
                "memory of the list at a node",
                "memory of the list / control machines",
                node.list_memory(size).value / machines,
                Unit.BYTES,
                node.list_memory(size).uses,
            ),
            Figure(
                "nodes that a courier asks",
                "control machines × (1 - (1 - 1 / control machines) ^ destinations a courier)",
                nodes,
                Unit.COUNT,
                (),
                assumed,
            ),
            Figure(
                "processor time of renewals at a courier",
                "nodes × a courier's subscription at one node",
                nodes * slopes.COURIER_CORE.value,
                Unit.CORES,
                (Use(slopes.COURIER_CORE),),
                assumed,
            ),
            Figure(
                "bytes a second of renewals at a courier",
                "nodes × renewals a second × renewal",
                renewals * slopes.RENEWAL_BYTES.value,
                Unit.BYTES_A_SECOND,
                (Use(slopes.RENEWAL_BYTES),),
                assumed,
            ),
            Figure(
                "processor time of renewals at a node",
                "couriers × nodes / control machines × a courier at the node",
                size.couriers * nodes / machines * slopes.NODE_CORE.value,
                Unit.CORES,
                (Use(slopes.NODE_CORE, size.couriers * nodes / machines),),
                assumed,
            ),
        ),
    )


def relay_tree(size: Size) -> Option:
    """A tree in which couriers relay the list to other couriers."""
    relays = size.couriers / RELAY_FAN_OUT
    levels = 2.0  # nodes to relays, relays to couriers
    return Option(
        "A tree of relays, 25 children each",
        (
            Figure(
                "relays that a node serves",
                "couriers / children / control machines",
                relays / size.control_machines,
                Unit.COUNT,
                (),
                ("fan-out",),
            ),
            Figure(
                "processor time at a relay for its children",
                "children × a courier at the node",
                RELAY_FAN_OUT * slopes.NODE_CORE.value,
                Unit.CORES,
                (Use(slopes.NODE_CORE, RELAY_FAN_OUT),),
                ("fan-out",),
            ),
            Figure(
                "memory at a relay for its children's sets",
                "children × memory of the subscribed set",
                RELAY_FAN_OUT * courier.subscription_memory(size).value,
                Unit.BYTES,
                courier.subscription_memory(size).uses,
                ("senders_per_destination",),
            ),
            Figure(
                "couriers cut off by one lost relay",
                "children",
                RELAY_FAN_OUT,
                Unit.COUNT,
                (),
                ("fan-out",),
            ),
            Figure(
                "pauses on the way of a change",
                f"{levels:g} × pause",
                levels * courier.POLL_PAUSE_S,
                Unit.SECONDS,
            ),
        ),
    )


def gossip(size: Size) -> Option:
    """Gossip between couriers: each needs the whole list, or at least its versions, to compare."""
    rounds = log2(size.couriers)
    return Option(
        "Gossip between couriers",
        (
            Figure(
                "memory of the list at each courier, as plain JSON",
                "destinations × entry",
                courier.list_bytes(size).value,
                Unit.BYTES,
                courier.list_bytes(size).uses,
            ),
            Figure(
                "memory of versions alone",
                f"destinations × {VERSION_BYTES:g} B",
                size.destinations * VERSION_BYTES,
                Unit.BYTES,
                (),
                ("version's bytes",),
            ),
            Figure(
                "rounds until a change has reached all, at the least",
                "log2(couriers)",
                rounds,
                Unit.COUNT,
            ),
            Figure(
                "time for them, one exchange a second",
                "rounds × period",
                rounds * GOSSIP_PERIOD_S,
                Unit.SECONDS,
                (),
                ("gossip period",),
            ),
            Figure(
                "a start's list from a neighbour, within the budget of bytes",
                "destinations × entry / bytes a second",
                courier.list_start_time(size).value,
                Unit.SECONDS,
                courier.list_start_time(size).uses,
            ),
        ),
    )


def options(size: Size) -> tuple[Option, ...]:
    """Returns every alternative."""
    return hashed_owners(size), partitioned_list(size), relay_tree(size), gossip(size)
