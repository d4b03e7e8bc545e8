"""The state of a route as plain values, for a restart and for a handover.

No I/O, and nothing here decides anything. Times are milliseconds of the monotonic clock.
"""

from calicopin import loss_tracker, slow_start

# The stored fields of a token bucket, in their stored order, with the attribute of `Route` that holds each.
BUCKET = {
    "rate": "rate",
    "start": "initial_rate",
    "agreed": "listed_limit",
    "limit": "limit",
    "tokens": "tokens",
    "filled": "refilled_at",
    "pause": "blocked_until",
    "cut_at": "cut_at",
    "changed": "changed_at",
    "waited": "demand_waited",
    "left": "limit_left",
    "sent_at": "last_call_at",
    "usual": "usual_latency",
    "flow": "usual_rate",
    "cut_off": "longest_timeout",
}
TIME_FIELDS = (  # of both tables; only these depend on the clock
    "filled",
    "pause",
    "cut_at",
    "changed",
    "sent_at",
    "since",
    "fail_since",
    "failed_at",
    "doubted",
    "warm_at",
)
# In the order of the journal: add new ones at the end.
FIELDS = (*BUCKET, *slow_start.STATE, *loss_tracker.STATE)
DECIMALS = 7  # rates are small: calls per millisecond
TIME_DECIMALS = 1


def read_fields(part, attributes):
    """The values of the attributes, by field name."""
    return {name: getattr(part, attribute) for name, attribute in attributes.items()}


def write_fields(part, attributes, state):
    """Sets the attributes from the state; those that an older version did not write keep their values."""
    for name, attribute in attributes.items():
        if name in state:
            setattr(part, attribute, state[name])


def values(route):
    """The stored state of a route, by field name."""
    return (
        read_fields(route, BUCKET)
        | read_fields(route.slow_start, slow_start.STATE)
        | read_fields(route.slow_start.losses, loss_tracker.STATE)
    )


def set_values(route, state):
    """Sets the stored state of a route."""
    write_fields(route, BUCKET, state)
    write_fields(route.slow_start, slow_start.STATE, state)
    write_fields(route.slow_start.losses, loss_tracker.STATE, state)


def shift_times(state, offset):
    """The state with all times shifted by `offset` ms."""
    return {
        name: value if value is None or name not in TIME_FIELDS else value + offset
        for name, value in state.items()
    }


def packed(state):
    """The state as a list of rounded values: short, since it is written often."""
    return [_rounded(name, state[name]) for name in FIELDS]


def _rounded(name, value):
    if not isinstance(value, float):
        return value
    return round(value, TIME_DECIMALS if name in TIME_FIELDS else DECIMALS)


def unpacked(listed):
    """The state from a list; fields that an older version did not write are missing."""
    return dict(zip(FIELDS, listed, strict=False))


def restore(route, state, now, continuous):
    """Restores a route in a new process. Its bucket does not refill for the time between the two: couriers
    that were down together would all begin with tokens saved up meanwhile, at the same moment.
    """
    wait = max(0.0, state["pause"] - state["filled"])  # a restart does not prolong a wait
    set_values(route, state)
    route.slow_start.restore_clock(now, continuous)
    route.refilled_at = now
    for attribute in ("cut_at", "changed_at", "last_call_at"):
        setattr(route, attribute, min(getattr(route, attribute), now) if continuous else now)
    route.blocked_until = min(route.blocked_until, now + wait) if continuous else now + wait
