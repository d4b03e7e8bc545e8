"""Generated interleavings in virtual time: once the system is quiet, each courier has the source's state of
its set.

Couriers (session, choice of node, interest set) talk to nodes without sockets: to a small model, and to the
real lease table. Requests and answers get lost, nodes stop answering, stop and restart, leases expire, and
destinations and endpoints are added and removed. Each property is shown to fail on a variant that breaks one
rule of the exchange. The generated examples are the same in each run.
"""

from collections import Counter
from dataclasses import dataclass, field

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from calicopin.facade import Place
from calicopin.subscription.interest import IDLE_JITTER_FRACTION, Interest
from calicopin.subscription.leases import LeaseBounds, LeaseTable, LeaseUpdate, Wait
from calicopin.subscription.messages import Grant, MessageError, Reason, Refusal, SubscribeAnswer
from calicopin.subscription.nodes import NodeChoice
from calicopin.subscription.session import DestinationState as Standing
from calicopin.subscription.session import Session
from calicopin.wire.poll_schedule import TOLD
from calicopin.wire.subscriber import AGAIN, MAX_WAIT_MS, PARKED_GRACE_MS, PROMPT_TIMEOUT_MS

FLEET, ADDRESSES, COURIERS, DESTINATIONS = "fleet", ("a", "b"), 2, 4
LEASE_MS, IDLE = 30000.0, 5000.0
ENDPOINTS = 2  # of each destination at most
MAX_REQUESTS = 400  # requests of one courier in a quiet period, far more than it needs
FATES = ["answered"] * 3 + ["request lost", "answer lost", "cut off unheard", "cut off"]


class Source:
    """The operators' list: whether an endpoint may be called, by destination and endpoint."""

    def __init__(self):
        self.destinations = {number: {f"e-{number}-0": True} for number in range(DESTINATIONS - 1)}

    def places(self, destination):
        told = self.destinations.get(destination, {})
        return [
            Place(ident, "127.0.0.1:9", destination, "", "a", ready, 0.0) for ident, ready in told.items()
        ]


@dataclass
class ModelLease:
    """One courier's lease, as the design document describes it."""

    courier: str
    wanted: set
    until: float
    sent: int
    sequence: int = 0
    acknowledged: int | None = None
    told: set = field(default_factory=set)  # sent under version `sent`
    changed: set = field(default_factory=set)


class ModelNode:
    """A discovery node that answers each request at once; a small model of docs/subscriptions-design.md."""

    def __init__(self, name, run, source):
        self.name, self.run, self.source, self.leases, self.version = name, run, source, {}, 0

    def change(self, destinations):
        for lease in self.leases.values():
            lease.changed |= lease.wanted.intersection(destinations)

    def request(self, now, request, index):
        self.leases = {name: lease for name, lease in self.leases.items() if lease.until > now}
        if request.lease is None:
            return self.open(now, request)
        lease = self.leases.get(request.lease)
        if lease is None or request.sequence - lease.sequence not in (0, 1):
            return Refusal(Reason.LEASE_OVER, "over")
        lease.until = now + LEASE_MS
        if request.sequence == lease.sequence + 1:
            lease.sequence += 1
            lease.wanted = lease.wanted - set(request.unsubscribe) | set(request.subscribe)
            lease.told, lease.changed = lease.told & lease.wanted, lease.changed & lease.wanted
            lease.changed |= set(request.subscribe)
        return self.renew(request.lease, lease, index)

    def open(self, now, request):
        self.leases = {name: lease for name, lease in self.leases.items() if lease.courier != request.courier}
        self.version += 1
        name = f"{self.name}-{self.run}-{self.version}"
        lease = ModelLease(request.courier, set(request.subscribe), now + LEASE_MS, self.version)
        self.leases[name] = lease
        return self.answer(name, lease, lease.wanted, True)

    def renew(self, name, lease, index):
        if index is None or index not in (lease.sent, lease.acknowledged):
            self.version += 1
            lease.sent, lease.acknowledged, lease.told, lease.changed = self.version, None, set(), set()
            return self.answer(name, lease, lease.wanted, True)
        if index == lease.sent:
            lease.acknowledged, lease.told = index, set()
        lease.changed, lease.told = set(), lease.told | lease.changed
        if lease.told:
            self.version += 1
            lease.sent = self.version
        return self.answer(name, lease, lease.told, False, lease.sent if lease.told else index)

    def answer(self, name, lease, destinations, full, version=None):
        told = self.version if version is None else version
        return answered(self, name, lease.sequence, told, full, destinations)


