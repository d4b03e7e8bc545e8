"""The load that each fault puts on the discovery nodes and the remaining couriers.

These figures are computed; the page says which of the faults are also run as a scale test.
"""

from dataclasses import dataclass

from calicopin.capacity import courier, slopes
from calicopin.capacity.figures import Figure, Unit, Use
from calicopin.capacity.size import SECONDS_PER_DAY, SECONDS_PER_HOUR, Size
from calicopin.subscription import nodes
from calicopin.wire import subscriber

CONNECT_TIMEOUT_S = subscriber.CONNECT_TIMEOUT_MS / 1000.0  # until a courier gives up connecting to a node
# until it leaves a silent node
SILENCE_TIMEOUT_S = (subscriber.MAX_WAIT_MS + subscriber.PARKED_GRACE_MS) / 1000.0


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault and its figures."""

    name: str
    frequency: str
    figures: tuple[Figure, ...]


def _new_lease_costs(name: str, formula: str, couriers: float, size: Size) -> tuple[Figure, Figure]:
    """Bytes and processor time at one node for the new leases of that many couriers."""
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


def _measured_duration(slope: slopes.Slope) -> Figure:
    """The duration measured in a scale test of the fault at a smaller size."""
    name = f"played with {slopes.FAULT_RUN_COURIERS:,} couriers: {slope.name}"
    return Figure(name, "the run's own", slope.value, Unit.SECONDS, (Use(slope),))


def ordinary_day(size: Size) -> Fault:
    """Failures and restarts, spread evenly over all machines."""
    courier_share = 1.0 - size.control_machines / size.machines
    starts = size.starts_per_day * courier_share
    assumed = ("couriers_per_machine",)
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
                assumed,
            ),
            Figure(
                "control machines restarted a day",
                "restarts × control machines / machines",
                size.restarts_per_day * size.control_machines / size.machines,
                Unit.COUNT,
                (),
                assumed,
            ),
            Figure(
                "days between failures of control machines",
                "machines / (failures × control machines)",
                size.machines / (size.machine_failures_per_day * size.control_machines),
                Unit.COUNT,
                (),
                assumed,
            ),
            Figure(
                "waiting events on one machine, at the largest backlog",
                "waiting events a courier × couriers a machine",
                size.waiting_per_courier * size.shape.couriers_per_machine,
                Unit.COUNT,
                (),
                assumed,
            ),
            Figure(
                "bytes a second of all starts, today",
                "starts × whole list / a day",
                lists,
                Unit.BYTES_A_SECOND,
                courier.list_bytes(size).uses,
                assumed,
            ),
            Figure(
                "bytes a second of all starts, subscribed",
                "starts × new lease / a day",
                leases,
                Unit.BYTES_A_SECOND,
                courier.lease_bytes(size).uses,
                assumed,
            ),
            _measured_duration(slopes.FAULT_COURIERS_RESTARTED),
        ),
    )


def retry_jitter_s(size: Size) -> float:
    """Longest delay before a courier tries the next node."""
    return min(nodes.NEXT_NODE_JITTER_MS, nodes.ROUND_JITTER_MS / size.control_machines) / 1000.0


def node_lost(size: Size) -> Fault:
    """One control machine lost: rendezvous hashing spreads its couriers over the others."""
    new_couriers = size.couriers_per_node / (size.control_machines - 1.0)
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
            Figure("of them new", "couriers a node / (control machines - 1)", new_couriers, Unit.COUNT),
            Figure(
                "until its couriers ask another node, at the most: it fell silent",
                f"{SILENCE_TIMEOUT_S:g} s + jitter",
                SILENCE_TIMEOUT_S + retry_jitter_s(size),
                Unit.SECONDS,
            ),
            *_new_lease_costs("new leases", "new couriers", new_couriers, size),
            _measured_duration(slopes.FAULT_NODE_KILLED),
            _measured_duration(slopes.FAULT_NODE_HALF_OPEN),
        ),
    )


def rack_lost(size: Size) -> Fault:
    """A rack or a switch lost."""
    assumed = ("machines_per_rack", "couriers_per_machine")
    couriers = size.shape.machines_per_rack * size.shape.couriers_per_machine
    return Fault(
        "A rack or a switch",
        "every week",
        (
            Figure("couriers gone", "machines a rack", couriers, Unit.COUNT, (), assumed),
            Figure(
                "more events at each other courier",
                "couriers gone / couriers left",
                couriers / (size.couriers - couriers),
                Unit.SHARE,
                (),
                assumed,
            ),
            Figure(
                "new leases a node when it is back",
                "couriers gone / control machines",
                couriers / size.control_machines,
                Unit.COUNT,
                (),
                assumed,
            ),
        ),
    )


def zone_lost(size: Size) -> Fault:
    """A zone's share of couriers and discovery nodes lost at once, and all of them back at the same time."""
    nodes_left = size.control_machines - size.nodes_per_zone
    moving_couriers = size.nodes_per_zone * size.couriers_per_node * (1.0 - 1.0 / size.zones)
    returning = size.couriers_per_zone / nodes_left
    return Fault(
        "A zone",
        "once or twice a year",
        (
            Figure("couriers gone", "couriers / zones", size.couriers_per_zone, Unit.COUNT),
            Figure("discovery nodes gone", "control machines / zones", size.nodes_per_zone, Unit.COUNT),
            Figure(
                "living couriers that move to another node",
                "nodes gone × couriers a node × (1 - 1 / zones)",
                moving_couriers,
                Unit.COUNT,
            ),
            Figure(
                "couriers a node meanwhile",
                "couriers left / nodes left",
                (size.couriers - size.couriers_per_zone) / nodes_left,
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
                "back before its nodes: new leases a node",
                "couriers gone / nodes left",
                returning,
                Unit.COUNT,
            ),
            *_new_lease_costs("back together", "new leases", returning, size),
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
    """Average number of nodes that a courier in an isolated region tries, in random order, to reach one."""
    return Figure(
        "nodes tried until one in the region answers, in an order by chance",
        "(control machines + 1) / (nodes a region + 1)",
        (size.control_machines + 1.0) / (size.nodes_per_region + 1.0),
        Unit.COUNT,
    )


def region_isolated(size: Size) -> Fault:
    """One region isolated for the stated time, with the source of the list outside of it."""
    missed_changes = size.changes_per_second * size.region_split_s
    moving_couriers = size.couriers_per_region * (1.0 - 1.0 / size.regions)
    nodes_tried = nodes_tried_in_isolation(size).value
    missed_subscribed = missed_changes * size.shape.senders_per_destination / size.regions
    return Fault(
        "A region apart for an hour",
        "now and then",
        (
            Figure("couriers and", "couriers / regions", size.couriers_per_region, Unit.COUNT),
            Figure("discovery nodes in it", "control machines / regions", size.nodes_per_region, Unit.COUNT),
            Figure(
                "couriers in it that need another node",
                "couriers a region × (1 - 1 / regions)",
                moving_couriers,
                Unit.COUNT,
            ),
            nodes_tried_in_isolation(size),
            Figure(
                "until such a courier asks a node in the region, on average",
                f"{SILENCE_TIMEOUT_S:g} s + (tries - 1) × ({CONNECT_TIMEOUT_S:g} s + half the jitter)",
                SILENCE_TIMEOUT_S + (nodes_tried - 1.0) * (CONNECT_TIMEOUT_S + retry_jitter_s(size) / 2.0),
                Unit.SECONDS,
            ),
            Figure(
                "changes that are not in force there",
                "changes a second × time apart",
                missed_changes,
                Unit.COUNT,
            ),
            Figure(
                "of them for its couriers",
                "changes missed × senders a destination / regions",
                missed_subscribed,
                Unit.COUNT,
                (),
                ("senders_per_destination",),
            ),
            Figure(
                "afterwards: bytes that each of its nodes reads",
                "changes missed × entry",
                missed_changes * slopes.ENTRY_BYTES.value,
                Unit.BYTES,
                (Use(slopes.ENTRY_BYTES),),
            ),
            Figure(
                "afterwards: bytes to all its couriers",
                "changes for its couriers × subscribed destination",
                missed_subscribed * slopes.NEW_LEASE_BYTES.value,
                Unit.BYTES,
                (Use(slopes.NEW_LEASE_BYTES),),
                ("senders_per_destination",),
            ),
        ),
    )


def all_nodes_lost(size: Size) -> Fault:
    """All discovery nodes lost, and all of them back at once."""
    hourly_changes = size.changes_per_second * SECONDS_PER_HOUR
    hourly_starts = size.starts_per_day / 24.0
    return Fault(
        "All discovery nodes",
        "not stated",
        (
            Figure("changes unknown after an hour", "changes a second × an hour", hourly_changes, Unit.COUNT),
            Figure(
                "share of all destinations that is out of date after a day",
                "changes a day / destinations",
                size.changes_per_day / size.destinations,
                Unit.SHARE,
            ),
            Figure("starts in an hour, each from its folder", "starts a day / 24", hourly_starts, Unit.COUNT),
            Figure("back at once: new leases a node", "couriers a node", size.couriers_per_node, Unit.COUNT),
            Figure(
                "back at once: until the last courier has its set, from its first request",
                "613 new leases at one node",
                slopes.NEW_LEASES_TIME.value,
                Unit.SECONDS,
                (Use(slopes.NEW_LEASES_TIME, size.couriers_per_node),),
            ),
            *_new_lease_costs("back at once", "new leases", size.couriers_per_node, size),
            _measured_duration(slopes.FAULT_ALL_NODES_RESTARTED),
        ),
    )


def faults(size: Size) -> tuple[Fault, ...]:
    """Returns every fault, the most frequent first."""
    return (
        ordinary_day(size),
        node_lost(size),
        rack_lost(size),
        zone_lost(size),
        region_isolated(size),
        all_nodes_lost(size),
    )
