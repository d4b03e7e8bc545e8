"""The deployment size planned in two years: numbers stated by the users, and further assumed inputs.

Bytes are decimal (1 MB is 1,000,000). Nothing here is measured.
"""

from dataclasses import dataclass

SECONDS_PER_DAY = 86_400.0
SECONDS_PER_HOUR = 3_600.0


@dataclass(frozen=True, slots=True)
class ControlBudget:
    """The most that one courier may spend on its control part: share of a core, memory, traffic."""

    core: float = 0.012
    memory_bytes: float = 32e6
    bytes_per_second: float = 13e3


@dataclass(frozen=True, slots=True)
class Shape:
    """Inputs that the users do not state. Each value is assumed; the comment gives the reason."""

    senders_per_destination: float = 1.0  # couriers that use one destination; scales each courier's set
    endpoints_per_destination: float = 1.0  # as in the measurements of the list
    message_bytes: float = 300.0  # body of a message, as in the measurements of the store
    couriers_per_machine: float = 1.0  # the failure of a machine stops all of its couriers
    machines_per_rack: float = 40.0  # a common rack; a switch is assumed to serve one rack
    metrics_poll_s: float = 15.0  # a common interval at which operators' tools scrape each process's metrics


@dataclass(frozen=True, slots=True)
class Size:
    """The deployment as stated by the users, and simple quotients of these numbers."""

    couriers: float = 19_000.0
    events_per_second: float = 2.5e6
    destinations: float = 1.7e6
    down_share: float = 0.037
    waiting_events: float = 39e9
    regions: float = 6.0
    zones: float = 17.0
    changes_per_day: float = 11_000.0
    propagation_budget_s: float = 12.0
    control_machines: float = 31.0
    machine_failures_per_day: float = 34.0
    restarts_per_day: float = 1_400.0
    region_split_s: float = 3_600.0
    budget: ControlBudget = ControlBudget()
    shape: Shape = Shape()

    @property
    def events_per_courier(self) -> float:
        """Events per second that one courier takes."""
        return self.events_per_second / self.couriers

    @property
    def waiting_per_courier(self) -> float:
        """Waiting events of one courier if the largest backlog is spread evenly."""
        return self.waiting_events / self.couriers

    @property
    def destinations_down(self) -> float:
        """Destinations that are down at any time."""
        return self.destinations * self.down_share

    @property
    def seconds_per_change(self) -> float:
        """Seconds between two configuration changes."""
        return SECONDS_PER_DAY / self.changes_per_day

    @property
    def changes_per_second(self) -> float:
        """Configuration changes per second."""
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
        """Seconds of intake that make up all waiting events."""
        return self.waiting_events / self.events_per_second

    @property
    def destinations_per_courier(self) -> float:
        """Destinations that one courier uses."""
        return self.destinations * self.shape.senders_per_destination / self.couriers

    @property
    def down_per_courier(self) -> float:
        """Destinations of one courier that are down."""
        return self.destinations_per_courier * self.down_share

    @property
    def events_per_destination(self) -> float:
        """Events per second for one destination."""
        return self.events_per_second / self.destinations

    @property
    def starts_per_day(self) -> float:
        """Machines per day whose processes start again, after failures and restarts."""
        return self.machine_failures_per_day + self.restarts_per_day

    @property
    def machines(self) -> float:
        """All machines: those that run couriers and the control machines."""
        return self.couriers / self.shape.couriers_per_machine + self.control_machines


PLANNED_SIZE = Size()
