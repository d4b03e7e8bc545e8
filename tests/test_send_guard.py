"""The check before every call: each invariant, broken on purpose, is counted and the call not made."""

import errno
import json
import os

import pytest
from courier_helper import CourierFixture, make_facade, make_text, take_calls
from helper import DecisionsFixture, answer, client, spin, submits

from calicopin import route_state
from calicopin.facade import Facade
from calicopin.interface import How
from calicopin.send_guard import Invariant, SendGuard
from calicopin.state.journal import Journal
from calicopin.system import System
from calicopin.wire.clients import Clients

OUTAGE = {"mode": "out", "failed_at": 0.0, "warm_at": 0.0}
COLD = 10000.0


def guard_and_reports():
    reports = []
    return SendGuard(COLD, lambda invariant, what: reports.append((invariant, what))), reports


def one_call(**other):
    courier_facade = make_facade()
    courier_facade.add_text(make_text("t1", **other))
    courier_facade.tick(10.0)
    (call,) = take_calls(courier_facade)
    return courier_facade, call


def test_a_call_that_keeps_all_invariants_may_be_made():
    courier_facade, call = one_call()
    guard, reports = guard_and_reports()
    assert guard.may_call(call, courier_facade.endpoint_of(call), None, 10.0) and not reports
    assert guard.counts_by_name() == dict.fromkeys((each.name.lower() for each in Invariant), 0)


def test_each_broken_invariant_is_counted_and_the_call_not_made():
    courier_facade, call = one_call()
    endpoint = courier_facade.endpoint_of(call)
    guard, reports = guard_and_reports()
    assert not guard.may_call(call, None, None, 10.0)
    assert not guard.may_call(call, endpoint, OUTAGE, 10.0)
    endpoint.route.blocked_until = 500.0
    assert not guard.may_call(call, endpoint, None, 10.0)
    endpoint.route.blocked_until, call.texts[0].out_at = 0.0, None
    assert not guard.may_call(call, endpoint, None, 10.0)
    call.texts[0].out_at = 0.0
    endpoint.dest.endpoints.clear()
    assert not guard.may_call(call, endpoint, None, 10.0)
    guard.call_ended(call)
    guard.started(["t1"])
    guard.over_budget("destination 7")
    assert [invariant for invariant, _ in reports] == [
        Invariant.LISTED,
        Invariant.OUTAGE_KNOWN,
        Invariant.WAIT_OVER,
        Invariant.JOURNALLED,
        Invariant.LISTED,
        Invariant.ENDED,
        Invariant.RESTORED,
        Invariant.SLOW_START,
    ]
    assert guard.counts[Invariant.LISTED] == 2


def test_an_outage_that_ends_before_its_warm_up_is_counted_and_stays_journalled():
    guard, reports = guard_and_reports()
    cold = OUTAGE | {"mode": "cold", "warm_at": 12000.0}
    well = OUTAGE | {"mode": "well"}
    assert guard.may_change("d", None, OUTAGE, 0.0) and guard.may_change("d", OUTAGE, cold, 0.0)
    assert guard.may_change("d", cold, None, 12000.0) and guard.may_change("d", OUTAGE, None, COLD)
    assert guard.may_change("d", well, None, 0.0) and not reports
    assert not guard.may_change("d", OUTAGE, None, COLD - 1.0)
    assert not guard.may_change("d", OUTAGE, well, COLD - 1.0)
    assert not guard.may_change("d", cold, well, 11999.0)
    assert [invariant for invariant, _ in reports] == [Invariant.OUTAGE_ENDS] * 3


def test_a_presumed_return_may_be_taken_back_only_while_the_failures_are_remembered():
    guard, reports = guard_and_reports()
    cold = OUTAGE | {"mode": "cold", "warm_at": 12000.0}
    presumed, well = cold | {"presumed": True}, OUTAGE | {"mode": "well"}
    assert guard.may_change("d", presumed, well | {"half": True}, 5000.0) and not reports
    assert not guard.may_change("d", presumed, well | {"half": False}, 5000.0)
    assert not guard.may_change("d", presumed, None, 5000.0)
    assert not guard.may_change("d", cold, well | {"half": True}, 5000.0)
    assert [invariant for invariant, _ in reports] == [Invariant.OUTAGE_ENDS] * 3


