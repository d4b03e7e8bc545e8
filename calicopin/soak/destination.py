"""A simulated destination on loopback that delivers, refuses, hangs, fails or resets calls.

After an outage its capacity is reduced for a while. Its endpoints share its capacity and its failure mode; it
records each call that they read.
"""

import asyncio
import json
import random
import socket
import struct
import time
from dataclasses import dataclass
from functools import partial

from calicopin.soak.rules import Arrival, Record, RequestedWait, SlowStart, capacity_share

LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER on, 0 s: closing sends a reset
HEADERS_END = b"\r\n\r\n"
MAX_CUT_BYTES = 40  # of a copy that breaks off
# `shut`: refuses each call with 503 or 429; `cut`: breaks off the answer of a call that ran.
MODES = ("well", "errors", "hang", "refuse", "reset", "shut", "cut")
OUTAGE_MODES = MODES[1:]


@dataclass(frozen=True, slots=True)
class Request:
    """One request as it was read; `began` is when its first byte was read (s, monotonic)."""

    request_line: str
    headers: dict[str, str]
    body: bytes
    began: float


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """One request; None if the connection ends before it is complete."""
    try:
        begin = await reader.readexactly(1)
        began = time.monotonic()
        head = (begin + await reader.readuntil(HEADERS_END)).decode("latin-1")
        request_line, *lines = head.rstrip("\r\n").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Request(request_line, headers, body, began)
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None


async def closed_within(reader: asyncio.StreamReader, seconds: float) -> bool:
    """Whether the peer closes the connection within so many seconds."""
    try:
        await asyncio.wait_for(reader.read(1), seconds)
    except TimeoutError:
        return False
    return True


def response(status: int, body: bytes = b"", **headers: str) -> bytes:
    """One complete HTTP/1.1 answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


@dataclass(slots=True)
class AnswerCopies:
    """Sends copies of answers: of a share of them, within `delay` seconds, whole or `cut`.

    Nothing is copied before `begin` and after `end` (s, monotonic).
    """

    rng: random.Random
    record: Record
    share: float
    delay: float
    cut: bool
    begin: float
    end: float

    def schedule(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Sends a copy of an answer that was just written, or not, as drawn."""
        if self.begin <= time.monotonic() < self.end and self.rng.random() < self.share:
            copy = data[: self.rng.randint(1, min(MAX_CUT_BYTES, len(data) - 1))] if self.cut else data
            asyncio.get_running_loop().call_later(self.rng.uniform(0.0, self.delay), self._send, writer, copy)

    def _send(self, writer: asyncio.StreamWriter, copy: bytes) -> None:
        if not writer.is_closing():
            writer.write(copy)
            self.record.copies += 1


@dataclass(slots=True)
class Endpoint:
    """One listening address of a destination; `server` is None while it accepts no connections."""

    ident: str
    port: int = 0
    server: asyncio.Server | None = None


