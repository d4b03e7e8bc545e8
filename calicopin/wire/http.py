"""HTTP/1.1 on non-blocking connections, parsed and written by h11. Times are milliseconds."""

import errno
import socket

import h11

from calicopin.connection_reuse import AnswerHistory
from calicopin.system_errors import concerns_one_connection, is_transient, lacks_local_resources, no_route
from calicopin.wire.loop import READ, RETRY_DELAY_MS, WRITE, Until
from calicopin.wire.message_guard import MessageGuard, NextPart

READ_SIZE = 65536
REQUEST_READ_SIZE = 4096  # while the end of a request is unknown; the rest waits in the system's buffer
STEPS_PER_SLICE = 64  # events that one connection may parse before others get their turn
MAX_ABORTED_ACCEPTS = 32  # skipped in one accept; more in a row point to a fault of this machine
UNKNOWN = b"?"  # result of `peek` where the system lacked the resources to read
MAX_DISCARDED_BYTES = 16 * READ_SIZE  # read and discarded in a lingering close
PENDING_BYTES = 64  # enough to tell what kind of data it is
MAX_DISCARD_READS = 1024  # in a lingering close; each may return few bytes
MAX_IMMEDIATE_TRIES = 16  # of one system call that lacks resources, where the caller cannot wait
TOO_LONG = object()


class NoResources:
    """Result of connecting when this machine had no resources for it: the peer is not at fault."""

    def __bool__(self):
        return False


NO_RESOURCES = NoResources()


