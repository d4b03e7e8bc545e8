"""The soak: its invariant checks, its plans and its injected system call faults, and that it detects couriers
which forget outages on a restart.
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
from calicopin.soak.courier import CourierProcess
from calicopin.soak.destination import read_request, response
from calicopin.soak.faulty_system import Fault, FaultInjector, FaultySystem
from calicopin.soak.fleet import DestinationPlan, Fleet
from calicopin.soak.hostile import PAYLOADS
from calicopin.soak.plan import (
    CrowdStep,
    HostileStep,
    OutageStep,
    Plan,
    RepeatStep,
    RestartStep,
    SignalStep,
    draw_plan,
)
from calicopin.soak.platform import Platform
from calicopin.soak.rules import Arrival, Drain, Failure, Message, Outage, Record, RequestedWait, SlowStart
from calicopin.soak.run import courier_faults, is_affected, run_soak

RULE = SlowStart(cold_from=0.2, cold=10.0, multiple=2.0, span=3.0)
OUTAGE = Outage(0, 10.0, 20.0, "errors")


def arrivals(times, courier="c0", **other):
    return [Arrival(at, courier, 0, (f"{courier}.{number}",), **other) for number, at in enumerate(times)]


def test_budget_includes_the_specified_allowance_for_random_variation():
    assert rules.allowed_calls(100.0) == 122.0
    assert rules.allowed_calls(30.0) == pytest.approx(30.0 + 2.0 * 30.0**0.5 + 2.0)
    assert rules.allowed_calls(9.0) == 21.0


def test_worst_window_counts_couriers_that_saw_the_outage_even_after_a_restart():
    record = Record(outages=[OUTAGE], failures=[Failure(12.0, "c0", 0)])
    record.arrivals = arrivals([20.1 + number * 0.01 for number in range(40)])
    record.restarts["c0"] = [(19.0, 19.8)]
    worst = rules.worst_window(record, OUTAGE, 4.0, RULE)
    assert worst.calls == 40 and worst.excess > 0.0
    (violation,) = rules.check_slow_start(record, {0: 4.0}, RULE)
    assert violation.rule == "failback" and "40 calls" in violation.what


@pytest.mark.parametrize("failure", [Failure(9.9, "c0", 0), Failure(20.0, "c0", 0), Failure(12.0, "c0", 1)])
def test_courier_without_a_failed_call_in_the_outage_is_not_counted_as_affected(failure):
    record = Record(outages=[OUTAGE], failures=[failure])
    record.arrivals = arrivals([20.1 + number * 0.01 for number in range(40)])
    assert rules.check_slow_start(record, {0: 4.0}, RULE) == []


def test_message_with_no_or_a_late_result_is_lost_unless_its_courier_was_down():
    messages = [Message(f"c0.{number}", "c0", 0, "order", 30.0, 10.0) for number in range(4)]
    record = Record(messages=messages, notices={"c0.1": 30.4, "c0.2": 32.0})
    record.arrivals = [Arrival(12.0, "c0", 0, ("c0.3",), "delivered", 12.1, 12.1)]
    assert [violation.what.split()[0] for violation in rules.check_completion(record)] == ["c0.0", "c0.2"]
    record.restarts["c0"] = [(29.0, 31.0)]
    assert [violation.what.split()[0] for violation in rules.check_completion(record)] == ["c0.0"]


def test_second_run_of_a_once_only_message_and_concurrent_calls_are_duplicates():
    once = Message("c0.0", "c0", 0, "once", 30.0, 10.0)
    ran, refused = (
        arrivals([11.0], outcome="error", ended=11.2),
        arrivals([11.5], outcome="refused", ended=11.5),
    )
    record = Record(messages=[once], arrivals=ran + refused)
    assert rules.check_duplicates(record, {"once"}) == []
    record.arrivals += arrivals([12.0], outcome="delivered", ended=12.1)
    assert [violation.rule for violation in rules.check_duplicates(record, {"once"})] == ["duplicate"]
    record = Record(messages=[once], arrivals=arrivals([11.0], ended=13.0) + arrivals([12.0], ended=13.0))
    assert len(rules.check_duplicates(record, set())) == 1


def test_call_during_a_requested_wait_is_a_violation_unless_the_courier_restarted():
    record = Record(waits=[RequestedWait(10.0, "c0", 0, 1.0)], arrivals=arrivals([10.05, 10.5]))
    assert [violation.rule for violation in rules.check_waits(record)] == ["wait"]
    record.restarts["c0"] = [(10.3, 10.4)]
    assert rules.check_waits(record) == []


@pytest.mark.parametrize("late,excused,broken", [(0.5, (), False), (1.0, (), True), (1.0, ("c0",), False)])
def test_call_after_the_grace_period_of_a_drain_is_a_violation(late, excused, broken):
    record = Record(drains=[Drain("s-0-0", 10.0, frozenset(excused))])
    record.arrivals = arrivals([10.0 + late], endpoint="s-0-0", began=10.0 + late)
    record.arrivals += arrivals([12.0], endpoint="s-0-1", began=12.0)
    assert [violation.rule for violation in rules.check_drains(record, 0.5)] == ["drain"] * broken


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
def test_messages_of_one_key_must_run_one_at_a_time_and_in_order(first, second, broken):
    record = Record(messages=[Message(f"c0.{n}", "c0", 0, "series", 30.0, 10.0 + n, "k0") for n in range(2)])
    record.arrivals = [
        Arrival(first["at"], "c0", 0, ("c0.0",), first["outcome"], None, first["ended"]),
        Arrival(second, "c0", 0, ("c0.1",), "delivered", second + 0.1, second + 0.1),
    ]
    assert [violation.rule for violation in rules.check_order(record, 0.7)] == ["order"] * broken
    record.messages[1].key = "k1"
    assert rules.check_order(record, 0.7) == []


async def start_scripted_server(answers_by_connection):
    """A server that sends the given answers on each connection, then closes it.

    None as an answer reads the request and sends nothing. Returns the server, its address and the ids that
    it read.
    """
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
        # The connection is closed before the second request.
        ([[response(202)], [response(202)]], [202, 202], ["c0.0", "c0.1"]),
        ([[response(202), None], [response(409)]], [202, UNANSWERED], ["c0.0", "c0.1", "c0.1"]),
        ([[None]], [UNANSWERED], ["c0.0"]),
    ],
)
def test_client_resends_after_an_idle_connection_closed_and_reports_requests_read_but_not_answered(
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


def test_platform_sends_changes_at_once_and_nothing_while_silent():
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


def test_seed_determines_the_plan_and_restarts_are_near_a_recovery():
    assert draw_plan(7) == draw_plan(7) != draw_plan(8)
    for seed in range(30):
        plan = draw_plan(seed)
        recoveries = [outage.at + outage.length for outage in plan.outages]
        assert 10 <= plan.couriers <= 40 and plan.restarts
        assert all(min(abs(step.at - recovery) for recovery in recoveries) <= 3.0 for step in plan.restarts)
        assert all(0.0 < outage.at < outage.at + outage.length < plan.seconds for outage in plan.outages)


def test_seeds_are_parsed_as_a_list_or_range_and_other_text_is_rejected():
    assert parse_seeds("3") == [3] and parse_seeds("1..3") == [1, 2, 3] and parse_seeds("1,9") == [1, 9]
    with pytest.raises(Exception, match="neither a seed"):
        parse_seeds("some")


def system_with_fault(call, error="", **other):
    now = time.monotonic()
    return FaultySystem(FaultInjector([Fault(call, now - 1.0, now + 60.0, error=error, **other)], 1))


def test_only_the_configured_system_calls_fail(tmp_path):
    file = system_with_fault("write", "ENOSPC").create(str(tmp_path / "one"))
    with pytest.raises(OSError) as error:
        system_with_fault("write", "ENOSPC").write(file, b"12345678")
    assert error.value.errno == errno.ENOSPC
    assert system_with_fault("write", "short").write(file, b"12345678") == 4
    assert system_with_fault("socket", "ENFILE").write(file, b"12345678") == 8
    with pytest.raises(OSError):
        system_with_fault("socket", "ENFILE").create_socket()
    assert abs(system_with_fault("wall", step=3600.0).wall_clock_ms() / 1000.0 - time.time() - 3600.0) < 5.0


def test_client_connection_gets_short_reads_but_no_fatal_error():
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


def test_system_call_faults_affect_the_same_couriers_in_each_run():
    plan = next(plan for plan in map(draw_plan, range(50)) if len(plan.system) > 2)
    faults = [courier_faults(plan, 100.0, number) for number in range(plan.couriers)]
    assert faults == [courier_faults(plan, 100.0, number) for number in range(plan.couriers)]
    assert any(is_affected(plan, 0, number) for number in range(plan.couriers))
    assert all(fault["begin"] >= 100.0 for courier in faults for fault in courier)


def small_plan(couriers=10):
    """An outage of one destination, with all couriers killed just before it ends.

    Its capacity recovers slowly, so that couriers that restart late on a busy machine meet as small a budget
    as the first ones.
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
def test_soak_passes_with_correct_couriers_and_detects_couriers_that_forget_outages(
    tmp_path, monkeypatch, variant
):
    monkeypatch.setenv("LB_SOAK_VARIANT", variant)
    verdict = asyncio.run(run_soak(small_plan(), tmp_path))
    broken = {violation.rule for violation in verdict.violations}
    assert verdict.messages > 50 and verdict.delivered
    if variant:
        assert broken >= {"failback", "invariant"}, verdict.violations
    else:
        assert not broken, verdict.violations


