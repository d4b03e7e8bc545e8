"""Clients that submit texts to couriers, and connections that misbehave."""

import zlib
from collections import deque

import httptools

from calicopin.emulator.standins.http import MessageParser


class ClientConnection:
    """One connection of a client to a courier."""

    def __init__(self, clients, courier):
        self.clients, self.courier, self.request, self.ready = clients, courier, None, False
        self.parser = MessageParser(httptools.HttpResponseParser, self.on_response)
        self.end = clients.net.connect(clients.machine, courier.host, 5000, self.on_connected)
        self.end.on_data, self.end.on_end = self.parser.feed, self.on_closed

    def on_connected(self, result):
        """The connection is established, or `result` is the errno."""
        if isinstance(result, int):
            self.on_closed(True)
        else:
            self.ready = True
            if self.request is not None:
                self.clients.send(self)

    def on_response(self, message, body, started_at):
        """Reports an answer and returns the connection to the idle ones."""
        request, self.request = self.request, None
        keep = message.headers.get(b"connection", b"").lower() != b"close"
        if request is not None:
            self.clients.on_answer(request, message.parser.get_status_code(), message.headers)
        if keep and not self.end.closed:
            self.clients.idle[self.courier.name].append(self)
        else:
            self.end.close()

    def on_closed(self, reset):
        """The connection has ended; an unanswered request is reported."""
        idle = self.clients.idle[self.courier.name]
        if self in idle:
            idle.remove(self)
        self.end.close()
        request, self.request = self.request, None
        if request is not None:
            self.clients.on_connection_lost(request)


class MisbehavingConnection:
    """A connection that sends one of `PAYLOADS` and is closed after 6 s if the courier does not close it."""

    PAYLOADS = (
        b"GET /",
        b"POST /x HTTP/1.1\r\nHost: c\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /x HTTP/1.1\r\nHost: c\r\nContent-Length: 99999999\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00",
        b"",
        b"NONSENSE\r\n\r\n",
        b"POST /nothing HTTP/1.1\r\nHost: c\r\nX-Request-ID: q\r\nX-Timeout: soon\r\n"
        b"Content-Length: 0\r\n\r\n",
        b"POST /x HTTP/1.1\r\nHost: c\r\nContent-Length: 100\r\n\r\nhalf a body",
        b"GET /-/ready HTTP/1.1\r\nHost: c\r\n\r\n" * 40,
    )

    def __init__(self, clients, courier, payload):
        self.payload, self.bytes_received = payload, 0
        self.end = clients.net.connect(clients.machine, courier.host, 5000, self.on_connected)
        self.end.on_data, self.end.on_end = self.on_data, lambda reset: self.end.close()
        clients.world.call_later(6000.0, self.end.close)

    def on_connected(self, result):
        """Sends the payload."""
        if not isinstance(result, int) and self.payload:
            self.end.send(self.payload)

    def on_data(self, data, _):
        """Counts the bytes of the answer."""
        self.bytes_received += len(data)


class Request:
    """One submission of a text."""

    __slots__ = (
        "ident",
        "text",
        "courier",
        "until",
        "sent",
        "connection",
        "retried",
        "finished",
        "fully_read",
    )

    def __init__(self, ident, text, courier, until):
        self.ident, self.text, self.courier, self.until = ident, text, courier, until
        self.sent, self.connection, self.retried, self.finished = False, None, False, False
        self.fully_read = False  # by the courier


