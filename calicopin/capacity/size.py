"""The size of the deployment in two years: what the users state, and the shape that is assumed beside it.

Bytes are decimal (1 MB is 1,000,000). Nothing here is measured.
"""

from dataclasses import dataclass

SECONDS_PER_DAY = 86_400.0
SECONDS_PER_HOUR = 3_600.0


@dataclass(frozen=True, slots=True)
class ControlBudget:
    """What one courier spends on control at most."""

    core: float = 0.012
    memory_bytes: float = 32e6
    bytes_per_second: float = 13e3


@dataclass(frozen=True, slots=True)
class Shape:
    """What the users do not state. Each value is assumed, with its reason."""

    senders_per_destination: float = 1.0  # couriers that use one destination; more multiply a courier's set
    endpoints_per_destination: float = 1.0  # the list's measured sizes had one each
    message_bytes: float = 300.0  # a message's body, as in the store's own measure
    couriers_per_machine: float = 1.0  # with more, one failure takes as many couriers as the machine has
    machines_per_rack: float = 40.0  # a common rack; a switch is taken for a rack
    metrics_poll_s: float = 15.0  # a common interval at which operators' tools read each process's figures


@dataclass(frozen=True, slots=True)
class Size:
    """The deployment as the users state it, and its simple quotients."""

    couriers: float = 19_000.0
    events_per_second: float = 2.5e6
    destinations: float = 1.7e6
    down_share: float = 0.037
    waiting_events: float = 39e9
    regions: float = 6.0
    zones: float = 17.0
    changes_per_day: float = 11_000.0
    change_budget_s: float = 12.0
    control_machines: float = 31.0
    machine_failures_per_day: float = 34.0
    restarts_per_day: float = 1_400.0
    region_split_s: float = 3_600.0
    budget: ControlBudget = ControlBudget()
    shape: Shape = Shape()

    @property
    def events_per_courier(self) -> float:
        """Events a second that one courier takes."""
        return self.events_per_second / self.couriers

    @property
    def waiting_per_courier(self) -> float:
        """Waiting events of one courier, the largest backlog shared evenly."""
        return self.waiting_events / self.couriers

    @property
    def destinations_down(self) -> float:
        """Destinations that are down at any time."""
        return self.destinations * self.down_share

    @property
    def seconds_per_change(self) -> float:
        """Time between two changes of configuration."""
        return SECONDS_PER_DAY / self.changes_per_day

    @property
    def changes_per_second(self) -> float:
        """Changes of configuration a second."""
        return self.changes_per_day / SECONDS_PER_DAY

    @property
    def couriers_per_node(self) -> float:
        """Couriers that one control machine serves."""
        return self.couriers / self.control_machines

    @property
    def couriers_per_zone(self) -> float:
        """Couriers in one zone."""
        return self.couriers / self.zones

    @property
    def nodes_per_zone(self) -> float:
        """Control machines in one zone."""
        return self.control_machines / self.zones

    @property
    def couriers_per_region(self) -> float:
        """Couriers in one region."""
        return self.couriers / self.regions

    @property
    def nodes_per_region(self) -> float:
        """Control machines in one region."""
        return self.control_machines / self.regions

    @property
    def backlog_intake_s(self) -> float:
        """The intake that all waiting events are, in seconds."""
        return self.waiting_events / self.events_per_second

    @property
    def destinations_per_courier(self) -> float:
        """Destinations that one courier uses."""
        return self.destinations * self.shape.senders_per_destination / self.couriers

    @property
    def down_per_courier(self) -> float:
        """Destinations in use at one courier that are down."""
        return self.destinations_per_courier * self.down_share

    @property
    def events_per_destination(self) -> float:
        """Events a second for one destination."""
        return self.events_per_second / self.destinations

    @property
    def starts_per_day(self) -> float:
        """Starts of a machine's processes a day: failures and restarts."""
        return self.machine_failures_per_day + self.restarts_per_day

    @property
    def machines(self) -> float:
        """All machines: those of couriers and the control machines."""
        return self.couriers / self.shape.couriers_per_machine + self.control_machines


PLANNED_SIZE = Size()
