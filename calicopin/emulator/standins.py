"""The other parties on the emulated network: partners' endpoints, the platform's agent, and clients.

They speak HTTP/1.1 by httptools, another reading of it than the courier's h11, and note down for the referee
what passed: nothing in those notes comes from inside a courier.
"""

import base64
import json
import re
import zlib
from collections import deque

import httptools

from calicopin.emulator.net import Listener
from calicopin.emulator.partners import NEVER

REASONS = {
    200: b"OK",
    204: b"No Content",
    400: b"Bad Request",
    429: b"Too Many Requests",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}
ODD = {b"/inbox": False, b"/inbox/bulk": True}


def response(status, body=b"", headers=()):
    lines = [b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, REASONS.get(status, b"X"), len(body))]
    lines += [f"{name}: {value}\r\n".encode() for name, value in headers]
    return b"".join(lines) + b"\r\n" + body


class Parsed:
    """Whole messages out of a stream; `done(message)` has them as (line, headers, body, first byte's
    time).
    """

    def __init__(self, make, done):
        self.parser, self.done, self.fault = make(self), done, False
        self.begun = None
        self.on_message_begin()

    def feed(self, data, sent=0.0):
        if self.begun is None:
            self.begun = sent
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.fault = True

    def on_message_begin(self):
        self.headers, self.parts, self.target = {}, [], b""

    def on_url(self, url):
        self.target += url

    def on_header(self, name, value):
        self.headers[name.lower()] = value

    def on_body(self, data):
        self.parts.append(data)

    def on_message_complete(self):
        begun, self.begun = self.begun, None
        self.done(self, b"".join(self.parts), begun)


class Server:
    """One connection to a stand-in; one request at a time, and `answer(line, headers, body, begun)` deals
    with it.
    """

    def __init__(self, end, answer, closed=None):
        self.end, self.answer, self.closed = end, answer, closed
        self.parsed = Parsed(httptools.HttpRequestParser, self.whole)
        self.open, self.last = True, end.net.world.now
        end.on_data, end.on_end, end.on_peer_closed = self.parsed.feed, self.over, self.gone

    def whole(self, message, body, begun):
        self.last = self.end.net.world.now
        if self.open:
            self.answer(self, message.target, message.headers, body, begun)

    def over(self, reset):
        """The courier ended its side: a call that is out is given up."""
        self.gone()
        self.end.close()

    def gone(self):
        if self.open:
            self.open = False
            if self.closed:
                self.closed(self)

    def reply(self, data, heard=None):
        self.last = self.end.net.world.now
        if self.open:
            self.end.send(data, heard)

    def hang_up(self):
        self.open = False
        self.end.close()


