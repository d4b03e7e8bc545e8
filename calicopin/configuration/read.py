"""Reads a configuration: included files, the file itself, `CALICOPIN_*` variables, then `--set`; each
overrides the ones before.

A finding names file, line or key, what is wrong and what to do; all unknown keys are reported at once.
"""

import difflib
import os
import re
import tomllib
from dataclasses import dataclass, field

import msgspec

from calicopin.configuration import model
from calicopin.configuration.model import VERSION, Configuration
from calicopin.system_errors import is_transient_file_error

MAX_FILE_BYTES = 4 << 20  # a larger file is not a configuration
MAX_INCLUDE_DEPTH = 8  # also ends a cycle of includes
TABLE_HEADER = re.compile(r"\s*(\[\[?)\s*([^\]]+?)\s*\]")
KEY_ASSIGNMENT = re.compile(r"\s*([A-Za-z0-9_.\"'-]+?)\s*=")
ENVIRONMENT_PREFIX = "CALICOPIN_"


@dataclass(frozen=True, slots=True)
class Finding:
    """One problem: where it is, what is wrong (`reason`), and what to do about it (`remedy`)."""

    place: str
    reason: str
    remedy: str = ""

    def __str__(self):
        return f"{self.place}: {self.reason}" + (f"; {self.remedy}" if self.remedy else "")


class UnusableError(Exception):
    """A configuration that cannot be used; `findings` holds at least one finding."""

    def __init__(self, findings):
        super().__init__("\n".join(map(str, findings)))
        self.findings = list(findings)


class TemporarilyUnreadableError(UnusableError):
    """A configuration that cannot be read at the moment; its cause is the system's OSError."""


@dataclass(slots=True)
class LoadedConfiguration:
    """A configuration as it was read.

    `origin` holds where each key was set, by its flat form such as `product[0].sla`.
    """

    configuration: Configuration
    origin: dict = field(default_factory=dict)
    paths: list = field(default_factory=list)

    def place(self, key):
        """Where a key was set, else its table, else the file."""
        while key:
            if key in self.origin:
                return f"{self.origin[key]}: {key}"
            key = key[: max(key.rfind("."), key.rfind("["), 0)]
        return self.paths[-1] if self.paths else "the configuration"


def key_lines(text):
    """The line of each key in TOML text, by its flat form.

    An approximation for messages: a value over several lines counts at its first.
    """
    line_by_key, table_counts, prefix = {}, {}, ""
    for line_number, line in enumerate(text.splitlines(), 1):
        if header := TABLE_HEADER.match(line):
            is_list, parts, prefix = (
                header[1] == "[[",
                [part.strip().strip("\"'") for part in header[2].split(".")],
                "",
            )
            for depth, part in enumerate(parts, 1):  # a list of tables is entered at its last entry so far
                prefix = f"{prefix}.{part}" if prefix else part
                if is_list and depth == len(parts):
                    table_counts[prefix] = table_counts.get(prefix, 0) + 1
                if prefix in table_counts:
                    prefix = f"{prefix}[{table_counts[prefix] - 1}]"
            line_by_key.setdefault(prefix, line_number)
        elif assignment := KEY_ASSIGNMENT.match(line):
            name = assignment[1].strip("\"'")
            line_by_key.setdefault(f"{prefix}.{name}" if prefix else name, line_number)
    return line_by_key


