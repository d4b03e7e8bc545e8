"""What a partner does with a call: limits, workers and queues, outages, the cold time after them and
falling over.

One `Destination` for each number; it knows nothing of wires, so that the stand-in on the emulated network and
the fleet mode share it. Written from the platform's protocol page.
"""

import heapq
import math
from collections import deque
from dataclasses import dataclass, field

NEVER = float("inf")


@dataclass(slots=True)
class Reply:
    """What comes back, and when: `after` ms from the arrival (NEVER: nothing).

    `ran` are the texts that run and when; `lost` ends the connection in place of the answer, `spoilt` garbles
    it.
    """

    after: float
    status: int = 200
    ran: tuple = ()
    ran_after: float = 0.0
    wait: float = 0.0
    lost: bool = False
    spoilt: bool = False
    states: dict | None = None
    load: dict | None = None


@dataclass(slots=True)
class Endpoint:
    """One endpoint: where it is reached and how busy its workers are."""

    ident: str
    host: str
    zone: str
    state: str = "active"
    free: list = field(default_factory=list)  # when each busy worker is done
    starts: deque = field(default_factory=deque)  # of calls that wait in its queue
    held: bool = False  # hangs by itself
    servers: list = field(default_factory=list)  # its connections, where there is a network


class Limit:
    """Calls in a sliding window. Refused ones use it up too where the partner counts them."""

    def __init__(self, rate, window, refused_count):
        self.rate, self.window, self.refused_count, self.seen = rate, window, refused_count, deque()

    def left(self, now, factor):
        while self.seen and self.seen[0] <= now - self.window:
            self.seen.popleft()
        most = max(1.0, self.rate * factor * self.window / 1000.0)
        return (most - len(self.seen)) / most

    def take(self, now, factor):
        fits = self.left(now, factor) > 1e-9
        if fits or self.refused_count:
            self.seen.append(now)
        return fits


