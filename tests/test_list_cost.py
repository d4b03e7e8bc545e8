"""One change of the list costs by what it names: the same work at 100 and at 10,000 endpoints, the same
decisions as before.

Work is counted as calls and lines that the interpreter runs, never as time.
"""

import random
import sys
from dataclasses import replace
from functools import partial

import pytest
from courier_helper import facade, place, text
from helper import PRODUCT, DecisionsFixture, submits

from calicopin.decisions import Courier, Endpoint, Route
from calicopin.facade import Answer, Far
from calicopin.interface import (
    Entry,
    How,
    Listed,
    Nack,
    Outcome,
    Partner,
    Released,
    Submit,
    Taken,
    Undeliverable,
    Withdrawn,
)
from calicopin.state.connections import Lines


def lines_run(work):
    """How many lines of Python a call runs, each as often as it runs."""
    count, before = 0, sys.gettrace()

    def trace(frame, event, _):
        nonlocal count
        count += event == "line"
        return trace

    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(before)
    return count


class WalkingCourier(Courier):
    """The rule on what is known of endpoints, as plain as it can be: all of them are looked at, at each
    change."""

    def on_listed(self, event):
        self.list_failures, seen, changed = 0, {entry.endpoint for entry in event.entries}, {}
        for entry in event.entries:
            dest, kind = self.dest(entry.dest), self.kinds[min(entry.kind, len(self.kinds) - 1)]
            dest.max_bundle, name = kind.max_bundle, entry.endpoint if kind.per_endpoint_routes else None
            route = dest.routes.get(name)
            if route is None:
                told = f"destination {entry.dest}" + (f" route {name}" if kind.per_endpoint_routes else "")
                route = dest.routes[name] = Route(self.scheduler, told, self.senders, self.fail_back)
            route.listed_limit = entry.agreed / 1000.0 if entry.agreed else route.listed_limit
            if not entry.ready:
                dest.endpoints.pop(entry.endpoint, None)
            elif entry.endpoint not in dest.endpoints:
                dest.endpoints[entry.endpoint] = self.endpoints.setdefault(
                    entry.endpoint, Endpoint(self.scheduler, entry.endpoint, entry.zone, dest, route, kind)
                )
            changed[dest] = None
        for dest in changed:
            self.scheduler.post(dest, "dispatch")
        for ident, endpoint in list(self.endpoints.items()):
            if event.whole and ident not in seen:
                endpoint.dest.endpoints.pop(ident, None)
            if ident in endpoint.dest.endpoints:
                endpoint.last_listed_at = self.scheduler.now
            elif not endpoint.calls and self.scheduler.now - endpoint.last_listed_at > Route.IDLE:
                del self.endpoints[ident], endpoint.kind.endpoints[ident]
                endpoint.dest.routes.pop(ident, None)


class Play:
    """A long generated day of one courier: texts, outcomes of every kind, changes of the list and whole
    lists."""

    def __init__(self, seed, make):
        self.chance, self.trace, self.out, self.texts = random.Random(seed), [], [], 0
        slots, apart = self.chance.choice([3, 20]), self.chance.random() < 0.5
        partners = [Partner(self.chance.choice([1, 4]), apart), Partner()]
        settings = DecisionsFixture(
            [replace(PRODUCT, in_order=True)], slots=slots, partners=partners
        ).courier.settings
        self.courier, self.stand = make(settings), DecisionsFixture()
        self.stand.courier, self.stand.now, self.stand.wake = self.courier, 0.0, None
        self.listed, self.sick = {}, {}

    def entry(self, ident):
        chance = self.chance
        dest = ident % 5 if chance.random() < 0.97 else chance.randrange(5)  # now and then one moves
        return Entry(ident, dest, ident % 2, ident % 3, chance.random() < 0.6, chance.choice([None, 20.0]))

    def list_event(self):
        some = self.chance.sample(range(40), self.chance.choice([0, 1, 1, 1, 2, 6, 30]))
        entries = [self.entry(ident) for ident in some]
        if entries and self.chance.random() < 0.1:
            entries += [replace(entries[0], ready=not entries[0].ready)]  # the same one twice in one event
        return Listed(entries, self.chance.random() < 0.1)

    def event(self):
        chance, now = self.chance, self.stand.now
        kind = chance.random()
        if kind < 0.3:
            return self.list_event()
        if kind < 0.35 and self.texts:
            return Withdrawn(chance.randrange(self.texts))
        if kind < 0.65 and self.out:
            submit = self.out.pop(chance.randrange(len(self.out)))
            how = chance.choice([How.DELIVERED] * 6 + list(How))
            wait = chance.choice([0.0, 0.0, 500.0, 70000.0])
            return Outcome(
                submit.text, submit.endpoint, how, wait, chance.expovariate(0.01), how == How.DELIVERED
            )
        self.texts += 1
        key = chance.choice([None, "a", "b"])
        return Taken(
            self.texts - 1, chance.randrange(6), 0, now + chance.choice([900.0, 24000.0, 90000.0]), key
        )

    def step(self):
        after = self.chance.choice([0.0, 5.0, 40.0, 300.0, 300.0, 9000.0, 61000.0])
        events = [self.event() for _ in range(self.chance.choice([1, 1, 2, 5]))]
        for action in self.stand.step(events, after):
            self.trace.append((self.stand.now, repr(action)))
            if isinstance(action, Submit):
                self.out.append(action)

    def known(self):
        """What is known of endpoints, and of the order in which all of a kind are looked at."""
        courier = self.courier
        return (
            sorted(courier.endpoints),
            [list(kind.endpoints) for kind in courier.kinds],
            {ident: (list(dest.routes), list(dest.endpoints)) for ident, dest in courier.dests.items()},
        )


