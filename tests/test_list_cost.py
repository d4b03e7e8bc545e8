"""The cost of one change of the list depends on what it names: the same work at 100 and at 10,000 endpoints,
and the same decisions as without this optimisation.

Work is counted as lines that the interpreter runs, never as time.
"""

import random
import sys
from dataclasses import replace
from functools import partial

import pytest
from courier_helper import make_facade, make_place, make_text
from helper import PRODUCT, DecisionsFixture, submits

from calicopin.decisions import Courier, Endpoint, Route
from calicopin.facade import CallProgress, CallResult
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
from calicopin.state.connections import ConnectionPool


def lines_run(work):
    """How many lines of Python a call runs, counted each time they run."""
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


class ScanningCourier(Courier):
    """The rule on remembered endpoints in its simplest form: every change looks at all of them."""

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
            elif not endpoint.calls and self.scheduler.now - endpoint.last_listed_at > Route.RETENTION_MS:
                del self.endpoints[ident], endpoint.kind.endpoints[ident]
                endpoint.dest.routes.pop(ident, None)


class GeneratedRun:
    """A long generated run of one courier: texts, outcomes of every kind, changes of the list and whole
    lists.
    """

    def __init__(self, seed, make):
        self.rng, self.trace, self.out, self.texts = random.Random(seed), [], [], 0
        slots, apart = self.rng.choice([3, 20]), self.rng.random() < 0.5
        partners = [Partner(self.rng.choice([1, 4]), apart), Partner()]
        settings = DecisionsFixture(
            [replace(PRODUCT, in_order=True)], slots=slots, partners=partners
        ).courier.settings
        self.courier, self.fixture = make(settings), DecisionsFixture()
        self.fixture.courier, self.fixture.now, self.fixture.wake = self.courier, 0.0, None
        self.listed, self.failing = {}, {}

    def entry(self, ident):
        rng = self.rng
        dest = (
            ident % 5 if rng.random() < 0.97 else rng.randrange(5)
        )  # now and then an endpoint moves to another destination
        return Entry(ident, dest, ident % 2, ident % 3, rng.random() < 0.6, rng.choice([None, 20.0]))

    def list_event(self):
        some = self.rng.sample(range(40), self.rng.choice([0, 1, 1, 1, 2, 6, 30]))
        entries = [self.entry(ident) for ident in some]
        if entries and self.rng.random() < 0.1:
            entries += [replace(entries[0], ready=not entries[0].ready)]  # the same one twice in one event
        return Listed(entries, self.rng.random() < 0.1)

    def event(self):
        rng, now = self.rng, self.fixture.now
        kind = rng.random()
        if kind < 0.3:
            return self.list_event()
        if kind < 0.35 and self.texts:
            return Withdrawn(rng.randrange(self.texts))
        if kind < 0.65 and self.out:
            submit = self.out.pop(rng.randrange(len(self.out)))
            how = rng.choice([How.DELIVERED] * 6 + list(How))
            wait = rng.choice([0.0, 0.0, 500.0, 70000.0])
            return Outcome(
                submit.text, submit.endpoint, how, wait, rng.expovariate(0.01), how == How.DELIVERED
            )
        self.texts += 1
        key = rng.choice([None, "a", "b"])
        return Taken(self.texts - 1, rng.randrange(6), 0, now + rng.choice([900.0, 24000.0, 90000.0]), key)

    def step(self):
        after = self.rng.choice([0.0, 5.0, 40.0, 300.0, 300.0, 9000.0, 61000.0])
        events = [self.event() for _ in range(self.rng.choice([1, 1, 2, 5]))]
        for action in self.fixture.step(events, after):
            self.trace.append((self.fixture.now, repr(action)))
            if isinstance(action, Submit):
                self.out.append(action)

    def known(self):
        """What is known of endpoints, and the order in which all of a kind are visited."""
        courier = self.courier
        return (
            sorted(courier.endpoints),
            [list(kind.endpoints) for kind in courier.kinds],
            {ident: (list(dest.routes), list(dest.endpoints)) for ident, dest in courier.dests.items()},
        )