class Destination:
    """One destination; `capacity` is the calls per second that it takes at full capacity, over all endpoints.

    The caller is known from the message ids, which begin with the courier's name and a dot.
    """

    def __init__(self, number: int, capacity: float, rule: SlowStart, record: Record, answer_after: float):
        self.number, self.capacity, self.rule, self.record = number, capacity, rule, record
        self.answer_after, self.mode, self.recovered_at = answer_after, "well", float("-inf")
        self.refusal_wait = 0.0  # seconds that refusals ask couriers to wait; 0: none
        self.copies: AnswerCopies | None = None
        self.accepted_at: list[float] = []
        self.endpoints: list[Endpoint] = []
        self.connections: set[asyncio.StreamWriter] = set()

    async def add_endpoint(self) -> Endpoint:
        """Adds an endpoint; it listens unless connections are refused at the moment."""
        endpoint = Endpoint(f"s-{self.number}-{len(self.endpoints)}")
        self.endpoints.append(endpoint)
        await self._listen(endpoint)
        if self.mode == "refuse":
            self._stop_listening(endpoint)
        return endpoint

    async def _listen(self, endpoint: Endpoint) -> None:
        """Listens, on the previous port if it has listened before."""
        handler = partial(self._serve_connection, endpoint)
        endpoint.server = await asyncio.start_server(handler, "127.0.0.1", endpoint.port, backlog=512)
        endpoint.port = endpoint.server.sockets[0].getsockname()[1]

    @staticmethod
    def _stop_listening(endpoint: Endpoint) -> None:
        endpoint.server.close()
        endpoint.server = None

    async def set_mode(self, mode: str) -> None:
        """Switches the mode.

        Open connections are reset if the new mode is `refuse` or `reset`, or the previous one was `hang`.
        """
        previous, self.mode = self.mode, mode
        if mode == "well":
            self.recovered_at = time.monotonic()
            for endpoint in self.endpoints:
                if endpoint.server is None:
                    await self._listen(endpoint)
        if mode == "refuse":
            for endpoint in self.endpoints:
                self._stop_listening(endpoint)
        if mode in ("refuse", "reset") or previous == "hang":
            for writer in list(self.connections):
                abort(writer)

    async def close(self) -> None:
        """Closes all endpoints and connections."""
        for endpoint in self.endpoints:
            if endpoint.server is not None:
                self._stop_listening(endpoint)
        for writer in list(self.connections):
            abort(writer)

    async def _serve_connection(self, endpoint: Endpoint, reader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._handle_call(endpoint, request, reader, writer):
                    break
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _handle_call(self, endpoint: Endpoint, request: Request, reader, writer) -> bool:
        """Handles one call; whether its connection stays open."""
        bulk = request.request_line.startswith("POST /inbox/bulk")
        if bulk:
            idents = [entry["id"] for entry in json.loads(request.body)]
        else:
            idents = [request.headers["x-request-id"]]
        courier = idents[0].partition(".")[0]
        arrival = Arrival(time.monotonic(), courier, self.number, tuple(idents))
        arrival.endpoint, arrival.began = endpoint.ident, request.began
        self.record.arrivals.append(arrival)
        try:
            return await self._respond(arrival, bulk, reader, writer)
        finally:
            arrival.ended = time.monotonic()

    async def _respond(self, arrival: Arrival, bulk: bool, reader, writer) -> bool:
        mode = self.mode
        if mode == "hang":
            arrival.outcome = "hung"
            await reader.read(1)  # until the courier abandons the call or the outage ends
            return False
        if mode == "reset":
            arrival.outcome = "reset"
            abort(writer)
            return False
        if mode == "shut" or (mode == "well" and self._over_capacity(arrival.at)):
            return await self._refuse(arrival, writer)
        if await closed_within(reader, self.answer_after):
            arrival.outcome = "abandoned"
            return False
        if mode == "errors":
            arrival.outcome = "error"
            await self._write(writer, response(500))
        elif mode == "cut":  # the call ran, but its answer is incomplete
            arrival.outcome = "cut"
            writer.write(b"HTTP/1.1 20")
            await writer.drain()
            return False
        else:
            arrival.outcome = "delivered"
            states = [{"id": ident, "state": "delivered"} for ident in arrival.messages]
            await self._write(writer, response(200, json.dumps(states).encode() if bulk else b""))
        arrival.answered = time.monotonic()
        return True

    async def _write(self, writer, answer: bytes) -> None:
        writer.write(answer)
        await writer.drain()
        if self.copies is not None:
            self.copies.schedule(writer, answer)

    async def _refuse(self, arrival: Arrival, writer) -> bool:
        arrival.outcome = "refused"
        headers = {"X_Retry_In_Ms": f"{self.refusal_wait * 1000.0:.0f}"} if self.refusal_wait else {}
        await self._write(writer, response(429 if self.refusal_wait else 503, **headers))
        arrival.answered = time.monotonic()
        if self.refusal_wait:
            self.record.waits.append(
                RequestedWait(arrival.answered, arrival.courier, self.number, self.refusal_wait)
            )
        return True

    def _over_capacity(self, at: float) -> bool:
        """Whether the capacity of the last second is used up; if not, the call is counted."""
        self.accepted_at = [accepted for accepted in self.accepted_at if accepted > at - 1.0]
        if len(self.accepted_at) >= max(
            1.0, self.capacity * capacity_share(self.rule, self.recovered_at, at)
        ):
            return True
        self.accepted_at.append(at)
        return False


def abort(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()
