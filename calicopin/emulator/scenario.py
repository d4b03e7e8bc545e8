"""Scenario files: the parties, their traffic and their troubles, read from TOML and validated before a run.

A file that cannot be used raises `ScenarioError` with one line that names the file and the place. Times are
seconds or milliseconds by the suffix of the key (`_s`, `_ms`); shares and odds lie between 0 and 1.
"""

import os
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

SCENARIO_DIRECTORY = Path(__file__).parent / "scenarios"
MAX_FILE_BYTES = 1 << 20

Odds = Annotated[float, Meta(ge=0.0, le=1.0)]
NonNegativeInt = Annotated[int, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1, le=10000)]
Duration = Annotated[float, Meta(ge=0.0, le=86400.0)]
Positive = Annotated[float, Meta(gt=0.0, le=1e6)]
Name = Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,40}$")]
Milliseconds = Annotated[float, Meta(ge=0.0, le=60000.0)]
MillisecondRange = tuple[Milliseconds, Milliseconds]  # lowest and highest

PARTNER_TROUBLES = (
    "refuse",
    "hang",
    "shut",
    "vanish",
    "slow",
    "errors",
    "lose",
    "spoil",
    "limit",
    "drain",
    "replace",
    "stall-some",
)
COURIER_TROUBLES = (
    "kill",
    "term",
    "reload",
    "bad-reload",
    "stand",
    "lose-machine",
    "disk-full",
    "disk-errors",
    "disk-slow",
    "disk-short",
    "quiesce",
)
WORLD_TROUBLES = (
    "partition",
    "net-slow",
    "resets",
    "burst",
    "clump",
    "platform-silent",
    "platform-busy",
    "platform-cut",
    "clock",
    "roll",
)
DESTINATION_TROUBLES = ("publish", "withdraw")  # changes of the list that discovery nodes read
NODE_TROUBLES = ("node-kill", "node-term", "node-stand", "node-vanish", "node-cut")
SUBSCRIPTION_TROUBLES = (
    *DESTINATION_TROUBLES,
    *NODE_TROUBLES,
    "node-partition",
    "source-replaced",
    "courier-herd",
    "answers-lost",
)  # need discovery nodes
TROUBLES_SIZED_AS_SHARE = (
    "errors",
    "lose",
    "spoil",
    "limit",
    "disk-errors",
    "disk-short",
    "courier-herd",
    "answers-lost",
)  # their `size` is a share
TROUBLES = PARTNER_TROUBLES + COURIER_TROUBLES + WORLD_TROUBLES + SUBSCRIPTION_TROUBLES


class ScenarioError(Exception):
    """A scenario that cannot be used; the message is one line with the file and the place."""


