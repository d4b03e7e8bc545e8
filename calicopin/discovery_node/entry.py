"""One line of the source: its header or an entry of the list, validated on decoding."""

from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec

from calicopin.subscription.messages import MAX_DESTINATION

SOURCE_FORM_VERSION = 1  # version of the line format
MAX_FIELD_LENGTH = 256  # characters of an endpoint's id, address, kind or zone

RequiredText = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_FIELD_LENGTH)]
OptionalText = Annotated[str, msgspec.Meta(max_length=MAX_FIELD_LENGTH)]
Weight = Annotated[float, msgspec.Meta(ge=0.0)]
Destination = Annotated[int, msgspec.Meta(ge=0, le=MAX_DESTINATION)]


class EntryError(ValueError):
    """An invalid line; the message names the position in it."""


class Entry(msgspec.Struct, forbid_unknown_fields=True):
    """One endpoint of the list; `cell` is its destination."""

    id: RequiredText
    addr: RequiredText
    cell: Destination
    state: Literal["active", "leaving", "left"]
    kind: OptionalText = ""
    zone: OptionalText = ""
    weight: Weight | None = None


class Header(msgspec.Struct, forbid_unknown_fields=True):
    """The first line: the version of the line format and the fleet of the list."""

    form: int
    fleet: RequiredText


@dataclass(slots=True)
class Line:
    """A line of the source, numbered from 1: an entry and its bytes, or a fault."""

    number: int
    data: bytes
    entry: Entry | None
    fault: str = ""


_entry_decoder = msgspec.json.Decoder(Entry)
_header_decoder = msgspec.json.Decoder(Header)


def decode_entry(data: bytes) -> Entry:
    """Raises EntryError if the line is not a valid entry."""
    try:
        return _entry_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
        raise EntryError(str(fault)) from None


def read_line(number: int, data: bytes) -> Line:
    """Decodes the line into an entry or a fault."""
    try:
        return Line(number, data, decode_entry(data))
    except EntryError as fault:
        return Line(number, data, None, str(fault))


def check_header(data: bytes, fleet: str) -> None:
    """Raises EntryError if the header is invalid, of another fleet or of an unsupported version."""
    try:
        header = _header_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
        raise EntryError(
            f'the header is not {{"form":{SOURCE_FORM_VERSION},"fleet":"..."}}: {fault}'
        ) from None
    if header.form != SOURCE_FORM_VERSION:
        raise EntryError(f"form {header.form} is not form {SOURCE_FORM_VERSION}, the only supported one")
    if header.fleet != fleet:
        raise EntryError(f"the list is of the fleet {header.fleet[:40]!r}, this node serves {fleet!r}")
