"""Requests of clients: each that was read gets its answer, and a 202 only once its text is kept."""

import re
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
from loguru import logger

from calicopin.state.texts import Text
from calicopin.system import patiently
from calicopin.wire.http import TOO_LONG, Line, accept_next
from calicopin.wire.loop import AGAIN, FOREVER, READ, Event, Until

MAX_BODY_BYTES = 65536
PATIENCE = 2500.0  # for a whole request: guards descriptors against clients that go silent in it or before it
LINGER = 300.0  # for a client to read its last answer
NEW = 500.0  # a new connection is not closed for want of descriptors before: its request may be on its way
KEEP_ALIVE_MIN_IDLE_MS = 2000.0  # nor one between requests, unless there is no room at all
CLEANUP_INTERVAL_MS = 250.0
MIN_CLEANUP_INTERVAL_MS = (
    20.0  # between two looks for room: guards the loop where connections come at full speed
)
REFUSAL_DELAY_MS = (
    100.0  # after a request that could not be taken: guards the others against one that comes at full speed
)
FINAL_ANSWER_TRIES, FINAL_ANSWER_RETRY_MS = (
    4,
    20.0,
)  # at the end, for an answer that the system has no room for; ms between them
ANSWER_MARGIN_MS = 20.0  # before a text's time is up, for its client to hear that it was not taken on
MAX_ACCEPTS_PER_PASS = 32  # connections accepted in one pass, for the same reason
MAX_IDENTIFIER_LENGTH = 256  # of an id, a reference or a key
MAX_TIMEOUT_S = 86400.0  # seconds; beyond a day no validity period is meant
SECONDS_PATTERN = re.compile(r"[0-9]{1,18}(\.[0-9]{0,18})?")
DESTINATION_PATTERN = re.compile(r"[0-9]{1,9}")
TURNED_AWAY = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


class RequestRefusedError(Exception):
    """A request that cannot be taken, with its status and a plain sentence."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status = status


def parse_envelope(header):
    """The words of an `X-Envelope` header by their names; separated by semicolons, commas or ampersands."""
    return dict(parse_qsl(header.replace(";", "&").replace(",", "&").replace(" ", "")))


def read_text(head, body, products, now):
    """A request as a text; raises RequestRefusedError with a plain sentence."""
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    parts = [unquote(part) for part in urlsplit(head.target.decode("latin-1")).path.split("/")[1:]]
    if parts[0] not in products:
        raise RequestRefusedError(404, f"no product {parts[0][:40]!r}")
    ident, reference = headers.get("x-request-id", ""), headers.get("idempotency-key")
    key = "/".join(parts[1:]) or None
    if not ident or max(len(ident), len(reference or ""), len(key or "")) > MAX_IDENTIFIER_LENGTH:
        raise RequestRefusedError(400, "X-Request-ID is absent, or a word is too long")
    timeout = headers.get("x-timeout", "").strip()
    if not SECONDS_PATTERN.fullmatch(timeout) or float(timeout) > MAX_TIMEOUT_S:
        raise RequestRefusedError(400, "X-Timeout is no number of seconds")
    dest = parse_envelope(headers.get("x-envelope", "")).get("dest", "")
    if not DESTINATION_PATTERN.fullmatch(dest):
        raise RequestRefusedError(400, "X-Envelope names no dest")
    return Text(ident, int(dest), products[parts[0]], reference, key, now + float(timeout) * 1000.0, body)


def framing_error(head):
    """Why the end of a request with this head cannot be relied on, with a status; or None.

    Two lengths may hide a second request in the body of the first.
    """
    lengths = {
        name: value for name, value in head.headers if name in (b"content-length", b"transfer-encoding")
    }
    if len(lengths) == 2:
        return 400, "both Content-Length and Transfer-Encoding"
    if int(lengths.get(b"content-length", 0)) > MAX_BODY_BYTES:
        return 413, "a body over 64 KiB"
    return None


def retry_after(wait):
    """The header that tells when to come again; `wait` in ms, 0 where none is told."""
    return [("Retry-After", f"{wait / 1000.0:.3f}")] if wait > 0.0 else []


class Visit:
    """One connection of a client's."""

    __slots__ = (
        "line",
        "task",
        "since",
        "until",
        "fresh",
        "delay",
        "answer_pending",
        "handed_over",
        "asked",
    )

    def __init__(self, line, now):
        self.line, self.task, self.since, self.until = line, None, now, now + PATIENCE
        self.fresh, self.delay = True, 0.0  # fresh: no request was read yet
        self.asked = ""  # method and target of the request that was read last
        self.answer_pending = self.handed_over = (
            False  # whole: a request was read and its answer is not out yet
        )


