"""A courier's side of the subscription exchange as a state machine, without I/O and without a clock.

It builds requests and processes answers; at most one request is outstanding. Knowledge about a destination is
kept across nodes and leases until an answer replaces it or the destination is unsubscribed.
docs/subscriptions-design.md describes the exchange.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from calicopin.facade import Place
from calicopin.subscription.messages import (
    Grant,
    MessageError,
    Reason,
    Refusal,
    SubscribeAnswer,
    SubscribeRequest,
)

# maximum share of the lease time that a request waits at the node, so that the lease cannot expire meanwhile
MAX_WAIT_LEASE_FRACTION = 1.0 / 3.0


class DestinationState(Enum):
    """What is known about a destination."""

    KNOWN = "known"  # a node confirmed that it exists
    UNKNOWN = "unknown"  # a node answered that it does not exist
    WAITING = "waiting"  # no answer yet


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """The next request; `index` is the version in its query (None: omitted). `answered_immediately`: the
    node answers it without waiting. `released` are the unsubscribed destinations that were forgotten with
    it."""

    node: str
    request: SubscribeRequest
    index: int | None
    answered_immediately: bool
    released: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class AnswerContent:
    """The content of an answer. If `whole`, `places` is everything that the session knows of its set and is
    never empty. Otherwise it has all endpoints of the destinations in `confirmed` and, marked `left`, those
    that have left. Destinations in `unknown` do not exist."""

    whole: bool
    places: list[Place]
    confirmed: tuple[int, ...] = ()
    unknown: tuple[int, ...] = ()
    released: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class _Change:
    """A change of the set under a lease as it was sent; repeated unchanged until it is answered."""

    sequence: int
    subscribe: tuple[int, ...]
    unsubscribe: tuple[int, ...]


@dataclass(slots=True)
class _Lease:
    """The courier's view of a lease at one node."""

    address: str  # address of the node
    node: str  # the name that the node gives itself
    name: str
    lease_ms: float
    version: int
    node_destinations: set[int]  # the set at the node once `pending_change` is answered
    sequence: int = 0
    pending_change: _Change | None = None  # not answered yet
    to_subscribe: dict[int, None] = field(default_factory=dict)  # wanted, not in `node_destinations`
    to_unsubscribe: dict[int, None] = field(default_factory=dict)  # in `node_destinations`, no longer wanted


