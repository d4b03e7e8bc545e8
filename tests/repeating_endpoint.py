"""A stand-in endpoint that answers calls and sends copies of its answers, on loopback and in the time of the
loop's clock.
"""

import json
import re
import socket
from dataclasses import dataclass, field

from wire_helper import Out

from calicopin.facade import Call, Place
from calicopin.state.texts import Text

STEP_MS = 1.0
REQUEST = re.compile(rb"POST (\S+) HTTP/1\.1\r\n(.*?)\r\n\r\n", re.DOTALL)


@dataclass
class Copies:
    """Which copies an endpoint sends of an answer: `delays_ms` after it, each cut to `length` bytes."""

    delays_ms: tuple[float, ...] = ()
    length: int | None = None
    close: bool = False  # whether the endpoint closes the connection after them


@dataclass
class EndpointConnection:
    """One connection of the endpoint, with what it will send and when."""

    sock: socket.socket
    received: bytes = b""
    due: list[tuple[float, bytes]] = field(default_factory=list)


class RepeatingEndpoint:
    """Answers the call of a number with `answer_to(number, idents)` after `latency_ms`, and sends the copies
    that `copies_of(number)` returns. `answered` holds the status that each message was answered with.
    """

    def __init__(self, loop, answer_to, copies_of, latency_ms=100.0):
        self.loop, self.answer_to, self.copies_of, self.latency_ms = loop, answer_to, copies_of, latency_ms
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.connections, self.answered, self.calls, self.opened = [], {}, 0, 0

    def step(self):
        """Accepts, reads and sends what is due, without waiting."""
        try:
            while True:
                sock = self.listener.accept()[0]
                sock.setblocking(False)
                sock.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
                )  # a copy delays no answer behind it
                self.connections.append(EndpointConnection(sock))
                self.opened += 1
        except BlockingIOError:
            pass
        for connection in list(self.connections):
            self._serve(connection)

    def _serve(self, connection):
        try:
            while data := connection.sock.recv(65536):
                connection.received += data
            self.connections.remove(connection)
            connection.sock.close()
            return
        except BlockingIOError:
            pass
        except OSError:
            self.connections.remove(connection)
            return
        self._answer_request(connection)
        now = self.loop.now()
        ready = sorted((at, data) for at, data in connection.due if at <= now)
        connection.due = [(at, data) for at, data in connection.due if at > now]
        for _, data in ready:
            if data:
                connection.sock.sendall(data)
            else:
                connection.sock.shutdown(socket.SHUT_WR)

    def _answer_request(self, connection):
        match = REQUEST.match(connection.received)
        if not match:
            return
        length = int(re.search(rb"Content-Length: (\d+)", match[2])[1])
        if len(connection.received) < match.end() + length:
            return
        body = connection.received[match.end() : match.end() + length]
        connection.received = connection.received[match.end() + length :]
        if match[1] == b"/inbox/bulk":
            idents = [entry["id"] for entry in json.loads(body)]
        else:
            idents = [re.search(rb"X-Request-ID: (\S+)", match[2])[1].decode()]
        self.calls += 1
        data, copies = self.answer_to(self.calls, idents), self.copies_of(self.calls)
        self.answered |= dict.fromkeys(idents, int(data.split()[1]))
        answer_at = self.loop.now() + self.latency_ms
        connection.due.append((answer_at, data))
        connection.due += [(answer_at + delay, data[: copies.length]) for delay in copies.delays_ms]
        if copies.close:
            connection.due.append((answer_at + max(copies.delays_ms) + STEP_MS, b""))


def advance(loop, endpoint, until, done=lambda: False):
    """Moves the clock to `until` (ms) in small steps, or until `done` holds."""
    while loop.now() < until and not done():
        for _ in range(3):
            endpoint.step()
            loop.once(loop.now())
        loop.now.now += STEP_MS


def make_call(endpoint, number, texts=1, timeout_ms=1000.0):
    """A call with messages of its own."""
    messages = [
        Text(f"{number:08x}{position:08x}", 7, 0, None, None, 1e9, b"body") for position in range(texts)
    ]
    return Call(Place("s-1", endpoint.address, 7, "one", "a", True, 0.0), messages, timeout_ms)


def run_calls(loop, endpoint, pool, count, pause_ms=1.0, texts=1):
    """Makes calls one after the other, each `pause_ms` after the end of the one before; returns each `Out`
    with its call.
    """
    made = []
    for number in range(count):
        call = make_call(endpoint, number, texts)
        out = Out(loop, call, pool)
        advance(loop, endpoint, loop.now() + 1500.0, lambda out=out: out.answer is not None)
        made.append((call, out))
        advance(loop, endpoint, loop.now() + pause_ms)
    return made
