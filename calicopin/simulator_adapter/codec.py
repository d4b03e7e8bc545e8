"""Reads and writes the lines of the wire marsh-b659. Nothing here decides anything."""

import json
import math


class WireError(Exception):
    """A line that cannot be read, with a plain sentence about it."""


def _flag(word):
    if word not in ("0", "1"):
        raise ValueError(f"{word!r} is neither 0 nor 1")
    return word == "1"


def _whole(word):
    value = int(word)
    if value < 0:
        raise ValueError(f"{word!r} is negative")
    return value


def _number(word):
    value = float(word)
    if value - value != 0.0:
        raise ValueError(f"{word!r} is not a finite number")
    return value


def _maybe(read):
    return lambda word: None if word == "-" else read(word)


def _report(word):
    return None if word == "-" else [_number(part) for part in word.split(",")]


def _object(text):
    value = json.loads(text)
    if not isinstance(value, dict):
        raise ValueError("the settings are no object")
    return value


# What each message holds, in the order of the wire. A field of `_object` takes the rest of the line.
EVENTS = {
    "CLOCK": (_number, _whole),
    "EOB": (),
    "FOR": (_whole,),
    "HELLO": (_whole, _object),
    "PAGE": (_whole, _whole),
    "ENDPOINT": (_whole, _maybe(_number), _maybe(_number), _whole, _maybe(_whole), _maybe(_whole), _whole),
    "PEERS_KNOWN": (_whole, _maybe(_whole), _maybe(_whole)),
    "ACCEPT": (_whole, _whole, _maybe(_whole), _maybe(_number), _maybe(str), _number, _whole, _maybe(_whole)),
    "VERDICT": (_whole, _whole, _maybe(_number), _flag, _whole, _whole, _maybe(_number), _report),
    "HEAD_RECEIVED": (_whole, _whole, _whole, _maybe(_number)),
    "BELL": (_whole,),
    "DETACH": (),
    "ABORTED": (_whole,),
    "PEER": (_whole, str),
    "HEALTH_RESULT": (_whole, _whole, _maybe(_number), _report),
}


def read_line(line, number):
    """One line as (name, values); raises WireError with the line and the fault."""
    name, _, rest = line.partition(" ")
    shape = EVENTS.get(name)
    if shape is None:
        raise WireError(f"line {number}: {name[:40]!r} is no message of this wire")
    words = rest.split(" ", len(shape) - 1 if name == "HELLO" else -1) if rest else []
    if len(words) != len(shape):
        raise WireError(f"line {number}: {name} has {len(words)} values where {len(shape)} are due")
    values = []
    for place, (read, word) in enumerate(zip(shape, words, strict=True), 1):
        try:
            values.append(read(word))
        except ValueError as fault:
            raise WireError(f"line {number}: value {place} of {name} cannot be read: {fault}") from None
    return name, values


def batches(lines):
    """Batches as (clock in seconds, number, [(line number, name, values), ...])."""
    clock = None
    for number, line in enumerate(lines, 1):
        name, values = read_line(line.rstrip("\r\n"), number)
        if clock is None:
            if name != "CLOCK":
                raise WireError(f"line {number}: {name} stands where a batch begins with CLOCK")
            clock, events = values, []
        elif name == "CLOCK":
            raise WireError(f"line {number}: CLOCK inside a batch")
        elif name == "EOB":
            yield clock[0], clock[1], events
            clock = None
        else:
            events.append((number, name, values))
    if clock is not None:
        raise WireError(f"the input ends inside batch {clock[1]}")


def seconds(ms):
    """Milliseconds as the wire's seconds, to its microsecond and never too short."""
    return f"{math.ceil(ms * 1000.0 - 1e-3) / 1e6:.6f}"


def plain(text):
    """A text that fits on one line."""
    return " ".join(str(text).split())
