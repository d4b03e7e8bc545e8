"""Simulated couriers: many courier control sides in one process, over loopback sockets, without a data path.

Each runs the real `Subscriber`; all share one event loop. Requests to the process go over a pipe. Times are
milliseconds of the monotonic clock, which other processes of the machine can compare with their own.
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
from calicopin.system import REAL_SYSTEM
from calicopin.wire.loop import FOREVER, READ, Loop, Until
from calicopin.wire.subscriber import Subscriber

MEDIAN_SET_SIZE = 60  # destinations of one courier; the mean is about 90
SET_SIZE_SIGMA = 0.9  # of the log-normal set size
MAX_SET_SIZE = 2000
POPULARITY_EXPONENT = 3.0  # skew: few destinations are used by many couriers, most by one or none
MAX_LONG_POLL_MS = 2000.0  # that the node holds a request
LEFT = -1  # in place of a revision: the endpoint was removed
SPARE_DESCRIPTORS = 64  # in addition to one connection per courier
ANSWER_TIMEOUT_S = 120.0  # for a request to the simulation process


class DescriptorsError(ValueError):
    """The couriers need more descriptors than the process may open; the message is a single line."""


@dataclass(frozen=True, slots=True)
class CourierPlan:
    """Parameters shared by all couriers of a run; `nodes` are addresses."""

    fleet: str
    nodes: tuple[str, ...]
    destinations: int
    seed: int
    endpoints_per_destination: int = 1


@dataclass(frozen=True, slots=True)
class ReceivedUpdate:
    """A courier received an endpoint at a revision, or its removal (`LEFT`), at the time `at` (ms)."""

    at: float
    courier: int
    ident: str
    revision: int


@dataclass(frozen=True, slots=True)
class CourierFigures:
    """Counters of one courier since its start; `node` is the address that it uses."""

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
    """Figures of the simulation process; `at` and lateness in ms."""

    at: float
    cpu_seconds: float
    resident_bytes: int
    lateness_ms: float
    couriers: tuple[CourierFigures, ...]


@dataclass(frozen=True, slots=True)
class KnownEndpoint:
    """An endpoint as known by a courier."""

    destination: int
    ident: str
    address: str
    ready: bool
    weight: float


@dataclass(frozen=True, slots=True)
class CourierView:
    """The endpoints known by one courier: by its subscription, and as passed to its data path."""

    courier: int
    subscribed: frozenset[KnownEndpoint]
    data_path: frozenset[KnownEndpoint]


@dataclass(frozen=True, slots=True)
class StartCouriers:
    """Request: start these couriers. The response is the `ProcessFigures` from just before."""

    couriers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class StopCouriers:
    """Request: stop these couriers without notifying the node. Same response as `StartCouriers`."""

    couriers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class GetFigures:
    """Request: the response is `ProcessFigures`."""


@dataclass(frozen=True, slots=True)
class TakeUpdates:
    """Request: the response is the list of `ReceivedUpdate` since the previous such request."""


@dataclass(frozen=True, slots=True)
class GetViews:
    """Request: the response is a list of `CourierView`."""


@dataclass(frozen=True, slots=True)
class ShutDown:
    """Request: the process ends without a response."""


def check_descriptors(couriers: int) -> None:
    """Raises DescriptorsError if the couriers would exceed the descriptor limit of one process."""
    allowed, needed = resource.getrlimit(resource.RLIMIT_NOFILE)[0], couriers + SPARE_DESCRIPTORS
    if allowed != resource.RLIM_INFINITY and needed > allowed:
        raise DescriptorsError(
            f"refused: {couriers} couriers need {needed} descriptors, and {allowed} is the process limit"
        )


def destinations_of(courier: int, plan: CourierPlan) -> tuple[int, ...]:
    """The courier's destinations, drawn from the seed; set size and popularity are skewed."""
    draw = random.Random(f"set/{plan.seed}/{courier}")
    drawn = round(draw.lognormvariate(math.log(MEDIAN_SET_SIZE), SET_SIZE_SIGMA))
    size = max(1, min(drawn, MAX_SET_SIZE, plan.destinations // 2))
    chosen: dict[int, None] = {}
    while len(chosen) < size:
        chosen[int(plan.destinations * draw.random() ** POPULARITY_EXPONENT)] = None
    return tuple(chosen)


def subscribers_of(couriers: Iterable[int], plan: CourierPlan) -> dict[int, list[int]]:
    """The couriers that subscribe to each destination."""
    subscribers: dict[int, list[int]] = {}
    for courier in couriers:
        for destination in destinations_of(courier, plan):
            subscribers.setdefault(destination, []).append(courier)
    return subscribers


class SimulatedCourier:
    """The control side of one courier; records what its data path would receive."""

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
        """Applies an update as a courier's data path does, and records its revisions."""
        now, first = self.loop.now(), self.answered_at is None
        if first:
            self.answered_at = now
        if whole:
            self.data_path = {}
        for place in places:
            self._apply(place, now)
        if first or whole:
            self._record_missing(now)

    def _apply(self, place: Place, now: float) -> None:
        if place.left:
            self.data_path.pop(place.ident, None)
            self.updates.append(ReceivedUpdate(now, self.number, place.ident, LEFT))
            return
        self.data_path[place.ident] = place
        revision = revision_of(place.agreed)
        if revision:
            self.updates.append(ReceivedUpdate(now, self.number, place.ident, revision))

    def _record_missing(self, now: float) -> None:
        """Records the endpoints that are missing from a full update as left."""
        for destination in self.destinations:
            for number in range(self.endpoints_per_destination):
                ident = ident_of(destination, number)
                if ident not in self.data_path:
                    self.updates.append(ReceivedUpdate(now, self.number, ident, LEFT))

    def known(self) -> CourierView:
        """The endpoints that it knows now."""
        places = [
            place
            for destination_places in self.subscriber.subscribed().values()
            for place in destination_places
        ]
        return CourierView(self.number, known_endpoints(places), known_endpoints(self.data_path.values()))

    def figures(self) -> CourierFigures:
        """Its counters since the start."""
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
    """The places in the form that is compared with the source."""
    return frozenset(
        KnownEndpoint(place.dest, place.ident, place.address, place.ready, place.agreed) for place in places
    )


def resident_bytes() -> int:
    """Resident set size of this process in bytes."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class SimulatedFleet:
    """All couriers of the process. Tests replace `courier_class` to inject faults."""

    courier_class = SimulatedCourier

    def __init__(self, loop: Loop, plan: CourierPlan):
        self.loop, self.plan = loop, plan
        self.couriers: dict[int, SimulatedCourier] = {}
        self.updates: list[ReceivedUpdate] = []

    def handle(self, request):
        """Returns the response to a request from the pipe."""
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
            self.couriers.pop(number).subscriber.stop()
        return before

    def _figures(self) -> ProcessFigures:
        couriers = tuple(courier.figures() for courier in self.couriers.values())
        lateness, self.loop.lateness = self.loop.lateness, 0.0
        return ProcessFigures(self.loop.now(), time.process_time(), resident_bytes(), lateness, couriers)


def serve(connection: Connection, plan: CourierPlan, fleet_class: type[SimulatedFleet]) -> None:
    """Main function of the simulation process; returns on `ShutDown` or when the parent process has ended."""
    logger.remove()
    loop = Loop()
    fleet = fleet_class(loop, plan)
    REAL_SYSTEM.freeze_loaded_objects()

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

    loop.spawn(serve_requests(), urgent=True)
    loop.run()


class SimulationProcess:
    """Client of the simulation process; starts and stops it."""

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
        """Sends a request and returns the response; raises TimeoutError, or EOFError if the process ended."""
        self._connection.send(request)
        if not self._connection.poll(ANSWER_TIMEOUT_S):
            raise TimeoutError(f"the simulated couriers did not answer {request!r:.60}")
        return self._connection.recv()

    def start(self, couriers: Iterable[int]) -> ProcessFigures:
        """Starts couriers by number; returns the figures from just before."""
        return self.ask(StartCouriers(tuple(couriers)))

    def stop(self, couriers: Iterable[int]) -> ProcessFigures:
        """Stops couriers by number; returns the figures from just before."""
        return self.ask(StopCouriers(tuple(couriers)))

    def figures(self) -> ProcessFigures:
        """Counters, processor time and memory."""
        return self.ask(GetFigures())

    def updates(self) -> list[ReceivedUpdate]:
        """The updates received since the last call."""
        return self.ask(TakeUpdates())

    def known(self) -> list[CourierView]:
        """The endpoints that each courier knows now."""
        return self.ask(GetViews())
