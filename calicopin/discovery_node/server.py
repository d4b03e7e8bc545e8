"""The discovery node's HTTP/1.1 server with long polling: one process, one thread, one event loop.

Each connection is a coroutine. A request without news is parked, and is answered as soon as a change affects
its lease. Every refusal is one typed message. A connection whose input cannot be parsed further is closed.
"""

import json
import socket
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from urllib.parse import parse_qsl

import h11
from loguru import logger

from calicopin.discovery_node.replies import (
    Poll,
    Reply,
    encode_refusal_response,
    is_number,
    read_poll,
    refusal_reply,
    retry_seconds,
    unreadable_reply,
)
from calicopin.discovery_node.source import Source
from calicopin.discovery_node.status import status_of
from calicopin.discovery_node.upstream import LOG_CHUNK_BYTES, LOG_PATH, Upstream, encode_log_chunk
from calicopin.subscription.leases import LeaseTable, LeaseUpdate, Wait
from calicopin.subscription.messages import (
    HTTP_STATUS,
    Grant,
    MessageError,
    Reason,
    Refusal,
    SubscribeRequest,
    decode_request,
    encode_answer,
)
from calicopin.wire.http import TOO_LONG, Connection, accept_next
from calicopin.wire.loop import FOREVER, READ, RETRY_DELAY_MS, Event, Loop, Until

TARGETS_PATH = b"/api/targets"
STATUS_PATH = b"/-/status"
READY_PATH = b"/-/ready"
LOG_TARGET = LOG_PATH.encode()
REQUEST_TIMEOUT_MS = 2500.0  # to receive a whole request, and to send its answer
LAST_ANSWER_READ_MS = 300.0  # for a client to read its last answer
LEASE_EXPIRY_INTERVAL_MS = 500.0  # between two checks for expired leases
# to send answers after SIGTERM; the whole shutdown takes less than a second
SHUTDOWN_GRACE_MS = 400.0
SHUTDOWN_POLL_MS = 10.0
NOT_READY_RETRY_MS = 1000.0
OVERLOAD_RETRY_MS = 1000.0
REFUSAL_LOG_INTERVAL_MS = 1000.0  # between two log lines on refused requests
ANSWER_DESTINATIONS_PER_STEP = 1000  # looked up in one pass of the event loop
ACCEPT_BATCH_SIZE = 32  # connections accepted in one pass of the event loop
REQUEST_BYTES_PER_DESTINATION = 11  # nine digits, a comma, a space
REQUEST_BASE_BYTES = 4096
MAX_BUFFERED_BODY_BYTES = 64 << 20  # of all connections together


@dataclass(frozen=True, slots=True)
class ServerBounds:
    """Limits of connections and parked requests."""

    connections: int = 8192
    parked: int = 4096
    idle_ms: float = 60_000.0  # an idle connection is closed after this time


@dataclass(slots=True)
class ParkedRequest:
    """A waiting long-poll request."""

    connection: Connection
    event: Event
    woken: bool = False
    superseded: bool = False

    def wake(self) -> None:
        """Lets the request be answered now."""
        self.woken = True
        self.event.set()


class CourierConnection:
    """A connection from a courier."""

    __slots__ = ("line", "task", "idle")

    def __init__(self, connection: Connection):
        self.line, self.task, self.idle = connection, None, False


