"""The figures of destination endpoints and of the operators' tools."""

from calicopin.capacity import slopes
from calicopin.capacity.figures import Figure, Unit, Use
from calicopin.capacity.size import SECONDS_PER_DAY, Size


def event_rate(size: Size) -> Figure:
    """Events per second for one destination."""
    return Figure(
        "events a second, on average",
        "events a second / destinations",
        size.events_per_destination,
        Unit.A_SECOND,
    )


def equal_share(size: Size) -> Figure:
    """Share of a limit that each courier may use at first if its sender count includes all couriers."""
    return Figure(
        "share of a limit that each courier uses, sender count of all couriers",
        "1 / couriers",
        1.0 / size.couriers,
        Unit.SHARE,
    )


def served_ratio(size: Size) -> Figure:
    """Events served by 20 senders with the actual sender count, over those with the count of all couriers."""
    return Figure(
        "served by 20 senders with sender count 20 over sender count 19,000",
        "served with count 20 / served with count 19,000",
        slopes.SERVED_ACTUAL_COUNT.value / slopes.SERVED_TOTAL_COUNT.value,
        Unit.COUNT,
        (Use(slopes.SERVED_ACTUAL_COUNT), Use(slopes.SERVED_TOTAL_COUNT, size.couriers)),
    )


def given_up_share(size: Size) -> Figure:
    """Share of messages given up where few of the counted senders send."""
    return Figure(
        "given up by 20 senders with sender count 19,000, at 0.8 of the limit",
        "given up with count 19,000",
        slopes.GIVEN_UP_TOTAL_COUNT.value,
        Unit.SHARE,
        (Use(slopes.GIVEN_UP_TOTAL_COUNT, size.couriers),),
    )


def all_status_bytes(size: Size) -> Figure:
    """Bytes of one status answer to operators where a courier knows every destination."""
    return Figure(
        "today: an answer with the state of each known destination",
        "destinations × row",
        size.destinations * slopes.STATUS_BYTES.value,
        Unit.BYTES,
        (Use(slopes.STATUS_BYTES, size.destinations),),
    )


def subscribed_status_bytes(size: Size) -> Figure:
    """Bytes of one status answer to operators where a courier knows only the destinations it uses."""
    return Figure(
        "the same with subscriptions",
        "destinations a courier × row",
        size.destinations_per_courier * slopes.STATUS_BYTES.value,
        Unit.BYTES,
        (Use(slopes.STATUS_BYTES, size.destinations_per_courier),),
        ("senders_per_destination",),
    )


def metrics_calls(size: Size) -> Figure:
    """Calls per second that read the metrics of all couriers."""
    return Figure(
        "calls for figures, all couriers",
        "couriers / interval",
        size.couriers / size.shape.metrics_poll_s,
        Unit.A_SECOND,
        assumes=("metrics_poll_s",),
    )


def source_growth(size: Size) -> Figure:
    """Bytes per day by which the log of the list's source grows."""
    return Figure(
        "growth of the list's source in a day",
        "changes a day × entry",
        size.changes_per_day * slopes.ENTRY_BYTES.value,
        Unit.BYTES,
        (Use(slopes.ENTRY_BYTES),),
    )


def rollout_time(size: Size) -> Figure:
    """Time until a new version runs on every machine at the stated rate of restarts."""
    return Figure(
        "a new version on every machine, at the stated restarts",
        "machines / restarts a day",
        size.machines / size.restarts_per_day * SECONDS_PER_DAY,
        Unit.SECONDS,
        assumes=("couriers_per_machine",),
    )
