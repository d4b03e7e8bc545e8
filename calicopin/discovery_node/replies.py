"""Parses the query of a request and builds the replies of a discovery node; each refusal is one typed
message."""

import math
from dataclasses import dataclass
from urllib.parse import parse_qsl

from calicopin.subscription.messages import MessageError, Reason, Refusal, encode_refusal

MAX_INDEX_DIGITS = 18


@dataclass(frozen=True, slots=True)
class Poll:
    """The query of a request; `wait` in ms."""

    index: int | None
    wait: float


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP status and body; `last` closes the connection, `refusal` is set if the request was refused."""

    status: int
    body: bytes
    refusal: Refusal | None = None
    last: bool = False


def refusal_reply(refusal: Refusal, status: int = 0, last: bool = False) -> Reply:
    """The reply for a refusal; `status` replaces the status of its reason."""
    return Reply(status or refusal.status, encode_refusal(refusal), refusal, last)


def retry_seconds(refusal: Refusal) -> int:
    """The value of the Retry-After header, in whole seconds."""
    return math.ceil(refusal.retry_ms / 1000.0)


def encode_refusal_response(refusal: Refusal) -> bytes:
    """A complete HTTP response with a refusal that closes the connection."""
    body = encode_refusal(refusal)
    head = [
        f"HTTP/1.1 {refusal.status} {refusal.reason.value}",
        "Connection: close",
        "Content-Type: application/json",
        f"Retry-After: {retry_seconds(refusal)}",
        f"Content-Length: {len(body)}",
    ]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


def unreadable_reply(message: str, status: int = 400, last: bool = True) -> Reply:
    """The reply to an unreadable request."""
    return refusal_reply(Refusal(Reason.UNREADABLE, message), status, last)


def is_number(text: str) -> bool:
    """Whether a query value is a non-negative integer."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_INDEX_DIGITS


def read_poll(target: bytes, max_wait_ms: float) -> Poll:
    """Parses the query of a request; raises MessageError."""
    fields = {}
    for name, value in parse_qsl(target.partition(b"?")[2].decode("latin-1"), keep_blank_values=True):
        if name not in ("index", "wait"):
            raise MessageError(f"query.{name[:40]}", "is an unknown field")
        if not is_number(value):
            raise MessageError(f"query.{name}", "is no whole number from 0 up")
        fields[name] = int(value)
    return Poll(fields.get("index"), min(float(fields.get("wait", 0)), max_wait_ms))
