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
from calicopin.slow_start import COLD, OUT, STREAK

HARMLESS = (How.FULL, How.UNREACHED, How.NOT_SENT)  # these prove that the submit never ran
ROUND = 250.0  # the one periodic timer


class Text:
    """One text and what its submits may have done so far."""

    def __init__(self, event, dest, product, taken):
        self.ident, self.dest, self.product, self.tries = event.text, dest, product, event.tries
        self.key, self.taken, self.until = event.key if product.in_order else None, taken, event.valid_until
        self.call, self.ran_at, self.ran_zone, self.over = None, event.ran_at, event.ran_zone, False
        self.restored = event.restored

    def last_submit(self):
        """Guards 'no double effect': the time after which nothing more may be sent."""
        if self.ran_at is None or self.product.repeat == Repeat.RESENDABLE:
            return self.until
        once = self.product.repeat == Repeat.ONCE_ONLY
        return -1.0 if once else min(self.until, self.ran_at + self.product.memory)

    def earns(self, at):
        """Share of the revenue that a delivery at that time still earns."""
        product, past = self.product, at - (self.until - self.product.validity + self.product.sla)
        if past <= 0.0 or at >= self.until:
            return float(at < self.until)
        if product.late_halves:
            return max(product.late_revenue, 0.5 ** (past / product.sla))
        return 1.0 - (1.0 - product.late_revenue) * past / (product.validity - product.sla)

    def owed_a_call(self):
        """What a restart found taken on and untried is tried before it is given up early."""
        return self.restored and not self.tries and self.ran_at is None

    def nackable(self):
        by_reference = self.product.repeat == Repeat.REFERENCED and not self.product.memory_by_zone
        return self.ran_at is None or self.product.repeat == Repeat.RESENDABLE or by_reference


class Call:
    """One call out, with the texts that share it."""

    def __init__(self, endpoint, sent, texts):
        self.endpoint, self.sent, self.texts, self.size, self.told = endpoint, sent, texts, texts, None
        self.stood = 0.0 if endpoint.calls else sent - endpoint.freed  # for so long its connection was idle


class Kind:
    """One kind of destination; when one of its endpoints last refused a connection, or an idle one was gone
    under the next call, and half of the time for which that had stood."""

    def __init__(self, partner):
        self.bundle, self.apart, self.crowded = partner.bundle, partner.apart, -1e12
        self.reaped, self.trust, self.endpoints = -1e12, float("inf"), {}

    def gone(self, scheduler, stood):
        """What has stood idle for as long is looked at now, before the next call goes over it."""
        self.trust, self.reaped = min(self.trusts(scheduler.now), stood / 2.0), scheduler.now
        for endpoint in self.endpoints.values():
            scheduler.post(endpoint, "rest")

    def trusts(self, now):
        """For how long an idle connection is still believed in."""
        return self.trust if now < self.reaped + Route.IDLE else float("inf")


