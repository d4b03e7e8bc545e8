"""The subscription to the destinations that a courier uses: long polls at one discovery node.

This module sends requests and reads answers; the decisions are in `calicopin/subscription/`. Times are
milliseconds. A new subscription does not wait for the poll that is parked at the node: its connection is
closed and the change is sent on a new one. So there is one request at a time, and an answer lost with its
connection is sent again; with a second connection, answers of one lease could arrive out of order.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

import h11
from loguru import logger

from calicopin.facade import Place
from calicopin.subscription.interest import IDLE_TIMEOUT_MS, MAX_DESTINATIONS, Interest
from calicopin.subscription.messages import (
    MessageError,
    Refusal,
    decode_answer,
    decode_refusal,
    encode_request,
)
from calicopin.subscription.nodes import NodeChoice
from calicopin.subscription.session import AnswerContent, DestinationState, OutgoingRequest, Session
from calicopin.wire.answer_timeout import LATENESS_MARGIN
from calicopin.wire.discovery import decode_list
from calicopin.wire.http import TOO_LONG
from calicopin.wire.loop import READ, Event, Until
from calicopin.wire.persistent_client import PersistentClient

# longest wait of a parked request; recovery after a silent node fits into `poll_schedule.TOLD`
MAX_WAIT_MS = 2000.0
CONNECT_TIMEOUT_MS = 250.0  # time-out for connecting
PARKED_GRACE_MS = 1000.0  # time-out of a parked request, beyond its wait
# time-out of a request answered at once; couriers of a failed node may be queued before it
PROMPT_TIMEOUT_MS = 1500.0
STARTUP_LIMIT_MS = 1900.0  # after which the stored list is used without an answer of a node
MAX_LATENESS_MS = 3000.0  # of answers that are still waited for
PER_DESTINATION_MS = 0.05  # added to both time-outs: a complete answer for 100,000 destinations takes seconds
AGAIN = 100.0  # between the beginnings of two requests, as every answer may come at once
BATCH_INTERVAL_MS = 60.0  # between requests with new subscriptions (16 a second), which are batched
MAX_ANSWER_BYTES = 32 << 20


class End(Enum):
    """How a request ended without an answer, as logged."""

    UNCONNECTED = "cannot be connected to"
    SILENT = "does not answer"
    BROKEN = "closed the connection without a complete answer"
    INTERRUPTED = "was interrupted for a new subscription"


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer as received."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Figures:
    """Counters since the start; bytes are those of HTTP messages with their heads."""

    calls: int
    interrupted: int
    resyncs: int
    node_changes: int
    bytes_sent: int
    bytes_received: int


class Subscriber(PersistentClient):
    """Keeps the subscription and passes its answers to `heard(places, whole)`, as `Discovery` does.

    `nodes` are addresses, `restored` the destinations of a snapshot with their endpoints: they are subscribed
    to from the start and count as known. `in_use` tells whether the courier holds messages for a destination.
    `released` is called for each destination unsubscribed from, which gets no more updates.
    """

    def __init__(
        self,
        loop,
        nodes: list[str],
        fleet: str,
        courier: str,
        wait_ms: float,
        heard: Callable[[list[Place], bool], None],
        seed: int,
        restored: Mapping[int, Iterable[Place]] | None,
        in_use: Callable[[int], bool],
        released: Callable[[int], None],
        idle: float = IDLE_TIMEOUT_MS,
        max_destinations: int = MAX_DESTINATIONS,
    ):
        self.heard, self.released = heard, released
        self._answered, self._startup_over_at = False, loop.now() + STARTUP_LIMIT_MS
        self.wait = min(wait_ms, MAX_WAIT_MS)
        self.nodes = NodeChoice(courier, nodes, seed, loop.now())
        self.interest = Interest(seed, in_use, idle, max_destinations)
        self.session = Session(fleet, courier, restored)
        self._wake = Event(loop)
        self._settled: dict[int, list] = {}  # waiting events and lists, by destination
        self._calls = self._interrupted = self._sent = self._received = 0
        self._next_batch_at = 0.0
        self._lateness = 0.0  # ms, of the last answer for which it is known
        self._logged_faults: dict[str, str] = {}  # the last one by node, until an answer comes
        for destination in restored or ():
            self._note_use(destination, loop.now())
        super().__init__(loop, "")

    # Interface for the rest of the courier.

    def use(self, destination: int) -> DestinationState:
        """Notes a use and subscribes if needed; raises InterestFullError at the limit of destinations."""
        self._note_use(destination, self.loop.now())
        return self.session.destination_state(destination)

    def _note_use(self, destination: int, now: float) -> None:
        use = self.interest.use(destination, now)
        if use.evicted is not None:
            self.session.unsubscribe(use.evicted)
        if use.is_new:
            self.session.subscribe(destination)
            self._wake.set()

    def settled(self, destination: int, event) -> None:
        """Sets the event, or appends True to the list, once the first answer for the destination has come
        or it was unsubscribed from."""
        if self.session.is_subscribed(destination) and not self.session.confirmed(destination):
            self._settled.setdefault(destination, []).append(event)
        else:
            _notify(event)

    def unsettled(self, destination: int, event) -> None:
        """Drops an event of `settled` whose wait has ended."""
        remaining = [other for other in self._settled.pop(destination, ()) if other is not event]
        if remaining:
            self._settled[destination] = remaining

    def subscribed(self) -> dict[int, list[Place]]:
        """The destinations and their known endpoints, for a snapshot."""
        return self.session.known_endpoints()

    @property
    def version(self) -> int | None:
        """The node's version of the state known here; None without a lease."""
        return self.session.version

    def figures(self) -> Figures:
        """The counters since the start."""
        return Figures(
            self._calls,
            self._interrupted,
            self.session.resyncs,
            self.nodes.switches,
            self._sent,
            self._received + (len(self.connection.received) if self.connection else 0),
        )

    def change_address(self, nodes: list[str]) -> None:
        """Changes the list of nodes; the current node is kept if it is in the new list."""
        self.nodes.replace_nodes(nodes, self.loop.now())
        if self.nodes.current is None or self.address not in nodes:
            super().change_address("")

    @property
    def tried(self) -> bool:
        """Whether the courier may act on the known list: a node has answered, all nodes have failed, or
        `STARTUP_LIMIT_MS` is over."""
        return self._answered or self.nodes.all_nodes_failed or self.loop.now() >= self._startup_over_at

    # Requests and answers.

    def run(self):
        """A coroutine that sends one request after another for ever, on one connection while it lasts."""
        self.close_connection()
        while True:
            next_request = self.nodes.next_request(self.loop.now())
            if next_request.at > self.loop.now():
                yield Until(next_request.at)
            if next_request.node != self.address:
                self.close_connection()
                self.address = next_request.node
            if self.session.has_unsent_subscriptions and self._next_batch_at > self.loop.now():
                yield Until(self._next_batch_at)
            began = self.loop.now()
            immediately = yield from self._call()
            if not (immediately or self.session.has_unsent_subscriptions) and began + AGAIN > self.loop.now():
                yield Until(began + AGAIN, event=self._wake)

    def _call(self):
        """Makes one request and handles its result; returns whether the next one is due at once."""
        now = self.loop.now()
        for destination in self.interest.sweep(now):
            self.session.unsubscribe(destination)
        self._wake.is_set = False  # this request includes the change it was set for
        wait = self.session.longest_wait(self.address, self.wait)
        ask = self.session.next(self.address)
        if ask.request.subscribe:
            self._next_batch_at = now + BATCH_INTERVAL_MS
        self._release(ask.released)
        end = yield from self._exchange(ask, wait)
        if isinstance(end, Reply):
            return self._handle_reply(end)
        self._fail(end)
        return False

    def _exchange(self, ask: OutgoingRequest, wait: float):
        """The `Reply` or the `End` of one request. A reused connection may have been closed by the node
        meanwhile: then the request is sent once more on a new one."""
        reused = self.connection is not None
        end = yield from self._attempt(ask, wait)
        if reused and end is End.BROKEN:
            self.close_connection()
            end = yield from self._attempt(ask, wait)
        return end

    def _attempt(self, ask: OutgoingRequest, wait: float):
        connection = yield from self.connect(self.loop.now() + CONNECT_TIMEOUT_MS)
        if not connection:
            return End.UNCONNECTED
        self._calls += 1
        began = self.loop.now()
        until = began + self._answer_timeout(ask, wait)
        data = connection.encode(*self._encode(ask, wait))
        done = yield from connection.write(data, until)
        self._sent += done
        if done == len(data):
            if not ask.answered_immediately and (yield from self._await_answer(connection, until)):
                return End.INTERRUPTED
            if (reply := (yield from self._read(connection, until))) is not None:
                self._note_lateness(self.loop.now() - began, 0.0 if ask.answered_immediately else wait)
                return reply
        return End.BROKEN if self.loop.now() < until else End.SILENT

    def _answer_timeout(self, ask: OutgoingRequest, wait: float) -> float:
        """The time-out for an answer in ms: longer while the node's answers are late, and once all nodes
        have failed, since all may be late.
        """
        lateness = MAX_LATENESS_MS if self.nodes.all_nodes_failed else LATENESS_MARGIN * self._lateness
        least = PROMPT_TIMEOUT_MS if ask.answered_immediately else PARKED_GRACE_MS
        parked = 0.0 if ask.answered_immediately else wait
        return parked + max(least, lateness) + PER_DESTINATION_MS * len(self.interest)

    def _note_lateness(self, elapsed: float, wait: float) -> None:
        """An answer came after `elapsed` ms; within the wait it may tell of a change of any moment."""
        if elapsed >= wait:
            self._lateness = min(MAX_LATENESS_MS, elapsed - wait)

    def _encode(self, ask: OutgoingRequest, wait: float):
        """The head and the body of a request."""
        body, target = encode_request(ask.request), "/api/targets"
        if ask.index is not None:
            target = f"{target}?index={ask.index}&wait={0.0 if ask.answered_immediately else wait:.0f}"
        headers = [
            ("Host", self.address),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        return h11.Request(method="POST", target=target, headers=headers), body

    def _await_answer(self, connection, until: float):
        """Waits for the answer to begin; returns whether a new subscription came first."""
        while connection.open_without_data():
            if self.session.has_unsent_subscriptions:
                return True
            if not (yield Until(until, connection.sock.fileno(), READ, self._wake)):
                return False
        return False

    def _read(self, connection, until: float):
        """The reply, or None if it is incomplete."""
        head = yield from connection.event(until)
        if not isinstance(head, h11.Response):
            return None
        body = yield from connection.body(MAX_ANSWER_BYTES, until)
        return None if body is None else Reply(head.status_code, body)

    def _handle_reply(self, reply: Reply) -> bool:
        """Handles an answer or a refusal; returns whether the next request is due at once.

        After a malformed one the known state stays in use and another node is asked.
        """
        self._count_received()
        if reply.body is TOO_LONG or not self.connection.prepare_next_message():
            self.close_connection()
        try:
            news = self._decode(reply) if reply.status == 200 else _refusal(reply)
        except ValueError as fault:
            self.session.drop_lease()
            self.nodes.failed(self.loop.now())
            self.close_connection()
            self._log_fault(str(fault))
            return False
        if isinstance(news, Refusal):
            return self._handle_refusal(news)
        self._apply(news)
        return False

    def _decode(self, reply: Reply) -> AnswerContent:
        """Decodes and applies an answer; raises ValueError if it is invalid."""
        if reply.body is TOO_LONG:
            raise MessageError("answer", f"is over {MAX_ANSWER_BYTES >> 20} MiB")
        answer = decode_answer(reply.body)
        listing = dict(version=answer.version, full=answer.full, servers=answer.servers)
        _, _, places = decode_list(listing)
        return self.session.answered(answer, places)

    def _apply(self, news: AnswerContent) -> None:
        self.nodes.answered(self.loop.now())
        if self._logged_faults:
            self._logged_faults.clear()
            logger.info("discovery node {node} answers again", event="subscription.again", node=self.address)
        try:
            self.heard(news.places, news.whole)
            self._answered = True
        except Exception:  # an error in the courier: requests the complete state once more
            self.session.drop_lease()
            raise
        self._release(news.released)
        for destination in news.confirmed + news.unknown:
            self._notify_settled(destination)

    def _handle_refusal(self, refusal: Refusal) -> bool:
        if self.session.refused(refusal):
            return True
        self.nodes.refused(self.loop.now(), refusal.retry_ms)
        self._log_fault(f"{refusal.reason}: {refusal.message}")
        return False

    def _fail(self, end: End) -> None:
        self.close_connection()
        if end is End.INTERRUPTED:
            self._interrupted += 1
            return
        self.nodes.failed(self.loop.now())
        self._log_fault(end.value)

    def _log_fault(self, fault: str) -> None:
        """Logs a fault of the current node, unless it was the last one logged for it."""
        if self._logged_faults.get(self.address) != fault:
            self._logged_faults[self.address] = fault
            logger.warning(
                "discovery node {node}: {fault}; the known list stays in use",
                event="subscription.fault",
                node=self.address,
                fault=fault,
            )

    def _release(self, destinations: Iterable[int]) -> None:
        for destination in destinations:
            self.released(destination)
            self._notify_settled(destination)

    def _notify_settled(self, destination: int) -> None:
        for event in self._settled.pop(destination, ()):
            _notify(event)

    def _count_received(self) -> None:
        """Adds up the bytes received on the connection since the last count."""
        self._received += len(self.connection.received)
        self.connection.received.clear()

    def close_connection(self) -> None:
        """Closes the connection."""
        if self.connection:
            self._count_received()
        super().close_connection()


def _notify(event) -> None:
    if isinstance(event, list):
        event.append(True)
    else:
        event.set()


def _refusal(reply: Reply) -> Refusal:
    """Decodes a refusal; raises MessageError if its reason cannot be read."""
    if reply.body is TOO_LONG:
        raise MessageError("answer", f"is over {MAX_ANSWER_BYTES >> 20} MiB")
    try:
        return decode_refusal(reply.body)
    except MessageError as fault:
        raise MessageError(fault.place, f"{fault.why} (status {reply.status})") from None
