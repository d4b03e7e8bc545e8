"""Writes a configuration from a short description of an application, with the reason for each value."""

import json
import math
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field

from calicopin.configuration import units
from calicopin.configuration.check import MIN_BODY_BYTES, RECORD_BYTES, min_descriptors
from calicopin.configuration.read import Finding, UnusableError, load_toml

Name = Annotated[str, Meta(pattern="^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$")]


class PartnerDescription(Struct, forbid_unknown_fields=True):
    """One partner that receives texts."""

    name: Annotated[str, Meta(min_length=1)]
    number: Annotated[int, Meta(ge=0)]
    addresses: Annotated[list[str], Meta(min_length=1)]
    limit: Annotated[float, Meta(ge=0.0)] = 0.0


class PartnerGroup(Struct, forbid_unknown_fields=True):
    """Partners of one kind."""

    kind: Annotated[str, Meta(min_length=1)]
    answers: str = "500ms"
    together: Annotated[int, Meta(ge=1)] = 1
    partner: list[PartnerDescription] = field(default_factory=list)


class ProductDescription(Struct, forbid_unknown_fields=True):
    """One product: texts of one sort that the application sends."""

    name: Name
    wanted_within: str
    useful_for: str
    may_run_again: Literal["yes", "with-reference", "no"]
    remembered_for: str = ""
    in_order: bool = False
    worth: Annotated[float, Meta(ge=0.0)] = 1.0
    only_to: list[str] = field(default_factory=list)


class Application(Struct, forbid_unknown_fields=True):
    """What an application sends, how urgently, to whom and where it runs."""

    version: Literal[1]
    name: Name
    sends: Annotated[list[ProductDescription], Meta(min_length=1)]
    to: Annotated[list[PartnerGroup], Meta(min_length=1)]
    listen: str = "127.0.0.1:5000"
    state: str = "state"
    agent: str = ""
    couriers: Annotated[int, Meta(ge=1)] = 1
    texts_per_s: Annotated[float, Meta(gt=0.0)] = 20.0
    body: str = "1kB"


REPEAT_BY_ANSWER = {"yes": "resendable", "with-reference": "referenced", "no": "once-only"}


def read_description(path):
    """The description in a file; UnusableError with one line that names the place."""
    tables, origins, _ = load_toml(path)
    try:
        return msgspec.convert(tables, Application)
    except msgspec.ValidationError as error:
        reason, _, key = str(error).partition(" - at ")
        key = key.strip("`").removeprefix("$").removeprefix(".")
        raise UnusableError(
            [
                Finding(
                    f"{origins.get(key, path)}: {key}" if key else path,
                    reason[0].lower() + reason[1:],
                    "see `calicopin write --example`",
                )
            ]
        ) from None


class ConfigurationText:
    """Collects the lines of a configuration file: each value with its reason."""

    def __init__(self):
        self.lines = []

    def add_line(self, line=""):
        """Adds a line."""
        self.lines.append(line)

    def add_key(self, key, value, reason=""):
        """Adds a key with its value, and the reason for it as a comment."""
        self.add_line(
            f"{key} = {json.dumps(value, ensure_ascii=False)}" + (f"  # {reason}" if reason else "")
        )


