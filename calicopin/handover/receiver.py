"""The successor's part of a handover: it waits for the folder, takes over all that the serving process holds,
and then serves.
"""

import base64
import socket
import time

import h11
from loguru import logger

from calicopin.handover.channel import RECEIVE_BYTES, RELOAD, Channel, HandoverError
from calicopin.handover.state import FORM, restore
from calicopin.state.connections import IdleConnection
from calicopin.wire.clients import ClientConnection
from calicopin.wire.endpoints import OutstandingCall
from calicopin.wire.http import Connection
from calicopin.wire.loop import FOREVER, READ, Until

ANSWER_TIMEOUT_S = 3.0  # longer than the other process's own time-out
POLL_INTERVAL_S = 0.05
LOG_INTERVAL_S = 5.0  # between two log lines while waiting


class StoppedError(Exception):
    """A stop signal came before this process had taken anything over."""


class HandoverReceiver:
    """Receives a handover. `snapshot` is the state sent by the other process; nothing of it takes effect
    before `complete`.
    """

    def __init__(self, channel, snapshot):
        self.channel, self.snapshot = channel, snapshot

    @property
    def in_flight_ids(self):
        """Ids of texts whose calls are in flight."""
        return {ident for call in self.snapshot["calls"] for ident in call["open"]}

    def restore(self, facade, journal, now):
        """Restores the decisions into `facade`; returns the texts that only wait for a notice."""
        live = [text for text in journal.texts.values() if text.verdict is None]
        self.calls = restore(facade, self.snapshot, live, now)
        return [text for text in journal.texts.values() if text.verdict is not None]

    def complete(self, loop, runtime, clients):
        """Completes the handover: from here on this process decides.

        Returns the descriptor of the folder's lock. Raises HandoverError if the handover fails before that.
        """
        self.channel.send({"ready": True})
        go, fds = self.channel.receive()
        if go.get("go") is not True or len(fds) != 1:
            raise HandoverError("the other process did not send `go`")
        lock, kinds = (
            fds[0],
            {"call": self.resume_call, "client": self.adopt_client, "idle": self.adopt_idle_connection},
        )
        self.outstanding_calls = dict(enumerate(self.calls))
        try:
            while True:
                message, fds = self.channel.receive()
                if message.get("end"):
                    break
                for connection, fd in zip(message["connections"], fds, strict=False):
                    kinds[connection["kind"]](loop, runtime, clients, connection, socket.socket(fileno=fd))
        except HandoverError as fault:  # what did not arrive counts as broken, as after a crash
            logger.warning(
                "the other process broke off the handover: {fault}", event="handover.broken", fault=fault
            )
        for call in self.outstanding_calls.values():
            runtime.connection_lost(call)
        return lock

    def wait_for_reload(self, request):
        """A coroutine that calls `request` for each reload that the retired process passes on."""
        sock, received = self.channel.sock, bytes(self.channel.buffer)
        self.channel.buffer.clear()
        sock.setblocking(False)
        while True:
            if RELOAD in received:
                request()
            yield Until(FOREVER, sock.fileno(), READ)
            try:
                received = sock.recv(RECEIVE_BYTES)
            except BlockingIOError:
                received = b""
                continue
            except OSError:
                return
            if not received:
                return

    def resume_call(self, loop, runtime, clients, connection, sock):
        """Resumes a call in flight with its connection and the bytes received on it."""
        number, call = connection["call"], self.outstanding_calls.pop(connection["call"])
        # older versions end the texts of a shared call one by one; here the first of them ends the call
        deadlines = [
            end_at for end_at, shared_call, _ in self.snapshot.get("due", ()) if shared_call == number
        ]
        outstanding = OutstandingCall(call, min([self.snapshot["until"][number], *deadlines]))
        outstanding.began = self.snapshot["began"][number]
        runtime.adopt_call(
            outstanding, Connection(loop, sock, h11.CLIENT), base64.b64decode(connection["heard"])
        )

    def adopt_client(self, loop, runtime, clients, connection, sock):
        """Goes on serving a client's connection with the bytes received of its request."""
        line = Connection(loop, sock, h11.SERVER)
        if connection["heard"]:
            line.feed(base64.b64decode(connection["heard"]))
        client = ClientConnection(line, loop.now())
        client.fresh, client.since, client.until = (
            connection["fresh"],
            connection["since"],
            connection["until"],
        )
        clients.receive(client)

    def adopt_idle_connection(self, loop, runtime, clients, connection, sock):
        """Adds an idle connection to an endpoint to the pool, with the time since which it has been idle."""
        runtime.pool.idle.setdefault(tuple(connection["shelf"]), []).append(
            IdleConnection(Connection(loop, sock, h11.CLIENT), connection["since"], connection.get("dest"))
        )


def begin(handover_socket, folder, signal_reader, system):
    """(the folder's lock, None) once no other process holds it, or (None, a HandoverReceiver) once the
    process that holds it has sent its state. Raises StoppedError if a stop signal comes first.
    """
    logged_at = -LOG_INTERVAL_S
    while True:
        try:
            return system.lock(folder), None
        except BlockingIOError:
            pass
        receiver = request_handover(handover_socket)
        if receiver:
            return None, receiver
        if time.monotonic() >= logged_at + LOG_INTERVAL_S:
            logger.info(
                "another process holds the folder and offers no handover yet; waiting",
                event="handover.waiting",
            )
            logged_at = time.monotonic()
        if signal_reader.take_signals().intersection(signal_reader.STOP_SIGNALS):
            raise StoppedError
        time.sleep(POLL_INTERVAL_S)


def request_handover(handover_socket):
    """A HandoverReceiver with the state of the serving process; None if there is none or it refuses now."""
    try:
        sock = handover_socket.connect()
    except OSError:
        return None
    channel = Channel(sock, ANSWER_TIMEOUT_S)
    try:
        sock.sendall(b"calicopin %d\n" % FORM)
        sent_state, _ = channel.receive()
        if sent_state.get("form") != FORM:
            raise HandoverError(f"the other process uses form {sent_state.get('form')!r}, this one {FORM}")
        return HandoverReceiver(channel, sent_state)
    except OSError as fault:
        logger.warning("handover not possible: {fault}", event="handover.refused", fault=fault)
        channel.close()
        return None
