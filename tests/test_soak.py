"""The soak: its rules as plain functions, its plans, its shims of system calls, and that it sees the fault of
issue 43 where that is made again.
"""

import asyncio
import errno
import json
import socket
import time

import pytest

from calicopin.soak import rules
from calicopin.soak.__main__ import parse_seeds
from calicopin.soak.client import UNANSWERED, Clients, Request
from calicopin.soak.destination import read_request, response
from calicopin.soak.faulty_system import Fault, FaultInjector, FaultySystem
from calicopin.soak.fleet import DestinationPlan
from calicopin.soak.plan import OutageStep, Plan, RestartStep, draw_plan
from calicopin.soak.platform import Platform
from calicopin.soak.rules import Arrival, Drain, Failure, Message, Outage, Record, RequestedWait, SlowStart
from calicopin.soak.run import courier_faults, is_affected, run_soak

RULE = SlowStart(cold_from=0.2, cold=10.0, multiple=2.0, span=3.0)
OUTAGE = Outage(0, 10.0, 20.0, "errors")


def arrivals(times, courier="c0", **other):
    return [Arrival(at, courier, 0, (f"{courier}.{place}",), **other) for place, at in enumerate(times)]


def test_the_budget_allows_for_chance_as_the_users_page_words_it():
    assert rules.allowed_calls(100.0) == 122.0
    assert rules.allowed_calls(30.0) == pytest.approx(30.0 + 2.0 * 30.0**0.5 + 2.0)
    assert rules.allowed_calls(9.0) == 21.0


def test_the_worst_window_counts_those_that_were_told_also_over_a_restart():
    record = Record(outages=[OUTAGE], failures=[Failure(12.0, "c0", 0)])
    record.arrivals = arrivals([20.1 + number * 0.01 for number in range(40)])
    record.restarts["c0"] = [(19.0, 19.8)]
    worst = rules.worst_window(record, OUTAGE, 4.0, RULE)
    assert worst.calls == 40 and worst.excess > 0.0
    (found,) = rules.check_slow_start(record, {0: 4.0}, RULE)
    assert found.rule == "failback" and "40 calls" in found.what


@pytest.mark.parametrize("failure", [Failure(9.9, "c0", 0), Failure(20.0, "c0", 0), Failure(12.0, "c0", 1)])
def test_who_saw_nothing_fail_there_in_the_outage_is_not_told(failure):
    record = Record(outages=[OUTAGE], failures=[failure])
    record.arrivals = arrivals([20.1 + number * 0.01 for number in range(40)])
    assert rules.check_slow_start(record, {0: 4.0}, RULE) == []


def test_a_message_without_an_end_or_with_a_late_one_is_lost_but_not_while_its_courier_is_down():
    messages = [Message(f"c0.{number}", "c0", 0, "order", 30.0, 10.0) for number in range(4)]
    record = Record(messages=messages, notices={"c0.1": 30.4, "c0.2": 32.0})
    record.arrivals = [Arrival(12.0, "c0", 0, ("c0.3",), "delivered", 12.1, 12.1)]
    assert [found.what.split()[0] for found in rules.check_completion(record)] == ["c0.0", "c0.2"]
    record.restarts["c0"] = [(29.0, 31.0)]
    assert [found.what.split()[0] for found in rules.check_completion(record)] == ["c0.0"]


def test_a_second_run_of_what_may_run_once_and_two_calls_at_a_time_are_duplicates():
    once = Message("c0.0", "c0", 0, "once", 30.0, 10.0)
    ran, refused = (
        arrivals([11.0], outcome="error", ended=11.2),
        arrivals([11.5], outcome="refused", ended=11.5),
    )
    record = Record(messages=[once], arrivals=ran + refused)
    assert rules.check_duplicates(record, {"once"}) == []
    record.arrivals += arrivals([12.0], outcome="delivered", ended=12.1)
    assert [found.rule for found in rules.check_duplicates(record, {"once"})] == ["duplicate"]
    record = Record(messages=[once], arrivals=arrivals([11.0], ended=13.0) + arrivals([12.0], ended=13.0))
    assert len(rules.check_duplicates(record, set())) == 1


