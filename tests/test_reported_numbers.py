"""Numbers that peers send and that are no rate, share or time, and exceptions in single decisions: none
of them may cost another destination its calls, or a message its end.
"""

import json

import pytest
from courier_helper import make_facade, make_place, make_text, take_endings
from helper import DecisionsFixture, submits

from calicopin.decisions import Destination, Endpoint, Pool, Registry
from calicopin.deployment_settings import Indices
from calicopin.facade import CallProgress, CallResult
from calicopin.handover.state import restore, snapshot
from calicopin.interface import Entry, Listed
from calicopin.route import Route
from calicopin.scheduler import Scheduler
from calicopin.subscription.messages import MessageError, decode_refusal
from calicopin.wire.answers import parse_load
from calicopin.wire.discovery import decode_list

COLUMNS = {"columns": ["x0", "x1"]}
NUMBERS = [
    "0",
    "-1",
    "1.4999",
    "1.5001",
    "80000000",
    "1e-320",
    "1e308",
    "1e999",
    "NaN",
    "1" + "0" * 400,
    "true",
    "[]",
]
VALIDITY_MS = 20000.0


class Service:
    """Endpoints behind a facade: each call is answered with 200 and a load report after 50 ms."""

    def __init__(self, facade):
        self.facade, self.now, self.answers, self.ends = facade, 0.0, [], []
        self.faults, self.due = [], 0.0

    def play(self, until, result=None):
        """Runs to that time (ms); `result()` makes the answer to a call."""
        while self.now < until:
            self.due = self.facade.tick(self.now)
            while fault := self.facade.next_fault():
                self.faults.append(fault)
            while call := self.facade.next_call():
                self.answers.append((self.now + 50.0, call))
            self.ends += take_endings(self.facade)
            self.now = min([until, max(self.due, self.now + 1.0), *(at for at, _ in self.answers)])
            ready = [call for at, call in self.answers if at <= self.now]
            self.answers = [(at, call) for at, call in self.answers if at > self.now]
            for call in ready:
                answer = result(call) if result else CallResult(CallProgress.ANSWERED, status=200)
                self.facade.report(call, answer, 50.0)
        self.facade.tick(self.now)
        self.ends += take_endings(self.facade)


def two_destinations(**settings):
    places = [make_place("s-1", dest=1), make_place("s-2", dest=2)]
    return Service(make_facade(places=places, **settings))


@pytest.mark.parametrize("column", ["x0", "x1"])
@pytest.mark.parametrize("number", NUMBERS)
def test_a_load_report_of_any_number_costs_no_message_its_end(column, number):
    """review/7: after x0 = 80000000 turns failed, and messages for other partners never got an end."""
    service = two_destinations(loadInfo=COLUMNS)
    spoilt = {"x0": "0.8", "x1": "25"} | {column: number}
    load = parse_load("{" + ",".join(f'"{name}":{value}' for name, value in spoilt.items()) + "}")

    def result(call):
        report = load if call.texts[0].ident == "m9" else parse_load('{"x0":0.8,"x1":25}')
        return CallResult(CallProgress.ANSWERED, status=200, load=report)

    for number_ in range(60):
        service.facade.add_text(make_text(f"m{number_}", dest=1 + number_ % 2, until=VALIDITY_MS))
        service.play(service.now + 20.0, result)
    service.play(VALIDITY_MS, result)
    assert sorted(service.ends) == sorted((f"m{number_}", None) for number_ in range(60))
    assert service.faults == []


@pytest.mark.parametrize("limit,left", [(25.0, None), (25.0, 8e7), (-1.0, 0.5), (float("nan"), 0.5)])
def test_a_report_that_is_no_limit_changes_nothing(limit, left):
    fixture = DecisionsFixture()
    (submit,) = submits(fixture.take(1))
    fixture.outcome(submit, limit=20.0, left=0.9)
    route = fixture.courier.dests[0].routes[None]
    before = route.limit, route.limit_left
    fixture.outcome(submits(fixture.take(1))[0], limit=limit, left=left)
    assert (route.limit, route.limit_left) == before and fixture.courier.faults == []


@pytest.mark.parametrize("left", [-0.1, 0.0, 1.0, 1.15])
def test_a_noisy_share_counts(left):
    """Reports are a little noisy: what is a little over the whole limit is no reason to pass one over."""
    fixture = DecisionsFixture()
    (submit,) = submits(fixture.take(1))
    fixture.outcome(submit, limit=20.0, left=left)
    route = fixture.courier.dests[0].routes[None]
    assert route.limit == 0.02 and (route.limit_left > 0.5) == (left > 0.5)


@pytest.mark.parametrize("weight", [float("nan"), float("inf"), -5.0, 1e308, 5e-324, 0.0, None])
def test_a_weight_that_is_no_rate_is_passed_over(weight):
    fixture = DecisionsFixture(entries=[Entry(0, 0, agreed=30.0)])
    fixture.step([Listed([Entry(0, 0, agreed=weight)], whole=True)])
    assert fixture.courier.dests[0].routes[None].listed_limit == 0.03
    for _ in range(20):
        fixture.outcome(submits(fixture.take(1))[0])
    assert fixture.courier.faults == []