class Kept(Event):
    """Rings once a message that was taken on is in the journal. `refused`: it could not be written there, and
    the message was withdrawn; then `wait` is after how many ms it may come again.
    """

    def __init__(self, loop, text):
        super().__init__(loop)
        self.text, self.refused, self.wait = text, False, 0.0

    def refuse(self, wait):
        """The message is not taken on after all."""
        self.refused, self.wait = True, wait
        self.set()


class Clients:
    """Accepts connections as far as descriptors allow and serves what comes on them.

    `acceptor` takes the texts: `acceptor.take(text)` is None where it is taken on, else the status that
    refuses it and the wait that is advised; a text taken on is kept, or refused after all, once the event
    that `acceptor.kept(text)` returns is set. `acceptor.answered(text)` hears that its 202 is out, and
    `acceptor.withdraw(text)` that it never will be. `acceptor.unanswered(request)` hears of a request that
    was read and left without an answer, which must not be.
    """

    def __init__(self, loop, address, products, budget, acceptor, listener=None):
        self.loop, self.products, self.budget, self.acceptor = loop, products, budget, acceptor
        host, _, port = address.rpartition(":")
        system = loop.system
        self.listener = listener or (
            patiently(system, system.listen_path, port)
            if host == "unix"
            else patiently(system, system.listen, host, int(port))
        )
        self.status = None  # where it is told, a function that returns its body
        self.idle, self.lingering, self.open, self.leaving, self.closing = {}, {}, 0, False, False
        self.visits = {}  # all that are served, with their coroutines
        self.unlogged_refusals, self.refusal_logged_at, self.cleaned_up_at = 0, -FOREVER, -FOREVER
        self.accepting = loop.keep(self.accept)

    def accept(self):
        """A coroutine that accepts connections until listening ends; again after `AGAIN` ms where the
        system refuses.
        """
        while True:
            try:
                more = self.accept_some()
            except OSError as fault:  # no descriptor or no memory left
                logger.warning("accept failed: {fault}", event="accept.failed", fault=fault)
                self.free_descriptors()
                yield Until(self.loop.now() + AGAIN)
                continue
            yield Until(self.loop.now()) if more else Until(FOREVER, self.listener.fileno(), READ)

    def accept_some(self):
        """Whether more may wait to be accepted."""
        for _ in range(MAX_ACCEPTS_PER_PASS):
            sock = accept_next(self.listener)
            if sock is None:
                return False
            self.admit(Line(self.loop, sock, h11.SERVER))
        return True

    def admit(self, line):
        """A new connection is served; where there is no room at all it is turned away, not left to wait."""
        if (
            self.open >= self.budget.clients
            and self.loop.now() >= self.cleaned_up_at + MIN_CLEANUP_INTERVAL_MS
        ):
            self.free_descriptors()
        limit = self.budget.clients + self.budget.porch
        if (
            self.open >= limit
        ):  # no room at all: one that was served and stands idle, however short, gives way
            visit = next((visit for visit in self.idle if not visit.fresh and visit.line.quiet()), None)
            if visit:
                self.loop.cancel(visit.task)
        if self.open < limit:
            self.receive(Visit(line, self.loop.now()))
            return
        self.log_refusal(503, "no descriptor left for a client")
        line.part(TURNED_AWAY)
        line.close()

    def receive(self, visit):
        """Serves a connection by a coroutine of its own."""
        self.open += 1
        self.visits[visit] = self.loop.spawn(self.serve(visit))

    def give(self, visit):
        """The connection, if all that came on it can be read again from its bytes: it is no longer ours.

        Else None.
        """
        line = visit.line
        if visit.answer_pending or line.ended or line in self.lingering or visit not in self.visits:
            return None
        task, visit.handed_over = self.visits.pop(visit), True
        if not task.started():  # it would run no part of its own
            self.open -= 1
        self.loop.cancel(task)
        return line

    def free_descriptors(self):
        """Closes what may be closed until descriptors are no longer short: connections that were shown
        out, then new ones that said nothing, then those between requests, longest first; never one with a
        request begun.
        """
        now, limit = self.loop.now(), self.budget.clients
        self.cleaned_up_at = now
        for task in list(self.lingering.values()):
            if self.open < limit:
                break
            self.loop.cancel(task)
        for fresh, min_idle in (
            ((True, NEW), (False, KEEP_ALIVE_MIN_IDLE_MS)) if not self.leaving else ()
        ):  # then few new ones come
            for visit in list(self.idle) if self.open >= limit else ():
                if self.open < limit or now - visit.since < min_idle:
                    break
                if visit.fresh is fresh and visit.line.quiet():
                    self.loop.cancel(visit.task)

    def keep_house(self):
        """A coroutine that closes what may be closed where descriptors are short, every `SWEEP` ms."""
        while True:
            yield Until(self.loop.now() + CLEANUP_INTERVAL_MS)
            self.free_descriptors()

    def serve(self, visit):
        """One connection from its first request to its close."""
        line, collected = visit.line, False
        try:
            keep_alive = True
            while keep_alive:
                keep_alive = yield from self.request(visit)
                visit.fresh = visit.answer_pending = False
                # one after the other: a client that never pauses does not hold up the rest
                yield Until(self.loop.now() + visit.delay)
            yield from self.close_gracefully(line)
        except Exception as fault:  # guards the program, and the client that would wait for nothing
            self.loop.faults.tell("request.fault", "a client's request ended by a fault", fault)
            yield from self.refuse_request(line, 500, "a fault of the courier")
            yield from self.close_gracefully(line)
        except GeneratorExit:  # called off, or collected with its loop
            collected = not self.visits[visit].over if visit in self.visits else False
            raise
        finally:
            if not (collected or visit.handed_over):
                self.check_all_answered(visit)
            self.idle.pop(visit, None)
            self.lingering.pop(line, None)
            self.visits.pop(visit, None)
            if not visit.handed_over:
                line.close()
            self.open -= 1

    def check_all_answered(self, visit):
        """The connection is about to be closed: no request that was read is left without its answer."""
        if visit.line.h11.our_state is h11.SEND_RESPONSE and not visit.line.left():
            self.acceptor.unanswered(visit.asked)

    def request(self, visit):
        """One request and its answer; False where the connection ends."""
        line, visit.delay, visit.answer_pending = visit.line, 0.0, False
        head = yield from self.next_head(visit)
        visit.answer_pending = not isinstance(head, h11.Request)
        if not isinstance(head, h11.Request):
            if head is None and line.unread():
                yield from self.refuse_request(line, 408, "a head that does not come")
            if isinstance(head, h11.RemoteProtocolError):
                yield from self.refuse_request(line, head.error_status_hint or 400, str(head))
            return False
        path, until = head.target.split(b"?")[0], visit.until
        visit.asked = f"{head.method.decode()} {head.target.decode('latin-1')[:100]}"
        error = framing_error(head)
        if error is None and head.method not in (b"GET", b"HEAD", b"POST"):
            error = 405, f"no {head.method[:20]!r}"
        body = None if error else (yield from line.body(MAX_BODY_BYTES, until))
        visit.answer_pending = True
        if body is TOO_LONG:
            error = 413, "a body over 64 KiB"
        elif body is None and not error:
            if self.loop.now() >= until:
                error = 408, "a body that does not come"
            elif line.h11.their_state is h11.ERROR and not line.ended:
                error = 400, "a body that cannot be read"
        if error:
            yield from self.refuse_request(line, *error)
        if error or body is None:
            return False
        if head.method != b"POST":
            if path == b"/-/status" and self.status:
                return (
                    yield from self.reply(line, 200, self.status(), [("Content-Type", "application/json")])
                )
            status = {b"/-/ready": 503 if self.leaving else 200, b"/-/healthy": 200}.get(path, 404)
            return (yield from self.reply(line, status))
        try:
            text = read_text(head, body, self.products, self.loop.now())
        except RequestRefusedError as fault:
            visit.delay = REFUSAL_DELAY_MS
            self.log_refusal(fault.status, fault)
            return (yield from self.reply(line, fault.status, str(fault).encode()))
        yield from self.wait_for_destination(line, text)
        if line.left():  # it waited too long and hands the text in elsewhere; else a refusal does no harm
            return (yield from self.reply(line, 503))
        refusal = self.acceptor.take(text)
        if refusal is not None:
            status, wait = refusal
            if status != 503:
                visit.delay = REFUSAL_DELAY_MS
                self.log_refusal(status, f"dest {text.dest}, id {text.ident[:40]!r}")
            return (yield from self.reply(line, status, b"", retry_after(wait)))
        kept = self.acceptor.kept(text)
        yield Until(event=kept)
        if kept.refused:
            self.log_refusal(503, "the journal cannot be written")
            return (yield from self.reply(line, 503, b"", retry_after(kept.wait)))
        return bool((yield from self.confirm_taken_on(line, text)))

    def confirm_taken_on(self, line, text):
        """Answers 202; as `reply`. Where the client did not hear it, it hands the text in again."""
        keep_alive = None
        try:
            keep_alive = yield from self.reply(line, 202)
        except Exception:
            self.acceptor.withdraw(text)
            raise
        (self.acceptor.withdraw if keep_alive is None else self.acceptor.answered)(text)
        return keep_alive

    def wait_for_destination(self, line, text):
        """Where the text's destination is not known yet, until its first answer is there, the text's time is
        up, or its client has left. Nothing is kept of the text meanwhile."""
        event = self.acceptor.first_answer(text)
        if event is None:
            return
        until, fd = text.until - ANSWER_MARGIN_MS, line.sock.fileno()
        try:
            while not event.came and self.loop.now() < until and not line.left():
                if not line.quiet():  # its next request: that waits its turn, and hides whether it leaves
                    fd = -1
                yield Until(until, fd, READ if fd >= 0 else 0, event)
        finally:
            self.acceptor.waited(event)

    def next_head(self, visit):
        """Waits between requests; only here may the courier close the connection."""
        line = visit.line
        if not self.closing and not line.has_extra_data():
            visit.task = self.loop.current
            if not visit.fresh:
                visit.since, visit.until = self.loop.now(), FOREVER
            self.idle[visit] = True
            yield Until(visit.until, line.sock.fileno(), READ)
            self.idle.pop(visit, None)
        if not visit.fresh:
            visit.until = self.loop.now() + PATIENCE
        elif self.closing:  # one that says nothing must not be held
            visit.until = min(visit.until, self.loop.now() + NEW)
        return (yield from line.event(visit.until))

    def refuse_request(self, line, status, why):
        """Answers a request that cannot be taken with a status and the reason; the connection is closed
        after it.
        """
        self.log_refusal(status, why)
        yield from self.reply(line, status, why.encode("latin-1", "replace"), [("Connection", "close")])

    def close_gracefully(self, line):
        """The last answer on a connection is out: the client is given time to read it and to close.

        Where descriptors are short only one that has sent more, since over unread bytes the connection would
        be reset and take the answer with it.
        """
        if line.ended or line.h11.our_state is h11.IDLE:
            return
        if self.open < self.budget.clients or not line.quiet():
            self.lingering[line] = self.loop.current
            yield from line.linger(self.loop.now() + LINGER)

    def log_refusal(self, status, why):
        """One line a second at the most: those that come at full speed are counted."""
        self.unlogged_refusals += 1
        now = self.loop.now()
        if now >= self.refusal_logged_at + 1000.0:
            logger.warning(
                "{requests} requests of clients turned away, the last with {status}: {why}",
                event="turned-away",
                requests=self.unlogged_refusals,
                status=status,
                why=why,
            )
            self.unlogged_refusals, self.refusal_logged_at = 0, now

    def reply(self, line, status, body=b"", extra=()):
        """Whether the connection may serve another request; None if the answer could not be written."""
        if self.closing or self.open >= self.budget.clients:  # short of descriptors: each gives its own back
            extra = [*extra, ("Connection", "close")]
        try:
            data = line.encode(
                h11.Response(status_code=status, headers=[*extra, ("Content-Length", str(len(body)))]), body
            )
        except h11.LocalProtocolError:  # the answer is out or the peer is gone
            return None
        done = yield from line.write(data, self.loop.now() + PATIENCE)
        return None if done < len(data) else line.again()

    def stop_listening(self):
        """Who has connected by then is still served. Once more does no harm: where there was no room to
        accept all, it goes on then.
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

    def end(self):
        """No turn follows that would keep a message: what was asked and has no answer is refused, which
        does no harm.
        """
        unsent = {}
        for visit in self.visits:
            line = visit.line
            if not line.ended and line.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                unsent[line] = TURNED_AWAY if visit not in self.idle or not line.quiet() else b""
        for tries_left in reversed(range(FINAL_ANSWER_TRIES)):
            unsent = {line: remaining for line, answer in unsent.items() if (remaining := line.part(answer))}
            if not unsent:
                return
            if tries_left:
                self.loop.system.pause(FINAL_ANSWER_RETRY_MS)
        logger.warning(
            "{clients} clients were left without an answer", event="end.unanswered", clients=len(unsent)
        )

    def close_between_requests(self):
        """Idle connections go now, the others with their next answer."""
        self.closing = True
        for visit in [visit for visit in self.idle if visit.line.quiet()]:
            self.loop.cancel(visit.task)