def repeating_plan():
    """Two destinations and the platform send every answer twice; signals in series, a crowd, bad clients."""
    return Plan(
        seed=2,
        couriers=4,
        seconds=6.0,
        rule=SlowStart(cold_from=0.3, cold=8.0, multiple=2.5, span=3.0),
        destinations=(DestinationPlan(120.0, 0.03), DestinationPlan(60.0, 0.05, bundle=10)),
        load=0.8,
        skew=1.2,
        outages=(),
        restarts=(RestartStep(3.0, 0.5, 0.5, True, ("SIGTERM", "SIGHUP", "SIGTERM")),),
        stalls=(),
        silences=(),
        system=(),
        signals=(SignalStep(1.0, 1.0, 3, 0.02),),
        crowds=(CrowdStep(1.5, 2.0, 0.25, 150),),
        hostiles=tuple(HostileStep(0.5 * number, 2.0, 0.25, how) for number, how in enumerate(PAYLOADS)),
        repeats=tuple(RepeatStep(0.0, 6.0, party, 1.0, 0.012, False) for party in (None, 0, 1)),
    )


@pytest.mark.parametrize("variant", ["", "believes"])
def test_soak_passes_while_peers_repeat_answers_and_detects_couriers_that_believe_them(
    tmp_path, monkeypatch, variant
):
    monkeypatch.setenv("LB_SOAK_VARIANT", variant)
    verdict = asyncio.run(run_soak(repeating_plan(), tmp_path))
    broken = {violation.rule for violation in verdict.violations}
    assert verdict.copies > 100 and verdict.delivered > 100
    if variant:
        assert broken & {"duplicate", "lost"}, verdict.violations
    else:
        assert not broken, verdict.violations


@pytest.mark.parametrize("peak_mb,broken", [(31.0, set()), (33.0, {"crash"})])
def test_a_courier_over_its_memory_limit_counts_as_crashed(tmp_path, peak_mb, broken):
    fleet = Fleet(tmp_path, 1, (DestinationPlan(60.0),), SlowStart(0.3, 8.0, 2.5, 3.0), seed=1)
    courier = CourierProcess("c0", tmp_path / "c0", {}, "127.0.0.1:9", {}, 1)
    courier.log_path.write_text("")
    courier.is_running, courier.peak_memory_mb = lambda: True, lambda: peak_mb
    fleet.couriers.append(courier)
    assert {violation.rule for violation in fleet.find_violations()} == broken