class NodeServer:
    """Accepts connections on `listener` and serves the leases of `table` from the source's catalogue."""

    def __init__(self, loop: Loop, listener: socket.socket, table: LeaseTable, bounds: ServerBounds):
        self.loop, self.listener, self.table, self.bounds = loop, listener, table, bounds
        self.source: Source | None = None
        self.upstream: Upstream | None = None  # set if the source is a copy of another node's
        self.max_body_bytes = REQUEST_BASE_BYTES + REQUEST_BYTES_PER_DESTINATION * table.bounds.destinations
        self.max_wait_ms = table.bounds.lease_ms / 2.0
        self.connections: dict[CourierConnection, None] = {}
        self.parked: dict[str, ParkedRequest] = {}
        self.refused: Counter[Reason] = Counter()
        self.reserved_body_bytes = 0  # maximum total size of the bodies being read
        self.answers = self.changes_told = self.destinations_changed = 0
        self.stopping = False
        # per answer being built: the destinations that changed meanwhile
        self._changes_during_lookups: list[set[int]] = []
        self._unlogged_refusals, self._refusal_logged_at = 0, -FOREVER
        self.accepting = loop.spawn_restarting(self._accept)
        loop.spawn_restarting(self._expire)

    def change(self, destinations: set[int]) -> None:
        """Answers the parked requests that subscribe to these changed destinations."""
        self.destinations_changed += len(destinations)
        for changed in self._changes_during_lookups:
            changed |= destinations
        # sorted: set order differs between processes
        for name in sorted(self.table.change(destinations)):
            self.changes_told += 1
            self._wake(name)

    def is_ready(self) -> bool:
        """Whether subscriptions are served."""
        return not self.stopping and self.source is not None and self.source.catalogue is not None

    def stop(self) -> Iterator[Until]:
        """Answers parked requests and ends the event loop within a second."""
        self.stopping = True
        self.loop.cancel(self.accepting)
        self.loop.close(self.listener)
        self._close_waiting()
        until = self.loop.now() + SHUTDOWN_GRACE_MS
        while self.connections and self.loop.now() < until:
            yield Until(self.loop.now() + SHUTDOWN_POLL_MS)
        self.loop.running = False

    def _close_waiting(self) -> None:
        """Answers all parked requests, with one shared response as there may be thousands, and closes idle
        connections."""
        refusal = self._not_ready_refusal()
        data, waiting = (
            encode_refusal_response(refusal),
            {parked.connection for parked in self.parked.values()},
        )
        self.refused[refusal.reason] += len(waiting)
        for connection in list(self.connections):
            if connection.line in waiting:
                connection.line.finish_without_waiting(data)
            if connection.idle or connection.line in waiting:
                self._close_connection(connection)

    # Connections.

    def _accept(self) -> Iterator[Until]:
        while True:
            try:
                more = self._accept_some()
            except OSError as fault:  # no descriptor or no memory left
                logger.warning("accept failed: {fault}", event="accept.failed", fault=fault)
                yield Until(self.loop.now() + RETRY_DELAY_MS)
                continue
            yield Until(self.loop.now()) if more else Until(FOREVER, self.listener.fileno(), READ)

    def _accept_some(self) -> bool:
        """Accepts a batch. Returns whether more connections may be pending."""
        for _ in range(ACCEPT_BATCH_SIZE):
            sock = accept_next(self.listener)
            if sock is None:
                return False
            self._admit(Connection(self.loop, sock, h11.SERVER))
        return True

    def _admit(self, line: Connection) -> None:
        """Serves the connection. At the connection limit the longest idle one is closed; if none is idle, the
        new one is rejected."""
        if len(self.connections) >= self.bounds.connections:
            idle = next(
                (other for other in self.connections if other.idle and other.line.open_without_data()), None
            )
            if idle is not None:
                self._close_connection(idle)
        connection = CourierConnection(line)
        if len(self.connections) < self.bounds.connections:
            self.connections[connection] = None
            connection.task = self.loop.spawn(self._serve(connection))
            return
        self._reject_connection(line)

    def _reject_connection(self, connection: Connection) -> None:
        """Refuses the connection without reading from it or starting a coroutine."""
        refusal = Refusal(Reason.TOO_MANY, "no room for another connection", OVERLOAD_RETRY_MS)
        self._log_refusal(refusal)
        connection.finish_without_waiting(encode_refusal_response(refusal))
        connection.close()

    def _close_connection(self, connection: CourierConnection) -> None:
        """Closes the connection here too: a coroutine cancelled before its first step runs no `finally`."""
        self.connections.pop(connection, None)
        self.loop.cancel(connection.task)
        connection.line.close()

    def _serve(self, connection: CourierConnection) -> Iterator[Until]:
        line = connection.line
        try:
            more = True
            while more:
                more = yield from self._exchange(connection)
                # a client that sends requests without a pause must not block the others
                yield Until(self.loop.now())
            if not line.at_eof and line.h11.our_state is not h11.IDLE:
                yield from line.lingering_close(self.loop.now() + LAST_ANSWER_READ_MS)
        finally:
            self.connections.pop(connection, None)
            line.close()

    def _exchange(self, connection: CourierConnection) -> Iterator[Until]:
        """Handles one request. Returns False if the connection ends."""
        line = connection.line
        if not (yield from self._wait_for_request(connection)):
            return False
        until = self.loop.now() + REQUEST_TIMEOUT_MS
        head = yield from line.event(until)
        reply = self._head_error_reply(line, head)
        if reply is None and isinstance(head, h11.Request):
            reply = yield from self._read_request(line, head, until)
        if reply is None:
            return False
        return (yield from self._send_reply(line, reply))

    def _wait_for_request(self, connection: CourierConnection) -> Iterator[Until]:
        """Waits for a request. Returns False if the idle time-out passes or the connection ends."""
        line = connection.line
        if self.stopping:
            return False
        if line.unparsed() or line.peek() is not None:
            return not line.peer_closed() or bool(line.unparsed())
        connection.idle = True
        del self.connections[connection]  # keeps the longest idle connection first
        self.connections[connection] = None
        readable = yield Until(self.loop.now() + self.bounds.idle_ms, line.sock.fileno(), READ)
        connection.idle = False
        return readable

    @staticmethod
    def _head_error_reply(connection: Connection, head) -> Reply | None:
        """The reply if a request head is incomplete or invalid, else None."""
        if head is None and connection.unparsed():
            return unreadable_reply("a head that does not come", 408)
        if isinstance(head, h11.RemoteProtocolError):
            return unreadable_reply(str(head), head.error_status_hint or 400)
        return None

    def _read_request(self, connection: Connection, head: h11.Request, until: float) -> Iterator[Until]:
        """Reads the body and returns the reply; None if the client has left."""
        lengths = dict(head.headers)
        if b"content-length" in lengths and b"transfer-encoding" in lengths:
            return unreadable_reply("both Content-Length and Transfer-Encoding")
        length = int(lengths.get(b"content-length", 0))
        if length > self.max_body_bytes:
            return self._too_large_reply()
        expected = self.max_body_bytes if b"transfer-encoding" in lengths else length
        if self.reserved_body_bytes + expected > MAX_BUFFERED_BODY_BYTES:
            message = "too many long requests at once"
            return refusal_reply(Refusal(Reason.TOO_MANY, message, OVERLOAD_RETRY_MS), last=True)
        self.reserved_body_bytes += expected
        try:
            body = yield from connection.body(self.max_body_bytes, until)
        finally:
            self.reserved_body_bytes -= expected
        if body is TOO_LONG:
            return self._too_large_reply()
        if body is None:
            return self._body_error_reply(connection, until)
        return (yield from self._route(connection, head, body))

    def _body_error_reply(self, connection: Connection, until: float) -> Reply | None:
        """The reply to an incomplete or invalid body; None if the client has left."""
        if connection.at_eof:
            return None
        if self.loop.now() >= until:
            return unreadable_reply("a body that does not come", 408)
        return unreadable_reply("a body that cannot be read")

    def _too_large_reply(self) -> Reply:
        return refusal_reply(Refusal(Reason.TOO_LARGE, f"a body over {self.max_body_bytes} bytes"), last=True)

    def _route(self, connection: Connection, head: h11.Request, body: bytes) -> Iterator[Until]:
        path = head.target.partition(b"?")[0]
        methods = {TARGETS_PATH: b"POST", LOG_TARGET: b"GET", STATUS_PATH: b"GET", READY_PATH: b"GET"}
        if path not in methods:
            return unreadable_reply(f"no path {path[:60].decode('latin-1')}", 404, last=False)
        if head.method != methods[path]:
            return unreadable_reply(f"{path.decode()} takes {methods[path].decode()}", 405, last=False)
        if path == STATUS_PATH:
            return Reply(200, json.dumps(status_of(self)).encode())
        if path == READY_PATH:
            return Reply(200 if self.is_ready() else HTTP_STATUS[Reason.NOT_READY], b"")
        if not self.is_ready():
            return self._not_ready_reply()
        if path == LOG_TARGET:
            return self._log_chunk_reply(head.target)
        return (yield from self._subscribe(connection, head.target, body))

    def _log_chunk_reply(self, target: bytes) -> Reply:
        """A chunk of the source file for a node that uses this one as its upstream."""
        query = dict(parse_qsl(target.partition(b"?")[2].decode("latin-1")))
        offset = query.get("offset", "")
        if len(query) != 1 or not is_number(offset):
            return unreadable_reply("query.offset: is no whole number from 0 up", last=False)
        identity = f"{self.table.prefix}{self.source.replacements}"
        return Reply(200, encode_log_chunk(identity, self.source.read_piece(int(offset), LOG_CHUNK_BYTES)))

    # Subscriptions.

    def _subscribe(self, connection: Connection, target: bytes, body: bytes) -> Iterator[Until]:
        try:
            poll = read_poll(target, self.max_wait_ms)
            request = decode_request(body)
        except MessageError as fault:
            return unreadable_reply(str(fault), last=False)
        if connection.peer_closed():  # the answer would be lost but count as sent
            return None
        return (yield from self._decide(connection, request, poll))

    def _decide(self, connection: Connection, request: SubscribeRequest, poll: Poll) -> Iterator[Until]:
        if request.lease in self.parked:
            self._supersede(request.lease)
        decision = self.table.request(self.loop.now(), request, poll.index)
        self._wake_ended()
        if isinstance(decision, Wait):
            return (yield from self._park(connection, decision.lease, poll.wait))
        return (yield from self._build_reply(decision))

    def _park(self, connection: Connection, lease: str, wait: float) -> Iterator[Until]:
        """Waits for a change of the lease; None if the client leaves meanwhile."""
        if wait > 0.0 and len(self.parked) >= self.bounds.parked:
            message = "no room for another request that waits"
            return refusal_reply(Refusal(Reason.TOO_MANY, message, OVERLOAD_RETRY_MS))
        parked = self.parked[lease] = ParkedRequest(connection, Event(self.loop))
        try:
            answerable = yield from self._wait_parked(connection, parked, self.loop.now() + wait)
        finally:
            if self.parked.get(lease) is parked:
                del self.parked[lease]
        if not answerable:
            return None
        update = (
            self.table.answer_superseded(lease) if parked.superseded else self.table.answer_waiting(lease)
        )
        return (yield from self._build_reply(update))

    def _wait_parked(self, connection: Connection, parked: ParkedRequest, until: float) -> Iterator[Until]:
        """Waits until the request is woken or times out. Returns False if the client leaves before."""
        descriptor = connection.sock.fileno()
        while not parked.woken:
            if not (yield Until(until, descriptor, READ, parked.event)):
                break
            if not parked.woken and connection.peer_closed():
                return False
            descriptor = -1  # a pipelined request is already readable: it is served after this answer
        return True

    def _wake(self, lease: str) -> None:
        parked = self.parked.get(lease)
        if parked is not None:
            parked.wake()

    def _supersede(self, lease: str) -> None:
        """Answers a parked request, most likely lost, as another one of the same lease has arrived."""
        parked = self.parked.pop(lease)
        parked.superseded = True
        parked.wake()

    def _wake_ended(self) -> None:
        for lease in self.table.take_ended():
            self._wake(lease)

    def _expire(self) -> Iterator[Until]:
        while True:
            yield Until(self.loop.now() + LEASE_EXPIRY_INTERVAL_MS)
            self.table.expire(self.loop.now())
            self._wake_ended()

    def _build_reply(self, decision: LeaseUpdate | Refusal) -> Iterator[Until]:
        """Builds the reply, a long one in several passes. Changes that occur meanwhile are repeated in the
        next reply."""
        if isinstance(decision, Refusal):
            return refusal_reply(decision)
        entries = yield from self._look_up(decision.destinations)
        complete = tuple(destination for destination, found in entries.items() if found)
        unknown = tuple(destination for destination, found in entries.items() if not found)
        servers = [entry for found in entries.values() for entry in found]
        bounds = self.table.bounds
        grant = Grant(
            fleet=self.table.fleet,
            node=self.table.node,
            lease=decision.lease,
            sequence=decision.sequence,
            lease_ms=bounds.lease_ms,
            complete=complete,
            unknown=unknown,
        )
        self.answers += 1
        return Reply(200, encode_answer(decision.full, decision.version, servers, grant))

    def _look_up(self, destinations: tuple[int, ...]) -> Iterator[Until]:
        """The entries of each destination as a consistent snapshot: an endpoint that moves must not appear
        twice."""
        catalogue, changed, entries = self.source.catalogue, set(), {}
        self._changes_during_lookups.append(changed)
        try:
            for position, destination in enumerate(destinations, 1):
                entries[destination] = catalogue.entries(destination)
                if position % ANSWER_DESTINATIONS_PER_STEP == 0:
                    yield Until(self.loop.now())
        finally:
            self._changes_during_lookups = [
                other for other in self._changes_during_lookups if other is not changed
            ]
        replaced = self.source.catalogue is not catalogue
        for destination in entries if replaced else changed.intersection(entries):
            entries[destination] = self.source.catalogue.entries(destination)
        return entries

    def _not_ready_reply(self) -> Reply:
        return refusal_reply(self._not_ready_refusal(), last=self.stopping)

    def _not_ready_refusal(self) -> Refusal:
        message = "the node ends" if self.stopping else "the node has not read its list yet"
        return Refusal(Reason.NOT_READY, message, NOT_READY_RETRY_MS)

    # Answers.

    def _send_reply(self, connection: Connection, reply: Reply) -> Iterator[Until]:
        """Sends the reply. Returns whether the connection can serve another request."""
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(reply.body)))]
        if reply.refusal:
            self._log_refusal(reply.refusal)
            if reply.refusal.retry_ms:
                headers.append(("Retry-After", str(retry_seconds(reply.refusal))))
        if reply.last or self.stopping:
            headers.append(("CourierConnection", "close"))
        try:
            data = connection.encode(h11.Response(status_code=reply.status, headers=headers), reply.body)
        except h11.LocalProtocolError:  # the client did not use HTTP, or has left
            return False
        done = yield from connection.write(data, self.loop.now() + REQUEST_TIMEOUT_MS)
        return done == len(data) and connection.prepare_next_message()

    def _log_refusal(self, refusal: Refusal) -> None:
        """Counts the refusal, and logs at most one line per REFUSAL_LOG_INTERVAL_MS."""
        self.refused[refusal.reason] += 1
        self._unlogged_refusals += 1
        now = self.loop.now()
        if now < self._refusal_logged_at + REFUSAL_LOG_INTERVAL_MS:
            return
        logger.warning(
            "{requests} requests refused, the last as {reason}: {why}",
            event="refused",
            requests=self._unlogged_refusals,
            reason=refusal.reason.value,
            why=refusal.message,
        )
        self._unlogged_refusals, self._refusal_logged_at = 0, now