class TableNode:
    """A node with the real lease table."""

    def __init__(self, name, run, source):
        self.name, self.source = name, source
        bounds = LeaseBounds(lease_ms=LEASE_MS, requests_per_second=1000.0, burst=1000.0)
        self.table = LeaseTable(FLEET, name, str(run), bounds)

    def change(self, destinations):
        self.table.change(destinations)

    def request(self, now, request, index):
        told = self.table.request(now, request, index)
        if isinstance(told, Wait):
            told = self.table.answer_waiting(told.lease)
        if not isinstance(told, LeaseUpdate):
            return told
        return answered(self, told.lease, told.sequence, told.version, told.full, told.destinations)


def answered(node, lease, sequence, version, full, destinations):
    """An answer with the source's state of the destinations."""
    there = tuple(sorted(number for number in destinations if number in node.source.destinations))
    gone = tuple(sorted(set(destinations).difference(there)))
    grant = Grant(FLEET, node.name, lease, sequence, LEASE_MS, there, gone)
    return SubscribeAnswer(full, version, (), grant)


@dataclass(frozen=True)
class Parts:
    """The classes that a courier consists of."""

    session: type = Session
    nodes: type = NodeChoice
    interest: type = Interest


class Courier:
    """A session driven as by `wire.subscriber`, and the list as seen by the rest of the courier."""

    def __init__(self, number, parts):
        name = f"c-{number}"
        self.session = parts.session(FLEET, name)
        self.nodes = parts.nodes(name, list(ADDRESSES), number, 0.0)
        self.held, self.used, self.view, self.due = set(), {}, {}, 0.0
        self.interest = parts.interest(number, self.held.__contains__, IDLE)

    def use(self, destination, now):
        if self.interest.use(destination, now).is_new:
            self.session.subscribe(destination)
        self.used[destination] = now

    def begin(self, now):
        """Builds the next request."""
        for destination in self.interest.sweep(now):
            self.session.unsubscribe(destination)
        ask = self.session.next(self.nodes.selected)
        self.release(ask.released)
        return ask

    def release(self, destinations):
        self.view = {ident: place for ident, place in self.view.items() if place.dest not in destinations}

    def take(self, answer, source, now):
        """Processes an answer or a refusal."""
        if isinstance(answer, Refusal):
            if not self.session.refused(answer):
                self.nodes.refused(now, answer.retry_ms)
            return
        places = [place for destination in answer.grant.complete for place in source.places(destination)]
        try:
            news = self.session.answered(answer, places)
        except MessageError as fault:
            raise AssertionError(f"a valid answer was refused: {fault}") from fault
        self.nodes.answered(now)
        if news.whole:
            self.view = {}
        for place in news.places:
            self.view[place.ident] = place
            if place.left:
                del self.view[place.ident]
        self.release(news.released)


