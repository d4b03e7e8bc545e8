"""Requests of clients as they are read: the parts of a head that are kept, and the message. No I/O."""

import re
from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote, urlsplit

from calicopin.state.texts import Text

MAX_BODY_BYTES = 65536
MAX_IDENTIFIER_LENGTH = 256  # characters of an id, a reference or a key
MAX_TIMEOUT_S = 86400.0  # validity periods are not longer than a day
SECONDS_PATTERN = re.compile(r"[0-9]{1,18}(\.[0-9]{0,18})?")
DESTINATION_PATTERN = re.compile(r"[0-9]{1,9}")
KEPT_FIELDS = (
    b"content-length",
    b"transfer-encoding",
    b"x-request-id",
    b"x-timeout",
    b"x-envelope",
    b"idempotency-key",
)


class RequestRefusedError(Exception):
    """A request that is refused, with its status and the reason."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status = status


@dataclass(slots=True, frozen=True)
class RequestHead:
    """A request without its body; `fields` are those in `KEPT_FIELDS` only, since a client may send many."""

    method: bytes
    target: bytes
    fields: dict[bytes, bytes]


def read_head(request):
    """The parts of an `h11.Request` that are kept while its body is received."""
    fields = {name: value for name, value in request.headers if name in KEPT_FIELDS}
    return RequestHead(request.method, request.target, fields)


def parse_envelope(header):
    """The fields of an `X-Envelope` header, which semicolons, commas or ampersands separate."""
    return dict(parse_qsl(header.replace(";", "&").replace(",", "&").replace(" ", "")))


def read_text(head, body, products, now):
    """Decodes a request as a text, valid from `now` (ms); raises RequestRefusedError."""
    headers = {name.decode(): value.decode("latin-1") for name, value in head.fields.items()}
    parts = [unquote(part) for part in urlsplit(head.target.decode("latin-1")).path.split("/")[1:]]
    if parts[0] not in products:
        raise RequestRefusedError(404, f"no product {parts[0][:40]!r}")
    ident, reference = headers.get("x-request-id", ""), headers.get("idempotency-key")
    key = "/".join(parts[1:]) or None
    if not ident or max(len(ident), len(reference or ""), len(key or "")) > MAX_IDENTIFIER_LENGTH:
        raise RequestRefusedError(400, "X-Request-ID is absent, or a word is too long")
    timeout = headers.get("x-timeout", "").strip()
    if not SECONDS_PATTERN.fullmatch(timeout) or float(timeout) > MAX_TIMEOUT_S:
        raise RequestRefusedError(400, "X-Timeout is no number of seconds")
    dest = parse_envelope(headers.get("x-envelope", "")).get("dest", "")
    if not DESTINATION_PATTERN.fullmatch(dest):
        raise RequestRefusedError(400, "X-Envelope names no dest")
    return Text(ident, int(dest), products[parts[0]], reference, key, now + float(timeout) * 1000.0, body)


def framing_error(head):
    """(status, reason) if the length of the body is ambiguous or too large; else None.

    Two length headers allow request smuggling: a second request hidden in the body of the first.
    """
    if b"content-length" in head.fields and b"transfer-encoding" in head.fields:
        return 400, "both Content-Length and Transfer-Encoding"
    if int(head.fields.get(b"content-length", 0)) > MAX_BODY_BYTES:
        return 413, "a body over 64 KiB"
    return None
