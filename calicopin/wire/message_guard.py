"""Limits on the heads and the chunk framing of received messages, checked before h11 parses them. No I/O.

h11 matches each line with regular expressions that take time quadratic in its length where a malformed line
holds a long run of spaces, and limits a head only while it is incomplete. Sizes are bytes.
"""

import re
from enum import Enum, auto

import h11

MAX_HEAD_BYTES = 16384  # of a request, an answer or the trailer of a chunked body
MAX_HEAD_FIELDS = 128
MAX_CHUNK_HEADER_BYTES = 256  # the size of a chunk with its extensions
MAX_FRAMING_BYTES = 65536  # of a chunked body, beyond as many bytes as its data has

HEAD_END = re.compile(rb"\n\r?\n")
EMPTY_LINE = (b"\n", b"\r\n")
INVALID_IN_HEAD = re.compile(rb"[\x00\x0b\x0c]|\r(?!\n)")  # h11 refuses a line with any of these
# the line end behind the data of the last chunk, then the header of the next one
CHUNK_HEADER = re.compile(rb"(?:\r?\n)?([^\n]{0,%d})\n" % MAX_CHUNK_HEADER_BYTES)
LAST_CHUNK = re.compile(rb"0+[ \t]*(?:;|\r?$)")
MAX_LINE_END_BYTES = 2


class NextPart(Enum):
    """The part of a message that the received data continues with."""

    HEAD = auto()
    CHUNK_HEADER = auto()
    TRAILER = auto()
    UNLIMITED = auto()  # data that the framing has announced


def too_large(reason):
    """The error for a head over its limits."""
    return h11.RemoteProtocolError(reason, error_status_hint=431)


class MessageGuard:
    """Follows the messages that one side of a connection sends.

    `error` has to be asked before each event is parsed, and `parsed` told each event.
    """

    __slots__ = ("next_part", "is_chunked", "framing_bytes", "data_bytes")

    def __init__(self):
        self.begin_message()

    def begin_message(self):
        """A message is expected."""
        self.next_part, self.is_chunked = NextPart.HEAD, False
        self.framing_bytes = self.data_bytes = 0

    @property
    def checks_data(self):
        """Whether `error` depends on the data."""
        return self.next_part is not NextPart.UNLIMITED

    def error(self, unparsed):
        """The RemoteProtocolError for received data that is not to be parsed; else None."""
        if self.next_part is NextPart.CHUNK_HEADER:
            return self._chunk_header_error(unparsed)
        if self.checks_data:
            return self._head_error(unparsed)
        return None

    def parsed(self, event):
        """Notes what the peer has sent."""
        if isinstance(event, (h11.Request, h11.Response)):
            self.is_chunked = has_chunks(event)
            self.next_part = NextPart.CHUNK_HEADER if self.is_chunked else NextPart.UNLIMITED
        elif isinstance(event, h11.Data):
            self.data_bytes += len(event.data)
            if event.chunk_end:
                self.next_part = NextPart.CHUNK_HEADER
        elif isinstance(event, h11.EndOfMessage):
            self.next_part = NextPart.UNLIMITED

    @staticmethod
    def _head_error(unparsed, start=0):
        if unparsed.startswith(EMPTY_LINE, start):
            return None
        end = HEAD_END.search(unparsed, start)
        if end is None:
            incomplete_bytes = len(unparsed) - start
            return too_large("a head over 16 KiB") if incomplete_bytes > MAX_HEAD_BYTES else None
        if end.end() - start > MAX_HEAD_BYTES:
            return too_large("a head over 16 KiB")
        if unparsed.count(b"\n", start, end.start()) > MAX_HEAD_FIELDS:
            return too_large(f"a head of over {MAX_HEAD_FIELDS} fields")
        if INVALID_IN_HEAD.search(unparsed, start, end.end()):
            return h11.RemoteProtocolError("a head with an invalid byte")
        return None

    def _chunk_header_error(self, unparsed):
        header = CHUNK_HEADER.match(unparsed)
        if header is None:
            too_long = len(unparsed) > MAX_CHUNK_HEADER_BYTES + MAX_LINE_END_BYTES
            return h11.RemoteProtocolError("a chunk header that is too long") if too_long else None
        if header[1] in (b"", b"\r"):  # only the line end behind the last chunk; as a header, h11 refuses it
            return None
        if not header[1].endswith(b"\r"):
            return h11.RemoteProtocolError("a chunk header with an invalid line end")
        self.framing_bytes += header.end()
        if self.framing_bytes > MAX_FRAMING_BYTES + self.data_bytes:
            return h11.RemoteProtocolError("a body in too many small chunks", error_status_hint=413)
        if LAST_CHUNK.match(header[1]):
            self.next_part = NextPart.TRAILER
            return self._head_error(unparsed, header.end())
        self.next_part = NextPart.UNLIMITED
        return None


def has_chunks(head):
    """Whether a body in chunks follows a head."""
    if isinstance(head, h11.Response) and head.status_code in (204, 304):
        return False
    return any(name == b"transfer-encoding" for name, _ in head.headers)
