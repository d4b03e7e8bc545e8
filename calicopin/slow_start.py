"""Slow start: how fast one sender may call a destination that it has seen fail. Decisions only, no I/O.

A destination that returns from an outage is cold and fails again if all senders that met the outage exceed
its budget. Each of them keeps to its part of a shared rate until the destination has had time to warm up.
This is the rule on returning destinations; `docs/design.md` derives the figures. Times are float milliseconds
of the monotonic clock, rates calls per millisecond.
"""

from collections import deque
from math import log

from calicopin.interface import FailBack
from calicopin.loss_tracker import LossTracker

WELL, OUT, COLD = "well", "out", "cold"
OUTAGE_STREAK = 5  # failures in a row that mean an outage, where failures are not usual
# Where failures are usual, a streak means an outage if its chance is below e to the power of minus this.
RARE_STREAK_EXPONENT = 12.0
MIN_LASTING_FAILURES = 3  # failures in a row that mean an outage once they last for the rule's span
WHOLE_CALL_ALLOWANCE = 1.0  # calls
CROWDED = ("full", "unreached")  # outcomes that a crowded destination has too
RETURN_STREAK = 3  # deliveries in a row that mean a return, where a half of the calls failed
STILL_FAILING = 2  # failures among the last `STILL_FAILING_OF` calls: it has not returned
STILL_FAILING_OF = 4
CHECK_SLACK_CALLS = 1.0  # the check knows the rate only at the times of calls, not between them
# The fields that are journalled and handed over, in their stored order, with the attribute that holds each.
STATE = {
    "mode": "mode",
    "since": "since",
    "fails": "failures",
    "refused": "only_refusals",
    "last_refused": "last_was_refusal",
    "fail_since": "first_failure_at",
    "failed_at": "last_failure_at",
    "doubted": "suspected_since",
    "gap": "usual_failures",
    "warm_at": "warm_at",
}


