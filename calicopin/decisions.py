"""The decisions of calicopin; pace and slow start of a destination stand in `route.py` and `slow_start.py`.

How to call it: make one `Courier` an instance, with what is read at start as keyword arguments, then give
`courier.handle(now, events)` every batch of events; it returns the actions, in order.
The types of both are in `calicopin/interface.py`; docs/design.md says what is kept of the design.
"""

from collections import Counter, deque
from itertools import accumulate, islice

from calicopin import route_state
from calicopin.departures import Departures
from calicopin.interface import Close, How, Nack, Repeat, Submit, Undeliverable, Wake, Watch
from calicopin.route import Route
from calicopin.scheduler import Scheduler
from calicopin.slow_start import COLD, OUT, OUTAGE_STREAK

HARMLESS = (How.FULL, How.UNREACHED, How.NOT_SENT)  # these prove that the submit never ran
MAINTENANCE_INTERVAL_MS = 250.0  # the one periodic timer


class Text:
    """One text and what its submits may have done so far."""

    def __init__(self, event, dest, product, accepted_at):
        self.ident, self.dest, self.product, self.tries = event.text, dest, product, event.tries
        self.key, self.accepted_at, self.until = (
            event.key if product.in_order else None,
            accepted_at,
            event.valid_until,
        )
        self.call, self.ran_at, self.ran_zone, self.over = None, event.ran_at, event.ran_zone, False
        self.restored = event.restored

    def last_submit(self):
        """Guards 'no double effect': the time after which nothing more may be sent."""
        if self.ran_at is None or self.product.repeat == Repeat.RESENDABLE:
            return self.until
        once_only = self.product.repeat == Repeat.ONCE_ONLY
        return -1.0 if once_only else min(self.until, self.ran_at + self.product.memory)

    def revenue_share(self, at):
        """Share of the revenue that a delivery at that time still earns."""
        product, late_by = self.product, at - (self.until - self.product.validity + self.product.sla)
        if late_by <= 0.0 or at >= self.until:
            return float(at < self.until)
        if product.late_halves:
            return max(product.late_revenue, 0.5 ** (late_by / product.sla))
        return 1.0 - (1.0 - product.late_revenue) * late_by / (product.validity - product.sla)

    def is_restored_untried(self):
        """What a restart found taken on and untried is tried before it is given up early."""
        return self.restored and not self.tries and self.ran_at is None

    def nackable(self):
        by_reference = self.product.repeat == Repeat.REFERENCED and not self.product.memory_by_zone
        return self.ran_at is None or self.product.repeat == Repeat.RESENDABLE or by_reference


class Call:
    """One call out, with the texts that share it."""

    def __init__(self, endpoint, sent_at, texts):
        self.endpoint, self.sent_at, self.pending, self.size, self.last_outcome = (
            endpoint,
            sent_at,
            texts,
            texts,
            None,
        )
        self.idle_before = (
            0.0 if endpoint.calls else sent_at - endpoint.idle_since
        )  # for so long its connection was idle


class Kind:
    """One kind of destination; when one of its endpoints last refused a connection, or an idle one was gone
    under the next call, and half of the time for which that had stood."""

    def __init__(self, partner):
        self.max_bundle, self.per_endpoint_routes, self.last_unreached_at = (
            partner.bundle,
            partner.apart,
            -1e12,
        )
        self.last_stale_at, self.idle_limit, self.endpoints = -1e12, float("inf"), {}

    def note_stale_connection(self, scheduler, idle):
        """What has stood idle for as long is looked at now, before the next call goes over it."""
        self.idle_limit, self.last_stale_at = (
            min(self.current_idle_limit(scheduler.now), idle / 2.0),
            scheduler.now,
        )
        for endpoint in self.endpoints.values():
            scheduler.post(endpoint, "close_idle")

    def current_idle_limit(self, now):
        """For how long an idle connection is still believed in."""
        return self.idle_limit if now < self.last_stale_at + Route.IDLE else float("inf")