def test_a_call_before_a_told_wait_is_over_is_seen_but_not_behind_a_restart():
    record = Record(waits=[RequestedWait(10.0, "c0", 0, 1.0)], arrivals=arrivals([10.05, 10.5]))
    assert [found.rule for found in rules.check_waits(record)] == ["wait"]
    record.restarts["c0"] = [(10.3, 10.4)]
    assert rules.check_waits(record) == []


@pytest.mark.parametrize("late,excused,broken", [(0.5, (), False), (1.0, (), True), (1.0, ("c0",), False)])
def test_a_call_behind_the_grace_of_a_drain_is_seen(late, excused, broken):
    record = Record(drains=[Drain("s-0-0", 10.0, frozenset(excused))])
    record.arrivals = arrivals([10.0 + late], endpoint="s-0-0", began=10.0 + late)
    record.arrivals += arrivals([12.0], endpoint="s-0-1", began=12.0)
    assert [found.rule for found in rules.check_drains(record, 0.5)] == ["drain"] * broken


@pytest.mark.parametrize(
    "first,second,broken",
    [
        (dict(at=11.0, ended=11.2, outcome="delivered"), 11.3, False),
        (dict(at=11.0, ended=12.0, outcome="delivered"), 11.5, True),
        (dict(at=11.5, ended=11.6, outcome="delivered"), 11.0, True),
        (dict(at=11.0, ended=11.2, outcome="hung"), 11.5, True),
        (dict(at=11.0, ended=11.2, outcome="hung"), 12.0, False),
        (dict(at=11.0, ended=11.2, outcome="error"), 11.5, False),
    ],
)
def test_messages_of_one_key_run_one_at_a_time_in_their_order(first, second, broken):
    record = Record(messages=[Message(f"c0.{n}", "c0", 0, "series", 30.0, 10.0 + n, "k0") for n in range(2)])
    record.arrivals = [
        Arrival(first["at"], "c0", 0, ("c0.0",), first["outcome"], None, first["ended"]),
        Arrival(second, "c0", 0, ("c0.1",), "delivered", second + 0.1, second + 0.1),
    ]
    assert [found.rule for found in rules.check_order(record, 0.7)] == ["order"] * broken
    record.messages[1].key = "k1"
    assert rules.check_order(record, 0.7) == []