class Connection:
    """One connection. Its errors are returned as values, never raised."""

    def __init__(self, loop, sock, role):
        self.loop, self.sock, self.h11 = loop, sock, h11.Connection(role)
        self.guard, self.steps = MessageGuard(), 0
        self.error = None  # the RemoteProtocolError after which nothing more is parsed
        self.on_buffered = None  # called with the size of received data, before it is parsed
        self.at_eof, self.idle_ms = False, None  # end of stream read; ms it was idle before its last reuse
        self.received = bytearray()  # received since the last message ended; handed over with the connection
        self.history = None  # AnswerHistory, once it has carried an answer to a call
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # already closed: the first read reports it
            pass

    def parse(self):
        """The next h11 event in the received data, or NEED_DATA.

        A peer that closed the connection gives ConnectionClosed, also in the middle of a message; malformed
        data gives the RemoteProtocolError as a value.
        """
        if self.guard.checks_data and self.error is None and (unparsed := self.unparsed()):
            self.error = self.guard.error(unparsed)
        if self.error is not None:
            return self.error
        try:
            event = self.h11.next_event()
        except h11.RemoteProtocolError as fault:
            if self.at_eof:
                return h11.ConnectionClosed()
            self.error = fault.with_traceback(None)  # whose frames would keep the connection
            return fault
        self.guard.parsed(event)
        return event

    def read_more(self, until):
        """Reads once; False when the time `until` comes first."""
        data = yield from self._read(until)
        if data is None:
            return False
        self.at_eof = not data
        self.feed(data)
        return True

    def feed(self, data):
        """Adds received data, as if just read from the socket."""
        if self.on_buffered is not None:
            # h11 keeps a copy of a head until it is complete, and `body` one of data that came in chunks
            copies = 1 if self.guard.next_part is NextPart.UNLIMITED and not self.guard.is_chunked else 2
            self.on_buffered(copies * len(data))
        self.received += data
        try:
            self.h11.receive_data(data)
        except h11.RemoteProtocolError:  # data after the end of stream: `parse` reports it
            pass

    def unparsed(self):
        """The data that was received but not parsed yet."""
        return self.h11.trailing_data[0]

    def event(self, until):
        """The next h11 event; None when the time `until` comes first."""
        while (event := self.parse()) is h11.NEED_DATA:
            if self.h11.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                yield from self.write(self.h11.send(interim), until)
            if not (yield from self.read_more(until)):
                return None
            self.steps += 1
        self.steps += 1
        if self.steps >= STEPS_PER_SLICE:  # lets other coroutines run
            self.steps = 0
            yield Until(self.loop.now(), low_priority=True)
        return event

    def _read_size(self):
        """How much to read at once: of a request, little more than what may be parsed next."""
        is_request = self.h11.our_role is h11.SERVER
        return (
            READ_SIZE if not is_request or self.guard.next_part is NextPart.UNLIMITED else REQUEST_READ_SIZE
        )

    def _read(self, until):
        """Reads once: the data, b"" at the end of stream or on an error, None on a time-out.

        Reads once more after a time-out, since data may have arrived at that moment.
        """
        ready = True
        while True:
            try:
                return self.sock.recv(self._read_size())
            except BlockingIOError:
                if not ready:
                    return None
                ready = yield Until(until, self.sock.fileno(), READ)
            except OSError as fault:
                if not is_transient(fault):
                    return b""
                if not (yield from self._pause(until)):
                    return None

    def write(self, data, until, stop_on_answer=False):
        """Writes the data; returns how many bytes were written before an error or the time `until`.

        With `stop_on_answer` it also stops when the peer sends something: a peer that has answered already
        may not read the rest, and the write would wait for it in vain.
        """
        done = 0
        while done < len(data):
            try:
                done += self.sock.send(data[done:] if done else data)
            except BlockingIOError:
                if stop_on_answer and self.peek() not in (None, UNKNOWN):
                    break
                if not (yield Until(until, self.sock.fileno(), WRITE | READ if stop_on_answer else WRITE)):
                    break
            except OSError as fault:
                if not is_transient(fault) or not (yield from self._pause(until)):
                    break
        return done

    def _pause(self, until):
        """Waits `RETRY_DELAY_MS` after a system call that lacked resources; False if the time is up."""
        if self.loop.now() >= until:
            return False
        yield Until(min(until, self.loop.now() + RETRY_DELAY_MS))
        return True

    def encode(self, head, body=b""):
        """Encodes one message."""
        parts = [self.h11.send(head)]
        if body:
            parts.append(self.h11.send(h11.Data(data=body)))
        parts.append(self.h11.send(h11.EndOfMessage()))
        return b"".join(parts)

    def body(self, max_size, until):
        """The body of the message whose head was read; None if it is incomplete.

        TOO_LONG as soon as it exceeds `max_size` bytes; the rest is not read.
        """
        content, size, start = bytearray(), 0, len(self.received) - len(self.unparsed())
        while True:
            event = yield from self.event(until)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > max_size:
                    return TOO_LONG
                if self.guard.is_chunked:
                    content += event.data
            elif isinstance(event, h11.EndOfMessage):
                if self.guard.is_chunked:
                    return bytes(content)
                with memoryview(self.received) as received:
                    return bytes(received[start : start + size])
            else:
                return None

    def exchange(self, request, body, max_size, until):
        """One exchange as a client: (status, body), or None without a complete answer in time."""
        data = self.encode(request, body)
        if (yield from self.write(data, until)) < len(data):
            return None
        head = yield from self.event(until)
        if not isinstance(head, h11.Response):
            return None
        content = yield from self.body(max_size, until)
        return None if content is None else (head.status_code, content)

    def lingering_close(self, until):
        """Lingering close: shuts down the sending side and discards what still arrives, until `until`.

        Closing a socket with unread data resets the connection, and the peer may lose an answer that it has
        not read yet.
        """
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return
        remaining = MAX_DISCARDED_BYTES
        for _ in range(MAX_DISCARD_READS):
            data = yield from self._read(until)
            remaining -= len(data or b"")
            if not data or remaining <= 0:
                break

    def finish_without_waiting(self, answer):
        """Sends a last answer without waiting, then shuts down and discards unread data as
        `lingering_close` does.

        Returns the part that could not be sent for lack of system resources; b"" otherwise, also when the
        peer is gone.
        """
        try:
            while answer and (sent := self._call_without_waiting(self.sock.send, answer)):
                answer = answer[sent:]
        except OSError:
            return answer
        try:
            self._call_without_waiting(self.sock.shutdown, socket.SHUT_WR)
            remaining = MAX_DISCARDED_BYTES
            for _ in range(MAX_DISCARD_READS):
                data = self._call_without_waiting(self.sock.recv, READ_SIZE)
                remaining -= len(data or b"")
                if not data or remaining <= 0:
                    break
        except OSError:  # the answer was sent; nothing more can be done for its delivery
            pass
        return b""

    @staticmethod
    def _call_without_waiting(call, *args):
        """The result of the call; None where it would block or the connection is broken.

        Raises OSError if the system lacked resources on every try.
        """
        for tries_left in reversed(range(MAX_IMMEDIATE_TRIES)):
            try:
                return call(*args)
            except BlockingIOError:
                return None
            except OSError as fault:
                if not is_transient(fault):
                    return None
                if not tries_left:
                    raise
        return None

    def peek(self):
        """The next unread byte; None if there is none yet, b"" at the end of stream, or UNKNOWN."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError as fault:
            return UNKNOWN if is_transient(fault) else b""

    def parsed_data(self):
        """The data of the current message that was parsed so far."""
        return bytes(self.received[: len(self.received) - len(self.unparsed())])

    def remember_answer(self, answer, delivered):
        """Adds an answer (`PastAnswer`) to the history of this connection."""
        if self.history is None:
            self.history = AnswerHistory()
        self.history.add(answer, delivered)

    def pending_data(self):
        """The beginning of the data that is unread or not parsed yet; b"" if there is none."""
        if data := self.unparsed():
            return bytes(data[:PENDING_BYTES])
        try:
            return self.sock.recv(PENDING_BYTES, socket.MSG_PEEK)
        except OSError:
            return b""

    def drop_parsed_data(self):
        """Forgets the data that was parsed: of an interim answer, or of a request that is complete."""
        self.received[:] = self.unparsed()

    def discard_received(self, size):
        """Discards the first `size` bytes of the answer: they answer no request of this side."""
        rest = bytes(self.received[size:])
        self.h11, self.received = h11.Connection(h11.CLIENT), bytearray()
        self.guard, self.error = MessageGuard(), None
        self.encode(h11.Request(method="POST", target="/", headers=[("Host", "-"), ("Content-Length", "0")]))
        if rest:
            self.feed(rest)
        if self.at_eof:
            self.feed(b"")

    def open_without_data(self):
        """Whether an idle connection is open with nothing to read."""
        return self.peek() is None

    def peer_closed(self):
        """Whether the peer has closed its sending side, also behind data that is unread."""
        if self.at_eof:
            return True
        unread = self.peek()
        return unread == b"" or (unread is not None and self.loop.hang_up_probe.hung_up(self.sock))

    def prepare_next_message(self):
        """Prepares for the next message; False if this connection cannot be reused."""
        if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
            self.h11.start_next_cycle()
            self.guard.begin_message()
            self.received[:] = self.unparsed()
            return True
        return False

    def has_extra_data(self):
        """Whether unexpected data or the end of stream follows the last message.

        Such data cannot be attributed to any request, so the connection must not be reused.
        """
        return bool(self.unparsed()) or not self.open_without_data()

    def close(self):
        """Closes the socket; coroutines that wait for it are not resumed by it."""
        self.loop.close(self.sock)


def accept_next(listener):
    """The next pending connection, or None.

    Connections that were aborted before the accept are skipped. Raises OSError if this machine lacks the
    resources, or after more than `MAX_ABORTED_ACCEPTS` aborted ones in a row.
    """
    aborted = 0
    while True:
        try:
            return listener.accept()[0]
        except BlockingIOError:
            return None
        except OSError as fault:
            aborted += 1
            if aborted > MAX_ABORTED_ACCEPTS or not concerns_one_connection(fault):
                raise


def open_connection(loop, address, until):
    """A coroutine that opens a connection as a client until `until` (ms).

    Returns the `Connection`, None if it could not be established, or NO_RESOURCES if this machine lacked the
    resources. Retries while there is no route to the address.
    """
    while True:
        code, sock = yield from _try_connect(loop, address, until)
        if sock:
            return Connection(loop, sock, h11.CLIENT)
        if lacks_local_resources(code):
            return NO_RESOURCES
        if not no_route(code) or loop.now() + RETRY_DELAY_MS >= until:
            return None
        yield Until(loop.now() + RETRY_DELAY_MS)


def _try_connect(loop, address, until):
    """One try: (0, the connected socket), or (errno, None)."""
    host, _, port = address.rpartition(":")
    try:
        sock = loop.system.create_socket()
    except OSError as fault:  # a local error in any case: the peer was not contacted
        return (fault.errno if lacks_local_resources(fault.errno) else errno.ENOBUFS), None
    code = errno.ECANCELED  # remains if the coroutine is cancelled while it waits
    try:
        code = yield from _connect_socket(sock, (host, int(port)), until)
    except OSError as fault:
        code = fault.errno or errno.EIO
    except (ValueError, OverflowError):  # malformed address
        code = errno.EINVAL
    finally:
        if code:
            loop.close(sock)
    return code, None if code else sock


def _connect_socket(sock, address, until):
    """Connects the socket: 0 or an errno. Raises OSError as well."""
    try:
        sock.connect(address)
    except BlockingIOError as fault:
        if fault.errno != errno.EINPROGRESS:  # EAGAIN: no free local port
            return fault.errno
        if not (yield Until(until, sock.fileno(), WRITE)):
            return errno.ETIMEDOUT
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return 0