def test_what_is_journalled_of_a_presumed_return_that_is_taken_back_breaks_no_invariant():
    """The guard kept the cold state in the journal, and refused each call behind it."""
    fixture, (guard, reports), kept, modes = DecisionsFixture(), guard_and_reports(), None, []
    route = fixture.courier.dests[0].routes[None]
    route.slow_start.losses.half_failing = True
    for how in [How.DELIVERED] * 4 + [How.ERROR] * 3 + [How.DELIVERED] * 4:
        (submit,) = submits(fixture.take(1)) or submits(fixture.step(after=5000.0))[:1]
        fixture.outcome(submit, how, ended=True)
        for changed in fixture.courier.scheduler.changed_routes:
            after = route_state.values(changed) if changed.has_stored_state else None
            assert guard.may_change("d", kept, after, fixture.now)
            kept = after
        fixture.courier.scheduler.changed_routes = {}
        modes.append(route.mode)
    assert not reports and modes.index("cold") < modes.index("well", modes.index("cold"))


def test_a_call_that_a_slow_disk_delays_past_its_time_is_not_made_and_breaks_no_invariant():
    courier_facade, call = one_call(until=20000.0)
    guard, reports = guard_and_reports()
    assert not guard.may_call(call, courier_facade.endpoint_of(call), None, 20000.0) and not reports


def fail_five_calls(courier):
    """The courier's one endpoint fails five calls."""
    for number in range(5):
        assert courier.post(f"m-{number}") == b"202"
    peers = [courier.endpoint.meet() for _ in range(5)]
    for peer in peers:
        peer.wait(b"\r\n\r\n")
        peer.say(answer(500))
    spin(courier.loop, lambda: courier.runtime.facade.state()[0]["mode"] == "out")
    courier.loop.once(courier.loop.now())  # the decisions are in the journal now


def test_a_restarted_courier_waits_where_the_last_process_met_an_outage(tmp_path):
    first = CourierFixture(tmp_path)
    fail_five_calls(first)
    first.kill()
    second = CourierFixture(tmp_path, endpoint=first.endpoint)
    assert second.runtime.facade.state()[0]["mode"] == "out"
    assert second.runtime.facade.state()[0]["waiting"] == 5 and not second.runtime.calls_in_progress
    assert not sum(second.runtime.guard.counts.values())


def test_a_start_that_forgets_an_outage_is_counted_and_sends_nothing(tmp_path, monkeypatch):
    """The start does not restore the outages in its journal: the guard reports it and nothing is sent."""
    first = CourierFixture(tmp_path)
    fail_five_calls(first)
    first.kill()
    monkeypatch.setattr(Facade, "restore_route", lambda *_: None)
    second = CourierFixture(tmp_path, endpoint=first.endpoint)
    for _ in range(20):
        second.loop.once(second.loop.now())
    assert second.runtime.guard.counts[Invariant.RESTORED] == 1
    assert second.runtime.guard.counts[Invariant.OUTAGE_ENDS] >= 1
    assert second.runtime.guard.counts[Invariant.OUTAGE_KNOWN] > 0 and not second.runtime.calls_in_progress
    with pytest.raises(BlockingIOError):
        first.endpoint.sock.accept()


def test_a_start_after_the_warm_up_needs_no_state():
    """The check took a destination that had warmed up by then for a forgotten outage."""
    courier_facade = make_facade(now=20000.0)
    cold = {(7, None): {"mode": "cold", "warm_at": 21000.0}}
    assert courier_facade.not_restored([], cold, 20000.0) == ["destination 7"]
    assert courier_facade.not_restored([], cold, 21000.0) == []
    assert courier_facade.not_restored([], {(7, None): OUTAGE}, 21000.0) == ["destination 7"]
    assert courier_facade.not_restored([], {(9, "s-9"): OUTAGE}, 21000.0) == ["destination 9 endpoint s-9"]


