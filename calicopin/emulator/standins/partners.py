"""Partners' endpoints: what a destination decides, on the emulated network."""

import base64
import json
import re
import zlib

from calicopin.emulator.net import Listener
from calicopin.emulator.partners import NEVER
from calicopin.emulator.standins.http import Server, response

ODD = {b"/inbox": False, b"/inbox/bulk": True}


class Partners:
    """The endpoints of every destination on the network."""

    def __init__(self, world, net, who):
        self.world, self.net, self.who, self.calls = world, net, who, 0
        self.rng = world.random_stream("partners")

    def listen(self, destination, endpoint):
        machine = self.net.machine(endpoint.host)
        open_ = endpoint.servers = []

        def on_connection(end):
            if destination.modes.get("refuse") or destination.fell:
                self.world.call_later(self.net.latency(), self.refused, destination, end)
                return True
            server = Server(end, lambda *told: self.call(destination, endpoint, *told), self.closed)
            server.call = None
            open_.append(server)
            self.sweep(server, destination.spec.idle_s * 1000.0, open_)
            return True

        machine.listeners[80] = Listener(machine, on_connection, destination.spec.handshake_ms)

    def refused(self, destination, end):
        destination.met.add(self.who(end))
        end.abort()

    def sweep(self, server, idle, open_):
        """Closes one that has stood idle for the time in the settings."""
        if not server.open:
            if server in open_:
                open_.remove(server)
        elif server.call is None and self.world.now - server.last >= idle:
            server.hang_up()
            open_.remove(server)
        else:
            self.world.call_later(
                max(1000.0, idle - (self.world.now - server.last)), self.sweep, server, idle, open_
            )

    def closed(self, server):
        call, server.call = server.call, None
        if call is not None:
            self.world.record("hung-up", call)

    def call(self, destination, endpoint, server, target, headers, body, begun):
        courier = self.who(server.end)
        if server.call is not None:
            self.world.record("fault", courier, "a second request on a connection before the answer")
        try:
            bulk = ODD[target]
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
        self.calls += 1
        number = server.call = self.calls
        idents = tuple(text[0] for text in texts)
        self.world.record(
            "call", number, courier, endpoint.ident, endpoint.zone, destination.number, tuple(texts), begun
        )
        if len(idents) > destination.spec.bundle or len(set(idents)) < len(idents):
            self.world.record(
                "fault", courier, f"{len(idents)} texts in a call of {destination.spec.bundle} at most"
            )
        if not self.net.machine(endpoint.host).up:
            return
        reply = destination.arrive(endpoint, courier, idents)
        if reply.ran:
            self.world.call_later(reply.ran_after, self.ran, number, reply.ran)
        if reply.after != NEVER:
            self.world.call_later(reply.after, self.written, server, number, reply, len(idents) > 1)

    def ran(self, number, idents):
        self.world.record("ran", number, idents)

    def written(self, server, number, reply, bulk):
        if server.call != number:
            return
        server.call = None
        if reply.lost:
            self.world.record("lost", number)
            server.hang_up()
            return
        headers, body = [], b""
        if reply.wait:
            headers.append(("X-Retry-In-Ms", f"{reply.wait:.0f}"))
        if reply.load:
            headers.append(("X-Server-Load", json.dumps(reply.load)))
        states = reply.states
        if bulk and reply.status == 200:
            states = states or {ident: "delivered" for ident in reply.ran}
            body = json.dumps([{"id": ident, "state": state} for ident, state in states.items()]).encode()
        data = response(reply.status, body, headers)
        status = reply.status
        if reply.spoilt:
            at = self.rng.randrange(1, len(data))
            data = (
                data[:at]
                + bytes(self.rng.randrange(256) for _ in range(4))
                + data[at:][: self.rng.randrange(1, 20)]
            )
            told = re.match(rb"HTTP/1\.[01] 200(?: [^\r\n]*)?\r?\n", data) and not bulk
            status = 200 if told else -abs(status)  # alone in its call, a 200 counts from its first line on
        self.world.record(
            "reply", number, status, 0.0 if reply.spoilt else reply.wait, tuple((states or {}).items())
        )
        server.reply(data, lambda: self.world.record("heard", number))
        if reply.spoilt:
            server.hang_up()

    def restart(self, endpoint):
        """All connections are reset, as when its process died."""
        for server in list(endpoint.servers):
            server.gone()
            server.end.abort()