class Partners:
    """The endpoints of every destination on the network."""

    def __init__(self, world, net, who):
        self.world, self.net, self.who, self.calls = world, net, who, 0
        self.rng = world.chance("partners")

    def listen(self, destination, endpoint):
        machine = self.net.machine(endpoint.host)
        open_ = endpoint.servers = []

        def met(end):
            if destination.modes.get("refuse") or destination.fell:
                self.world.after(self.net.latency(), self.refused, destination, end)
                return True
            server = Server(end, lambda *told: self.call(destination, endpoint, *told), self.closed)
            server.call = None
            open_.append(server)
            self.sweep(server, destination.spec.idle_s * 1000.0, open_)
            return True

        machine.listeners[80] = Listener(machine, met, destination.spec.handshake_ms)

    def refused(self, destination, end):
        destination.met.add(self.who(end))
        end.abort()

    def sweep(self, server, idle, open_):
        """Closes one that has stood idle for the time in the settings."""
        if not server.open:
            if server in open_:
                open_.remove(server)
        elif server.call is None and self.world.now - server.last >= idle:
            server.hang_up()
            open_.remove(server)
        else:
            self.world.after(
                max(1000.0, idle - (self.world.now - server.last)), self.sweep, server, idle, open_
            )

    def closed(self, server):
        call, server.call = server.call, None
        if call is not None:
            self.world.note("hung-up", call)

    def call(self, destination, endpoint, server, target, headers, body, begun):
        courier = self.who(server.end)
        if server.call is not None:
            self.world.note("fault", courier, "a second request on a connection before the answer")
        try:
            bulk = ODD[target]
            items = json.loads(body) if bulk else None
            texts = (
                [(item["id"], item.get("key"), zlib.crc32(base64.b64decode(item["body"]))) for item in items]
                if bulk
                else [
                    (
                        headers[b"x-request-id"].decode(),
                        (headers.get(b"idempotency-key") or b"").decode() or None,
                        zlib.crc32(body),
                    )
                ]
            )
            float(headers[b"x-timeout"])
        except (KeyError, ValueError, TypeError):
            self.world.note("fault", courier, f"a call that cannot be read: {target[:40]!r}")
            server.reply(response(400))
            return
        self.calls += 1
        number = server.call = self.calls
        idents = tuple(text[0] for text in texts)
        self.world.note(
            "call", number, courier, endpoint.ident, endpoint.zone, destination.number, tuple(texts), begun
        )
        if len(idents) > destination.spec.bundle or len(set(idents)) < len(idents):
            self.world.note(
                "fault", courier, f"{len(idents)} texts in a call of {destination.spec.bundle} at most"
            )
        if not self.net.machine(endpoint.host).up:
            return
        reply = destination.arrive(endpoint, courier, idents)
        if reply.ran:
            self.world.after(reply.ran_after, self.ran, number, reply.ran)
        if reply.after != NEVER:
            self.world.after(reply.after, self.written, server, number, reply, len(idents) > 1)

    def ran(self, number, idents):
        self.world.note("ran", number, idents)

    def written(self, server, number, reply, bulk):
        if server.call != number:
            return
        server.call = None
        if reply.lost:
            self.world.note("lost", number)
            server.hang_up()
            return
        headers, body = [], b""
        if reply.wait:
            headers.append(("X-Retry-In-Ms", f"{reply.wait:.0f}"))
        if reply.load:
            headers.append(("X-Server-Load", json.dumps(reply.load)))
        states = reply.states
        if bulk and reply.status == 200:
            states = states or {ident: "delivered" for ident in reply.ran}
            body = json.dumps([{"id": ident, "state": state} for ident, state in states.items()]).encode()
        data = response(reply.status, body, headers)
        status = reply.status
        if reply.spoilt:
            at = self.rng.randrange(1, len(data))
            data = (
                data[:at]
                + bytes(self.rng.randrange(256) for _ in range(4))
                + data[at:][: self.rng.randrange(1, 20)]
            )
            told = re.match(rb"HTTP/1\.[01] 200(?: [^\r\n]*)?\r?\n", data) and not bulk
            status = 200 if told else -abs(status)  # alone in its call, a 200 counts from its first line on
        self.world.note(
            "reply", number, status, 0.0 if reply.spoilt else reply.wait, tuple((states or {}).items())
        )
        server.reply(data, lambda: self.world.note("heard", number))
        if reply.spoilt:
            server.hang_up()

    def restart(self, endpoint):
        """All connections are reset, as when its process died."""
        for server in list(endpoint.servers):
            server.gone()
            server.end.abort()


class Registry:
    """What stands behind all agents.

    While `work` is above 0 it is overbooked: it works off one new watch after the other, `work` ms each, also
    those whose courier it has told no meanwhile; a watch that goes on costs it nothing.
    """

    PATIENCE, LINE, GOES_ON, NO = 2000.0, 24, 200.0, 60.0

    def __init__(self):
        self.work = self.free = 0.0

    def turn(self, now):
        """(after how many ms it answers, whether it serves)."""
        delay = max(0.0, self.free - now)
        if delay > self.LINE * self.work:
            return self.NO, False
        self.free = now + delay + self.work
        return (delay + self.work, True) if delay <= self.PATIENCE else (self.PATIENCE, False)