def compose(app, path="the description"):
    """The text of the configuration; UnusableError where the description is invalid."""
    findings = []

    def parse_duration(text, key):
        try:
            return units.milliseconds(text)
        except ValueError as error:
            findings.append(Finding(f"{path}: {key}", str(error)))
            return 1000.0

    durations = [
        (
            parse_duration(product.wanted_within, f"sends[{position}].wanted_within"),
            parse_duration(product.useful_for, f"sends[{position}].useful_for"),
        )
        for position, product in enumerate(app.sends)
    ]
    answer_times = [
        parse_duration(group.answers, f"to[{position}].answers") for position, group in enumerate(app.to)
    ]
    for index, product in enumerate(app.sends):
        if product.may_run_again == "with-reference" and not product.remembered_for:
            findings.append(
                Finding(
                    f"{path}: sends[{index}].remembered_for",
                    "how long partners remember a reference is not given",
                    "ask the partners",
                )
            )
    try:
        body_bytes = units.size(app.body)
    except ValueError as error:
        findings.append(Finding(f"{path}: body", str(error)))
    if findings:
        raise UnusableError(findings)
    output, max_validity_ms, max_answer_ms = (
        ConfigurationText(),
        max(validity_ms for _, validity_ms in durations),
        max(answer_times),
    )
    rate = app.texts_per_s / app.couriers
    slots = max(4, math.ceil(2.0 * rate * max_answer_ms / 1000.0) + 4)
    held = max(slots, 12, math.ceil(min(rate * max_validity_ms / 1000.0, 1e6)))
    descriptors = max(64, min_descriptors(slots) + 32)
    disk_mb = math.ceil(held * (max(body_bytes, MIN_BODY_BYTES) + RECORD_BYTES) * 3.0 / 1e6)
    connect_ms = min(1500.0, min(validity_ms for _, validity_ms in durations) / 4.0)
    output.add_line(
        f"# The courier beside {app.name}, written by `calicopin write`. `calicopin check` examines it, "
        "`calicopin run` starts it."
    )
    output.add_key("version", 1)
    output.add_line()
    output.add_line("[courier]")
    output.add_key("name", app.name)
    output.add_key("listen", app.listen)
    output.add_key("state", app.state, "keep it from one start to the next: it holds what was taken on")
    if app.agent:
        output.add_key("agent", app.agent)
    output.add_key("senders", app.couriers, "limits are split by it")
    output.add_key(
        "slots",
        slots,
        f"twice the {rate:g} texts a second that wait {units.format_duration(max_answer_ms)} for an answer, "
        "and four more",
    )
    output.add_key(
        "held",
        held,
        f"what comes in the longest useful time, {units.format_duration(max_validity_ms)}, "
        "if nothing goes out",
    )
    output.add_key("descriptors", descriptors, f"enough for {slots} slots, with room for clients")
    output.add_key(
        "disk",
        f"{disk_mb}MB",
        f"{held} texts of {units.format_size(body_bytes)} at most, two fifths of it for live ones, "
        "and room to rewrite",
    )
    output.add_key(
        "connect",
        units.format_duration(connect_ms),
        "a connection that does not come up leaves time for another",
    )
    for product in app.sends:
        output.add_line()
        output.add_line("[[product]]")
        output.add_key("name", product.name, "the first part of the path: POST /" + product.name)
        output.add_key(
            "repeat",
            REPEAT_BY_ANSWER[product.may_run_again],
            {
                "yes": "it may run again",
                "with-reference": "it may be sent again with its reference while partners know it",
                "no": "once a submit may have run it is never sent again",
            }[product.may_run_again],
        )
        output.add_key("sla", product.wanted_within)
        output.add_key("validity", product.useful_for)
        if product.may_run_again == "with-reference":
            output.add_key("memory", product.remembered_for)
        if product.in_order:
            output.add_key("in_order", True, "by what follows the product in the path")
        output.add_key("revenue", product.worth)
        if product.only_to:
            output.add_key("kinds", product.only_to, "no other kind of partner gets it")
    for group in app.to:
        output.add_line()
        output.add_line("[[kind]]")
        output.add_key("name", group.kind)
        output.add_key("bundle", group.together)
        output.add_key("answers", group.answers)
    for group in app.to:
        for partner in group.partner:
            output.add_line()
            output.add_line("[[partner]]")
            output.add_key("name", partner.name)
            output.add_key(
                "destination", partner.number, f"clients name it: X-Envelope: dest={partner.number}"
            )
            output.add_key("kind", group.kind)
            if partner.limit:
                output.add_key("limit", partner.limit)
            for address in partner.addresses:
                output.add_line()
                output.add_line("[[partner.endpoint]]")
                output.add_key("address", address)
    return "\n".join(output.lines) + "\n"


EXAMPLE = """version = 1
name = "order-desk"
listen = "127.0.0.1:5000"
state = "/var/lib/calicopin/order-desk"
couriers = 2
texts_per_s = 20.0
body = "2kB"

[[sends]]
name = "order-confirm"
wanted_within = "4s"
useful_for = "24s"
may_run_again = "with-reference"
remembered_for = "15s"

[[sends]]
name = "stock-status"
wanted_within = "1.5s"
useful_for = "5s"
may_run_again = "yes"
worth = 2.0
only_to = ["gateway"]

[[to]]
kind = "gateway"
answers = "300ms"
together = 10

[[to.partner]]
name = "first gateway"
number = 1
addresses = ["10.0.0.4:8080", "10.0.0.5:8080"]

[[to]]
kind = "shop"
answers = "800ms"

[[to.partner]]
name = "corner shop"
number = 2
addresses = ["10.0.1.9:8080"]
"""
