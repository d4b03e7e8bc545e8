"""Partners' endpoints on the emulated network."""

import base64
import json
import re
import zlib

from calicopin.emulator.net import Listener
from calicopin.emulator.partners import NEVER
from calicopin.emulator.standins.http import ServerConnection, response

BULK_BY_PATH = {b"/inbox": False, b"/inbox/bulk": True}


class Partners:
    """The endpoints of every destination; `courier_of(end)` names the courier at the other side of a
    connection.
    """

    def __init__(self, world, net, courier_of):
        self.world, self.net, self.courier_of, self.call_count = world, net, courier_of, 0
        self.rng = world.random_stream("partners")

    def listen(self, destination, endpoint):
        """Starts to listen at an endpoint."""
        machine = self.net.machine(endpoint.host)
        connections = endpoint.connections = []

        def on_connection(end):
            if destination.active_troubles.get("refuse") or destination.overloaded:
                self.world.call_later(self.net.latency(), self.refuse_connection, destination, end)
                return True
            server = ServerConnection(
                end, lambda *details: self.handle_request(destination, endpoint, *details), self.on_closed
            )
            server.call_number = None
            connections.append(server)
            self.close_idle(server, destination.spec.idle_s * 1000.0, connections)
            return True

        machine.listeners[80] = Listener(machine, on_connection, destination.spec.handshake_ms)

    def refuse_connection(self, destination, end):
        """Resets a new connection."""
        destination.couriers_in_outage.add(self.courier_of(end))
        end.abort()

    def close_idle(self, server, idle, connections):
        """Closes a connection that was idle for `idle` ms, else checks again later."""
        if not server.open:
            if server in connections:
                connections.remove(server)
        elif server.call_number is None and self.world.now - server.last_active >= idle:
            server.close()
            connections.remove(server)
        else:
            self.world.call_later(
                max(1000.0, idle - (self.world.now - server.last_active)),
                self.close_idle,
                server,
                idle,
                connections,
            )

    def on_closed(self, server):
        """Records that a connection ended during a call."""
        call, server.call_number = server.call_number, None
        if call is not None:
            self.world.record("hung-up", call)

    def handle_request(self, destination, endpoint, server, target, headers, body, started_at):
        """Parses and records a call and schedules its reply."""
        courier = self.courier_of(server.end)
        if server.call_number is not None:
            self.world.record("fault", courier, "a second request on a connection before the answer")
        try:
            bulk = BULK_BY_PATH[target]
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
            self.world.record("fault", courier, f"a call that cannot be read: {target[:40]!r}")
            server.reply(response(400))
            return
        self.call_count += 1
        number = server.call_number = self.call_count
        idents = tuple(text[0] for text in texts)
        self.world.record(
            "call",
            number,
            courier,
            endpoint.ident,
            endpoint.zone,
            destination.number,
            tuple(texts),
            started_at,
        )
        if len(idents) > destination.spec.bundle or len(set(idents)) < len(idents):
            self.world.record(
                "fault", courier, f"{len(idents)} texts in a call of {destination.spec.bundle} at most"
            )
        if not self.net.machine(endpoint.host).up:
            return
        reply = destination.handle_call(endpoint, courier, idents)
        if reply.processed:
            self.world.call_later(reply.processed_after_ms, self.record_ran, number, reply.processed)
        if reply.delay_ms != NEVER:
            self.world.call_later(reply.delay_ms, self.write_reply, server, number, reply, len(idents) > 1)

    def record_ran(self, number, idents):
        """Records which texts were carried out."""
        self.world.record("ran", number, idents)

    def write_reply(self, server, number, reply, bulk):
        """Sends the reply to a call, garbled or not at all where the reply says so."""
        if server.call_number != number:
            return
        server.call_number = None
        if reply.drop_connection:
            self.world.record("lost", number)
            server.close()
            return
        headers, body = [], b""
        if reply.retry_after_ms:
            headers.append(("X-Retry-In-Ms", f"{reply.retry_after_ms:.0f}"))
        if reply.load:
            headers.append(("X-Server-Load", json.dumps(reply.load)))
        states = reply.states
        if bulk and reply.status == 200:
            states = states or {ident: "delivered" for ident in reply.processed}
            body = json.dumps([{"id": ident, "state": state} for ident, state in states.items()]).encode()
        data = response(reply.status, body, headers)
        status = reply.status
        if reply.corrupt:
            position = self.rng.randrange(1, len(data))
            data = (
                data[:position]
                + bytes(self.rng.randrange(256) for _ in range(4))
                + data[position:][: self.rng.randrange(1, 20)]
            )
            is_success = re.match(rb"HTTP/1\.[01] 200(?: [^\r\n]*)?\r?\n", data) and not bulk
            # a 200 to a single text counts once its status line has arrived
            status = 200 if is_success else -abs(status)
        self.world.record(
            "reply",
            number,
            status,
            0.0 if reply.corrupt else reply.retry_after_ms,
            tuple((states or {}).items()),
        )
        server.reply(data, lambda: self.world.record("heard", number))
        if reply.corrupt:
            server.close()

    def reset_connections(self, endpoint):
        """Resets all connections, as when the process was killed."""
        for server in list(endpoint.connections):
            server.mark_closed()
            server.end.abort()