class Destination:
    """One destination and its endpoints.

    `modes` holds the troubles that are on: a count for each kind. `fell` is when it was pushed over."""

    def __init__(self, world, number, spec, rules, endpoints):
        self.world, self.number, self.spec, self.rules, self.endpoints = world, number, spec, rules, endpoints
        self.rng = world.random_stream(f"destination {number}")
        self.limits = {}
        self.modes, self.size, self.shut_until = {}, {}, 0.0
        self.out_since = self.back = None
        self.met, self.knew, self.arrivals, self.fell = set(), set(), deque(), False
        self.reported = (-1e12, None)
        self.factor = 1.0  # of its limit

    # Outages and the cold time.

    def out(self):
        return self.fell or any(self.modes.get(kind) for kind in ("refuse", "hang", "shut", "vanish"))

    def begin(self, kind, size=1.0):
        """A trouble sets in."""
        before = self.out()
        self.modes[kind], self.size[kind] = self.modes.get(kind, 0) + 1, size
        if self.out() and not before:
            self.out_since, self.back, self.met = self.world.now, None, set()

    def end(self, kind):
        self.modes[kind] -= 1
        if self.out_since is not None and not self.out():
            lasted, self.out_since = self.world.now - self.out_since, None
            if lasted >= self.rules.span_s * 1000.0:
                self.back, self.knew = self.world.now, self.met
                self.arrivals.clear()
                self.world.record("cold", self.number)

    def warmth(self):
        """The share of its capacity that it has: all of it but for the cold time after an outage."""
        if self.back is None:
            return 1.0
        passed = (self.world.now - self.back) / (self.rules.cold_s * 1000.0)
        return min(1.0, self.rules.cold_from + (1.0 - self.rules.cold_from) * passed)

    def capacity(self):
        """Calls a second that it can do when warm."""
        able = len(self.endpoints) * self.spec.workers * 1000.0 / self.spec.work_ms
        return min(able, self.spec.limit) if self.spec.limit else able

    def pushed(self, courier):
        """Counts a call in the cold time; too many in the rule's span fell it."""
        warmth = self.warmth()
        if self.back is None or warmth >= 1.0:
            return
        now, span = self.world.now, self.rules.span_s * 1000.0
        self.arrivals.append((now, courier))
        while self.arrivals[0][0] <= now - span:
            self.arrivals.popleft()
        most = self.rules.multiple * self.capacity() * warmth * self.rules.span_s + 2.0
        if now - self.back >= span and len(self.arrivals) > most:
            knew = sum(who in self.knew for _, who in self.arrivals)
            self.fell = True
            self.world.record("fell", self.number, len(self.arrivals), round(most, 1), knew)

    # One call.

    def arrive(self, endpoint, courier, idents):
        """A whole call has arrived with these texts; how it is answered."""
        now, spec, rng = self.world.now, self.spec, self.rng
        if self.out():
            self.met.add(courier)
        if self.fell or self.modes.get("refuse") or self.modes.get("vanish"):
            return Reply(1.0, 503, lost=True)
        if self.modes.get("hang") or endpoint.held:
            return Reply(NEVER)
        if self.modes.get("shut"):
            left = max(0.0, self.shut_until - now)
            return self.refuse(left if rng.random() < spec.tells_wait else 0.0)
        self.pushed(courier)
        if spec.limit:
            route = endpoint.ident if spec.apart else None
            limit = self.limits.setdefault(route, Limit(spec.limit, spec.window_ms, spec.refused_count))
            if not limit.take(now, self.factor):
                low, high = spec.wait_ms
                wait = low + (high - low) * rng.random()
                return self.refuse(wait if rng.random() < spec.tells_wait else 0.0, limit)
            report = self.report(limit)
        else:
            report = None
        return self.work(endpoint, idents, report)

    def refuse(self, wait, limit=None):
        self.world.record("refused", self.number)
        return Reply(self.rng.uniform(1.0, 5.0), 429 if wait else 503, wait=wait, load=self.report(limit))

    def report(self, limit):
        if self.spec.report == "none" or limit is None:
            return None
        now, (since, told) = self.world.now, self.reported
        if self.spec.report == "fresh" or now - since >= 600.0:
            left = max(0.0, limit.left(now, self.factor))
            self.reported = now, told = now, {"x0": round(left, 3), "x1": self.spec.limit * self.factor}
        return told

    def work(self, endpoint, idents, report):
        now, spec, rng = self.world.now, self.spec, self.rng
        while endpoint.free and endpoint.free[0] <= now:
            heapq.heappop(endpoint.free)
        while endpoint.starts and endpoint.starts[0] <= now:
            endpoint.starts.popleft()
        if len(endpoint.free) < spec.workers:
            start = now
        elif len(endpoint.starts) < spec.queue:
            start = heapq.nsmallest(len(endpoint.free) - spec.workers + 1, endpoint.free)[-1]
            endpoint.starts.append(start)
        else:
            return Reply(2.0, 503, load=report)
        sigma = math.sqrt(math.log(1.0 + spec.work_cv**2))
        work = spec.work_ms * (1.0 + spec.item_cost * (len(idents) - 1)) / self.warmth()
        if sigma:
            work *= rng.lognormvariate(-sigma * sigma / 2.0, sigma)
        if self.modes.get("slow"):
            work *= self.size["slow"]
        work += spec.first_ms
        done = start + work
        heapq.heappush(endpoint.free, done)
        after = done - now
        reply = Reply(after, 200, tuple(idents), start - now, load=report)
        errors = spec.error + (self.size["errors"] if self.modes.get("errors") else 0.0)
        lose = spec.lose + (self.size["lose"] if self.modes.get("lose") else 0.0)
        if errors and rng.random() < errors:
            if len(idents) > 1 and rng.random() < 0.7:  # one text alone fares badly
                reply.states = {ident: "delivered" for ident in idents}
                bad = rng.choice(idents)
                reply.states[bad] = rng.choice(["failed", "refused"])
                reply.ran = tuple(i for i in idents if reply.states[i] != "refused")
            else:
                reply.status = 500
                if rng.random() < 0.5:
                    reply.ran = ()
        elif lose and rng.random() < lose:
            reply.lost = True
        elif self.modes.get("spoil") and rng.random() < self.size["spoil"]:
            reply.spoilt = True
        return reply