class Platform:
    """The agent beside one courier: the list, watches on it and notices.

    `entries` are the list as it is told.
    """

    def __init__(self, world, net, courier, host, entries, late, rng, registry):
        self.world, self.net, self.courier, self.late, self.rng = world, net, courier, late, rng
        self.registry, self.answered = registry, -1e12
        self.machine = net.machine(host)
        self.version, self.entries, self.history = 1, dict(entries), []
        self.silent, self.watchers, self.news, self.held = 0, [], 0.0, []
        self.listen()

    def listen(self):
        self.machine.listeners[8500] = Listener(self.machine, self.met)

    def met(self, end):
        Server(end, self.answer)
        return True

    def known(self):
        return {
            "version": self.version,
            "full": True,
            "servers": [dict(entry) for entry in self.entries.values()],
        }

    def change(self, *entries):
        """News, on their way to this agent."""
        low, high = self.late
        self.news = max(self.news, self.world.now + low + (high - low) * self.rng.random())  # in their order
        self.world.at(self.news, self.changed, entries)

    def changed(self, entries):
        if self.silent:  # what it has to tell is told once discovery is back
            self.held.append(entries)
            return
        self.version += 1
        on, off = (
            tuple(entry["id"] for entry in entries if (entry["state"] == "active") is ready)
            for ready in (True, False)
        )
        self.world.note("had", self.courier, on, off)
        for entry in entries:
            self.history.append((self.version, dict(entry)))
            if entry["state"] == "left":
                self.entries.pop(entry["id"], None)
            else:
                self.entries[entry["id"]] = dict(entry)
        watchers, self.watchers = self.watchers, []
        for server, index in watchers:
            self.tell(server, index)

    def speak(self):
        """No longer silent."""
        self.silent -= 1
        if not self.silent:
            held, self.held = self.held, []
            for entries in held:
                self.changed(entries)

    def tell(self, server, index):
        if not server.open:
            return
        self.answered = self.world.now
        if index is None or index > self.version:
            told = self.known()
        else:
            told = {
                "version": self.version,
                "full": False,
                "servers": [entry for version, entry in self.history if version > index],
            }
        servers = told["servers"]
        off = tuple(entry["id"] for entry in servers if entry["state"] != "active")
        on = tuple(entry["id"] for entry in servers if entry["state"] == "active")
        full = told["full"]
        server.reply(
            response(200, json.dumps(told).encode()),
            lambda: self.world.note("told", self.courier, full, on, off),
        )

    def answer(self, server, target, headers, body, begun):
        if target == b"/v1/outcomes":
            try:
                lines = [json.loads(line) for line in body.splitlines()]
                notices = [
                    (
                        line["ref"],
                        {"dead": "dead", "bounced": "bounced"}[line["result"]],
                        float(line.get("wait_ms", 0.0)),
                    )
                    for line in lines
                ]
            except (ValueError, KeyError, TypeError):
                self.world.note("fault", self.courier, "a notice that cannot be read")
                server.reply(response(400))
                return
            for notice in notices:
                self.world.note("notice", self.courier, *notice)
                self.heard(*notice)
            server.reply(response(204))
            return
        path, _, query = target.partition(b"?")
        told = dict(part.split(b"=") for part in query.split(b"&") if b"=" in part)
        if path != b"/api/targets":
            server.reply(response(404))
        elif not self.silent:
            index, wait = int(told[b"index"]) if b"index" in told else None, float(told.get(b"wait", b"0"))
            if not self.registry.work or self.world.now <= self.answered + Registry.GOES_ON:
                self.watch(server, index, wait)
                return
            after, serves = self.registry.turn(self.world.now)
            self.world.note("asked", self.courier, serves)
            self.world.after(
                after, self.watch if serves else self.turn_away, server, index, max(0.0, wait - after)
            )

    def turn_away(self, server, index, wait):
        if server.open:
            server.reply(response(503))

    def watch(self, server, index, wait):
        if index is None or index != self.version:
            self.tell(server, index)
        elif server.open:
            self.watchers.append((server, index))
            self.world.after(wait, self.nothing, server, index)

    def nothing(self, server, index):
        if (server, index) in self.watchers:
            self.watchers.remove((server, index))
            if not self.silent:
                self.tell(server, index)

    def heard(self, ident, verdict, wait):
        """Set by the run: the client hears of it."""


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
        clients.world.after(6000.0, self.end.close)

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
        self.rng, self.tries, self.asks, self.unheard = world.chance("clients"), {}, {}, {}

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
        self.world.after(self.traffic.patience_ms, self.impatient, ask)

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
        self.world.note(
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
        self.world.note("answer", ask.ident, status)
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
            self.world.note("cut", ask.ident, ask.courier.name)
        self.again(ask, self.rng.uniform(100.0, 500.0), ask.sent)

    def impatient(self, ask):
        if not ask.over:
            ask.over = True
            self.world.note("left", ask.ident)
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
        self.world.after(wait, self.hand_in, ask.text, courier, ident)

    front = False


class Operator:
    """Calls couriers at their admin addresses, one call to a connection, and holds connections with half a
    call.
    """

    PORT, PATIENCE, HOLD = 9800, 3000.0, 4000.0

    def __init__(self, world, net):
        self.world, self.net, self.machine = world, net, net.machine("10.9.0.2")

    def call(self, courier, path, method="GET"):
        """Its outcome is noted: when it was asked, the status (0: none came) and the body."""
        asked, told = self.world.now, []

        def whole(message, body, begun):
            finish(message.parser.get_status_code(), body)

        def finish(status, body=b""):
            if not told:
                told.append(status)
                self.world.note("operator", courier.name, path, asked, status, body.decode())
                end.close()

        def up(done):
            if isinstance(done, int):
                finish(0)
            else:
                end.send(f"{method} /admin/{path} HTTP/1.1\r\nHost: courier\r\n\r\n".encode())

        parsed = Parsed(httptools.HttpResponseParser, whole)
        end = self.net.connect(self.machine, courier.host, self.PORT, up)
        end.on_data, end.on_end = parsed.feed, lambda reset: finish(0)
        self.world.after(self.PATIENCE, finish, 0)

    def hold(self, courier):
        def up(done):
            if not isinstance(done, int):
                end.send(b"GET /admin/st")

        end = self.net.connect(self.machine, courier.host, self.PORT, up)
        end.on_data, end.on_end = lambda *_: None, lambda reset: end.close()
        self.world.after(self.HOLD, end.close)