class Session:
    """`restored`: destinations of a snapshot with their endpoints; they are subscribed from the start."""

    def __init__(self, fleet: str, courier: str, restored: Mapping[int, Iterable[Place]] | None = None):
        self.fleet, self.courier = fleet, courier
        self.resyncs = 0  # full answers under a continued lease
        self._wanted: dict[int, None] = {}
        # no longer wanted; knowledge about them is dropped with the next request
        self._unsubscribed: dict[int, None] = {}
        self._known: dict[int, dict[str, Place]] = {}  # by destination and endpoint
        self._unknown: set[int] = set()  # destinations that do not exist
        self._owner: dict[str, int] = {}  # the destination of each known endpoint
        self._confirmed: set[int] = set()  # by an answer, not only from a snapshot
        self._lease: _Lease | None = None
        self._outstanding: OutgoingRequest | None = None  # the request sent last
        for destination, places in (restored or {}).items():
            self._wanted[destination] = None
            if known := {place.ident: place for place in places}:
                self._known[destination] = known
                self._owner.update(dict.fromkeys(known, destination))

    # Subscribed destinations.

    def subscribe(self, destination: int) -> None:
        """Adds the destination to the set."""
        self._wanted[destination] = None
        self._unsubscribed.pop(destination, None)
        if lease := self._lease:
            lease.to_unsubscribe.pop(destination, None)
            if destination not in lease.node_destinations:
                lease.to_subscribe[destination] = None

    def unsubscribe(self, destination: int) -> None:
        """Removes the destination from the set; what is known of it is kept until the next request."""
        if destination not in self._wanted:
            return
        del self._wanted[destination]
        self._unsubscribed[destination] = None
        if lease := self._lease:
            lease.to_subscribe.pop(destination, None)
            if destination in lease.node_destinations:
                lease.to_unsubscribe[destination] = None

    def is_subscribed(self, destination: int) -> bool:
        """Whether the destination is in the set."""
        return destination in self._wanted

    def destination_state(self, destination: int) -> DestinationState:
        """What is known about the destination; one known only from a snapshot counts as KNOWN."""
        if destination in self._known:
            return DestinationState.KNOWN
        return DestinationState.UNKNOWN if destination in self._unknown else DestinationState.WAITING

    def confirmed(self, destination: int) -> bool:
        """Whether an answer has covered the destination since it was subscribed."""
        return destination in self._confirmed

    def known_endpoints(self) -> dict[int, list[Place]]:
        """The endpoints of each subscribed destination that has any."""
        return {
            destination: list(places.values())
            for destination, places in self._known.items()
            if places and destination in self._wanted
        }

    @property
    def version(self) -> int | None:
        """The version of the last answer under the lease; None without a lease."""
        return self._lease.version if self._lease else None

    @property
    def has_unsent_subscriptions(self) -> bool:
        """Whether a destination was added that no request has included yet."""
        return bool(self._lease and self._lease.to_subscribe)

    # The exchange.

    def longest_wait(self, node: str, wait_ms: float) -> float:
        """How long (ms) the next request may wait at the node."""
        lease = self._lease
        return (
            min(wait_ms, MAX_WAIT_LEASE_FRACTION * lease.lease_ms) if lease and lease.address == node else 0.0
        )

    def next(self, node: str) -> OutgoingRequest:
        """The next request to the node, under the lease held there, or for a new lease."""
        lease = self._lease
        if lease is None or lease.address != node:
            request = SubscribeRequest(self.fleet, self.courier, subscribe=tuple(self._wanted))
            self._outstanding = OutgoingRequest(node, request, None, answered_immediately=True)
            return self._outstanding
        released = ()
        if lease.pending_change is None:
            released = self._collect_changes(lease)
        change = lease.pending_change or _Change(lease.sequence, (), ())
        request = SubscribeRequest(
            self.fleet, self.courier, lease.name, change.sequence, change.subscribe, change.unsubscribe
        )
        self._outstanding = OutgoingRequest(
            node, request, lease.version, lease.pending_change is not None, released
        )
        return self._outstanding

    def _collect_changes(self, lease: _Lease) -> tuple[int, ...]:
        """Moves the changes of the set into the next request and forgets unsubscribed destinations."""
        if lease.to_subscribe or lease.to_unsubscribe:
            lease.pending_change = _Change(
                lease.sequence + 1, tuple(lease.to_subscribe), tuple(lease.to_unsubscribe)
            )
            lease.node_destinations.update(lease.to_subscribe)
            lease.node_destinations.difference_update(lease.to_unsubscribe)
            lease.to_subscribe, lease.to_unsubscribe = {}, {}
        return self._forget(tuple(self._unsubscribed))

    def _forget(self, destinations: tuple[int, ...]) -> tuple[int, ...]:
        for destination in destinations:
            del self._unsubscribed[destination]
            self._confirmed.discard(destination)
            self._unknown.discard(destination)
            self._remove_owner(destination, self._known.pop(destination, {}))
        return destinations

    def _remove_owner(self, destination: int, places: Iterable[str]) -> None:
        """Removes the endpoints' assignment to the destination, unless they moved to another one already."""
        for ident in places:
            if self._owner.get(ident) == destination:
                del self._owner[ident]

    def answered(self, answer: SubscribeAnswer, places: list[Place]) -> AnswerContent:
        """Processes the answer to the last request; `places` are its decoded entries. Raises MessageError if
        the answer is inconsistent; the lease is then dropped and the known state kept."""
        try:
            self._check(answer, places)
        except MessageError:
            self.drop_lease()
            raise
        grant, lease = answer.grant, self._lease
        if self._outstanding.request.lease is None:
            released = self._start_lease(grant, answer.version)
        else:
            released = ()
            self._acknowledge(lease)
            lease.version, lease.lease_ms = answer.version, grant.lease_ms
            self.resyncs += answer.full
        return self._learn(answer, places, released)

    def _start_lease(self, grant: Grant, version: int) -> tuple[int, ...]:
        """Records a new lease; changes since its request go with the next request."""
        node_destinations = set(self._outstanding.request.subscribe)
        self._lease = _Lease(
            self._outstanding.node, grant.node, grant.lease, grant.lease_ms, version, node_destinations
        )
        self._lease.to_subscribe = {
            wanted: None for wanted in self._wanted if wanted not in node_destinations
        }
        self._lease.to_unsubscribe = {
            destination: None for destination in self._unsubscribed if destination in node_destinations
        }
        return self._forget(
            tuple(destination for destination in self._unsubscribed if destination not in node_destinations)
        )

    @staticmethod
    def _acknowledge(lease: _Lease) -> None:
        """The node has applied the pending change."""
        if lease.pending_change:
            lease.sequence, lease.pending_change = lease.pending_change.sequence, None

    def _learn(
        self, answer: SubscribeAnswer, places: list[Place], released: tuple[int, ...]
    ) -> AnswerContent:
        """Updates the known state; endpoints of a complete destination that the answer lacks have left."""
        node_destinations = self._lease.node_destinations
        complete = tuple(
            destination for destination in answer.grant.complete if destination in node_destinations
        )
        unknown = tuple(
            destination for destination in answer.grant.unknown if destination in node_destinations
        )
        before = self._remove(complete + unknown)
        self._known.update((destination, {}) for destination in complete)
        self._unknown.update(unknown)
        self._confirmed.update(complete, unknown)
        complete_set = set(complete)
        current = [place for place in places if place.dest in complete_set and not place.left]
        for place in current:
            self._add_place(place)
        everything = (
            [place for known in self._known.values() for place in known.values()] if answer.full else ()
        )
        if everything:
            return AnswerContent(True, everything, complete, unknown, released)
        left = [replace(place, ready=False, left=True) for place in before if place.ident not in self._owner]
        return AnswerContent(False, left + current, complete, unknown, released)

    def _remove(self, destinations: tuple[int, ...]) -> list[Place]:
        """Removes the endpoints known of the destinations, and returns them."""
        before = []
        for destination in destinations:
            known = self._known.pop(destination, {})
            self._unknown.discard(destination)
            self._remove_owner(destination, known)
            before += known.values()
        return before

    def _add_place(self, place: Place) -> None:
        """Adds an endpoint; it belongs to one destination only, the last one reported."""
        if (owner := self._owner.get(place.ident)) is not None:
            del self._known[owner][place.ident]
        self._owner[place.ident] = place.dest
        self._known[place.dest][place.ident] = place

    def refused(self, refusal: Refusal) -> bool:
        """Processes a refusal. Returns whether to ask the same node for a new lease at once."""
        renewal = self._outstanding.request.lease is not None
        if renewal and refusal.reason in (Reason.LEASE_OVER, Reason.UNREADABLE, Reason.TOO_LARGE):
            self.drop_lease()
        return renewal and refusal.reason is Reason.LEASE_OVER

    def drop_lease(self) -> None:
        """Drops the lease: the next request asks for a new one. The known state is kept."""
        if self._lease is not None and self._lease.address == self._outstanding.node:
            self._lease = None

    # Checks of an answer.

    def _check(self, answer: SubscribeAnswer, places: list[Place]) -> None:
        grant, request, lease = answer.grant, self._outstanding.request, self._lease
        if grant.fleet != self.fleet:
            raise MessageError("subscription.fleet", f"{grant.fleet[:40]!r} is another fleet")
        if grant.sequence != request.sequence:
            raise MessageError(
                "subscription.sequence", f"{grant.sequence} differs from {request.sequence} in the request"
            )
        if request.lease is not None:
            self._check_renewal(answer, lease)
            self._check_not_repeated(answer, request, lease)
        elif not answer.full:
            raise MessageError("full", "is false in the first answer of a lease")
        self._check_destinations(answer)
        self._check_entries(grant, places)

    @staticmethod
    def _check_renewal(answer: SubscribeAnswer, lease: _Lease) -> None:
        if answer.grant.node != lease.node:
            raise MessageError("subscription.node", f"{answer.grant.node[:40]!r} is not the node asked")
        if answer.grant.lease != lease.name:
            raise MessageError("subscription.lease", f"{answer.grant.lease[:40]!r} is another lease")
        if answer.version < lease.version:
            raise MessageError(
                "version", f"{answer.version} is lower than {lease.version} in the last answer"
            )

    @staticmethod
    def _check_not_repeated(answer: SubscribeAnswer, request: SubscribeRequest, lease: _Lease) -> None:
        """An answer with changes is newer than the last one, unless the request changed the subscription."""
        changed = request.subscribe or request.unsubscribe
        if answer.version == lease.version and answer.servers and not (answer.full or changed):
            raise MessageError("version", f"{answer.version} came before, with changes")

    def _check_destinations(self, answer: SubscribeAnswer) -> None:
        """Each destination is listed once, and the required ones are present: the whole set in a full answer,
        otherwise those just subscribed."""
        grant, request = answer.grant, self._outstanding.request
        listed = set(grant.complete).union(grant.unknown)
        if len(listed) < len(grant.complete) + len(grant.unknown):
            raise MessageError("subscription.complete", "lists a destination twice")
        resync = answer.full and request.lease is not None
        required = set(self._lease.node_destinations if resync else request.subscribe)
        if missing := required.difference(listed):
            raise MessageError("subscription.complete", f"lacks destination {min(missing)}")

    @staticmethod
    def _check_entries(grant: Grant, places: list[Place]) -> None:
        """Each endpoint is listed once and belongs to a complete destination."""
        complete, seen = set(grant.complete), set()
        for position, place in enumerate(places):
            if place.dest not in complete:
                raise MessageError(f"servers[{position}].cell", f"{place.dest} is not listed as complete")
            if place.ident in seen:
                raise MessageError(f"servers[{position}].id", f"{place.ident[:40]!r} is listed twice")
            seen.add(place.ident)
