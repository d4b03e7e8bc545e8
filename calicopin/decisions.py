"""The decisions of calicopin: which text goes to which endpoint at what time, and when one is given up.

Make one `Courier` per instance from its `CourierSettings` and pass it every batch of events with
`courier.handle(now, events)`, which returns the actions in order. `calicopin/interface.py` holds the types of
both. The rate limit of a destination is in `route.py`, its slow start after an outage in `slow_start.py`.

Each part is an actor: `Scheduler.post(part, "name", ...)` calls its `on_name`. Times are float milliseconds
of the monotonic clock, rates calls per millisecond.
"""

from collections import Counter, deque
from itertools import accumulate, islice

from calicopin import route_state
from calicopin.departures import Departures
from calicopin.fault_recovery import FaultRecovery
from calicopin.interface import Close, How, Nack, Repeat, Submit, Undeliverable, Wake, Watch
from calicopin.references import NO_RUN, References
from calicopin.reported_limits import is_rate, is_report
from calicopin.route import Route
from calicopin.scheduler import Scheduler
from calicopin.slow_start import COLD, OUT, OUTAGE_STREAK

# Refusals and calls that were given up are no failures.
FAILURES = (How.ERROR, How.TIMEOUT, How.UNREACHED, How.BROKEN)
NEVER_RAN = (How.FULL, How.UNREACHED, How.NOT_SENT)  # outcomes that prove that the submit never ran
MAINTENANCE_INTERVAL_MS = 250.0
MAX_OBSOLETE_TIMERS = 1024  # of texts that have ended; more are dropped before they are due


class Text:
    """One text and what its submits may have done so far.

    `reference` holds it and the others under its reference, None for a text without one.
    """

    def __init__(self, event, dest, product, accepted_at):
        self.ident, self.dest, self.product, self.tries = event.text, dest, product, event.tries
        self.key, self.accepted_at, self.valid_until = (
            event.key if product.in_order else None,
            accepted_at,
            event.valid_until,
        )
        self.call, self.ran_at, self.ran_zone, self.finished = None, event.ran_at, event.ran_zone, False
        self.restored, self.reference, self.reference_name = event.restored, None, None
        self.submitted_in = None  # the last call for which its submit is among the actions

    def first_run(self):
        """(time, zone) of the first submit that may have run, of this text or another one under its
        reference; NO_RUN if there is none.
        """
        if self.reference is not None and len(self.reference.texts) > 1:
            return self.reference.first_run(self)
        return NO_RUN if self.ran_at is None else (self.ran_at, self.ran_zone)

    def submit_deadline(self):
        """The time after which no submit is allowed, so that the text never takes effect twice."""
        ran_at, _ = self.first_run()
        if ran_at is None or self.product.repeat == Repeat.RESENDABLE:
            return self.valid_until
        once_only = self.product.repeat == Repeat.ONCE_ONLY
        return -1.0 if once_only else min(self.valid_until, ran_at + self.product.memory)

    def revenue_share(self, at):
        """The share of the revenue, 0 to 1, that a delivery at the time `at` (ms) still earns."""
        product, late_by = self.product, at - (self.valid_until - self.product.validity + self.product.sla)
        if late_by <= 0.0 or at >= self.valid_until:
            return float(at < self.valid_until)
        if product.late_halves:
            return max(product.late_revenue, 0.5 ** (late_by / product.sla))
        return 1.0 - (1.0 - product.late_revenue) * late_by / (product.validity - product.sla)

    def is_restored_untried(self):
        """Whether a restart restored the text before its first submit. Such a text gets one submit before it
        may be given up early.
        """
        return self.restored and not self.tries

    def nackable(self):
        """Whether a nack is safe: handed in again, the text takes no second effect."""
        by_reference = self.product.repeat == Repeat.REFERENCED and not self.product.memory_by_zone
        return self.first_run() == NO_RUN or self.product.repeat == Repeat.RESENDABLE or by_reference


class Call:
    """One call in flight and the texts that share it: `pending` counts those without an outcome, `size` all
    of them; `idle_before` is how long (ms) its connection was idle before the call, 0 if it was in use or is
    a new one.
    """

    def __init__(self, endpoint, sent_at, texts):
        self.endpoint, self.sent_at, self.pending, self.size, self.last_outcome = (
            endpoint,
            sent_at,
            texts,
            texts,
            None,
        )
        idle = sent_at - endpoint.idle_since
        is_new_connection = idle >= endpoint.kind.current_idle_limit(sent_at)  # idle ones were closed by then
        self.idle_before = 0.0 if endpoint.calls or is_new_connection else idle
        route = endpoint.route
        self.burst = route.slow_start.losses.sent(sent_at, route.usual_latency)


