"""What each fault asks of the discovery nodes and of the couriers that go on, as figures of a size.

These go through the model only; the page says which of them a scale test plays.
"""

from dataclasses import dataclass

from calicopin.capacity import courier, slopes
from calicopin.capacity.figures import Figure, Unit, Use
from calicopin.capacity.size import SECONDS_PER_DAY, SECONDS_PER_HOUR, Size
from calicopin.subscription import nodes
from calicopin.wire import subscriber

CONNECT_TIMEOUT_S = subscriber.CONNECT / 1000.0  # until a node that cannot be reached is given up
SILENCE_TIMEOUT_S = (subscriber.WAIT + subscriber.SILENCE) / 1000.0  # until one that has gone silent is


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault with its figures."""

    name: str
    frequency: str
    figures: tuple[Figure, ...]


def _new_lease_costs(name: str, formula: str, couriers: float, size: Size) -> tuple[Figure, Figure]:
    """Bytes and processor time at one node for so many new leases."""
    return (
        Figure(
            f"{name}: bytes at a node",
            f"{formula} × new lease",
            couriers * courier.lease_bytes(size).value,
            Unit.BYTES,
            courier.lease_bytes(size).uses,
        ),
        Figure(
            f"{name}: processor time at a node",
            f"{formula} × destinations a courier × subscribed destination",
            couriers * size.destinations_per_courier * slopes.NEW_LEASE_NODE_TIME.value,
            Unit.SECONDS,
            (Use(slopes.NEW_LEASE_NODE_TIME, size.destinations_per_courier),),
        ),
    )


def _played(slope: slopes.Slope) -> Figure:
    """What a fault took where it was played, at a smaller size."""
    name = f"played with {slopes.FAULT_RUN_COURIERS:,} couriers: {slope.name}"
    return Figure(name, "the run's own", slope.value, Unit.SECONDS, (Use(slope),))


def ordinary_day(size: Size) -> Fault:
    """Failures and restarts spread over all machines alike."""
    courier_share = 1.0 - size.control_machines / size.machines
    starts = size.starts_per_day * courier_share
    shape = ("couriers_per_machine",)
    lists = starts * courier.list_bytes(size).value / SECONDS_PER_DAY
    leases = starts * courier.lease_bytes(size).value / SECONDS_PER_DAY
    return Fault(
        "An ordinary day",
        f"{size.machine_failures_per_day:.0f} failures, {size.restarts_per_day:,.0f} restarts",
        (
            Figure(
                "time between starts of couriers",
                "a day / starts",
                SECONDS_PER_DAY / starts,
                Unit.SECONDS,
                (),
                shape,
            ),
            Figure(
                "control machines restarted a day",
                "restarts × control machines / machines",
                size.restarts_per_day * size.control_machines / size.machines,
                Unit.COUNT,
                (),
                shape,
            ),
            Figure(
                "days between failures of control machines",
                "machines / (failures × control machines)",
                size.machines / (size.machine_failures_per_day * size.control_machines),
                Unit.COUNT,
                (),
                shape,
            ),
            Figure(
                "waiting events on one machine, at the largest backlog",
                "waiting events a courier × couriers a machine",
                size.waiting_per_courier * size.shape.couriers_per_machine,
                Unit.COUNT,
                (),
                shape,
            ),
            Figure(
                "bytes a second of all starts, today",
                "starts × whole list / a day",
                lists,
                Unit.BYTES_PER_SECOND,
                courier.list_bytes(size).uses,
                shape,
            ),
            Figure(
                "bytes a second of all starts, subscribed",
                "starts × new lease / a day",
                leases,
                Unit.BYTES_PER_SECOND,
                courier.lease_bytes(size).uses,
                shape,
            ),
            _played(slopes.FAULT_COURIERS_RESTARTED),
        ),
    )


def try_jitter_s(size: Size) -> float:
    """Longest wait before the next node is tried."""
    return min(nodes.TRY_JITTER, nodes.ROUND_JITTER / size.control_machines) / 1000.0


def node_lost(size: Size) -> Fault:
    """One control machine gone: rendezvous hashing spreads its couriers over the rest."""
    each = size.couriers_per_node / (size.control_machines - 1.0)
    return Fault(
        "One discovery node",
        "see above",
        (
            Figure("couriers that move", "couriers a node", size.couriers_per_node, Unit.COUNT),
            Figure(
                "couriers a node afterwards",
                "couriers / (control machines - 1)",
                size.couriers / (size.control_machines - 1.0),
                Unit.COUNT,
            ),
            Figure("of them new", "couriers a node / (control machines - 1)", each, Unit.COUNT),
            Figure(
                "until its couriers ask another node, at the most: it fell silent",
                f"{SILENCE_TIMEOUT_S:g} s + jitter",
                SILENCE_TIMEOUT_S + try_jitter_s(size),
                Unit.SECONDS,
            ),
            *_new_lease_costs("new leases", "new couriers", each, size),
            _played(slopes.FAULT_NODE_KILLED),
            _played(slopes.FAULT_NODE_HALF_OPEN),
        ),
    )


def rack_lost(size: Size) -> Fault:
    """A rack or a switch."""
    shape = ("machines_per_rack", "couriers_per_machine")
    couriers = size.shape.machines_per_rack * size.shape.couriers_per_machine
    return Fault(
        "A rack or a switch",
        "every week",
        (
            Figure("couriers gone", "machines a rack", couriers, Unit.COUNT, (), shape),
            Figure(
                "more events at each other courier",
                "couriers gone / couriers left",
                couriers / (size.couriers - couriers),
                Unit.SHARE,
                (),
                shape,
            ),
            Figure(
                "new leases a node when it is back",
                "couriers gone / control machines",
                couriers / size.control_machines,
                Unit.COUNT,
                (),
                shape,
            ),
        ),
    )


def zone_lost(size: Size) -> Fault:
    """A seventeenth of couriers and discovery nodes at once, and all of them back together."""
    left = size.control_machines - size.nodes_per_zone
    moving = size.nodes_per_zone * size.couriers_per_node * (1.0 - 1.0 / size.zones)
    back = size.couriers_per_zone / left
    return Fault(
        "A zone",
        "once or twice a year",
        (
            Figure("couriers gone", "couriers / zones", size.couriers_per_zone, Unit.COUNT),
            Figure("discovery nodes gone", "control machines / zones", size.nodes_per_zone, Unit.COUNT),
            Figure(
                "living couriers that move to another node",
                "nodes gone × couriers a node × (1 - 1 / zones)",
                moving,
                Unit.COUNT,
            ),
            Figure(
                "couriers a node meanwhile",
                "couriers left / nodes left",
                (size.couriers - size.couriers_per_zone) / left,
                Unit.COUNT,
            ),
            Figure(
                "events a second at each courier left",
                "events a second / couriers left",
                size.events_per_second / (size.couriers - size.couriers_per_zone),
                Unit.COUNT,
            ),
            Figure(
                "waiting events that stand until it is back",
                "couriers gone × waiting events a courier",
                size.couriers_per_zone * size.waiting_per_courier,
                Unit.COUNT,
            ),
            courier.waiting_start_time(size),
            Figure(
                "back before its nodes: new leases a node", "couriers gone / nodes left", back, Unit.COUNT
            ),
            *_new_lease_costs("back together", "new leases", back, size),
            Figure(
                "back together, today: bytes of whole lists",
                "couriers gone × whole list",
                size.couriers_per_zone * courier.list_bytes(size).value,
                Unit.BYTES,
                courier.list_bytes(size).uses,
            ),
        ),
    )


def nodes_tried_in_isolation(size: Size) -> Figure:
    """Nodes that a courier in a region apart tries until one that it reaches, in an order by chance, on
    average."""
    return Figure(
        "nodes tried until one in the region answers, in an order by chance",
        "(control machines + 1) / (nodes a region + 1)",
        (size.control_machines + 1.0) / (size.nodes_per_region + 1.0),
        Unit.COUNT,
    )


def region_isolated(size: Size) -> Fault:
    """One region without the others for the stated time; the list's source stands on the other side."""
    missed = size.changes_per_second * size.region_split_s
    moving = size.couriers_per_region * (1.0 - 1.0 / size.regions)
    tries = nodes_tried_in_isolation(size).value
    heard = missed * size.shape.senders_per_destination / size.regions
    return Fault(
        "A region apart for an hour",
        "now and then",
        (
            Figure("couriers and", "couriers / regions", size.couriers_per_region, Unit.COUNT),
            Figure("discovery nodes in it", "control machines / regions", size.nodes_per_region, Unit.COUNT),
            Figure(
                "couriers in it that need another node",
                "couriers a region × (1 - 1 / regions)",
                moving,
                Unit.COUNT,
            ),
            nodes_tried_in_isolation(size),
            Figure(
                "until such a courier asks a node in the region, on average",
                f"{SILENCE_TIMEOUT_S:g} s + (tries - 1) × ({CONNECT_TIMEOUT_S:g} s + half the jitter)",
                SILENCE_TIMEOUT_S + (tries - 1.0) * (CONNECT_TIMEOUT_S + try_jitter_s(size) / 2.0),
                Unit.SECONDS,
            ),
            Figure(
                "changes that are not in force there",
                "changes a second × time apart",
                missed,
                Unit.COUNT,
            ),
            Figure(
                "of them for its couriers",
                "changes missed × senders a destination / regions",
                heard,
                Unit.COUNT,
                (),
                ("senders_per_destination",),
            ),
            Figure(
                "afterwards: bytes that each of its nodes reads",
                "changes missed × entry",
                missed * slopes.ENTRY_BYTES.value,
                Unit.BYTES,
                (Use(slopes.ENTRY_BYTES),),
            ),
            Figure(
                "afterwards: bytes to all its couriers",
                "changes for its couriers × subscribed destination",
                heard * slopes.NEW_LEASE_BYTES.value,
                Unit.BYTES,
                (Use(slopes.NEW_LEASE_BYTES),),
                ("senders_per_destination",),
            ),
        ),
    )


