"""Stub of the platform's agent: serves the whole list and its changes to couriers that hold all of it.

The protocol is `GET /api/targets?index=VERSION&wait=MILLISECONDS`, answered with `full`, `version` and
`servers`.
"""

import http.server
import json
import threading
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit


@dataclass(slots=True)
class ByteCounts:
    """Bytes of requests and responses, including headers."""

    received: int = 0
    sent: int = 0


class ListAgent(http.server.ThreadingHTTPServer):
    """Listens on a free loopback port; `entries` holds the list's entries by endpoint id."""

    daemon_threads = True

    def __init__(self, entries: dict[str, dict]):
        super().__init__(("127.0.0.1", 0), _RequestHandler)
        self.entries, self.changes, self.change_condition = entries, [], threading.Condition()
        self.byte_counts = ByteCounts()
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()

    @property
    def address(self) -> str:
        """Host and port for the couriers' settings."""
        return f"127.0.0.1:{self.server_address[1]}"

    def change(self, entry: dict) -> None:
        """Adds or replaces one entry and wakes the waiting requests."""
        with self.change_condition:
            self.entries[entry["id"]] = entry
            self.changes.append(entry)
            self.change_condition.notify_all()

    def answer(self, index: int | None, wait: float) -> dict:
        """The response for a courier at version `index`; waits at most `wait` seconds for a change."""
        with self.change_condition:
            if index is not None:
                self.change_condition.wait_for(lambda: len(self.changes) > index, wait)
            servers = list(self.entries.values()) if index is None else self.changes[index:]
            return {"full": index is None, "version": len(self.changes), "servers": servers}

    def close(self) -> None:
        """Stops the server."""
        self.shutdown()
        self.server_close()

    def handle_error(self, *_):
        """Ignores broken connections: a courier process was killed."""


class _RequestHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        query = parse_qs(urlsplit(self.path).query)
        index = int(query["index"][0]) if "index" in query else None
        response = self.server.answer(index, float(query.get("wait", ["0"])[0]) / 1000.0)
        body = json.dumps(response, separators=(",", ":")).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        self.server.byte_counts.received += len(self.raw_requestline) + len(bytes(self.headers))
        self.server.byte_counts.sent += len(head) + len(body)
        self.wfile.write(head.encode() + body)

    def log_message(self, *_):
        pass