class SlowStart:
    """What one sender knows of the outages of one route, and the rate that this allows.

    `mode` is well, out (in an outage, as far as is known) or cold (it has answered since); `since` is when
    that began. `failures` counts the failures since the last delivery, from `first_failure_at` to
    `last_failure_at`; `usual_failures` is the average number of failures between two deliveries. `losses`
    tells whether most calls fail.
    `only_refusals` says that all of them were refusals, `last_was_refusal` that the last one was.
    `recent_outcomes` are those of the last calls, true for a failure.
    `suspected_since` is the `first_failure_at` of failures that may be an outage, or None.
    """

    def __init__(self, rule: FailBack, senders: int):
        self.rule, self.senders = rule, senders
        self.mode, self.since, self.warm_at = WELL, 0.0, 0.0
        self.failures, self.only_refusals, self.first_failure_at, self.last_failure_at = 0, False, 0.0, 0.0
        self.usual_failures, self.suspected_since, self.last_was_refusal = 0.0, None, False
        self.losses = LossTracker()
        self.recent_outcomes: deque[bool] = deque(maxlen=STILL_FAILING_OF)
        # time (ms) and rate of each call that was sent while throttled
        self.recent_calls: deque[tuple[float, float]] = deque()
        self.violations = 0

    # Limits.

    def suspects_outage(self, now: float) -> bool:
        """Whether failures may be an outage: they have lasted for the rule's span, and by the usual loss
        fewer than one of all senders would see as many. A single refusal does not count, since that is how
        a rate limit shows.
        """
        return (
            now - self.first_failure_at >= self.rule.span
            and self.failures > self.only_refusals
            and (self.usual_failures / (1.0 + self.usual_failures)) ** self.failures * self.senders < 1.0
        )

    def is_throttled(self, now: float) -> bool:
        """Whether calls have to keep to the shared rate."""
        return self.mode != WELL or self.suspects_outage(now)

    def limited_rate(self, now: float, rate: float | None, share: float) -> float | None:
        """The highest rate allowed, or None for no limit. `rate` is what is allowed otherwise (None: any),
        and `share` what this sender may count on while the destination is well.
        """
        if self.is_throttled(now):
            shared = self.shared_rate(now, share)
            return shared if rate is None else min(rate, shared)
        lasted = now - self.first_failure_at
        if self.failures > 1 and lasted >= self.rule.span:  # losses are usual here
            return min(rate or 1.0, 1.0 / lasted)
        return rate

    def shared_rate(self, now: float, share: float) -> float:
        """This sender's part of the rate that a cold destination bears from all who met the outage. Lasting
        failures count as an outage, since a sender with few calls sees few failures.
        """
        rule, elapsed = self.rule, now - (self.first_failure_at if self.mode == WELL else self.since)
        warm_share = min(1.0, elapsed / rule.cold) if self.mode == COLD else 0.0
        capacity_share = rule.cold_from + (1.0 - rule.cold_from) * warm_share
        return max(
            2.0 / rule.span / self.senders,
            capacity_share * rule.multiple**0.5 * max(share, 1.0 / (elapsed + rule.span)),
        )

    def admits(self, decided_at: float) -> bool:
        """Whether a call decided at that time (ms) may begin: not if an outage was met since."""
        outage_at = max(self.since if self.mode != WELL else 0.0, self.suspected_since or 0.0)
        return outage_at <= decided_at

    def record_call(self, now: float, rate: float | None) -> bool:
        """Records a call. Returns False, and counts a violation, where a throttled sender exceeds its part.

        The check is independent of the token bucket: in any window of the rule's span, a throttled sender
        makes at most one call more than the highest rate in the window allows, plus the slack.
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

    # Outcomes of calls.

    def delivered(self, now: float, usual_latency: float = 0.0) -> str | None:
        """A call was delivered. Returns why the mode changed, or None. While calls still fail, the warm-up
        cannot have begun long ago: it ends its time after the recovery.
        """
        why = None
        if self.mode == OUT:
            why = f"answered after {now - self.since:.0f} ms"
            # with few calls, it may have returned as early as the last failure, but only this call proves it
            self.mode, self.since = COLD, self.last_failure_at
            self.warm_at = now + self.rule.cold
            self.failures = 0
        if self.losses.mostly_failing:
            self.warm_at = now + self.rule.cold
            self.losses.check_recovery(now, usual_latency)
        self.usual_failures += 0.1 * (self.failures - self.usual_failures)
        self.failures, self.suspected_since = 0, None
        self.recent_outcomes.append(False)
        self.losses.note_evidence(now, usual_latency, self.rule.span / 2.0, self.rule.cold)
        return why or self._presume_return(now)

    def _presume_return(self, now: float) -> str | None:
        """Where a half of the calls failed, deliveries in a row are taken for the return: the destination is
        cold.
        """
        last = list(self.recent_outcomes)[-RETURN_STREAK:]
        if self.mode != WELL or not self.losses.half_failing or len(last) < RETURN_STREAK or any(last):
            return None
        self.mode, self.since, self.losses.return_presumed = COLD, self.last_failure_at, True
        self.warm_at = now + self.rule.cold
        return f"{RETURN_STREAK} deliveries in a row after a half of the calls failed"

    def _still_failing(self) -> str | None:
        """A return that was only presumed has not come while calls fail: goes on as before it."""
        presumed = self.mode == COLD and self.losses.return_presumed and self.losses.half_failing
        if not presumed or sum(self.recent_outcomes) < STILL_FAILING:
            return None
        self.mode, self.losses.return_presumed = WELL, False
        return "calls still fail"

    def failed(
        self, now: float, why: str, wait: float, usual_latency: float = 0.0, usual_rate: float = 0.0
    ) -> str | None:
        """A call failed; its answer asked to wait for `wait` ms. Many failures in a row, or failures for the
        rule's span, without a delivery between them are an outage, whatever their cause; so are failures of
        most calls. While most fail, a cold destination has not returned: its warm-up begins anew. Returns
        why the mode changed, or None.
        """
        refusal = why == "full"
        self.only_refusals = refusal and (self.only_refusals or not self.failures)
        self._count_failure(now)
        self.last_failure_at, self.last_was_refusal = now, refusal
        if self.mode == OUT:
            return None
        if self.mode == COLD and self.losses.mostly_failing and not refusal:
            self.since, self.warm_at = now, now + self.rule.cold
            return None
        if why not in CROWDED:
            self.recent_outcomes.append(True)
            self.losses.note_evidence(now, usual_latency, self.rule.span / 2.0, self.rule.cold)
        detail = f"last {why}, requested wait {wait:.0f} ms"
        if self.is_lasting(now) or wait > self.rule.span:
            return self._enter_outage(now, detail)
        if refusal:
            return None
        # with the calls that are out: failures may end sooner than the deliveries of calls sent before
        excess = self.losses.excess(now, usual_latency)
        if self.failures >= self._outage_streak() and excess >= OUTAGE_STREAK:
            return self._enter_outage(now, detail)
        if self._most_calls_fail(now, usual_latency, usual_rate):
            return self._enter_outage(now, f"{excess} more failures than deliveries, {detail}")
        return self._still_failing()

    def _outage_streak(self) -> float:
        """How many failures in a row mean an outage."""
        return max(OUTAGE_STREAK, RARE_STREAK_EXPONENT / log(1.0 + 1.0 / max(1e-9, self.usual_failures)))

    def _most_calls_fail(self, now: float, usual_latency: float, usual_rate: float) -> bool:
        if self.mode == COLD and not self.losses.return_presumed:
            return self.losses.returns_to_outage(now, usual_latency)
        return self.losses.is_outage(now, usual_latency, usual_rate)

    def is_lasting(self, now: float) -> bool:
        """Whether failures have lasted long enough, and are enough, to be an outage."""
        min_failures = OUTAGE_STREAK if self.last_was_refusal else MIN_LASTING_FAILURES
        return self.failures >= min_failures and now - self.first_failure_at >= self.rule.span

    def _enter_outage(self, now: float, detail: str) -> str:
        reason = f"{self.failures} failures in {now - self.first_failure_at:.0f} ms, {detail}"
        self.mode, self.since, self.failures, self.suspected_since = OUT, now, 0, None
        self.losses.begin_outage()
        return reason

    def detect_lasting_outage(self, now: float) -> str | None:
        """Detects failures that have become an outage since the last of them came. Returns why the mode
        changed, or None.

        Without this check, a delivery after such failures ended them as chance losses, and all waiting texts
        went at once to a cold destination.
        """
        if self.mode == WELL and self.is_lasting(now) and self.suspects_outage(now):
            return self._enter_outage(now, "none since")
        return None

    def _count_failure(self, at: float) -> None:
        self.first_failure_at, self.failures = (
            self.first_failure_at if self.failures else at,
            self.failures + 1,
        )

    def interrupted(self, now: float) -> None:
        """The end of the last process cut off a call: its outcome is unknown, so it counts as a failure now,
        until the next delivery.
        """
        self.only_refusals = self.last_was_refusal = False
        self._count_failure(now)
        self.last_failure_at = now
        self.losses.interrupted()

    def starts_suspecting(self, now: float) -> bool:
        """Notes failures that have begun to look like an outage; returns whether there are new ones."""
        if (
            self.mode != WELL
            or not self.suspects_outage(now)
            or self.suspected_since == self.first_failure_at
        ):
            return False
        self.suspected_since = self.first_failure_at
        return True

    def finish_warmup(self, now: float) -> bool:
        """Ends the warm-up of a cold destination once its time has passed; returns whether it did."""
        unanswered = self.losses.mostly_failing and self.failures > self.only_refusals
        if self.mode != COLD or now < self.warm_at or unanswered:
            return False
        self.mode, self.since, self.failures, self.suspected_since = WELL, now, 0, None
        self.losses.end_outage()
        return True

    # Restarts.

    def must_persist(self) -> bool:
        """Whether the next process has to know this state."""
        losses = self.losses.known_excess > 0 or self.losses.half_failing
        return self.mode != WELL or self.failures > self.only_refusals or losses

    def restore_clock(self, now: float, continuous: bool) -> None:
        """Adjusts the times after a restart: none may lie in the future but the end of the warm-up. Where the
        monotonic clock began anew (not `continuous`), the time that has passed is unknown and counts as
        zero.
        """
        if not continuous:
            self.since = self.first_failure_at = self.last_failure_at = now
            self.suspected_since = None if self.suspected_since is None else now
            self.warm_at = now + self.rule.cold
        self.since = min(self.since, now)
        self.last_failure_at = min(self.last_failure_at, now)
        self.warm_at = min(self.warm_at, now + self.rule.cold)
        if self.mode == WELL and self.failures > self.only_refusals:
            # all waiting texts are ready to go and the last calls failed: one call probes first
            self.first_failure_at = self.suspected_since = min(self.first_failure_at, now - self.rule.span)