class Kind:
    """One kind of destination, and what its endpoints tell about idle connections.

    `last_unreached_at` is when one of them last refused a connection. `last_stale_at` is when a call last
    found its idle connection closed, and `idle_limit` half of the time (ms) that this connection had been
    idle.
    """

    def __init__(self, partner):
        self.max_bundle, self.per_endpoint_routes, self.last_unreached_at = (
            partner.max_bundle,
            partner.per_endpoint_routes,
            -1e12,
        )
        self.last_stale_at, self.idle_limit, self.endpoints = -1e12, float("inf"), {}

    def note_stale_connection(self, scheduler, idle):
        """A call found its connection closed after `idle` ms: has every endpoint of the kind close what has
        been idle for longer than the new limit before the next call uses it.
        """
        self.idle_limit, self.last_stale_at = (
            min(self.current_idle_limit(scheduler.now), idle / 2.0),
            scheduler.now,
        )
        for endpoint in self.endpoints.values():
            scheduler.post(endpoint, "close_idle")

    def current_idle_limit(self, now):
        """How long (ms) an idle connection may be reused; unlimited once the last stale one is long ago."""
        return self.idle_limit if now < self.last_stale_at + Route.RETENTION_MS else float("inf")


class Endpoint:
    """Sends calls to one endpoint and reports their outcomes to its destination.

    `consecutive_failures` counts the failures since the last delivery. `suspect_idle` holds how long (ms) a
    connection had been idle whose call timed out, or 0, and when that call ended.
    """

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
        # in a row, of all products and of each product
        self.consecutive_failures, self.failures_by_product = 0, Counter()
        self.keep_open_until, self.suspect_idle, kind.endpoints[ident] = 0.0, (0.0, 0.0), self

    def on_close_idle(self):
        """Closes idle connections in two cases.

        An endpoint of the kind refused a connection: endpoints may accept only few, and the idle connections
        of many senders keep out the calls of all. Or a connection was found closed under a call, and a text
        sent over one may have run. After a crash of an endpoint, which breaks idle connections too, this can
        cost needless reconnects.
        """
        now, kind = self.scheduler.now, self.kind
        contended = self.dest.closes_idle and (
            self.keep_open_until <= now < kind.last_unreached_at + Route.RETENTION_MS
        )
        if not self.calls and (contended or self.idle_since + kind.current_idle_limit(now) <= now):
            self.scheduler.actions.append(Close(self.ident))

    def on_send(self, texts):
        """Sends one call with these texts.

        The time-out is a multiple of the usual latency, so that a lost call frees its slot; in an outage it
        is longer, since answers may be slow. While the route is in an outage, one call at a time waits for
        twice the longest time-out so far: else a partner that answers later than any time-out would never
        deliver.
        """
        now, route = self.scheduler.now, self.route
        call, in_outage = Call(self, now, len(texts)), route.mode == OUT
        self.calls.append(call)
        if patient := in_outage and not (route.patient_call and route.patient_call.pending):
            route.patient_call = call
        for text in texts:
            text.call, text.tries = call, text.tries + 1
            self.dest.registry.limit_others(text)
            usual_timeout = (32.0 if in_outage else 8.0) * route.usual_latency or text.product.sla
            if text.product.repeat == Repeat.ONCE_ONLY:  # a time-out ends it: not while it earns in full
                usual_timeout = max(usual_timeout, text.product.sla)
            timeout = min(
                text.valid_until - now,
                max(usual_timeout, 2.0 * route.longest_timeout) if patient else usual_timeout,
            )
            self.scheduler.actions.append(Submit(text.ident, self.ident, max(1.0, timeout)))
            text.submitted_in = call

    def on_outcome(self, text, event):
        """A submit has ended: its slot is free, the endpoint and its route learn from the outcome, and the
        destination decides on the text.
        """
        call, text.call = text.call, None
        call.pending -= 1
        if event.how not in NEVER_RAN and text.ran_at is None:
            text.ran_at, text.ran_zone = call.sent_at, self.zone
        if not call.pending:
            self.release_call(call)
        try:
            self.learn(call, text.product, event)
        finally:  # the text goes on, whatever the endpoint answered
            self.scheduler.post(self.dest, "submit_ended", text, event)

    def learn(self, call, product, event):
        """Updates the endpoint, its kind and its route by the outcome of a submit of the call."""
        outcome, route = event.how, self.route
        # each outcome of a call counts once
        first_of_call, first_of_outcome, call.last_outcome = (
            call.last_outcome is None,
            call.last_outcome != outcome,
            outcome,
        )
        if first_of_call and is_report(event.limit, event.left):
            route.note_limit(event.limit / 1000.0, event.left, call.size)
        if outcome == How.UNREACHED:
            self.delay_next_connection()
        if first_of_call and self.was_stale(call, event):
            self.kind.note_stale_connection(self.scheduler, call.idle_before)
            outcome = How.CALLED_OFF  # not the endpoint's fault, but the text may have run
        if outcome == How.FULL:
            route.refused(call)
        elif outcome == How.TIMEOUT:
            route.longest_timeout = max(route.longest_timeout, event.elapsed)
        if first_of_call:
            self.check_suspect_idle(call, outcome)
        if event.wait > 0.0:
            route.apply_wait(event.wait)
        if first_of_outcome:
            losses, delivered = route.slow_start.losses, outcome == How.DELIVERED
            unreached = outcome == How.UNREACHED
            losses.ended(call.burst, outcome in FAILURES, delivered, first_of_call, unreached)
        if first_of_outcome and outcome == How.DELIVERED:
            self.record_delivery(product, event.elapsed)
        elif first_of_outcome and outcome not in (How.NOT_SENT, How.CALLED_OFF):
            self.record_failure(product, outcome, event.wait, call)

    def release_call(self, call):
        """The last text of a call has its outcome: its slot is free and its connection idle."""
        self.calls.remove(call)
        self.scheduler.post(self.dest.pool, "release", self.dest)
        self.idle_since = self.scheduler.now
        if self.dest.closes_idle:
            self.keep_open_until = self.idle_since + max(self.route.usual_latency, self.dest.tick)
            self.scheduler.schedule(self.keep_open_until, self, "close_idle")
        if (idle_limit := self.kind.current_idle_limit(self.idle_since)) < float("inf"):
            self.scheduler.schedule(self.idle_since + idle_limit, self, "close_idle")

    def delay_next_connection(self):
        """A connection was refused: without a delay a text would use up its submits while the endpoint is
        full or down.
        """
        self.kind.last_unreached_at = self.scheduler.now
        delay = max(self.route.usual_latency, 20.0 * self.dest.tick) * 2.0**self.consecutive_failures
        self.retry_at = self.scheduler.now + delay * (0.5 + self.scheduler.draw(self.ident))

    def was_stale(self, call, event):
        """Whether a call broke since its connection had been closed while it was idle: it did so sooner than
        any answer came.
        """
        broke_at_once = event.how == How.BROKEN and event.elapsed < self.route.fastest_answer
        return broke_at_once and call.idle_before > 0.0

    def check_suspect_idle(self, call, outcome):
        """A time-out may mean a connection that was dropped while it was idle: the next call, on a new one,
        decides.
        """
        if call.sent_at < self.suspect_idle[1]:
            return
        if outcome == How.TIMEOUT:
            self.suspect_idle = (0.0 if self.suspect_idle[0] else call.idle_before, self.scheduler.now)
        elif outcome == How.DELIVERED and self.suspect_idle[0]:
            self.kind.note_stale_connection(self.scheduler, self.suspect_idle[0])
            self.suspect_idle = (0.0, self.scheduler.now)

    def record_delivery(self, product, elapsed):
        """A call was answered as delivered, `elapsed` ms after it was sent."""
        self.route.delivered(elapsed)
        self.dest.bundle_size = min(self.dest.max_bundle, self.dest.bundle_size + 1)
        self.consecutive_failures = 0
        self.failures_by_product[product] //= 2

    def record_failure(self, product, outcome, wait, call):
        """A call failed or was refused; its answer asks to wait for `wait` ms."""
        self.route.failed(outcome.name.lower(), wait)
        failures = int(outcome != How.FULL)
        self.consecutive_failures = min(OUTAGE_STREAK, self.consecutive_failures + failures)
        by_product = self.failures_by_product[product] + failures
        self.failures_by_product[product] = min(OUTAGE_STREAK, by_product)
        if outcome == How.BROKEN:  # one lost answer fails every text of the call
            self.dest.bundle_size = max(1, min(self.dest.bundle_size, call.size // 2))


class Destination:
    """The queue of one destination, first in, first out, and the choice of an endpoint.

    `slots_in_use` counts the slots of its calls, `bundle_size` is how many texts may share a call at present,
    up to `max_bundle`, and `arrival_rate` is its average of accepted texts per ms.
    """

    def __init__(self, scheduler, ident, registry, pool, settings):
        self.scheduler, self.ident, self.registry, self.pool = scheduler, ident, registry, pool
        self.max_attempts, self.tick, self.closes_idle = settings.tries, settings.tick, settings.closes_idle
        self.max_bundle, self.bundle_size = 1, 1e9
        self.inbox, self.queue, self.endpoints, self.routes = deque(), deque(), {}, {}
        (
            self.slot_requested,
            self.dispatch_at,
            self.slots_in_use,
            self.arrivals,
            self.arrival_rate,
            self.last_maintenance,
        ) = False, 0.0, 0, 0, 0.0, 0
        self.released_at = None  # when its last user released it
        self.oldest_restored_at = None  # when the oldest text that a restart found was accepted

    def note_restored(self, at):
        """A restart found a text that was accepted at the time `at` (ms).

        Restored texts go out together, so their calls are counted over the time since the oldest was
        accepted; else the rate limit would follow that burst.
        """
        self.oldest_restored_at = min(
            at, self.scheduler.now if self.oldest_restored_at is None else self.oldest_restored_at
        )
        for route in self.routes.values():
            route.known_since = min(route.known_since, self.oldest_restored_at)

    def on_take(self, text):
        """Queues an accepted text."""
        self.queue.append(text)
        self.arrivals += 1
        if text.tries >= self.max_attempts:  # a restored text without attempts left
            self.scheduler.post(self.registry, "give_up", self.queue.pop(), 0.0, "no attempts left")
        self.on_dispatch()

    def on_submit_ended(self, text, event):
        """A submit has ended: the text is finished, waits for its next submit, or is given up."""
        self.scheduler.post(self.registry, "settle", text, event.how)
        if event.ended or text.finished:
            self.scheduler.post(self.registry, "withdrawn", text.ident)
        elif text.tries >= self.max_attempts:
            self.scheduler.post(self.registry, "give_up", text, 0.0, "no attempts left")
        elif self.scheduler.now >= min(text.valid_until - self.tick, text.submit_deadline()):
            self.scheduler.post(self.registry, "give_up", text, 0.0, "no time left to repeat it")
        else:
            self.requeue(text)
        self.on_dispatch()

    def requeue(self, text):
        """Puts a text back into the queue, in the order of acceptance."""
        at = next(
            (index for index, other in enumerate(self.queue) if other.accepted_at > text.accepted_at),
            len(self.queue),
        )
        self.queue.insert(at, text)
        self.registry.schedule_expiry(text)

    def idle(self):
        """Whether maintenance can be left out: nothing waits, is in flight, was sent lately or warms up."""
        return not (
            self.queue
            or self.slots_in_use
            or any(route.mode == COLD or route.call_times for route in self.routes.values())
        )

    def unused(self):
        """Whether the destination can be forgotten: no text and no endpoint, no restriction in force, and no
        call within the time that routes are remembered.
        """
        horizon, routes = self.scheduler.now - Route.RETENTION_MS, self.routes.values()
        retained = any(
            route.call_times or route.last_call_at >= horizon or route.is_restricted() for route in routes
        )
        return not (self.queue or self.slots_in_use or self.slot_requested or self.endpoints or retained)

    def on_maintain(self, number):
        """Periodic maintenance, run `number`: averages make up for the runs that were skipped while the
        destination was idle.
        """
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
        """Takes a text out of the queue."""
        self.queue = deque(other for other in self.queue if other is not text)

    def expected_answers(self):
        """Yields each waiting text with the time (ms) at which its answer can be expected."""
        rate = max((route.allowed_rate() or 0.0 for route in self.listed_routes()), default=0.0)
        at, interval = (
            self.next_call_at() + self.usual_latency(),
            1.0 / rate / min(self.bundle_size, self.max_bundle) if rate else 0.0,
        )
        for position, text in enumerate(self.queue):
            yield text, at + position * interval

    def give_up_below(self, texts, at, min_share, why):
        """Gives up those of `texts` that would earn less than the share `min_share` if answered at the time
        `at` (ms); `why` goes to the log.
        """
        for text in [
            text for text in texts if text.revenue_share(at) < min_share and not text.is_restored_untried()
        ]:
            self.queue.remove(text)
            self.scheduler.post(self.registry, "give_up", text, at - self.scheduler.now, why)

    def expire_throttled(self, opens):
        """Gives up texts that would earn less than a fifth once the rate limit lets them go, at `opens` (ms):
        their sender can try elsewhere now. Not where answers report a limit, since any answer may free
        some of it.
        """
        if not any(route.limit for route in self.listed_routes()):
            self.give_up_below(self.queue, opens + self.usual_latency(), 0.2, "rate limit delays it too long")

    def listed_routes(self):
        """The routes to the listed endpoints, each once, as keys; most endpoints share one."""
        return {endpoint.route: None for endpoint in self.endpoints.values()}

    def endpoint_openings(self):
        """Each endpoint with the time (ms) from which it takes a call. A shared route is asked once."""
        opens = {route: route.next_call_at() for route in self.listed_routes()}
        return [
            (endpoint, max(opens[endpoint.route], endpoint.retry_at)) for endpoint in self.endpoints.values()
        ]

    def next_call_at(self):
        """The time (ms) at which the first endpoint takes a call; now where none is listed."""
        return min((at for _, at in self.endpoint_openings()), default=self.scheduler.now)

    def next_text(self):
        """The first text in the queue that may go now, or None."""
        return next((text for text in self.queue if self.registry.may_go(text)), None)

    def choose_endpoint(self, text):
        """Draws one of the available endpoints, or returns None. Recent failures and calls in flight lower an
        endpoint's weight. A text that may have run stays in its zone where references are known in one
        zone only.
        """
        by_zone = text.product.memory_by_zone and text.product.repeat == Repeat.REFERENCED
        ran_at, ran_zone = text.first_run()
        zone_bound = ran_at is not None and by_zone
        available = [endpoint for endpoint, at in self.endpoint_openings() if at <= self.scheduler.now]
        eligible = [endpoint for endpoint in available if not (zone_bound and endpoint.zone != ran_zone)]
        weights = [
            0.5 ** max(candidate.consecutive_failures, candidate.failures_by_product[text.product])
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
        """Requests a slot when the first text may go, else schedules itself for when the rate limit allows a
        call.
        """
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
                self.scheduler.schedule(self.dispatch_at, self, "dispatch")
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
        """The usual time (ms) from a call to its answer, of the slowest listed route."""
        return max((route.usual_latency for route in self.listed_routes()), default=0.0)

    def give_up_late(self):
        """Keeps an overloaded queue from delivering every text too late: gives up what would earn nothing or,
        while the newest text would still earn in full, less than half. Where the load is about to fall,
        this gives up texts that could have been delivered.
        """
        at = self.scheduler.now + self.usual_latency()
        min_share = 0.5 if self.queue and self.queue[-1].revenue_share(at) == 1.0 else 1e-9
        self.give_up_below(list(self.queue)[:-1], at, min_share, "queued too long")

    def on_grant(self):
        """A slot was granted: sends the next text, with as many others as may share its call."""
        self.slot_requested = False
        self.give_up_late()
        endpoint = (head := self.next_text()) and self.choose_endpoint(head)
        if not endpoint:
            self.scheduler.post(self.pool, "release", self)
            return
        others = (
            other
            for other in self.queue
            if other is not head and other.first_run() == NO_RUN and self.registry.may_go(other)
        )
        texts = [head, *islice(others, min(self.bundle_size, self.max_bundle) - 1)]
        endpoint.route.take_token(first=not head.tries)
        for text in texts:
            self.queue.remove(text)
        self.scheduler.post(endpoint, "send", texts)
        self.scheduler.post(self, "dispatch")


class Pool:
    """The slots for concurrent calls. The destination that holds the least of its usual need is served first,
    so that one that does not answer comes last.
    """

    def __init__(self, scheduler, slots):
        self.scheduler, self.free, self.inbox, self.requests = scheduler, slots, deque(), []
        self.paused = False  # while set, no call can be made and no slot is granted

    def on_request(self, dest, priority, usual_need):
        """A destination wants a slot; `priority` breaks ties, lower first, and `usual_need` is how many slots
        it usually holds.
        """
        self.requests.append((dest, priority, usual_need))
        self.grant_slots()

    def on_release(self, dest):
        """A destination returns a slot."""
        self.free, dest.slots_in_use = self.free + 1, dest.slots_in_use - 1
        self.grant_slots()

    def on_resume(self):
        """Calls may be possible again."""
        self.grant_slots()

    def grant_slots(self):
        """Grants free slots until none is free or requested."""
        while self.requests and self.free > 0 and not self.paused:
            request = min(
                self.requests,
                key=lambda entry: (entry[0].slots_in_use / max(0.5, entry[2]), entry[1], entry[0].ident),
            )
            self.requests.remove(request)
            self.free, request[0].slots_in_use = self.free - 1, request[0].slots_in_use + 1
            self.scheduler.post(request[0], "grant")


class Registry:
    """The texts that are held. Gives each its one final answer and keeps the order of texts with the same
    key.

    `settling` holds, by key, until when the texts behind a submit that may still run have to wait, and that
    submit's text. After a restart this holds for all keys, until `settled_at`.
    """

    def __init__(self, scheduler, settings):
        self.scheduler, self.capacity, self.tick = scheduler, settings.room, settings.tick
        self.settle, self.max_retry_after = settings.settle, settings.max_retry_after
        self.inbox, self.texts, self.keys, self.settling = deque(), {}, {}, {}
        self.references = References()
        self.settled_at = settings.restarted + settings.settle
        self.obsolete_timers = 0  # at most, of texts that were removed since timers were last dropped

    def on_take(self, text):
        """Registers an accepted text, hands it to its destination, and sheds load if the store is nearly
        full.
        """
        self.register(text)
        self.schedule_expiry(text)
        self.scheduler.post(text.dest, "take", text)
        if len(self.texts) >= self.capacity - max(1, self.capacity // 20):
            self.scheduler.post(self, "shed")

    def register(self, text):
        """Holds a text, in the order of its key."""
        self.texts[text.ident] = text
        if text.key is not None:
            self.keys.setdefault(text.key, deque()).append(text)

    def schedule_expiry(self, text):
        """Has a text given up once it has no time left for a submit."""
        self.scheduler.schedule(
            min(text.valid_until - 2 * self.tick, text.submit_deadline()), self, "expire", text
        )

    def limit_others(self, text):
        """A submit of the text may run: it limits the texts that wait under the same reference."""
        if text.reference is not None:
            for other in text.reference.waiting_beside(text):
                self.schedule_expiry(other)

    def on_shed(self):
        """The store is nearly full: finds the waiting text whose expected answer earns least, and gives up
        the oldest text in its queue that is worth no more.
        """
        dests = dict.fromkeys(
            waiting.dest for waiting in self.texts.values() if waiting.call is None and not waiting.finished
        )
        expected = [
            entry for dest in dests for entry in dest.expected_answers() if not entry[0].is_restored_untried()
        ]
        if expected:
            least, at = min(
                expected, key=lambda entry: entry[0].product.revenue * entry[0].revenue_share(entry[1])
            )
            queue = least.dest.queue  # giving up the oldest text moves all others forward
            oldest = next(
                text
                for text in queue
                if text.product.revenue <= least.product.revenue and not text.is_restored_untried()
            )
            self.on_expire(oldest, at - self.scheduler.now, "store nearly full")

    def may_go(self, text):
        """Whether a text may go now. In the order of its key it has to be the first unfinished text, and
        submits of earlier ones must have had their settle time.
        """
        return (
            not text.finished
            and self.scheduler.now < text.submit_deadline()
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
        """A submit has ended that may still run: the texts behind it wait for the settle time."""
        if text.key is not None and how in (How.TIMEOUT, How.BROKEN, How.CALLED_OFF):
            self.settling[text.key] = (self.scheduler.now + self.settle, text)
            self.scheduler.schedule(self.scheduler.now + self.settle, self, "key_settled", text.key)

    def on_key_settled(self, key):
        """The settle time of a key has passed: its next text may go."""
        if key in self.settling and self.settling[key][0] <= self.scheduler.now:
            del self.settling[key]
            if key in self.keys:
                self.scheduler.post(self.keys[key][0].dest, "dispatch")

    def remove(self, text):
        """Forgets a text unless a call with it is in flight; the next text of its key may go."""
        if text.call is not None:
            return
        if self.texts.pop(text.ident, None) is not None:
            self.drop_obsolete_timers()
        self.references.remove(text)
        queue = self.keys.get(text.key, ())
        if text in queue:
            queue.remove(text)
            if queue:
                self.scheduler.post(queue[0].dest, "dispatch")
            else:
                del self.keys[text.key]

    def drop_obsolete_timers(self):
        """Drops the timers of removed texts, at a cost that is small for each text."""
        self.obsolete_timers += 1
        if self.obsolete_timers >= max(MAX_OBSOLETE_TIMERS, len(self.texts)):
            self.obsolete_timers = 0
            self.scheduler.drop_timers("expire", lambda text, *_: self.texts.get(text.ident) is not text)

    def on_expire(self, text, stay_away=None, why="no time left to send it"):
        """Gives up a waiting text once it has no time left for a submit or, with `stay_away` (ms) given, at
        once: nacked if that is safe, with the advice to stay away for so long.
        """
        due = stay_away is not None or self.scheduler.now >= min(
            text.valid_until - 2 * self.tick, text.submit_deadline()
        )
        if due and text.call is None and not text.finished:
            self.scheduler.post(text.dest, "remove", text)
            self.on_give_up(text, stay_away or 0.0, why)

    def on_give_up(self, text, stay_away, why):
        """Sends the final answer: a nack with the advice to stay away for so long (ms) where that is safe,
        undeliverable otherwise.
        """
        if not text.finished:
            advice = min(stay_away, self.max_retry_after)
            answer = Nack(text.ident, advice, why) if text.nackable() else Undeliverable(text.ident, why)
            text.finished = True
            self.scheduler.actions.append(answer)
            self.remove(text)

    def on_withdrawn(self, ident):
        """The text needs no answer any more."""
        text = self.texts.get(ident)
        if text is not None:
            text.finished = True
            self.scheduler.post(text.dest, "remove", text)
            self.remove(text)


class Courier:
    """One instance of the decisions: holds the parts, passes events on to them, and collects their actions.

    `handle` calls `on_` and the class name of an event in lower case; the scheduler calls the other `on_`
    methods.
    """

    def __init__(self, settings):
        self.scheduler = Scheduler(settings.number, settings.seed)
        self.settings, self.senders, self.fail_back = settings, settings.senders, settings.fail_back
        self.products, self.list_failures = settings.products, 0
        self.kinds = [Kind(partner) for partner in settings.partners]
        self.pool = Pool(self.scheduler, settings.slots)
        self.registry = Registry(self.scheduler, settings)
        self.dests, self.endpoints, self.inbox, self.active, self.maintenance_runs = {}, {}, deque(), {}, 0
        # the endpoints and the destinations that the last batch forgot
        self.departures, self.forgotten_endpoints, self.forgotten_destinations = Departures(), [], []
        self.scheduler.schedule(0.0, self, "maintain")  # after the texts that a restart hands in
        if settings.requests_list:
            self.scheduler.post(self, "request_list")

    def dest(self, ident):
        """The destination of that number; made if it is unknown."""
        if ident not in self.dests:
            self.dests[ident] = Destination(self.scheduler, ident, self.registry, self.pool, self.settings)
        return self.dests[ident]

    def route(self, dest, endpoint):
        """The route to an endpoint that has one of its own (None: the route that all endpoints of the
        destination share); made if there is none.
        """
        if endpoint not in dest.routes:
            name = f"destination {dest.ident}" + ("" if endpoint is None else f" route {endpoint}")
            key = dest.ident, endpoint
            dest.routes[endpoint] = Route(
                self.scheduler, name, self.senders, self.fail_back, key, dest.oldest_restored_at
            )
        return dest.routes[endpoint]

    def handle(self, now, events):
        """Handles a batch of events at the time `now` (ms) and returns the actions in their order. The facade
        and the simulator adapter call it. Raises AttributeError for an event of an unknown type. An exception
        in one decision does not undo the others: it is in `faults` afterwards.
        """
        scheduler = self.scheduler
        scheduler.lag = max(
            0.0,
            scheduler.lag - (now - scheduler.now),
            now - scheduler.timers[0][0] if self.maintenance_runs else 0.0,
        )
        scheduler.now, scheduler.actions, self.forgotten_endpoints, self.forgotten_destinations = (
            now,
            [],
            [],
            [],
        )
        scheduler.faults = []
        for event in events:
            scheduler.contain(getattr(self, "on_" + type(event).__name__.lower()), event)
        scheduler.run()
        if scheduler.faults:
            FaultRecovery(self).run()
        if scheduler.timers and scheduler.timers[0][0] < scheduler.wake_at:
            scheduler.wake_at, scheduler.wake_token = scheduler.timers[0][0], scheduler.wake_token + 1
            scheduler.actions.append(Wake(scheduler.wake_at - now, scheduler.wake_token))
        return scheduler.actions

    @property
    def faults(self):
        """The exceptions of the last batch."""
        return self.scheduler.faults

    def may_begin(self, now, ident, texts):
        """Whether a call that needed time to connect may begin; the facade asks before it sends. Meanwhile
        its endpoint may have left the list, a wait or an outage may have come up, or the time for a submit
        may have run out.
        """
        endpoint = self.endpoints.get(ident)
        return (
            endpoint
            and ident in endpoint.dest.endpoints
            and now >= endpoint.route.blocked_until
            and endpoint.route.slow_start.admits(self.decided_at(texts, now))
            and all(now < self.registry.texts[text].submit_deadline() for text in texts)
        )

    def decided_at(self, texts, now):
        """The time (ms) at which the call that these texts share was decided."""
        return min((self.registry.texts[text].call.sent_at for text in texts), default=now)

    def apply_wait(self, ident, wait):
        """Applies a wait (ms) that an endpoint asked for. The facade calls it where the wait was read only
        after the call's outcome.
        """
        if ident in self.endpoints:
            self.endpoints[ident].route.apply_wait(wait)

    def retry_after(self, dest):
        """After how many ms a text that was turned away for lack of room may be handed in again."""
        return min(
            max(0.0, self.dest(dest).next_call_at() - self.scheduler.now), self.registry.max_retry_after
        )

    def on_maintain(self):
        """Periodic maintenance of the destinations that are not idle."""
        self.scheduler.schedule(self.scheduler.now + MAINTENANCE_INTERVAL_MS, self, "maintain")
        self.maintenance_runs += 1
        self.active = {dest: None for dest in self.active if not dest.idle()}
        for dest in self.active:
            self.scheduler.post(dest, "maintain", self.maintenance_runs)

    def on_woken(self, event):
        """A requested wake-up; an outdated one leaves the newer request in place."""
        self.scheduler.wake_at = (
            float("inf") if event.token == self.scheduler.wake_token else self.scheduler.wake_at
        )

    def text(self, event, dest, accepted_at):
        """The text that was handed in to a destination, held together with others under its reference."""
        text = Text(event, dest, self.products[event.product], accepted_at)
        if event.reference is not None and text.product.repeat == Repeat.REFERENCED:
            self.registry.references.add(text, event.reference)
        return text

    def on_taken(self, event):
        """A text was handed in. Raises IndexError for an unknown product."""
        dest = self.dest(event.dest)
        text = self.text(event, dest, self.scheduler.now)
        if event.restored:
            dest.note_restored(text.valid_until - text.product.validity)
        if dest not in self.active:
            self.active[dest] = None
            self.scheduler.post(dest, "maintain", self.maintenance_runs)
        self.scheduler.post(self.registry, "take", text)

    def on_outcome(self, event):
        """A submit has ended; unknown texts and second outcomes are ignored."""
        text = self.registry.texts.get(event.text)
        if text and text.call:
            text.finished = text.finished or event.ended
            self.scheduler.post(text.call.endpoint, "outcome", text, event)

    def on_withdrawn(self, event):
        """Nothing is owed for a text any more."""
        self.scheduler.post(self.registry, "withdrawn", event.text)

    def on_callspaused(self, event):
        """Pauses or resumes calls. Texts stay in their queues meanwhile, and end when their time is over."""
        self.pool.paused = event.paused
        self.scheduler.post(self.pool, "resume")

    def on_emptied(self, _):
        """A drain: nacks the waiting texts that can safely be handed in elsewhere."""
        for text in [text for text in self.registry.texts.values() if text.call is None and text.nackable()]:
            self.scheduler.post(self.registry, "expire", text, 0.0, "drain")

    def on_request_list(self):
        """Asks for the list of endpoints."""
        self.scheduler.actions.append(Watch())

    def on_listfailed(self, _):
        """The list could not be read, or its watch may have ended: asks again with exponential backoff, well
        within `ask_within`, after which the courier counts as informed in any case.
        """
        self.list_failures += 1
        wait = min(self.settings.ask_within / 4.0, 500.0 * 2.0 ** min(self.list_failures, 8))
        self.scheduler.schedule(
            self.scheduler.now + wait * (0.5 + self.scheduler.draw("list")), self, "request_list"
        )

    def on_listed(self, event):
        """The list of endpoints has changed, or was sent whole."""
        self.list_failures, named, changed = 0, {entry.endpoint: None for entry in event.entries}, {}
        for entry in event.entries:
            dest, kind = self.dest(entry.dest), self.kinds[min(entry.kind, len(self.kinds) - 1)]
            dest.max_bundle, route_key = kind.max_bundle, entry.endpoint if kind.per_endpoint_routes else None
            route = self.route(dest, route_key)
            route.listed_limit = entry.agreed / 1000.0 if is_rate(entry.agreed) else route.listed_limit
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
            (self.endpoints[number] for number in named if number in self.endpoints), self.scheduler.now
        )
        self.forget()

    def forget(self):
        """Forgets endpoints that left the list long ago; their state is kept until then, since they may come
        back. With a released destination, a restriction in force keeps it longer.
        """
        now = self.scheduler.now
        for endpoint in self.departures.overdue(now, Route.RETENTION_MS):
            if endpoint.dest.released_at is not None and endpoint.route.is_restricted():
                self.departures.renew(endpoint, now)
            elif not endpoint.calls:
                self.departures.forget(endpoint)
                del self.endpoints[endpoint.ident], endpoint.kind.endpoints[endpoint.ident]
                endpoint.dest.routes.pop(endpoint.ident, None)
                self.forgotten_endpoints.append(endpoint.ident)

    def on_routestate(self, event):
        """Restores what the last process knew of a route; comes before any text."""
        route = self.route(self.dest(event.dest), event.endpoint)
        route_state.restore(route, event.state, self.scheduler.now, event.continuous)
        route.mark_changed()

    def on_interrupted(self, event):
        """The last process ended while calls to the destination were in flight."""
        dest = self.dest(event.dest)
        for route in list(dest.routes.values()) or [self.route(dest, None)]:
            route.interrupted()

    def on_released(self, event):
        """Nobody uses the destination any more: forgets it after the retention time, or later."""
        if dest := self.dests.get(event.dest):
            unlisted, dest.released_at = list(dest.endpoints.values()), self.scheduler.now
            dest.endpoints.clear()
            self.departures.update(unlisted, self.scheduler.now)
            self.scheduler.schedule(
                self.scheduler.now + Route.RETENTION_MS + MAINTENANCE_INTERVAL_MS,
                self,
                "expire_destination",
                dest,
                dest.released_at,
            )

    def on_expire_destination(self, dest, since):
        """Forgets a destination that was released at `since` (ms), or checks again later if something is
        still known of it.
        """
        if dest.released_at != since:  # it was listed again meanwhile
            return
        self.forget()
        if dest.unused():
            del self.dests[dest.ident]
            self.forgotten_destinations.append(dest.ident)
        else:
            self.scheduler.schedule(
                self.scheduler.now + Route.RETENTION_MS, self, "expire_destination", dest, since
            )
