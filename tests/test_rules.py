"""Compares the decisions with a slow, plain model of the rules on generated input: what they do must be
allowed.
"""

import random

import pytest
from helper import DecisionsFixture

from calicopin.interface import (
    Entry,
    How,
    Listed,
    Nack,
    Outcome,
    Partner,
    Product,
    Repeat,
    Submit,
    Taken,
    Undeliverable,
    Withdrawn,
)

SLACK, SETTLE = 20.0, 700.0
MAY_RUN = (How.ERROR, How.TIMEOUT, How.BROKEN, How.CALLED_OFF, How.DELIVERED)


class Model:
    """What the rules allow."""

    def __init__(self, products, apart, slots, tries):
        self.products, self.apart, self.slots, self.tries = products, apart, slots, tries
        self.texts, self.out, self.listed, self.waits, self.queues, self.settling = {}, {}, {}, {}, {}, {}

    def take(self, event):
        product = self.products[event.product]
        self.texts[event.text] = dict(event=event, product=product, ran=[], tries=0, ended=False)
        if product.in_order and event.key is not None:
            self.queues.setdefault(event.key, []).append(event.text)

    def route(self, endpoint):
        entry = self.listed[endpoint]
        return (entry.dest, endpoint if self.apart[entry.kind] else None)

    def submit(self, now, action):
        text, entry = self.texts[action.text], self.listed[action.endpoint]
        product = text["product"]
        assert not text["ended"], "a submit after the final answer"
        assert action.text not in self.out, "two submits of one text in flight"
        assert entry.ready and entry.dest == text["event"].dest, "an endpoint that may not be called"
        assert now >= self.waits.get(self.route(action.endpoint), 0.0), "a requested wait is ignored"
        assert text["tries"] < self.tries and action.timeout <= text["event"].valid_until - now + 1.0
        if text["ran"]:
            first, zone = text["ran"][0]
            assert product.repeat != Repeat.ONCE_ONLY, "a once-only text may run twice"
            if product.repeat == Repeat.REFERENCED:
                assert now < first + product.memory, "the destination has forgotten the reference"
                assert not product.memory_by_zone or zone == entry.zone, "another zone knows no reference"
        key = text["event"].key
        if product.in_order and key is not None:
            assert self.queues[key][0] == action.text, "out of order"
            until, owner = self.settling.get(key, (0.0, None))
            assert owner == action.text or now >= until, "the settle time of the key is not over"
        text["tries"] += 1
        self.out[action.text] = (now, action)

    def kill(self, now):
        """The courier is killed: calls in flight may have run, waits end, and what is left is restored as it
        was.
        """
        for ident in list(self.out):
            self.outcome(now, Outcome(ident, self.out[ident][1].endpoint, How.BROKEN))
        self.waits.clear()
        for ident, text in self.texts.items():
            if not text["ended"]:
                event, (ran, zone) = text["event"], (text["ran"] or [(None, None)])[0]
                yield Taken(
                    ident,
                    event.dest,
                    event.product,
                    event.valid_until,
                    event.key,
                    0,
                    text["tries"],
                    ran,
                    zone,
                )

    def outcome(self, now, event):
        sent, action = self.out.pop(event.text)
        text = self.texts[event.text]
        if event.how in MAY_RUN:
            text["ran"].append((sent, self.listed[action.endpoint].zone))
        if event.how == How.FULL and event.wait:
            route = self.route(action.endpoint)
            self.waits[route] = max(self.waits.get(route, 0.0), now + event.wait)
        key = text["event"].key
        settles = event.how in (How.TIMEOUT, How.BROKEN, How.CALLED_OFF)
        if text["product"].in_order and key is not None and settles:
            self.settling[key] = (now + SETTLE, event.text)
        text["ended"] = text["ended"] or event.ended
        self.clear(event.text)

    def clear(self, ident):
        queue = self.queues.get(self.texts[ident]["event"].key, [])
        if self.texts[ident]["ended"] and ident not in self.out and ident in queue:
            queue.remove(ident)

    def answer(self, now, action):
        text = self.texts[action.text]
        assert not text["ended"], "two final answers"
        assert now <= text["event"].valid_until + SLACK, "the final answer is late"
        if isinstance(action, Nack) and (text["ran"] or action.text in self.out):
            product = text["product"]
            everywhere = product.repeat == Repeat.REFERENCED and not product.memory_by_zone
            assert product.repeat == Repeat.RESENDABLE or everywhere, "a nack promises too much"
        text["ended"] = True
        self.clear(action.text)


