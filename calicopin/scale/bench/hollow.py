"""Hollow couriers: the real control side of many couriers on one loop, without a data path.

Each has the program's own `Subscriber` with its session, choice of node and retries. What it would tell the
decisions is kept as what it knows, and each difference is recorded with its time. A process of its own serves
them; the controller sends typed orders through a pipe.
"""

import os
import random
import time
from dataclasses import dataclass
from math import log
from multiprocessing.connection import Connection

from loguru import logger

from calicopin.facade import Place
from calicopin.scale.bench.in_force import Heard, State
from calicopin.scale.list_source import ListSize, initial
from calicopin.scale.measures import resident
from calicopin.system import HERE
from calicopin.wire.loop import FOREVER, READ, Loop, Until
from calicopin.wire.subscriber import Subscriber

SKEW = 0.8  # sigma of the log-normal sizes of sets
MOST_OF_MEAN = 10  # the largest set, in means
POPULAR_SHARE = 0.05  # of a set is drawn from the popular destinations, which many couriers use
POPULAR = 0.001  # part of all destinations that is popular
WAIT = 2000.0  # milliseconds that a request may be parked, as in a courier
SETTLED = 200.0  # milliseconds between two looks at whether all have their first answer


@dataclass(frozen=True, slots=True)
class HollowSettings:
    """Which couriers: they differ by number, and all follows from the seed."""

    nodes: tuple[str, ...]
    fleet: str
    size: ListSize
    list_seed: int
    seed: int
    mean_set: int = 90


