"""HTTP/1.1 on one non-blocking connection, read and written by h11."""

import errno
import socket

import h11

from calicopin.system_errors import no_room_here, no_route, of_one_connection, passes
from calicopin.wire.loop import AGAIN, READ, WRITE, Until

READ_SIZE = 65536
MAX_ABORTED_ACCEPTS = 32  # connections passed over in one accept; more in a row are a fault of the machine's
UNKNOWN = b"?"  # what may lie unread, where the system had no room to tell
MAX_DISCARDED_BYTES = 16 * READ_SIZE  # bytes that are read on for the sake of an orderly answer
MAX_DISCARD_READS = 1024  # for them: some may be short
MAX_IMMEDIATE_TRIES = 16  # tries of one call for which the system has no room, where nothing can wait
TOO_LONG = object()


class NoResources:
    """In place of a connection where no descriptor was left for it: no fault of the other side."""

    def __bool__(self):
        return False


NO_RESOURCES = NoResources()


class Line:
    """One connection. Faults of the connection come back as values, never as exceptions."""

    def __init__(self, loop, sock, role):
        self.loop, self.sock, self.h11 = loop, sock, h11.Connection(role)
        self.ended, self.stood = False, None  # stood: how long it was idle before it was taken again
        self.heard = bytearray()  # since the last message ended: with it another process can read on
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # already gone: the first read tells
            pass

    def parse(self):
        """The next h11 event of what was read; NEED_DATA where more is needed. A peer that is gone is
        ConnectionClosed, also in the middle of its message; what cannot be read is the fault, as a value."""
        try:
            return self.h11.next_event()
        except h11.RemoteProtocolError as fault:
            return h11.ConnectionClosed() if self.ended else fault

    def read_more(self, until):
        """Reads once; False when the time is up first."""
        data = yield from self._read(until)
        if data is None:
            return False
        self.ended = not data
        self.hear(data)
        return True

    def hear(self, data):
        """As if it had just been read."""
        self.heard += data
        try:
            self.h11.receive_data(data)
        except h11.RemoteProtocolError:  # bytes behind the end: parse tells
            pass

    def unread(self):
        """What was read and not parsed yet."""
        return self.h11.trailing_data[0]

    def event(self, until):
        """The next h11 event; None when the time is up first."""
        while (event := self.parse()) is h11.NEED_DATA:
            if self.h11.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                yield from self.write(self.h11.send(interim), until)
            if not (yield from self.read_more(until)):
                return None
        return event

    def _read(self, until):
        """What lies there, also where it came in the instant in which the time was up; None where nothing
        did.
        """
        ready = True
        while True:
            try:
                return self.sock.recv(READ_SIZE)
            except BlockingIOError:
                if not ready:
                    return None
                ready = yield Until(until, self.sock.fileno(), READ)
            except OSError as fault:
                if not passes(fault):
                    return b""
                if not (yield from self._pause(until)):
                    return None

    def write(self, data, until, stop_on_answer=False):
        """How many bytes were taken on before the connection broke or the time was up; where the other
        side is to be heeded, before it said something. Guards against waiting for one that has answered
        and reads no more.
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
                if not passes(fault) or not (yield from self._pause(until)):
                    break
        return done

    def _pause(self, until):
        """Waits behind a call for which the system had no room; False where the time is up."""
        if self.loop.now() >= until:
            return False
        yield Until(min(until, self.loop.now() + AGAIN))
        return True

    def encode(self, head, body=b""):
        """One message as bytes."""
        parts = [self.h11.send(head)]
        if body:
            parts.append(self.h11.send(h11.Data(data=body)))
        parts.append(self.h11.send(h11.EndOfMessage()))
        return b"".join(parts)

    def body(self, max_size, until):
        """The body of the message whose head was read; None if it does not come whole.

        One that is too long is not read on.
        """
        parts, size = [], 0
        while True:
            event = yield from self.event(until)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > max_size:
                    return TOO_LONG
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                return None

    def ask(self, request, body, max_size, until):
        """One exchange as a client: status and body, or None where no whole answer came in time."""
        data = self.encode(request, body)
        if (yield from self.write(data, until)) < len(data):
            return None
        head = yield from self.event(until)
        if not isinstance(head, h11.Response):
            return None
        content = yield from self.body(max_size, until)
        return None if content is None else (head.status_code, content)

    def linger(self, until):
        """Ends the sending and reads on a while: closed over unread bytes, a connection is reset, and with it
        goes the answer that the other side has not read yet."""
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

    def part(self, answer):
        """The last on a connection where nothing can wait: says `answer`, ends the sending and reads what
        lies there, as `linger` does. Returns what is left of the answer: nothing, also where nobody is there
        to hear it, or what the system had no room for.
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
        except OSError:  # the answer is out; whether it arrives is up to the system
            pass
        return b""

    @staticmethod
    def _call_without_waiting(call, *args):
        """What the call returns; None where it would have to wait, or the connection is broken. Raises
        OSError where the system has no room for it again and again.
        """
        for tries_left in reversed(range(MAX_IMMEDIATE_TRIES)):
            try:
                return call(*args)
            except BlockingIOError:
                return None
            except OSError as fault:
                if not passes(fault):
                    return None
                if not tries_left:
                    raise
        return None

    def peek(self):
        """What lies unread: a byte, nothing yet (None), the end (empty), or UNKNOWN."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError as fault:
            return UNKNOWN if passes(fault) else b""

    def quiet(self):
        """Whether an idle connection is still open and silent."""
        return self.peek() is None

    def left(self):
        """Whether the other side has ended its sending."""
        return self.ended or self.peek() == b""

    def again(self):
        """Ready for the next message on it; False where this connection has served its last."""
        if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
            self.h11.start_next_cycle()
            self.heard[:] = self.unread()
            return True
        return False

    def has_extra_data(self):
        """Whether more lies on it than was asked for or read, or its end: behind an answer nobody can tell
        whose.
        """
        return bool(self.unread()) or not self.quiet()

    def close(self):
        """Closes the socket; whoever waits for it is not resumed for it any more."""
        self.loop.close(self.sock)


def accept_next(listener):
    """The next connection that waits, or None where none does. Some that ended before they were accepted are
    passed over; OSError where this machine has no room for one, or too many ended in a row.
    """
    aborted = 0
    while True:
        try:
            return listener.accept()[0]
        except BlockingIOError:
            return None
        except OSError as fault:
            aborted += 1
            if aborted > MAX_ABORTED_ACCEPTS or not of_one_connection(fault):
                raise


def open_connection(loop, address, until):
    """A coroutine that opens a connection as a client: the line, or None if it never came up, or NO_ROOM
    where this machine had nothing to make it with. Where it knows no way there, it asks again until the
    time (ms) is up."""
    while True:
        code, sock = yield from _try_connect(loop, address, until)
        if sock:
            return Line(loop, sock, h11.CLIENT)
        if no_room_here(code):
            return NO_RESOURCES
        if not no_route(code) or loop.now() + AGAIN >= until:
            return None
        yield Until(loop.now() + AGAIN)


def _try_connect(loop, address, until):
    """One try: (0, a socket that is connected), or (the errno that tells why not, None)."""
    host, _, port = address.rpartition(":")
    try:
        sock = loop.system.stream()
    except OSError as fault:  # whatever it is, the other side was not asked
        return (fault.errno if no_room_here(fault.errno) else errno.ENOBUFS), None
    code = errno.ECANCELED  # where it is called off in its wait
    try:
        code = yield from _connect_socket(sock, (host, int(port)), until)
    except OSError as fault:
        code = fault.errno or errno.EIO
    except (ValueError, OverflowError):  # an address that is none
        code = errno.EINVAL
    finally:
        if code:
            loop.close(sock)
    return code, None if code else sock


def _connect_socket(sock, address, until):
    """Connects it: 0 or the errno that tells why not; or OSError."""
    try:
        sock.connect(address)
    except BlockingIOError as fault:
        if fault.errno != errno.EINPROGRESS:  # EAGAIN: no port of this machine's is free
            return fault.errno
        if not (yield Until(until, sock.fileno(), WRITE)):
            return errno.ETIMEDOUT
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return 0
