"""HTTP server of the admin address: health, statistics, quiesce and resume, one call per connection.

Calls are answered before clients' requests and never change a message.
"""

import json

import h11
from loguru import logger

from calicopin.system import call_with_retries
from calicopin.wire.http import TOO_LONG, Connection, accept_next
from calicopin.wire.loop import FOREVER, READ, RETRY_DELAY_MS, Until

READ_TIMEOUT_MS = 2000.0  # for a whole call; callers expect the answer to a complete one within 1 s
LINGER_TIMEOUT_MS = 300.0  # for the caller to close its side after the answer
MAX_BODY_BYTES = 4096
MAX_ACCEPTS_PER_PASS = 16  # connections accepted in one pass of the loop
LOG_INTERVAL_MS = 1000.0  # between two log lines about refused calls


class AdminServer:
    """Listens on `address`.

    `handlers` maps a path to its method and a function that returns the body of the answer. At most
    `max_connections` are open; a further one closes the oldest, so that idle callers do not block others.
    """

    def __init__(self, loop, address, handlers, max_connections):
        self.loop, self.handlers, self.max_connections, self.connections = loop, handlers, max_connections, {}
        host, _, port = address.rpartition(":")
        system = loop.system
        self.listener, self.last_refusal_logged = (
            call_with_retries(system, system.listen, host, int(port)),
            -FOREVER,
        )
        self.accepting = loop.spawn_restarting(self.accept, urgent=True)

    def accept(self):
        """A coroutine that accepts connections and starts a coroutine for each; it never returns."""
        while True:
            for _ in range(MAX_ACCEPTS_PER_PASS):
                try:
                    sock = accept_next(self.listener)
                except OSError as fault:
                    logger.warning(
                        "accept at the admin address failed: {fault}", event="accept.failed", fault=fault
                    )
                    yield Until(self.loop.now() + RETRY_DELAY_MS)
                    break
                if sock is None:
                    yield Until(FOREVER, self.listener.fileno(), READ)
                    break
                if len(self.connections) >= self.max_connections:
                    self.drop(next(iter(self.connections)))
                connection = Connection(self.loop, sock, h11.SERVER)
                self.connections[connection] = self.loop.spawn(self.serve(connection), urgent=True)
            else:
                yield Until(self.loop.now())

    def serve(self, connection):
        """Reads the call of one connection, answers it and closes. Both may take `READ_TIMEOUT_MS`."""
        try:
            until = self.loop.now() + READ_TIMEOUT_MS
            status, body = yield from self.read_call(connection, until)
            if status:
                yield from self.reply(connection, status, body, until + READ_TIMEOUT_MS)
        finally:
            self.connections.pop(connection, None)
            connection.close()

    def drop(self, connection):
        """Ends a connection. It is closed here because a coroutine cancelled before its first step runs no
        cleanup of its own.
        """
        self.loop.cancel(self.connections.pop(connection))
        connection.close()

    def read_call(self, connection, until):
        """Reads and handles one call: (status, body) of the answer; status 0 if the caller is gone."""
        head = yield from connection.event(until)
        if isinstance(head, h11.RemoteProtocolError):
            return self.refuse(400, f"a call that cannot be read: {head}")
        if not isinstance(head, h11.Request):
            return self.refuse(408, "a call that does not come") if head is None else (0, None)
        body = yield from connection.body(MAX_BODY_BYTES, until)
        if body is TOO_LONG:
            return self.refuse(400, f"a body over {MAX_BODY_BYTES} bytes")
        if body is None:
            return self.refuse(400, "a body that does not come or cannot be read")
        path = head.target.split(b"?")[0].decode("latin-1")
        if path not in self.handlers:
            return self.refuse(404, f"no call {path[:60]!r}; there are {', '.join(self.handlers)}")
        method, handler = self.handlers[path]
        if head.method.decode() != method:
            return self.refuse(405, f"{path} takes {method}")
        try:
            return 200, handler()
        except ValueError as fault:  # not possible in the courier's current state
            return self.refuse(409, str(fault))

    def refuse(self, status, why):
        """(status, body) of a refused call; logged at most once per `LOG_INTERVAL_MS`."""
        if self.loop.now() >= self.last_refusal_logged + LOG_INTERVAL_MS:
            logger.warning(
                "call at the admin address refused with {status}: {why}",
                event="admin.refused",
                status=status,
                why=why,
            )
            self.last_refusal_logged = self.loop.now()
        return status, {"error": why}

    def reply(self, connection, status, body, until):
        """Writes an answer as JSON, until `until` (ms of the loop's clock) at the latest."""
        data = json.dumps(body).encode() + b"\n"
        allow = [("Allow", "GET, POST")] if status == 405 else []
        try:
            answer = connection.encode(
                h11.Response(
                    status_code=status,
                    headers=[
                        *allow,
                        ("Content-Type", "application/json"),
                        ("Content-Length", str(len(data))),
                        ("Connection", "close"),
                    ],
                ),
                data,
            )
        except h11.LocalProtocolError:  # h11 permits no answer, as after bytes that are not HTTP
            return
        if (yield from connection.write(answer, until)) == len(answer):
            yield from connection.lingering_close(self.loop.now() + LINGER_TIMEOUT_MS)
