"""HTTP/1.1 on one non-blocking connection, read and written by h11."""
import socket

import h11

from calicopin.wire.loop import READ, WRITE, Until

CHUNK = 65536
MOST_OVER = 16  # how much more than is allowed is read for the sake of an orderly answer
TOO_LONG = object()


class Line:
    """One connection. Faults of the connection come back as values, never as exceptions."""

    def __init__(self, loop, sock, role):
        self.loop, self.sock, self.h11 = loop, sock, h11.Connection(role)
        self.ended = False
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # already gone: the first read tells
            pass

    def event(self, until):
        """The next h11 event; None when the time is up first. A peer that is gone is ConnectionClosed, also
        in the middle of its message; what cannot be read is the fault, as a value."""
        while True:
            try:
                event = self.h11.next_event()
            except h11.RemoteProtocolError as fault:
                return h11.ConnectionClosed() if self.ended else fault
            if event is not h11.NEED_DATA:
                return event
            if self.h11.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                yield from self.write(self.h11.send(go_on), until)
            data = yield from self._read(until)
            if data is None:
                return None
            self.ended = not data
            try:
                self.h11.receive_data(data)
            except h11.RemoteProtocolError as fault:
                return fault

    def _read(self, until):
        while True:
            try:
                return self.sock.recv(CHUNK)
            except BlockingIOError:
                if not (yield Until(until, self.sock.fileno(), READ)):
                    return None
            except OSError:
                return b""

    def write(self, data, until):
        """How many bytes were taken on before the connection broke or the time was up."""
        done = 0
        while done < len(data):
            try:
                done += self.sock.send(data[done:] if done else data)
            except BlockingIOError:
                if not (yield Until(until, self.sock.fileno(), WRITE)):
                    break
            except OSError:
                break
        return done

    def encode(self, head, body=b""):
        """One message as bytes."""
        parts = [self.h11.send(head)]
        if body:
            parts.append(self.h11.send(h11.Data(data=body)))
        parts.append(self.h11.send(h11.EndOfMessage()))
        return b"".join(parts)

    def body(self, most, until):
        """The body of the message whose head was read; None if it does not come whole. One that is too long
        is read to its end, since a close before that could cost the other side its answer."""
        parts, size = [], 0
        while True:
            event = yield from self.event(until)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > most * MOST_OVER:
                    return None
                if size <= most:
                    parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return TOO_LONG if size > most else b"".join(parts)
            else:
                return None

    def ask(self, request, body, most, until):
        """One exchange as a client: status and body, or None where no whole answer came in time."""
        data = self.encode(request, body)
        if (yield from self.write(data, until)) < len(data):
            return None
        head = yield from self.event(until)
        if not isinstance(head, h11.Response):
            return None
        told = yield from self.body(most, until)
        return None if told is None else (head.status_code, told)

    def linger(self, until):
        """Ends the sending and reads on a while: closed over unread bytes, a connection is reset, and with it
        goes the answer that the other side has not read yet."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return
        for _ in range(MOST_OVER):
            if not (yield from self._read(until)):
                break

    def peek(self):
        """What lies unread: a byte, nothing yet (None), or the end (empty)."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

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
            return True
        return False

    def close(self):
        self.loop.close(self.sock)


def dial(loop, address, until):
    """A coroutine that opens a connection as a client: the line, or None if it never came up."""
    host, _, port = address.rpartition(":")
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
    except OSError:
        return None
    try:
        sock.connect((host, int(port)))
    except BlockingIOError:
        up = False
        try:
            up = (yield Until(until, sock.fileno(), WRITE)) and not sock.getsockopt(
                socket.SOL_SOCKET, socket.SO_ERROR)
        finally:
            if not up:
                loop.close(sock)
        if not up:
            return None
    except (OSError, ValueError, OverflowError):
        loop.close(sock)
        return None
    return Line(loop, sock, h11.CLIENT)