class Table(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table of a scenario file; unknown fields are an error."""


class Couriers(Table):
    """The couriers and their limits.

    With `front` each submission goes to any courier; without it each client stays with one. `lists` says
    whether couriers are sent the list of partners by an agent or ask discovery for it. `held` is the most
    texts that a courier holds, `pass_ms` the longest pass of its event loop, `short` the odds of a short read
    or write.
    """

    count: Count = 2
    slots: Count = 24
    held: Count = 400
    tries: Annotated[int, Meta(ge=1, le=100)] = 8
    descriptors: Annotated[int, Meta(ge=40, le=100000)] = 400
    disk_mb: Annotated[float, Meta(ge=0.05, le=10000.0)] = 3.0
    pass_ms: Duration = 0.3
    short: Odds = 0.0
    front: bool = False
    lists: Literal["pushed", "asked"] = "pushed"
    restart_ms: Positive = 700.0
    connect_ms: Positive = 1500.0
    idle_s: Positive = 10.0
    advice_s: Duration = 2.0
    settle_ms: Duration = 700.0
    store: Literal["file", "segments"] = "file"
    scrape_s: Duration = 0.0  # interval at which operators read the statistics; 0: no admin address
    holders: NonNegativeInt = 0  # connections that operators hold open with an incomplete request


class Rules(Table):
    """The rule on calls to destinations after an outage, and how long after a drain was announced a call may
    still begin.
    """

    cold_from: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.2
    cold_s: Positive = 10.0
    multiple: Annotated[float, Meta(ge=1.0, le=100.0)] = 2.5
    span_s: Positive = 3.0
    drain_ms: Duration = 500.0


class Product(Table):
    """A class of texts: whether they may be repeated, their times, their revenue and their share of the
    traffic.
    """

    name: Name
    repeat: Literal["resendable", "referenced", "once-only"]
    sla_s: Positive = 2.0
    validity_s: Positive = 20.0
    memory_s: Duration = 0.0
    memory_by_zone: bool = False
    revenue: Positive = 1.0
    late_revenue: Odds = 0.0
    in_order: bool = False
    keys: Count = 8
    share: Positive = 1.0


class Partner(Table):
    """Destinations of the same make, each with `endpoints` endpoints.

    `limit` is in calls a second by all couriers (0: none).
    """

    name: Name
    destinations: Count = 1
    endpoints: Annotated[int, Meta(ge=1, le=1250)] = 2  # the most for which there are addresses
    share: Positive = 1.0
    work_ms: Positive = 200.0
    work_cv: Annotated[float, Meta(ge=0.0, le=5.0)] = 0.5
    first_ms: Duration = 0.0
    workers: Count = 8
    queue: NonNegativeInt = 16
    limit: Duration = 0.0
    window_ms: Positive = 1000.0
    refused_count: bool = False
    tells_wait: Odds = 0.5
    wait_ms: MillisecondRange = (300.0, 900.0)
    report: Literal["none", "fresh", "stale"] = "none"
    bundle: Count = 1
    item_cost: Odds = 0.2
    apart: bool = False
    error: Odds = 0.0
    lose: Odds = 0.0
    zones: Annotated[int, Meta(ge=1, le=8)] = 1
    handshake_ms: Duration = 20.0
    idle_s: Positive = 10.0


class Traffic(Table):
    """Texts a second over all couriers; `tail` is the exponent of the destinations' shares (0: equal)."""

    texts: Positive = 40.0
    shape: Literal["poisson", "bursts", "ramp"] = "poisson"
    tail: Annotated[float, Meta(ge=0.0, le=3.0)] = 0.8
    body: tuple[NonNegativeInt, NonNegativeInt] = (40, 400)
    again: Literal["fresh", "same", "never"] = "fresh"
    agains: NonNegativeInt = 3
    honour: Odds = 0.7
    patience_ms: Positive = 400.0
    rude: Odds = 0.0


class Net(Table):
    """The network: latency among couriers and to partners, bandwidth, and the odds that data arrives in
    pieces.
    """

    latency_ms: MillisecondRange = (0.5, 3.0)
    partner_ms: MillisecondRange = (5.0, 25.0)
    bandwidth_mb_s: Duration = 0.0
    pieces: Odds = 0.0


class Platform(Table):
    """`late_ms`: how long a change takes to reach an agent; `stale`: the odds that a courier starts with an
    old list; `told`: whether a change counts as known once it was read by the courier (`written`) or once
    its agent has it (`had`), with or without a watch, also before a start.
    """

    late_ms: MillisecondRange = (300.0, 1500.0)
    stale: Odds = 0.0
    told: Literal["written", "had"] = "written"


class Nodes(Table):
    """Discovery nodes; with any, couriers subscribe to the destinations that they use.

    `given_up_s`: how long after its last message a destination is unsubscribed (0: the program's own time).
    """

    count: Annotated[int, Meta(ge=0, le=16)] = 0
    lease_s: Annotated[float, Meta(ge=5.0, le=3600.0)] = 30.0
    list_age_s: Positive = 86400.0
    given_up_s: Duration = 0.0


class Trouble(Table):
    """One fault: when it begins, how long it lasts, whom it affects (`partner:NAME`, `destination:N`,
    `courier:N`, `node:N` or any) and its size.
    """

    kind: Literal[TROUBLES]
    at_s: Duration
    for_s: Duration = 0.0
    whom: str = "any"
    size: Annotated[float, Meta(ge=-1000.0, le=1000.0)] = 1.0


class Mixed(Table):
    """Troubles drawn by the seed: how many, and of which kinds."""

    troubles: Annotated[int, Meta(ge=1, le=100)] = 4
    kinds: tuple[Literal[TROUBLES], ...] = tuple(
        kind for kind in TROUBLES if kind != "quiesce" and kind not in SUBSCRIPTION_TROUBLES
    )  # the excluded kinds need an admin address or discovery nodes


class Scenario(Table, kw_only=True):
    """A scenario as its file states it."""

    version: Literal[1]
    name: Name
    about: str
    length_s: Annotated[float, Meta(gt=0.0, le=86400.0)] = 40.0
    couriers: Couriers = Couriers()
    rules: Rules = Rules()
    product: Annotated[list[Product], Meta(min_length=1)]
    partner: Annotated[list[Partner], Meta(min_length=1)]
    traffic: Traffic = Traffic()
    net: Net = Net()
    platform: Platform = Platform()
    nodes: Nodes = Nodes()
    trouble: tuple[Trouble, ...] = ()
    mixed: Mixed | None = None

    def destinations(self):
        """(number, partner, rank among the partner's destinations) of each destination."""
        number = 0
        for partner in self.partner:
            for rank in range(partner.destinations):
                yield number, partner, rank
                number += 1


def affected_party(kind):
    """The kind of party that a trouble affects; None if it is not one kind."""
    if kind in COURIER_TROUBLES or kind == "node-partition":
        return "courier"
    if kind in PARTNER_TROUBLES or kind in DESTINATION_TROUBLES:
        return "destination"
    return "node" if kind in NODE_TROUBLES else None


def validate(scenario, source):
    """Validates what the types cannot express; raises ScenarioError for the first error."""

    def fail(place, reason):
        raise ScenarioError(f"{source}: {place}: {reason}")

    for tables, kind_name in ((scenario.product, "product"), (scenario.partner, "partner")):
        table_names = [table.name for table in tables]
        for name in table_names:
            if table_names.count(name) > 1:
                fail(f"{kind_name} {name!r}", "the name is used twice")
    for product in scenario.product:
        if product.sla_s > product.validity_s:
            fail(f"product {product.name!r}: sla_s", "is longer than validity_s")
        if product.repeat == "referenced" and not product.memory_s:
            fail(
                f"product {product.name!r}: memory_s",
                "a referenced product needs the time for which partners remember a reference",
            )
    for partner in scenario.partner:
        if partner.wait_ms[0] > partner.wait_ms[1]:
            fail(f"partner {partner.name!r}: wait_ms", "the first value is greater than the second")
    if scenario.traffic.body[0] > scenario.traffic.body[1] or scenario.traffic.body[1] > 65536:
        fail("traffic: body", "two sizes, the smaller one first, at most 65536")
    count = sum(partner.destinations for partner in scenario.partner)
    for number, trouble in enumerate(scenario.trouble):
        place = f"trouble {number + 1} ({trouble.kind})"
        if trouble.at_s >= scenario.length_s:
            fail(
                f"{place}: at_s", f"{trouble.at_s:g} lies behind the end of the run at {scenario.length_s:g}"
            )
        if trouble.size < 0.0 and trouble.kind != "clock":
            fail(f"{place}: size", f"{trouble.size:g} is negative, which only a clock step may be")
        if trouble.kind in TROUBLES_SIZED_AS_SHARE and trouble.size > 1.0:
            fail(f"{place}: size", f"{trouble.size:g} is a share, so at most 1")
        if trouble.kind == "quiesce" and not scenario.couriers.scrape_s:
            fail(f"{place}: kind", "couriers have an admin address only where couriers.scrape_s is set")
        kind, _, name = trouble.whom.partition(":")
        if trouble.kind in SUBSCRIPTION_TROUBLES and not scenario.nodes.count:
            fail(f"{place}: kind", "there are discovery nodes only where nodes.count is set")
        expected = affected_party(trouble.kind)
        if trouble.kind == "publish" and kind != "destination":
            fail(f"{place}: whom", "a published destination is named by its number, destination:N")
        if kind == "any" and not name:
            continue
        if kind == "partner" and name in [partner.name for partner in scenario.partner]:
            target = "destination"
        elif kind in ("destination", "courier", "node") and name.isdecimal():
            target = kind
            if (
                int(name)
                >= dict(destination=count, courier=scenario.couriers.count, node=scenario.nodes.count)[kind]
            ):
                fail(f"{place}: whom", f"there is no {kind} {name}")
        else:
            fail(
                f"{place}: whom",
                f"{trouble.whom!r} names no party: any, partner:NAME, destination:N, courier:N or node:N",
            )
        if expected and target != expected:
            fail(f"{place}: whom", f"{trouble.kind!r} affects a {expected}, not {trouble.whom!r}")
    return scenario


def parse(data, source):
    """The scenario in the bytes of a file. Raises ScenarioError."""
    if len(data) > MAX_FILE_BYTES:
        raise ScenarioError(f"{source}: over {MAX_FILE_BYTES} bytes: this is no scenario file")
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        raise ScenarioError(f"{source}: byte {error.start}: not UTF-8") from None
    try:
        return validate(msgspec.toml.decode(text, type=Scenario), source)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at ")
        raise ScenarioError(f"{source}: {place.strip('`') or 'the file'}: {reason}") from None
    except msgspec.DecodeError as error:
        raise ScenarioError(f"{source}: {error}") from None


def scenario_names():
    """The scenarios that come with the emulator."""
    return sorted(path.stem for path in SCENARIO_DIRECTORY.glob("*.toml"))


def load(name_or_path):
    """A scenario by its name or by the path of its file. Raises ScenarioError."""
    path = (
        SCENARIO_DIRECTORY / f"{name_or_path}.toml"
        if os.path.sep not in name_or_path and not name_or_path.endswith(".toml")
        else Path(name_or_path)
    )
    try:
        return parse(path.read_bytes(), path.name)
    except FileNotFoundError:
        raise ScenarioError(
            f"{name_or_path}: no such scenario; there are {', '.join(scenario_names())}"
        ) from None
    except OSError as error:
        raise ScenarioError(f"{name_or_path}: {error.strerror}") from None


def dump(scenario):
    """A scenario as TOML, without fields at their defaults."""
    return msgspec.toml.encode(scenario).decode()