def load_toml(path):
    """(tables, location of each key, bytes) of a TOML file; UnusableError where it cannot be read."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        error_class = TemporarilyUnreadableError if is_transient_file_error(error) else UnusableError
        raise error_class(
            [Finding(path, error.strerror or "cannot be read", "check the path and its permissions")]
        ) from error
    if len(data) > MAX_FILE_BYTES:
        raise UnusableError(
            [Finding(path, f"is over {MAX_FILE_BYTES >> 20} MiB", "this is not a configuration")]
        )
    if data.startswith((b"\xff\xfe", b"\xfe\xff")):
        raise UnusableError([Finding(path, "is UTF-16", "save it as UTF-8")])
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        raise UnusableError(
            [
                Finding(
                    f"{path}:{line}", f"byte 0x{data[error.start]:02x} is not UTF-8", "save the file as UTF-8"
                )
            ]
        ) from None
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        position = re.search(r"\(at line (\d+), column (\d+)\)", str(error))
        location = f"{path}:{position[1]}" if position else f"{path}:{text.count(chr(10)) + 1}"
        raise UnusableError(
            [Finding(location, str(error).split(" (at ")[0].lower(), "correct the TOML there")]
        ) from None
    except RecursionError:
        raise UnusableError([Finding(path, "is nested too deeply", "correct the TOML")]) from None
    return tables, {key: f"{path}:{line}" for key, line in key_lines(text).items()}, data


def load_with_includes(path, depth=0):
    """(tables, location of each key, paths) of a file, merged over the files that it includes."""
    tables, origins, _ = load_toml(path)
    paths, base, included_origins = [path], {}, {}
    included = tables.get("include", [])
    if not isinstance(included, list) or not all(isinstance(name, str) for name in included):
        raise UnusableError(
            [
                Finding(
                    origins.get("include", path),
                    "include must be a list of file names",
                    'as in include = ["common.toml"]',
                )
            ]
        )
    if included and depth >= MAX_INCLUDE_DEPTH:
        raise UnusableError(
            [
                Finding(
                    origins.get("include", path),
                    f"includes are nested more than {MAX_INCLUDE_DEPTH} deep",
                    "remove the cycle",
                )
            ]
        )
    for name in included:
        other_tables, other_origins, other_paths = load_with_includes(
            os.path.join(os.path.dirname(path), name), depth + 1
        )
        paths = other_paths + paths
        merge(base, other_tables)
        included_origins |= other_origins
    for table in ("product", "kind", "partner"):  # a list of tables replaces the included one as a whole
        if table in tables:
            included_origins = {
                key: location for key, location in included_origins.items() if not key.startswith(f"{table}[")
            }
    merge(base, tables)
    return base, included_origins | origins, paths


def merge(base, overriding):
    """Merges `overriding` into `base` and returns `base`: tables key by key, anything else is replaced."""
    for key, value in overriding.items():
        if isinstance(value, dict) and isinstance(base.get(key), dict):
            merge(base[key], value)
        else:
            base[key] = value
    return base


def parse_value(text):
    """A value from a variable or `--set`, parsed as TOML; the text itself where that fails."""
    try:
        return tomllib.loads(f"x = {text}")["x"]
    except tomllib.TOMLDecodeError:
        return text


def set_override(tables, origins, key, value, source):
    """Sets one key from a variable or `--set`; UnusableError where it points into a list."""
    *parents, last = key.split(".")
    table = tables
    for name in parents:
        table = table.setdefault(name, {})
        if not isinstance(table, dict):
            raise UnusableError([Finding(source, f"{key!r} points into a list", "set lists in the file")])
    table[last] = value
    origins[key] = source


KNOWN_KEYS = {
    name: {key.name: key for key in msgspec.structs.fields(table_type)}
    for name, table_type in (
        ("", Configuration),
        ("courier", model.CourierPart),
        ("returning", model.ReturnPart),
        ("product", model.ProductPart),
        ("kind", model.KindPart),
        ("partner", model.PartnerPart),
        ("endpoint", model.EndpointPart),
    )
}


def unknown_keys(tables, origins, path):
    """A finding for each unknown key, with a similar known key if there is one."""
    findings = []

    def location(key):
        return f"{origins[key]}: {key}" if key in origins else f"{path}: {key}"

    def walk(table, table_name, key):
        known = KNOWN_KEYS[table_name]
        for name in table:
            if name not in known:
                similar = difflib.get_close_matches(name, known, 1)
                findings.append(
                    Finding(
                        location(f"{key}.{name}" if key else name),
                        f"there is no key {name!r}",
                        f"did you mean {similar[0]!r}?"
                        if similar
                        else f"known keys: {', '.join(sorted(known))}",
                    )
                )
        for name, inner in table.items():
            if name in KNOWN_KEYS and name in known:
                inner_key = f"{key}.{name}" if key else name
                for index, entry in enumerate(inner if isinstance(inner, list) else [inner]):
                    if isinstance(entry, dict):
                        walk(entry, name, f"{inner_key}[{index}]" if isinstance(inner, list) else inner_key)

    walk(tables, "", "")
    return findings


def build_configuration(tables, origins, paths):
    """The typed configuration; UnusableError where the tables do not have its form."""
    path = paths[-1]
    version = tables.get("version")
    if isinstance(version, int) and not isinstance(version, bool) and version > VERSION:
        raise UnusableError(
            [
                Finding(
                    origins.get("version", path),
                    f"version {version} is newer than this program supports ({VERSION})",
                    "update calicopin, or write the file for this version",
                )
            ]
        )
    if not tables:
        raise UnusableError(
            [
                Finding(
                    path,
                    "is empty",
                    "begin with version = 1 and a [courier] table, or let `calicopin write` create it",
                )
            ]
        )
    findings = unknown_keys(tables, origins, path)
    if findings:
        raise UnusableError(findings)
    try:
        return LoadedConfiguration(msgspec.convert(tables, Configuration), origins, paths)
    except msgspec.ValidationError as error:
        reason, _, key = str(error).partition(" - at ")
        key = key.strip("`").removeprefix("$").removeprefix(".")
        missing = re.search(r"missing required field `([^`]+)`", reason)
        remedy = f"add {missing[1]} there" if missing else _unit_hint(reason, key, tables)
        untyped = LoadedConfiguration(None, origins, paths)
        raise UnusableError(
            [Finding(untyped.place(key) if key else path, reason[0].lower() + reason[1:], remedy)]
        ) from None


def _unit_hint(reason, key, tables):
    """What to do where a bare number was given for a duration or a size; empty for other errors."""
    if "Expected `str`" in reason and ("got `int`" in reason or "got `float`" in reason):
        return 'give it as a string with its unit, as in "4s", "250ms" or "3MB"'
    return ""


def read(path, environ=None, overrides=()):
    """The configuration in a file; `environ` holds the variables, `overrides` the (key, text) pairs of
    `--set`. UnusableError where it cannot be used.
    """
    tables, origins, paths = load_with_includes(path)
    for name, text in sorted((environ or {}).items()):
        if name.startswith(ENVIRONMENT_PREFIX):
            set_override(
                tables,
                origins,
                name[len(ENVIRONMENT_PREFIX) :].lower().replace("__", "."),
                parse_value(text),
                f"${name}",
            )
    for key, text in overrides:
        set_override(tables, origins, key, parse_value(text), "--set")
    return build_configuration(tables, origins, paths)
