"""The token bucket that paces the calls to one destination. Decisions only, no I/O.

Source: the guide of an adaptive rate limiter; `docs/design.md` says what is kept of it and what is not.
Times are float milliseconds, rates calls a millisecond.
"""

from collections import deque

from calicopin.slow_start import WELL, SlowStart

SECOND_MS = 1000.0  # what limits count over


class Route:
    """Bucket and health of one destination, or of one endpoint where routes are apart. `key` is the number of
    the destination, and of the endpoint or None; `born` is since when its calls are known."""

    BURST_MS, COOLDOWN_MS, CUT_FACTOR, INCREASE_STEP, MIN_LIMIT, IDLE = (
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
        self.tokens, self.refilled_at, self.pause, self.patient_call = 1.0, scheduler.now, 0.0, None
        self.cut_at, self.changed_at, self.demand_waited, self.limit_left = -1e12, -1e12, False, 0.5
        self.call_times, self.last_call_at, self.known_since = (
            deque(),
            scheduler.now,
            known_since or scheduler.now,
        )
        self.first_attempt_times = deque()  # those of `sends` that were no repeats: what the traffic is
        self.usual = self.usual_rate = self.longest_timeout = 0.0
        self.fastest_answer = float("inf")  # the quickest delivery
        self.kept = False  # whether what is kept for the next process says anything of it

    @property
    def mode(self):
        """Well, out or cold, as slow start has it."""
        return self.slow_start.mode

    def fair_share(self):
        """Calls a millisecond that this sender may count on when the destination is warm."""
        return (self.limit or self.listed_limit or self.usual_rate * self.senders) / self.senders

    def pace_now(self):
        """The rate, as far as room is told. With nothing left it is a cut under the even share: only so a
        limit opens that refused calls use up. What it holds over that share counts in full from half of the
        limit left, and above half idle senders' shares come on top."""
        if self.rate is None or not (self.limit or self.listed_limit):
            return self.rate
        share = self.fair_share()
        factor = self.CUT_FACTOR * (max(1.0, self.rate / share) / self.CUT_FACTOR) ** min(
            1.0, 2.0 * self.limit_left
        )
        return share * factor * self.senders ** max(0.0, 2.0 * self.limit_left - 1.0)

    def note_limit(self, limit, left, texts):
        """An answer told the limit and the share of it that is left, in a call of so many texts."""
        self.refill()
        old_weight = (
            0.5**texts if left < self.limit_left else 0.9 ** (1.0 + (texts - 1.0) / self.senders)
        )  # all rise
        self.limit, self.limit_left = (
            limit or None,
            self.limit_left + (limit and (1.0 - old_weight) * (left - self.limit_left)),
        )

    def recent_rate(self):
        """Own calls a millisecond, over a cooldown or the time lived, if that is shorter."""
        span = self.counting_window()
        return self.count_sent_within(span) / min(span, max(SECOND_MS, self.scheduler.now - self.known_since))

    def counting_window(self):
        """What own calls are counted over: a cooldown; where no limit is told nor listed, the last few if
        that is longer: 200 senders that each count one call in a cooldown use a limit up for good."""
        if self.limit or self.listed_limit:
            return self.COOLDOWN_MS
        span = (
            self.scheduler.now - self.call_times[0]
            if len(self.call_times) >= self.MIN_COUNTED_CALLS
            else self.MAX_WINDOW_MS
        )
        return max(self.COOLDOWN_MS, span)

    def count_sent_within(self, span):
        """How many calls went out in the last so many milliseconds. Repeats do not count: a message that
        fails over and over is no traffic, and a pace made of it, or a share, is many times too large.
        """
        return sum(at > self.scheduler.now - span - 1e-6 for at in self.first_attempt_times)

    def speed(self):
        """The bucket's rate, as far as slow start allows it."""
        return self.slow_start.limited_rate(self.scheduler.now, self.pace_now(), self.fair_share())

    def refill(self):
        """Fills the bucket up to now; the rate at which it did, None where nothing paces it."""
        now, rate = self.scheduler.now, self.speed()
        if rate is not None:
            capacity = max(1.0, rate * max(self.BURST_MS, self.scheduler.late)) if self.mode == WELL else 1.0
            self.tokens = min(
                capacity, self.tokens + max(0.0, now - max(self.refilled_at, self.pause)) * rate
            )
        self.refilled_at = now
        return rate

    def opens(self):
        """When the next call may go."""
        rate, start = self.refill(), max(self.scheduler.now, self.pause)
        return start if rate is None or self.tokens >= 1.0 - 1e-9 else start + (1.0 - self.tokens) / rate

    def take_token(self, first=True):
        """A call goes out: the one place through which all do, repeats and those of a restart too. `first`:
        it is no repeat.
        """
        now, rate = self.scheduler.now, self.speed()
        if not self.slow_start.record_call(now, rate):
            self.scheduler.overran.append(self.name)
        self.tokens -= float(rate is not None)
        self.call_times.append(now)
        if first:
            self.first_attempt_times.append(now)
        if self.slow_start.is_throttled(now):
            self.mark_changed()

    def mark_changed(self):
        """What the next process has to know of it is not as it was. Each call of this is a record in the
        journal: a bucket whose rate is as it was goes on from the last one."""
        persist = self.must_persist()
        if persist or self.kept:
            self.scheduler.touched[self] = None
        self.kept = persist

    def must_persist(self):
        """Whether it holds what a restart must not forget: an outage, a wait, or a pace, without which what
        has waited for it goes at once."""
        return self.rate is not None or self.slow_start.must_persist() or self.pause > self.scheduler.now

    def start_pacing(self, rate, why):
        """The first rate, from which the steps of its rise follow."""
        self.rate = self.initial_rate = rate
        self.mark_changed()
        self.scheduler.log(f"{self.name} paced at {rate * 1000:.2f}/s, {why}")

    def refused(self, call):
        """A throttle: one wave, one cut."""
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

    def halt(self, wait):
        """A told wait, in whichever answer it comes: it binds in full and the bucket restarts empty."""
        self.refill()
        self.pause, self.tokens = max(self.pause, self.scheduler.now + wait), 0.0
        self.mark_changed()

    def is_restricted(self):
        """Whether a told wait still runs, or an outage or the time behind it."""
        return self.mode != WELL or self.pause > self.scheduler.now

    def delivered(self, elapsed):
        """A call was delivered, after so long."""
        now, self.fastest_answer = self.scheduler.now, min(self.fastest_answer, elapsed)
        least = elapsed / 4.0 if elapsed > 8.0 * self.usual else 0.0  # were cut off: let the next ones come
        self.usual = max(least, self.usual + 0.1 * (elapsed - self.usual)) if self.usual else elapsed
        if self.rate is None and self.limit:
            self.start_pacing(max(self.limit / self.senders, self.recent_rate()), "its share of a told limit")
        suspected_since, changed = self.slow_start.suspected_since, self.slow_start.must_persist()
        if lasting := self.slow_start.detect_lasting_outage(now):  # its time came since the last look
            self.mode_changed(lasting)
        if why := self.slow_start.delivered(now):
            self.mode_changed(why)
        elif suspected_since is not None:
            self.scheduler.log(f"{self.name} trusted: a call was delivered")
        self.longest_timeout, headroom = 0.0, 2.0 * self.limit_left - 1.0 if self.limit else 1.0
        if (
            self.rate
            and self.demand_waited
            and headroom > 0.0
            and now >= max(self.pause, self.changed_at + 1000.0)
        ):
            self.refill()
            self.rate += self.INCREASE_STEP * self.initial_rate * headroom
            self.demand_waited, self.changed_at, changed = False, now, True
        if changed:
            self.mark_changed()

    def failed(self, why, wait):
        """A call failed, with a wait that it told."""
        if outage := self.slow_start.failed(self.scheduler.now, why, wait):
            self.mode_changed(outage)
        if self.slow_start.must_persist():
            self.mark_changed()

    def interrupted(self):
        """A call of the last process was cut off by its end."""
        self.slow_start.interrupted(self.scheduler.now)
        self.mark_changed()

    def mode_changed(self, why):
        """Slow start has another mode: the bucket is empty."""
        self.tokens, self.refilled_at = 0.0, self.scheduler.now
        self.mark_changed()
        self.scheduler.log(f"{self.name} {self.mode}: {why}")

    def maintain(self, intervals):
        """The periodic look; rounds that were left out are made up for."""
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
        if not self.call_times and now - self.last_call_at > self.IDLE and self.mode == WELL:
            self.rate = None
        if outage := self.slow_start.detect_lasting_outage(now):
            self.mode_changed(outage)
        elif self.slow_start.starts_suspecting(now):  # so that whole first calls add up to what all may send
            self.refill()
            self.tokens = min(self.tokens, self.scheduler.draw(self.name))
            lasted = now - self.slow_start.first_failure_at
            self.scheduler.log(f"{self.name} doubted: {self.slow_start.fails} failures in {lasted:.0f} ms")
        elif self.mode == WELL and not self.slow_start.suspects_outage(now):
            # from nothing, and never over less than the whole window: a burst is no flow
            span = self.counting_window()
            self.usual_rate += (1.0 - 0.95**intervals) * (
                self.count_sent_within(span) / span - self.usual_rate
            )
        elif self.slow_start.finish_warmup(now):
            self.mode_changed("warm again")
        if self.kept and not self.must_persist():
            self.mark_changed()
