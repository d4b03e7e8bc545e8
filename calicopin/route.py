"""The token bucket that limits the rate of calls to one destination. Decisions only, no I/O.

It follows an adaptive rate limiter; `docs/design.md` describes the differences. Times are float milliseconds,
rates calls per millisecond.
"""

from collections import deque

from calicopin.slow_start import WELL, SlowStart

SECOND_MS = 1000.0  # the period that rate limits refer to


class Route:
    """The token bucket and the health of one destination, or of one endpoint with a route of its own.

    `key` is the number of the destination, and that of the endpoint or None. `known_since` is the time (ms)
    since which its calls are known. `limit` is the limit that answers report, `limit_left` the share of it
    that is left, and `listed_limit` the limit that the list of endpoints gives. `demand_waited` says that a
    text has waited for the bucket since the rate last changed. `blocked_until` is the time until which no
    call may go, `usual_latency` an average (ms).
    """

    # INCREASE_STEP is a share of the initial rate, MIN_LIMIT a rate.
    BURST_MS, COOLDOWN_MS, CUT_FACTOR, INCREASE_STEP, MIN_LIMIT, RETENTION_MS = (
        300.0,
        4000.0,
        0.7,
        0.1,
        0.001,
        60000.0,
    )
    MIN_COUNTED_CALLS, MAX_WINDOW_MS = 4, 20000.0

    def __init__(self, scheduler, name, senders, fail_back, key=(None, None), known_since=None):
        self.scheduler, self.name, self.senders, self.key = scheduler, name, senders, key
        self.slow_start = SlowStart(fail_back, senders)
        self.rate = self.initial_rate = self.listed_limit = self.limit = None
        self.tokens, self.refilled_at, self.blocked_until, self.patient_call = 1.0, scheduler.now, 0.0, None
        self.cut_at, self.changed_at, self.demand_waited, self.limit_left = -1e12, -1e12, False, 0.5
        self.call_times, self.last_call_at, self.known_since = (
            deque(),
            scheduler.now,
            known_since or scheduler.now,
        )
        self.first_attempt_times = deque()  # without repeats, which are no traffic
        self.usual_latency = self.usual_rate = self.longest_timeout = 0.0
        self.fastest_answer = float("inf")  # ms
        self.has_stored_state = False  # whether the state stored for the next process restricts anything

    @property
    def mode(self):
        """The mode of its slow start: well, out or cold."""
        return self.slow_start.mode

    def fair_share(self):
        """The rate of calls that this sender may count on while the destination is well."""
        return (self.limit or self.listed_limit or self.usual_rate * self.senders) / self.senders

    def paced_rate(self):
        """The rate of the bucket, adapted to what is left of the limit; None where nothing paces it.

        With nothing left, the rate is cut below the even share of all senders: at the even share, refused
        calls would use up the limit for good. What the rate has above the even share counts in full from half
        of the limit left on. Above half, the shares of idle senders come on top.
        """
        if self.rate is None or not (self.limit or self.listed_limit):
            return self.rate
        share = self.fair_share()
        factor = self.CUT_FACTOR * (max(1.0, self.rate / share) / self.CUT_FACTOR) ** min(
            1.0, 2.0 * self.limit_left
        )
        return share * factor * self.senders ** max(0.0, 2.0 * self.limit_left - 1.0)

    def note_limit(self, limit, left, texts):
        """An answer to a call of `texts` texts reported the limit and the share of it (0 to 1) left."""
        self.refill()
        # on a rise, each further text of a call counts as 1/senders, since all senders speed up together
        old_weight = 0.5**texts if left < self.limit_left else 0.9 ** (1.0 + (texts - 1.0) / self.senders)
        self.limit, self.limit_left = (
            limit or None,
            self.limit_left + (limit and (1.0 - old_weight) * (left - self.limit_left)),
        )

    def recent_rate(self):
        """The rate of this sender's calls, over the counting window or all known time if that is shorter."""
        span = self.counting_window()
        return self.count_sent_within(span) / min(span, max(SECOND_MS, self.scheduler.now - self.known_since))

    def counting_window(self):
        """The time (ms) over which this sender counts its own calls.

        Without a known limit it covers at least the last few calls: if each of 200 senders counted one call
        within the cooldown, their rates would use up the limit for good.
        """
        if self.limit or self.listed_limit:
            return self.COOLDOWN_MS
        span = (
            self.scheduler.now - self.call_times[0]
            if len(self.call_times) >= self.MIN_COUNTED_CALLS
            else self.MAX_WINDOW_MS
        )
        return max(self.COOLDOWN_MS, span)

    def count_sent_within(self, span):
        """How many calls were sent in the last `span` ms. Repeats do not count: a rate or share derived from
        a message that fails over and over would be many times too high.
        """
        return sum(at > self.scheduler.now - span - 1e-6 for at in self.first_attempt_times)

    def allowed_rate(self):
        """The rate of the bucket within what slow start allows; None where nothing limits it."""
        return self.slow_start.limited_rate(self.scheduler.now, self.paced_rate(), self.fair_share())

    def refill(self):
        """Refills the bucket up to now. Returns the rate at which it did, or None where nothing limits it."""
        now, rate = self.scheduler.now, self.allowed_rate()
        if rate is not None:
            capacity = max(1.0, rate * max(self.BURST_MS, self.scheduler.lag)) if self.mode == WELL else 1.0
            self.tokens = min(
                capacity, self.tokens + max(0.0, now - max(self.refilled_at, self.blocked_until)) * rate
            )
        self.refilled_at = now
        return rate

    def next_call_at(self):
        """The time (ms) at which the next call may go."""
        rate, start = self.refill(), max(self.scheduler.now, self.blocked_until)
        return start if rate is None or self.tokens >= 1.0 - 1e-9 else start + (1.0 - self.tokens) / rate

    def take_token(self, first=True):
        """Counts a call. Every call passes here, repeats and restored texts too; `first`: it is no repeat."""
        now, rate = self.scheduler.now, self.allowed_rate()
        if not self.slow_start.record_call(now, rate):
            self.scheduler.over_budget.append(self.name)
        self.tokens -= float(rate is not None)
        self.call_times.append(now)
        if first:
            self.first_attempt_times.append(now)
        if self.slow_start.is_throttled(now):
            self.mark_changed()

    def mark_changed(self):
        """The state that the next process needs has changed: it is journalled. A bucket that refills at an
        unchanged rate needs no new record.
        """
        persist = self.must_persist()
        if persist or self.has_stored_state:
            self.scheduler.changed_routes[self] = None
        self.has_stored_state = persist

    def must_persist(self):
        """Whether a restart has to know the route: it has an outage, a wait or a rate limit. Without the
        rate, all that waited for it would go at once.
        """
        return (
            self.rate is not None or self.slow_start.must_persist() or self.blocked_until > self.scheduler.now
        )

    def start_pacing(self, rate, why):
        """Sets the first rate; later increases are steps of a fixed share of it. `why` goes to the log."""
        self.rate = self.initial_rate = rate
        self.mark_changed()
        self.scheduler.log(f"{self.name} paced at {rate * 1000:.2f}/s, {why}")

    def refused(self, call):
        """A call was refused: starts pacing or cuts the rate, at most once per cooldown and not for calls
        sent before the last cut.
        """
        now = self.scheduler.now
        self.refill()
        self.demand_waited, self.changed_at, self.limit_left = False, now, min(self.limit_left, 0.5)
        if self.rate is None:
            limit = self.limit or self.listed_limit or self.MIN_LIMIT
            self.start_pacing(max(limit / self.senders, self.CUT_FACTOR * self.recent_rate()), "refused")
            self.cut_at, self.tokens = now, 0.0
        elif now - self.cut_at >= self.COOLDOWN_MS and call.sent_at > self.cut_at:
            before, floor = self.rate, (self.limit or self.MIN_LIMIT) / self.senders
            self.rate, self.cut_at = min(before, max(floor, before * self.CUT_FACTOR)), now
            self.mark_changed()
            if self.rate < before:
                self.scheduler.log(f"{self.name} cut from {before * 1000:.2f} to {self.rate * 1000:.2f}/s")

    def apply_wait(self, wait):
        """Applies a wait (ms) that an answer asked for: no call goes before its end, and the bucket starts
        empty.
        """
        self.refill()
        self.blocked_until, self.tokens = max(self.blocked_until, self.scheduler.now + wait), 0.0
        self.mark_changed()

    def is_restricted(self):
        """Whether a wait is in force, or an outage or the warm-up after it."""
        return self.mode != WELL or self.blocked_until > self.scheduler.now

    def delivered(self, elapsed):
        """A call was delivered, `elapsed` ms after it was sent."""
        now, self.fastest_answer = self.scheduler.now, min(self.fastest_answer, elapsed)
        # slower answers timed out before: a higher usual latency lets the next ones arrive
        least = elapsed / 4.0 if elapsed > 8.0 * self.usual_latency else 0.0
        self.usual_latency = (
            max(least, self.usual_latency + 0.1 * (elapsed - self.usual_latency))
            if self.usual_latency
            else elapsed
        )
        if self.rate is None and self.limit:
            self.start_pacing(
                max(self.limit / self.senders, self.recent_rate()), "its share of the reported limit"
            )
        suspected_since, changed = self.slow_start.suspected_since, self.slow_start.must_persist()
        if lasting := self.slow_start.detect_lasting_outage(now):  # it became one since the last maintenance
            self.mode_changed(lasting)
        if why := self.slow_start.delivered(now, self.usual_latency):
            self.mode_changed(why)
        elif suspected_since is not None:
            self.scheduler.log(f"{self.name} trusted: a call was delivered")
        self.longest_timeout, headroom = 0.0, 2.0 * self.limit_left - 1.0 if self.limit else 1.0
        if (
            self.rate
            and self.demand_waited
            and headroom > 0.0
            and now >= max(self.blocked_until, self.changed_at + 1000.0)
        ):
            self.refill()
            self.rate += self.INCREASE_STEP * self.initial_rate * headroom
            self.demand_waited, self.changed_at, changed = False, now, True
        if changed:
            self.mark_changed()

    def failed(self, why, wait):
        """A call failed; `why` is the outcome, `wait` how long (ms) its answer asks to wait."""
        now, slow_start = self.scheduler.now, self.slow_start
        if outage := slow_start.failed(now, why, wait, self.usual_latency, self.usual_rate):
            self.mode_changed(outage)
        if slow_start.must_persist():
            self.mark_changed()

    def interrupted(self):
        """The end of the last process cut off a call."""
        self.slow_start.interrupted(self.scheduler.now)
        self.mark_changed()

    def mode_changed(self, why):
        """The mode of slow start has changed: the bucket starts empty."""
        self.tokens, self.refilled_at = 0.0, self.scheduler.now
        self.mark_changed()
        self.scheduler.log(f"{self.name} {self.mode}: {why}")

    def maintain(self, intervals):
        """Periodic maintenance; `intervals` counts the skipped runs too."""
        now = self.scheduler.now
        while self.call_times and (
            self.call_times[0] <= now - self.MAX_WINDOW_MS
            or (
                self.call_times[0] <= now - self.COOLDOWN_MS and len(self.call_times) > self.MIN_COUNTED_CALLS
            )
        ):
            self.last_call_at = self.call_times.popleft()
        while self.first_attempt_times and self.first_attempt_times[0] <= now - self.MAX_WINDOW_MS:
            self.first_attempt_times.popleft()
        if not self.call_times and now - self.last_call_at > self.RETENTION_MS and self.mode == WELL:
            self.rate = None
        if outage := self.slow_start.detect_lasting_outage(now):
            self.mode_changed(outage)
        elif self.slow_start.starts_suspecting(now):
            self.refill()
            # a random start, so that the first calls of all senders together keep to their rate
            self.tokens = min(self.tokens, self.scheduler.draw(self.name))
            lasted = now - self.slow_start.first_failure_at
            self.scheduler.log(f"{self.name} doubted: {self.slow_start.failures} failures in {lasted:.0f} ms")
        elif self.mode == WELL and not self.slow_start.suspects_outage(now):
            # starts at 0 and counts over the whole window, so that a burst does not count as the usual rate
            span = self.counting_window()
            self.usual_rate += (1.0 - 0.95**intervals) * (
                self.count_sent_within(span) / span - self.usual_rate
            )
        elif self.slow_start.finish_warmup(now):
            self.mode_changed("warm-up over")
        if self.has_stored_state and not self.must_persist():
            self.mark_changed()
