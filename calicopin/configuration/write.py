"""Writes a configuration from a short description of an application, with the reason for each value that
it chose.
"""

import json
import math
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field

from calicopin.configuration import units
from calicopin.configuration.check import LEAST_BODY, RECORD, least_descriptors
from calicopin.configuration.read import Fault, UnusableError, decode

Name = Annotated[str, Meta(pattern="^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$")]


class Shop(Struct, forbid_unknown_fields=True):
    """One partner that gets texts."""

    name: Annotated[str, Meta(min_length=1)]
    number: Annotated[int, Meta(ge=0)]
    addresses: Annotated[list[str], Meta(min_length=1)]
    limit: Annotated[float, Meta(ge=0.0)] = 0.0


class Receivers(Struct, forbid_unknown_fields=True):
    """Partners of one kind."""

    kind: Annotated[str, Meta(min_length=1)]
    answers: str = "500ms"
    together: Annotated[int, Meta(ge=1)] = 1
    partner: list[Shop] = field(default_factory=list)


class Sends(Struct, forbid_unknown_fields=True):
    """One kind of text that the application sends."""

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
    sends: Annotated[list[Sends], Meta(min_length=1)]
    to: Annotated[list[Receivers], Meta(min_length=1)]
    listen: str = "127.0.0.1:5000"
    state: str = "state"
    agent: str = ""
    couriers: Annotated[int, Meta(ge=1)] = 1
    texts_per_s: Annotated[float, Meta(gt=0.0)] = 20.0
    body: str = "1kB"


REPEATS = {"yes": "resendable", "with-reference": "referenced", "no": "once-only"}


def application(path):
    """The description in a file; UnusableError with one line that names the place."""
    tables, origin, _ = decode(path)
    try:
        return msgspec.convert(tables, Application)
    except msgspec.ValidationError as fault:
        why, _, key = str(fault).partition(" - at ")
        key = key.strip("`").removeprefix("$").removeprefix(".")
        raise UnusableError(
            [
                Fault(
                    f"{origin.get(key, path)}: {key}" if key else path,
                    why[0].lower() + why[1:],
                    "see `calicopin write --example`",
                )
            ]
        ) from None


class Page:
    """The file as it grows: each value with its reason."""

    def __init__(self):
        self.lines = []

    def say(self, line=""):
        """Adds a line."""
        self.lines.append(line)

    def put(self, key, value, why=""):
        """Adds a key with its value, and the reason behind it as a comment."""
        self.say(f"{key} = {json.dumps(value, ensure_ascii=False)}" + (f"  # {why}" if why else ""))


def compose(app, path="the description"):
    """The configuration's text. UnusableError where the description cannot be served."""
    faults = []

    def time(word, place):
        try:
            return units.milliseconds(word)
        except ValueError as fault:
            faults.append(Fault(f"{path}: {place}", str(fault)))
            return 1000.0

    spans = [
        (time(one.wanted_within, f"sends[{n}].wanted_within"), time(one.useful_for, f"sends[{n}].useful_for"))
        for n, one in enumerate(app.sends)
    ]
    answers = [time(one.answers, f"to[{n}].answers") for n, one in enumerate(app.to)]
    for number, one in enumerate(app.sends):
        if one.may_run_again == "with-reference" and not one.remembered_for:
            faults.append(
                Fault(
                    f"{path}: sends[{number}].remembered_for",
                    "how long partners remember a reference is not said",
                    "ask them",
                )
            )
    try:
        body = units.size(app.body)
    except ValueError as fault:
        faults.append(Fault(f"{path}: body", str(fault)))
    if faults:
        raise UnusableError(faults)
    page, longest, slowest = Page(), max(useful for _, useful in spans), max(answers)
    rate = app.texts_per_s / app.couriers
    slots = max(4, math.ceil(2.0 * rate * slowest / 1000.0) + 4)
    held = max(slots, 12, math.ceil(min(rate * longest / 1000.0, 1e6)))
    descriptors = max(64, least_descriptors(slots) + 32)
    disk = math.ceil(held * (max(body, LEAST_BODY) + RECORD) * 3.0 / 1e6)
    connect = min(1500.0, min(useful for _, useful in spans) / 4.0)
    page.say(
        f"# The courier beside {app.name}, written by `calicopin write`. `calicopin check` examines it, "
        "`calicopin run` starts it."
    )
    page.put("version", 1)
    page.say()
    page.say("[courier]")
    page.put("name", app.name)
    page.put("listen", app.listen)
    page.put("state", app.state, "keep it from one start to the next: it holds what was taken on")
    if app.agent:
        page.put("agent", app.agent)
    page.put("senders", app.couriers, "limits are split by it")
    page.put(
        "slots",
        slots,
        f"twice the {rate:g} texts a second that wait {units.spell(slowest)} for an answer, and four more",
    )
    page.put(
        "held", held, f"what comes in the longest useful time, {units.spell(longest)}, if nothing goes out"
    )
    page.put("descriptors", descriptors, f"enough for {slots} slots, with room for clients")
    page.put(
        "disk",
        f"{disk}MB",
        f"{held} texts of {units.spell_size(body)} at most, two fifths of it for live ones, "
        "and room to rewrite",
    )
    page.put("connect", units.spell(connect), "a connection that does not come up leaves time for another")
    for one in app.sends:
        page.say()
        page.say("[[product]]")
        page.put("name", one.name, "the first part of the path: POST /" + one.name)
        page.put(
            "repeat",
            REPEATS[one.may_run_again],
            {
                "yes": "it may run again",
                "with-reference": "it may be sent again with its reference while partners know it",
                "no": "once a submit may have run it is never sent again",
            }[one.may_run_again],
        )
        page.put("sla", one.wanted_within)
        page.put("validity", one.useful_for)
        if one.may_run_again == "with-reference":
            page.put("memory", one.remembered_for)
        if one.in_order:
            page.put("in_order", True, "by what follows the product in the path")
        page.put("revenue", one.worth)
        if one.only_to:
            page.put("kinds", one.only_to, "no other kind of partner gets it")
    for one in app.to:
        page.say()
        page.say("[[kind]]")
        page.put("name", one.kind)
        page.put("bundle", one.together)
        page.put("answers", one.answers)
    for one in app.to:
        for shop in one.partner:
            page.say()
            page.say("[[partner]]")
            page.put("name", shop.name)
            page.put("destination", shop.number, f"clients name it: X-Envelope: dest={shop.number}")
            page.put("kind", one.kind)
            if shop.limit:
                page.put("limit", shop.limit)
            for address in shop.addresses:
                page.say()
                page.say("[[partner.endpoint]]")
                page.put("address", address)
    return "\n".join(page.lines) + "\n"


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
