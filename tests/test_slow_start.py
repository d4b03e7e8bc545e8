"""Slow start over a restart: what outlives the process, its clocks, and the run-time check."""

import pytest
from courier_helper import make_facade, make_text, take_calls
from helper import PRODUCT, DecisionsFixture, submits

from calicopin import route_state
from calicopin.decisions import Courier
from calicopin.facade import CallProgress, CallResult
from calicopin.handover.state import snapshot
from calicopin.interface import (
    CourierSettings,
    Entry,
    FailBack,
    How,
    Interrupted,
    Listed,
    Outcome,
    Partner,
    RouteState,
    Taken,
)
from calicopin.route import Route
from calicopin.slow_start import COLD, OUT, WELL, SlowStart
from calicopin.state.journal import Journal, RouteStates
from calicopin.state.texts import Text
from calicopin.store.segments import Segments
from calicopin.system import System

RULE = FailBack(0.2, 10000.0, 2.0, 3000.0)
WALL, LASTING = 1_790_000_000_000.0, 60000.0


class Machine(System):
    """A system whose clocks the test sets; `boot` identifies the boot."""

    def __init__(self, now=1000.0, offset=WALL, run="first"):
        self.at, self.offset, self.run = now, offset, run

    def now(self):
        return self.at

    def wall_clock_ms(self):
        return self.at + self.offset

    def boot_id(self):
        return self.run


def open_journal(kind, folder, machine):
    told = (
        str(folder),
        200_000,
        machine.wall_clock_ms() - machine.now(),
        machine,
        LASTING,
        machine.boot_id(),
    )
    return Segments(*told) if kind == "segments" else Journal(*told)


def new_courier(now=0.0):
    """The decisions of a new process, before any list."""
    courier = Courier(
        CourierSettings(
            seed=7,
            number=0,
            senders=20,
            tick=5.0,
            slots=40,
            room=200,
            tries=8,
            products=[PRODUCT],
            partners=[Partner()],
            fail_back=RULE,
        )
    )
    courier.handle(now, [])
    return courier


def after_failures(how=How.ERROR, failures=5):
    """The decisions of a process that has seen these failures, five calls in flight at a time."""
    fixture = DecisionsFixture(senders=20)
    fixture.step(after=100.0)
    for submit in submits(fixture.take(failures))[:failures]:
        fixture.outcome(submit, how, elapsed=60.0)
    return fixture


def route_of(courier, dest=0):
    return courier.dests[dest].routes[None]


def test_an_outage_outlives_the_process_with_its_bucket():
    fixture = after_failures()
    before = route_of(fixture.courier)
    assert before.mode == OUT and before.has_stored_state
    told = route_state.values(before)
    new = new_courier(fixture.now + 700.0)
    new.handle(fixture.now + 700.0, [RouteState(0, None, told, True), Listed([Entry(0, 0)], whole=True)])
    fixture.step(after=700.0)
    after = route_of(new)
    assert (after.mode, after.slow_start.since) == (OUT, before.slow_start.since)
    unaware, opens = new_courier(fixture.now), before.next_call_at()
    unaware.handle(fixture.now, [Listed([Entry(0, 0)], whole=True)])
    assert route_of(unaware).next_call_at() == fixture.now, "a courier that knows of no outage calls at once"
    assert opens <= after.next_call_at() <= opens + 1000.0, "no sooner than without a restart, nor much later"
    assert after.tokens <= before.tokens, "no tokens were saved up while there was no process"


@pytest.mark.parametrize("kind", ["file", "segments"])
def test_the_journal_keeps_a_restriction_until_it_ends(tmp_path, kind):
    machine = Machine()
    journal = open_journal(kind, tmp_path, machine)
    state = route_state.values(route_of(after_failures().courier))
    journal.route(7, None, state)
    journal.route(8, "s-1", state)
    journal.flush()
    again = open_journal(kind, tmp_path, machine)
    assert set(again.routes.states) == {(7, None), (8, "s-1")} and again.continuous
    assert again.routes.states[7, None]["since"] == pytest.approx(state["since"], abs=0.11)
    third = open_journal(kind, tmp_path, machine)  # reads what the second one wrote
    assert set(third.routes.states) == {(7, None), (8, "s-1")}
    third.route(7, None, None)
    third.flush()
    assert set(open_journal(kind, tmp_path, machine).routes.states) == {(8, "s-1")}