def product(rng):
    return Product(
        rng.choice(list(Repeat)),
        1500.0,
        rng.choice([3000.0, 9000.0]),
        1.0,
        rng.choice([0.0, 0.5]),
        rng.choice([1000.0, 5000.0]),
        rng.random() < 0.3,
        rng.random() < 0.4,
        rng.random() < 0.5,
    )


@pytest.mark.parametrize("seed", range(40))
def test_the_module_does_only_what_the_rules_allow(seed):
    rng = random.Random(seed)
    products, apart = [product(rng) for _ in range(3)], [rng.random() < 0.5, False]
    entries = [Entry(i, i % 4, i % 2, rng.randrange(2), agreed=rng.choice([None, 8.0])) for i in range(9)]
    slots = rng.choice([4, 12, 60])
    failing = {i: rng.choice(list(How)[:6]) for i in range(9) if rng.random() < 0.4}
    model = Model(products, apart, slots, 6)
    terms = dict(
        slots=slots,
        tries=6,
        partners=[Partner(rng.choice([1, 5]), apart[0]), Partner()],
        room=rng.choice([25, 400]),
        settle=SETTLE,
        max_retry_after=2000.0,
    )
    fixture, kills = (
        DecisionsFixture(products, entries, **terms),
        [5100.0, 9000.0, 13000.0] if seed % 2 else [],
    )
    model.listed = {entry.endpoint: entry for entry in entries}
    ends, number, now = [], 0, 0.0

    def check(actions, now):
        for action in actions:
            if isinstance(action, Submit):
                model.submit(now, action)
                how = rng.choices(list(How), [30, 1, 3, 0, 1, 1, 1, 1])[0]
                how = failing.get(action.endpoint, how) if 4000 < now < 12000 else how
                elapsed = action.timeout if how == How.TIMEOUT else rng.expovariate(1 / 200.0)
                if elapsed >= action.timeout:
                    how, elapsed = How.TIMEOUT, action.timeout
                ends.append((now + elapsed, action, how, elapsed))
            elif isinstance(action, (Nack, Undeliverable)):
                model.answer(now, action)

    while now < 28000.0:
        now += 5.0
        if now in kills:
            ends.clear()
            fixture = DecisionsFixture(products, entries, restarted=now, **terms)
            check(fixture.hand(now, list(model.kill(now))), now)
        events = fixture.woken(now)
        for end in [end for end in ends if end[0] <= now]:
            ends.remove(end)
            _, action, how, elapsed = end
            event = Outcome(
                action.text,
                action.endpoint,
                how,
                elapsed=elapsed,
                left=rng.random(),
                limit=rng.choice([None, 0.0, 9.0]),
                wait=rng.choice([0.0, 400.0]) if how == How.FULL else 0.0,
            )
            event.ended = how == How.DELIVERED or model.texts[action.text]["ended"]
            model.outcome(now, event)
            events.append(event)
        if rng.random() < 0.004 and model.texts:
            text = rng.choice(list(model.texts))
            model.texts[text]["ended"] = True
            model.clear(text)
            events.append(Withdrawn(text))
        if now < 18000 and rng.random() < 0.12:
            for _ in range(rng.choice([1, 1, 1, 8])):
                taken = Taken(
                    number,
                    rng.randrange(5),
                    rng.randrange(3),
                    now + rng.choice([-5.0, 2.0, 3000.0, 9000.0]),
                    rng.choice([None, "a", "b"]),
                )
                number += 1
                model.take(taken)
                events.append(taken)
        if rng.random() < 0.004:
            entry = rng.choice(entries)
            entry.ready = not entry.ready
            events.append(Listed([entry]))
        if events:
            check(fixture.hand(now, events), now)
    assert number > 300 and all(text["ended"] for text in model.texts.values()), "a text was lost"
