"""Hollow couriers: the control side of a courier over loopback sockets, without a data path, many in one
process.

Each runs the real `Subscriber` on one loop that all share. The process is asked over a pipe; its times are
those of the machine's monotonic clock in milliseconds, so that other processes can compare them with their
own.
"""

import math
import multiprocessing
import os
import random
import resource
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from multiprocessing.connection import Connection

from loguru import logger

from calicopin.facade import Place
from calicopin.scale.change_feed import ident_of, revision_of
from calicopin.system import HERE
from calicopin.wire.loop import FOREVER, READ, Loop, Until
from calicopin.wire.subscriber import Subscriber

MEDIAN_SET_SIZE = 60  # destinations of one courier; with the spread below some 90 on average
SET_SIZE_SIGMA = 0.9  # sigma of the set's size, log-normal
MAX_SET_SIZE = 2000
POPULARITY_EXPONENT = (
    3.0  # exponent of the skew: few destinations are used by many couriers, most by one or none
)
MAX_LONG_POLL_MS = 2000.0  # ms that a request waits at the node
LEFT = -1  # in place of a revision: the endpoint is not known any more
SPARE_DESCRIPTORS = 64  # beside the connections
ANSWER_TIMEOUT_S = 120.0  # seconds in which the process answers whatever it is asked


class DescriptorsError(ValueError):
    """More couriers than this process may have descriptors; the message is one plain line."""


@dataclass(frozen=True, slots=True)
class CourierPlan:
    """What all couriers of a run have in common; `nodes` are addresses."""

    fleet: str
    nodes: tuple[str, ...]
    destinations: int
    seed: int
    endpoints_per_destination: int = 1


@dataclass(frozen=True, slots=True)
class ReceivedUpdate:
    """A courier heard an endpoint at a revision, or that it has left."""

    at: float
    courier: int
    ident: str
    revision: int


@dataclass(frozen=True, slots=True)
class CourierFigures:
    """One courier since its start; `node` is the address that it asks."""

    courier: int
    started_at: float
    answered_at: float | None
    node: str
    bytes_sent: int
    bytes_received: int
    calls: int
    resyncs: int
    node_changes: int


@dataclass(frozen=True, slots=True)
class ProcessFigures:
    """The process of all couriers."""

    at: float
    cpu_seconds: float
    resident_bytes: int
    lateness_ms: float
    couriers: tuple[CourierFigures, ...]


@dataclass(frozen=True, slots=True)
class KnownEndpoint:
    """An endpoint as a courier knows it."""

    destination: int
    ident: str
    address: str
    ready: bool
    weight: float


@dataclass(frozen=True, slots=True)
class CourierView:
    """What one courier knows: by its subscription, and by what its data path was told."""

    courier: int
    subscribed: frozenset[KnownEndpoint]
    data_path: frozenset[KnownEndpoint]


@dataclass(frozen=True, slots=True)
class StartCouriers:
    """Starts these couriers; the answer is the process' figures just before."""

    couriers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class StopCouriers:
    """Ends these couriers without a word to the node; the answer is the figures just before."""

    couriers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class GetFigures:
    """The answer is `ProcessFigures`."""


@dataclass(frozen=True, slots=True)
class TakeUpdates:
    """The answer is a list of `Heard` since the last time this was asked."""


@dataclass(frozen=True, slots=True)
class GetViews:
    """The answer is a list of `Known`."""


@dataclass(frozen=True, slots=True)
class ShutDown:
    """The process ends without an answer."""


def check_descriptors(couriers: int) -> None:
    """Raises DescriptorsError where so many couriers do not fit into one process' descriptors."""
    allowed, needed = resource.getrlimit(resource.RLIMIT_NOFILE)[0], couriers + SPARE_DESCRIPTORS
    if allowed != resource.RLIM_INFINITY and needed > allowed:
        raise DescriptorsError(
            f"refused: {couriers} couriers take {needed} descriptors, and {allowed} is the process' limit"
        )


