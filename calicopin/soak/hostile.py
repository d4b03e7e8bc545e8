"""Clients of a soak that send what costs a courier most: malformed, cut and never-ending requests."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

ROUND_SECONDS = 0.05  # between two bursts of one hostile client
CONNECT_TIMEOUT_SECONDS = 0.4
STALLED_CONNECTIONS = 40  # kept open by a client that stops half way

Address = tuple[str, int]

HEAD = b"POST /%s HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Timeout: 5\r\nX-Envelope: dest=%d\r\n"
HALF_A_BODY = b"Content-Length: 60000\r\n\r\n" + b"z" * 50_000
TINY_CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 8_000
CHUNK_EXTENSIONS = b"Transfer-Encoding: chunked\r\n\r\n" + (b"1;" + b"e" * 200 + b"\r\na\r\n") * 300
SPACES = b"a:" + b" " * 15_000 + b"\x00\r\n\r\n"
MANY_FIELDS = b"a:\r\n" * 4_000
UNKNOWN_DESTINATION = 999_999


def _head(rng: random.Random) -> bytes:
    return HEAD % (b"notice", b"hostile%x" % rng.getrandbits(64), UNKNOWN_DESTINATION)


def _pipelined(rng: random.Random) -> bytes:
    """Small requests under ever new names, none of which is accepted."""
    names = (b"no%x" % rng.getrandbits(32) for _ in range(200))
    return b"".join(b"GET /%s HTTP/1.1\r\nHost: x\r\n\r\n" % name for name in names)


PAYLOADS: dict[str, Callable[[random.Random], bytes]] = {
    "half-body": lambda rng: _head(rng) + HALF_A_BODY,
    "tiny-chunks": lambda rng: _head(rng) + TINY_CHUNKS,
    "chunk-extensions": lambda rng: _head(rng) + CHUNK_EXTENSIONS,
    "spaces": lambda rng: _head(rng) + SPACES,
    "many-fields": lambda rng: _head(rng) + MANY_FIELDS,
    "pipelined": _pipelined,
}


async def attack(address: Address, how: str, seconds: float, rng: random.Random) -> None:
    """Sends bursts of one kind for so many seconds; connections stay open until the end or are closed by the
    courier.
    """
    loop, opened = asyncio.get_running_loop(), []
    until = loop.time() + seconds
    while loop.time() < until:
        with suppress(OSError, TimeoutError):
            connecting = asyncio.open_connection(*address)
            _, writer = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_SECONDS)
            opened.append(writer)
            writer.write(PAYLOADS[how](rng))
        if len(opened) > STALLED_CONNECTIONS:
            opened.pop(0).close()
        await asyncio.sleep(ROUND_SECONDS)
    for writer in opened:
        writer.close()