@pytest.mark.parametrize("seed", range(25))
def test_decisions_are_those_of_a_courier_that_looks_at_all_endpoints(seed):
    plays = [Play(seed, Courier), Play(seed, WalkingCourier)]
    for _ in range(120):
        for play in plays:
            play.step()
        assert plays[0].known() == plays[1].known()
    assert plays[0].trace == plays[1].trace and len(plays[0].trace) > 100
    submits = sum(line.startswith("Submit") for _, line in plays[0].trace)
    ends = sum(line.startswith((Nack.__name__, Undeliverable.__name__)) for _, line in plays[0].trace)
    assert submits > 20 and ends > 5, "the play shows too little"


def courier_with(count):
    entries = [Entry(ident, ident // 4) for ident in range(count)]
    return DecisionsFixture(entries=entries).courier


def test_one_changed_entry_costs_the_decisions_the_same_at_any_number_of_endpoints():
    costs = {}
    for count in (100, 1000, 10000):
        courier = courier_with(count)
        costs[count] = [
            lines_run(partial(courier.handle, 10.0, [Listed([Entry(1, 0, ready=False)])])),
            lines_run(partial(courier.handle, 20.0, [Listed([Entry(1, 0)])])),
            lines_run(partial(courier.handle, 30.0, [Listed([Entry(count, 0)])])),
            lines_run(partial(courier.handle, 40.0, [Listed([])])),
        ]
    assert costs[100] == costs[1000] == costs[10000]


def test_those_that_left_lately_do_not_make_another_change_dearer():
    """A zone's loss is followed by changes of other endpoints: they once looked at all of it."""
    costs = {}
    for left in (10, 1000):
        courier = courier_with(4000)
        courier.handle(10.0, [Listed([Entry(ident, ident // 4, ready=False) for ident in range(left)])])
        costs[left] = lines_run(partial(courier.handle, 20.0, [Listed([Entry(3999, 999, ready=False)])]))
    assert costs[10] == costs[1000]


def test_an_endpoint_is_remembered_for_as_long_as_before():
    stand = DecisionsFixture()
    stand.step([Listed([])], after=1000.0)
    stand.step([Listed([Entry(0, 0, ready=False)])], after=500.0)  # last listed at 1000
    stand.step([Listed([])], after=Route.IDLE - 500.0)
    assert 0 in stand.courier.endpoints
    stand.step([Listed([])], after=1.0)
    assert sorted(stand.courier.endpoints) == [1]


def facade_with(count):
    return facade(places=[row(ident) for ident in range(count)])


def row(ident, **other):
    return place(f"s-{ident}", f"127.0.0.1:{10000 + ident % 50000}", dest=ident // 4, **other)


def test_one_changed_entry_costs_the_facade_and_the_connections_the_same_at_any_number():
    costs = {}
    for count in (100, 1000, 10000):
        house, lines = facade_with(count), Lines(8, 9000.0)
        lines.list(house.places.values())

        def change(places, house=house, lines=lines):
            former = house.listed(places, False)
            now = [house.places[number] for number in former if number in house.places]
            lines.change([one for one in former.values() if one], now)
            house.tick(10.0)

        costs[count] = [
            lines_run(partial(change, [row(5, ready=False)])),
            lines_run(partial(change, [row(5)])),
            lines_run(partial(change, [row(count)])),
            lines_run(partial(change, [row(count, ready=False, left=True)])),
        ]
    assert costs[100] == costs[1000] == costs[10000]


# A destination that nobody uses any more.


def released(stand, dest=0):
    return stand.step([Released(dest)])


def test_a_released_destination_is_forgotten_after_the_span_and_not_before():
    stand = DecisionsFixture()
    stand.outcome(submits(stand.take(1))[0])
    stand.step(after=30000.0)
    released(stand)
    stand.step(after=Route.IDLE)
    assert 0 in stand.courier.dests and sorted(stand.courier.endpoints) == [0, 1]
    stand.step(after=1000.0)
    assert not stand.courier.dests and not stand.courier.endpoints and not stand.courier.kinds[0].endpoints


def test_nothing_is_sent_to_a_released_destination_until_it_is_listed_again():
    stand = DecisionsFixture()
    released(stand)
    assert not submits(stand.take(1))
    assert len(submits(stand.step([Listed([Entry(0, 0)])]))) == 1
    stand.step(after=5.0 * Route.IDLE)
    assert 0 in stand.courier.dests and 0 in stand.courier.endpoints


@pytest.mark.parametrize("apart", [False, True])
def test_a_told_wait_outlasts_the_release_of_its_destination(apart):
    stand = DecisionsFixture(partners=[Partner(apart=apart)])
    submit = submits(stand.take(1))[0]
    stand.outcome(submit, How.FULL, wait=170000.0, ended=True)
    until = stand.now + 170000.0
    released(stand)
    stand.step(after=100000.0)
    assert 0 in stand.courier.dests
    stand.step([Listed([Entry(submit.endpoint, 0)])])
    assert not submits(stand.take(1, validity=200000.0))
    stand.step(after=until - stand.now - 1.0)
    assert len(submits(stand.done)) == 1
    stand.step(after=60000.0)
    assert len(submits(stand.done)) == 2


def test_an_outage_outlasts_the_release_and_what_waits_or_is_out_too():
    stand = DecisionsFixture()
    stand.outcome(submits(stand.take(1))[0], How.FULL, wait=4000.0, ended=True)
    route = stand.courier.dests[0].routes[None]
    assert route.mode == "out"
    released(stand)
    stand.step(after=10 * Route.IDLE)
    assert stand.courier.dests[0].routes[None] is route
    other = DecisionsFixture()
    out = submits(other.take(1, validity=10 * Route.IDLE))[0]
    released(other)
    other.step(after=3 * Route.IDLE)
    assert out.endpoint in other.courier.endpoints and 0 in other.courier.dests
    other.outcome(out)
    other.step(after=3 * Route.IDLE)
    assert not other.courier.dests and not other.courier.endpoints


def things(house):
    """How many objects are kept for destinations and endpoints, wherever."""
    module = house.module
    return dict(
        destinations=len(module.dests),
        endpoints=len(module.endpoints),
        by_kind=[len(kind.endpoints) for kind in module.kinds],
        left=len(module.departures.unlisted),
        live=len(module.live),
        due=len(module.scheduler.timers),
        names=[
            len(table)
            for indices in (house.dests, house.endpoints)
            for table in (indices.index, indices.ident)
        ],
        places=len(house.places),
        places_of=len(house.places_of),
        unlisted=len(house.unlisted),
    )  # fmt: skip


def run_on(house, now, span):
    until = now + span
    while (due := house.tick(now)) <= until:
        now = due
    house.tick(until)
    return until


def test_what_is_kept_is_as_it_was_after_10000_destinations_came_and_went():
    house = facade(places=[row(1)])
    now = run_on(house, 0.0, 1000.0)
    before = things(house)
    for group in range(100):
        dests = range(10 + 100 * group, 110 + 100 * group)
        house.listed([row(4 * dest + some) for dest in dests for some in (0, 1)], False)
        house.listed([row(4 * dest, ready=False, left=True) for dest in dests[:10]], False)
        if group % 10 == 0:
            for dest in dests[:5]:
                house.hand_in(text(f"{group}-{dest}", dest=dest, until=now + 900.0))
        now = run_on(house, now, 1000.0)
        for dest in dests:
            house.release(dest)
        while call := house.pick():
            house.report(call, Answer(Far.ANSWERED, status=200), 20.0)
        now = run_on(house, now, 1000.0)
    now = run_on(house, now, 2.0 * Route.IDLE)
    house.listed([], False)
    now = run_on(house, now, 1000.0)
    assert things(house) == before
    assert house.serves(0) and not house.serves(10)


def test_a_destination_that_comes_back_is_served():
    house = facade(places=[row(1), row(40)])
    house.release(10)
    now = run_on(house, 0.0, 3.0 * Route.IDLE)
    assert not house.serves(10)
    house.listed([row(40)], False)
    house.hand_in(text("a", dest=10, until=now + 5000.0))
    house.tick(now)
    assert house.pick().place.ident == "s-40"
