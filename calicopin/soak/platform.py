"""A simulated platform agent on loopback: serves the endpoint list and receives notices."""

import asyncio
import json
import time
from urllib.parse import parse_qs, urlsplit

from calicopin.soak.destination import AnswerCopies, abort, read_request, response
from calicopin.soak.rules import Record

LEFT = "left"
SILENCE_POLL_SECONDS = 0.02


class Platform:
    """One agent for all couriers.

    While `silent` (discovery is down) it answers no request for the endpoint list.
    """

    def __init__(self, record: Record):
        self.record, self.silent, self.version = record, False, 1
        self.endpoints: dict[str, dict] = {}  # discovery entries by endpoint id
        self.changes: list[tuple[int, dict]] = []  # version and changed entry
        self.changed = asyncio.Event()
        self.last_sent: dict = self.snapshot()  # the list as last sent to couriers
        self.server, self.port, self.connections = None, 0, set()
        self.copies: AnswerCopies | None = None

    def put_endpoint(self, entry: dict) -> None:
        """Adds, changes or (state `left`) removes an endpoint; all watching couriers are sent the change."""
        self.version += 1
        if entry["state"] == LEFT:
            self.endpoints.pop(entry["id"], None)
        else:
            self.endpoints[entry["id"]] = entry
        self.changes.append((self.version, entry))
        if not self.silent:
            self.last_sent = self.snapshot()
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self._serve_connection, "127.0.0.1", 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """The address for the couriers' settings."""
        return f"127.0.0.1:{self.port}"

    def snapshot(self) -> dict:
        """The full endpoint list in its JSON form."""
        return {"version": self.version, "full": True, "servers": list(self.endpoints.values())}

    def close(self) -> None:
        """Closes the server and all connections."""
        self.server.close()
        for writer in list(self.connections):
            abort(writer)

    async def _serve_connection(self, reader, writer) -> None:
        self.connections.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                method, target, _ = request.request_line.split(" ", 2)
                if method == "POST":
                    self._record_notices(request.body)
                    answer = response(204)
                else:
                    answer = response(200, await self._list_endpoints(target))
                writer.write(answer)
                await writer.drain()
                if self.copies is not None:
                    self.copies.schedule(writer, answer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def _record_notices(self, body: bytes) -> None:
        for line in body.splitlines():
            self.record.notices.setdefault(json.loads(line)["ref"], time.monotonic())

    async def _list_endpoints(self, target: str) -> bytes:
        query = parse_qs(urlsplit(target).query)
        await self.wait_while_silent()
        if "index" not in query:
            return json.dumps(self.snapshot()).encode()
        known = int(query["index"][0])
        deadline = time.monotonic() + float(query.get("wait", ["0"])[0]) / 1000.0
        while self.version <= known and (remaining := deadline - time.monotonic()) > 0.0:
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except TimeoutError:
                break
        await self.wait_while_silent()
        changed = [entry for version, entry in self.changes if version > known]
        return json.dumps({"version": self.version, "full": False, "servers": changed}).encode()

    async def wait_while_silent(self) -> None:
        """Waits until discovery answers; from then on couriers can learn of all changes."""
        while self.silent:
            await asyncio.sleep(SILENCE_POLL_SECONDS)
        self.last_sent = self.snapshot()
