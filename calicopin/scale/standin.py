"""Stub destinations on loopback that record each call they receive."""

import http.server
import threading
import time
from dataclasses import dataclass

ANSWER_DELAY_S = 0.02


@dataclass(frozen=True, slots=True)
class Arrival:
    """One call: the message id, the destination encoded in it, and the receive time (s, monotonic)."""

    ident: str
    destination: int
    at: float


class DestinationServer(http.server.ThreadingHTTPServer):
    """Answers every call with 200 after `ANSWER_DELAY_S`; serves all destinations on one port."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self):
        super().__init__(("127.0.0.1", 0), _CallHandler)
        self.arrivals: list[Arrival] = []
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()

    @property
    def port(self) -> int:
        """The TCP port that it listens on."""
        return self.server_address[1]

    def handle_error(self, *_):
        """Ignores broken connections: a courier process was killed."""


class _CallHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_POST(self):
        self.rfile.read(int(self.headers["Content-Length"]))
        ident = self.headers["X-Request-ID"]
        self.server.arrivals.append(Arrival(ident, int(ident.rpartition("-")[2]), time.monotonic()))
        time.sleep(ANSWER_DELAY_S)
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_):
        pass