class Endpoint:
    """Carries calls to one endpoint and tells its destination how they went."""

    def __init__(self, scheduler, ident, zone, dest, route, kind):
        self.scheduler, self.ident, self.zone, self.dest = scheduler, ident, zone, dest
        self.route, self.kind = route, kind
        self.inbox, self.calls, self.last_listed_at, self.idle_since, self.retry_at = (
            deque(),
            [],
            scheduler.now,
            1e12,
            0.0,
        )
        self.misses, self.failures_by_product = 0, Counter()  # in a row, of all products and of each
        self.keep_open_until, self.suspect_idle, kind.endpoints[ident] = 0.0, (0.0, 0.0), self

    def on_close_idle(self):
        """An idle connection is given back where endpoints of its kind refused one: they may take few, and
        what many senders leave idle there shuts out the calls of all; and where one that stood idle was gone
        under the next call: what goes over it may have run. After a crash it may cost time."""
        now, kind = self.scheduler.now, self.kind
        contended = self.keep_open_until <= now < kind.last_unreached_at + Route.IDLE
        if not self.calls and (contended or self.idle_since + kind.current_idle_limit(now) <= now):
            self.scheduler.actions.append(Close(self.ident))

    def on_send(self, texts):
        """Time-outs lie far beyond the usual, so that a lost call frees its slot; one out may be slow. Guards
        against a partner whose answers all come later: while out, one call at a time waits twice the last."""
        now, route = self.scheduler.now, self.route
        call, in_outage = Call(self, now, len(texts)), route.mode == OUT
        self.calls.append(call)
        if patient := in_outage and not (route.patient_call and route.patient_call.pending):
            route.patient_call = call
        for text in texts:
            text.call, text.tries = call, text.tries + 1
            usual_timeout = (32.0 if in_outage else 8.0) * route.usual or text.product.sla
            if text.product.repeat == Repeat.ONCE_ONLY:  # its time-out is its end: not before it earns less
                usual_timeout = max(usual_timeout, text.product.sla)
            timeout = min(
                text.until - now,
                max(usual_timeout, 2.0 * route.longest_timeout) if patient else usual_timeout,
            )
            self.scheduler.actions.append(Submit(text.ident, self.ident, max(1.0, timeout)))

    def on_outcome(self, text, event):
        call, text.call = text.call, None
        outcome, route, call.pending = event.how, self.route, call.pending - 1
        first_of_call, first_of_outcome, call.last_outcome = (
            call.last_outcome is None,
            call.last_outcome != outcome,
            outcome,
        )  # each way it ends counts once
        if not call.pending:
            self.calls.remove(call)
            self.scheduler.post(self.dest.pool, "release", self.dest)
            self.idle_since = self.scheduler.now
            if self.dest.closes_idle:
                self.keep_open_until = self.idle_since + max(route.usual, self.dest.tick)
                self.scheduler.later(self.keep_open_until, self, "close_idle")
                if (idle_limit := self.kind.current_idle_limit(self.idle_since)) < float("inf"):
                    self.scheduler.later(self.idle_since + idle_limit, self, "close_idle")
        if first_of_call and event.limit is not None:
            route.note_limit(event.limit / 1000.0, event.left or 0.0, call.size)
        if outcome == How.UNREACHED:
            self.kind.last_unreached_at = self.scheduler.now
            # full or down: at once again, a text would use up its submits
            delay = max(route.usual, 20.0 * self.dest.tick) * 2.0**self.misses
            self.retry_at = self.scheduler.now + delay * (0.5 + self.scheduler.draw(self.ident))
        if (
            first_of_call
            and outcome == How.BROKEN
            and 0.0 < call.idle_before
            and event.elapsed < route.fastest_answer
        ):
            self.kind.note_stale_connection(self.scheduler, call.idle_before)
            outcome = How.CALLED_OFF  # no fault of the endpoint's, though it may have run
        if outcome == How.FULL:
            route.refused(call)
        elif outcome == How.TIMEOUT:
            route.longest_timeout = max(route.longest_timeout, event.elapsed)
            if first_of_call and call.sent_at >= self.suspect_idle[1]:  # the next one, on a new line, tells
                self.suspect_idle = (0.0 if self.suspect_idle[0] else call.idle_before, self.scheduler.now)
        elif (
            first_of_call
            and outcome == How.DELIVERED
            and self.suspect_idle[0]
            and call.sent_at >= self.suspect_idle[1]
        ):
            self.kind.note_stale_connection(self.scheduler, self.suspect_idle[0])
            self.suspect_idle = (0.0, self.scheduler.now)
        if event.wait > 0.0:
            route.halt(event.wait)
        if first_of_outcome and outcome == How.DELIVERED:
            route.delivered(event.elapsed)
            self.dest.bundle_size = min(self.dest.max_bundle, self.dest.bundle_size + 1)
            self.misses, self.failures_by_product[text.product] = (
                0,
                self.failures_by_product[text.product] // 2,
            )
        elif first_of_outcome and outcome not in (How.NOT_SENT, How.CALLED_OFF):
            route.failed(outcome.name.lower(), event.wait)
            self.misses = min(OUTAGE_STREAK, self.misses + (outcome != How.FULL))
            self.failures_by_product[text.product] = min(
                OUTAGE_STREAK, self.failures_by_product[text.product] + (outcome != How.FULL)
            )
            if outcome == How.BROKEN:  # all that share a call are lost with its answer
                self.dest.bundle_size = max(1, min(self.dest.bundle_size, call.size // 2))
        if outcome not in HARMLESS and text.ran_at is None:
            text.ran_at, text.ran_zone = call.sent_at, self.zone
        self.scheduler.post(self.dest, "submit_ended", text, event)


class Destination:
    """The queue of one destination, first in first out, and the pick of the endpoint."""

    def __init__(self, scheduler, ident, registry, pool, settings):
        self.scheduler, self.ident, self.registry, self.pool = scheduler, ident, registry, pool
        self.max_attempts, self.tick, self.closes_idle = settings.tries, settings.tick, settings.gives_back
        self.max_bundle, self.bundle_size = 1, 1e9
        self.inbox, self.queue, self.endpoints, self.routes = deque(), deque(), {}, {}
        (
            self.slot_requested,
            self.dispatch_at,
            self.held,
            self.arrivals,
            self.arrival_rate,
            self.last_maintenance,
        ) = False, 0.0, 0, 0, 0.0, 0
        self.released_at = None  # since when nobody uses it
        self.oldest_restored_at = None  # since when what a restart found has waited

    def note_restored(self, at):
        """What a restart found was taken on at that time or later: called for at once, it is not the traffic
        of one moment, and a pace must not be made of it."""
        self.oldest_restored_at = min(
            at, self.scheduler.now if self.oldest_restored_at is None else self.oldest_restored_at
        )
        for route in self.routes.values():
            route.known_since = min(route.known_since, self.oldest_restored_at)

    def on_take(self, text):
        self.queue.append(text)
        self.arrivals += 1
        if (
            text.tries >= self.max_attempts
        ):  # only a restored one: all its submits were made before the restart
            self.scheduler.post(self.registry, "give_up", self.queue.pop(), 0.0, "no attempt left")
        self.on_dispatch()

    def on_submit_ended(self, text, event):
        """A submit came back: the text is over, waits for its next submit, or is given up at once."""
        self.scheduler.post(self.registry, "settle", text, event.how)
        if event.ended or text.over:
            self.scheduler.post(self.registry, "withdrawn", text.ident)
        elif text.tries >= self.max_attempts:
            self.scheduler.post(self.registry, "give_up", text, 0.0, "no attempt left")
        elif self.scheduler.now >= min(text.until - self.tick, text.last_submit()):
            self.scheduler.post(self.registry, "give_up", text, 0.0, "no time left to repeat it")
        else:
            at = next(
                (index for index, other in enumerate(self.queue) if other.accepted_at > text.accepted_at),
                len(self.queue),
            )
            self.queue.insert(at, text)
            self.scheduler.later(
                min(text.until - 2 * self.tick, text.last_submit()), self.registry, "lapse", text
            )
        self.on_dispatch()

    def idle(self):
        return not (
            self.queue
            or self.held
            or any(route.mode == COLD or route.call_times for route in self.routes.values())
        )

    def unused(self):
        """Whether nothing is held or out, nothing binds, and what was learnt is as old as is remembered."""
        horizon, routes = self.scheduler.now - Route.IDLE, self.routes.values()
        retained = any(
            route.call_times or route.last_call_at >= horizon or route.is_restricted() for route in routes
        )
        return not (self.queue or self.held or self.slot_requested or self.endpoints or retained)

    def on_maintain(self, number):
        """Periodic; rounds that an idle destination was left out of are made up for."""
        intervals, self.last_maintenance = number - self.last_maintenance, number
        for route in self.routes.values():
            route.maintain(intervals)
        self.arrival_rate, self.arrivals = (
            self.arrival_rate
            + (1.0 - 0.95**intervals) * (self.arrivals / MAINTENANCE_INTERVAL_MS - self.arrival_rate),
            0,
        )
        self.on_dispatch()

    def on_remove(self, text):
        self.queue = deque(other for other in self.queue if other is not text)

    def expected_answers(self):
        """Each text that waits here, with the time at which its answer may be there."""
        rate = max((route.speed() or 0.0 for route in self.listed_routes()), default=0.0)
        at, interval = (
            self.next_call_at() + self.usual_latency(),
            1.0 / rate / min(self.bundle_size, self.max_bundle) if rate else 0.0,
        )
        for position, text in enumerate(self.queue):
            yield text, at + position * interval

    def give_up_below(self, texts, at, min_share, why):
        """Gives up those of them that would earn less than `least`, answered at that time."""
        for text in [
            text for text in texts if text.revenue_share(at) < min_share and not text.is_restored_untried()
        ]:
            self.queue.remove(text)
            self.scheduler.post(self.registry, "give_up", text, at - self.scheduler.now, why)

    def expire_throttled(self, opens):
        """What would earn under a fifth once the bucket opens is given up at once, not held until then: its
        program can ask elsewhere. Where answers name a limit, any of them may open the bucket sooner."""
        if not any(route.limit for route in self.listed_routes()):
            self.give_up_below(self.queue, opens + self.usual_latency(), 0.2, "paced until it is late")

    def listed_routes(self):
        """The routes to the endpoints that are listed; most share one."""
        return {endpoint.route: None for endpoint in self.endpoints.values()}

    def endpoint_openings(self):
        """Each endpoint with the time from which it takes a call; a route that many share is asked once."""
        opens = {route: route.opens() for route in self.listed_routes()}
        return [
            (endpoint, max(opens[endpoint.route], endpoint.retry_at)) for endpoint in self.endpoints.values()
        ]

    def next_call_at(self):
        return min((at for _, at in self.endpoint_openings()), default=self.scheduler.now)

    def next_text(self):
        return next((text for text in self.queue if self.registry.turn(text)), None)

    def choose_endpoint(self, text):
        """One endpoint at random, odds in step with its room; zones bind where references live in one."""
        by_zone = text.product.memory_by_zone and text.product.repeat == Repeat.REFERENCED
        zone_bound = text.ran_at is not None and by_zone
        available = [endpoint for endpoint, at in self.endpoint_openings() if at <= self.scheduler.now]
        eligible = [endpoint for endpoint in available if not (zone_bound and endpoint.zone != text.ran_zone)]
        weights = [
            0.5 ** max(candidate.misses, candidate.failures_by_product[text.product])
            / (1 + len(candidate.calls))
            for candidate in eligible
        ]
        threshold = self.scheduler.draw(text.ident) * sum(weights)
        chosen = (
            candidate
            for candidate, cumulative in zip(eligible, accumulate(weights), strict=True)
            if threshold < cumulative
        )
        return next(chosen, eligible[-1] if eligible else None)

    def on_dispatch(self):
        """Ask for a slot when the first in line may go; else come back when a bucket opens."""
        text = None if self.slot_requested or not self.endpoints else self.next_text()
        if text is None:
            return
        opens = self.next_call_at()
        if opens > self.scheduler.now:
            self.expire_throttled(opens)
            for route in self.listed_routes():
                route.demand_waited = True
            if not self.scheduler.now < self.dispatch_at <= opens:
                self.dispatch_at = max(opens, self.scheduler.now + self.tick)
                self.scheduler.later(self.dispatch_at, self, "dispatch")
            return
        self.slot_requested = True
        revenue_rate = (
            text.product.revenue
            * min(self.bundle_size, self.max_bundle, len(self.queue))
            / max(1.0, self.usual_latency())
        )
        self.scheduler.post(
            self.pool, "request", self, -revenue_rate, self.arrival_rate * self.usual_latency()
        )

    def usual_latency(self):
        return max((route.usual for route in self.listed_routes()), default=0.0)

    def give_up_late(self):
        """Guards against a standing line in which every text is sent too late to earn: what earns nothing, or
        under half while the newest earns in full, goes at once. It may hurt where the load just falls."""
        at = self.scheduler.now + self.usual_latency()
        min_share = 0.5 if self.queue and self.queue[-1].revenue_share(at) == 1.0 else 1e-9
        self.give_up_below(list(self.queue)[:-1], at, min_share, "late in line")

    def on_grant(self):
        """A slot: texts from the head of the line share the call as far as the destination takes it."""
        self.slot_requested = False
        self.give_up_late()
        endpoint = (head := self.next_text()) and self.choose_endpoint(head)
        if not endpoint:
            self.scheduler.post(self.pool, "release", self)
            return
        others = (
            other
            for other in self.queue
            if other is not head and other.ran_at is None and self.registry.turn(other)
        )
        texts = [head, *islice(others, min(self.bundle_size, self.max_bundle) - 1)]
        for text in texts:
            self.queue.remove(text)
        endpoint.route.take_token(first=not head.tries)
        self.scheduler.post(endpoint, "send", texts)
        self.scheduler.post(self, "dispatch")


class Pool:
    """The slots, dealt to whoever holds least of its usual need: one that hangs comes last."""

    def __init__(self, scheduler, slots):
        self.scheduler, self.free, self.inbox, self.requests = scheduler, slots, deque(), []
        self.paused = False  # no call can be made: nothing is granted

    def on_request(self, dest, priority, usual_need):
        self.requests.append((dest, priority, usual_need))
        self.grant_slots()

    def on_release(self, dest):
        self.free, dest.held = self.free + 1, dest.held - 1
        self.grant_slots()

    def on_resume(self):
        self.grant_slots()

    def grant_slots(self):
        while self.requests and self.free > 0 and not self.paused:
            request = min(
                self.requests,
                key=lambda entry: (entry[0].held / max(0.5, entry[2]), entry[1], entry[0].ident),
            )
            self.requests.remove(request)
            self.free, request[0].held = self.free - 1, request[0].held + 1
            self.scheduler.post(request[0], "grant")


class Registry:
    """Takes texts, gives each its one final answer, and keeps the order of keys. After a restart all rest."""

    def __init__(self, scheduler, settings):
        self.scheduler, self.capacity, self.tick = scheduler, settings.room, settings.tick
        self.settle, self.advice = settings.settle, settings.most_advice
        self.inbox, self.texts, self.keys, self.settling = deque(), {}, {}, {}
        self.settled_at = settings.restarted + settings.settle

    def on_take(self, text):
        self.texts[text.ident] = text
        if text.key is not None:
            self.keys.setdefault(text.key, deque()).append(text)
        self.scheduler.later(min(text.until - 2 * self.tick, text.last_submit()), self, "lapse", text)
        self.scheduler.post(text.dest, "take", text)
        if len(self.texts) >= self.capacity - max(1, self.capacity // 20):
            self.scheduler.post(self, "shed")

    def on_shed(self):
        """The store is nearly full: what earns least by its turn makes room for texts that can still go."""
        dests = dict.fromkeys(
            waiting.dest for waiting in self.texts.values() if waiting.call is None and not waiting.over
        )
        expected = [
            entry for dest in dests for entry in dest.expected_answers() if not entry[0].is_restored_untried()
        ]
        if expected:
            least, at = min(
                expected, key=lambda entry: entry[0].product.revenue * entry[0].revenue_share(entry[1])
            )
            queue = least.dest.queue  # first in, first out: all behind it move up
            oldest = next(
                text
                for text in queue
                if text.product.revenue <= least.product.revenue and not text.is_restored_untried()
            )
            self.on_lapse(oldest, at - self.scheduler.now, "store nearly full")

    def turn(self, text):
        """Whether a text may go now. Guards the order per key: its first unfinished text, after its rest."""
        return (
            not text.over
            and self.scheduler.now < text.last_submit()
            and (
                text.key is None
                or (
                    self.scheduler.now >= self.settled_at
                    and self.keys[text.key][0] is text
                    and self.settling.get(text.key, (0.0, text))[1] is text
                )
            )
        )

    def on_settle(self, text, how):
        """A submit that may still run lays its key to rest for the texts behind it."""
        if text.key is not None and how in (How.TIMEOUT, How.BROKEN, How.CALLED_OFF):
            self.settling[text.key] = (self.scheduler.now + self.settle, text)
            self.scheduler.later(self.scheduler.now + self.settle, self, "key_settled", text.key)

    def on_key_settled(self, key):
        if key in self.settling and self.settling[key][0] <= self.scheduler.now:
            del self.settling[key]
            if key in self.keys:
                self.scheduler.post(self.keys[key][0].dest, "dispatch")

    def remove(self, text):
        if text.call is not None:
            return
        self.texts.pop(text.ident, None)
        queue = self.keys.get(text.key, ())
        if text in queue:
            queue.remove(text)
            if queue:
                self.scheduler.post(queue[0].dest, "dispatch")
            else:
                del self.keys[text.key]

    def on_lapse(self, text, stay_away=None, why="its time is up"):
        """Nothing is sat on: time is up, no submit is allowed any more, or it is handed back for so long."""
        due = stay_away is not None or self.scheduler.now >= min(
            text.until - 2 * self.tick, text.last_submit()
        )
        if due and text.call is None and not text.over:
            self.scheduler.post(text.dest, "remove", text)
            self.on_give_up(text, stay_away or 0.0, why)

    def on_give_up(self, text, stay_away, why):
        if not text.over:
            text.over, advice = True, min(stay_away, self.advice)
            self.scheduler.actions.append(
                Nack(text.ident, advice, why) if text.nackable() else Undeliverable(text.ident, why)
            )
            self.remove(text)

    def on_withdrawn(self, ident):
        text = self.texts.get(ident)
        if text is not None:
            text.over = True
            self.scheduler.post(text.dest, "remove", text)
            self.remove(text)


class Courier:
    """One instance: it owns the parts, hands them what comes in, and collects what goes out."""

    def __init__(self, settings):
        self.scheduler = Scheduler(settings.number, settings.seed)
        self.settings, self.senders, self.fail_back = settings, settings.senders, settings.fail_back
        self.products, self.list_failures = settings.products, 0
        self.kinds = [Kind(partner) for partner in settings.partners]
        self.pool = Pool(self.scheduler, settings.slots)
        self.registry = Registry(self.scheduler, settings)
        self.dests, self.endpoints, self.inbox, self.live, self.maintenance_runs = {}, {}, deque(), {}, 0
        self.departures, self.forgotten, self.faded = Departures(), [], []  # endpoints, destinations
        self.scheduler.later(0.0, self, "maintain")  # behind the texts that a restart hands in
        if settings.asks:
            self.scheduler.post(self, "request_list")

    def dest(self, ident):
        if ident not in self.dests:
            self.dests[ident] = Destination(self.scheduler, ident, self.registry, self.pool, self.settings)
        return self.dests[ident]

    def route(self, dest, endpoint):
        """The route to an endpoint of its own (None: to all of the destination's); made if there is none."""
        if endpoint not in dest.routes:
            name = f"destination {dest.ident}" + ("" if endpoint is None else f" route {endpoint}")
            key = dest.ident, endpoint
            dest.routes[endpoint] = Route(
                self.scheduler, name, self.senders, self.fail_back, key, dest.oldest_restored_at
            )
        return dest.routes[endpoint]

    def handle(self, now, events):
        scheduler = self.scheduler
        scheduler.late = max(
            0.0,
            scheduler.late - (now - scheduler.now),
            now - scheduler.timers[0][0] if self.maintenance_runs else 0.0,
        )
        scheduler.now, scheduler.actions, self.forgotten, self.faded = now, [], [], []
        for event in events:
            getattr(self, "on_" + type(event).__name__.lower())(event)
        scheduler.run()
        if scheduler.timers and scheduler.timers[0][0] < scheduler.wake_at:
            scheduler.wake_at, scheduler.wake_token = scheduler.timers[0][0], scheduler.wake_token + 1
            scheduler.actions.append(Wake(scheduler.wake_at - now, scheduler.wake_token))
        return scheduler.actions

    def still(self, now, ident, texts):
        """Whether a call that took its time to connect may begin: list, waits and memories have moved on."""
        endpoint = self.endpoints.get(ident)
        return (
            endpoint
            and ident in endpoint.dest.endpoints
            and now >= endpoint.route.pause
            and endpoint.route.slow_start.admits(self.decided_at(texts, now))
            and all(now < self.registry.texts[text].last_submit() for text in texts)
        )

    def decided_at(self, texts, now):
        """When the call that these texts share was decided."""
        return min((self.registry.texts[text].call.sent_at for text in texts), default=now)

    def halt(self, ident, wait):
        """A told wait that came to light only after the call's outcome."""
        if ident in self.endpoints:
            self.endpoints[ident].route.halt(wait)

    def advice(self, dest):
        """When a text may come again that is turned away because too many are held."""
        return min(max(0.0, self.dest(dest).next_call_at() - self.scheduler.now), self.registry.advice)

    def on_maintain(self):
        """Only destinations with something going on are looked at: idle ones cost nothing."""
        self.scheduler.later(self.scheduler.now + MAINTENANCE_INTERVAL_MS, self, "maintain")
        self.maintenance_runs += 1
        self.live = {dest: None for dest in self.live if not dest.idle()}
        for dest in self.live:
            self.scheduler.post(dest, "maintain", self.maintenance_runs)

    def on_woken(self, event):
        self.scheduler.wake_at = (
            float("inf") if event.token == self.scheduler.wake_token else self.scheduler.wake_at
        )

    def on_taken(self, event):
        dest = self.dest(event.dest)
        text = Text(event, dest, self.products[event.product], self.scheduler.now)
        if event.restored:
            dest.note_restored(text.until - text.product.validity)
        if dest not in self.live:
            self.live[dest] = None
            self.scheduler.post(dest, "maintain", self.maintenance_runs)
        self.scheduler.post(self.registry, "take", text)

    def on_outcome(self, event):
        text = self.registry.texts.get(event.text)
        if text and text.call:
            text.over = text.over or event.ended
            self.scheduler.post(text.call.endpoint, "outcome", text, event)

    def on_withdrawn(self, event):
        self.scheduler.post(self.registry, "withdrawn", event.text)

    def on_callspaused(self, event):
        """Messages wait in their queues meanwhile, and end in time."""
        self.pool.paused = event.paused
        self.scheduler.post(self.pool, "resume")

    def on_emptied(self, _):
        """A drain: what may be handed in elsewhere without harm does not wait here."""
        for text in [text for text in self.registry.texts.values() if text.call is None and text.nackable()]:
            self.scheduler.post(self.registry, "lapse", text, 0.0, "drain")

    def on_request_list(self):
        self.scheduler.actions.append(Watch())

    def on_listfailed(self, _):
        """The watch may have ended: ask again, later each time, but well before we count as told anyway."""
        self.list_failures += 1
        wait = min(self.settings.ask_within / 4.0, 500.0 * 2.0 ** min(self.list_failures, 8))
        self.scheduler.later(
            self.scheduler.now + wait * (0.5 + self.scheduler.draw("list")), self, "request_list"
        )

    def on_listed(self, event):
        self.list_failures, named, changed = 0, {entry.endpoint: None for entry in event.entries}, {}
        for entry in event.entries:
            dest, kind = self.dest(entry.dest), self.kinds[min(entry.kind, len(self.kinds) - 1)]
            dest.max_bundle, route_key = kind.max_bundle, entry.endpoint if kind.per_endpoint_routes else None
            route = self.route(dest, route_key)
            route.listed_limit = entry.agreed / 1000.0 if entry.agreed else route.listed_limit
            if not entry.ready:
                dest.endpoints.pop(entry.endpoint, None)
            elif entry.endpoint not in dest.endpoints:
                dest.endpoints[entry.endpoint] = self.endpoints.setdefault(
                    entry.endpoint, Endpoint(self.scheduler, entry.endpoint, entry.zone, dest, route, kind)
                )
            changed[dest], dest.released_at = None, None
        for dest in changed:
            self.scheduler.post(dest, "dispatch")
        if event.whole:
            for ident in [ident for ident in self.endpoints if ident not in named]:
                named[ident] = self.endpoints[ident].dest.endpoints.pop(ident, None)
        self.departures.update(
            (self.endpoints[ident] for ident in named if ident in self.endpoints), self.scheduler.now
        )
        self.forget()

    def forget(self):
        """Health is kept for one that may soon be back; of a destination given up also what binds still."""
        now = self.scheduler.now
        for endpoint in self.departures.overdue(now, Route.IDLE):
            if endpoint.dest.released_at is not None and endpoint.route.is_restricted():
                self.departures.renew(endpoint, now)
            elif not endpoint.calls:
                self.departures.forget(endpoint)
                del self.endpoints[endpoint.ident], endpoint.kind.endpoints[endpoint.ident]
                endpoint.dest.routes.pop(endpoint.ident, None)
                self.forgotten.append(endpoint.ident)

    def on_routestate(self, event):
        """What the last process knew of a route, before any text is handed in."""
        route = self.route(self.dest(event.dest), event.endpoint)
        route_state.restore(route, event.state, self.scheduler.now, event.continuous)
        route.mark_changed()

    def on_interrupted(self, event):
        """Calls of the last process were out to that destination when it ended."""
        dest = self.dest(event.dest)
        for route in list(dest.routes.values()) or [self.route(dest, None)]:
            route.interrupted()

    def on_released(self, event):
        """Nobody uses the destination any more: it goes by the same span, or later."""
        if dest := self.dests.get(event.dest):
            unlisted, dest.released_at = list(dest.endpoints.values()), self.scheduler.now
            dest.endpoints.clear()
            self.departures.update(unlisted, self.scheduler.now)
            self.scheduler.later(
                self.scheduler.now + Route.IDLE + MAINTENANCE_INTERVAL_MS,
                self,
                "expire_destination",
                dest,
                dest.released_at,
            )

    def on_expire_destination(self, dest, since):
        if dest.released_at != since:  # it is listed again
            return
        self.forget()
        if dest.unused():
            del self.dests[dest.ident]
            self.faded.append(dest.ident)
        else:
            self.scheduler.later(self.scheduler.now + Route.IDLE, self, "expire_destination", dest, since)
