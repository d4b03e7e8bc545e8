"""The types of a configuration.

Durations and sizes are strings with units (`units.py`); every default is stated here once.

`docs/configuration.md` and the JSON Schema are generated from the docstrings and `Meta` descriptions.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

VERSION = 1


def about(description, **bounds):
    """A key's description on the operators' page, with the bounds of its value."""
    return Meta(description=description, **bounds)


class Part(Struct, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """Base of all tables; an unknown key is an error."""


class CourierPart(Part, kw_only=True):
    """The courier itself: where it listens, what it keeps and how much it may use."""

    name: Annotated[str, about("its name in logs and status", min_length=1, max_length=64)] = "courier"
    listen: Annotated[str, about("where applications hand texts in: an IPv4 address and port, or unix:/path")]
    admin: Annotated[
        str, about("where operators call (docs/service.md): an IPv4 address and port; empty for nowhere")
    ] = ""
    state: Annotated[
        str, about("the folder that outlasts its processes; of this courier alone", min_length=1)
    ]
    agent: Annotated[
        str, about("the platform's agent: list, watch and notices; empty where the list stands in a file")
    ] = ""
    notices: Annotated[
        str,
        about(
            "where texts that end undelivered are told (POST /v1/outcomes) where there is no agent; "
            "empty: in the log alone"
        ),
    ] = ""
    nodes: Annotated[
        list[str],
        about(
            "discovery nodes, each an IPv4 address and port: only the destinations in use are subscribed to"
            " there (docs/subscriptions.md); empty for the whole list"
        ),
    ] = field(default_factory=list)
    fleet: Annotated[
        str, about("the fleet that these nodes serve, by the name that they have for it", max_length=256)
    ] = ""
    list_age: Annotated[
        str, about("how old the list in its folder may be for a start that reaches no node; with nodes only")
    ] = "24h"
    number: Annotated[
        int, about("its place among the couriers that send to the same partners, from 0", ge=0)
    ] = 0
    senders: Annotated[
        int, about("how many couriers send to the same partners: limits are split by it", ge=1)
    ] = 1
    seed: Annotated[int, about("seed of its random choices; 0 derives one from its name", ge=0)] = 0
    slots: Annotated[int, about("calls out at once, at most", ge=1, le=100000)] = 24
    held: Annotated[int, about("texts held at once, at most", ge=1, le=10_000_000)] = 400
    tries: Annotated[int, about("submits for one text, at most", ge=1, le=1000)] = 8
    descriptors: Annotated[int, about("file descriptors that the process may hold", ge=32)] = 1024
    disk: Annotated[str, about("what its folder may hold")] = "100MB"
    connect: Annotated[str, about("after which a connection that does not come up is given up")] = "1.5s"
    idle: Annotated[str, about("after which partners close idle connections")] = "10s"
    give_back: Annotated[
        bool,
        about(
            "whether idle connections are closed after their call where a partner of that kind refused one: "
            "for many couriers at partners that take few"
        ),
    ] = False
    advice: Annotated[str, about("the longest wait that clients are advised; 0s for none")] = "2s"
    settle: Annotated[str, about("how long an order key is paused after a submit that may still run")] = (
        "700ms"
    )
    tick: Annotated[
        str, about("the time between two turns of its event loop, as its decisions assume it")
    ] = "5ms"
    store: Annotated[
        Literal["file", "segments"],
        about(
            "how its folder is kept: one journal that is rewritten, "
            "or segments that are cleaned in small steps"
        ),
    ] = "file"
    durability: Annotated[
        Literal["process", "machine"],
        about("what a 202 outlasts: the process, or the machine too (fsync; segments only)"),
    ] = "process"
    log: Annotated[
        Literal["lines", "json"],
        about("how its log is written: plain lines, or one JSON object a line (docs/events.md)"),
    ] = "lines"
    status: Annotated[bool, about("whether GET /-/status tells what it does, on its own listener")] = False


class ReturnPart(Part, kw_only=True):
    """How load on a partner is limited after an outage, so that it is not overloaded again."""

    cold_from: Annotated[
        float, about("share of its capacity that a partner has as it returns", gt=0.0, le=1.0)
    ] = 0.2
    cold: Annotated[str, about("after which it has its full capacity again")] = "10s"
    multiple: Annotated[
        float, about("load above this multiple of its current capacity overloads it", ge=1.0, le=100.0)
    ] = 2.0
    span: Annotated[str, about("how long it withstands such an overload before it fails again")] = "3s"


class ProductPart(Part, kw_only=True):
    """One product: how urgent its texts are and whether one may run again."""

    name: Annotated[
        str,
        about(
            "the first part of the path under which its texts are handed in",
            pattern="^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$",
        ),
    ]
    repeat: Annotated[
        Literal["resendable", "referenced", "once-only"], about("what is allowed once a submit may have run")
    ]
    sla: Annotated[str, about("the time in which a delivery earns in full")]
    validity: Annotated[str, about("the time in which a text may be delivered at all")]
    memory: Annotated[str, about("how long partners know a reference (referenced products)")] = "0s"
    memory_by_zone: Annotated[
        bool, about("whether a reference is known in the zone that it went to only")
    ] = False
    revenue: Annotated[float, about("what a text earns", ge=0.0)] = 1.0
    late_revenue: Annotated[
        float, about("share of it that is left at the end of the validity period", ge=0.0, le=1.0)
    ] = 0.0
    in_order: Annotated[bool, about("whether texts of one key go one after the other")] = False
    kinds: Annotated[list[str], about("kinds of partner that may get it; empty for all")] = field(
        default_factory=list
    )


class KindPart(Part, kw_only=True):
    """One kind of partner."""

    name: Annotated[str, about("its name, as the partner list gives it", min_length=1, max_length=64)]
    bundle: Annotated[int, about("texts in one call, at most", ge=1, le=10000)] = 1
    apart: Annotated[
        bool, about("whether the endpoints of a destination are routes apart, each with a limit of its own")
    ] = False
    answers: Annotated[
        str, about("the time in which its partners mostly answer; only the checks read it")
    ] = "500ms"


class EndpointPart(Part, kw_only=True):
    """One endpoint of a partner."""

    address: Annotated[str, about("an IPv4 address and port")]
    zone: Annotated[str, about("its zone")] = ""
    id: Annotated[
        str, about("the same at every courier; made from destination and address where it is left out")
    ] = ""


class PartnerPart(Part, kw_only=True):
    """One destination, where the list stands in a file."""

    name: Annotated[str, about("for operators", min_length=1, max_length=64)]
    destination: Annotated[int, about("the number under which clients name it", ge=0, le=999_999_999)]
    kind: Annotated[str, about("one of the kinds")]
    limit: Annotated[
        float,
        about("calls a second that are agreed with it, of all couriers together; 0 where none are", ge=0.0),
    ] = 0.0
    products: Annotated[
        list[str], about("products that are sent to it; empty for all that its kind may get")
    ] = field(default_factory=list)
    endpoint: Annotated[list[EndpointPart], about("its endpoints", min_length=1)]


class Configuration(Part, kw_only=True):
    """A whole configuration."""

    version: Annotated[Literal[VERSION], about("of this form")]
    include: Annotated[list[str], about("files whose tables stand before this one's, relative to it")] = (
        field(default_factory=list)
    )
    courier: CourierPart
    returning: ReturnPart = field(default_factory=ReturnPart)
    late: Annotated[Literal["linear", "halving"], about("how revenue falls after the SLA time")] = "linear"
    reports: Annotated[
        bool, about("whether partners' answers tell what is left of their limit (x0) and the limit (x1)")
    ] = False
    limits_listed: Annotated[bool, about("whether the list tells agreed limits")] = False
    zones: Annotated[list[str], about("names of the zones")] = field(default_factory=list)
    product: Annotated[list[ProductPart], about("its products", min_length=1)]
    kind: Annotated[list[KindPart], about("kinds of partner", min_length=1)]
    partner: Annotated[list[PartnerPart], about("partners, where the list stands in this file")] = field(
        default_factory=list
    )
    partners_file: Annotated[
        str, about("a watched file with the partner tables: the whole list or nothing of it")
    ] = ""
    platform: Annotated[dict, about("further settings of the platform, passed on as they are")] = field(
        default_factory=dict
    )