class Exchange(RuleBasedStateMachine):
    """Couriers, nodes and a source; `parts` are the courier's classes, `node` the class of the nodes."""

    parts, node = Parts(), ModelNode

    def __init__(self):
        super().__init__()
        self.now, self.source, self.runs = 0.0, Source(), Counter()
        self.nodes = {address: self.node(address, 0, self.source) for address in ADDRESSES}
        self.down, self.silent = (
            set(),
            None,
        )  # addresses that refuse connections, and the one that accepts and never answers
        self.couriers = [Courier(number, self.parts) for number in range(COURIERS)]

    # Events.

    @rule(number=st.integers(0, COURIERS - 1), destination=st.integers(0, DESTINATIONS - 1))
    def use(self, number, destination):
        self.couriers[number].use(destination, self.now)

    @rule(
        number=st.integers(0, COURIERS - 1), destination=st.integers(0, DESTINATIONS - 1), held=st.booleans()
    )
    def hold(self, number, destination, held):
        """A message waits for the destination, or no longer does."""
        courier = self.couriers[number]
        if held:
            courier.use(destination, self.now)
            courier.held.add(destination)
        else:
            courier.held.discard(destination)

    @rule(number=st.integers(0, COURIERS - 1), fate=st.sampled_from(FATES))
    def request(self, number, fate):
        """One request of a courier."""
        self.trip(self.couriers[number], fate)

    @rule(
        number=st.integers(0, COURIERS - 1),
        destination=st.integers(0, DESTINATIONS - 1),
        fate=st.sampled_from(FATES),
    )
    def use_and_request(self, number, destination, fate):
        """A use and the request that it causes."""
        self.use(number, destination)
        self.trip(self.couriers[number], fate)

    @rule(
        number=st.integers(0, COURIERS - 1),
        fate=st.sampled_from(FATES),
        again=st.lists(st.integers(0, DESTINATIONS - 1), max_size=2),
    )
    def idle_and_request(self, number, fate, again):
        """Idle destinations are unsubscribed with the next request; some are used again at once."""
        self.now += IDLE * (1.0 + IDLE_JITTER_FRACTION)
        self.trip(self.couriers[number], fate)
        for destination in again:
            self.use(number, destination)

    @rule(
        destination=st.integers(0, DESTINATIONS - 1),
        endpoint=st.integers(0, ENDPOINTS - 1),
        state=st.sampled_from(["active", "leaving", "left"]),
    )
    def change(self, destination, endpoint, state):
        """Changes an endpoint; a destination without endpoints does not exist."""
        endpoints, ident = self.source.destinations.setdefault(destination, {}), f"e-{destination}-{endpoint}"
        if state == "left":
            endpoints.pop(ident, None)
        else:
            endpoints[ident] = state == "active"
        if not endpoints:
            del self.source.destinations[destination]
        for node in self.nodes.values():
            node.change({destination})

    @rule(
        number=st.integers(0, COURIERS - 1),
        choice=st.integers(0, DESTINATIONS * ENDPOINTS - 1),
        state=st.sampled_from(["leaving", "left"]),
    )
    def change_known(self, number, choice, state):
        """An endpoint known to the courier leaves, with or without an announcement."""
        known = sorted(self.couriers[number].view)
        if known:
            _, destination, endpoint = known[choice % len(known)].split("-")
            self.change(int(destination), int(endpoint), state)

    @rule(address=st.sampled_from(ADDRESSES), back=st.booleans())
    def end_node(self, address, back):
        """Stops a node, which loses its leases, or restarts it at once."""
        self.runs[address] += 1
        self.nodes[address] = self.node(address, self.runs[address], self.source)
        (self.down.discard if back else self.down.add)(address)

    @rule(address=st.sampled_from([*ADDRESSES, None]))
    def silence(self, address):
        """One node accepts connections and never answers; all others answer."""
        self.silent = address

    @rule(milliseconds=st.sampled_from([50.0, 2000.0, 31000.0]))
    def wait(self, milliseconds):
        """Time passes without requests; leases may expire."""
        self.now += milliseconds

    @rule()
    def quiet(self):
        """If a node is reachable, each courier is up to date within the time allowed."""
        if self.down.union([self.silent]).issuperset(ADDRESSES):
            return
        until = self.now + TOLD
        for courier in self.couriers:
            self.tell_within(courier, until)
            self.compare(courier)
        self.now = until

    def teardown(self):
        self.down, self.silent = set(), None
        self.quiet()

    # Helpers.

    def tell_within(self, courier, until):
        """Runs the requests of one courier until then; the clock of the others does not advance."""
        began = self.now
        for _ in range(MAX_REQUESTS):
            if self.now >= until or courier.nodes.next_request(self.now).at >= until:
                break
            self.trip(courier, "answered")
        self.now = began

    def trip(self, courier, fate):
        """Runs one request at its scheduled time, with the given outcome."""
        self.now = courier.nodes.next_request(self.now).at
        prompt_until = self.now + AGAIN
        ask = courier.begin(self.now)
        node = ask.node
        if node in self.down or fate == "request lost":
            courier.nodes.failed(self.now)
        elif fate == "cut off unheard":
            return  # the courier closed the connection for a new subscription before the request was read
        elif node == self.silent:
            self.now += PROMPT_TIMEOUT_MS if ask.answered_immediately else MAX_WAIT_MS + PARKED_GRACE_MS
            courier.nodes.failed(self.now)
        else:
            self.reach(courier, ask, fate)
            self.now = max(self.now, prompt_until)

    def reach(self, courier, ask, fate):
        answer = self.nodes[ask.node].request(self.now, ask.request, ask.index)
        if fate == "answered":
            if isinstance(answer, SubscribeAnswer) and not (
                ask.answered_immediately or answer.grant.complete + answer.grant.unknown
            ):
                self.now += MAX_WAIT_MS
            courier.take(answer, self.source, self.now)
        elif fate == "answer lost":
            courier.nodes.failed(self.now)

    # Properties.

    def compare(self, courier):
        """The courier has the source's state of its set: no endpoint that left or leaves is callable."""
        wanted = {number for number in range(DESTINATIONS) if courier.session.is_subscribed(number)}
        for destination in wanted:
            exists = destination in self.source.destinations
            expected = Standing.KNOWN if exists else Standing.UNKNOWN
            assert courier.session.destination_state(destination) is expected, (
                "a destination has the wrong state"
            )
        expected = {place for number in wanted for place in map(plain, self.source.places(number))}
        had = {plain(place) for place in courier.view.values()}
        assert not {ready for ready in had - expected if ready[2]}, (
            "an endpoint may still be called after it left"
        )
        assert had == expected, "the list differs from the source"
        known = {plain(place) for places in courier.session.known_endpoints().values() for place in places}
        assert known == expected, "the session differs from the source"

    @invariant()
    def sets_are_kept(self):
        """Destinations that are used or held are subscribed, and session and interest set agree."""
        for courier in self.couriers:
            for destination in range(DESTINATIONS):
                wants = courier.session.is_subscribed(destination)
                assert wants == (destination in courier.interest)
                idle = self.now - courier.used.get(destination, -1e9)
                needed = destination in courier.held or idle < IDLE
                assert wants or not needed, "a destination that is needed was unsubscribed"


