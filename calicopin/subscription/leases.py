"""The leases of a discovery node: which courier is sent which destinations, and when. No I/O and no clock.

A lease is one courier's subscription to a set of destinations. Every request of the courier renews it. The
table decides how each request is answered; it does not handle the entries themselves. Times are milliseconds
and are passed in as arguments. docs/subscriptions-design.md describes the exchange.

Destinations sent under a version stay in flight until the courier sends that version as its index. If the
answer was lost, they are sent again in their current state.
"""

from array import array
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from calicopin.subscription.messages import Reason, Refusal, SubscribeRequest

MIN_LEASE_LIMIT = 1024
MAX_NODE_NAME_LENGTH = 128  # characters of a node's name, which is part of each lease's name
MIN_CAPACITY_RETRY_MS = 1000.0  # minimum retry time for a courier refused because all leases are taken
NO_DESTINATIONS: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class LeaseBounds:
    """Limits of a node; `requests_per_second` and `burst` are the rate limit of each courier."""

    lease_ms: float = 30_000.0
    leases: int = 4096
    destinations: int = 100_000
    requests_per_second: float = 20.0
    burst: float = 100.0


@dataclass(frozen=True, slots=True)
class LeaseUpdate:
    """An answer to send now, with all endpoints of these destinations; a `full` one covers the whole set."""

    lease: str
    sequence: int
    version: int
    full: bool
    destinations: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Wait:
    """There is nothing to send yet: the request waits until `LeaseTable.change` returns the lease's name or
    the lease ends."""

    lease: str


class Lease:
    """One courier's subscription."""

    __slots__ = (
        "name",
        "courier",
        "sequence",
        "expires_at",
        "destinations",
        "acknowledged_version",
        "sent_version",
        "in_flight",
        "changed",
        "tokens",
        "tokens_updated_at",
    )

    def __init__(self, name: str, courier: str, tokens: float, tokens_updated_at: float):
        self.name, self.courier, self.sequence, self.expires_at = name, courier, 0, 0.0
        self.destinations = array("I")  # sorted
        self.acknowledged_version: int | None = None  # the version that the courier has confirmed
        self.sent_version: int | None = None  # the version of the last answer, until it is confirmed
        self.in_flight: set[int] | frozenset[int] = NO_DESTINATIONS  # sent under `sent_version`
        self.changed: set[int] | frozenset[int] = NO_DESTINATIONS  # not sent yet
        self.tokens, self.tokens_updated_at = tokens, tokens_updated_at

    def mark_changed(self, destination: int) -> None:
        """Includes the destination in the next answer."""
        if not self.changed:
            self.changed = set()
        self.changed.add(destination)

    def acknowledge(self, index: int | None) -> bool:
        """Records the version that the courier has. Returns False if only a full answer can bring it up to
        date."""
        if index is None or index not in (self.sent_version, self.acknowledged_version):
            return False
        if index == self.sent_version:
            self.acknowledged_version = index
        else:  # the last answer was lost
            self.changed = self.changed | self.in_flight
        self.sent_version, self.in_flight = None, NO_DESTINATIONS
        return True


