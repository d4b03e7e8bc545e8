"""The server side: requests of clients.

Each request that was read is answered; 202 is sent only once the text is in the journal. Times are
milliseconds unless noted.
"""

import h11
from loguru import logger

from calicopin.memory_budget import MIN_SHARE_BYTES
from calicopin.system import call_with_retries
from calicopin.wire.http import TOO_LONG, Connection, accept_next
from calicopin.wire.loop import FOREVER, HANG_UP, READ, RETRY_DELAY_MS, Event, Until
from calicopin.wire.receive_buffers import ReceiveBuffers
from calicopin.wire.requests import MAX_BODY_BYTES, RequestRefusedError, framing_error, read_head, read_text

REQUEST_TIMEOUT_MS = 2500.0  # for a whole request, so that silent clients do not hold descriptors
LINGER_MS = 300.0  # for a client to read its last answer
# before a new connection may be closed to free descriptors: its request may be under way
NEW_CONNECTION_MIN_IDLE_MS = 500.0
KEEP_ALIVE_MIN_IDLE_MS = 2000.0  # the same between requests, unless no descriptor is left at all
CLEANUP_INTERVAL_MS = 250.0
MIN_CLEANUP_INTERVAL_MS = 20.0  # bounds the cost where new connections arrive at a high rate
REFUSAL_DELAY_MS = 100.0  # after a refused request, so that a client that repeats it does not starve others
FINAL_ANSWER_TRIES, FINAL_ANSWER_RETRY_MS = 4, 20.0  # at exit, where the system lacks resources to send
ANSWER_MARGIN_MS = 20.0  # left of a text's validity period for the client to receive the refusal
MAX_ACCEPTS_PER_PASS = 32  # bounds the cost of one pass of the loop
MAX_REASON_LENGTH = 200  # characters of the reason in the answer to a refused request, and in the log
REFUSAL_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


def retry_after(wait):
    """The `Retry-After` header for a wait in ms; none for 0."""
    return [("Retry-After", f"{wait / 1000.0:.3f}")] if wait > 0.0 else []


class ClientConnection:
    """A connection of a client and its state."""

    __slots__ = (
        "connection",
        "task",
        "since",
        "until",
        "fresh",
        "delay",
        "answer_pending",
        "handed_over",
        "last_request",
        "refused",
    )

    def __init__(self, connection, now):
        self.connection, self.task, self.since, self.until = connection, None, now, now + REQUEST_TIMEOUT_MS
        self.fresh, self.delay = True, 0.0  # no request read yet; ms until the next one is read
        self.last_request = ""  # method and target of the last request
        # answer_pending: a request was read completely, or cannot be, and its answer is not sent yet
        # refused: its request was answered while it was still being received
        self.answer_pending = self.handed_over = self.refused = False


class JournalledEvent(Event):
    """Set once a message that was taken on is in the journal, or could not be written there.

    In the second case `refused` is true, the message was withdrawn, and `wait` (ms) goes into `Retry-After`.
    """

    def __init__(self, loop, text):
        super().__init__(loop)
        self.text, self.refused, self.wait = text, False, 0.0

    def refuse(self, wait):
        """Notes that the message could not be written, and sets the event."""
        self.refused, self.wait = True, wait
        self.set()


