"""Reads a configuration: the file, what it includes, then `CALICOPIN_*` variables, then `--set`; each over
the one before.

A fault names file, line or key, what is wrong and what to do; all faults of a file are told at once.
"""

import difflib
import os
import re
import tomllib
from dataclasses import dataclass, field

import msgspec

from calicopin.configuration import model
from calicopin.configuration.model import VERSION, Sheet
from calicopin.system_errors import of_a_moment

MOST = 4 << 20  # bytes of a file: 50 MB of anything is no configuration
DEEP = 8  # files that include one another
HEADER = re.compile(r"\s*(\[\[?)\s*([^\]]+?)\s*\]")
KEY = re.compile(r"\s*([A-Za-z0-9_.\"'-]+?)\s*=")
PREFIX = "CALICOPIN_"


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing that is wrong, where, and what to do about it."""

    place: str
    why: str
    do: str = ""

    def __str__(self):
        return f"{self.place}: {self.why}" + (f"; {self.do}" if self.do else "")


class UnusableError(Exception):
    """A configuration that cannot be used; `faults` has at least one."""

    def __init__(self, faults):
        super().__init__("\n".join(map(str, faults)))
        self.faults = list(faults)


class UnreadableNowError(UnusableError):
    """One that cannot be read just now; its cause is the system's OSError."""


@dataclass(slots=True)
class Read:
    """A configuration as it was read.

    `origin` tells for each key in the plain form `product[0].sla` where it came from.
    """

    sheet: Sheet
    origin: dict = field(default_factory=dict)
    paths: list = field(default_factory=list)

    def place(self, key):
        """Where a key stands, or its table, or the file."""
        while key:
            if key in self.origin:
                return f"{self.origin[key]}: {key}"
            key = key[: max(key.rfind("."), key.rfind("["), 0)]
        return self.paths[-1] if self.paths else "the configuration"


def lines(text):
    """The line of each key in TOML text, by its plain form.

    Good enough to point at: values over many lines count at their first.
    """
    out, counts, prefix = {}, {}, ""
    for number, line in enumerate(text.splitlines(), 1):
        if header := HEADER.match(line):
            many, way, prefix = (
                header[1] == "[[",
                [part.strip().strip("\"'") for part in header[2].split(".")],
                "",
            )
            for depth, part in enumerate(way, 1):  # each list of tables by its last entry so far
                prefix = f"{prefix}.{part}" if prefix else part
                if many and depth == len(way):
                    counts[prefix] = counts.get(prefix, 0) + 1
                if prefix in counts:
                    prefix = f"{prefix}[{counts[prefix] - 1}]"
            out.setdefault(prefix, number)
        elif key := KEY.match(line):
            plain = key[1].strip("\"'")
            out.setdefault(f"{prefix}.{plain}" if prefix else plain, number)
    return out


def decode(path):
    """A file's tables, where its keys stand, and its bytes."""
    try:
        with open(path, "rb") as file:
            data = file.read(MOST + 1)
    except OSError as fault:
        kind = UnreadableNowError if of_a_moment(fault) else UnusableError
        raise kind(
            [Fault(path, fault.strerror or "cannot be read", "check the path and its rights")]
        ) from fault
    if len(data) > MOST:
        raise UnusableError([Fault(path, f"is over {MOST >> 20} MiB", "this is no configuration")])
    if data.startswith((b"\xff\xfe", b"\xfe\xff")):
        raise UnusableError([Fault(path, "is UTF-16", "save it as UTF-8")])
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as fault:
        line = data[: fault.start].count(b"\n") + 1
        raise UnusableError(
            [
                Fault(
                    f"{path}:{line}", f"byte 0x{data[fault.start]:02x} is not UTF-8", "save the file as UTF-8"
                )
            ]
        ) from None
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as fault:
        place = re.search(r"\(at line (\d+), column (\d+)\)", str(fault))
        where = f"{path}:{place[1]}" if place else f"{path}:{text.count(chr(10)) + 1}"
        raise UnusableError(
            [Fault(where, str(fault).split(" (at ")[0].lower(), "mend the TOML there")]
        ) from None
    except RecursionError:
        raise UnusableError([Fault(path, "is nested too deep", "mend the TOML")]) from None
    return tables, {key: f"{path}:{line}" for key, line in lines(text).items()}, data