@pytest.mark.parametrize("step", [-3_600_000.0, -2000.0, 2000.0, 3_600_000.0])
def test_a_stepped_wall_clock_shifts_no_time_of_an_outage(tmp_path, step):
    machine = Machine()
    journal = open_journal("file", tmp_path, machine)
    state = route_state.values(route_of(after_failures().courier))
    journal.route(7, None, state)
    journal.flush()
    machine.at, machine.offset = 5000.0, WALL + step
    again = open_journal("file", tmp_path, machine)
    assert again.continuous
    assert again.routes.states[7, None]["since"] == pytest.approx(state["since"], abs=0.11)


@pytest.mark.parametrize("mode", [OUT, COLD])
def test_after_a_reboot_no_time_counts_as_passed(tmp_path, mode):
    """The wall clock may have been stepped meanwhile: a cold destination counts as cold from now on."""
    fixture = after_failures()
    route = route_of(fixture.courier)
    route.slow_start.mode, route.slow_start.warm_at = mode, fixture.now + 10000.0
    journal = open_journal("file", tmp_path, Machine(now=fixture.now))
    journal.route(7, None, route_state.values(route))
    journal.flush()
    later = Machine(now=50.0, offset=WALL + 3_600_000.0, run="second")
    again = open_journal("file", tmp_path, later)
    assert not again.continuous
    new = new_courier(50.0)
    new.handle(50.0, [RouteState(0, None, again.routes.states[7, None], again.continuous)])
    known = route_of(new).slow_start
    assert (known.mode, known.since, known.warm_at) == (mode, 50.0, 10050.0)


def test_a_requested_wait_outlives_the_process_and_never_grows(tmp_path):
    fixture = DecisionsFixture()
    fixture.outcome(submits(fixture.take(1))[0], How.FULL, wait=2500.0)
    route = route_of(fixture.courier)
    assert route.has_stored_state
    told = route_state.values(route)
    for continuous, now, left in ((True, fixture.now + 1000.0, 1500.0), (False, 20.0, 2500.0)):
        new = new_courier(now)
        new.handle(now, [RouteState(0, None, told, continuous)])
        assert route_of(new).blocked_until == pytest.approx(now + left, abs=1.0)


def test_a_call_cut_off_by_the_end_of_the_process_counts_as_one_failure(tmp_path):
    machine = Machine(now=10000.0)
    journal = open_journal("file", tmp_path, machine)
    for number, sent in enumerate((9000.0, 8000.0)):
        text = Text(f"t{number}", 7, 0, None, None, 60000.0, b"")
        journal.accepted(text)
        journal.sent(text, sent, "a")
    journal.flush()
    again = open_journal("file", tmp_path, machine)
    assert list(again.interrupted) == [7]
    new = new_courier(12000.0)
    new.handle(12000.0, [Interrupted(0)])
    known = route_of(new).slow_start
    assert known.failures == 1 and not known.is_throttled(14999.0) and known.is_throttled(15001.0)
    known.delivered(12100.0)
    assert not known.is_throttled(20000.0)


def test_a_call_decided_before_an_outage_does_not_begin_in_it():
    """Its connection was established late: it was decided on what was known when the connection was begun."""
    fixture = DecisionsFixture(senders=20)
    first, *others = submits(fixture.take(6))
    assert fixture.courier.may_begin(fixture.now, first.endpoint, [first.text])
    fixture.step(after=10.0)
    for submit in others:
        fixture.outcome(submit, How.ERROR, elapsed=60.0)
    assert route_of(fixture.courier).mode == OUT
    assert not fixture.courier.may_begin(fixture.now, first.endpoint, [first.text])


def test_calls_beyond_the_part_of_a_throttled_sender_are_counted():
    throttled = SlowStart(RULE, senders=20)
    throttled.mode, throttled.since = OUT, 0.0
    rate = throttled.shared_rate(1000.0, 0.0)
    assert (
        all(throttled.record_call(1000.0 + 100.0 * turn, rate) for turn in range(2))
        and not throttled.violations
    )
    assert not throttled.record_call(1300.0, rate) and throttled.violations == 1
    assert throttled.record_call(1300.0 + 2.0 * RULE.span, rate), "another window"


def test_calls_of_a_sender_that_is_not_throttled_are_not_counted():
    free = SlowStart(RULE, senders=20)
    assert free.mode == WELL and all(free.record_call(10.0 * turn, 0.001) for turn in range(100))


