"""Hollow couriers before real discovery nodes on loopback, in small: what they know after changes and faults.

The verdict is completeness alone; no time is asserted. Waits end with what is waited for, or after a minute.
"""

import time

import pytest
from click.testing import CliRunner

from calicopin.scale import results
from calicopin.scale.__main__ import main
from calicopin.scale.bench import bench, faults, hollow, in_force
from calicopin.scale.bench.changes import ChangeWriter, Generator, Lateness, lateness, now
from calicopin.scale.bench.in_force import Announced, Heard
from calicopin.scale.list_source import ChangeSource, ListSize

SMALL = bench.BenchSize(destinations=300, couriers=12, nodes=1, mean_set=12, down_share=0.1, aimed=0.9)
MINUTE = 60.0


def silent(_):
    pass


def announced(destination, at, state=None, due=None):
    return Announced(destination, f"e{destination}.0", state, at if due is None else due, at)


def figure(record, name):
    return next(one.value for one in record.figures if one.figure == name)


def wait_until_known(stand):
    until = time.monotonic() + MINUTE
    while (found := stand.differences()).wrong and time.monotonic() < until:
        time.sleep(0.05)
    return found


# What was heard against what was announced.


def test_a_change_counts_at_each_of_its_subscribers():
    changes = [announced(1, 100.0), announced(2, 200.0, (True, 5.0))]
    heard = [
        Heard(50.0, 7, "e1.0", None),
        Heard(130.0, 7, "e1.0", None),
        Heard(140.0, 8, "e1.0", None),
        Heard(260.0, 7, "e2.0", (False, 5.0)),
        Heard(270.0, 7, "e2.0", (True, 5.0)),
    ]
    found = in_force.match(changes, heard, {1: [7, 8], 2: [7, 9], 3: [7]})
    assert [(one.courier, one.after) for one in found] == [(7, 30.0), (8, 40.0), (7, 70.0), (9, None)]
    told = in_force.summarize(found)
    assert (told.changes, told.heard, told.lost, told.worst, told.last_p50) == (2, 3, 1, 70.0, 40.0)


def test_a_time_counts_from_the_reach_of_a_node_where_none_could_be_reached():
    changes = [announced(1, 100.0), announced(2, 100.0)]
    heard = [Heard(900.0, 1, "e1.0", None), Heard(700.0, 1, "e2.0", None)]
    found = in_force.match(changes, heard, {1: [1], 2: [1]}, reach={0: 600.0, 1: 750.0})
    assert [one.after for one in found] == [300.0, 0.0]


def test_a_time_counts_from_when_the_change_was_due():
    found = in_force.match([announced(1, 150.0, due=100.0)], [Heard(160.0, 1, "e1.0", None)], {1: [1]})
    assert found[0].after == 60.0


def test_nothing_heard_gives_no_times():
    told = in_force.summarize(in_force.match([announced(1, 1.0)], [], {1: [4]}))
    assert (told.lost, told.p50, told.worst, told.last_p99) == (1, None, None, None)


def test_the_generator_tells_how_late_it_was():
    on_time, late = announced(1, 100.0), announced(2, 900.0, due=200.0)
    assert lateness([on_time]) == Lateness(0.0, 0)
    assert lateness([on_time, late]) == Lateness(700.0, 1)
    assert lateness([]) == Lateness(0.0, 0)


def test_a_generator_without_destinations_left_says_so_and_ends(tmp_path):
    path = tmp_path / "list.log"
    path.write_text("")
    writer = ChangeWriter(str(path), ChangeSource(ListSize(4), 1, 1))
    generator = Generator(writer, rate=1000.0, seconds=1.0, tell=silent)
    generator.run()
    writer.close()
    assert "fewer changes" in generator.fault
    assert path.read_text().count("\n") == len(writer.announced) == 3


# Hollow couriers.