def test_operators_read_the_counts(tmp_path):
    courier = CourierFixture(tmp_path)
    courier.runtime.guard.over_budget("destination 7")
    told = json.loads(courier.runtime.status())
    assert told["invariants_broken"]["slow_start"] == 1


class FailingDisk(System):
    """A disk that writes half of the data, refuses the rest, and refuses to truncate the file too."""

    def __init__(self):
        self.failing = False

    def write(self, file, data):
        if self.failing:
            System.write(file, data[: len(data) // 2])
            raise OSError(errno.EIO, "EIO")
        return System.write(file, data)

    def truncate(self, file, size):
        if self.failing:
            raise OSError(errno.EIO, "EIO")
        System.truncate(file, size)


def test_a_partial_record_that_cannot_be_truncated_hides_no_later_record(tmp_path):
    system = FailingDisk()
    journal = Journal(str(tmp_path), 200_000, 0.0, system)
    journal.accepted(make_text("t1"))
    journal.flush()
    system.failing = True
    journal.accepted(make_text("t2"))
    with pytest.raises(OSError):
        journal.flush()
    system.failing = False
    journal.accepted(make_text("t3"))
    journal.flush()
    assert set(Journal(str(tmp_path), 200_000, 0.0).texts) == {"t1", "t2", "t3"}


def test_a_courier_killed_during_a_call_counts_it_as_a_failure(tmp_path):
    first = CourierFixture(tmp_path)
    assert first.post("m-0") == b"202"
    first.endpoint.meet().wait(b"\r\n\r\n")
    first.kill()
    second = CourierFixture(tmp_path, endpoint=first.endpoint)
    spin(second.loop, lambda: second.runtime.facade.decisions.dests)
    route = second.runtime.facade.decisions.dests[0].routes[None]
    assert route.slow_start.failures == 1
    assert client(second.loop, second.listen) is not None


@pytest.fixture
def courier_and_clients(tmp_path, monkeypatch):
    """A courier, and the object that serves its clients."""
    made = []
    monkeypatch.setattr(
        "calicopin.lifecycle.start.Clients", lambda *told: made.append(Clients(*told)) or made[-1]
    )
    return CourierFixture(tmp_path), made[0]


def test_a_request_that_was_read_but_not_answered_is_counted(courier_and_clients):
    """The request's coroutine is cancelled, which the courier never does itself."""
    courier, clients = courier_and_clients
    courier.runtime.journal.flush = lambda: os.write(-1, b"")  # the request waits for its journal record
    peer = client(courier.loop, courier.listen)
    peer.say(
        b"POST /notice?n=1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: a\r\nX-Timeout: 9\r\nX-Envelope: "
        b"dest=7\r\nContent-Length: 0\r\n\r\n"
    )
    spin(courier.loop, lambda: courier.runtime.unjournalled)
    (connection,) = clients.connections
    courier.loop.cancel(clients.connections[connection])
    assert courier.runtime.guard.counts[Invariant.ANSWERED] == 1
    spin(courier.loop, lambda: peer.hear() == b"" and peer.ended)


def test_an_answered_request_and_a_client_that_left_are_not_counted(courier_and_clients):
    courier, clients = courier_and_clients
    assert courier.post("a") == b"202" and courier.post("b", dest=99) == b"404"
    peer = client(courier.loop, courier.listen)
    peer.say(b"POST /notice/k HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc")
    spin(
        courier.loop,
        lambda: any(connection.last_request == "POST /notice/k" for connection in clients.connections),
    )
    peer.sock.close()
    spin(
        courier.loop,
        lambda: not any(connection.last_request == "POST /notice/k" for connection in clients.connections),
    )
    assert courier.runtime.guard.counts[Invariant.ANSWERED] == 0
