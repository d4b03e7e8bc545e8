"""Slow start: how fast one sender may call a destination that it has seen fail. Decisions only, no I/O.

A destination that returns from an outage is cold: sent more than its budget by all who met the outage, it
falls over. Whoever met one keeps to a rate that all of them share, until the destination has had its time to
warm up. Source: the users' rule on returning destinations; `docs/design.md` has the sums. Times are float
milliseconds of the monotonic clock, rates calls a millisecond.
"""

from collections import deque
from math import log

from calicopin.interface import FailBack

WELL, OUT, COLD = "well", "out", "cold"
OUTAGE_STREAK = 5  # failures in a row that are an outage, where none are usual
RARE_STREAK_EXPONENT = (
    12.0  # a longer streak is an outage if it comes by chance less often than e to the minus this
)
MIN_LASTING_FAILURES = 3  # failures that are an outage once they last for the rule's span
WHOLE_CALL_ALLOWANCE = 1.0
CHECK_SLACK_CALLS = 1.0  # calls: the check samples the rate where a call is sent, not between
# The fields that are journalled and handed over, in their stored order, with the attribute that holds each.
STATE = {
    "mode": "mode",
    "since": "since",
    "fails": "fails",
    "refused": "only_refusals",
    "last_refused": "last_was_refusal",
    "fail_since": "first_failure_at",
    "failed_at": "last_failure_at",
    "doubted": "suspected_since",
    "gap": "usual_failures",
    "warm_at": "warm_at",
}