def subscription_set(settings: HollowSettings, courier: int) -> list[int]:
    """The destinations that a courier subscribes to: log-normal sizes with the mean asked for."""
    draw = random.Random(f"set/{settings.seed}/{courier}")
    mean, total = settings.mean_set, settings.size.destinations
    size = int(draw.lognormvariate(log(mean) - SKEW * SKEW / 2.0, SKEW) + 0.5)
    size = max(1, min(size, MOST_OF_MEAN * mean, total // 2))
    popular, chosen = max(1, int(total * POPULAR)), {}
    while len(chosen) < size:
        few = draw.random() < POPULAR_SHARE and popular > size
        chosen[draw.randrange(popular if few else total)] = None
    return list(chosen)


def subscribers(settings: HollowSettings, couriers: int) -> dict[int, list[int]]:
    """The couriers by the destination that they subscribe to."""
    found: dict[int, list[int]] = {}
    for courier in range(couriers):
        for destination in subscription_set(settings, courier):
            found.setdefault(destination, []).append(courier)
    return found


def state_of(state: str, weight: float) -> State:
    """What a courier that knows the entry knows of it."""
    return None if state == "left" else (state == "active", float(weight))


class HollowCourier:
    """One courier's control side, with a record of what it hears."""

    def __init__(self, loop: Loop, settings: HollowSettings, number: int, start: int, record: list[Heard]):
        self.loop, self.number, self.record = loop, number, record
        self.destinations = subscription_set(settings, number)
        self.known: dict[str, State] = {}  # as the decisions were told; without those that left
        self.confirmed_whole = 0
        self.shown: dict[str, State] = {}  # what is taken as known in the record
        for destination in self.destinations:
            for one in initial(settings.size, settings.list_seed, destination):
                self.shown[one["id"]] = state_of(one["state"], one["weight"])
        self.subscriber = Subscriber(
            loop,
            list(settings.nodes),
            settings.fleet,
            f"courier-{number}",
            WAIT,
            self.heard,
            settings.seed * 1_000_003 + number * 101 + start,
            None,
            lambda _: True,
            lambda _: None,
        )
        for destination in self.destinations:
            self.subscriber.use(destination)

    def heard(self, places: list[Place], whole: bool) -> None:
        """What the decisions would be told."""
        now, told = self.loop.now(), {}
        for place in places:
            told[place.ident] = None if place.left else (place.ready, place.agreed)
        if whole:
            self.confirmed_whole += 1
            self.known = {}
        for ident, state in told.items():
            if state is None:
                self.known.pop(ident, None)
            else:
                self.known[ident] = state
        for ident in self.shown if whole else told:
            state = self.known.get(ident)
            if self.shown.get(ident) != state:
                self.shown[ident] = state
                self.record.append(Heard(now, self.number, ident, state))

    def has_all(self) -> bool:
        """Whether every destination of its set was answered for."""
        return all(self.subscriber.session.confirmed(destination) for destination in self.destinations)

    def retire(self) -> None:
        """It is gone, without a word to its node."""
        self.subscriber.retire()


# Orders of the controller, and answers.


@dataclass(frozen=True, slots=True)
class Begin:
    """Starts couriers up to that number, and answers with a `Mark` once each has its whole set."""

    couriers: int


@dataclass(frozen=True, slots=True)
class Restart:
    """These couriers end and start anew at once, with nothing known; answers at once."""

    couriers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Take:
    """Answers with a `Mark`; `wait_whole`: once each courier has its whole set."""

    wait_whole: bool = False


@dataclass(frozen=True, slots=True)
class Verify:
    """Compares what each courier knows with the source: the initial list and these changes over it."""

    changes: dict[str, State]


@dataclass(frozen=True, slots=True)
class Report:
    """Answers with all that was heard."""


@dataclass(frozen=True, slots=True)
class Stop:
    """Ends the process."""


@dataclass(frozen=True, slots=True)
class Mark:
    """What the process and its couriers have taken so far. Bytes are those of HTTP with its heads."""

    at: float
    cpu: float
    resident: int
    couriers: int
    calls: int
    resyncs: int
    node_changes: int
    bytes_sent: int
    bytes_received: int
    lateness: float
    at_node: dict[str, int]


@dataclass(frozen=True, slots=True)
class Differences:
    """Endpoints of which a courier knows other than the source has: how many, and the first ones in words."""

    compared: int
    wrong: int
    first: tuple[str, ...]


class HollowCouriers:
    """All couriers of one process."""

    def __init__(self, loop: Loop, settings: HollowSettings):
        self.loop, self.settings = loop, settings
        self.couriers: list[HollowCourier] = []
        self.record: list[Heard] = []
        self.starts = 0
        self.gone = [0, 0, 0, 0, 0]  # figures of couriers that were restarted

    def begin(self, couriers: int) -> None:
        """Starts couriers up to that number."""
        while len(self.couriers) < couriers:
            self.couriers.append(self._start(len(self.couriers)))

    def _start(self, number: int) -> HollowCourier:
        self.starts += 1
        return HollowCourier(self.loop, self.settings, number, self.starts, self.record)

    def restart(self, numbers: tuple[int, ...]) -> None:
        """These end and start anew."""
        for number in numbers:
            old = self.couriers[number]
            old.retire()
            self.gone = [before + more for before, more in zip(self.gone, _figures(old), strict=True)]
            self.couriers[number] = self._start(number)

    def have_all(self) -> bool:
        """Whether each courier has its whole set."""
        return all(courier.has_all() for courier in self.couriers)

    def mark(self) -> Mark:
        """What was taken so far."""
        sums = list(self.gone)
        at_node: dict[str, int] = {}
        for courier in self.couriers:
            sums = [before + more for before, more in zip(sums, _figures(courier), strict=True)]
            node = courier.subscriber.nodes.current or ""
            at_node[node] = at_node.get(node, 0) + 1
        lateness, self.loop.lateness = self.loop.lateness, 0.0
        return Mark(
            self.loop.now(), time.process_time(), resident(), len(self.couriers), *sums, lateness, at_node
        )

    def verify(self, changes: dict[str, State]) -> Differences:
        """What each courier knows against the source."""
        compared, wrong, first = 0, 0, []
        for courier in self.couriers:
            truth: dict[str, State] = {}
            for destination in courier.destinations:
                for one in initial(self.settings.size, self.settings.list_seed, destination):
                    truth[one["id"]] = changes.get(one["id"], state_of(one["state"], one["weight"]))
            compared += len(truth)
            for ident in truth.keys() | courier.known.keys():
                known, told = courier.known.get(ident), truth.get(ident)
                if known != told:
                    wrong += 1
                    first.append(f"courier {courier.number} knows {ident} as {known}, it is {told}")
        return Differences(compared, wrong, tuple(first[:10]))


def _figures(courier: HollowCourier) -> list[int]:
    told = courier.subscriber.figures()
    return [told.calls, told.resyncs, told.node_changes, told.bytes_sent, told.bytes_received]


def serve(connection: Connection, settings: HollowSettings) -> None:
    """The process of the hollow couriers: orders from the pipe, until `Stop` or the controller's end."""
    logger.remove()
    loop = Loop()
    hollow = HollowCouriers(loop, settings)
    HERE.settle()

    def orders():
        while True:
            yield Until(FOREVER, connection.fileno(), READ)
            try:
                order = connection.recv()
            except EOFError:
                order = Stop()
            if isinstance(order, Stop):
                loop.running = False
                return
            yield from _obey(loop, hollow, order, connection)

    loop.spawn(orders(), ahead=True)
    connection.send(resident())
    loop.run()
    os._exit(0)  # thousands of open connections and coroutines need no orderly end


def _obey(loop: Loop, hollow: HollowCouriers, order, connection: Connection):
    """One order and its answer."""
    if isinstance(order, Begin):
        hollow.begin(order.couriers)
    elif isinstance(order, Restart):
        hollow.restart(order.couriers)
    elif isinstance(order, Verify):
        connection.send(hollow.verify(order.changes))
        return
    elif isinstance(order, Report):
        connection.send(hollow.record)
        return
    if isinstance(order, Begin) or isinstance(order, Take) and order.wait_whole:
        while not hollow.have_all():
            yield Until(loop.now() + SETTLED)
    connection.send(hollow.mark())