class Clients:
    """Accepts connections within the descriptor budget and serves the requests on them.

    The methods of `acceptor`:
    - `accept(text)`: None if the text is taken on, else (status, advised wait in ms);
    - `journalled_event(text)`: a `JournalledEvent` event, set once the text is in the journal or refused;
    - `acknowledged(text)` and `withdraw(text)`: its 202 was sent, or could not be sent;
    - `first_answer(text)`: an event to wait for while its destination is unknown, or None;
    - `stop_waiting_for(event)`: the wait for such an event has ended;
    - `request_delay()`: how long (ms) each connection waits before its next request is read;
    - `unanswered(request)`: a request was read and its connection closed without an answer, an error.
    """

    def __init__(
        self, loop, address, products, budget, acceptor, listener=None, receive_limit=MIN_SHARE_BYTES
    ):
        self.loop, self.products, self.budget, self.acceptor = loop, products, budget, acceptor
        host, _, port = address.rpartition(":")
        system = loop.system
        self.listener = listener or (
            call_with_retries(system, system.listen_path, port)
            if host == "unix"
            else call_with_retries(system, system.listen, host, int(port))
        )
        self.status = None  # returns the body of /-/status; None if it is not served
        self.idle, self.lingering, self.open, self.leaving, self.closing = {}, {}, 0, False, False
        self.connections = {}  # open connections and their tasks
        self.buffers = ReceiveBuffers(receive_limit)
        self.unlogged_refusals, self.refusal_logged_at, self.cleaned_up_at = 0, -FOREVER, -FOREVER
        self.accepting = loop.spawn_restarting(self.accept)

    def accept(self):
        """A coroutine that accepts connections until listening ends.

        After an error of the system it frees descriptors and retries after `RETRY_DELAY_MS`.
        """
        while True:
            try:
                more = self.accept_some()
            except OSError as fault:  # out of descriptors or memory
                logger.warning("accept failed: {fault}", event="accept.failed", fault=fault)
                self.free_descriptors()
                yield Until(self.loop.now() + RETRY_DELAY_MS)
                continue
            yield Until(self.loop.now()) if more else Until(FOREVER, self.listener.fileno(), READ)

    def accept_some(self):
        """Accepts up to `MAX_ACCEPTS_PER_PASS` connections; returns whether more may be pending."""
        for _ in range(MAX_ACCEPTS_PER_PASS):
            sock = accept_next(self.listener)
            if sock is None:
                return False
            self.admit(Connection(self.loop, sock, h11.SERVER))
        return True

    def admit(self, connection):
        """Serves a new connection, or answers it with 503 at once if no descriptor is left."""
        if (
            self.open >= self.budget.clients
            and self.loop.now() >= self.cleaned_up_at + MIN_CLEANUP_INTERVAL_MS
        ):
            self.free_descriptors()
        limit = self.budget.clients + self.budget.other_clients
        if self.open >= limit:  # close one that is idle between requests, however briefly
            client = next(
                (
                    client
                    for client in self.idle
                    if not client.fresh and client.connection.open_without_data()
                ),
                None,
            )
            if client:
                self.loop.cancel(client.task)
        if self.open < limit:
            self.receive(ClientConnection(connection, self.loop.now()))
            return
        self.log_refusal(503, "no descriptor left for a client")
        connection.finish_without_waiting(REFUSAL_RESPONSE)
        connection.close()

    def receive(self, client):
        """Serves a connection in a coroutine of its own."""
        self.open += 1
        client.connection.on_buffered = lambda size: self.on_buffered(client, size)
        if client.connection.received:  # from another process
            self.buffers.grow(client, len(client.connection.received))
        self.connections[client] = self.loop.spawn(self.serve(client))

    def on_buffered(self, client, size):
        """Notes data received of a client's request. Where the buffers of all clients are over their limit,
        incomplete requests are refused, and connections that were answered and still linger are closed.
        """
        self.buffers.grow(client, size)
        while self.buffers.exhausted:
            other = self.buffers.next_to_refuse(lambda other: self.may_give_way(other, client))
            if other is None:
                return
            if other.connection in self.lingering:
                self.loop.cancel(self.connections[other])
            else:
                self.refuse_incomplete_request(other)

    def may_give_way(self, client, current):
        """Whether a client's buffered data may be dropped while that of `current` is received."""
        is_served = client in self.connections and self.connections[client].started()
        is_answered = client.answer_pending and client.connection not in self.lingering
        return client is not current and is_served and not is_answered

    def refuse_incomplete_request(self, client):
        """Answers a request that is not complete with 503 and closes its connection."""
        self.log_refusal(503, f"incomplete, while {self.buffers.total} bytes are buffered of all requests")
        self.buffers.refused += 1
        client.connection.finish_without_waiting(REFUSAL_RESPONSE)
        client.answer_pending = client.refused = True
        self.loop.cancel(self.connections[client])

    def release_for_handover(self, client):
        """Releases a connection for the handover to another process, and returns it.

        None if its state cannot be rebuilt from the bytes received on it: then it stays here.
        """
        connection = client.connection
        if (
            client.answer_pending
            or connection.at_eof
            or connection in self.lingering
            or client not in self.connections
        ):
            return None
        task, client.handed_over = self.connections.pop(client), True
        if not task.started():  # its `finally` block, which counts down, will not run
            self.open -= 1
        self.loop.cancel(task)
        return connection

    def free_descriptors(self):
        """Closes connections until fewer than `budget.clients` are open.

        First those in a lingering close, then new ones without any data, then those between requests, the
        longest idle first; never one in the middle of a request.
        """
        now, limit = self.loop.now(), self.budget.clients
        self.cleaned_up_at = now
        for task in list(self.lingering.values()):
            if self.open < limit:
                break
            self.loop.cancel(task)
        # while leaving, few new connections arrive: those in use stay
        for fresh, min_idle in (
            ((True, NEW_CONNECTION_MIN_IDLE_MS), (False, KEEP_ALIVE_MIN_IDLE_MS)) if not self.leaving else ()
        ):
            for client in list(self.idle) if self.open >= limit else ():
                if self.open < limit or now - client.since < min_idle:
                    break
                if client.fresh is fresh and client.connection.open_without_data():
                    self.loop.cancel(client.task)

    def free_descriptors_periodically(self):
        """A coroutine that frees descriptors every `CLEANUP_INTERVAL_MS`."""
        while True:
            yield Until(self.loop.now() + CLEANUP_INTERVAL_MS)
            self.free_descriptors()

    def serve(self, client):
        """A coroutine that serves one connection until it is closed."""
        connection, collected = client.connection, False
        try:
            keep_alive = True
            while keep_alive:
                keep_alive = yield from self.request(client)
                client.fresh = client.answer_pending = False
                # yields between requests, so that pipelined requests of one client do not delay others
                delay = max(client.delay, self.acceptor.request_delay())
                is_pipelined = not delay and bool(connection.unparsed())
                yield Until(self.loop.now() + delay, low_priority=is_pipelined)
            yield from self.close_gracefully(connection)
        except Exception as fault:  # the process goes on, and the client still gets an answer
            self.loop.faults.log_exception(
                "request.fault", "a client's request failed by an unexpected exception", fault
            )
            yield from self.refuse_request(connection, 500, "a fault of the courier")
            yield from self.close_gracefully(connection)
        except GeneratorExit:  # cancelled, or garbage-collected with its loop
            collected = not self.connections[client].finished if client in self.connections else False
            raise
        finally:
            if not (collected or client.handed_over or client.refused):
                self.report_unanswered(client)
            self.buffers.release(client)
            connection.on_buffered = None
            self.idle.pop(client, None)
            self.lingering.pop(connection, None)
            self.connections.pop(client, None)
            if not client.handed_over:
                connection.close()
            self.open -= 1

    def report_unanswered(self, client):
        """Reports a request that was read and not answered on a connection about to be closed."""
        if client.connection.h11.our_state is h11.SEND_RESPONSE and not client.connection.peer_closed():
            self.acceptor.unanswered(client.last_request)

    def request(self, client):
        """Serves one request; returns whether the connection may serve another."""
        connection, client.delay, client.answer_pending = client.connection, 0.0, False
        head = yield from self.receive_head(client)
        if head is None:
            return False
        body = yield from self.receive_body(client, head)
        if body is None:
            return False
        connection.drop_parsed_data()
        self.buffers.release(client)
        if head.method != b"POST":
            return (yield from self.answer_query(connection, head.target.split(b"?")[0]))
        try:
            text = read_text(head, body, self.products, self.loop.now())
        except RequestRefusedError as fault:
            client.delay = REFUSAL_DELAY_MS
            self.log_refusal(fault.status, fault)
            return (yield from self.reply(connection, fault.status, str(fault).encode()))
        return (yield from self.take_on(client, text))

    def receive_head(self, client):
        """The `RequestHead` of the next request; None if none came, or it was refused."""
        connection, event = client.connection, (yield from self.next_head(client))
        client.answer_pending = not isinstance(event, h11.Request)
        if isinstance(event, h11.Request):
            client.last_request = f"{event.method.decode()} {event.target.decode('latin-1')[:100]}"
            return read_head(event)
        if event is None and connection.unparsed():
            yield from self.refuse_request(connection, 408, "a head that does not come")
        elif isinstance(event, h11.RemoteProtocolError):
            yield from self.refuse_request(connection, event.error_status_hint or 400, str(event))
        return None

    def receive_body(self, client, head):
        """The body of a request; None if its client has left, or the request was refused."""
        connection, until = client.connection, client.until
        error = framing_error(head)
        if error is None and head.method not in (b"GET", b"HEAD", b"POST"):
            error = 405, f"no {head.method[:20]!r}"
        body = None if error else (yield from connection.body(MAX_BODY_BYTES, until))
        client.answer_pending = True
        if body is TOO_LONG:
            error = 413, "a body over 64 KiB"
        elif body is None and not error:
            if self.loop.now() >= until:
                error = 408, "a body that does not come"
            elif connection.error is not None and not connection.at_eof:
                fault = connection.error
                error = fault.error_status_hint or 400, f"a body that cannot be read: {fault}"
        if error is None:
            return body
        yield from self.refuse_request(connection, *error)
        return None

    def answer_query(self, connection, path):
        """Answers a GET or HEAD request; returns whether the connection may serve another request."""
        if path == b"/-/status" and self.status:
            content_type = [("Content-Type", "application/json")]
            return (yield from self.reply(connection, 200, self.status(), content_type))
        status = {b"/-/ready": 503 if self.leaving else 200, b"/-/healthy": 200}.get(path, 404)
        return (yield from self.reply(connection, status))

    def take_on(self, client, text):
        """Takes a text on or refuses it; returns whether the connection may serve another request."""
        connection = client.connection
        yield from self.wait_for_destination(connection, text)
        if connection.peer_closed():  # it may submit the text elsewhere now; if not, refusing does no harm
            return (yield from self.reply(connection, 503))
        refusal = self.acceptor.accept(text)
        if refusal is not None:
            status, wait = refusal
            if status != 503:
                client.delay = REFUSAL_DELAY_MS
                self.log_refusal(status, f"dest {text.dest}, id {text.ident[:40]!r}")
            return (yield from self.reply(connection, status, b"", retry_after(wait)))
        journalled_event = self.acceptor.journalled_event(text)
        yield Until(event=journalled_event)
        if journalled_event.refused:
            self.log_refusal(503, "the journal cannot be written")
            return (yield from self.reply(connection, 503, b"", retry_after(journalled_event.wait)))
        return bool((yield from self.confirm_taken_on(connection, text)))

    def confirm_taken_on(self, connection, text):
        """Answers 202 and returns the result of `reply`; withdraws the text if the answer cannot be sent."""
        keep_alive = None
        try:
            keep_alive = yield from self.reply(connection, 202)
        except Exception:
            self.acceptor.withdraw(text)
            raise
        (self.acceptor.withdraw if keep_alive is None else self.acceptor.acknowledged)(text)
        return keep_alive

    def wait_for_destination(self, connection, text):
        """Waits while the text's destination is unknown.

        Ends with the first answer on the destination, shortly before the end of the text's validity period,
        or when the client closes the connection. Nothing is stored of the text meanwhile.
        """
        event = self.acceptor.first_answer(text)
        if event is None:
            return
        until, fd = text.until - ANSWER_MARGIN_MS, connection.sock.fileno()
        try:
            while not event.received and self.loop.now() < until and not connection.peer_closed():
                # a pipelined request has to wait
                yield Until(until, fd, READ if connection.open_without_data() else HANG_UP, event)
        finally:
            self.acceptor.stop_waiting_for(event)

    def next_head(self, client):
        """Waits for the head of the next request; only in this wait may the courier close the connection."""
        connection = client.connection
        if not self.closing and not connection.has_extra_data():
            client.task = self.loop.current
            if not client.fresh:
                client.since, client.until = self.loop.now(), FOREVER
            self.idle[client] = True
            yield Until(client.until, connection.sock.fileno(), READ)
            self.idle.pop(client, None)
        if not client.fresh:
            client.until = self.loop.now() + REQUEST_TIMEOUT_MS
        elif self.closing:  # a silent connection must not delay the stop
            client.until = min(client.until, self.loop.now() + NEW_CONNECTION_MIN_IDLE_MS)
        return (yield from connection.event(client.until))

    def refuse_request(self, connection, status, why):
        """Answers a request with an error status and the reason, then the connection is closed."""
        why = why[:MAX_REASON_LENGTH]  # it may quote what the client has sent
        self.log_refusal(status, why)
        yield from self.reply(connection, status, why.encode("latin-1", "replace"), [("Connection", "close")])

    def close_gracefully(self, connection):
        """Gives the client `LINGER_MS` to read the last answer and to close the connection.

        If descriptors are short, only where unread data would make the close reset the connection, by which
        the answer could be lost.
        """
        if connection.at_eof or connection.h11.our_state is h11.IDLE:
            return
        if self.open < self.budget.clients or not connection.open_without_data():
            self.lingering[connection] = self.loop.current
            yield from connection.lingering_close(self.loop.now() + LINGER_MS)

    def log_refusal(self, status, why):
        """Logs refused requests, one line a second at most; the others are counted in it."""
        self.unlogged_refusals += 1
        now = self.loop.now()
        if now >= self.refusal_logged_at + 1000.0:
            logger.warning(
                "refused {requests} requests of clients, the last with {status}: {why}",
                event="turned-away",
                requests=self.unlogged_refusals,
                status=status,
                why=why,
            )
            self.unlogged_refusals, self.refusal_logged_at = 0, now

    def reply(self, connection, status, body=b"", extra=()):
        """Sends an answer: whether the connection may serve another request; None if it was not sent."""
        if self.closing or self.open >= self.budget.clients:  # the client's descriptor is needed
            extra = [*extra, ("Connection", "close")]
        try:
            data = connection.encode(
                h11.Response(status_code=status, headers=[*extra, ("Content-Length", str(len(body)))]), body
            )
        except h11.LocalProtocolError:  # already answered, or the peer is gone
            return None
        done = yield from connection.write(data, self.loop.now() + REQUEST_TIMEOUT_MS)
        return None if done < len(data) else connection.prepare_next_message()

    def stop_listening(self):
        """Closes the listener after accepting all pending connections, which are still served.

        May be called again: if not all could be accepted for lack of resources, the listener stays open.
        """
        if self.listener.fileno() < 0:
            return
        self.loop.cancel(self.accepting)
        try:
            while self.accept_some():
                pass
        except OSError as fault:
            logger.warning("accept failed: {fault}", event="accept.failed", fault=fault)
            return
        self.loop.close(self.listener)

    def refuse_outstanding_requests(self):
        """Refuses all outstanding requests before the process exits.

        No turn follows, so their messages are not in the journal and refusing them is safe.
        """
        unsent = {}
        for client in self.connections:
            connection = client.connection
            if not connection.at_eof and connection.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                unsent[connection] = (
                    REFUSAL_RESPONSE if client not in self.idle or not connection.open_without_data() else b""
                )
        for tries_left in reversed(range(FINAL_ANSWER_TRIES)):
            unsent = {
                connection: remaining
                for connection, answer in unsent.items()
                if (remaining := connection.finish_without_waiting(answer))
            }
            if not unsent:
                return
            if tries_left:
                self.loop.system.sleep(FINAL_ANSWER_RETRY_MS)
        logger.warning(
            "{clients} clients were left without an answer", event="end.unanswered", clients=len(unsent)
        )

    def close_between_requests(self):
        """Closes idle connections now, the others with their next answer."""
        self.closing = True
        for client in [client for client in self.idle if client.connection.open_without_data()]:
            self.loop.cancel(client.task)