class Endpoint:
    """Carries calls to one endpoint and tells its destination how they went."""

    def __init__(self, scheduler, ident, zone, dest, route, kind):
        self.scheduler, self.ident, self.zone, self.dest = scheduler, ident, zone, dest
        self.route, self.kind = route, kind
        self.inbox, self.calls, self.seen, self.freed, self.shy = deque(), [], scheduler.now, 1e12, 0.0
        self.misses, self.missed = 0, Counter()  # in a row, of all products and of each
        self.used, self.doubt, kind.endpoints[ident] = 0.0, (0.0, 0.0), self

    def on_rest(self):
        """An idle connection is given back where endpoints of its kind refused one: they may take few, and
        what many senders leave idle there shuts out the calls of all; and where one that stood idle was gone
        under the next call: what goes over it may have run. After a crash it may cost time."""
        now, kind = self.scheduler.now, self.kind
        scarce = self.used <= now < kind.crowded + Route.IDLE
        if not self.calls and (scarce or self.freed + kind.trusts(now) <= now):
            self.scheduler.out.append(Close(self.ident))

    def on_carry(self, texts):
        """Time-outs lie far beyond the usual, so that a lost call frees its slot; one out may be slow. Guards
        against a partner whose answers all come later: while out, one call at a time waits twice the last."""
        now, route = self.scheduler.now, self.route
        call, out = Call(self, now, len(texts)), route.mode == OUT
        self.calls.append(call)
        if patient := out and not (route.patient and route.patient.texts):
            route.patient = call
        for text in texts:
            text.call, text.tries = call, text.tries + 1
            usual = (32.0 if out else 8.0) * route.usual or text.product.sla
            if text.product.repeat == Repeat.ONCE_ONLY:  # its time-out is its end: not before it earns less
                usual = max(usual, text.product.sla)
            limit = min(text.until - now, max(usual, 2.0 * route.cut_off) if patient else usual)
            self.scheduler.out.append(Submit(text.ident, self.ident, max(1.0, limit)))

    def on_outcome(self, text, event):
        call, text.call = text.call, None
        how, route, call.texts = event.how, self.route, call.texts - 1
        fresh, first, call.told = call.told is None, call.told != how, how  # each way it ends counts once
        if not call.texts:
            self.calls.remove(call)
            self.scheduler.post(self.dest.pool, "free", self.dest)
            self.freed = self.scheduler.now
            if self.dest.gives_back:
                self.used = self.freed + max(route.usual, self.dest.tick)
                self.scheduler.later(self.used, self, "rest")
                if (trust := self.kind.trusts(self.freed)) < float("inf"):
                    self.scheduler.later(self.freed + trust, self, "rest")
        if fresh and event.limit is not None:
            route.hint(event.limit / 1000.0, event.left or 0.0, call.size)
        if how == How.UNREACHED:
            self.kind.crowded = self.scheduler.now
            # full or down: at once again, a text would use up its submits
            rest = max(route.usual, 20.0 * self.dest.tick) * 2.0**self.misses
            self.shy = self.scheduler.now + rest * (0.5 + self.scheduler.chance(self.ident))
        if fresh and how == How.BROKEN and 0.0 < call.stood and event.elapsed < route.fastest:
            self.kind.gone(self.scheduler, call.stood)
            how = How.CALLED_OFF  # no fault of the endpoint's, though it may have run
        if how == How.FULL:
            route.full(call)
        elif how == How.TIMEOUT:
            route.cut_off = max(route.cut_off, event.elapsed)
            if fresh and call.sent >= self.doubt[1]:  # the next one, on a new line, tells
                self.doubt = (0.0 if self.doubt[0] else call.stood, self.scheduler.now)
        elif fresh and how == How.DELIVERED and self.doubt[0] and call.sent >= self.doubt[1]:
            self.kind.gone(self.scheduler, self.doubt[0])
            self.doubt = (0.0, self.scheduler.now)
        if event.wait > 0.0:
            route.halt(event.wait)
        if first and how == How.DELIVERED:
            route.delivered(event.elapsed)
            self.dest.bundle = min(self.dest.most, self.dest.bundle + 1)
            self.misses, self.missed[text.product] = 0, self.missed[text.product] // 2
        elif first and how not in (How.NOT_SENT, How.CALLED_OFF):
            route.failed(how.name.lower(), event.wait)
            self.misses = min(STREAK, self.misses + (how != How.FULL))
            self.missed[text.product] = min(STREAK, self.missed[text.product] + (how != How.FULL))
            if how == How.BROKEN:  # all that share a call are lost with its answer
                self.dest.bundle = max(1, min(self.dest.bundle, call.size // 2))
        if how not in HARMLESS and text.ran_at is None:
            text.ran_at, text.ran_zone = call.sent, self.zone
        self.scheduler.post(self.dest, "back", text, event)


class Destination:
    """The queue of one destination, first in first out, and the pick of the endpoint."""

    def __init__(self, scheduler, ident, registry, pool, settings):
        self.scheduler, self.ident, self.registry, self.pool = scheduler, ident, registry, pool
        self.tries, self.tick, self.gives_back = settings.tries, settings.tick, settings.gives_back
        self.most, self.bundle = 1, 1e9
        self.inbox, self.queue, self.endpoints, self.routes = deque(), deque(), {}, {}
        self.wanting, self.wake_at, self.held, self.came, self.load, self.round = False, 0.0, 0, 0, 0.0, 0
        self.released = None  # since when nobody uses it
        self.oldest = None  # since when what a restart found has waited

    def restored_since(self, at):
        """What a restart found was taken on at that time or later: called for at once, it is not the traffic
        of one moment, and a pace must not be made of it."""
        self.oldest = min(at, self.scheduler.now if self.oldest is None else self.oldest)
        for route in self.routes.values():
            route.born = min(route.born, self.oldest)

    def on_take(self, text):
        self.queue.append(text)
        self.came += 1
        if text.tries >= self.tries:  # only a restored one: all its submits were made before the restart
            self.scheduler.post(self.registry, "give_up", self.queue.pop(), 0.0, "no attempt left")
        self.on_pump()

    def on_back(self, text, event):
        """A submit came back: the text is over, waits for its next submit, or is given up at once."""
        self.scheduler.post(self.registry, "settle", text, event.how)
        if event.ended or text.over:
            self.scheduler.post(self.registry, "withdrawn", text.ident)
        elif text.tries >= self.tries:
            self.scheduler.post(self.registry, "give_up", text, 0.0, "no attempt left")
        elif self.scheduler.now >= min(text.until - self.tick, text.last_submit()):
            self.scheduler.post(self.registry, "give_up", text, 0.0, "no time left to repeat it")
        else:
            at = next((i for i, other in enumerate(self.queue) if other.taken > text.taken), len(self.queue))
            self.queue.insert(at, text)
            self.scheduler.later(
                min(text.until - 2 * self.tick, text.last_submit()), self.registry, "lapse", text
            )
        self.on_pump()

    def idle(self):
        return not (self.queue or self.held or any(r.mode == COLD or r.sends for r in self.routes.values()))

    def unused(self):
        """Whether nothing is held or out, nothing binds, and what was learnt is as old as is remembered."""
        past, routes = self.scheduler.now - Route.IDLE, self.routes.values()
        known = any(route.sends or route.sent_at >= past or route.binds() for route in routes)
        return not (self.queue or self.held or self.wanting or self.endpoints or known)

    def on_round(self, number):
        """Periodic; rounds that an idle destination was left out of are made up for."""
        rounds, self.round = number - self.round, number
        for route in self.routes.values():
            route.look(rounds)
        self.load, self.came = self.load + (1.0 - 0.95**rounds) * (self.came / ROUND - self.load), 0
        self.on_pump()

    def on_drop(self, text):
        self.queue = deque(other for other in self.queue if other is not text)

    def turns(self):
        """Each text that waits here, with the time at which its answer may be there."""
        pace = max((route.speed() or 0.0 for route in self.ways()), default=0.0)
        at, step = self.opens() + self.usual(), 1.0 / pace / min(self.bundle, self.most) if pace else 0.0
        for place, text in enumerate(self.queue):
            yield text, at + place * step

    def cull(self, texts, at, least, why):
        """Gives up those of them that would earn less than `least`, answered at that time."""
        for text in [text for text in texts if text.earns(at) < least and not text.owed_a_call()]:
            self.queue.remove(text)
            self.scheduler.post(self.registry, "give_up", text, at - self.scheduler.now, why)

    def expire_early(self, opens):
        """What would earn under a fifth once the bucket opens is given up at once, not held until then: its
        program can ask elsewhere. Where answers name a limit, any of them may open the bucket sooner."""
        if not any(route.limit for route in self.ways()):
            self.cull(self.queue, opens + self.usual(), 0.2, "paced until it is late")

    def ways(self):
        """The routes to the endpoints that are listed; most share one."""
        return {endpoint.route: None for endpoint in self.endpoints.values()}

    def openings(self):
        """Each endpoint with the time from which it takes a call; a route that many share is asked once."""
        opens = {route: route.opens() for route in self.ways()}
        return [(endpoint, max(opens[endpoint.route], endpoint.shy)) for endpoint in self.endpoints.values()]

    def opens(self):
        return min((at for _, at in self.openings()), default=self.scheduler.now)

    def first(self):
        return next((text for text in self.queue if self.registry.turn(text)), None)

    def pick(self, text):
        """One endpoint at random, odds in step with its room; zones bind where references live in one."""
        by_zone = text.product.memory_by_zone and text.product.repeat == Repeat.REFERENCED
        bound = text.ran_at is not None and by_zone
        free = [endpoint for endpoint, at in self.openings() if at <= self.scheduler.now]
        fit = [endpoint for endpoint in free if not (bound and endpoint.zone != text.ran_zone)]
        odds = [0.5 ** max(e.misses, e.missed[text.product]) / (1 + len(e.calls)) for e in fit]
        draw = self.scheduler.chance(text.ident) * sum(odds)
        drawn = (e for e, upto in zip(fit, accumulate(odds), strict=True) if draw < upto)
        return next(drawn, fit[-1] if fit else None)

    def on_pump(self):
        """Ask for a slot when the first in line may go; else come back when a bucket opens."""
        text = None if self.wanting or not self.endpoints else self.first()
        if text is None:
            return
        opens = self.opens()
        if opens > self.scheduler.now:
            self.expire_early(opens)
            for route in self.ways():
                route.waited = True
            if not self.scheduler.now < self.wake_at <= opens:
                self.wake_at = max(opens, self.scheduler.now + self.tick)
                self.scheduler.later(self.wake_at, self, "pump")
            return
        self.wanting = True
        gain = text.product.revenue * min(self.bundle, self.most, len(self.queue)) / max(1.0, self.usual())
        self.scheduler.post(self.pool, "want", self, -gain, self.load * self.usual())

    def usual(self):
        return max((route.usual for route in self.ways()), default=0.0)

    def weed(self):
        """Guards against a standing line in which every text is sent too late to earn: what earns nothing, or
        under half while the newest earns in full, goes at once. It may hurt where the load just falls."""
        at = self.scheduler.now + self.usual()
        least = 0.5 if self.queue and self.queue[-1].earns(at) == 1.0 else 1e-9
        self.cull(list(self.queue)[:-1], at, least, "late in line")

    def on_grant(self):
        """A slot: texts from the head of the line share the call as far as the destination takes it."""
        self.wanting = False
        self.weed()
        endpoint = (head := self.first()) and self.pick(head)
        if not endpoint:
            self.scheduler.post(self.pool, "free", self)
            return
        others = (t for t in self.queue if t is not head and t.ran_at is None and self.registry.turn(t))
        texts = [head, *islice(others, min(self.bundle, self.most) - 1)]
        for text in texts:
            self.queue.remove(text)
        endpoint.route.spend(first=not head.tries)
        self.scheduler.post(endpoint, "carry", texts)
        self.scheduler.post(self, "pump")


class Pool:
    """The slots, dealt to whoever holds least of its usual need: one that hangs comes last."""

    def __init__(self, scheduler, slots):
        self.scheduler, self.free, self.inbox, self.wants = scheduler, slots, deque(), []
        self.paused = False  # no call can be made: nothing is granted

    def on_want(self, dest, order, need):
        self.wants.append((dest, order, need))
        self.deal()

    def on_free(self, dest):
        self.free, dest.held = self.free + 1, dest.held - 1
        self.deal()

    def on_resume(self):
        self.deal()

    def deal(self):
        while self.wants and self.free > 0 and not self.paused:
            want = min(self.wants, key=lambda w: (w[0].held / max(0.5, w[2]), w[1], w[0].ident))
            self.wants.remove(want)
            self.free, want[0].held = self.free - 1, want[0].held + 1
            self.scheduler.post(want[0], "grant")


class Registry:
    """Takes texts, gives each its one final answer, and keeps the order of keys. After a restart all rest."""

    def __init__(self, scheduler, settings):
        self.scheduler, self.room, self.tick = scheduler, settings.room, settings.tick
        self.settle, self.advice = settings.settle, settings.most_advice
        self.inbox, self.texts, self.keys, self.rests = deque(), {}, {}, {}
        self.calm = settings.restarted + settings.settle

    def on_take(self, text):
        self.texts[text.ident] = text
        if text.key is not None:
            self.keys.setdefault(text.key, deque()).append(text)
        self.scheduler.later(min(text.until - 2 * self.tick, text.last_submit()), self, "lapse", text)
        self.scheduler.post(text.dest, "take", text)
        if len(self.texts) >= self.room - max(1, self.room // 20):
            self.scheduler.post(self, "shed")

    def on_shed(self):
        """The store is nearly full: what earns least by its turn makes room for texts that can still go."""
        dests = dict.fromkeys(t.dest for t in self.texts.values() if t.call is None and not t.over)
        turns = [turn for dest in dests for turn in dest.turns() if not turn[0].owed_a_call()]
        if turns:
            least, at = min(turns, key=lambda turn: turn[0].product.revenue * turn[0].earns(turn[1]))
            line = least.dest.queue  # first in, first out: all behind it move up
            oldest = next(
                text
                for text in line
                if text.product.revenue <= least.product.revenue and not text.owed_a_call()
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
                    self.scheduler.now >= self.calm
                    and self.keys[text.key][0] is text
                    and self.rests.get(text.key, (0.0, text))[1] is text
                )
            )
        )

    def on_settle(self, text, how):
        """A submit that may still run lays its key to rest for the texts behind it."""
        if text.key is not None and how in (How.TIMEOUT, How.BROKEN, How.CALLED_OFF):
            self.rests[text.key] = (self.scheduler.now + self.settle, text)
            self.scheduler.later(self.scheduler.now + self.settle, self, "rested", text.key)

    def on_rested(self, key):
        if key in self.rests and self.rests[key][0] <= self.scheduler.now:
            del self.rests[key]
            if key in self.keys:
                self.scheduler.post(self.keys[key][0].dest, "pump")

    def clear(self, text):
        if text.call is not None:
            return
        self.texts.pop(text.ident, None)
        line = self.keys.get(text.key, ())
        if text in line:
            line.remove(text)
            if line:
                self.scheduler.post(line[0].dest, "pump")
            else:
                del self.keys[text.key]

    def on_lapse(self, text, back=None, why="its time is up"):
        """Nothing is sat on: time is up, no submit is allowed any more, or it is handed back for so long."""
        due = back is not None or self.scheduler.now >= min(text.until - 2 * self.tick, text.last_submit())
        if due and text.call is None and not text.over:
            self.scheduler.post(text.dest, "drop", text)
            self.on_give_up(text, back or 0.0, why)

    def on_give_up(self, text, stay_away, why):
        if not text.over:
            text.over, advice = True, min(stay_away, self.advice)
            self.scheduler.out.append(
                Nack(text.ident, advice, why) if text.nackable() else Undeliverable(text.ident, why)
            )
            self.clear(text)

    def on_withdrawn(self, ident):
        text = self.texts.get(ident)
        if text is not None:
            text.over = True
            self.scheduler.post(text.dest, "drop", text)
            self.clear(text)


class Courier:
    """One instance: it owns the parts, hands them what comes in, and collects what goes out."""

    def __init__(self, settings):
        self.scheduler = Scheduler(settings.number, settings.seed)
        self.settings, self.senders, self.fail_back = settings, settings.senders, settings.fail_back
        self.products, self.misses = settings.products, 0
        self.kinds = [Kind(partner) for partner in settings.partners]
        self.pool = Pool(self.scheduler, settings.slots)
        self.registry = Registry(self.scheduler, settings)
        self.dests, self.endpoints, self.inbox, self.live, self.rounds = {}, {}, deque(), {}, 0
        self.departures, self.forgotten, self.faded = Departures(), [], []  # endpoints, destinations
        self.scheduler.later(0.0, self, "round")  # behind the texts that a restart hands in
        if settings.asks:
            self.scheduler.post(self, "ask")

    def dest(self, ident):
        if ident not in self.dests:
            self.dests[ident] = Destination(self.scheduler, ident, self.registry, self.pool, self.settings)
        return self.dests[ident]

    def route(self, dest, place):
        """The route to an endpoint of its own (None: to all of the destination's); made if there is none."""
        if place not in dest.routes:
            name = f"destination {dest.ident}" + ("" if place is None else f" route {place}")
            key = dest.ident, place
            dest.routes[place] = Route(self.scheduler, name, self.senders, self.fail_back, key, dest.oldest)
        return dest.routes[place]

    def handle(self, now, events):
        scheduler = self.scheduler
        scheduler.late = max(
            0.0, scheduler.late - (now - scheduler.now), now - scheduler.due[0][0] if self.rounds else 0.0
        )
        scheduler.now, scheduler.out, self.forgotten, self.faded = now, [], [], []
        for event in events:
            getattr(self, "on_" + type(event).__name__.lower())(event)
        scheduler.run()
        if scheduler.due and scheduler.due[0][0] < scheduler.armed:
            scheduler.armed, scheduler.wakes = scheduler.due[0][0], scheduler.wakes + 1
            scheduler.out.append(Wake(scheduler.armed - now, scheduler.wakes))
        return scheduler.out

    def still(self, now, ident, texts):
        """Whether a call that took its time to connect may begin: list, waits and memories have moved on."""
        endpoint = self.endpoints.get(ident)
        return (
            endpoint
            and ident in endpoint.dest.endpoints
            and now >= endpoint.route.pause
            and endpoint.route.slow_start.admits(self.decided(texts, now))
            and all(now < self.registry.texts[text].last_submit() for text in texts)
        )

    def decided(self, texts, now):
        """When the call that these texts share was decided."""
        return min((self.registry.texts[text].call.sent for text in texts), default=now)

    def halt(self, ident, wait):
        """A told wait that came to light only after the call's outcome."""
        if ident in self.endpoints:
            self.endpoints[ident].route.halt(wait)

    def advice(self, dest):
        """When a text may come again that is turned away because too many are held."""
        return min(max(0.0, self.dest(dest).opens() - self.scheduler.now), self.registry.advice)

    def on_round(self):
        """Only destinations with something going on are looked at: idle ones cost nothing."""
        self.scheduler.later(self.scheduler.now + ROUND, self, "round")
        self.rounds += 1
        self.live = {dest: None for dest in self.live if not dest.idle()}
        for dest in self.live:
            self.scheduler.post(dest, "round", self.rounds)

    def on_woken(self, event):
        self.scheduler.armed = float("inf") if event.token == self.scheduler.wakes else self.scheduler.armed

    def on_taken(self, event):
        dest = self.dest(event.dest)
        text = Text(event, dest, self.products[event.product], self.scheduler.now)
        if event.restored:
            dest.restored_since(text.until - text.product.validity)
        if dest not in self.live:
            self.live[dest] = None
            self.scheduler.post(dest, "round", self.rounds)
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

    def on_ask(self):
        self.scheduler.out.append(Watch())

    def on_listfailed(self, _):
        """The watch may have ended: ask again, later each time, but well before we count as told anyway."""
        self.misses += 1
        wait = min(self.settings.ask_within / 4.0, 500.0 * 2.0 ** min(self.misses, 8))
        self.scheduler.later(self.scheduler.now + wait * (0.5 + self.scheduler.chance("list")), self, "ask")

    def on_listed(self, event):
        self.misses, told, changed = 0, {entry.endpoint: None for entry in event.entries}, {}
        for entry in event.entries:
            dest, kind = self.dest(entry.dest), self.kinds[min(entry.kind, len(self.kinds) - 1)]
            dest.most, place = kind.bundle, entry.endpoint if kind.apart else None
            route = self.route(dest, place)
            route.agreed = entry.agreed / 1000.0 if entry.agreed else route.agreed
            if not entry.ready:
                dest.endpoints.pop(entry.endpoint, None)
            elif entry.endpoint not in dest.endpoints:
                dest.endpoints[entry.endpoint] = self.endpoints.setdefault(
                    entry.endpoint, Endpoint(self.scheduler, entry.endpoint, entry.zone, dest, route, kind)
                )
            changed[dest], dest.released = None, None
        for dest in changed:
            self.scheduler.post(dest, "pump")
        if event.whole:
            for ident in [ident for ident in self.endpoints if ident not in told]:
                told[ident] = self.endpoints[ident].dest.endpoints.pop(ident, None)
        self.departures.note((self.endpoints[i] for i in told if i in self.endpoints), self.scheduler.now)
        self.forget()

    def forget(self):
        """Health is kept for one that may soon be back; of a destination given up also what binds still."""
        now = self.scheduler.now
        for endpoint in self.departures.overdue(now, Route.IDLE):
            if endpoint.dest.released is not None and endpoint.route.binds():
                self.departures.keep(endpoint, now)
            elif not endpoint.calls:
                self.departures.forget(endpoint)
                del self.endpoints[endpoint.ident], endpoint.kind.endpoints[endpoint.ident]
                endpoint.dest.routes.pop(endpoint.ident, None)
                self.forgotten.append(endpoint.ident)

    def on_routestate(self, event):
        """What the last process knew of a route, before any text is handed in."""
        route = self.route(self.dest(event.dest), event.endpoint)
        route_state.restore(route, event.state, self.scheduler.now, event.continuous)
        route.changed_state()

    def on_interrupted(self, event):
        """Calls of the last process were out to that destination when it ended."""
        dest = self.dest(event.dest)
        for route in list(dest.routes.values()) or [self.route(dest, None)]:
            route.interrupted()

    def on_released(self, event):
        """Nobody uses the destination any more: it goes by the same span, or later."""
        if dest := self.dests.get(event.dest):
            left, dest.released = list(dest.endpoints.values()), self.scheduler.now
            dest.endpoints.clear()
            self.departures.note(left, self.scheduler.now)
            self.scheduler.later(self.scheduler.now + Route.IDLE + ROUND, self, "fade", dest, dest.released)

    def on_fade(self, dest, since):
        if dest.released != since:  # it is listed again
            return
        self.forget()
        if dest.unused():
            del self.dests[dest.ident]
            self.faded.append(dest.ident)
        else:
            self.scheduler.later(self.scheduler.now + Route.IDLE, self, "fade", dest, since)