def gather(path, depth=0):
    """A file's tables over those of the files that it includes."""
    tables, origin, _ = decode(path)
    paths, base, seen = [path], {}, {}
    names = tables.get("include", [])
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise UnusableError(
            [
                Fault(
                    origin.get("include", path),
                    "include wants a list of file names",
                    'as in include = ["common.toml"]',
                )
            ]
        )
    if names and depth >= DEEP:
        raise UnusableError(
            [
                Fault(
                    origin.get("include", path),
                    f"files include one another {DEEP} deep",
                    "take the circle out",
                )
            ]
        )
    for name in names:
        other, places, more = gather(os.path.join(os.path.dirname(path), name), depth + 1)
        paths = more + paths
        merge(base, other)
        seen |= places
    for table in ("product", "kind", "partner"):  # a list of tables stands whole
        if table in tables:
            seen = {key: place for key, place in seen.items() if not key.startswith(f"{table}[")}
    merge(base, tables)
    return base, seen | origin, paths


def merge(base, over):
    """`over`'s keys into `base`, which is returned: tables key by key, anything else replaced."""
    for key, value in over.items():
        if isinstance(value, dict) and isinstance(base.get(key), dict):
            merge(base[key], value)
        else:
            base[key] = value
    return base


def scalar(word):
    """A value from a variable or `--set`, as TOML reads it, else as the word it is."""
    try:
        return tomllib.loads(f"x = {word}")["x"]
    except tomllib.TOMLDecodeError:
        return word


def lay_over(tables, origin, key, value, where):
    """One key from outside the file."""
    *way, last = key.split(".")
    at = tables
    for part in way:
        at = at.setdefault(part, {})
        if not isinstance(at, dict):
            raise UnusableError([Fault(where, f"{key!r} leads into a list", "lists are set in the file")])
    at[last] = value
    origin[key] = where


FIELDS = {
    name: {part.name: part for part in msgspec.structs.fields(kind)}
    for name, kind in (
        ("", Sheet),
        ("courier", model.CourierPart),
        ("returning", model.ReturnPart),
        ("product", model.ProductPart),
        ("kind", model.KindPart),
        ("partner", model.PartnerPart),
        ("endpoint", model.EndpointPart),
    )
}


def types(tables, origin, path):
    """What does not have the form: unknown keys, with the likely one, and values of the wrong type."""
    out = []

    def place(key):
        return f"{origin[key]}: {key}" if key in origin else f"{path}: {key}"

    def walk(value, name, key):
        known = FIELDS[name]
        for word in value:
            if word not in known:
                near = difflib.get_close_matches(word, known, 1)
                out.append(
                    Fault(
                        place(f"{key}.{word}" if key else word),
                        f"there is no key {word!r}",
                        f"did you mean {near[0]!r}?" if near else f"known are {', '.join(sorted(known))}",
                    )
                )
        for word, inner in value.items():
            if word in FIELDS and word in known:
                plain = f"{key}.{word}" if key else word
                for number, one in enumerate(inner if isinstance(inner, list) else [inner]):
                    if isinstance(one, dict):
                        walk(one, word, f"{plain}[{number}]" if isinstance(inner, list) else plain)

    walk(tables, "", "")
    return out


def build(tables, origin, paths):
    """The typed sheet, or all that is wrong with its form."""
    path = paths[-1]
    version = tables.get("version")
    if isinstance(version, int) and not isinstance(version, bool) and version > VERSION:
        raise UnusableError(
            [
                Fault(
                    origin.get("version", path),
                    f"version {version} is newer than this program knows ({VERSION})",
                    "update calicopin, or write the file for this version",
                )
            ]
        )
    if not tables:
        raise UnusableError(
            [
                Fault(
                    path,
                    "is empty",
                    "begin with version = 1 and a [courier] table, or let `calicopin write` make it",
                )
            ]
        )
    faults = types(tables, origin, path)
    if faults:
        raise UnusableError(faults)
    try:
        return Read(msgspec.convert(tables, Sheet), origin, paths)
    except msgspec.ValidationError as fault:
        why, _, key = str(fault).partition(" - at ")
        key = key.strip("`").removeprefix("$").removeprefix(".")
        missing = re.search(r"missing required field `([^`]+)`", why)
        do = f"add {missing[1]} there" if missing else _unit(why, key, tables)
        short = Read(None, origin, paths)
        raise UnusableError(
            [Fault(short.place(key) if key else path, why[0].lower() + why[1:], do)]
        ) from None


def _unit(why, key, tables):
    """A hint where a bare number stands for a time or a size."""
    if "Expected `str`" in why and ("got `int`" in why or "got `float`" in why):
        return 'give it as a word with its unit, as in "4s", "250ms" or "3MB"'
    return ""


def read(path, environ=None, over=()):
    """A configuration by its file; `environ` holds the variables, `over` pairs (key, word) of the command
    line.
    """
    tables, origin, paths = gather(path)
    for name, word in sorted((environ or {}).items()):
        if name.startswith(PREFIX):
            lay_over(tables, origin, name[len(PREFIX) :].lower().replace("__", "."), scalar(word), f"${name}")
    for key, word in over:
        lay_over(tables, origin, key, scalar(word), "--set")
    return build(tables, origin, paths)
