"""The figures of destination endpoints and of the operators' side."""

from calicopin.capacity import slopes
from calicopin.capacity.figures import Figure, Unit, Use
from calicopin.capacity.size import SECONDS_PER_DAY, Size


def events(size: Size) -> Figure:
    """Events a second for one destination."""
    return Figure(
        "events a second, on average",
        "events a second / destinations",
        size.events_per_destination,
        Unit.PER_SECOND,
    )


def equal_share(size: Size) -> Figure:
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
        slopes.SERVED_ACTUAL_COUNT.value / slopes.SERVED_TOTAL_COUNT.value,
        Unit.COUNT,
        (Use(slopes.SERVED_ACTUAL_COUNT), Use(slopes.SERVED_TOTAL_COUNT, size.couriers)),
    )


def given_up_share(size: Size) -> Figure:
    """What is given up where few of the told senders send."""
    return Figure(
        "given up where 20 of 19,000 told send, at 0.8 of the limit",
        "given up told",
        slopes.GIVEN_UP_TOTAL_COUNT.value,
        Unit.SHARE,
        (Use(slopes.GIVEN_UP_TOTAL_COUNT, size.couriers),),
    )


def all_status_bytes(size: Size) -> Figure:
    """One answer to operators with the state of each known destination."""
    return Figure(
        "today: an answer with the state of each known destination",
        "destinations × row",
        size.destinations * slopes.STATUS_BYTES.value,
        Unit.BYTES,
        (Use(slopes.STATUS_BYTES, size.destinations),),
    )


def subscribed_status_bytes(size: Size) -> Figure:
    """The same where a courier knows what it uses."""
    return Figure(
        "the same with subscriptions",
        "destinations a courier × row",
        size.destinations_per_courier * slopes.STATUS_BYTES.value,
        Unit.BYTES,
        (Use(slopes.STATUS_BYTES, size.destinations_per_courier),),
        ("senders_per_destination",),
    )


def metrics_calls(size: Size) -> Figure:
    """Calls a second for the figures of all couriers."""
    return Figure(
        "calls for figures, all couriers",
        "couriers / interval",
        size.couriers / size.shape.metrics_poll_s,
        Unit.PER_SECOND,
        assumes=("metrics_poll_s",),
    )


def source_growth(size: Size) -> Figure:
    """Growth of the source's log in a day."""
    return Figure(
        "growth of the list's source in a day",
        "changes a day × entry",
        size.changes_per_day * slopes.ENTRY_BYTES.value,
        Unit.BYTES,
        (Use(slopes.ENTRY_BYTES),),
    )


def rollout_time(size: Size) -> Figure:
    """Time in which a new version reaches every machine at the stated restarts."""
    return Figure(
        "a new version on every machine, at the stated restarts",
        "machines / restarts a day",
        size.machines / size.restarts_per_day * SECONDS_PER_DAY,
        Unit.SECONDS,
        assumes=("couriers_per_machine",),
    )
