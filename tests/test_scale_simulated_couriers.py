"""Simulated couriers, change feed and verdict; small seeded runs of a node. No test asserts times."""

import io
import json
import resource
import time
from contextlib import contextmanager
from dataclasses import dataclass, replace

import pytest
from click.testing import CliRunner

from calicopin.scale import change_feed, node_run, node_slopes, nodes, options, results, simulated_couriers
from calicopin.scale.__main__ import main
from calicopin.scale.change_feed import (
    REVISION_BASE,
    Change,
    ChangeFeed,
    ChangeGenerator,
    FeedPlan,
    ident_of,
    line_of,
    now,
    revision_of,
)
from calicopin.scale.list_source import ListSize, write
from calicopin.scale.node_run import Group, Load, NodePlan, NodeRun, last_courier_times
from calicopin.scale.simulated_couriers import (
    LEFT,
    CourierPlan,
    CourierView,
    KnownEndpoint,
    ReceivedUpdate,
    SimulatedCourier,
    SimulatedFleet,
    destinations_of,
    subscribers_of,
)
from calicopin.scale.verdict import compare, propagations, read_source

PLAN = CourierPlan("scale", ("127.0.0.1:9",), 10_000, 3)


def no_progress(_):
    """Discards progress lines."""


# Destination sets.


def test_destination_sets_depend_only_on_seed_and_courier():
    assert destinations_of(7, PLAN) == destinations_of(7, PLAN)
    assert destinations_of(7, PLAN) != destinations_of(8, PLAN)