async def start_scripted_server(answers_by_connection):
    """A server that answers the requests on each connection as told, then closes it; the ids that it read."""
    read, connections = [], iter(answers_by_connection)

    async def serve(reader, writer):
        for answer in next(connections):
            if (request := await read_request(reader)) is None:
                break
            read.append(request.headers["x-request-id"])
            if answer:
                writer.write(answer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname(), read


@pytest.mark.parametrize(
    "answers,statuses,read",
    [
        ([[response(202), response(503)]], [202, 503], ["c0.0", "c0.1"]),
        ([[response(202)], [response(202)]], [202, 202], ["c0.0", "c0.1"]),  # the close crosses the next one
        ([[response(202), None], [response(409)]], [202, UNANSWERED], ["c0.0", "c0.1", "c0.1"]),
        ([[None]], [UNANSWERED], ["c0.0"]),
    ],
)
def test_a_client_sends_once_more_what_crossed_a_close_and_tells_what_was_read_and_not_answered(
    answers, statuses, read
):
    async def scenario():
        server, address, seen = await start_scripted_server(answers)
        clients, received = Clients(Record()), []
        for number in range(len(statuses)):
            received.append(await clients.send(Request(f"c0.{number}", "c0", 0, "order", 9.0), address))
        clients.close()
        server.close()
        return received, seen

    assert asyncio.run(scenario()) == (statuses, read)


def test_the_platform_tells_a_change_at_once_and_nothing_while_it_is_silent():
    async def scenario():
        platform = Platform(Record())
        platform.put_endpoint(dict(id="s-0-0", state="active"))
        known = platform.version
        watch = asyncio.create_task(platform._list_endpoints(f"/api/targets?index={known}&wait=20000"))
        await asyncio.sleep(0)
        platform.silent = True
        platform.put_endpoint(dict(id="s-0-0", state="leaving"))
        for _ in range(5):
            await asyncio.sleep(0)
        assert not watch.done()
        platform.silent = False
        changes = json.loads(await asyncio.wait_for(watch, 5.0))
        platform.put_endpoint(dict(id="s-0-0", state="left"))
        return known, changes, platform.snapshot()

    known, changes, listed = asyncio.run(scenario())
    assert changes == dict(version=known + 1, full=False, servers=[dict(id="s-0-0", state="leaving")])
    assert listed == dict(version=known + 2, full=True, servers=[])


def test_a_seed_is_one_plan_and_its_restarts_lie_near_a_return():
    assert draw_plan(7) == draw_plan(7) != draw_plan(8)
    for seed in range(30):
        plan = draw_plan(seed)
        returns = [outage.at + outage.length for outage in plan.outages]
        assert 10 <= plan.couriers <= 40 and plan.restarts
        assert all(min(abs(step.at - back) for back in returns) <= 3.0 for step in plan.restarts)
        assert all(0.0 < outage.at < outage.at + outage.length < plan.seconds for outage in plan.outages)


def test_seeds_are_read_as_a_list_or_a_range_and_else_refused():
    assert parse_seeds("3") == [3] and parse_seeds("1..3") == [1, 2, 3] and parse_seeds("1,9") == [1, 9]
    with pytest.raises(Exception, match="neither a seed"):
        parse_seeds("some")


def system_with_fault(call, error="", **other):
    now = time.monotonic()
    return FaultySystem(FaultInjector([Fault(call, now - 1.0, now + 60.0, error=error, **other)], 1))


def test_system_calls_fail_as_told_and_only_those(tmp_path):
    file = system_with_fault("write", "ENOSPC").create(str(tmp_path / "one"))
    with pytest.raises(OSError) as fault:
        system_with_fault("write", "ENOSPC").write(file, b"12345678")
    assert fault.value.errno == errno.ENOSPC
    assert system_with_fault("write", "short").write(file, b"12345678") == 4
    assert system_with_fault("socket", "ENFILE").write(file, b"12345678") == 8
    with pytest.raises(OSError):
        system_with_fault("socket", "ENFILE").stream()
    assert abs(system_with_fault("wall", step=3600.0).wall() / 1000.0 - time.time() - 3600.0) < 5.0


def test_a_connection_of_a_client_is_read_short_but_does_not_break():
    system = system_with_fault("recv", "short")
    listener = system.listen("127.0.0.1", 0)
    with socket.create_connection(listener.getsockname()) as client:
        client.sendall(b"hello")
        listener.setblocking(True)
        accepted, _ = listener.accept()
        assert accepted.recv(100) == b"h"
        accepted.injector = system_with_fault("recv", "ECONNRESET").injector
        assert accepted.recv(100) == b"ello"
        accepted.close()
    listener.close()


def test_faults_of_system_calls_strike_the_same_couriers_in_each_run():
    plan = next(plan for plan in map(draw_plan, range(50)) if len(plan.system) > 2)
    faults = [courier_faults(plan, 100.0, number) for number in range(plan.couriers)]
    assert faults == [courier_faults(plan, 100.0, number) for number in range(plan.couriers)]
    assert any(is_affected(plan, 0, number) for number in range(plan.couriers))
    assert all(fault["begin"] >= 100.0 for each in faults for fault in each)


def small_plan(couriers=10):
    """A minute's worth of trouble in few seconds: an outage, and all killed just before it ends. It warms up
    slowly, so that couriers that come back late on a busy machine meet as small a budget as the first ones.
    """
    return Plan(
        seed=1,
        couriers=couriers,
        seconds=14.0,
        rule=SlowStart(cold_from=0.05, cold=30.0, multiple=2.5, span=3.0),
        destinations=(DestinationPlan(12.0),),
        load=2.0,
        skew=3.0,
        outages=(OutageStep(1.0, 6.0, 0, "errors"),),
        restarts=(RestartStep(6.5, 1.0, 1.0, False),),
        stalls=(),
        silences=(),
        system=(),
    )


@pytest.mark.parametrize("variant", ["", "forgets"])
def test_a_soak_keeps_the_rules_and_sees_a_courier_that_forgets_outages(tmp_path, monkeypatch, variant):
    monkeypatch.setenv("LB_SOAK_VARIANT", variant)
    verdict = asyncio.run(run_soak(small_plan(), tmp_path))
    broken = {violation.rule for violation in verdict.violations}
    assert verdict.messages > 50 and verdict.delivered
    if variant:
        assert broken >= {"failback", "invariant"}, verdict.violations
    else:
        assert not broken, verdict.violations
