"""Clients that hand texts in to couriers, and connections that misbehave."""

import zlib
from collections import deque

import httptools

from calicopin.emulator.standins.http import Parsed


class Sender:
    """One connection of a client to a courier."""

    def __init__(self, clients, courier):
        self.clients, self.courier, self.ask, self.ready = clients, courier, None, False
        self.parsed = Parsed(httptools.HttpResponseParser, self.whole)
        self.end = clients.net.connect(clients.machine, courier.host, 5000, self.up)
        self.end.on_data, self.end.on_end = self.parsed.feed, self.over

    def up(self, done):
        if isinstance(done, int):
            self.over(True)
        else:
            self.ready = True
            if self.ask is not None:
                self.clients.send(self)

    def whole(self, message, body, begun):
        ask, self.ask = self.ask, None
        keep = message.headers.get(b"connection", b"").lower() != b"close"
        if ask is not None:
            self.clients.answered(ask, message.parser.get_status_code(), message.headers)
        if keep and not self.end.closed:
            self.clients.idle[self.courier.name].append(self)
        else:
            self.end.close()

    def over(self, reset):
        idle = self.clients.idle[self.courier.name]
        if self in idle:
            idle.remove(self)
        self.end.close()
        ask, self.ask = self.ask, None
        if ask is not None:
            self.clients.broken(ask)


class Rude:
    """A connection that misbehaves: each way once in a while, and hung up after a while if the courier
    does not.
    """

    WAYS = (
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

    def __init__(self, clients, courier, way):
        self.way, self.heard = way, 0
        self.end = clients.net.connect(clients.machine, courier.host, 5000, self.up)
        self.end.on_data, self.end.on_end = self.hear, lambda reset: self.end.close()
        clients.world.call_later(6000.0, self.end.close)

    def up(self, done):
        if not isinstance(done, int) and self.way:
            self.end.send(self.way)

    def hear(self, data, _):
        self.heard += len(data)


class Ask:
    """One handing-in of a text."""

    __slots__ = ("ident", "text", "courier", "until", "sent", "line", "again", "over", "arrived")

    def __init__(self, ident, text, courier, until):
        self.ident, self.text, self.courier, self.until = ident, text, courier, until
        self.sent, self.line, self.again, self.over = False, None, False, False
        self.arrived = False  # the courier has read all of it


class Clients:
    """Hands texts in on their schedule, again where that is harmless, and leaves after its patience.

    A text is (number, destination, product, key, body, due, until); each handing-in has an id of its own
    unless the scenario says `same`.
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
        self.rng, self.tries, self.asks, self.unheard = world.random_stream("clients"), {}, {}, {}

    def hand_in(self, text, courier, ident=None):
        if self.traffic.rude and self.rng.random() < self.traffic.rude:
            Rude(self, courier, self.rng.choice(Rude.WAYS))
        if self.world.now >= text["until"] - 20.0:
            return
        tries = self.tries[text["number"]] = self.tries.get(text["number"], 0) + 1
        if ident is None:
            ident = f"{text['number']:x}.{tries}"
        ask = self.asks[ident] = Ask(ident, text, courier, text["until"])
        self.begin(ask)
        self.world.call_later(self.traffic.patience_ms, self.impatient, ask)

    def begin(self, ask, new=False):
        idle = self.idle[ask.courier.name]
        sender = idle.pop() if idle and not new else Sender(self, ask.courier)
        sender.ask = ask
        ask.line = sender
        if sender.ready:
            self.send(sender)

    def send(self, sender):
        ask, now = sender.ask, self.world.now
        text, product = ask.text, self.products[ask.text["product"]]
        path = product.name + (f"/{text['key']}" if text["key"] else "")
        key = f"Idempotency-Key: {text['reference']}\r\n" if text["reference"] else ""
        left = (text["until"] - now) / 1000.0
        head = (
            f"POST /{path} HTTP/1.1\r\nHost: courier\r\nX-Request-ID: {ask.ident}\r\n"
            f"X-Timeout: {left:.3f}\r\n{key}"
            f"X-Envelope: dest={text['dest']}\r\nContent-Length: {len(text['body'])}\r\n\r\n"
        )
        ask.sent = True
        self.world.record(
            "hand-in",
            ask.ident,
            text["number"],
            ask.courier.name,
            text["dest"],
            text["product"],
            text["key"],
            text["reference"],
            zlib.crc32(text["body"]),
            now + round(left * 1000.0),
        )
        ask.arrived = False
        sender.end.send(head.encode() + text["body"], lambda: setattr(ask, "arrived", True))

    def answered(self, ask, status, headers):
        if ask.over:
            return
        ask.over = True
        self.world.record("answer", ask.ident, status)
        self.unheard.pop(ask.text["number"], None)
        if status in (429, 503):
            told = headers.get(b"retry-after")
            wait = float(told) * 1000.0 if told and self.rng.random() < self.traffic.honour else 0.0
            self.again(ask, max(wait, self.rng.uniform(200.0, 800.0)))

    def broken(self, ask):
        """The connection ended before the answer.

        One that crossed the courier's closing goes once more on a new one.
        """
        if ask.over:
            return
        if ask.sent and not ask.again and not ask.arrived:
            ask.again, ask.sent = True, False
            self.begin(ask, True)
            return
        ask.over = True
        if ask.sent:
            self.world.record("cut", ask.ident, ask.courier.name)
        self.again(ask, self.rng.uniform(100.0, 500.0), ask.sent)

    def impatient(self, ask):
        if not ask.over:
            ask.over = True
            self.world.record("left", ask.ident)
            line = ask.line
            if line is not None and line.ask is ask:
                line.ask = None
                line.end.close()
            self.again(ask, self.rng.uniform(0.0, 100.0), ask.sent)

    def noticed(self, ident, verdict, wait):
        ask = self.asks.get(ident)
        if ask is not None and verdict == "bounced":
            heeds = self.rng.random() < self.traffic.honour
            self.again(ask, max(wait if heeds else 0.0, self.rng.uniform(200.0, 800.0)))

    def again(self, ask, wait, unheard=False):
        """The text is handed in once more; where its first answer was not heard, perhaps under the same
        id.
        """
        traffic, number = self.traffic, ask.text["number"]
        if traffic.again == "never" or self.tries[number] > traffic.agains:
            return
        if unheard and traffic.again == "same":
            self.unheard[number] = ask.ident, ask.courier
        ident, courier = self.unheard.get(number, (None, None))
        courier = courier or (self.rng.choice(self.couriers) if self.front else ask.courier)
        self.world.call_later(wait, self.hand_in, ask.text, courier, ident)

    front = False
