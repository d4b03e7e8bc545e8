"""Operators, who call couriers at their admin addresses."""

import httptools

from calicopin.emulator.standins.http import Parsed


class Operator:
    """Calls couriers at their admin addresses, one call to a connection, and holds connections with half a
    call.
    """

    PORT, PATIENCE, HOLD = 9800, 3000.0, 4000.0

    def __init__(self, world, net):
        self.world, self.net, self.machine = world, net, net.machine("10.9.0.2")

    def call(self, courier, path, method="GET"):
        """Its outcome is noted: when it was asked, the status (0: none came) and the body."""
        asked, told = self.world.now, []

        def whole(message, body, begun):
            finish(message.parser.get_status_code(), body)

        def finish(status, body=b""):
            if not told:
                told.append(status)
                self.world.record("operator", courier.name, path, asked, status, body.decode())
                end.close()

        def up(done):
            if isinstance(done, int):
                finish(0)
            else:
                end.send(f"{method} /admin/{path} HTTP/1.1\r\nHost: courier\r\n\r\n".encode())

        parsed = Parsed(httptools.HttpResponseParser, whole)
        end = self.net.connect(self.machine, courier.host, self.PORT, up)
        end.on_data, end.on_end = parsed.feed, lambda reset: finish(0)
        self.world.call_later(self.PATIENCE, finish, 0)

    def hold(self, courier):
        def up(done):
            if not isinstance(done, int):
                end.send(b"GET /admin/st")

        end = self.net.connect(self.machine, courier.host, self.PORT, up)
        end.on_data, end.on_end = lambda *_: None, lambda reset: end.close()
        self.world.call_later(self.HOLD, end.close)
