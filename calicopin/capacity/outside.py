"""The figures of destination endpoints and of the operators' side."""

from calicopin.capacity import slopes
from calicopin.capacity.figures import Figure, Unit, Use
from calicopin.capacity.size import SECONDS_A_DAY, Size


def events(size: Size) -> Figure:
    """Events a second for one destination."""
    return Figure(
        "events a second, on average",
        "events a second / destinations",
        size.events_a_destination,
        Unit.A_SECOND,
    )


def told_share(size: Size) -> Figure:
    """The share of its limit on which a courier may count at first, told the whole sender count."""
    return Figure(
        "share of its limit that each courier counts on, told all couriers",
        "1 / couriers",
        1.0 / size.couriers,
        Unit.SHARE,
    )


def served_ratio(size: Size) -> Figure:
    """What known senders serve over what told ones do."""
    return Figure(
        "served with 20 known senders over the same told 19,000",
        "served known / served told",
        slopes.SERVED_KNOWN.value / slopes.SERVED_TOLD.value,
        Unit.COUNT,
        (Use(slopes.SERVED_KNOWN), Use(slopes.SERVED_TOLD, size.couriers)),
    )


def given_up(size: Size) -> Figure:
    """What is given up where few of the told senders send."""
    return Figure(
        "given up where 20 of 19,000 told send, at 0.8 of the limit",
        "given up told",
        slopes.GIVEN_UP_TOLD.value,
        Unit.SHARE,
        (Use(slopes.GIVEN_UP_TOLD, size.couriers),),
    )


def status_today(size: Size) -> Figure:
    """One answer to operators with the state of each known destination."""
    return Figure(
        "today: an answer with the state of each known destination",
        "destinations × row",
        size.destinations * slopes.STATUS_BYTES.value,
        Unit.BYTES,
        (Use(slopes.STATUS_BYTES, size.destinations),),
    )


def status_subscribed(size: Size) -> Figure:
    """The same where a courier knows what it uses."""
    return Figure(
        "the same with subscriptions",
        "destinations a courier × row",
        size.destinations_a_courier * slopes.STATUS_BYTES.value,
        Unit.BYTES,
        (Use(slopes.STATUS_BYTES, size.destinations_a_courier),),
        ("senders_a_destination",),
    )


def figure_calls(size: Size) -> Figure:
    """Calls a second for the figures of all couriers."""
    return Figure(
        "calls for figures, all couriers",
        "couriers / interval",
        size.couriers / size.shape.figures_poll_s,
        Unit.A_SECOND,
        assumes=("figures_poll_s",),
    )


def source_growth(size: Size) -> Figure:
    """Growth of the source's log in a day."""
    return Figure(
        "growth of the list's source in a day",
        "changes a day × entry",
        size.changes_a_day * slopes.ENTRY_BYTES.value,
        Unit.BYTES,
        (Use(slopes.ENTRY_BYTES),),
    )


def whole_roll(size: Size) -> Figure:
    """Time in which a new version reaches every machine at the stated restarts."""
    return Figure(
        "a new version on every machine, at the stated restarts",
        "machines / restarts a day",
        size.machines / size.restarts_a_day * SECONDS_A_DAY,
        Unit.SECONDS,
        assumes=("couriers_a_machine",),
    )
