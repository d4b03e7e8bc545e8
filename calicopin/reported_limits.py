"""Which of the rates and shares that endpoints and the list report can be used. No I/O.

A peer may send any number. One that is no rate or no share says nothing, and is passed over like a report
that cannot be read.
"""

MIN_RATE = 1e-6  # calls a second: below it, the share of one sender is lost in rounding
MAX_RATE = 1e9  # calls a second
SHARE_NOISE = 0.5  # by which a report may miss the share, which is measured while calls go on


def is_rate(rate: float | None) -> bool:
    """Whether a number of calls a second limits anything."""
    return rate is not None and MIN_RATE <= rate <= MAX_RATE


def is_share(share: float | None) -> bool:
    """Whether a number is a share of a limit, but for noise."""
    return share is not None and -SHARE_NOISE <= share <= 1.0 + SHARE_NOISE


def is_report(limit: float | None, left: float | None) -> bool:
    """Whether an answer reports a limit (calls a second; 0: none) and the share of it that is left."""
    return is_share(left) and (limit == 0.0 or is_rate(limit))