def plain(place):
    return place.dest, place.ident, place.ready


STEADY = dict(
    derandomize=True,
    database=None,
    deadline=None,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
    print_blob=False,
)


@pytest.mark.parametrize("node", [ModelNode, TableNode])
def test_once_all_is_quiet_a_courier_knows_exactly_what_the_source_has_of_its_set(node):
    sound = type(f"Sound{node.__name__}", (Exchange,), {"node": node})
    run_state_machine_as_test(sound, settings=settings(max_examples=250, **STEADY))


# Variants that each break one rule: the properties must fail.


class DropsWhatWasNotAnswered(Session):
    """Takes a change for applied once it was sent."""

    def next(self, node):
        if self._lease and self._lease.address == node:
            self._lease.pending_change = None
        return super().next(node)


class IgnoresLeaseOver(Session):
    """Goes on under a lease that is over."""

    def refused(self, refusal):
        return True


class ForgetsResync(Session):
    """Begins a new lease with the destinations not known yet only."""

    def next(self, node):
        known, self._wanted_before = dict(self._known), self._wanted
        if self._lease is None or self._lease.address != node:
            self._wanted = {number: None for number in self._wanted if number not in known}
        ask = super().next(node)
        self._wanted = self._wanted_before
        return ask

    def _start_lease(self, grant, version):
        released = super()._start_lease(grant, version)
        self._lease.to_subscribe = {
            number: None for number in self._lease.to_subscribe if number not in self._known
        }
        return released