@pytest.mark.parametrize("seed", range(25))
def test_decisions_equal_those_of_a_courier_that_checks_all_endpoints(seed):
    runs = [GeneratedRun(seed, Courier), GeneratedRun(seed, ScanningCourier)]
    for _ in range(120):
        for run in runs:
            run.step()
        assert runs[0].known() == runs[1].known()
    assert runs[0].trace == runs[1].trace and len(runs[0].trace) > 100
    submits = sum(line.startswith("Submit") for _, line in runs[0].trace)
    ends = sum(line.startswith((Nack.__name__, Undeliverable.__name__)) for _, line in runs[0].trace)
    assert submits > 20 and ends > 5, "the run is too short to compare"


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


def test_endpoints_that_left_lately_do_not_raise_the_cost_of_another_change():
    """After the loss of a zone, each change of another endpoint looked at all endpoints that had left."""
    costs = {}
    for left in (10, 1000):
        courier = courier_with(4000)
        courier.handle(10.0, [Listed([Entry(ident, ident // 4, ready=False) for ident in range(left)])])
        costs[left] = lines_run(partial(courier.handle, 20.0, [Listed([Entry(3999, 999, ready=False)])]))
    assert costs[10] == costs[1000]


def test_an_endpoint_is_remembered_for_the_retention_time():
    fixture = DecisionsFixture()
    fixture.step([Listed([])], after=1000.0)
    fixture.step([Listed([Entry(0, 0, ready=False)])], after=500.0)  # last listed at 1000
    fixture.step([Listed([])], after=Route.RETENTION_MS - 500.0)
    assert 0 in fixture.courier.endpoints
    fixture.step([Listed([])], after=1.0)
    assert sorted(fixture.courier.endpoints) == [1]


def facade_with(count):
    return make_facade(places=[listed_place(ident) for ident in range(count)])


def listed_place(ident, **other):
    return make_place(f"s-{ident}", f"127.0.0.1:{10000 + ident % 50000}", dest=ident // 4, **other)


def test_one_changed_entry_costs_the_facade_and_the_connections_the_same_at_any_number():
    costs = {}
    for count in (100, 1000, 10000):
        courier_facade, lines = facade_with(count), ConnectionPool(8, 9000.0)
        lines.set_listed(courier_facade.places.values())

        def change(places, courier_facade=courier_facade, lines=lines):
            former = courier_facade.update_list(places, False)
            now = [courier_facade.places[number] for number in former if number in courier_facade.places]
            lines.update_listed([one for one in former.values() if one], now)
            courier_facade.tick(10.0)

        costs[count] = [
            lines_run(partial(change, [listed_place(5, ready=False)])),
            lines_run(partial(change, [listed_place(5)])),
            lines_run(partial(change, [listed_place(count)])),
            lines_run(partial(change, [listed_place(count, ready=False, left=True)])),
        ]
    assert costs[100] == costs[1000] == costs[10000]


# Released destinations.


def release(fixture, dest=0):
    return fixture.step([Released(dest)])


def test_a_released_destination_is_forgotten_after_the_retention_time_and_not_before():
    fixture = DecisionsFixture()
    fixture.outcome(submits(fixture.take(1))[0])
    fixture.step(after=30000.0)
    release(fixture)
    fixture.step(after=Route.RETENTION_MS)
    assert 0 in fixture.courier.dests and sorted(fixture.courier.endpoints) == [0, 1]
    fixture.step(after=1000.0)
    assert (
        not fixture.courier.dests and not fixture.courier.endpoints and not fixture.courier.kinds[0].endpoints
    )


def test_nothing_is_sent_to_a_released_destination_until_it_is_listed_again():
    fixture = DecisionsFixture()
    release(fixture)
    assert not submits(fixture.take(1))
    assert len(submits(fixture.step([Listed([Entry(0, 0)])]))) == 1
    fixture.step(after=5.0 * Route.RETENTION_MS)
    assert 0 in fixture.courier.dests and 0 in fixture.courier.endpoints


@pytest.mark.parametrize("apart", [False, True])
def test_a_requested_wait_outlasts_the_release_of_its_destination(apart):
    fixture = DecisionsFixture(partners=[Partner(per_endpoint_routes=apart)])
    submit = submits(fixture.take(1))[0]
    fixture.outcome(submit, How.FULL, wait=170000.0, ended=True)
    until = fixture.now + 170000.0
    release(fixture)
    fixture.step(after=100000.0)
    assert 0 in fixture.courier.dests
    fixture.step([Listed([Entry(submit.endpoint, 0)])])
    assert not submits(fixture.take(1, validity=200000.0))
    fixture.step(after=until - fixture.now - 1.0)
    assert len(submits(fixture.done)) == 1
    fixture.step(after=60000.0)
    assert len(submits(fixture.done)) == 2


def test_an_outage_and_texts_outlast_the_release_of_their_destination():
    fixture = DecisionsFixture()
    fixture.outcome(submits(fixture.take(1))[0], How.FULL, wait=4000.0, ended=True)
    route = fixture.courier.dests[0].routes[None]
    assert route.mode == "out"
    release(fixture)
    fixture.step(after=10 * Route.RETENTION_MS)
    assert fixture.courier.dests[0].routes[None] is route
    other = DecisionsFixture()
    out = submits(other.take(1, validity=10 * Route.RETENTION_MS))[0]
    release(other)
    other.step(after=3 * Route.RETENTION_MS)
    assert out.endpoint in other.courier.endpoints and 0 in other.courier.dests
    other.outcome(out)
    other.step(after=3 * Route.RETENTION_MS)
    assert not other.courier.dests and not other.courier.endpoints


def kept_objects(courier_facade):
    """How many objects are kept for destinations and endpoints, in all places."""
    module = courier_facade.decisions
    return dict(
        destinations=len(module.dests),
        endpoints=len(module.endpoints),
        by_kind=[len(kind.endpoints) for kind in module.kinds],
        left=len(module.departures.unlisted),
        live=len(module.active),
        due=len(module.scheduler.timers),
        names=[
            len(table)
            for indices in (courier_facade.dests, courier_facade.endpoints)
            for table in (indices.index, indices.ident)
        ],
        places=len(courier_facade.places),
        places_of=len(courier_facade.places_of),
        unlisted=len(courier_facade.unlisted),
    )  # fmt: skip


def advance(courier_facade, now, span):
    until = now + span
    while (due := courier_facade.tick(now)) <= until:
        now = due
    courier_facade.tick(until)
    return until


def test_nothing_is_left_of_10000_destinations_that_came_and_went():
    courier_facade = make_facade(places=[listed_place(1)])
    now = advance(courier_facade, 0.0, 1000.0)
    before = kept_objects(courier_facade)
    for group in range(100):
        dests = range(10 + 100 * group, 110 + 100 * group)
        courier_facade.update_list(
            [listed_place(4 * dest + some) for dest in dests for some in (0, 1)], False
        )
        courier_facade.update_list(
            [listed_place(4 * dest, ready=False, left=True) for dest in dests[:10]], False
        )
        if group % 10 == 0:
            for dest in dests[:5]:
                courier_facade.add_text(make_text(f"{group}-{dest}", dest=dest, until=now + 900.0))
        now = advance(courier_facade, now, 1000.0)
        for dest in dests:
            courier_facade.release(dest)
        while call := courier_facade.next_call():
            courier_facade.report(call, CallResult(CallProgress.ANSWERED, status=200), 20.0)
        now = advance(courier_facade, now, 1000.0)
    now = advance(courier_facade, now, 2.0 * Route.RETENTION_MS)
    courier_facade.update_list([], False)
    now = advance(courier_facade, now, 1000.0)
    assert kept_objects(courier_facade) == before
    assert courier_facade.knows_destination(0) and not courier_facade.knows_destination(10)


def test_a_destination_that_comes_back_is_served():
    courier_facade = make_facade(places=[listed_place(1), listed_place(40)])
    courier_facade.release(10)
    now = advance(courier_facade, 0.0, 3.0 * Route.RETENTION_MS)
    assert not courier_facade.knows_destination(10)
    courier_facade.update_list([listed_place(40)], False)
    courier_facade.add_text(make_text("a", dest=10, until=now + 5000.0))
    courier_facade.tick(now)
    assert courier_facade.next_call().place.ident == "s-40"
