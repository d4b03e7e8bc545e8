"""An upstream node as the source: its source file is copied to a local file, which this node follows.

The node polls for bytes after the end of its copy. If the upstream node switched to another file or was
restarted, a new copy is written next to the old one and replaces it once complete; until then the old copy
is served.
"""

import os
from collections.abc import Iterator

import h11
from loguru import logger

from calicopin.discovery_node.source import SourceError, open_source
from calicopin.wire.loop import Loop, Until
from calicopin.wire.persistent_client import PersistentClient

LOG_PATH = "/api/log"
LOG_CHUNK_BYTES = 1 << 20  # maximum size of the log data in one answer
MAX_IDENTITY_BYTES = 512  # maximum size of the identity line before the data
POLL_INTERVAL_MS = 250.0  # between two requests when there was no new data
RETRY_INTERVAL_MS = 1000.0  # after a failed request
REJECTED_COPY_RETRY_MS = 30_000.0  # after an unusable copy, before a complete new one is made
ANSWER_TIMEOUT_MS = 5000.0  # for one answer
PARTIAL_SUFFIX = ".part"  # of an incomplete copy


def encode_log_chunk(identity: str, data: bytes) -> bytes:
    """A chunk of the log: a line with the identity of the file, then the data."""
    return identity.encode() + b"\n" + data


def write_all(descriptor: int, data: bytes, offset: int) -> None:
    """Writes all of the data at the offset, or raises OSError; may be repeated."""
    done = 0
    while done < len(data):
        done += os.pwrite(descriptor, data[done:], offset + done)


class Upstream(PersistentClient):
    """Copies the log of the node at `address` to `path`. A list that exists there is served from the
    start."""

    def __init__(self, loop: Loop, address: str, path: str, fleet: str):
        self.path, self.fleet = path, fleet
        self.heard_at: float | None = None  # wall-clock time of the last answer, ms
        self.copies = 0  # completed copies
        self._identity, self._offset, self._descriptor = "", 0, -1
        self._is_published = False  # whether the copy has replaced the file at `path`
        self._last_logged = ""
        if not os.path.exists(path):
            os.close(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o644))
        super().__init__(loop, address)

    def run(self) -> Iterator[Until]:
        """Sends one request after another, forever."""
        self.close_connection()
        while True:
            pause = POLL_INTERVAL_MS
            try:
                chunk = yield from self._request_chunk()
                if chunk is None:
                    self._log_once(f"the upstream node {self.address} does not answer")
                    pause = RETRY_INTERVAL_MS
                elif self._append(chunk):
                    pause = 0.0
            except (OSError, SourceError) as fault:
                self._log_once(f"cannot copy the list of the upstream node {self.address}: {fault}")
                self._identity, pause = "", REJECTED_COPY_RETRY_MS
            yield Until(self.loop.now() + pause)

    def _request_chunk(self) -> Iterator[Until]:
        """The next chunk, or None if the request failed.

        A chunk does not name its offset, so each request has a connection of its own: on a kept one, an
        answer that came twice would be appended twice.
        """
        until = self.loop.now() + ANSWER_TIMEOUT_MS
        connection = yield from self.connect(until)
        if not connection:
            return None
        target = f"{LOG_PATH}?offset={self._offset}"
        request = h11.Request(method="GET", target=target, headers=[("Host", self.address)])
        status, body = (
            yield from connection.exchange(request, b"", LOG_CHUNK_BYTES + MAX_IDENTITY_BYTES, until)
        ) or (
            0,
            b"",
        )
        self.close_connection()
        return body if status == 200 else None

    def _append(self, chunk: bytes) -> bool:
        """Processes one chunk. Returns whether more data may be available at once."""
        self.heard_at = self.loop.system.wall_clock_ms()
        name, _, data = chunk.partition(b"\n")
        identity = name.decode("latin-1")
        if identity != self._identity:
            self._start_copy(identity)
            return True
        write_all(self._descriptor, data, self._offset)
        self._offset += len(data)
        if len(data) >= LOG_CHUNK_BYTES:
            return True
        self._last_logged = ""
        if not self._is_published:
            self._publish()
        return False

    def _start_copy(self, identity: str) -> None:
        """Starts a new copy from the first byte of the log."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        self._descriptor = os.open(self.path + PARTIAL_SUFFIX, flags, 0o644)
        self._identity, self._offset, self._is_published = identity, 0, False

    def _publish(self) -> None:
        """Replaces the source with the complete copy; raises SourceError if that is invalid."""
        file = open_source(self.path + PARTIAL_SUFFIX, self.fleet)
        file.close()
        if file.offset == 0:
            raise SourceError("its header line is incomplete")
        os.replace(self.path + PARTIAL_SUFFIX, self.path)
        self._is_published = True
        self.copies += 1

    def _log_once(self, why: str) -> None:
        if why != self._last_logged:
            logger.warning("{why}", event="upstream.unheard", why=why)
            self._last_logged = why