class LeaseTable:
    """All leases of one node. `run` distinguishes this run of the node from earlier ones."""

    def __init__(self, fleet: str, node: str, run: str, bounds: LeaseBounds):
        self.fleet, self.node, self.bounds = fleet, node, bounds
        self.prefix = f"{node}-{run}-"
        self.version = 0  # incremented for each answer that is full or has destinations
        self.serial = 0  # number of the last lease granted
        self.subscriptions = 0
        self.examined_leases = 0  # leases examined by changes, requests and expiry
        self._leases: OrderedDict[str, Lease] = OrderedDict()  # by name, the next to expire first
        self._couriers: dict[str, Lease] = {}
        # a single subscriber, the common case, is stored without a set
        self._subscribers: dict[int, Lease | set[Lease]] = {}
        self._ended: list[str] = []

    def __len__(self) -> int:
        return len(self._leases)

    def request(
        self, now: float, request: SubscribeRequest, index: int | None
    ) -> LeaseUpdate | Wait | Refusal:
        """Decides on one request; `index` is the version that the courier reports."""
        self.expire(now)
        return self._open(now, request) if request.lease is None else self._renew(now, request, index)

    def answer_waiting(self, name: str) -> LeaseUpdate | Refusal:
        """The answer to a request that waited; empty if nothing changed."""
        lease = self._leases.get(name)
        if lease is None:
            return Refusal(Reason.LEASE_OVER, "the lease ended while the request waited")
        return self._pending_update(lease)

    def answer_superseded(self, name: str) -> LeaseUpdate | Refusal:
        """The empty answer to a request that was superseded by another one of the same lease."""
        lease = self._leases.get(name)
        return self.answer_waiting(name) if lease is None else self._empty_update(lease)

    def change(self, destinations: Iterable[int]) -> set[str]:
        """Records that these destinations changed, and returns the names of the leases that hold them."""
        touched = set()
        for destination in destinations:
            for lease in self._subscribers_of(destination):
                self.examined_leases += 1
                lease.mark_changed(destination)
                touched.add(lease.name)
        return touched

    def expire(self, now: float) -> None:
        """Ends the leases that were not renewed in time. The cost depends only on their number."""
        while self._leases:
            lease = next(iter(self._leases.values()))
            if lease.expires_at > now:
                return
            self._end(lease)

    def take_ended(self) -> list[str]:
        """The leases that ended since the last call, each once; requests waiting on them must be answered."""
        ended, self._ended = self._ended, []
        return ended

    def subscribed(self) -> list[int]:
        """Every destination that some lease subscribes to."""
        return list(self._subscribers)

    def _open(self, now: float, request: SubscribeRequest) -> LeaseUpdate | Refusal:
        refusal = self._check_fleet(request) or self._check_new_lease(request)
        if refusal:
            return refusal
        wanted = set(request.subscribe)
        if len(wanted) > self.bounds.destinations:
            return self._too_large(len(wanted))
        previous = self._couriers.get(request.courier)
        if previous is None and len(self._leases) >= self.bounds.leases:
            return self._at_capacity(now)
        if previous is not None:
            rate_refusal = self._take_token(previous, now)
            if rate_refusal:
                return rate_refusal
            self._end(previous)
        self.examined_leases += 1
        lease = self._grant(request.courier, now, previous)
        self._set_destinations(lease, wanted)
        self._extend(lease, now)
        return self._full_update(lease)

    def _renew(
        self, now: float, request: SubscribeRequest, index: int | None
    ) -> LeaseUpdate | Wait | Refusal:
        refusal = self._check_fleet(request)
        if refusal:
            return refusal
        lease = self._leases.get(request.lease)
        if lease is None or lease.courier != request.courier:
            return self._unknown_lease(request.lease)
        self.examined_leases += 1
        self._extend(lease, now)
        rate_refusal = self._take_token(lease, now)
        if rate_refusal:
            return rate_refusal
        sequence_step = request.sequence - lease.sequence
        if sequence_step not in (0, 1):
            return Refusal(
                Reason.LEASE_OVER,
                f"sequence {request.sequence} does not follow {lease.sequence}: subscribe anew",
            )
        if sequence_step == 1:
            refusal = self._modify(lease, request)
            if refusal:
                return refusal
        if not lease.acknowledge(index):
            return self._full_update(lease)
        if sequence_step == 0 and not lease.changed:
            return Wait(lease.name)
        return self._pending_update(lease)

    def _modify(self, lease: Lease, request: SubscribeRequest) -> Refusal | None:
        """Applies one change of the set, completely or not at all."""
        added, current = set(request.subscribe), set(lease.destinations)
        wanted = (current - set(request.unsubscribe)) | added
        if len(wanted) > self.bounds.destinations:
            return self._too_large(len(wanted))
        lease.sequence += 1
        self._set_destinations(lease, wanted)
        removed = current - wanted
        lease.changed = (lease.changed - removed) | added
        lease.in_flight = lease.in_flight - removed
        return None

    def _grant(self, courier: str, now: float, previous: Lease | None) -> Lease:
        """Creates a lease; the courier's rate limit state is carried over from its previous one."""
        self.serial += 1
        tokens, tokens_updated_at = (
            (previous.tokens, previous.tokens_updated_at) if previous else (self.bounds.burst - 1.0, now)
        )
        lease = Lease(f"{self.prefix}{self.serial:x}", courier, tokens, tokens_updated_at)
        self._couriers[courier] = lease
        return lease

    def _extend(self, lease: Lease, now: float) -> None:
        """Renews the lease. All leases last equally long, so the one renewed last is the last to expire."""
        lease.expires_at = now + self.bounds.lease_ms
        self._leases[lease.name] = lease
        self._leases.move_to_end(lease.name)

    def _end(self, lease: Lease) -> None:
        self.examined_leases += 1
        del self._leases[lease.name]
        del self._couriers[lease.courier]
        self._set_destinations(lease, set())
        self._ended.append(lease.name)

    def _take_token(self, lease: Lease, now: float) -> Refusal | None:
        """Takes one token from the courier's token bucket, or returns a refusal if it is empty."""
        rate = self.bounds.requests_per_second
        filled = lease.tokens + (now - lease.tokens_updated_at) * rate / 1000.0
        lease.tokens, lease.tokens_updated_at = min(self.bounds.burst, filled), now
        if lease.tokens >= 1.0:
            lease.tokens -= 1.0
            return None
        retry = (1.0 - lease.tokens) * 1000.0 / rate
        return Refusal(Reason.TOO_MANY, f"more than {rate:g} requests a second", retry)

    def _set_destinations(self, lease: Lease, wanted: set[int]) -> None:
        current = set(lease.destinations)
        for destination in current - wanted:
            self._remove_subscriber(destination, lease)
        for destination in wanted - current:
            self._add_subscriber(destination, lease)
        self.subscriptions += len(wanted) - len(current)
        lease.destinations = array("I", sorted(wanted))

    def _subscribers_of(self, destination: int) -> Iterator[Lease]:
        subscribers = self._subscribers.get(destination)
        if isinstance(subscribers, Lease):
            yield subscribers
        elif subscribers:
            yield from subscribers

    def _add_subscriber(self, destination: int, lease: Lease) -> None:
        subscribers = self._subscribers.get(destination)
        if subscribers is None:
            self._subscribers[destination] = lease
        elif isinstance(subscribers, Lease):
            self._subscribers[destination] = {subscribers, lease}
        else:
            subscribers.add(lease)

    def _remove_subscriber(self, destination: int, lease: Lease) -> None:
        subscribers = self._subscribers[destination]
        if subscribers is lease:
            del self._subscribers[destination]
            return
        subscribers.discard(lease)
        if len(subscribers) == 1:
            self._subscribers[destination] = subscribers.pop()

    def _full_update(self, lease: Lease) -> LeaseUpdate:
        """The whole set; all earlier versions become invalid."""
        lease.acknowledged_version = None
        lease.changed = lease.in_flight = NO_DESTINATIONS
        return self._update_with_new_version(lease, True, lease.destinations)

    def _pending_update(self, lease: Lease) -> LeaseUpdate:
        if not lease.changed:
            return self._empty_update(lease)
        changed, lease.changed = lease.changed, NO_DESTINATIONS
        lease.in_flight = lease.in_flight | changed
        return self._update_with_new_version(lease, False, sorted(lease.in_flight))

    def _update_with_new_version(self, lease: Lease, full: bool, destinations: Iterable[int]) -> LeaseUpdate:
        self.version += 1
        lease.sent_version = self.version
        return LeaseUpdate(lease.name, lease.sequence, self.version, full, tuple(destinations))

    def _empty_update(self, lease: Lease) -> LeaseUpdate:
        """An update without destinations, under the version that the courier has."""
        version = lease.sent_version if lease.acknowledged_version is None else lease.acknowledged_version
        return LeaseUpdate(lease.name, lease.sequence, version, False, ())

    def _check_fleet(self, request: SubscribeRequest) -> Refusal | None:
        if request.fleet == self.fleet:
            return None
        return Refusal(Reason.OTHER_FLEET, f"this node serves the fleet {self.fleet}")

    def _check_new_lease(self, request: SubscribeRequest) -> Refusal | None:
        if request.sequence == 0 and not request.unsubscribe:
            return None
        return Refusal(
            Reason.UNREADABLE, "subscription.sequence: a new lease begins with 0 and its whole set"
        )

    def _too_large(self, wanted: int) -> Refusal:
        return Refusal(
            Reason.TOO_LARGE, f"{wanted} destinations, {self.bounds.destinations} at most in one lease"
        )

    def _at_capacity(self, now: float) -> Refusal:
        first = next(iter(self._leases.values()))
        retry = max(MIN_CAPACITY_RETRY_MS, first.expires_at - now)
        return Refusal(Reason.TOO_MANY, f"{self.bounds.leases} leases, as many as this node grants", retry)

    def _unknown_lease(self, name: str) -> Refusal:
        if name.startswith(self.prefix):
            return Refusal(Reason.LEASE_OVER, "the lease is over: subscribe anew")
        return Refusal(
            Reason.LEASE_OVER, f"no lease of this run of the node {self.node[:40]}: subscribe anew"
        )