class IgnoresSequence(Session):
    """Sends each change under the sequence of the last one and believes any answer."""

    def _collect_changes(self, lease):
        released = super()._collect_changes(lease)
        if lease.pending_change:
            lease.pending_change = type(lease.pending_change)(
                lease.sequence, lease.pending_change.subscribe, lease.pending_change.unsubscribe
            )
        return released

    def _check(self, answer, places):
        """Anything goes."""


class KeepsWhatHasLeft(Session):
    """Tells of no endpoint that it has left."""

    def answered(self, answer, places):
        news = super().answered(answer, places)
        return type(news)(news.whole, [place for place in news.places if not place.left], *_rest(news))


class TakesLeavingForActive(Session):
    """Passes an announced leave over."""

    def answered(self, answer, places):
        news = super().answered(answer, places)
        ready = [Place(*_fields(place, ready=not place.left)) for place in news.places]
        return type(news)(news.whole, ready, *_rest(news))


class ForgetsSecondSubscription(Session):
    """Does not ask again for what was given up with the request that is out."""

    def subscribe(self, destination):
        super().subscribe(destination)
        if (
            self._lease
            and self._lease.pending_change
            and destination in self._lease.pending_change.unsubscribe
        ):
            self._lease.to_subscribe.pop(destination, None)


class KeepsWhatWasGivenUp(Session):
    """Does not say which destinations it gave up."""

    def _forget(self, given_up):
        super()._forget(given_up)
        return ()


class ForgetsUnknown(Session):
    """Takes a destination that does not exist for one that was not answered."""

    def _learn(self, answer, places, released):
        news = super()._learn(answer, places, released)
        self._unknown.clear()
        return news


class NeverLeavesItsNode(NodeChoice):
    """Asks one node for ever."""

    def failed(self, now):
        self._at = now + AGAIN


class PausesTooLong(NodeChoice):
    """Waits a minute behind a round."""

    def _end_round(self, now):
        super()._end_round(now)
        self._at = now + 60000.0


class GivesUpWhatIsHeld(Interest):
    """Never asks whether something is held."""

    def __init__(self, seed, in_use, idle):
        super().__init__(seed, lambda destination: False, idle)


def _rest(news):
    return news.confirmed, news.unknown, news.released


def _fields(place, ready):
    return place.ident, place.address, place.dest, place.kind, place.zone, ready, place.agreed, place.left


STALE = (
    "has the wrong state|called after it left|list differs from the source|session differs from the source"
)
UNSUBSCRIBED, REFUSED_ANSWER = "needed was unsubscribed", "valid answer was refused"
BROKEN = {
    DropsWhatWasNotAnswered: f"{REFUSED_ANSWER}|{STALE}",
    IgnoresLeaseOver: STALE,
    ForgetsResync: STALE,
    IgnoresSequence: STALE,
    KeepsWhatHasLeft: "called after it left",
    TakesLeavingForActive: "called after it left",
    ForgetsSecondSubscription: STALE,
    KeepsWhatWasGivenUp: STALE,
    ForgetsUnknown: "has the wrong state",
    NeverLeavesItsNode: STALE,
    PausesTooLong: STALE,
    GivesUpWhatIsHeld: UNSUBSCRIBED,
}


def parts_with(variant):
    """A courier's classes, one of them replaced by the variant."""
    names = {Session: "session", NodeChoice: "nodes", Interest: "interest"}
    return Parts(**{names[variant.__base__]: variant})


@pytest.mark.parametrize("variant, fault", BROKEN.items(), ids=[variant.__name__ for variant in BROKEN])
def test_a_broken_variant_is_noticed(variant, fault):
    broken = type(variant.__name__, (Exchange,), {"parts": parts_with(variant)})
    found = settings(max_examples=400, phases=[Phase.generate], report_multiple_bugs=False, **STEADY)
    with pytest.raises(AssertionError, match=fault):
        run_state_machine_as_test(broken, settings=found)