def destinations_of(courier: int, plan: CourierPlan) -> tuple[int, ...]:
    """The courier's set, by the seed: skewed in its size and in which destinations are used by many."""
    draw = random.Random(f"set/{plan.seed}/{courier}")
    drawn = round(draw.lognormvariate(math.log(MEDIAN_SET_SIZE), SET_SIZE_SIGMA))
    size = max(1, min(drawn, MAX_SET_SIZE, plan.destinations // 2))
    chosen: dict[int, None] = {}
    while len(chosen) < size:
        chosen[int(plan.destinations * draw.random() ** POPULARITY_EXPONENT)] = None
    return tuple(chosen)


def subscribers_of(couriers: Iterable[int], plan: CourierPlan) -> dict[int, list[int]]:
    """The couriers that hold each destination."""
    subscribers: dict[int, list[int]] = {}
    for courier in couriers:
        for destination in destinations_of(courier, plan):
            subscribers.setdefault(destination, []).append(courier)
    return subscribers


class SimulatedCourier:
    """One courier's control side, with what its data path would have been told."""

    def __init__(self, loop: Loop, number: int, plan: CourierPlan, updates: list[ReceivedUpdate]):
        self.loop, self.number, self.updates = loop, number, updates
        self.destinations = destinations_of(number, plan)
        self.endpoints_per_destination = plan.endpoints_per_destination
        self.data_path: dict[str, Place] = {}
        self.started_at, self.answered_at = loop.now(), None
        self.subscriber = Subscriber(
            loop,
            list(plan.nodes),
            plan.fleet,
            f"courier-{number}",
            MAX_LONG_POLL_MS,
            self.on_update,
            plan.seed + number,
            None,
            in_use=lambda _: True,
            released=lambda _: None,
        )
        for destination in self.destinations:
            self.subscriber.use(destination)

    def on_update(self, places: list[Place], whole: bool) -> None:
        """Takes news as a courier's data path does, and notes the revisions in it."""
        now, first = self.loop.now(), self.answered_at is None
        if first:
            self.answered_at = now
        if whole:
            self.data_path = {}
        for place in places:
            self._apply(place, now)
        if first or whole:
            self._note_absent(now)

    def _apply(self, place: Place, now: float) -> None:
        if place.left:
            self.data_path.pop(place.ident, None)
            self.updates.append(ReceivedUpdate(now, self.number, place.ident, LEFT))
            return
        self.data_path[place.ident] = place
        revision = revision_of(place.agreed)
        if revision:
            self.updates.append(ReceivedUpdate(now, self.number, place.ident, revision))

    def _note_absent(self, now: float) -> None:
        """Of a whole set, what is not in it has left."""
        for destination in self.destinations:
            for number in range(self.endpoints_per_destination):
                ident = ident_of(destination, number)
                if ident not in self.data_path:
                    self.updates.append(ReceivedUpdate(now, self.number, ident, LEFT))

    def known(self) -> CourierView:
        """What it knows now."""
        places = [
            place
            for destination_places in self.subscriber.subscribed().values()
            for place in destination_places
        ]
        return CourierView(self.number, known_endpoints(places), known_endpoints(self.data_path.values()))

    def figures(self) -> CourierFigures:
        """Its counts since the start."""
        counts = self.subscriber.figures()
        return CourierFigures(
            self.number,
            self.started_at,
            self.answered_at,
            self.subscriber.address,
            counts.bytes_sent,
            counts.bytes_received,
            counts.calls,
            counts.resyncs,
            counts.node_changes,
        )


def known_endpoints(places: Iterable[Place]) -> frozenset[KnownEndpoint]:
    """Endpoints as they are compared with the source."""
    return frozenset(
        KnownEndpoint(place.dest, place.ident, place.address, place.ready, place.agreed) for place in places
    )


def resident_bytes() -> int:
    """Of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class SimulatedFleet:
    """All couriers of the process. `courier_class` is another one in tests that show a fault to be found."""

    courier_class = SimulatedCourier

    def __init__(self, loop: Loop, plan: CourierPlan):
        self.loop, self.plan = loop, plan
        self.couriers: dict[int, SimulatedCourier] = {}
        self.updates: list[ReceivedUpdate] = []

    def handle(self, request):
        """What is asked over the pipe."""
        if isinstance(request, StartCouriers):
            return self._start(request.couriers)
        if isinstance(request, StopCouriers):
            return self._stop(request.couriers)
        if isinstance(request, GetFigures):
            return self._figures()
        if isinstance(request, TakeUpdates):
            updates = self.updates[:]
            self.updates.clear()
            return updates
        return [courier.known() for courier in self.couriers.values()]

    def _start(self, numbers: Iterable[int]) -> ProcessFigures:
        before = self._figures()
        for number in numbers:
            self.couriers[number] = self.courier_class(self.loop, number, self.plan, self.updates)
        return before

    def _stop(self, numbers: Iterable[int]) -> ProcessFigures:
        before = self._figures()
        for number in numbers:
            self.couriers.pop(number).subscriber.retire()
        return before

    def _figures(self) -> ProcessFigures:
        couriers = tuple(courier.figures() for courier in self.couriers.values())
        lateness, self.loop.lateness = self.loop.lateness, 0.0
        return ProcessFigures(self.loop.now(), time.process_time(), resident_bytes(), lateness, couriers)


def serve(connection: Connection, plan: CourierPlan, fleet_class: type[SimulatedFleet]) -> None:
    """The process of the couriers, until it is told to end or its parent is gone."""
    logger.remove()
    loop = Loop()
    fleet = fleet_class(loop, plan)
    HERE.settle()

    def serve_requests() -> Iterator[Until]:
        while True:
            yield Until(FOREVER, connection.fileno(), READ)
            try:
                request = connection.recv()
                if isinstance(request, ShutDown):
                    break
                connection.send(fleet.handle(request))
            except (EOFError, OSError):
                break
        loop.running = False

    loop.spawn(serve_requests(), ahead=True)
    loop.run()


class SimulationProcess:
    """The process of hollow couriers, as the one that started it sees it."""

    def __init__(self, plan: CourierPlan, fleet_class: type[SimulatedFleet] = SimulatedFleet):
        context = multiprocessing.get_context("spawn")
        self._connection, child_connection = context.Pipe()
        self._process = context.Process(target=serve, args=(child_connection, plan, fleet_class), daemon=True)
        self._process.start()
        child_connection.close()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        try:
            self._connection.send(ShutDown())
        except OSError:
            pass
        self._process.join(5.0)
        if self._process.is_alive():
            self._process.kill()
            self._process.join()

    def ask(self, request):
        """The answer; TimeoutError where none comes, EOFError where the process has ended."""
        self._connection.send(request)
        if not self._connection.poll(ANSWER_TIMEOUT_S):
            raise TimeoutError(f"the hollow couriers gave no answer to {request!r:.60}")
        return self._connection.recv()

    def start(self, couriers: Iterable[int]) -> ProcessFigures:
        """Starts couriers by their numbers."""
        return self.ask(StartCouriers(tuple(couriers)))

    def stop(self, couriers: Iterable[int]) -> ProcessFigures:
        """Ends couriers by their numbers."""
        return self.ask(StopCouriers(tuple(couriers)))

    def figures(self) -> ProcessFigures:
        """Counts, processor time and memory."""
        return self.ask(GetFigures())

    def updates(self) -> list[ReceivedUpdate]:
        """What was heard since the last call."""
        return self.ask(TakeUpdates())

    def known(self) -> list[CourierView]:
        """What each courier knows now."""
        return self.ask(GetViews())
