"""The serving process's part of a handover: it accepts its successor, sends it all state and connections, and
stands by until SIGTERM.

Until `go` is sent nothing has changed here, and after any failure this process goes on serving. From `go` on
the successor decides, and this process only ends what cannot be handed over. If the successor dies before
SIGTERM comes, this process restarts from the folder, as after a crash.
"""

import base64

from loguru import logger

from calicopin.handover.channel import RELOAD, Channel, HandoverError, is_same_user
from calicopin.handover.state import FORM, snapshot
from calicopin.wire.loop import FOREVER, READ, RETRY_DELAY_MS, Until

ANSWER_TIMEOUT_S = 2.0  # this process serves nothing while it waits
HELLO_TIMEOUT_MS = 1000.0
MAX_HELLO_BYTES = 4096
CONNECTIONS_PER_FRAME = 24  # limits the descriptors that both processes hold open in addition at any moment


def encode_base64(data):
    """Bytes as base64, the form in which frames carry them."""
    return base64.b64encode(bytes(data)).decode()


class HandoverSender:
    """Hands over the courier that consists of the given parts.

    `lock` is the descriptor of the folder's lock; `restart` starts this process anew.
    """

    def __init__(self, handover_socket, lock, restart, loop, runtime, clients, discovery, reload, stop):
        self.lock, self.restart = lock, restart
        self.loop, self.runtime, self.clients, self.discovery, self.reload, self.stop = (
            loop,
            runtime,
            clients,
            discovery,
            reload,
            stop,
        )
        self.listener = handover_socket.listen()
        self.task = loop.spawn_restarting(self.accept_successors)

    def accept_successors(self):
        """A coroutine that accepts successors on the handover socket and begins a handover with each that is
        accepted.
        """
        while True:
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                yield Until(FOREVER, self.listener.fileno(), READ)
                continue
            except OSError as fault:
                logger.warning("accepting a successor failed: {fault}", event="accept.failed", fault=fault)
                yield Until(self.loop.now() + RETRY_DELAY_MS)
                continue
            sock.setblocking(False)
            hello, deadline = b"", self.loop.now() + HELLO_TIMEOUT_MS
            while b"\n" not in hello and len(hello) < MAX_HELLO_BYTES:
                if not (yield Until(deadline, sock.fileno(), READ)):
                    break
                try:
                    received = sock.recv(MAX_HELLO_BYTES)
                except OSError:
                    break
                if not received:
                    break
                hello += received
            self.loop.close(sock) if not self.accepts(sock, hello) else self.loop.deferred_calls.append(
                lambda sock=sock: self.hand_over(sock)
            )

    def accepts(self, sock, hello):
        """Whether the handover may be made to the process that sent this greeting; logs the reason if not."""
        reason = (
            "it runs as another user"
            if not is_same_user(sock)
            else "its greeting is not understood"
            if hello != b"calicopin %d\n" % FORM
            else "a stop is under way"
            if self.stop.stopping
            else "the journal cannot be written"
            if self.runtime.failed_turns
            else None
        )
        if reason:
            logger.warning("handover to a successor refused: {why}", event="handover.refused", why=reason)
        return not reason

    def finish_pending_work(self):
        """Cancels calls that have not begun, journals what has been decided, and sends pending answers."""
        for _ in range(8):
            self.loop.step()
            for outstanding in [
                outstanding for outstanding in self.runtime.outstanding_calls if not outstanding.progress
            ]:
                self.loop.cancel(outstanding.task)
            self.runtime.turn()
            if self.runtime.failed_turns or not self.loop.ready:
                break

    def hand_over(self, sock):
        """Makes the handover. On failure before `go` this process goes on serving; after `go` it retires."""
        runtime, began = self.runtime, self.loop.now()
        self.loop.forget(sock)
        calls_were_enabled, runtime.calls_enabled = runtime.calls_enabled, False
        try:
            channel = Channel(sock, ANSWER_TIMEOUT_S)
            self.finish_pending_work()
            if runtime.failed_turns:
                raise HandoverError("the journal cannot be written")
            outstanding_calls = [
                outstanding for outstanding in runtime.outstanding_calls if outstanding.call.open
            ]
            channel.send(self.snapshot(outstanding_calls))
            if channel.receive()[0].get("ready") is not True:
                raise HandoverError("the successor is not ready")
            if self.stop.stopping or runtime.journal.buffer:
                raise HandoverError("a stop began or the journal has unwritten records")
            channel.send({"go": True, "fds": 1}, [self.lock])
        except Exception as fault:  # after any error this process goes on serving
            logger.warning(
                "handover refused, this process goes on serving: {fault!r}",
                event="handover.refused",
                fault=fault,
            )
            runtime.calls_enabled = calls_were_enabled
            sock.close()
            return
        text_count = len(runtime.facade.texts)
        try:
            self.send_connections(channel, outstanding_calls)
        except Exception as fault:  # after `go` this process must not serve, whatever the error
            logger.error(
                "the successor broke off the handover: {fault}", event="handover.broken", fault=fault
            )
        self.retire(sock)
        logger.info(
            "handed over in {ms:.0f} ms: {texts} texts, {out} calls in flight",
            event="handover.given",
            ms=self.loop.now() - began,
            texts=text_count,
            out=len(outstanding_calls),
        )

    def snapshot(self, outstanding_calls):
        """The state for the successor: decisions, calls in flight, the list, and figures of connections."""
        stop, calls = self.stop, [outstanding.call for outstanding in outstanding_calls]
        pool = self.runtime.pool
        return snapshot(self.runtime.facade, calls) | dict(
            until=[outstanding.until for outstanding in outstanding_calls],
            began=[outstanding.began for outstanding in outstanding_calls],
            version=None if self.runtime.subscription else getattr(self.discovery, "version", None),
            current=self.runtime.list_received,
            renewed=self.prefers_file(),  # read by versions that journal no discovery address
            trust=pool.trusted_idle_ms,
            fastest=[[*key, elapsed] for key, elapsed in pool.fastest_answer_ms.items()],
            drained=stop.drain.began if stop.drain else None,
        )

    def prefers_file(self):
        """Whether the discovery address of the configuration file precedes the variable."""
        discovery_address = self.runtime.journal.discovery_address
        return discovery_address is not None and discovery_address.prefers_file

    def send_connections(self, channel, outstanding_calls):
        """Sends the connections, some in each frame, and closes each here once it is sent."""
        runtime, clients = self.runtime, self.clients
        connections = []
        for number, outstanding in enumerate(outstanding_calls):
            outstanding.handed_over = True
            connections.append(
                (
                    "call",
                    dict(call=number, heard=encode_base64(outstanding.connection.received)),
                    outstanding.connection,
                )
            )
            self.loop.cancel(outstanding.task)
        for outstanding in list(
            runtime.outstanding_calls
        ):  # all its texts have ended, its answer is not needed
            self.loop.cancel(outstanding.task)
        for client in list(clients.connections):
            if connection := clients.release_for_handover(client):
                connections.append(
                    (
                        "client",
                        dict(
                            heard=encode_base64(connection.received),
                            fresh=client.fresh,
                            since=client.since,
                            until=min(client.until, 1e15),
                        ),
                        connection,
                    )
                )
        for key, idle_connections in runtime.pool.idle.items():
            connections += [
                ("idle", dict(shelf=key, since=idle.since, dest=idle.destination), idle.connection)
                for idle in idle_connections
            ]
        runtime.pool.idle = {}
        for start in range(0, len(connections), CONNECTIONS_PER_FRAME):
            batch = connections[start : start + CONNECTIONS_PER_FRAME]
            channel.send(
                {"connections": [dict(fields, kind=kind) for kind, fields, _ in batch], "fds": len(batch)},
                [connection.sock.fileno() for _, _, connection in batch],
            )
            for _, _, connection in batch:
                connection.close()
        channel.send({"end": True})

    def retire(self, sock):
        """Stops this process from deciding anything."""
        loop, runtime = self.loop, self.runtime
        loop.turn = lambda: FOREVER
        for task in (self.clients.accepting, self.task):
            loop.cancel(task)
        for client in filter(None, (self.discovery, runtime.notices)):
            client.stop()
        loop.close(self.listener)
        loop.system.close(self.lock)
        if runtime.journal.file is not None:
            loop.system.close(runtime.journal.file)
        runtime.journal.file, runtime.journal.texts, runtime.facade.texts, runtime.notices.owed = (
            None,
            {},
            {},
            [],
        )
        runtime.refuses_messages = self.stop.retired = True
        if runtime.subscription is not None:
            runtime.subscription.stop()
        self.stop.end_drain()
        self.clients.closing = self.clients.leaving = True
        sock.setblocking(False)
        self.reload.pass_on = lambda: self.pass_reload_on(sock)
        loop.spawn_restarting(lambda: self.watch_successor(sock))

    def pass_reload_on(self, sock):
        """Tells the successor of a reload that was asked of this process. One that has died is replaced by a
        process that reads the configuration anyway.
        """
        try:
            sock.send(RELOAD)
        except OSError as fault:
            logger.warning(
                "the reload could not be passed on to the successor: {fault}",
                event="reload.not-passed-on",
                fault=fault,
            )

    def watch_successor(self, sock):
        """A coroutine that ends with SIGTERM, or restarts this process if the successor dies."""
        while True:
            yield Until(FOREVER, sock.fileno(), READ)
            try:
                if sock.recv(1):
                    continue
            except BlockingIOError:
                continue
            except OSError:
                pass
            if self.stop.stopping:
                return
            logger.error("the successor has died, this process restarts", event="handover.again")
            self.restart()
