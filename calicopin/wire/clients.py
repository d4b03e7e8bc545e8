"""Requests of clients: each that was read gets its answer, and a 202 only once its text is kept."""
import math
import socket
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
from loguru import logger

from calicopin.held.texts import Text
from calicopin.wire.http import TOO_LONG, Line
from calicopin.wire.loop import AGAIN, FOREVER, READ, Bell, Until

MOST_BODY = 65536
PATIENCE = 5000.0  # for the rest of a request: guards descriptors against clients that go silent in it
LINGER = 1000.0  # for a client to read its last answer
MOST_WORD = 256  # of an id, a reference or a key


class Refused(Exception):
    """A request that cannot be taken, with its status and a plain sentence."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status = status


def envelope(word):
    return dict(parse_qsl(word.replace(";", "&").replace(",", "&").replace(" ", "")))


def read_text(head, body, products, now):
    """A request as a text; raises Refused with a plain sentence."""
    told = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    parts = [unquote(part) for part in urlsplit(head.target.decode("latin-1")).path.split("/")[1:]]
    if parts[0] not in products:
        raise Refused(404, f"no product {parts[0][:40]!r}")
    ident, reference = told.get("x-request-id", ""), told.get("idempotency-key")
    key = "/".join(parts[1:]) or None
    if not ident or max(len(ident), len(reference or ""), len(key or "")) > MOST_WORD:
        raise Refused(400, "X-Request-ID is absent, or a word is too long")
    try:
        left = float(told["x-timeout"]) * 1000.0
        if not math.isfinite(left):
            raise ValueError
    except (KeyError, ValueError):
        raise Refused(400, "X-Timeout is no number of seconds") from None
    try:
        dest = int(envelope(told["x-envelope"])["dest"])
    except (KeyError, ValueError):
        raise Refused(400, "X-Envelope names no dest") from None
    return Text(ident, dest, products[parts[0]], reference, key, now + left, body)


class Clients:
    """Accepts connections as far as descriptors allow and serves what comes on them.

    `desk` takes the texts: `desk.take(text)` is None where it is taken on, else the wait that is advised; a
    text taken on is kept once the bell handed to `desk.kept` has rung."""

    def __init__(self, loop, address, products, most, desk):
        self.loop, self.products, self.most, self.desk = loop, products, most, desk
        host, _, port = address.rpartition(":")
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, int(port)))
        self.listener.listen(1024)
        self.listener.setblocking(False)
        self.idle, self.open, self.room, self.leaving, self.closing = {}, 0, Bell(loop), False, False
        self.accepting = loop.keep(self.accept)

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                yield Until(FOREVER, self.listener.fileno(), READ)
                continue
            except OSError as fault:
                logger.warning("accept failed: {}", fault)
                yield Until(self.loop.now() + AGAIN)
                continue
            self.open += 1
            self.loop.spawn(self.serve(Line(self.loop, sock, h11.SERVER)))
            if self.open >= self.most:
                self.close_longest_idle()
            while self.open > self.most:
                yield Until(bell=self.room)

    def close_longest_idle(self):
        task = next((task for line, task in self.idle.items() if line.quiet()), None)
        if task:
            self.loop.cancel(task)

    def serve(self, line):
        try:
            more = True
            while more:
                more = yield from self.request(line)
                yield Until(0.0)  # one after the other: a client that never pauses does not hold up the rest
        except Exception:  # guards the program, and the client that would wait for nothing
            logger.exception("a client's request ended by a fault")
            yield from self.fault(line, 500, "a fault of the courier")
        finally:
            self.idle.pop(line, None)
            line.close()
            self.open -= 1
            self.room.ring()

    def request(self, line):
        """One request and its answer; False where the connection ends."""
        head = yield from self.next_head(line)
        if not isinstance(head, h11.Request):
            if head is None:
                yield from self.fault(line, 408, "a head that does not come")
            if isinstance(head, h11.RemoteProtocolError):
                yield from self.fault(line, head.error_status_hint or 400, str(head))
            return False
        path, until = head.target.split(b"?")[0], self.loop.now() + PATIENCE
        if head.method in (b"GET", b"HEAD"):
            body = yield from line.body(MOST_BODY, until)
            status = {b"/-/ready": 503 if self.leaving else 200, b"/-/healthy": 200}.get(path, 404)
            return body is not None and (yield from self.reply(line, status))
        if head.method != b"POST":
            yield from self.fault(line, 405, f"no {head.method[:20]!r}")
            return False
        body = yield from line.body(MOST_BODY, until)
        if body is None:
            if self.loop.now() >= until:
                yield from self.fault(line, 408, "a body that does not come")
            elif line.h11.their_state is h11.ERROR and not line.ended:
                yield from self.fault(line, 400, "a body that cannot be read")
            return False
        if body is TOO_LONG:
            return (yield from self.reply(line, 413, b"a body over 64 KiB"))
        try:
            text = read_text(head, body, self.products, self.loop.now())
        except Refused as fault:
            logger.warning("client request answered {}: {}", fault.status, fault)
            return (yield from self.reply(line, fault.status, str(fault).encode()))
        if line.left():  # it waited too long and hands the text in elsewhere; else a refusal does no harm
            return (yield from self.reply(line, 503))
        advice = self.desk.take(text)
        if advice is not None:
            extra = [("Retry-After", f"{advice / 1000.0:.3f}")] if advice > 0.0 else []
            return (yield from self.reply(line, 503, b"", extra))
        yield Until(bell=self.desk.kept(Bell(self.loop)))
        more = yield from self.reply(line, 202)
        if more is None:  # the client did not hear that it was taken on: it hands the text in again
            self.desk.withdraw(text)
        return bool(more)

    def next_head(self, line):
        """Waits between requests; only here may the courier close the connection."""
        if not self.closing and line.quiet() and not line.h11.trailing_data[0]:
            self.idle[line] = self.loop.current
            yield Until(FOREVER, line.sock.fileno(), READ)
            self.idle.pop(line, None)
        return (yield from line.event(self.loop.now() + PATIENCE))

    def fault(self, line, status, why):
        logger.warning("client connection answered {}: {}", status, why)
        yield from self.reply(line, status, why.encode("latin-1", "replace"), [("Connection", "close")])
        yield from line.linger(self.loop.now() + LINGER)

    def reply(self, line, status, body=b"", extra=()):
        """Whether the connection may serve another request; None if the answer could not be written."""
        if self.closing:
            extra = [*extra, ("Connection", "close")]
        try:
            data = line.encode(h11.Response(
                status_code=status, headers=[*extra, ("Content-Length", str(len(body)))]), body)
        except h11.LocalProtocolError:  # the answer is out or the peer is gone
            return None
        done = yield from line.write(data, FOREVER)
        return None if done < len(data) else line.again()

    def stop_listening(self):
        self.loop.cancel(self.accepting)
        self.loop.close(self.listener)

    def close_between_requests(self):
        """Idle connections go now, the others with their next answer."""
        self.closing = True
        for task in [task for line, task in self.idle.items() if line.quiet()]:
            self.loop.cancel(task)