class SlowStart:
    """What one sender knows of the outages of one route, and what it may send there.

    `mode` is well, out (an outage is on, as far as is known) or cold (it has answered since); `fails` counts
    failures since the last delivery, the first of them at `fail_since` and the last at `failed_at`; `gap` is
    how many of them usually stand between two deliveries; `refused` says that all of them were
    refusals, `last_refused` that the last one was.
    `doubted` is the `fail_since` of failures that last and may be an outage, None where there are none.
    """

    def __init__(self, rule: FailBack, senders: int):
        self.rule, self.senders = rule, senders
        self.mode, self.since, self.warm_at = WELL, 0.0, 0.0
        self.fails, self.only_refusals, self.first_failure_at, self.last_failure_at = 0, False, 0.0, 0.0
        self.usual_failures, self.suspected_since, self.last_was_refusal = 0.0, None, False
        self.recent_calls: deque[tuple[float, float]] = (
            deque()
        )  # calls sent while it is held: when, and its rate then
        self.violations = 0

    # What it allows.

    def suspects_outage(self, now: float) -> bool:
        """Whether failures without an end that last for the rule's span may be an outage: they come by the
        usual loss at fewer than one of all senders. One refusal is how a limit shows.
        """
        return (
            now - self.first_failure_at >= self.rule.span
            and self.fails > self.only_refusals
            and (self.usual_failures / (1.0 + self.usual_failures)) ** self.fails * self.senders < 1.0
        )

    def is_throttled(self, now: float) -> bool:
        """Whether calls keep to the shared rate now."""
        return self.mode != WELL or self.suspects_outage(now)

    def limited_rate(self, now: float, rate: float | None, share: float) -> float | None:
        """The most calls a millisecond, where `pace` is allowed otherwise (None: any) and `share` is what
        this sender may count on when the destination is warm.
        """
        if self.is_throttled(now):
            shared = self.shared_rate(now, share)
            return shared if rate is None else min(rate, shared)
        lasted = now - self.first_failure_at
        if self.fails > 1 and lasted >= self.rule.span:  # where losses are usual
            return min(rate or 1.0, 1.0 / lasted)
        return rate

    def shared_rate(self, now: float, share: float) -> float:
        """This sender's part of what a cold destination can do, shared by those who met the outage. Failures
        that last count as met: this sender may see little.
        """
        rule, elapsed = self.rule, now - (self.first_failure_at if self.mode == WELL else self.since)
        warm_share = min(1.0, elapsed / rule.cold) if self.mode == COLD else 0.0
        capacity_share = rule.cold_from + (1.0 - rule.cold_from) * warm_share
        return max(
            2.0 / rule.span / self.senders,
            capacity_share * rule.multiple**0.5 * max(share, 1.0 / (elapsed + rule.span)),
        )

    def admits(self, decided_at: float) -> bool:
        """Whether a call that was decided at that time may begin: not where an outage was met since."""
        outage_at = max(self.since if self.mode != WELL else 0.0, self.suspected_since or 0.0)
        return outage_at <= decided_at

    def record_call(self, now: float, rate: float | None) -> bool:
        """A call is sent; False where it is more than a held sender's own part, which is counted.

        The check does not look at the bucket: in any window of the rule's span a held sender makes no more
        calls than one and what the highest rate in it gives.
        """
        if rate is None or not self.is_throttled(now):
            self.recent_calls.clear()
            return True
        while self.recent_calls and self.recent_calls[0][0] <= now - self.rule.span:
            self.recent_calls.popleft()
        self.recent_calls.append((now, rate))
        allowed = (
            WHOLE_CALL_ALLOWANCE
            + self.rule.span * max(rate_then for _, rate_then in self.recent_calls)
            + CHECK_SLACK_CALLS
        )
        if len(self.recent_calls) <= allowed:
            return True
        self.violations += 1
        return False

    # What it is told.

    def delivered(self, now: float) -> str | None:
        """A call was delivered; why the mode changed, or None."""
        why = None
        if self.mode == OUT:
            why = f"answered after {now - self.since:.0f} ms"
            self.mode, self.since = (
                COLD,
                self.last_failure_at,
            )  # it may have been back since: where few call, few know
            self.warm_at = now + self.rule.cold  # but only now is it sure
            self.fails = 0
        self.usual_failures += 0.1 * (self.fails - self.usual_failures)
        self.fails, self.suspected_since = 0, None
        return why

    def failed(self, now: float, why: str, wait: float) -> str | None:
        """A call failed, with a wait that it told: an outage, whatever causes it, is nothing delivered
        between many failures, or for the rule's span. Why the mode changed, or None.
        """
        refusal = why == "full"
        self.only_refusals = refusal and (self.only_refusals or not self.fails)
        self._count_failure(now)
        self.last_failure_at, self.last_was_refusal = now, refusal
        streak = max(OUTAGE_STREAK, RARE_STREAK_EXPONENT / log(1.0 + 1.0 / max(1e-9, self.usual_failures)))
        many = not refusal and self.fails >= streak
        if self.mode == OUT or not (self.is_lasting(now) or many or wait > self.rule.span):
            return None
        return self._enter_outage(now, f"last {why}, told wait {wait:.0f} ms")

    def is_lasting(self, now: float) -> bool:
        """Whether failures have lasted so long, and are so many, that they are an outage."""
        min_failures = OUTAGE_STREAK if self.last_was_refusal else MIN_LASTING_FAILURES
        return self.fails >= min_failures and now - self.first_failure_at >= self.rule.span

    def _enter_outage(self, now: float, detail: str) -> str:
        reason = f"{self.fails} failures in {now - self.first_failure_at:.0f} ms, {detail}"
        self.mode, self.since, self.fails, self.suspected_since = OUT, now, 0, None
        return reason

    def detect_lasting_outage(self, now: float) -> str | None:
        """Failures that were too young for an outage when the last of them came may be one by now; why, or
        None. Without this a delivery behind such a one was taken for the end of chance losses, and all that
        waited went at once to a cold destination.
        """
        if self.mode == WELL and self.is_lasting(now) and self.suspects_outage(now):
            return self._enter_outage(now, "none since")
        return None

    def _count_failure(self, at: float) -> None:
        self.first_failure_at, self.fails = self.first_failure_at if self.fails else at, self.fails + 1

    def interrupted(self, now: float) -> None:
        """A call was cut off by the end of the last process: what it met nobody knows, so that it counts as a
        failure of this moment, until the next delivery.
        """
        self.only_refusals = self.last_was_refusal = False
        self._count_failure(now)
        self.last_failure_at = now

    def starts_suspecting(self, now: float) -> bool:
        """Whether failures have come to be doubtful since the last look."""
        if (
            self.mode != WELL
            or not self.suspects_outage(now)
            or self.suspected_since == self.first_failure_at
        ):
            return False
        self.suspected_since = self.first_failure_at
        return True

    def finish_warmup(self, now: float) -> bool:
        """Whether the time of a cold one is over with this look."""
        if self.mode != COLD or now < self.warm_at:
            return False
        self.mode, self.since, self.fails, self.suspected_since = WELL, now, 0, None
        return True

    # What outlives the process.

    def must_persist(self) -> bool:
        """Whether there is anything that the next process has to know."""
        return self.mode != WELL or self.fails > self.only_refusals

    def restore_clock(self, now: float, continuous: bool) -> None:
        """Behind a restart: no time lies ahead but the one at which a cold one is warm. Where the monotonic
        clock has begun anew, nobody knows how long it took: all that has passed is taken for nothing.
        """
        if not continuous:
            self.since = self.first_failure_at = self.last_failure_at = now
            self.suspected_since = None if self.suspected_since is None else now
            self.warm_at = now + self.rule.cold
        self.since = min(self.since, now)
        self.last_failure_at = min(self.last_failure_at, now)
        self.warm_at = min(self.warm_at, now + self.rule.cold)
        if self.mode == WELL and self.fails > self.only_refusals:
            # all that waited is at hand, and the last calls failed: one call asks first
            self.first_failure_at = self.suspected_since = min(self.first_failure_at, now - self.rule.span)