@pytest.mark.parametrize("failures", [1, 4])
def test_after_a_restart_one_call_probes_where_the_last_calls_failed(failures):
    """The failures have not lasted for the rule's span and are no suspected outage yet, but all waiting texts
    would go at once.
    """
    fixture = after_failures(failures=failures)
    assert route_of(fixture.courier).mode == WELL
    new, now = new_courier(fixture.now + 700.0), fixture.now + 700.0
    texts = [Taken(number, 0, 0, now + 20000.0, restored=True) for number in range(10)]
    state = RouteState(0, None, route_state.values(route_of(fixture.courier)), True)
    done = new.handle(now, [state, Listed([Entry(0, 0)], whole=True), *texts])
    first = submits(done)
    assert len(first) <= 1
    if failures == 1:
        told = Outcome(first[0].text, 0, How.DELIVERED, 0.0, 150.0, True)
        assert len(submits(new.handle(now + 150.0, [told]))) == 9, "after one delivery the others go"


def test_a_burst_does_not_count_as_the_usual_rate():
    """Sixty messages handed in at once made each of 12 senders count on five calls a second, more than the
    destination could bear: the calls of the first second counted as the usual rate.
    """
    fixture = DecisionsFixture(senders=20)
    assert len(submits(fixture.take(5))) == 5
    fixture.step(after=1000.0)
    assert 0.0 < route_of(fixture.courier).usual_rate < 0.3 / 1000.0
    for _ in range(60):
        fixture.step(after=1000.0)
        for submit in submits(fixture.take(1)):
            fixture.outcome(submit, elapsed=150.0)
    assert route_of(fixture.courier).usual_rate == pytest.approx(1.0 / 1000.0, rel=0.3), "a lasting rate does"


def test_a_rate_limit_outlives_the_process_so_that_waiting_texts_do_not_go_at_once():
    """42 messages were sent at one moment where 4.8 a second arrived: they had waited for the token bucket,
    and the next process did not know its rate.
    """
    fixture = DecisionsFixture(senders=20)
    (first,) = submits(fixture.take(1))
    fixture.outcome(first, How.FULL)
    route = route_of(fixture.courier)
    assert route.rate and route.has_stored_state
    new = new_courier(fixture.now)
    texts = [Taken(number, 0, 0, fixture.now + 20000.0, restored=True) for number in range(40)]
    state = RouteState(0, None, route_state.values(route), True)
    done = new.handle(fixture.now, [state, Listed([Entry(0, 0)], whole=True), *texts])
    assert route_of(new).rate == route.rate and not submits(done)


def test_a_rate_limit_is_journalled_when_it_changes_and_not_with_each_call():
    fixture = DecisionsFixture()
    (first,) = submits(fixture.take(1))
    fixture.outcome(first, How.FULL)
    scheduler = fixture.courier.scheduler
    assert list(scheduler.changed_routes) == [route_of(fixture.courier)]
    (again,) = submits(fixture.step(after=5000.0))
    fixture.outcome(again)  # the text had waited: the rate rises
    fixture.step(after=10000.0)
    scheduler.changed_routes.clear()
    (free,) = submits(fixture.take(1))
    fixture.outcome(free)
    assert not scheduler.changed_routes


def test_states_that_do_not_fit_are_dropped_rate_limits_before_outages():
    kept = RouteStates()
    kept.put((1, None), {"mode": OUT}, 100)
    kept.put((2, None), {"mode": WELL}, 100)
    kept.put((3, None), {"mode": WELL}, 100)
    assert (
        kept.evict_beyond(250) == [(2, None)]
        and kept.evict_beyond(100) == [(3, None)]
        and kept.evict_beyond(50) == [(1, None)]
    )
    assert not kept.size and not kept.states


def test_the_stored_state_of_a_destination_is_dropped_with_it():
    """The records of a released destination would stay in the journal for good."""
    courier_facade = make_facade()
    courier_facade.add_text(make_text("t1"))
    courier_facade.tick(10.0)
    (call,) = take_calls(courier_facade)
    courier_facade.report(call, CallResult(CallProgress.ANSWERED, status=429), 40.0)
    courier_facade.tick(50.0)
    assert [key[:2] for key in courier_facade.changed_routes()] == [(7, None)]
    courier_facade.withdraw(next(iter(courier_facade.texts.values())))
    courier_facade.release(7)
    now = 50.0
    while now < 300000.0 and 7 in courier_facade.dests.index:
        now = max(now + 250.0, courier_facade.tick(now) if courier_facade.wake else now)
        courier_facade.tick(now)
    assert courier_facade.dropped_destinations() == [7] and courier_facade.dropped_destinations() == []
    kept = RouteStates()
    kept.put((7, None), {"mode": WELL}, 100)
    kept.put((8, None), {"mode": WELL}, 100)
    assert kept.keys_of(7) == [(7, None)]