def test_sets_follow_from_the_seed_and_are_skewed_around_their_mean():
    settings = hollow.HollowSettings(("127.0.0.1:1",), "scale", ListSize(100_000), 1, 1, 90)
    sets = [hollow.subscription_set(settings, courier) for courier in range(400)]
    sizes = sorted(map(len, sets))
    assert sets == [hollow.subscription_set(settings, courier) for courier in range(400)]
    assert all(len(set(one)) == len(one) for one in sets)
    assert 75 < sum(sizes) / len(sizes) < 105
    assert sizes[200] < 80 and sizes[-1] > 300
    held = hollow.subscribers(settings, 400)
    assert sum(map(len, held.values())) == sum(sizes)
    assert max(map(len, held.values())) > 3


@pytest.fixture
def stand():
    with bench.Bench(SMALL, 1, silent) as one:
        one.begin(SMALL.couriers)
        yield one


def test_couriers_know_what_the_source_has_and_each_change_is_heard(stand):
    assert stand.differences().wrong == 0
    for _ in range(40):
        stand.writer.append(now())
    found = wait_until_known(stand)
    assert found.wrong == 0 and found.compared > 100
    told = stand.in_force_of(stand.writer.announced, SMALL.couriers)
    assert told.lost == 0 and told.changes > 20


def test_what_is_known_wrongly_is_found(stand):
    """The comparison and the record of times see a change that no node was told."""
    change = stand.writer.source.next()
    state = hollow.state_of(change.state, change.weight)
    couriers = stand.subscribers.get(change.destination, [])
    assert couriers
    unheard = Announced(change.destination, change.ident, state, now(), now())
    stand.writer.announced.append(unheard)
    assert stand.differences().wrong == len(couriers)
    assert stand.in_force_of([unheard], SMALL.couriers).lost == len(couriers)


def test_a_node_tells_a_change_to_its_subscribers_alone_whatever_it_knows():
    """Work by counts: one change at a time, at lists of two sizes."""
    for destinations in (300, 3_000):
        size = bench.BenchSize(destinations, couriers=8, mean_set=10, aimed=0.5)
        with bench.Bench(size, 3, silent) as stand:
            stand.begin(size.couriers)
            before, expected = stand.nodes[0].status()["changes_told"], 0
            for _ in range(12):
                change = stand.writer.append(now())
                expected += len(stand.subscribers.get(change.destination, ()))
                assert wait_until_known(stand).wrong == 0
            assert expected > 0
            assert stand.nodes[0].status()["changes_told"] - before == expected


@pytest.mark.parametrize("fault", list(faults.Fault))
def test_after_a_fault_couriers_know_what_the_source_has(fault):
    size = bench.BenchSize(destinations=400, couriers=20, nodes=3, mean_set=12, aimed=0.9)
    played = faults.FaultRun(fault, changes=20.0, lead=0.5, lasts=0.5, tail=0.5, quiet=MINUTE)
    record = results.begin("fault", {}, 1)
    faults.run(record, size, played, 1, silent)
    assert figure(record, "never in force") == 0.0
    assert figure(record, "endpoints known other than the source has them") == 0.0
    assert figure(record, "changes that met a subscriber") > 15
    if fault in (faults.Fault.NODE_KILLED, faults.Fault.HALF_OPEN):
        assert figure(record, "of them at the node after it") == 0.0
        assert figure(record, "couriers of the node before the fault") > 0.0


# The command.


def test_more_couriers_than_the_machine_holds_are_refused():
    done = CliRunner().invoke(main, ["bench", "node", "--couriers", "1000000"])
    assert done.exit_code == 2 and done.stderr.startswith("refused: the run would take some")
    done = CliRunner().invoke(main, ["bench", "fault", "node-killed", "--nodes", "20", "--processes", "10"])
    assert done.exit_code == 2 and "processes" in done.stderr


def test_a_record_comes_back_as_it_was_kept(tmp_path):
    record = results.begin("node", {"couriers": [1]}, 5)
    record.figures = [results.Figure("one", "ms", 1.5, 2.0), results.Figure("none", "", None)]
    path = str(tmp_path / "run.json")
    results.keep(record, path)
    assert results.load(path) == record
