"""Codec for the lines of the simulator's wire protocol, marsh-b659."""

import json
import math


class WireError(Exception):
    """A line cannot be read; the message names the line and the cause."""


def _parse_flag(word):
    if word not in ("0", "1"):
        raise ValueError(f"{word!r} is neither 0 nor 1")
    return word == "1"


def _parse_unsigned(word):
    value = int(word)
    if value < 0:
        raise ValueError(f"{word!r} is negative")
    return value


def _parse_number(word):
    value = float(word)
    if value - value != 0.0:
        raise ValueError(f"{word!r} is not a finite number")
    return value


def _optional(parse):
    return lambda word: None if word == "-" else parse(word)


def _parse_load(word):
    return None if word == "-" else [_parse_number(part) for part in word.split(",")]


def _parse_object(text):
    value = json.loads(text)
    if not isinstance(value, dict):
        raise ValueError("the settings are not an object")
    return value


# Parsers of the values of each message, in wire order. `_parse_object` takes the rest of the line.
EVENT_PARSERS = {
    "CLOCK": (_parse_number, _parse_unsigned),
    "EOB": (),
    "FOR": (_parse_unsigned,),
    "HELLO": (_parse_unsigned, _parse_object),
    "PAGE": (_parse_unsigned, _parse_unsigned),
    "ENDPOINT": (
        _parse_unsigned,
        _optional(_parse_number),
        _optional(_parse_number),
        _parse_unsigned,
        _optional(_parse_unsigned),
        _optional(_parse_unsigned),
        _parse_unsigned,
    ),
    "PEERS_KNOWN": (_parse_unsigned, _optional(_parse_unsigned), _optional(_parse_unsigned)),
    "ACCEPT": (
        _parse_unsigned,
        _parse_unsigned,
        _optional(_parse_unsigned),
        _optional(_parse_number),
        _optional(str),
        _parse_number,
        _parse_unsigned,
        _optional(_parse_unsigned),
    ),
    "VERDICT": (
        _parse_unsigned,
        _parse_unsigned,
        _optional(_parse_number),
        _parse_flag,
        _parse_unsigned,
        _parse_unsigned,
        _optional(_parse_number),
        _parse_load,
    ),
    "HEAD_RECEIVED": (_parse_unsigned, _parse_unsigned, _parse_unsigned, _optional(_parse_number)),
    "BELL": (_parse_unsigned,),
    "DETACH": (),
    "ABORTED": (_parse_unsigned,),
    "PEER": (_parse_unsigned, str),
    "HEALTH_RESULT": (_parse_unsigned, _parse_unsigned, _optional(_parse_number), _parse_load),
}


def read_line(line, number):
    """Parses one line into (name, values); raises WireError with the line number and the cause."""
    name, _, rest = line.partition(" ")
    parsers = EVENT_PARSERS.get(name)
    if parsers is None:
        raise WireError(f"line {number}: {name[:40]!r} is not a message of this protocol")
    words = rest.split(" ", len(parsers) - 1 if name == "HELLO" else -1) if rest else []
    if len(words) != len(parsers):
        raise WireError(f"line {number}: {name} has {len(words)} values, {len(parsers)} expected")
    values = []
    for position, (parse, word) in enumerate(zip(parsers, words, strict=True), 1):
        try:
            values.append(parse(word))
        except ValueError as fault:
            raise WireError(f"line {number}: value {position} of {name} cannot be read: {fault}") from None
    return name, values


def batches(lines):
    """Yields batches as (clock in seconds, batch number, [(line number, name, values), ...])."""
    clock = None
    for number, line in enumerate(lines, 1):
        name, values = read_line(line.rstrip("\r\n"), number)
        if clock is None:
            if name != "CLOCK":
                raise WireError(f"line {number}: {name} where CLOCK was expected to begin a batch")
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


def wire_seconds(milliseconds):
    """Formats milliseconds as seconds, rounded up to a microsecond so that no wait is too short."""
    return f"{math.ceil(milliseconds * 1000.0 - 1e-3) / 1e6:.6f}"


def single_line(text):
    """Joins all lines and runs of white space into one line."""
    return " ".join(str(text).split())