def test_sets_have_about_ninety_destinations_and_are_skewed():
    sizes = sorted(len(destinations_of(courier, PLAN)) for courier in range(300))
    assert 70 < sum(sizes) / len(sizes) < 110 and sizes[-1] > 4 * sizes[150]
    held = sorted(len(couriers) for couriers in subscribers_of(range(300), PLAN).values())
    assert held[len(held) // 2] <= 2 and held[-1] > 50


def test_sets_are_unique_and_their_sizes_skewed_around_the_mean():
    plan = CourierPlan("scale", ("127.0.0.1:9",), 100_000, 1)
    sets = [destinations_of(courier, plan) for courier in range(400)]
    sizes = sorted(map(len, sets))
    assert sets == [destinations_of(courier, plan) for courier in range(400)]
    assert all(len(set(one)) == len(one) for one in sets)
    assert 75 < sum(sizes) / len(sizes) < 105
    assert sizes[200] < 80 and sizes[-1] > 300
    held = subscribers_of(range(400), plan)
    assert sum(map(len, held.values())) == sum(sizes)
    assert max(map(len, held.values())) > 3


def test_more_couriers_than_descriptors_are_refused():
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    simulated_couriers.check_descriptors(10)
    with pytest.raises(simulated_couriers.DescriptorsError, match="descriptors"):
        simulated_couriers.check_descriptors(limit)


# Changes.


def feed_plan(**other):
    defaults = dict(per_second=5.0, seconds=1.0, candidates=tuple(range(50)), seed=1, min_gap_ms=1000.0)
    return FeedPlan(**(defaults | other))


def test_a_destination_is_not_changed_twice_within_the_gap():
    next_change, last = ChangeGenerator(feed_plan()), {}
    for at in range(0, 60_000, 100):
        destination, _, _ = next_change(float(at))
        assert at - last.get(destination, -1000) >= 1000
        last[destination] = at


def test_each_change_differs_from_the_previous_one_of_its_endpoint():
    next_change, states = ChangeGenerator(feed_plan(endpoints_per_destination=2)), {}
    for at in range(0, 300_000, 300):
        destination, number, state = next_change(float(at))
        before = states.get((destination, number), "active")
        assert before == "active" or state == "active"
        states[destination, number] = state
    assert {"left", "leaving", "active"} <= set(states.values())


def test_churn_keeps_the_number_of_left_endpoints_stable():
    plan = feed_plan(candidates=tuple(range(400)), churn=True, down=frozenset(range(40)))
    next_change = ChangeGenerator(plan)
    for at in range(0, 2_000_000, 100):
        assert next_change(float(at))[2] in ("left", "active")
    assert 10 < len(next_change.left_endpoints) < 120


def test_a_change_is_skipped_if_no_destination_may_change():
    next_change = ChangeGenerator(feed_plan(candidates=(1, 2)))
    assert next_change(0.0) and next_change(0.0) and next_change(0.0) is None


def test_a_feed_counts_skipped_changes_and_ends(tmp_path):
    path = tmp_path / "log"
    path.write_text("")
    plan = feed_plan(per_second=1000.0, seconds=0.05, candidates=(1, 2, 3), min_gap_ms=60_000.0)
    feed = ChangeFeed(str(path), plan).start()
    assert feed.join(30.0)
    assert feed.skipped == len(feed.schedule(0.0)) - 3 > 0
    assert path.read_text().count("\n") == len(feed.changes) == 3


def test_a_feed_records_its_lateness(tmp_path, monkeypatch):
    times = {}
    for name, began, then in (("on time", 0.0, 0.0), ("late", 0.0, 5_000.0)):
        clock = iter([began])
        monkeypatch.setattr(change_feed, "now", lambda clock=clock, then=then: next(clock, then))
        feed = ChangeFeed(str(tmp_path / name), feed_plan(per_second=100.0, seconds=0.1)).start()
        assert feed.join(30.0) and feed.changes
        times[name] = (feed.max_lateness_ms, feed.changes[0].due)
    assert times["on time"][0] == 0.0
    assert times["late"][0] == 5_000.0 - times["late"][1]


def test_the_schedule_is_reproducible_and_has_the_planned_rate(tmp_path):
    feed = ChangeFeed(str(tmp_path / "log"), feed_plan(seconds=200.0))
    assert feed.schedule(0.0) == feed.schedule(0.0)
    assert 850 < len(feed.schedule(0.0)) < 1150


def test_a_feed_appends_lines_with_their_revisions(tmp_path):
    path = tmp_path / "log"
    path.write_text('{"form":1,"fleet":"scale"}\n')
    feed = ChangeFeed(str(path), feed_plan(per_second=100.0, seconds=0.3, min_gap_ms=100.0), 7).start()
    assert feed.join(30.0)
    lines = [json.loads(line) for line in path.read_text().splitlines()[1:]]
    assert [revision_of(line["weight"]) for line in lines] == [one.revision for one in feed.changes]
    assert [line["id"] for line in lines] == [one.ident for one in feed.changes]
    assert feed.changes[0].revision == 7 and len(lines) > 5


# The verdict.


def change(revision, at, state="active", destination=1):
    return Change(at, at, destination, ident_of(destination, 0), state, revision)


def received_update(at, revision, courier=0, ident="e1.0"):
    return ReceivedUpdate(at, courier, ident, revision)


def latencies(changes, updates, **other):
    return [pair.latency_ms for pair in propagations(changes, {1: [0]}, updates, **other)]


def test_a_change_is_in_force_when_it_or_a_later_one_is_received():
    assert latencies([change(1, 0.0), change(2, 50.0)], [received_update(80.0, 2)]) == [80.0, 30.0]


def test_a_change_that_is_never_received_is_never_in_force():
    assert latencies([change(1, 0.0), change(2, 50.0)], [received_update(30.0, 1)]) == [30.0, None]


def test_only_subscribers_of_the_destination_count():
    pairs = propagations(
        [change(1, 0.0)], {1: [0, 1], 2: [2]}, [received_update(5.0, 1), received_update(9.0, 1, courier=2)]
    )
    assert [(pair.courier, pair.at) for pair in pairs] == [(0, 5.0), (1, None)]


def test_a_received_leave_matches_the_last_leave_before_it():
    changes = [change(1, 0.0, "left"), change(2, 100.0), change(3, 200.0, "left")]
    assert latencies(changes, [received_update(20.0, LEFT), received_update(130.0, 2)]) == [20.0, 30.0, None]
    assert latencies(changes, [received_update(130.0, 2), received_update(230.0, LEFT)]) == [
        130.0,
        30.0,
        30.0,
    ]


def test_a_leave_received_before_any_change_matches_no_change():
    assert latencies([change(1, 100.0, "left")], [received_update(50.0, LEFT)]) == [None]


def test_latency_counts_from_when_a_node_is_reachable_if_later():
    assert latencies([change(1, 0.0)], [received_update(900.0, 1)], reachable_since=lambda *_: 700.0) == [
        200.0
    ]
    assert latencies([change(1, 0.0)], [received_update(30.0, 1)], reachable_since=lambda *_: 700.0) == [30.0]


def test_latency_counts_from_the_scheduled_time_of_the_change():
    late = Change(100.0, 150.0, 1, "e1.0", "active", 1)
    assert latencies([late], [received_update(160.0, 1)]) == [60.0]
    assert latencies([late], [received_update(160.0, 1)], reachable_since=lambda *_: 700.0) == [60.0]


def test_reachable_since_is_per_change_and_courier():
    changes = [change(1, 100.0), change(2, 100.0, destination=2)]
    updates = [
        received_update(900.0, 1),
        received_update(800.0, 1, courier=1),
        received_update(700.0, 2, ident="e2.0"),
    ]
    reachable_since = {(1, 0): 600.0, (1, 1): 650.0, (2, 0): 650.0}
    pairs = propagations(
        changes, {1: [0, 1], 2: [0]}, updates, lambda one, at: reachable_since[one.revision, at]
    )
    assert [pair.latency_ms for pair in pairs] == [300.0, 150.0, 50.0]


def test_a_change_counts_at_each_subscriber_and_earlier_updates_do_not():
    changes = [change(1, 100.0), change(2, 200.0, destination=2)]
    updates = [
        received_update(50.0, 0, courier=7),
        received_update(130.0, 1, courier=7),
        received_update(140.0, 1, courier=8),
        received_update(260.0, 1, courier=7, ident="e2.0"),
        received_update(270.0, 2, courier=7, ident="e2.0"),
    ]
    pairs = propagations(changes, {1: [7, 8], 2: [7, 9], 3: [7]}, updates)
    assert [(one.courier, one.latency_ms) for one in pairs] == [(7, 30.0), (8, 40.0), (7, 70.0), (9, None)]
    row = last_courier_times(changes, pairs)
    assert (row["changes"], row["pairs"], row["never"]) == (2, 4, 1)
    assert row["last_courier_p50_s"] == row["last_courier_worst_s"] == 0.04
    whole = last_courier_times(changes, pairs[:3])
    assert (whole["never"], whole["last_courier_p50_s"], whole["last_courier_worst_s"]) == (0, 0.04, 0.07)


def test_without_updates_there_are_no_times():
    changes = [change(1, 1.0)]
    row = last_courier_times(changes, propagations(changes, {1: [4]}, []))
    assert (row["never"], row["last_courier_p50_s"], row["last_courier_p99_s"]) == (1, None, None)
    assert row["last_courier_worst_s"] is None


def endpoint(ident, ready=True, weight=5.0, destination=1):
    return KnownEndpoint(destination, ident, "10.0.0.1:80", ready, weight)


@pytest.mark.parametrize(
    "known, counts",
    [
        ([endpoint("a"), endpoint("b")], (0, 0, 0)),
        ([endpoint("a")], (1, 0, 0)),
        ([endpoint("a"), endpoint("b"), endpoint("c")], (0, 1, 0)),
        ([endpoint("a"), endpoint("b", ready=False)], (0, 0, 1)),
        ([endpoint("a"), endpoint("b", weight=6.0)], (0, 0, 1)),
    ],
)
@pytest.mark.parametrize("only_data_path", [False, True])
def test_courier_views_are_compared_with_the_source(known, counts, only_data_path):
    expected = frozenset([endpoint("a"), endpoint("b")])
    source = {1: {one.ident: one for one in expected}, 2: {"z": endpoint("z", destination=2)}}
    one = CourierView(0, expected if only_data_path else frozenset(known), frozenset(known))
    differences = compare([one], {0: (1,)}, source)
    assert (differences.missing, differences.left_but_known, differences.outdated) == counts
    assert differences.none == (counts == (0, 0, 0)) and differences.couriers == 1


def test_the_last_line_of_an_endpoint_in_the_source_counts(tmp_path):
    path = tmp_path / "log"
    with open(path, "w", encoding="ascii") as file:
        write(file, "scale", ListSize(4, 2), 1)
        file.write(line_of(1, 0, "left", 1) + "\n" + line_of(1, 1, "leaving", 2) + "\n")
        file.write(line_of(2, 0, "left", 3) + "\n" + line_of(2, 0, "active", 4) + "\n")
    source = read_source(str(path), {1, 2})
    assert sorted(source) == [1, 2] and sorted(source[1]) == ["e1.1"] and not source[1]["e1.1"].ready
    assert revision_of(source[2]["e2.0"].weight) == 4 and source[2]["e2.0"].ready


# A whole small run: one real node, real subscribers, three groups of couriers.

SMALL = NodePlan(
    destinations=400,
    groups=(Group("first", 8), Group("more", 2), Group("many", 15, end=2)),
    loads=(Load("some", 8.0, 1.0), Load("down and back", 20.0, 1.0, churn=True)),
    down_share=0.05,
    seed=4,
    min_gap_ms=700.0,
    pause=0.2,
    settle_timeout=60.0,
)


WRONG = ("endpoints missing at the end", "endpoints known that have left", "endpoints known as they were")


def figure(outcome, name):
    return next(one.value for one in outcome.figures if one.figure == name)


def test_couriers_of_a_node_match_its_source():
    outcome = NodeRun(SMALL, no_progress).run()
    assert outcome.faults == []
    assert [row["couriers"] for row in outcome.rows] == [8, 8, 10, 10, 23, 23]
    assert all(row["never"] == 0 and row["changes"] > 0 for row in outcome.rows)
    assert figure(outcome, "couriers compared with the source") == 23
    assert sum(row["changes"] for row in outcome.rows) > 20
    assert outcome.rows[-1]["node_subscriptions"] > 100
    assert [figure(outcome, name) for name in WRONG] == [0, 0, 0]
    assert figure(outcome, "destinations in service at the start") < 400
    assert outcome.rows[-1]["courier_sent_bytes_s"] > 0 and outcome.rows[-1]["courier_cpu_percent"] > 0


class DroppingCourier(SimulatedCourier):
    """Courier 0 drops all updates after the first answer."""

    def on_update(self, places, whole):
        """Drops later updates of courier 0."""
        if self.number != 0 or self.answered_at is None:
            super().on_update(places, whole)


class DroppingFleet(SimulatedFleet):
    """A fleet in which courier 0 drops updates."""

    courier_class = DroppingCourier


def test_a_courier_that_drops_an_incremental_update_is_detected():
    plan = NodePlan(60, (Group("first", 3),), (Load("some", 40.0, 2.0),), 0.0, 4, 500.0, 0.2, 2.0)
    outcome = NodeRun(plan, no_progress, DroppingFleet).run()
    assert any("never came into force" in fault for fault in outcome.faults)
    assert any("other than the source" in fault for fault in outcome.faults)


def test_skipped_changes_are_a_fault_of_the_run():
    plan = NodePlan(20, (Group("one", 1),), (Load("too many", 200.0, 0.5),), 0.0, 4, 60_000.0, 0.1, 30.0)
    assert any("found no destination to change" in fault for fault in NodeRun(plan, no_progress).run().faults)


@dataclass
class LoopbackSetup:
    """One real node with simulated couriers; `change` appends a change."""

    path: str
    node: nodes.NodeProcess
    couriers: simulated_couriers.SimulationProcess
    subscribers: dict[int, list[int]]
    sets: dict[int, tuple[int, ...]]
    revision: int = 0

    def change(self, destination):
        """Appends a change of the destination to the node's source file and returns it."""
        self.revision += 1
        one = Change(now(), now(), destination, ident_of(destination, 0), "active", self.revision)
        with open(self.path, "a", encoding="ascii") as file:
            file.write(line_of(destination, 0, "active", self.revision) + "\n")
        return one

    def differences(self):
        """Differences between the couriers' endpoints and the source."""
        return compare(self.couriers.known(), self.sets, read_source(self.path, set(self.subscribers)))

    def wait_until_known(self):
        """Waits at most a minute until there are no differences; returns the last comparison."""
        until = time.monotonic() + 60.0
        while not (found := self.differences()).none and time.monotonic() < until:
            time.sleep(0.05)
        return found


@contextmanager
def loopback_setup(folder, destinations, couriers, seed=3):
    """A `LoopbackSetup` whose couriers all match the source."""
    path = str(folder / f"list-{destinations}.log")
    with open(path, "w", encoding="ascii") as file:
        write(file, "scale", ListSize(destinations), seed)
    with nodes.NodeProcess("n0", path, "scale", couriers, str(folder)) as node:
        node.wait_ready(60.0)
        plan = CourierPlan("scale", (node.address,), destinations, seed)
        sets = {number: destinations_of(number, plan) for number in range(couriers)}
        with simulated_couriers.SimulationProcess(plan) as process:
            process.start(range(couriers))
            setup = LoopbackSetup(path, node, process, subscribers_of(range(couriers), plan), sets)
            assert setup.wait_until_known().none
            yield setup


def test_a_change_missing_at_the_node_is_detected_at_each_subscriber(tmp_path):
    """The comparison and the propagation times must show a change that is missing in the node's source."""
    with loopback_setup(tmp_path, 300, 12) as setup:
        destination = max(setup.subscribers, key=lambda one: len(setup.subscribers[one]))
        subscribers = setup.subscribers[destination]
        unpublished = Change(now(), now(), destination, ident_of(destination, 0), "active", 1)
        source = read_source(setup.path, set(setup.subscribers))
        endpoints = source[destination]
        endpoints[unpublished.ident] = replace(endpoints[unpublished.ident], weight=REVISION_BASE + 1)
        assert compare(setup.couriers.known(), setup.sets, source).outdated == len(subscribers) > 1
        pairs = propagations([unpublished], setup.subscribers, setup.couriers.updates())
        assert [pair.at for pair in pairs] == [None] * len(subscribers)


@pytest.mark.parametrize("destinations", [300, 3_000])
def test_a_node_sends_a_change_to_its_subscribers_only(tmp_path, destinations):
    """Counts the work of one change at a time; half of the destinations have no subscriber."""
    with loopback_setup(tmp_path, destinations, 8) as setup:
        unsubscribed = [one for one in range(destinations) if one not in setup.subscribers][:6]
        chosen = [*unsubscribed, *sorted(setup.subscribers, key=lambda one: -len(setup.subscribers[one]))[:6]]
        before, expected, changes = setup.node.status()["changes_told"], 0, []
        for destination in chosen:
            changes.append(setup.change(destination))
            expected += len(setup.subscribers.get(destination, ()))
            assert setup.wait_until_known().none
        pairs = propagations(changes, setup.subscribers, setup.couriers.updates())
        assert len(unsubscribed) == 6 and len(pairs) == expected > 6
        assert all(pair.at is not None for pair in pairs)
        assert setup.node.status()["changes_told"] - before == expected


# Scaling, by counts of work.


def test_the_work_of_a_change_is_independent_of_the_list_size():
    costs = [node_slopes.change_costs(size, 1, couriers=10) for size in (2_000, 8_000, 32_000)]
    assert {one["leases"] for one in costs} == {1.0}
    assert max(one["rows"] for one in costs) < 1.2 * min(one["rows"] for one in costs)


def test_slopes_of_a_node_are_measured_over_three_sizes(monkeypatch, tmp_path):
    monkeypatch.setattr(node_slopes, "MEASURE_SECONDS", 0.6)
    monkeypatch.setattr(node_slopes, "PAUSE_S", 0.3)
    monkeypatch.setattr(node_slopes, "LIST_FOR_COURIERS", 300)
    path = str(tmp_path / "run.json")
    sizes = [word for size in (5_000, 6_000, 7_000) for word in ("--size", str(size))]
    assert (
        run("node-slopes", "change", "destinations", "--repeats", "1", "--json", path, *sizes).exit_code == 0
    )
    shown = {one.figure: one for one in results.load(path).slopes}
    assert [sample.value for sample in shown["leases looked at by one change"].samples] == [1.0] * 3
    assert shown["memory of the node"].line is not None
    sizes = ["--size", "1", "--size", "2", "--size", "4"]
    assert run("node-slopes", "couriers", "--repeats", "1", "--json", path, *sizes).exit_code == 0
    assert len(results.load(path).slopes) == 6


# The commands.


def run(*words):
    return CliRunner().invoke(main, words)


def test_a_run_over_the_limits_is_refused_before_it_starts():
    result = run("node", "--destinations", "900000000")
    assert result.exit_code == 2 and "refused" in result.output
    assert run("fault", "--couriers", "19990").exit_code == 2
    result = run("node", "--couriers", "1000000")
    assert result.exit_code == 2 and result.stderr.startswith("refused: the run would take some")
    result = run("fault", "node-killed", "--nodes", "20", "--processes", "10")
    assert result.exit_code == 2 and "processes" in result.stderr


def test_a_saved_record_is_loaded_unchanged(tmp_path):
    record = results.begin("node", {"couriers": [1]}, 5)
    record.figures = [results.Figure("one", "ms", 1.5, 2.0), results.Figure("none", "", None)]
    path = str(tmp_path / "run.json")
    results.save(record, path)
    assert results.load(path) == record


@pytest.mark.parametrize(
    "faults, late, code, said",
    [([], 10.0, 0, "holds"), (["a fault"], 10.0, 1, "1 faults"), (["a fault"], 300.0, 3, "void")],
)
def test_the_verdict_sets_the_exit_code_and_is_recorded(tmp_path, capsys, faults, late, code, said):
    record = results.begin("node", {}, 1)
    record.faults = faults
    path = str(tmp_path / "run.json")
    try:
        options.finish_load(record, 0.0, path, late, 250.0)
        ended = 0
    except SystemExit as end:
        ended = end.code
    assert ended == code and said in capsys.readouterr().out
    kept = results.load(path)
    assert kept.faults == faults and bool(kept.void) == (code == 3)


def test_the_estimate_covers_the_largest_group():
    assert node_run.max_couriers(SMALL) == 23
    assert node_run.estimate(SMALL).processes == 3


def test_wide_rows_are_shown_transposed(monkeypatch):
    from rich.console import Console

    out = io.StringIO()
    monkeypatch.setattr(results, "console", lambda: Console(file=out, width=100))
    record = results.begin("node", {}, 1)
    record.rows = [{f"key{number}": 1.5 * number for number in range(12)}, {"key11": None}]
    results.show(record)
    assert "key11" in out.getvalue() and "16.5" in out.getvalue()


@pytest.mark.parametrize(
    "words, run",
    [
        (
            "node --destinations 100 --couriers 2 --neighbour 0 --zone 0",
            "calicopin.scale.node_command.NodeRun",
        ),
        ("fault node-killed --destinations 100 --couriers 2", "calicopin.scale.fault_command.FaultRun"),
    ],
)
def test_a_node_that_does_not_start_is_reported_in_one_line(monkeypatch, words, run):
    class Unstartable:
        def __init__(self, plan, progress):
            pass

        def run(self):
            raise nodes.NodeError("node0 ended with 2: the address is in use")

    monkeypatch.setattr(run, Unstartable)
    done = CliRunner().invoke(main, words.split())
    assert done.exit_code == 2 and "node0 ended with 2" in done.output
    assert "Traceback" not in done.output and len(done.output.splitlines()) == 1