def all_nodes_lost(size: Size) -> Fault:
    """No discovery node anywhere, and all of them back at once."""
    hour = size.changes_per_second * SECONDS_PER_HOUR
    courier_starts = size.starts_per_day / 24.0
    return Fault(
        "All discovery nodes",
        "not stated",
        (
            Figure("changes unknown after an hour", "changes a second × an hour", hour, Unit.COUNT),
            Figure(
                "share of all destinations that is out of date after a day",
                "changes a day / destinations",
                size.changes_per_day / size.destinations,
                Unit.SHARE,
            ),
            Figure(
                "starts in an hour, each from its folder", "starts a day / 24", courier_starts, Unit.COUNT
            ),
            Figure("back at once: new leases a node", "couriers a node", size.couriers_per_node, Unit.COUNT),
            Figure(
                "back at once: until the last courier has its set, from its first request",
                "613 new leases at one node",
                slopes.NEW_LEASES_TIME.value,
                Unit.SECONDS,
                (Use(slopes.NEW_LEASES_TIME, size.couriers_per_node),),
            ),
            *_new_lease_costs("back at once", "new leases", size.couriers_per_node, size),
            _played(slopes.FAULT_ALL_NODES_RESTARTED),
        ),
    )


def faults(size: Size) -> tuple[Fault, ...]:
    """Every fault, the most frequent first."""
    return (
        ordinary_day(size),
        node_lost(size),
        rack_lost(size),
        zone_lost(size),
        region_isolated(size),
        all_nodes_lost(size),
    )