def test_a_message_that_fails_over_and_over_does_not_raise_the_rate_limit():
    """Couriers refused at the last moment of an outage continued at the rate of their own repeats: 41 calls
    in 2.5 s where a returning destination bore 31.6.
    """
    fixture = DecisionsFixture(senders=40)
    (one,) = submits(fixture.take())
    for _ in range(4):
        (one,) = submits(fixture.outcome(one, How.ERROR, elapsed=100.0))
    fixture.outcome(one, How.FULL, elapsed=10.0)
    (route,) = fixture.courier.dests[0].routes.values()
    assert 0.0 < route.rate <= Route.CUT_FACTOR * 1.0 / 1000.0, "one message in a second, and not five calls"


# The stored and sent forms: outer names stay as they are.

STORED_FIELDS = (
    "rate start agreed limit tokens filled pause cut_at changed waited left sent_at usual flow cut_off "
    "mode since fails refused last_refused fail_since failed_at doubted gap warm_at "
    "excess failing losses evidence half presumed"
).split()


def test_the_stored_state_of_a_route_keeps_its_field_names_and_order():
    route = route_of(DecisionsFixture().courier)
    assert list(route_state.values(route)) == STORED_FIELDS
    state = {name: float(place) for place, name in enumerate(STORED_FIELDS)}
    route_state.set_values(route, state)
    assert route_state.values(route) == state
    assert route_state.packed(state) == list(state.values())
    assert route_state.unpacked(route_state.packed(state)) == state
    bucket = route.rate, route.initial_rate, route.listed_limit, route.limit, route.tokens, route.refilled_at
    assert bucket == tuple(map(float, range(6)))
    pace = route.blocked_until, route.cut_at, route.changed_at, route.demand_waited, route.limit_left
    assert pace == tuple(map(float, range(6, 11)))
    averages = route.last_call_at, route.usual_latency, route.usual_rate, route.longest_timeout
    assert averages == tuple(map(float, range(11, 15)))
    known = route.slow_start
    assert (known.mode, known.since, known.failures) == (15.0, 16.0, 17.0)
    assert (known.only_refusals, known.last_was_refusal) == (18.0, 19.0)
    failures = known.first_failure_at, known.last_failure_at, known.suspected_since, known.usual_failures
    assert (*failures, known.warm_at) == (20.0, 21.0, 22.0, 23.0, 24.0)
    losses = known.losses
    assert (losses.known_excess, losses.mostly_failing, losses.usual_failures) == (25.0, 26.0, 27.0)
    assert (losses.settled_evidence, losses.half_failing, losses.return_presumed) == (28.0, 29.0, 30.0)


def test_a_handover_sends_the_decisions_under_their_outer_names():
    courier_facade = make_facade()
    courier_facade.add_text(make_text("t1"))
    courier_facade.tick(10.0)
    (call,) = take_calls(courier_facade)
    (known,) = courier_facade.decisions.dests.values()
    known.max_bundle, known.bundle_size, known.arrivals, known.arrival_rate = 5, 3, 2, 0.25
    endpoint = courier_facade.endpoint_of(call)
    endpoint.consecutive_failures, endpoint.retry_at = 4, 70.0
    endpoint.kind.last_unreached_at, endpoint.kind.last_stale_at, endpoint.kind.idle_limit = 11.0, 12.0, 13.0
    call.waited = 90.0
    state = snapshot(courier_facade, [call])
    (destination,), (sent,) = state["dests"], state["calls"]
    assert {name: destination[name] for name in ("most", "bundle", "came", "load")} == {
        "most": 5,
        "bundle": 3,
        "came": 2,
        "load": 0.25,
    }
    assert (sent["timeout"], sent["told"], sent["waited"]) == (call.timeout, False, 90.0)
    one = next(one for one in state["endpoints"] if one["ident"] == call.place.ident)
    assert (one["misses"], one["shy"]) == (4, 70.0) and set(one) == set(
        "ident dest zone misses missed shy kind seen apart".split()
    )
    assert state["crowded"][0] == 11.0 and state["reaped"][0] == [12.0, 13.0]
    route = destination["routes"][0]
    assert list(route)[: len(STORED_FIELDS)] == STORED_FIELDS
    assert set(route) - set(STORED_FIELDS) == {"endpoint", "sends", "firsts"}