class Clients:
    """Submit texts on schedule, retry where a retry is harmless, and give up after `patience_ms`.

    A text is a dict of number, destination, product, key, body, due time and deadline; each submission has an
    id of its own unless the scenario says `same`.
    """

    def __init__(self, world, net, traffic, products, couriers):
        self.world, self.net, self.traffic, self.products, self.couriers = (
            world,
            net,
            traffic,
            products,
            couriers,
        )
        self.machine, self.idle = net.machine("10.9.0.1"), {courier.name: deque() for courier in couriers}
        self.rng, self.attempts, self.requests, self.unanswered = world.random_stream("clients"), {}, {}, {}

    def send_text(self, text, courier, ident=None):
        """Submits a text, under a new id if none is given."""
        if self.traffic.rude and self.rng.random() < self.traffic.rude:
            MisbehavingConnection(self, courier, self.rng.choice(MisbehavingConnection.PAYLOADS))
        if self.world.now >= text["until"] - 20.0:
            return
        attempt = self.attempts[text["number"]] = self.attempts.get(text["number"], 0) + 1
        if ident is None:
            ident = f"{text['number']:x}.{attempt}"
        request = self.requests[ident] = Request(ident, text, courier, text["until"])
        self.assign_connection(request)
        self.world.call_later(self.traffic.patience_ms, self.on_timeout, request)

    def assign_connection(self, request, new=False):
        """Sends a request on an idle connection, or on a new one."""
        idle = self.idle[request.courier.name]
        connection = idle.pop() if idle and not new else ClientConnection(self, request.courier)
        connection.request = request
        request.connection = connection
        if connection.ready:
            self.send(connection)

    def send(self, connection):
        """Sends the request of a connection."""
        request, now = connection.request, self.world.now
        text, product = request.text, self.products[request.text["product"]]
        path = product.name + (f"/{text['key']}" if text["key"] else "")
        key = f"Idempotency-Key: {text['reference']}\r\n" if text["reference"] else ""
        left = (text["until"] - now) / 1000.0
        head = (
            f"POST /{path} HTTP/1.1\r\nHost: courier\r\nX-Request-ID: {request.ident}\r\n"
            f"X-Timeout: {left:.3f}\r\n{key}"
            f"X-Envelope: dest={text['dest']}\r\nContent-Length: {len(text['body'])}\r\n\r\n"
        )
        request.sent = True
        self.world.record(
            "hand-in",
            request.ident,
            text["number"],
            request.courier.name,
            text["dest"],
            text["product"],
            text["key"],
            text["reference"],
            zlib.crc32(text["body"]),
            now + round(left * 1000.0),
        )
        request.fully_read = False
        connection.end.send(head.encode() + text["body"], lambda: setattr(request, "fully_read", True))

    def on_answer(self, request, status, headers):
        """An answer has arrived; refused texts are submitted again."""
        if request.finished:
            return
        request.finished = True
        self.world.record("answer", request.ident, status)
        self.unanswered.pop(request.text["number"], None)
        if status in (429, 503):
            retry_after = headers.get(b"retry-after")
            wait = (
                float(retry_after) * 1000.0
                if retry_after and self.rng.random() < self.traffic.honour
                else 0.0
            )
            self.retry(request, max(wait, self.rng.uniform(200.0, 800.0)))

    def on_connection_lost(self, request):
        """The connection ended before the answer.

        A request that the courier has not read whole is sent once more on a new connection.
        """
        if request.finished:
            return
        if request.sent and not request.retried and not request.fully_read:
            request.retried, request.sent = True, False
            self.assign_connection(request, True)
            return
        request.finished = True
        if request.sent:
            self.world.record("cut", request.ident, request.courier.name)
        self.retry(request, self.rng.uniform(100.0, 500.0), request.sent)

    def on_timeout(self, request):
        """Closes the connection of a request that was not answered in time."""
        if not request.finished:
            request.finished = True
            self.world.record("left", request.ident)
            connection = request.connection
            if connection is not None and connection.request is request:
                connection.request = None
                connection.end.close()
            self.retry(request, self.rng.uniform(0.0, 100.0), request.sent)

    def on_notice(self, ident, verdict, wait):
        """A notice has arrived; a text that had no effect is submitted again."""
        request = self.requests.get(ident)
        if request is not None and verdict == "bounced":
            honours_wait = self.rng.random() < self.traffic.honour
            self.retry(request, max(wait if honours_wait else 0.0, self.rng.uniform(200.0, 800.0)))

    def retry(self, request, wait, unanswered=False):
        """Submits the text again after `wait` ms.

        If an earlier submission is unanswered, the scenario may ask for the same id and courier.
        """
        traffic, number = self.traffic, request.text["number"]
        if traffic.again == "never" or self.attempts[number] > traffic.agains:
            return
        if unanswered and traffic.again == "same":
            self.unanswered[number] = request.ident, request.courier
        ident, courier = self.unanswered.get(number, (None, None))
        courier = courier or (self.rng.choice(self.couriers) if self.load_balanced else request.courier)
        self.world.call_later(wait, self.send_text, request.text, courier, ident)

    load_balanced = False
