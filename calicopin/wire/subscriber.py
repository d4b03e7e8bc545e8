"""The subscription to the destinations that a courier uses: one long poll after the other at one node.

The decisions stand in `calicopin/subscription/`; here requests are sent and answers read. Times are
milliseconds. A fresh subscription does not wait for the poll that is parked at the node: that connection is
closed and the change goes out on a new one. So one request is out at a time, and an answer that was lost with
the connection is told again; a second connection beside it would bring answers of one lease in any order.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

import h11
from loguru import logger

from calicopin.facade import Place
from calicopin.subscription.interest import IDLE, MOST, Interest
from calicopin.subscription.messages import (
    MessageError,
    Refusal,
    decode_answer,
    decode_refusal,
    encode_request,
)
from calicopin.subscription.nodes import NodeChoice
from calicopin.subscription.session import Ask, News, Session, Standing
from calicopin.wire.agent import Agent
from calicopin.wire.discovery import read
from calicopin.wire.http import TOO_LONG
from calicopin.wire.loop import READ, Event, Until

WAIT = 2000.0  # that a request may be parked at the node, at most: what comes after its silence fits into 6 s
CONNECT = 250.0  # to connect
SILENCE = 1000.0  # beyond the wait that was asked for, after which a parked request counts as not answered
PROMPT = (
    1500.0  # the same for a request that is answered at once: a node may have a lost one's couriers before it
)
STARTUP_LIMIT_MS = 1900.0  # from the start, after which a list from the folder is gone by without any answer
PER_DESTINATION_MS = (
    0.05  # added to both for each destination of the set: a whole answer of 100,000 takes its seconds
)
AGAIN = 100.0  # between the beginnings of two requests: guards both sides against answers at once for ever
BATCH_INTERVAL_MS = (
    60.0  # between two requests with fresh subscriptions, 16 a second: what comes in between shares one
)
MAX_ANSWER_BYTES = 32 << 20  # bytes


class End(Enum):
    """How a request ended without an answer."""

    UNCONNECTED = "cannot be connected to"
    SILENT = "does not answer"
    BROKEN = "broke off"
    INTERRUPTED = "was given up for a fresh subscription"


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer as it came."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Figures:
    """Counts since the start; bytes are those of HTTP with its heads."""

    calls: int
    interrupted: int
    resyncs: int
    node_changes: int
    bytes_sent: int
    bytes_received: int


class Subscriber(Agent):
    """Keeps the subscription and tells `heard` what its answers hold, as `wire.discovery.Discovery` does.

    `nodes` are addresses, `restored` the destinations of a snapshot with their endpoints: they are subscribed
    to from the start and count as known. `in_use` tells whether something is held for a destination,
    `released` hears of each one given up: its endpoints are no longer told of. `tried` once a node has
    answered or none was to be heard.
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
        idle: float = IDLE,
        most: int = MOST,
    ):
        self.heard, self.released = heard, released
        self._answered, self._startup_over_at = False, loop.now() + STARTUP_LIMIT_MS
        self.wait = min(wait_ms, WAIT)
        self.nodes = NodeChoice(courier, nodes, seed, loop.now())
        self.interest = Interest(seed, in_use, idle, most)
        self.session = Session(fleet, courier, restored)
        self._wake = Event(loop)
        self._settled: dict[int, list] = {}  # events and lists of events, by the destination they wait for
        self._calls = self._interrupted = self._sent = self._received = 0
        self._gather_until = 0.0
        self._logged_faults: dict[str, str] = {}  # the last fault told of each node, until an answer comes
        for destination in restored or ():
            self._note_use(destination, loop.now())
        super().__init__(loop, "")

    # What the rest of the courier asks for.

    def use(self, destination: int) -> Standing:
        """Notes a use and subscribes where it isn't. Raises InterestFullError where no further one can be."""
        self._note_use(destination, self.loop.now())
        return self.session.standing(destination)

    def _note_use(self, destination: int, now: float) -> None:
        use = self.interest.use(destination, now)
        if use.given_up is not None:
            self.session.unsubscribe(use.given_up)
        if use.fresh:
            self.session.subscribe(destination)
            self._wake.set()

    def settled(self, destination: int, event) -> None:
        """Sets the event, or appends True to a list, once the first answer for the destination has come or it
        was given up."""
        if self.session.wants(destination) and not self.session.confirmed(destination):
            self._settled.setdefault(destination, []).append(event)
        else:
            _notify(event)

    def unsettled(self, destination: int, event) -> None:
        """Nobody waits with that event any more: its time was up first."""
        remaining = [other for other in self._settled.pop(destination, ()) if other is not event]
        if remaining:
            self._settled[destination] = remaining

    def subscribed(self) -> dict[int, list[Place]]:
        """The destinations with the endpoints known of them, as a snapshot keeps them."""
        return self.session.known()

    @property
    def version(self) -> int | None:
        """The node's count of the state that is known; None without a lease."""
        return self.session.version

    def figures(self) -> Figures:
        """What was sent and received since the start."""
        return Figures(
            self._calls,
            self._interrupted,
            self.session.resyncs,
            self.nodes.changes,
            self._sent,
            self._received + (len(self.line.heard) if self.line else 0),
        )

    def move(self, nodes: list[str]) -> None:
        """Another list of nodes: the one that is kept to stays so as long as it is in it."""
        self.nodes.move(nodes, self.loop.now())
        if self.nodes.current is None or self.address not in nodes:
            super().move("")

    @property
    def tried(self) -> bool:
        """Whether to go by what is known: a node has answered, all were asked in vain, or the time for that
        is over."""
        return self._answered or self.nodes.exhausted or self.loop.now() >= self._startup_over_at

    # The exchange.

    def talk(self):
        """For ever: one request after the other, on one connection as long as it lasts."""
        self.hang_up()
        while True:
            turn = self.nodes.turn(self.loop.now())
            if turn.at > self.loop.now():
                yield Until(turn.at)
            if turn.node != self.address:
                self.hang_up()
                self.address = turn.node
            if self.session.pressing and self._gather_until > self.loop.now():
                yield Until(self._gather_until)
            began = self.loop.now()
            immediately = yield from self._call()
            if not (immediately or self.session.pressing) and began + AGAIN > self.loop.now():
                yield Until(began + AGAIN, event=self._wake)

    def _call(self):
        """One request and what follows from its end; whether the next one is to go out at once."""
        now = self.loop.now()
        for destination in self.interest.sweep(now):
            self.session.unsubscribe(destination)
        self._wake.is_set = False  # what it stood for goes with this request
        wait = self.session.longest_wait(self.address, self.wait)
        ask = self.session.next(self.address)
        if ask.request.subscribe:
            self._gather_until = now + BATCH_INTERVAL_MS
        self._release(ask.released)
        end = yield from self._exchange(ask, wait)
        if isinstance(end, Reply):
            return self._handle_reply(end)
        self._fail(end)
        return False

    def _exchange(self, ask: Ask, wait: float):
        """The reply or the `End` of one request. A connection that served before may have been closed
        meanwhile: then the request goes once more, on a new one."""
        served = self.line is not None
        end = yield from self._attempt(ask, wait)
        if served and end is End.BROKEN:
            self.hang_up()
            end = yield from self._attempt(ask, wait)
        return end

    def _attempt(self, ask: Ask, wait: float):
        line = yield from self.connect(self.loop.now() + CONNECT)
        if not line:
            return End.UNCONNECTED
        self._calls += 1
        until = self.loop.now() + self._answer_timeout(ask, wait)
        data = line.encode(*self._encode(ask, wait))
        done = yield from line.write(data, until)
        self._sent += done
        if done == len(data):
            if not ask.prompt and (yield from self._await_answer(line, until)):
                return End.INTERRUPTED
            if (reply := (yield from self._read(line, until))) is not None:
                return reply
        return End.BROKEN if self.loop.now() < until else End.SILENT

    def _answer_timeout(self, ask: Ask, wait: float) -> float:
        """How long an answer may take until it counts as none."""
        return (PROMPT if ask.prompt else wait + SILENCE) + PER_DESTINATION_MS * len(self.interest)

    def _encode(self, ask: Ask, wait: float):
        """The head and the body of a request."""
        body, target = encode_request(ask.request), "/api/targets"
        if ask.index is not None:
            target = f"{target}?index={ask.index}&wait={0.0 if ask.prompt else wait:.0f}"
        headers = [
            ("Host", self.address),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        return h11.Request(method="POST", target=target, headers=headers), body

    def _await_answer(self, line, until: float):
        """Waits for the answer to begin; whether a fresh subscription came first."""
        while line.quiet():
            if self.session.pressing:
                return True
            if not (yield Until(until, line.sock.fileno(), READ, self._wake)):
                return False
        return False

    def _read(self, line, until: float):
        """The reply, or None where none came whole."""
        head = yield from line.event(until)
        if not isinstance(head, h11.Response):
            return None
        body = yield from line.body(MAX_ANSWER_BYTES, until)
        return None if body is None else Reply(head.status_code, body)

    def _handle_reply(self, reply: Reply) -> bool:
        """An answer or a refusal; one that cannot be read leaves all as it was, and another node is asked.
        Whether the next request is to go out at once."""
        self._count()
        if reply.body is TOO_LONG or not self.line.again():
            self.hang_up()
        try:
            news = self._decode(reply) if reply.status == 200 else _refusal(reply)
        except ValueError as fault:
            self.session.abandon()
            self.nodes.failed(self.loop.now())
            self.hang_up()
            self._log_fault(str(fault))
            return False
        if isinstance(news, Refusal):
            return self._handle_refusal(news)
        self._apply(news)
        return False

    def _decode(self, reply: Reply) -> News:
        """Raises ValueError where it cannot be right."""
        if reply.body is TOO_LONG:
            raise MessageError("answer", f"is over {MAX_ANSWER_BYTES >> 20} MiB")
        answer = decode_answer(reply.body)
        listing = dict(version=answer.version, full=answer.full, servers=answer.servers)
        _, _, places = read(listing)
        return self.session.answered(answer, places)

    def _apply(self, news: News) -> None:
        self.nodes.answered(self.loop.now())
        if self._logged_faults:
            self._logged_faults.clear()
            logger.info("discovery node {node} answers", event="subscription.again", node=self.address)
        try:
            self.heard(news.places, news.whole)
            self._answered = True
        except Exception:  # a fault of our own: the set is told as a whole once more
            self.session.abandon()
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
        self.hang_up()
        if end is End.INTERRUPTED:
            self._interrupted += 1
            return
        self.nodes.failed(self.loop.now())
        self._log_fault(end.value)

    def _log_fault(self, fault: str) -> None:
        """One line for a fault that comes again and again."""
        if self._logged_faults.get(self.address) != fault:
            self._logged_faults[self.address] = fault
            logger.warning(
                "discovery node {node}: {fault}, the list known serves on",
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

    def _count(self) -> None:
        """The bytes that came on the connection since they were counted last."""
        self._received += len(self.line.heard)
        self.line.heard.clear()

    def hang_up(self) -> None:
        """Closes the connection."""
        if self.line:
            self._count()
        super().hang_up()


def _notify(event) -> None:
    if isinstance(event, list):
        event.append(True)
    else:
        event.set()


def _refusal(reply: Reply) -> Refusal:
    """Raises MessageError where it gives no reason that can be read."""
    if reply.body is TOO_LONG:
        raise MessageError("answer", f"is over {MAX_ANSWER_BYTES >> 20} MiB")
    try:
        return decode_refusal(reply.body)
    except MessageError as fault:
        raise MessageError(fault.place, f"{fault.why} (status {reply.status})") from None
