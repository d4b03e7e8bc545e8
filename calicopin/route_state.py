"""What is known of a route as plain values and back, for a restart and for a handover.

No I/O, and nothing here decides anything. Times are milliseconds of the monotonic clock.
"""

from calicopin import slow_start

# The stored fields of a token bucket, in their stored order, with the attribute of `Route` that holds each.
BUCKET = {
    "rate": "rate",
    "start": "initial_rate",
    "agreed": "listed_limit",
    "limit": "limit",
    "tokens": "tokens",
    "filled": "refilled_at",
    "pause": "pause",
    "cut_at": "cut_at",
    "changed": "changed_at",
    "waited": "demand_waited",
    "left": "limit_left",
    "sent_at": "last_call_at",
    "usual": "usual",
    "flow": "usual_rate",
    "cut_off": "longest_timeout",
}
TIME_FIELDS = (  # of both; all others mean the same under any clock
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
FIELDS = (*BUCKET, *slow_start.STATE)  # as they are journalled: a new one goes to the end
DECIMALS = 7  # decimals: rates are calls a millisecond
TIME_DECIMALS = 1  # decimals


def read_fields(part, attributes):
    """The named values of a part."""
    return {name: getattr(part, attribute) for name, attribute in attributes.items()}


def write_fields(part, attributes, state):
    """What an older version did not tell stays as a new part has it."""
    for name, attribute in attributes.items():
        if name in state:
            setattr(part, attribute, state[name])


def values(route):
    """All that is kept of a route."""
    return read_fields(route, BUCKET) | read_fields(route.slow_start, slow_start.STATE)


def set_values(route, state):
    """The same, into a route."""
    write_fields(route, BUCKET, state)
    write_fields(route.slow_start, slow_start.STATE, state)


def moved(state, offset):
    """The values with all times so much later."""
    return {
        name: value if value is None or name not in TIME_FIELDS else value + offset
        for name, value in state.items()
    }


def packed(state):
    """The values as a list, short enough to be written often."""
    return [_rounded(name, state[name]) for name in FIELDS]


def _rounded(name, value):
    if not isinstance(value, float):
        return value
    return round(value, TIME_DECIMALS if name in TIME_FIELDS else DECIMALS)


def unpacked(listed):
    """The values of a list; what an older version did not write is left out."""
    return dict(zip(FIELDS, listed, strict=False))


def restore(route, state, now, continuous):
    """Puts the values into a route of a new process. Its bucket did not fill while there was none: couriers
    that were down together would all begin with what they had not sent meanwhile, in one moment.
    """
    wait = max(0.0, state["pause"] - state["filled"])  # no wait is longer behind a restart than it was told
    set_values(route, state)
    route.slow_start.restore_clock(now, continuous)
    route.refilled_at = now
    for attribute in ("cut_at", "changed_at", "last_call_at"):
        setattr(route, attribute, min(getattr(route, attribute), now) if continuous else now)
    route.pause = min(route.pause, now + wait) if continuous else now + wait
