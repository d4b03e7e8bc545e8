"""Operators, who call couriers at their admin addresses."""

import httptools

from calicopin.emulator.standins.http import MessageParser


class Operator:
    """Calls couriers at their admin addresses, one call a connection, and holds connections open with an
    incomplete request.
    """

    PORT, CALL_TIMEOUT_MS, HOLD_MS = 9800, 3000.0, 4000.0

    def __init__(self, world, net):
        self.world, self.net, self.machine = world, net, net.machine("10.9.0.2")

    def call(self, courier, path, method="GET"):
        """Makes one call and records when it was made, its status (0: no answer) and body."""
        asked_at, outcome = self.world.now, []

        def on_response(message, body, started_at):
            finish(message.parser.get_status_code(), body)

        def finish(status, body=b""):
            if not outcome:
                outcome.append(status)
                self.world.record("operator", courier.name, path, asked_at, status, body.decode())
                end.close()

        def on_connected(result):
            if isinstance(result, int):
                finish(0)
            else:
                end.send(f"{method} /admin/{path} HTTP/1.1\r\nHost: courier\r\n\r\n".encode())

        parser = MessageParser(httptools.HttpResponseParser, on_response)
        end = self.net.connect(self.machine, courier.host, self.PORT, on_connected)
        end.on_data, end.on_end = parser.feed, lambda reset: finish(0)
        self.world.call_later(self.CALL_TIMEOUT_MS, finish, 0)

    def hold_connection(self, courier):
        """Sends half a request and closes after `HOLD_MS` if the courier does not."""

        def on_connected(result):
            if not isinstance(result, int):
                end.send(b"GET /admin/st")

        end = self.net.connect(self.machine, courier.host, self.PORT, on_connected)
        end.on_data, end.on_end = lambda *_: None, lambda reset: end.close()
        self.world.call_later(self.HOLD_MS, end.close)
