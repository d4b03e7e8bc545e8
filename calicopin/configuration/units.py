"""Durations, sizes and addresses as an operator writes them."""

import re
import socket

DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*(ms|s|m|h)")
SIZE = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*(kB|MB|GB|KiB|MiB|GiB)")
MS_PER_UNIT = {"ms": 1.0, "s": 1000.0, "m": 60_000.0, "h": 3_600_000.0}
BYTES_PER_UNIT = {"kB": 1e3, "MB": 1e6, "GB": 1e9, "KiB": 2.0**10, "MiB": 2.0**20, "GiB": 2.0**30}


def milliseconds(text):
    """`4s`, `250ms`, `1.5s`, `2m` or `1h` in milliseconds; ValueError with what to write instead."""
    match = DURATION.fullmatch(text.strip()) if isinstance(text, str) else None
    if not match:
        hint = f', as in "{text}s" or "{text}ms"' if str(text).replace(".", "", 1).isdigit() else ""
        raise ValueError(f"{text!r} is not a duration: give a number with its unit ms, s, m or h{hint}")
    return float(match[1]) * MS_PER_UNIT[match[2]]


def size(text):
    """`3MB` or `512KiB` in bytes; ValueError with what to write instead."""
    match = SIZE.fullmatch(text.strip()) if isinstance(text, str) else None
    if not match:
        raise ValueError(f"{text!r} is not a size: give a number with its unit kB, MB, GB, KiB, MiB or GiB")
    return int(float(match[1]) * BYTES_PER_UNIT[match[2]])


def format_duration(ms):
    """Milliseconds as the shortest duration that reads back to the same value."""
    for unit in ("h", "m", "s"):
        value = ms / MS_PER_UNIT[unit]
        if value >= 1.0 and round(value, 3) == value and (unit == "s" or value == int(value)):
            return f"{value:g}{unit}"
    return f"{ms:.10g}ms"


def format_size(count):
    """Bytes as a size in the largest unit, at least kB, that needs no more than six decimals."""
    for unit in ("GB", "MB", "kB"):
        if count >= BYTES_PER_UNIT[unit] and count / BYTES_PER_UNIT[unit] == round(
            count / BYTES_PER_UNIT[unit], 6
        ):
            return f"{count / BYTES_PER_UNIT[unit]:.10g}{unit}"
    return f"{count / 1000.0:.10g}kB"


def address(text):
    """(host, port) of an IPv4 address with a port; ValueError with what is wrong."""
    host, colon, port = text.rpartition(":")
    try:
        if not colon or host.count(".") != 3:
            raise OSError
        socket.inet_aton(host)
    except OSError:
        raise ValueError(
            f"{text!r} is not an address: give it as 10.0.0.4:5000 (names are not looked up)"
        ) from None
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} has no port between 1 and 65535")
    return host, int(port)
