"""Subscriptions of a courier to the destinations it uses: connects the subscriber, the decisions and the list
that is kept in the folder.

Imported only by a courier with discovery nodes in its configuration.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from calicopin.facade import Place
from calicopin.state.known_list import KnownList
from calicopin.subscription.interest import InterestFullError
from calicopin.subscription.session import DestinationState
from calicopin.wire.loop import Event
from calicopin.wire.subscriber import Subscriber

REFUSAL_STATUS = {DestinationState.KNOWN: None, DestinationState.UNKNOWN: 404, DestinationState.WAITING: 503}


class FirstAnswer(Event):
    """Set once the first answer on a destination has come; `received` stays true from then on."""

    def __init__(self, loop):
        super().__init__(loop)
        self.received = False

    def set(self):
        """Marks the answer as received and wakes the coroutine that waits for it."""
        self.received = True
        super().set()


@dataclass(frozen=True, slots=True)
class SubscriptionSettings:
    """Settings of the subscription. Times are milliseconds."""

    nodes: tuple[str, ...]
    fleet: str
    courier: str
    long_poll_timeout: float
    seed: int
    max_list_age: float  # of the list in the folder at a start
    folder: str
    disk_bytes: int


class CourierSubscription:
    """Answers whether destinations are known, and passes the nodes' updates to the runtime and to the list in
    the folder.

    `places` are the endpoints that another process handed over; they replace the list in the folder.
    """

    def __init__(self, loop, settings: SubscriptionSettings, runtime, places: Iterable[Place] | None):
        self.loop, self.runtime, self.facade = loop, runtime, runtime.facade
        self.known_list = KnownList(
            loop, settings.folder, settings.fleet, settings.max_list_age, settings.disk_bytes
        )
        self.pending: dict[FirstAnswer, int] = {}  # waiting messages and their destinations
        self.pending_by_destination: Counter[int] = Counter()  # number of waiting messages
        self.last_answer_at = None  # ms of the loop's clock
        self.initial_endpoints = self.known_list.read() if places is None else by_destination(places)
        self.settings = settings
        self.subscriber = self.task = None

    def start(self) -> Subscriber:
        """Starts the subscription with the destinations that the last process knew or held messages for."""
        settings = self.settings
        self.subscriber = Subscriber(
            self.loop,
            list(settings.nodes),
            settings.fleet,
            settings.courier,
            settings.long_poll_timeout,
            self.apply_update,
            settings.seed,
            self.initial_endpoints,
            self.in_use,
            self.released,
        )
        self.known_list.known = self.subscriber.subscribed
        for text in self.facade.texts.values():
            self.refusal_status(text.dest)
        for destination in self.facade.destinations():
            if destination not in self.initial_endpoints and not self.in_use(destination):
                self.facade.release(destination)
        self.task = self.loop.spawn_restarting(self.known_list.run)
        return self.subscriber

    def stop(self) -> None:
        """Stops writing the list in the folder, which now belongs to another process."""
        self.loop.cancel(self.task)
        self.stop_waiting()

    def places(self) -> list[Place]:
        """The endpoints known from the last process."""
        return [place for places in self.initial_endpoints.values() for place in places]

    # Called for clients.

    def refusal_status(self, destination: int) -> int | None:
        """Subscribes to the destination; the HTTP status that refuses its messages, or None if known."""
        try:
            return REFUSAL_STATUS[self.subscriber.use(destination)]
        except InterestFullError:
            return 503

    def first_answer(self, destination: int) -> FirstAnswer | None:
        """The event of the first answer on a destination that is not known yet; None if no answer is
        expected.
        """
        try:
            destination_state = self.subscriber.use(destination)
        except InterestFullError:
            return None
        if destination_state is not DestinationState.WAITING:
            return None
        event = FirstAnswer(self.loop)
        self.pending[event] = destination
        self.pending_by_destination[destination] += 1
        self.facade.waiting_for_list += 1
        self.subscriber.settled(destination, event)
        return event

    def stop_waiting_for(self, event: FirstAnswer) -> None:
        """Removes the event: its message no longer waits."""
        if (destination := self.pending.pop(event, None)) is not None:
            self.subscriber.unsettled(destination, event)
            self.facade.waiting_for_list -= 1
            self.pending_by_destination[destination] -= 1
            if not self.pending_by_destination[destination]:
                del self.pending_by_destination[destination]

    def stop_waiting(self) -> None:
        """Ends the wait of all messages, because no more are accepted."""
        for event in list(self.pending):
            event.set()

    # Called by the subscriber.

    def in_use(self, destination: int) -> bool:
        """Whether a message for the destination is held or waits for its first answer."""
        return destination in self.pending_by_destination or self.facade.in_use(destination)

    def apply_update(self, places: list[Place], whole: bool) -> None:
        """Passes an update of the list on, or a whole list if `whole`."""
        self.last_answer_at = self.loop.now()
        self.runtime.update_list(places, whole)
        self.known_list.confirmed()
        if places or whole:
            self.known_list.changed()

    def released(self, destination: int) -> None:
        """Forgets a destination whose subscription has ended."""
        self.runtime.released(destination)
        self.known_list.changed()

    # Called for operators.

    def status(self) -> dict:
        """The value of `subscription` in the answer to `GET /-/status`."""
        subscriber, now = self.subscriber, self.loop.now()
        figures = subscriber.figures()
        return dict(
            node=subscriber.nodes.current,
            destinations=len(subscriber.interest),
            waiting=len(self.pending),
            lease=subscriber.version is not None,
            heard_ms=None if self.last_answer_at is None else round(now - self.last_answer_at, 1),
            calls=figures.calls,
            resyncs=figures.resyncs,
            node_changes=figures.node_changes,
            bytes_sent=figures.bytes_sent,
            bytes_received=figures.bytes_received,
        )


def by_destination(places: Iterable[Place]) -> dict[int, list[Place]]:
    """Groups endpoints by their destination."""
    table = {}
    for place in places:
        table.setdefault(place.dest, []).append(place)
    return table


def build_subscription(
    configuration, loop, runtime, long_poll_timeout: float, places: Iterable[Place] | None
) -> CourierSubscription:
    """The subscription of a courier by its configuration; `places` are endpoints that were handed over."""
    settings = SubscriptionSettings(
        nodes=configuration.nodes,
        fleet=configuration.fleet,
        courier=configuration.name,
        long_poll_timeout=long_poll_timeout,
        seed=configuration.seed,
        max_list_age=configuration.max_age,
        folder=configuration.folder,
        disk_bytes=configuration.disk,
    )
    return CourierSubscription(loop, settings, runtime, places)
