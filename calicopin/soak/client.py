"""Clients of a soak: each request is sent once, over an idle or a new connection, and its answer recorded."""

import asyncio
import time
from collections import defaultdict
from dataclasses import dataclass

from calicopin.soak.rules import Message, Record

TIMEOUT_SECONDS = 0.4  # for connecting, and for an answer
BODY = b"order 4711 confirmed"
NO_CONNECTION, TIMED_OUT, UNANSWERED = 0, -1, -2  # in place of an HTTP status
DUPLICATE_ID = 409  # status: the id is in use or completed
MAX_IDLE_CONNECTIONS = 3  # per courier

Address = tuple[str, int]
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(frozen=True, slots=True)
class Request:
    """One message to send; `validity_seconds` is its validity period, `key` its order key."""

    ident: str
    courier: str
    destination: int
    product: str
    validity_seconds: float
    key: str | None = None


def encode_request(request: Request) -> bytes:
    """The request as HTTP/1.1 bytes."""
    path = request.product if request.key is None else f"{request.product}/{request.key}"
    lines = [
        f"POST /{path} HTTP/1.1",
        "Host: courier",
        f"X-Request-ID: {request.ident}",
        f"Idempotency-Key: k-{request.ident}",
        f"X-Timeout: {request.validity_seconds:.3f}",
        f"X-Envelope: dest={request.destination}",
        f"Content-Length: {len(BODY)}",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + BODY


async def read_status(reader: asyncio.StreamReader) -> int:
    """The status of one complete answer; UNANSWERED if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").lower().split("\r\n")
        lengths = [line.partition(":")[2] for line in lines if line.startswith("content-length:")]
        await reader.readexactly(int(lengths[0]) if lengths else 0)
        return int(lines[0].split()[1])
    except (asyncio.IncompleteReadError, OSError):
        return UNANSWERED


class Clients:
    """All clients. Connections stay open between requests; the couriers close them."""

    def __init__(self, record: Record):
        self.record = record
        self.idle: dict[Address, list[Connection]] = defaultdict(list)
        self.crowds: dict[Address, list[Connection]] = defaultdict(list)

    def close(self) -> None:
        """Closes all idle connections."""
        for connections in [*self.idle.values(), *self.crowds.values()]:
            for _, writer in connections:
                writer.close()

    async def gather_crowd(self, address: Address, connections: int) -> None:
        """Opens connections that send nothing, as many as the courier takes."""
        for _ in range(connections):
            try:
                opened = await asyncio.wait_for(asyncio.open_connection(*address), TIMEOUT_SECONDS)
            except (OSError, TimeoutError):
                return
            self.crowds[address].append(opened)

    def dissolve_crowd(self, address: Address) -> None:
        """Closes the connections of `gather_crowd`."""
        for _, writer in self.crowds.pop(address, ()):
            writer.close()

    async def send(self, request: Request, address: Address, only_open: bool = False) -> int:
        """The status that the request was answered with, or NO_CONNECTION, TIMED_OUT or UNANSWERED.

        `only_open`: not sent if no connection is open.
        """
        sent_at, status = time.monotonic(), UNANSWERED
        idle_connection = self._take_idle(address)
        if only_open and idle_connection is None:
            return NO_CONNECTION
        if idle_connection is not None:
            status = await self._exchange(request, address, idle_connection)
        if status == UNANSWERED:  # none idle, or closed before the request was read
            try:
                new_connection = await asyncio.wait_for(asyncio.open_connection(*address), TIMEOUT_SECONDS)
            except (OSError, TimeoutError):
                return NO_CONNECTION
            status = await self._exchange(request, address, new_connection)
            if status == DUPLICATE_ID and idle_connection is not None:  # the first attempt was read
                return UNANSWERED
        if status == 202:
            self._record_message(request, sent_at)
        return status

    def _take_idle(self, address: Address) -> Connection | None:
        """An idle connection that the courier has not closed, or None."""
        connections = self.idle[address]
        while connections:
            reader, writer = connections.pop()
            if not reader.at_eof() and reader.exception() is None:
                return reader, writer
            writer.close()
        return None

    async def _exchange(self, request: Request, address: Address, connection: Connection) -> int:
        reader, writer = connection
        status = UNANSWERED
        try:
            writer.write(encode_request(request))
            status = await asyncio.wait_for(read_status(reader), TIMEOUT_SECONDS)
        except TimeoutError:
            status = TIMED_OUT
        except OSError:
            pass
        if status > 0 and not reader.at_eof() and len(self.idle[address]) < MAX_IDLE_CONNECTIONS:
            self.idle[address].append(connection)
        else:
            writer.close()
        return status

    def _record_message(self, request: Request, sent_at: float) -> None:
        self.record.messages.append(
            Message(
                request.ident,
                request.courier,
                request.destination,
                request.product,
                sent_at + request.validity_seconds,
                time.monotonic(),
                request.key,
            )
        )
