"""How a partner handles a call: rate limits, workers and queues, outages, the warm-up after them and
overload.

One `Destination` for each destination number. It is independent of the transport, so that the stand-in on the
emulated network and fleet mode share it. Written from the platform's protocol page.
"""

import heapq
import math
from collections import deque
from dataclasses import dataclass, field

NEVER = float("inf")


@dataclass(slots=True)
class Reply:
    """What is answered, and when: `delay_ms` after the arrival (NEVER: not at all).

    `processed` are the texts that are carried out, `processed_after_ms` after the arrival; with
    `drop_connection` the connection is closed in place of the answer, with `corrupt` the answer is garbled.
    """

    delay_ms: float
    status: int = 200
    processed: tuple = ()
    processed_after_ms: float = 0.0
    retry_after_ms: float = 0.0
    drop_connection: bool = False
    corrupt: bool = False
    states: dict | None = None
    load: dict | None = None


@dataclass(slots=True)
class Endpoint:
    """One endpoint: its address and the load of its workers."""

    ident: str
    host: str
    zone: str
    state: str = "active"
    busy_until: list = field(default_factory=list)  # when each busy worker is free again
    queued_starts: deque = field(default_factory=deque)  # when each queued call starts
    stalled: bool = False  # answers nothing, while others do
    connections: list = field(default_factory=list)  # empty in fleet mode


class RateLimit:
    """A limit of `rate` calls a second over a sliding window of `window` ms; refused calls count too where
    the partner does so.
    """

    def __init__(self, rate, window, refused_count):
        self.rate, self.window, self.refused_count, self.counted_at = rate, window, refused_count, deque()

    def remaining_share(self, now, factor):
        """The unused share of the limit, scaled by `factor`."""
        while self.counted_at and self.counted_at[0] <= now - self.window:
            self.counted_at.popleft()
        allowed = max(1.0, self.rate * factor * self.window / 1000.0)
        return (allowed - len(self.counted_at)) / allowed

    def try_take(self, now, factor):
        """Counts a call; whether it is within the limit."""
        allowed = self.remaining_share(now, factor) > 1e-9
        if allowed or self.refused_count:
            self.counted_at.append(now)
        return allowed