@pytest.mark.parametrize("weight", ['"heavy"', "1" + "0" * 400, "[]", "NaN"])
def test_an_unreadable_weight_does_not_hide_the_rest_of_the_list(weight):
    entry = '{"id":"s-1","addr":"127.0.0.1:9","cell":7,"state":"leaving","weight":%s}' % weight
    _, _, (place,) = decode_list(json.loads('{"full":true,"version":3,"servers":[%s]}' % entry))
    assert place.ident == "s-1" and not place.ready


def test_a_delay_that_no_clock_can_add_is_an_error_of_the_message():
    """A whole number over the range of a float raised OverflowError, which nobody took for a bad message."""
    refusal = '{"refusal":{"form":1,"reason":"too_many","message":"x","retry_ms":1%s}}' % ("0" * 400)
    with pytest.raises(MessageError):
        decode_refusal(refusal.encode())


def test_a_former_number_of_an_id_is_forgotten_behind_the_newer_one():
    """KeyError: an endpoint's id had moved to another destination and left."""
    idents = Indices()
    first, second = idents("s-1"), idents.renumber("s-1")
    idents.forget(second)
    idents.forget(first)
    assert not idents.index and not idents.ident


def played_with_faults(monkeypatch, is_faulty):
    """Sixty messages to two destinations; the handlers for which `is_faulty` holds raise."""
    contain, calls = Scheduler.contain, []

    def raising(scheduler, handler, *args):
        def faulty(*_):
            raise ArithmeticError(handler.__qualname__)

        calls.append(handler)
        contain(scheduler, faulty if is_faulty(len(calls), handler, args) else handler, *args)

    service = two_destinations()
    monkeypatch.setattr(Scheduler, "contain", raising)
    for number in range(30):
        service.facade.add_text(make_text(f"m{number}", dest=1 + number % 2, until=VALIDITY_MS))
        service.play(service.now + 20.0)
    service.play(VALIDITY_MS + 500.0)
    return service


@pytest.mark.parametrize("which", range(1, 220, 3))
def test_an_exception_in_any_one_decision_costs_no_message_its_end(monkeypatch, which):
    """A turn that failed dropped all that it had decided until then."""
    service = played_with_faults(monkeypatch, lambda number, handler, args: number == which)
    assert sorted(ident for ident, _ in service.ends) == sorted(f"m{number}" for number in range(30))
    assert len(service.faults) == 1


@pytest.mark.parametrize(
    "part,method",
    [
        (Route, "take_token"),
        (Route, "delivered"),
        (Route, "next_call_at"),
        (Route, "maintain"),
        (Endpoint, "on_outcome"),
        (Endpoint, "release_call"),
        (Destination, "choose_endpoint"),
        (Destination, "give_up_late"),
        (Destination, "on_submit_ended"),
        (Pool, "on_release"),
        (Registry, "limit_others"),
    ],
)
def test_a_destination_whose_decisions_always_fail_costs_the_others_nothing(monkeypatch, part, method):
    """Each turn failed as long as one destination was looked at; messages for the others waited for ever."""
    service, healthy = two_destinations(), getattr(part, method)
    first = service.facade.dests(1)

    def is_first(one, args):
        names = (one, *args)
        dests = [getattr(name, "dest", None) for name in names] + list(names)
        keys = [getattr(name, "key", None) for name in names]
        return any(
            getattr(dest, "ident", None) == first for dest in dests if isinstance(dest, Destination)
        ) or ((first, None) in keys)

    def raising(one, *args, **others):
        if is_first(one, args):
            raise ArithmeticError(method)
        return healthy(one, *args, **others)

    monkeypatch.setattr(part, method, raising)
    for number in range(30):
        service.facade.add_text(make_text(f"m{number}", dest=1 + number % 2, until=VALIDITY_MS))
        service.play(service.now + 20.0)
    service.play(2000.0)
    assert {f"m{number}" for number in range(1, 30, 2)} <= {
        ident for ident, end in service.ends if end is None
    }
    service.play(VALIDITY_MS + 500.0)
    assert sorted(ident for ident, _ in service.ends) == sorted(f"m{number}" for number in range(30))
    assert service.faults


def test_an_exception_behind_a_handover_leaves_the_calls_that_were_taken_over(monkeypatch):
    """The state of a call that another process began must not look like a call that was never made."""
    old, new = make_facade(), make_facade(places=[])
    old.add_text(make_text("m0"))
    old.tick(0.0)
    call = old.next_call()
    (taken_over,) = restore(new, snapshot(old, [call]), [make_text("m0")], 0.0)
    monkeypatch.setattr(Registry, "on_shed", None)
    new.decisions.scheduler.post(new.decisions.registry, "shed")
    new.add_text(make_text("m1"))
    new.tick(0.0)
    assert new.next_fault() and [text.ident for text in new.next_call().texts] == ["m1"]
    new.report(taken_over, CallResult(CallProgress.ANSWERED, status=200), 50.0)
    new.tick(50.0)
    assert take_endings(new) == [("m0", None)]