class Destination:
    """One destination and its endpoints.

    `active_troubles` counts the troubles in force by kind; `overloaded` is set once too many calls during
    warm-up have made it fail for good.
    """

    def __init__(self, world, number, spec, rules, endpoints):
        self.world, self.number, self.spec, self.rules, self.endpoints = world, number, spec, rules, endpoints
        self.rng = world.random_stream(f"destination {number}")
        self.limits = {}
        self.active_troubles, self.trouble_sizes, self.shut_until = {}, {}, 0.0
        self.outage_since = self.recovered_at = None
        self.couriers_in_outage, self.informed_couriers, self.recent_calls, self.overloaded = (
            set(),
            set(),
            deque(),
            False,
        )
        self.last_report = (-1e12, None)
        self.limit_factor = 1.0

    # Outages and warm-up.

    def is_out(self):
        """Whether it is in an outage."""
        return self.overloaded or any(
            self.active_troubles.get(kind) for kind in ("refuse", "hang", "shut", "vanish")
        )

    def begin_trouble(self, kind, size=1.0):
        """A trouble begins."""
        before = self.is_out()
        self.active_troubles[kind], self.trouble_sizes[kind] = self.active_troubles.get(kind, 0) + 1, size
        if self.is_out() and not before:
            self.outage_since, self.recovered_at, self.couriers_in_outage = self.world.now, None, set()

    def end_trouble(self, kind):
        """A trouble ends; after a long enough outage the warm-up begins."""
        self.active_troubles[kind] -= 1
        if self.outage_since is not None and not self.is_out():
            lasted, self.outage_since = self.world.now - self.outage_since, None
            if lasted >= self.rules.span_s * 1000.0:
                self.recovered_at, self.informed_couriers = self.world.now, self.couriers_in_outage
                self.recent_calls.clear()
                self.world.record("cold", self.number)

    def warm_share(self):
        """The share of its capacity that is available: below 1 only during warm-up."""
        if self.recovered_at is None:
            return 1.0
        passed = (self.world.now - self.recovered_at) / (self.rules.cold_s * 1000.0)
        return min(1.0, self.rules.cold_from + (1.0 - self.rules.cold_from) * passed)

    def capacity(self):
        """Calls a second when warm."""
        throughput = len(self.endpoints) * self.spec.workers * 1000.0 / self.spec.work_ms
        return min(throughput, self.spec.limit) if self.spec.limit else throughput

    def check_overload(self, courier):
        """Counts a call during warm-up; too many within the rule's window overload the destination."""
        warm_share = self.warm_share()
        if self.recovered_at is None or warm_share >= 1.0:
            return
        now, window = self.world.now, self.rules.span_s * 1000.0
        self.recent_calls.append((now, courier))
        while self.recent_calls[0][0] <= now - window:
            self.recent_calls.popleft()
        limit = self.rules.multiple * self.capacity() * warm_share * self.rules.span_s + 2.0
        if now - self.recovered_at >= window and len(self.recent_calls) > limit:
            informed = sum(who in self.informed_couriers for _, who in self.recent_calls)
            self.overloaded = True
            self.world.record("fell", self.number, len(self.recent_calls), round(limit, 1), informed)

    # Handling a call.

    def handle_call(self, endpoint, courier, idents):
        """Decides how a call with these texts is answered."""
        now, spec, rng = self.world.now, self.spec, self.rng
        if self.is_out():
            self.couriers_in_outage.add(courier)
        if self.overloaded or self.active_troubles.get("refuse") or self.active_troubles.get("vanish"):
            return Reply(1.0, 503, drop_connection=True)
        if self.active_troubles.get("hang") or endpoint.stalled:
            return Reply(NEVER)
        if self.active_troubles.get("shut"):
            remaining = max(0.0, self.shut_until - now)
            return self.refuse(remaining if rng.random() < spec.tells_wait else 0.0)
        self.check_overload(courier)
        if spec.limit:
            route = endpoint.ident if spec.apart else None
            limit = self.limits.setdefault(route, RateLimit(spec.limit, spec.window_ms, spec.refused_count))
            if not limit.try_take(now, self.limit_factor):
                low, high = spec.wait_ms
                wait = low + (high - low) * rng.random()
                return self.refuse(wait if rng.random() < spec.tells_wait else 0.0, limit)
            report = self.report(limit)
        else:
            report = None
        return self.process_call(endpoint, idents, report)

    def refuse(self, wait, limit=None):
        """The answer to a call that is refused; `wait` in ms (0: none stated)."""
        self.world.record("refused", self.number)
        return Reply(
            self.rng.uniform(1.0, 5.0), 429 if wait else 503, retry_after_ms=wait, load=self.report(limit)
        )

    def report(self, limit):
        """The load report for an answer: none, fresh, or up to 600 ms old."""
        if self.spec.report == "none" or limit is None:
            return None
        now, (reported_at, report) = self.world.now, self.last_report
        if self.spec.report == "fresh" or now - reported_at >= 600.0:
            remaining = max(0.0, limit.remaining_share(now, self.limit_factor))
            self.last_report = now, report = (
                now,
                {"x0": round(remaining, 3), "x1": self.spec.limit * self.limit_factor},
            )
        return report

    def process_call(self, endpoint, idents, report):
        """Assigns a call to a worker, and draws how long it takes and how it ends."""
        now, spec, rng = self.world.now, self.spec, self.rng
        while endpoint.busy_until and endpoint.busy_until[0] <= now:
            heapq.heappop(endpoint.busy_until)
        while endpoint.queued_starts and endpoint.queued_starts[0] <= now:
            endpoint.queued_starts.popleft()
        if len(endpoint.busy_until) < spec.workers:
            start_at = now
        elif len(endpoint.queued_starts) < spec.queue:
            start_at = heapq.nsmallest(len(endpoint.busy_until) - spec.workers + 1, endpoint.busy_until)[-1]
            endpoint.queued_starts.append(start_at)
        else:
            return Reply(2.0, 503, load=report)
        sigma = math.sqrt(math.log(1.0 + spec.work_cv**2))
        work_ms = spec.work_ms * (1.0 + spec.item_cost * (len(idents) - 1)) / self.warm_share()
        if sigma:
            work_ms *= rng.lognormvariate(-sigma * sigma / 2.0, sigma)
        if self.active_troubles.get("slow"):
            work_ms *= self.trouble_sizes["slow"]
        work_ms += spec.first_ms
        done_at = start_at + work_ms
        heapq.heappush(endpoint.busy_until, done_at)
        delay_ms = done_at - now
        reply = Reply(delay_ms, 200, tuple(idents), start_at - now, load=report)
        error_odds = spec.error + (
            self.trouble_sizes["errors"] if self.active_troubles.get("errors") else 0.0
        )
        loss_odds = spec.lose + (self.trouble_sizes["lose"] if self.active_troubles.get("lose") else 0.0)
        if error_odds and rng.random() < error_odds:
            if len(idents) > 1 and rng.random() < 0.7:  # only one of the texts fails
                reply.states = {ident: "delivered" for ident in idents}
                failed_ident = rng.choice(idents)
                reply.states[failed_ident] = rng.choice(["failed", "refused"])
                reply.processed = tuple(i for i in idents if reply.states[i] != "refused")
            else:
                reply.status = 500
                if rng.random() < 0.5:
                    reply.processed = ()
        elif loss_odds and rng.random() < loss_odds:
            reply.drop_connection = True
        elif self.active_troubles.get("spoil") and rng.random() < self.trouble_sizes["spoil"]:
            reply.corrupt = True
        return reply
